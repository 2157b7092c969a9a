"""Booked use of members that are lost with their disks: billed once, to the unit, by another member."""

from __future__ import annotations

import asyncio

import pytest

from flintshift.lab.fleet import Fleet, billed, booking

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n  take-over-use: 1s\n"

pytestmark = pytest.mark.anyio


async def test_a_machine_is_lost_with_its_disk_and_its_use_is_billed_by_another_once(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, more=booking(tmp_path)) as fleet:
        await fleet.until_linked()
        for number in range(40):
            assert (await fleet.ask("n1", f"k{number}" if number % 2 else None)).status == 200
        await asyncio.sleep(0.1)  # marks follow
        await fleet.lose("n1")
        await fleet.until_billed(40, within_s=15.0)
        assert billed(tmp_path) == {"n1": 40}
