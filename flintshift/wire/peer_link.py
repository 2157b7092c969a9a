"""The links between members: one that this process opens to each other member, on which it asks; and the listener at
which the others ask it. A frame is a length and a batch of `proto/peers.proto`. No rule stands here.

A keyed write crosses some twenty of these sockets' turns, so they are asyncio protocols and no anyio streams:
what comes is handled in the turn in which it comes, without a task between. What is to be sent in one turn of the
loop shares a frame and a call of the system. What waits is bounded; a full box, a silence after a question and
junk end the link: what was asked counts as not asked.
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
from flintshift.wire.link import BROKEN, JunkError
from flintshift.wire.peer_codec import (
    PEER_FRAME_MOST,
    PeerMessageError,
    Word,
    decode_messages,
    encode_batch,
    parse_batch,
)

SCHEMA = 1  # of `proto/peers.proto`; with a member of the schema before or after, what the lower of both has
HEAD = 4
WORDS_MOST = 512  # of a frame


@dataclass(slots=True)
class Handshake:
    """What this process says of itself."""

    member: str
    identity: str
    epoch: int
    members: bytes  # a digest of the list

    def hello(self, store: int, known_store: int, refused: str = "") -> pb.Batch:
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

    def rejection_reason(self, told: pb.Hello, known: Sequence[str]) -> str:
        """Why a process that says this of itself is no member of this fleet; empty: it is one."""
        if told.refused:
            return f"it refuses this member: {told.refused}"
        if abs(told.schema - SCHEMA) > 1:
            return f"it speaks schema {told.schema}, this process schema {SCHEMA}: one release of difference is spoken"
        if told.member not in known:
            return f"{told.member or 'a nameless member'} is not in this member's list"
        if (told.epoch, told.members) != (self.epoch, self.members):
            return (
                f"it goes by the list of epoch {told.epoch} ({told.members.hex()}), this member by epoch "
                f"{self.epoch} ({self.members.hex()})"
            )
        return ""


class PeerConnection(asyncio.Protocol):
    """One connection. ``got`` is told each batch, in the turn in which it comes."""

    def __init__(self, limits: Limits, got: Callable[[PeerConnection, pb.Batch], None]) -> None:
        self.limits, self.got = limits, got
        self.data = bytearray()
        self.words: list[Word] = []
        self.beats = self.paused = self.flushing = False
        self.transport: asyncio.Transport | None = None
        self.cause = ""  # why it ended
        self.ended = anyio.Event()
        self.greeted: pb.Hello | None = None
        self.met = anyio.Event()  # the other end said hello
        self.frames_out = self.words_out = 0

    # The loop tells.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own are no subclass of it

    def data_received(self, data: bytes) -> None:
        self.data += data
        try:
            while len(self.data) >= HEAD:
                size = int.from_bytes(self.data[:HEAD], "little")
                if size > PEER_FRAME_MOST:
                    raise PeerMessageError(f"a frame of {size} bytes")
                if len(self.data) < HEAD + size:
                    return
                told = bytes(self.data[HEAD : HEAD + size])
                del self.data[: HEAD + size]
                self.got(self, parse_batch(told))
        except (JunkError, UnicodeError) as error:
            self.end(f"{type(error).__name__} {error}")

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.cause = self.cause or (f"{type(exc).__name__} {exc}" if exc is not None else "the other end closed it")
        self.transport = None
        self.ended.set()
        self.met.set()

    # To be sent.

    def put(self, word: Word) -> None:
        if len(self.words) >= self.limits.peer_outbox_size:
            self.end("the other end does not read")
            return
        self.words.append(word)
        self._soon()

    def send_heartbeat(self) -> None:
        self.beats = True
        self._soon()

    def send(self, batch: pb.Batch) -> None:
        if self.transport is not None:
            data = batch.SerializeToString()
            self.frames_out += 1
            self.transport.write(len(data).to_bytes(HEAD, "little") + data)

    def _soon(self) -> None:
        if not self.flushing and not self.paused:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        while (self.words or self.beats) and not self.paused and self.transport is not None:
            words, self.words = self.words[:WORDS_MOST], self.words[WORDS_MOST:]
            heartbeat, self.beats = self.beats, False
            self.words_out += len(words)
            self.send(encode_batch(words, heartbeat))

    def end(self, cause: str) -> None:
        self.cause = self.cause or cause
        if self.transport is not None:
            self.transport.abort()


Heard = Callable[[str, str, list[Any]], None]  # member, identity, words


class OutgoingLink:
    """To one member: opened by this process, again and again. ``up`` and ``down`` are told as it comes and goes."""

    def __init__(
        self,
        member: str,
        to: tuple[str, int],
        limits: Limits,
        counters: Counters,
        greeting: Handshake,
        stores: Callable[[str], tuple[int, int]],
        heard: Heard,
        up: Callable[[str, pb.Hello], None],
        down: Callable[[str, str], None],
        draw: random.Random,
    ) -> None:
        self.member, self.to, self.limits, self.counters = member, to, limits, counters
        self.greeting, self.stores, self.heard, self.up, self.down, self.draw = (
            greeting,
            stores,
            heard,
            up,
            down,
            draw,
        )
        self.connection: PeerConnection | None = None  # while the other end is met
        self.asked_ms = math.inf  # since when an answer is owed
        self.wanted = anyio.Event()  # the next try is made at once

    def retry_now(self) -> None:
        """The other end is there again: it has just opened a link of its own."""
        if self.connection is None:
            self.wanted.set()

    def send(self, word: Word, now_ms: float, answered: bool) -> None:
        if self.connection is not None:
            self.connection.put(word)
            if answered:
                self.asked_ms = min(self.asked_ms, now_ms)

    def send_heartbeat(self) -> None:
        if self.connection is not None:
            self.connection.send_heartbeat()

    def check_timeout(self, now_ms: float) -> None:
        """Break it off where an answer is owed for too long: what breaks is found at once, what hangs is not."""
        if self.connection is not None and now_ms - self.asked_ms > self.limits.peer_timeout_ms:
            self.counters.add("peers.links_silent")
            self.connection.end("an answer was owed for too long")

    async def run(self) -> None:
        waits = Backoff(self.limits.backoff_ms, self.limits.max_peer_backoff_ms, self.draw.uniform)
        while True:
            wire = PeerConnection(self.limits, self._got)
            refused = ""
            try:
                with anyio.fail_after(self.limits.connect_timeout_ms / 1000):
                    await asyncio.get_running_loop().create_connection(lambda wire=wire: wire, *self.to)  # type: ignore[misc]
                    wire.send(self.greeting.hello(*self.stores(self.member)))
                    await wire.met.wait()
                if wire.greeted is not None:
                    refused = self.greeting.rejection_reason(wire.greeted, [self.member])
                if wire.greeted is not None and not refused:
                    waits.reset()
                    self.connection, self.asked_ms = wire, math.inf
                    self.up(self.member, wire.greeted)
                    await wire.ended.wait()
            except BROKEN as error:
                wire.cause = f"{type(error).__name__} {error}".strip()
            finally:
                wire.end("this end closed it")
            self.connection = None
            if refused or "Error" in wire.cause:
                self.counters.add("peers.links_failed")
            self.down(self.member, refused or wire.cause)
            # Many that lost one member at once do not come back to it at once.
            wait_ms = self.draw.uniform(0.5, 1.0) * self.limits.max_backoff_ms if refused else waits.next_ms()
            self.wanted = anyio.Event()
            with anyio.move_on_after(wait_ms / 1000):
                await self.wanted.wait()

    def _got(self, wire: PeerConnection, batch: pb.Batch) -> None:
        if wire.greeted is None:
            wire.greeted = batch.hello
            wire.met.set()
        elif wire is self.connection:
            self.asked_ms = math.inf
            self.heard(self.member, wire.greeted.identity, decode_messages(batch, self.member, wire.greeted.identity))


class PeerListener:
    """Where other members ask this process. Each link is known by the identity at its other end."""

    def __init__(
        self,
        limits: Limits,
        counters: Counters,
        greeting: Handshake,
        members: Sequence[str],
        stores: Callable[[str], tuple[int, int]],
        heard: Heard,
        met: Callable[[str, pb.Hello], None],
        refused: Callable[[str], None],
    ) -> None:
        self.limits, self.counters, self.greeting, self.members = limits, counters, greeting, members
        self.stores, self.heard, self.met, self.refused = stores, heard, met, refused
        self.wires: dict[str, PeerConnection] = {}
        self.open: dict[PeerConnection, float] = {}  # when it came

    def send(self, identity: str, word: Word) -> None:
        wire = self.wires.get(identity)
        if wire is not None:
            wire.put(word)

    async def serve(self, raw: socket.socket) -> None:
        """Until cancelled."""
        server = await asyncio.get_running_loop().create_server(self._new, sock=raw)
        try:
            while True:
                await anyio.sleep(self.limits.connect_timeout_ms / 1000)
                self._sweep()
        finally:
            server.close()
            for wire in list(self.open):
                wire.end("this member leaves")

    def _new(self) -> PeerConnection:
        wire = Accepted(self.limits, self._got, self)
        self.open[wire] = asyncio.get_running_loop().time()
        if len(self.open) > self.limits.max_peer_links:
            self.counters.add("peers.links_refused")
            asyncio.get_running_loop().call_soon(wire.end, "too many links")
        return wire

    def _sweep(self) -> None:
        """Whoever connects and never says who it is makes room."""
        now = asyncio.get_running_loop().time()
        for wire, since in list(self.open.items()):
            if wire.greeted is None and now - since > self.limits.connect_timeout_ms / 1000:
                wire.end("it did not say who it is")

    def _got(self, wire: PeerConnection, batch: pb.Batch) -> None:
        if wire.greeted is not None:
            told = wire.greeted
            self.heard(told.member, told.identity, decode_messages(batch, told.member, told.identity))
            return
        told = batch.hello
        refused = self.greeting.rejection_reason(told, self.members)
        if told.member:
            wire.send(self.greeting.hello(*self.stores(told.member), refused=refused))
        if refused:
            raise JunkError(refused)
        wire.greeted = told
        self.wires[told.identity] = wire
        self.met(told.member, told)

    def gone(self, wire: PeerConnection) -> None:
        self.open.pop(wire, None)
        if "Error" in wire.cause and wire.greeted is None:
            self.counters.add("peers.junk")
            self.refused(wire.cause)
        if wire.greeted is not None and self.wires.get(wire.greeted.identity) is wire:
            del self.wires[wire.greeted.identity]


class Accepted(PeerConnection):
    """One that another process opened."""

    def __init__(self, limits: Limits, got: Callable[[PeerConnection, pb.Batch], None], front: PeerListener) -> None:
        super().__init__(limits, got)
        self.front = front

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.front.gone(self)
