"""Periods and the clock they follow. No I/O: the driver reads the clocks and hands the readings in.

Periods are counted from the Unix epoch, in UTC, whatever their length. The ledger's clock runs with the steady
clock and follows the system's only when the two stay apart: a clock that is moved and put right again moves no
period, and one that is moved for good is followed after ``STEP_CONFIRM_MS``. It never runs backwards: a system's clock
that was set back holds it where it is until that time has come again. Each move that is followed is told.
"""

from __future__ import annotations

from dataclasses import dataclass

STEP_CONFIRM_MS = 300_000.0  # the clocks stay apart for so long before a step is followed
SLACK_MS = 1000.0  # closer than this they are the same: such a difference is followed at once


def period_of(now_ms: float, length_ms: int) -> int:
    """The begin of the period that holds a time.

    >>> period_of(7_250, 1000)
    7000
    """
    return int(now_ms) // length_ms * length_ms


@dataclass(slots=True)
class Step:
    at_ms: int
    by_ms: int  # how far the system's clock went off


class LedgerClock:
    """``read`` takes both clocks' readings in ms and returns the ledger's time, and a step where one is seen.
    ``floor_ms`` is a time that has been booked already: none before it is told."""

    def __init__(self, wall_ms: float, steady_ms: float, floor_ms: float = 0.0) -> None:
        self.offset = wall_ms - steady_ms
        self.floor_ms = floor_ms
        self.apart_since: float | None = None
        self.apart_by = 0.0
        self.step: Step | None = None
        if wall_ms < floor_ms - SLACK_MS:  # it was set back while the node was down
            self.step = Step(int(wall_ms), int(wall_ms - floor_ms))

    def read(self, wall_ms: float, steady_ms: float) -> tuple[float, Step | None]:
        step, self.step = self.step, None
        by = wall_ms - steady_ms - self.offset
        if abs(by) <= SLACK_MS:
            self.offset += by
            self.apart_since = None
        elif self.apart_since is None or abs(by - self.apart_by) > SLACK_MS:
            self.apart_since, self.apart_by = steady_ms, by
            step = step or Step(int(steady_ms + self.offset), int(by))
        elif steady_ms - self.apart_since >= STEP_CONFIRM_MS:
            self.offset += by
            self.apart_since = None
        self.floor_ms = max(self.floor_ms, steady_ms + self.offset)
        return self.floor_ms, step
