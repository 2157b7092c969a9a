"""A fleet of real processes loses machines with their disks, and the other members keep all guarantees."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest

from flintshift.lab.chaos_replication import run_rounds
from flintshift.lab.fleet import Fleet

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n"

pytestmark = pytest.mark.anyio


async def test_a_machine_is_lost_with_its_disk_and_the_repeat_does_not_run_again(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES) as fleet:
        await fleet.wait_until_linked()
        first = await fleet.send_request("n1", "k1")
        assert first is not None and first.status == 200
        await fleet.lose("n1")
        for name in ("n2", "n3", "n4", "n5"):
            again = await fleet.send_request(name, "k1", is_repeat=True)
            assert again is not None and again.body == first.body
        assert fleet.check_history().violations == []


async def test_three_rounds_of_chaos_break_no_guarantee(tmp_path):
    tally = await run_rounds(tmp_path, 3, seed=11)
    assert tally.violation_texts == []
    assert tally.runs > 100


async def test_the_same_rounds_without_replication_break_guarantees(tmp_path):
    tally = await run_rounds(tmp_path, 1, seed=11, copies=False)
    assert tally.violations["second run"] > 10


async def test_operators_see_dead_members_stored_keys_and_damaged_files(tmp_path):
    async def run_command(*arguments: str) -> tuple[int, dict]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "flintshift.cli", *arguments, "--json", stdout=asyncio.subprocess.PIPE
        )
        stdout, _ = await process.communicate()
        return process.returncode, json.loads(stdout)

    async with Fleet(tmp_path, HALLS, copies=COPIES) as fleet:
        await fleet.wait_until_linked()
        await fleet.send_request("n1", "k1")
        folders = {name: str(member.home / "copies") for name, member in fleet.members.items()}
        code, report = await run_command("peers", "status", folders["n2"])
        assert code == 0 and {member["processes"][0]["state"] for member in report["members"]} == {"alive"}
        code, report = await run_command("copies", "status", folders["n2"])
        assert code == 0 and report["votes"] and not report["may_have_run"]
        verified = [await run_command("copies", "verify", folder) for folder in folders.values()]
        assert [code for code, _ in verified] == [0] * 5 and sum(report["keys"] for _, report in verified) == 3
        await fleet.lose("n1")
        await asyncio.sleep(1.6)
        code, report = await run_command("peers", "status", folders["n2"])
        assert code == 3
        assert [member["processes"][0]["state"] for member in report["members"] if not member["linked"]] == ["dead"]
        holder = next(
            name for name, (_, report) in zip(folders, verified, strict=True) if report["keys"] and name != "n1"
        )
        log = next((fleet.members[holder].home / "copies" / "log").iterdir())
        data = bytearray(log.read_bytes())
        data[50] ^= 1  # in the first record
        log.write_bytes(data)
        code, report = await run_command("copies", "verify", folders[holder])
        assert code == 3 and log.name in report["damage"]
