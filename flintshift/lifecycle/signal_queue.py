"""Signals as messages: received by the event loop, and handled by the one task that takes them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Iterator
from types import FrameType

import anyio

from flintshift.lifecycle.signals import HEEDED, NOTICES


class SignalQueue:
    """The signals that were received and not handled yet. One that comes again before it is handled counts once, and
    the notice to leave comes before all others: the kill follows it, however many came first."""

    def __init__(self) -> None:
        self.pending: dict[signal.Signals, None] = {}
        self.come = anyio.Event()
        self.notice_s: float | None = None  # when the first notice to leave arrived, by the monotonic clock
        self.later: dict[signal.Signals, asyncio.TimerHandle] = {}  # that are added at their time

    @contextlib.contextmanager
    def receiving(self) -> Iterator[None]:
        """Receive them in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in HEEDED:
            loop.add_signal_handler(number, self.add, number)
        for number in NOTICES:
            self._date(number)
        try:
            yield
        finally:
            for number in HEEDED:
                loop.remove_signal_handler(number)

    def _date(self, number: signal.Signals) -> None:
        """Note when a signal arrives, beside what the event loop does. The loop hands it over in its next turn and
        tasks take it in later ones, but the kill follows the arrival. The interpreter's own handler runs between two
        instructions, and in a system call that blocks once that is interrupted; the interpreter begins it again."""
        loops_handler = signal.getsignal(number)

        def arrived(number: int, frame: FrameType | None) -> None:
            if self.notice_s is None:
                self.notice_s = time.monotonic()
            if callable(loops_handler):
                loops_handler(number, frame)

        signal.signal(number, arrived)
        signal.siginterrupt(number, True)

    def notice_age_ms(self) -> float:
        """How long ago the first notice to leave arrived; 0 where none did."""
        return (time.monotonic() - self.notice_s) * 1000 if self.notice_s is not None else 0.0

    def add(self, number: signal.Signals) -> None:
        self.pending[number] = None
        self.come.set()

    def add_later(self, number: signal.Signals, after_s: float) -> None:
        """As if the signal were sent once more, so much later; a later call replaces one that waits."""
        if number in self.later:
            self.later[number].cancel()
        self.later[number] = asyncio.get_running_loop().call_later(after_s, self.add, number)

    async def take(self) -> signal.Signals:
        """The next one; all that are pending can be taken in one turn of the event loop."""
        while not self.pending:
            self.come = anyio.Event()
            await self.come.wait()
        first = next((number for number in self.pending if number in NOTICES), next(iter(self.pending)))
        del self.pending[first]
        return first
