"""A stand-in meets the node of its own test alone, and says who else it met.

What happened: in one whole run of the tests beside four busy processes, the drain of soak seed 11 failed: two
connections had brought its app servers' stand-in bytes that are no uwsgi. The same seed passed in all plays after it.

Sequence: a test stops the worker pool, or the name service, of a node that lives on, as many do. The node goes on
linking to that port, as it should. The system gives the port to a stand-in of a test in another process.

Cause: stand-ins listened at ports of the system's choice, and a port that was left is given again. A rig whose start
failed left its node behind besides, which reported for as long as it liked.

What settled it: a node whose pool was stopped met an app servers' stand-in at that port six times in 3 s, and four
times where its name service was stopped, each with the error of the failed run; its sender was not told there, and is
told now.
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
from flintshift.lab.rig import Rig
from flintshift.lab.standins import Apps, Dns, Names, Pool, Vault

pytestmark = pytest.mark.anyio

SENDER = """
import socket, sys, time
raw = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
raw.sendall(b'PUT /ns/hosts/n1 HTTP/1.1\\r\\n')
raw.recv(1)
"""


async def started(kind, folder):
    if kind is Billing:
        billing = Billing(folder)
        await billing.start()
        return billing
    if kind is Dns:
        dns = Dns(1)
        await dns.start()
        return dns
    peer = kind()
    await peer.start()
    return peer


def ended(peer):
    if isinstance(peer, Billing):
        peer.stop()
    elif isinstance(peer, Dns):
        peer.transport.close()
    else:
        peer.server.close()


@pytest.mark.parametrize("kind", [Pool, Vault, Names, Apps, Dns, Billing])
async def test_a_port_that_a_stand_in_has_left_is_given_to_no_other_process(kind, tmp_path):
    ports = set()
    for _ in range(8):
        peer = await started(kind, tmp_path)
        ports.add(peer.port)
        ended(peer)
    assert len(ports) == 8
    assert ports <= set(port_range())


async def test_a_stand_in_that_moves_takes_a_port_of_its_own_process():
    names = Names()
    await names.start()
    await names.change_port()
    assert names.port in port_range()
    await names.stop()


async def test_what_a_stand_in_cannot_read_is_told_with_its_first_bytes_and_who_sent_it():
    failed = asyncio.Event()
    told = []

    def handler(loop, context):
        told.append(str(context["exception"]))
        failed.set()

    asyncio.get_running_loop().set_exception_handler(handler)
    apps = Apps()
    await apps.start()
    sender = subprocess.Popen([sys.executable, "-c", SENDER, str(apps.port)])
    async with asyncio.timeout(10):
        await failed.wait()
    await apps.stop()
    sender.wait(10)
    assert "PUT /ns/hosts/n1" in told[0]
    assert f"process {sender.pid}" in told[0]
    assert "its modifiers are not 0" in told[0]


async def test_a_rig_whose_node_does_not_serve_in_time_leaves_no_process(tmp_path):
    rig = Rig(tmp_path, ready_s=0.05)
    with pytest.raises(RuntimeError):
        await rig.__aenter__()
    await all_ended(rig.started, rig.peers)


async def test_a_fleet_whose_member_does_not_serve_leaves_no_process(tmp_path):
    fleet = Fleet(tmp_path, {"ruwi-hall": 2}, more="log: {unknown: 1}\n")
    with pytest.raises(RuntimeError):
        await fleet.__aenter__()
    await all_ended([member.process for member in fleet.members.values()], [fleet.vault, fleet.names])


async def test_the_tests_own_rig_leaves_no_process_where_its_start_fails(tmp_path):
    rig = standins.Rig(tmp_path, extra_settings="unknown: 1")
    rig.start_timeout_s = 1.0
    with pytest.raises(TimeoutError):
        await rig.__aenter__()
    await all_ended([rig.process], (rig.pool, rig.vault, rig.names, rig.apps))


async def all_ended(processes, peers):
    """Each process has ended, and nobody listens at a stand-in's port."""
    left = [process.pid for process in processes if process is not None and process.returncode is None]
    for pid in left:
        os.kill(pid, 9)  # by this test, so that it leaves none either
    assert not left
    for peer in peers:
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", peer.port)


@pytest.mark.parametrize("settled", [False, True], ids=["connections still opening", "connections open"])
@pytest.mark.parametrize("kind", [Pool, Vault, Names, Apps])
def test_a_stand_in_that_was_stopped_leaves_nothing_for_the_end_of_its_loop(kind, settled, caplog):
    """A whole run beside load met "Exception in callback ... Task cancelled" at the end of a test, seven times: the
    tasks of connections that `stop` had cut, and did not wait for, were cancelled with the loop."""

    async def main() -> None:
        peer = kind()
        await peer.start()
        links = [await asyncio.open_connection("127.0.0.1", peer.port) for _ in range(7)]
        if settled:
            await asyncio.sleep(0.05)
        await peer.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        for _, writer in links:
            writer.close()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]


@pytest.mark.parametrize("turns", range(6))
def test_a_stand_in_that_was_stopped_in_any_turn_of_an_accept_leaves_nothing(turns, caplog):
    async def main() -> None:
        peer = Vault()
        await peer.start()
        raws = [socket.create_connection(("127.0.0.1", peer.port)) for _ in range(7)]
        for _ in range(turns):
            await asyncio.sleep(0)
        await peer.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        for raw in raws:
            raw.close()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]


def test_a_fault_proxy_that_was_stopped_leaves_nothing_for_the_end_of_its_loop(caplog):
    async def main() -> None:
        peer = Vault()
        await peer.start()
        proxy = FaultProxy(free_ports(1)[0], peer.port, seed=1)
        await proxy.start()
        _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        await asyncio.sleep(0.05)
        await proxy.stop()
        await peer.stop()
        assert asyncio.all_tasks() == {asyncio.current_task()}
        writer.close()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]


def test_a_billing_systems_open_connections_are_ended_in_silence_with_its_loop(tmp_path, caplog):
    async def main() -> None:
        billing = Billing(tmp_path)
        _, writer = await asyncio.open_connection("127.0.0.1", await billing.start())
        await asyncio.sleep(0.05)
        billing.stop()
        writer.transport.abort()

    asyncio.run(main())
    assert not [record.getMessage() for record in caplog.records if record.name == "asyncio"]
