"""The control door: its calls and answers, what misuse of it costs, and the drain that it begins and ends."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner
from standins import REQUEST_BYTES, ROOT, Rig, request_fields

from flintshift.cli.main import main

pytestmark = pytest.mark.anyio
OUT, IN, READY = ("POST", "/control/out-of-service"), ("POST", "/control/in-service"), ("GET", "/control/ready")


@pytest.fixture
async def rig(tmp_path):
    async with Rig(tmp_path, with_control=True) as rig:
        rig.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)
        yield rig


async def pings(rig):
    """What checks are told: plain and deep, on both fronts."""
    return [
        (await rig.ask(front, path=path, method="GET")).status
        for front, path in (("http", "/ping"), ("http", "/ping?all=1"), ("uwsgi", "/ping"))
    ]


async def test_a_drained_node_fails_its_checks_at_once_and_answers_all_else_as_always(rig):
    assert await rig.call(*READY) == (200, "yes")
    assert await pings(rig) == [200] * 3
    for _ in range(2):  # a second call changes nothing
        assert (await rig.call(*OUT))[0] == 200
        assert await pings(rig) == [503] * 3
    assert await rig.call(*READY) == (503, "the node is out of service")
    await rig.names.log.until(lambda entry: entry == ("/ns/hosts/n3", "no"), 2)  # it goes on reporting
    for front in REQUEST_BYTES:
        assert (await rig.ask(front)).status == 200
    for _ in range(2):
        assert (await rig.call(*IN))[0] == 200
        assert await pings(rig) == [200] * 3
    assert await rig.call(*READY) == (200, "yes")
    await rig.names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"), 2)
    assert (await rig.ask("http")).status == 200


async def test_a_drain_is_no_notice_to_leave_and_outlasts_its_grace_and_new_configurations(rig):
    await rig.call(*OUT)
    rig.configure()
    rig.process.send_signal(signal.SIGHUP)
    while (await rig.counters())["reload.taken"] < 1:
        pass
    await asyncio.sleep(0.5)  # past the grace, after which a node that leaves runs nothing
    assert (await rig.ask("http")).status == 200 and await pings(rig) == [503] * 3
    assert rig.process.returncode is None


async def test_a_drained_and_idle_node_stays_reports_and_comes_back_within_two_seconds(rig):
    """As many reports as FLINTSHIFT_IDLE_REPORTS says, one a second: 60 are the minute that was tried by hand."""
    await rig.call(*OUT)
    reports, back = int(os.environ.get("FLINTSHIFT_IDLE_REPORTS", "3")), ("/ns/hosts/n3", "yes")
    await rig.names.log.until(lambda entry: entry == ("/ns/hosts/n3", "no"), reports, within_s=10 + 2 * reports)
    before = rig.names.log.entries.count(back)
    assert await pings(rig) == [503] * 3 and (await rig.ask("http")).status == 200
    assert (await rig.call(*IN))[0] == 200
    began = time.monotonic()
    assert await pings(rig) == [200] * 3
    await rig.names.log.until(lambda entry: entry == back, before + 1)
    assert time.monotonic() - began < 2 and (await rig.counters())["pool.links_lost"] == 0


async def test_a_drained_node_that_is_told_to_leave_leaves_and_does_not_come_back(rig):
    rig.pool.plan = {}
    await rig.call(*OUT)
    (await rig.connect("http")).send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
    await rig.pool.log.until(lambda entry: entry["t"] == "spawn")
    rig.process.send_signal(signal.SIGTERM)
    while (await rig.call(*READY))[1] != "the node leaves":
        pass
    assert await rig.call(*IN) == (503, "the node leaves")
    assert await asyncio.wait_for(rig.process.wait(), 10) == 0


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /control/ready HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"GET /control/ready HTTP/1.1\r\nHost: n\r\n\r\n", 200),
        (b"GET /control/ready HTTP/1.0\r\n\r\n", 200),
        (b"GET /control/nothing HTTP/1.1\r\nHost: n\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\nHost: n\r\n\r\n", 404),
        (b"POST /control/ready HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /control/out-of-service HTTP/1.1\r\nHost: n\r\n\r\n", 405),
        (b"DELETE /control/in-service HTTP/1.1\r\nHost: n\r\n\r\n", 405),
        (b"POST /control/in-service HTTP/1.1\r\nHost: n\r\nContent-Length: 3\r\n\r\nabc", 200),
        (b"POST /control/in-service HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200),
        (b"POST /control/in-service HTTP/1.1\r\nHost: n\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000, 400),
        (b"POST /control/in-service HTTP/1.1\r\nHost: n\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET /control/ready HTTP/1.1\r\nHost: n\r\nX: " + b"y" * 9000, 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        (b"ready\n\n", 400),
    ],
)
async def test_each_call_has_a_plain_answer_of_one_line_and_its_connection_ends(rig, sent, status):
    caller = await rig.connect("control")
    caller.send(sent)
    reply = await asyncio.wait_for(caller.reply(), 1)
    assert reply.status == status and reply.body.endswith(b"\n") and reply.body.count(b"\n") == 1
    await asyncio.wait_for(caller.is_closed(), 1)
    assert (await pings(rig))[0] == 200


async def test_calls_are_answered_within_a_second_beside_hundreds_that_never_come_whole(rig):
    halves = [await rig.connect("control") for _ in range(200)]
    for number, caller in enumerate(halves):
        caller.send(b"" if number % 2 else b"POST /control/out-of-service HTTP/1.1\r\nHo")
    for _ in range(3):
        began = time.monotonic()
        assert (await rig.call(*READY))[0] == 200
        assert time.monotonic() - began < 1
    for caller in halves:
        await asyncio.wait_for(caller.is_closed(), 2)
    assert (await rig.counters())["control.displaced"] >= 100  # no more than 32 are held at once
    assert (await pings(rig))[0] == 200  # half a call has no effect


async def test_the_command_line_calls_the_door_and_tells_yes_no_and_out_of_reach_by_its_exit_code(rig, monkeypatch):
    async def told(*words):
        found = await asyncio.to_thread(CliRunner().invoke, main, ["control", *words])
        return found.exit_code, found.output.strip()

    at = f"127.0.0.1:{rig.ports['control']}"
    assert await told("out-of-service", "--at", at) == (0, "yes")
    monkeypatch.setenv("LB_CONTROL", at)
    assert await told("ready") == (3, "the node is out of service")
    monkeypatch.delenv("LB_CONTROL")
    monkeypatch.setenv("LB_CONFIG", str(rig.config))
    assert await told("in-service") == (0, "yes") and await told("ready") == (0, "yes")
    assert (await told("ready", "--at", "127.0.0.1:1"))[0] == 1  # nobody listens there
    rig.config.write_text("{")
    assert [(await told("ready", *words))[0] for words in ((), ("--at", "nowhere"))] == [2, 2]
    monkeypatch.delenv("LB_CONFIG")
    assert (await told("ready"))[0] == 2


async def test_a_full_table_of_callers_does_not_shut_the_operators_out(rig):
    callers = [await rig.connect("http") for _ in range(700)]  # 640 are let in
    began = time.monotonic()
    assert (await rig.call(*OUT))[0] == 200
    assert time.monotonic() - began < 1
    for caller in callers:
        caller.writer.transport.abort()


async def test_without_an_address_there_is_no_door_and_its_module_is_not_loaded(tmp_path):
    async with Rig(tmp_path) as rig:
        with pytest.raises(ConnectionRefusedError):
            await rig.connect("control")
    text = (
        "import sys, anyio\nfrom flintshift.lifecycle.config import embedded\n"
        "from flintshift.lifecycle.node import Node\n"
        "async def made(): assert Node(embedded(), embedded).door is None\n"
        "anyio.run(made)\nprint('flintshift.wire.control_front' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True).stdout == b"False\n"


async def test_the_environment_names_the_door_where_the_configuration_does_not(tmp_path, monkeypatch):
    rig = Rig(tmp_path)
    monkeypatch.setenv("LB_CONTROL", "127.0.0.1:0")
    with pytest.raises(asyncio.TimeoutError):
        async with asyncio.timeout(3), rig:  # an address that can't be used is told, and nothing starts
            pass
    assert b"not host:port" in await rig.process.stderr.readline() and await rig.process.wait() == 2
