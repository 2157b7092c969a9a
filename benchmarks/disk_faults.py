"""Has the disk under a node's ledger refuse now and then, under load: do the books hold every answer after a leave?

    python benchmarks/disk_faults.py [--runs 12] [--parallel 3] [--seed 1] [--out FILE]

Writes and syncs of regular files fail at 200 of 1,000 (ENOSPC, EIO) while callers of both fronts ask. Of four runs in
a row two have a disk that works again 2.5 s before the notice to leave, in the others it refuses until the exit.
Exit code 3 where the books do not agree with what callers were answered.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import anyio  # noqa: E402
from kill_node import SETTINGS, findings, load_for  # noqa: E402
from kills import command, many  # noqa: E402

from flintshift.lab.callers import Tally  # noqa: E402
from flintshift.lab.rig import Rig  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.lab.syscall_faults import NO_FAULTS, Rates, SyscallFaults  # noqa: E402

REFUSED = Rates(disk=200)
RECOVERS_S = 2.5


async def one(seed: int, folder: Path) -> list[str]:
    draw, tally = random.Random(seed), Tally()
    folder.mkdir(parents=True)
    (folder / "out").mkdir()
    faults = SyscallFaults(folder / "faults", seed=seed)
    pool = Pool(cores=4, took_ms={"race-results": 3.0}, calling_classes=frozenset({"race-results"}))
    settings = SETTINGS.format(("process-death", "power-cut")[seed % 2])
    async with Rig(folder, settings, uwsgi=True, pool=pool, root=ROOT, environment=faults.environment) as rig:
        await load_for(rig, tally, 0.3, seed * 10, kill=False)
        faults.set_rates(REFUSED)
        await load_for(rig, tally, 1.0 + draw.random(), seed * 10 + 1, kill=False)
        if seed % 4 < 2:
            faults.set_rates(NO_FAULTS)
            await anyio.sleep(RECOVERS_S)
        code = await rig.leave()
    wrong, _ = findings(folder, tally, pool.spawned)
    return wrong + ([f"exit code {code}"] if code else [])


async def play(runs: int, parallel: int, seed: int) -> dict[str, object]:
    wrong: list[str] = []
    totals: Counter[str] = Counter()

    async def run(number: int, folder: Path) -> int:
        found = await one(number, folder / str(number))
        totals["runs_with_a_fault"] += bool(found)
        wrong.extend(f"seed {number}: {text}" for text in found)
        return len(wrong)

    seconds = await many(runs, parallel, seed, 4, run)
    return {"runs": runs, **totals, "wrong": wrong, "seconds": seconds}


if __name__ == "__main__":
    sys.exit(command(__doc__, play, 12, 3))
