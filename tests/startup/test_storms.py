"""The load that a fleet of real nodes puts on a list service that fails and recovers, and start permits in a fleet."""

from __future__ import annotations

import asyncio

import pytest

from flintshift.lab.fleet import Fleet
from flintshift.lab.services import RateLimitedNames, now_ms
from flintshift.startup.permits import granter_order

pytestmark = pytest.mark.anyio
NODES = 16
STEADY_PER_S = NODES / 0.8


async def outage(fleet, names):
    names.capacity.down = True
    await asyncio.sleep(8.0)
    names.capacity.down = False


async def clear_list(fleet, names):
    names.listed.clear()


async def no_answers(fleet, names):
    names.unresponsive = True
    await asyncio.sleep(4.0)
    names.unresponsive = False


async def late_answers(fleet, names):
    names.extra_delay_ms = 300.0
    await asyncio.sleep(4.0)
    names.extra_delay_ms = 0.0


async def restart_half_twice(fleet, names):
    half = list(fleet.members)[::2]
    for _ in range(2):
        await asyncio.gather(*(fleet.kill(name) for name in half))
        await asyncio.gather(*(fleet.start(name) for name in half))


async def outage_during_starts(fleet, names):
    some = list(fleet.members)[:4]
    names.capacity.down = True
    await asyncio.gather(*(fleet.kill(name) for name in some))
    starts = [asyncio.ensure_future(fleet.start(name)) for name in some]
    await asyncio.sleep(5.0)
    names.capacity.down = False
    await asyncio.gather(*starts)


FAULTS = (outage, clear_list, no_answers, late_answers, restart_half_twice, outage_during_starts)


async def test_no_failure_of_the_list_service_causes_a_retry_storm_and_all_nodes_return(tmp_path):
    """One fleet, fault after fault; the clocks of some nodes are an hour off. The version without random delays reaches
    eight times the steady rate in an outage, and keeps that up if it makes the service collapse."""
    fleet = Fleet(tmp_path, {"ruwi-hall": NODES}, platform={"groupSize": NODES})
    names = fleet.names = RateLimitedNames(1.5 * STEADY_PER_S)  # 1.5: few nodes vary more in a second than hundreds do
    for name, offset_ms in (("n3", 3_600_000.0), ("n4", -3_600_000.0)):
        fleet.members[name].clock_offset_ms = offset_ms
    async with fleet:
        await asyncio.sleep(2.0)
        for fault in FAULTS:
            began_ms = now_ms()
            await fault(fleet, names)
            back = now_ms()
            names.listed.clear()
            while len(names.listed) < NODES:
                await asyncio.sleep(0.02)
                assert now_ms() - back < 3200.0, f"{fault.__name__}: only {sorted(names.listed)} came back"
            await asyncio.sleep(max(0.0, back + 3000.0 - now_ms()) / 1000)
            counts = f"{fault.__name__}: {[count for at, count in names.capacity.bins.items() if at * 100 >= began_ms]}"
            assert not names.capacity.collapsed, counts
            assert names.capacity.calls_between(back, back + 3000.0) <= 1.3 * 3 * STEADY_PER_S, counts
            if fault is outage:
                assert names.capacity.calls_between(back - 4000.0, back) < 0.7 * 4 * STEADY_PER_S, counts


def start_causes(fleet, name):
    """Return why the member's last start proceeded, by its log."""
    return [
        entry["cause"]
        for entry in fleet.timeline()
        if entry["event"] == "startup.goes_on" and entry["life"] == fleet.members[name].logs[-1].name
    ]


async def begin_start(fleet, name):
    """Start a member in a task, which is returned once the new process has its own log, so that an earlier log is not
    taken for it."""
    log_count = len(fleet.members[name].logs)
    task = asyncio.ensure_future(fleet.start(name))
    while len(fleet.members[name].logs) == log_count:
        await asyncio.sleep(0.01)
    return task


async def test_members_start_by_permits_of_a_member_in_reach_and_without_one_if_there_is_none(tmp_path):
    async with Fleet(
        tmp_path, {"a": 3, "b": 2}, copies="  copies: 3\n", extra_settings="startup: {enabled: true, at-once: 1}\n"
    ) as fleet:
        await fleet.wait_until_linked()
        first, second, *others = granter_order(fleet.members)
        name = others[0]
        assert all(len(start_causes(fleet, member)) == 1 for member in fleet.members)

        async def restart(*reached):
            """Restart the member with links to these members only, as which of all links is up first is random."""
            await fleet.kill(name)
            fleet.cut([name], [member for member in fleet.members if member not in (name, *reached)])
            began = now_ms()
            await fleet.start(name)
            assert now_ms() - began < 5000.0
            fleet.heal()
            return start_causes(fleet, name)

        assert await restart(first) == [f"{first} has granted a permit"]
        # The first member's settings have no permits any more: it delays no start.
        permits, fleet.extra_settings = fleet.extra_settings, ""
        await fleet.kill(first)
        await fleet.start(first)
        fleet.extra_settings = permits
        assert await restart(first) == [f"{first} has granted a permit"]
        await fleet.lose(first)
        assert await restart(second) == [f"{second} has granted a permit"]
        assert await restart() == ["no member is in reach"]


async def test_a_permit_holder_that_dies_before_it_is_listed_delays_no_other_start(tmp_path):
    fleet = Fleet(
        tmp_path, {"a": 3, "b": 2}, copies="  copies: 3\n", extra_settings="startup: {enabled: true, at-once: 1}\n"
    )
    names = fleet.names = RateLimitedNames(1000.0)
    async with fleet:
        await fleet.wait_until_linked()
        granter, second, holder, waiter, *rest = granter_order(fleet.members)
        for name in (holder, waiter):
            await fleet.kill(name)
        # On a busy machine links come up in any order, and a member asks the first one that it reaches.
        fleet.cut([holder, waiter], [second, *rest])
        fleet.cut([holder], [waiter])
        names.capacity.down = True  # a start is not complete until a report is taken, so its permit stays in use
        holder_start = await begin_start(fleet, holder)
        await fleet.wait_until_logged(holder, "startup.goes_on")
        assert start_causes(fleet, holder) == [f"{granter} has granted a permit"]
        waiter_start = await begin_start(fleet, waiter)
        await fleet.wait_until_logged(waiter, '"restored"')
        await asyncio.sleep(0.3)
        assert start_causes(fleet, waiter) == []
        await fleet.kill(holder)
        await fleet.wait_until_logged(waiter, "startup.goes_on", within_s=4.0)
        assert start_causes(fleet, waiter) == [f"{granter} has granted a permit"]
        holder_start.cancel()
        names.capacity.down = False
        await waiter_start
