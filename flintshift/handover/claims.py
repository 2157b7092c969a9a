"""The agreement on keys between the two processes, without I/O: a keyed run begins once both have recorded its claim.

If two claims for a key cross, that of the senior process wins: the senior rejects the other claim and sends its own,
and the junior adopts the senior's claim although its own is on the way.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from flintshift.handover.messages import Answered, Claimed, Freed, Key, Known, Message


@dataclass(slots=True)
class PendingClaim:
    """A claim of this process that the other has not answered yet."""

    owner: str
    live_until_ms: float
    fingerprint: bytes
    waiting: dict[str, float] = field(default_factory=dict)  # attempts that wait for the answer, and their deadlines


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to the other process."""

    message: Message


@dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Resume an attempt: under its granted claim, or by the entry that the key table now has."""

    request: str
    granted: bool


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Fail an attempt whose claim was not answered in time: it may have run in the other process."""

    request: str


@dataclass(frozen=True, slots=True)
class AdoptEntry:
    """Record in the key table that the other process owns this key."""

    entry: Known


Step = SendToPeer | ResumeAttempt | AbandonAttempt | AdoptEntry


class Agreement:
    """The claims of this process that are pending, and the answers to those of the other."""

    def __init__(self, max_claims: int) -> None:
        """``max_claims``: the claims pending at once. Further attempts are abandoned: the other may own their keys."""
        self.max_claims = max_claims
        self.pending: dict[Key, PendingClaim] = {}

    def request_claim(self, claim: Claimed, deadline_ms: float) -> list[Step]:
        """Claim a key that this process's table does not have. The attempt waits for the answer until the deadline."""
        pending = self.pending.get(claim.key)
        if pending is not None:
            pending.waiting[claim.owner] = deadline_ms
            return []
        if len(self.pending) >= self.max_claims:
            return [AbandonAttempt(claim.owner)]
        self.pending[claim.key] = PendingClaim(
            claim.owner, claim.live_until_ms, claim.fingerprint, {claim.owner: deadline_ms}
        )
        return [SendToPeer(claim)]

    def on_claim(self, message: Claimed, senior: bool, own_entry: Known | None) -> list[Step]:
        """Answer a claim of the other process. ``own_entry``: this process's own entry of the key, if it was live when
        the other's attempt arrived."""
        if own_entry is not None:
            return [SendToPeer(own_entry), SendToPeer(Answered(message.key, message.owner, False))]
        pending = self.pending.get(message.key)
        if pending is not None and senior:
            own_claim = Known(message.key, pending.owner, pending.live_until_ms, pending.fingerprint, None, b"")
            return [SendToPeer(own_claim), SendToPeer(Answered(message.key, message.owner, False))]
        entry = Known(message.key, message.owner, message.live_until_ms, message.fingerprint, None, b"")
        return [AdoptEntry(entry), SendToPeer(Answered(message.key, message.owner, True))]

    def on_answer(self, message: Answered) -> list[Step]:
        """Resume the attempts that wait for this answer."""
        pending = self.pending.get(message.key)
        if pending is None or pending.owner != message.owner:
            return []  # the answer to a claim from before the link broke
        del self.pending[message.key]
        if not message.granted:
            return [ResumeAttempt(request, False) for request in pending.waiting]
        if pending.owner not in pending.waiting:  # abandoned, or its caller disconnected: it did not run
            return [
                SendToPeer(Freed(message.key, pending.owner)),
                *(ResumeAttempt(request, False) for request in pending.waiting),
            ]
        return [ResumeAttempt(request, request == pending.owner) for request in pending.waiting]

    def cancel_wait(self, request: str) -> None:
        """An attempt no longer waits for an answer, as its caller disconnected."""
        for pending in self.pending.values():
            pending.waiting.pop(request, None)

    def expire(self, now_ms: float) -> list[Step]:
        """Abandon the attempts whose deadline is over. The claims stay pending, so that a late answer frees keys."""
        steps: list[Step] = []
        for pending in self.pending.values():
            expired = [request for request, deadline_ms in pending.waiting.items() if deadline_ms <= now_ms]
            for request in expired:
                del pending.waiting[request]
                steps.append(AbandonAttempt(request))
        return steps

    def on_peer_exit(self) -> list[Step]:
        """The other process has ended: resume all waiting attempts."""
        waiting = [request for pending in self.pending.values() for request in pending.waiting]
        self.pending.clear()
        return [ResumeAttempt(request, False) for request in waiting]
