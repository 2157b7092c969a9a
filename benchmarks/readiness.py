"""Time until nodes that are started together are ready, with the vault and the name service down.

    python benchmarks/readiness.py --nodes 24 --rounds 5 --before ../before --out benchmarks/results/readiness.json

A node is ready when a health check is answered with 200. All nodes share this machine's cores, so the figures are those
of an overloaded machine. ``--before`` also starts the version in another checkout, in turn with this one, and gives the
ratio.
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
import time
from pathlib import Path

from flintshift.lab.ports import free_ports
from flintshift.lab.standins import Pool
from flintshift.settings.embedded import configuration

PING = b"GET /ping HTTP/1.1\r\nHost: node\r\n\r\n"
POLL_S = 0.01  # between two health checks of a node that is not ready yet
TIMEOUT_S = 60.0
LINGER_S = 0.1  # time for the worker pool's links to close
THIS_CHECKOUT = Path(__file__).resolve().parent.parent


def node_configuration(name: str, port: int, pool: int, unused: int) -> dict[str, object]:
    """Return a node's configuration; nothing listens on the port ``unused`` of its vault and its name service."""
    ports = {"listen": port, "pool": pool, "naming": unused, "vault": unused}
    return {**configuration(), "name": name, **{key: f"127.0.0.1:{value}" for key, value in ports.items()}}


async def wait_until_ready(port: int, began_s: float) -> float:
    """Wait until the node is ready; return the seconds since ``began_s``."""
    while time.monotonic() - began_s < TIMEOUT_S:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(PING)
            status = (await reader.readline()).split(b" ")[1:2]
            writer.close()
            if status == [b"200"]:
                return time.monotonic() - began_s
        except OSError:
            pass
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"the node at {port} is not ready after {TIMEOUT_S:g} s")


async def start_together(checkout: Path, nodes: int) -> list[float]:
    """Start all nodes at once; return the sorted seconds until each one is ready."""
    pool = Pool()
    await pool.start()
    *ports, unused = free_ports(nodes + 1)
    with tempfile.TemporaryDirectory() as folder:
        processes = []
        began_s = time.monotonic()
        for number, port in enumerate(ports):
            path = Path(folder) / f"n{number}.json"
            path.write_text(json.dumps(node_configuration(f"n{number}", port, pool.port, unused)))
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "flintshift"],
                    cwd=checkout,
                    env={**os.environ, "LB_CONFIG": str(path)},
                    stderr=subprocess.DEVNULL,
                )
            )
        try:
            return sorted(await asyncio.gather(*(wait_until_ready(port, began_s) for port in ports)))
        finally:
            for process in processes:
                process.kill()
                process.wait()
            await pool.stop()
            await asyncio.sleep(LINGER_S)


def summarize(ready_s: list[float]) -> dict[str, float]:
    """Return the median, the 90th percentile and the maximum."""
    ready_s = sorted(ready_s)
    return {
        "median_s": round(statistics.median(ready_s), 3),
        "nine_in_ten_s": round(ready_s[int(0.9 * (len(ready_s) - 1))], 3),
        "worst_s": round(ready_s[-1], 3),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--nodes", type=int, default=24)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--before", type=Path, help="another checkout, started in turn with this one")
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    this_version_s, other_version_s = list[float](), list[float]()
    for _ in range(options.rounds):
        this_version_s += asyncio.run(start_together(THIS_CHECKOUT, options.nodes))
        if options.before is not None:
            other_version_s += asyncio.run(start_together(options.before.resolve(), options.nodes))
    result: dict[str, object] = {"nodes": options.nodes, "rounds": options.rounds, "cores": os.cpu_count()}
    result["here"] = summarize(this_version_s)
    if other_version_s:
        result["before"] = summarize(other_version_s)
        result["ratio"] = {
            name: round(value / summarize(other_version_s)[name], 3)
            for name, value in summarize(this_version_s).items()
        }
    text = json.dumps(result, indent=2)
    print(text)
    if options.out is not None:
        options.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
