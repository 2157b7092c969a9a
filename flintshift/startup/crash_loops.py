"""A node that dies again and again, without I/O: how long it stays away from services before it begins another life.

Each life begins from nothing, so what is known of the ones before stands on a disk that lasts: when each began, and
whether it got as far as steady service or was told to leave. Lives that did neither, one after the other, are a crash
loop. Where no disk lasts, whoever starts the node has to wait; nothing in the node can know of its former lives.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from flintshift.startup.backoff import Uniform


@dataclass(frozen=True, slots=True)
class ProcessStart:
    began_ms: float  # Unix
    well: bool = False  # it came to steady service, or left in good order


@dataclass(frozen=True, slots=True)
class CrashLoopTiming:
    free: int = 2  # lives that ended badly, one after the other, and the next one waits for nothing
    first_ms: float = 1000.0
    most_ms: float = 60_000.0
    window_ms: float = 600_000.0  # an older life says nothing of this one
    max_starts: int = 16  # lives that are remembered


class StartHistory:
    """``lives``: those before this one, the oldest first."""

    def __init__(self, lives: list[ProcessStart], pace: CrashLoopTiming | None = None) -> None:
        self.starts, self.pace = lives, pace or CrashLoopTiming()

    def count_failures(self, now_ms: float) -> int:
        """Lives that ended badly, one after the other, up to now. A clock that went back makes none of them older."""
        count = 0
        for life in reversed(self.starts):
            if life.well or now_ms - life.began_ms > self.pace.window_ms:
                break
            count += 1
        return count

    def wait_ms(self, now_ms: float, uniform: Uniform) -> float:
        """Before this life asks anything of anybody: drawn from the upper half of a range that doubles."""
        over = self.count_failures(now_ms) - self.pace.free
        if over <= 0:
            return 0.0
        high = min(self.pace.first_ms * 2 ** min(over, 20), self.pace.most_ms)
        return uniform(high / 2, high)

    def with_start(self, now_ms: float) -> StartHistory:
        """With this life too."""
        return StartHistory([*self.starts, ProcessStart(now_ms)][-self.pace.max_starts :], self.pace)

    def with_success(self, began_ms: float) -> StartHistory:
        """The life that began then has served."""
        return StartHistory(
            [ProcessStart(life.began_ms, life.well or life.began_ms == began_ms) for life in self.starts], self.pace
        )

    # As it stands on the disk.

    def encode(self) -> bytes:
        return json.dumps([{"began_ms": life.began_ms, "well": life.well} for life in self.starts]).encode()

    @staticmethod
    def decode(data: bytes, pace: CrashLoopTiming | None = None) -> StartHistory:
        """What is no such file tells of no lives: it must not keep a node from its start."""
        try:
            told = [ProcessStart(float(one["began_ms"]), bool(one["well"])) for one in json.loads(data)]
        except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
            told = []
        return StartHistory(told, pace)
