"""New settings in a running node: classes come and go under load, and a file that can't be used changes nothing."""

from __future__ import annotations

import asyncio
import copy
import json
import math
import signal
from dataclasses import replace

import pytest
from standins import REQUEST_BYTES, SETTINGS, request_fields

from flintshift import interface as api

pytestmark = pytest.mark.anyio


@pytest.fixture
def rig(rig):
    rig.pool.plan = dict.fromkeys(("race-results", "submit-time", "submit-time-next"), 0)
    return rig


def named(*names):
    """Settings with these classes; each has the form of the one that its name begins with."""
    settings = copy.deepcopy(SETTINGS)
    forms = {kind["name"]: kind for kind in settings["classes"]}
    settings["classes"] = [{**forms[name.removesuffix("-next")], "name": name} for name in names]
    settings["familyInfo"] |= {"callsByClass": [True] * len(names), "classSkipWorth": [0.0] * len(names)}
    return settings


async def reload(rig, settings, taken=True, twice=False):
    rig.settings = settings
    before = await rig.counters()
    rig.configure()
    for _ in range(1 + twice):
        rig.process.send_signal(signal.SIGHUP)
    name = "reload.taken" if taken else "reload.unreadable"
    while (await rig.counters())[name] == before[name]:
        pass


async def test_a_class_that_is_added_is_taken_and_one_that_is_dropped_ends_cleanly(rig):
    assert (await rig.ask("http", "submit-time-next", fields=request_fields())).status == 404
    rig.pool.plan.pop("submit-time")
    held, fields = await rig.connect("http"), request_fields(**{"X-Unique": "k1"})
    held.send(REQUEST_BYTES["http"]("submit-time", b"1", fields))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    await reload(rig, named("race-results", "submit-time-next"))
    for front in REQUEST_BYTES:
        assert (await rig.ask(front, "submit-time-next", fields=request_fields())).status == 200
    rig.pool.finish(fields["X-Job-Id"])  # what is open goes on
    first = await held.reply()
    assert first.status == 200
    rig.pool.plan["submit-time"] = 0
    assert (await rig.ask("http", fields=request_fields(**{"X-Unique": "k2"}))).status == 200  # callers hear of it late
    await asyncio.sleep(2.6)
    refused = await rig.ask("http", fields=request_fields(**{"X-Unique": "k3"}))
    assert refused.status == 429 and int(refused.headers["x-wait-ms"]) > 0
    again = await rig.ask("http", body=b"1", fields=request_fields(**{"X-Unique": "k1", "X-Again": "1"}))
    assert (again.status, again.body) == (200, first.body)  # its window is not over
    await reload(rig, named("race-results", "submit-time"))  # and added again
    assert (await rig.ask("http", fields=request_fields(**{"X-Unique": "k3"}))).status == 200
    again = await rig.ask("http", body=b"1", fields=request_fields(**{"X-Unique": "k1", "X-Again": "1"}))
    assert (again.status, again.body) == (200, first.body)
    assert len([run for run in rig.pool.spawns() if run["route"] == "submit-time"]) == 3


@pytest.mark.parametrize(
    "spoil",
    [
        lambda text: "",
        lambda text: text[:-40],
        lambda text: "[]",
        lambda text: "null",
        lambda text: text.replace('"deadlineMs": 1500.0', '"deadlineMs": -5', 1),
        lambda text: text.replace('"deadlineMs": 1500.0', '"deadlineMs": NaN', 1),
        lambda text: text.replace('"deadlineMs": 1500.0', '"deadlineMs": "1500"', 1),
        lambda text: text.replace('"deadlineMs": 1500.0', '"deadlineMs": true', 1),
        lambda text: text.replace('"idleMs": 30000.0, ', "", 1),
        lambda text: json.dumps({key: value for key, value in json.loads(text).items() if key != "settings"}),
    ],
)
async def test_a_file_that_cannot_be_used_moves_no_address_and_changes_no_class(rig, spoil):
    rig.settings = named("race-results", "submit-time-next")
    rig.configure()
    text = rig.config.read_text().replace(f":{rig.pool.port}", ":9").replace(f":{rig.vault.port}", ":9")
    assert spoil(text) != text
    rig.config.write_text(spoil(text))
    rig.process.send_signal(signal.SIGHUP)
    line = await asyncio.wait_for(rig.process.stderr.readline(), 10)
    assert line.startswith(b"flintshift: the configuration stays: ")
    for front in REQUEST_BYTES:
        assert (await rig.ask(front)).status == 200
        assert (await rig.ask(front, "submit-time-next", fields=request_fields())).status == 404
    counters = await rig.counters()
    assert counters["reload.unreadable"] == 1 and counters["pool.links_lost"] == 0


async def test_changes_twice_at_once_and_while_the_node_leaves_end_nothing(rig):
    rig.pool.plan = {}
    callers = [await rig.connect("http") for _ in range(4)]
    for caller in callers[:2]:
        caller.send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn", 2)
    await reload(rig, named("race-results", "submit-time-next"), twice=True)
    await rig.leave()
    await reload(rig, named("race-results"))
    for run in rig.pool.spawns():
        rig.pool.finish(run["rid"])
    for caller in callers[:2]:
        assert (await caller.reply()).status == 200
    assert await asyncio.wait_for(rig.process.wait(), 10) == 0


async def test_what_cannot_change_in_a_running_node_is_named_and_the_rest_is_taken(rig):
    rig.settings = named("race-results", "submit-time-next")
    rig.configure()
    rig.config.write_text(rig.config.read_text().replace('"memory_mb": 192', '"memory_mb": 64'))
    rig.process.send_signal(signal.SIGHUP)
    line = await asyncio.wait_for(rig.process.stderr.readline(), 10)
    assert line.startswith(b"flintshift: limits stays as it was at the start")
    assert (await rig.ask("http", "submit-time-next", fields=request_fields())).status == 200


def test_the_module_goes_on_by_new_settings_and_open_work_by_those_it_came_with(make_server):
    server = make_server(cores=8)
    kept, _ = server.arrive("look")
    faster = api.RequestClass("look", 300.0, 390.0, 1.0, api.Effect.SAFE)
    new = api.RequestClass("glance", 500.0, 900.0, 1.0, api.Effect.SAFE)
    old = server.control.set
    server.step(api.Changed(api.Settings([faster, new], 8, 10_000.0, 4.0, 5.0, 500.0, [api.Tenant("t", 5.0)])))
    added, actions = server.arrive("glance", tenant="t")
    assert api.Run(added) in actions
    fast, _ = server.arrive("look")
    failed = [action.request for action in server.tick(400.0) if isinstance(action, api.Fail)]
    assert failed == [fast] and kept not in failed  # 300 ms against 3 s
    assert server.control.run_ms.keys() == {"look", "glance"}  # and of `buy`, of which nothing is open, nothing is kept
    server.step(api.Changed(old))
    assert server.control.run_ms.keys() == {"look", "buy", "pay", "list", "glance"}
    server.end_run(added)  # a run whose class was dropped meanwhile


def test_a_short_share_of_the_crowd_is_kept_to_and_leaves_no_mark_and_what_was_learned_goes_over(make_server):
    server = make_server(cores=8, memory_kb=1e6)
    for _ in range(80):  # the limit rises under load that the cores carry
        server.fill()
        server.tick(run_queue=4.0, busy=0.5)
    taught, older = make_server(cores=8, memory_kb=1e6), server.control.learned()
    assert older.limit > 1.3 * taught.control.limit
    full = taught.control.set
    taught.step(api.Changed(replace(full, crowd_share=0.1)))  # of 40
    taught.step(older)
    assert len(taught.fill()) == 4
    taught.tick(run_queue=4.0, busy=0.5)
    taught.step(api.Changed(full))
    assert 4 + len(taught.fill()) >= math.floor(older.limit)
