"""Runs over links to the worker pool that break, by the whole program."""

from __future__ import annotations

from collections import Counter

import pytest
from standins import REQUEST_BYTES, request_fields

pytestmark = pytest.mark.anyio


def finishing(rig):
    rig.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)


JUNK = [
    b'{"t":"finished","no":1,"rid":"x","status":"odd"}',
    b"[" * 9000,
    b"7",
    b"\xff",
    b'{"t":"tea"}',
    b'{"t":"blocked","rid":"x","b64":""}',
    b"x" * 70_000,
]


async def test_runs_outlive_the_link_to_the_pool_and_notices_are_taken_once(rig):
    finishing(rig)
    await rig.ask("http")
    rig.pool.plan = {}
    fields, caller = request_fields(), await rig.connect("http")
    caller.send(REQUEST_BYTES["http"]("submit-time", b"1", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 2)
    rig.pool.cut()
    rig.pool.finish(fields["X-Job-Id"])  # told to nobody: it comes after the next bind
    rig.pool.notices.append({**rig.pool.notices[0], "no": 1})  # and one that was told before
    assert (await caller.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    binds = await rig.pool.log.until(lambda entry: entry["t"] == "bind", 2)
    assert [bind["no"] for bind in binds] == [0, 1] and len(rig.runs()) == 2


async def test_what_may_never_have_reached_the_pool_is_sent_again_where_that_is_safe(rig):
    # A spawn does nothing where it runs and is `late` where it ran, so both classes have theirs again.
    tries = {"race-results": request_fields("race-results"), "submit-time": request_fields()}
    callers = [await rig.connect("http") for _ in tries]
    for caller, (class_name, fields) in zip(callers, tries.items(), strict=True):
        caller.send(REQUEST_BYTES["http"](class_name, b"", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 2)
    rig.pool.cut()
    again = await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 4)
    assert Counter(run["rid"] for run in again) == {fields["X-Job-Id"]: 2 for fields in tries.values()}
    # A pass names its call; a reply might meet the run's next one. So what may go on without goes on without.
    rig.pool.deaf = True
    for fields in tries.values():
        rig.pool.tell(fields["X-Job-Id"], "blocked", {"b64": ""})
    await rig.pool.log.until(lambda entry: entry["t"] == "supply", 2)
    rig.pool.cut()
    await rig.pool.log.until(lambda entry: entry["t"] == "pass")
    rig.pool.deaf = False
    rig.pool.cut()  # and the pass itself may be lost
    await rig.pool.log.until(lambda entry: entry["t"] == "pass", 2)
    assert (await callers[0].reply()).status == 200
    late = {"status": "late", "time_ms": 1.0}
    rig.pool.tell(tries["race-results"]["X-Job-Id"], "finished", late)  # to a spawn that crossed the end
    assert (await callers[1].reply()).status == 500
    sent = [entry for entry in rig.pool.log.entries if entry["t"] in ("supply", "pass")]
    assert Counter(entry["t"] for entry in sent) == {"supply": 2, "pass": 2}
    assert {entry["no"] for entry in sent if entry["t"] == "pass"} == {1}


async def test_junk_from_peers_is_counted_and_the_link_made_anew(rig):
    for count, junk in enumerate(JUNK, 2):
        for writer in rig.pool.links:
            writer.write(junk + b"\n")
        await rig.pool.log.until(lambda entry: entry["t"] == "bind", count)
    finishing(rig)
    rig.vault.reply = b"%b what\r\n"
    rig.pool.plan["race-results"] = ("blocked", {"b64": "eA=="})
    assert (await rig.ask("http", "race-results")).status == 200  # the call is left out
    counters = await rig.counters()
    assert counters["pool.links_lost"] == len(JUNK)
    assert (counters["vault.junk"], counters["skipped"]) == (2, 1)  # called twice
