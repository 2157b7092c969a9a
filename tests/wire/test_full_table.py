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
from fronted import Fronted, calling, whole
from standins import job

from flintshift.core.attempts import Answer, Verdict

pytestmark = pytest.mark.anyio


async def busy(fronted):
    """A connection whose request waits for its answer."""
    count = len(fronted.decided.taken)
    caller = await calling(fronted.connect())
    caller.send(whole())
    await fronted.until(lambda: len(fronted.decided.taken) > count)
    return caller


async def test_its_request_is_refused_with_an_answer_and_nothing_is_decided_of_it():
    async with Fronted() as fronted:
        fronted.front.max_connections = 2
        others = [await busy(fronted) for _ in range(2)]
        newcomer = await calling(fronted.connect())
        fields = job("race-results")
        newcomer.send(whole(fields))
        answer = await newcomer.reply()
        assert answer.status in (429, 503) and answer.headers["x-wait-ms"] == "300"
        assert answer.headers["connection"] == "close"
        assert [attempt.id for attempt in fronted.decided.turned_away] == [fields["X-Job-Id"]]
        assert len(fronted.decided.taken) == 2
        for other, attempt in zip(others, fronted.decided.taken, strict=True):
            attempt.settle(Answer(Verdict.SERVED, b"x"), 0.0)
            assert (await other.reply()).status == 200


async def test_past_an_eighth_more_it_waits_unread_until_there_is_room_and_is_never_reset():
    async with Fronted(request_read_timeout_ms=60_000.0) as fronted:
        fronted.front.max_connections = 8
        others = [await busy(fronted) for _ in range(8)]
        silent = await calling(fronted.connect())  # takes the last place, and says nothing
        await fronted.until(lambda: len(fronted.front.connections) == 9)
        newcomers = [await calling(fronted.connect()) for _ in range(5)]
        for newcomer in newcomers:
            newcomer.send(whole())
        replies = [asyncio.ensure_future(newcomer.reply()) for newcomer in newcomers]
        await asyncio.sleep(0.1)
        assert len(fronted.front.connections) == 9 and not any(reply.done() for reply in replies)
        assert await silent.ended()  # it gives way, as it never spoke
        assert {(await reply).status for reply in replies} <= {429, 503}
        fronted.decided.taken[0].settle(Answer(Verdict.SERVED, b"x"), 0.0)
        assert (await others[0].reply()).status == 200
