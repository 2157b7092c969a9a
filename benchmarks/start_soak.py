"""Starts a real node while system calls of its process fail, once per seed, and reports the starts that failed.

    python benchmarks/start_soak.py [--runs 60] [--parallel 4] [--seed 1] [--out FILE]

Each seed determines one to four system calls, their failure rates, and for how long they fail
(`flintshift/lab/faulty_start.py`). A start succeeds if the node is ready within 30 s and leaves when it is asked to.
Exit code 3 if a start failed.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from kills import run_from_command_line  # noqa: E402

from flintshift.lab.faulty_start import soak as drawn_start  # noqa: E402


def run_start(seed: int) -> dict[str, Any]:
    """Run the start of one seed in this process; return its report."""
    with tempfile.TemporaryDirectory(prefix="flintshift-start-") as folder:
        return asyncio.run(drawn_start(seed, Path(folder) / "node"))


async def soak(runs: int, parallel: int, seed: int) -> dict[str, Any]:
    """Run the starts of all seeds in parallel; return the failed ones and the times until ready."""
    began_s, loop = time.monotonic(), asyncio.get_running_loop()
    with ProcessPoolExecutor(parallel) as processes:
        starts = await asyncio.gather(
            *(loop.run_in_executor(processes, run_start, number) for number in range(seed, seed + runs))
        )
    failed = [start for start in starts if not start["served"]]
    for start in failed:
        print(start["seed"], start["faults"], start["exit_code"], start["left"], file=sys.stderr)
    ready_s = sorted(start["ready_s"] for start in starts if start["ready_s"] is not None)
    return {
        "runs": runs,
        "first_seed": seed,
        "took_s": round(time.monotonic() - began_s, 1),
        "wrong": len(failed),
        "ready_s": {"middle": round(ready_s[len(ready_s) // 2], 2), "latest": round(ready_s[-1], 2)} if ready_s else {},
        "failed": failed,
    }


if __name__ == "__main__":
    sys.exit(run_from_command_line(__doc__, soak, runs=60, parallel=4))
