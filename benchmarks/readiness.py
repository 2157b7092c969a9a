"""How long nodes that are started together take to be ready, with the vault and the name service down.

    python benchmarks/readiness.py --nodes 24 --rounds 5 --before ../before --out benchmarks/results/readiness.json

Ready: a health check is answered 200. All share this machine's cores, so the figures are those of a crowded one;
``--before`` starts the version in another checkout in turns with this one, and gives the ratio.
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
LOOK_S = 0.01  # between two looks at a node that does not answer yet
MOST_S = 60.0
LINGER_S = 0.1  # for the stand-in's links to end
HERE = Path(__file__).resolve().parent.parent


def told(name: str, port: int, pool: int, nobody: int) -> dict[str, object]:
    """A node's configuration; nobody listens where its vault and its name service should."""
    at = {"listen": port, "pool": pool, "naming": nobody, "vault": nobody}
    return {**configuration(), "name": name, **{key: f"127.0.0.1:{value}" for key, value in at.items()}}


async def ready_s(port: int, began: float) -> float:
    while time.monotonic() - began < MOST_S:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(PING)
            status = (await reader.readline()).split(b" ")[1:2]
            writer.close()
            if status == [b"200"]:
                return time.monotonic() - began
        except OSError:
            pass
        await asyncio.sleep(LOOK_S)
    raise TimeoutError(f"the node at {port} is not ready after {MOST_S:g} s")


async def started_together(checkout: Path, nodes: int) -> list[float]:
    """Seconds from the start of all to each one's readiness."""
    pool = Pool()
    await pool.start()
    *ports, nobody = free_ports(nodes + 1)
    with tempfile.TemporaryDirectory() as folder:
        processes = []
        began = time.monotonic()
        for number, port in enumerate(ports):
            path = Path(folder) / f"n{number}.json"
            path.write_text(json.dumps(told(f"n{number}", port, pool.port, nobody)))
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "flintshift"],
                    cwd=checkout,
                    env={**os.environ, "LB_CONFIG": str(path)},
                    stderr=subprocess.DEVNULL,
                )
            )
        try:
            return sorted(await asyncio.gather(*(ready_s(port, began) for port in ports)))
        finally:
            for process in processes:
                process.kill()
                process.wait()
            await pool.stop()
            await asyncio.sleep(LINGER_S)


def figures(all_s: list[float]) -> dict[str, float]:
    all_s = sorted(all_s)
    return {
        "median_s": round(statistics.median(all_s), 3),
        "nine_in_ten_s": round(all_s[int(0.9 * (len(all_s) - 1))], 3),
        "worst_s": round(all_s[-1], 3),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--nodes", type=int, default=24)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--before", type=Path, help="another checkout, started in turns with this one")
    parser.add_argument("--out", type=Path)
    given = parser.parse_args()
    here, before = list[float](), list[float]()
    for _ in range(given.rounds):
        here += asyncio.run(started_together(HERE, given.nodes))
        if given.before is not None:
            before += asyncio.run(started_together(given.before.resolve(), given.nodes))
    result: dict[str, object] = {"nodes": given.nodes, "rounds": given.rounds, "cores": os.cpu_count()}
    result["here"] = figures(here)
    if before:
        result["before"] = figures(before)
        result["ratio"] = {name: round(value / figures(before)[name], 3) for name, value in figures(here).items()}
    text = json.dumps(result, indent=2)
    print(text)
    if given.out is not None:
        given.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
