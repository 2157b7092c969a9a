"""The registers of a holder and the rules of its votes.

Without I/O: each change is returned as an entry, which must be on the disk before the vote is sent.

All the rules are applied by ``vote``:

- Round 0 accepts a value only into a register that has no value and no promise.
- A promise rejects every lower ballot from then on, across restarts too.
- With each acceptance the next ballot is promised to its proposer, which then needn't ask for it.
- A proposer that relies on a lost store is rejected, and a store that is not refilled yet doesn't vote.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field

from msgspec import Struct

from flintshift.core.keys import Stage
from flintshift.replication.messages import NO_BALLOT, Ask, Ballot, Key, Step, Value, Verdict, Vote
from flintshift.replication.placement import Placement

PAGE_BYTES = 64_000  # sent at once to a store that is being refilled
REGISTER_OVERHEAD_BYTES = 860  # memory of a register beside its result (benchmarks/copies_model.py)


@dataclass(slots=True)
class Register:
    """What a holder stores for one key."""

    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT
    value: Value | None = None
    expires_ms: float = 0.0
    watchers: set[str] = field(default_factory=set)  # processes that follow the key
    claimed_ms: float = 0.0  # when this holder accepted the claim


class Entry(Struct, frozen=True, gc=False):
    """A register as it is written to the disk and sent to a store that is being refilled."""

    key: Key
    promised: Ballot
    ballot: Ballot
    value: Value | None
    remaining_ms: float  # until the register expires


@dataclass(frozen=True, slots=True)
class HolderBounds:
    """Limits of a holder's memory."""

    max_keys: int = 200_000
    max_bytes: int = 256 << 20
    promise_retention_ms: float = 60_000.0  # how long a register that has only a promise is kept
    max_watchers: int = 64  # of one key


class Registers:
    """The registers of one member. ``member`` is its name, ``store`` the incarnation of its store."""

    def __init__(
        self, member: str, store: int, placement: Placement, bounds: HolderBounds, votes: bool, voting_from_ms: float
    ) -> None:
        self.member, self.placement, self.bounds = member, placement, bounds
        self.table: dict[Key, Register] = {}
        self.stored_bytes = 0
        self.stores: dict[str, int] = {member: store}  # the newest known incarnation of each member's store
        self.votes_on_all_keys = votes
        self.voting_from_ms = voting_from_ms  # all that this store once promised has expired by then; may be infinite
        self.filled_by: set[str] = set()
        self.claims_by_runner: dict[str, set[Key]] = {}  # claims whose run has not ended
        self.purge_count = 0

    @property
    def store(self) -> int:
        """The incarnation of this member's store."""
        return self.stores[self.member]

    # Votes.

    def votes_in_ms(self, now_ms: float) -> float | None:
        """When this store votes on all keys at the latest, from now; None: no time is known.

        No time is known while another process of this member owns the store.
        """
        if self.votes_on_all_keys:
            return 0.0
        return max(0.0, self.voting_from_ms - now_ms) if math.isfinite(self.voting_from_ms) else None

    def can_vote_on(self, now_ms: float, holders: tuple[str, ...]) -> bool:
        """Whether this store may vote on keys with these holders: its promises are complete, refilled or expired."""
        if self.votes_on_all_keys or now_ms >= self.voting_from_ms:
            return True
        return self._is_filled(holders)

    def vote(self, now_ms: float, ask: Ask) -> tuple[Vote, Entry | None]:
        """Applies a step to its register. Returns the vote, and the entry to be written if the register changed."""
        holders = self.placement.holders(ask.key)
        if self.member not in holders or len(ask.stores) != len(holders):
            return self._build_vote(ask, Verdict.STALE, Register(), holders), None
        for name, store in zip(holders, ask.stores, strict=True):
            if store < self.stores.get(name, 0):
                return self._build_vote(ask, Verdict.STALE, Register(), holders), None
            if store > self.stores.get(name, 0):
                if name == self.member:  # no other process can know a newer incarnation of this store
                    return self._build_vote(ask, Verdict.STALE, Register(), holders), None
                self.stores[name] = store
        if not self.can_vote_on(now_ms, holders):
            return self._build_vote(ask, Verdict.ABSENT, Register(), holders), None
        register = self.table.get(ask.key)
        if register is not None and register.expires_ms <= now_ms:
            self._drop(ask.key)
            register = None
        if register is None:
            register = Register()
            if ask.step is not Step.READ:
                if len(self.table) >= self.bounds.max_keys or self.stored_bytes >= self.bounds.max_bytes:
                    return self._build_vote(ask, Verdict.FULL, register, holders), None
                self.table[ask.key] = register
                self.stored_bytes += REGISTER_OVERHEAD_BYTES
        verdict, changed = self._apply_step(now_ms, ask, register)
        proposer_runs_it = verdict is Verdict.OK and ask.value is not None and ask.value.runner == ask.proposer
        if (
            ask.watch
            and not proposer_runs_it
            and (register.value is None or register.value.stage is Stage.CLAIMED)
            and (len(register.watchers) < self.bounds.max_watchers)
            and ask.key in self.table
        ):
            register.watchers.add(ask.proposer)
        entry = self._build_entry(now_ms, ask.key, register) if changed else None
        if verdict is Verdict.OK and ask.step in (Step.FIRST, Step.ACCEPT):  # the proposer knows what it wrote
            return Vote(ask.number, verdict, register.promised, register.ballot, None, ()), entry
        return self._build_vote(ask, verdict, register, holders), entry

    def _apply_step(self, now_ms: float, ask: Ask, register: Register) -> tuple[Verdict, bool]:
        """Returns the verdict, and whether the register changed."""
        match ask.step:
            case Step.READ:
                return Verdict.OK, False
            case Step.FIRST:
                assert ask.value is not None
                if register.promised == NO_BALLOT and register.value is None:
                    self._write(now_ms, ask.key, register, (0, ask.proposer), ask.value)
                    return Verdict.OK, True
                is_resent = (
                    register.ballot == (0, ask.proposer)
                    and register.promised == (1, ask.proposer)
                    and (register.value == ask.value)
                )
                return (Verdict.OK if is_resent else Verdict.BEHIND), False
            case Step.PREPARE:
                if ask.ballot < register.promised:
                    return Verdict.BEHIND, False
                changed, register.promised = ask.ballot != register.promised, ask.ballot
                register.expires_ms = max(register.expires_ms, now_ms + self.bounds.promise_retention_ms)
                return Verdict.OK, changed
            case Step.ACCEPT:
                assert ask.value is not None
                if ask.ballot == register.ballot:
                    return Verdict.OK, False  # the request was sent again
                if ask.ballot < register.promised:
                    return Verdict.BEHIND, False
                self._write(now_ms, ask.key, register, ask.ballot, ask.value)
                return Verdict.OK, True

    def _write(self, now_ms: float, key: Key, register: Register, ballot: Ballot, value: Value) -> None:
        previous = register.value
        self.stored_bytes += len(value.result) - (len(previous.result) if previous is not None else 0)
        self._remove_claim(key, previous)
        if value.stage is Stage.CLAIMED:
            if previous is None or previous.owner != value.owner:
                register.claimed_ms = now_ms
            self.claims_by_runner.setdefault(value.runner, set()).add(key)
        register.ballot, register.value = ballot, value
        register.promised = max(register.promised, (ballot[0] + 1, ballot[1]))
        register.expires_ms = max(register.expires_ms, now_ms + value.retention_ms)

    def _remove_claim(self, key: Key, value: Value | None) -> None:
        if value is not None and value.stage is Stage.CLAIMED:
            keys = self.claims_by_runner.get(value.runner)
            if keys is not None:
                keys.discard(key)
                if not keys:
                    del self.claims_by_runner[value.runner]

    def _build_vote(self, ask: Ask, verdict: Verdict, register: Register, holders: tuple[str, ...]) -> Vote:
        return Vote(
            ask.number,
            verdict,
            register.promised,
            register.ballot,
            register.value,
            tuple(self.stores.get(name, 0) for name in holders),
        )

    def pop_watchers_if_ended(self, key: Key) -> set[str]:
        """The processes that follow the key, if it has ended. Each is returned once."""
        register = self.table.get(key)
        if register is None or register.value is None or register.value.stage is Stage.CLAIMED:
            return set()
        watchers, register.watchers = register.watchers, set()
        return watchers

    # Expiry and orphaned claims.

    def purge(self, now_ms: float) -> int:
        """Drops expired registers and returns their number."""
        expired = [key for key, register in self.table.items() if register.expires_ms <= now_ms]
        for key in expired:
            self._drop(key)
        return len(expired)

    def count_by_stage(self) -> dict[str, int]:
        """The number of keys in each stage. Registers that have only a promise count as promised."""
        counts = {"promised": 0, **{stage.name.lower(): 0 for stage in Stage}}
        for register in self.table.values():
            counts["promised" if register.value is None else register.value.stage.name.lower()] += 1
        return counts

    def count_under_replicated(self, reached: Set[str]) -> int:
        """The number of keys of which a holder is unreachable."""
        return sum(any(name not in reached for name in self.placement.holders(key)) for key in self.table)

    def _drop(self, key: Key) -> None:
        register = self.table.pop(key)
        self._remove_claim(key, register.value)
        self.stored_bytes -= REGISTER_OVERHEAD_BYTES + (len(register.value.result) if register.value is not None else 0)

    def find_orphaned_claims(
        self, now_ms: float, is_alive: Callable[[str], bool], stagger_ms: float
    ) -> list[tuple[Key, str]]:
        """Claims of dead runners that this holder has to settle now, with their owners.

        The first holder of a key settles its claim at once. Each further holder does so ``stagger_ms`` later than the
        one before, in case that one is dead too.
        """
        claims: list[tuple[Key, str]] = []
        for runner in [runner for runner in self.claims_by_runner if not is_alive(runner)]:
            for key in self.claims_by_runner[runner]:
                register, holders = self.table[key], self.placement.holders(key)
                if self.member not in holders:  # an earlier list of members had placed the key here
                    continue
                rank = holders.index(self.member)
                if register.value is not None and now_ms >= register.claimed_ms + rank * stagger_ms:
                    claims.append((key, register.value.owner))
        return claims

    # Refill of this store and of others.

    def _build_entry(self, now_ms: float, key: Key, register: Register) -> Entry:
        return Entry(key, register.promised, register.ballot, register.value, register.expires_ms - now_ms)

    def entries(self, now_ms: float, holder: str | None = None) -> Iterator[Entry]:
        """All registers, or those of the keys that ``holder`` holds too."""
        for key in list(self.table):
            yield from self.entries_of(now_ms, key, holder)

    def entries_of(self, now_ms: float, key: Key, holder: str | None = None) -> Iterator[Entry]:
        """The register of the key, if there is one and ``holder``, where given, holds the key too."""
        register = self.table.get(key)
        if (
            register is not None
            and register.expires_ms > now_ms
            and (holder is None or holder in self.placement.holders(key))
        ):
            yield self._build_entry(now_ms, key, register)

    def merge(self, now_ms: float, entry: Entry) -> Entry | None:
        """Merges an entry from another holder or from the disk. What is newer here stays.

        Returns the changed register, or None if nothing changed.
        """
        register = self.table.get(entry.key)
        if register is None:
            register = self.table[entry.key] = Register()
            self.stored_bytes += REGISTER_OVERHEAD_BYTES
        changed = False
        if entry.value is not None and entry.ballot > register.ballot:
            self._write(now_ms, entry.key, register, entry.ballot, entry.value)
            changed = True
        if entry.promised > register.promised:
            register.promised, changed = entry.promised, True
        if now_ms + entry.remaining_ms > register.expires_ms:
            register.expires_ms, changed = now_ms + entry.remaining_ms, True
        return self._build_entry(now_ms, entry.key, register) if changed else None

    def mark_filled_by(self, member: str) -> bool:
        """Records that the member has sent all it knows of this member's keys.

        Returns True when the store votes on every key from now on.
        """
        self.filled_by.add(member)
        if self.votes_on_all_keys or not all(
            self._is_filled(holders) for holders in self.placement.holder_sets_with(self.member)
        ):
            return False
        self.votes_on_all_keys = True
        return True

    def _is_filled(self, holders: tuple[str, ...]) -> bool:
        """Whether a majority of the holders, this member not counted, has sent all it knows."""
        return sum(name in self.filled_by for name in holders if name != self.member) >= self.placement.majority
