"""What callers see when a member is lost: keyed writes served by tenths of a second, and how soon its death is known.

    python benchmarks/copies_loss.py --rounds 5 --out benchmarks/results/copies_loss.json

Five members under an even load at those that stay; one is killed with its disk. Then the same load for `--quiet` s
with nothing done to the fleet, on a machine that other processes keep busy: a suspicion there is a false one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.fleet import Fleet  # noqa: E402

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
BIN_S = 0.1


async def load(fleet: Fleet, names: list[str], seconds: float, callers: int, served: list[float]) -> None:
    """Keyed writes, one every 50 ms from each caller; when each was served."""
    until = time.monotonic() + seconds

    async def one(number: int) -> None:
        count = 0
        while time.monotonic() < until:
            began = time.monotonic()
            answer = await fleet.send_request(names[number % len(names)], f"{number}-{count}-{began}")
            count += 1
            if answer is not None and answer.status == 200:
                served.append(time.monotonic())
            await asyncio.sleep(max(0.0, 0.05 - (time.monotonic() - began)))

    await asyncio.gather(*(one(number) for number in range(callers)))


def moments(fleet: Fleet, event: str) -> list[dict[str, Any]]:
    return [one for one in fleet.timeline() if one["event"] == event]


async def loss(folder: Path, seed: int) -> dict[str, float]:
    async with Fleet(folder, HALLS, "  copies: 3\n", seed=seed) as fleet:
        await fleet.wait_until_linked()
        lost = list(fleet.members)[seed % 5]
        names = [name for name in fleet.members if name != lost]
        served: list[float] = []
        loading = asyncio.ensure_future(load(fleet, names, 7.0, 12, served))
        await asyncio.sleep(2.5)
        at, wall = time.monotonic(), time.time()
        await fleet.lose(lost)
        await loading
        from datetime import datetime

        known = [
            datetime.fromisoformat(one["timestamp"]).timestamp() - wall
            for one in moments(fleet, "peers.died")
            if one["identity"].startswith(f"{lost}#")
        ]
    before = sum(at - 2.0 <= when < at for when in served) / 2.0
    bins = [sum(at + step * BIN_S <= when < at + (step + 1) * BIN_S for when in served) / BIN_S for step in range(40)]
    low = [step for step in range(38) if sum(bins[step : step + 3]) / 3 < 0.95 * before]
    return {
        "before_per_s": round(before, 1),
        "worst_tenth": round(min(bins) / before, 3),
        "back_after_ms": round((low[-1] + 1) * BIN_S * 1000) if low else 0,
        "known_by_all_ms": round(max(known) * 1000),
        "who_know": len(known),
    }


async def come_back(folder: Path, lost: bool) -> dict[str, Any]:
    """What becomes of callers who were told a time to come back and hold to it: at the member that told it, or, where
    that one was lost meanwhile, at another. The door keeps such times, in the memory of its member alone."""
    returned: list[int] = []
    async with Fleet(
        folder, HALLS, "  copies: 3\n", took_ms=40.0, cores=1, extra_settings="door: {enabled: true}\n"
    ) as fleet:
        await fleet.wait_until_linked()
        gone, over = asyncio.Event(), asyncio.Event()

        async def caller(name: str, number: int, counts: bool) -> None:
            for count in range(1_000_000):
                if over.is_set():
                    return
                target = "n2" if name == "n1" and gone.is_set() else name
                answer = await fleet.send_request(target, f"{name}-{number}-{count}")
                if answer is None or answer.status != 429 or not answer.retry_after_ms:
                    continue
                since = gone.is_set()
                await asyncio.sleep(answer.retry_after_ms / 1000)
                if not counts or over.is_set() or (lost and (since or not gone.is_set())):
                    continue
                target = "n2" if name == "n1" and gone.is_set() else name
                again = await fleet.send_request(target, f"{name}-{number}-{count}-back")
                if again is not None:
                    returned.append(again.status)

        callers = [asyncio.ensure_future(caller("n1", number, True)) for number in range(30)]
        callers += [asyncio.ensure_future(caller("n2", number, False)) for number in range(12)]
        await asyncio.sleep(4.0)
        if lost:
            await fleet.kill("n1")
            gone.set()
        await asyncio.sleep(4.0)
        over.set()
        await asyncio.gather(*callers)
    return {"came_back": len(returned), "served": round(returned.count(200) / max(1, len(returned)), 3)}


def busy(seconds: float) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        sum(range(10_000))


async def quiet(folder: Path, seconds: float, burners: int) -> dict[str, int]:
    processes = [multiprocessing.Process(target=busy, args=(seconds,), daemon=True) for _ in range(burners)]
    async with Fleet(folder, HALLS, "  copies: 3\n") as fleet:
        await fleet.wait_until_linked()
        for process in processes:
            process.start()
        await load(fleet, list(fleet.members), seconds, 10, [])
        for process in processes:
            process.join()
        return {
            "seconds": round(seconds),
            "busy_processes": burners,
            "false_suspicions": len(moments(fleet, "peers.suspected")),
            "false_deaths": len(moments(fleet, "peers.died")),
        }


async def play(rounds: int, quiet_s: float, burners: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="flintshift-loss-") as name:
        told = [await loss(Path(name) / str(seed), seed) for seed in range(rounds)]
        found: dict[str, Any] = {"losses": told, "median": {key: median(one[key] for one in told) for key in told[0]}}
        found["come_back"] = {
            what: await come_back(Path(name) / what, what == "member_lost") for what in ("member_lives", "member_lost")
        }
        if quiet_s:
            found["quiet"] = await quiet(Path(name) / "quiet", quiet_s, burners)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--quiet", type=float, default=600.0, help="seconds without a fault; 0: none")
    parser.add_argument("--busy", type=int, default=8, help="processes that keep the machine busy in that time")
    parser.add_argument("--out", type=Path, help="write the result here too")
    given = parser.parse_args()
    text = json.dumps(asyncio.run(play(given.rounds, given.quiet, given.busy)), indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
