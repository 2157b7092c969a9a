"""Models a shared service that collapses under overload, without I/O.

Over its capacity it answers slowly; well over it, it rejects calls, and after a second of that it collapses. Then it
rejects all calls until the load has been under a third of its capacity for 2 s. A rejected call counts towards the load
as an accepted one does, so a retry storm can keep itself alive.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

BIN_MS = 100.0  # calls are counted in bins of this length
LOAD_BINS = 10  # the load is that of the last second
SLOW_ANSWER_MS = 300.0  # response time while the load is over the capacity
OVERLOAD_FACTOR = 1.2  # multiple of the capacity; calls beyond it are rejected
COLLAPSE_AFTER_MS = 1000.0  # of overload
RECOVERY_AFTER_MS = 2000.0  # under a third of the capacity


class Verdict(Enum):
    """How the service treats one call."""

    TAKEN = "taken"
    SLOW = "slow"
    REJECTED = "turned away"


class Capacity:
    """A service that takes ``per_s`` calls a second. ``bins`` has the number of its calls by 100 ms bin."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.down = False
        self.collapsed = False
        self.collapses = 0
        self.since_ms: float | None = None  # start of the overload or, while collapsed, of the low load
        self.bins: dict[int, int] = {}
        self.recent: deque[int] = deque([0] * LOAD_BINS, LOAD_BINS)  # calls of the last bins
        self.current_bin: int | None = None

    def _advance(self, now_ms: float) -> None:
        """Begin the bin of this time, and check the load at the end of each bin before it."""
        number = int(now_ms // BIN_MS)
        if self.current_bin is None:
            self.current_bin = number
        for passed in range(min(number - self.current_bin, 10 * LOAD_BINS)):
            self._check_load((self.current_bin + passed + 1) * BIN_MS)
            self.recent.append(0)
        self.current_bin = max(self.current_bin, number)

    def _check_load(self, now_ms: float) -> None:
        """Collapse or recover by the load of the second that ends now."""
        load = sum(self.recent) * 1000.0 / (LOAD_BINS * BIN_MS)
        persists = load < self.per_s / 3 if self.collapsed else load > OVERLOAD_FACTOR * self.per_s
        if not persists:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms
        elif now_ms - self.since_ms >= (RECOVERY_AFTER_MS if self.collapsed else COLLAPSE_AFTER_MS):
            self.since_ms = None
            self.collapsed = not self.collapsed
            self.collapses += self.collapsed

    def call(self, now_ms: float) -> Verdict:
        """Count a call, and decide how the service treats it."""
        self._advance(now_ms)
        assert self.current_bin is not None
        self.recent[-1] += 1
        self.bins[self.current_bin] = self.bins.get(self.current_bin, 0) + 1
        if self.down or self.collapsed:
            return Verdict.REJECTED
        load = sum(self.recent)
        if load > OVERLOAD_FACTOR * self.per_s:
            return Verdict.REJECTED
        return Verdict.SLOW if load > self.per_s else Verdict.TAKEN

    def peak(self, from_ms: float, to_ms: float, window_ms: float = BIN_MS) -> int:
        """The largest number of calls in any window between the two times."""
        bins_per_window = max(1, round(window_ms / BIN_MS))
        numbers = range(int(from_ms // BIN_MS), int(to_ms // BIN_MS) - bins_per_window + 1)
        return max(
            (sum(self.bins.get(first + offset, 0) for offset in range(bins_per_window)) for first in numbers), default=0
        )

    def calls_between(self, from_ms: float, to_ms: float) -> int:
        """How many calls were counted between the two times."""
        return sum(count for number, count in self.bins.items() if from_ms <= number * BIN_MS < to_ms)
