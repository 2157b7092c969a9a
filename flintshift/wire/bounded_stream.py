"""A byte stream on a TCP socket that never holds more unprocessed bytes than its bound.

A transport of the event loop reads as fast as its peer sends, whether or not anybody waits for the bytes, and one turn
of the loop may bring megabytes. Here the transport reads only into the room that the stream offers, and only while the
stream waits. All other bytes stay with the system, whose flow control stops the peer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import anyio
from anyio._backends._asyncio import SocketStream as AsyncioSocketStream
from anyio._backends._asyncio import StreamProtocol
from anyio.lowlevel import checkpoint

PEER_CHECK_INTERVAL_S = 0.05  # between two checks whether the peer of a full buffer has closed


class ReceiveBuffer(asyncio.BufferedProtocol):
    """The protocol of a `BoundedStream`: keeps at most ``max_bytes`` that were read from the socket.

    It has the attributes that anyio's stream uses to send: ``write_event`` and ``exception``."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.unprocessed = bytearray()
        self.room = bytearray()  # what the transport reads into
        self.reads_until_full = False  # otherwise the transport is paused by the first bytes
        self.transport: asyncio.Transport | None = None
        self.read_event = asyncio.Event()  # set while there are bytes, and once no more will come
        self.ended = asyncio.Event()  # the peer has closed its sending side, or the connection is closed
        self.write_event = asyncio.Event()  # set while the transport accepts bytes to send
        self.write_event.set()
        self.exception: Exception | None = None  # why the connection broke
        self.peer_closed: Callable[[], bool] | None = None  # asks the system, without reading; None: it can't be asked
        self.peer_check: asyncio.TimerHandle | None = None
        self.probe = b""  # sent to a peer that may have closed behind bytes that can't be read; empty: nothing is sent

    @property
    def full(self) -> bool:
        return len(self.unprocessed) >= self.max_bytes

    def take(self, max_bytes: int) -> bytes:
        """Remove and return the oldest bytes; b"" if there are none."""
        data = bytes(self.unprocessed[:max_bytes])
        del self.unprocessed[:max_bytes]
        if not self.unprocessed and not self.ended.is_set():
            self.read_event.clear()
        return data

    def check_peer_while_full(self, is_repeated: bool = False) -> None:
        """Notice that the peer closes although no more is read: its end lies behind bytes that there is no room for.

        Checks are repeated while the buffer is full and somebody waits for the end. If even the system has no room for
        all that was sent, the end has not arrived; but the system of a closed peer answers the probe by a reset."""
        self.peer_check = None
        if self.peer_closed is None or not self.full or not self.reads_until_full or self.ended.is_set():
            return
        if self.peer_closed():
            self._end()
            return
        if is_repeated and self.probe and self.transport is not None and not self.transport.get_write_buffer_size():
            self.transport.write(self.probe)
        self.peer_check = asyncio.get_running_loop().call_later(PEER_CHECK_INTERVAL_S, self.check_peer_while_full, True)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass of it
        self.transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint: int) -> bytearray:
        # A new one each time: the room can't be enlarged or cut while the transport uses it.
        self.room = bytearray(self.max_bytes - len(self.unprocessed))
        return self.room

    def buffer_updated(self, nbytes: int) -> None:
        self.unprocessed += memoryview(self.room)[:nbytes]
        self.room = bytearray()
        self.read_event.set()
        if self.transport is not None and (self.full or not self.reads_until_full):
            self.transport.pause_reading()
        if self.full and self.peer_check is None:
            self.check_peer_while_full()

    def eof_received(self) -> bool:
        self._end()
        return True  # the sending side stays open

    def connection_lost(self, exc: Exception | None) -> None:
        self.exception = self.exception or exc
        self._end()
        self.write_event.set()

    def pause_writing(self) -> None:
        self.write_event.clear()

    def resume_writing(self) -> None:
        self.write_event.set()

    def _end(self) -> None:
        self.room = bytearray()
        self.ended.set()
        self.read_event.set()


class BoundedStream(AsyncioSocketStream):
    """anyio's stream on a TCP socket, with the received bytes in a `ReceiveBuffer`."""

    def __init__(self, transport: asyncio.Transport, buffer: ReceiveBuffer) -> None:
        super().__init__(transport, cast(StreamProtocol, buffer))
        self.buffer = buffer

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Wait for bytes, and return at most ``max_bytes`` of them, and never more than the bound of the stream.

        Raises:
            EndOfStream, BrokenResourceError, ClosedResourceError: there are none, and no more will come.
        """
        with self._receive_guard:
            if self.buffer.read_event.is_set():
                await checkpoint()
            else:
                await self._wait_while_reading(self.buffer.read_event)
            if self.buffer.unprocessed:
                return self.buffer.take(max_bytes)
            if self._closed:
                raise anyio.ClosedResourceError
            if self.buffer.exception is not None:
                raise anyio.BrokenResourceError from self.buffer.exception
            raise anyio.EndOfStream

    async def wait_until_ended(self, probe: bytes = b"") -> None:
        """Wait until the peer closes its sending side or the connection breaks. Bytes that arrive meanwhile are kept
        for `receive`. Once they fill the bound nothing more is read, the system is asked for the end, and ``probe`` is
        sent now and then."""
        with self._receive_guard:
            self.buffer.reads_until_full, self.buffer.probe = True, probe
            self.buffer.check_peer_while_full()
            try:
                await self._wait_while_reading(self.buffer.ended)
            finally:
                self.buffer.reads_until_full = False
                if self.buffer.peer_check is not None:
                    self.buffer.peer_check.cancel()
                    self.buffer.peer_check = None

    async def _wait_while_reading(self, event: asyncio.Event) -> None:
        if not self.buffer.full and not self.buffer.ended.is_set():
            self._transport.resume_reading()
        try:
            await event.wait()
        finally:
            self._transport.pause_reading()
