"""Connects the fair queues to the decision planner, the counters and the log.

Imported only if the operators' file switches the fair queues on.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from flintshift import interface as api
from flintshift.control import INITIAL_RUN_SHARE
from flintshift.core.attempts import Attempt
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import Log, log_nothing
from flintshift.fair_queueing.fair_queue import DEFAULT_COST_MS, MAX_ENTRY_BYTES, FairQueue, QueueBounds
from flintshift.fair_queueing.messages import (
    OverloadContinued,
    OverloadEnded,
    OverloadStarted,
    QueueSettings,
    RequestArrived,
    RequestRejected,
    RequestWithdrawn,
    RunEnded,
    RunStarted,
)
from flintshift.fair_queueing.overload import OverloadDetector, OverloadEvent
from flintshift.fair_queueing.reservations import CalendarBounds


def queue_settings(settings: api.Settings) -> QueueSettings:
    """Return the weights of clubs, which are their quotas, and the initial cost of each class.

    A class costs at first what the decisions assume for a run of it."""
    return QueueSettings(
        {tenant.name: tenant.quota_per_s for tenant in settings.tenants if tenant.quota_per_s > 0},
        settings.cores,
        {kind.name: INITIAL_RUN_SHARE * kind.aim_ms for kind in settings.classes},
        settings.marks_repeats,
    )


class FairQueueing:
    """Implements ``core.ports.FairRanking`` for the decision planner, and reports overloads by clubs."""

    def __init__(self, settings: api.Settings, limits: Limits, counters: Counters, now_ms: Callable[[], float]) -> None:
        self.counters, self.now_ms, self.random_float = counters, now_ms, random.random
        bounds = QueueBounds(
            limits.max_known_callers,
            limits.caller_buckets,
            limits.max_tracked_requests,
            limits.bucket_rekey_interval_ms,
            CalendarBounds(limits.reservation_slot_ms, limits.reservation_slots, limits.reservations_per_slot),
        )
        self.shares = FairQueue(queue_settings(settings), os.urandom(16), bounds)
        self.rank_ms = self.shares.rank_ms  # called for every queued request at each choice, so without a wrapper
        self.overload_detector = OverloadDetector(self.shares.weights, now_ms())
        self.log: Log = log_nothing

    def status(self) -> dict[str, Any]:
        """Return the state of the clubs, for operators."""
        return {
            "clubs": [asdict(club) for club in self.shares.status()],
            "places": self.shares.entries,
            "most_places": self.shares.max_entries,
            "bytes_at_most": self.shares.entries * MAX_ENTRY_BYTES,
        }

    def rejection_reason(self, settings: api.Settings) -> str | None:
        """Return None: the fair queues can work by any settings that the decisions accept."""
        return None

    def change(self, settings: api.Settings) -> None:
        """Work by these settings from now on."""
        self.shares.handle(self.now_ms(), queue_settings(settings))
        self._report_overloads(self.overload_detector.set_weights(self.now_ms(), self.shares.weights))

    def on_arrival(self, attempt: Attempt) -> None:
        self.shares.handle(
            self.now_ms(),
            RequestArrived(attempt.id, attempt.tenant, attempt.caller, attempt.class_name, attempt.marked_repeat),
        )
        self.overload_detector.record_arrival(
            attempt.tenant, self.shares.class_cost_ms.get(attempt.class_name, DEFAULT_COST_MS)
        )

    def on_start(self, request: str) -> None:
        self.shares.handle(self.now_ms(), RunStarted(request))

    def on_withdrawal(self, request: str) -> None:
        self.shares.handle(self.now_ms(), RequestWithdrawn(request))

    def retry_after_ms(self, attempt: Attempt, min_ms: float, max_ms: float) -> float:
        self.overload_detector.record_rejection(attempt.tenant)
        (reservation,) = self.shares.handle(
            self.now_ms(), RequestRejected(attempt.id, min_ms, max_ms, self.random_float())
        )
        self.counters.add("door.promised" if reservation.reserved else "door.not_promised")
        return reservation.wait_ms

    def on_end(self, request: str, took_ms: float) -> None:
        self.shares.handle(self.now_ms(), RunEnded(request, took_ms))

    def tick(self) -> None:
        self._report_overloads(self.overload_detector.tick(self.now_ms()))

    def _report_overloads(self, reports: list[OverloadEvent]) -> None:
        for report in reports:
            match report:
                case OverloadStarted(club, times_share, rejected):
                    self.counters.add("door.surges")
                    self.log(
                        "warning",
                        "door.surge_began",
                        club=club,
                        times_its_share=round(times_share, 1),
                        turned_away=rejected,
                    )
                case OverloadContinued(club, since_ms, times_share, rejected):
                    self.log(
                        "warning",
                        "door.surge_goes_on",
                        club=club,
                        since_s=round(since_ms / 1000),
                        times_its_share=round(times_share, 1),
                        turned_away=rejected,
                    )
                case OverloadEnded(club, lasted_ms, max_times_share, rejected):
                    self.log(
                        "info",
                        "door.surge_ended",
                        club=club,
                        lasted_s=round(lasted_ms / 1000, 1),
                        most_times_its_share=round(max_times_share, 1),
                        turned_away=rejected,
                    )
