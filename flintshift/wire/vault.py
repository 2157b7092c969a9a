"""The client of the vault: calls with a header line and a payload of given length, over reused connections.

A connection carries one call at a time, so that a corrupt or missing reply or a reset fails that call alone. Few calls
are open at once.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from flintshift.core.attempts import CallFinished, Report
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.interface import Outcome
from flintshift.wire import faults
from flintshift.wire.link import CONNECTION_ERRORS, MalformedMessageError, connect
from flintshift.wire.outcomes import OUTCOMES


@dataclass(slots=True, eq=False)
class VaultCall:
    """A call to the vault. ``request`` is the request whose run makes it."""

    request: str
    requested_ms: float
    limit_ms: float  # from the request to the reply
    payload: bytes
    once: bool  # it must neither be made twice nor fail because a reused connection broke
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True, eq=False)
class VaultConnection:
    """A connection to the vault; ``request`` is the one that used it last."""

    address: tuple[str, int]
    stream: SocketStream
    reader: BufferedByteReceiveStream
    request: str = ""
    used_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ended. ``source`` is `call` for a status from the vault, `link` for one of its connection."""

    source: str
    status: str
    reply: bytes = b""

    @property
    def outcome(self) -> Outcome:
        return OUTCOMES[self.source, self.status]


REFUSED = CallEnd("link", "refused")  # proves that the call never ran
BROKEN_OFF = CallEnd("link", "broken")  # it may have run or not
SILENT = CallEnd("link", "silent")


class VaultLink:
    """Makes calls to the vault and reports how each ended (``core.ports.VaultCalls``)."""

    def __init__(
        self,
        address: tuple[str, int] | None,
        limits: Limits,
        counters: Counters,
        report: Callable[[Report], Awaitable[None]],
        now_ms: Callable[[], float],
    ) -> None:
        self.address, self.limits, self.counters = address, limits, counters
        self.report, self.now_ms = report, now_ms
        self.outbox: Mailbox[VaultCall | str] = Mailbox(limits.outbox_size)
        self.open_calls: dict[str, VaultCall] = {}  # by request
        self.unused_only_until_ms = 0.0  # until then, calls with `once` use new connections only, as a reused one broke
        self.idle_connections: list[VaultConnection] = []  # the most recently used last

    def start_call(self, request: str, limit_ms: float, payload: bytes, once: bool) -> bool:
        return self.outbox.offer(VaultCall(request, self.now_ms(), limit_ms, payload, once))

    def cancel_call(self, request: str) -> None:
        if not self.outbox.offer(request):  # the call goes on, and its reply is ignored
            self.counters.add("vault.unask_dropped")

    def move(self, address: tuple[str, int] | None) -> None:
        """Send new calls to another address, or reject them (None); open calls keep their connections."""
        self.address = address

    async def run(self) -> None:
        """Make the queued calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_idle_connections)
            while True:
                command = await self.outbox.take()
                if isinstance(command, VaultCall):
                    self._cancel(command.request)  # a second call of a request cancels the first
                    self.open_calls[command.request] = command
                    tasks.start_soon(self._run_call, command)
                else:
                    self._cancel(command)

    def _cancel(self, request: str) -> None:
        call = self.open_calls.pop(request, None)
        if call is not None:
            call.scope.cancel()  # closes its connection, which cancels the call at the vault

    async def _run_call(self, call: VaultCall) -> None:
        with call.scope:
            try:
                end = await self._make_call(call)
            except Exception as error:  # any other error of the event loop fails this call, not the node
                faults.record(self.counters, "vault", error)
                end = BROKEN_OFF
            if self.open_calls.get(call.request) is call:
                del self.open_calls[call.request]
            self.counters.add(f"vault.{end.status}")
            await self.report(CallFinished(call.request, end.outcome, self.now_ms() - call.requested_ms, end.reply))

    async def _make_call(self, call: VaultCall) -> CallEnd:
        """Make a call and return how it ended. The vault may have dropped a reused connection and reset it at the next
        call, which looks the same as a reset instead of a reply. So a call that may be made twice is repeated on a new
        connection, and calls with `once` use new connections only for a while after."""
        unused_only = call.once and self.now_ms() < self.unused_only_until_ms
        connection = None if unused_only else self._take_idle_connection(call.request)
        if connection is not None:
            end = await self._call_on(connection, call)
            if end is not BROKEN_OFF:
                return end
            self.unused_only_until_ms = self.now_ms() + self.limits.vault_new_links_ms
            if call.once:
                return end
            self.counters.add("vault.made_again")
        address = self.address
        # The number of connections is limited for the sake of the file descriptors.
        if address is None or len(self.open_calls) > self.limits.vault_connections:
            return REFUSED
        try:
            connection = await self._connect(address)
        except CONNECTION_ERRORS:
            return REFUSED
        return await self._call_on(connection, call)

    async def _call_on(self, connection: VaultConnection, call: VaultCall) -> CallEnd:
        remaining_ms = call.requested_ms + call.limit_ms - self.now_ms()
        try:
            with anyio.fail_after(max(0.0, remaining_ms + self.limits.call_grace_ms) / 1000):
                status, reply = await self._exchange(connection, call, max(1, round(remaining_ms)))
        except TimeoutError:
            return SILENT  # the connection can't be reused
        except MalformedMessageError:
            self.counters.add("vault.junk")
            return BROKEN_OFF
        except CONNECTION_ERRORS:
            self.counters.add("vault.links_lost")
            return BROKEN_OFF
        else:
            # Further data after a reply (a duplicate, for example) must not be read as the next reply.
            if not connection.reader.buffer and connection.address == self.address:
                connection.used_ms = self.now_ms()
                self.idle_connections.append(connection)
            return CallEnd("call", status, reply)
        finally:
            if connection not in self.idle_connections:
                with anyio.CancelScope(shield=True):
                    await connection.stream.aclose()

    def _take_idle_connection(self, request: str) -> VaultConnection | None:
        """Take a connection that was used a moment ago. Skips those that the vault may have closed or dropped while
        idle, and those on which a duplicate of this request's last reply might come."""
        min_used_ms = self.now_ms() - self.limits.max_vault_idle_ms
        usable = [
            connection
            for connection in self.idle_connections
            if connection.used_ms >= min_used_ms
            and connection.address == self.address
            and connection.request != request
        ]
        if not usable:
            return None
        self.idle_connections.remove(usable[-1])
        return usable[-1]

    async def _connect(self, address: tuple[str, int]) -> VaultConnection:
        stream = await connect(address, self.limits)
        self.counters.add("vault.links")
        return VaultConnection(address, stream, BufferedByteReceiveStream(stream))

    async def _exchange(self, connection: VaultConnection, call: VaultCall, remaining_ms: int) -> tuple[str, bytes]:
        connection.request = call.request
        head = f"ask {call.request} {remaining_ms} {len(call.payload)}\r\n"
        await connection.stream.send(head.encode() + call.payload + b"\r\n")
        for _ in range(self.limits.max_unmatched_replies):
            if not connection.reader.buffer:
                connection.reader.feed_data(await connection.stream.receive(self.limits.read_chunk_bytes))
            try:
                # An incomplete reply counts as malformed.
                with anyio.fail_after(self.limits.vault_reply_timeout_ms / 1000):
                    request, status, reply = await self._read_reply(connection.reader)
            except TimeoutError as error:
                raise MalformedMessageError("the reply is incomplete") from error
            if request == call.request:
                return status, reply
            self.counters.add("vault.strays")  # a reply that matches no call on this connection
        raise MalformedMessageError("too many unmatched replies")

    async def _read_reply(self, reader: BufferedByteReceiveStream) -> tuple[str, str, bytes]:
        parts = (await reader.receive_until(b"\r\n", self.limits.max_vault_line_bytes)).decode("latin-1").split(" ")
        status = parts[1] if len(parts) > 1 else ""
        if (
            status == "yes"
            and len(parts) == 3
            and parts[2].isascii()
            and parts[2].isdecimal()
            and len(parts[2]) < 9
            and int(parts[2]) <= self.limits.max_line_bytes
        ):
            reply = await reader.receive_exactly(int(parts[2]))
            if await reader.receive_exactly(2) != b"\r\n":
                raise MalformedMessageError("the line end after a reply is missing")
            return parts[0], status, reply
        if status == "yes" or ("call", status) not in OUTCOMES or len(parts) != 2:
            raise MalformedMessageError(status)
        return parts[0], status, b""

    async def _close_idle_connections(self) -> None:
        """Close connections that have been idle for too long: no reply is pending on them."""
        while True:
            await anyio.sleep(self.limits.max_vault_idle_ms / 1000)
            min_used_ms = self.now_ms() - self.limits.max_vault_idle_ms
            expired = [
                connection
                for connection in self.idle_connections
                if connection.used_ms < min_used_ms or connection.address != self.address
            ]
            self.idle_connections = [connection for connection in self.idle_connections if connection not in expired]
            for connection in expired:
                await connection.stream.aclose()
