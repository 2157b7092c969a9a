"""A connection that arrives while the table of connections is full.

Guards against a front that accepts such a connection and closes it at once. A request on it would be lost, since the
system resets a connection that is closed over unread bytes; no such loss is on record. The cause was a bound that was
enforced after the accept, where only a reset can enforce it. Counter: ``http.connections_refused``.

Sequence: all connections in the table are busy or were answered just now, one more is opened, and its caller writes a
request at once.
"""

from __future__ import annotations

import asyncio

import pytest
from front_harness import FrontHarness, http_request, open_caller
from standins import request_fields

from flintshift.core.attempts import Answer, Verdict

pytestmark = pytest.mark.anyio


async def open_busy_connection(harness):
    """Open a connection whose request waits for its answer."""
    earlier_count = len(harness.decisions.submitted)
    caller = await open_caller(harness.connect())
    caller.send(http_request())
    await harness.wait_until(lambda: len(harness.decisions.submitted) > earlier_count)
    return caller


async def test_a_request_beyond_a_full_table_is_answered_with_a_refusal_and_not_submitted():
    async with FrontHarness() as harness:
        harness.front.max_connections = 2
        busy_callers = [await open_busy_connection(harness) for _ in range(2)]
        newcomer = await open_caller(harness.connect())
        fields = request_fields("race-results")
        newcomer.send(http_request(fields))
        answer = await newcomer.reply()
        assert answer.status in (429, 503) and answer.headers["x-wait-ms"] == "300"
        assert answer.headers["connection"] == "close"
        assert [attempt.id for attempt in harness.decisions.rejected] == [fields["X-Job-Id"]]
        assert len(harness.decisions.submitted) == 2
        for caller, attempt in zip(busy_callers, harness.decisions.submitted, strict=True):
            attempt.settle(Answer(Verdict.SERVED, b"x"), 0.0)
            assert (await caller.reply()).status == 200


async def test_beyond_an_eighth_more_a_connection_waits_unread_for_capacity_and_is_never_reset():
    async with FrontHarness(request_read_timeout_ms=60_000.0) as harness:
        harness.front.max_connections = 8
        busy_callers = [await open_busy_connection(harness) for _ in range(8)]
        silent = await open_caller(harness.connect())  # occupies the last place, and sends nothing
        await harness.wait_until(lambda: len(harness.front.connections) == 9)
        newcomers = [await open_caller(harness.connect()) for _ in range(5)]
        for newcomer in newcomers:
            newcomer.send(http_request())
        replies = [asyncio.ensure_future(newcomer.reply()) for newcomer in newcomers]
        await asyncio.sleep(0.1)
        assert len(harness.front.connections) == 9 and not any(reply.done() for reply in replies)
        assert await silent.is_closed()  # it is displaced, as it never sent a request
        assert {(await reply).status for reply in replies} <= {429, 503}
        harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, b"x"), 0.0)
        assert (await busy_callers[0].reply()).status == 200
