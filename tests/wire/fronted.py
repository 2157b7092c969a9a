"""An HTTP front that listens in the test's own event loop, with decisions made by the test."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass, field

import anyio
from standins import BYTES, SETTINGS, Caller, job

from flintshift.core.attempts import Answer, Attempt, CallerDisconnected, Verdict
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import ServingStatus
from flintshift.settings.platform import flat, settings_from
from flintshift.wire.acceptor import Acceptor, open_listener
from flintshift.wire.fields import AttemptBuilder
from flintshift.wire.http_front import HttpFront

PING = BYTES["http"]("", b"", {}, method="GET", path="/ping")


def now_ms() -> float:
    return time.time() * 1000


@dataclass
class Decided:
    """In the place of the decisions: what was handed over, answered when the test says so."""

    serving_status: ServingStatus = field(default_factory=lambda: ServingStatus(workers_up=True))
    taken: list[Attempt] = field(default_factory=list)
    turned_away: list[Attempt] = field(default_factory=list)
    departed: list[str] = field(default_factory=list)
    at_once: Answer | None = None
    open: int = 0  # requests that it holds

    def submit(self, attempt: Attempt) -> None:
        self.taken.append(attempt)
        if self.at_once is not None:
            attempt.settle(self.at_once, now_ms())

    def reject(self, attempt: Attempt) -> None:
        self.turned_away.append(attempt)
        attempt.settle(Answer(Verdict.REFUSED, retry_after_ms=300.0), now_ms())

    async def report(self, report) -> None:
        if isinstance(report, CallerDisconnected):
            self.departed.append(report.attempt.id)


class Fronted:
    """An HTTP front that listens, with decisions made by the test."""

    def __init__(self, **limits: float) -> None:
        self.limits, self.counters, self.decided = Limits(**limits), Counters(), Decided()
        fields = AttemptBuilder(Catalogue(settings_from(flat(SETTINGS)), self.limits), self.limits, now_ms)
        self.front = HttpFront(fields, self.decided, self.limits, self.counters, now_ms, 100, None)

    async def __aenter__(self):
        listener = Acceptor(open_listener(("127.0.0.1", 0), 64))
        self.at = listener.raw.getsockname()
        self.tasks = await anyio.create_task_group().__aenter__()
        self.tasks.start_soon(self.front.serve, listener, self.tasks)
        self.tasks.start_soon(self.front.sweep)
        return self

    async def __aexit__(self, *_):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)
        assert not self.front.connections and not any(self.front.idle)  # nothing outlives its owner

    def connect(self, **options: int) -> socket.socket:
        """A caller's connection, open as far as the kernel goes, without a turn of the loop."""
        raw = socket.socket()
        for name, value in options.items():
            raw.setsockopt(socket.SOL_SOCKET, getattr(socket, name), value)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # its bytes are in the peer's kernel once it returns
        raw.connect(self.at)
        return raw

    async def rested(self) -> socket.socket:
        """A connection that has brought a request before, and rests."""
        raw = self.connect()
        caller = await calling(raw.dup())
        caller.send(PING)
        assert (await caller.reply()).status == 200
        caller.writer.close()
        while self.front.busy_count or not any(one.reading for one in self.front.connections):
            await asyncio.sleep(0)
        return raw

    async def until(self, true) -> None:
        with anyio.fail_after(10):
            while not true():
                await asyncio.sleep(0.001)


async def calling(raw: socket.socket) -> Caller:
    raw.setblocking(False)
    return Caller(*await asyncio.open_connection(sock=raw))


def whole(fields=None) -> bytes:
    return BYTES["http"]("race-results", b"", fields or job("race-results"))
