"""Runs while links to the worker pool break, checked with the whole program."""

from __future__ import annotations

from collections import Counter

import pytest
from standins import REQUEST_BYTES, request_fields

pytestmark = pytest.mark.anyio


def finish_runs_at_once(harness):
    harness.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)


MALFORMED_LINES = [
    b'{"t":"finished","no":1,"rid":"x","status":"odd"}',
    b"[" * 9000,
    b"7",
    b"\xff",
    b'{"t":"tea"}',
    b'{"t":"blocked","rid":"x","b64":""}',
    b"x" * 70_000,
]


async def test_runs_survive_a_broken_link_and_each_notice_is_processed_once(harness):
    finish_runs_at_once(harness)
    await harness.ask("http")
    harness.pool.plan = {}
    fields, caller = request_fields(), await harness.connect("http")
    caller.send(REQUEST_BYTES["http"]("submit-time", b"1", fields))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn", 2)
    harness.pool.abort_links()
    harness.pool.finish(fields["X-Job-Id"])  # while no link is open: the notice is sent after the next bind
    harness.pool.notices.append({**harness.pool.notices[0], "no": 1})  # and one that was sent before
    assert (await caller.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    binds = await harness.pool.log.wait_for(lambda entry: entry["t"] == "bind", 2)
    assert [bind["no"] for bind in binds] == [0, 1] and len(harness.runs()) == 2


async def test_commands_that_may_be_lost_are_sent_again_if_that_is_safe(harness):
    # The pool ignores a spawn of a request that runs and answers `late` if it has run, so both classes are sent again.
    requests = {"race-results": request_fields("race-results"), "submit-time": request_fields()}
    callers = [await harness.connect("http") for _ in requests]
    for caller, (class_name, fields) in zip(callers, requests.items(), strict=True):
        caller.send(REQUEST_BYTES["http"](class_name, b"", fields))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn", 2)
    harness.pool.abort_links()
    spawns = await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn", 4)
    assert Counter(run["rid"] for run in spawns) == {fields["X-Job-Id"]: 2 for fields in requests.values()}
    # A pass gives the number of its call; a reply might reach the run's next call. So a run that may continue without
    # its reply does so.
    harness.pool.drop_replies = True
    for fields in requests.values():
        harness.pool.send_notice(fields["X-Job-Id"], "blocked", {"b64": ""})
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "supply", 2)
    harness.pool.abort_links()
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "pass")
    harness.pool.drop_replies = False
    harness.pool.abort_links()  # the pass itself may be lost too
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "pass", 2)
    assert (await callers[0].reply()).status == 200
    late_notice = {"status": "late", "time_ms": 1.0}
    # The answer to a spawn that crossed the end of the run.
    harness.pool.send_notice(requests["race-results"]["X-Job-Id"], "finished", late_notice)
    assert (await callers[1].reply()).status == 500
    resumed = [entry for entry in harness.pool.log.entries if entry["t"] in ("supply", "pass")]
    assert Counter(entry["t"] for entry in resumed) == {"supply": 2, "pass": 2}
    assert {entry["no"] for entry in resumed if entry["t"] == "pass"} == {1}


async def test_malformed_lines_are_counted_and_the_link_is_replaced(harness):
    for count, line in enumerate(MALFORMED_LINES, 2):
        for writer in harness.pool.links:
            writer.write(line + b"\n")
        await harness.pool.log.wait_for(lambda entry: entry["t"] == "bind", count)
    finish_runs_at_once(harness)
    harness.vault.reply = b"%b what\r\n"
    harness.pool.plan["race-results"] = ("blocked", {"b64": "eA=="})
    assert (await harness.ask("http", "race-results")).status == 200  # the run continues without the call
    counters = await harness.counters()
    assert counters["pool.links_lost"] == len(MALFORMED_LINES)
    assert (counters["vault.junk"], counters["skipped"]) == (2, 1)  # the call was made twice
