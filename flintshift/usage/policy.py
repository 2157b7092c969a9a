"""The policy of the usage ledger: decides which records the ledger writes.

A state machine without I/O: time is passed in, and the accounts are read but not changed.

- A period rotates when the ledger's time is past its end, and never to a period that has closed.
- Periods close once, in the order of time, a grace time after their end, when none of their answers is still being
  sent. A front writes no answer for longer than ``Limits.write_timeout_ms``, so that wait ends.
- While documents can't be written, at most ``Bounds.documents`` are made and ``Bounds.periods`` are open. The last
  period then continues past its end, and the next one begins at the time that is current when there is capacity again.
- A change of the period length takes effect at the end of the period that is open then. The next period is shortened
  to the boundaries of the new length.
- Where the ledger's owner is dead and another member continues the ledger, all periods close.
- A correction is accepted once. It changes the rows of an open period, and makes a revision of a closed one.
"""

from __future__ import annotations

import re

from flintshift.usage.accounts import UsageAccounts, content_digest
from flintshift.usage.messages import (
    Append,
    ClockAdjusted,
    CorrectionRequested,
    DiskRecovered,
    DocumentsPublished,
    DocumentsRetired,
    OwnerDied,
    PolicyAction,
    PolicyEvent,
    Reply,
    Tick,
)
from flintshift.usage.periods import period_of
from flintshift.usage.records import (
    AMOUNTS,
    FRONTS,
    OTHER_CLUBS,
    OUTCOMES,
    ClockStepped,
    Closed,
    Corrected,
    Forgotten,
    Gap,
    Published,
    Rotated,
)

MAX_AMOUNT = 2**63 - 1
CORRECTION_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")


class LedgerPolicy:
    """The state machine of the policy. ``grace_ms`` is the time from a period's end until it closes."""

    def __init__(self, accounts: UsageAccounts, grace_ms: int) -> None:
        self.accounts, self.grace_ms = accounts, grace_ms

    def handle(self, now_ms: float, event: PolicyEvent) -> list[PolicyAction]:
        """Decide what an event leads to."""
        now = int(now_ms)
        match event:
            case Tick():
                return self._rotate_and_close(now)
            case OwnerDied():
                return self._close_all(now)
            case ClockAdjusted(by_ms):
                return [*self._rotate_and_close(now), Append(ClockStepped(now, by_ms))]
            case CorrectionRequested():
                return self._handle_correction(now, event)
            case DocumentsPublished(number):
                return [Append(Published(number))]
            case DocumentsRetired(before_ms):
                return [Append(Forgotten(before_ms))]
            case DiskRecovered(from_ms, requests, cause):
                return [Append(Gap(from_ms, now, requests, cause))]

    def _rotate_and_close(self, now: int) -> list[PolicyAction]:
        state = self.accounts.state
        actions: list[PolicyAction] = []
        current, earliest_begin = state.current, state.closed_to
        if current is not None:
            earliest_begin = max(earliest_begin, current + state.periods[current].length)
        if current is None or (now >= earliest_begin and len(state.periods) < self.accounts.bounds.periods):
            current = max(period_of(now, state.period_ms), earliest_begin)
            actions.append(Append(Rotated(current, period_of(current, state.period_ms) + state.period_ms - current)))
        capacity = self.accounts.bounds.documents - len(state.documents)
        unanswered = {pending.period for pending in state.waiting.values()}
        for begin, period in sorted(state.periods.items()):
            if begin == current or now < begin + period.length + self.grace_ms or begin in unanswered:
                break  # a later period does not close before an earlier one
            if capacity <= 0:
                break
            capacity -= 1
            actions.append(Append(Closed(begin, now)))
        return actions

    def _close_all(self, now: int) -> list[PolicyAction]:
        """Close every period, as far as there is capacity for documents: the owner sends no more answers."""
        capacity = max(0, self.accounts.bounds.documents - len(self.accounts.state.documents))
        return [Append(Closed(begin, now)) for begin in sorted(self.accounts.state.periods)[:capacity]]

    def _handle_correction(self, now: int, request: CorrectionRequested) -> list[PolicyAction]:
        entry = Corrected(
            request.id,
            request.author,
            request.reason,
            now,
            request.period,
            request.club,
            request.class_name,
            request.front,
            request.outcome,
            list(request.amounts),
            self._period_length(request),
        )
        known = self.accounts.state.corrections.get(request.id)
        if known is not None:
            if known[0] == content_digest(entry):
                return [Reply(True, "was taken before; nothing changes")]
            return [Reply(False, f"the id {request.id} was taken before with another content")]
        fault = self._find_fault(request)
        if fault is not None:
            return [Reply(False, fault)]
        if request.period in self.accounts.state.periods:
            return [Append(entry), Reply(True, "is in the period, which is open")]
        revision = self.accounts.state.revisions.get(request.period, 0) + 1
        return [Append(entry), Reply(True, f"makes revision {revision} of the period, which has closed")]

    def _period_length(self, request: CorrectionRequested) -> int:
        period = self.accounts.state.periods.get(request.period)
        return period.length if period is not None else request.length or 0

    def _find_fault(self, request: CorrectionRequested) -> str | None:
        """Return why a correction is rejected; None where it is acceptable."""
        state = self.accounts.state
        if CORRECTION_ID.fullmatch(request.id) is None:
            return "the id is 1 to 64 of A-Z a-z 0-9 . _ -"
        if (
            not request.author.strip()
            or not request.reason.strip()
            or max(len(request.author), len(request.reason)) > 500
        ):
            return "author and reason are 1 to 500 characters each"
        if request.club not in (*state.clubs, OTHER_CLUBS):
            return f"the club {request.club!r} is unknown; known are {', '.join((*state.clubs, OTHER_CLUBS))}"
        if request.class_name not in state.classes:
            return f"the class {request.class_name!r} is unknown; known are {', '.join(state.classes)}"
        if request.front not in FRONTS or request.outcome not in OUTCOMES:
            return f"the front is one of {', '.join(FRONTS)}, the outcome one of {', '.join(OUTCOMES)}"
        if len(request.amounts) != len(AMOUNTS) or not any(request.amounts):
            return "nothing is corrected: all amounts are 0"
        if len(state.corrections) >= self.accounts.bounds.corrections:
            return f"{len(state.corrections):,} corrections are known, the most that there may be"
        period = state.periods.get(request.period)
        if period is None and len(state.documents) >= self.accounts.bounds.documents:
            return f"{len(state.documents)} documents wait to be written: look at the disk, and hand it in again"
        if period is not None:
            key = request.club, request.class_name, request.front, request.outcome
            recorded = tuple(self.accounts.settled_amounts(request.period, key))
        elif request.length is None:
            return f"no period begins at {request.period} ms"
        else:
            recorded = request.closed or (0,) * len(AMOUNTS)
        for name, before, change in zip(AMOUNTS, recorded, request.amounts, strict=True):
            if abs(change) > MAX_AMOUNT or before + change > MAX_AMOUNT:
                return f"{name}: {before:,} and {change:+,} is more than {MAX_AMOUNT:,}"
            if before + change < 0:
                return f"{name}: {before:,} and {change:+,} is below zero"
        return None
