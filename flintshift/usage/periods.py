"""Periods of the usage ledger and the clock that they follow. No I/O: the driver passes clock readings in.

Periods are counted from the Unix epoch, in UTC, whatever their length. The ledger's clock runs with the steady clock.
It follows the system's clock only when the two stay apart: a clock that is moved and corrected again moves no period,
and one that is moved for good is followed after ``STEP_CONFIRM_MS``. The ledger's clock never runs backwards: after
the system's clock was set back, the ledger's time stands still until that time is reached again. Each step of the
system's clock is reported.
"""

from __future__ import annotations

from dataclasses import dataclass

STEP_CONFIRM_MS = 300_000.0  # a step is followed once the clocks have been apart for this long
CLOCK_TOLERANCE_MS = 1000.0  # a smaller difference is no step and is followed at once


def period_of(now_ms: float, length_ms: int) -> int:
    """Return the begin of the period that contains a time.

    >>> period_of(7_250, 1000)
    7000
    """
    return int(now_ms) // length_ms * length_ms


@dataclass(slots=True)
class ClockStep:
    """A sudden change of the system's clock."""

    at_ms: int
    by_ms: int  # difference from the ledger's clock


class LedgerClock:
    """Computes the ledger's time from readings of the system's clock and the steady clock.

    ``floor_ms`` is the latest time that was recorded before; the ledger's time is never earlier.
    """

    def __init__(self, wall_ms: float, steady_ms: float, floor_ms: float = 0.0) -> None:
        self.offset_ms = wall_ms - steady_ms
        self.floor_ms = floor_ms
        self.apart_since_ms: float | None = None
        self.apart_by_ms = 0.0
        self.step: ClockStep | None = None
        if wall_ms < floor_ms - CLOCK_TOLERANCE_MS:  # the clock was set back while the node was down
            self.step = ClockStep(int(wall_ms), int(wall_ms - floor_ms))

    def read(self, wall_ms: float, steady_ms: float) -> tuple[float, ClockStep | None]:
        """Return the ledger's time, and a step of the system's clock if these readings show one."""
        step, self.step = self.step, None
        difference_ms = wall_ms - steady_ms - self.offset_ms
        if abs(difference_ms) <= CLOCK_TOLERANCE_MS:
            self.offset_ms += difference_ms
            self.apart_since_ms = None
        elif self.apart_since_ms is None or abs(difference_ms - self.apart_by_ms) > CLOCK_TOLERANCE_MS:
            self.apart_since_ms, self.apart_by_ms = steady_ms, difference_ms
            step = step or ClockStep(int(steady_ms + self.offset_ms), int(difference_ms))
        elif steady_ms - self.apart_since_ms >= STEP_CONFIRM_MS:
            self.offset_ms += difference_ms
            self.apart_since_ms = None
        self.floor_ms = max(self.floor_ms, steady_ms + self.offset_ms)
        return self.floor_ms, step
