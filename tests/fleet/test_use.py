"""Booked use of members that are lost with their disks: billed once, to the unit, by another member."""

from __future__ import annotations

import asyncio

import pytest

from flintshift.lab.fleet import Fleet, count_billed_requests, usage_settings
from flintshift.replication.placement import Placement

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n  take-over-use: 1s\n"

pytestmark = pytest.mark.anyio


async def test_a_machine_is_lost_with_its_disk_and_its_use_is_billed_by_another_once(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path)) as fleet:
        await fleet.wait_until_linked()
        for number in range(40):
            assert (await fleet.send_request("n1", f"k{number}" if number % 2 else None)).status == 200
        await asyncio.sleep(0.1)  # marks follow
        await fleet.lose("n1")
        await fleet.wait_until_billed(40, within_s=15.0)
        assert count_billed_requests(tmp_path) == {"n1": 40}


async def answered(fleet: Fleet, name: str, count: int) -> int:
    served = 0
    for number in range(count):
        answer = await fleet.send_request(name, None if number % 2 else f"{name}-{len(fleet.events)}")
        served += answer is not None and answer.status == 200
    await asyncio.sleep(0.1)  # marks follow
    return served


async def test_restarted_in_time_it_keeps_its_ledger_and_paused_past_the_takeover_it_exports_nothing_of_it(tmp_path):
    patient = COPIES.replace("take-over-use: 1s", "take-over-use: 5s")
    async with Fleet(tmp_path, HALLS, copies=patient, extra_settings=usage_settings(tmp_path)) as fleet:
        await fleet.wait_until_linked()
        before = await answered(fleet, "n1", 20)
        await fleet.kill("n1")
        await fleet.start("n1")  # on a busy machine that takes 2 s and more
        await fleet.wait_until_linked()
        before += await answered(fleet, "n1", 20)
        fleet.pause("n1")
        await fleet.wait_until_billed(before, within_s=15.0)
        fleet.resume("n1")
        after = await answered(fleet, "n1", 10)  # the first of these is where it hears
        await fleet.wait_until_logged("n1", "usage.fenced")
        await fleet.lose("n1")  # with the ledger that it began when it woke
        await fleet.wait_until_billed(before + after, within_s=15.0)
        await asyncio.sleep(1.0)
        assert count_billed_requests(tmp_path) == {"n1": before + after} == {"n1": 50}
        told = [one["event"] for one in fleet.timeline() if one["event"].startswith("usage.")]
        assert told.count("usage.took_over") == 2 and told.count("usage.takeover_done") == 2


async def test_it_comes_back_with_its_disk_after_the_takeover_and_books_anew(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path, period="2s")) as fleet:
        await fleet.wait_until_linked()
        first = await answered(fleet, "n2", 30)
        await fleet.kill("n2")
        await fleet.wait_until_billed(first, within_s=15.0)
        await fleet.start("n2")
        await fleet.wait_until_linked()
        second = await answered(fleet, "n2", 30)
        await fleet.wait_until_billed(first + second, within_s=15.0)  # its own documents, once the period is over
        await asyncio.sleep(2.5)
        assert count_billed_requests(tmp_path) == {"n2": 60}


async def test_a_taker_dies_in_the_middle_and_the_third_holder_ends_it_once(tmp_path):
    async with Fleet(
        tmp_path, {"a": 2, "b": 2, "c": 1}, copies=COPIES, extra_settings=usage_settings(tmp_path)
    ) as fleet:
        await fleet.wait_until_linked()
        served = await answered(fleet, "n1", 20)
        await fleet.kill("n1")
        while not (takers := [one["node"] for one in fleet.timeline() if one["event"] == "usage.took_over"]):
            await asyncio.sleep(0.01)
        await fleet.lose(takers[0])
        await fleet.start("n1")  # its own disk is behind what the taker wrote, where that stood at a majority
        await fleet.start(takers[0])
        await fleet.wait_until_ledgers_complete()  # before that an answer leaves in a gap, which is told
        await answered(fleet, "n1", 1)
        await fleet.kill("n1")
        await fleet.wait_until_billed(served + 1, within_s=30.0)
        await asyncio.sleep(1.0)
        assert count_billed_requests(tmp_path) == {"n1": 21}


async def test_a_holder_that_was_cut_off_when_a_takeover_ended_holds_nothing_of_it_for_ever(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path)) as fleet:
        await fleet.wait_until_linked()
        served = await answered(fleet, "n1", 20)
        (tmp_path / "billed").touch()  # no folder: nothing can be exported, so the takeover does not end yet
        await fleet.lose("n1")
        async with asyncio.timeout(15.0):
            while not (told := [one for one in fleet.timeline() if one["event"] == "usage.took_over"]):
                await asyncio.sleep(0.02)
        taker = [told[0]["node"]]
        halls = {name: member.hall for name, member in fleet.members.items()}
        (other,) = set(Placement(halls, 3).log_holders("n1")) - {"n1", *taker}

        async def held() -> list[str]:
            return [one["role"] for one in await fleet._ledger_statuses(other) if one.get("life") == told[0]["life"]]

        async def copies() -> dict[str, str]:
            return next(
                (one["copies"] for one in await fleet._ledger_statuses(taker[0]) if one["role"] == "took over"), {}
            )

        await fleet.start("n1")  # a majority without the other one
        async with asyncio.timeout(10.0):
            while set((await copies()).values()) != {"following"}:
                await asyncio.sleep(0.05)
        fleet.cut(taker, [other])
        (tmp_path / "billed").unlink()
        await fleet.wait_until_logged(taker[0], "usage.takeover_done")
        assert await held() == ["copies"]
        fleet.heal()
        async with asyncio.timeout(10.0):
            while await held():
                await asyncio.sleep(0.05)
        assert count_billed_requests(tmp_path) == {"n1": served}


async def test_no_copy_answers_and_that_is_told_and_nothing_is_exported_meanwhile(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path, period="1s")) as fleet:
        await fleet.wait_until_linked()
        await answered(fleet, "n1", 5)
        others = [name for name in fleet.members if name != "n1"]
        fleet.cut(["n1"], others)
        reads = [await fleet.send_request("n1", None) for _ in range(20)]
        assert {answer.status for answer in reads} == {200}
        await fleet.wait_until_logged("n1", "usage.copies_lack")
        stood = count_billed_requests(tmp_path).get("n1", 0)
        await asyncio.sleep(0.5)
        assert count_billed_requests(tmp_path).get("n1", 0) == stood
        fleet.heal()
        await fleet.wait_until_billed(25, within_s=15.0)
        assert count_billed_requests(tmp_path) == {"n1": 25}
