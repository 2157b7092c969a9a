"""When a node reports to a list service that hundreds of others report to, without I/O.

- The first report comes at a moment drawn from a window that grows with the fleet. Nothing is lost by it where the
  service lists a node by itself for a while.
- Then each comes about one period after the one before, drawn too, so that nodes which fell in step fall out of it.
- What was not taken is said again after growing, drawn waits: soon enough that an entry does not lapse for one report
  that was lost, and, after some, at under half the steady rate, so that a service which collapsed can come back.
- A word that changes something passes at once, whatever the waits say.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from flintshift.startup.backoff import Backoff, Uniform

CROWD = 8  # nodes: from so many on, first reports are spread over a whole period


@dataclass(frozen=True, slots=True)
class ReportTiming:
    """Milliseconds, but for ``spread``, a share of the period."""

    period_ms: float = 800.0  # the period of a word that is repeated
    spread: float = 0.05  # a period is drawn between so much less and so much more
    retry_ms: float = 100.0  # the first wait after a report that was not taken
    max_retry_ms: float = 2800.0  # under the 3 s after which a list forgets a node: it reports in time at the return
    nodes: int = 1  # of the fleet, this one too, as the settings tell

    @property
    def window_ms(self) -> float:
        return self.period_ms * min(1.0, max(0, self.nodes - 1) / (CROWD - 1))


# What is told.


@dataclass(frozen=True, slots=True)
class StatusChanged:
    """From now on report this; None: nothing. ``last``: no more once it was taken."""

    serving: bool | None
    last: bool = False


@dataclass(frozen=True, slots=True)
class ReportAnswered:
    taken: bool
    began_ms: float  # an answer that is late or never comes must not delay the next report


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = StatusChanged | ReportAnswered | Tick


# What it answers.


@dataclass(frozen=True, slots=True)
class SendReport:
    """Report this now; what becomes of it is told by `ReportAnswered`."""

    serving: bool


@dataclass(frozen=True, slots=True)
class WakeAt:
    at_ms: float


Action = SendReport | WakeAt


class ReportSchedule:
    """One list service's. No event but `StatusChanged` comes while a report is under way."""

    def __init__(self, pace: ReportTiming, uniform: Uniform) -> None:
        self.pace, self.uniform = pace, uniform
        self.waits = Backoff(pace.retry_ms, pace.max_retry_ms, uniform)
        self.word = StatusChanged(None)
        self.began = False  # a word was given before
        self.due_ms = math.inf
        self.under_way = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        match event:
            case StatusChanged():
                self._said(now_ms, event)
            case ReportAnswered(taken, began_ms):
                self.under_way = False
                self._answered(now_ms, taken, began_ms)
            case Tick():
                pass
        if self.under_way or self.word.serving is None or self.due_ms == math.inf:
            return []
        if now_ms < self.due_ms:
            return [WakeAt(self.due_ms)]
        self.under_way = True
        return [SendReport(self.word.serving)]

    def _said(self, now_ms: float, event: StatusChanged) -> None:
        changed, before = event != self.word, self.word
        self.word = event
        if event.serving is None:
            self.due_ms = math.inf
        elif not self.began and event.serving:
            self.due_ms = now_ms + self.uniform(0.0, self.pace.window_ms)
        elif changed or before.last:
            self.due_ms = now_ms
        self.began = self.began or event.serving is not None

    def _answered(self, now_ms: float, taken: bool, began_ms: float) -> None:
        if self.due_ms > began_ms:
            return  # what was said meanwhile is due at its own time
        if not taken:
            self.due_ms = now_ms + self.waits.next_ms()
            return
        self.waits.reset()
        self.due_ms = (
            math.inf
            if self.word.last
            else began_ms + self.pace.period_ms * self.uniform(1.0 - self.pace.spread, 1.0 + self.pace.spread)
        )
