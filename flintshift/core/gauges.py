"""The gauge planner: at each time the controller asked for, it reads the gauges and reports the tick."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from flintshift.core.attempts import Tick
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.core.ports import GaugeSource
from flintshift.interface import Gauges


class GaugePlanner:
    def __init__(self, limits: Limits, now_ms: Callable[[], float]) -> None:
        self.limits, self.now_ms = limits, now_ms
        self.timers: Mailbox[tuple[float, str]] = Mailbox(limits.mailbox_size)
        self.last, self.read_ms = Gauges(), 0.0

    def wake_at(self, at_ms: float, token: str) -> None:
        if not self.timers.offer((at_ms, token)):  # the controller sets one timer a tick
            raise RuntimeError("more timers than the node has room for")

    async def run(self, gauged: GaugeSource, ticked: Callable[[Tick], None]) -> None:
        """``ticked`` handles a tick in the turn in which it comes."""
        while True:
            at_ms, token = await self.timers.take()
            await anyio.sleep(max(0.0, at_ms - self.now_ms()) / 1000)
            # A pool that does not answer must not hold up the sweep for due times: the tick goes on without.
            with anyio.move_on_after(self.limits.gauge_poll_timeout_ms / 1000):
                gauges = await gauged.poll()
                if gauges is not None:
                    self.last, self.read_ms = gauges, self.now_ms()
            fresh = self.now_ms() - self.read_ms < self.limits.gauge_stale_ms
            last = self.last if fresh else Gauges()
            ticked(Tick(token, Gauges(last.busy, last.run_queue, last.memory, last.connections)))
