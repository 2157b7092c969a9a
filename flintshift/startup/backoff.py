"""Delays before the next retry, without I/O.

Everything that repeats, retries or reconnects takes its delays from here. All delays are random, so that nodes which
lost a service at the same moment do not all return to it at the same moment.
"""

from __future__ import annotations

from collections.abc import Callable

Uniform = Callable[[float, float], float]  # a random draw between two bounds, as `random.Random.uniform`


class Backoff:
    """Retry delays in milliseconds that grow by decorrelated jitter.

    See M. Brooker, "Exponential Backoff And Jitter", 2015: each delay is drawn below three times the delay before, and
    none exceeds the maximum. It is drawn from the upper half of that range only, as a service that has collapsed needs
    every delay to be long, and not only some of them.

    >>> delays = Backoff(100.0, 1600.0, lambda low, high: high)
    >>> [delays.next_ms() for _ in range(4)]
    [300.0, 900.0, 1600.0, 1600.0]
    """

    def __init__(self, first_ms: float, max_ms: float, uniform: Uniform) -> None:
        self.first_ms, self.max_ms, self.uniform = first_ms, max_ms, uniform
        self.last_ms = first_ms

    def reset(self) -> None:
        """Begin with the first delay again, as the service has answered."""
        self.last_ms = self.first_ms

    def next_ms(self) -> float:
        """Return the next delay."""
        # The range is bounded, not the drawn delay: delays that all end at the maximum would be in step again.
        high_ms = min(3 * self.last_ms, self.max_ms)
        self.last_ms = self.uniform(max(self.first_ms, high_ms / 2), high_ms)
        return self.last_ms
