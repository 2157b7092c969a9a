"""The fair queues in the program: wired where the operators' file says so, and not even imported elsewhere."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys

import pytest
from click.testing import CliRunner

from flintshift.cli.main import main
from flintshift.core.attempts import Answer, Verdict
from flintshift.lab.callers import fields_of, http_request, reply
from flintshift.lab.model import ModelNode, served, settings_of, waits_ms
from flintshift.lab.peers import Pool
from flintshift.lab.rig import Rig
from flintshift.wire.unix import short_socket_path

pytestmark = pytest.mark.anyio


async def ask(rig, number, club="sur-pacers"):
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.ports["http"])
    writer.write(http_request("standings", b"1", fields_of(f"{number:016x}", club, "standings", number)))
    status, *_ = await reply(reader)
    writer.close()
    return status


async def test_door_show_tells_how_the_clubs_stand_after_new_settings_and_an_upgrade_too(tmp_path):
    path = tmp_path / ("deep" * 20) / "door.sock"  # longer than a socket's address may be
    path.parent.mkdir()
    with short_socket_path(path) as name:
        socket.socket(socket.AF_UNIX, socket.SOCK_STREAM).bind(name)  # as a process that was killed left it

    async def shown(*words):
        return await asyncio.to_thread(CliRunner().invoke, main, ["door", "show", str(path), *words])

    async def clubs(until):
        async with asyncio.timeout(5):
            while (found := await shown("--json")).exit_code or not until(json.loads(found.output)["clubs"]):
                pass
        return {one["club"]: one for one in json.loads(found.output)["clubs"]}

    refused = await shown()
    assert refused.exit_code == 1 and "refused" in refused.output and "door.socket" in refused.output
    file = f"door: {{enabled: true, socket: {path.parent.name}/door.sock}}\n"
    async with Rig(tmp_path, file, pool=Pool(cores=2, took_ms={"standings": 10.0}), control=True) as rig:
        assert [await ask(rig, number) for number in range(1, 6)] == [200] * 5
        stay = [socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) for _ in range(3)]
        with short_socket_path(path) as name:
            for one in stay:  # they never read
                one.connect(name)
        row = (await clubs(bool))["sur-pacers"]
        assert (row["cores"], row["served_ms"], row["waiting"], row["callers"]) == (0.5, 50.0, 0, 5)
        head, line, tables = (await shown()).output.splitlines()
        assert line.split()[:5] == ["sur-pacers", "0.50", "0.1", "0", "5"] and head.endswith("promised")
        assert "KiB" in tables
        told = json.loads(rig.config.read_text())
        told["settings"]["tenants"].append({"name": "new-club", "quotaPerS": 240.0})
        rig.config.write_text(json.dumps(told))
        rig.process.send_signal(signal.SIGHUP)
        row = (await clubs(lambda rows: rows[0]["cores"] == 0.25))["sur-pacers"]
        assert row["served_ms"] == 50.0 and await ask(rig, 6, "new-club") == 200
        assert (await clubs(bool))["new-club"]["cores"] == 1.0
        assert await rig.relieve() == 0  # the successor finds the path taken, and gets it a second later
        assert await clubs(lambda rows: not rows) == {}
        assert await rig.leave() == 0 and not path.exists()


@pytest.mark.parametrize(
    ("make", "cause"),
    [
        (lambda path: path.write_text("a ledger"), "Address already in use"),
        (lambda path: path.mkdir(), "in use"),
        (lambda path: socket.create_server(str(path), family=socket.AF_UNIX), "another process listens there"),
    ],
)
async def test_a_path_that_cannot_be_had_is_told_is_not_removed_and_costs_no_service(tmp_path, make, cause):
    kept = make(tmp_path / "door.sock")
    async with Rig(tmp_path, "door: {enabled: true, socket: door.sock}\n") as rig:
        await rig.kill()
        process = await rig.start(asyncio.subprocess.PIPE)
        line = await asyncio.wait_for(process.stderr.readline(), 5)
        assert cause.encode() in line and b"tried again" in line and await ask(rig, 1) == 200
    assert (tmp_path / "door.sock").exists()
    del kept


def test_without_it_the_door_is_not_imported():
    text = (
        "import sys, anyio\nfrom flintshift.lifecycle.config import embedded_config\n"
        "from flintshift.lifecycle.node import Node\n"
        "async def made(): assert Node(embedded_config(), embedded_config).fair_queueing is None\nanyio.run(made)\n"
        "print([name for name in sys.modules if ('door' in name or 'fair' in name) and name.startswith('flintshift')])"
    )
    assert subprocess.run([sys.executable, "-c", text], capture_output=True).stdout == b"[]\n"


def node_of(fair=True, **more):
    return ModelNode(settings_of({"a": 10.0, "b": 10.0}), fair, **more)


def flood(node, club, times):
    return [node.arrive(club) for _ in range(times)]


def test_no_time_is_promised_sooner_than_the_decisions_say_or_by_a_node_that_leaves():
    node = node_of()
    node.decisions.controller.failure_share = (
        1.0  # each run fails: the decisions want callers elsewhere for the longest time
    )
    waits = waits_ms(flood(node, "a", 6))
    assert len(waits) >= 4 and set(waits) == {1000.0} and not node.counters["door.promised"]
    node.decisions.controller.failure_share = 0.0
    waits = waits_ms(flood(node, "a", 60))
    assert len(waits) >= 10 and min(waits) < 200.0
    node.now += 5000.0  # no place is given away any more
    node.decisions.serving_status.draining = True  # the decisions have not heard of it yet
    promised = node.counters["door.promised"]
    assert len(waits_ms(flood(node, "a", 40))) >= 10 and node.counters["door.promised"] == promised > 0


@pytest.mark.parametrize("fair", [True, False])
def test_a_club_that_floods_the_decisions_does_not_take_the_other_clubs_place(fair):
    node = node_of(fair)
    flood(node, "a", 40)
    other = flood(node, "b", 4)
    begun = len(node.runs)
    for ended in range(begun + 8):
        node.now += 20.0
        node.end(node.runs[ended])
    taken = sum(one in node.runs[: begun + 8] for one in other)
    assert taken == (3 if fair else 0)  # by turns; without it the oldest go first, which is the flood
    if fair:
        assert len(node.fair.shares.open) == node.decisions.open


def test_a_repeat_that_waits_for_the_run_of_another_try_waits_for_no_core():
    node = node_of()
    first = node.arrive(class_name="pay", request_key="k")
    repeat = node.arrive(class_name="pay", request_key="k", marked_repeat=True)
    assert len(node.runs) == 1 and list(node.fair.shares.open) == [first.id]
    node.end(first)
    assert repeat.answer == first.answer == Answer(Verdict.SERVED, b"done") and not node.fair.shares.open


def surge(node, times, before=lambda node: None):
    """A second of both clubs at 0.4 of the cores each, then three with "a" at so many times that; served shares."""
    usual = {"a": 40, "b": 40}  # a second, of runs that take 20 ms on two cores
    asked = {"a": [], "b": []}
    for tick in range(400):
        if tick == 100:
            before(node)
        for club, per_s in usual.items():
            rate = per_s * (times if club == "a" and tick >= 100 else 1)
            count = int((tick + 1) * rate / 100) - int(tick * rate / 100)
            asked[club] += flood(node, club, count)
        node.advance(10.0)
    node.advance(6000.0)
    return {club: served(came) for club, came in asked.items()}


RUNS = {"look": 20.0}
CHANGED = settings_of({"a": 10.0, "b": 10.0, "c": 5.0})


@pytest.mark.parametrize(
    "before",
    [
        lambda node: None,
        lambda node: node.change(CHANGED),
        lambda node: node.change(
            settings_of({"b": 10.0})
        ),  # the club that surges is dropped, and shares the least part
        lambda node: setattr(node, "now", node.now + 700.0),  # the clock jumps, or the process was paused
    ],
    ids=["calm", "new settings", "its club is dropped", "a pause"],
)
@pytest.mark.parametrize("times", [5.9, 20])
def test_the_other_club_keeps_its_service_in_a_surge_that_begins_with(before, times):
    if times == 20:
        assert surge(node_of(False, took_ms=RUNS), times)["b"] < 0.5  # what the surge would cost it
    found = surge(node_of(took_ms=RUNS), times, before)
    assert found["b"] >= 0.95 and found["a"] > 0.1


def test_the_other_club_keeps_its_service_in_a_surge_at_a_cold_start():
    cold = settings_of({"a": 10.0, "b": 10.0}, cold=True, cold_from=0.5, cold_ms=5000.0)
    assert surge(ModelNode(cold, took_ms=RUNS), 20)["b"] >= 0.95


def test_a_surge_is_told_in_the_log_with_its_club_and_what_it_was_turned_away():
    node = node_of(took_ms=RUNS)
    surge(node, 20)
    (level, event, more), (*_, ended, cost) = node.log
    assert (level, event, more["club"], ended) == ("warning", "door.surge_began", "a", "door.surge_ended")
    assert more["times_its_share"] > 5 and cost["turned_away"] > 500 and node.counters["door.surges"] == 1
