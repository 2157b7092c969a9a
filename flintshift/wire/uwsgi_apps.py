"""The uwsgi app servers: one connection a run, to a server that DNS-SD named."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import h11
from anyio.abc import SocketStream

from flintshift.core.attempts import Attempt, Report, RunFinished
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.interface import Outcome
from flintshift.wire import faults
from flintshift.wire.dnssd import Browser
from flintshift.wire.link import CONNECTION_ERRORS, connect
from flintshift.wire.outcomes import OUTCOMES


class AppServers:
    def __init__(
        self,
        browser: Browser,
        limits: Limits,
        counters: Counters,
        report: Callable[[Report], Awaitable[None]],
        now_ms: Callable[[], float],
    ) -> None:
        self.browser, self.limits, self.counters = browser, limits, counters
        self.report, self.now_ms = report, now_ms
        self.outbox: Mailbox[Attempt] = Mailbox(limits.outbox_size)
        self.room = anyio.CapacityLimiter(limits.app_connections)  # guards the descriptors

    def spawn(self, attempt: Attempt) -> bool:
        return self.outbox.offer(attempt)

    def supply(self, request: str, no: int, reply: bytes) -> bool:
        return True  # app servers make no calls through the node

    def continue_run(self, request: str, no: int) -> bool:
        return True

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                attempt = await self.outbox.take()
                await self.room.acquire_on_behalf_of(attempt)
                tasks.start_soon(self._run, attempt)

    async def _run(self, attempt: Attempt) -> None:
        began_ms = self.now_ms()
        try:
            outcome, result = await self._on_some_server(attempt)
        except Exception as error:  # whatever else the event loop may raise costs this run, and not the node
            faults.record(self.counters, "apps", error)
            outcome, result = OUTCOMES["link", "broken"], b""
        finally:
            self.room.release_on_behalf_of(attempt)
        self.counters.add(f"apps.{outcome.value}")
        await self.report(RunFinished(attempt.id, outcome, self.now_ms() - began_ms, result))

    async def _on_some_server(self, attempt: Attempt) -> tuple[Outcome, bytes]:
        for at in self.browser.servers(attempt.class_name):
            try:
                stream = await connect(at, self.limits)
            except CONNECTION_ERRORS:  # it never ran there: the next server may have it
                self.counters.add("apps.not_reached")
                continue
            try:
                async with stream:
                    with anyio.fail_after(self.limits.app_run_timeout_ms / 1000):
                        return await self._ask(stream, attempt)
            except TimeoutError:
                return OUTCOMES["link", "silent"], b""
            except (*CONNECTION_ERRORS, h11.ProtocolError):  # it may have run: no other server may have it
                return OUTCOMES["link", "broken"], b""
        return OUTCOMES["link", "refused"], b""

    async def _ask(self, stream: SocketStream, attempt: Attempt) -> tuple[Outcome, bytes]:
        conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=self.limits.max_head_bytes)
        # uwsgi asks in its own way and answers as HTTP does: only the answer is h11's.
        conn.send(h11.Request(method="POST", target="/", headers=[("Host", "app")]))
        conn.send(h11.EndOfMessage())
        await stream.send(attempt.head + attempt.body)
        status, result = 0, b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                try:
                    conn.receive_data(await stream.receive(self.limits.read_chunk_bytes))
                except anyio.EndOfStream:
                    conn.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                result += event.data
                if len(result) > self.limits.max_result_bytes:
                    self.counters.add("apps.junk")
                    return Outcome.ERROR, b""
            elif isinstance(event, h11.EndOfMessage):
                return (Outcome.OK, result) if status == 200 else (Outcome.ERROR, b"")
            elif not isinstance(event, h11.InformationalResponse):
                return Outcome.ERROR, b""
