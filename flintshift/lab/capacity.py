"""What a shared service survives, without I/O: over its capacity it is slow, well over it turns calls away, and after
a second of that it collapses; then it turns all away until the load has been under a third of its capacity for 2 s.
A call that is turned away counts as one that is taken, so a storm can keep itself alive.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

BIN_MS = 100.0
BINS = 10  # the load is that of the last second
SLOW_ANSWER_MS = 300.0  # an answer takes, over the capacity
TOO_MUCH = 1.2  # times the capacity: what comes past that is turned away
STANDS_MS = 1000.0  # of too much, before it collapses
RESTS_MS = 2000.0  # under a third, before it comes back


class Verdict(Enum):
    TAKEN = "taken"
    SLOW = "slow"
    REJECTED = "turned away"


class Capacity:
    """``per_s``: calls a second that it takes. ``bins`` counts all calls by 100 ms from the first on."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.down = False
        self.collapsed = False
        self.collapses = 0
        self.since_ms: float | None = None  # of too much; collapsed, of little enough
        self.bins: dict[int, int] = {}
        self.last: deque[int] = deque([0] * BINS, BINS)
        self.at: int | None = None

    def _moved(self, now_ms: float) -> None:
        number = int(now_ms // BIN_MS)
        if self.at is None:
            self.at = number
        for passed in range(min(number - self.at, 10 * BINS)):
            self._judged((self.at + passed + 1) * BIN_MS)
            self.last.append(0)
        self.at = max(self.at, number)

    def _judged(self, now_ms: float) -> None:
        """By the second that ends now."""
        load = sum(self.last) * 1000.0 / (BINS * BIN_MS)
        there = load < self.per_s / 3 if self.collapsed else load > TOO_MUCH * self.per_s
        if not there:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms
        elif now_ms - self.since_ms >= (RESTS_MS if self.collapsed else STANDS_MS):
            self.since_ms = None
            self.collapsed = not self.collapsed
            self.collapses += self.collapsed

    def call(self, now_ms: float) -> Verdict:
        self._moved(now_ms)
        assert self.at is not None
        self.last[-1] += 1
        self.bins[self.at] = self.bins.get(self.at, 0) + 1
        if self.down or self.collapsed:
            return Verdict.REJECTED
        load = sum(self.last)
        if load > TOO_MUCH * self.per_s:
            return Verdict.REJECTED
        return Verdict.SLOW if load > self.per_s else Verdict.TAKEN

    def peak(self, from_ms: float, to_ms: float, window_ms: float = BIN_MS) -> int:
        """The most calls of any window between the two times."""
        wide = max(1, round(window_ms / BIN_MS))
        numbers = range(int(from_ms // BIN_MS), int(to_ms // BIN_MS) - wide + 1)
        return max((sum(self.bins.get(at + more, 0) for more in range(wide)) for at in numbers), default=0)

    def calls_between(self, from_ms: float, to_ms: float) -> int:
        return sum(count for at, count in self.bins.items() if from_ms <= at * BIN_MS < to_ms)
