"""Connections that are closed at each critical moment.

No reset may destroy an answer, and nothing that is read after the close may be submitted. The front and its callers
share one event loop, so the tests fix the order of events: the bytes of a blocking socket stay unread in the kernel
until the test awaits something.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
import time

import anyio
import pytest
from front_harness import PING, FrontHarness, http_request, now_ms, open_caller
from standins import request_fields

from flintshift.core.attempts import Answer, Verdict
from flintshift.core.limits import Limits
from flintshift.lifecycle.drain import Drain
from flintshift.wire.acceptor import Acceptor, open_listener
from flintshift.wire.caller_stream import CallerStream
from flintshift.wire.connection import TRANSITIONS, Connection, ConnectionState, TransitionError

pytestmark = pytest.mark.anyio
REPEATS = 50
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing the socket resets the connection


def finish_front(harness: FrontHarness) -> None:
    harness.front.finish()


def end_idle_reads(harness: FrontHarness) -> None:
    for connection in harness.front.connections:
        connection.stop_reading()


CLOSERS = {"drain": finish_front, "idle": end_idle_reads}


@pytest.mark.parametrize("closer", CLOSERS)
async def test_a_request_that_is_unread_when_its_connection_is_to_be_closed_gets_the_last_answer(closer):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            raw.send(PING)
            CLOSERS[closer](harness)  # before the event loop has had a turn to read it
            caller = await open_caller(raw)
            reply = await caller.reply()
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await caller.reader.read() == b""  # a close, not a reset
            caller.writer.close()


@pytest.mark.parametrize("closer", CLOSERS)
async def test_a_request_that_crosses_the_close_of_an_idle_connection_is_neither_read_nor_submitted(closer):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            caller = await open_caller(raw)
            CLOSERS[closer](harness)
            assert await caller.reader.read() == b""  # the half-close has arrived
            caller.send(http_request())
            await asyncio.sleep(0.002)
            caller.writer.write_eof()
            await harness.wait_until(lambda harness=harness: not harness.front.connections)
            assert not harness.decisions.submitted and not harness.counters["http.connections_broken"]
            assert not harness.counters["http.bytes_discarded"]
            caller.writer.close()


@pytest.mark.parametrize("closer", CLOSERS)
async def test_nothing_is_read_between_the_last_check_of_an_idle_connection_and_its_half_close(closer, monkeypatch):
    """A request that arrives right after the check is still unread at the half-close, whatever the event loop does."""
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            read_available = CallerStream.read_available

            def check_then_send(stream, max_bytes, raw=raw, read_available=read_available):
                data = read_available(stream, max_bytes)
                raw.send(PING)
                return data

            monkeypatch.setattr(CallerStream, "read_available", check_then_send)
            CLOSERS[closer](harness)
            caller = await open_caller(raw)
            assert await caller.reader.read() == b""
            await asyncio.sleep(0.002)
            assert all(not connection.stream.buffer.unprocessed for connection in harness.front.connections)
            caller.writer.close()
            await harness.wait_until(lambda harness=harness: not harness.front.connections)
            assert not harness.counters["http.bytes_discarded"] and harness.counters["http.checks"] == 1
        monkeypatch.undo()


async def test_answers_after_the_shutdown_notice_are_the_last_on_their_connections():
    async with FrontHarness() as harness:
        raw = await harness.open_idle_connection()
        harness.front.drain()
        caller = await open_caller(raw)
        caller.send(PING)
        reply = await caller.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        assert await caller.reader.read() == b""
        caller.writer.close()


async def test_a_drain_keeps_an_idle_connection_until_its_last_moment_and_answers_requests_on_it():
    async with FrontHarness(stop_margin_ms=100.0, stop_accepting_ms=100.0, close_crossing_ms=20.0) as harness:
        raw, second_raw = await harness.open_idle_connection(), await harness.open_idle_connection()
        drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
        start = now_ms()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.run, 50.0, 700.0, False)
            await asyncio.sleep(0.4)
            caller, idle = await open_caller(raw), await open_caller(second_raw)
            caller.send(PING)
            assert (await caller.reply()).headers["connection"] == "close"
            caller.writer.close()
            assert await idle.reader.read() == b"" and 550 < now_ms() - start < 690
            idle.writer.close()
        assert now_ms() - start < 690


async def test_a_drain_that_receives_its_notice_late_is_shortened_by_the_delay():
    async with FrontHarness(stop_margin_ms=100.0, stop_accepting_ms=100.0, close_crossing_ms=20.0) as harness:
        idle = await open_caller(await harness.open_idle_connection())
        drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
        start = now_ms()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.run, 50.0, 700.0, False, 400.0)
            assert await idle.reader.read() == b"" and 150 < now_ms() - start < 290
            idle.writer.close()


async def test_a_drain_that_receives_its_notice_after_the_kill_was_due_still_answers_read_requests():
    """The kill may come later than at its earliest time: a configuration on a hanging disk blocks the event loop."""
    async with FrontHarness(stop_margin_ms=100.0, stop_accepting_ms=100.0) as harness:
        raw = await harness.open_idle_connection()
        drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
        raw.send(PING)
        reply_task = asyncio.create_task(read_reply_and_close(raw))
        await drain.run(50.0, 700.0, False, 5000.0)
        assert harness.front.finished  # the node ends its tasks next
        assert (await reply_task).status == 200


async def read_reply_and_close(raw):
    caller = await open_caller(raw)
    reply = await caller.reply()
    caller.writer.close()
    return reply


class RecordingDecisions:
    """Decisions that keep the reports that they receive."""

    open = 0

    def __init__(self):
        self.reports = []

    async def report(self, report):
        self.reports.append(report)


async def test_grace_and_the_remaining_time_count_from_the_notice_however_late_it_is_received():
    decisions = RecordingDecisions()
    drain = Drain([], decisions, Limits(stop_margin_ms=100.0, stop_accepting_ms=100.0), now_ms)
    start = now_ms()
    await drain.run(300.0, 700.0, False, 250.0)
    assert 45 < now_ms() - start < 250  # 50 ms of the grace remain
    (notice,) = decisions.reports
    assert 300 < notice.stops_in_ms <= 350


async def test_connections_queued_at_the_close_are_accepted_despite_transient_failures(monkeypatch):
    class FailingSocket(socket.socket):
        remaining_failures = 0

        def accept(self):
            if self.remaining_failures:
                self.remaining_failures -= 1
                raise OSError(errno.ENFILE, "too many open files in system")
            return super().accept()

    async with FrontHarness(last_read_timeout_ms=500.0) as harness:
        await harness.open_idle_connection()
        raw = harness.connect()
        raw.send(PING)
        listener = harness.front.listener
        listener.raw = FailingSocket(fileno=listener.raw.detach())
        listener.raw.remaining_failures = 5
        finish_front(harness)
        caller = await open_caller(raw)
        assert (await caller.reply()).status == 200
        caller.writer.close()


PARTIAL_SIZES = {"first byte": 1, "request line": 20, "all but the last byte": -1}


@pytest.mark.parametrize("size", PARTIAL_SIZES.values(), ids=list(PARTIAL_SIZES))
@pytest.mark.parametrize("idle", [True, False], ids=["idle", "new"])
async def test_a_drain_refuses_a_partially_read_request_and_discards_its_rest(size, idle):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw, data = (await harness.open_idle_connection() if idle else harness.connect()), http_request()
            raw.send(data[:size])
            await harness.wait_until(
                lambda harness=harness: any(connection.busy for connection in harness.front.connections)
            )
            harness.decisions.serving_status.draining = True
            finish_front(harness)
            caller = await open_caller(raw)
            reply = await caller.reply()
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            caller.send(data[size:])
            assert await caller.reader.read() == b""
            assert not harness.decisions.submitted
            caller.writer.close()


@pytest.mark.parametrize("idle", [True, False], ids=["idle", "new"])
async def test_a_request_whose_end_arrives_right_after_the_drain_decided_to_close_is_submitted_or_refused(idle):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            harness.decisions.immediate_answer, harness.decisions.serving_status.draining = (
                Answer(Verdict.SERVED, b"1"),
                True,
            )
            raw, data = (await harness.open_idle_connection() if idle else harness.connect()), http_request()
            raw.send(data[:-1])
            finish_front(harness)
            raw.send(data[-1:])
            caller = await open_caller(raw)
            reply = await caller.reply()
            assert (reply.status, len(harness.decisions.submitted)) in ((200, 1), (503, 0))
            assert reply.headers["connection"] == "close" and await caller.reader.read() == b""
            caller.writer.close()


async def test_a_connection_that_is_queued_when_the_listener_closes_is_answered():
    for _ in range(REPEATS):
        async with FrontHarness(last_read_timeout_ms=500.0) as harness:
            await harness.open_idle_connection()  # the front accepts
            queued = [harness.connect() for _ in range(5)]
            for raw in queued:
                raw.send(PING)
            finish_front(harness)
            for raw in queued:
                caller = await open_caller(raw)
                assert (await caller.reply()).status == 200
                assert await caller.reader.read() == b""
                caller.writer.close()
            with pytest.raises(ConnectionRefusedError):
                harness.connect()


async def test_an_upgrade_leaves_queued_connections_to_the_process_that_goes_on():
    async with FrontHarness() as harness:
        await harness.open_idle_connection()
        harness.front.pause_accepting()
        await asyncio.sleep(0)
        raw = harness.connect()
        raw.send(PING)
        finish_front(harness)
        await harness.wait_until(lambda: not harness.front.connections)
        assert harness.counters["http.connections"] == 1


async def test_connections_that_are_reset_before_they_are_accepted_delay_no_others():
    for _ in range(REPEATS):
        async with FrontHarness(backoff_ms=60_000.0) as harness:
            for _ in range(5):
                raw = harness.connect()
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                raw.close()
            caller = await open_caller(harness.connect())
            caller.send(PING)
            assert (await caller.reply()).status == 200
            caller.writer.close()


async def test_a_pipelined_second_request_is_answered_in_turn_or_not_submitted_after_the_last_answer():
    for finishes in (False, True):
        async with FrontHarness() as harness:
            first, second = request_fields("race-results"), request_fields("race-results")
            caller = await open_caller(harness.connect())
            caller.send(http_request(first) + http_request(second))
            await harness.wait_until(lambda harness=harness: harness.decisions.submitted)
            if finishes:
                finish_front(harness)
            harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, b"1"), now_ms())
            reply = await caller.reply()
            assert reply.body == b"1" and (reply.headers.get("connection") == "close") is finishes
            if finishes:
                assert await caller.reader.read() == b"" and len(harness.decisions.submitted) == 1
            else:
                await harness.wait_until(lambda harness=harness: len(harness.decisions.submitted) == 2)
                harness.decisions.submitted[1].settle(Answer(Verdict.SERVED, b"2"), now_ms())
                assert (await caller.reply()).body == b"2"
            caller.writer.close()


async def test_requests_behind_one_that_waits_are_all_answered_though_they_exceed_what_a_connection_holds():
    async with FrontHarness() as harness:
        caller = await open_caller(harness.connect())
        requests = [http_request() for _ in range(400)]
        assert sum(map(len, requests)) > 3 * harness.limits.max_received_bytes
        caller.send(b"".join(requests))
        await harness.wait_until(lambda: harness.decisions.submitted)
        (stream,) = (connection.stream for connection in harness.front.connections)
        await harness.wait_until(lambda: stream.buffer.full)  # no more is read before the answer
        harness.decisions.immediate_answer = Answer(Verdict.SERVED, b"later")
        harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, b"first"), now_ms())
        bodies = [(await caller.reply()).body for _ in requests]
        assert bodies == [b"first"] + [b"later"] * (len(requests) - 1)
        assert len({attempt.id for attempt in harness.decisions.submitted}) == len(requests)
        caller.writer.close()


async def test_an_answer_of_4_kib_that_the_caller_reads_late_arrives_whole_though_it_sent_more_meanwhile():
    body = bytes(range(256)) * 16
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = harness.connect(SO_RCVBUF=2304)
            raw.send(http_request())
            await harness.wait_until(lambda harness=harness: harness.decisions.submitted)
            raw.send(b"POST /call/ra")  # the start of another request, which is never answered
            finish_front(harness)
            harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, body), now_ms())
            await asyncio.sleep(0.01)
            caller = await open_caller(raw)
            assert (await caller.reply()).body == body
            assert await caller.reader.read() == b""
            caller.writer.close()


async def test_a_peer_that_neither_reads_nor_closes_keeps_its_connection_open_for_a_bounded_time():
    async with FrontHarness(
        write_timeout_ms=50.0, sweep_interval_ms=10.0, linger_ms=50.0, close_crossing_ms=50.0
    ) as harness:
        idle, unread = await harness.open_idle_connection(), harness.connect()
        unread.send(http_request())
        await harness.wait_until(lambda: harness.decisions.submitted)
        start = time.monotonic()
        harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, bytes(4096)), now_ms())
        finish_front(harness)
        await harness.wait_until(lambda: not harness.front.connections)
        assert time.monotonic() - start < 5
        idle.close(), unread.close()


async def test_tcp_nodelay_is_set_on_every_accepted_connection():
    async with FrontHarness() as harness:
        await harness.open_idle_connection()
        raw = next(iter(harness.front.connections)).stream.extra(anyio.abc.SocketAttribute.raw_socket)
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_a_connection_enters_only_states_that_may_follow():
    for before, following in TRANSITIONS.items():
        for after in ConnectionState:
            connection = Connection(None, 0.0)
            connection.state = before
            if after in following or after is before:
                connection.enter(after)
                assert connection.state is after
            else:
                with pytest.raises(TransitionError):
                    connection.enter(after)


async def test_a_drain_without_open_requests_still_answers_requests_that_are_queued_at_its_end():
    for _ in range(REPEATS):
        async with FrontHarness(
            stop_ms=2000.0, stop_margin_ms=200.0, last_read_timeout_ms=500.0, linger_ms=10.0
        ) as harness:
            await harness.wait_until(lambda harness=harness: harness.front.listener is not None)
            drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
            raw = harness.connect()  # queued: the event loop has no turn before the front finishes
            raw.send(PING)
            await drain.run(grace_ms=0.0, kill_ms=2000.0, successor_serves=False)
            assert harness.counters["http.checks"] == 1 and harness.front.finished  # the node ends its tasks next
            caller = await open_caller(raw)
            assert (await caller.reply()).status == 200
            assert await caller.reader.read() == b""
            caller.writer.close()


async def test_in_a_busy_event_loop_the_socket_is_still_checked_before_the_connection_is_closed():
    for closer in CLOSERS.values():
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            raw.send(PING)
            closer(harness)
            loop = asyncio.get_running_loop()
            for turn in range(3):  # delays each turn of the event loop
                loop.call_later(turn * 1e-4, time.sleep, 0.02)
            caller = await open_caller(raw)
            assert (await caller.reply()).status == 200
            caller.writer.close()


@pytest.mark.parametrize("closer", CLOSERS)
async def test_a_caller_that_resets_just_as_its_connection_is_to_be_closed_causes_no_fault(closer):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            CLOSERS[closer](harness)
            raw.close()
            await harness.wait_until(lambda harness=harness: not harness.front.connections)
            assert not harness.counters["http.faults"]


async def test_an_overload_of_new_connections_does_not_keep_a_drain_accepting():
    class EndlessQueue:
        """A listening socket whose queue never becomes empty."""

        accepts = 0

        def accept(self):
            self.accepts += 1
            raise ConnectionAbortedError

    acceptor = Acceptor(EndlessQueue())
    acceptor.accept_queued(None, None, 50)
    assert acceptor.raw.accepts == 50


async def test_no_connection_is_established_between_the_last_check_of_the_queue_and_the_close():
    acceptor = Acceptor(open_listener(("127.0.0.1", 0), 16))
    queued, late = socket.socket(), socket.socket()
    queued.connect(acceptor.raw.getsockname())
    queued.send(PING)
    await acceptor.drop_new_connections()
    late.setblocking(False)
    assert late.connect_ex(acceptor.raw.getsockname()) == errno.EINPROGRESS
    await asyncio.sleep(0.05)
    with pytest.raises(OSError):
        late.getpeername()  # it was not established
    accepted, _ = acceptor.raw.accept()
    assert accepted.recv(len(PING)) == PING  # a connection that was established before goes on
    with pytest.raises(BlockingIOError):
        acceptor.raw.accept()
    for raw in (queued, late, accepted):
        raw.close()
    acceptor.close()
