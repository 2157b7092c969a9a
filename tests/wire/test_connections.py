"""Bounds on callers' connections: their number, their duration, and which are displaced by new ones."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import anyio
import pytest
from standins import REQUEST_BYTES, Caller

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.ports import ServingStatus
from flintshift.wire.acceptor import Acceptor, open_listener
from flintshift.wire.front import Front
from flintshift.wire.http_front import HttpFront
from flintshift.wire.uwsgi_front import UwsgiFront

pytestmark = pytest.mark.anyio


FRONTS = list(REQUEST_BYTES)


class StandaloneFront:
    """A front without a node behind it, which answers only health checks."""

    def __init__(self, name="http", max_connections=3, **limits):
        self.limits, self.counters = Limits(**limits), Counters()
        self.front = {"http": HttpFront, "uwsgi": UwsgiFront}[name](
            None,
            SimpleNamespace(serving_status=ServingStatus(workers_up=True)),
            self.limits,
            self.counters,
            lambda: time.time() * 1000,
            max_connections,
            None,
        )
        self.ping = REQUEST_BYTES[name]("", b"", {}, method="GET", path="/ping")

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
        tries, closed, open_count, retried = 0, False, 0, anyio.Event()

        async def serve(self, handler, tasks, capacity):
            self.tries += 1
            if self.tries == 1:
                raise OSError("too many open files")
            self.retried.set()
            await anyio.sleep_forever()

        async def drop_new_connections(self):
            pass

        def accept_queued(self, handler, tasks, max_tries):
            pass

        def close(self):
            self.closed = True

    listener, counters = Listener(), Counters()
    front = Front(None, None, Limits(), counters, time.time, 1, None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(front.serve, listener, tasks)
        await listener.retried.wait()
        front.finish()
    assert listener.closed and counters["front.accept_failed"] == 1


async def test_a_full_table_displaces_the_longest_idle_connection_and_first_one_without_a_request():
    async with StandaloneFront(
        displace_silent_after_ms=0.0, displace_idle_after_ms=0.0, request_read_timeout_ms=60_000.0
    ) as standalone:
        retained, idle = await standalone.open(standalone.ping), await standalone.open(standalone.ping)
        silent = await standalone.open()
        new = await standalone.open(standalone.ping)
        assert await silent.is_closed() and new
        retained.send(standalone.ping)
        assert (await retained.reply()).status == 200
        busy = await standalone.open(standalone.ping[:9])  # a partial request: displaces the idle one and is kept
        assert await idle.is_closed()
        retained.send(standalone.ping)
        assert (await retained.reply()).status == 200
        busy.send(standalone.ping[9:])
        assert (await busy.reply()).status == 200
        assert standalone.counters["http.connections_displaced"] == 2


async def test_if_no_connection_may_be_displaced_the_new_one_is_answered_and_then_closed():
    async with StandaloneFront(request_read_timeout_ms=60_000.0) as standalone:
        retained = [await standalone.open(standalone.ping) for _ in range(3)]
        newcomer = await standalone.open()
        newcomer.send(standalone.ping)
        answer = await newcomer.reply()
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert await newcomer.is_closed() and standalone.counters["http.connections_refused"] == 1
        retained[0].send(standalone.ping)
        assert (await retained[0].reply()).status == 200


async def test_a_new_connection_waits_for_displaced_ones_to_close_and_no_more_than_needed_are_displaced():
    async with StandaloneFront(
        max_connections=16, displace_silent_after_ms=0.0, displace_idle_after_ms=0.0
    ) as standalone:
        retained, standalone.front.max_connections = [await standalone.open(standalone.ping) for _ in range(16)], 14
        newcomer = await standalone.open()
        newcomer.send(standalone.ping)
        assert (await newcomer.reply()).status == 200
        # Two are above the bound, and one makes place for the new connection.
        assert standalone.counters["http.connections_displaced"] <= 3
        for caller in retained[3:]:
            caller.send(standalone.ping)
            assert (await caller.reply()).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_silent_partial_and_trickled_requests_are_closed_in_time_but_not_connections_kept_alive(front):
    async with StandaloneFront(front, request_read_timeout_ms=150.0) as standalone:
        if front == "http":
            retained = await standalone.open(standalone.ping)
        assert await (await standalone.open()).is_closed()
        partial = await standalone.open(standalone.ping[:6])
        for position in range(6, 12):  # each byte arrives in time, the whole request does not
            await asyncio.sleep(0.04)
            partial.send(standalone.ping[position : position + 1])
        assert (await partial.reply()).status == 408 and await partial.is_closed()
        if front == "http":
            retained.send(standalone.ping)
            assert (await retained.reply()).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_a_caller_that_does_not_read_its_answer_does_not_keep_its_connection_open(front):
    async with StandaloneFront(front, write_timeout_ms=50.0, sweep_interval_ms=20.0, linger_ms=1.0) as standalone:

        class UnreadStream:  # a stream whose peer reads nothing
            discarded_bytes = 0

            async def receive(self, max_bytes):
                return standalone.ping

            async def send(self, data):
                await anyio.sleep_forever()

            async def __aenter__(self):
                return self

            async def __aexit__(self, *_):
                pass

        standalone.tasks.start_soon(standalone.front.sweep)
        with anyio.fail_after(10):
            await standalone.front._handle_connection(UnreadStream())
        assert standalone.counters[f"{front}.answers_not_taken"] == 1 and not standalone.front.connections
