"""The control endpoint: its calls and answers, its behaviour under misuse, and taking a node out of service."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time

import pytest
from click.testing import CliRunner
from standins import REQUEST_BYTES, ROOT, NodeHarness, request_fields

from flintshift.cli.main import main

pytestmark = pytest.mark.anyio
TAKE_OUT, PUT_IN, READY = (
    ("POST", "/control/out-of-service"),
    ("POST", "/control/in-service"),
    ("GET", "/control/ready"),
)


@pytest.fixture
async def harness(tmp_path):
    async with NodeHarness(tmp_path, with_control=True) as harness:
        harness.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)
        yield harness


async def ping_statuses(harness):
    """The statuses of health checks: plain and deep on the HTTP front, plain on the uwsgi front."""
    return [
        (await harness.ask(front, path=path, method="GET")).status
        for front, path in (("http", "/ping"), ("http", "/ping?all=1"), ("uwsgi", "/ping"))
    ]


async def test_a_node_out_of_service_fails_its_checks_at_once_and_answers_requests_as_before(harness):
    assert await harness.call(*READY) == (200, "yes")
    assert await ping_statuses(harness) == [200] * 3
    for _ in range(2):  # a second call changes nothing
        assert (await harness.call(*TAKE_OUT))[0] == 200
        assert await ping_statuses(harness) == [503] * 3
    assert await harness.call(*READY) == (503, "the node is out of service")
    await harness.names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "no"), 2)  # the node goes on reporting
    for front in REQUEST_BYTES:
        assert (await harness.ask(front)).status == 200
    for _ in range(2):
        assert (await harness.call(*PUT_IN))[0] == 200
        assert await ping_statuses(harness) == [200] * 3
    assert await harness.call(*READY) == (200, "yes")
    await harness.names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"), 2)
    assert (await harness.ask("http")).status == 200


async def test_out_of_service_is_no_shutdown_and_outlasts_the_drain_grace_and_a_new_configuration(harness):
    await harness.call(*TAKE_OUT)
    harness.configure()
    harness.process.send_signal(signal.SIGHUP)
    while (await harness.counters())["reload.taken"] < 1:
        pass
    await asyncio.sleep(0.5)  # longer than the drain grace, after which a node that shuts down runs nothing
    assert (await harness.ask("http")).status == 200 and await ping_statuses(harness) == [503] * 3
    assert harness.process.returncode is None


async def test_an_idle_node_out_of_service_goes_on_reporting_and_is_back_within_two_seconds(harness):
    """Waits for FLINTSHIFT_IDLE_REPORTS reports, one a second: with 60 the test covers a minute."""
    await harness.call(*TAKE_OUT)
    reports, serving_report = int(os.environ.get("FLINTSHIFT_IDLE_REPORTS", "3")), ("/ns/hosts/n3", "yes")
    await harness.names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "no"), reports, within_s=10 + 2 * reports)
    earlier_count = harness.names.log.entries.count(serving_report)
    assert await ping_statuses(harness) == [503] * 3 and (await harness.ask("http")).status == 200
    assert (await harness.call(*PUT_IN))[0] == 200
    start = time.monotonic()
    assert await ping_statuses(harness) == [200] * 3
    await harness.names.log.wait_for(lambda entry: entry == serving_report, earlier_count + 1)
    assert time.monotonic() - start < 2 and (await harness.counters())["pool.links_lost"] == 0


async def test_a_node_out_of_service_that_is_asked_to_stop_stops_and_is_not_put_back_in_service(harness):
    harness.pool.plan = {}
    await harness.call(*TAKE_OUT)
    caller = await harness.connect("http")  # kept, or it would be closed as garbage, and its request not run
    caller.send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    harness.process.send_signal(signal.SIGTERM)
    while (await harness.call(*READY))[1] != "the node leaves":
        pass
    assert await harness.call(*PUT_IN) == (503, "the node leaves")
    assert await asyncio.wait_for(harness.process.wait(), 10) == 0


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
async def test_each_call_gets_an_answer_of_one_line_and_its_connection_is_closed(harness, sent, status):
    caller = await harness.connect("control")
    caller.send(sent)
    reply = await asyncio.wait_for(caller.reply(), 1)
    assert reply.status == status and reply.body.endswith(b"\n") and reply.body.count(b"\n") == 1
    await asyncio.wait_for(caller.is_closed(), 1)
    assert (await ping_statuses(harness))[0] == 200


async def test_calls_are_answered_within_a_second_beside_hundreds_that_stay_incomplete(harness):
    incomplete = [await harness.connect("control") for _ in range(200)]
    for number, caller in enumerate(incomplete):
        caller.send(b"" if number % 2 else b"POST /control/out-of-service HTTP/1.1\r\nHo")
    for _ in range(3):
        start = time.monotonic()
        assert (await harness.call(*READY))[0] == 200
        assert time.monotonic() - start < 1
    for caller in incomplete:
        await asyncio.wait_for(caller.is_closed(), 2)
    assert (await harness.counters())["control.displaced"] >= 100  # no more than 32 are open at once
    assert (await ping_statuses(harness))[0] == 200  # an incomplete call has no effect


async def test_the_control_command_reports_yes_no_and_unreachable_by_its_exit_code(harness, monkeypatch):
    async def run_control(*arguments):
        result = await asyncio.to_thread(CliRunner().invoke, main, ["control", *arguments])
        return result.exit_code, result.output.strip()

    address = f"127.0.0.1:{harness.ports['control']}"
    assert await run_control("out-of-service", "--at", address) == (0, "yes")
    monkeypatch.setenv("LB_CONTROL", address)
    assert await run_control("ready") == (3, "the node is out of service")
    monkeypatch.delenv("LB_CONTROL")
    monkeypatch.setenv("LB_CONFIG", str(harness.config))
    assert await run_control("in-service") == (0, "yes") and await run_control("ready") == (0, "yes")
    assert (await run_control("ready", "--at", "127.0.0.1:1"))[0] == 1  # nobody listens there
    harness.config.write_text("{")
    assert [(await run_control("ready", *arguments))[0] for arguments in ((), ("--at", "nowhere"))] == [2, 2]
    monkeypatch.delenv("LB_CONFIG")
    assert (await run_control("ready"))[0] == 2


async def test_a_full_table_of_callers_does_not_lock_operators_out(harness):
    callers = [await harness.connect("http") for _ in range(700)]  # 640 fit into the table
    start = time.monotonic()
    assert (await harness.call(*TAKE_OUT))[0] == 200
    assert time.monotonic() - start < 1
    for caller in callers:
        caller.writer.transport.abort()


async def test_without_an_address_there_is_no_control_endpoint_and_its_module_is_not_loaded(tmp_path):
    async with NodeHarness(tmp_path) as harness:
        with pytest.raises(ConnectionRefusedError):
            await harness.connect("control")
    script = (
        "import sys, anyio\nfrom flintshift.lifecycle.config import embedded_config\n"
        "from flintshift.lifecycle.node import Node\n"
        "async def made(): assert Node(embedded_config(), embedded_config).control_front is None\n"
        "anyio.run(made)\nprint('flintshift.wire.control_front' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True).stdout == b"False\n"


async def test_the_environment_gives_the_control_address_if_the_configuration_does_not(tmp_path, monkeypatch):
    harness = NodeHarness(tmp_path)
    monkeypatch.setenv("LB_CONTROL", "127.0.0.1:0")
    with pytest.raises(asyncio.TimeoutError):
        async with asyncio.timeout(3), harness:  # an unusable address is reported, and the node does not start
            pass
    assert b"not host:port" in await harness.process.stderr.readline() and await harness.process.wait() == 2
