"""Latency of calls to the control endpoint while callers keep the node busy, with and without 200 incomplete calls.

    python benchmarks/control_latency.py [--calls N] [--callers N] [--out FILE]

The node runs in its own process, and the callers in three more; each sends its next request once it has an answer.
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

from request_cost import PLATFORM, WORKERS, cpu_s, run_callers  # noqa: E402

from flintshift.lab.callers import read_reply  # noqa: E402
from flintshift.lab.single_node_cluster import SingleNodeCluster  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402

ROW_S = 12.0  # the longest that the calls of a row of the result may take


async def call_control(port: int) -> float:
    """Make one control call; return how long it took, in ms."""
    began_s = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /control/ready HTTP/1.1\r\nHost: n\r\n\r\n")
    status, _, _ = await read_reply(reader)
    writer.close()
    assert status == 200
    return (time.perf_counter() - began_s) * 1000


async def send_incomplete_calls(port: int, stopped: asyncio.Event) -> None:
    """Send an incomplete call, wait until the connection is closed, and connect again, until ``stopped`` is set."""
    while not stopped.is_set():
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /control/re")
            await reader.read()
            writer.close()
        except OSError:
            await asyncio.sleep(0.01)


async def measure(callers: int, calls: int, incomplete_calls: int) -> dict[str, float]:
    """Return the delays in ms of up to ``calls`` control calls under the load of the callers and incomplete calls."""
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name, ProcessPoolExecutor(WORKERS) as executor:
        async with SingleNodeCluster(Path(name), pool=Pool(cores=64), platform=PLATFORM, control=True) as cluster:
            assert cluster.process is not None
            loop, stopped, port = asyncio.get_running_loop(), asyncio.Event(), cluster.ports["control"]
            cpu_before_s, began_s = cpu_s(cluster.process.pid), time.perf_counter()
            caller_tasks = [
                loop.run_in_executor(
                    executor, run_callers, cluster.ports["http"], "http", callers // WORKERS, 1 << 30, number
                )
                for number in range(WORKERS)
            ]
            incomplete_call_tasks = [
                asyncio.ensure_future(send_incomplete_calls(port, stopped)) for _ in range(incomplete_calls)
            ]
            await asyncio.sleep(1.0)
            delays_ms, deadline_s = [], time.perf_counter() + ROW_S
            while len(delays_ms) < calls and time.perf_counter() < deadline_s:
                delays_ms.append(await call_control(port))
                await asyncio.sleep(0.02)
            core_busy = (cpu_s(cluster.process.pid) - cpu_before_s) / (time.perf_counter() - began_s)
            stopped.set()
            await cluster.kill()
            await asyncio.gather(*caller_tasks, *incomplete_call_tasks, return_exceptions=True)
        delays_ms.sort()
        return {
            "callers": callers,
            "half_calls": incomplete_calls,
            "calls": len(delays_ms),
            "core_busy": round(core_busy, 2),
            "p50_ms": round(statistics.median(delays_ms), 1),
            "p99_ms": round(delays_ms[len(delays_ms) * 99 // 100], 1),
            "most_ms": round(delays_ms[-1], 1),
        }


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--calls", type=int, default=300)
    parser.add_argument("--callers", type=int, default=240)
    parser.add_argument("--out", type=Path, help="write the result to this file as JSON")
    options = parser.parse_args()
    rows = [
        await measure(callers, options.calls, incomplete_calls)
        for callers, incomplete_calls in ((3, 0), (options.callers, 0), (options.callers, 200))
    ]
    for row in rows:
        print(row)
    if options.out:
        options.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
