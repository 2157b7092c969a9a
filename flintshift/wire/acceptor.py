"""A listener whose accepting can be stopped and taken up again without losing a connection.

anyio's own drops what was accepted in the turn in which it is cancelled, and stops for all where one accepted
connection was reset already. Here a cancellation can only meet the wait for readiness: the queue stays in the socket,
for this process later or for another that holds the socket too.
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
from flintshift.wire.caller_stream import CallerStream, caller_stream

BATCH = 64  # accepted in one turn
HANDSHAKE_S = 0.001  # for a connection that is being made on this machine to be whole

# A filter in the system's classic packet language (linux/filter.h): a segment of a TCP connection that is to be made,
# SYN without ACK, is dropped, and any other is kept.
SO_ATTACH_FILTER = 26
FILTER_STEP = struct.Struct("HBBI")  # code, steps to skip where true, where false, operand
FILTER = struct.Struct("HP")  # number of steps, address of the first
DROP_NEW = (
    (0x30, 0, 0, 13),  # load the byte of the TCP flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK of them
    (0x15, 0, 1, 0x02),  # SYN alone:
    (0x06, 0, 0, 0),  # drop it
    (0x06, 0, 0, 0xFFFFFFFF),  # else keep all of it
)
OPTION_TRIES = 8  # to set an option of a socket, which the system may refuse for a moment
ADVICE = {  # by why an address can't be listened at
    errno.EADDRINUSE: "end the process that listens there, or change `listen`",
    errno.EADDRNOTAVAIL: "no interface of this machine has that address: change `listen`",
    errno.EACCES: "this user may not listen at that port: change `listen`",
}

LOOK_S = 0.01  # between two looks whether there is room for a connection that is queued

Handler = Callable[[CallerStream], Awaitable[None]]


class ConnectionCapacity(Protocol):
    """How many connections may be held."""

    def has_capacity(self) -> bool:
        """One more may be accepted."""

    def request_capacity(self) -> None:
        """One waits in the queue, and there is no room for it."""


class Unbounded:
    """ConnectionCapacity for any number."""

    def has_capacity(self) -> bool:
        return True

    def request_capacity(self) -> None:
        """There is always some."""


UNBOUNDED = Unbounded()


class Acceptor:
    def __init__(self, raw: socket.socket) -> None:
        self.raw = raw
        self.open_count = 0  # connections that were taken and are not closed
        self.closed = False

    async def serve(self, handler: Handler, tasks: TaskGroup, room: ConnectionCapacity = UNBOUNDED) -> None:
        """Until cancelled. Where there is no room, connections stay in the queue: one that was accepted could only be
        reset.

        Raises:
            OSError: a connection can't be accepted, for want of descriptors, say.
        """
        while True:
            await anyio.wait_readable(self.raw)
            if not room.has_capacity():
                room.request_capacity()
                await anyio.sleep(LOOK_S)
                continue
            for _ in range(BATCH):
                if not self._take(handler, tasks) or not room.has_capacity():
                    break

    async def drop_new_connections(self) -> None:
        """Have the system drop what asks for a new connection, so that none is made between the last look at the queue
        and the close; its caller's system asks again, and finds nobody listening. For a socket that no other process
        listens at. Where the system can't, nothing is changed."""
        steps = array.array("B", b"".join(FILTER_STEP.pack(*step) for step in DROP_NEW))
        if set_option(
            self.raw, socket.SOL_SOCKET, SO_ATTACH_FILTER, FILTER.pack(len(DROP_NEW), steps.buffer_info()[0])
        ):
            await anyio.sleep(HANDSHAKE_S)

    def accept_queued(self, handler: Handler, tasks: TaskGroup, most: int) -> None:
        """Take what is queued, ``most`` of it: closing the socket would reset it, though a request may stand in it. The
        caller closes the socket in this turn.

        What the system refuses to accept for a moment is tried again at once: a turn of the event loop would begin all
        that was taken, and callers that are answered there connect anew."""
        for _ in range(most):
            try:
                if not self._take(handler, tasks):
                    break
            except OSError:  # it counts as one of the tries
                continue

    def _take(self, handler: Handler, tasks: TaskGroup) -> bool:
        """Take the next connection; False where none is queued."""
        try:
            accepted, _ = self.raw.accept()
        except ConnectionAbortedError:
            return True  # its caller went; the next one may not have
        except BlockingIOError:
            return False  # there is none, or another process that holds the socket took it
        accepted.setblocking(False)
        set_option(accepted, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_count += 1
        tasks.start_soon(self._handle, handler, accepted)
        return True

    async def _handle(self, handler: Handler, accepted: socket.socket) -> None:
        try:
            try:
                stream = await caller_stream(accepted)
            except (OSError, ValueError, RuntimeError):  # its caller went meanwhile
                accepted.close()
                return
            await handler(stream)
        finally:
            self.open_count -= 1

    def close(self) -> None:
        self.raw.close()
        self.closed = True

    @property
    def finished(self) -> bool:
        """It is closed, and so is all that it took."""
        return self.closed and not self.open_count


def set_option(raw: socket.socket, level: int, option: int, value: int | bytes) -> bool:
    """Set an option that the socket also works without; False where the system refuses it each time."""
    for _ in range(OPTION_TRIES):
        with contextlib.suppress(OSError):
            raw.setsockopt(level, option, value)
            return True
    return False


def open_listener(at: tuple[str, int], backlog: int) -> socket.socket:
    """A listening socket at this address.

    Raises:
        OSError: there is none to be had; the text says what to do.
    """
    host, port = at
    try:
        return _open_listener(host, port, backlog)
    except OSError as error:
        advice = ADVICE.get(error.errno or 0, "change `listen`")
        raise OSError(error.errno, f"{error.strerror}: {host}:{port}; {advice}") from error


def _open_listener(host: str, port: int, backlog: int) -> socket.socket:
    raw = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_option(
            raw, socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
        )  # without it, an earlier life's connections are in the way
        raw.bind((host, port))
        raw.listen(backlog)
        raw.setblocking(False)
    except BaseException:
        raw.close()
        raise
    return raw


async def open_listener_with_retries(
    at: tuple[str, int], limits: Limits, again: Callable[[OSError], bool]
) -> socket.socket:
    """Listen at an address, and try again while ``again`` says so of what failed.

    Raises:
        OSError: it can't be listened at, or not in time.
    """
    while True:
        # A list of errors to try again on would hold those that somebody has met: the rule is by class (`failures`).
        try:
            return open_listener(at, limits.listen_backlog)
        except OSError as error:
            if not again(error):
                raise
        await anyio.sleep(limits.start_retry_delay_ms / 1000)
