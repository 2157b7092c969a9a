"""Kills the exporter at random points, many times: do the billing system's totals equal the requests served?

    python benchmarks/kill_exporter.py [--runs 1000] [--parallel 6] [--seed 1] [--out FILE]

Each run creates a ledger with a known number of requests in a few periods (some with a late correction), starts
``flintshift usage export`` against a billing stand-in that answers a third of the deliveries wrongly, and kills it
(SIGKILL) after a random time, several times; the last export may finish. The point of each kill is derived from the
state after it: before the first delivery, between delivery and acknowledgement, or between documents. Exit code 3 if
a total differs.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from kills import run_from_command_line, run_many  # noqa: E402

from flintshift.lab.billing import Billing  # noqa: E402
from flintshift.storage.files import DiskFiles  # noqa: E402
from flintshift.usage import documents  # noqa: E402
from flintshift.usage.folder import LedgerFolder, unacknowledged  # noqa: E402
from flintshift.usage.messages import Append, CorrectionRequested, Tick  # noqa: E402
from flintshift.usage.policy import LedgerPolicy  # noqa: E402
from flintshift.usage.reconcile import check_documents  # noqa: E402
from flintshift.usage.records import Claim, Ended, Marked, row_number  # noqa: E402

CLUBS, CLASSES = ["muscat-striders", "sur-pacers"], ["standings", "submit-time"]
KILLS_PER_RUN = 4


def create_ledger(folder: Path, rng: random.Random) -> int:
    """Create a ledger with closed periods; return the number of requests served, corrections included."""
    ledger_folder = LedgerFolder(DiskFiles(), folder)
    now, served = 1_000_000, 0
    ledger_folder.open("n1", rng.randbytes(16), 1000, CLUBS, CLASSES, now)
    policy = LedgerPolicy(ledger_folder.accounts, 0)

    def apply(event: Tick | CorrectionRequested) -> None:
        for action in policy.handle(now, event):
            if isinstance(action, Append):
                ledger_folder.append([action.entry])

    apply(Tick())
    for _ in range(rng.randint(2, 4)):
        for _ in range(rng.randint(1, 20)):
            row = row_number(rng.randrange(2), rng.randrange(2), 2, 0, 0)
            ledger_folder.append([Claim(rng.randbytes(8), row, 0, rng.randrange(10_000), 1, 7, 20)])
            ledger_folder.append([Marked(ledger_folder.accounts.state.sequence, [0], [])])
            served += 1
        now += 1000
        apply(Tick())
    if rng.random() < 0.5:  # a late correction of a closed period
        begin = documents.parse(ledger_folder.accounts.state.documents[0].data).period_ms
        documents_before = ledger_folder.accounts.state.number
        apply(
            CorrectionRequested(
                "c1", "op", "late", begin, CLUBS[0], CLASSES[0], "http", "served", (3, 0, 0, 0, 0, 0, 0), (0,) * 7, 1000
            )
        )
        served += 3 * (ledger_folder.accounts.state.number - documents_before)
    ledger_folder.write_documents(ledger_folder.accounts.state.documents)
    ledger_folder.append([Ended(now)])
    ledger_folder.close()
    return served


async def start_export(folder: Path, url: str) -> asyncio.subprocess.Process:
    """Start ``flintshift usage export`` from the ledger's folder to the billing stand-in."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "flintshift.cli",
        "usage",
        "export",
        "--folder",
        str(folder),
        "--to-url",
        url,
        "--quiet",
        "--backoff",
        "0.005",
        "--timeout",
        "0.2",
        cwd=ROOT,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def run_with_kills(seed: int, base: Path, kill_points: Counter[str], max_delay_s: float) -> tuple[int, int]:
    """Do one run; return the requests served, and the sum that the billing system has."""
    rng = random.Random(seed)
    folder, billing_folder = base / f"{seed}", base / f"{seed}-billing"
    served = create_ledger(folder, rng)
    billing = Billing(billing_folder, 0.33, seed, late_s=0.05)
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    total = len(unacknowledged(DiskFiles(), folder, ["http"])["http"])
    for _ in range(KILLS_PER_RUN):
        process = await start_export(folder, url)
        acknowledged_before = len(list((folder / "acks").glob("http/*.usage")))
        # Most of an export's time is its start, in which nothing can go wrong, so most kills wait for a delivery.
        began_s, deliveries_before = time.monotonic(), sum(billing.request_counts.values())
        if rng.random() < 0.7:
            while sum(billing.request_counts.values()) == deliveries_before and process.returncode is None:
                await asyncio.sleep(0.001)
                if time.monotonic() - began_s > 20:
                    break
            await asyncio.sleep(rng.random() * 0.06)
        else:
            await asyncio.sleep(rng.random() * max_delay_s)
        if process.returncode is None:
            process.kill()
        await process.wait()
        delivered = len([path for path in billing_folder.iterdir() if path.suffix == ".usage"])
        acknowledged = len(list((folder / "acks").glob("http/*.usage")))
        if process.returncode == 0:
            kill_points["had ended"] += 1
        elif sum(billing.request_counts.values()) == deliveries_before:
            kill_points["before a delivery"] += 1
        elif delivered > acknowledged:
            kill_points["delivered, not acknowledged"] += 1
        elif acknowledged > acknowledged_before:
            kill_points["between documents"] += 1
        else:
            kill_points["in a delivery that failed"] += 1
        if acknowledged == total:
            break
    last_export = await start_export(folder, url)
    if await asyncio.wait_for(last_export.wait(), 90) != 0:
        raise RuntimeError(f"seed {seed}: the last export ended with {last_export.returncode}")
    billing.stop()
    delivered_documents = [(path.name, path.read_bytes()) for path in sorted(billing_folder.iterdir())]
    parsed_documents = [(name, data, documents.parse(data)) for name, data in delivered_documents]
    assert check_documents(parsed_documents) == [] and billing.conflicts == 0, (
        f"seed {seed}: {check_documents(parsed_documents)}"
    )
    return served, sum(row.amounts.requests for _, _, document in parsed_documents for row in document.rows)


async def run_all(runs: int, parallel: int, seed: int) -> dict[str, object]:
    """Do all runs; return their totals, the points of the kills and the mismatches."""
    kill_points: Counter[str] = Counter()
    mismatches: list[dict[str, int]] = []
    total = 0

    async def run(number: int, folder: Path) -> int:
        nonlocal total
        served, billed = await run_with_kills(number, folder, kill_points, 0.6)
        total += served
        if served != billed:
            mismatches.append({"seed": number, "served": served, "billed": billed})
        return len(mismatches)

    seconds = await run_many(runs, parallel, seed, 50, run)
    return {
        "runs": runs,
        "kills": sum(kill_points.values()) - kill_points["had ended"],
        "points": dict(sorted(kill_points.items())),
        "served": total,
        "mismatches": len(mismatches),
        "wrong": mismatches,
        "seconds": seconds,
    }


if __name__ == "__main__":
    sys.exit(run_from_command_line(__doc__, run_all, 1000, 6))
