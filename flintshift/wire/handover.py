"""The Unix socket in ``$TMPDIR`` over which a successor finds the process that serves: path, frames, and the watch on
the other's life. No rule stands here.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import anyio
from anyio.abc import UNIXSocketStream

from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.handover.messages import VERSION, Copied, Hello, Known, Left, Message, Welcome
from flintshift.wire.handover_codec import FrameError, Unpacker, packed
from flintshift.wire.link import BROKEN
from flintshift.wire.unix import short

CREDENTIALS = struct.Struct("3i")
SOCKETS_MOST = 4


class UpgradeError(OSError):
    """This process can't take over; the text says why."""


def handover_socket_path(name: str, listen: tuple[str, int]) -> Path:
    """Where the processes of this node meet; the name is short, as a path of a socket may be."""
    mark = hashlib.blake2b(f"{name}\n{listen[0]}:{listen[1]}".encode(), digest_size=6).hexdigest()
    return Path(os.environ.get("TMPDIR") or "/tmp") / f"flintshift-{mark}"


def _watch(raw: socket.socket) -> int:
    """A descriptor that becomes readable at the other process's end.

    Raises:
        UpgradeError: there is none: a link that breaks could not be told from a death, and a key might run twice.
    """
    pid, uid, _ = CREDENTIALS.unpack(raw.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    if uid not in (os.getuid(), 0):
        raise UpgradeError(f"the process at the meeting path is of user {uid}, not of this one")
    try:
        return os.pidfd_open(pid)
    except (OSError, ValueError) as error:
        raise UpgradeError(f"the end of process {pid} at the meeting path can't be watched: {error}") from error


class HandoverLink:
    """One meeting of two processes."""

    def __init__(self, stream: UNIXSocketStream, limits: Limits) -> None:
        self.stream, self.limits = stream, limits
        self.outbox: Mailbox[Message | bytes] = Mailbox(limits.outbox_size)
        self.copy: Iterator[Known] | None = None
        self.unpacker, self.early_messages = Unpacker(), list[Message]()
        self.watched = _watch(stream.extra(anyio.abc.SocketAttribute.raw_socket))
        self.sockets: list[socket.socket] = []  # that go with the welcome
        self.broken, self.over = False, anyio.Event()  # nothing is read any more
        self.left = anyio.Event()  # the last word has gone

    def send(self, word: Message) -> None:
        """Without waiting; an outbox that is full says that the other does not read. Where nothing else waits, it is in
        the socket when this returns: the end of a run is there before its caller is answered, and a death between
        takes nothing from the other."""
        if self.broken:
            return
        told: Message | bytes = word
        if self.outbox.idle and not isinstance(word, Welcome | Left):
            told = packed(word)
            try:
                told = told[self.stream.extra(anyio.abc.SocketAttribute.raw_socket).send(told) :]
            except BlockingIOError:  # the other is slow: it waits as the rest does
                pass
            except BROKEN:
                self.abort()
                return
        if told != b"" and not self.outbox.offer(told):
            self.abort()

    def send_entries(self, entries: Iterator[Known]) -> None:
        self.copy = entries
        self.outbox.offer(Copied())  # wakes the writer, which tells the entries first

    async def close(self) -> None:
        """Say what is left to say, then end the link: the other hears it now and not in the middle of a read."""
        self.send(Left())
        with anyio.move_on_after(self.limits.final_send_timeout_ms / 1000):
            await self.left.wait()
        self.abort()
        with anyio.move_on_after(self.limits.last_read_timeout_ms / 1000):
            await self.over.wait()

    def abort(self) -> None:
        self.broken = True
        raw = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with contextlib.suppress(OSError):
            raw.shutdown(socket.SHUT_RDWR)

    async def run(
        self,
        heard: Callable[[Message], Awaitable[None]],
        gone: Callable[[], Awaitable[None]],
        ended: Callable[[str], Awaitable[None]],
    ) -> None:
        """Until the other process has ended, which is told last; the link itself may end before."""
        try:
            cause = await self._talk(heard)
            self.over.set()
            await ended(cause)
            await anyio.wait_readable(self.watched)
        finally:
            os.close(self.watched)
        await gone()

    async def _talk(self, heard: Callable[[Message], Awaitable[None]]) -> str:
        """Read until the link ends; returns why it did."""
        cause = ""
        try:
            async with self.stream, anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                try:
                    for word in self.early_messages:
                        await heard(word)
                    while True:
                        for word in self.unpacker.feed(await self.stream.receive(self.limits.read_chunk_bytes)):
                            await heard(word)
                except (FrameError, *BROKEN) as error:
                    self.broken, cause = True, f"{type(error).__name__} {error}".strip()
                tasks.cancel_scope.cancel()
        finally:
            self.broken = True
        return cause

    async def _write(self) -> None:
        try:
            while True:
                word = await self.outbox.take()
                if isinstance(word, Welcome):
                    await self.stream.send_fds(packed(word), [one.fileno() for one in self.sockets])
                    continue
                if isinstance(word, Left):
                    await self.stream.send(packed(word))
                    self.left.set()
                    return
                if isinstance(word, Copied):
                    batch = bytearray()
                    for entry in self.copy or ():
                        batch += packed(entry)
                        if len(batch) >= self.limits.read_chunk_bytes:
                            await self.stream.send(bytes(batch))
                            batch.clear()
                    await self.stream.send(bytes(batch) + packed(word))
                    continue
                batch = bytearray(word if isinstance(word, bytes) else packed(word))
                while (
                    len(batch) < self.limits.read_chunk_bytes
                    and self.outbox.items
                    and not isinstance(more := self.outbox.items[0], Copied | Welcome | Left)
                ):
                    batch += more if isinstance(more, bytes) else packed(more)
                    self.outbox.take_now()
                await self.stream.send(bytes(batch))
        except BROKEN:
            self.abort()


async def join_predecessor(path: Path, limits: Limits) -> HandoverLink | None:
    """Meet the process that serves: a link whose first word is its welcome; None where there is no such process, or
    one that leaves or hands over to another.

    Raises:
        UpgradeError: there is one, and it does not hand over.
    """
    try:
        with anyio.fail_after(limits.welcome_timeout_ms / 1000), short(path) as name:
            stream = await anyio.connect_unix(name)
    except TimeoutError as error:
        raise mute(limits) from error
    except (OSError, RuntimeError):  # no such path, or one of a process that has ended
        return None
    link = HandoverLink(stream, limits)
    try:
        with anyio.fail_after(limits.welcome_timeout_ms / 1000):
            await stream.send(packed(Hello(VERSION)))
            while not link.early_messages:
                data, found = await stream.receive_fds(limits.read_chunk_bytes, SOCKETS_MOST)
                link.sockets += [socket.socket(fileno=one) for one in found]
                link.early_messages += link.unpacker.feed(data)
    except TimeoutError as error:
        raise mute(limits) from error
    except BROKEN:
        await stream.aclose()
        return None
    except FrameError as error:
        raise UpgradeError(f"the process that serves speaks no handover: {error}") from error
    return link


def mute(limits: Limits) -> UpgradeError:
    return UpgradeError(
        f"the process that serves took the call and said nothing for {limits.welcome_timeout_ms:g} ms; "
        "it lives, so its address can't be shared: look at it, and end it if it hangs"
    )
