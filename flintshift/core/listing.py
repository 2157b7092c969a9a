"""The list planner: says wherever this node is listed that it serves, again and again, and that it leaves."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import anyio

from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox


class Listed(Protocol):
    async def report(self, serving: bool) -> bool:
        """Say it once; True when it was taken."""
        ...


class Listing:
    def __init__(self, lists: Sequence[Listed], limits: Limits) -> None:
        self.limits = limits
        self.lists = [(listed, Mailbox[tuple[bool | None, bool]](limits.list_box)) for listed in lists]

    def say(self, serving: bool | None, last: bool = False) -> None:
        """From now on say this, again and again; None: nothing. The last word is said until it was taken once."""
        for _, box in self.lists:
            if not box.offer((serving, last)):  # only the newest word counts: the oldest makes room for it
                box.take_now()
                box.offer((serving, last))

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for listed, box in self.lists:
                tasks.start_soon(self._keep, listed, box)

    async def _keep(self, listed: Listed, box: Mailbox[tuple[bool | None, bool]]) -> None:
        serving, last = await box.take()
        while True:
            if serving is None:
                serving, last = await box.take()
                continue
            began = anyio.current_time()  # an answer that is late or never comes must not delay the next
            taken = await listed.report(serving)
            if taken:
                wait_s = max(0.0, began + self.limits.report_every_ms / 1000 - anyio.current_time())
            else:
                wait_s = self.limits.report_again_ms / 1000
            with anyio.move_on_after(None if taken and last else wait_s):
                serving, last = await box.take()
