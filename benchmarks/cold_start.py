"""Load on a list service while a fleet starts and after an outage of 8 s: this version against another.

    git worktree add build/before REVISION
    python benchmarks/cold_start.py --before build/before --out benchmarks/results/cold_start.json

Real nodes come first (`--nodes`), those of the earlier version and then those of this one. Each fleet has its own list
service, which counts calls per 100 ms and has a limited capacity (`lab/capacity.py`: 1.3 times the steady rate; a
second of overload collapses it). Then only the state machine is simulated, in hundreds and thousands of nodes, by
seed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.cold_start import simulate  # noqa: E402
from flintshift.lab.fleet import Fleet  # noqa: E402
from flintshift.lab.services import RateLimitedNames, now_ms  # noqa: E402

REPORT_PERIOD_S, CAPACITY_FACTOR = 0.8, 1.3  # of a node's reports; the service's capacity relative to the steady rate
OUTAGE_S, RECOVERY_S = 8.0, 16.0  # duration of the outage, and of the measurement after it


async def measure_real_fleet(folder: Path, nodes: int, root: Path | None) -> dict[str, Any]:
    """Measure a fleet of real nodes, of the version in ``root``; rates are multiples of the steady rate."""
    fleet = Fleet(folder, {"ruwi-hall": nodes}, root=root, platform={"groupSize": nodes})
    steady_per_s = nodes / REPORT_PERIOD_S
    names = fleet.names = RateLimitedNames(CAPACITY_FACTOR * steady_per_s)
    async with fleet:
        await asyncio.sleep(4.0)
        outage_begin_ms = now_ms()
        names.capacity.down = True
        await asyncio.sleep(OUTAGE_S)
        names.capacity.down, outage_end_ms = False, now_ms()
        names.listed.clear()
        relisted_ms = None
        while now_ms() < outage_end_ms + RECOVERY_S * 1000:
            await asyncio.sleep(0.05)
            if relisted_ms is None and len(names.listed) >= 0.95 * nodes:
                relisted_ms = round(now_ms() - outage_end_ms)
        capacity, end_ms = names.capacity, now_ms()

    def relative_rate(from_ms: float, to_ms: float) -> float:
        """Return the rate of calls in the interval, as a multiple of the steady rate."""
        return round(capacity.calls_between(from_ms, to_ms) / (to_ms - from_ms) * 1000 / steady_per_s, 2)

    return {
        "nodes": nodes,
        "steady_per_s": round(steady_per_s, 1),
        "start_peak_500ms": round(capacity.peak(0.0, outage_begin_ms, 500.0) / (steady_per_s / 2), 2),
        "in_outage": relative_rate(outage_begin_ms, outage_end_ms),
        "last_4_s_of_outage": relative_rate(outage_end_ms - 4000.0, outage_end_ms),
        "back_peak_100ms": round(capacity.peak(outage_end_ms, end_ms) / (steady_per_s / 10), 2),
        "back_first_2_s": relative_rate(outage_end_ms, outage_end_ms + 2000.0),
        "back_8_to_12_s": relative_rate(outage_end_ms + 8000.0, outage_end_ms + 12_000.0),
        "collapses": capacity.collapses,
        "collapsed_at_the_end": capacity.collapsed,
        "listed_again_ms": relisted_ms,
    }


async def measure(nodes: list[int], before: Path | None, sizes: list[int]) -> dict[str, Any]:
    """Measure both versions: real fleets of the given node counts, then simulated fleets of the given sizes."""
    result: dict[str, Any] = {"real": [], "simulated": []}
    with tempfile.TemporaryDirectory(prefix="flintshift-cold-") as name:
        for count in nodes:
            for version, root in (("before", before), ("now", None)):
                if version == "now" or root is not None:
                    figures = await measure_real_fleet(Path(name) / f"{version}{count}", count, root)
                    result["real"].append({"version": version, **figures})
                    print(result["real"][-1], file=sys.stderr, flush=True)
    for size in sizes:
        for seed in (1, 2):
            result["simulated"] += [
                {
                    "version": version,
                    "nodes": size,
                    "seed": seed,
                    **asdict(simulate(size, seed, CAPACITY_FACTOR, OUTAGE_S, before=version == "before")),
                }
                for version in ("before", "now")
            ]
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--nodes", default="12,40", help="numbers of real nodes, one fleet after the other")
    parser.add_argument("--before", type=Path, help="source folder of the other version")
    parser.add_argument("--sizes", default="60,300,1000,5000", help="numbers of nodes of the simulated fleets")
    parser.add_argument("--out", type=Path, help="also write the result to this file")
    options = parser.parse_args()
    text = json.dumps(
        asyncio.run(
            measure(
                [int(one) for one in options.nodes.split(",") if one],
                options.before and options.before.resolve(),
                [int(one) for one in options.sizes.split(",") if one],
            )
        ),
        indent=1,
    )
    print(text)
    if options.out:
        options.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
