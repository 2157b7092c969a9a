"""CPU a request of the node's own process, throughput and delays: by front, with the ledger off and on.

    python benchmarks/request_cost.py [--base REV] [--requests N] [--rounds N]

The node runs as a process of its own; the pool and the other stand-ins run in this one and callers in several more,
so their cost does not count: CPU is what the system accounts to the node (utime and stime in /proc/PID/stat). All
nodes stand all the time and get short bursts of load in turns, several nodes of each setting, since one process differs
from another of the same setting by several percent. Ratios are the medians of the rounds' ratios to ``off`` of the same
round, so that a machine whose speed drifts changes them little.
``--base`` checks out an earlier version of this repository beside it and has it take turns too (HTTP alone).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.callers import Caller, Tally  # noqa: E402
from flintshift.lab.rig import Rig  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402

WORKERS = 3
LEDGER = "usage: {{enabled: true, folder: usage, period: 10s, grace: 1s, durability: {}, sync: {}}}\n"
VARIANTS = {
    "off": None,
    "process-death": LEDGER.format("process-death", "50ms"),
    "power-cut 5ms": LEDGER.format("power-cut", "5ms"),
    "door": "door: {enabled: true}\n",
    "file": "log: {enabled: true, level: error}\n",  # that is read, and has nothing to say
}
PLATFORM = {"tenants": [{"name": club, "quotaPerS": 100_000.0} for club in CLUBS]}


def ask(port: int, front: str, callers: int, most: int, seed: int) -> tuple[int, list[float]]:
    """One process of callers; returns the answers and the delays in ms."""

    async def go() -> tuple[int, list[float]]:
        tally, never = Tally(), asyncio.Event()
        all_ = [
            Caller(port, front, seed * 100 + number, list(CLUBS), tally, seed * 100 + number, keep_ids=False)
            for number in range(callers)
        ]
        for caller in all_:
            caller.classes = ("standings", "finish-times")
        await asyncio.gather(*(caller.run(never, most // callers) for caller in all_))
        return sum(tally.answers.values()), tally.delays_ms

    return asyncio.run(go())


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


CONTROL = "control"  # the variant with a control door, and so with the handover
Run = tuple[str, str, str | None, Path]  # front, variant, operators' file, where the program stands


async def burst(
    rig: Rig, front: str, requests: int, callers: int, executor: ProcessPoolExecutor, seed: int
) -> dict[str, float]:
    """Load on one node, which the others leave in peace meanwhile."""
    assert rig.process is not None
    loop, pid = asyncio.get_running_loop(), rig.process.pid
    before, began = cpu_s(pid), loop.time()
    parts = await asyncio.gather(
        *(
            loop.run_in_executor(executor, ask, rig.ports[front], front, callers, requests // WORKERS, seed + worker)
            for worker in range(WORKERS)
        )
    )
    took_s, spent = loop.time() - began, cpu_s(pid) - before
    answers, delays = sum(part[0] for part in parts), sorted(ms for part in parts for ms in part[1])
    return {
        "answers": answers,
        "cpu_us": spent / answers * 1e6,
        "per_s": answers / took_s,
        "p50_ms": delays[len(delays) // 2],
        "p99_ms": delays[len(delays) * 99 // 100],
        "rss_mb": resident_mb(pid),
    }


async def measure(
    runs: list[Run], folder: Path, rounds: int, nodes: int, requests: int, callers: int
) -> dict[tuple[str, str], list[dict[str, float]]]:
    found: dict[tuple[str, str], list[dict[str, float]]] = {run[:2]: [] for run in runs}
    async with AsyncExitStack() as stack:
        executor = stack.enter_context(ProcessPoolExecutor(WORKERS))
        rigs: list[list[Rig]] = []
        for number, (front, variant, settings, root) in enumerate(runs):
            rigs.append(
                [
                    await stack.enter_async_context(
                        Rig(
                            folder / f"{number}-{node}",
                            settings,
                            uwsgi=front == "uwsgi",
                            root=root,
                            pool=Pool(cores=64),
                            platform=PLATFORM,
                            control=variant == CONTROL,
                        )
                    )
                    for node in range(nodes)
                ]
            )
        for round_ in range(rounds + 1):  # the first is not counted
            order = list(range(len(runs)))
            parts: dict[int, list[dict[str, float]]] = {place: [] for place in order}
            for node in range(nodes):
                for place in order[round_ % len(order) :] + order[: round_ % len(order)]:
                    front = runs[place][0]
                    parts[place].append(
                        await burst(
                            rigs[place][node],
                            front,
                            requests // (1 if front == "http" else 3),
                            callers,
                            executor,
                            round_ * 10,
                        )
                    )
            for place, told in parts.items():
                if round_:
                    found[runs[place][:2]].append(
                        {name: statistics.mean(one[name] for one in told) for name in told[0]}
                    )
            print(f"round {round_} of {rounds}", file=sys.stderr, flush=True)
    return found


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--base", metavar="REV", help="an earlier version of this repository to take turns with")
    parser.add_argument("--control", action="store_true", help="also a node with a control door")
    parser.add_argument("--variants", default=",".join(VARIANTS), help="of the ledger; `off` is always there")
    parser.add_argument("--fronts", default="http,uwsgi", help="default: %(default)s")
    parser.add_argument("--requests", type=int, default=1800, help="a burst; a third of that over uwsgi")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--nodes", type=int, default=3, help="of each setting; a round's figure is their mean")
    parser.add_argument("--callers", type=int, default=8, help="in each of the caller processes")
    parser.add_argument("--out", type=Path, help="write the result here as JSON")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name:
        folder = Path(name)
        runs: list[Run] = [
            (front, variant, settings, ROOT)
            for front in given.fronts.split(",")
            for variant, settings in VARIANTS.items()
            if variant == "off" or variant in given.variants.split(",")
        ]
        if given.control:
            runs.insert(1, (given.fronts.split(",")[0], CONTROL, None, ROOT))
        if given.base:
            base = folder / "base"
            base.mkdir()
            tree = subprocess.run(["git", "archive", given.base], cwd=ROOT, capture_output=True, check=True).stdout
            subprocess.run(["tar", "-x", "-C", str(base)], input=tree, check=True)
            runs.insert(0, ("http", f"off at {given.base[:12]}", None, base))
        found = await measure(runs, folder, given.rounds, given.nodes, given.requests, given.callers)
    table = []
    print(
        f"{'front':<7}{'ledger':<22}{'CPU us':>8}{'to off':>8}{'per s':>8}{'to off':>8}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'RSS MB':>8}"
    )
    for (front, variant), rounds in found.items():
        row: dict[str, Any] = {"front": front, "ledger": variant}
        for field in ("cpu_us", "per_s", "p50_ms", "p99_ms", "rss_mb"):
            row[field] = round(statistics.median(one[field] for one in rounds), 2)
        for field in ("cpu_us", "per_s"):
            row[f"{field}_to_off"] = round(
                statistics.median(
                    one[field] / off[field] for one, off in zip(rounds, found[front, "off"], strict=True)
                ),
                3,
            )
        table.append(row)
        print(
            f"{front:<7}{variant:<22}{row['cpu_us']:>8.0f}{row['cpu_us_to_off']:>8.3f}{row['per_s']:>8.0f}"
            f"{row['per_s_to_off']:>8.3f}{row['p50_ms']:>8.2f}{row['p99_ms']:>8.2f}{row['rss_mb']:>8.1f}"
        )
    if given.out:
        given.out.write_text(
            json.dumps({"requests": given.requests, "rounds": given.rounds, "rows": table}, indent=1) + "\n"
        )


if __name__ == "__main__":
    asyncio.run(main())
