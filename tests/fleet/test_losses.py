"""A fleet of real processes loses machines with their disks: what was promised is kept by the others."""

from __future__ import annotations

import pytest

from flintshift.lab.chaos_copies import rounds
from flintshift.lab.fleet import Fleet

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n"

pytestmark = pytest.mark.anyio


async def test_a_machine_is_lost_with_its_disk_and_the_repeat_does_not_run_again(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES) as fleet:
        await fleet.until_linked()
        first = await fleet.ask("n1", "k1")
        assert first is not None and first.status == 200
        await fleet.lose("n1")
        for name in ("n2", "n3", "n4", "n5"):
            again = await fleet.ask(name, "k1", again=True)
            assert again is not None and again.body == first.body
        assert fleet.judged().broken == []


async def test_three_rounds_of_chaos(tmp_path):
    tally = await rounds(tmp_path, 3, seed=11)
    assert tally.texts == []
    assert tally.runs > 100


async def test_the_same_rounds_without_copies_break_promises(tmp_path):
    tally = await rounds(tmp_path, 1, seed=11, copies=False)
    assert tally.broken["second run"] > 10
