"""The program started and spoken to over sockets: one test for each rule, on both fronts."""

from __future__ import annotations

import asyncio
import base64
import json
import time

import pytest
from standins import REQUEST_BYTES, request_fields

pytestmark = pytest.mark.anyio


FRONTS = list(REQUEST_BYTES)


def finishing(rig):
    rig.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)


@pytest.mark.parametrize("front", FRONTS)
async def test_a_request_is_served_with_the_result_of_its_run_and_bodies_stay_as_they_came(rig, front):
    finishing(rig)
    body, fields = bytes(range(256)) * 8, request_fields()
    reply = await rig.ask(front, body=body, fields=fields)
    assert reply.status == 200 and reply.body.endswith(f"result of {fields['X-Job-Id']}\n".encode())
    run = rig.runs()[0]
    assert (base64.b64decode(run["b64"]) if front == "http" else run["body"]) == body


@pytest.mark.parametrize("front", FRONTS)
async def test_an_answer_comes_by_the_due_time_though_the_run_does_not_end(rig, front):
    rig.apps.took_ms = 60_000
    began = time.time()
    reply = await rig.ask(front, "race-results")
    assert reply.status == 500 and time.time() - began <= 1.5 + 0.08
    assert (await rig.ask(front, path="/ping", method="GET")).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_what_is_turned_away_is_told_at_once_when_to_come_back_and_never_runs(rig, front):
    rig.apps.took_ms = 60_000  # nothing ends: what is read past the first runs has no hope of its aim
    callers = [await rig.connect(front) for _ in range(40)]
    sent = [request_fields("race-results") for _ in callers]
    for caller, fields in zip(callers, sent, strict=True):
        caller.send(REQUEST_BYTES[front]("race-results", b"", fields))
    began, early = time.time(), {}

    async def answered(caller, fields):
        early[fields["X-Job-Id"]] = await caller.reply(), time.time() - began

    await asyncio.gather(*map(answered, callers, sent))
    refused = {rid: got for rid, got in early.items() if got[0].status == 429}
    assert refused and all(int(reply.headers["x-wait-ms"]) > 0 for reply, _ in refused.values())
    assert min(after for _, after in refused.values()) < 0.75  # long before the due time
    assert not refused.keys() & {run["rid"] for run in rig.runs()}


@pytest.mark.parametrize(("first", "second"), [("http", "uwsgi"), ("uwsgi", "http"), ("http", "http")])
async def test_a_repeated_submit_time_runs_once_whichever_protocol_brings_it(rig, first, second):
    finishing(rig)
    original = await rig.ask(first, fields=request_fields(**{"X-Unique": "k1"}))
    again = await rig.ask(second, fields=request_fields(**{"X-Unique": "k1", "X-Again": "1"}))
    assert original.status == again.status == 200 and original.body == again.body
    assert len(rig.runs()) == 1
    assert (await rig.ask(second, fields=request_fields(**{"X-Unique": "k2"}))).body != original.body
    assert len(rig.runs()) == 2


async def test_a_repeat_over_uwsgi_waits_for_the_run_its_first_try_began_over_http(rig):
    first, second = await rig.connect("http"), await rig.connect("uwsgi")
    fields = request_fields(**{"X-Unique": "k1"})
    first.send(REQUEST_BYTES["http"]("submit-time", b"1", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    first.writer.transport.abort()  # its caller gives up: the write goes on
    second.send(REQUEST_BYTES["uwsgi"]("submit-time", b"1", request_fields(**{"X-Unique": "k1"})))
    while (await rig.counters())["repeats"] < 1:
        pass
    rig.pool.finish(fields["X-Job-Id"])
    assert (await second.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    assert len(rig.runs()) == 1


async def test_a_failed_write_is_not_run_again_nor_refused(rig):
    rig.pool.plan = {"submit-time": ("finished", {"status": "fault"})}
    for front in FRONTS:
        assert (await rig.ask(front, fields=request_fields(**{"X-Unique": "k1"}))).status == 500
    assert len(rig.runs()) == 1


@pytest.mark.parametrize("half", FRONTS)
async def test_a_drain_answers_all_that_was_read_and_runs_nothing_past_the_grace(rig, half):
    running, cut, late = await rig.connect("http"), await rig.connect(half), await rig.connect(half)
    fields = request_fields("race-results")
    running.send(REQUEST_BYTES["http"]("race-results", b"", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    cut.send(REQUEST_BYTES[half]("submit-time", b"12:01.5", request_fields())[:-3])  # and never more of it
    past = {"X-Door-Time": str(int(time.time() * 1000) + 2000)}
    whole = REQUEST_BYTES[half]("submit-time", b"12:01.5", request_fields(**past))
    late.send(whole[:40])
    await rig.leave()
    late.send(whole[40:])  # half read at the notice, and by its door time past the grace
    refused = await late.reply()
    assert refused.status == 503 and len(rig.runs()) == 1
    rig.pool.finish(fields["X-Job-Id"])
    assert (await running.reply()).status == 200
    assert (await cut.reply()).status == 503 and await cut.is_closed()
    assert await asyncio.wait_for(rig.process.wait(), 10) == 0
    assert json.loads((await rig.process.stderr.read()).splitlines()[-1])["counters"]["answered.served"] == 1
    assert len(rig.runs()) == 1
    records = [count for word, count in rig.dns.log.entries if word == "update"]
    assert records[0] == 8 and records[-1] == 4  # the app server's own four, and the node's until it left


@pytest.mark.parametrize("front", FRONTS)
@pytest.mark.parametrize("other", [{"body": b"12:09.9"}, {"fields": {"X-Team": "sur-pacers"}}])
async def test_the_key_of_another_request_gets_no_result_of_it(rig, front, other):
    finishing(rig)
    assert (await rig.ask("http", fields=request_fields(**{"X-Unique": "k1"}))).status == 200
    fields = request_fields(**{"X-Unique": "k1", **other.get("fields", {})})
    assert (await rig.ask(front, body=other.get("body", b"12:01.5"), fields=fields)).status == 409
    assert len(rig.runs()) == 1


async def test_a_run_no_app_server_takes_is_refused_and_its_key_is_free(rig):
    await rig.apps.stop()
    finishing(rig)
    assert (await rig.ask("uwsgi", fields=request_fields(**{"X-Unique": "k1"}))).status == 429
    assert (await rig.ask("http", fields=request_fields(**{"X-Unique": "k1"}))).status == 200


async def test_both_protocols_at_150_percent_load_lose_no_answer_and_write_nothing_twice(rig):
    rig.apps.took_ms, rig.pool.plan = 30, {"race-results": 30, "submit-time": 30}
    each_s, count = 0.03 / 2 / 1.5, 150  # two cores, 30 ms a run: half as much again as they can do
    outcomes = []

    async def request(turn):
        first, other = FRONTS if turn % 2 else FRONTS[::-1]
        class_name = "submit-time" if turn % 3 else "race-results"
        key = {"X-Unique": f"w{turn}"} if class_name == "submit-time" else {}
        for front, again in ((first, {}), (other, {"X-Again": "1"})):
            fields = request_fields(class_name, **key, **again)
            outcomes.append((key.get("X-Unique"), fields["X-Job-Id"], await rig.ask(front, class_name, fields=fields)))

    async with asyncio.TaskGroup() as tasks:
        for turn in range(count):
            tasks.create_task(request(turn))
            await asyncio.sleep(each_s)
    ran = {run["rid"] for run in rig.runs()}
    assert len(outcomes) == 2 * count and len(ran) == len(rig.runs())
    assert {reply.status for _, _, reply in outcomes} >= {200, 429}
    for key in {key for key, _, _ in outcomes if key}:
        tries = [(rid, reply) for known, rid, reply in outcomes if known == key]
        assert sum(rid in ran for rid, _ in tries) <= 1
        assert len({reply.body for _, reply in tries if reply.status == 200}) <= 1
    assert not any(rid in ran for _, rid, reply in outcomes if reply.status in (429, 503))
