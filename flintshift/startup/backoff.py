"""Waits before the next try, without I/O.

Whoever repeats, retries or reconnects takes its waits from here. All are drawn, so that nodes which lost a service in
one moment do not come back to it in one.
"""

from __future__ import annotations

from collections.abc import Callable

Uniform = Callable[[float, float], float]  # a draw between two bounds, as `random.Random.uniform` makes one


class Backoff:
    """Waits that grow by decorrelated jitter (M. Brooker, "Exponential Backoff And Jitter", 2015): each is drawn below
    three times the one before, and none is over the most. It is drawn from the upper half of that alone, as a service
    that has collapsed needs waits that are long, and not only some that are. Milliseconds.

    >>> waits = Backoff(100.0, 1600.0, lambda low, high: high)
    >>> [waits.next_ms() for _ in range(4)]
    [300.0, 900.0, 1600.0, 1600.0]
    """

    def __init__(self, first_ms: float, most_ms: float, uniform: Uniform) -> None:
        self.first_ms, self.most_ms, self.uniform = first_ms, most_ms, uniform
        self.last_ms = first_ms

    def reset(self) -> None:
        """The service has answered."""
        self.last_ms = self.first_ms

    def next_ms(self) -> float:
        # The bound is on what is drawn from, not on what was drawn: waits that all end at the most are in step again.
        high_ms = min(3 * self.last_ms, self.most_ms)
        self.last_ms = self.uniform(max(self.first_ms, high_ms / 2), high_ms)
        return self.last_ms
