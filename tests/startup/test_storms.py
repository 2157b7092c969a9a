"""Real nodes beside each other, whose list service goes away and comes back: what it meets then."""

from __future__ import annotations

import asyncio

import pytest

from flintshift.lab.fleet import Fleet
from flintshift.lab.services import LimitedNames, now_ms
from flintshift.startup.permits import granter_order

pytestmark = pytest.mark.anyio
NODES = 16
STEADY_PER_S = NODES / 0.8


async def away(fleet, names):
    names.capacity.down = True
    await asyncio.sleep(8.0)
    names.capacity.down = False


async def forgets_all(fleet, names):
    names.listed.clear()


async def never_answers(fleet, names):
    names.mute = True
    await asyncio.sleep(4.0)
    names.mute = False


async def answers_late(fleet, names):
    names.slow_ms = 300.0
    await asyncio.sleep(4.0)
    names.slow_ms = 0.0


async def half_restarts_twice(fleet, names):
    half = list(fleet.members)[::2]
    for _ in range(2):
        await asyncio.gather(*(fleet.kill(name) for name in half))
        await asyncio.gather(*(fleet.start(name) for name in half))


async def away_while_some_start(fleet, names):
    some = list(fleet.members)[:4]
    names.capacity.down = True
    await asyncio.gather(*(fleet.kill(name) for name in some))
    starts = [asyncio.ensure_future(fleet.start(name)) for name in some]
    await asyncio.sleep(5.0)
    names.capacity.down = False
    await asyncio.gather(*starts)


FAULTS = (away, forgets_all, never_answers, answers_late, half_restarts_twice, away_while_some_start)


async def test_whatever_the_list_service_does_nodes_make_no_storm_and_come_back(tmp_path):
    """One fleet, fault after fault; clocks of some are an hour off. The version before makes eight times the steady
    rate of an outage, and goes on with it where that collapses the service."""
    fleet = Fleet(tmp_path, {"ruwi-hall": NODES}, platform={"groupSize": NODES})
    names = fleet.names = LimitedNames(1.5 * STEADY_PER_S)  # a few nodes draw more of a second than hundreds do
    for name, offset_ms in (("n3", 3_600_000.0), ("n4", -3_600_000.0)):
        fleet.members[name].offset_ms = offset_ms
    async with fleet:
        await asyncio.sleep(2.0)
        for fault in FAULTS:
            began = now_ms()
            await fault(fleet, names)
            back = now_ms()
            names.listed.clear()
            while len(names.listed) < NODES:
                await asyncio.sleep(0.02)
                assert now_ms() - back < 3200.0, f"{fault.__name__}: only {sorted(names.listed)} came back"
            await asyncio.sleep(max(0.0, back + 3000.0 - now_ms()) / 1000)
            told = f"{fault.__name__}: {[count for at, count in names.capacity.bins.items() if at * 100 >= began]}"
            assert not names.capacity.collapsed, told
            assert names.capacity.counted(back, back + 3000.0) <= 1.3 * 3 * STEADY_PER_S, told
            if fault is away:
                assert names.capacity.counted(back - 4000.0, back) < 0.7 * 4 * STEADY_PER_S, told


def went(fleet, name):
    """Why its start went on, in its present life."""
    return [
        one["cause"]
        for one in fleet.story()
        if one["event"] == "startup.goes_on" and one["life"] == fleet.members[name].logs[-1].name
    ]


async def begins(fleet, name):
    """Start a member in a task, which is returned once its new life has a log of its own: what an earlier life logged
    must not be taken for it."""
    lives = len(fleet.members[name].logs)
    task = asyncio.ensure_future(fleet.start(name))
    while len(fleet.members[name].logs) == lives:
        await asyncio.sleep(0.01)
    return task


async def test_members_start_by_permits_of_whoever_is_up_and_alone_where_nobody_is(tmp_path):
    async with Fleet(
        tmp_path, {"a": 3, "b": 2}, copies="  copies: 3\n", more="startup: {enabled: true, at-once: 1}\n"
    ) as fleet:
        await fleet.until_linked()
        first, second, *others = granter_order(fleet.members)
        name = others[0]
        assert all(len(went(fleet, one)) == 1 for one in fleet.members)

        async def starts_again(*reached):
            """With links to these alone: which of all comes up first is chance."""
            await fleet.kill(name)
            fleet.cut([name], [one for one in fleet.members if one not in (name, *reached)])
            began = now_ms()
            await fleet.start(name)
            assert now_ms() - began < 5000.0
            fleet.heal()
            return went(fleet, name)

        assert await starts_again(first) == [f"{first} has granted a permit"]
        permits, fleet.more = fleet.more, ""  # the first member's file names no permits any more: it holds up nobody
        await fleet.kill(first)
        await fleet.start(first)
        fleet.more = permits
        assert await starts_again(first) == [f"{first} has granted a permit"]
        await fleet.lose(first)
        assert await starts_again(second) == [f"{second} has granted a permit"]
        assert await starts_again() == ["no member is in reach"]


async def test_a_holder_of_the_permit_that_dies_before_it_is_on_the_list_holds_up_nobody(tmp_path):
    fleet = Fleet(tmp_path, {"a": 3, "b": 2}, copies="  copies: 3\n", more="startup: {enabled: true, at-once: 1}\n")
    names = fleet.names = LimitedNames(1000.0)
    async with fleet:
        await fleet.until_linked()
        granter, second, one, other, *rest = granter_order(fleet.members)
        for name in (one, other):
            await fleet.kill(name)
        # On a busy machine links come up in any order, and a member asks the first that it reaches.
        fleet.cut([one, other], [second, *rest])
        fleet.cut([one], [other])
        names.capacity.down = True  # a start is not over until a report is taken, so its permit is held
        begun = await begins(fleet, one)
        await fleet.until_logged(one, "startup.goes_on")
        assert went(fleet, one) == [f"{granter} has granted a permit"]
        waits = await begins(fleet, other)
        await fleet.until_logged(other, '"restored"')
        await asyncio.sleep(0.3)
        assert went(fleet, other) == []
        await fleet.kill(one)
        await fleet.until_logged(other, "startup.goes_on", within_s=4.0)
        assert went(fleet, other) == [f"{granter} has granted a permit"]
        begun.cancel()
        names.capacity.down = False
        await waits
