"""Disk faults under a node's ledger, under load: does the ledger record every answer by the time the node has left?

    python benchmarks/disk_faults.py [--runs 12] [--parallel 3] [--seed 1] [--out FILE]

Of the writes and syncs of regular files 200 in 1,000 fail (ENOSPC, EIO) while callers of both fronts send requests. In
two of every four runs the disk works again 2.5 s before the notice to leave; in the others it fails until the exit.
Exit code 3 if the ledger does not match the answers that callers received.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import anyio  # noqa: E402
from kill_node import SETTINGS, find_violations, load_for  # noqa: E402
from kills import run_from_command_line, run_many  # noqa: E402

from flintshift.lab.callers import Tally  # noqa: E402
from flintshift.lab.single_node_cluster import SingleNodeCluster  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.lab.syscall_faults import NO_FAULTS, Rates, SyscallFaults  # noqa: E402

DISK_FAULTS = Rates(disk=200)
RECOVERY_S = 2.5  # from the end of the disk faults to the notice to leave


async def run_with_disk_faults(seed: int, folder: Path) -> list[str]:
    """Run one node on a faulty disk; return the violations."""
    rng, tally = random.Random(seed), Tally()
    folder.mkdir(parents=True)
    (folder / "out").mkdir()
    faults = SyscallFaults(folder / "faults", seed=seed)
    pool = Pool(cores=4, took_ms={"race-results": 3.0}, calling_classes=frozenset({"race-results"}))
    settings = SETTINGS.format(("process-death", "power-cut")[seed % 2])
    async with SingleNodeCluster(
        folder, settings, uwsgi=True, pool=pool, root=ROOT, environment=faults.environment
    ) as cluster:
        await load_for(cluster, tally, 0.3, seed * 10, kill=False)
        faults.set_rates(DISK_FAULTS)
        await load_for(cluster, tally, 1.0 + rng.random(), seed * 10 + 1, kill=False)
        if seed % 4 < 2:
            faults.set_rates(NO_FAULTS)
            await anyio.sleep(RECOVERY_S)
        code = await cluster.terminate()
    violations, _ = find_violations(folder, tally, pool.spawned)
    return violations + ([f"exit code {code}"] if code else [])


async def run_all(runs: int, parallel: int, seed: int) -> dict[str, object]:
    """Do all runs; return their totals and the violations."""
    violations: list[str] = []
    totals: Counter[str] = Counter()

    async def run(number: int, folder: Path) -> int:
        run_violations = await run_with_disk_faults(number, folder / str(number))
        totals["runs_with_a_fault"] += bool(run_violations)
        violations.extend(f"seed {number}: {text}" for text in run_violations)
        return len(violations)

    seconds = await run_many(runs, parallel, seed, 4, run)
    return {"runs": runs, **totals, "wrong": violations, "seconds": seconds}


if __name__ == "__main__":
    sys.exit(run_from_command_line(__doc__, run_all, 12, 3))
