"""A connection closed at each bad instant: no reset swallows an answer, and nothing read after the close is handed on.

The front and its callers share one event loop here, so the order of events is made by hand: a blocking socket's bytes
stand in the kernel, unread, until this test next waits.
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
from standins import job

from flintshift.core.attempts import Answer, Verdict
from flintshift.core.limits import Limits
from flintshift.lifecycle.drain import Drain
from flintshift.wire.acceptor import Acceptor, open_listener
from flintshift.wire.caller_stream import CallerStream
from flintshift.wire.connection import TRANSITIONS, Connection, ConnectionState, TransitionError

pytestmark = pytest.mark.anyio
REPEATS = 50
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close by a reset


def stopped(harness: FrontHarness) -> None:
    harness.front.finish()


def too_idle(harness: FrontHarness) -> None:
    for connection in harness.front.connections:
        connection.stop_reading()


CLOSERS = {"drain": stopped, "idle": too_idle}


@pytest.mark.parametrize("closer", CLOSERS)
async def test_a_request_that_stands_unread_when_its_connection_is_to_be_closed_is_answered_as_its_last(closer):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            raw.send(PING)
            CLOSERS[closer](harness)  # before the loop has had a turn to read it
            caller = await open_caller(raw)
            reply = await caller.reply()
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await caller.reader.read() == b""  # an end, not a reset
            caller.writer.close()


@pytest.mark.parametrize("closer", CLOSERS)
async def test_what_crosses_the_close_of_a_resting_connection_is_neither_read_nor_handed_on(closer):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            caller = await open_caller(raw)
            CLOSERS[closer](harness)
            assert await caller.reader.read() == b""  # the half-close has come
            caller.send(http_request())
            await asyncio.sleep(0.002)
            caller.writer.write_eof()
            await harness.wait_until(lambda harness=harness: not harness.front.connections)
            assert not harness.decisions.submitted and not harness.counters["http.connections_broken"]
            assert not harness.counters["http.bytes_discarded"]
            caller.writer.close()


@pytest.mark.parametrize("closer", CLOSERS)
async def test_nothing_is_read_between_the_last_look_at_a_resting_connection_and_its_end(closer, monkeypatch):
    """A request that comes right after the look is still unread when the end is sent, whatever the loop does."""
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            read_available = CallerStream.read_available

            def check_then_send(stream, max_bytes, raw=raw, read_available=read_available):
                found = read_available(stream, max_bytes)
                raw.send(PING)
                return found

            monkeypatch.setattr(CallerStream, "read_available", check_then_send)
            CLOSERS[closer](harness)
            caller = await open_caller(raw)
            assert await caller.reader.read() == b""
            await asyncio.sleep(0.002)
            assert all(not one.stream._protocol.read_queue for one in harness.front.connections)
            caller.writer.close()
            await harness.wait_until(lambda harness=harness: not harness.front.connections)
            assert not harness.counters["http.bytes_discarded"] and harness.counters["http.checks"] == 1
        monkeypatch.undo()


async def test_answers_after_the_notice_to_leave_are_the_last_on_their_connections():
    async with FrontHarness() as harness:
        raw = await harness.open_idle_connection()
        harness.front.drain()
        caller = await open_caller(raw)
        caller.send(PING)
        reply = await caller.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        assert await caller.reader.read() == b""
        caller.writer.close()


async def test_a_drain_keeps_a_resting_connection_until_its_last_moment_and_answers_what_comes_on_it():
    async with FrontHarness(stop_margin_ms=100.0, stop_accepting_ms=100.0, close_crossing_ms=20.0) as harness:
        raw, later = await harness.open_idle_connection(), await harness.open_idle_connection()
        drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
        began = now_ms()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.run, 50.0, 700.0, False)
            await asyncio.sleep(0.4)
            caller, resting = await open_caller(raw), await open_caller(later)
            caller.send(PING)
            assert (await caller.reply()).headers["connection"] == "close"
            caller.writer.close()
            assert await resting.reader.read() == b"" and 550 < now_ms() - began < 690
            resting.writer.close()
        assert now_ms() - began < 690


async def test_a_drain_that_heard_of_its_notice_late_ends_so_much_sooner():
    async with FrontHarness(stop_margin_ms=100.0, stop_accepting_ms=100.0, close_crossing_ms=20.0) as harness:
        resting = await open_caller(await harness.open_idle_connection())
        drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
        began = now_ms()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.run, 50.0, 700.0, False, 400.0)
            assert await resting.reader.read() == b"" and 150 < now_ms() - began < 290
            resting.writer.close()


async def test_a_drain_that_heard_of_its_notice_after_the_kill_was_due_still_answers_what_was_read():
    """The kill may come later than it may at the earliest: a configuration on a disk that hangs holds the loop."""
    async with FrontHarness(stop_margin_ms=100.0, stop_accepting_ms=100.0) as harness:
        raw = await harness.open_idle_connection()
        drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
        raw.send(PING)
        asking = asyncio.create_task(asked_and_closed(raw))
        await drain.run(50.0, 700.0, False, 5000.0)
        assert harness.front.finished  # the node ends its tasks next
        assert (await asking).status == 200


async def asked_and_closed(raw):
    caller = await open_caller(raw)
    reply = await caller.reply()
    caller.writer.close()
    return reply


class Heard:
    """Decisions that keep what they are told."""

    open = 0

    def __init__(self):
        self.reports = []

    async def report(self, report):
        self.reports.append(report)


async def test_grace_and_the_time_that_is_left_count_from_the_notice_however_late_it_is_heard():
    heard = Heard()
    drain = Drain([], heard, Limits(stop_margin_ms=100.0, stop_accepting_ms=100.0), now_ms)
    began = now_ms()
    await drain.run(300.0, 700.0, False, 250.0)
    assert 45 < now_ms() - began < 250  # 50 ms of the grace are left
    (notice,) = heard.reports
    assert 300 < notice.stops_in_ms <= 350


async def test_what_is_queued_at_the_listeners_end_is_accepted_though_the_system_refuses_for_a_moment(monkeypatch):
    class Refusing(socket.socket):
        refusals = 0

        def accept(self):
            if self.refusals:
                self.refusals -= 1
                raise OSError(errno.ENFILE, "too many open files in system")
            return super().accept()

    async with FrontHarness(last_read_timeout_ms=500.0) as harness:
        await harness.open_idle_connection()
        raw = harness.connect()
        raw.send(PING)
        listener = harness.front.listener
        listener.raw = Refusing(fileno=listener.raw.detach())
        listener.raw.refusals = 5
        stopped(harness)
        caller = await open_caller(raw)
        assert (await caller.reply()).status == 200
        caller.writer.close()


HALVES = {"first byte": 1, "request line": 20, "all but the last byte": -1}


@pytest.mark.parametrize("size", HALVES.values(), ids=list(HALVES))
@pytest.mark.parametrize("rested", [True, False], ids=["rested", "new"])
async def test_a_half_read_request_is_refused_by_a_drain_and_its_rest_is_thrown_away(size, rested):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw, data = (await harness.open_idle_connection() if rested else harness.connect()), http_request()
            raw.send(data[:size])
            await harness.wait_until(lambda harness=harness: any(one.busy for one in harness.front.connections))
            harness.decisions.serving_status.draining = True
            stopped(harness)
            caller = await open_caller(raw)
            reply = await caller.reply()
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            caller.send(data[size:])
            assert await caller.reader.read() == b""
            assert not harness.decisions.submitted
            caller.writer.close()


@pytest.mark.parametrize("rested", [True, False], ids=["rested", "new"])
async def test_a_request_whose_end_comes_right_after_the_drain_decided_to_close_is_handed_on_or_refused(rested):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            harness.decisions.immediate_answer, harness.decisions.serving_status.draining = (
                Answer(Verdict.SERVED, b"1"),
                True,
            )
            raw, data = (await harness.open_idle_connection() if rested else harness.connect()), http_request()
            raw.send(data[:-1])
            stopped(harness)
            raw.send(data[-1:])
            caller = await open_caller(raw)
            reply = await caller.reply()
            assert (reply.status, len(harness.decisions.submitted)) in ((200, 1), (503, 0))
            assert reply.headers["connection"] == "close" and await caller.reader.read() == b""
            caller.writer.close()


async def test_a_connection_that_is_queued_when_the_listener_closes_is_answered():
    for _ in range(REPEATS):
        async with FrontHarness(last_read_timeout_ms=500.0) as harness:
            await harness.open_idle_connection()  # it accepts
            queued = [harness.connect() for _ in range(5)]
            for raw in queued:
                raw.send(PING)
            stopped(harness)
            for raw in queued:
                caller = await open_caller(raw)
                assert (await caller.reply()).status == 200
                assert await caller.reader.read() == b""
                caller.writer.close()
            with pytest.raises(ConnectionRefusedError):
                harness.connect()


async def test_an_upgrade_leaves_the_queue_to_the_process_that_goes_on():
    async with FrontHarness() as harness:
        await harness.open_idle_connection()
        harness.front.pause_accepting()
        await asyncio.sleep(0)
        raw = harness.connect()
        raw.send(PING)
        stopped(harness)
        await harness.wait_until(lambda: not harness.front.connections)
        assert harness.counters["http.connections"] == 1


async def test_callers_that_reset_before_they_are_accepted_hold_up_nobody():
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


async def test_a_pipelined_second_request_is_answered_in_turn_or_not_handed_on_where_the_first_was_the_last():
    for closes in (False, True):
        async with FrontHarness() as harness:
            first, second = job("race-results"), job("race-results")
            caller = await open_caller(harness.connect())
            caller.send(http_request(first) + http_request(second))
            await harness.wait_until(lambda harness=harness: harness.decisions.submitted)
            if closes:
                stopped(harness)
            harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, b"1"), now_ms())
            reply = await caller.reply()
            assert reply.body == b"1" and (reply.headers.get("connection") == "close") is closes
            if closes:
                assert await caller.reader.read() == b"" and len(harness.decisions.submitted) == 1
            else:
                await harness.wait_until(lambda harness=harness: len(harness.decisions.submitted) == 2)
                harness.decisions.submitted[1].settle(Answer(Verdict.SERVED, b"2"), now_ms())
                assert (await caller.reply()).body == b"2"
            caller.writer.close()


async def test_an_answer_of_4_kib_that_the_caller_takes_late_comes_whole_though_more_was_sent_meanwhile():
    body = bytes(range(256)) * 16
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = harness.connect(SO_RCVBUF=2304)
            raw.send(http_request())
            await harness.wait_until(lambda harness=harness: harness.decisions.submitted)
            raw.send(b"POST /call/ra")  # of a next request, which is never answered
            stopped(harness)
            harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, body), now_ms())
            await asyncio.sleep(0.01)
            caller = await open_caller(raw)
            assert (await caller.reply()).body == body
            assert await caller.reader.read() == b""
            caller.writer.close()


async def test_a_peer_that_neither_reads_nor_closes_holds_its_connection_for_a_bounded_time():
    async with FrontHarness(
        write_timeout_ms=50.0, sweep_interval_ms=10.0, linger_ms=50.0, close_crossing_ms=50.0
    ) as harness:
        resting, asking = await harness.open_idle_connection(), harness.connect()
        asking.send(http_request())
        await harness.wait_until(lambda: harness.decisions.submitted)
        began = time.monotonic()
        harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, bytes(4096)), now_ms())
        stopped(harness)
        await harness.wait_until(lambda: not harness.front.connections)
        assert time.monotonic() - began < 5
        resting.close(), asking.close()


async def test_answers_leave_at_once_on_every_accepted_connection():
    async with FrontHarness() as harness:
        await harness.open_idle_connection()
        raw = next(iter(harness.front.connections)).stream.extra(anyio.abc.SocketAttribute.raw_socket)
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_a_connection_enters_only_the_states_that_follow():
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


async def test_a_drain_that_finds_nothing_open_still_answers_what_is_queued_at_its_end():
    for _ in range(REPEATS):
        async with FrontHarness(
            stop_ms=2000.0, stop_margin_ms=200.0, last_read_timeout_ms=500.0, linger_ms=10.0
        ) as harness:
            await harness.wait_until(lambda harness=harness: harness.front.listener is not None)
            drain = Drain([harness.front], harness.decisions, harness.limits, now_ms)
            raw = harness.connect()  # queued: the loop has no turn before the front is told to finish
            raw.send(PING)
            await drain.run(grace_ms=0.0, kill_ms=2000.0, succeeded=False)
            assert harness.counters["http.checks"] == 1 and harness.front.finished  # the node ends its tasks next
            caller = await open_caller(raw)
            assert (await caller.reply()).status == 200
            assert await caller.reader.read() == b""
            caller.writer.close()


async def test_a_busy_loop_does_not_end_the_last_look_before_the_socket_was_looked_at():
    for closer in CLOSERS.values():
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            raw.send(PING)
            closer(harness)
            loop = asyncio.get_running_loop()
            for turn in range(3):  # each turn of the loop is late
                loop.call_later(turn * 1e-4, time.sleep, 0.02)
            caller = await open_caller(raw)
            assert (await caller.reply()).status == 200
            caller.writer.close()


@pytest.mark.parametrize("closer", CLOSERS)
async def test_a_caller_that_resets_just_as_its_connection_is_to_be_closed_is_no_fault(closer):
    for _ in range(REPEATS):
        async with FrontHarness() as harness:
            raw = await harness.open_idle_connection()
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            CLOSERS[closer](harness)
            raw.close()
            await harness.wait_until(lambda harness=harness: not harness.front.connections)
            assert not harness.counters["http.faults"]


async def test_a_flood_of_new_connections_does_not_keep_a_drain_taking_them():
    class Flood:
        """A listening socket at which somebody else always waits."""

        taken = 0

        def accept(self):
            self.taken += 1
            raise ConnectionAbortedError

    acceptor = Acceptor(Flood())
    acceptor.accept_queued(None, None, 50)
    assert acceptor.raw.taken == 50


async def test_no_connection_is_made_between_the_last_look_at_the_queue_and_the_close():
    acceptor = Acceptor(open_listener(("127.0.0.1", 0), 16))
    queued, late = socket.socket(), socket.socket()
    queued.connect(acceptor.raw.getsockname())
    queued.send(PING)
    await acceptor.drop_new_connections()
    late.setblocking(False)
    assert late.connect_ex(acceptor.raw.getsockname()) == errno.EINPROGRESS
    await asyncio.sleep(0.05)
    with pytest.raises(OSError):
        late.getpeername()  # it was not made
    taken, _ = acceptor.raw.accept()
    assert taken.recv(len(PING)) == PING  # what was made before goes on
    with pytest.raises(BlockingIOError):
        acceptor.raw.accept()
    for raw in (queued, late, taken):
        raw.close()
    acceptor.close()
