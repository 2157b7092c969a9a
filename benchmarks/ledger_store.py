"""The ledger's folder by itself: appends, bytes a request, recovery time as the log grows, and memory.

    python benchmarks/ledger_store.py [--out FILE]

Each figure is taken in a process of its own, three times, and the median is told. Recovery reads a log of claims with
their marks, 16 requests a commit, without a snapshot (the worst case: a snapshot is taken with each segment) and with
them (as in service).
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import resource
import shutil
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.storage.files import DiskFiles  # noqa: E402
from flintshift.usage.folder import LedgerFolder, load  # noqa: E402
from flintshift.usage.records import Claim, Entry, Marked, Rotated, row_number  # noqa: E402

CLUBS, CLASSES = ["muscat-striders", "sur-pacers"], ["standings", "submit-time"]
SEGMENT = 16 << 20


def resident_mb() -> float:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def opened(folder: Path) -> LedgerFolder:
    holder = LedgerFolder(DiskFiles(), folder)
    holder.open("n1", b"l" * 16, 3_600_000, CLUBS, CLASSES, 0)
    holder.append([Rotated(0, 3_600_000)])
    return holder


def fill(holder: LedgerFolder, requests: int, commit: int, sync: bool = False, snapshots: bool = False) -> None:
    """Requests with their marks in the next commit, as the node writes them."""
    before: list[int] = []
    for number in range(0, requests, commit):
        entries: list[Entry] = [
            Claim((number + place).to_bytes(8, "big"), row_number(place % 2, number % 2, 2, 0, 0), 0, 3217, 1, 7, 26)
            for place in range(commit)
        ]
        if before:
            entries.append(Marked(before[0], [one - before[0] for one in before], []))
        first = holder.log.next_sequence
        holder.append(entries)
        before = list(range(first, first + commit))
        if sync:
            holder.log.sync()
        if snapshots and holder.log.size >= SEGMENT:
            sequence, data = holder.accounts.state.sequence, holder.snapshot_now()
            holder.log.begin_segment()
            holder.write_snapshot(sequence, data)
    holder.append([Marked(before[0], [one - before[0] for one in before], [])])


def appends(folder: Path, commit: int, sync: bool) -> float:
    requests = (2000 if sync and commit == 1 else 20_000) if sync else 100_000
    holder = opened(folder)
    began = time.perf_counter()
    fill(holder, requests, commit, sync)
    return requests / (time.perf_counter() - began)


def recovery(folder: Path, requests: int, snapshots: bool) -> dict[str, float]:
    began = time.perf_counter()
    _, _, found = load(DiskFiles(), folder)
    return {"seconds": time.perf_counter() - began, "records": found.records, "rss_mb": resident_mb()}


def made(folder: Path, requests: int, snapshots: bool) -> dict[str, float]:
    holder = opened(folder)
    fill(holder, requests, 16, snapshots=snapshots)
    size = sum(path.stat().st_size for path in (folder / "log").iterdir())
    return {"bytes": size / requests, "rss_mb": resident_mb()}


def _child(pipe: Any, work: Any, arguments: tuple[Any, ...]) -> None:
    pipe.send(work(*arguments))


def apart(work: Any, *arguments: Any) -> Any:
    """The result of a function in a fresh process."""
    here, there = multiprocessing.get_context("spawn").Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_child, args=(there, work, arguments))
    process.start()
    result = here.recv()
    process.join()
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--out", type=Path)
    given = parser.parse_args()
    told: dict[str, Any] = {"appends_per_s": {}, "recovery": []}
    with tempfile.TemporaryDirectory(prefix="flintshift-store-", dir=ROOT / "build") as name:
        folder = Path(name) / "u"
        for sync in (False, True):
            for commit in (1, 10, 100):
                rates = []
                for _ in range(3):
                    shutil.rmtree(folder, ignore_errors=True)
                    rates.append(apart(appends, folder, commit, sync))
                key = f"{'synced' if sync else 'written'}, {commit} a commit"
                told["appends_per_s"][key] = round(statistics.median(rates))
                print(f"{key:<24}{told['appends_per_s'][key]:>10,} requests a second", flush=True)
        for snapshots in (False, True):
            for requests in (10_000, 100_000, 1_000_000):
                shutil.rmtree(folder, ignore_errors=True)
                size = apart(made, folder, requests, snapshots)
                runs = [apart(recovery, folder, requests, snapshots) for _ in range(3)]
                row = {
                    "requests": requests,
                    "snapshots": snapshots,
                    "seconds": round(statistics.median(run["seconds"] for run in runs), 3),
                    "replayed_records": runs[0]["records"],
                    "log_bytes_a_request": round(size["bytes"], 1),
                    "writer_rss_mb": round(size["rss_mb"], 1),
                }
                told["recovery"].append(row)
                print(row, flush=True)
    told["max_rss_mb_here"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)
    if given.out:
        given.out.write_text(json.dumps(told, indent=1) + "\n")


if __name__ == "__main__":
    main()
