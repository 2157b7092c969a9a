"""What a connection holds of a request that is read in part or waits for its answer.

Guards against a node that is killed for memory. Seen: with 400 connections whose heads of 16 KB were made of
thousands of small fields, the node held 195 MB. The cause: the head was kept parsed, every field as objects of its own,
for as long as the connection waited for the rest of the request or for its answer.

The bound is half of ``memory_mb`` over all descriptors, since callers may open as many connections.
"""

from __future__ import annotations

import asyncio
import gc
import tracemalloc

import pytest
from front_harness import FrontHarness
from standins import REQUEST_BYTES, request_fields

from flintshift.core.limits import Limits

pytestmark = pytest.mark.anyio

CONNECTIONS = 20
SETTLING_S = 0.5  # a head comes in several pieces, and a connection waits between them too
HEAD_BYTES = 16_000  # a little less than the longest head and the longest block of variables
MAX_CONNECTION_BYTES = Limits().memory_mb * (1 << 20) // 2 // Limits().sockets


def with_small_fields(front, data):
    """A request with as many small fields as its head may hold."""
    if front == "http":
        head, end, body = data.partition(b"\r\n\r\n")
        fields = b"".join(b"\r\na%03x:" % number for number in range((HEAD_BYTES - len(head)) // 7))
        return head + fields + end + body
    block = data[4 : 4 + int.from_bytes(data[1:3], "little")]
    body = data[4 + len(block) :]
    variables = b"".join(b"\x03\0%03x\0\0" % number for number in range((HEAD_BYTES - len(block)) // 7))
    return b"\0" + (len(block) + len(variables)).to_bytes(2, "little") + b"\0" + block + variables + body


@pytest.mark.parametrize("whole", [True, False], ids=["awaiting_its_answer", "awaiting_its_rest"])
@pytest.mark.parametrize("front", list(REQUEST_BYTES))
async def test_a_request_with_thousands_of_fields_takes_a_bounded_amount_of_memory_while_it_waits(front, whole):
    async with FrontHarness(front, request_read_timeout_ms=60_000.0) as harness:
        connections = harness.front.connections

        def is_waiting() -> bool:
            if whole:
                return len(harness.decisions.submitted) == CONNECTIONS
            return len(connections) == CONNECTIONS and all(
                connection.busy and not connection.stream.buffer.unprocessed and connection.read_scope
                for connection in connections
            )

        messages = [
            with_small_fields(front, REQUEST_BYTES[front]("race-results", b"body", request_fields("race-results")))
            for _ in range(CONNECTIONS)
        ]
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            callers = [harness.connect() for _ in range(CONNECTIONS)]
            for caller, message in zip(callers, messages, strict=True):
                caller.sendall(message if whole else message[:-1])
            await harness.wait_until(is_waiting)
            await asyncio.sleep(SETTLING_S)
            gc.collect()
            held_bytes = tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()
        assert held_bytes / CONNECTIONS < MAX_CONNECTION_BYTES
        for caller in callers:
            caller.close()
