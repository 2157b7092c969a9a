"""The program with its ledger: killed under load, on a disk that fills up, with corrections while it runs."""

from __future__ import annotations

import asyncio
import json
import random
import resource
import shutil
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from flintshift.lab.billing import Billing
from flintshift.lab.callers import Caller, Tally, fields_of, http_request, reply
from flintshift.lab.demo import booked_in
from flintshift.lab.peers import Pool
from flintshift.lab.rig import Rig
from flintshift.settings.embedded import CLUBS
from flintshift.storage.files import DiskFiles
from flintshift.usage import documents
from flintshift.usage.folder import read_documents

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "benchmarks"))
import kill_exporter  # noqa: E402
import kill_node  # noqa: E402

pytestmark = pytest.mark.anyio
LEDGER = (
    "usage: {{enabled: true, folder: usage, period: {}, grace: 0ms, on-disk-failure: {}}}\nlog: {{enabled: true}}\n"
)


async def ask(rig, class_name="standings", club="sur-pacers", rid="00000000000000aa", **more):
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.ports["http"])
    writer.write(http_request(class_name, b"12:01.5", fields_of(rid, club, class_name, 1) | more))
    status, body, _ = await reply(reader)
    writer.close()
    return status, body


async def until(wanted, what):
    for _ in range(400):
        if found := wanted():
            return found
        await asyncio.sleep(0.025)
    raise AssertionError(what)


def rows(folder):
    told = subprocess.run(
        [sys.executable, "-m", "flintshift.cli", "usage", "show", "--folder", str(folder), "--json"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    return json.loads(told)["rows"]


async def test_use_is_shown_after_a_restart(tmp_path):
    async with Rig(tmp_path, LEDGER.format("1h", "serve"), root=ROOT) as rig:
        assert (await ask(rig))[0] == 200
        assert (await ask(rig, "race-results", rid="00000000000000ab", **{"X-Again": "1"}))[0] == 200
        assert (await ask(rig, "submit-time", rid="00000000000000ac", **{"X-Unique": "k"}))[0] == 200
        assert (await ask(rig, "submit-time", rid="00000000000000ad", **{"X-Unique": "k"}))[0] == 200
        assert await rig.leave() == 0
        await rig.start(asyncio.subprocess.DEVNULL)
        found = {row["class"]: row for row in rows(tmp_path / "usage")}
        assert {name: row["requests"] for name, row in found.items()} == {
            "standings": 1,
            "race-results": 1,
            "submit-time": 2,
        }
        assert found["race-results"]["further_tries"] == 1 and found["standings"]["bytes_in"] == 7
        # The repeat was answered from the kept result: one run of the two, and said so.
        assert found["submit-time"]["kept"] == 1 and found["submit-time"]["run_us"] == 1000
        assert len(rig.pool.spawned) == 3


async def test_a_caller_that_goes_and_a_run_that_ends_late_are_booked(tmp_path):
    pool = Pool(took_ms={"standings": 400.0, "finish-times": 1700.0})
    async with Rig(tmp_path, LEDGER.format("1h", "serve"), root=ROOT, pool=pool) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.ports["http"])
        writer.write(http_request("standings", b"1", fields_of("00000000000000b1", "sur-pacers", "standings", 1)))
        await until(lambda: pool.spawned, "no run began")
        writer.transport.abort()
        assert (await ask(rig, "finish-times", rid="00000000000000b2"))[0] == 500  # given up on at its due time
        await asyncio.sleep(0.6)
        assert await rig.leave() == 0
        del reader
    found = {(row["class"], row["outcome"]): row for row in rows(tmp_path / "usage")}
    assert found["standings", "gone"]["requests"] == 1 and found["standings", "gone"]["run_us"] == 400_000
    assert found["finish-times", "failed"]["run_us"] == 1_700_000


async def test_killed_under_load_each_answer_is_booked_or_in_doubt():
    told = await kill_node.play(4, 2, 1)
    assert told["wrong"] == [] and told["answered"] > 500


async def test_the_exporter_killed_a_hundred_times_bills_to_the_unit():
    told = await kill_exporter.play(100, 6, 5000)
    assert told["mismatches"] == 0 and told["kills"] >= 100
    assert told["points"].get("delivered, not acknowledged", 0) > 0


@pytest.mark.parametrize("mode", ["serve", "refuse"])
async def test_a_full_disk_is_served_through_or_refused_and_its_gap_is_told(tmp_path, mode):
    async with Rig(tmp_path, LEDGER.format("1s", mode), root=ROOT) as rig:
        assert (await ask(rig))[0] == 200
        pid = rig.process.pid
        whole = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (64, whole[1]))  # each write now fails as on a full disk
        statuses = Counter()
        for number in range(60):
            status, _ = await ask(rig, rid=f"{number:016x}")
            statuses[status] += 1
            await asyncio.sleep(0.02)
        if mode == "serve":
            assert statuses == {200: 60}
        else:
            assert statuses[429] >= 50 and statuses[200] + statuses[429] == 60
        resource.prlimit(pid, resource.RLIMIT_FSIZE, whole)

        async def served():
            return (await ask(rig, rid="00000000000000ff"))[0] == 200

        for _ in range(200):
            if await served():
                break
            await asyncio.sleep(0.05)
        else:
            raise AssertionError("the disk is back, and the node does not take work")
        await until(
            lambda: [one for one in read_documents(DiskFiles(), tmp_path / "usage").values() if one.gaps],
            "no document tells of the gap",
        )
        assert await rig.leave() == 0
    booked, doubt = booked_in(tmp_path / "usage")
    assert doubt == 0
    if mode == "serve":  # a refusal that could not be booked is turned away before it is a request of the ledger
        assert booked["sur-pacers"] >= 62
    gap = next(one for one in read_documents(DiskFiles(), tmp_path / "usage").values() if one.gaps).gaps[0]
    assert gap.to_ms > gap.from_ms and "File too large" in gap.cause


async def test_a_correction_is_taken_by_the_running_node_while_its_period_is_exported(tmp_path):
    settings = LEDGER.format("1s", "serve").replace("usage: {", "usage: {export: {folder: out}, ")
    async with Rig(tmp_path, settings, root=ROOT) as rig:
        assert (await ask(rig))[0] == 200
        name = await until(
            lambda: [
                path.name for path in (tmp_path / "out").glob("*.r0.usage") if documents.parse(path.read_bytes()).rows
            ],
            "the period in use was not exported",
        )
        first = (tmp_path / "out" / name[0]).read_bytes()
        command = [
            sys.executable,
            "-m",
            "flintshift.cli",
            "usage",
            "correct",
            "--folder",
            str(tmp_path / "usage"),
            "--id",
            "c-1",
            "--author",
            "op",
            "--reason",
            "counted twice",
            "--club",
            "sur-pacers",
            "--class",
            "standings",
            "--front",
            "http",
            "--outcome",
            "served",
            "--period",
            name[0].split(".", 2)[2][:20],
            "--by",
            "requests=-1",
        ]
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        assert (await process.communicate())[0] == b"makes revision 1 of the period, which has closed\n"
        again = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        assert (await again.communicate())[0] == b"was taken before; nothing changes\n"
        revision = tmp_path / "out" / name[0].replace(".r0.", ".r1.")
        await until(revision.exists, "the revision was not exported")
        assert (tmp_path / "out" / name[0]).read_bytes() == first
        assert await rig.leave() == 0


async def test_two_exporters_at_once_and_two_copies_of_a_folder_bill_once(tmp_path):
    """One of two on a folder is refused; two copies that know nothing of each other deliver the same documents."""
    served = kill_exporter.make(tmp_path / "u", random.Random(3))
    shutil.copytree(tmp_path / "u", tmp_path / "copy")
    billing = Billing(tmp_path / "billing", 0.3, 7, late_s=0.05)
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    processes = [
        await kill_exporter.export(folder, url)
        for folder in (tmp_path / "u", tmp_path / "u", tmp_path / "copy", tmp_path / "copy")
    ]
    codes = [await process.wait() for process in processes]
    assert all(code in (0, 1) for code in codes) and 0 in codes[:2] and 0 in codes[2:]
    found = [documents.parse(path.read_bytes()) for path in (tmp_path / "billing").iterdir()]
    assert sum(row.amounts.requests for one in found for row in one.rows) == served and billing.conflicts == 0
    billing.stop()


async def test_a_second_node_on_the_folder_and_a_damaged_log_are_refused_in_one_line(tmp_path):
    async with Rig(tmp_path, LEDGER.format("1h", "serve"), root=ROOT) as rig:
        assert (await ask(rig))[0] == 200
        other = await asyncio.create_subprocess_exec(
            *rig.command(), cwd=ROOT, env={"LB_CONFIG": str(tmp_path / "config.json")}, stderr=asyncio.subprocess.PIPE
        )
        told = (await other.communicate())[1].decode()
        assert other.returncode == 2 and "another process works in this folder" in told
        assert await rig.leave() == 0
    log = next((tmp_path / "usage" / "log").iterdir())
    data = bytearray(log.read_bytes())
    data[40] ^= 1
    log.write_bytes(data)
    other = subprocess.run(
        rig.command(),
        cwd=ROOT,
        env={"LB_CONFIG": str(tmp_path / "config.json")},
        capture_output=True,
        text=True,
        check=False,
    )
    assert other.returncode == 2 and f"{log}: is damaged: offset" in other.stderr


async def test_counted_and_booked_agree_over_both_fronts_and_a_reload(tmp_path):
    async with Rig(tmp_path, LEDGER.format("1s", "serve"), uwsgi=True, root=ROOT) as rig:
        tally, stop = Tally(), asyncio.Event()
        tasks = [
            asyncio.create_task(Caller(rig.ports[front], front, number, [*CLUBS], tally, number, 0.002).run(stop))
            for number in range(6)
            for front in ("http", "uwsgi")
        ]
        await asyncio.sleep(0.7)
        config = json.loads((tmp_path / "config.json").read_text())  # a club and a class come, another order too
        settings, info = config["settings"], config["settings"]["familyInfo"]
        settings["tenants"].insert(0, {"name": "late-comers", "quotaPerS": 60.0})
        settings["classes"].insert(0, {**settings["classes"][0], "name": "finals"})
        info["callsByClass"], info["classSkipWorth"] = [False] * 5, [0.0] * 5
        (tmp_path / "config.json").write_text(json.dumps(config))
        rig.process.send_signal(1)  # SIGHUP
        late = Caller(rig.ports["http"], "http", 99, ["late-comers"], tally, 99, 0.002)
        late.classes = ("finals",)
        await asyncio.sleep(0.2)
        tasks.append(asyncio.create_task(late.run(stop)))
        await asyncio.sleep(0.5)
        stop.set()
        await asyncio.gather(*tasks)
        assert await rig.leave() == 0
    counted = Counter()
    for (club, *_), count in tally.answers.items():
        counted[club] += count
    booked, doubt = booked_in(tmp_path / "usage")
    assert booked == counted and doubt == 0 and sum(counted.values()) > 100 and booked["late-comers"] > 5
