"""A fleet with copies goes on, and is whole again soon, while and after its disks refuse; a machine is lost with its
disk in each round. The long run is `benchmarks/chaos_copies.py --disks`."""

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
from flintshift.lab.chaos_copies import COPIES, HALLS, DiskRefusal, Load, rounds
from flintshift.lab.fleet import Fleet, booking
from flintshift.replication.store import STATUS_SOCKET

pytestmark = pytest.mark.anyio

WHOLE_S = 10.0  # after the disks' recovery, all ledgers are whole and all members vote


@pytest.mark.parametrize(
    ("disks", "count", "most_not_served"),
    [
        (DiskRefusal(5), 2, 0.05),
        (DiskRefusal(50), 1, 0.2),
        (DiskRefusal(300, from_s=0.5, lasts_s=5.0), 1, math.inf),
    ],
    ids=["5 of 1,000", "50 of 1,000", "300 of 1,000 for 5 s"],
)
async def test_a_fleet_outlasts_disks_that_refuse(disks, count, most_not_served, tmp_path):
    tally = await rounds(tmp_path, count, seed=11, disks=disks)
    assert tally.texts == []
    assert tally.not_served <= most_not_served, tally.told()
    if disks.lasts_s != math.inf:
        assert max(tally.whole_after_s) <= WHOLE_S, tally.told()


FULL_S = 5.0  # 60 s by hand, by the variable of that name in this module
FULL = 1000  # of 1,000 writes are refused


async def status(fleet, name):
    return json.loads(await asyncio.to_thread(query_status, fleet.members[name].home / "copies" / STATUS_SOCKET))


async def test_while_one_members_disk_is_full_the_others_serve_and_it_comes_back_by_itself(tmp_path):
    draw = random.Random(5)
    more = booking(tmp_path, "2s")
    async with Fleet(tmp_path, HALLS, COPIES, more=more, disks_refuse=True) as fleet:
        await fleet.until_linked()
        fleet.refuse_writes(FULL, ["n1"])
        until, statuses, number = time.monotonic() + FULL_S, [], 0
        while time.monotonic() < until:
            number += 1
            answer = await fleet.ask(draw.choice(["n2", "n3", "n4", "n5"]), f"k{number}")
            statuses.append(answer.status if answer is not None else None)
        told = await status(fleet, "n1")
        assert told["disk"] == "refuses" and told["disk_cause"]
        assert told["disk_refuses_for_ms"] > FULL_S * 500
        fleet.refuse_writes(0, ["n1"])
        async with asyncio.timeout(WHOLE_S):
            await fleet.until_whole(WHOLE_S)
            while (await status(fleet, "n1"))["disk"] != "takes":
                await asyncio.sleep(0.05)
        assert (await status(fleet, "n1"))["votes"]
        assert fleet.judged().broken == []
        assert fleet.tracebacks() == []
    not_served = 1 - statuses.count(200) / len(statuses)
    assert not_served <= 0.02, f"{not_served:.3f} of {len(statuses)}"  # as with no fault


REFUSED, REFUSED_S = 300, 5.0  # of 1,000 writes and syncs, for so long
LEAVES_S = 2.3  # the longest deadline and 0.7 s, and a little for the look


@pytest.mark.parametrize("seed", [1, 2])
async def test_a_drain_and_a_start_go_on_while_all_disks_refuse(seed, tmp_path):
    """Exports run all the while, each second."""
    more = booking(tmp_path, "1s")
    fleet = Fleet(tmp_path, HALLS, COPIES, seed=seed, more=more, disks_refuse=True)
    async with fleet, refusing(fleet, seed):
        leaving = fleet.members["n2"].process
        leaving.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(leaving.wait(), LEAVES_S) == 0
        await fleet.start("n2")


@pytest.mark.parametrize("seed", [1, 2])
async def test_an_upgrade_goes_on_while_all_disks_refuse(seed, tmp_path):
    """Without ledgers: the one of a process that serves is locked, and its upgrade is refused on any disk."""
    fleet = Fleet(tmp_path, HALLS, COPIES, seed=seed, control=True, disks_refuse=True)
    async with fleet, refusing(fleet, seed):
        assert await fleet.upgrade("n4", asyncio.sleep(0.3)) == 0


async def votes(fleet, name):
    """A new process gets the socket of its status up to a second after the older one's end."""
    try:
        return (await status(fleet, name))["votes"]
    except (FileNotFoundError, ConnectionRefusedError):
        return False


@contextlib.asynccontextmanager
async def refusing(fleet, seed):
    """Disks refuse under load, and the fleet is whole soon after; nothing was broken."""
    await fleet.until_linked()
    load = Load(fleet, random.Random(seed), 6, "d")
    asking = asyncio.ensure_future(load.run())
    await asyncio.sleep(0.5)
    fleet.refuse_writes(REFUSED)
    until = time.monotonic() + REFUSED_S
    yield
    await asyncio.sleep(until - time.monotonic())
    fleet.refuse_writes(0)
    recovered = time.monotonic()
    load.over.set()
    await asking
    if fleet.more:
        await fleet.until_whole(30.0)
    whole_s = time.monotonic() - recovered
    while not all([await votes(fleet, name) for name in fleet.members]):
        await asyncio.sleep(0.05)
    assert time.monotonic() - recovered <= WHOLE_S, f"whole after {whole_s:.1f} s"
    assert fleet.judged().broken == []
    assert fleet.tracebacks() == []
