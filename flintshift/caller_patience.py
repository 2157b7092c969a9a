"""Estimates how long each caller waits for an answer, from the ages of the requests it abandoned before.

Part of the decision module; does no I/O.
"""

from __future__ import annotations

import math
from collections import deque

MAX_AGES = 24  # remembered per caller
MIN_AGES = MAX_AGES // 3  # fewer give no estimate
MAX_SPREAD = 0.1  # share of the median by which the upper quartile may exceed it if the ages show one timeout
MAX_CALLERS = 256  # callers reconnect under new numbers without end


class CallerPatience:
    """Keeps the ages at which requests were abandoned, by caller, in milliseconds."""

    def __init__(self) -> None:
        self.ages: dict[int, deque[float]] = {}  # the caller that abandoned a request last is at the end

    def record(self, caller: int, age_ms: float) -> None:
        """Record that a caller disconnected when its request was this old."""
        ages = self.ages.pop(caller, None) or deque[float](maxlen=MAX_AGES)
        ages.append(age_ms)
        self.ages[caller] = ages
        if len(self.ages) > MAX_CALLERS:
            del self.ages[next(iter(self.ages))]

    def timeout_ms(self, caller: int) -> float:
        """Return the age at which this caller abandons a request: past it, work for it is wasted.

        Infinite unless most of its requests were abandoned at about one age."""
        ages = sorted(self.ages.get(caller, ()))
        if len(ages) < MIN_AGES:
            return math.inf
        median, upper_quartile = ages[len(ages) // 2], ages[len(ages) * 3 // 4]
        return median if upper_quartile - median < MAX_SPREAD * median else math.inf
