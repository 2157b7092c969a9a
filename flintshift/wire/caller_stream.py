"""The byte stream of one caller's connection, with the looks and the end that need no wait.

Between a look that finds nothing and the end that is sent for it, no byte may be read from the socket: it would be a
request that was read and is never answered. The event loop reads whenever it gets a turn, so here both are calls that
return at once, made on the socket itself.
"""

from __future__ import annotations

import asyncio
import select
import socket

from anyio._backends._asyncio import SocketStream as AsyncioSocketStream
from anyio._backends._asyncio import StreamProtocol

from flintshift.core.limits import Limits

PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
TAKE_AGAIN_S = 0.005  # between two tries to take a connection that was accepted
TAKE_MOST_S = Limits().request_read_timeout_ms / 1000  # as long as its first request may take to come


class CallerStream(AsyncioSocketStream):
    """anyio's stream on an accepted socket. ``raw`` is that socket; the transport owns it."""

    def __init__(self, transport: asyncio.Transport, protocol: StreamProtocol, raw: socket.socket) -> None:
        super().__init__(transport, protocol)
        self.raw = raw

    def unread(self, most: int) -> bytes:
        """What has come and was not received, up to ``most`` bytes from the socket; b"" where there is nothing. To be
        called while no `receive` is under way: the transport does not read then."""
        queue = self._protocol.read_queue
        if queue:
            data = b"".join(queue)
            queue.clear()
            self._protocol.read_event.clear()
            return data
        try:
            return self.raw.recv(most)
        except OSError:  # nothing is there, or the connection is broken
            return b""

    def end(self) -> None:
        """Send the end of this side at once. To be called where nothing waits to be written."""
        try:
            self.raw.shutdown(socket.SHUT_WR)
        except OSError:  # it is broken, or closed already
            self._transport.abort()

    @property
    def unsent(self) -> int:
        """Bytes that the system has not taken yet."""
        return 0 if self._transport.is_closing() else self._transport.get_write_buffer_size()

    @property
    def peer_ended(self) -> bool:
        """The peer has sent its end, or reset the connection; found without reading anything."""
        return peer_ended(self.raw)


async def caller_stream(accepted: socket.socket) -> CallerStream:
    """A stream on an accepted socket, made as anyio's own listener makes one.

    `SocketStream.from_socket` looks at what the socket is and connects it anew: some 0.1 ms more for each connection,
    which is a third of what a flood of short ones costs.

    Raises:
        OSError, ValueError, RuntimeError: the connection was reset already, or the system refused for too long.
    """
    loop = asyncio.get_running_loop()
    latest_s = loop.time() + TAKE_MOST_S
    while True:
        # The loop sets options of the socket, and that may fail for a moment: a request may stand in it all the same.
        try:
            transport, protocol = await loop.connect_accepted_socket(StreamProtocol, accepted)
            return CallerStream(transport, protocol, accepted)
        except (OSError, ValueError, RuntimeError):
            if peer_ended(accepted) or loop.time() >= latest_s:
                raise
        await asyncio.sleep(TAKE_AGAIN_S)


def peer_ended(raw: socket.socket) -> bool:
    """The peer has sent its end, or reset the connection; found without reading anything."""
    if raw.fileno() < 0:
        return True
    looked = select.poll()
    looked.register(raw.fileno(), select.POLLRDHUP)
    return any(events & PEER_ENDED for _, events in looked.poll(0))
