"""A test harness: a front that listens in the test's own event loop, with decisions made by the test."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass, field

import anyio
from standins import REQUEST_BYTES, SETTINGS, Caller, request_fields

from flintshift.core.attempts import Answer, Attempt, CallerDisconnected, Verdict
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import ServingStatus
from flintshift.settings.platform import flatten, parse_settings
from flintshift.wire.acceptor import Acceptor, open_listener
from flintshift.wire.fields import AttemptBuilder
from flintshift.wire.http_front import HttpFront
from flintshift.wire.uwsgi_front import UwsgiFront

PING = REQUEST_BYTES["http"]("", b"", {}, method="GET", path="/ping")


def now_ms() -> float:
    return time.time() * 1000


@dataclass
class ScriptedDecisions:
    """Stands in for the decisions: keeps submitted attempts, and answers them when the test says so."""

    serving_status: ServingStatus = field(default_factory=lambda: ServingStatus(workers_up=True))
    submitted: list[Attempt] = field(default_factory=list)
    rejected: list[Attempt] = field(default_factory=list)
    disconnected: list[str] = field(default_factory=list)
    immediate_answer: Answer | None = None
    open: int = 0  # unanswered requests

    def submit(self, attempt: Attempt) -> None:
        self.submitted.append(attempt)
        if self.immediate_answer is not None:
            attempt.settle(self.immediate_answer, now_ms())

    def reject(self, attempt: Attempt) -> None:
        self.rejected.append(attempt)
        attempt.settle(Answer(Verdict.REFUSED, retry_after_ms=300.0), now_ms())

    async def report(self, report) -> None:
        if isinstance(report, CallerDisconnected):
            self.disconnected.append(report.attempt.id)


class FrontHarness:
    """Runs a front on a free port; an asynchronous context manager."""

    def __init__(self, name: str = "http", **limits: float) -> None:
        self.limits, self.counters, self.decisions = Limits(**limits), Counters(), ScriptedDecisions()
        attempt_builder = AttemptBuilder(Catalogue(parse_settings(flatten(SETTINGS)), self.limits), self.limits, now_ms)
        self.front = {"http": HttpFront, "uwsgi": UwsgiFront}[name](
            attempt_builder, self.decisions, self.limits, self.counters, now_ms, 100, None
        )

    async def __aenter__(self):
        listener = Acceptor(open_listener(("127.0.0.1", 0), 64))
        self.address = listener.raw.getsockname()
        self.tasks = await anyio.create_task_group().__aenter__()
        self.tasks.start_soon(self.front.serve, listener, self.tasks)
        self.tasks.start_soon(self.front.sweep)
        return self

    async def __aexit__(self, *_):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)
        assert not self.front.connections and not any(self.front.idle)  # no connection outlives its front

    def connect(self, **options: int) -> socket.socket:
        """Connect a caller. The kernel completes the connection without a turn of the event loop."""
        raw = socket.socket()
        for name, value in options.items():
            raw.setsockopt(socket.SOL_SOCKET, getattr(socket, name), value)
        # Once `send` returns, its bytes are in the peer's kernel.
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.connect(self.address)
        return raw

    async def open_idle_connection(self) -> socket.socket:
        """Open a connection whose first request is answered and which is idle now."""
        raw = self.connect()
        caller = await open_caller(raw.dup())
        caller.send(PING)
        assert (await caller.reply()).status == 200
        caller.writer.close()
        while self.front.busy_count or not any(connection.read_scope for connection in self.front.connections):
            await asyncio.sleep(0)
        return raw

    async def wait_until(self, condition) -> None:
        with anyio.fail_after(10):
            while not condition():
                await asyncio.sleep(0.001)


async def open_caller(raw: socket.socket) -> Caller:
    raw.setblocking(False)
    return Caller(*await asyncio.open_connection(sock=raw))


def http_request(fields=None) -> bytes:
    return REQUEST_BYTES["http"]("race-results", b"", fields or request_fields("race-results"))
