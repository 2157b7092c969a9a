"""The node's clock: Unix milliseconds that never stand still and never go back, however the system's clock is set."""

from __future__ import annotations

import math
import time
from collections.abc import Callable


class Clock:
    """Goes by the system's Unix clock. Where that is set back, it goes on at the pace of the monotonic one: what is due
    is due in time, and what was kept for a while is kept no longer. Both clocks are read in seconds."""

    def __init__(
        self, unix_s: Callable[[], float] = time.time, monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.unix_s, self.monotonic_s = unix_s, monotonic_s
        self.ahead_s = -math.inf  # of the monotonic clock; kept as a difference, as sums would add up their rounding

    def __call__(self) -> float:
        monotonic_s = self.monotonic_s()
        self.ahead_s = max(self.ahead_s, self.unix_s() - monotonic_s)
        return (monotonic_s + self.ahead_s) * 1000

    def placed(self, unix_ms: float) -> float:
        """What this clock showed at a moment that was told by the system's Unix clock as it goes now."""
        return self() - (self.unix_s() * 1000 - unix_ms)
