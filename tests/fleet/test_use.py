"""Use of members that are lost with their disks is billed exactly once, by another member."""

from __future__ import annotations

import asyncio
import sys

import pytest

from flintshift.lab.billing import Billing
from flintshift.lab.fleet import Fleet, count_billed_requests, usage_settings
from flintshift.replication.placement import Placement
from flintshift.settings.embedded import CLUBS
from flintshift.storage.files import DiskFiles
from flintshift.usage.documents import utc
from flintshift.usage.folder import load

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n  take-over-use: 1s\n"

pytestmark = pytest.mark.anyio


async def test_the_use_of_a_machine_lost_with_its_disk_is_billed_once_by_another(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path)) as fleet:
        await fleet.wait_until_linked()
        for number in range(40):
            assert (await fleet.send_request("n1", f"k{number}" if number % 2 else None)).status == 200
        await asyncio.sleep(0.1)  # records that mark answers follow the answers
        await fleet.lose("n1")
        await fleet.wait_until_billed(40, within_s=15.0)
        assert count_billed_requests(tmp_path) == {"n1": 40}


async def send_served_requests(fleet: Fleet, name: str, count: int) -> int:
    """Send reads and writes to a member, and return the number of those that were served."""
    served = 0
    for number in range(count):
        answer = await fleet.send_request(name, None if number % 2 else f"{name}-{len(fleet.events)}")
        served += answer is not None and answer.status == 200
    await asyncio.sleep(0.1)  # records that mark answers follow the answers
    return served


async def test_a_member_keeps_its_ledger_when_restarted_in_time_and_exports_none_of_it_after_a_takeover(tmp_path):
    late_takeover = COPIES.replace("take-over-use: 1s", "take-over-use: 5s")
    async with Fleet(tmp_path, HALLS, copies=late_takeover, extra_settings=usage_settings(tmp_path)) as fleet:
        await fleet.wait_until_linked()
        before = await send_served_requests(fleet, "n1", 20)
        await fleet.kill("n1")
        await fleet.start("n1")  # takes 2 s and more on a busy machine
        await fleet.wait_until_linked()
        before += await send_served_requests(fleet, "n1", 20)
        fleet.pause("n1")
        await fleet.wait_until_billed(before, within_s=15.0)
        fleet.resume("n1")
        after = await send_served_requests(fleet, "n1", 10)  # with the first of these it learns of the takeover
        await fleet.wait_until_logged("n1", "usage.fenced")
        await fleet.lose("n1")  # with the ledger that it began when it was resumed
        await fleet.wait_until_billed(before + after, within_s=15.0)
        await asyncio.sleep(1.0)
        assert count_billed_requests(tmp_path) == {"n1": before + after} == {"n1": 50}
        events = [entry["event"] for entry in fleet.timeline() if entry["event"].startswith("usage.")]
        assert events.count("usage.took_over") == 2 and events.count("usage.takeover_done") == 2


async def test_a_member_that_restarts_on_its_disk_after_a_takeover_begins_a_new_ledger(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path, period="2s")) as fleet:
        await fleet.wait_until_linked()
        first = await send_served_requests(fleet, "n2", 30)
        await fleet.kill("n2")
        await fleet.wait_until_billed(first, within_s=15.0)
        await fleet.start("n2")
        await fleet.wait_until_linked()
        second = await send_served_requests(fleet, "n2", 30)
        await fleet.wait_until_billed(first + second, within_s=15.0)  # its own documents, after the end of the period
        await asyncio.sleep(2.5)
        assert count_billed_requests(tmp_path) == {"n2": 60}


async def correct(fleet: Fleet, name: str, id_: str, period: str) -> None:
    """Submit a correction of one request by the command line, which accepts it."""
    process = await asyncio.create_subprocess_exec(
        *(
            sys.executable,
            "-m",
            "flintshift.cli",
            "usage",
            "correct",
            "--folder",
            str(fleet.members[name].home / "usage"),
        ),
        *(
            "--id",
            id_,
            "--author",
            "jo",
            "--reason",
            "counted by hand",
            "--period",
            period,
            "--club",
            next(iter(CLUBS)),
        ),
        *("--class", "standings", "--front", "http", "--outcome", "served", "--by", "requests=1"),
    )
    assert await process.wait() == 0


def last_period(fleet: Fleet, name: str) -> str:
    """Return the start of the last open period of a member's ledger, as the command line writes it."""
    accounts, _, _ = load(DiskFiles(), fleet.members[name].home / "usage")
    return utc(max(accounts.state.periods))


async def test_corrections_of_a_stopped_member_leave_its_ledger_to_the_member_that_took_it_over(tmp_path):
    """Guards against a ledger that is billed twice: the command line wrote under epochs that nobody had granted."""
    billing = Billing(tmp_path / "billed", late_s=1.0)
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    billing.scripted_faults = ["late"] * 1000  # the takeover is still exporting when the member returns
    settings = f"usage: {{enabled: true, folder: usage, period: 1s, grace: 20s, export: {{http: {{url: '{url}'}}}}}}\n"
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=settings) as fleet:
        await fleet.wait_until_linked()
        served = 0
        for _ in range(4):  # in periods of their own
            served += await send_served_requests(fleet, "n1", 10)
            await asyncio.sleep(1.0)
        await fleet.kill("n1")
        async with asyncio.timeout(15.0):
            while not [entry for entry in fleet.timeline() if entry["event"] == "usage.took_over"]:
                await asyncio.sleep(0.05)
        period = last_period(fleet, "n1")
        for id_ in ("c1", "c2"):
            await correct(fleet, "n1", id_, period)
        await fleet.start("n1")
        await fleet.wait_until_billed(served + 2, within_s=30.0)
        await asyncio.sleep(5.0)
        assert count_billed_requests(tmp_path) == {"n1": served + 2}
    billing.stop()


async def test_corrections_of_a_stopped_member_are_billed_once_by_itself_if_nobody_took_its_ledger_over(tmp_path):
    late_takeover = COPIES.replace("take-over-use: 1s", "take-over-use: 30s")
    settings = usage_settings(tmp_path, period="1s").replace("grace: 0ms", "grace: 5s")
    async with Fleet(tmp_path, HALLS, copies=late_takeover, extra_settings=settings) as fleet:
        await fleet.wait_until_linked()
        served = await send_served_requests(fleet, "n1", 40)
        await fleet.kill("n1")
        period = last_period(fleet, "n1")
        for id_ in ("c1", "c2"):
            await correct(fleet, "n1", id_, period)
        await fleet.start("n1")
        await fleet.wait_until_billed(served + 2, within_s=20.0)
        assert not [entry for entry in fleet.timeline() if entry["event"] in ("usage.fenced", "usage.took_over")]
        await asyncio.sleep(1.0)
        assert count_billed_requests(tmp_path) == {"n1": served + 2}


async def test_a_member_dies_during_a_takeover_and_the_third_holder_completes_it_once(tmp_path):
    async with Fleet(
        tmp_path, {"a": 2, "b": 2, "c": 1}, copies=COPIES, extra_settings=usage_settings(tmp_path)
    ) as fleet:
        await fleet.wait_until_linked()
        served = await send_served_requests(fleet, "n1", 20)
        await fleet.kill("n1")
        while not (takers := [entry["node"] for entry in fleet.timeline() if entry["event"] == "usage.took_over"]):
            await asyncio.sleep(0.01)
        await fleet.lose(takers[0])
        await fleet.start("n1")  # if a majority has what the taker wrote, its own disk is behind that
        await fleet.start(takers[0])
        await fleet.wait_until_ledgers_complete()  # before that, use may fall into a gap, which is reported
        await send_served_requests(fleet, "n1", 1)
        await fleet.kill("n1")
        await fleet.wait_until_billed(served + 1, within_s=30.0)
        await asyncio.sleep(1.0)
        assert count_billed_requests(tmp_path) == {"n1": 21}


async def test_a_holder_that_was_cut_off_when_a_takeover_ended_drops_its_replica_later(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path)) as fleet:
        await fleet.wait_until_linked()
        served = await send_served_requests(fleet, "n1", 20)
        # A file in place of the folder: nothing can be exported, so the takeover doesn't end yet.
        (tmp_path / "billed").touch()
        await fleet.lose("n1")
        async with asyncio.timeout(15.0):
            while not (takeovers := [entry for entry in fleet.timeline() if entry["event"] == "usage.took_over"]):
                await asyncio.sleep(0.02)
        taker = [takeovers[0]["node"]]
        halls = {name: member.hall for name, member in fleet.members.items()}
        (third_holder,) = set(Placement(halls, 3).log_holders("n1")) - {"n1", *taker}

        async def replica_roles() -> list[str]:
            return [
                ledger["role"]
                for ledger in await fleet._ledger_statuses(third_holder)
                if ledger.get("life") == takeovers[0]["life"]
            ]

        async def replica_states() -> dict[str, str]:
            return next(
                (
                    ledger["copies"]
                    for ledger in await fleet._ledger_statuses(taker[0])
                    if ledger["role"] == "took over"
                ),
                {},
            )

        await fleet.start("n1")  # a majority without the third holder
        async with asyncio.timeout(10.0):
            while set((await replica_states()).values()) != {"following"}:
                await asyncio.sleep(0.05)
        fleet.cut(taker, [third_holder])
        (tmp_path / "billed").unlink()
        await fleet.wait_until_logged(taker[0], "usage.takeover_done")
        assert await replica_roles() == ["copies"]
        fleet.heal()
        async with asyncio.timeout(10.0):
            while await replica_roles():
                await asyncio.sleep(0.05)
        assert count_billed_requests(tmp_path) == {"n1": served}


async def test_when_no_replica_answers_that_is_logged_and_nothing_is_exported(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, extra_settings=usage_settings(tmp_path, period="1s")) as fleet:
        await fleet.wait_until_linked()
        await send_served_requests(fleet, "n1", 5)
        others = [name for name in fleet.members if name != "n1"]
        fleet.cut(["n1"], others)
        reads = [await fleet.send_request("n1", None) for _ in range(20)]
        assert {answer.status for answer in reads} == {200}
        await fleet.wait_until_logged("n1", "usage.copies_lack")
        billed_before = count_billed_requests(tmp_path).get("n1", 0)
        await asyncio.sleep(0.5)
        assert count_billed_requests(tmp_path).get("n1", 0) == billed_before
        fleet.heal()
        await fleet.wait_until_billed(25, within_s=15.0)
        assert count_billed_requests(tmp_path) == {"n1": 25}
