"""The link to the worker pool. Notices are numbered, so a new link resumes where a broken or silent one ended."""

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
from flintshift.wire.link import CONNECTION_ERRORS, MalformedMessageError, connect
from flintshift.wire.outcomes import OUTCOMES
from flintshift.wire.pool_codec import Command, CommandKind, NoticeError
from flintshift.wire.pool_recovery import MalformedNotices, SilenceDetector, UnconfirmedCommands

ReportHandler = Callable[[Report], Awaitable[None]]
QueryReply = codec.Polled | codec.Verified


class SilentError(TimeoutError):
    """Nothing was received for too long on a link on which a reply is pending."""


def now_ms() -> float:
    """The time of the event loop."""
    return anyio.current_time() * 1000


class PoolLink:
    """The client of the worker pool: sends commands over one link at a time, reconnects, and reports notices."""

    def __init__(
        self,
        address: tuple[str, int],
        gauge_names: list[str | None],
        limits: Limits,
        counters: Counters,
        report: ReportHandler,
        uniform: Uniform = random.uniform,
    ) -> None:
        self.uniform = uniform
        self.address, self.gauge_names, self.limits = address, gauge_names, limits
        self.counters, self.report = counters, report
        self.outbox: Mailbox[Command] = Mailbox(limits.outbox_size)
        self.unconfirmed = UnconfirmedCommands(limits.pool_in_doubt_ms, limits.max_unconfirmed_commands)
        self.last_notice_read = 0  # the number of the last notice that was read
        self.malformed_notices = MalformedNotices()
        self.bound = self.bound_before = False  # the link in use is bound; a link has been bound before
        self.mark_numbers = itertools.count(1)
        self.pending_queries: dict[str, Callable[[QueryReply], None]] = {}  # by mark: the handler of the reply
        # A mark, and the commands to recover once its reply comes.
        self.pending_recovery: tuple[str, list[Command]] | None = None
        self.last_received_ms = 0.0  # when something was last received on the link in use
        self.silence_detector = SilenceDetector(limits.max_silent_pool_checks)
        self.link_ended = anyio.Event()  # the link in use broke, or is replaced by one to another address
        self.writer_wait: anyio.CancelScope | None = None  # in which the writer of the link waits for commands

    # Commands. They return False when the outbox is full.

    def spawn(self, attempt: Attempt) -> bool:
        return self._enqueue(codec.encode_spawn(attempt))

    def supply(self, request: str, notice: int, reply: bytes) -> bool:
        return self._enqueue(codec.encode_supply(request, notice, reply))

    def continue_run(self, request: str, notice: int) -> bool:
        return self._enqueue(codec.encode_pass(request, notice))

    def _enqueue(self, command: Command) -> bool:
        accepted = self.outbox.offer(command)
        if accepted:
            self.unconfirmed.on_queued(command, self.last_received_ms)
        return accepted

    async def poll(self) -> Gauges | None:
        """Read the gauges; None where the pool is not linked or gives no valid gauges."""
        reply = await self._query("poll")
        if not isinstance(reply, codec.Polled):
            return None
        if reply.values is None:
            self.counters.add("pool.junk")
            return None
        pairs = zip(self.gauge_names, reply.values, strict=False)
        return Gauges(**{name: value for name, value in pairs if name})

    async def verify(self) -> bool:
        """Whether the pool answers in time that it is healthy."""
        with anyio.move_on_after(self.limits.verify_timeout_ms / 1000):
            reply = await self._query("verify")
            return isinstance(reply, codec.Verified) and reply.healthy
        return False

    async def _query(self, command: str) -> QueryReply | None:
        mark, received, replies = f"{command}-{next(self.mark_numbers)}", anyio.Event(), list[QueryReply]()

        def on_reply(reply: QueryReply) -> None:
            replies.append(reply)
            received.set()

        if not self.bound or not self.outbox.offer(codec.encode_query(command, mark)):
            return None
        self.pending_queries[mark] = on_reply
        try:
            await received.wait()
        finally:
            self.pending_queries.pop(mark, None)
        return replies[0]

    # The link.

    def move(self, address: tuple[str, int]) -> None:
        """Link to another address. The link in use sends no further command, but is read until it closes: its notices
        too are identified by their numbers."""
        self.address = address
        self.link_ended.set()
        if self.writer_wait is not None:
            self.writer_wait.cancel()

    async def run(self) -> None:
        """Keep a link to the pool open, until cancelled."""
        backoff = Backoff(self.limits.backoff_ms, self.limits.max_backoff_ms, self.uniform)
        async with anyio.create_task_group() as links:
            while True:
                self.link_ended = anyio.Event()
                links.start_soon(self._run_link, self.link_ended, backoff)
                await self.link_ended.wait()

    async def _run_link(self, link_ended: anyio.Event, backoff: Backoff) -> None:
        try:
            async with await connect(self.address, self.limits) as stream:
                if not link_ended.is_set():  # a link that connected late must not replace a newer one
                    await self._run_connection(stream, link_ended, backoff)
        except* NoticeError as errors:
            self.counters.add("pool.junk")
            self._on_malformed_notice(errors)
        except* MalformedMessageError:
            self.counters.add("pool.junk")
        except* SilentError:
            self.counters.add("pool.silent")
        except* CONNECTION_ERRORS:
            pass
        except* Exception as errors:  # any other error of the event loop ends this link, not the node
            faults.record(self.counters, "pool", errors)
        self.counters.add("pool.links_lost")
        if link_ended is self.link_ended and not link_ended.is_set():  # otherwise another link has replaced it
            if self.bound:
                self.unconfirmed.on_link_lost(self.last_received_ms)
            self.bound = False
            with anyio.move_on_after(backoff.next_ms() / 1000):
                await link_ended.wait()  # a new address ends the wait
            link_ended.set()

    def _on_malformed_notice(self, errors: ExceptionGroup[NoticeError]) -> None:
        number = max((error.number for error in errors.exceptions if isinstance(error, NoticeError)), default=0)
        if self.malformed_notices.record(number):
            self.counters.add("pool.passed_over")
            self.last_notice_read = max(self.last_notice_read, number)

    async def _run_connection(self, stream: SocketStream, link_ended: anyio.Event, backoff: Backoff) -> None:
        await stream.send(codec.encode_bind(self.last_notice_read))
        reader = BufferedByteReceiveStream(stream)
        if self.bound_before:  # at the start there is no timeout: the pool may come up long after the node
            with anyio.fail_after(self.limits.pool_bind_timeout_ms / 1000):
                first = await self._next_notice(reader)
        else:
            first = await self._next_notice(reader)
        async with anyio.create_task_group() as tasks:
            await self._handle_notice(first, stream, link_ended, backoff, tasks)
            while True:
                await self._handle_notice(await self._next_notice(reader), stream, link_ended, backoff, tasks)

    async def _next_notice(self, reader: BufferedByteReceiveStream) -> codec.Notice:
        return codec.decode_notice(
            await reader.receive_until(b"\n", self.limits.max_line_bytes), self.limits.max_result_bytes
        )

    async def _handle_notice(
        self,
        notice: codec.Notice,
        stream: SocketStream,
        link_ended: anyio.Event,
        backoff: Backoff,
        tasks: TaskGroup,
    ) -> None:
        if not link_ended.is_set():
            self.last_received_ms = now_ms()
            self.silence_detector.on_received()
        if not isinstance(notice, codec.Bound):
            await self._process_notice(notice)
        elif not link_ended.is_set():
            backoff.reset()
            await self._on_bound(stream)
            tasks.start_soon(self._write_commands, stream, link_ended)
            tasks.start_soon(self._check_silence, link_ended)

    async def _on_bound(self, stream: SocketStream) -> None:
        """The link is up. The last commands on an earlier link may never have arrived. They are recovered once all
        notices up to now are read, which the reply to one more poll shows."""
        in_doubt = self.unconfirmed.in_doubt()
        if self.bound_before and in_doubt:
            mark = f"again-{next(self.mark_numbers)}"
            self.pending_recovery = mark, in_doubt
            await stream.send(self._mark_written(codec.encode_query("poll", mark)))
        else:
            self.unconfirmed.finish_recovery()
        self.bound = self.bound_before = True
        await self.report(WorkersUp())

    async def _recover(self, commands: list[Command]) -> None:
        for command in filter(self.unconfirmed.is_unconfirmed, commands):
            if command.kind is CommandKind.SUPPLY:
                await self.report(ReplyInDoubt(command.request, command.notice))
            else:
                self._enqueue(command)
        self.unconfirmed.finish_recovery()

    async def _check_silence(self, link_ended: anyio.Event) -> None:
        """End a link that is silent while the reply to a query is pending. A long run doesn't count as silence.

        Raises:
            SilentError: nothing was received during too many checks.
        """
        while not link_ended.is_set():
            await anyio.sleep(self.limits.pool_check_interval_ms / 1000)
            if not link_ended.is_set() and self.silence_detector.check():
                raise SilentError("the worker pool does not answer")

    async def _write_commands(self, stream: SocketStream, link_ended: anyio.Event) -> None:
        while not link_ended.is_set():
            with anyio.CancelScope() as self.writer_wait:
                command = await self.outbox.take()
            if self.writer_wait.cancelled_caught:
                return
            batch = self._mark_written(command)
            while len(batch) < self.limits.read_chunk_bytes and (more := self.outbox.take_now()) is not None:
                batch += self._mark_written(more)
            await stream.send(batch)

    def _mark_written(self, command: Command) -> bytes:
        self.unconfirmed.on_written(command, now_ms())
        if command.kind is CommandKind.QUERY:
            self.silence_detector.on_query_sent()
        return command.line

    async def _process_notice(self, notice: codec.Notice) -> None:
        if isinstance(notice, codec.Finished | codec.Blocked | codec.Remark):
            if notice.number <= self.last_notice_read:  # sent again after a bind: it was processed already
                self.counters.add("pool.told_again")
                return
            await self._process_numbered_notice(notice)
            self.last_notice_read = notice.number
            return
        match notice:
            case codec.Polled() | codec.Verified():
                await self._on_query_reply(notice)
            case codec.Unknown(command, request):
                self.counters.add("pool.unknown")
                if command == CommandKind.SPAWN.value:
                    self.unconfirmed.on_response(request)
                    await self.report(RunFinished(request, OUTCOMES["run", "unknown"]))

    async def _process_numbered_notice(self, notice: codec.NumberedNotice) -> None:
        match notice:
            case codec.Finished(_, request, outcome, took_ms, result):
                self.unconfirmed.on_response(request)
                await self.report(RunFinished(request, outcome, took_ms, result))
            case codec.Blocked(number, request, payload):
                self.unconfirmed.on_response(request)
                await self.report(CallRequested(request, number, payload))

    async def _on_query_reply(self, notice: QueryReply) -> None:
        if self.pending_recovery is not None and self.pending_recovery[0] == notice.mark:
            in_doubt, self.pending_recovery = self.pending_recovery[1], None
            await self._recover(in_doubt)
        elif (on_reply := self.pending_queries.get(notice.mark)) is not None:
            on_reply(notice)
