"""A connection that comes while the table of connections is full.

What happened: the front accepted it, found no place for it and closed it. A request that stood in it was lost: the
system resets a connection that is closed over unread bytes. It was found by reading; no record of a lost request of
this kind is known. Counter: ``http.connections_refused``.

Sequence: as many connections as the table holds are busy or have spoken just now; one more is made, and its caller
writes a request at once. Cause: the bound on connections was kept after the accept, where only a reset keeps it.
"""

from __future__ import annotations

import asyncio

import pytest
from front_harness import FrontHarness, http_request, open_caller
from standins import job

from flintshift.core.attempts import Answer, Verdict

pytestmark = pytest.mark.anyio


async def busy(harness):
    """A connection whose request waits for its answer."""
    count = len(harness.decisions.submitted)
    caller = await open_caller(harness.connect())
    caller.send(http_request())
    await harness.wait_until(lambda: len(harness.decisions.submitted) > count)
    return caller


async def test_its_request_is_refused_with_an_answer_and_nothing_is_decided_of_it():
    async with FrontHarness() as harness:
        harness.front.max_connections = 2
        others = [await busy(harness) for _ in range(2)]
        newcomer = await open_caller(harness.connect())
        fields = job("race-results")
        newcomer.send(http_request(fields))
        answer = await newcomer.reply()
        assert answer.status in (429, 503) and answer.headers["x-wait-ms"] == "300"
        assert answer.headers["connection"] == "close"
        assert [attempt.id for attempt in harness.decisions.rejected] == [fields["X-Job-Id"]]
        assert len(harness.decisions.submitted) == 2
        for other, attempt in zip(others, harness.decisions.submitted, strict=True):
            attempt.settle(Answer(Verdict.SERVED, b"x"), 0.0)
            assert (await other.reply()).status == 200


async def test_past_an_eighth_more_it_waits_unread_until_there_is_room_and_is_never_reset():
    async with FrontHarness(request_read_timeout_ms=60_000.0) as harness:
        harness.front.max_connections = 8
        others = [await busy(harness) for _ in range(8)]
        silent = await open_caller(harness.connect())  # takes the last place, and says nothing
        await harness.wait_until(lambda: len(harness.front.connections) == 9)
        newcomers = [await open_caller(harness.connect()) for _ in range(5)]
        for newcomer in newcomers:
            newcomer.send(http_request())
        replies = [asyncio.ensure_future(newcomer.reply()) for newcomer in newcomers]
        await asyncio.sleep(0.1)
        assert len(harness.front.connections) == 9 and not any(reply.done() for reply in replies)
        assert await silent.ended()  # it gives way, as it never spoke
        assert {(await reply).status for reply in replies} <= {429, 503}
        harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, b"x"), 0.0)
        assert (await others[0].reply()).status == 200
