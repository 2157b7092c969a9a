"""How long a call at the control door takes while callers keep the node's core busy, alone and beside 200 half calls.

    python benchmarks/control_latency.py [--calls N] [--callers N] [--out FILE]

The node runs as a process of its own; callers in three more, each asking again as soon as it is answered.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from request_cost import PLATFORM, WORKERS, ask, cpu_s  # noqa: E402

from flintshift.lab.callers import read_reply  # noqa: E402
from flintshift.lab.rig import Rig  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402

SECONDS = 12.0  # for the calls of one row


async def call(port: int) -> float:
    began = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /control/ready HTTP/1.1\r\nHost: n\r\n\r\n")
    status, _, _ = await read_reply(reader)
    writer.close()
    assert status == 200
    return (time.perf_counter() - began) * 1000


async def half(port: int, until: asyncio.Event) -> None:
    """One that sends half a call, stays, and comes back when it is cut."""
    while not until.is_set():
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /control/re")
            await reader.read()
            writer.close()
        except OSError:
            await asyncio.sleep(0.01)


async def measure(callers: int, calls: int, halves: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name, ProcessPoolExecutor(WORKERS) as executor:
        async with Rig(Path(name), pool=Pool(cores=64), platform=PLATFORM, control=True) as rig:
            assert rig.process is not None
            loop, until, port = asyncio.get_running_loop(), asyncio.Event(), rig.ports["control"]
            before, began = cpu_s(rig.process.pid), time.perf_counter()
            load = [
                loop.run_in_executor(executor, ask, rig.ports["http"], "http", callers // WORKERS, 1 << 30, number)
                for number in range(WORKERS)
            ]
            beside = [asyncio.ensure_future(half(port, until)) for _ in range(halves)]
            await asyncio.sleep(1.0)
            took, end = [], time.perf_counter() + SECONDS
            while len(took) < calls and time.perf_counter() < end:
                took.append(await call(port))
                await asyncio.sleep(0.02)
            busy = (cpu_s(rig.process.pid) - before) / (time.perf_counter() - began)
            until.set()
            await rig.kill()
            await asyncio.gather(*load, *beside, return_exceptions=True)
        took.sort()
        return {
            "callers": callers,
            "half_calls": halves,
            "calls": len(took),
            "core_busy": round(busy, 2),
            "p50_ms": round(statistics.median(took), 1),
            "p99_ms": round(took[len(took) * 99 // 100], 1),
            "most_ms": round(took[-1], 1),
        }


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--calls", type=int, default=300)
    parser.add_argument("--callers", type=int, default=240)
    parser.add_argument("--out", type=Path, help="write the result here as JSON")
    given = parser.parse_args()
    rows = [
        await measure(callers, given.calls, halves)
        for callers, halves in ((3, 0), (given.callers, 0), (given.callers, 200))
    ]
    for row in rows:
        print(row)
    if given.out:
        given.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
