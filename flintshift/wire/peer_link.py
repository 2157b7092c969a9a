"""The links between members: a link that this process opens to each other member for its requests, and the listener
for the requests of the others. A frame is a length and a batch of `proto/peers.proto`. This module makes no decisions.

A keyed write takes some 20 turns of the event loop on these sockets, so they are asyncio protocols, not anyio streams:
received data is handled in the same turn, without another task. The messages sent in one turn share a frame and a
system call. The queue of messages is bounded. A full queue, a missing reply and malformed data end the link, and the
pending requests count as not sent.
"""

from __future__ import annotations

import asyncio
import math
import random
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, cast

import anyio

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.proto import peers_pb2 as pb
from flintshift.startup.backoff import Backoff
from flintshift.wire.link import CONNECTION_ERRORS, MalformedMessageError
from flintshift.wire.peer_codec import (
    MAX_HELLO_FRAME_BYTES,
    MAX_PEER_FRAME_BYTES,
    OutgoingMessage,
    PeerMessageError,
    decode_messages,
    encode_batch,
    parse_batch,
)

SCHEMA = 1  # of `proto/peers.proto`; members one schema apart use what the lower of both has
LENGTH_PREFIX_BYTES = 4  # the length in front of a frame's content
MAX_MESSAGES_PER_FRAME = 512


@dataclass(slots=True)
class Handshake:
    """Builds the hello of this process and checks that of a peer."""

    member: str
    identity: str
    epoch: int
    members: bytes  # a digest of the list of members

    def hello(self, store: int, known_store: int, refused: str = "") -> pb.Batch:
        """The first batch on a link. ``refused``: why the peer's own hello was rejected."""
        return pb.Batch(
            hello=pb.Hello(
                schema=SCHEMA,
                member=self.member,
                identity=self.identity,
                epoch=self.epoch,
                members=self.members,
                store=store,
                known_store=known_store,
                refused=refused,
            )
        )

    def rejection_reason(self, hello: pb.Hello, member_names: Sequence[str]) -> str:
        """Why a process with this hello is not accepted as a member of the fleet; empty if it is."""
        if hello.refused:
            return f"it refuses this member: {hello.refused}"
        if abs(hello.schema - SCHEMA) > 1:
            return f"it speaks schema {hello.schema}, this process schema {SCHEMA}: one release of difference is spoken"
        if hello.member not in member_names:
            return f"{hello.member or 'a nameless member'} is not in this member's list"
        if (hello.epoch, hello.members) != (self.epoch, self.members):
            return (
                f"it goes by the list of epoch {hello.epoch} ({hello.members.hex()}), this member by epoch "
                f"{self.epoch} ({self.members.hex()})"
            )
        return ""


class PeerConnection(asyncio.Protocol):
    """A connection between two members. ``on_batch`` is called with each batch, in the turn in which it is received."""

    def __init__(self, limits: Limits, on_batch: Callable[[PeerConnection, pb.Batch], None]) -> None:
        self.limits, self.on_batch = limits, on_batch
        self.received = bytearray()
        self.queued_messages: list[OutgoingMessage] = []
        self.heartbeat_due = self.paused = self.flush_scheduled = False
        self.transport: asyncio.Transport | None = None
        self.cause = ""  # why the connection ended
        self.ended = anyio.Event()
        self.peer_hello: pb.Hello | None = None
        self.hello_received = anyio.Event()  # set once the hello of the peer is received, or the connection has ended
        self.frames_sent = self.messages_sent = 0

    @property
    def max_frame_bytes(self) -> int:
        """The longest frame that is accepted now: strangers may open many connections."""
        return MAX_HELLO_FRAME_BYTES if self.peer_hello is None else MAX_PEER_FRAME_BYTES

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass of it

    def data_received(self, data: bytes) -> None:
        self.received += data
        try:
            while len(self.received) >= LENGTH_PREFIX_BYTES:
                size = int.from_bytes(self.received[:LENGTH_PREFIX_BYTES], "little")
                if size > self.max_frame_bytes:
                    raise PeerMessageError(f"a frame of {size} bytes")
                if len(self.received) < LENGTH_PREFIX_BYTES + size:
                    return
                frame = bytes(self.received[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + size])
                del self.received[: LENGTH_PREFIX_BYTES + size]
                self.on_batch(self, parse_batch(frame))
        except (MalformedMessageError, UnicodeError) as error:
            self.abort(f"{type(error).__name__} {error}")

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.cause = self.cause or (
            f"{type(exc).__name__} {exc}" if exc is not None else "the peer closed the connection"
        )
        self.transport = None
        self.ended.set()
        self.hello_received.set()

    # Sending.

    def enqueue(self, message: OutgoingMessage) -> None:
        """Queue a message. A full queue ends the connection."""
        if len(self.queued_messages) >= self.limits.peer_outbox_size:
            self.abort("the peer does not read")
            return
        self.queued_messages.append(message)
        self._schedule_flush()

    def send_heartbeat(self) -> None:
        self.heartbeat_due = True
        self._schedule_flush()

    def send(self, batch: pb.Batch) -> None:
        """Send a batch at once, as one frame."""
        if self.transport is not None:
            data = batch.SerializeToString()
            self.frames_sent += 1
            self.transport.write(len(data).to_bytes(LENGTH_PREFIX_BYTES, "little") + data)

    def _schedule_flush(self) -> None:
        if not self.flush_scheduled and not self.paused:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        while (self.queued_messages or self.heartbeat_due) and not self.paused and self.transport is not None:
            messages, self.queued_messages = (
                self.queued_messages[:MAX_MESSAGES_PER_FRAME],
                self.queued_messages[MAX_MESSAGES_PER_FRAME:],
            )
            heartbeat, self.heartbeat_due = self.heartbeat_due, False
            self.messages_sent += len(messages)
            self.send(encode_batch(messages, heartbeat))

    def abort(self, cause: str) -> None:
        """Close the connection at once; the first cause given is kept."""
        self.cause = self.cause or cause
        if self.transport is not None:
            self.transport.abort()


MessageHandler = Callable[[str, str, list[Any]], None]  # member, identity, messages


class OutgoingLink:
    """The link to one member, which this process opens and reopens. ``on_up`` and ``on_down`` are called as it opens
    and closes; ``stores`` returns the incarnations of this member's store and of a peer's store."""

    def __init__(
        self,
        member: str,
        address: tuple[str, int],
        limits: Limits,
        counters: Counters,
        handshake: Handshake,
        stores: Callable[[str], tuple[int, int]],
        on_messages: MessageHandler,
        on_up: Callable[[str, pb.Hello], None],
        on_down: Callable[[str, str], None],
        rng: random.Random,
    ) -> None:
        self.member, self.address, self.limits, self.counters = member, address, limits, counters
        self.handshake, self.stores, self.on_messages, self.on_up, self.on_down, self.rng = (
            handshake,
            stores,
            on_messages,
            on_up,
            on_down,
            rng,
        )
        self.connection: PeerConnection | None = None  # while the peer is accepted
        self.pending_since_ms = math.inf  # since when a reply is pending
        self.retry_requested = anyio.Event()  # the next try is made at once

    def retry_now(self) -> None:
        """Reconnect now: the member is reachable again, as it has just opened a link to this process."""
        if self.connection is None:
            self.retry_requested.set()

    def send(self, message: OutgoingMessage, now_ms: float, expects_reply: bool) -> None:
        """Queue a message for the member; without a link it is dropped."""
        if self.connection is not None:
            self.connection.enqueue(message)
            if expects_reply:
                self.pending_since_ms = min(self.pending_since_ms, now_ms)

    def send_heartbeat(self) -> None:
        if self.connection is not None:
            self.connection.send_heartbeat()

    def check_timeout(self, now_ms: float) -> None:
        """Close the link if a reply is pending for too long: a broken link is noticed at once, a hanging one is not."""
        if self.connection is not None and now_ms - self.pending_since_ms > self.limits.peer_timeout_ms:
            self.counters.add("peers.links_silent")
            self.connection.abort("a reply was pending for too long")

    async def run(self) -> None:
        """Keep the link open, until cancelled."""
        backoff = Backoff(self.limits.backoff_ms, self.limits.max_peer_backoff_ms, self.rng.uniform)
        while True:
            connection = PeerConnection(self.limits, self._on_batch)
            rejection = ""
            try:
                with anyio.fail_after(self.limits.connect_timeout_ms / 1000):
                    await asyncio.get_running_loop().create_connection(
                        lambda connection=connection: connection,  # type: ignore[misc]
                        *self.address,
                    )
                    connection.send(self.handshake.hello(*self.stores(self.member)))
                    await connection.hello_received.wait()
                if connection.peer_hello is not None:
                    rejection = self.handshake.rejection_reason(connection.peer_hello, [self.member])
                if connection.peer_hello is not None and not rejection:
                    backoff.reset()
                    self.connection, self.pending_since_ms = connection, math.inf
                    self.on_up(self.member, connection.peer_hello)
                    await connection.ended.wait()
            except CONNECTION_ERRORS as error:
                connection.cause = f"{type(error).__name__} {error}".strip()
            finally:
                connection.abort("this process closed the connection")
            self.connection = None
            if rejection or "Error" in connection.cause:
                self.counters.add("peers.links_failed")
            self.on_down(self.member, rejection or connection.cause)
            # Random waits: many members that lost one member together must not reconnect together.
            wait_ms = self.rng.uniform(0.5, 1.0) * self.limits.max_backoff_ms if rejection else backoff.next_ms()
            self.retry_requested = anyio.Event()
            with anyio.move_on_after(wait_ms / 1000):
                await self.retry_requested.wait()

    def _on_batch(self, connection: PeerConnection, batch: pb.Batch) -> None:
        if connection.peer_hello is None:
            connection.peer_hello = batch.hello
            connection.hello_received.set()
        elif connection is self.connection:
            self.pending_since_ms = math.inf
            self.on_messages(
                self.member,
                connection.peer_hello.identity,
                decode_messages(batch, self.member, connection.peer_hello.identity),
            )


class PeerListener:
    """Accepts the links of other members, on which they send requests. A link is identified by its peer's identity.

    ``stores`` returns the incarnations of this member's store and of a peer's store."""

    def __init__(
        self,
        limits: Limits,
        counters: Counters,
        handshake: Handshake,
        members: Sequence[str],
        stores: Callable[[str], tuple[int, int]],
        on_messages: MessageHandler,
        on_hello: Callable[[str, pb.Hello], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        self.limits, self.counters, self.handshake, self.members = limits, counters, handshake, members
        self.stores, self.on_messages, self.on_hello, self.on_rejected = stores, on_messages, on_hello, on_rejected
        self.connections: dict[str, PeerConnection] = {}
        self.accepted_s: dict[PeerConnection, float] = {}  # when each was accepted

    def send(self, identity: str, message: OutgoingMessage) -> None:
        """Queue a message for the process that opened a link; without that link it is dropped."""
        connection = self.connections.get(identity)
        if connection is not None:
            connection.enqueue(message)

    async def serve(self, raw: socket.socket) -> None:
        """Accept connections until cancelled."""
        server = await asyncio.get_running_loop().create_server(self._accept, sock=raw)
        try:
            while True:
                await anyio.sleep(self.limits.connect_timeout_ms / 1000)
                self._abort_silent_connections()
        finally:
            server.close()
            for connection in list(self.accepted_s):
                connection.abort("this member shuts down")

    def _accept(self) -> PeerConnection:
        connection = AcceptedConnection(self.limits, self._on_batch, self)
        self.accepted_s[connection] = asyncio.get_running_loop().time()
        if len(self.accepted_s) > self.limits.max_peer_links:
            self.counters.add("peers.links_refused")
            asyncio.get_running_loop().call_soon(connection.abort, "too many links")
        return connection

    def _abort_silent_connections(self) -> None:
        """Close connections whose peer never sent its hello."""
        now_s = asyncio.get_running_loop().time()
        for connection, since_s in list(self.accepted_s.items()):
            if connection.peer_hello is None and now_s - since_s > self.limits.connect_timeout_ms / 1000:
                connection.abort("it did not send its hello")

    def _on_batch(self, connection: PeerConnection, batch: pb.Batch) -> None:
        if connection.peer_hello is not None:
            hello = connection.peer_hello
            self.on_messages(hello.member, hello.identity, decode_messages(batch, hello.member, hello.identity))
            return
        hello = batch.hello
        rejection = self.handshake.rejection_reason(hello, self.members)
        if hello.member:
            connection.send(self.handshake.hello(*self.stores(hello.member), refused=rejection))
        if rejection:
            raise MalformedMessageError(rejection)
        connection.peer_hello = hello
        self.connections[hello.identity] = connection
        self.on_hello(hello.member, hello)

    def on_connection_lost(self, connection: PeerConnection) -> None:
        """Forget a connection that has ended."""
        self.accepted_s.pop(connection, None)
        if "Error" in connection.cause and connection.peer_hello is None:
            self.counters.add("peers.junk")
            self.on_rejected(connection.cause)
        if connection.peer_hello is not None and self.connections.get(connection.peer_hello.identity) is connection:
            del self.connections[connection.peer_hello.identity]


class AcceptedConnection(PeerConnection):
    """A connection that another process opened."""

    def __init__(
        self, limits: Limits, on_batch: Callable[[PeerConnection, pb.Batch], None], listener: PeerListener
    ) -> None:
        super().__init__(limits, on_batch)
        self.listener = listener

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.listener.on_connection_lost(self)
