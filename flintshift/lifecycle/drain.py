"""Graceful shutdown: all that was read is answered, and each connection closed, before the kill after the notice."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio

from flintshift.core.attempts import Notice
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits
from flintshift.wire.front import Front


class Drain:
    """Of one process. ``grace_ms``: how long after the notice new work may still be run, as the settings tell."""

    def __init__(
        self, fronts: Sequence[Front], decisions: Decisions, limits: Limits, now_ms: Callable[[], float]
    ) -> None:
        self.fronts, self.decisions, self.limits, self.now_ms = fronts, decisions, limits, now_ms

    def open(self) -> int:
        """Requests read and not answered."""
        return self.decisions.open + sum(front.busy for front in self.fronts)

    def connections(self) -> int:
        return sum(len(front.connections) for front in self.fronts)

    async def run(self, grace_ms: float, succeeded: bool) -> None:
        """``succeeded``: another process of this node takes the clients already."""
        notice_ms = self.now_ms()
        stop_ms = notice_ms + self.limits.stop_ms - self.limits.stop_margin_ms
        await self.decisions.report(Notice(stop_ms - notice_ms))
        if succeeded:
            # This process stays for what is still open with it, as no connection is cut on which a request may be on
            # its way.
            await self._until(lambda: not (self.open() or self.connections()), stop_ms)
        else:
            # What comes after the grace is refused, not run.
            await self._until(lambda: self.now_ms() >= notice_ms + grace_ms and not self.open(), stop_ms)
        for front in self.fronts:
            front.finish()
        # The last answers are to be taken, and what crosses them read to its end, for as long as the kill is away.
        await self._until(lambda: all(front.done for front in self.fronts), stop_ms + self.limits.stop_margin_ms / 2)

    async def _until(self, true: Callable[[], bool], latest_ms: float) -> None:
        while self.now_ms() < latest_ms and not true():
            await anyio.sleep(self.limits.drain_step_ms / 1000)
