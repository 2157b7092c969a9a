"""The program as a process, with callers on both fronts: one test for each rule."""

from __future__ import annotations

import asyncio
import base64
import json
import time

import pytest
from standins import REQUEST_BYTES, request_fields

pytestmark = pytest.mark.anyio


FRONTS = list(REQUEST_BYTES)


def finish_runs_at_once(harness):
    """Have the worker pool end each run without delay."""
    harness.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)


@pytest.mark.parametrize("front", FRONTS)
async def test_a_request_is_served_with_its_runs_result_and_its_body_is_unchanged(harness, front):
    finish_runs_at_once(harness)
    body, fields = bytes(range(256)) * 8, request_fields()
    reply = await harness.ask(front, body=body, fields=fields)
    assert reply.status == 200 and reply.body.endswith(f"result of {fields['X-Job-Id']}\n".encode())
    run = harness.runs()[0]
    assert (base64.b64decode(run["b64"]) if front == "http" else run["body"]) == body


@pytest.mark.parametrize("front", FRONTS)
async def test_an_answer_arrives_by_the_deadline_though_the_run_does_not_end(harness, front):
    harness.apps.took_ms = 60_000
    began_s = time.time()
    reply = await harness.ask(front, "race-results")
    assert reply.status == 500 and time.time() - began_s <= 1.5 + 0.08
    assert (await harness.ask(front, path="/ping", method="GET")).status == 200


@pytest.mark.parametrize("front", FRONTS)
async def test_a_rejected_request_gets_a_retry_time_at_once_and_never_runs(harness, front):
    harness.apps.took_ms = 60_000  # no run ends, so requests after the first ones can't reach their on-time target
    callers = [await harness.connect(front) for _ in range(40)]
    sent = [request_fields("race-results") for _ in callers]
    for caller, fields in zip(callers, sent, strict=True):
        caller.send(REQUEST_BYTES[front]("race-results", b"", fields))
    began_s, answers = time.time(), {}

    async def answered(caller, fields):
        answers[fields["X-Job-Id"]] = await caller.reply(), time.time() - began_s

    await asyncio.gather(*map(answered, callers, sent))
    refused = {rid: answer for rid, answer in answers.items() if answer[0].status == 429}
    assert refused and all(int(reply.headers["x-wait-ms"]) > 0 for reply, _ in refused.values())
    assert min(after_s for _, after_s in refused.values()) < 0.75  # long before the deadline
    assert not refused.keys() & {run["rid"] for run in harness.runs()}


@pytest.mark.parametrize(("first", "second"), [("http", "uwsgi"), ("uwsgi", "http"), ("http", "http")])
async def test_a_repeated_submit_time_runs_once_over_either_protocol(harness, first, second):
    finish_runs_at_once(harness)
    original = await harness.ask(first, fields=request_fields(**{"X-Unique": "k1"}))
    again = await harness.ask(second, fields=request_fields(**{"X-Unique": "k1", "X-Again": "1"}))
    assert original.status == again.status == 200 and original.body == again.body
    assert len(harness.runs()) == 1
    assert (await harness.ask(second, fields=request_fields(**{"X-Unique": "k2"}))).body != original.body
    assert len(harness.runs()) == 2


async def test_a_repeat_over_uwsgi_waits_for_the_run_of_its_first_try_over_http(harness):
    first, second = await harness.connect("http"), await harness.connect("uwsgi")
    fields = request_fields(**{"X-Unique": "k1"})
    first.send(REQUEST_BYTES["http"]("submit-time", b"1", fields))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    first.writer.transport.abort()  # its caller disconnects: the run goes on
    second.send(REQUEST_BYTES["uwsgi"]("submit-time", b"1", request_fields(**{"X-Unique": "k1"})))
    while (await harness.counters())["repeats"] < 1:
        pass
    harness.pool.finish(fields["X-Job-Id"])
    assert (await second.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    assert len(harness.runs()) == 1


async def test_a_failed_write_is_neither_run_again_nor_refused(harness):
    harness.pool.plan = {"submit-time": ("finished", {"status": "fault"})}
    for front in FRONTS:
        assert (await harness.ask(front, fields=request_fields(**{"X-Unique": "k1"}))).status == 500
    assert len(harness.runs()) == 1


@pytest.mark.parametrize("front", FRONTS)
async def test_a_drain_answers_all_requests_and_runs_none_past_the_grace(harness, front):
    running, truncated, late = await harness.connect("http"), await harness.connect(front), await harness.connect(front)
    fields = request_fields("race-results")
    running.send(REQUEST_BYTES["http"]("race-results", b"", fields))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    truncated.send(REQUEST_BYTES[front]("submit-time", b"12:01.5", request_fields())[:-3])  # the rest is never sent
    late_fields = {"X-Door-Time": str(int(time.time() * 1000) + 2000)}
    late_request = REQUEST_BYTES[front]("submit-time", b"12:01.5", request_fields(**late_fields))
    late.send(late_request[:40])
    await harness.leave()
    late.send(late_request[40:])  # half read at the notice; by its arrival time it is past the grace period
    refused = await late.reply()
    assert refused.status == 503 and len(harness.runs()) == 1
    harness.pool.finish(fields["X-Job-Id"])
    assert (await running.reply()).status == 200
    assert (await truncated.reply()).status == 503 and await truncated.is_closed()
    assert await asyncio.wait_for(harness.process.wait(), 10) == 0
    assert json.loads((await harness.process.stderr.read()).splitlines()[-1])["counters"]["answered.served"] == 1
    assert len(harness.runs()) == 1
    records = [count for kind, count in harness.dns.log.entries if kind == "update"]
    assert records[0] == 8 and records[-1] == 4  # the app server's own four; before the node left, the node's too


@pytest.mark.parametrize("front", FRONTS)
@pytest.mark.parametrize("changes", [{"body": b"12:09.9"}, {"fields": {"X-Team": "sur-pacers"}}])
async def test_a_key_used_by_another_request_is_a_conflict(harness, front, changes):
    finish_runs_at_once(harness)
    assert (await harness.ask("http", fields=request_fields(**{"X-Unique": "k1"}))).status == 200
    fields = request_fields(**{"X-Unique": "k1", **changes.get("fields", {})})
    assert (await harness.ask(front, body=changes.get("body", b"12:01.5"), fields=fields)).status == 409
    assert len(harness.runs()) == 1


async def test_a_run_that_no_app_server_accepts_is_refused_and_frees_its_key(harness):
    await harness.apps.stop()
    finish_runs_at_once(harness)
    assert (await harness.ask("uwsgi", fields=request_fields(**{"X-Unique": "k1"}))).status == 429
    assert (await harness.ask("http", fields=request_fields(**{"X-Unique": "k1"}))).status == 200


async def test_both_protocols_at_150_percent_load_lose_no_answer_and_run_no_write_twice(harness):
    harness.apps.took_ms, harness.pool.plan = 30, {"race-results": 30, "submit-time": 30}
    each_s, count = 0.03 / 2 / 1.5, 150  # two cores, 30 ms a run: one and a half times their capacity
    outcomes = []

    async def request(turn):
        first, other = FRONTS if turn % 2 else FRONTS[::-1]
        class_name = "submit-time" if turn % 3 else "race-results"
        key = {"X-Unique": f"w{turn}"} if class_name == "submit-time" else {}
        for front, again in ((first, {}), (other, {"X-Again": "1"})):
            fields = request_fields(class_name, **key, **again)
            outcomes.append(
                (key.get("X-Unique"), fields["X-Job-Id"], await harness.ask(front, class_name, fields=fields))
            )

    async with asyncio.TaskGroup() as tasks:
        for turn in range(count):
            tasks.create_task(request(turn))
            await asyncio.sleep(each_s)
    ran = {run["rid"] for run in harness.runs()}
    assert len(outcomes) == 2 * count and len(ran) == len(harness.runs())
    assert {reply.status for _, _, reply in outcomes} >= {200, 429}
    for key in {key for key, _, _ in outcomes if key}:
        tries = [(rid, reply) for known, rid, reply in outcomes if known == key]
        assert sum(rid in ran for rid, _ in tries) <= 1
        assert len({reply.body for _, reply in tries if reply.status == 200}) <= 1
    assert not any(rid in ran for _, rid, reply in outcomes if reply.status in (429, 503))
