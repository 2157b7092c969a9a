"""Crash loops, without I/O: how long a process that keeps crashing waits before it calls services again.

A process starts without any state, so the history of earlier starts is kept in a durable folder: when each began, and
whether it reached steady service or left in good order. Consecutive starts that did neither are a crash loop.
Without a durable folder, whoever starts the node has to wait; the node can't know of its earlier starts.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from flintshift.startup.backoff import Uniform


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """One start of the process."""

    began_ms: float  # Unix time
    succeeded: bool = False  # it reached steady service, or left in good order


@dataclass(frozen=True, slots=True)
class CrashLoopTiming:
    """When failed starts delay the next one, and by how much. Times are in milliseconds."""

    free_failures: int = 2  # consecutive failed starts that do not delay the next start
    first_ms: float = 1000.0
    max_ms: float = 60_000.0
    window_ms: float = 600_000.0  # an older start does not count
    max_starts: int = 16  # starts that are remembered


class StartHistory:
    """The starts of this node's process before the current one, in ``starts``, the oldest first."""

    def __init__(self, starts: list[ProcessStart], timing: CrashLoopTiming | None = None) -> None:
        self.starts, self.timing = starts, timing or CrashLoopTiming()

    def count_failures(self, now_ms: float) -> int:
        """Return the number of consecutive failed starts up to the last one.

        A wall clock that was set back makes no start older."""
        count = 0
        for start in reversed(self.starts):
            if start.succeeded or now_ms - start.began_ms > self.timing.window_ms:
                break
            count += 1
        return count

    def wait_ms(self, now_ms: float, uniform: Uniform) -> float:
        """Return how long this process waits before its first call: drawn from the upper half of a doubling range."""
        excess = self.count_failures(now_ms) - self.timing.free_failures
        if excess <= 0:
            return 0.0
        high_ms = min(self.timing.first_ms * 2 ** min(excess, 20), self.timing.max_ms)
        return uniform(high_ms / 2, high_ms)

    def with_start(self, now_ms: float) -> StartHistory:
        """Return the history with the current start added."""
        return StartHistory([*self.starts, ProcessStart(now_ms)][-self.timing.max_starts :], self.timing)

    def with_success(self, began_ms: float) -> StartHistory:
        """Return the history with the start that began then marked as successful."""
        return StartHistory(
            [ProcessStart(start.began_ms, start.succeeded or start.began_ms == began_ms) for start in self.starts],
            self.timing,
        )

    # The stored form.

    def encode(self) -> bytes:
        """Return the content of the history's file."""
        return json.dumps([{"began_ms": start.began_ms, "well": start.succeeded} for start in self.starts]).encode()

    @staticmethod
    def decode(data: bytes, timing: CrashLoopTiming | None = None) -> StartHistory:
        """Read the content of the history's file. A malformed file counts as empty: it must not prevent a start."""
        try:
            starts = [ProcessStart(float(entry["began_ms"]), bool(entry["well"])) for entry in json.loads(data)]
        except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
            starts = []
        return StartHistory(starts, timing)
