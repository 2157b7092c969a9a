"""The link to the worker pool: JSON lines, numbered notices, and a bind that goes on where a link broke."""

from __future__ import annotations

import base64
import itertools
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from flintshift.core.attempts import Attempt, CallWanted, ReplyUnsure, Report, RunOver, Up
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.interface import Gauges
from flintshift.startup.waits import Uniform, Waits
from flintshift.wire.link import BROKEN, JunkError, connect
from flintshift.wire.words import OUTCOMES

Told = Callable[[Report], Awaitable[None]]


def line(**fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def b64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


class PoolLink:
    def __init__(
        self,
        to: tuple[str, int],
        gauge_names: list[str | None],
        limits: Limits,
        counters: Counters,
        report: Told,
        uniform: Uniform = random.uniform,
    ) -> None:
        self.uniform = uniform
        self.to, self.gauge_names, self.limits = to, gauge_names, limits
        self.counters, self.report = counters, report
        self.outbox: Mailbox[bytes] = Mailbox(limits.outbox)
        self.read_no = 0  # the last notice that was read
        self.bound = self.linked = False  # now, and ever
        self.marks = itertools.count(1)
        self.waiting: dict[str, Callable[[dict[str, Any]], None]] = {}  # by mark: who asked
        self.again: tuple[str, Callable[[], Awaitable[None]]] | None = None  # at that mark: makes good
        self.begun: dict[str, bytes] = {}  # spawns of which nothing was heard yet
        # How runs that stood at a call were last told to go on, of which nothing was heard since: when, at
        # which notice, and the command where it may be sent again.
        self.resumed: dict[str, tuple[float, int, bytes | None]] = {}
        self.lost_ms = 0.0  # when the last link broke
        self.over = anyio.Event()  # the link in use broke, or another address is to be linked to
        self.resting: anyio.CancelScope | None = None  # its writer waits for commands

    # Commands; False when the link's mailbox is full.

    def spawn(self, attempt: Attempt) -> bool:
        command = line(t="spawn", rid=attempt.id, route=attempt.class_name, b64=b64(attempt.body))
        taken = self.outbox.offer(command)
        if taken:
            self.begun[attempt.id] = command
        return taken

    def supply(self, request: str, no: int, reply: bytes) -> bool:
        self._resumed(request, no, None)
        return self.outbox.offer(line(t="supply", rid=request, b64=b64(reply)))

    def go_on(self, request: str, no: int) -> bool:
        command = line(t="pass", rid=request, no=no)
        self._resumed(request, no, command)
        return self.outbox.offer(command)

    def _resumed(self, request: str, no: int, command: bytes | None) -> None:
        now = anyio.current_time() * 1000
        self.resumed.pop(request, None)
        self.resumed[request] = now, no, command
        # What was sent long enough ago has arrived, unless that was on a link that broke.
        for known, (sent_ms, _, _) in list(itertools.islice(self.resumed.items(), 2)):
            if self.bound and sent_ms < now - self.limits.unsure_ms:
                del self.resumed[known]

    async def poll(self) -> Gauges | None:
        told = await self._ask("poll")
        if told is None:
            return None
        values = told.get("v")
        if not isinstance(values, list) or not all(isinstance(value, int | float) for value in values):
            self.counters.add("pool.junk")
            return None
        pairs = zip(self.gauge_names, values, strict=False)
        return Gauges(**{name: float(value) for name, value in pairs if name})

    async def verify(self) -> bool:
        with anyio.move_on_after(self.limits.verify_ms / 1000):
            told = await self._ask("verify")
            return told is not None and told.get("status") == "fine"
        return False

    async def _ask(self, command: str) -> dict[str, Any] | None:
        mark, done, told = f"{command}-{next(self.marks)}", anyio.Event(), list[dict[str, Any]]()

        def answered(message: dict[str, Any]) -> None:
            told.append(message)
            done.set()

        if not self.bound or not self.outbox.offer(line(t=command, mark=mark)):
            return None
        self.waiting[mark] = answered
        try:
            await done.wait()
        finally:
            self.waiting.pop(mark, None)
        return told[0]

    # The link.

    def move(self, to: tuple[str, int]) -> None:
        """Link to another address. The link in use takes no further command, but is read until it closes:
        what it tells too is known by its number."""
        self.to = to
        self.over.set()
        if self.resting is not None:
            self.resting.cancel()

    async def run(self) -> None:
        backoff = Waits(self.limits.backoff_ms, self.limits.backoff_most_ms, self.uniform)
        async with anyio.create_task_group() as links:
            while True:
                self.over = anyio.Event()
                links.start_soon(self._link, self.over, backoff)
                await self.over.wait()

    async def _link(self, over: anyio.Event, backoff: Waits) -> None:
        try:
            async with await connect(self.to, self.limits) as stream:
                if not over.is_set():  # guards the new link against being replaced by a late one
                    await self._serve(stream, over, backoff)
        except* JunkError:
            self.counters.add("pool.junk")
        except* BROKEN:
            pass
        self.counters.add("pool.links_lost")
        if over is self.over and not over.is_set():  # else another link has taken its place
            self.bound, self.lost_ms = False, anyio.current_time() * 1000
            with anyio.move_on_after(backoff.next_ms() / 1000):
                await over.wait()  # a new address is tried at once
            over.set()

    async def _serve(self, stream: SocketStream, over: anyio.Event, backoff: Waits) -> None:
        await stream.send(line(t="bind", no=self.read_no))
        reader = BufferedByteReceiveStream(stream)
        async with anyio.create_task_group() as tasks:
            while True:
                try:
                    message = json.loads(await reader.receive_until(b"\n", self.limits.line))
                    kind = message["t"]
                    if kind == "bound" and not over.is_set():
                        backoff.reset()
                        await self._rebound(stream)
                        tasks.start_soon(self._write, stream, over)
                    elif kind != "bound":
                        await self._read(kind, message)
                except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
                    raise JunkError(str(error)) from error

    async def _rebound(self, stream: SocketStream) -> None:
        """The link is up. What was sent last on an earlier one may never have arrived. Once all notices up to
        now are read, what nothing was heard of is made good: a spawn is sent again, which does nothing where
        it runs and is `late` where it ran, and so is a pass, which names its call. A reply names none, and
        the run may stand at its next call by now: it is reported as unsure."""
        unheard = list(self.begun)
        since = self.lost_ms - self.limits.unsure_ms
        unsure = {request: no for request, (sent_ms, no, _) in self.resumed.items() if sent_ms >= since}
        if self.linked and (unheard or unsure):
            mark = f"again-{next(self.marks)}"

            async def again() -> None:
                for request in unheard:
                    if request in self.begun:
                        self.outbox.offer(self.begun[request])
                for request, no in unsure.items():
                    _, last, command = self.resumed.get(request, (0.0, 0, None))
                    if last == no and command is not None:
                        self.outbox.offer(command)
                    elif last == no:
                        await self.report(ReplyUnsure(request, no))

            self.again = mark, again
            await stream.send(line(t="poll", mark=mark))
        self.bound = self.linked = True
        await self.report(Up())

    async def _write(self, stream: SocketStream, over: anyio.Event) -> None:
        while not over.is_set():
            # A batch under a break may have arrived: it is not sent again but for what `begun` holds.
            with anyio.CancelScope() as self.resting:
                batch = await self.outbox.take()
            if self.resting.cancelled_caught:
                return
            while len(batch) < self.limits.read and (more := self.outbox.take_now()) is not None:
                batch += more
            await stream.send(batch)

    async def _read(self, kind: str, message: dict[str, Any]) -> None:
        no = 0
        if kind in ("finished", "blocked", "chatter"):
            no = int(message["no"])
            if no <= self.read_no:  # told again after a bind: it was taken already
                self.counters.add("pool.told_again")
                return
        match kind:
            case "finished":
                rid, status = str(message["rid"]), ("run", message["status"])
                result = base64.b64decode(message.get("b64") or "", validate=True)
                if status not in OUTCOMES or len(result) > self.limits.result:
                    raise JunkError("finished")
                self._heard(rid)
                await self.report(RunOver(rid, OUTCOMES[status], float(message.get("time_ms", 0.0)), result))
            case "blocked":
                rid = str(message["rid"])
                payload = base64.b64decode(message["b64"], validate=True)
                self._heard(rid)
                await self.report(CallWanted(rid, no, payload))
            case "polled" | "verified":
                mark = str(message["mark"])
                if self.again is not None and self.again[0] == mark:
                    again, self.again = self.again[1], None
                    await again()
                elif (asked := self.waiting.get(mark)) is not None:
                    asked(message)
            case "unknown":
                self.counters.add("pool.unknown")
                if message["status"] == "spawn":
                    rid = str(message["rid"])
                    self._heard(rid)
                    await self.report(RunOver(rid, OUTCOMES["run", "unknown"]))
            case "chatter":
                pass
            case _:
                raise JunkError(kind)
        self.read_no = no or self.read_no

    def _heard(self, request: str) -> None:
        self.begun.pop(request, None)
        self.resumed.pop(request, None)
