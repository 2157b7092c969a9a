"""An upgrade after an adjustment of the wall clock: both processes use the same windows, though they were started by
different clocks."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from flintshift.lab.callers import http_request, read_reply, request_fields
from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.syscall_faults import SyscallFaults

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("adjustment_s", [-3600.0, -30.0, 30.0, 3600.0])
async def test_a_write_of_the_predecessor_is_not_run_again_by_the_successor(adjustment_s, tmp_path):
    faults = SyscallFaults(tmp_path / "faults")
    adjusted_s = 0.0

    async def ask(cluster, rid, marked_repeat):
        fields = {**request_fields(rid, "muscat-striders", "submit-time", 1, marked_repeat), "X-Unique": "one"}
        fields["X-Door-Time"] = str(int((time.time() + adjusted_s) * 1000))
        reader, writer = await asyncio.open_connection("127.0.0.1", cluster.ports["http"])
        writer.write(http_request("submit-time", b"12:01.5", fields))
        status, body, _ = await asyncio.wait_for(read_reply(reader), 5)
        writer.close()
        return status, body

    async with SingleNodeCluster(tmp_path, control=True, environment=faults.environment) as cluster:
        first_answer = await ask(cluster, f"{1:016x}", False)
        faults.step_clock(adjustment_s)
        adjusted_s = adjustment_s
        predecessor = await cluster.start_successor()
        assert await ask(cluster, f"{2:016x}", True) == first_answer == (200, b"result of 0000000000000001\n")
        predecessor.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(predecessor.wait(), 10) == 0
        assert await ask(cluster, f"{3:016x}", True) == first_answer
        assert sum(sum(pool.spawned.values()) for pool in (cluster.pool, *cluster.predecessor_pools)) == 1
