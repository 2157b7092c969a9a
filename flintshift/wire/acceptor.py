"""A listener that can stop and resume accepting without losing a connection.

anyio's listener loses the connections that it accepted in the event loop turn in which it is cancelled, and it stops
for good when one accepted connection was already reset. Here only the wait for readiness can be cancelled: queued
connections stay in the socket, for this process later or for another process that holds the same socket.
"""

from __future__ import annotations

import array
import contextlib
import errno
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from flintshift.core.limits import Limits
from flintshift.wire.caller_stream import CallerStream, open_caller_stream

MAX_ACCEPTS_PER_TURN = 64
HANDSHAKE_S = 0.001  # enough to complete a handshake that has begun on this machine

# A socket filter in classic BPF (linux/filter.h): drops TCP segments that open a new connection (SYN without ACK) and
# keeps all others.
SO_ATTACH_FILTER = 26
FILTER_INSTRUCTION = struct.Struct("HBBI")  # code, instructions to skip if true, if false, operand
FILTER_PROGRAM = struct.Struct("HP")  # number of instructions, address of the first
DROP_NEW_FILTER = (
    (0x30, 0, 0, 13),  # load the byte with the TCP flags
    (0x54, 0, 0, 0x12),  # mask all flags but SYN and ACK
    (0x15, 0, 1, 0x02),  # if only SYN is set:
    (0x06, 0, 0, 0),  # drop the segment
    (0x06, 0, 0, 0xFFFFFFFF),  # else keep all of it
)
# In tcp_info (linux/tcp.h): tcpi_unacked, which is the length of the queue where the socket listens.
UNACKED, UNACKED_OFFSET = struct.Struct("I"), 24
MAX_OPTION_TRIES = 8  # the system may transiently refuse to set a socket option
LISTEN_ADVICE = {  # what to do, by the error of a failed listen
    errno.EADDRINUSE: "end the process that listens there, or change `listen`",
    errno.EADDRNOTAVAIL: "no interface of this machine has that address: change `listen`",
    errno.EACCES: "this user may not listen at that port: change `listen`",
}

CAPACITY_CHECK_INTERVAL_S = 0.01  # between two checks whether a queued connection may be accepted

Handler = Callable[[CallerStream], Awaitable[None]]


class ConnectionCapacity(Protocol):
    """Bounds the number of open connections."""

    def has_capacity(self) -> bool:
        """Whether one more connection may be accepted."""

    def request_capacity(self, waiting: int) -> None:
        """Called when so many connections wait in the queue and may not be accepted yet."""


class Unbounded:
    """Capacity for any number of connections."""

    def has_capacity(self) -> bool:
        return True

    def request_capacity(self, waiting: int) -> None:
        """Do nothing: there is always capacity."""


UNBOUNDED = Unbounded()


class Acceptor:
    """Accepts connections from one listening socket, and counts those that are open."""

    def __init__(self, raw: socket.socket, max_received_bytes: int = Limits().max_received_bytes) -> None:
        """``max_received_bytes``: of each connection, that it holds unprocessed."""
        self.raw, self.max_received_bytes = raw, max_received_bytes
        self.open_count = 0  # connections that were accepted and are not closed
        self.closed = False

    async def serve(self, handler: Handler, tasks: TaskGroup, capacity: ConnectionCapacity = UNBOUNDED) -> None:
        """Accept connections until cancelled. Without capacity they stay in the queue, since a connection that was
        accepted could only be reset.

        Raises:
            OSError: a connection can't be accepted, for example for lack of file descriptors.
        """
        while True:
            await anyio.wait_readable(self.raw)
            if not capacity.has_capacity():
                capacity.request_capacity(queue_length(self.raw))
                await anyio.sleep(CAPACITY_CHECK_INTERVAL_S)
                continue
            for _ in range(MAX_ACCEPTS_PER_TURN):
                if not self._accept_one(handler, tasks) or not capacity.has_capacity():
                    break

    async def drop_new_connections(self) -> None:
        """Make the system drop requests for new connections, so that none is established between the last check of the
        queue and the close. The caller's system then retries and finds no listener. Only for a socket that no other
        process listens at. Has no effect where the system does not support it."""
        program = array.array("B", b"".join(FILTER_INSTRUCTION.pack(*step) for step in DROP_NEW_FILTER))
        if set_option(
            self.raw,
            socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            FILTER_PROGRAM.pack(len(DROP_NEW_FILTER), program.buffer_info()[0]),
        ):
            await anyio.sleep(HANDSHAKE_S)

    def accept_queued(self, handler: Handler, tasks: TaskGroup, max_tries: int) -> None:
        """Accept the connections in the queue, in at most ``max_tries`` tries. Closing the socket would reset them,
        although they may already carry a request. The caller closes the socket in the same turn of the event loop.

        A transient failure to accept is retried at once: a turn of the event loop would start the handlers of all
        accepted connections, and callers that are answered there would connect anew."""
        for _ in range(max_tries):
            try:
                if not self._accept_one(handler, tasks):
                    break
            except OSError:  # counts as one of the tries
                continue

    def _accept_one(self, handler: Handler, tasks: TaskGroup) -> bool:
        """Accept the next connection; False if none is queued."""
        try:
            accepted, _ = self.raw.accept()
        except ConnectionAbortedError:
            return True  # this caller disconnected; there may be others in the queue
        except BlockingIOError:
            return False  # the queue is empty, or another process that holds the socket accepted the connection
        accepted.setblocking(False)
        set_option(accepted, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_count += 1
        tasks.start_soon(self._handle, handler, accepted)
        return True

    async def _handle(self, handler: Handler, accepted: socket.socket) -> None:
        try:
            try:
                stream = await open_caller_stream(accepted, self.max_received_bytes)
            except (OSError, ValueError, RuntimeError):  # the caller disconnected meanwhile
                accepted.close()
                return
            await handler(stream)
        finally:
            self.open_count -= 1

    def close(self) -> None:
        """Close the listening socket; accepted connections stay open."""
        self.raw.close()
        self.closed = True

    @property
    def finished(self) -> bool:
        """Whether the listener and all connections that it accepted are closed."""
        return self.closed and not self.open_count


def queue_length(raw: socket.socket) -> int:
    """The number of connections that wait in a listener's queue; 1 if the system does not tell it."""
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, UNACKED.size + UNACKED_OFFSET)
        return int(UNACKED.unpack_from(info, UNACKED_OFFSET)[0])
    except (OSError, struct.error):
        return 1


def set_option(raw: socket.socket, level: int, option: int, value: int | bytes) -> bool:
    """Set an optional socket option; False if the system refuses it at each try."""
    for _ in range(MAX_OPTION_TRIES):
        with contextlib.suppress(OSError):
            raw.setsockopt(level, option, value)
            return True
    return False


def open_listener(address: tuple[str, int], backlog: int) -> socket.socket:
    """Open a listening socket at a host and port.

    Raises:
        OSError: the socket can't listen there; the text says what to do.
    """
    host, port = address
    try:
        return _open_listener(host, port, backlog)
    except OSError as error:
        advice = LISTEN_ADVICE.get(error.errno or 0, "change `listen`")
        raise OSError(error.errno, f"{error.strerror}: {host}:{port}; {advice}") from error


def _open_listener(host: str, port: int, backlog: int) -> socket.socket:
    raw = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Without this option, connections of an earlier process prevent the bind.
        set_option(raw, socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((host, port))
        raw.listen(backlog)
        raw.setblocking(False)
    except BaseException:
        raw.close()
        raise
    return raw


async def open_listener_with_retries(
    address: tuple[str, int], limits: Limits, should_retry: Callable[[OSError], bool]
) -> socket.socket:
    """Open a listening socket, and retry failures for which ``should_retry`` is true.

    Raises:
        OSError: the last failure, which is not to be retried.
    """
    while True:
        # A list of the errors to retry would hold only those seen so far: `failures` decides by the kind of error.
        try:
            return open_listener(address, limits.listen_backlog)
        except OSError as error:
            if not should_retry(error):
                raise
        await anyio.sleep(limits.start_retry_delay_ms / 1000)
