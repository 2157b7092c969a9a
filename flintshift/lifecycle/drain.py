"""Graceful shutdown: all that was read is answered, and each connection closed, before the kill after the notice.

Connections end by agreement, not by time. From the notice on each answer says that it is the last on its connection,
and its caller ends that connection while no request is on its way. Only what rests until the last moment is ended by
the node, since a caller's request may cross that.
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

# The kill comes `stop_ms` after the notice, or sooner: once the longest deadline, which counts as the first of these at
# the most, and the second have passed (protocol page, and the operators' terms).
LONGEST_DEADLINE_MS = 3000.0
AFTER_DEADLINE_MS = 700.0


def kill_after_ms(stop_ms: float, classes: Iterable[RequestClass]) -> float:
    """The earliest moment of the kill, in ms after the notice.

    >>> from flintshift.interface import Effect
    >>> look = RequestClass("look", aim_ms=900.0, deadline_ms=1500.0, worth=1.0, effect=Effect.SAFE)
    >>> kill_after_ms(3000.0, [look])
    2200.0
    """
    longest_ms = max((kind.deadline_ms for kind in classes), default=LONGEST_DEADLINE_MS)
    return min(stop_ms, min(longest_ms, LONGEST_DEADLINE_MS) + AFTER_DEADLINE_MS)


class Drain:
    """Of one process. ``alone``: no other process holds its listeners."""

    def __init__(
        self,
        fronts: Sequence[Front],
        decisions: Decisions,
        limits: Limits,
        now_ms: Callable[[], float],
        alone: Callable[[], bool] = lambda: True,
        log: Log = log_nothing,
    ) -> None:
        self.fronts, self.decisions, self.limits = fronts, decisions, limits
        self.now_ms, self.alone, self.log = now_ms, alone, log

    def open(self) -> int:
        """Requests read and not answered."""
        return self.decisions.open + sum(front.busy for front in self.fronts)

    def connections(self) -> int:
        """Connections that were accepted and are not closed."""
        return sum(front.held for front in self.fronts)

    def done(self) -> bool:
        """No connection is taken any more, and all that were are closed."""
        return all(front.done for front in self.fronts)

    async def run(self, grace_ms: float, kill_ms: float, succeeded: bool, notice_age_ms: float = 0.0) -> None:
        """Until all that was read is answered and all connections are closed, ``kill_ms`` after the notice at the
        latest. ``grace_ms``: how long after the notice new work may still be run, as the settings tell. ``succeeded``:
        another process of this node takes the clients already. ``notice_age_ms``: how long ago the notice arrived,
        which a busy event loop hears of late; all times count from the arrival, as the kill's does."""
        notice_ms = self.now_ms() - notice_age_ms
        last_ms = notice_ms + kill_ms - self.limits.stop_margin_ms
        for front in self.fronts:
            front.drain()
        await self.decisions.report(ShutdownNotice(max(0.0, last_ms - self.now_ms())))
        self._tell("drain.began", notice_ms, kill_ms=kill_ms)
        if not succeeded:
            await self._until(lambda: False, min(notice_ms + grace_ms, last_ms - self.limits.stop_accepting_ms))
        for front in self.fronts:
            front.stop_listening(self.alone())
        self._tell("drain.listens_no_more", notice_ms)
        await self._until(lambda: self.done() and not self.decisions.open, last_ms)
        self._tell("drain.closes", notice_ms)
        for front in self.fronts:
            front.finish()
        # The last answers are to be taken, and what crosses them read to its end, for as long as the kill is away; and
        # where the notice was heard after the kill was due, what was read is answered all the same.
        await self._until(
            self.done, max(last_ms + self.limits.stop_margin_ms / 2, self.now_ms() + self.limits.close_crossing_ms)
        )
        self._tell("drain.ended", notice_ms)

    def _tell(self, event: str, notice_ms: float, **more: float) -> None:
        self.log(
            "info",
            event,
            after_ms=round(self.now_ms() - notice_ms),
            open=self.open(),
            connections=self.connections(),
            **more,
        )

    async def _until(self, true: Callable[[], bool], latest_ms: float) -> None:
        while self.now_ms() < latest_ms and not true():
            await anyio.sleep(self.limits.drain_check_interval_ms / 1000)
