"""Callers' connections: how many, for how long, and which give way."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import anyio
import pytest
from standins import BYTES, Caller

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import ServingStatus
from flintshift.wire.acceptor import Acceptor, open_listener
from flintshift.wire.front import Front
from flintshift.wire.http_front import HttpFront
from flintshift.wire.uwsgi_front import UwsgiFront

pytestmark = pytest.mark.anyio


FRONTS = list(BYTES)


class Desk:
    """A front alone, with nothing behind it but health checks."""

    def __init__(self, name="http", most=3, **limits):
        self.limits, self.counters = Limits(**limits), Counters()
        self.front = {"http": HttpFront, "uwsgi": UwsgiFront}[name](
            None,
            SimpleNamespace(serving_status=ServingStatus(workers_up=True)),
            self.limits,
            self.counters,
            lambda: time.time() * 1000,
            most,
            None,
        )
        self.ping = BYTES[name]("", b"", {}, method="GET", path="/ping")

    async def __aenter__(self):
        listener = Acceptor(open_listener(("127.0.0.1", 0), 64))
        self.port = listener.raw.getsockname()[1]
        self.tasks = await anyio.create_task_group().__aenter__()
        self.tasks.start_soon(self.front.serve, listener, self.tasks)
        return self

    async def __aexit__(self, *_):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)

    async def open(self, data=b""):
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.port))
        caller.send(data)
        if data == self.ping:
            assert (await caller.reply()).status == 200
        return caller


async def test_a_connection_that_cannot_be_accepted_does_not_end_the_front():
    class Listener:
        tries, closed, open_count, again = 0, False, 0, anyio.Event()

        async def serve(self, handler, tasks, room):
            self.tries += 1
            if self.tries == 1:
                raise OSError("too many open files")
            self.again.set()
            await anyio.sleep_forever()

        async def drop_new_connections(self):
            pass

        def accept_queued(self, handler, tasks, most):
            pass

        def close(self):
            self.closed = True

    listener, counters = Listener(), Counters()
    front = Front(None, None, Limits(), counters, time.time, 1, None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(front.serve, listener, tasks)
        await listener.again.wait()
        front.finish()
    assert listener.closed and counters["front.accept_failed"] == 1


async def test_a_full_table_closes_the_idlest_for_a_newcomer_and_first_what_never_spoke():
    async with Desk(displace_silent_after_ms=0.0, displace_idle_after_ms=0.0, request_read_timeout_ms=60_000.0) as desk:
        kept, idler = await desk.open(desk.ping), await desk.open(desk.ping)
        silent = await desk.open()
        new = await desk.open(desk.ping)
        assert await silent.ended() and new
        kept.send(desk.ping)
        assert (await kept.reply()).status == 200
        busy = await desk.open(desk.ping[:9])  # half said: it stays, and so does what it displaces last
        assert await idler.ended()
        kept.send(desk.ping)
        assert (await kept.reply()).status == 200
        busy.send(desk.ping[9:])
        assert (await busy.reply()).status == 200
        assert desk.counters["http.connections_displaced"] == 2


async def test_where_nobody_may_go_for_a_newcomer_it_is_answered_and_then_goes():
    async with Desk(request_read_timeout_ms=60_000.0) as desk:
        kept = [await desk.open(desk.ping) for _ in range(3)]
        newcomer = await desk.open()
        newcomer.send(desk.ping)
        answer = await newcomer.reply()
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert await newcomer.ended() and desk.counters["http.connections_refused"] == 1
        kept[0].send(desk.ping)
        assert (await kept[0].reply()).status == 200


async def test_a_newcomer_waits_until_those_that_went_for_it_are_closed_and_no_more_go_than_it_needs():
    async with Desk(most=16, displace_silent_after_ms=0.0, displace_idle_after_ms=0.0) as desk:
        kept, desk.front.max_connections = [await desk.open(desk.ping) for _ in range(16)], 14
        newcomer = await desk.open()
        newcomer.send(desk.ping)
        assert (await newcomer.reply()).status == 200
        assert desk.counters["http.connections_displaced"] <= 3  # two too many, and one for its place
        for caller in kept[3:]:
            caller.send(desk.ping)
            assert (await caller.reply()).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_what_is_silent_half_said_or_dribbled_is_closed_in_time_but_not_what_is_kept_alive(front):
    async with Desk(front, request_read_timeout_ms=150.0) as desk:
        if front == "http":
            kept = await desk.open(desk.ping)
        assert await (await desk.open()).ended()
        half = await desk.open(desk.ping[:6])
        for place in range(6, 12):  # each piece comes in time, the whole does not
            await asyncio.sleep(0.04)
            half.send(desk.ping[place : place + 1])
        assert (await half.reply()).status == 408 and await half.ended()
        if front == "http":
            kept.send(desk.ping)
            assert (await kept.reply()).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_a_caller_that_takes_no_answer_does_not_hold_its_connection(front):
    async with Desk(front, write_timeout_ms=50.0, sweep_interval_ms=20.0, linger_ms=1.0) as desk:

        class Stuck:  # a stream whose peer reads nothing
            async def receive(self, most):
                return desk.ping

            async def send(self, data):
                await anyio.sleep_forever()

            async def __aenter__(self):
                return self

            async def __aexit__(self, *_):
                pass

        desk.tasks.start_soon(desk.front.sweep)
        with anyio.fail_after(10):
            await desk.front._handle_connection(Stuck())
        assert desk.counters[f"{front}.answers_not_taken"] == 1 and not desk.front.connections
