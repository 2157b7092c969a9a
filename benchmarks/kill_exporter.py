"""Kills the exporter at random points, many times: do the billing system's totals match what was served, to the unit?

    python benchmarks/kill_exporter.py [--runs 1000] [--parallel 6] [--seed 1] [--out FILE]

Each run makes a ledger with a known number of requests in a few periods (some with a late correction), starts
``flintshift usage export`` against a billing stand-in of which a third of the answers go wrong, and kills it
(SIGKILL) after a random time, several times over; then one run is left to end. Where it was when it died is
told by what stood then: before the first delivery, between delivery and acknowledgement, or between
documents. Exit code 3 where a total differs.
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

from kills import command, many  # noqa: E402

from flintshift.lab.billing import Billing  # noqa: E402
from flintshift.storage.files import DiskFiles  # noqa: E402
from flintshift.usage import documents  # noqa: E402
from flintshift.usage.folder import LedgerFolder, unacknowledged  # noqa: E402
from flintshift.usage.messages import Append, CorrectionRequested, Tick  # noqa: E402
from flintshift.usage.policy import LedgerPolicy  # noqa: E402
from flintshift.usage.reconcile import check_documents  # noqa: E402
from flintshift.usage.records import Claim, Ended, Marked, row_number  # noqa: E402

CLUBS, CLASSES = ["muscat-striders", "sur-pacers"], ["standings", "submit-time"]
KILLS = 4


def make(folder: Path, draw: random.Random) -> int:
    """A ledger with closed periods; returns the requests served, corrections included."""
    holder = LedgerFolder(DiskFiles(), folder)
    now, served = 1_000_000, 0
    holder.open("n1", draw.randbytes(16), 1000, CLUBS, CLASSES, now)
    keeper = LedgerPolicy(holder.accounts, 0)

    def tell(event: Tick | CorrectionRequested) -> None:
        for action in keeper.handle(now, event):
            if isinstance(action, Append):
                holder.append([action.entry])

    tell(Tick())
    for _ in range(draw.randint(2, 4)):
        for _ in range(draw.randint(1, 20)):
            row = row_number(draw.randrange(2), draw.randrange(2), 2, 0, 0)
            holder.append([Claim(draw.randbytes(8), row, 0, draw.randrange(10_000), 1, 7, 20)])
            holder.append([Marked(holder.accounts.state.sequence, [0], [])])
            served += 1
        now += 1000
        tell(Tick())
    if draw.random() < 0.5:  # a late correction of a period that has closed
        begin = documents.parse(holder.accounts.state.documents[0].data).period_ms
        before = holder.accounts.state.number
        tell(
            CorrectionRequested(
                "c1", "op", "late", begin, CLUBS[0], CLASSES[0], "http", "served", (3, 0, 0, 0, 0, 0, 0), (0,) * 7, 1000
            )
        )
        served += 3 * (holder.accounts.state.number - before)
    holder.write_documents(holder.accounts.state.documents)
    holder.append([Ended(now)])
    holder.close()
    return served


async def export(folder: Path, url: str) -> asyncio.subprocess.Process:
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


async def one(seed: int, base: Path, points: Counter[str], longest_s: float) -> tuple[int, int]:
    """One run; returns what was served and what the billing system adds up to."""
    draw = random.Random(seed)
    folder, held = base / f"{seed}", base / f"{seed}-billing"
    served = make(folder, draw)
    billing = Billing(held, 0.33, seed, late_s=0.05)
    url = f"http://127.0.0.1:{await billing.start()}/usage"
    total = len(unacknowledged(DiskFiles(), folder, ["http"])["http"])
    for _ in range(KILLS):
        process = await export(folder, url)
        before = len(list((folder / "acks").glob("http/*.usage")))
        # The start takes most of the time, and nothing can go wrong in it: half of the kills wait for a delivery.
        began, seen = time.monotonic(), sum(billing.request_counts.values())
        if draw.random() < 0.7:
            while sum(billing.request_counts.values()) == seen and process.returncode is None:
                await asyncio.sleep(0.001)
                if time.monotonic() - began > 20:
                    break
            await asyncio.sleep(draw.random() * 0.06)
        else:
            await asyncio.sleep(draw.random() * longest_s)
        if process.returncode is None:
            process.kill()
        await process.wait()
        taken = len([path for path in held.iterdir() if path.suffix == ".usage"])
        kept = len(list((folder / "acks").glob("http/*.usage")))
        if process.returncode == 0:
            points["had ended"] += 1
        elif sum(billing.request_counts.values()) == seen:
            points["before a delivery"] += 1
        elif taken > kept:
            points["delivered, not acknowledged"] += 1
        elif kept > before:
            points["between documents"] += 1
        else:
            points["in a delivery that failed"] += 1
        if kept == total:
            break
    last = await export(folder, url)
    if await asyncio.wait_for(last.wait(), 90) != 0:
        raise RuntimeError(f"seed {seed}: the last export ended with {last.returncode}")
    billing.stop()
    found = [(path.name, path.read_bytes()) for path in sorted(held.iterdir())]
    read = [(name, data, documents.parse(data)) for name, data in found]
    assert check_documents(read) == [] and billing.conflicts == 0, f"seed {seed}: {check_documents(read)}"
    return served, sum(row.amounts.requests for _, _, document in read for row in document.rows)


async def play(runs: int, parallel: int, seed: int) -> dict[str, object]:
    points: Counter[str] = Counter()
    wrong: list[dict[str, int]] = []
    total = 0

    async def run(number: int, folder: Path) -> int:
        nonlocal total
        served, billed = await one(number, folder, points, 0.6)
        total += served
        if served != billed:
            wrong.append({"seed": number, "served": served, "billed": billed})
        return len(wrong)

    seconds = await many(runs, parallel, seed, 50, run)
    return {
        "runs": runs,
        "kills": sum(points.values()) - points["had ended"],
        "points": dict(sorted(points.items())),
        "served": total,
        "mismatches": len(wrong),
        "wrong": wrong,
        "seconds": seconds,
    }


if __name__ == "__main__":
    sys.exit(command(__doc__, play, 1000, 6))
