"""The control endpoint: a small HTTP/1.1 front for operators with one call per connection.

It has its own bound on connections, so that a full table of callers locks no operator out. It does not use the decision
planner: a call is answered in the event loop turn that read it.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup
from anyio.lowlevel import checkpoint

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import Log, log_nothing
from flintshift.wire.caller_stream import open_caller_stream
from flintshift.wire.fields import RequestError, encode_response
from flintshift.wire.http_parser import BoundedParser, MessageBounds, MessageError
from flintshift.wire.link import CONNECTION_ERRORS

TURNS_TO_FIRST_READ = 3  # of the event loop, from accepting a connection to reading the bytes that came with it


class OperatedNode(Protocol):
    """What operators may ask of a node. Each call is idempotent and takes effect before it returns."""

    def not_ready_reason(self) -> str | None:
        """Why this process does not serve clients; None if it does."""
        ...

    def take_out_of_service(self) -> str | None:
        """Make health checks fail from now on; requests are answered as before. Returns why not, if it can't."""
        ...

    def put_in_service(self) -> str | None:
        """Make health checks succeed again, as far as the decisions allow. Returns why not, if it can't."""
        ...


@dataclass(eq=False)
class ControlConnection:
    """A connection that brings one call."""

    raw: socket.socket
    since_ms: float
    scope: anyio.CancelScope


class ControlFront:
    """Serves the calls of operators."""

    def __init__(self, node: OperatedNode, limits: Limits, counters: Counters, now_ms: Callable[[], float]) -> None:
        self.limits, self.counters, self.now_ms = limits, counters, now_ms
        self.log: Log = log_nothing
        self.connections: dict[ControlConnection, None] = {}  # the oldest first
        self.handlers: dict[str, tuple[str, Callable[[], str | None]]] = {  # method and handler by path
            "/control/ready": ("GET", node.not_ready_reason),
            "/control/out-of-service": ("POST", node.take_out_of_service),
            "/control/in-service": ("POST", node.put_in_service),
        }

    async def serve(self, raw: socket.socket, tasks: TaskGroup) -> None:
        """Accept as many connections in one turn of the event loop as the bound allows, and displace old ones when it
        is reached.

        In a busy node a turn of the loop is long. One turn for each connection would add up to seconds for a queue."""
        with raw:
            while True:
                await anyio.wait_readable(raw)
                while len(self.connections) < self.limits.control_connections:
                    try:
                        accepted, _ = raw.accept()
                    except (BlockingIOError, ConnectionAbortedError):
                        break
                    except OSError:  # one connection that can't be accepted must not end the control endpoint
                        self.counters.add("control.accept_failed")
                        await anyio.sleep(self.limits.backoff_ms / 1000)
                        break
                    accepted.setblocking(False)
                    connection = ControlConnection(accepted, self.now_ms(), anyio.CancelScope())
                    self.connections[connection] = None
                    tasks.start_soon(self._serve_connection, connection)
                else:
                    await self._displace()

    async def _displace(self) -> None:
        """Close connections that have not brought a complete call, except those that had no time for it: new
        connections wait for that time."""
        candidates = list(self.connections)
        await anyio.sleep(
            max(0.0, candidates[0].since_ms + self.limits.control_displace_after_ms - self.now_ms()) / 1000
        )
        for _ in range(TURNS_TO_FIRST_READ):  # in a busy node, that time may pass without a turn of the loop
            await checkpoint()
        latest_ms = self.now_ms() - self.limits.control_displace_after_ms
        for connection in candidates:
            if connection in self.connections and connection.since_ms <= latest_ms:
                del self.connections[connection]
                self.counters.add("control.displaced")
                connection.scope.cancel()

    async def _serve_connection(self, connection: ControlConnection) -> None:
        stream = None
        try:
            with connection.scope:
                stream = await open_caller_stream(connection.raw, self.limits.max_control_head_bytes)
                async with stream:
                    with anyio.move_on_after(self.limits.control_call_timeout_ms / 1000) as call_scope:
                        await self._answer_call(stream)
                    if call_scope.cancelled_caught:
                        self.counters.add("control.cut")  # no call or only a part of one arrived in time
                    else:
                        await stream.shut_down(self.limits, self.limits.linger_ms)
        # ValueError, RuntimeError: the connection was closed before its stream was created.
        except (*CONNECTION_ERRORS, ValueError, RuntimeError):
            self.counters.add("control.broken")
        finally:
            self.connections.pop(connection, None)
            if stream is None:
                connection.raw.close()

    async def _answer_call(self, stream: SocketStream) -> None:
        status, reason = await self._handle_call(stream)
        body = f"{reason}\n".encode()
        self.counters.add(f"control.status_{status}")
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        await stream.send(encode_response(status, headers, body))

    async def _handle_call(self, stream: SocketStream) -> tuple[int, str]:
        """Read and carry out a call; the status and text of its response."""
        limits = self.limits
        bounds = replace(MessageBounds.of_requests(limits), max_head_bytes=limits.max_control_head_bytes)
        try:
            request = await self._read_request(BoundedParser(h11.SERVER, bounds), stream)
        except RequestError as error:
            return error.status, error.text
        except MessageError as error:
            return error.status, f"this is no HTTP/1.1 call: {error}"
        path = request.target.decode("latin-1").partition("?")[0]
        if path not in self.handlers:
            return 404, f"there is no such call; there are {', '.join(self.handlers)}"
        method, handler = self.handlers[path]
        if request.method.decode() != method:
            return 405, f"{path} takes {method}"
        reason = handler()
        self.log("info", "control.called", call=path, reason=reason)
        return (200, "yes") if reason is None else (503, reason)

    async def _read_request(self, parser: BoundedParser, stream: SocketStream) -> h11.Request:
        """Read a complete request; its body is ignored."""
        request, body_bytes = None, 0
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive(await stream.receive(self.limits.max_control_head_bytes))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body_bytes += len(event.data)
                if body_bytes > self.limits.max_control_head_bytes:
                    raise RequestError(400, "the call is too large")
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request
            else:
                raise RequestError(400, "the call is cut off")
