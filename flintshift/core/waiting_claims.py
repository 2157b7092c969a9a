"""Keyed attempts that wait for others: for their word on the key before a run, and for them to keep its end after it.

Who the others are is known by the port `Claims`: the other process of an upgrade, or further members of the fleet.
Without such a port nothing ever waits here.
"""

from __future__ import annotations

from enum import Enum

from flintshift.core.attempts import Attempt
from flintshift.core.ports import Claims
from flintshift.interface import Outcome


class ClaimState(Enum):
    """What became of the question whether an attempt may run."""

    NOT_NEEDED = "not_needed"  # this process decides alone
    WAITING = "waiting"  # the report `Agreed` will tell
    UNSURE = "unsure"  # it may have run where nobody can be asked any more


class WaitingClaims:
    """The attempts that wait, and the port at which they do; one attempt a connection at most."""

    def __init__(self) -> None:
        self.claims: Claims | None = None
        self.may_run_elsewhere = False  # a further try may be of a request that ran at another member of the fleet
        self.awaiting_claim: dict[str, Attempt] = {}  # the others' word on their keys
        self.awaiting_record: dict[str, Attempt] = {}  # they ran, and are answered once their end is kept elsewhere too

    def __contains__(self, request: str) -> bool:
        return request in self.awaiting_claim or request in self.awaiting_record

    @property
    def open(self) -> int:
        """Requests that wait here and are owed an answer."""
        return len(self.awaiting_claim) + sum(not attempt.settled for attempt in self.awaiting_record.values())

    def may_have_run(self, attempt: Attempt, marks_repeats: bool) -> bool:
        """An earlier try of it may have run where this process can't see it; ``marks_repeats``: callers mark tries."""
        return self.may_run_elsewhere and (attempt.marked_repeat or not marks_repeats)

    # Before a run.

    def request_claim(self, attempt: Attempt) -> ClaimState:
        """Have the others say whether this attempt, of whose key nothing is known here, may run."""
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
        """Their word on it has come, or can't come any more; None where nobody waits for it."""
        return self.awaiting_claim.pop(request, None)

    def on_caller_disconnected(self, attempt: Attempt) -> bool:
        """The caller of an attempt went; False where it does not wait here. What has run stays until its end is kept:
        its repeats are to get it."""
        if self.awaiting_claim.pop(attempt.id, None) is None:
            return attempt.id in self.awaiting_record
        if self.claims is not None:
            self.claims.cancel_claim(attempt.id)
        return True

    # What becomes of a key here.

    def on_key_claimed(self, attempt: Attempt) -> None:
        """The table holds the entry of its key."""
        if self.claims is not None:
            self.claims.on_key_claimed(attempt)

    def on_key_freed(self, attempt: Attempt) -> None:
        """It never ran, and the table holds nothing of it."""
        if self.claims is not None:
            self.claims.on_key_freed(attempt)

    def on_run_ended(self, attempt: Attempt) -> None:
        """Its run has ended, and the table holds how."""
        if self.claims is not None:
            self.claims.on_run_ended(attempt)

    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        """The others are to keep how it ended before it is answered: the report `Kept` will tell."""
        if self.claims is None or not self.claims.record_outcome(attempt, outcome, result):
            return False
        self.awaiting_record[attempt.id] = attempt
        return True

    def on_outcome_recorded(self, request: str, outcome: Outcome | None) -> Attempt | None:
        """They keep it, or (no outcome) can't in time for its caller, and go on trying."""
        if outcome is None:
            return self.awaiting_record.get(request)
        return self.awaiting_record.pop(request, None)
