"""Chaos for the copies: rounds of faults by seed on a fleet under load, each with a machine that is lost with its
disk.

One round: keyed load with repeats at random members; a fault out of the table; a machine and its disk gone in the
middle of it; the machine back, empty; then, for every key of the round, one more repeat at a member that is up.
The judge sees only what crossed the sockets.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from flintshift.lab.faults import Fault
from flintshift.lab.fleet import WINDOW_MS, Fleet, read_billed_documents, usage_settings
from flintshift.lab.history import MemberUsage, RunStarted, Violation, check_usage, collect_usage

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n  take-over-use: 1s\n"
PERIOD = "2s"  # of the ledgers
QUIET_S = 0.3  # under load before the fault
HURT_S = 0.9  # with it
BILLED_S = 25.0  # until all is billed, in the end
PAUSE_S = 0.004  # of a caller between two requests


async def nothing(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    """The lost machine alone."""


async def slow_link(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    one, other = draw.sample(others, 2)
    fleet.links[one, other].forward = Fault(delay_ms=200.0, jitter_ms=50.0)
    fleet.add_to_timeline(f"{one} to {other}: 200 ms late")


async def one_way_cut(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    one, other = draw.sample(others, 2)
    fleet.links[one, other].forward = Fault(drops=True)
    fleet.add_to_timeline(f"{one} to {other}: nothing passes, the other way all does")


async def cut_off(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    """A further member behind a cut: callers are still with it."""
    one = draw.choice(others)
    fleet.cut([one], [name for name in fleet.members if name != one])


async def hall_cut(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    fleet.cut(fleet.members_in_hall("ruwi-hall"), fleet.members_in_hall("seeb-hall"))


async def flapping(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    one = draw.choice(others)
    for _ in range(4):
        for link in fleet.links_between([one], [name for name in fleet.members if name != one]):
            link.reset()
        await asyncio.sleep(0.15)
    fleet.add_to_timeline(f"links of {one} were reset four times")


async def paused(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    one = draw.choice(others)
    fleet.pause(one)
    await asyncio.sleep(1.8)
    fleet.resume(one)


async def process_killed(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    """A second member dies, with its disk kept, and comes back."""
    one = draw.choice(others)
    await fleet.kill(one)
    await asyncio.sleep(0.3)
    await fleet.start(one)


async def torn_frames(fleet: Fleet, draw: random.Random, others: list[str]) -> None:
    for _ in range(6):
        one, other = draw.sample(others, 2)
        fleet.links[one, other].forward = Fault(reset_after=draw.randrange(2000), duplicates=draw.random() < 0.3)
    fleet.add_to_timeline("six links are cut in the middle of a frame, some after junk")


FAULTS: dict[str, Callable[[Fleet, random.Random, list[str]], Awaitable[None]]] = {
    one.__name__: one
    for one in (nothing, slow_link, one_way_cut, cut_off, hall_cut, flapping, paused, process_killed, torn_frames)
}


@dataclass(frozen=True, slots=True)
class DiskRefusal:
    """Of each member's writes and syncs some fail, for a span of the play."""

    rate: int  # of 1,000
    from_s: float = 0.0  # after the fleet is linked
    lasts_s: float = math.inf


@dataclass
class Tally:
    """What the rounds came to."""

    rounds: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    violation_texts: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    runs: int = 0
    keys: int = 0
    took_s: float = 0.0
    use: dict[str, MemberUsage] = field(default_factory=lambda: defaultdict(MemberUsage))  # by member
    billed: int = 0
    in_doubt: int = 0
    complete_after_s: list[float] = field(
        default_factory=list
    )  # by round: from its end, or the disks' recovery after it
    lost_in_gaps: int = 0  # booked while no copy answered, as was told, by a machine that was lost then

    @property
    def not_served(self) -> float:
        """The share of answers that were refused or failed, or that never came."""
        return 1.0 - self.answers["served"] / max(1, sum(self.answers.values()))

    def to_dict(self) -> dict[str, Any]:
        return {
            "rounds": self.rounds,
            "keys": self.keys,
            "runs": self.runs,
            "broken": dict(self.violations),
            "billed": self.billed,
            "in_doubt": self.in_doubt,
            "lost_in_gaps": self.lost_in_gaps,
            "not_served": round(self.not_served, 4),
            "whole_after_s": round(max(self.complete_after_s, default=0.0), 1),
            "answers": dict(self.answers),
            "faults": dict(self.faults),
            "took_s": round(self.took_s, 1),
            "first": self.violation_texts[:20],
        }


class Load:
    """Callers with keyed requests, of which some come a second time at another member."""

    def __init__(self, fleet: Fleet, draw: random.Random, callers: int, prefix: str) -> None:
        self.fleet, self.draw, self.callers, self.prefix = fleet, draw, callers, prefix
        self.keys: list[str] = []
        self.stopped = asyncio.Event()

    async def run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self.callers):
                tasks.create_task(self._caller(random.Random(self.draw.getrandbits(32))))

    async def _caller(self, draw: random.Random) -> None:
        while not self.stopped.is_set():
            key = f"{self.prefix}-{len(self.keys)}"
            self.keys.append(key)
            names = list(self.fleet.members)
            first = self.fleet.send_request(draw.choice(names), key)
            if draw.random() < 0.3:  # a second copy in the same moment
                await asyncio.gather(first, self.fleet.send_request(draw.choice(names), key, is_repeat=True))
            else:
                await first
                if draw.random() < 0.6:
                    await self.fleet.send_request(draw.choice(names), key, is_repeat=True)
            await asyncio.sleep(PAUSE_S)


async def one_round(fleet: Fleet, number: int, seed: int, tally: Tally, callers: int) -> None:
    draw = random.Random(seed * 100_003 + number)
    fault = list(FAULTS)[number % len(FAULTS)] if number < len(FAULTS) else draw.choice(list(FAULTS))
    lost = draw.choice(list(fleet.members))
    others = [name for name in fleet.members if name != lost]
    fleet.add_to_timeline(f"round {number}: {fault}, and {lost} is lost")
    tally.faults[fault] += 1
    load = Load(fleet, draw, callers, f"r{number}")
    loading = asyncio.ensure_future(load.run())
    await asyncio.sleep(QUIET_S)
    hurting = asyncio.ensure_future(FAULTS[fault](fleet, draw, others))
    await asyncio.sleep(HURT_S * draw.random())
    await fleet.lose(lost)
    await asyncio.sleep(HURT_S * draw.random())
    await hurting
    fleet.heal()
    await fleet.start(lost)
    await asyncio.sleep(0.5)
    load.stopped.set()
    await loading
    tally.keys += len(load.keys)
    loaded_s = time.monotonic()
    await fleet.wait_until_refilled(lost)
    await fleet.wait_until_ledgers_complete()  # the next machine is lost once what this one held stands at others again
    tally.complete_after_s.append(time.monotonic() - max(loaded_s, fleet.disks_recovered_s))
    ran = {event.rid for event in fleet.events if isinstance(event, RunStarted)}
    # Every key that may have run, once more, wherever.
    room = asyncio.Semaphore(16)

    async def last(key: str) -> None:
        async with room:
            await fleet.send_request(draw.choice(list(fleet.members)), key, is_repeat=True)

    await asyncio.gather(*(last(key) for key in load.keys))
    judged = fleet.check_history()
    tally.rounds += 1
    tally.violations.update(judged.count_by_guarantee())
    tally.violation_texts += [
        f"seed {seed}, round {number} ({fault}, {lost} lost): {one.guarantee} of {one.key}: {one.text}"
        for one in judged.violations
    ]
    tally.answers.update(judged.answers)
    tally.runs += len(ran)
    for name, use in collect_usage(fleet.events).items():
        tally.use[name].answered |= use.answered
        tally.use[name].unanswered |= use.unanswered
    fleet.events.clear()
    for member in fleet.members.values():
        member.pool.spawned.clear()


async def _refuse(fleet: Fleet, disks: DiskRefusal) -> None:
    await asyncio.sleep(disks.from_s)
    fleet.set_write_failure_rate(disks.rate)
    if disks.lasts_s != math.inf:
        await asyncio.sleep(disks.lasts_s)
        fleet.set_write_failure_rate(0)
        fleet.disks_recovered_s = time.monotonic()


async def all_billed(fleet: Fleet, tally: Tally) -> None:
    """Wait until all that is booked is exported, and judge it. What a machine booked while it told that no copy
    answered, and lost with its disk, is counted apart: no two machines had it."""
    until = time.monotonic() + (BILLED_S if fleet.copies is not None else 5.0)
    broken = [Violation("use lost", "", "nothing is billed")]
    while broken and time.monotonic() < until:
        await asyncio.sleep(0.5)
        broken = check_usage(tally.use, *read_billed_documents(fleet.folder))
    counted, doubted = read_billed_documents(fleet.folder)
    tally.billed, tally.in_doubt = sum(counted.values()), sum(map(len, doubted.values()))
    gaps = {one["node"] for one in fleet.timeline() if one["event"] == "usage.copies_lack"}
    for one in broken:
        name = one.text.partition(":")[0]
        if one.guarantee == "use lost" and name in gaps:
            tally.lost_in_gaps += len(tally.use[name].answered - set(doubted.get(name, []))) - counted.get(name, 0)
        else:
            tally.violations[one.guarantee] += 1
            tally.violation_texts.append(f"{one.guarantee}: {one.text}")


async def run_rounds(
    folder: Path,
    count: int,
    seed: int,
    copies: bool = True,
    callers: int = 8,
    report: Callable[[str], None] = lambda text: None,
    root: Path | None = None,
    disks: DiskRefusal | None = None,
) -> Tally:
    """Play so many rounds on one fleet. ``copies`` False: the members share nothing, to see what is lost then."""
    tally, began = Tally(), time.monotonic()
    async with Fleet(
        folder,
        HALLS,
        COPIES if copies else None,
        seed=seed,
        root=root,
        extra_settings=usage_settings(folder, PERIOD),
        disks_refuse=disks is not None,
    ) as fleet:
        await fleet.wait_until_linked()
        refusing = asyncio.ensure_future(_refuse(fleet, disks)) if disks is not None else None
        try:
            for number in range(count):
                known = len(tally.violation_texts)
                await one_round(fleet, number, seed, tally, callers)
                report(
                    "\n".join(
                        [
                            f"round {number + 1} of {count}: {dict(tally.violations)} broken, {dict(tally.answers)}, "
                            f"{time.monotonic() - began:.0f} s",
                            *tally.violation_texts[known : known + 3],
                        ]
                    )
                )
            await all_billed(fleet, tally)
            tally.violations["traceback"] += len(fleet.tracebacks())
            tally.violation_texts += [f"traceback: {one}" for one in fleet.tracebacks()]
        finally:
            tally.took_s = time.monotonic() - began
            if refusing is not None:
                refusing.cancel()
            if tally.violation_texts or sys.exc_info()[0] is not None:  # a fleet that never is whole again, too
                (folder / "story.txt").write_text("\n".join(map(json.dumps, fleet.timeline())))
    return tally


__all__ = ["FAULTS", "WINDOW_MS", "Tally", "run_rounds"]
