"""Signals as messages: the event loop receives them, and the one task that takes them handles them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Iterator
from types import FrameType

import anyio

from flintshift.lifecycle.signals import HANDLED_SIGNALS, SHUTDOWN_SIGNALS


class SignalQueue:
    """The signals that were received and are not handled yet.

    A signal that arrives again before it is handled counts once. A shutdown notice is taken before all other signals:
    the kill follows it, however many signals arrived first."""

    def __init__(self) -> None:
        self.pending: dict[signal.Signals, None] = {}
        self.signal_added = anyio.Event()
        self.shutdown_notice_s: float | None = None  # monotonic time at which the first shutdown notice arrived
        self.delayed: dict[signal.Signals, asyncio.TimerHandle] = {}  # signals to be added later

    @contextlib.contextmanager
    def receiving(self) -> Iterator[None]:
        """Receive the signals in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in HANDLED_SIGNALS:
            loop.add_signal_handler(number, self.add, number)
        for number in SHUTDOWN_SIGNALS:
            self._record_arrival(number)
        try:
            yield
        finally:
            for number in HANDLED_SIGNALS:
                loop.remove_signal_handler(number)

    def _record_arrival(self, number: signal.Signals) -> None:
        """Record when a signal arrives, besides what the event loop does with it.

        The loop delivers it in its next turn and tasks take it in later ones, but the kill follows the arrival. The
        interpreter's own handler runs between two instructions. In a system call that blocks it runs once that call is
        interrupted; the interpreter then restarts the call."""
        loop_handler = signal.getsignal(number)

        def on_arrival(number: int, frame: FrameType | None) -> None:
            if self.shutdown_notice_s is None:
                self.shutdown_notice_s = time.monotonic()
            if callable(loop_handler):
                loop_handler(number, frame)

        signal.signal(number, on_arrival)
        signal.siginterrupt(number, True)

    def shutdown_notice_age_ms(self) -> float:
        """Return how long ago the first shutdown notice arrived; 0 if none has."""
        return (time.monotonic() - self.shutdown_notice_s) * 1000 if self.shutdown_notice_s is not None else 0.0

    def add(self, number: signal.Signals) -> None:
        """Add a signal to those that are to be handled."""
        self.pending[number] = None
        self.signal_added.set()

    def add_later(self, number: signal.Signals, after_s: float) -> None:
        """Add a signal after this time, as if it were sent once more. A later call replaces one that is pending."""
        if number in self.delayed:
            self.delayed[number].cancel()
        self.delayed[number] = asyncio.get_running_loop().call_later(after_s, self.add, number)

    async def take(self) -> signal.Signals:
        """Return the next signal, and wait for one if there is none.

        All pending signals can be taken in one turn of the event loop."""
        while not self.pending:
            self.signal_added = anyio.Event()
            await self.signal_added.wait()
        next_signal = next((number for number in self.pending if number in SHUTDOWN_SIGNALS), next(iter(self.pending)))
        del self.pending[next_signal]
        return next_signal
