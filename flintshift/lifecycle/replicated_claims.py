"""The decision planner's port where keys are agreed with further members: a try of a keyed request becomes a claim, and
what the holders say becomes the planner's next events. Imported only where copies are on.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from flintshift.core import attempts as at
from flintshift.core.attempts import Attempt
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.keys import KeyEntry as Held
from flintshift.core.keys import Stage, fingerprint
from flintshift.core.limits import Limits
from flintshift.core.ports import Log
from flintshift.interface import Outcome, RequestClass
from flintshift.replication.messages import (
    Action,
    CallerDeparted,
    Claim,
    ClaimedByOther,
    Event,
    Finish,
    FollowedKeyEnded,
    Free,
    Granted,
    Key,
    MajorityUnavailable,
    OutcomeOverdue,
    Settled,
)


class ReplicatedClaims:
    """``core.ports.Claims``. ``wall_ms`` is the node's clock, ``now_ms`` the one of the proposals, ``tell`` hands an
    event to them in a turn of the planner."""

    required = True

    def __init__(
        self,
        decisions: Decisions,
        limits: Limits,
        wall_ms: Callable[[], float],
        now_ms: Callable[[], float],
        tell: Callable[[Event], None],
        counters: Counters,
        log: Log,
    ) -> None:
        self.decisions, self.limits, self.wall_ms, self.now_ms = decisions, limits, wall_ms, now_ms
        self.tell, self.counters, self.log = tell, counters, log
        self.keys: dict[str, Key] = {}  # of tries that wait for the holders' word

    def in_doubt(self, attempt: Attempt) -> bool:
        return False

    def request_claim(self, attempt: Attempt) -> None:
        spare = attempt.deadline_at_ms - self.limits.claim_reserve_ms - self.wall_ms()
        key = key_of(attempt)
        self.keys[attempt.id] = key
        self.tell(
            Claim(
                key,
                attempt.id,
                fingerprint(attempt),
                self._keep_ms(attempt),
                self.now_ms() + min(self.limits.claim_timeout_ms, max(spare, 0.0)),
                attempt.marked_repeat or not self.decisions.catalogue.effective_settings.marks_repeats,
            )
        )

    def _keep_ms(self, attempt: Attempt) -> float:
        assert attempt.request_class is not None
        return self._promised_ms(attempt.request_class)

    def _promised_ms(self, kind: RequestClass) -> float:
        """From a try's arrival until nothing is promised of it any more."""
        return kind.repeat_window_ms + kind.deadline_ms + self.limits.key_margin_ms + self.limits.max_repeat_delay_ms

    def max_retention_ms(self) -> float:
        """The same for the class that is kept longest, as clocks of members may differ."""
        promised = (self._promised_ms(kind) for kind in self.decisions.catalogue.effective_settings.classes)
        least = self.limits.key_margin_ms + self.limits.max_repeat_delay_ms
        return max(promised, default=least) + self.limits.clock_skew_ms

    def cancel_claim(self, request: str) -> None:
        key = self.keys.pop(request, None)
        if key is not None:
            self.tell(CallerDeparted(key, request))

    def on_key_claimed(self, attempt: Attempt) -> None:
        """The table holds its entry; the holders have its claim."""

    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        due = attempt.deadline_at_ms - self.limits.claim_reserve_ms - self.wall_ms()
        self.tell(
            Finish(
                key_of(attempt),
                attempt.id,
                fingerprint(attempt),
                self._keep_ms(attempt),
                self.now_ms() + max(due, 0.0),
                outcome,
                result,
            )
        )
        return True

    def on_run_ended(self, attempt: Attempt) -> None:
        """Its end is kept by the holders already."""

    def on_key_freed(self, attempt: Attempt) -> None:
        self.tell(Free(key_of(attempt), attempt.id))

    def tick(self) -> None:
        """The proposals have a clock of their own."""

    def on_message(self, word: Action) -> None:
        """In a turn of the planner."""
        pending, keys = self.decisions.pending, self.decisions.keys
        match word:
            case Granted(owner):
                self.keys.pop(owner, None)
                pending.append(at.ClaimAnswered(owner, True))
            case ClaimedByOther(waiting, key, value):
                until = self.wall_ms() + self.limits.clock_skew_ms + self.limits.claim_timeout_ms
                held = Held(value.owner, until, value.fingerprint, value.outcome, value.result, foreign=True)
                pending.extend(at.RunFinished(follower, Outcome.ERROR) for follower in keys.adopt(key, held, -math.inf))
                for owner in waiting:
                    self.keys.pop(owner, None)
                    pending.append(at.ClaimAnswered(owner, False))
            case MajorityUnavailable(owner, may_have_run, cause):
                self.keys.pop(owner, None)
                self.counters.add("copies.no_word")
                # Without the request's id, so that a flood of them is told as one with its count.
                self.log("warning", "copies.no_word", name=cause, may_have_run=may_have_run)
                self.log("debug", "copies.no_word_for", request=owner, may_have_run=may_have_run, cause=cause)
                pending.append(at.ClaimAnswered(owner, None, not may_have_run))
            case Settled(key, owner, outcome, result, ours):
                if not ours:
                    self.counters.add("copies.fenced")
                    self.log(
                        "warning",
                        "copies.fenced",
                        request=owner,
                        key=key[1],
                        outcome=outcome.value,
                        cause="another member settled this run while this one was out of reach",
                    )
                pending.append(at.OutcomeRecorded(owner, outcome, result))
            case OutcomeOverdue(owner):
                pending.append(at.OutcomeRecorded(owner, None))
            case FollowedKeyEnded(key, value):
                other = keys.foreign_entry(key, value.owner)
                if other is None:
                    return
                if value.stage is Stage.FREE:
                    pending.extend(
                        at.RunFinished(one, Outcome.REJECTED) for one in keys.release_foreign(key, value.owner)
                    )
                else:
                    outcome = value.outcome or Outcome.ERROR
                    pending.extend(
                        at.RunFinished(one, outcome, 0.0, value.result)
                        for one in keys.record_outcome(other, outcome, value.result)
                    )


def key_of(attempt: Attempt) -> Key:
    return attempt.class_name, attempt.request_key or ""
