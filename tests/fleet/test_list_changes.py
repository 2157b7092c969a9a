"""Real members whose list is changed as the operators' page says: all are stopped, and started with the new list."""

from __future__ import annotations

import asyncio

import pytest

from flintshift.lab.fleet import Fleet, count_billed_requests, usage_settings

pytestmark = pytest.mark.anyio

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n  take-over-use: 1s\n"
KEYS, AT_ONCE = 200, 20  # the more at once, the more votes cross


async def test_no_write_runs_twice_after_two_of_five_members_were_retired(tmp_path):
    """Guards against members that vote on keys which they did not hold before: 3 to 11 of 100 writes ran twice."""
    async with Fleet(tmp_path, HALLS, copies=COPIES) as fleet:
        await fleet.wait_until_linked()
        first = [await fleet.send_request(f"n{number % 5 + 1}", f"k{number}") for number in range(KEYS)]
        assert {answer.status for answer in first} == {200}
        await fleet.retire("n4", "n5")
        await fleet.wait_until_linked()
        for begin in range(0, KEYS, AT_ONCE):
            await asyncio.gather(
                *(
                    fleet.send_request(f"n{number % 3 + 1}", f"k{number}", is_repeat=True)
                    for number in range(begin, begin + AT_ONCE)
                )
            )
        result = fleet.check_history()
        assert result.violations == [] and result.runs == KEYS
        for name in fleet.members:
            await fleet.wait_until_refilled(name)
        assert (await fleet.send_request("n1", "new")).status == 200  # all vote again


async def test_the_use_of_a_retired_member_is_billed_once_and_no_member_ends(tmp_path):
    """Guards against members that end by KeyError after each start, as they hold a retired member's ledger."""
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path)) as fleet:
        await fleet.wait_until_linked()
        for _ in range(20):
            assert (await fleet.send_request("n5", None)).status == 200
        await asyncio.sleep(0.1)  # records that mark answers follow the answers
        await fleet.retire("n5")
        await fleet.wait_until_billed(20, within_s=20.0)
        await asyncio.sleep(1.0)
        assert count_billed_requests(tmp_path) == {"n5": 20}
        assert all(member.up for member in fleet.members.values()) and fleet.tracebacks() == []
        for name in fleet.members:
            ledgers = [ledger["member"] for ledger in await fleet._ledger_statuses(name)]
            assert "n5" not in ledgers  # it was let go
