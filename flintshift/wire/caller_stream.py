"""The byte stream of one caller's connection, with checks and a half-close that return at once.

No byte may be read from the socket between a check that finds nothing and the half-close that follows it: that byte
would belong to a request that is read and never answered. The event loop reads whenever it gets a turn, so the check
and the half-close are plain calls on the socket itself, without a turn of the loop between them.
"""

from __future__ import annotations

import asyncio
import select
import socket

from anyio._backends._asyncio import SocketStream as AsyncioSocketStream
from anyio._backends._asyncio import StreamProtocol

from flintshift.core.limits import Limits

PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
SETUP_RETRY_DELAY_S = 0.005  # between two tries to set up the stream of an accepted connection
SETUP_TIMEOUT_S = Limits().request_read_timeout_ms / 1000  # as long as the first request may take to arrive


class CallerStream(AsyncioSocketStream):
    """anyio's stream on an accepted socket. ``raw`` is that socket; the transport owns it."""

    def __init__(self, transport: asyncio.Transport, protocol: StreamProtocol, raw: socket.socket) -> None:
        super().__init__(transport, protocol)
        self.raw = raw

    def read_available(self, max_bytes: int) -> bytes:
        """Return bytes that have arrived and were not received yet, at most ``max_bytes`` of them from the socket;
        b"" if there are none. Call it only while no `receive` is pending, since the transport does not read then."""
        queue = self._protocol.read_queue
        if queue:
            data = b"".join(queue)
            queue.clear()
            self._protocol.read_event.clear()
            return data
        try:
            return self.raw.recv(max_bytes)
        except OSError:  # no bytes have arrived, or the connection is broken
            return b""

    def half_close(self) -> None:
        """Close the sending side at once. Call it only while no written bytes are pending."""
        try:
            self.raw.shutdown(socket.SHUT_WR)
        except OSError:  # the connection is broken or already closed
            self._transport.abort()

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes that the system has not accepted yet."""
        return 0 if self._transport.is_closing() else self._transport.get_write_buffer_size()

    @property
    def peer_closed(self) -> bool:
        """Whether the peer has closed its sending side or reset the connection. The check reads no bytes."""
        return peer_closed(self.raw)


async def open_caller_stream(accepted: socket.socket) -> CallerStream:
    """Create a stream on an accepted socket, in the same way as anyio's listener.

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
            transport, protocol = await loop.connect_accepted_socket(StreamProtocol, accepted)
            return CallerStream(transport, protocol, accepted)
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
