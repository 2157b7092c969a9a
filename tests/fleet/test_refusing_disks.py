"""A fleet with copies goes on, and is whole again soon, while and after its disks refuse; a machine is lost with its
disk in each round. The long run is `benchmarks/chaos_copies.py --disks`."""

from __future__ import annotations

import math

import pytest

from flintshift.lab.chaos_copies import DiskRefusal, rounds

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
