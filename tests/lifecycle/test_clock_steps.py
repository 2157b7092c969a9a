"""Steps of the wall clock while a node runs: deadlines, windows and grace periods are spans of real time."""

from __future__ import annotations

import asyncio
import time

import pytest

from flintshift.lab.callers import http_request, read_reply, request_fields
from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.standins import Pool
from flintshift.lab.syscall_faults import SyscallFaults

pytestmark = pytest.mark.anyio

STEPS_S = (-3600.0, -30.0, -1.0, 1.0, 30.0, 3600.0)


class SteppedNode:
    """A node and its callers, whose common wall clock the test steps."""

    def __init__(self, folder):
        folder.mkdir()
        self.faults = SyscallFaults(folder / "faults")
        self.pool = Pool(took_ms={"submit-time": 5.0, "race-results": 400.0})
        self.cluster = SingleNodeCluster(folder, pool=self.pool, environment=self.faults.environment)
        self.step_s = 0.0
        self.writers = []  # kept, as a connection without a reference is closed

    def step(self, seconds):
        """Step the wall clock of the node and of the callers."""
        self.faults.step_clock(seconds)
        self.step_s += seconds

    def request(self, rid, class_name="submit-time", key=None, again=False):
        """The bytes of a request that arrives now by the callers' clock."""
        fields = request_fields(rid, "muscat-striders", class_name, 1, again)
        fields["X-Door-Time"] = str(int((time.time() + self.step_s) * 1000))
        if key is not None:
            fields["X-Unique"] = key
        return http_request(class_name, b"12:01.5", fields)

    async def send(self, data):
        """Send these bytes on a new connection; returns its reader."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.cluster.ports["http"])
        writer.write(data)
        self.writers.append(writer)
        return reader

    async def ask(self, *args, **changes):
        """Send a request; returns the status and the body of its answer."""
        status, body, _ = await asyncio.wait_for(read_reply(await self.send(self.request(*args, **changes))), 5)
        return status, body


@pytest.fixture
async def node(tmp_path):
    node = SteppedNode(tmp_path / "node")
    async with node.cluster:
        yield node


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_a_write_is_not_run_again_after_a_step(node, step_s):
    first = await node.ask(f"{1:016x}", key="one")
    node.step(step_s)
    await asyncio.sleep(0.2)
    assert await node.ask(f"{2:016x}", key="one", again=True) == first == (200, b"result of 0000000000000001\n")
    assert sum(node.pool.spawned.values()) == 1


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_a_repeat_in_transit_during_a_step_is_not_run_again(node, step_s):
    first = await node.ask(f"{1:016x}", key="one")
    repeat = node.request(f"{2:016x}", key="one", again=True)  # with an arrival time from before the step
    node.step(step_s)
    status, body, _ = await asyncio.wait_for(read_reply(await node.send(repeat)), 5)
    assert (status, body) == first and sum(node.pool.spawned.values()) == 1


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_a_first_try_in_transit_during_a_step_keeps_its_window(node, step_s):
    first = node.request(f"{1:016x}", key="one")
    node.step(step_s)
    status, body, _ = await asyncio.wait_for(read_reply(await node.send(first)), 5)
    assert (status, body) == (200, b"result of 0000000000000001\n")
    await asyncio.sleep(0.5)
    assert await node.ask(f"{2:016x}", key="one", again=True) == (status, body)
    assert sum(node.pool.spawned.values()) == 1


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_a_request_that_runs_during_a_step_is_served(node, step_s):
    reader = await node.send(node.request(f"{1:016x}", "race-results"))
    await asyncio.sleep(0.1)
    node.step(step_s)
    status, _, _ = await asyncio.wait_for(read_reply(reader), 5)
    assert status == 200


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_a_request_half_read_during_a_step_is_served(node, step_s):
    data = node.request(f"{1:016x}", "standings")
    reader, writer = await asyncio.open_connection("127.0.0.1", node.cluster.ports["http"])
    writer.write(data[:40])
    await asyncio.sleep(0.1)
    node.step(step_s)
    await asyncio.sleep(0.1)
    writer.write(data[40:])
    assert (await asyncio.wait_for(read_reply(reader), 5))[0] == 200


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_a_drain_continues_over_a_step(node, step_s):
    reader = await node.send(node.request(f"{1:016x}", "race-results"))
    await asyncio.sleep(0.05)
    leaving = asyncio.create_task(node.cluster.terminate())
    await asyncio.sleep(0.05)
    node.step(step_s)
    assert (await asyncio.wait_for(read_reply(reader), 5))[0] == 200
    assert await leaving == 0
