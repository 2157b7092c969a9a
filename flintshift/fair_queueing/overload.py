"""Detects when a club overloads the node: it demands more than its share, and some of its requests are rejected.

Demand is counted in windows of a second. An overload starts with the first window in which a club demanded more than
``MIN_DEMAND_RATIO`` times its share and had requests rejected. It ends after ``CALM_WINDOWS`` windows in a row without
a rejection, so a club that is overloaded every other second has one overload, rather than one report a second. The
module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from flintshift.fair_queueing.messages import OverloadContinued, OverloadEnded, OverloadStarted

WINDOW_MS = 1000.0
MIN_DEMAND_RATIO = 1.2  # to a club's share: less needs no report while the node as a whole is full
CALM_WINDOWS = 3
REPORT_INTERVAL_MS = 60_000.0  # an overload that lasts is reported again

OverloadEvent = OverloadStarted | OverloadContinued | OverloadEnded


@dataclass(slots=True)
class ClubDemand:
    """The demand of one club in the current window, and its overload where there is one."""

    demand_ms: float = 0.0  # in the current window
    rejected: int = 0  # in the current window
    overloaded_since_ms: float | None = None
    reported_ms: float = 0.0
    calm_windows: int = 0
    rejected_in_overload: int = 0
    peak_demand_ratio: float = 0.0


class OverloadDetector:
    """Detects overloads by club; clubs without a weight count as one. It has at most one entry more than weights."""

    def __init__(self, weights: Mapping[str, float], now_ms: float) -> None:
        """``weights``: each club's share, as time on a core per millisecond."""
        self.weights, self.demands, self.window_ends_ms = (
            dict(weights),
            dict[str | None, ClubDemand](),
            now_ms + WINDOW_MS,
        )

    def set_weights(self, now_ms: float, weights: Mapping[str, float]) -> list[OverloadEvent]:
        """Replace the weights; return the ends of overloads of clubs that lost theirs.

        Such clubs are counted with the other clubs without a weight from now on.
        """
        self.weights = dict(weights)
        dropped = [name for name in self.demands if name is not None and name not in self.weights]
        return [event for name in dropped for event in self._end_overload(now_ms, name, self.demands.pop(name))]

    def record_arrival(self, club: str | None, cost_ms: float) -> None:
        """Count a request that arrived, with its expected cost."""
        self._demand(club).demand_ms += cost_ms

    def record_rejection(self, club: str | None) -> None:
        """Count a rejected request."""
        self._demand(club).rejected += 1

    def tick(self, now_ms: float) -> list[OverloadEvent]:
        """Close the window if it has ended; return what is to be reported."""
        if now_ms < self.window_ends_ms:
            return []
        window_ms = WINDOW_MS + now_ms - self.window_ends_ms  # a busy node ticks late
        self.window_ends_ms = now_ms + WINDOW_MS
        min_weight = min(self.weights.values(), default=1.0)
        events: list[OverloadEvent] = []
        for club, demand in self.demands.items():
            demand_ratio = demand.demand_ms / window_ms / self.weights.get(club or "", min_weight)
            events += self._close_window(now_ms, club, demand, demand_ratio)
            demand.demand_ms, demand.rejected = 0.0, 0
        return events

    def _close_window(
        self, now_ms: float, club: str | None, demand: ClubDemand, demand_ratio: float
    ) -> list[OverloadEvent]:
        if demand.overloaded_since_ms is None:
            if not demand.rejected or demand_ratio <= MIN_DEMAND_RATIO:
                return []
            demand.overloaded_since_ms = demand.reported_ms = now_ms
            demand.calm_windows, demand.rejected_in_overload, demand.peak_demand_ratio = (
                0,
                demand.rejected,
                demand_ratio,
            )
            return [OverloadStarted(club, demand_ratio, demand.rejected)]
        demand.rejected_in_overload += demand.rejected
        demand.peak_demand_ratio = max(demand.peak_demand_ratio, demand_ratio)
        demand.calm_windows = 0 if demand.rejected else demand.calm_windows + 1
        if demand.calm_windows >= CALM_WINDOWS:
            return self._end_overload(now_ms, club, demand)
        if now_ms >= demand.reported_ms + REPORT_INTERVAL_MS:
            demand.reported_ms = now_ms
            return [
                OverloadContinued(club, now_ms - demand.overloaded_since_ms, demand_ratio, demand.rejected_in_overload)
            ]
        return []

    @staticmethod
    def _end_overload(now_ms: float, club: str | None, demand: ClubDemand) -> list[OverloadEvent]:
        since_ms, demand.overloaded_since_ms = demand.overloaded_since_ms, None
        return (
            []
            if since_ms is None
            else [OverloadEnded(club, now_ms - since_ms, demand.peak_demand_ratio, demand.rejected_in_overload)]
        )

    def _demand(self, club: str | None) -> ClubDemand:
        name = club if club in self.weights else None
        demand = self.demands.get(name)
        if demand is None:
            demand = self.demands[name] = ClubDemand()
        return demand
