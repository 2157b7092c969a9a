"""A list service that misbehaves: each report ends in time, nothing is left open, and the next one counts again."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time

import pytest

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.wire.names import NameService

pytestmark = pytest.mark.anyio
WAIT_MS = 100.0
GOOD = b"HTTP/1.1 204 No Content\r\n\r\n"


async def resets_at_once(reader, writer):
    writer.transport.abort()


async def resets_in_the_report(reader, writer):
    await reader.read(10)
    writer.transport.abort()


async def never_answers(reader, writer):
    await reader.read()


async def answers_in_pieces(reader, writer):
    await reader.readuntil(b"}")
    for place in range(len(GOOD)):
        writer.write(GOOD[place : place + 1])
        await writer.drain()
        await asyncio.sleep(0)


async def stops_in_its_answer(reader, writer):
    await reader.readuntil(b"}")
    writer.write(GOOD[:9])
    await reader.read()


async def closes_without_an_answer(reader, writer):
    await reader.readuntil(b"}")
    writer.close()


async def answers_junk(reader, writer):
    await reader.readuntil(b"}")
    writer.write(b"\xff\x00" * 99)


async def turns_away(reader, writer):
    await reader.readuntil(b"}")
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def tells_to_go_on_first(reader, writer):
    await reader.readuntil(b"}")
    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + GOOD)


async def good(reader, writer):
    await reader.readuntil(b"}")
    writer.write(GOOD)


SERVICES = [  # how it behaves, and whether the report counts: it does once it has arrived whole, answered or not
    (resets_at_once, None),
    (resets_in_the_report, None),
    (never_answers, True),
    (answers_in_pieces, True),
    (stops_in_its_answer, True),
    (closes_without_an_answer, False),
    (answers_junk, False),
    (turns_away, False),
    (tells_to_go_on_first, True),
]


@pytest.mark.parametrize(("behaves", "counts"), SERVICES, ids=[behaves.__name__ for behaves, _ in SERVICES])
async def test_a_report_to_a_list_service_in_trouble_ends_in_time_and_the_next_one_counts(behaves, counts):
    now = behaves

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await now(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    service = NameService(server.sockets[0].getsockname(), "n3", Limits(report_timeout_ms=WAIT_MS), Counters())
    before = len(os.listdir("/proc/self/fd"))
    for _ in range(20):
        began = time.monotonic()
        taken = await service.report(True)
        assert (time.monotonic() - began) * 1000 < WAIT_MS + 400
        assert counts is None or taken is counts
    now = good
    assert await service.report(True)
    server.close()
    await asyncio.sleep(0.01)
    assert len(os.listdir("/proc/self/fd")) <= before + 2  # nothing is left open
