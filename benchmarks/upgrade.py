"""Cost of an upgrade under load: lost answers, delays relative to the steady state, start time, memory of both nodes.

    python benchmarks/upgrade.py [--upgrades N] [--callers N] [--out FILE]

The node runs in its own process, pools and other stand-ins in this one, and the callers in three more; each sends its
next request once it has an answer. Delays during an upgrade (from the start of the new process to the end of the older
one) are compared with those of the steady second before it, so that a machine whose speed drifts changes their ratio
little.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from request_cost import PLATFORM, WORKERS, cpu_s, resident_mb  # noqa: E402

from flintshift.lab.callers import REQUEST_BUILDERS, read_reply, request_fields  # noqa: E402
from flintshift.lab.single_node_cluster import SingleNodeCluster  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402

STEADY_S = 1.0  # of steady load before each upgrade
# Time of the request, ms until the answer, status (0: the connection ended without one), id, result, key of a write.
Answer = tuple[float, float, int, str, bytes, str]


def run_callers(ports: dict[str, int], callers: int, deadline_s: float, seed: int) -> list[Answer]:
    """Run one process of callers, alternating over the fronts; half of the requests are writes, each sent twice."""

    async def run_caller(number: int, answers: list[Answer]) -> None:
        front = sorted(ports)[number % len(ports)]
        rng, connection, turn = random.Random(seed * 1000 + number), None, 0
        while time.time() < deadline_s:
            turn += 1
            class_name, pair = "submit-time" if turn % 4 < 2 else "standings", turn // 2
            request_id, key = f"{rng.getrandbits(64):016x}", f"{seed}-{number}-{pair}" if turn % 4 < 2 else ""
            fields = request_fields(request_id, list(CLUBS)[pair % len(CLUBS)], class_name, number, turn % 2 == 1)
            fields["X-Unique"] = key or "none"
            began_s = time.time()
            try:
                if connection is None:
                    connection = await asyncio.open_connection("127.0.0.1", ports[front])
                connection[1].write(REQUEST_BUILDERS[front](class_name, b"12:01.5", fields))
                status, result, keep_alive = await read_reply(connection[0])
                keep_alive = keep_alive and front == "http"
            except (OSError, asyncio.IncompleteReadError):
                status, result, keep_alive = 0, b"", False
            answers.append((began_s, (time.time() - began_s) * 1000, status, request_id, result, key))
            if not keep_alive and connection is not None:
                connection[1].close()
                connection = None

    async def run_all() -> list[Answer]:
        answers: list[Answer] = []
        await asyncio.gather(*(run_caller(number, answers) for number in range(callers)))
        return answers

    return asyncio.run(run_all())


def percentile(delays: list[float], share: float) -> float:
    """Return the quantile ``share`` of the delays, or 0 if there are none."""
    return sorted(delays)[int(len(delays) * share)] if delays else 0.0


async def measure_upgrades(
    upgrades: int, callers: int, uwsgi: bool = False, steady_s: float = STEADY_S
) -> dict[str, float]:
    """Upgrade a node under load ``upgrades`` times; return the counts of answers and the median costs."""
    rows: list[dict[str, float]] = []
    windows: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name, ProcessPoolExecutor(WORKERS) as executor:
        async with SingleNodeCluster(
            Path(name), pool=Pool(cores=64), platform=PLATFORM, control=True, uwsgi=uwsgi
        ) as cluster:
            deadline_s = time.time() + 0.5 + upgrades * (steady_s + 0.8)
            ports = {front: cluster.ports[front] for front in (("http", "uwsgi") if uwsgi else ("http",))}
            loop = asyncio.get_running_loop()
            caller_tasks = [
                loop.run_in_executor(executor, run_callers, ports, callers // WORKERS, deadline_s, number)
                for number in range(WORKERS)
            ]
            await asyncio.sleep(0.5)
            for _ in range(upgrades):
                await asyncio.sleep(steady_s)
                began_s = time.time()
                predecessor = await cluster.start_successor()
                assert cluster.process is not None
                row = {
                    "ready_ms": (time.time() - began_s) * 1000,
                    "start_cpu_ms": cpu_s(cluster.process.pid) * 1000,
                    "older_mb": resident_mb(predecessor.pid),
                    "newer_mb": resident_mb(cluster.process.pid),
                }
                signalled_s = time.time()
                predecessor.send_signal(signal.SIGTERM)
                assert await predecessor.wait() == 0
                rows.append(row | {"left_ms": (time.time() - signalled_s) * 1000})
                windows.append((began_s, time.time()))
            answers = [answer for task_answers in await asyncio.gather(*caller_tasks) for answer in task_answers]
            spawned = {
                request_id
                for pool in (cluster.pool, cluster.apps, *cluster.predecessor_pools)
                for request_id in pool.spawned
            }
    delays_during_ms = [ms for begin, end in windows for asked_s, ms, *_ in answers if begin <= asked_s < end]
    delays_steady_ms = [
        ms for begin, _ in windows for asked_s, ms, *_ in answers if begin - steady_s <= asked_s < begin
    ] or delays_during_ms
    keys = Counter(key for *_, request_id, _, key in answers if key and request_id in spawned)
    results = {(key, result) for _, _, status, _, result, key in answers if key and status == 200}
    status_counts = Counter(status for _, _, status, *_ in answers)
    return {
        "upgrades": len(rows),
        "callers": callers,
        "answers": len(answers),
        "lost_at_the_door": status_counts[0],
        "served": status_counts[200],
        "refused": status_counts[429] + status_counts[503],
        "failed": status_counts[500] + status_counts[409],
        "writes_run": len(keys),
        "second_runs": sum(keys.values()) - len(keys),
        "writes_served": len({key for key, _ in results}),
        "results_of_writes": len(results),
        **{name: round(statistics.median(row[name] for row in rows), 1) for name in rows[0]},
        "p50_to_steady": round(percentile(delays_during_ms, 0.5) / percentile(delays_steady_ms, 0.5), 2),
        "p99_to_steady": round(percentile(delays_during_ms, 0.99) / percentile(delays_steady_ms, 0.99), 2),
        "p99_ms_steady": round(percentile(delays_steady_ms, 0.99), 1),
        "p99_ms_during": round(percentile(delays_during_ms, 0.99), 1),
    }


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--upgrades", type=int, default=8)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--out", type=Path, help="write the result to this file as JSON")
    options = parser.parse_args()
    result = await measure_upgrades(options.upgrades, options.callers)
    for name, value in result.items():
        print(f"{name:<20}{value:>12}")
    if options.out:
        options.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
