"""A listener whose accepting can be stopped and taken up again without losing a connection.

anyio's own drops what was accepted in the turn in which it is cancelled, and stops for all where one accepted
connection was reset already. Here a cancellation can only meet the wait for readiness: the queue stays in the socket,
for this process later or for another that holds the socket too.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio._backends._asyncio import SocketStream as AsyncioSocketStream
from anyio._backends._asyncio import StreamProtocol
from anyio.abc import SocketStream, TaskGroup

from flintshift.core.limits import Limits

BATCH = 64  # accepted in one turn
ADVICE = {  # by why an address can't be listened at
    errno.EADDRINUSE: "end the process that listens there, or change `listen`",
    errno.EADDRNOTAVAIL: "no interface of this machine has that address: change `listen`",
    errno.EACCES: "this user may not listen at that port: change `listen`",
}


class Acceptor:
    def __init__(self, raw: socket.socket) -> None:
        self.raw = raw
        self.held = 0  # connections that were taken and are not closed
        self.closed = False

    async def serve(self, handler: Callable[[SocketStream], Awaitable[None]], tasks: TaskGroup) -> None:
        """Until cancelled.

        Raises:
            OSError: a connection can't be accepted, for want of descriptors, say.
        """
        while True:
            await anyio.wait_readable(self.raw)
            for _ in range(BATCH):
                if not self._take(handler, tasks):
                    break

    def take_queued(self, handler: Callable[[SocketStream], Awaitable[None]], tasks: TaskGroup, most: int) -> None:
        """Take what is queued now, ``most`` of it, as callers may go on to connect meanwhile: closing the socket would
        reset it, though a request may stand in it."""
        with contextlib.suppress(OSError):  # no descriptors are left: the rest is reset with the socket
            for _ in range(most):
                if not self._take(handler, tasks):
                    break

    def _take(self, handler: Callable[[SocketStream], Awaitable[None]], tasks: TaskGroup) -> bool:
        """Take the next connection; False where none is queued."""
        try:
            accepted, _ = self.raw.accept()
        except ConnectionAbortedError:
            return True  # its caller went; the next one may not have
        except BlockingIOError:
            return False  # there is none, or another process that holds the socket took it
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.held += 1
        tasks.start_soon(self._handle, handler, accepted)
        return True

    async def _handle(self, handler: Callable[[SocketStream], Awaitable[None]], accepted: socket.socket) -> None:
        try:
            try:
                stream = await _stream_of(accepted)
            except (OSError, ValueError, RuntimeError):  # its caller went meanwhile
                accepted.close()
                return
            await handler(stream)
        finally:
            self.held -= 1

    async def aclose(self) -> None:
        self.raw.close()
        self.closed = True

    @property
    def done(self) -> bool:
        """It is closed, and so is all that it took."""
        return self.closed and not self.held


async def _stream_of(accepted: socket.socket) -> SocketStream:
    """A stream on an accepted socket, made as anyio's own listener makes one.

    `SocketStream.from_socket` looks at what the socket is and connects it anew: some 0.1 ms more for each connection,
    which is a third of what a flood of short ones costs."""
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.connect_accepted_socket(StreamProtocol, accepted)
    return AsyncioSocketStream(transport, protocol)


def listening(at: tuple[str, int], backlog: int) -> socket.socket:
    """A listening socket at this address."""
    host, port = at
    raw = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((host, port))
        raw.listen(backlog)
        raw.setblocking(False)
    except BaseException:
        raw.close()
        raise
    return raw


async def listening_once_free(at: tuple[str, int], limits: Limits, now_ms: Callable[[], float]) -> socket.socket:
    """Listen at an address; a process that was killed there may hold it for a moment longer.

    Raises:
        OSError: it can't be listened at, or is not free in time.
    """
    latest_ms = now_ms() + limits.bind_most_ms
    while True:
        try:
            return listening(at, limits.backlog)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or now_ms() >= latest_ms:
                advice = ADVICE.get(error.errno or 0, "change `listen`")
                raise OSError(error.errno, f"{error.strerror}: {at[0]}:{at[1]}; {advice}") from error
        await anyio.sleep(limits.bind_again_ms / 1000)
