"""What a list service meets from a fleet that starts, and that loses it for 8 s: this version against another.

    git worktree add build/before REVISION
    python benchmarks/cold_start.py --before build/before --out benchmarks/results/cold_start.json

Real nodes first (`--nodes`), those of the version before and those of this one after each other, each with a list
service of its own that counts calls by 100 ms and has a capacity (`lab/capacity.py`: 1.3 times the steady rate; a storm
of a second collapses it). Then the heart alone in hundreds and thousands of nodes, by seed.
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
from flintshift.lab.services import LimitedNames, now_ms  # noqa: E402

PERIOD_S, CAPACITY = 0.8, 1.3
OUTAGE_S, AFTER_S = 8.0, 16.0


async def real(folder: Path, nodes: int, root: Path | None) -> dict[str, Any]:
    fleet = Fleet(folder, {"ruwi-hall": nodes}, root=root, platform={"groupSize": nodes})
    steady = nodes / PERIOD_S
    names = fleet.names = LimitedNames(CAPACITY * steady)
    async with fleet:
        await asyncio.sleep(4.0)
        down = now_ms()
        names.capacity.down = True
        await asyncio.sleep(OUTAGE_S)
        names.capacity.down, back = False, now_ms()
        names.listed.clear()
        all_ms = None
        while now_ms() < back + AFTER_S * 1000:
            await asyncio.sleep(0.05)
            if all_ms is None and len(names.listed) >= 0.95 * nodes:
                all_ms = round(now_ms() - back)
        capacity, end = names.capacity, now_ms()

    def against(from_ms: float, to_ms: float) -> float:
        return round(capacity.calls_between(from_ms, to_ms) / (to_ms - from_ms) * 1000 / steady, 2)

    return {
        "nodes": nodes,
        "steady_per_s": round(steady, 1),
        "start_peak_500ms": round(capacity.peak(0.0, down, 500.0) / (steady / 2), 2),
        "in_outage": against(down, back),
        "last_4_s_of_outage": against(back - 4000.0, back),
        "back_peak_100ms": round(capacity.peak(back, end) / (steady / 10), 2),
        "back_first_2_s": against(back, back + 2000.0),
        "back_8_to_12_s": against(back + 8000.0, back + 12_000.0),
        "collapses": capacity.collapses,
        "collapsed_at_the_end": capacity.collapsed,
        "listed_again_ms": all_ms,
    }


async def measure(nodes: list[int], before: Path | None, sizes: list[int]) -> dict[str, Any]:
    told: dict[str, Any] = {"real": [], "simulated": []}
    with tempfile.TemporaryDirectory(prefix="flintshift-cold-") as name:
        for count in nodes:
            for version, root in (("before", before), ("now", None)):
                if version == "now" or root is not None:
                    found = await real(Path(name) / f"{version}{count}", count, root)
                    told["real"].append({"version": version, **found})
                    print(told["real"][-1], file=sys.stderr, flush=True)
    for size in sizes:
        for seed in (1, 2):
            told["simulated"] += [
                {
                    "version": version,
                    "nodes": size,
                    "seed": seed,
                    **asdict(simulate(size, seed, CAPACITY, OUTAGE_S, before=version == "before")),
                }
                for version in ("before", "now")
            ]
    return told


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--nodes", default="12,40", help="real nodes, numbers of fleets that follow each other")
    parser.add_argument("--before", type=Path, help="the folder of another version's source")
    parser.add_argument("--sizes", default="60,300,1000,5000", help="of simulated fleets")
    parser.add_argument("--out", type=Path, help="write the result here too")
    given = parser.parse_args()
    text = json.dumps(
        asyncio.run(
            measure(
                [int(one) for one in given.nodes.split(",") if one],
                given.before and given.before.resolve(),
                [int(one) for one in given.sizes.split(",") if one],
            )
        ),
        indent=1,
    )
    print(text)
    if given.out:
        given.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
