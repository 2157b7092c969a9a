"""The node's clock: milliseconds that pass as real time does, however the system's wall clock is set.

All deadlines, windows, waits and graces are spans of it. The wall clock is looked at for one thing alone: callers tell
by it when a request came to the machine (`X-Door-Time`), and `Clock.age_ms` turns that into the time since then.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

STEP_S = 0.05  # a change of the wall clock against the monotonic one that is no slewing
STEPS_KEPT = 16
TOLERANCE_S = 0.005  # for the whole milliseconds that callers tell, and for the time between two readings


@dataclass(frozen=True, slots=True)
class WallEpoch:
    """A time in which the wall clock was not stepped, in seconds of the monotonic clock."""

    ahead_s: float  # of the wall clock before the monotonic one
    from_s: float  # it had begun by then, at the latest a look later
    until_s: float  # it was over by then


class Clock:
    """Unix milliseconds at its making, and from then on at the pace of the monotonic clock. Both clocks are read in
    seconds."""

    def __init__(
        self, unix_s: Callable[[], float] = time.time, monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.unix_s, self.monotonic_s = unix_s, monotonic_s
        self.looked_s = monotonic_s()
        self.ahead_s = self.wall_ahead_s = unix_s() - self.looked_s  # of the monotonic clock: this one, the wall's
        self.began_s = -float("inf")  # the epoch of the wall clock that goes on
        self.past: deque[WallEpoch] = deque(maxlen=STEPS_KEPT)  # newest first

    def __call__(self) -> float:
        return (self._look() + self.ahead_s) * 1000

    def steady_ms(self, at_ms: float) -> float:
        """A time of this clock by the monotonic one, which all processes of the machine share."""
        return at_ms - self.ahead_s * 1000

    def join(self, ahead_ms: float) -> None:
        """Go on as the clock of another process of this machine, which is ahead of the monotonic one by so much."""
        self.ahead_s = ahead_ms / 1000

    def _look(self) -> float:
        """The monotonic clock; a step of the wall clock since the last look is noted."""
        now_s = self.monotonic_s()
        wall_ahead_s = self.unix_s() - now_s
        if abs(wall_ahead_s - self.wall_ahead_s) > STEP_S:
            self.past.appendleft(WallEpoch(self.wall_ahead_s, self.began_s, now_s))
            self.began_s = self.looked_s
        self.wall_ahead_s, self.looked_s = wall_ahead_s, now_s
        return now_s

    def age_ms(self, unix_ms: float) -> float:
        """How long ago the wall clock showed this time; below 0 where it never did.

        After a step the same time may have been shown twice: it is taken for the later of them, which is the one of a
        request that has just come."""
        now_s = self._look()
        for epoch in (WallEpoch(self.wall_ahead_s, self.began_s, now_s), *self.past):
            at_s = unix_ms / 1000 - epoch.ahead_s
            if epoch.from_s - TOLERANCE_S <= at_s <= epoch.until_s + TOLERANCE_S:
                return max(0.0, now_s - at_s) * 1000
        return (now_s + self.wall_ahead_s) * 1000 - unix_ms
