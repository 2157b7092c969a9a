"""A name service that misbehaves: each report ends in time, no descriptor stays open, and the next report counts."""

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
REPORT_TIMEOUT_MS = 100.0
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"


async def resets_at_once(reader, writer):
    writer.transport.abort()


async def resets_in_the_report(reader, writer):
    await reader.read(10)
    writer.transport.abort()


async def never_answers(reader, writer):
    await reader.read()


async def answers_in_pieces(reader, writer):
    await reader.readuntil(b"}")
    for position in range(len(NO_CONTENT)):
        writer.write(NO_CONTENT[position : position + 1])
        await writer.drain()
        await asyncio.sleep(0)


async def stops_in_its_answer(reader, writer):
    await reader.readuntil(b"}")
    writer.write(NO_CONTENT[:9])
    await reader.read()


async def closes_without_an_answer(reader, writer):
    await reader.readuntil(b"}")
    writer.close()


async def answers_malformed(reader, writer):
    await reader.readuntil(b"}")
    writer.write(b"\xff\x00" * 99)


async def rejects(reader, writer):
    await reader.readuntil(b"}")
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def continues_first(reader, writer):
    await reader.readuntil(b"}")
    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + NO_CONTENT)


async def answers(reader, writer):
    await reader.readuntil(b"}")
    writer.write(NO_CONTENT)


BEHAVIOURS = [  # the behaviour, and whether the report counts: it does once it has arrived completely, answered or not
    (resets_at_once, None),
    (resets_in_the_report, None),
    (never_answers, True),
    (answers_in_pieces, True),
    (stops_in_its_answer, True),
    (closes_without_an_answer, False),
    (answers_malformed, False),
    (rejects, False),
    (continues_first, True),
]


@pytest.mark.parametrize(("behaviour", "expected"), BEHAVIOURS, ids=[behaviour.__name__ for behaviour, _ in BEHAVIOURS])
async def test_a_report_to_a_failing_name_service_ends_in_time_and_the_next_one_counts(behaviour, expected):
    current_behaviour = behaviour

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await current_behaviour(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    service = NameService(
        server.sockets[0].getsockname(), "n3", Limits(report_timeout_ms=REPORT_TIMEOUT_MS), Counters()
    )
    descriptors_before = len(os.listdir("/proc/self/fd"))
    for _ in range(20):
        started_s = time.monotonic()
        counted = await service.report(True)
        assert (time.monotonic() - started_s) * 1000 < REPORT_TIMEOUT_MS + 400
        assert expected is None or counted is expected
    current_behaviour = answers
    assert await service.report(True)
    server.close()
    await asyncio.sleep(0.01)
    assert len(os.listdir("/proc/self/fd")) <= descriptors_before + 2  # no descriptor stays open
