"""Cost of the ledger's folder alone: appends, bytes per request, recovery time as the log grows, and memory.

    python benchmarks/ledger_store.py [--out FILE]

Each figure is the median of three measurements, each in its own process. Recovery reads a log of claims and their
marks, with 16 requests per commit: once without snapshots (the worst case, since a snapshot is taken with each segment)
and once with them, as in service.
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
SEGMENT_BYTES = 16 << 20


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def create_ledger(folder: Path) -> LedgerFolder:
    """Create a ledger folder with one open period."""
    ledger_folder = LedgerFolder(DiskFiles(), folder)
    ledger_folder.open("n1", b"l" * 16, 3_600_000, CLUBS, CLASSES, 0)
    ledger_folder.append([Rotated(0, 3_600_000)])
    return ledger_folder


def append_requests(
    ledger_folder: LedgerFolder, requests: int, commit_size: int, sync: bool = False, snapshots: bool = False
) -> None:
    """Append requests, with their marks in the next commit, as the node writes them."""
    unmarked_sequences: list[int] = []
    for number in range(0, requests, commit_size):
        entries: list[Entry] = [
            Claim((number + offset).to_bytes(8, "big"), row_number(offset % 2, number % 2, 2, 0, 0), 0, 3217, 1, 7, 26)
            for offset in range(commit_size)
        ]
        if unmarked_sequences:
            entries.append(
                Marked(unmarked_sequences[0], [one - unmarked_sequences[0] for one in unmarked_sequences], [])
            )
        first_sequence = ledger_folder.log.next_sequence
        ledger_folder.append(entries)
        unmarked_sequences = list(range(first_sequence, first_sequence + commit_size))
        if sync:
            ledger_folder.log.sync()
        if snapshots and ledger_folder.log.size >= SEGMENT_BYTES:
            sequence, data = ledger_folder.accounts.state.sequence, ledger_folder.snapshot_now()
            ledger_folder.log.begin_segment()
            ledger_folder.write_snapshot(sequence, data)
    ledger_folder.append(
        [Marked(unmarked_sequences[0], [one - unmarked_sequences[0] for one in unmarked_sequences], [])]
    )


def measure_appends(folder: Path, commit_size: int, sync: bool) -> float:
    """Return the requests appended per second."""
    requests = (2000 if sync and commit_size == 1 else 20_000) if sync else 100_000
    ledger_folder = create_ledger(folder)
    began_s = time.perf_counter()
    append_requests(ledger_folder, requests, commit_size, sync)
    return requests / (time.perf_counter() - began_s)


def measure_recovery(folder: Path, requests: int, snapshots: bool) -> dict[str, float]:
    """Recover the ledger; return the time, the records read and the memory."""
    began_s = time.perf_counter()
    _, _, recovery = load(DiskFiles(), folder)
    return {"seconds": time.perf_counter() - began_s, "records": recovery.records, "rss_mb": resident_mb()}


def write_ledger(folder: Path, requests: int, snapshots: bool) -> dict[str, float]:
    """Write a ledger; return its bytes per request and the memory."""
    ledger_folder = create_ledger(folder)
    append_requests(ledger_folder, requests, 16, snapshots=snapshots)
    size = sum(path.stat().st_size for path in (folder / "log").iterdir())
    return {"bytes": size / requests, "rss_mb": resident_mb()}


def _run_in_child(pipe: Any, function: Any, arguments: tuple[Any, ...]) -> None:
    pipe.send(function(*arguments))


def run_in_new_process(function: Any, *arguments: Any) -> Any:
    """Return the result of a function that is run in a new process."""
    receiver, sender = multiprocessing.get_context("spawn").Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_run_in_child, args=(sender, function, arguments))
    process.start()
    result = receiver.recv()
    process.join()
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    result: dict[str, Any] = {"appends_per_s": {}, "recovery": []}
    with tempfile.TemporaryDirectory(prefix="flintshift-store-", dir=ROOT / "build") as name:
        folder = Path(name) / "u"
        for sync in (False, True):
            for commit_size in (1, 10, 100):
                rates = []
                for _ in range(3):
                    shutil.rmtree(folder, ignore_errors=True)
                    rates.append(run_in_new_process(measure_appends, folder, commit_size, sync))
                key = f"{'synced' if sync else 'written'}, {commit_size} a commit"
                result["appends_per_s"][key] = round(statistics.median(rates))
                print(f"{key:<24}{result['appends_per_s'][key]:>10,} requests a second", flush=True)
        for snapshots in (False, True):
            for requests in (10_000, 100_000, 1_000_000):
                shutil.rmtree(folder, ignore_errors=True)
                written = run_in_new_process(write_ledger, folder, requests, snapshots)
                runs = [run_in_new_process(measure_recovery, folder, requests, snapshots) for _ in range(3)]
                row = {
                    "requests": requests,
                    "snapshots": snapshots,
                    "seconds": round(statistics.median(run["seconds"] for run in runs), 3),
                    "replayed_records": runs[0]["records"],
                    "log_bytes_a_request": round(written["bytes"], 1),
                    "writer_rss_mb": round(written["rss_mb"], 1),
                }
                result["recovery"].append(row)
                print(row, flush=True)
    result["max_rss_mb_here"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)
    if options.out:
        options.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
