"""The gauge planner: at each time that the controller asked for, it reads the gauges and reports a tick."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from flintshift.core.attempts import Tick
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.core.ports import GaugeSource
from flintshift.interface import Gauges


class GaugePlanner:
    """Runs the controller's timers, one at a time, and hands on the gauges read at each."""

    def __init__(self, limits: Limits, now_ms: Callable[[], float]) -> None:
        self.limits, self.now_ms = limits, now_ms
        self.timers: Mailbox[tuple[float, str]] = Mailbox(limits.mailbox_size)
        self.last_gauges, self.read_ms = Gauges(), 0.0

    def wake_at(self, at_ms: float, token: str) -> None:
        """Set a timer; its tick carries the token."""
        if not self.timers.offer((at_ms, token)):  # the controller sets one timer per tick
            raise RuntimeError("the controller has set more timers than the mailbox holds")

    async def run(self, source: GaugeSource, on_tick: Callable[[Tick], None]) -> None:
        """Wait for each timer in turn; ``on_tick`` handles its tick at once."""
        while True:
            at_ms, token = await self.timers.take()
            await anyio.sleep(max(0.0, at_ms - self.now_ms()) / 1000)
            # A pool that does not answer must not delay the sweep for deadlines: the tick goes on without gauges.
            with anyio.move_on_after(self.limits.gauge_poll_timeout_ms / 1000):
                gauges = await source.poll()
                if gauges is not None:
                    self.last_gauges, self.read_ms = gauges, self.now_ms()
            fresh = self.now_ms() - self.read_ms < self.limits.gauge_stale_ms
            last = self.last_gauges if fresh else Gauges()
            on_tick(Tick(token, Gauges(last.busy, last.run_queue, last.memory, last.connections)))
