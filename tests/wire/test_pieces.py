"""Peers that write single bytes, stop sending while the connection is open, or disconnect within a message."""

from __future__ import annotations

import asyncio
import base64
import json
import time

import pytest
from standins import REQUEST_BYTES, request_fields

pytestmark = pytest.mark.anyio
ANSWER_TIMEOUT_S = 1.5 + 0.13  # the classes' deadline, with the slack allowed on sockets
CALL = ("blocked", {"b64": base64.b64encode(b"what is asked").decode()})


async def write_bytewise(writer, data):
    for position in range(len(data)):
        writer.write(data[position : position + 1])
        await writer.drain()
        await asyncio.sleep(0)


@pytest.mark.parametrize("front", list(REQUEST_BYTES))
async def test_a_caller_that_writes_single_bytes_is_served(harness, front):
    harness.pool.plan, harness.apps.took_ms = {"race-results": 0}, 1
    caller = await harness.connect(front)
    await write_bytewise(
        caller.writer, REQUEST_BYTES[front]("race-results", bytes(range(256)), request_fields("race-results"))
    )
    assert (await caller.reply()).status == 200


async def test_a_pool_and_a_vault_that_write_single_bytes_are_understood(harness):
    tasks = set()

    def send_bytewise(writer, message):
        earlier_tasks = set(tasks)

        async def send_in_order():
            if earlier_tasks:
                await asyncio.wait(earlier_tasks)  # messages keep their order
            await write_bytewise(writer, json.dumps(message).encode() + b"\n")

        tasks.add(asyncio.ensure_future(send_in_order()))

    harness.pool.send = send_bytewise
    harness.pool.plan = {"race-results": CALL}

    async def serve_replies(reader, writer):
        while line := await reader.readline():
            verb, request, *rest = line.decode().split()
            if verb == "ask":
                await reader.readexactly(int(rest[1]) + 2)
                await write_bytewise(writer, f"{request} yes 5\r\nreply\r\n".encode())

    harness.vault.serve = serve_replies
    caller = await harness.connect("http")
    for _ in range(3):
        caller.send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
        assert (await caller.reply()).status == 200
    supplied = [entry for entry in harness.pool.log.entries if entry["t"] == "supply"]
    assert len(supplied) == 3 and {entry["b64"] for entry in supplied} == {base64.b64encode(b"reply").decode()}


@pytest.mark.parametrize("disconnects", [True, False])
# Sizes within a reply of 31 bytes: id, verdict, length, body, line end.
@pytest.mark.parametrize("size", [0, 1, 16, 20, 24, 28, 30])
async def test_a_vault_that_stops_within_a_reply_delays_no_answer_past_its_deadline(harness, size, disconnects):
    harness.pool.plan = {"race-results": CALL, "submit-time": CALL}

    async def send_partial_reply(reader, writer):
        line = await reader.readline()
        _, request, _, length = line.decode().split()
        await reader.readexactly(int(length) + 2)
        writer.write(f"{request} yes 5\r\nreply\r\n".encode()[:size])
        await writer.drain()
        if not disconnects:
            await reader.read()

    harness.vault.serve = send_partial_reply
    for class_name, statuses in (("race-results", {200}), ("submit-time", {500})):  # a read goes on without the reply
        start = time.monotonic()
        assert (await harness.ask("http", class_name)).status in statuses
        assert time.monotonic() - start < ANSWER_TIMEOUT_S


@pytest.mark.parametrize("disconnects", [True, False])
@pytest.mark.parametrize("size", [0, 1, 25, -2, -1])
async def test_a_pool_that_stops_within_a_notice_is_reconnected_and_the_answer_is_in_time(harness, size, disconnects):
    caller, fields = await harness.connect("http"), request_fields("race-results")
    caller.send(REQUEST_BYTES["http"]("race-results", b"", fields))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    send_whole, old_links, truncated = harness.pool.send, set(harness.pool.links), set()

    def send_truncated(writer, message):
        if writer not in old_links:
            send_whole(writer, message)
        elif writer not in truncated and message["t"] == "finished":
            truncated.add(writer)  # nothing more is sent on this link
            writer.write((json.dumps(message).encode() + b"\n")[:size])
            if disconnects:
                writer.close()

    harness.pool.send = send_truncated
    start = time.monotonic()
    harness.pool.finish(fields["X-Job-Id"])
    assert (await caller.reply()).status == 200  # the rest arrives over a new link
    assert time.monotonic() - start < ANSWER_TIMEOUT_S
    harness.pool.plan = {"race-results": 0}
    assert (await harness.ask("http", "race-results")).status == 200


async def test_with_the_name_service_down_requests_are_served_at_once_and_reports_go_on_when_it_is_back(harness):
    harness.pool.plan = {"race-results": 0}
    await harness.names.stop()
    earlier_count = len(harness.names.log.entries)
    for _ in range(5):
        start = time.monotonic()
        assert (await harness.ask("http", "race-results")).status == 200
        assert time.monotonic() - start < 0.5
    while (await harness.counters())["names.not_taken"] < 3:
        pass
    await harness.names.start()  # at its old address
    await harness.names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"), earlier_count + 1)
