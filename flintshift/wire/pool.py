"""The link to the worker pool: numbered notices, and a bind that goes on where a link broke or fell silent."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from flintshift.core.attempts import Attempt, CallRequested, ReplyInDoubt, Report, RunFinished, WorkersUp
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.interface import Gauges
from flintshift.startup.backoff import Backoff, Uniform
from flintshift.wire import faults
from flintshift.wire import pool_codec as codec
from flintshift.wire.link import BROKEN, JunkError, connect
from flintshift.wire.outcomes import OUTCOMES
from flintshift.wire.pool_codec import Command, CommandKind, NoticeError
from flintshift.wire.pool_recovery import JunkNotices, Silence, Unheard

Told = Callable[[Report], Awaitable[None]]
Answered = codec.Polled | codec.Verified


class SilentError(TimeoutError):
    """Nothing came for too long on a link on which an answer is owed."""


def now_ms() -> float:
    return anyio.current_time() * 1000


class PoolLink:
    def __init__(
        self,
        address: tuple[str, int],
        gauge_names: list[str | None],
        limits: Limits,
        counters: Counters,
        report: Told,
        uniform: Uniform = random.uniform,
    ) -> None:
        self.uniform = uniform
        self.address, self.gauge_names, self.limits = address, gauge_names, limits
        self.counters, self.report = counters, report
        self.outbox: Mailbox[Command] = Mailbox(limits.outbox_size)
        self.unheard = Unheard(limits.pool_in_doubt_ms, limits.max_unconfirmed_commands)
        self.read_no = 0  # the last notice that was read
        self.junk = JunkNotices()
        self.bound = self.linked = False  # now, and ever
        self.marks = itertools.count(1)
        self.waiting: dict[str, Callable[[Answered], None]] = {}  # by mark: who asked
        self.again: tuple[str, list[Command]] | None = None  # at that mark: what is made good
        self.heard_ms = 0.0  # when something last came on the link in use
        self.silence = Silence(limits.max_silent_pool_checks)
        self.over = anyio.Event()  # the link in use broke, or another address is to be linked to
        self.resting: anyio.CancelScope | None = None  # its writer waits for commands

    # Commands; False when the link's mailbox is full.

    def spawn(self, attempt: Attempt) -> bool:
        return self._offer(codec.spawn(attempt))

    def supply(self, request: str, no: int, reply: bytes) -> bool:
        return self._offer(codec.supply(request, no, reply))

    def continue_run(self, request: str, no: int) -> bool:
        return self._offer(codec.go_on(request, no))

    def _offer(self, command: Command) -> bool:
        taken = self.outbox.offer(command)
        if taken:
            self.unheard.queued(command, self.heard_ms)
        return taken

    async def poll(self) -> Gauges | None:
        told = await self._ask("poll")
        if not isinstance(told, codec.Polled):
            return None
        if told.values is None:
            self.counters.add("pool.junk")
            return None
        pairs = zip(self.gauge_names, told.values, strict=False)
        return Gauges(**{name: value for name, value in pairs if name})

    async def verify(self) -> bool:
        with anyio.move_on_after(self.limits.verify_timeout_ms / 1000):
            told = await self._ask("verify")
            return isinstance(told, codec.Verified) and told.good
        return False

    async def _ask(self, command: str) -> Answered | None:
        mark, done, told = f"{command}-{next(self.marks)}", anyio.Event(), list[Answered]()

        def answered(message: Answered) -> None:
            told.append(message)
            done.set()

        if not self.bound or not self.outbox.offer(codec.question(command, mark)):
            return None
        self.waiting[mark] = answered
        try:
            await done.wait()
        finally:
            self.waiting.pop(mark, None)
        return told[0]

    # The link.

    def move(self, address: tuple[str, int]) -> None:
        """Link to another address. The link in use takes no further command, but is read until it closes:
        what it tells too is known by its number."""
        self.address = address
        self.over.set()
        if self.resting is not None:
            self.resting.cancel()

    async def run(self) -> None:
        backoff = Backoff(self.limits.backoff_ms, self.limits.max_backoff_ms, self.uniform)
        async with anyio.create_task_group() as links:
            while True:
                self.over = anyio.Event()
                links.start_soon(self._link, self.over, backoff)
                await self.over.wait()

    async def _link(self, over: anyio.Event, backoff: Backoff) -> None:
        try:
            async with await connect(self.address, self.limits) as stream:
                if not over.is_set():  # guards the new link against being replaced by a late one
                    await self._serve(stream, over, backoff)
        except* NoticeError as errors:
            self.counters.add("pool.junk")
            self._junk(errors)
        except* JunkError:
            self.counters.add("pool.junk")
        except* SilentError:
            self.counters.add("pool.silent")
        except* BROKEN:
            pass
        except* Exception as errors:  # whatever else the event loop may raise ends this link, and not the node
            faults.met(self.counters, "pool", errors)
        self.counters.add("pool.links_lost")
        if over is self.over and not over.is_set():  # else another link has taken its place
            if self.bound:
                self.unheard.broke(self.heard_ms)
            self.bound = False
            with anyio.move_on_after(backoff.next_ms() / 1000):
                await over.wait()  # a new address is tried at once
            over.set()

    def _junk(self, errors: ExceptionGroup[NoticeError]) -> None:
        number = max((error.number for error in errors.exceptions if isinstance(error, NoticeError)), default=0)
        if self.junk.met(number):
            self.counters.add("pool.passed_over")
            self.read_no = max(self.read_no, number)

    async def _serve(self, stream: SocketStream, over: anyio.Event, backoff: Backoff) -> None:
        await stream.send(codec.bind(self.read_no))
        reader = BufferedByteReceiveStream(stream)
        if self.linked:  # at the start, the pool may come up long after the node
            with anyio.fail_after(self.limits.pool_bind_timeout_ms / 1000):
                first = await self._next(reader)
        else:
            first = await self._next(reader)
        async with anyio.create_task_group() as tasks:
            await self._take(first, stream, over, backoff, tasks)
            while True:
                await self._take(await self._next(reader), stream, over, backoff, tasks)

    async def _next(self, reader: BufferedByteReceiveStream) -> codec.Notice:
        return codec.notice_of(
            await reader.receive_until(b"\n", self.limits.max_line_bytes), self.limits.max_result_bytes
        )

    async def _take(
        self,
        notice: codec.Notice,
        stream: SocketStream,
        over: anyio.Event,
        backoff: Backoff,
        tasks: TaskGroup,
    ) -> None:
        if not over.is_set():
            self.heard_ms = now_ms()
            self.silence.heard()
        if not isinstance(notice, codec.Bound):
            await self._read(notice)
        elif not over.is_set():
            backoff.reset()
            await self._rebound(stream)
            tasks.start_soon(self._write, stream, over)
            tasks.start_soon(self._watch, over)

    async def _rebound(self, stream: SocketStream) -> None:
        """The link is up. What was written last on an earlier one may never have arrived; it is made good once all
        notices up to now are read, which the answer to one more question tells."""
        unsure = self.unheard.unsure()
        if self.linked and unsure:
            mark = f"again-{next(self.marks)}"
            self.again = mark, unsure
            await stream.send(self._written(codec.question("poll", mark)))
        else:
            self.unheard.settled()
        self.bound = self.linked = True
        await self.report(WorkersUp())

    async def _make_good(self, commands: list[Command]) -> None:
        for command in filter(self.unheard.still, commands):
            if command.kind is CommandKind.SUPPLY:
                await self.report(ReplyInDoubt(command.request, command.notice))
            else:
                self._offer(command)
        self.unheard.settled()

    async def _watch(self, over: anyio.Event) -> None:
        """End a link that owes the answer to a question and says nothing. A run that takes long is no silence.

        Raises:
            SilentError: it has said nothing for too many looks.
        """
        while not over.is_set():
            await anyio.sleep(self.limits.pool_check_interval_ms / 1000)
            if not over.is_set() and self.silence.looked():
                raise SilentError("the worker pool does not answer")

    async def _write(self, stream: SocketStream, over: anyio.Event) -> None:
        while not over.is_set():
            with anyio.CancelScope() as self.resting:
                command = await self.outbox.take()
            if self.resting.cancelled_caught:
                return
            batch = self._written(command)
            while len(batch) < self.limits.read_chunk_bytes and (more := self.outbox.take_now()) is not None:
                batch += self._written(more)
            await stream.send(batch)

    def _written(self, command: Command) -> bytes:
        self.unheard.written(command, now_ms())
        if command.kind is CommandKind.QUESTION:
            self.silence.asked()
        return command.line

    async def _read(self, notice: codec.Notice) -> None:
        if isinstance(notice, codec.Finished | codec.Blocked | codec.Remark):
            if notice.number <= self.read_no:  # told again after a bind: it was taken already
                self.counters.add("pool.told_again")
                return
            await self._read_numbered(notice)
            self.read_no = notice.number
            return
        match notice:
            case codec.Polled() | codec.Verified():
                await self._answered(notice)
            case codec.Unknown(command, request):
                self.counters.add("pool.unknown")
                if command == CommandKind.SPAWN.value:
                    self.unheard.heard(request)
                    await self.report(RunFinished(request, OUTCOMES["run", "unknown"]))

    async def _read_numbered(self, notice: codec.Numbered) -> None:
        match notice:
            case codec.Finished(_, request, outcome, took_ms, result):
                self.unheard.heard(request)
                await self.report(RunFinished(request, outcome, took_ms, result))
            case codec.Blocked(number, request, payload):
                self.unheard.heard(request)
                await self.report(CallRequested(request, number, payload))

    async def _answered(self, notice: Answered) -> None:
        if self.again is not None and self.again[0] == notice.mark:
            unsure, self.again = self.again[1], None
            await self._make_good(unsure)
        elif (asked := self.waiting.get(notice.mark)) is not None:
            asked(notice)
