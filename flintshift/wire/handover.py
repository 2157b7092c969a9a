"""The Unix socket in ``$TMPDIR`` over which a successor reaches the process that serves: its path, its frames, and the
detection of the other process's exit. The rules of the handover are in ``flintshift.handover``.
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
from flintshift.wire.handover_codec import FrameDecoder, FrameError, encode_frame
from flintshift.wire.link import CONNECTION_ERRORS
from flintshift.wire.unix import short_socket_path

CREDENTIALS = struct.Struct("3i")  # of the process at the other end: its pid, user id and group id
MAX_SOCKETS = 4  # listening sockets that a welcome may carry


class UpgradeError(OSError):
    """This process can't take over from the one that serves."""


def handover_socket_path(name: str, listen: tuple[str, int]) -> Path:
    """The path of the socket that the processes of this node share. A digest keeps it short, as such paths must be."""
    digest = hashlib.blake2b(f"{name}\n{listen[0]}:{listen[1]}".encode(), digest_size=6).hexdigest()
    return Path(os.environ.get("TMPDIR") or "/tmp") / f"flintshift-{digest}"


def _open_exit_descriptor(raw: socket.socket) -> int:
    """Open a descriptor that becomes readable when the other process ends.

    Raises:
        UpgradeError: that fails. A broken link would then look like the process's end, and a key might run twice.
    """
    pid, uid, _ = CREDENTIALS.unpack(raw.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    if uid not in (os.getuid(), 0):
        raise UpgradeError(f"the process at the handover socket belongs to another user ({uid})")
    try:
        return os.pidfd_open(pid)
    except (OSError, ValueError) as error:
        raise UpgradeError(f"the end of process {pid} at the handover socket can't be watched: {error}") from error


class HandoverLink:
    """The link between the two processes of an upgrade."""

    def __init__(self, stream: UNIXSocketStream, limits: Limits) -> None:
        self.stream, self.limits = stream, limits
        self.outbox: Mailbox[Message | bytes] = Mailbox(limits.outbox_size)
        self.entries: Iterator[Known] | None = None
        self.decoder, self.early_messages = FrameDecoder(), list[Message]()
        self.exit_descriptor = _open_exit_descriptor(stream.extra(anyio.abc.SocketAttribute.raw_socket))
        self.sockets: list[socket.socket] = []  # the listening sockets that are passed with the welcome
        self.disconnected, self.reading_ended = False, anyio.Event()  # nothing more is sent; nothing more is read
        self.left_sent = anyio.Event()  # the message `Left` is sent

    def send(self, message: Message) -> None:
        """Send a message without waiting. A full outbox means that the other process does not read, and ends the link.

        If nothing else is queued, the message is in the socket when this returns: the other process gets the end of a
        run before the caller is answered, even if this process dies in between."""
        if self.disconnected:
            return
        unsent: Message | bytes = message
        if self.outbox.idle and not isinstance(message, Welcome | Left):
            unsent = encode_frame(message)
            try:
                unsent = unsent[self.stream.extra(anyio.abc.SocketAttribute.raw_socket).send(unsent) :]
            except BlockingIOError:  # the other process is slow: the rest is queued
                pass
            except CONNECTION_ERRORS:
                self.abort()
                return
        if unsent != b"" and not self.outbox.offer(unsent):
            self.abort()

    def send_entries(self, entries: Iterator[Known]) -> None:
        """Send these entries of the key table, then `Copied`."""
        self.entries = entries
        self.outbox.offer(Copied())  # wakes the writer, which sends the entries first

    async def close(self) -> None:
        """Send what is queued and `Left`, then end the link, so that the other process reads no partial message."""
        self.send(Left())
        with anyio.move_on_after(self.limits.final_send_timeout_ms / 1000):
            await self.left_sent.wait()
        self.abort()
        with anyio.move_on_after(self.limits.last_read_timeout_ms / 1000):
            await self.reading_ended.wait()

    def abort(self) -> None:
        """End the link at once."""
        self.disconnected = True
        raw = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with contextlib.suppress(OSError):
            raw.shutdown(socket.SHUT_RDWR)

    async def run(
        self,
        on_message: Callable[[Message], Awaitable[None]],
        on_exit: Callable[[], Awaitable[None]],
        on_link_end: Callable[[str], Awaitable[None]],
    ) -> None:
        """Serve the link until the other process has ended, which is reported last; the link itself may end before."""
        try:
            cause = await self._read(on_message)
            self.reading_ended.set()
            await on_link_end(cause)
            await anyio.wait_readable(self.exit_descriptor)
        finally:
            os.close(self.exit_descriptor)
        await on_exit()

    async def _read(self, on_message: Callable[[Message], Awaitable[None]]) -> str:
        """Read until the link ends, and return why it ended."""
        cause = ""
        try:
            async with self.stream, anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                try:
                    for message in self.early_messages:
                        await on_message(message)
                    while True:
                        for message in self.decoder.feed(await self.stream.receive(self.limits.read_chunk_bytes)):
                            await on_message(message)
                except (FrameError, *CONNECTION_ERRORS) as error:
                    self.disconnected, cause = True, f"{type(error).__name__} {error}".strip()
                tasks.cancel_scope.cancel()
        finally:
            self.disconnected = True
        return cause

    async def _write(self) -> None:
        try:
            while True:
                message = await self.outbox.take()
                if isinstance(message, Welcome):
                    await self.stream.send_fds(
                        encode_frame(message), [raw_socket.fileno() for raw_socket in self.sockets]
                    )
                    continue
                if isinstance(message, Left):
                    await self.stream.send(encode_frame(message))
                    self.left_sent.set()
                    return
                if isinstance(message, Copied):
                    batch = bytearray()
                    for entry in self.entries or ():
                        batch += encode_frame(entry)
                        if len(batch) >= self.limits.read_chunk_bytes:
                            await self.stream.send(bytes(batch))
                            batch.clear()
                    await self.stream.send(bytes(batch) + encode_frame(message))
                    continue
                batch = bytearray(message if isinstance(message, bytes) else encode_frame(message))
                while (
                    len(batch) < self.limits.read_chunk_bytes
                    and self.outbox.items
                    and not isinstance(more := self.outbox.items[0], Copied | Welcome | Left)
                ):
                    batch += more if isinstance(more, bytes) else encode_frame(more)
                    self.outbox.take_now()
                await self.stream.send(bytes(batch))
        except CONNECTION_ERRORS:
            self.abort()


async def join_predecessor(path: Path, limits: Limits) -> HandoverLink | None:
    """Connect to the process that serves. The first message on the link is its welcome. None if there is no such
    process, or it is shutting down or hands over to another.

    Raises:
        UpgradeError: there is one, and it does not hand over.
    """
    try:
        with anyio.fail_after(limits.welcome_timeout_ms / 1000), short_socket_path(path) as name:
            stream = await anyio.connect_unix(name)
    except TimeoutError as error:
        raise no_reply_error(limits) from error
    except (OSError, RuntimeError):  # no such path, or its process has ended
        return None
    link = HandoverLink(stream, limits)
    try:
        with anyio.fail_after(limits.welcome_timeout_ms / 1000):
            await stream.send(encode_frame(Hello(VERSION)))
            while not link.early_messages:
                data, descriptors = await stream.receive_fds(limits.read_chunk_bytes, MAX_SOCKETS)
                link.sockets += [socket.socket(fileno=descriptor) for descriptor in descriptors]
                link.early_messages += link.decoder.feed(data)
    except TimeoutError as error:
        raise no_reply_error(limits) from error
    except CONNECTION_ERRORS:
        await stream.aclose()
        return None
    except FrameError as error:
        raise UpgradeError(f"the process that serves does not use the handover protocol: {error}") from error
    return link


def no_reply_error(limits: Limits) -> UpgradeError:
    """The error where the process that serves accepts the connection and never answers."""
    return UpgradeError(
        f"the process that serves accepted the connection and sent nothing for {limits.welcome_timeout_ms:g} ms; "
        "it lives, so its address can't be shared: examine it, and end it if it hangs"
    )
