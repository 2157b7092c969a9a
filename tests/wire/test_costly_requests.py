"""Usual callers are answered in time while other clients send requests that are costly to read.

Guards against a node that stands still while it parses: a head of 2,900 fields, a body of 2,000 chunks or a block of
thousands of variables kept the event loop for 8 to 100 ms each, and one field of spaces that ends with a NUL for 1.4 s.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from bad_clients import Message, run_bad_clients
from standins import REQUEST_BYTES, NodeHarness, request_fields

from flintshift.wire import uwsgi

pytestmark = pytest.mark.anyio

ANSWER_TIMEOUT_S = 1.5 + 0.13  # the classes' deadline, with the slack allowed on sockets
TROUBLE_S = 3.0
BEGIN = b"POST /call/race-results HTTP/1.1\r\nHost: a\r\n"
CHUNKED = (
    REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    + b"1\r\nx\r\n" * 2000
    + b"0\r\n\r\n"
)
VARIABLES = [
    ("REQUEST_METHOD", "POST"),
    ("PATH_INFO", "/call/race-results"),
    *((chr(ord("a") + n % 26), "") for n in range(3200)),
]
LONG_QUERY = b"GET /ping?" + b"%41=%42&" * 2000 + b" HTTP/1.1\r\nHost: a\r\n\r\n"

COSTLY = {  # front, what each client sends again and again, clients
    "heads of 2,900 fields": ("http", BEGIN + b"a:\r\n" * 2900 + b"\r\n", 400),
    "bodies of 2,000 chunks": ("http", CHUNKED, 200),
    "a control character behind spaces": ("http", BEGIN + b"a:" + b" " * 16_000 + b"\0\r\n\r\n", 4),
    "checks with a query of 2,000 fields": ("http", LONG_QUERY, 200),
    "blocks of 3,200 variables": ("uwsgi", uwsgi.pack(VARIABLES), 60),
}


@pytest.mark.parametrize(("front", "data", "clients"), COSTLY.values(), ids=COSTLY.keys())
async def test_usual_callers_are_answered_in_time_beside_costly_requests(tmp_path, front, data, clients):
    async with NodeHarness(tmp_path) as harness:
        harness.pool.plan = {"submit-time": 0}
        message, delays_s = Message(harness.ports[front], data, filler_bytes=0, rests=True), []
        async with run_bad_clients(message, clients, TROUBLE_S) as process:
            while process.returncode is None:
                start = time.monotonic()
                reply = await harness.ask("http", "submit-time")
                assert reply.status in (200, 429), reply
                delays_s.append(time.monotonic() - start)
                await asyncio.sleep(0.02)
            assert await process.wait() == 0
        assert max(delays_s) < ANSWER_TIMEOUT_S, f"{len(delays_s)} calls, the slowest took {max(delays_s):.2f} s"
        assert len(delays_s) > 5
