"""The fair queues in a node: wired where the operators' file enables them, and not imported elsewhere."""

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
from flintshift.lab.callers import http_request, read_reply, request_fields
from flintshift.lab.node_model import ModelNode, build_settings, retry_delays_ms, served_share
from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.standins import Pool
from flintshift.wire.unix import short_socket_path

pytestmark = pytest.mark.anyio


async def request_status(cluster, number, club="sur-pacers"):
    reader, writer = await asyncio.open_connection("127.0.0.1", cluster.ports["http"])
    writer.write(http_request("standings", b"1", request_fields(f"{number:016x}", club, "standings", number)))
    status, *_ = await read_reply(reader)
    writer.close()
    return status


async def test_door_show_reports_clubs_also_after_new_settings_and_an_upgrade(tmp_path):
    path = tmp_path / ("deep" * 20) / "door.sock"  # longer than a socket's address may be
    path.parent.mkdir()
    with short_socket_path(path) as name:
        socket.socket(socket.AF_UNIX, socket.SOCK_STREAM).bind(name)  # a killed process leaves such a socket

    async def run_show(*options):
        return await asyncio.to_thread(CliRunner().invoke, main, ["door", "show", str(path), *options])

    async def clubs_when(condition):
        async with asyncio.timeout(5):
            while (result := await run_show("--json")).exit_code or not condition(json.loads(result.output)["clubs"]):
                pass
        return {club["club"]: club for club in json.loads(result.output)["clubs"]}

    unreachable = await run_show()
    assert unreachable.exit_code == 1 and "refused" in unreachable.output and "door.socket" in unreachable.output
    operators_file = f"door: {{enabled: true, socket: {path.parent.name}/door.sock}}\n"
    async with SingleNodeCluster(
        tmp_path, operators_file, pool=Pool(cores=2, took_ms={"standings": 10.0}), control=True
    ) as cluster:
        assert [await request_status(cluster, number) for number in range(1, 6)] == [200] * 5
        silent_clients = [socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) for _ in range(3)]
        with short_socket_path(path) as name:
            for client in silent_clients:  # they never read
                client.connect(name)
        row = (await clubs_when(bool))["sur-pacers"]
        assert (row["cores"], row["served_ms"], row["waiting"], row["callers"]) == (0.5, 50.0, 0, 5)
        header, line, tables = (await run_show()).output.splitlines()
        assert line.split()[:5] == ["sur-pacers", "0.50", "0.1", "0", "5"] and header.endswith("promised")
        assert "KiB" in tables
        config = json.loads(cluster.config.read_text())
        config["settings"]["tenants"].append({"name": "new-club", "quotaPerS": 240.0})
        cluster.config.write_text(json.dumps(config))
        cluster.process.send_signal(signal.SIGHUP)
        row = (await clubs_when(lambda rows: rows[0]["cores"] == 0.25))["sur-pacers"]
        assert row["served_ms"] == 50.0 and await request_status(cluster, 6, "new-club") == 200
        assert (await clubs_when(bool))["new-club"]["cores"] == 1.0
        assert await cluster.upgrade() == 0  # the successor finds the path in use and binds it a second later
        assert await clubs_when(lambda rows: not rows) == {}
        assert await cluster.terminate() == 0 and not path.exists()


@pytest.mark.parametrize(
    ("occupy", "cause"),
    [
        (lambda path: path.write_text("a ledger"), "Address already in use"),
        (lambda path: path.mkdir(), "in use"),
        (lambda path: socket.create_server(str(path), family=socket.AF_UNIX), "another process listens there"),
    ],
)
async def test_socket_path_in_use_is_reported_and_kept_and_does_not_affect_the_service(tmp_path, occupy, cause):
    occupant = occupy(tmp_path / "door.sock")
    async with SingleNodeCluster(tmp_path, "door: {enabled: true, socket: door.sock}\n") as cluster:
        await cluster.kill()
        process = await cluster.start(asyncio.subprocess.PIPE)
        line = await asyncio.wait_for(process.stderr.readline(), 5)
        assert cause.encode() in line and b"tried again" in line and await request_status(cluster, 1) == 200
    assert (tmp_path / "door.sock").exists()
    del occupant


def test_fair_queues_are_not_imported_unless_enabled():
    text = (
        "import sys, anyio\nfrom flintshift.lifecycle.config import embedded_config\n"
        "from flintshift.lifecycle.node import Node\n"
        "async def made(): assert Node(embedded_config(), embedded_config).fair_queueing is None\nanyio.run(made)\n"
        "print([name for name in sys.modules if ('door' in name or 'fair' in name) and name.startswith('flintshift')])"
    )
    assert subprocess.run([sys.executable, "-c", text], capture_output=True).stdout == b"[]\n"


def model_node(fair=True, **options):
    return ModelNode(build_settings({"a": 10.0, "b": 10.0}), fair, **options)


def send_burst(node, club, times):
    return [node.submit(club) for _ in range(times)]


def test_no_reservation_before_the_decisions_minimum_or_while_draining():
    node = model_node()
    # Each run fails: the decisions send callers away for the maximum time.
    node.decisions.controller.failure_share = 1.0
    waits = retry_delays_ms(send_burst(node, "a", 6))
    assert len(waits) >= 4 and set(waits) == {1000.0} and not node.counters["door.promised"]
    node.decisions.controller.failure_share = 0.0
    waits = retry_delays_ms(send_burst(node, "a", 60))
    assert len(waits) >= 10 and min(waits) < 200.0
    node.now_ms += 5000.0  # all reservations have expired
    node.decisions.serving_status.draining = True  # the decisions aren't notified of it yet
    reserved = node.counters["door.promised"]
    assert len(retry_delays_ms(send_burst(node, "a", 40))) >= 10 and node.counters["door.promised"] == reserved > 0


@pytest.mark.parametrize("fair", [True, False])
def test_club_with_burst_does_not_displace_the_other_club(fair):
    node = model_node(fair)
    send_burst(node, "a", 40)
    other = send_burst(node, "b", 4)
    started = len(node.runs)
    for run in range(started + 8):
        node.now_ms += 20.0
        node.finish_run(node.runs[run])
    started_of_other = sum(attempt in node.runs[: started + 8] for attempt in other)
    assert started_of_other == (3 if fair else 0)  # they alternate; without fair queues the oldest go first: the burst
    if fair:
        assert len(node.fair.shares.tracked) == node.decisions.open


def test_repeat_that_waits_for_another_tries_run_is_not_queued():
    node = model_node()
    first = node.submit(class_name="pay", request_key="k")
    repeat = node.submit(class_name="pay", request_key="k", marked_repeat=True)
    assert len(node.runs) == 1 and list(node.fair.shares.tracked) == [first.id]
    node.finish_run(first)
    assert repeat.answer == first.answer == Answer(Verdict.SERVED, b"done") and not node.fair.shares.tracked


def play_overload(node, times, before=lambda node: None):
    """Play one second with both clubs at 0.4 of the cores each, then three with "a" at ``times`` that.

    Returns the served share of each club.
    """
    base_rates = {"a": 40, "b": 40}  # per second, of runs that take 20 ms on two cores
    arrivals = {"a": [], "b": []}
    for tick in range(400):
        if tick == 100:
            before(node)
        for club, per_s in base_rates.items():
            rate = per_s * (times if club == "a" and tick >= 100 else 1)
            count = int((tick + 1) * rate / 100) - int(tick * rate / 100)
            arrivals[club] += send_burst(node, club, count)
        node.advance(10.0)
    node.advance(6000.0)
    return {club: served_share(attempts) for club, attempts in arrivals.items()}


RUN_MS = {"look": 20.0}
CHANGED_SETTINGS = build_settings({"a": 10.0, "b": 10.0, "c": 5.0})


@pytest.mark.parametrize(
    "before",
    [
        lambda node: None,
        lambda node: node.apply_settings(CHANGED_SETTINGS),
        # The overloading club is dropped: clubs without a weight share the smallest one.
        lambda node: node.apply_settings(build_settings({"b": 10.0})),
        lambda node: setattr(node, "now_ms", node.now_ms + 700.0),  # the clock jumps, or the process was paused
    ],
    ids=["no change", "new settings", "club dropped", "pause"],
)
@pytest.mark.parametrize("times", [5.9, 20])
def test_other_club_keeps_its_service_in_overload_that_starts_with(before, times):
    if times == 20:
        # Without fair queues, the overload reduces the other club's service.
        assert play_overload(model_node(False, took_ms=RUN_MS), times)["b"] < 0.5
    served_shares = play_overload(model_node(took_ms=RUN_MS), times, before)
    assert served_shares["b"] >= 0.95 and served_shares["a"] > 0.1


def test_other_club_keeps_its_service_in_overload_at_cold_start():
    cold = build_settings({"a": 10.0, "b": 10.0}, cold=True, cold_from=0.5, cold_ms=5000.0)
    assert play_overload(ModelNode(cold, took_ms=RUN_MS), 20)["b"] >= 0.95


def test_overload_is_logged_with_its_club_and_rejections():
    node = model_node(took_ms=RUN_MS)
    play_overload(node, 20)
    (level, event, fields), (*_, end_event, end_fields) = node.log
    assert (level, event, fields["club"], end_event) == ("warning", "door.surge_began", "a", "door.surge_ended")
    assert fields["times_its_share"] > 5 and end_fields["turned_away"] > 500 and node.counters["door.surges"] == 1
