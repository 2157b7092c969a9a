"""Keyed attempts that wait for other processes: for the claim on their key before a run, and for the record of its
outcome after it.

The port `Claims` knows these processes: the other process of an upgrade, or further members of the fleet. Without such
a port no attempt waits here.
"""

from __future__ import annotations

from enum import Enum

from flintshift.core.attempts import Attempt
from flintshift.core.ports import Claims
from flintshift.interface import Outcome


class ClaimState(Enum):
    """Whether an attempt may run, or must wait for the answer to its claim."""

    NOT_NEEDED = "not_needed"  # this process decides alone
    WAITING = "waiting"  # until the report `ClaimAnswered`
    UNSURE = "unsure"  # it may have run in a process that can't be asked any more


class WaitingClaims:
    """The attempts that wait and the port that they wait for; at most one attempt per connection."""

    def __init__(self) -> None:
        self.claims: Claims | None = None
        self.may_run_elsewhere = False  # an earlier try may have run at another member of the fleet
        self.awaiting_claim: dict[str, Attempt] = {}  # by id: the claim on their keys is not answered yet
        self.awaiting_record: dict[str, Attempt] = {}  # by id: they ran; answered once the outcome is recorded

    def __contains__(self, request: str) -> bool:
        return request in self.awaiting_claim or request in self.awaiting_record

    @property
    def open(self) -> int:
        """The number of attempts that wait here and whose answer is pending."""
        return len(self.awaiting_claim) + sum(not attempt.settled for attempt in self.awaiting_record.values())

    def may_have_run(self, attempt: Attempt, marks_repeats: bool) -> bool:
        """Whether an earlier try of it may have run elsewhere; ``marks_repeats``: callers mark their repeats."""
        return self.may_run_elsewhere and (attempt.marked_repeat or not marks_repeats)

    # Before a run.

    def request_claim(self, attempt: Attempt) -> ClaimState:
        """Ask the other processes whether this attempt, whose key is unknown here, may run."""
        if self.claims is None:
            return ClaimState.NOT_NEEDED
        if self.claims.in_doubt(attempt):
            return ClaimState.UNSURE
        if not self.claims.required:
            return ClaimState.NOT_NEEDED
        self.awaiting_claim[attempt.id] = attempt
        self.claims.request_claim(attempt)
        return ClaimState.WAITING

    def on_claim_answered(self, request: str) -> Attempt | None:
        """The claim was answered, or can't be answered any more; returns the attempt, if it still waits."""
        return self.awaiting_claim.pop(request, None)

    def on_caller_disconnected(self, attempt: Attempt) -> bool:
        """The caller of an attempt disconnected; False if the attempt does not wait here. One that has run stays until
        its outcome is recorded, as repeats of it must get that outcome."""
        if self.awaiting_claim.pop(attempt.id, None) is None:
            return attempt.id in self.awaiting_record
        if self.claims is not None:
            self.claims.cancel_claim(attempt.id)
        return True

    # Changes of a key in this process.

    def on_key_claimed(self, attempt: Attempt) -> None:
        """The key table has an entry that the attempt owns."""
        if self.claims is not None:
            self.claims.on_key_claimed(attempt)

    def on_key_freed(self, attempt: Attempt) -> None:
        """The attempt never ran, and the key table has no entry of it."""
        if self.claims is not None:
            self.claims.on_key_freed(attempt)

    def on_run_ended(self, attempt: Attempt) -> None:
        """The attempt's run has ended, and the key table has the outcome."""
        if self.claims is not None:
            self.claims.on_run_ended(attempt)

    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        """Have the outcome recorded elsewhere. True: the attempt is answered only after `OutcomeRecorded`."""
        if self.claims is None or not self.claims.record_outcome(attempt, outcome, result):
            return False
        self.awaiting_record[attempt.id] = attempt
        return True

    def on_outcome_recorded(self, request: str, outcome: Outcome | None) -> Attempt | None:
        """The outcome is recorded. None: it can't be in time for the caller, and recording is still retried."""
        if outcome is None:
            return self.awaiting_record.get(request)
        return self.awaiting_record.pop(request, None)
