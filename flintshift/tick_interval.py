"""Predicts when the next tick, which checks due times, comes. Part of the decision module; does no I/O."""

from __future__ import annotations


class TickInterval:
    """Estimates the time until the next tick from the last intervals.

    Ticks are requested every ``tick_ms``. On a busy machine several in a row come late, about equally.

    >>> interval = TickInterval(40.0)
    >>> interval.record(1000.0); interval.record(1040.0); interval.next_ms
    80.0
    >>> interval.record(1340.0); interval.record(1640.0); interval.next_ms
    340.0
    """

    def __init__(self, tick_ms: float) -> None:
        self.tick_ms = tick_ms
        self.last_ms: float | None = None  # time of the last tick
        self.intervals_ms = (tick_ms, tick_ms)  # between the last three ticks

    def record(self, now_ms: float) -> None:
        """Record a tick."""
        if self.last_ms is not None:
            self.intervals_ms = (self.intervals_ms[1], max(self.tick_ms, now_ms - self.last_ms))
        self.last_ms = now_ms

    @property
    def next_ms(self) -> float:
        """The longest time until the next tick: it may be as late as the last two.

        A single long interval is a pause of the process."""
        return self.tick_ms + min(self.intervals_ms)
