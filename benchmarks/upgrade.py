"""What an upgrade under load costs: answers lost, delays beside those of steady seconds, the start, memory of both.

    python benchmarks/upgrade.py [--upgrades N] [--callers N] [--out FILE]

The node runs as a process of its own; pools and other stand-ins run in this one, callers in three more, each asking
again as soon as it is answered. Delays during an upgrade (from the start of the new process to the end of the older)
stand beside those of the steady second before it, so that a machine whose speed drifts changes their ratio little.
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
from flintshift.lab.rig import Rig  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402

STEADY_S = 1.0
# When it was asked, ms till the answer, status (0: the connection ended without one), id, result; of a write its key.
Answer = tuple[float, float, int, str, bytes, str]


def load(ports: dict[str, int], callers: int, until: float, seed: int) -> list[Answer]:
    """One process of callers, by turns on each front; half of the requests are writes, each of which comes twice."""

    async def caller(number: int, told: list[Answer]) -> None:
        front = sorted(ports)[number % len(ports)]
        draw, link, turn = random.Random(seed * 1000 + number), None, 0
        while time.time() < until:
            turn += 1
            class_name, pair = "submit-time" if turn % 4 < 2 else "standings", turn // 2
            rid, key = f"{draw.getrandbits(64):016x}", f"{seed}-{number}-{pair}" if turn % 4 < 2 else ""
            fields = request_fields(rid, list(CLUBS)[pair % len(CLUBS)], class_name, number, turn % 2 == 1)
            fields["X-Unique"] = key or "none"
            began = time.time()
            try:
                if link is None:
                    link = await asyncio.open_connection("127.0.0.1", ports[front])
                link[1].write(REQUEST_BUILDERS[front](class_name, b"12:01.5", fields))
                status, result, stays = await read_reply(link[0])
                stays = stays and front == "http"
            except (OSError, asyncio.IncompleteReadError):
                status, result, stays = 0, b"", False
            told.append((began, (time.time() - began) * 1000, status, rid, result, key))
            if not stays and link is not None:
                link[1].close()
                link = None

    async def go() -> list[Answer]:
        told: list[Answer] = []
        await asyncio.gather(*(caller(number, told) for number in range(callers)))
        return told

    return asyncio.run(go())


def percentile(delays: list[float], share: float) -> float:
    return sorted(delays)[int(len(delays) * share)] if delays else 0.0


async def measure(upgrades: int, callers: int, uwsgi: bool = False, steady_s: float = STEADY_S) -> dict[str, float]:
    rows: list[dict[str, float]] = []
    windows: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name, ProcessPoolExecutor(WORKERS) as executor:
        async with Rig(Path(name), pool=Pool(cores=64), platform=PLATFORM, control=True, uwsgi=uwsgi) as rig:
            until = time.time() + 0.5 + upgrades * (steady_s + 0.8)
            ports = {front: rig.ports[front] for front in (("http", "uwsgi") if uwsgi else ("http",))}
            loop = asyncio.get_running_loop()
            asked = [
                loop.run_in_executor(executor, load, ports, callers // WORKERS, until, number)
                for number in range(WORKERS)
            ]
            await asyncio.sleep(0.5)
            for _ in range(upgrades):
                await asyncio.sleep(steady_s)
                began = time.time()
                older = await rig.beside()
                assert rig.process is not None
                row = {
                    "ready_ms": (time.time() - began) * 1000,
                    "start_cpu_ms": cpu_s(rig.process.pid) * 1000,
                    "older_mb": resident_mb(older.pid),
                    "newer_mb": resident_mb(rig.process.pid),
                }
                told = time.time()
                older.send_signal(signal.SIGTERM)
                assert await older.wait() == 0
                rows.append(row | {"left_ms": (time.time() - told) * 1000})
                windows.append((began, time.time()))
            answers = [answer for part in await asyncio.gather(*asked) for answer in part]
            ran = {rid for pool in (rig.pool, rig.apps, *rig.pools) for rid in pool.spawned}
    during = [ms for begin, end in windows for at, ms, *_ in answers if begin <= at < end]
    steady = [ms for begin, _ in windows for at, ms, *_ in answers if begin - steady_s <= at < begin] or during
    keys = Counter(key for *_, rid, _, key in answers if key and rid in ran)
    results = {(key, result) for _, _, status, _, result, key in answers if key and status == 200}
    of = Counter(status for _, _, status, *_ in answers)
    return {
        "upgrades": len(rows),
        "callers": callers,
        "answers": len(answers),
        "lost_at_the_door": of[0],
        "served": of[200],
        "refused": of[429] + of[503],
        "failed": of[500] + of[409],
        "writes_run": len(keys),
        "second_runs": sum(keys.values()) - len(keys),
        "writes_served": len({key for key, _ in results}),
        "results_of_writes": len(results),
        **{name: round(statistics.median(row[name] for row in rows), 1) for name in rows[0]},
        "p50_to_steady": round(percentile(during, 0.5) / percentile(steady, 0.5), 2),
        "p99_to_steady": round(percentile(during, 0.99) / percentile(steady, 0.99), 2),
        "p99_ms_steady": round(percentile(steady, 0.99), 1),
        "p99_ms_during": round(percentile(during, 0.99), 1),
    }


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--upgrades", type=int, default=8)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--out", type=Path, help="write the result here as JSON")
    given = parser.parse_args()
    told = await measure(given.upgrades, given.callers)
    for name, value in told.items():
        print(f"{name:<20}{value:>12}")
    if given.out:
        given.out.write_text(json.dumps(told, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
