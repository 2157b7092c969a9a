"""When a node reports to a list service that hundreds of other nodes report to, without I/O.

- The first report comes at a random time in a window that grows with the fleet. Nothing is lost by that delay if the
  service lists a node for a while by itself.
- Each further report comes about one period after the one before, with random variation, so that nodes which happen to
  report at the same time drift apart.
- A report that was not taken is retried after growing, random delays: soon enough that an entry does not lapse because
  of one lost report, and after some retries at less than half the steady rate, so that a collapsed service can recover.
- A changed status is reported at once, whatever the delays.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from flintshift.startup.backoff import Backoff, Uniform

FULL_SPREAD_NODES = 8  # from this fleet size on, first reports are spread over a whole period


@dataclass(frozen=True, slots=True)
class ReportTiming:
    """Times in milliseconds; ``spread`` is a share of the period."""

    period_ms: float = 800.0  # between reports of an unchanged status
    spread: float = 0.05  # a period is varied at random by up to this share, both ways
    retry_ms: float = 100.0  # the first delay after a report that was not taken
    max_retry_ms: float = (
        2800.0  # under the 3 s after which a list drops a node, so that it reports in time once the service is back
    )
    nodes: int = 1  # of the fleet, including this one, by the settings

    @property
    def window_ms(self) -> float:
        """The window of the first report."""
        return self.period_ms * min(1.0, max(0, self.nodes - 1) / (FULL_SPREAD_NODES - 1))


# Events.


@dataclass(frozen=True, slots=True)
class StatusChanged:
    """Report this status from now on; None: report nothing. ``last``: no more reports once this one was taken."""

    serving: bool | None
    last: bool = False


@dataclass(frozen=True, slots=True)
class ReportAnswered:
    """A report has ended, with or without an answer."""

    taken: bool
    began_ms: float  # of the report: an answer that is late or never comes must not delay the next report


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of an earlier `WakeAt` has come."""

    pass


Event = StatusChanged | ReportAnswered | Tick


# Actions.


@dataclass(frozen=True, slots=True)
class SendReport:
    """Report this now; the outcome comes as `ReportAnswered`."""

    serving: bool


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send a `Tick` at this time."""

    at_ms: float


Action = SendReport | WakeAt


class ReportSchedule:
    """The schedule of reports to one list service. While a report is in progress, only `StatusChanged` events come."""

    def __init__(self, timing: ReportTiming, uniform: Uniform) -> None:
        self.timing, self.uniform = timing, uniform
        self.backoff = Backoff(timing.retry_ms, timing.max_retry_ms, uniform)
        self.status = StatusChanged(None)
        self.began = False  # a status to report was set before
        self.due_ms = math.inf
        self.in_progress = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event; returns a report that is due now, or when to wake up."""
        match event:
            case StatusChanged():
                self._on_status(now_ms, event)
            case ReportAnswered(taken, began_ms):
                self.in_progress = False
                self._on_answer(now_ms, taken, began_ms)
            case Tick():
                pass
        if self.in_progress or self.status.serving is None or self.due_ms == math.inf:
            return []
        if now_ms < self.due_ms:
            return [WakeAt(self.due_ms)]
        self.in_progress = True
        return [SendReport(self.status.serving)]

    def _on_status(self, now_ms: float, event: StatusChanged) -> None:
        changed, before = event != self.status, self.status
        self.status = event
        if event.serving is None:
            self.due_ms = math.inf
        elif not self.began and event.serving:
            self.due_ms = now_ms + self.uniform(0.0, self.timing.window_ms)
        elif changed or before.last:
            self.due_ms = now_ms
        self.began = self.began or event.serving is not None

    def _on_answer(self, now_ms: float, taken: bool, began_ms: float) -> None:
        if self.due_ms > began_ms:
            return  # a status that was set meanwhile is due at its own time
        if not taken:
            self.due_ms = now_ms + self.backoff.next_ms()
            return
        self.backoff.reset()
        self.due_ms = (
            math.inf
            if self.status.last
            else began_ms + self.timing.period_ms * self.uniform(1.0 - self.timing.spread, 1.0 + self.timing.spread)
        )
