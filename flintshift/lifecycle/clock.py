"""The node's clock: milliseconds that pass as real time does, however the system's wall clock is set.

All deadlines, windows, waits and grace periods are spans of this clock. The wall clock is read for one purpose only:
callers state by it when a request arrived at the machine (`X-Door-Time`), and `Clock.age_ms` converts that to the time
since then.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MIN_STEP_S = 0.05  # the wall clock was stepped if it moved by more against the monotonic clock; less is slewing
MAX_PAST_EPOCHS = 16
TOLERANCE_S = 0.005  # callers state whole milliseconds, and some time passes between two readings


@dataclass(frozen=True, slots=True)
class WallEpoch:
    """A period in which the wall clock was not stepped, in seconds of the monotonic clock."""

    offset_s: float  # wall clock minus monotonic clock
    start_s: float  # the latest reading before the epoch began, so it may have begun up to one reading later
    end_s: float  # the epoch was over by then


class Clock:
    """Counts Unix milliseconds from the wall clock's time at its creation, at the rate of the monotonic clock.

    Both system clocks are read in seconds."""

    def __init__(
        self, unix_s: Callable[[], float] = time.time, monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.unix_s, self.monotonic_s = unix_s, monotonic_s
        self.last_read_s = monotonic_s()
        # This clock, and the wall clock, minus the monotonic one.
        self.offset_s = self.wall_offset_s = unix_s() - self.last_read_s
        self.epoch_start_s = -float("inf")  # of the current epoch of the wall clock
        self.past_epochs: deque[WallEpoch] = deque(maxlen=MAX_PAST_EPOCHS)  # newest first

    def __call__(self) -> float:
        return (self._read_monotonic_s() + self.offset_s) * 1000

    def steady_ms(self, at_ms: float) -> float:
        """Convert a time of this clock to the monotonic one, which all processes of the machine share."""
        return at_ms - self.offset_s * 1000

    def adopt_offset(self, ahead_ms: float) -> None:
        """Continue as the clock of another process of this machine, which is ahead of the monotonic one by this."""
        self.offset_s = ahead_ms / 1000

    def _read_monotonic_s(self) -> float:
        """Read the monotonic clock, and record a step of the wall clock since the last reading."""
        now_s = self.monotonic_s()
        wall_offset_s = self.unix_s() - now_s
        if abs(wall_offset_s - self.wall_offset_s) > MIN_STEP_S:
            self.past_epochs.appendleft(WallEpoch(self.wall_offset_s, self.epoch_start_s, now_s))
            self.epoch_start_s = self.last_read_s
        self.wall_offset_s, self.last_read_s = wall_offset_s, now_s
        return now_s

    def age_ms(self, unix_ms: float) -> float:
        """Return how long ago the wall clock showed this time; below 0 if it never did.

        After a step the wall clock may have shown the same time twice. The later of the two counts, as it belongs to a
        request that has just arrived."""
        now_s = self._read_monotonic_s()
        for epoch in (WallEpoch(self.wall_offset_s, self.epoch_start_s, now_s), *self.past_epochs):
            at_s = unix_ms / 1000 - epoch.offset_s
            if epoch.start_s - TOLERANCE_S <= at_s <= epoch.end_s + TOLERANCE_S:
                return max(0.0, now_s - at_s) * 1000
        return (now_s + self.wall_offset_s) * 1000 - unix_ms
