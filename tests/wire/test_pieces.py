"""Peers that write in pieces of any size, fall silent with the connection open, or leave in the middle of a word."""

from __future__ import annotations

import asyncio
import base64
import json
import time

import pytest
from standins import REQUEST_BYTES, request_fields

pytestmark = pytest.mark.anyio
DUE_S = 1.5 + 0.13  # the classes' deadline, with the slack that sockets get
CALL = ("blocked", {"b64": base64.b64encode(b"what is asked").decode()})


async def in_pieces(writer, data):
    for place in range(len(data)):
        writer.write(data[place : place + 1])
        await writer.drain()
        await asyncio.sleep(0)


@pytest.mark.parametrize("front", list(REQUEST_BYTES))
async def test_a_caller_in_pieces_is_served(rig, front):
    rig.pool.plan, rig.apps.took_ms = {"race-results": 0}, 1
    caller = await rig.connect(front)
    await in_pieces(
        caller.writer, REQUEST_BYTES[front]("race-results", bytes(range(256)), request_fields("race-results"))
    )
    assert (await caller.reply()).status == 200


async def test_a_pool_and_a_vault_in_pieces_are_understood(rig):
    tasks = set()

    def piecemeal(writer, message):
        before = set(tasks)

        async def later():
            if before:
                await asyncio.wait(before)  # words follow each other
            await in_pieces(writer, json.dumps(message).encode() + b"\n")

        tasks.add(asyncio.ensure_future(later()))

    rig.pool.say = piecemeal
    rig.pool.plan = {"race-results": CALL}

    async def reply(reader, writer):
        while line := await reader.readline():
            word, request, *rest = line.decode().split()
            if word == "ask":
                await reader.readexactly(int(rest[1]) + 2)
                await in_pieces(writer, f"{request} yes 5\r\nreply\r\n".encode())

    rig.vault.serve = reply
    caller = await rig.connect("http")
    for _ in range(3):
        caller.send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
        assert (await caller.reply()).status == 200
    supplied = [entry for entry in rig.pool.log.entries if entry["t"] == "supply"]
    assert len(supplied) == 3 and {entry["b64"] for entry in supplied} == {base64.b64encode(b"reply").decode()}


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("size", [0, 1, 16, 20, 24, 28, 30])  # of a reply of 31 bytes: id, word, length, body, end
async def test_a_vault_that_stops_in_a_reply_costs_no_answer_its_time(rig, size, leaves):
    rig.pool.plan = {"race-results": CALL, "submit-time": CALL}

    async def reply(reader, writer):
        line = await reader.readline()
        _, request, _, length = line.decode().split()
        await reader.readexactly(int(length) + 2)
        writer.write(f"{request} yes 5\r\nreply\r\n".encode()[:size])
        await writer.drain()
        if not leaves:
            await reader.read()

    rig.vault.serve = reply
    for class_name, statuses in (("race-results", {200}), ("submit-time", {500})):  # a read goes on without it
        began = time.monotonic()
        assert (await rig.ask("http", class_name)).status in statuses
        assert time.monotonic() - began < DUE_S


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("size", [0, 1, 25, -2, -1])
async def test_a_pool_that_stops_in_a_notice_is_read_again_or_answered_for_in_time(rig, size, leaves):
    caller, fields = await rig.connect("http"), request_fields("race-results")
    caller.send(REQUEST_BYTES["http"]("race-results", b"", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    whole, links, cut_short = rig.pool.say, set(rig.pool.links), set()

    def cut(writer, message):
        if writer not in links:
            whole(writer, message)
        elif writer not in cut_short and message["t"] == "finished":
            cut_short.add(writer)  # and nothing more is said on it
            writer.write((json.dumps(message).encode() + b"\n")[:size])
            if leaves:
                writer.close()

    rig.pool.say = cut
    began = time.monotonic()
    rig.pool.finish(fields["X-Job-Id"])
    assert (await caller.reply()).status == 200  # by a new link
    assert time.monotonic() - began < DUE_S
    rig.pool.plan = {"race-results": 0}
    assert (await rig.ask("http", "race-results")).status == 200


async def test_a_release_with_the_name_service_down_waits_for_nothing_and_reports_when_it_is_back(rig):
    rig.pool.plan = {"race-results": 0}
    await rig.names.stop()
    before = len(rig.names.log.entries)
    for _ in range(5):
        began = time.monotonic()
        assert (await rig.ask("http", "race-results")).status == 200
        assert time.monotonic() - began < 0.5
    while (await rig.counters())["names.not_taken"] < 3:
        pass
    await rig.names.start()  # at its old address
    await rig.names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"), before + 1)
