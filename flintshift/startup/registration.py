"""Reports to each list service, repeatedly, that this node serves, and at the end that it leaves.

`reports` decides when.
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
    """A service that lists the nodes that serve."""

    async def report(self, serving: bool) -> bool:
        """Send one report; returns whether the service took it."""
        ...


def now_ms() -> float:
    """Return the event loop's monotonic time."""
    return anyio.current_time() * 1000


class Registration:
    """Keeps this node registered with its list services.

    ``nodes``: how many nodes report to the same lists, by the settings."""

    def __init__(self, lists: Sequence[ListService], limits: Limits, nodes: int, uniform: Uniform) -> None:
        timing = ReportTiming(
            limits.report_interval_ms,
            retry_ms=limits.report_retry_delay_ms,
            max_retry_ms=limits.max_report_retry_delay_ms,
            nodes=nodes,
        )
        self.accepted_reports = 0  # since the start
        self.lists = [
            (service, ReportSchedule(timing, uniform), Mailbox[StatusChanged](limits.list_mailbox_size))
            for service in lists
        ]

    def announce(self, serving: bool | None, last: bool = False) -> None:
        """Report this from now on, repeatedly; None: report nothing. The last report is repeated until it is taken."""
        for _, _, mailbox in self.lists:
            if not mailbox.offer(StatusChanged(serving, last)):  # full: the oldest is dropped, only the newest counts
                mailbox.take_now()
                mailbox.offer(StatusChanged(serving, last))

    async def run(self) -> None:
        """Report to all list services until cancelled."""
        async with anyio.create_task_group() as tasks:
            for entry in self.lists:
                tasks.start_soon(self._keep_reporting, *entry)

    async def _keep_reporting(
        self, service: ListService, schedule: ReportSchedule, mailbox: Mailbox[StatusChanged]
    ) -> None:
        event: Event = await mailbox.take()
        while True:
            wait_s: float | None = None
            for action in schedule.handle(now_ms(), event):
                match action:
                    case SendReport(serving):
                        began_ms = now_ms()
                        taken = await service.report(serving)
                        self.accepted_reports += taken
                        event = ReportAnswered(taken, began_ms)
                        break
                    case WakeAt(at_ms):
                        wait_s = max(0.0, at_ms - now_ms()) / 1000
            else:
                event = Tick()
                with anyio.move_on_after(wait_s):
                    event = await mailbox.take()
