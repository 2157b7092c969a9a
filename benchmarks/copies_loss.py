"""Effect of a lost member on callers: keyed writes served per 0.1 s, and the time until all members know of its death.

    python benchmarks/copies_loss.py --rounds 5 --out benchmarks/results/copies_loss.json

Five members run under an even load; one is killed and its disk is lost, and the others get the load. Then the same load
runs for `--quiet` s without a fault, on a machine that other processes keep busy: each suspicion there is a false one.
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
BIN_S = 0.1  # in which served writes are counted


async def run_callers(fleet: Fleet, names: list[str], seconds: float, callers: int, served: list[float]) -> None:
    """Send keyed writes, one every 50 ms from each caller; append to ``served`` the time at which each was served."""
    deadline_s = time.monotonic() + seconds

    async def run_caller(number: int) -> None:
        count = 0
        while time.monotonic() < deadline_s:
            began_s = time.monotonic()
            answer = await fleet.send_request(names[number % len(names)], f"{number}-{count}-{began_s}")
            count += 1
            if answer is not None and answer.status == 200:
                served.append(time.monotonic())
            await asyncio.sleep(max(0.0, 0.05 - (time.monotonic() - began_s)))

    await asyncio.gather(*(run_caller(number) for number in range(callers)))


def find_events(fleet: Fleet, event: str) -> list[dict[str, Any]]:
    """Return the entries of the fleet's timeline with this event."""
    return [one for one in fleet.timeline() if one["event"] == event]


async def measure_loss(folder: Path, seed: int) -> dict[str, float]:
    """Lose a member with its disk under load; return the effect on the load of the others."""
    async with Fleet(folder, HALLS, "  copies: 3\n", seed=seed) as fleet:
        await fleet.wait_until_linked()
        lost_member = list(fleet.members)[seed % 5]
        remaining_members = [name for name in fleet.members if name != lost_member]
        served_at: list[float] = []
        callers = asyncio.ensure_future(run_callers(fleet, remaining_members, 7.0, 12, served_at))
        await asyncio.sleep(2.5)
        lost_at, lost_wall_s = time.monotonic(), time.time()
        await fleet.lose(lost_member)
        await callers
        from datetime import datetime

        detection_s = [
            datetime.fromisoformat(one["timestamp"]).timestamp() - lost_wall_s
            for one in find_events(fleet, "peers.died")
            if one["identity"].startswith(f"{lost_member}#")
        ]
    rate_before = sum(lost_at - 2.0 <= when < lost_at for when in served_at) / 2.0
    rates = [
        sum(lost_at + step * BIN_S <= when < lost_at + (step + 1) * BIN_S for when in served_at) / BIN_S
        for step in range(40)
    ]
    low_bins = [step for step in range(38) if sum(rates[step : step + 3]) / 3 < 0.95 * rate_before]
    return {
        "before_per_s": round(rate_before, 1),
        "worst_tenth": round(min(rates) / rate_before, 3),
        "back_after_ms": round((low_bins[-1] + 1) * BIN_S * 1000) if low_bins else 0,
        "known_by_all_ms": round(max(detection_s) * 1000),
        "who_know": len(detection_s),
    }


async def measure_returning_callers(folder: Path, lose_member: bool) -> dict[str, Any]:
    """Measure whether callers who come back at the retry time that they were given are served.

    They come back to the member that gave the time or, if that member was lost meanwhile, to another. The fair queues
    reserve such times, but only in the memory of their own member.
    """
    return_statuses: list[int] = []
    async with Fleet(
        folder, HALLS, "  copies: 3\n", took_ms=40.0, cores=1, extra_settings="door: {enabled: true}\n"
    ) as fleet:
        await fleet.wait_until_linked()
        member_lost, finished = asyncio.Event(), asyncio.Event()

        async def run_caller(name: str, number: int, measured: bool) -> None:
            for count in range(1_000_000):
                if finished.is_set():
                    return
                target = "n2" if name == "n1" and member_lost.is_set() else name
                answer = await fleet.send_request(target, f"{name}-{number}-{count}")
                if answer is None or answer.status != 429 or not answer.retry_after_ms:
                    continue
                lost_before_wait = member_lost.is_set()
                await asyncio.sleep(answer.retry_after_ms / 1000)
                if (
                    not measured
                    or finished.is_set()
                    or (lose_member and (lost_before_wait or not member_lost.is_set()))
                ):
                    continue
                target = "n2" if name == "n1" and member_lost.is_set() else name
                second_answer = await fleet.send_request(target, f"{name}-{number}-{count}-back")
                if second_answer is not None:
                    return_statuses.append(second_answer.status)

        callers = [asyncio.ensure_future(run_caller("n1", number, True)) for number in range(30)]
        callers += [asyncio.ensure_future(run_caller("n2", number, False)) for number in range(12)]
        await asyncio.sleep(4.0)
        if lose_member:
            await fleet.kill("n1")
            member_lost.set()
        await asyncio.sleep(4.0)
        finished.set()
        await asyncio.gather(*callers)
    return {
        "came_back": len(return_statuses),
        "served": round(return_statuses.count(200) / max(1, len(return_statuses)), 3),
    }


def burn_cpu(seconds: float) -> None:
    """Use one core for ``seconds``."""
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        sum(range(10_000))


async def measure_false_suspicions(folder: Path, seconds: float, burners: int) -> dict[str, int]:
    """Load the fleet on a busy machine without any fault; return the false suspicions and deaths."""
    processes = [multiprocessing.Process(target=burn_cpu, args=(seconds,), daemon=True) for _ in range(burners)]
    async with Fleet(folder, HALLS, "  copies: 3\n") as fleet:
        await fleet.wait_until_linked()
        for process in processes:
            process.start()
        await run_callers(fleet, list(fleet.members), seconds, 10, [])
        for process in processes:
            process.join()
        return {
            "seconds": round(seconds),
            "busy_processes": burners,
            "false_suspicions": len(find_events(fleet, "peers.suspected")),
            "false_deaths": len(find_events(fleet, "peers.died")),
        }


async def measure(rounds: int, quiet_s: float, burners: int) -> dict[str, Any]:
    """Run all measurements; return their figures."""
    with tempfile.TemporaryDirectory(prefix="flintshift-loss-") as name:
        losses = [await measure_loss(Path(name) / str(seed), seed) for seed in range(rounds)]
        result: dict[str, Any] = {
            "losses": losses,
            "median": {key: median(one[key] for one in losses) for key in losses[0]},
        }
        result["come_back"] = {
            scenario: await measure_returning_callers(Path(name) / scenario, scenario == "member_lost")
            for scenario in ("member_lives", "member_lost")
        }
        if quiet_s:
            result["quiet"] = await measure_false_suspicions(Path(name) / "quiet", quiet_s, burners)
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--quiet", type=float, default=600.0, help="seconds of load without a fault; 0: skip")
    parser.add_argument("--busy", type=int, default=8, help="processes that keep the machine busy meanwhile")
    parser.add_argument("--out", type=Path, help="also write the result to this file")
    options = parser.parse_args()
    text = json.dumps(asyncio.run(measure(options.rounds, options.quiet, options.busy)), indent=1)
    print(text)
    if options.out:
        options.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
