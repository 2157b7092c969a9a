"""Real nodes beside each other, whose list service goes away and comes back: what it meets then."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from flintshift.lab.fleet import Fleet
from flintshift.lab.services import LimitedNames, now_ms

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
