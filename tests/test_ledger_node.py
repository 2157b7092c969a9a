"""Tests of the program with its ledger: killed under load, on a full disk, with corrections while it runs."""

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
from flintshift.lab.callers import Caller, Tally, http_request, read_reply, request_fields
from flintshift.lab.demo import recorded_requests
from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.standins import Pool
from flintshift.settings.embedded import CLUBS
from flintshift.storage.files import DiskFiles
from flintshift.usage import documents
from flintshift.usage.folder import read_documents

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "benchmarks"))
import kill_exporter  # noqa: E402
import kill_node  # noqa: E402

pytestmark = pytest.mark.anyio
SETTINGS = (
    "usage: {{enabled: true, folder: usage, period: {}, grace: 0ms, on-disk-failure: {}}}\nlog: {{enabled: true}}\n"
)


async def send_request(cluster, class_name="standings", club="sur-pacers", rid="00000000000000aa", **headers):
    reader, writer = await asyncio.open_connection("127.0.0.1", cluster.ports["http"])
    writer.write(http_request(class_name, b"12:01.5", request_fields(rid, club, class_name, 1) | headers))
    status, body, _ = await read_reply(reader)
    writer.close()
    return status, body


async def wait_until(condition, message):
    for _ in range(400):
        if result := condition():
            return result
        await asyncio.sleep(0.025)
    raise AssertionError(message)


def show_rows(folder):
    output = subprocess.run(
        [sys.executable, "-m", "flintshift.cli", "usage", "show", "--folder", str(folder), "--json"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    return json.loads(output)["rows"]


async def test_use_is_shown_after_a_restart(tmp_path):
    async with SingleNodeCluster(tmp_path, SETTINGS.format("1h", "serve"), root=ROOT) as cluster:
        assert (await send_request(cluster))[0] == 200
        assert (await send_request(cluster, "race-results", rid="00000000000000ab", **{"X-Again": "1"}))[0] == 200
        assert (await send_request(cluster, "submit-time", rid="00000000000000ac", **{"X-Unique": "k"}))[0] == 200
        assert (await send_request(cluster, "submit-time", rid="00000000000000ad", **{"X-Unique": "k"}))[0] == 200
        assert await cluster.terminate() == 0
        await cluster.start(asyncio.subprocess.DEVNULL)
        rows_by_class = {row["class"]: row for row in show_rows(tmp_path / "usage")}
        assert {name: row["requests"] for name, row in rows_by_class.items()} == {
            "standings": 1,
            "race-results": 1,
            "submit-time": 2,
        }
        assert rows_by_class["race-results"]["further_tries"] == 1 and rows_by_class["standings"]["bytes_in"] == 7
        # The repeat was answered from the kept result and is counted as such: there was one run for both.
        assert rows_by_class["submit-time"]["kept"] == 1 and rows_by_class["submit-time"]["run_us"] == 1000
        assert len(cluster.pool.spawned) == 3


async def test_a_disconnected_caller_and_a_run_that_ends_late_are_recorded(tmp_path):
    pool = Pool(took_ms={"standings": 400.0, "finish-times": 1700.0})
    async with SingleNodeCluster(tmp_path, SETTINGS.format("1h", "serve"), root=ROOT, pool=pool) as cluster:
        reader, writer = await asyncio.open_connection("127.0.0.1", cluster.ports["http"])
        writer.write(http_request("standings", b"1", request_fields("00000000000000b1", "sur-pacers", "standings", 1)))
        await wait_until(lambda: pool.spawned, "no run began")
        writer.transport.abort()
        # This request is cancelled at its deadline.
        assert (await send_request(cluster, "finish-times", rid="00000000000000b2"))[0] == 500
        await asyncio.sleep(0.6)
        assert await cluster.terminate() == 0
        del reader
    rows_by_outcome = {(row["class"], row["outcome"]): row for row in show_rows(tmp_path / "usage")}
    assert (
        rows_by_outcome["standings", "gone"]["requests"] == 1
        and rows_by_outcome["standings", "gone"]["run_us"] == 400_000
    )
    assert rows_by_outcome["finish-times", "failed"]["run_us"] == 1_700_000


async def test_after_kills_under_load_each_answer_is_recorded_or_in_doubt():
    report = await kill_node.run_all(4, 2, 1)
    assert report["wrong"] == [] and report["answered"] > 500


async def test_an_exporter_that_is_killed_a_hundred_times_bills_exactly():
    report = await kill_exporter.run_all(100, 6, 5000)
    assert report["mismatches"] == 0 and report["kills"] >= 100
    assert report["points"].get("delivered, not acknowledged", 0) > 0


@pytest.mark.parametrize("mode", ["serve", "refuse"])
async def test_on_a_full_disk_work_is_served_or_rejected_and_the_gap_is_reported(tmp_path, mode):
    async with SingleNodeCluster(tmp_path, SETTINGS.format("1s", mode), root=ROOT) as cluster:
        assert (await send_request(cluster))[0] == 200
        pid = cluster.process.pid
        file_size_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (64, file_size_limit[1]))  # each write now fails as on a full disk
        statuses = Counter()
        for number in range(60):
            status, _ = await send_request(cluster, rid=f"{number:016x}")
            statuses[status] += 1
            await asyncio.sleep(0.02)
        if mode == "serve":
            assert statuses == {200: 60}
        else:
            assert statuses[429] >= 50 and statuses[200] + statuses[429] == 60
        resource.prlimit(pid, resource.RLIMIT_FSIZE, file_size_limit)

        async def is_served():
            return (await send_request(cluster, rid="00000000000000ff"))[0] == 200

        for _ in range(200):
            if await is_served():
                break
            await asyncio.sleep(0.05)
        else:
            raise AssertionError("the disk works again, but the node accepts no work")
        await wait_until(
            lambda: [found for found in read_documents(DiskFiles(), tmp_path / "usage").values() if found.gaps],
            "no document lists the gap",
        )
        assert await cluster.terminate() == 0
    recorded, in_doubt = recorded_requests(tmp_path / "usage")
    assert in_doubt == 0
    if mode == "serve":  # a request that can't be recorded is rejected before it reaches the ledger
        assert recorded["sur-pacers"] >= 62
    gap = next(found for found in read_documents(DiskFiles(), tmp_path / "usage").values() if found.gaps).gaps[0]
    assert gap.to_ms > gap.from_ms and "File too large" in gap.cause


async def test_a_running_node_accepts_a_correction_while_its_period_is_exported(tmp_path):
    settings = SETTINGS.format("1s", "serve").replace("usage: {", "usage: {export: {folder: out}, ")
    async with SingleNodeCluster(tmp_path, settings, root=ROOT) as cluster:
        assert (await send_request(cluster))[0] == 200
        names = await wait_until(
            lambda: [
                path.name for path in (tmp_path / "out").glob("*.r0.usage") if documents.parse(path.read_bytes()).rows
            ],
            "the period with use was not exported",
        )
        original = (tmp_path / "out" / names[0]).read_bytes()
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
            names[0].split(".", 2)[2][:20],
            "--by",
            "requests=-1",
        ]
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        assert (await process.communicate())[0] == b"makes revision 1 of the period, which has closed\n"
        repeated = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        assert (await repeated.communicate())[0] == b"was taken before; nothing changes\n"
        revision = tmp_path / "out" / names[0].replace(".r0.", ".r1.")
        await wait_until(revision.exists, "the revision was not exported")
        assert (tmp_path / "out" / names[0]).read_bytes() == original
        assert await cluster.terminate() == 0


async def test_two_exporters_at_once_and_two_copies_of_a_folder_bill_once(tmp_path):
    """A second exporter on a folder is rejected; exporters on two copies of a folder deliver the same documents."""
    served_count = kill_exporter.create_ledger(tmp_path / "u", random.Random(3))
    shutil.copytree(tmp_path / "u", tmp_path / "copy")
    billing = Billing(tmp_path / "billing", 0.3, 7, late_s=0.05)
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    processes = [
        await kill_exporter.start_export(folder, url)
        for folder in (tmp_path / "u", tmp_path / "u", tmp_path / "copy", tmp_path / "copy")
    ]
    codes = [await process.wait() for process in processes]
    assert all(code in (0, 1) for code in codes) and 0 in codes[:2] and 0 in codes[2:]
    billed = [documents.parse(path.read_bytes()) for path in (tmp_path / "billing").iterdir()]
    assert (
        sum(row.amounts.requests for document in billed for row in document.rows) == served_count
        and billing.conflicts == 0
    )
    billing.stop()


async def test_a_second_node_on_a_folder_and_a_damaged_log_are_rejected_in_one_line(tmp_path):
    async with SingleNodeCluster(tmp_path, SETTINGS.format("1h", "serve"), root=ROOT) as cluster:
        assert (await send_request(cluster))[0] == 200
        second = await asyncio.create_subprocess_exec(
            *cluster.command(),
            cwd=ROOT,
            env={"LB_CONFIG": str(tmp_path / "config.json")},
            stderr=asyncio.subprocess.PIPE,
        )
        error = (await second.communicate())[1].decode()
        assert second.returncode == 2 and "another process works in this folder" in error
        assert await cluster.terminate() == 0
    log = next((tmp_path / "usage" / "log").iterdir())
    data = bytearray(log.read_bytes())
    data[40] ^= 1
    log.write_bytes(data)
    second = subprocess.run(
        cluster.command(),
        cwd=ROOT,
        env={"LB_CONFIG": str(tmp_path / "config.json")},
        capture_output=True,
        text=True,
        check=False,
    )
    assert second.returncode == 2 and f"{log}: is damaged: offset" in second.stderr


async def test_counted_and_recorded_use_agree_over_both_fronts_and_a_reload(tmp_path):
    async with SingleNodeCluster(tmp_path, SETTINGS.format("1s", "serve"), uwsgi=True, root=ROOT) as cluster:
        tally, stop = Tally(), asyncio.Event()
        tasks = [
            asyncio.create_task(Caller(cluster.ports[front], front, number, [*CLUBS], tally, number, 0.002).run(stop))
            for number in range(6)
            for front in ("http", "uwsgi")
        ]
        await asyncio.sleep(0.7)
        # A club and a class are added, and the order changes.
        config = json.loads((tmp_path / "config.json").read_text())
        settings, info = config["settings"], config["settings"]["familyInfo"]
        settings["tenants"].insert(0, {"name": "late-comers", "quotaPerS": 60.0})
        settings["classes"].insert(0, {**settings["classes"][0], "name": "finals"})
        info["callsByClass"], info["classSkipWorth"] = [False] * 5, [0.0] * 5
        (tmp_path / "config.json").write_text(json.dumps(config))
        cluster.process.send_signal(1)  # SIGHUP
        late_caller = Caller(cluster.ports["http"], "http", 99, ["late-comers"], tally, 99, 0.002)
        late_caller.classes = ("finals",)
        await asyncio.sleep(0.2)
        tasks.append(asyncio.create_task(late_caller.run(stop)))
        await asyncio.sleep(0.5)
        stop.set()
        await asyncio.gather(*tasks)
        assert await cluster.terminate() == 0
    counted = Counter()
    for (club, *_), count in tally.answers.items():
        counted[club] += count
    recorded, in_doubt = recorded_requests(tmp_path / "usage")
    assert recorded == counted and in_doubt == 0 and sum(counted.values()) > 100 and recorded["late-comers"] > 5
