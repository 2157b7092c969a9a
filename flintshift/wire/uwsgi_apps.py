"""Runs on the uwsgi app servers: one connection per run, to a server that DNS-SD lists."""

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
from flintshift.wire.http_parser import BoundedParser, MessageBounds, MessageError
from flintshift.wire.link import CONNECTION_ERRORS, connect
from flintshift.wire.outcomes import OUTCOMES


class AppServers:
    """Runs requests on app servers and reports how they ended (``core.ports.Workers``)."""

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
        self.connections = anyio.CapacityLimiter(limits.app_connections)  # limits the file descriptors in use

    def spawn(self, attempt: Attempt) -> bool:
        return self.outbox.offer(attempt)

    def supply(self, request: str, notice: int, reply: bytes) -> bool:
        return True  # app servers make no calls through the node

    def continue_run(self, request: str, notice: int) -> bool:
        return True

    async def run(self) -> None:
        """Run the queued requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                attempt = await self.outbox.take()
                await self.connections.acquire_on_behalf_of(attempt)
                tasks.start_soon(self._run, attempt)

    async def _run(self, attempt: Attempt) -> None:
        started_ms = self.now_ms()
        try:
            outcome, result = await self._run_on_first_reachable(attempt)
        except Exception as error:  # any other error of the event loop fails this run, not the node
            faults.record(self.counters, "apps", error)
            outcome, result = OUTCOMES["link", "broken"], b""
        finally:
            self.connections.release_on_behalf_of(attempt)
        self.counters.add(f"apps.{outcome.value}")
        await self.report(RunFinished(attempt.id, outcome, self.now_ms() - started_ms, result))

    async def _run_on_first_reachable(self, attempt: Attempt) -> tuple[Outcome, bytes]:
        for address in self.browser.servers(attempt.class_name):
            try:
                stream = await connect(address, self.limits)
            except CONNECTION_ERRORS:  # it never ran there: the next server is tried
                self.counters.add("apps.not_reached")
                continue
            try:
                async with stream:
                    with anyio.fail_after(self.limits.app_run_timeout_ms / 1000):
                        return await self._exchange(stream, attempt)
            except TimeoutError:
                return OUTCOMES["link", "silent"], b""
            except (*CONNECTION_ERRORS, h11.ProtocolError, MessageError):  # it may have run: no other server is tried
                return OUTCOMES["link", "broken"], b""
        return OUTCOMES["link", "refused"], b""

    async def _exchange(self, stream: SocketStream, attempt: Attempt) -> tuple[Outcome, bytes]:
        parser = BoundedParser(h11.CLIENT, MessageBounds.of_responses(self.limits))
        # A uwsgi request has its own format and its response is HTTP: h11 parses the response only.
        parser.connection.send(h11.Request(method="POST", target="/", headers=[("Host", "app")]))
        parser.connection.send(h11.EndOfMessage())
        await stream.send(attempt.head + attempt.body)
        status, result = 0, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    parser.receive(await stream.receive(self.limits.read_chunk_bytes))
                except anyio.EndOfStream:
                    parser.receive(b"")
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
