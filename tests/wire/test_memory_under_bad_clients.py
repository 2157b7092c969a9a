"""The node's memory stays under half of its limit whatever callers send, and usual callers are served meanwhile.

Guards against a node that is killed for memory. Seen: eight clients that went on sending behind a request that waited
for its answer took it over 192 MB within half a second, and the requests of all usual callers were lost. The cause: a
connection's transport read whatever came, as fast as it came, into a queue without a bound.

The bound is half of ``memory_mb``, above which the standing test prices memory.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from bad_clients import ID_PLACE, Message, run_bad_clients
from standins import REQUEST_BYTES, NodeHarness, request_fields

from flintshift.wire import uwsgi

pytestmark = pytest.mark.anyio

MAX_MEMORY_MB = 192 / 2
ANSWER_TIMEOUT_S = 1.5 + 0.13  # the classes' deadline, with the slack allowed on sockets
TROUBLE_S = 3.0
FRONTS = list(REQUEST_BYTES)


@pytest.fixture
async def harness(tmp_path):
    async with NodeHarness(tmp_path, with_control=True) as harness:
        harness.pool.plan = {"submit-time": 0}  # runs of race-results don't end, and wait until their deadline
        harness.apps.took_ms = 1000
        yield harness


def memory_mb(harness) -> float:
    """The resident memory of the node."""
    status = Path(f"/proc/{harness.process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS:")) / 1024


async def call_while(harness, process) -> tuple[float, int]:
    """Make usual calls until the bad clients end; returns the highest use of memory in MB, and the number of calls. The
    bad clients' requests take part in the load, so some of the calls may be refused."""
    highest_mb, calls = 0.0, 0

    async def sample_memory():
        nonlocal highest_mb
        while highest_mb <= MAX_MEMORY_MB and process.returncode is None:
            highest_mb = max(highest_mb, memory_mb(harness))
            await asyncio.sleep(0.01)

    sampling = asyncio.ensure_future(sample_memory())
    while not sampling.done():
        start = time.monotonic()
        reply = await harness.ask("http")
        assert reply.status in (200, 429) and time.monotonic() - start < ANSWER_TIMEOUT_S, reply
        calls += 1
        await asyncio.sleep(0.02)
    await sampling
    return highest_mb, calls


async def check_memory(harness, message, clients):
    async with run_bad_clients(message, clients, TROUBLE_S) as process:
        highest_mb, calls = await call_while(harness, process)
        assert highest_mb <= MAX_MEMORY_MB and calls > 5
        assert await process.wait() == 0


def request(front, body=b"one, please", **more):
    return REQUEST_BYTES[front]("race-results", body, request_fields("race-results", **more))


def request_of_any_id(front):
    """A whole request, with an id of each connection's own."""
    return request(front, **{"X-Job-Id": ID_PLACE.decode()})


def request_of_body_size(front, size):
    """The head of a request whose body has that size."""
    if front == "http":
        return request(front, b"").replace(b"Content-Length: 0", b"Content-Length: %d" % size)
    fields = {f"HTTP_{name.upper().replace('-', '_')}": value for name, value in request_fields("race-results").items()}
    variables = {"REQUEST_METHOD": "POST", "PATH_INFO": "/call/race-results", "CONTENT_LENGTH": str(size), **fields}
    return uwsgi.pack(variables.items())


@pytest.mark.parametrize("clients", [8, 100])
@pytest.mark.parametrize("front", FRONTS)
async def test_bytes_without_end_behind_a_request_that_waits_for_its_answer(harness, front, clients):
    await check_memory(harness, Message(harness.ports[front], request_of_any_id(front)), clients)


@pytest.mark.parametrize("front", FRONTS)
async def test_bodies_of_60_mb(harness, front):
    begin = request_of_body_size(front, 60_000_000)
    await check_memory(harness, Message(harness.ports[front], begin, filler_bytes=60_000_000), 30)


async def test_heads_without_an_end(harness):
    await check_memory(harness, Message(harness.ports["http"], b"GET / HTTP/1.1\r\nX: "), 30)


async def test_200_kb_behind_a_request_and_then_silence(harness):
    message = Message(harness.ports["http"], request_of_any_id("http"), filler_bytes=200_000, rests=True)
    await check_memory(harness, message, 300)


async def test_requests_behind_a_request_that_waits_for_its_answer(harness):
    ping = REQUEST_BYTES["http"]("", b"", {}, method="GET", path="/ping")
    await check_memory(harness, Message(harness.ports["http"], request_of_any_id("http"), ping), 30)


async def test_calls_without_an_end_at_the_control_port(harness):
    begin = b"POST /control/in-service HTTP/1.1\r\nHost: n\r\nContent-Length: 60000000\r\n\r\n"
    await check_memory(harness, Message(harness.ports["control"], begin), 30)
