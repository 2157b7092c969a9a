"""The links between members: one that this process opens to each other member, on which it asks; and the listener at
which the others ask it. A frame is a length and a batch of `proto/peers.proto`. No rule stands here.

What is to be sent waits in a bounded box; the writer takes all that waits at once, so under load many words share a
frame and a call of the system. A full box, a silence after a question and junk end the link: what was asked counts
as not asked.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import SocketStream

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.proto import peers_pb2 as pb
from flintshift.wire.link import BROKEN, JunkError, connect
from flintshift.wire.peer_words import PEER_FRAME_MOST, Word, WordsError, batch_of, read_batch, words_of

SCHEMA = 1
HEAD = 4
WORDS_MOST = 512  # of a frame


@dataclass(slots=True)
class Greeting:
    """What this process says of itself."""

    member: str
    identity: str
    epoch: int
    members: bytes  # a digest of the list

    def hello(self, store: int, known_store: int, refused: str = "") -> pb.Batch:
        return pb.Batch(hello=pb.Hello(schema=SCHEMA, member=self.member, identity=self.identity, epoch=self.epoch,
                                       members=self.members, store=store, known_store=known_store, refused=refused))

    def refuses(self, told: pb.Hello, known: Sequence[str]) -> str:
        """Why a process that says this of itself is no member of this fleet; empty: it is one."""
        if told.refused:
            return f"it refuses this member: {told.refused}"
        if told.schema != SCHEMA:
            return f"it speaks schema {told.schema}, this process schema {SCHEMA}"
        if told.member not in known:
            return f"{told.member or 'a nameless member'} is not in this member's list"
        if (told.epoch, told.members) != (self.epoch, self.members):
            return (f"it goes by the list of epoch {told.epoch} ({told.members.hex()}), this member by epoch "
                    f"{self.epoch} ({self.members.hex()})")
        return ""


class Frames:
    """Batches on a stream."""

    def __init__(self, stream: SocketStream, limits: Limits) -> None:
        self.stream, self.limits, self.data = stream, limits, bytearray()
        self.bytes_in = self.bytes_out = 0

    async def send(self, batch: pb.Batch) -> None:
        data = batch.SerializeToString()
        self.bytes_out += HEAD + len(data)
        await self.stream.send(len(data).to_bytes(HEAD, "little") + data)

    async def receive(self) -> pb.Batch:
        """The next.

        Raises:
            WordsError: what came is none.
        """
        while True:
            size = int.from_bytes(self.data[:HEAD], "little")
            if len(self.data) >= HEAD:
                if size > PEER_FRAME_MOST:
                    raise WordsError(f"a frame of {size} bytes")
                if len(self.data) >= HEAD + size:
                    told = bytes(self.data[HEAD:HEAD + size])
                    del self.data[:HEAD + size]
                    return read_batch(told)
            more = await self.stream.receive(self.limits.read)
            self.bytes_in += len(more)
            self.data += more


class Box:
    """Words that wait for the writer."""

    def __init__(self, most: int) -> None:
        self.most, self.words, self.beat = most, list[Word](), False
        self.filled = anyio.Event()
        self.full = False

    def put(self, word: Word) -> bool:
        if len(self.words) >= self.most:
            self.full = True
            self.filled.set()
            return False
        self.words.append(word)
        self.filled.set()
        return True

    def put_beat(self) -> None:
        self.beat = True
        self.filled.set()

    async def write(self, frames: Frames) -> None:
        """Until the link breaks, or the box was full."""
        while not self.full:
            while not (self.words or self.beat or self.full):
                self.filled = anyio.Event()
                await self.filled.wait()
            words, self.words = self.words[:WORDS_MOST], self.words[WORDS_MOST:]
            beat, self.beat = self.beat, False
            await frames.send(batch_of(words, beat))
        raise anyio.BrokenResourceError


Heard = Callable[[str, str, list[Any]], None]  # member, identity, words


class OutLink:
    """To one member: opened by this process, again and again. ``up`` and ``down`` are told as it comes and goes."""

    def __init__(self, member: str, to: tuple[str, int], limits: Limits, counters: Counters, greeting: Greeting,
                 stores: Callable[[str], tuple[int, int]], heard: Heard, up: Callable[[str, pb.Hello], None],
                 down: Callable[[str, str], None], draw: random.Random) -> None:
        self.member, self.to, self.limits, self.counters = member, to, limits, counters
        self.greeting, self.stores, self.heard, self.up, self.down, self.draw = (
            greeting, stores, heard, up, down, draw)
        self.box: Box | None = None
        self.asked_ms = math.inf  # since when an answer is owed
        self.frames: Frames | None = None
        self.breaking = anyio.CancelScope()

    def send(self, word: Word, now_ms: float, answered: bool) -> None:
        if self.box is not None and self.box.put(word) and answered:
            self.asked_ms = min(self.asked_ms, now_ms)

    def beat(self) -> None:
        if self.box is not None:
            self.box.put_beat()

    def watch(self, now_ms: float) -> None:
        """Break it off where an answer is owed for too long: what breaks is found at once, what hangs is not."""
        if now_ms - self.asked_ms > self.limits.peer_silent_ms:
            self.counters.add("peers.links_silent")
            self.asked_ms = math.inf
            self.breaking.cancel()

    async def run(self) -> None:
        wait_ms = self.limits.backoff_ms
        while True:
            cause, met = "", False
            with anyio.CancelScope() as self.breaking:
                try:
                    async with await connect(self.to, self.limits) as stream:
                        frames = self.frames = Frames(stream, self.limits)
                        hello = await self._greet(frames)
                        met, wait_ms = True, self.limits.backoff_ms
                        self.box = Box(self.limits.peer_outbox)
                        self.up(self.member, hello)
                        await self._talk(frames, hello.identity)
                except* (JunkError, UnicodeError) as error:
                    self.counters.add("peers.junk")
                    cause = _words(error)
                    wait_ms = self.limits.backoff_most_ms
                except* BROKEN as error:
                    cause = _words(error)
            self.box, self.asked_ms = None, math.inf
            if met or cause:
                self.down(self.member, cause or "an answer was owed for too long")
            # Many that lost one member at once do not come back to it at once.
            await anyio.sleep(self.draw.uniform(0.5, 1.0) * wait_ms / 1000)
            wait_ms = min(2 * wait_ms, self.limits.peer_backoff_most_ms)

    async def _greet(self, frames: Frames) -> pb.Hello:
        with anyio.fail_after(self.limits.connect_ms / 1000):
            await frames.send(self.greeting.hello(*self.stores(self.member)))
            told = (await frames.receive()).hello
        refused = self.greeting.refuses(told, [self.member])
        if refused:
            raise JunkError(refused)
        return told

    async def _talk(self, frames: Frames, identity: str) -> None:
        box = self.box
        assert box is not None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(box.write, frames)
            while True:
                words = words_of(await frames.receive(), self.member)
                self.asked_ms = math.inf
                self.heard(self.member, identity, words)


class PeerFront:
    """Where other members ask this process. Each link is known by the identity at its other end."""

    def __init__(self, limits: Limits, counters: Counters, greeting: Greeting, members: Sequence[str],
                 stores: Callable[[str], tuple[int, int]], heard: Heard, met: Callable[[str, pb.Hello], None],
                 refused: Callable[[str], None]) -> None:
        self.limits, self.counters, self.greeting, self.members = limits, counters, greeting, members
        self.stores, self.heard, self.met, self.refused = stores, heard, met, refused
        self.boxes: dict[str, Box] = {}
        self.open = 0

    def send(self, identity: str, word: Word) -> None:
        box = self.boxes.get(identity)
        if box is not None:
            box.put(word)

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            if self.open >= self.limits.peer_links:
                self.counters.add("peers.links_refused")
                return
            self.open += 1
            try:
                await self._meet(Frames(stream, self.limits))
            except* (JunkError, UnicodeError) as error:
                self.counters.add("peers.junk")
                self.refused(_words(error))
            except* BROKEN:
                pass
            finally:
                self.open -= 1

    async def _meet(self, frames: Frames) -> None:
        with anyio.fail_after(self.limits.connect_ms / 1000):
            told = (await frames.receive()).hello
        refused = self.greeting.refuses(told, self.members)
        await frames.send(self.greeting.hello(*self.stores(told.member), refused=refused))
        if refused:
            raise JunkError(refused)
        self.met(told.member, told)
        box = self.boxes[told.identity] = Box(self.limits.peer_outbox)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(box.write, frames)
                while True:
                    batch = await frames.receive()
                    self.heard(told.member, told.identity, words_of(batch, told.member))
        finally:
            if self.boxes.get(told.identity) is box:
                del self.boxes[told.identity]


def _words(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__} {error}".strip()
