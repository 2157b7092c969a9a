"""A connection closed at each bad instant: no reset swallows an answer, and nothing read after the close is handed on.

The front and its callers share one event loop here, so the order of events is made by hand: a blocking socket's bytes
stand in the kernel, unread, until this test next waits.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass, field

import anyio
import pytest
from standins import BYTES, SETTINGS, Caller, job

from flintshift.core.attempts import Answer, Attempt, Verdict
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import Posture
from flintshift.settings.platform import flat, settings_from
from flintshift.wire.acceptor import Acceptor, listening
from flintshift.wire.connection import TRANSITIONS, Connection, ConnectionState, TransitionError
from flintshift.wire.fields import Fields
from flintshift.wire.http_front import HttpFront

pytestmark = pytest.mark.anyio
REPEATS = 50
PING = BYTES["http"]("", b"", {}, method="GET", path="/ping")
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close by a reset


def now_ms() -> float:
    return time.time() * 1000


@dataclass
class Decided:
    """In the place of the decisions: what was handed over, answered when the test says so."""

    posture: Posture = field(default_factory=lambda: Posture(up=True))
    taken: list[Attempt] = field(default_factory=list)
    departed: list[str] = field(default_factory=list)
    at_once: Answer | None = None

    def submit(self, attempt: Attempt) -> None:
        self.taken.append(attempt)
        if self.at_once is not None:
            attempt.settle(self.at_once, now_ms())

    async def report(self, report) -> None:
        self.departed.append(report.request)


class Fronted:
    """An HTTP front that listens, with decisions made by the test."""

    def __init__(self, **limits: float) -> None:
        self.limits, self.counters, self.decided = Limits(**limits), Counters(), Decided()
        fields = Fields(Catalogue(settings_from(flat(SETTINGS)), self.limits), self.limits, now_ms)
        self.front = HttpFront(fields, self.decided, self.limits, self.counters, now_ms, 100, None)

    async def __aenter__(self):
        listener = Acceptor(listening(("127.0.0.1", 0), 64))
        self.at = listener.raw.getsockname()
        self.tasks = await anyio.create_task_group().__aenter__()
        self.tasks.start_soon(self.front.serve, listener, self.tasks)
        self.tasks.start_soon(self.front.sweep)
        return self

    async def __aexit__(self, *_):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)
        assert not self.front.connections and not any(self.front.idle)  # nothing outlives its owner

    def connect(self, **options: int) -> socket.socket:
        """A caller's connection, open as far as the kernel goes, without a turn of the loop."""
        raw = socket.socket()
        for name, value in options.items():
            raw.setsockopt(socket.SOL_SOCKET, getattr(socket, name), value)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # its bytes are in the peer's kernel once it returns
        raw.connect(self.at)
        return raw

    async def rested(self) -> socket.socket:
        """A connection that has brought a request before, and rests."""
        raw = self.connect()
        caller = await calling(raw.dup())
        caller.send(PING)
        assert (await caller.reply()).status == 200
        caller.writer.close()
        while self.front.busy or not any(one.reading for one in self.front.connections):
            await asyncio.sleep(0)
        return raw

    async def until(self, true) -> None:
        with anyio.fail_after(10):
            while not true():
                await asyncio.sleep(0.001)


async def calling(raw: socket.socket) -> Caller:
    raw.setblocking(False)
    return Caller(*await asyncio.open_connection(sock=raw))


def whole(fields=None) -> bytes:
    return BYTES["http"]("race-results", b"", fields or job("race-results"))


def stopped(fronted: Fronted) -> None:
    fronted.front.finish()


def too_idle(fronted: Fronted) -> None:
    for connection in fronted.front.connections:
        connection.stop_reading()


CLOSERS = {"drain": stopped, "idle": too_idle}


@pytest.mark.parametrize("closer", CLOSERS)
async def test_a_request_that_stands_unread_when_its_connection_is_to_be_closed_is_answered_as_its_last(closer):
    for _ in range(REPEATS):
        async with Fronted() as fronted:
            raw = await fronted.rested()
            raw.send(PING)
            CLOSERS[closer](fronted)  # before the loop has had a turn to read it
            caller = await calling(raw)
            reply = await caller.reply()
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await caller.reader.read() == b""  # an end, not a reset
            caller.writer.close()


@pytest.mark.parametrize("closer", CLOSERS)
async def test_what_crosses_the_close_of_a_resting_connection_is_read_and_never_handed_on(closer):
    for _ in range(REPEATS):
        async with Fronted() as fronted:
            raw = await fronted.rested()
            caller = await calling(raw)
            CLOSERS[closer](fronted)
            assert await caller.reader.read() == b""  # the half-close has come
            caller.send(whole())
            await asyncio.sleep(0.002)
            caller.writer.write_eof()
            await fronted.until(lambda fronted=fronted: not fronted.front.connections)
            assert not fronted.decided.taken and not fronted.counters["http.connections_broken"]
            caller.writer.close()


HALVES = {"first byte": 1, "request line": 20, "all but the last byte": -1}


@pytest.mark.parametrize("size", HALVES.values(), ids=list(HALVES))
@pytest.mark.parametrize("rested", [True, False], ids=["rested", "new"])
async def test_a_half_read_request_is_refused_by_a_drain_and_its_rest_is_thrown_away(size, rested):
    for _ in range(REPEATS):
        async with Fronted() as fronted:
            raw, data = (await fronted.rested() if rested else fronted.connect()), whole()
            raw.send(data[:size])
            await fronted.until(lambda fronted=fronted: any(one.busy for one in fronted.front.connections))
            fronted.decided.posture.leaving = True
            stopped(fronted)
            caller = await calling(raw)
            reply = await caller.reply()
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            caller.send(data[size:])
            assert await caller.reader.read() == b""
            assert not fronted.decided.taken
            caller.writer.close()


@pytest.mark.parametrize("rested", [True, False], ids=["rested", "new"])
async def test_a_request_whose_end_comes_right_after_the_drain_decided_to_close_is_handed_on_or_refused(rested):
    for _ in range(REPEATS):
        async with Fronted() as fronted:
            fronted.decided.at_once, fronted.decided.posture.leaving = Answer(Verdict.SERVED, b"1"), True
            raw, data = (await fronted.rested() if rested else fronted.connect()), whole()
            raw.send(data[:-1])
            stopped(fronted)
            raw.send(data[-1:])
            caller = await calling(raw)
            reply = await caller.reply()
            assert (reply.status, len(fronted.decided.taken)) in ((200, 1), (503, 0))
            assert reply.headers["connection"] == "close" and await caller.reader.read() == b""
            caller.writer.close()


async def test_a_connection_that_is_queued_when_the_listener_closes_is_answered():
    for _ in range(REPEATS):
        async with Fronted(last_read_ms=500.0) as fronted:
            await fronted.rested()  # it accepts
            queued = [fronted.connect() for _ in range(5)]
            for raw in queued:
                raw.send(PING)
            stopped(fronted)
            for raw in queued:
                caller = await calling(raw)
                assert (await caller.reply()).status == 200
                assert await caller.reader.read() == b""
                caller.writer.close()
            with pytest.raises(ConnectionRefusedError):
                fronted.connect()


async def test_an_upgrade_leaves_the_queue_to_the_process_that_goes_on():
    async with Fronted() as fronted:
        await fronted.rested()
        fronted.front.leave()
        await asyncio.sleep(0)
        raw = fronted.connect()
        raw.send(PING)
        stopped(fronted)
        await fronted.until(lambda: not fronted.front.connections)
        assert fronted.counters["http.connections"] == 1


async def test_callers_that_reset_before_they_are_accepted_hold_up_nobody():
    for _ in range(REPEATS):
        async with Fronted(backoff_ms=60_000.0) as fronted:
            for _ in range(5):
                raw = fronted.connect()
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                raw.close()
            caller = await calling(fronted.connect())
            caller.send(PING)
            assert (await caller.reply()).status == 200
            caller.writer.close()


async def test_a_pipelined_second_request_is_answered_in_turn_or_not_handed_on_where_the_first_was_the_last():
    for closes in (False, True):
        async with Fronted() as fronted:
            first, second = job("race-results"), job("race-results")
            caller = await calling(fronted.connect())
            caller.send(whole(first) + whole(second))
            await fronted.until(lambda fronted=fronted: fronted.decided.taken)
            if closes:
                stopped(fronted)
            fronted.decided.taken[0].settle(Answer(Verdict.SERVED, b"1"), now_ms())
            reply = await caller.reply()
            assert reply.body == b"1" and (reply.headers.get("connection") == "close") is closes
            if closes:
                assert await caller.reader.read() == b"" and len(fronted.decided.taken) == 1
            else:
                await fronted.until(lambda fronted=fronted: len(fronted.decided.taken) == 2)
                fronted.decided.taken[1].settle(Answer(Verdict.SERVED, b"2"), now_ms())
                assert (await caller.reply()).body == b"2"
            caller.writer.close()


async def test_an_answer_of_4_kib_that_the_caller_takes_late_comes_whole_though_more_was_sent_meanwhile():
    body = bytes(range(256)) * 16
    for _ in range(REPEATS):
        async with Fronted() as fronted:
            raw = fronted.connect(SO_RCVBUF=2304)
            raw.send(whole())
            await fronted.until(lambda fronted=fronted: fronted.decided.taken)
            raw.send(b"POST /call/ra")  # of a next request, which is never answered
            stopped(fronted)
            fronted.decided.taken[0].settle(Answer(Verdict.SERVED, body), now_ms())
            await asyncio.sleep(0.01)
            caller = await calling(raw)
            assert (await caller.reply()).body == body
            assert await caller.reader.read() == b""
            caller.writer.close()


async def test_a_peer_that_neither_reads_nor_closes_holds_its_connection_for_a_bounded_time():
    async with Fronted(write_ms=50.0, sweep_ms=10.0, linger_ms=50.0, crossing_ms=50.0) as fronted:
        resting, asking = await fronted.rested(), fronted.connect()
        asking.send(whole())
        await fronted.until(lambda: fronted.decided.taken)
        began = time.monotonic()
        fronted.decided.taken[0].settle(Answer(Verdict.SERVED, bytes(4096)), now_ms())
        stopped(fronted)
        await fronted.until(lambda: not fronted.front.connections)
        assert time.monotonic() - began < 5
        resting.close(), asking.close()


async def test_answers_leave_at_once_on_every_accepted_connection():
    async with Fronted() as fronted:
        await fronted.rested()
        raw = next(iter(fronted.front.connections)).stream.extra(anyio.abc.SocketAttribute.raw_socket)
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
