"""A fleet with replication serves while its disks fail writes, and is complete again soon after.

In the chaos rounds a machine is lost with its disk, too. The long run is `benchmarks/chaos_copies.py --disks`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import signal
import time

import pytest

from flintshift.cli.status_client import query_status
from flintshift.lab.chaos_replication import COPIES, HALLS, DiskFailures, Load, run_rounds
from flintshift.lab.fleet import Fleet, usage_settings
from flintshift.replication.store import STATUS_SOCKET

pytestmark = pytest.mark.anyio

RECOVERY_S = 10.0  # from the disks' recovery until all ledgers are complete and all members vote


@pytest.mark.parametrize(
    ("disks", "count", "max_not_served"),
    [
        (DiskFailures(5), 2, 0.05),
        (DiskFailures(50), 1, 0.2),
        (DiskFailures(300, from_s=0.5, lasts_s=5.0), 1, math.inf),
    ],
    ids=["5 of 1,000", "50 of 1,000", "300 of 1,000 for 5 s"],
)
async def test_a_fleet_keeps_all_guarantees_while_disks_fail_writes(disks, count, max_not_served, tmp_path):
    tally = await run_rounds(tmp_path, count, seed=11, disks=disks)
    assert tally.violation_texts == []
    assert tally.not_served <= max_not_served, tally.to_dict()
    if disks.lasts_s != math.inf:
        assert max(tally.complete_after_s) <= RECOVERY_S, tally.to_dict()


FULL_DISK_S = 5.0  # set it to 60 s for a longer run by hand
FULL_DISK_RATE = 1000  # of 1,000 writes fail


async def read_status(fleet, name):
    """Return the replication status that the member reports to operators."""
    return json.loads(await asyncio.to_thread(query_status, fleet.members[name].home / "copies" / STATUS_SOCKET))


async def test_while_one_members_disk_is_full_the_others_serve_and_it_recovers_by_itself(tmp_path):
    rng = random.Random(5)
    settings = usage_settings(tmp_path, "2s")
    async with Fleet(tmp_path, HALLS, COPIES, extra_settings=settings, syscall_faults_enabled=True) as fleet:
        await fleet.wait_until_linked()
        fleet.set_write_failure_rate(FULL_DISK_RATE, ["n1"])
        end_s, statuses, number = time.monotonic() + FULL_DISK_S, [], 0
        while time.monotonic() < end_s:
            number += 1
            answer = await fleet.send_request(rng.choice(["n2", "n3", "n4", "n5"]), f"k{number}")
            statuses.append(answer.status if answer is not None else None)
        status = await read_status(fleet, "n1")
        assert status["disk"] == "refuses" and status["disk_cause"]
        assert status["disk_refuses_for_ms"] > FULL_DISK_S * 500
        fleet.set_write_failure_rate(0, ["n1"])
        async with asyncio.timeout(RECOVERY_S):
            await fleet.wait_until_ledgers_complete(RECOVERY_S)
            while (await read_status(fleet, "n1"))["disk"] != "takes":
                await asyncio.sleep(0.05)
        assert (await read_status(fleet, "n1"))["votes"]
        assert fleet.check_history().violations == []
        assert fleet.tracebacks() == []
    not_served = 1 - statuses.count(200) / len(statuses)
    assert not_served <= 0.02, f"{not_served:.3f} of {len(statuses)}"  # the same bound as without a fault


FAILURE_RATE, FAILURE_S = 300, 5.0  # of 1,000 writes and syncs, and for how long
DRAIN_TIMEOUT_S = 2.3  # the longest deadline and 0.7 s, and a margin for the check


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_drain_and_a_start_succeed_while_all_disks_fail_writes(seed, tmp_path):
    """Exports run at the same time, each second."""
    settings = usage_settings(tmp_path, "1s")
    fleet = Fleet(tmp_path, HALLS, COPIES, seed=seed, extra_settings=settings, syscall_faults_enabled=True)
    async with fleet, failing_disks(fleet, seed):
        process = fleet.members["n2"].process
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), DRAIN_TIMEOUT_S) == 0
        await fleet.start("n2")


@pytest.mark.parametrize("seed", [1, 2])
async def test_an_upgrade_succeeds_while_all_disks_fail_writes(seed, tmp_path):
    """There are no ledgers, as the ledger of a serving process is locked, and its upgrade is rejected on any disk."""
    fleet = Fleet(tmp_path, HALLS, COPIES, seed=seed, control=True, syscall_faults_enabled=True)
    async with fleet, failing_disks(fleet, seed):
        assert await fleet.upgrade("n4", asyncio.sleep(0.3)) == 0


async def member_votes(fleet, name):
    """Return whether the member's store votes. After an upgrade, the new process may lack its status socket for up to a
    second after the older one's end."""
    try:
        return (await read_status(fleet, name))["votes"]
    except (FileNotFoundError, ConnectionRefusedError):
        return False


@contextlib.asynccontextmanager
async def failing_disks(fleet, seed):
    """Let all disks fail writes under load, and check that the fleet recovers soon after and broke no guarantee."""
    await fleet.wait_until_linked()
    load = Load(fleet, random.Random(seed), 6, "d")
    load_task = asyncio.ensure_future(load.run())
    await asyncio.sleep(0.5)
    fleet.set_write_failure_rate(FAILURE_RATE)
    end_s = time.monotonic() + FAILURE_S
    yield
    await asyncio.sleep(end_s - time.monotonic())
    fleet.set_write_failure_rate(0)
    recovered_s = time.monotonic()
    load.stopped.set()
    await load_task
    if fleet.extra_settings:
        await fleet.wait_until_ledgers_complete(30.0)
    ledgers_complete_s = time.monotonic() - recovered_s
    while not all([await member_votes(fleet, name) for name in fleet.members]):
        await asyncio.sleep(0.05)
    assert time.monotonic() - recovered_s <= RECOVERY_S, f"ledgers complete after {ledgers_complete_s:.1f} s"
    assert fleet.check_history().violations == []
    assert fleet.tracebacks() == []
