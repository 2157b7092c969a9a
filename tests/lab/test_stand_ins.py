"""Tests that a stand-in is reached by the node of its own test only, and names the sender of anything else.

Guards against a failure under load: the drain test of seed 11 failed because the node of another test had connected to
its app server's stand-in and sent bytes that are not uwsgi.

A test may stop the worker pool or the name service of a node that goes on running and connecting to that port. When
stand-ins listened on ports that the system chose, the system could give the released port to a stand-in of a test in
another process. A node whose pool was stopped connected to that stand-in six times in 3 s, and one whose name service
was stopped four times. Besides, a test cluster whose start failed left its node running, which went on reporting. The
error did not name the sender.
"""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys

import pytest
import standins

from flintshift.lab.billing import Billing
from flintshift.lab.faults import FaultProxy
from flintshift.lab.fleet import Fleet
from flintshift.lab.ports import free_ports, port_range
from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.standins import Apps, Dns, Names, Pool, Vault

pytestmark = pytest.mark.anyio

SENDER_PROGRAM = """
import socket, sys, time
raw = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
raw.sendall(b'PUT /ns/hosts/n1 HTTP/1.1\\r\\n')
raw.recv(1)
"""


async def start_stand_in(kind, folder):
    if kind is Billing:
        billing = Billing(folder)
        await billing.start()
        return billing
    if kind is Dns:
        dns = Dns(1)
        await dns.start()
        return dns
    stand_in = kind()
    await stand_in.start()
    return stand_in


def release_port(stand_in):
    if isinstance(stand_in, Billing):
        stand_in.stop()
    elif isinstance(stand_in, Dns):
        stand_in.transport.close()
    else:
        stand_in.server.close()


@pytest.mark.parametrize("kind", [Pool, Vault, Names, Apps, Dns, Billing])
async def test_port_released_by_a_stand_in_is_not_given_to_another_process(kind, tmp_path):
    ports = set()
    for _ in range(8):
        stand_in = await start_stand_in(kind, tmp_path)
        ports.add(stand_in.port)
        release_port(stand_in)
    assert len(ports) == 8
    assert ports <= set(port_range())


async def test_stand_in_that_changes_its_port_takes_one_reserved_for_its_process():
    names = Names()
    await names.start()
    await names.change_port()
    assert names.port in port_range()
    await names.stop()


async def test_error_on_unreadable_data_shows_its_first_bytes_and_its_sender():
    failed = asyncio.Event()
    messages = []

    def handler(loop, context):
        messages.append(str(context["exception"]))
        failed.set()

    asyncio.get_running_loop().set_exception_handler(handler)
    apps = Apps()
    await apps.start()
    sender = subprocess.Popen([sys.executable, "-c", SENDER_PROGRAM, str(apps.port)])
    async with asyncio.timeout(10):
        await failed.wait()
    await apps.stop()
    sender.wait(10)
    assert "PUT /ns/hosts/n1" in messages[0]
    assert f"process {sender.pid}" in messages[0]
    assert "its modifiers are not 0" in messages[0]


async def test_cluster_whose_node_is_not_ready_in_time_leaves_no_process(tmp_path):
    cluster = SingleNodeCluster(tmp_path, start_timeout_s=0.05)
    with pytest.raises(RuntimeError):
        await cluster.__aenter__()
    await assert_all_ended(cluster.processes, cluster.stand_ins)


async def test_fleet_whose_member_does_not_start_leaves_no_process(tmp_path):
    fleet = Fleet(tmp_path, {"ruwi-hall": 2}, extra_settings="log: {unknown: 1}\n")
    with pytest.raises(RuntimeError):
        await fleet.__aenter__()
    await assert_all_ended([member.process for member in fleet.members.values()], [fleet.vault, fleet.names])


async def test_node_harness_leaves_no_process_if_its_start_fails(tmp_path):
    harness = standins.NodeHarness(tmp_path, extra_settings="unknown: 1")
    harness.start_timeout_s = 1.0
    with pytest.raises(TimeoutError):
        await harness.__aenter__()
    await assert_all_ended([harness.process], (harness.pool, harness.vault, harness.names, harness.apps))


async def assert_all_ended(processes, stand_ins):
    """Assert that each process has ended and that no stand-in listens any longer."""
    running = [process.pid for process in processes if process is not None and process.returncode is None]
    for pid in running:
        os.kill(pid, 9)  # so that this test leaves no process either
    assert not running
    for stand_in in stand_ins:
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", stand_in.port)


@pytest.mark.parametrize("accepted", [False, True], ids=["connections still opening", "connections open"])
@pytest.mark.parametrize("kind", [Pool, Vault, Names, Apps])
def test_stopped_stand_in_leaves_no_task_to_its_event_loop(kind, accepted, caplog):
    """Guards against "Exception in callback ... Task cancelled" at the end of a test, seen seven times in a run of all
    tests under load: `stop` aborted connections without waiting for their tasks, which were cancelled with the loop."""

    async def main() -> None:
        stand_in = kind()
        await stand_in.start()
        links = [await asyncio.open_connection("127.0.0.1", stand_in.port) for _ in range(7)]
        if accepted:
            await asyncio.sleep(0.05)
        await stand_in.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        for _, writer in links:
            writer.close()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]


@pytest.mark.parametrize("loop_iterations", range(6))
def test_stand_in_stopped_at_any_stage_of_an_accept_leaves_no_task(loop_iterations, caplog):
    async def main() -> None:
        stand_in = Vault()
        await stand_in.start()
        sockets = [socket.create_connection(("127.0.0.1", stand_in.port)) for _ in range(7)]
        for _ in range(loop_iterations):
            await asyncio.sleep(0)
        await stand_in.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        for client in sockets:
            client.close()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]


def test_stopped_fault_proxy_leaves_no_task_to_its_event_loop(caplog):
    async def main() -> None:
        stand_in = Vault()
        await stand_in.start()
        proxy = FaultProxy(free_ports(1)[0], stand_in.port, seed=1)
        await proxy.start()
        _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        await asyncio.sleep(0.05)
        await proxy.stop()
        await stand_in.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        writer.close()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]


def test_open_connections_of_a_billing_system_end_with_its_loop_without_an_error(tmp_path, caplog):
    async def main() -> None:
        billing = Billing(tmp_path)
        _, writer = await asyncio.open_connection("127.0.0.1", await billing.start())
        await asyncio.sleep(0.05)
        billing.stop()
        writer.transport.abort()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]
