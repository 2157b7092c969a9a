"""The list planner: says wherever this node is listed that it serves, again and again, and that it leaves. When is said
by `reports`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import anyio

from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.startup.backoff import Uniform
from flintshift.startup.reports import (
    Event,
    ReportAnswered,
    ReportSchedule,
    ReportTiming,
    SendReport,
    StatusChanged,
    Tick,
    WakeAt,
)


class ListService(Protocol):
    async def report(self, serving: bool) -> bool:
        """Say it once; True when it was taken."""
        ...


def now_ms() -> float:
    return anyio.current_time() * 1000


class Registration:
    """``nodes``: how many report to the same lists, as far as the settings tell."""

    def __init__(self, lists: Sequence[ListService], limits: Limits, nodes: int, uniform: Uniform) -> None:
        pace = ReportTiming(
            limits.report_every_ms,
            retry_ms=limits.report_again_ms,
            max_retry_ms=limits.report_again_most_ms,
            nodes=nodes,
        )
        self.accepted_reports = 0  # reports, since the start
        self.lists = [
            (listed, ReportSchedule(pace, uniform), Mailbox[StatusChanged](limits.list_box)) for listed in lists
        ]

    def announce(self, serving: bool | None, last: bool = False) -> None:
        """From now on say this, again and again; None: nothing. The last word is said until it was taken once."""
        for _, _, box in self.lists:
            if not box.offer(StatusChanged(serving, last)):  # only the newest word counts: the oldest makes room for it
                box.take_now()
                box.offer(StatusChanged(serving, last))

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for one in self.lists:
                tasks.start_soon(self._keep, *one)

    async def _keep(self, listed: ListService, reports: ReportSchedule, box: Mailbox[StatusChanged]) -> None:
        event: Event = await box.take()
        while True:
            wait_s: float | None = None
            for action in reports.handle(now_ms(), event):
                match action:
                    case SendReport(serving):
                        began_ms = now_ms()
                        taken = await listed.report(serving)
                        self.accepted_reports += taken
                        event = ReportAnswered(taken, began_ms)
                        break
                    case WakeAt(at_ms):
                        wait_s = max(0.0, at_ms - now_ms()) / 1000
            else:
                event = Tick()
                with anyio.move_on_after(wait_s):
                    event = await box.take()
