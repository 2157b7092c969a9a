"""Fault injection into replication: rounds of seeded faults, each with the loss of a machine and its disk.

    python benchmarks/chaos_copies.py --rounds 200 --out benchmarks/results/chaos_copies.json

Exit code 3 if a guarantee was violated. Several fleets run at the same time, each with its own rounds and seed. A seed
injects the same faults each time, but their effect on callers depends on the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import shutil
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.chaos_replication import DiskFailures, run_rounds  # noqa: E402
from flintshift.lab.ports import PORTS_PART_VARIABLE  # noqa: E402


def run_fleet(
    part: int, parts: int, count: int, seed: int, copies: bool, disks: DiskFailures | None = None
) -> dict[str, Any]:
    """Run the rounds of one of the ``parts`` fleets in this process; return the tally of what callers saw."""
    import os

    os.environ[PORTS_PART_VARIABLE] = f"{part}/{parts}"
    folder = Path(tempfile.mkdtemp(prefix="flintshift-chaos-"))
    tally = asyncio.run(
        run_rounds(
            folder,
            count,
            seed,
            copies,
            report=lambda text: print(f"fleet {part}: {text}", file=sys.stderr, flush=True),
            disks=disks,
        )
    )
    if tally.violation_texts and copies:
        print(f"fleet {part}: logs and timeline in {folder}", file=sys.stderr, flush=True)
    else:
        shutil.rmtree(folder)
    return tally.to_dict()


def run_fleets(count: int, parallel: int, seed: int, copies: bool, disks: DiskFailures | None = None) -> dict[str, Any]:
    """Divide the rounds among parallel fleets; return the sum of their tallies."""
    rounds_by_fleet = [count // parallel + (part < count % parallel) for part in range(parallel)]
    with ProcessPoolExecutor(parallel) as executor:
        tallies = list(
            executor.map(
                run_fleet,
                range(parallel),
                [parallel] * parallel,
                rounds_by_fleet,
                [seed + part for part in range(parallel)],
                [copies] * parallel,
                [disks] * parallel,
            )
        )
    totals: dict[str, Any] = {"seeds": [seed + part for part in range(parallel)]}
    for name in ("rounds", "keys", "runs", "billed", "in_doubt", "lost_in_gaps"):
        totals[name] = sum(one[name] for one in tallies)
    for name in ("broken", "answers", "faults"):
        totals[name] = dict(sum((Counter(one[name]) for one in tallies), Counter()))
    answers = totals["answers"]
    totals["not_served"] = round(1.0 - answers.get("served", 0) / max(1, sum(answers.values())), 4)
    totals["whole_after_s"] = max(one["whole_after_s"] for one in tallies)
    return {**totals, "first": [text for one in tallies for text in one["first"]][:20]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--parallel", type=int, default=4, help="fleets that run at the same time")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--off", type=int, default=4, metavar="ROUNDS", help="rounds without replication")
    parser.add_argument("--disks", type=int, default=0, metavar="RATE", help="writes and syncs out of 1,000 that fail")
    parser.add_argument(
        "--disks-from", type=float, default=0.0, metavar="S", help="start of the disk faults, after the fleet is linked"
    )
    parser.add_argument("--disks-for", type=float, default=math.inf, metavar="S", help="duration of the disk faults")
    parser.add_argument("--out", type=Path, help="also write the result to this file")
    options = parser.parse_args()
    disks = DiskFailures(options.disks, options.disks_from, options.disks_for) if options.disks else None
    result = {"copies": run_fleets(options.rounds, min(options.parallel, options.rounds), options.seed, True, disks)}
    if disks is not None:
        result["disks"] = {"rate": disks.rate, "from_s": disks.from_s, "lasts_s": str(disks.lasts_s)}
    if options.off:
        result["off"] = run_fleets(options.off, min(options.parallel, options.off), options.seed, False)
    text = json.dumps(result, indent=1)
    print(text)
    if options.out:
        options.out.write_text(text + "\n")
    sys.exit(3 if result["copies"]["broken"] else 0)


if __name__ == "__main__":
    main()
