"""The agreement on keys, without I/O: a keyed run begins once both processes hold its claim.

Of two claims that cross, the senior process's stands: it refuses the other's with what it claimed itself, and the
junior takes the senior's claim although its own is on the way.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from flintshift.handover.vocabulary import Answered, Claimed, Freed, Key, Known, Word


@dataclass(slots=True)
class Pending:
    """A claim of this process that is not answered yet."""

    owner: str
    since_ms: float
    live_until_ms: float
    print: bytes
    waiting: list[str] = field(default_factory=list)  # attempts that wait for the word


@dataclass(frozen=True, slots=True)
class Say:
    word: Word


@dataclass(frozen=True, slots=True)
class GoOn:
    """Take the attempt up again: under its granted claim, or by what the table now holds."""

    request: str
    granted: bool


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The word did not come in time: the attempt may have run at the other process."""

    request: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """The other process holds this key from now on."""

    entry: Known


Step = Say | GoOn | GiveUp | Adopt


class Agreement:
    def __init__(self) -> None:
        self.pending: dict[Key, Pending] = {}

    def ask(self, now_ms: float, key: Key, request: str, door_ms: float, live_until_ms: float,
            print_: bytes) -> list[Step]:
        """An attempt wants to run under a key that this process's table does not hold."""
        known = self.pending.get(key)
        if known is not None:
            known.waiting.append(request)
            return []
        self.pending[key] = Pending(request, now_ms, live_until_ms, print_, [request])
        return [Say(Claimed(key, request, door_ms, live_until_ms, print_))]

    def claimed(self, word: Claimed, senior: bool, held: Known | None) -> list[Step]:
        """The other wants to run; ``held``: what this process itself holds under the key, live when the other's
        attempt came."""
        if held is not None:
            return [Say(held), Say(Answered(word.key, word.owner, False))]
        mine = self.pending.get(word.key)
        if mine is not None and senior:
            mine_ = Known(word.key, mine.owner, mine.live_until_ms, mine.print, None, b"")
            return [Say(mine_), Say(Answered(word.key, word.owner, False))]
        entry = Known(word.key, word.owner, word.live_until_ms, word.print, None, b"")
        return [Adopt(entry), Say(Answered(word.key, word.owner, True))]

    def answered(self, word: Answered) -> list[Step]:
        mine = self.pending.get(word.key)
        if mine is None or mine.owner != word.owner:
            return []  # of a claim before the link broke
        del self.pending[word.key]
        if not word.granted:
            return [GoOn(request, False) for request in mine.waiting]
        if mine.owner not in mine.waiting:  # given up, or its caller went: it did not run
            return [Say(Freed(word.key, mine.owner)), *(GoOn(request, False) for request in mine.waiting)]
        return [GoOn(request, request == mine.owner) for request in mine.waiting]

    def departed(self, request: str) -> None:
        for mine in self.pending.values():
            if request in mine.waiting:
                mine.waiting.remove(request)

    def expire(self, before_ms: float) -> list[Step]:
        """Give up what waits since then; the claim itself stays, so that a word that comes late frees it."""
        given: list[Step] = []
        for mine in self.pending.values():
            if mine.since_ms <= before_ms and mine.waiting:
                given += [GiveUp(request) for request in mine.waiting]
                mine.waiting.clear()
        return given

    def alone(self) -> list[Step]:
        """There is no other any more: each waits for nobody's word."""
        waiting = [request for mine in self.pending.values() for request in mine.waiting]
        self.pending.clear()
        return [GoOn(request, False) for request in waiting]
