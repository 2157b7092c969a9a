"""Chaos for the copies: many rounds of seeded faults, each with a machine lost with its disk; and with copies off.

    python benchmarks/chaos_copies.py --rounds 200 --out benchmarks/results/chaos_copies.json

Exit code 3 where a promise was broken. Fleets run beside each other, each with rounds and a seed of its own; a seed
plays the same faults each time, while what callers meet in them depends on the machine.
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

from flintshift.lab.chaos_replication import DiskRefusal, run_rounds  # noqa: E402
from flintshift.lab.ports import PORTS_PART_VARIABLE  # noqa: E402


def play(
    part: int, parts: int, count: int, seed: int, copies: bool, disks: DiskRefusal | None = None
) -> dict[str, Any]:
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
        print(f"fleet {part}: logs and story in {folder}", file=sys.stderr, flush=True)
    else:
        shutil.rmtree(folder)
    return tally.to_dict()


def many(count: int, parallel: int, seed: int, copies: bool, disks: DiskRefusal | None = None) -> dict[str, Any]:
    shares = [count // parallel + (part < count % parallel) for part in range(parallel)]
    with ProcessPoolExecutor(parallel) as fleets:
        told = list(
            fleets.map(
                play,
                range(parallel),
                [parallel] * parallel,
                shares,
                [seed + part for part in range(parallel)],
                [copies] * parallel,
                [disks] * parallel,
            )
        )
    summed: dict[str, Any] = {"seeds": [seed + part for part in range(parallel)]}
    for name in ("rounds", "keys", "runs", "billed", "in_doubt", "lost_in_gaps"):
        summed[name] = sum(one[name] for one in told)
    for name in ("broken", "answers", "faults"):
        summed[name] = dict(sum((Counter(one[name]) for one in told), Counter()))
    answers = summed["answers"]
    summed["not_served"] = round(1.0 - answers.get("served", 0) / max(1, sum(answers.values())), 4)
    summed["whole_after_s"] = max(one["whole_after_s"] for one in told)
    return {**summed, "first": [text for one in told for text in one["first"]][:20]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--parallel", type=int, default=4, help="fleets beside each other")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--off", type=int, default=4, metavar="ROUNDS", help="rounds with copies off")
    parser.add_argument("--disks", type=int, default=0, metavar="RATE", help="of 1,000 writes and syncs that fail")
    parser.add_argument("--disks-from", type=float, default=0.0, metavar="S", help="after the fleet is linked")
    parser.add_argument("--disks-for", type=float, default=math.inf, metavar="S", help="then they are taken again")
    parser.add_argument("--out", type=Path, help="write the result here too")
    given = parser.parse_args()
    disks = DiskRefusal(given.disks, given.disks_from, given.disks_for) if given.disks else None
    told = {"copies": many(given.rounds, min(given.parallel, given.rounds), given.seed, True, disks)}
    if disks is not None:
        told["disks"] = {"rate": disks.rate, "from_s": disks.from_s, "lasts_s": str(disks.lasts_s)}
    if given.off:
        told["off"] = many(given.off, min(given.parallel, given.off), given.seed, False)
    text = json.dumps(told, indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")
    sys.exit(3 if told["copies"]["broken"] else 0)


if __name__ == "__main__":
    main()
