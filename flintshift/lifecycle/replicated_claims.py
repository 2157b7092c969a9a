"""Claims of keys that are agreed with other members: a try of a keyed request becomes a claim, and the answers of the
holders become events of the planner. Imported only if replication is on.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from flintshift.core import attempts as at
from flintshift.core.attempts import Attempt
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.keys import KeyEntry as TableEntry
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
    """Implements ``core.ports.Claims``.

    ``node_now_ms`` is the node's clock, ``now_ms`` that of the proposals. ``send_event`` passes an event to the
    proposals, in a turn of the planner."""

    required = True

    def __init__(
        self,
        decisions: Decisions,
        limits: Limits,
        node_now_ms: Callable[[], float],
        now_ms: Callable[[], float],
        send_event: Callable[[Event], None],
        counters: Counters,
        log: Log,
    ) -> None:
        self.decisions, self.limits, self.node_now_ms, self.now_ms = decisions, limits, node_now_ms, now_ms
        self.send_event, self.counters, self.log = send_event, counters, log
        self.pending_keys: dict[str, Key] = {}  # by request id, of tries that wait for an answer of the holders

    def in_doubt(self, attempt: Attempt) -> bool:
        return False

    def request_claim(self, attempt: Attempt) -> None:
        available_ms = attempt.deadline_at_ms - self.limits.claim_reserve_ms - self.node_now_ms()
        key = key_of(attempt)
        self.pending_keys[attempt.id] = key
        self.send_event(
            Claim(
                key,
                attempt.id,
                fingerprint(attempt),
                self._retention_ms(attempt),
                self.now_ms() + min(self.limits.claim_timeout_ms, max(available_ms, 0.0)),
                attempt.marked_repeat or not self.decisions.catalogue.effective_settings.marks_repeats,
            )
        )

    def _retention_ms(self, attempt: Attempt) -> float:
        assert attempt.request_class is not None
        return self._class_retention_ms(attempt.request_class)

    def _class_retention_ms(self, request_class: RequestClass) -> float:
        """How long after the arrival of a try its key must be remembered."""
        return (
            request_class.repeat_window_ms
            + request_class.deadline_ms
            + self.limits.key_margin_ms
            + self.limits.max_repeat_delay_ms
        )

    def max_retention_ms(self) -> float:
        """The longest time, of all classes, for which a key must be remembered, with a reserve as clocks may differ."""
        retention_times = (
            self._class_retention_ms(request_class)
            for request_class in self.decisions.catalogue.effective_settings.classes
        )
        min_ms = self.limits.key_margin_ms + self.limits.max_repeat_delay_ms
        return max(retention_times, default=min_ms) + self.limits.clock_skew_ms

    def cancel_claim(self, request: str) -> None:
        key = self.pending_keys.pop(request, None)
        if key is not None:
            self.send_event(CallerDeparted(key, request))

    def on_key_claimed(self, attempt: Attempt) -> None:
        """Nothing to do: the key table has the entry, and the holders have the claim."""

    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        available_ms = attempt.deadline_at_ms - self.limits.claim_reserve_ms - self.node_now_ms()
        self.send_event(
            Finish(
                key_of(attempt),
                attempt.id,
                fingerprint(attempt),
                self._retention_ms(attempt),
                self.now_ms() + max(available_ms, 0.0),
                outcome,
                result,
            )
        )
        return True

    def on_run_ended(self, attempt: Attempt) -> None:
        """Nothing to do: the holders have the outcome already."""

    def on_key_freed(self, attempt: Attempt) -> None:
        self.send_event(Free(key_of(attempt), attempt.id))

    def tick(self) -> None:
        """Nothing to do: the proposals have their own timer."""

    def on_message(self, action: Action) -> None:
        """Convert an action of the proposals into events of the planner, in a turn of the planner."""
        pending, keys = self.decisions.pending, self.decisions.keys
        match action:
            case Granted(owner):
                self.pending_keys.pop(owner, None)
                pending.append(at.ClaimAnswered(owner, True))
            case ClaimedByOther(waiting, key, value):
                live_until_ms = self.node_now_ms() + self.limits.clock_skew_ms + self.limits.claim_timeout_ms
                adopted_entry = TableEntry(
                    value.owner, live_until_ms, value.fingerprint, value.outcome, value.result, foreign=True
                )
                pending.extend(
                    at.RunFinished(follower, Outcome.ERROR) for follower in keys.adopt(key, adopted_entry, -math.inf)
                )
                for owner in waiting:
                    self.pending_keys.pop(owner, None)
                    pending.append(at.ClaimAnswered(owner, False))
            case MajorityUnavailable(owner, may_have_run, cause):
                self.pending_keys.pop(owner, None)
                self.counters.add("copies.no_word")
                # Without the request's id, so that many such lines are logged as one with its count.
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
                        cause="another member settled this run while this one was unreachable",
                    )
                pending.append(at.OutcomeRecorded(owner, outcome, result))
            case OutcomeOverdue(owner):
                pending.append(at.OutcomeRecorded(owner, None))
            case FollowedKeyEnded(key, value):
                entry = keys.foreign_entry(key, value.owner)
                if entry is None:
                    return
                if value.stage is Stage.FREE:
                    pending.extend(
                        at.RunFinished(request, Outcome.REJECTED) for request in keys.release_foreign(key, value.owner)
                    )
                else:
                    outcome = value.outcome or Outcome.ERROR
                    pending.extend(
                        at.RunFinished(request, outcome, 0.0, value.result)
                        for request in keys.record_outcome(entry, outcome, value.result)
                    )


def key_of(attempt: Attempt) -> Key:
    """The replicated key of an attempt: its class and its request key."""
    return attempt.class_name, attempt.request_key or ""
