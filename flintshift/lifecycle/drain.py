"""Graceful shutdown: each request that was read is answered, and each connection closed, before the process is killed.

Connections end by agreement, not by time. After the shutdown notice each answer says that it is the last on its
connection, and its caller ends that connection while no request is in transit. The node itself ends only connections
that are idle until the last moment, since a request of their callers may be in transit at that time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import anyio

from flintshift.core.attempts import ShutdownNotice
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits
from flintshift.core.ports import Log, log_nothing
from flintshift.interface import RequestClass
from flintshift.wire.front import Front

# The kill comes `stop_ms` after the shutdown notice. It may come sooner: after the longest deadline, of which at most
# MAX_COUNTED_DEADLINE_MS count, plus KILL_AFTER_DEADLINE_MS (by the protocol and the operators' terms).
MAX_COUNTED_DEADLINE_MS = 3000.0
KILL_AFTER_DEADLINE_MS = 700.0


def kill_after_ms(stop_ms: float, classes: Iterable[RequestClass]) -> float:
    """Return the earliest time of the kill, in ms after the shutdown notice.

    >>> from flintshift.interface import Effect
    >>> look = RequestClass("look", aim_ms=900.0, deadline_ms=1500.0, worth=1.0, effect=Effect.SAFE)
    >>> kill_after_ms(3000.0, [look])
    2200.0
    """
    longest_ms = max((kind.deadline_ms for kind in classes), default=MAX_COUNTED_DEADLINE_MS)
    return min(stop_ms, min(longest_ms, MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS)


class Drain:
    """The graceful shutdown of one process.

    ``is_sole_process`` returns whether no other process of the node has its listeners."""

    def __init__(
        self,
        fronts: Sequence[Front],
        decisions: Decisions,
        limits: Limits,
        now_ms: Callable[[], float],
        is_sole_process: Callable[[], bool] = lambda: True,
        log: Log = log_nothing,
    ) -> None:
        self.fronts, self.decisions, self.limits = fronts, decisions, limits
        self.now_ms, self.is_sole_process, self.log = now_ms, is_sole_process, log

    def open_requests(self) -> int:
        """Return the number of requests that were read and are not answered."""
        return self.decisions.open + sum(front.busy_count for front in self.fronts)

    def open_connections(self) -> int:
        """Return the number of connections that were accepted and are not closed."""
        return sum(front.open_count for front in self.fronts)

    def finished(self) -> bool:
        """Return whether no connection is accepted any more and all accepted ones are closed."""
        return all(front.finished for front in self.fronts)

    async def run(
        self, grace_ms: float, kill_ms: float, successor_serves: bool, shutdown_notice_age_ms: float = 0.0
    ) -> None:
        """Answer all requests that were read and close all connections, by ``kill_ms`` after the notice at the latest.

        ``grace_ms``: for how long after the notice new work may still be run, by the settings. ``successor_serves``:
        another process of this node accepts the clients already. ``shutdown_notice_age_ms``: how long ago the notice
        arrived, since a busy event loop receives it late. All times count from the arrival, as that of the kill does.
        """
        notice_ms = self.now_ms() - shutdown_notice_age_ms
        last_ms = notice_ms + kill_ms - self.limits.stop_margin_ms
        for front in self.fronts:
            front.drain()
        await self.decisions.report(ShutdownNotice(max(0.0, last_ms - self.now_ms())))
        self._log_progress("drain.began", notice_ms, kill_ms=kill_ms)
        if not successor_serves:
            await self._wait_until(lambda: False, min(notice_ms + grace_ms, last_ms - self.limits.stop_accepting_ms))
        for front in self.fronts:
            front.stop_listening(self.is_sole_process())
        self._log_progress("drain.listens_no_more", notice_ms)
        await self._wait_until(lambda: self.finished() and not self.decisions.open, last_ms)
        self._log_progress("drain.closes", notice_ms)
        for front in self.fronts:
            front.finish()
        # Until the kill, callers take the last answers and requests that crossed them are read to their end. If the
        # notice was received only after the kill was due, what was read is answered all the same.
        await self._wait_until(
            self.finished, max(last_ms + self.limits.stop_margin_ms / 2, self.now_ms() + self.limits.close_crossing_ms)
        )
        self._log_progress("drain.ended", notice_ms)

    def _log_progress(self, event: str, notice_ms: float, **fields: float) -> None:
        self.log(
            "info",
            event,
            after_ms=round(self.now_ms() - notice_ms),
            open=self.open_requests(),
            connections=self.open_connections(),
            **fields,
        )

    async def _wait_until(self, condition: Callable[[], bool], latest_ms: float) -> None:
        while self.now_ms() < latest_ms and not condition():
            await anyio.sleep(self.limits.drain_check_interval_ms / 1000)
