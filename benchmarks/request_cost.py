"""CPU per request in the node's own process, throughput and delays: by front, with the ledger off and on.

    python benchmarks/request_cost.py [--base REV] [--requests N] [--rounds N]

The node runs in its own process, the pool and the other stand-ins in this one, and the callers in several more. CPU
is the time that the system accounts to the node (utime and stime in /proc/PID/stat), so the stand-ins and callers
don't count. All nodes run all the time and get short bursts of load in turn. There are several nodes of each setting,
since two processes of the same setting differ by several percent. Ratios are the medians of the rounds' ratios to
``off`` of the same round, so that a machine whose speed drifts changes them little.
``--base`` also measures an earlier version of this repository in turn, over HTTP only.
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
from flintshift.lab.single_node_cluster import SingleNodeCluster  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402

WORKERS = 3
LEDGER = "usage: {{enabled: true, folder: usage, period: 10s, grace: 1s, durability: {}, sync: {}}}\n"
VARIANTS = {
    "off": None,
    "process-death": LEDGER.format("process-death", "50ms"),
    "power-cut 5ms": LEDGER.format("power-cut", "5ms"),
    "door": "door: {enabled: true}\n",
    "file": "log: {enabled: true, level: error}\n",  # read at the start, without effect on requests
}
PLATFORM = {"tenants": [{"name": club, "quotaPerS": 100_000.0} for club in CLUBS]}


def run_callers(port: int, front: str, callers: int, max_requests: int, seed: int) -> tuple[int, list[float]]:
    """Run one process of callers; return the number of answers and the delays in ms."""

    async def run_all() -> tuple[int, list[float]]:
        tally, never_stopped = Tally(), asyncio.Event()
        clients = [
            Caller(port, front, seed * 100 + number, list(CLUBS), tally, seed * 100 + number, keep_ids=False)
            for number in range(callers)
        ]
        for caller in clients:
            caller.classes = ("standings", "finish-times")
        await asyncio.gather(*(caller.run(never_stopped, max_requests // callers) for caller in clients))
        return sum(tally.answers.values()), tally.delays_ms

    return asyncio.run(run_all())


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that the process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of the process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


CONTROL = "control"  # the variant with a control endpoint, which also enables the handover
Run = tuple[str, str, str | None, Path]  # front, variant, operators' file, source folder


async def measure_burst(
    cluster: SingleNodeCluster, front: str, requests: int, callers: int, executor: ProcessPoolExecutor, seed: int
) -> dict[str, float]:
    """Load one node while the others are idle; return its figures."""
    assert cluster.process is not None
    loop, pid = asyncio.get_running_loop(), cluster.process.pid
    cpu_before_s, began_s = cpu_s(pid), loop.time()
    results = await asyncio.gather(
        *(
            loop.run_in_executor(
                executor, run_callers, cluster.ports[front], front, callers, requests // WORKERS, seed + worker
            )
            for worker in range(WORKERS)
        )
    )
    took_s, cpu_used_s = loop.time() - began_s, cpu_s(pid) - cpu_before_s
    answers, delays = sum(part[0] for part in results), sorted(ms for part in results for ms in part[1])
    return {
        "answers": answers,
        "cpu_us": cpu_used_s / answers * 1e6,
        "per_s": answers / took_s,
        "p50_ms": delays[len(delays) // 2],
        "p99_ms": delays[len(delays) * 99 // 100],
        "rss_mb": resident_mb(pid),
    }


async def measure(
    runs: list[Run], folder: Path, rounds: int, nodes: int, requests: int, callers: int
) -> dict[tuple[str, str], list[dict[str, float]]]:
    """Load the nodes of all runs in turn; return by front and variant the mean figures of each round."""
    figures: dict[tuple[str, str], list[dict[str, float]]] = {run[:2]: [] for run in runs}
    async with AsyncExitStack() as stack:
        executor = stack.enter_context(ProcessPoolExecutor(WORKERS))
        clusters: list[list[SingleNodeCluster]] = []
        for number, (front, variant, settings, root) in enumerate(runs):
            clusters.append(
                [
                    await stack.enter_async_context(
                        SingleNodeCluster(
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
        for round_ in range(rounds + 1):  # round 0 is a warm-up and is not counted
            indexes = list(range(len(runs)))
            figures_by_run: dict[int, list[dict[str, float]]] = {index: [] for index in indexes}
            for node in range(nodes):
                for index in indexes[round_ % len(indexes) :] + indexes[: round_ % len(indexes)]:
                    front = runs[index][0]
                    figures_by_run[index].append(
                        await measure_burst(
                            clusters[index][node],
                            front,
                            requests // (1 if front == "http" else 3),
                            callers,
                            executor,
                            round_ * 10,
                        )
                    )
            for index, node_figures in figures_by_run.items():
                if round_:
                    figures[runs[index][:2]].append(
                        {name: statistics.mean(one[name] for one in node_figures) for name in node_figures[0]}
                    )
            print(f"round {round_} of {rounds}", file=sys.stderr, flush=True)
    return figures


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--base", metavar="REV", help="also measure this earlier version of the repository")
    parser.add_argument("--control", action="store_true", help="also measure a node with a control endpoint")
    parser.add_argument(
        "--variants", default=",".join(VARIANTS), help="variants of the ledger; `off` is always included"
    )
    parser.add_argument("--fronts", default="http,uwsgi", help="default: %(default)s")
    parser.add_argument("--requests", type=int, default=1800, help="requests of a burst; a third of that over uwsgi")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--nodes", type=int, default=3, help="nodes of each setting; a round's figure is their mean")
    parser.add_argument("--callers", type=int, default=8, help="callers in each of the caller processes")
    parser.add_argument("--out", type=Path, help="write the result to this file as JSON")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name:
        folder = Path(name)
        runs: list[Run] = [
            (front, variant, settings, ROOT)
            for front in options.fronts.split(",")
            for variant, settings in VARIANTS.items()
            if variant == "off" or variant in options.variants.split(",")
        ]
        if options.control:
            runs.insert(1, (options.fronts.split(",")[0], CONTROL, None, ROOT))
        if options.base:
            base = folder / "base"
            base.mkdir()
            archive = subprocess.run(["git", "archive", options.base], cwd=ROOT, capture_output=True, check=True).stdout
            subprocess.run(["tar", "-x", "-C", str(base)], input=archive, check=True)
            runs.insert(0, ("http", f"off at {options.base[:12]}", None, base))
        figures = await measure(runs, folder, options.rounds, options.nodes, options.requests, options.callers)
    table = []
    print(
        f"{'front':<7}{'ledger':<22}{'CPU us':>8}{'to off':>8}{'per s':>8}{'to off':>8}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'RSS MB':>8}"
    )
    for (front, variant), rounds in figures.items():
        row: dict[str, Any] = {"front": front, "ledger": variant}
        for field in ("cpu_us", "per_s", "p50_ms", "p99_ms", "rss_mb"):
            row[field] = round(statistics.median(figure[field] for figure in rounds), 2)
        for field in ("cpu_us", "per_s"):
            row[f"{field}_to_off"] = round(
                statistics.median(
                    figure[field] / off_figure[field]
                    for figure, off_figure in zip(rounds, figures[front, "off"], strict=True)
                ),
                3,
            )
        table.append(row)
        print(
            f"{front:<7}{variant:<22}{row['cpu_us']:>8.0f}{row['cpu_us_to_off']:>8.3f}{row['per_s']:>8.0f}"
            f"{row['per_s_to_off']:>8.3f}{row['p50_ms']:>8.2f}{row['p99_ms']:>8.2f}{row['rss_mb']:>8.1f}"
        )
    if options.out:
        options.out.write_text(
            json.dumps({"requests": options.requests, "rounds": options.rounds, "rows": table}, indent=1) + "\n"
        )


if __name__ == "__main__":
    asyncio.run(main())
