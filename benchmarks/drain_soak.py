"""Drains a real node under load and faults, once per seed, and checks what its callers received.

    python benchmarks/drain_soak.py [--runs 60] [--parallel 2] [--seed 1] [--out FILE]

Each seed determines the callers, system call faults, wall clock adjustments, repeated signals and resets of the worker
pool's link (`flintshift/lab/drain_soak.py`). ``broken`` counts violations by rule, ``seen`` everything else. Each node
is killed at the longest deadline plus 0.7 s after the notice. Exit code 3 if a rule was violated.
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

from kills import run_from_command_line  # noqa: E402

from flintshift.lab.drain_soak import drain_under_faults  # noqa: E402


def run_drain(seed: int) -> dict[str, Any]:
    """Run the drain of one seed in this process; return its report."""
    with tempfile.TemporaryDirectory(prefix="flintshift-drain-") as folder:
        return asyncio.run(drain_under_faults(seed, Path(folder)))


async def soak(runs: int, parallel: int, seed: int) -> dict[str, Any]:
    """Run the drains of all seeds in parallel; return the sum of their reports."""
    broken, observed, failed = Counter[str](), Counter[str](), []
    began_s, loop = time.monotonic(), asyncio.get_running_loop()
    with ProcessPoolExecutor(parallel) as processes:
        drains = [loop.run_in_executor(processes, run_drain, number) for number in range(seed, seed + runs)]
        for done in asyncio.as_completed(drains):
            report = await done
            broken.update(report["broken"])
            observed.update(report["seen"])
            if report["broken"]:
                failed.append(report)
                print(report["plan"]["seed"], report["broken"], report["examples"][:3], file=sys.stderr, flush=True)
    return {
        "runs": runs,
        "first_seed": seed,
        "took_s": round(time.monotonic() - began_s, 1),
        "wrong": len(failed),
        "broken": dict(broken),
        "seen": dict(sorted(observed.items())),
        "failed": sorted(failed, key=lambda report: report["plan"]["seed"]),
    }


if __name__ == "__main__":
    sys.exit(run_from_command_line(__doc__, soak, runs=60, parallel=2))
