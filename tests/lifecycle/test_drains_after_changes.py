"""A drain soon after new settings answers all that was read before the kill that these settings allow."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest
from standins import REQUEST_BYTES, request_fields
from test_drains import ServingNode, balanced
from test_signals import site, start_node  # noqa: F401

from flintshift.lab.termination import Termination
from flintshift.lifecycle.drain import KILL_AFTER_DEADLINE_MS

pytestmark = pytest.mark.anyio

SHORT_MS, LONG_MS = 1000.0, 3000.0
ANSWERED = {200, 429, 500, 503}


def with_deadlines(text: str, **deadlines_ms: float) -> str:
    """The configuration with these classes and their deadlines."""
    document = json.loads(text)
    settings = document["settings"]
    settings["classes"] = [
        {"name": name.replace("_", "-"), "onTimeMs": 500.0, "deadlineMs": deadline_ms, "worth": 1.0, "effect": "safe"}
        for name, deadline_ms in deadlines_ms.items()
    ]
    settings["familyInfo"] |= {
        "callsByClass": [False] * len(deadlines_ms),
        "classSkipWorth": [0.0] * len(deadlines_ms),
        "nCores": 8,  # runs that do not end are no sign of an unhealthy machine
    }
    document["stop_ms"] = LONG_MS + KILL_AFTER_DEADLINE_MS
    return json.dumps(document)


CHANGES = {  # the deadlines before and after, and the classes with an open request whose run does not end
    "a class with the longest deadline is dropped": (
        {"race_results": SHORT_MS, "standings": LONG_MS},
        {"race_results": SHORT_MS},
        ("race-results", "standings"),
    ),
    "the longest deadline is shortened": (
        {"race_results": SHORT_MS, "standings": LONG_MS},
        {"race_results": SHORT_MS, "standings": SHORT_MS},
        ("race-results", "standings"),
    ),
    "a class with a longer deadline is added": (
        {"race_results": SHORT_MS},
        {"race_results": SHORT_MS, "standings": LONG_MS},
        ("race-results",),
    ),
}


@pytest.mark.parametrize("open_for_s", [0.0, 0.5])
@pytest.mark.parametrize(("before", "after", "open_classes"), CHANGES.values(), ids=CHANGES.keys())
async def test_a_drain_after_a_change_of_deadlines_ends_before_the_kill(site, before, after, open_classes, open_for_s):  # noqa: F811
    """Guards against a drain that is planned by a dropped class's deadline, and cut by the kill."""
    config, text, peers = site
    config.write_text(with_deadlines(text, **before))
    process = await start_node(config)
    await peers[2].log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    node, callers = ServingNode(process, text, peers), []
    for class_name in open_classes:
        caller, fields = await node.connect(), request_fields(class_name)
        caller.send(REQUEST_BYTES["http"](class_name, b"", fields))
        await node.pool.log.wait_for(lambda entry, rid=fields["X-Job-Id"]: entry.get("rid") == rid)
        callers.append(caller)
    termination = Termination(process, max(after.values()) + KILL_AFTER_DEADLINE_MS)
    await termination.prepare()
    config.write_text(with_deadlines(text, **after))
    process.send_signal(signal.SIGHUP)
    await asyncio.sleep(open_for_s)
    termination.send_notice()
    for caller in callers:
        assert (await asyncio.wait_for(caller.reply(), 5)).status in ANSWERED
    departure = await termination.wait_for_departure()
    assert departure.left_ms is not None, departure
    assert balanced(await node.counters_at_exit())
