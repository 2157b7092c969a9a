"""Real nodes beside each other, whose list service goes away and comes back: what it meets then."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from flintshift.lab.fleet import Fleet
from flintshift.lab.services import LimitedNames, now_ms
from flintshift.startup.permits import order

pytestmark = pytest.mark.anyio
NODES = 16
STEADY_PER_S = NODES / 0.8


async def test_nodes_do_not_storm_a_list_service_that_comes_back(tmp_path):
    fleet = Fleet(tmp_path, {"ruwi-hall": NODES}, platform={"groupSize": NODES})
    names = fleet.names = LimitedNames(1.3 * STEADY_PER_S)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(fleet)
        await asyncio.sleep(3.0)
        began = now_ms()
        names.capacity.down = True
        await asyncio.sleep(8.0)
        names.capacity.down, back = False, now_ms()
        names.listed.clear()
        await asyncio.sleep(3.2)
        assert len(names.listed) == NODES  # all are back before an entry would lapse
        late = names.capacity.counted(began + 4000.0, back) / (back - began - 4000.0) * 1000
        assert late < 0.7 * STEADY_PER_S  # a storm needs more than the steady rate; the version before makes 8 times it
        assert names.capacity.peak(back, now_ms(), 500.0) <= 1.5 * STEADY_PER_S / 2 + 3
        assert not names.capacity.collapsed


def went(fleet, name):
    """Why its start went on, in its present life."""
    return [one["cause"] for one in fleet.story()
            if one["event"] == "startup.goes_on" and one["life"] == fleet.members[name].logs[-1].name]


async def test_members_start_by_permits_of_whoever_is_up_and_alone_where_nobody_is(tmp_path):
    async with Fleet(tmp_path, {"a": 3, "b": 2}, copies="  copies: 3\n",
                     more="startup: {enabled: true, at-once: 1}\n") as fleet:
        await fleet.until_linked()
        first, second, *others = order(fleet.members)
        assert all(len(went(fleet, name)) == 1 for name in fleet.members)
        name = others[0]
        await fleet.kill(name)
        await fleet.start(name)
        assert went(fleet, name) == [f"{first} has granted a permit"]
        await fleet.lose(first)
        await fleet.kill(name)
        await fleet.start(name)
        assert went(fleet, name) == [f"{second} has granted a permit"]
        await fleet.kill(name)
        fleet.cut([name], [one for one in fleet.members if one != name])
        began = now_ms()
        await fleet.start(name)
        assert went(fleet, name) == ["no member is in reach"] and now_ms() - began < 5000.0


async def test_a_holder_of_the_permit_that_dies_before_it_is_on_the_list_holds_up_nobody(tmp_path):
    fleet = Fleet(tmp_path, {"a": 3, "b": 2}, copies="  copies: 3\n", more="startup: {enabled: true, at-once: 1}\n")
    names = fleet.names = LimitedNames(1000.0)
    async with fleet:
        await fleet.until_linked()
        one, other = order(fleet.members)[2:4]
        for name in (one, other):
            await fleet.kill(name)
        names.capacity.down = True  # a start is not over until a report is taken, so its permit is held
        begun = asyncio.ensure_future(fleet.start(one))
        await fleet.until_logged(one, "startup.goes_on")
        waits = asyncio.ensure_future(fleet.start(other))
        await fleet.until_logged(other, '"restored"')
        await asyncio.sleep(0.3)
        assert went(fleet, other) == []
        await fleet.kill(one)
        await fleet.until_logged(other, "startup.goes_on", within_s=4.0)
        begun.cancel()
        names.capacity.down = False
        await waits
