"""The agreement on keys, without I/O: a keyed run begins once both processes hold its claim.

Of two claims that cross, the senior process's stands: it refuses the other's with what it claimed itself, and the
junior takes the senior's claim although its own is on the way.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from flintshift.handover.messages import Answered, Claimed, Freed, Key, Known, Message


@dataclass(slots=True)
class Pending:
    """A claim of this process that is not answered yet."""

    owner: str
    live_until_ms: float
    fingerprint: bytes
    waiting: dict[str, float] = field(default_factory=dict)  # attempts that wait for the word, and until when


@dataclass(frozen=True, slots=True)
class SendToPeer:
    word: Message


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Take the attempt up again: under its granted claim, or by what the table now holds."""

    request: str
    granted: bool


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """The word did not come in time: the attempt may have run at the other process."""

    request: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """The other process holds this key from now on."""

    entry: Known


Step = SendToPeer | ResumeAttempt | AbandonAttempt | Adopt


class Agreement:
    def __init__(self, most: int) -> None:
        """``most``: claims under way at once; what comes past that is given up, for its key may be the other's."""
        self.most = most
        self.pending: dict[Key, Pending] = {}

    def ask(self, claim: Claimed, until_ms: float) -> list[Step]:
        """An attempt wants to run under a key that this process's table does not hold; it waits until then."""
        known = self.pending.get(claim.key)
        if known is not None:
            known.waiting[claim.owner] = until_ms
            return []
        if len(self.pending) >= self.most:
            return [AbandonAttempt(claim.owner)]
        self.pending[claim.key] = Pending(claim.owner, claim.live_until_ms, claim.fingerprint, {claim.owner: until_ms})
        return [SendToPeer(claim)]

    def claimed(self, word: Claimed, senior: bool, held: Known | None) -> list[Step]:
        """The other wants to run; ``held``: what this process itself holds under the key, live when the other's
        attempt came."""
        if held is not None:
            return [SendToPeer(held), SendToPeer(Answered(word.key, word.owner, False))]
        mine = self.pending.get(word.key)
        if mine is not None and senior:
            claimed = Known(word.key, mine.owner, mine.live_until_ms, mine.fingerprint, None, b"")
            return [SendToPeer(claimed), SendToPeer(Answered(word.key, word.owner, False))]
        entry = Known(word.key, word.owner, word.live_until_ms, word.fingerprint, None, b"")
        return [Adopt(entry), SendToPeer(Answered(word.key, word.owner, True))]

    def answered(self, word: Answered) -> list[Step]:
        mine = self.pending.get(word.key)
        if mine is None or mine.owner != word.owner:
            return []  # of a claim before the link broke
        del self.pending[word.key]
        if not word.granted:
            return [ResumeAttempt(request, False) for request in mine.waiting]
        if mine.owner not in mine.waiting:  # given up, or its caller went: it did not run
            return [
                SendToPeer(Freed(word.key, mine.owner)),
                *(ResumeAttempt(request, False) for request in mine.waiting),
            ]
        return [ResumeAttempt(request, request == mine.owner) for request in mine.waiting]

    def cancel_wait(self, request: str) -> None:
        for mine in self.pending.values():
            mine.waiting.pop(request, None)

    def expire(self, now_ms: float) -> list[Step]:
        """Give up what has waited long enough; the claim itself stays, so that a word that comes late frees it."""
        given: list[Step] = []
        for mine in self.pending.values():
            past = [request for request, until_ms in mine.waiting.items() if until_ms <= now_ms]
            for request in past:
                del mine.waiting[request]
                given.append(AbandonAttempt(request))
        return given

    def alone(self) -> list[Step]:
        """There is no other any more: each waits for nobody's word."""
        waiting = [request for mine in self.pending.values() for request in mine.waiting]
        self.pending.clear()
        return [ResumeAttempt(request, False) for request in waiting]
