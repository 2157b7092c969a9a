"""The byte stream of one caller's connection, with checks and a half-close that return at once.

No byte may be read from the socket between a check that finds nothing and the half-close that follows it: that byte
would belong to a request that is read and never answered. The event loop reads whenever it gets a turn, so the check
and the half-close are plain calls on the socket itself, without a turn of the loop between them.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket

import anyio

from flintshift.core.limits import Limits
from flintshift.wire.bounded_stream import BoundedStream, ReceiveBuffer
from flintshift.wire.link import CONNECTION_ERRORS

PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
UNSENT_CHECK_INTERVAL_S = 0.01  # between two checks whether the system has accepted what was written
SETUP_RETRY_DELAY_S = 0.005  # between two tries to set up the stream of an accepted connection
SETUP_TIMEOUT_S = Limits().request_read_timeout_ms / 1000  # as long as the first request may take to arrive


class CallerStream(BoundedStream):
    """A bounded stream on an accepted socket. ``raw`` is that socket; the transport owns it."""

    def __init__(self, transport: asyncio.Transport, buffer: ReceiveBuffer, raw: socket.socket) -> None:
        super().__init__(transport, buffer)
        self.raw = raw
        buffer.peer_closed = lambda: peer_closed(raw)
        self.discarded_bytes = 0  # bytes that were read while it was shut down

    def read_available(self, max_bytes: int) -> bytes:
        """Return at most ``max_bytes`` that have arrived and were not received yet; b"" if there are none. Call it only
        while no `receive` is pending, since the transport does not read then."""
        data = self.buffer.take(max_bytes)
        if data:
            return data
        try:
            return self.raw.recv(min(max_bytes, self.buffer.max_bytes))
        except OSError:  # no bytes have arrived, or the connection is broken
            return b""

    def half_close(self) -> None:
        """Close the sending side at once. Call it only while no written bytes are pending."""
        try:
            self.raw.shutdown(socket.SHUT_WR)
        except OSError:  # the connection is broken or already closed
            self._transport.abort()

    async def shut_down(self, limits: Limits, linger_ms: float) -> None:
        """Send nothing more, and discard what still arrives: closing over unread bytes resets the connection, and a
        reset can destroy the last answer on its way. Ends once the peer closes too, ``linger_ms`` after the system
        accepted all that was written, or after ``limits.max_linger_bytes``."""
        # uvloop raises a RuntimeError if the connection is already closed.
        with contextlib.suppress(*CONNECTION_ERRORS, RuntimeError):
            await self.send_eof()
            with anyio.move_on_after(limits.write_timeout_ms / 1000):
                while self.unsent_bytes:
                    await anyio.sleep(UNSENT_CHECK_INTERVAL_S)
            with anyio.move_on_after(linger_ms / 1000):
                while self.discarded_bytes < limits.max_linger_bytes:
                    self.discarded_bytes += len(await self.receive(limits.read_chunk_bytes))

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes that the system has not accepted yet."""
        return 0 if self._transport.is_closing() else self._transport.get_write_buffer_size()

    @property
    def peer_closed(self) -> bool:
        """Whether the peer has closed its sending side or reset the connection. The check reads no bytes."""
        return peer_closed(self.raw)


async def open_caller_stream(accepted: socket.socket, max_received_bytes: int) -> CallerStream:
    """Create a stream on an accepted socket, which holds at most ``max_received_bytes`` that were not processed yet.

    `SocketStream.from_socket` inspects the socket and connects it again. That takes some 0.1 ms more for each
    connection, which is a third of the cost of each in an overload of short connections.

    Raises:
        OSError, ValueError, RuntimeError: the connection is already reset, or the system refused for too long.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + SETUP_TIMEOUT_S
    while True:
        # The loop sets socket options, which may fail transiently although the connection already carries a request.
        try:
            buffer = ReceiveBuffer(max_received_bytes)
            transport, _ = await loop.connect_accepted_socket(lambda buffer=buffer: buffer, accepted)  # type: ignore[misc]
            return CallerStream(transport, buffer, accepted)
        except (OSError, ValueError, RuntimeError):
            if peer_closed(accepted) or loop.time() >= deadline_s:
                raise
        await asyncio.sleep(SETUP_RETRY_DELAY_S)


def peer_closed(raw: socket.socket) -> bool:
    """Whether the peer has closed its sending side or reset the connection. The check reads no bytes."""
    if raw.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLRDHUP)
    return any(events & PEER_CLOSED_EVENTS for _, events in poller.poll(0))
