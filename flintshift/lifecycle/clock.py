"""The node's clock: Unix milliseconds that never stand still and never go back, however the system's clock is set."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Goes by the system's Unix clock. Where that is set back, it goes on at the pace of the monotonic one: what is due
    is due in time, and what was kept for a while is kept no longer. Both clocks are read in seconds."""

    def __init__(
        self, unix_s: Callable[[], float] = time.time, monotonic_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.unix_s, self.monotonic_s = unix_s, monotonic_s
        self.last_ms, self.read_s = 0.0, monotonic_s()

    def __call__(self) -> float:
        read_s = self.monotonic_s()
        gone_on_ms = self.last_ms + (read_s - self.read_s) * 1000
        self.last_ms, self.read_s = max(self.unix_s() * 1000, gone_on_ms), read_s
        return self.last_ms

    def placed(self, unix_ms: float) -> float:
        """What this clock showed at a moment that was told by the system's Unix clock as it goes now."""
        return self() - (self.unix_s() * 1000 - unix_ms)
