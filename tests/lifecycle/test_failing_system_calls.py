"""System calls that fail for a moment, and a standard error that nobody reads: neither stops a node."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import signal
import sys

import pytest
from standins import ROOT

from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.syscall_faults import NO_FAULTS, Call, Rates, SyscallFaults

pytestmark = pytest.mark.anyio

PIPE_BYTES = 4096  # the smallest pipe there is


@pytest.mark.parametrize("seed", range(1, 9))
async def test_a_start_outlasts_calls_of_socket_that_fail_for_a_moment(seed, tmp_path):
    faults = SyscallFaults(tmp_path / "faults", seed=seed)
    async with SingleNodeCluster(tmp_path, uwsgi=True, control=True, environment=faults.environment) as rig:
        await rig.kill()
        faults.set_rates(Rates(socket=200))
        process = await asyncio.wait_for(rig.start(), 15)
        faults.set_rates(NO_FAULTS)
        assert process.returncode is None


@pytest.mark.parametrize(
    ("call", "rate", "lasts_s"),
    [
        (Call.SETSOCKOPT, 500, 0.0),
        (Call.SETSOCKOPT, 1000, 0.5),
        (Call.GETPEERNAME, 500, 0.0),
        (Call.GETSOCKNAME, 500, 0.0),
    ],
)
async def test_a_request_on_a_new_connection_is_answered_though_calls_fail_for_a_moment(call, rate, lasts_s, tmp_path):
    """A soak of drains found 16 to 77 requests reset in each of 5 plays of 60, all of them with calls of `setsockopt`
    that failed: the event loop sets an option of each connection that is accepted, and where that failed, the
    connection was taken for one whose caller had gone, and closed over its request."""
    faults = SyscallFaults(tmp_path / "faults", seed=7)
    async with SingleNodeCluster(tmp_path, environment=faults.environment) as rig:
        faults.fail_call(call, rate)
        asking = [asyncio.ensure_future(ping(rig.ports["http"])) for _ in range(60)]
        if lasts_s:
            await asyncio.sleep(lasts_s)
            faults.fail_call(call, 0)
        assert await asyncio.gather(*asking) == [True] * 60
        faults.fail_call(call, 0)
        assert await rig.terminate() == 0


async def ping(port):
    """A health check on a connection of its own; whether it was answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /ping HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n")
    try:
        return b" 200 " in await asyncio.wait_for(reader.readline(), 5)
    except ConnectionResetError:
        return False
    finally:
        writer.close()


async def test_a_standard_error_that_nobody_reads_stops_nothing(tmp_path):
    async with SingleNodeCluster(tmp_path) as rig:
        await rig.kill()
        read, write = os.pipe()
        fcntl.fcntl(write, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        process = await rig.start(write)
        for _ in range(100):
            process.send_signal(signal.SIGUSR1)
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.ports["http"])
        writer.write(b"GET /ping HTTP/1.1\r\nHost: n1\r\n\r\n")
        assert b" 200 " in await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        assert await rig.terminate() == 0
        os.close(read)
        os.close(write)


async def test_members_are_linked_to_after_calls_of_accept_that_fail(tmp_path):
    """By the event loop's own server, the first such failure closed the listener for good."""
    faults = SyscallFaults(tmp_path / "faults", seed=3)
    environment = {**os.environ, **faults.environment}
    faults.set_rates(Rates(accept=500))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", MEMBER, cwd=ROOT, env=environment, stdout=asyncio.subprocess.PIPE
    )
    port = int(await asyncio.wait_for(process.stdout.readline(), 10))
    try:
        for _ in range(30):
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2)
            writer.write(b"\0\0\0\1x")  # no hello: the front ends the link, by an end or a reset, so it took it
            with contextlib.suppress(ConnectionResetError):
                assert await asyncio.wait_for(reader.read(), 5) == b""
            writer.close()
    finally:
        process.kill()
        await process.wait()


MEMBER = """
import asyncio, uvloop
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.wire.acceptor import open_listener
from flintshift.wire.peer_link import PeerListener

def nothing(*_):
    return None

async def main():
    raw = open_listener(("127.0.0.1", 0), 16)
    front = PeerListener(Limits(), Counters(), None, ["n1"], nothing, nothing, nothing, nothing)
    print(raw.getsockname()[1], flush=True)
    await front.serve(raw)

uvloop.run(main())
"""
