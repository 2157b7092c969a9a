"""New settings in a running node: classes are added and dropped under load, and an invalid file changes nothing."""

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
def harness(harness):
    harness.pool.plan = dict.fromkeys(("race-results", "submit-time", "submit-time-next"), 0)
    return harness


def settings_with(*names):
    """Settings with these classes; each is a copy of the class that its name begins with."""
    settings = copy.deepcopy(SETTINGS)
    templates = {kind["name"]: kind for kind in settings["classes"]}
    settings["classes"] = [{**templates[name.removesuffix("-next")], "name": name} for name in names]
    settings["familyInfo"] |= {"callsByClass": [True] * len(names), "classSkipWorth": [0.0] * len(names)}
    return settings


async def reload(harness, settings, accepted=True, twice=False):
    """Have the node read these settings; returns once it has counted that."""
    harness.settings = settings
    before = await harness.counters()
    harness.configure()
    for _ in range(1 + twice):
        harness.process.send_signal(signal.SIGHUP)
    name = "reload.taken" if accepted else "reload.unreadable"
    while (await harness.counters())[name] == before[name]:
        pass


async def test_an_added_class_is_accepted_and_a_dropped_one_ends_cleanly(harness):
    assert (await harness.ask("http", "submit-time-next", fields=request_fields())).status == 404
    harness.pool.plan.pop("submit-time")
    open_caller, fields = await harness.connect("http"), request_fields(**{"X-Unique": "k1"})
    open_caller.send(REQUEST_BYTES["http"]("submit-time", b"1", fields))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    await reload(harness, settings_with("race-results", "submit-time-next"))
    for front in REQUEST_BYTES:
        assert (await harness.ask(front, "submit-time-next", fields=request_fields())).status == 200
    harness.pool.finish(fields["X-Job-Id"])  # the open request goes on
    first = await open_caller.reply()
    assert first.status == 200
    harness.pool.plan["submit-time"] = 0
    # A dropped class is still accepted for a while, as callers learn of it late.
    assert (await harness.ask("http", fields=request_fields(**{"X-Unique": "k2"}))).status == 200
    await asyncio.sleep(2.6)
    refused = await harness.ask("http", fields=request_fields(**{"X-Unique": "k3"}))
    assert refused.status == 429 and int(refused.headers["x-wait-ms"]) > 0
    repeat = await harness.ask("http", body=b"1", fields=request_fields(**{"X-Unique": "k1", "X-Again": "1"}))
    assert (repeat.status, repeat.body) == (200, first.body)  # its window has not passed
    await reload(harness, settings_with("race-results", "submit-time"))  # and added again
    assert (await harness.ask("http", fields=request_fields(**{"X-Unique": "k3"}))).status == 200
    repeat = await harness.ask("http", body=b"1", fields=request_fields(**{"X-Unique": "k1", "X-Again": "1"}))
    assert (repeat.status, repeat.body) == (200, first.body)
    assert len([run for run in harness.pool.spawn_commands() if run["route"] == "submit-time"]) == 3


@pytest.mark.parametrize(
    "corrupt",
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
async def test_an_invalid_file_changes_no_address_and_no_class(harness, corrupt):
    harness.settings = settings_with("race-results", "submit-time-next")
    harness.configure()
    text = harness.config.read_text().replace(f":{harness.pool.port}", ":9").replace(f":{harness.vault.port}", ":9")
    assert corrupt(text) != text
    harness.config.write_text(corrupt(text))
    harness.process.send_signal(signal.SIGHUP)
    line = await asyncio.wait_for(harness.process.stderr.readline(), 10)
    assert line.startswith(b"flintshift: the configuration stays: ")
    for front in REQUEST_BYTES:
        assert (await harness.ask(front)).status == 200
        assert (await harness.ask(front, "submit-time-next", fields=request_fields())).status == 404
    counters = await harness.counters()
    assert counters["reload.unreadable"] == 1 and counters["pool.links_lost"] == 0


async def test_two_changes_at_once_and_one_during_a_drain_lose_no_request(harness):
    harness.pool.plan = {}
    callers = [await harness.connect("http") for _ in range(4)]
    for caller in callers[:2]:
        caller.send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn", 2)
    await reload(harness, settings_with("race-results", "submit-time-next"), twice=True)
    await harness.leave()
    await reload(harness, settings_with("race-results"))
    for run in harness.pool.spawn_commands():
        harness.pool.finish(run["rid"])
    for caller in callers[:2]:
        assert (await caller.reply()).status == 200
    assert await asyncio.wait_for(harness.process.wait(), 10) == 0


async def test_a_setting_that_cannot_change_is_reported_and_the_rest_is_applied(harness):
    harness.settings = settings_with("race-results", "submit-time-next")
    harness.configure()
    harness.config.write_text(harness.config.read_text().replace('"memory_mb": 192', '"memory_mb": 64'))
    harness.process.send_signal(signal.SIGHUP)
    line = await asyncio.wait_for(harness.process.stderr.readline(), 10)
    assert line.startswith(b"flintshift: limits stays as it was at the start")
    assert (await harness.ask("http", "submit-time-next", fields=request_fields())).status == 200


def test_new_settings_apply_to_new_requests_and_earlier_ones_to_open_requests(make_server):
    server = make_server(cores=8)
    earlier, _ = server.arrive("look")
    faster = api.RequestClass("look", 300.0, 390.0, 1.0, api.Effect.SAFE)
    new = api.RequestClass("glance", 500.0, 900.0, 1.0, api.Effect.SAFE)
    old = server.control.settings
    server.step(api.SettingsChanged(api.Settings([faster, new], 8, 10_000.0, 4.0, 5.0, 500.0, [api.Tenant("t", 5.0)])))
    added, actions = server.arrive("glance", tenant="t")
    assert api.Run(added) in actions
    fast, _ = server.arrive("look")
    failed = [action.request for action in server.tick(400.0) if isinstance(action, api.Fail)]
    assert failed == [fast] and earlier not in failed  # 300 ms against 3 s
    assert server.control.run_ms.keys() == {"look", "glance"}  # `buy` has no open request and is forgotten
    server.step(api.SettingsChanged(old))
    assert server.control.run_ms.keys() == {"look", "buy", "pay", "list", "glance"}
    server.end_run(added)  # a run whose class was dropped meanwhile


def test_a_small_share_is_respected_without_lasting_effect_and_learned_limits_carry_over(make_server):
    server = make_server(cores=8, memory_kb=1e6)
    for _ in range(80):  # the limit rises under a load that the cores can carry
        server.fill()
        server.tick(run_queue=4.0, busy=0.5)
    successor, learned = make_server(cores=8, memory_kb=1e6), server.control.learned_estimates()
    assert learned.run_limit > 1.3 * successor.control.run_limit
    full_settings = successor.control.settings
    successor.step(api.SettingsChanged(replace(full_settings, concurrency_share=0.1)))  # of 40
    successor.step(learned)
    assert len(successor.fill()) == 4
    successor.tick(run_queue=4.0, busy=0.5)
    successor.step(api.SettingsChanged(full_settings))
    assert 4 + len(successor.fill()) >= math.floor(learned.run_limit)
