"""The fair queues at the node's side: what the decision planner asks and tells the door's heart. Imported only where
the door is on.
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
from flintshift.door.messages import (
    Arrived,
    Began,
    Ended,
    Left,
    SurgeBegan,
    SurgeEnded,
    SurgeGoesOn,
    TurnedAway,
    Weighed,
)
from flintshift.door.promises import CalendarBounds
from flintshift.door.shares import FIRST_MS, PLACE_BYTES, Bounds, Shares
from flintshift.door.surges import Surges, Told


def weighed(settings: api.Settings) -> Weighed:
    """Clubs weigh as their quotas; a class is first taken to cost what the decisions take it to."""
    return Weighed(
        {tenant.name: tenant.quota_per_s for tenant in settings.tenants if tenant.quota_per_s > 0},
        settings.cores,
        {kind.name: INITIAL_RUN_SHARE * kind.aim_ms for kind in settings.classes},
        settings.marks_repeats,
    )


class FairQueueing:
    """The decision planner's port (``core.ports.FairRanking``)."""

    def __init__(self, settings: api.Settings, limits: Limits, counters: Counters, now_ms: Callable[[], float]) -> None:
        self.counters, self.now_ms, self.draw = counters, now_ms, random.random
        bounds = Bounds(
            limits.max_known_callers,
            limits.caller_buckets,
            limits.max_tracked_requests,
            limits.bucket_rekey_interval_ms,
            CalendarBounds(limits.reservation_slot_ms, limits.reservation_slots, limits.reservations_per_slot),
        )
        self.shares = Shares(weighed(settings), os.urandom(16), bounds)
        self.rank_ms = self.shares.rank_ms  # asked for all that is held at each choice: no call between
        self.surges = Surges(self.shares.weights, now_ms())
        self.log: Log = log_nothing

    def shown(self) -> dict[str, Any]:
        """How the clubs stand, for operators."""
        return {
            "clubs": [asdict(one) for one in self.shares.shown()],
            "places": self.shares.places,
            "most_places": self.shares.most_places,
            "bytes_at_most": self.shares.places * PLACE_BYTES,
        }

    def refuses(self, settings: api.Settings) -> str | None:
        """It can go by any settings that the decisions take."""
        return None

    def change(self, settings: api.Settings) -> None:
        self.shares.handle(self.now_ms(), weighed(settings))
        self._tell(self.surges.weigh(self.now_ms(), self.shares.weights))

    def on_arrival(self, attempt: Attempt) -> None:
        self.shares.handle(
            self.now_ms(),
            Arrived(attempt.id, attempt.tenant, attempt.caller, attempt.class_name, attempt.marked_repeat),
        )
        self.surges.asked(attempt.tenant, self.shares.cost_ms.get(attempt.class_name, FIRST_MS))

    def on_start(self, request: str) -> None:
        self.shares.handle(self.now_ms(), Began(request))

    def on_withdrawal(self, request: str) -> None:
        self.shares.handle(self.now_ms(), Left(request))

    def retry_after_ms(self, attempt: Attempt, least_ms: float, most_ms: float) -> float:
        self.surges.turned_away(attempt.tenant)
        (told,) = self.shares.handle(self.now_ms(), TurnedAway(attempt.id, least_ms, most_ms, self.draw()))
        self.counters.add("door.promised" if told.promised else "door.not_promised")
        return told.wait_ms

    def on_end(self, request: str, took_ms: float) -> None:
        self.shares.handle(self.now_ms(), Ended(request, took_ms))

    def tick(self) -> None:
        self._tell(self.surges.tick(self.now_ms()))

    def _tell(self, all_told: list[Told]) -> None:
        for told in all_told:
            match told:
                case SurgeBegan(club, times, turned_away):
                    self.counters.add("door.surges")
                    self.log(
                        "warning",
                        "door.surge_began",
                        club=club,
                        times_its_share=round(times, 1),
                        turned_away=turned_away,
                    )
                case SurgeGoesOn(club, since_ms, times, turned_away):
                    self.log(
                        "warning",
                        "door.surge_goes_on",
                        club=club,
                        since_s=round(since_ms / 1000),
                        times_its_share=round(times, 1),
                        turned_away=turned_away,
                    )
                case SurgeEnded(club, lasted_ms, most, turned_away):
                    self.log(
                        "info",
                        "door.surge_ended",
                        club=club,
                        lasted_s=round(lasted_ms / 1000, 1),
                        most_times_its_share=round(most, 1),
                        turned_away=turned_away,
                    )
