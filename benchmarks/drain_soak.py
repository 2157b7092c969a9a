"""Drains a real node under load and faults, once a seed, and judges what its callers saw.

    python benchmarks/drain_soak.py [--runs 60] [--parallel 2] [--seed 1] [--out FILE]

Each seed draws callers, faults of system calls, steps of the wall clock, signals in series and resets of the worker
pool's link (`flintshift/lab/drain_soak.py`). ``broken`` counts what no rule allows, by rule; ``seen`` all else. Each
node is killed at the longest deadline plus 0.7 s after the notice. Exit code 3 where a rule was broken.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from kills import command  # noqa: E402

from flintshift.lab.drain_soak import drain_under_faults  # noqa: E402


def one(seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="flintshift-drain-") as folder:
        return asyncio.run(drain_under_faults(seed, Path(folder)))


async def soak(runs: int, parallel: int, seed: int) -> dict[str, Any]:
    broken, seen, failed = Counter[str](), Counter[str](), []
    began, loop = time.monotonic(), asyncio.get_running_loop()
    with ProcessPoolExecutor(parallel) as processes:
        plays = [loop.run_in_executor(processes, one, number) for number in range(seed, seed + runs)]
        for done in asyncio.as_completed(plays):
            told = await done
            broken.update(told["broken"])
            seen.update(told["seen"])
            if told["broken"]:
                failed.append(told)
                print(told["plan"]["seed"], told["broken"], told["examples"][:3], file=sys.stderr, flush=True)
    return {
        "runs": runs,
        "first_seed": seed,
        "took_s": round(time.monotonic() - began, 1),
        "wrong": len(failed),
        "broken": dict(broken),
        "seen": dict(sorted(seen.items())),
        "failed": sorted(failed, key=lambda told: told["plan"]["seed"]),
    }


if __name__ == "__main__":
    sys.exit(command(__doc__, soak, runs=60, parallel=2))
