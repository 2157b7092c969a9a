"""What a holder keeps, and how it votes. Without I/O: each change is told as an entry, which must stand on the disk
before the vote leaves.

The rules, all of them in ``vote``:

- round 0 takes a value only into a register that holds and promised nothing;
- a promise refuses every lower ballot, from then on and over restarts;
- with each acceptance the writer is promised its next ballot, so that it needs not ask for it;
- whoever counts on a store that is gone is refused, and a store that is not filled has no vote.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field

from msgspec import Struct

from flintshift.core.keys import Stage
from flintshift.replication.messages import NO_BALLOT, Ask, Ballot, Key, Step, Value, Verdict, Vote
from flintshift.replication.placement import Placement

PAGE_BYTES = 64_000  # of what a store that is filled is told at once
OVERHEAD = 860  # bytes of a register beside its result, as a process grows by them (benchmarks/copies_model.py)


@dataclass(slots=True)
class Register:
    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT
    value: Value | None = None
    until_ms: float = 0.0
    watchers: set[str] = field(default_factory=set)  # processes that follow the key
    since_ms: float = 0.0  # of the claim, here


class Entry(Struct, frozen=True, gc=False):
    """A register as it stands on a disk and goes to a store that is filled."""

    key: Key
    promised: Ballot
    ballot: Ballot
    value: Value | None
    remaining_ms: float  # so long it is still kept


@dataclass(frozen=True, slots=True)
class HolderBounds:
    max_keys: int = 200_000
    max_bytes: int = 256 << 20
    promise_retention_ms: float = 60_000.0  # a register that holds a promise alone is kept so long
    max_watchers: int = 64  # of a key


class Registers:
    """``me`` is the member's name, ``store`` the incarnation of its store."""

    def __init__(
        self, me: str, store: int, placement: Placement, bounds: HolderBounds, votes: bool, voting_from_ms: float
    ) -> None:
        self.me, self.placement, self.bounds = me, placement, bounds
        self.table: dict[Key, Register] = {}
        self.stored_bytes = 0
        self.stores: dict[str, int] = {me: store}  # the newest incarnation known of each member's store
        self.votes_on_all_keys = votes  # on every key
        self.voting_from_ms = voting_from_ms  # then whatever it once promised has lapsed
        self.filled_by: set[str] = set()
        self.by_runner: dict[str, set[Key]] = {}  # claims whose run has not ended
        self.turned = 0  # of purges

    @property
    def store(self) -> int:
        return self.stores[self.me]

    # Votes.

    def can_vote_on(self, now_ms: float, holders: tuple[str, ...]) -> bool:
        if self.votes_on_all_keys or now_ms >= self.voting_from_ms:
            return True
        return self._filled(holders)

    def vote(self, now_ms: float, ask: Ask) -> tuple[Vote, Entry | None]:
        holders = self.placement.holders(ask.key)
        if self.me not in holders or len(ask.stores) != len(holders):
            return self._vote(ask, Verdict.STALE, Register(), holders), None
        for name, store in zip(holders, ask.stores, strict=True):
            if store < self.stores.get(name, 0):
                return self._vote(ask, Verdict.STALE, Register(), holders), None
            if store > self.stores.get(name, 0):
                if name == self.me:  # nobody knows this store better than it does
                    return self._vote(ask, Verdict.STALE, Register(), holders), None
                self.stores[name] = store
        if not self.can_vote_on(now_ms, holders):
            return self._vote(ask, Verdict.ABSENT, Register(), holders), None
        register = self.table.get(ask.key)
        if register is not None and register.until_ms <= now_ms:
            self._drop(ask.key)
            register = None
        if register is None:
            register = Register()
            if ask.step is not Step.READ:
                if len(self.table) >= self.bounds.max_keys or self.stored_bytes >= self.bounds.max_bytes:
                    return self._vote(ask, Verdict.FULL, register, holders), None
                self.table[ask.key] = register
                self.stored_bytes += OVERHEAD
        verdict, changed = self._step(now_ms, ask, register)
        runs_itself = verdict is Verdict.OK and ask.value is not None and ask.value.runner == ask.proposer
        if (
            ask.watch
            and not runs_itself
            and (register.value is None or register.value.stage is Stage.CLAIMED)
            and (len(register.watchers) < self.bounds.max_watchers)
            and ask.key in self.table
        ):
            register.watchers.add(ask.proposer)
        entry = self._entry(now_ms, ask.key, register) if changed else None
        if verdict is Verdict.OK and ask.step in (Step.FIRST, Step.ACCEPT):  # the asker knows what it wrote
            return Vote(ask.number, verdict, register.promised, register.ballot, None, ()), entry
        return self._vote(ask, verdict, register, holders), entry

    def _step(self, now_ms: float, ask: Ask, register: Register) -> tuple[Verdict, bool]:
        match ask.step:
            case Step.READ:
                return Verdict.OK, False
            case Step.FIRST:
                assert ask.value is not None
                if register.promised == NO_BALLOT and register.value is None:
                    self._write(now_ms, ask.key, register, (0, ask.proposer), ask.value)
                    return Verdict.OK, True
                told_again = (
                    register.ballot == (0, ask.proposer)
                    and register.promised == (1, ask.proposer)
                    and (register.value == ask.value)
                )
                return (Verdict.OK if told_again else Verdict.BEHIND), False
            case Step.PREPARE:
                if ask.ballot < register.promised:
                    return Verdict.BEHIND, False
                changed, register.promised = ask.ballot != register.promised, ask.ballot
                register.until_ms = max(register.until_ms, now_ms + self.bounds.promise_retention_ms)
                return Verdict.OK, changed
            case Step.ACCEPT:
                assert ask.value is not None
                if ask.ballot == register.ballot:
                    return Verdict.OK, False  # told again
                if ask.ballot < register.promised:
                    return Verdict.BEHIND, False
                self._write(now_ms, ask.key, register, ask.ballot, ask.value)
                return Verdict.OK, True

    def _write(self, now_ms: float, key: Key, register: Register, ballot: Ballot, value: Value) -> None:
        before = register.value
        self.stored_bytes += len(value.result) - (len(before.result) if before is not None else 0)
        self._unlist(key, before)
        if value.stage is Stage.CLAIMED:
            if before is None or before.owner != value.owner:
                register.since_ms = now_ms
            self.by_runner.setdefault(value.runner, set()).add(key)
        register.ballot, register.value = ballot, value
        register.promised = max(register.promised, (ballot[0] + 1, ballot[1]))
        register.until_ms = max(register.until_ms, now_ms + value.retention_ms)

    def _unlist(self, key: Key, value: Value | None) -> None:
        if value is not None and value.stage is Stage.CLAIMED:
            keys = self.by_runner.get(value.runner)
            if keys is not None:
                keys.discard(key)
                if not keys:
                    del self.by_runner[value.runner]

    def _vote(self, ask: Ask, verdict: Verdict, register: Register, holders: tuple[str, ...]) -> Vote:
        return Vote(
            ask.number,
            verdict,
            register.promised,
            register.ballot,
            register.value,
            tuple(self.stores.get(name, 0) for name in holders),
        )

    def pop_watchers_if_ended(self, key: Key) -> set[str]:
        """Processes that follow the key, where it has ended; they are told once."""
        register = self.table.get(key)
        if register is None or register.value is None or register.value.stage is Stage.CLAIMED:
            return set()
        told, register.watchers = register.watchers, set()
        return told

    # What lapses, and what is orphaned.

    def purge(self, now_ms: float) -> int:
        past = [key for key, register in self.table.items() if register.until_ms <= now_ms]
        for key in past:
            self._drop(key)
        return len(past)

    def count_by_stage(self) -> dict[str, int]:
        """Keys by where they stand; those with a promise alone count as promised."""
        counted = {"promised": 0, **{stage.name.lower(): 0 for stage in Stage}}
        for register in self.table.values():
            counted["promised" if register.value is None else register.value.stage.name.lower()] += 1
        return counted

    def count_under_replicated(self, reached: Set[str]) -> int:
        """Keys of which some other holder is out of reach."""
        return sum(any(name not in reached for name in self.placement.holders(key)) for key in self.table)

    def _drop(self, key: Key) -> None:
        register = self.table.pop(key)
        self._unlist(key, register.value)
        self.stored_bytes -= OVERHEAD + (len(register.value.result) if register.value is not None else 0)

    def find_orphaned_claims(
        self, now_ms: float, lives: Callable[[str], bool], stagger_ms: float
    ) -> list[tuple[Key, str]]:
        """Claims of dead runners that this holder is to settle now: the first holder at once, each further one so
        much later, should that one be dead too.
        """
        found: list[tuple[Key, str]] = []
        for runner in [runner for runner in self.by_runner if not lives(runner)]:
            for key in self.by_runner[runner]:
                register = self.table[key]
                rank = self.placement.holders(key).index(self.me)
                if register.value is not None and now_ms >= register.since_ms + rank * stagger_ms:
                    found.append((key, register.value.owner))
        return found

    # A store that is filled, and one that fills it.

    def _entry(self, now_ms: float, key: Key, register: Register) -> Entry:
        return Entry(key, register.promised, register.ballot, register.value, register.until_ms - now_ms)

    def entries(self, now_ms: float, holder: str | None = None) -> Iterator[Entry]:
        """All registers, or those of which that member holds a copy too."""
        for key in list(self.table):
            yield from self.entries_of(now_ms, key, holder)

    def entries_of(self, now_ms: float, key: Key, holder: str | None = None) -> Iterator[Entry]:
        """The register of that key, if there is one (and that member holds it too)."""
        register = self.table.get(key)
        if (
            register is not None
            and register.until_ms > now_ms
            and (holder is None or holder in self.placement.holders(key))
        ):
            yield self._entry(now_ms, key, register)

    def merge(self, now_ms: float, entry: Entry) -> Entry | None:
        """Hold what another holder holds, or what stood on the disk. What this one knows newer stays."""
        register = self.table.get(entry.key)
        if register is None:
            register = self.table[entry.key] = Register()
            self.stored_bytes += OVERHEAD
        changed = False
        if entry.value is not None and entry.ballot > register.ballot:
            self._write(now_ms, entry.key, register, entry.ballot, entry.value)
            changed = True
        if entry.promised > register.promised:
            register.promised, changed = entry.promised, True
        if now_ms + entry.remaining_ms > register.until_ms:
            register.until_ms, changed = now_ms + entry.remaining_ms, True
        return self._entry(now_ms, entry.key, register) if changed else None

    def mark_filled_by(self, by: str) -> bool:
        """That member has told all it knows of this one's keys; True once this store votes on every key."""
        self.filled_by.add(by)
        if self.votes_on_all_keys or not all(
            self._filled(holders) for holders in self.placement.holder_sets_with(self.me)
        ):
            return False
        self.votes_on_all_keys = True
        return True

    def _filled(self, holders: tuple[str, ...]) -> bool:
        """A majority of these has told all it knows, this member not counted."""
        return sum(name in self.filled_by for name in holders if name != self.me) >= self.placement.majority
