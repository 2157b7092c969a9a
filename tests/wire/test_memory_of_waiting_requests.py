"""What a connection holds of a request that is read in part, waits for its answer or was rejected.

Guards against a node that is killed for memory. Seen: with 400 connections whose heads of 16 KB were made of
thousands of small fields, the node held 195 MB. The cause: the head was kept parsed, every field as objects of its own,
for as long as the connection waited for the rest of the request or for its answer. Requests of thousands of fields are
rejected since, so one test sends as many fields as allowed in as many bytes, and the other one those thousands.

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
from flintshift.wire import uwsgi

pytestmark = pytest.mark.anyio

CONNECTIONS = 20
SETTLING_S = 0.5  # a head comes in several pieces, and a connection waits between them too
HEAD_BYTES = 16_000  # a little less than the longest head and the longest block of variables
MAX_CONNECTION_BYTES = Limits().memory_mb * (1 << 20) // 2 // Limits().sockets


MAX_FIELDS = {"http": Limits().max_head_fields, "uwsgi": Limits().max_uwsgi_variables}
SMALLEST_FIELD_BYTES = 7


def with_fields(front, data, count):
    """A request with so many more fields, which fill its head."""
    if front == "http":
        head, end, body = data.partition(b"\r\n\r\n")
        value = b"x" * ((HEAD_BYTES - len(head)) // count - SMALLEST_FIELD_BYTES)
        return head + b"".join(b"\r\na%03x:%b" % (number, value) for number in range(count)) + end + body
    block = data[4 : 4 + int.from_bytes(data[1:3], "little")]
    body = data[4 + len(block) :]
    value = b"x" * ((HEAD_BYTES - len(block)) // count - SMALLEST_FIELD_BYTES)
    size = len(value).to_bytes(2, "little")
    variables = b"".join(b"\x03\0%03x%b%b" % (number, size, value) for number in range(count))
    return b"\0" + (len(block) + len(variables)).to_bytes(2, "little") + b"\0" + block + variables + body


def usual_request(front):
    return REQUEST_BYTES[front]("race-results", b"body", request_fields("race-results"))


def usual_field_count(front):
    """The number of header fields or variables of the usual request."""
    data = usual_request(front)
    if front == "http":
        return data.partition(b"\r\n\r\n")[0].count(b"\r\n")
    block = data[4 : 4 + int.from_bytes(data[1:3], "little")]
    return len(uwsgi.unpack(block, len(block)))


async def measure_held_bytes(harness, messages, is_settled):
    """Send each message on a connection of its own; returns the bytes that one takes once all are settled."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        callers = [harness.connect() for _ in messages]
        for caller, message in zip(callers, messages, strict=True):
            caller.sendall(message)
        await harness.wait_until(lambda: is_settled(callers))
        await asyncio.sleep(SETTLING_S)
        gc.collect()
        held_bytes = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    for caller in callers:
        caller.close()
    return held_bytes / len(messages)


@pytest.mark.parametrize("whole", [True, False], ids=["awaiting_its_answer", "awaiting_its_rest"])
@pytest.mark.parametrize("front", list(REQUEST_BYTES))
async def test_a_request_with_as_many_fields_as_allowed_takes_a_bounded_amount_of_memory_while_it_waits(front, whole):
    async with FrontHarness(front, request_read_timeout_ms=60_000.0) as harness:
        connections = harness.front.connections

        def is_waiting(_) -> bool:
            if whole:
                return len(harness.decisions.submitted) == CONNECTIONS
            return len(connections) == CONNECTIONS and all(
                connection.busy and not connection.stream.buffer.unprocessed and connection.read_scope
                for connection in connections
            )

        count = MAX_FIELDS[front] - usual_field_count(front)
        message = with_fields(front, usual_request(front), count)
        held_bytes = await measure_held_bytes(harness, [message if whole else message[:-1]] * CONNECTIONS, is_waiting)
        assert held_bytes < MAX_CONNECTION_BYTES


@pytest.mark.parametrize("whole", [True, False], ids=["whole", "cut_off"])
@pytest.mark.parametrize("front", list(REQUEST_BYTES))
async def test_a_request_with_thousands_of_fields_is_rejected_and_takes_a_bounded_amount_of_memory(front, whole):
    async with FrontHarness(front, request_read_timeout_ms=60_000.0) as harness:
        counters = harness.front.counters

        def is_rejected(_) -> bool:
            return counters[f"{front}.status_431"] == CONNECTIONS

        message = with_fields(front, usual_request(front), 2000)
        held_bytes = await measure_held_bytes(harness, [message if whole else message[:-1]] * CONNECTIONS, is_rejected)
        assert held_bytes < MAX_CONNECTION_BYTES and not harness.decisions.submitted
