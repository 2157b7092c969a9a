"""A caller that has closed its connection gets no more of its requests run, however many of them are unread."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest
from front_harness import FrontHarness, now_ms, open_caller
from standins import REQUEST_BYTES, request_fields

from flintshift.core.attempts import Answer, Verdict

pytestmark = pytest.mark.anyio

REQUESTS = 200  # over four times what a connection holds unprocessed
SETTLING_S = 0.3


def requests(front: str) -> bytes:
    return b"".join(
        REQUEST_BYTES[front]("race-results", b"body", request_fields("race-results")) for _ in range(REQUESTS)
    )


def leave(caller: socket.socket, how: str) -> None:
    """Close or reset a connection."""
    if how == "reset":
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("front", list(REQUEST_BYTES))
async def test_no_request_of_a_caller_that_closed_before_it_was_read_is_submitted(front, how):
    """Guards against a node that goes on through the unread requests of a caller that has left."""
    async with FrontHarness(front) as harness:
        harness.decisions.immediate_answer = Answer(Verdict.SERVED, b"1")
        caller = harness.connect()
        caller.sendall(requests(front))
        leave(caller, how)  # before a turn of the event loop, in which the node would read
        await harness.wait_until(lambda: sum(harness.counters[f"{front}.closed.{why}"] for why in ("caller_gone",)))
        assert harness.decisions.submitted == []


@pytest.mark.parametrize("how", ["close", "reset"])
async def test_a_caller_that_leaves_while_it_is_answered_has_no_further_request_submitted(how):
    """Guards against runs that were begun up to 0.7 s after their caller had left."""
    async with FrontHarness("http") as harness:
        harness.decisions.immediate_answer = Answer(Verdict.SERVED, b"1")
        caller = harness.connect()
        caller.sendall(requests("http"))
        await harness.wait_until(lambda: len(harness.decisions.submitted) >= 3)
        leave(caller, how)
        submitted = len(harness.decisions.submitted)
        await asyncio.sleep(SETTLING_S)
        assert len(harness.decisions.submitted) <= submitted + 1  # the next one may have been checked just before


@pytest.mark.parametrize("how", ["close", "reset"])
async def test_a_caller_that_leaves_while_its_request_waits_is_noticed_behind_more_bytes_than_are_read(how):
    """Guards against a run for a caller whose end lies behind unread bytes, which went on until its deadline."""
    async with FrontHarness("http") as harness:
        caller = harness.connect()
        caller.sendall(requests("http"))
        await harness.wait_until(lambda: len(harness.decisions.submitted) == 1)
        await asyncio.sleep(SETTLING_S)  # the rest of what is held has arrived
        leave(caller, how)
        await harness.wait_until(lambda: harness.decisions.disconnected)
        await asyncio.sleep(SETTLING_S)
        assert len(harness.decisions.submitted) == 1


def send_all_that_the_system_takes(caller: socket.socket) -> None:
    """Send requests until neither the node's system nor this one's has room for more."""
    caller.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        for _ in range(200):
            caller.send(requests("http"))
    caller.setblocking(True)


async def test_a_caller_that_closes_behind_more_than_the_system_holds_is_noticed():
    """Guards against runs for callers whose close has not reached the node, as its system has no room for it."""
    async with FrontHarness("http") as harness:
        caller = harness.connect()
        send_all_that_the_system_takes(caller)
        await harness.wait_until(lambda: len(harness.decisions.submitted) == 1)
        await asyncio.sleep(SETTLING_S)
        assert harness.decisions.disconnected == []
        caller.close()
        await harness.wait_until(lambda: harness.decisions.disconnected)
        await asyncio.sleep(SETTLING_S)
        assert len(harness.decisions.submitted) == 1


async def test_a_caller_that_stays_gets_interim_responses_and_then_all_answers():
    async with FrontHarness("http") as harness:
        raw = harness.connect()
        raw.sendall(requests("http"))
        caller = await open_caller(raw)
        await harness.wait_until(lambda: len(harness.decisions.submitted) == 1)
        await asyncio.sleep(SETTLING_S)
        harness.decisions.immediate_answer = Answer(Verdict.SERVED, b"later")
        harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, b"first"), now_ms())
        interim_count = 0
        while (head := await caller.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 "):
            interim_count += 1
        assert interim_count >= 1 and head.startswith(b"HTTP/1.1 200 ")
        assert await caller.reader.readexactly(5) == b"first"
        assert [(await caller.reply()).body for _ in range(REQUESTS - 1)] == [b"later"] * (REQUESTS - 1)
        caller.writer.close()


async def test_a_caller_of_http_1_0_gets_no_interim_response():
    async with FrontHarness("http") as harness:
        caller = harness.connect()
        caller.sendall(requests("http").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        await harness.wait_until(lambda: len(harness.decisions.submitted) == 1)
        await asyncio.sleep(SETTLING_S)
        harness.decisions.submitted[0].settle(Answer(Verdict.SERVED, b"first"), now_ms())
        assert (await asyncio.to_thread(caller.recv, 4096)).startswith(b"HTTP/1.1 200 ")
        caller.close()
