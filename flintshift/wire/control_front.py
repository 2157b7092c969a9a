"""The control door: a small HTTP/1.1 front for operators, one call a connection, apart from the callers' table.

It is bounded on its own, so that a full table of callers shuts no operator out, and it asks nothing of the decision
planner: a call is answered in the turn of the loop that read it.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup
from anyio.lowlevel import checkpoint

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import Log, log_nothing
from flintshift.wire.caller_stream import caller_stream
from flintshift.wire.fields import RequestError, encode_response
from flintshift.wire.link import CONNECTION_ERRORS

TURNS = 3  # of the loop, from accepting a connection to reading what came with it


class OperatedNode(Protocol):
    """What operators may ask of a node. Each call is idempotent and takes effect before it returns."""

    def not_ready_reason(self) -> str | None:
        """Why this process takes no clients; None when it does."""
        ...

    def take_out_of_service(self) -> str | None:
        """Health checks are bad from now on, all that arrives is answered as always; else why not."""
        ...

    def put_in_service(self) -> str | None:
        """Health checks are good again, as far as the decisions go; else why not."""
        ...


@dataclass(eq=False)
class Call:
    """A connection that brings a call."""

    raw: socket.socket
    since_ms: float
    scope: anyio.CancelScope


class ControlFront:
    def __init__(self, node: OperatedNode, limits: Limits, counters: Counters, now_ms: Callable[[], float]) -> None:
        self.limits, self.counters, self.now_ms = limits, counters, now_ms
        self.log: Log = log_nothing
        self.calls: dict[Call, None] = {}  # the oldest first
        self.table: dict[str, tuple[str, Callable[[], str | None]]] = {
            "/control/ready": ("GET", node.not_ready_reason),
            "/control/out-of-service": ("POST", node.take_out_of_service),
            "/control/in-service": ("POST", node.put_in_service),
        }

    async def serve(self, raw: socket.socket, tasks: TaskGroup) -> None:
        """Accept as many in a turn as there is room for; where there is none, those that have stayed make it.

        In a busy node a turn of the loop is long: a wait for each connection would add up to seconds for a queue."""
        with raw:
            while True:
                await anyio.wait_readable(raw)
                while len(self.calls) < self.limits.control_connections:
                    try:
                        accepted, _ = raw.accept()
                    except (BlockingIOError, ConnectionAbortedError):
                        break
                    except OSError:  # one connection that can't be accepted must not end the door
                        self.counters.add("control.accept_failed")
                        await anyio.sleep(self.limits.backoff_ms / 1000)
                        break
                    accepted.setblocking(False)
                    call = Call(accepted, self.now_ms(), anyio.CancelScope())
                    self.calls[call] = None
                    tasks.start_soon(self._answer, call)
                else:
                    await self._make_room()

    async def _make_room(self) -> None:
        """Close what has brought no whole call, but none that had no time to: newcomers wait so long."""
        stayed = list(self.calls)
        await anyio.sleep(max(0.0, stayed[0].since_ms + self.limits.control_displace_after_ms - self.now_ms()) / 1000)
        for _ in range(TURNS):  # in a busy node, time passes without a turn
            await checkpoint()
        before = self.now_ms() - self.limits.control_displace_after_ms
        for call in stayed:
            if call in self.calls and call.since_ms <= before:
                del self.calls[call]
                self.counters.add("control.displaced")
                call.scope.cancel()

    async def _answer(self, call: Call) -> None:
        stream = None
        try:
            with call.scope:
                stream = await caller_stream(call.raw)
                async with stream:
                    with anyio.move_on_after(self.limits.control_call_timeout_ms / 1000):
                        status, reason = await self._outcome(stream)
                        body = f"{reason}\n".encode()
                        self.counters.add(f"control.status_{status}")
                        await stream.send(
                            encode_response(
                                status,
                                [
                                    ("Content-Type", "text/plain; charset=utf-8"),
                                    ("Content-Length", str(len(body))),
                                    ("Connection", "close"),
                                ],
                                body,
                            )
                        )
                        return
                    self.counters.add("control.cut")  # it said nothing, or half a call
        except (*CONNECTION_ERRORS, ValueError, RuntimeError):  # the last two: it went before it was looked at
            self.counters.add("control.broken")
        finally:
            self.calls.pop(call, None)
            if stream is None:
                call.raw.close()

    async def _outcome(self, stream: SocketStream) -> tuple[int, str]:
        conn = h11.Connection(h11.SERVER, self.limits.max_control_head_bytes)
        try:
            request = await self._request(conn, stream)
        except RequestError as error:
            return error.status, error.text
        except h11.RemoteProtocolError as error:
            return 400, f"this is no HTTP/1.1 call: {error}"
        path = request.target.decode("latin-1").partition("?")[0]
        if path not in self.table:
            return 404, f"there is no such call; there are {', '.join(self.table)}"
        method, act = self.table[path]
        if request.method.decode() != method:
            return 405, f"{path} takes {method}"
        reason = act()
        self.log("info", "control.called", call=path, reason=reason)
        return (200, "yes") if reason is None else (503, reason)

    async def _request(self, conn: h11.Connection, stream: SocketStream) -> h11.Request:
        """The call, once it has come whole; what its body holds is of no meaning."""
        request, size = None, 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive(self.limits.max_control_head_bytes))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.max_control_head_bytes:
                    raise RequestError(400, "the call is too large")
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request
            else:
                raise RequestError(400, "the call is cut off")
