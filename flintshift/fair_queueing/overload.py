"""Notices when a club surges: it asks for more than its share, and some of it is turned away. Without I/O.

Counted in windows of a second. A surge begins with the first window in which a club asked for more than ``BEGINS``
times its share and was turned away, and ends with ``CALM_WINDOWS`` windows in a row in which it was not turned away: so a club
that comes and goes by the second is one surge, and not a line a second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from flintshift.fair_queueing.messages import OverloadContinued, OverloadEnded, OverloadStarted

WINDOW_MS = 1000.0
BEGINS = 1.2  # times its share: less than that is no news while the node as a whole is full
CALM_WINDOWS = 3
REPORT_INTERVAL_MS = 60_000.0  # a surge that goes on is told of again

OverloadEvent = OverloadStarted | OverloadContinued | OverloadEnded


@dataclass(slots=True)
class Count:
    asked_ms: float = 0.0
    turned_away: int = 0
    since_ms: float | None = None  # of the surge
    told_ms: float = 0.0
    calm: int = 0
    shed: int = 0  # turned away since it began
    most: float = 0.0  # times its share, at the most


class OverloadDetector:
    """Of clubs by name; whoever has none is one. As many entries as there are clubs with a weight, and one."""

    def __init__(self, weights: Mapping[str, float], now_ms: float) -> None:
        """``weights``: time on a core a millisecond, each club's share."""
        self.weights, self.counts, self.ends_ms = dict(weights), dict[str | None, Count](), now_ms + WINDOW_MS

    def set_weights(self, now_ms: float, weights: Mapping[str, float]) -> list[OverloadEvent]:
        """What is no longer a club of its own is counted with the others from now on, and its surge has ended."""
        self.weights = dict(weights)
        gone = [name for name in self.counts if name is not None and name not in self.weights]
        return [told for name in gone for told in self._over(now_ms, name, self.counts.pop(name))]

    def record_arrival(self, club: str | None, cost_ms: float) -> None:
        self._count(club).asked_ms += cost_ms

    def record_rejection(self, club: str | None) -> None:
        self._count(club).turned_away += 1

    def tick(self, now_ms: float) -> list[OverloadEvent]:
        """What there is to tell, once a window has ended."""
        if now_ms < self.ends_ms:
            return []
        window_ms = WINDOW_MS + now_ms - self.ends_ms  # a busy node comes late
        self.ends_ms = now_ms + WINDOW_MS
        least = min(self.weights.values(), default=1.0)
        told: list[OverloadEvent] = []
        for club, count in self.counts.items():
            times = count.asked_ms / window_ms / self.weights.get(club or "", least)
            told += self._window(now_ms, club, count, times)
            count.asked_ms, count.turned_away = 0.0, 0
        return told

    def _window(self, now_ms: float, club: str | None, count: Count, times: float) -> list[OverloadEvent]:
        if count.since_ms is None:
            if not count.turned_away or times <= BEGINS:
                return []
            count.since_ms = count.told_ms = now_ms
            count.calm, count.shed, count.most = 0, count.turned_away, times
            return [OverloadStarted(club, times, count.turned_away)]
        count.shed += count.turned_away
        count.most = max(count.most, times)
        count.calm = 0 if count.turned_away else count.calm + 1
        if count.calm >= CALM_WINDOWS:
            return self._over(now_ms, club, count)
        if now_ms >= count.told_ms + REPORT_INTERVAL_MS:
            count.told_ms = now_ms
            return [OverloadContinued(club, now_ms - count.since_ms, times, count.shed)]
        return []

    @staticmethod
    def _over(now_ms: float, club: str | None, count: Count) -> list[OverloadEvent]:
        since_ms, count.since_ms = count.since_ms, None
        return [] if since_ms is None else [OverloadEnded(club, now_ms - since_ms, count.most, count.shed)]

    def _count(self, club: str | None) -> Count:
        name = club if club in self.weights else None
        count = self.counts.get(name)
        if count is None:
            count = self.counts[name] = Count()
        return count
