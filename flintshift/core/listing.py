"""The list planner: says where this node is listed that it serves, again and again, and that it leaves."""

from __future__ import annotations

from typing import Protocol

import anyio

from flintshift.core.limits import Limits
from flintshift.core.ports import Posture


class Listed(Protocol):
    async def report(self, serving: bool) -> bool: ...


class Listing:
    def __init__(self, lists: list[Listed], limits: Limits) -> None:
        self.lists, self.limits = lists, limits
        self.leaving = anyio.Event()

    def leave(self) -> None:
        self.leaving.set()

    async def run(self, posture: Posture) -> None:
        async with anyio.create_task_group() as tasks:
            for listed in self.lists:
                tasks.start_soon(self._keep, listed, posture)

    async def _keep(self, listed: Listed, posture: Posture) -> None:
        while not self.leaving.is_set():
            taken = not posture.up or await listed.report(True)
            # One that did not take the report is asked again sooner.
            wait_ms = self.limits.report_every_ms if taken and posture.up else self.limits.report_every_ms / 8
            with anyio.move_on_after(wait_ms / 1000):
                await self.leaving.wait()
        while not await listed.report(False):
            await anyio.sleep(self.limits.report_every_ms / 8 / 1000)
