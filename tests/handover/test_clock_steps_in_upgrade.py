"""An upgrade after a step of the wall clock: both processes hold one window, though each began by another clock."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from flintshift.lab.callers import fields_of, http_request, reply
from flintshift.lab.rig import Rig
from flintshift.lab.syscall_faults import SyscallFaults

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("step_s", [-3600.0, -30.0, 30.0, 3600.0])
async def test_a_write_of_the_older_process_is_not_run_again_by_the_new_one(step_s, tmp_path):
    faults = SyscallFaults(tmp_path / "faults")
    stepped_s = 0.0

    async def ask(rig, rid, again):
        told = {**fields_of(rid, "muscat-striders", "submit-time", 1, again), "X-Unique": "one"}
        told["X-Door-Time"] = str(int((time.time() + stepped_s) * 1000))
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.ports["http"])
        writer.write(http_request("submit-time", b"12:01.5", told))
        status, body, _ = await asyncio.wait_for(reply(reader), 5)
        writer.close()
        return status, body

    async with Rig(tmp_path, control=True, environment=faults.environment) as rig:
        first = await ask(rig, f"{1:016x}", False)
        faults.step_clock(step_s)
        stepped_s = step_s
        older = await rig.beside()
        assert await ask(rig, f"{2:016x}", True) == first == (200, b"result of 0000000000000001\n")
        older.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(older.wait(), 10) == 0
        assert await ask(rig, f"{3:016x}", True) == first
        assert sum(sum(pool.spawned.values()) for pool in (rig.pool, *rig.pools)) == 1
