"""The keeper: decides which records the ledger writes. Without I/O; time is handed in, the book is read, not changed.

- A period turns when the ledger's time leaves it, and never to one that has closed.
- It closes once, in the order of time, a grace after its end, when no answer of it is on its way any more: a front
  writes no answer for longer than ``Limits.write_ms``, so this ends.
- While documents can't be written, at most ``Bounds.documents`` are made and ``Bounds.periods`` are open: the last
  one then goes on past its end, and the next begins where the time is by then.
- A change of the length takes effect at the end of the period that is open then; the next one is cut to its grid.
- Where the ledger's writer is dead and another goes on with it, all periods close.
- A correction is taken once. It changes an open period's rows, and makes a revision of a closed one.
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

MOST = 2**63 - 1
IDENTIFIER = re.compile(r"[A-Za-z0-9._-]{1,64}")


class LedgerPolicy:
    def __init__(self, book: UsageAccounts, grace_ms: int) -> None:
        self.accounts, self.grace_ms = book, grace_ms

    def handle(self, now_ms: float, event: PolicyEvent) -> list[PolicyAction]:
        now = int(now_ms)
        match event:
            case Tick():
                return self._time_passed(now)
            case OwnerDied():
                return self._closed_all(now)
            case ClockAdjusted(by_ms):
                return [*self._time_passed(now), Append(ClockStepped(now, by_ms))]
            case CorrectionRequested():
                return self._correction(now, event)
            case DocumentsPublished(number):
                return [Append(Published(number))]
            case DocumentsRetired(before_ms):
                return [Append(Forgotten(before_ms))]
            case DiskRecovered(from_ms, requests, cause):
                return [Append(Gap(from_ms, now, requests, cause))]

    def _time_passed(self, now: int) -> list[PolicyAction]:
        state = self.accounts.state
        actions: list[PolicyAction] = []
        current, edge = state.current, state.closed_to
        if current is not None:
            edge = max(edge, current + state.periods[current].length)
        if current is None or (now >= edge and len(state.periods) < self.accounts.bounds.periods):
            current = max(period_of(now, state.period_ms), edge)
            actions.append(Append(Rotated(current, period_of(current, state.period_ms) + state.period_ms - current)))
        room = self.accounts.bounds.documents - len(state.documents)
        answers = {found.period for found in state.waiting.values()}
        for begin, period in sorted(state.periods.items()):
            if begin == current or now < begin + period.length + self.grace_ms or begin in answers:
                break  # in their order: a later one does not close before an earlier one
            if room <= 0:
                break
            room -= 1
            actions.append(Append(Closed(begin, now)))
        return actions

    def _closed_all(self, now: int) -> list[PolicyAction]:
        """Every period is over, and no answer of any is on its way."""
        room = max(0, self.accounts.bounds.documents - len(self.accounts.state.documents))
        return [Append(Closed(begin, now)) for begin in sorted(self.accounts.state.periods)[:room]]

    def _correction(self, now: int, asked: CorrectionRequested) -> list[PolicyAction]:
        entry = Corrected(
            asked.id,
            asked.author,
            asked.reason,
            now,
            asked.period,
            asked.club,
            asked.class_name,
            asked.front,
            asked.outcome,
            list(asked.amounts),
            self._length(asked),
        )
        known = self.accounts.state.corrections.get(asked.id)
        if known is not None:
            if known[0] == content_digest(entry):
                return [Reply(True, "was taken before; nothing changes")]
            return [Reply(False, f"the id {asked.id} was taken before with another content")]
        fault = self._fault(asked)
        if fault is not None:
            return [Reply(False, fault)]
        if asked.period in self.accounts.state.periods:
            return [Append(entry), Reply(True, "is in the period, which is open")]
        revision = self.accounts.state.revisions.get(asked.period, 0) + 1
        return [Append(entry), Reply(True, f"makes revision {revision} of the period, which has closed")]

    def _length(self, asked: CorrectionRequested) -> int:
        period = self.accounts.state.periods.get(asked.period)
        return period.length if period is not None else asked.length or 0

    def _fault(self, asked: CorrectionRequested) -> str | None:
        """Why a correction is impossible; None where it is not."""
        state = self.accounts.state
        if IDENTIFIER.fullmatch(asked.id) is None:
            return "the id is 1 to 64 of A-Z a-z 0-9 . _ -"
        if not asked.author.strip() or not asked.reason.strip() or max(len(asked.author), len(asked.reason)) > 500:
            return "author and reason are 1 to 500 characters each"
        if asked.club not in (*state.clubs, OTHER_CLUBS):
            return f"the club {asked.club!r} is unknown; known are {', '.join((*state.clubs, OTHER_CLUBS))}"
        if asked.class_name not in state.classes:
            return f"the class {asked.class_name!r} is unknown; known are {', '.join(state.classes)}"
        if asked.front not in FRONTS or asked.outcome not in OUTCOMES:
            return f"the front is one of {', '.join(FRONTS)}, the outcome one of {', '.join(OUTCOMES)}"
        if len(asked.amounts) != len(AMOUNTS) or not any(asked.amounts):
            return "nothing is corrected: all amounts are 0"
        if len(state.corrections) >= self.accounts.bounds.corrections:
            return f"{len(state.corrections):,} corrections are known, the most that there may be"
        period = state.periods.get(asked.period)
        if period is None and len(state.documents) >= self.accounts.bounds.documents:
            return f"{len(state.documents)} documents wait to be written: look at the disk, and hand it in again"
        if period is not None:
            names = asked.club, asked.class_name, asked.front, asked.outcome
            standing = tuple(self.accounts.settled_amounts(asked.period, names))
        elif asked.length is None:
            return f"no period begins at {asked.period} ms"
        else:
            standing = asked.closed or (0,) * len(AMOUNTS)
        for name, before, by in zip(AMOUNTS, standing, asked.amounts, strict=True):
            if abs(by) > MOST or before + by > MOST:
                return f"{name}: {before:,} and {by:+,} is more than {MOST:,}"
            if before + by < 0:
                return f"{name}: {before:,} and {by:+,} is below zero"
        return None
