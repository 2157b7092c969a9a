"""What a club's surge costs the other clubs, with the fair queues at the door on and off, on both fronts mixed.

    python benchmarks/door_surge.py [--times 5.9] [--seconds N] [--rounds N] [--one-caller] [--heed] [--out FILE]

Two nodes stand side by side, one with the door on; each has two cores of its own for its worker pool and its app
servers together. A run takes 20 ms, and the clubs' usual load fills 0.6 of the cores. They get the same load in turns:
first the usual one of every club, then with one club at so many times its usual rate (``--one-caller``: all that is
more comes from one caller's number). Served shares are of all that a club asked in that time; kept is the share served
in the surge by that served before it, the median of the rounds. ``usual`` and ``surge`` are the surging club's.
With ``--heed``, ``came back`` is the share let in of those who came back once at the time that they were told.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.callers import REQUEST_BUILDERS, advised_wait_ms, read_reply_with_head, request_fields  # noqa: E402
from flintshift.lab.rig import Rig  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402

RUN_MS, CORES = 20.0, 2
USUAL_PER_S, CALLERS = 20.0, 8  # of a club, by so many callers
MOST_MS = 1000.0  # that may be told, by the embedded configuration
FRONTS = ("http", "uwsgi")
Count = dict[str, tuple[int, int]]  # by club, and for the one that surges by "usual" and "surge": asked, served


def load(ports: dict[str, int], times: float, one_caller: bool, heed: bool, seconds: float, seed: int) -> Count:
    """One process of callers that ask at a rate of their own, whatever is answered."""
    surging, *_ = CLUBS
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()

    async def ask(club: str, kind: str, caller: int, front: str, draw: random.Random, again: bool = False) -> None:
        rid = f"{draw.getrandbits(64):016x}"
        asked[kind] += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[front])
            writer.write(
                REQUEST_BUILDERS[front]("standings", b"12:01.5", request_fields(rid, club, "standings", caller, again))
            )
            status, _, head = await asyncio.wait_for(read_reply_with_head(reader), 5)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        served[kind] += status == 200
        told = advised_wait_ms(head)
        if status != 200 and told is not None and not again and heed:
            await asyncio.sleep(told / 1000)
            # Where all that may be told is told, there was no room to promise: its callers are counted apart.
            await ask(club, "came back" if told < MOST_MS else "came back, not promised", caller, front, draw, True)

    async def stream(club: str, kind: str, callers: list[int], per_s: float, number: int) -> None:
        draw, at, tasks = random.Random(seed * 1000 + number), time.monotonic(), set[asyncio.Task[None]]()
        until = at + seconds
        while at < until:
            at += draw.expovariate(per_s)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            task = asyncio.create_task(ask(club, kind, draw.choice(callers), draw.choice(FRONTS), draw))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def go() -> None:
        streams = [
            (club, "usual" if club == surging else club, [place * 100 + one for one in range(CALLERS)], USUAL_PER_S)
            for place, club in enumerate(CLUBS)
        ]
        if times > 1:
            numbers = [99] if one_caller else [*range(50, 50 + 5 * CALLERS)]
            streams.append((surging, "surge", numbers, (times - 1) * USUAL_PER_S))
        await asyncio.gather(*(stream(*one, number) for number, one in enumerate(streams)))

    asyncio.run(go())
    return {kind: (asked[kind], served[kind]) for kind in asked}


async def play(
    rigs: dict[str, Rig],
    times: float,
    one_caller: bool,
    heed: bool,
    seconds: float,
    seed: int,
    executor: ProcessPoolExecutor,
) -> dict[str, Count]:
    loop, found = asyncio.get_running_loop(), {}
    for name in sorted(rigs, reverse=seed % 2 == 1):
        found[name] = await loop.run_in_executor(
            executor, load, rigs[name].ports, times, one_caller, heed, seconds, seed
        )
    return found


async def measure(
    times: float, one_caller: bool, heed: bool, seconds: float, rounds: int
) -> dict[str, dict[str, float]]:
    kept: dict[str, dict[str, list[float]]] = {}
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name, ProcessPoolExecutor(1) as executor:
        async with AsyncExitStack() as stack:
            rigs = {}
            for told in ("on", "off"):
                rigs[told] = await stack.enter_async_context(
                    Rig(
                        Path(name) / told,
                        f"door: {{enabled: {str(told == 'on').lower()}}}\n",
                        uwsgi=True,
                        root=ROOT,
                        pool=Pool(cores=CORES, took_ms={"standings": RUN_MS}),
                        platform={"tenants": [{"name": club, "quotaPerS": 100.0} for club in CLUBS]},
                    )
                )
                rigs[told].apps.pool, rigs[told].apps.took_ms = rigs[told].pool, RUN_MS
            for round_ in range(rounds):
                before = await play(rigs, 1.0, one_caller, False, seconds, 10 + round_, executor)
                surge = await play(rigs, times, one_caller, heed, seconds, 20 + round_, executor)
                for told in rigs:
                    row = kept.setdefault(told, {})
                    for kind, (asked, served) in surge[told].items():
                        usual = before[told].get(kind, before[told]["usual"])
                        if kind.startswith("came back"):  # the share that was let in
                            usual = (1, 1)
                            row.setdefault(f"{kind}, number", []).append(asked)
                        row.setdefault(kind, []).append(served / asked / (usual[1] / usual[0]))
    return {
        told: {kind: round(statistics.median(parts), 3) for kind, parts in row.items()} for told, row in kept.items()
    }


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--times", type=float, default=5.9)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--one-caller", action="store_true", help="the surge is carried by one caller")
    parser.add_argument("--heed", action="store_true", help="who is refused comes back once, at the time it was told")
    parser.add_argument("--out", type=Path, help="write the result here as JSON")
    given = parser.parse_args()
    told = await measure(given.times, given.one_caller, given.heed, given.seconds, given.rounds)
    print(json.dumps(told, indent=1))
    if given.out:
        row = {"times": given.times, "one_caller": given.one_caller, "heed": given.heed, "kept": told}
        given.out.write_text(json.dumps(row, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
