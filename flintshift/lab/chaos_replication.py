"""Chaos test of replication: rounds of seeded faults and of lost machines, on a fleet under load.

A round has keyed load with repeats at random members, a fault from `FAULTS` and, during it, the loss of a machine and
its disk. Then the machine returns without its data, and each key of the round is repeated once more at a member that is
up. The checks use only what crossed the sockets.
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
BEFORE_FAULT_S = 0.3  # of load before the fault
MAX_FAULT_WAIT_S = 0.9  # of load with the fault before the machine is lost, and again after it
BILLING_TIMEOUT_S = 25.0  # until all use is billed at the end
PAUSE_S = 0.004  # between two requests of a caller


async def nothing(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """No fault besides the lost machine."""


async def slow_link(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """One direction of a link is delayed."""
    source, target = rng.sample(others, 2)
    fleet.links[source, target].forward = Fault(delay_ms=200.0, jitter_ms=50.0)
    fleet.add_to_timeline(f"{source} to {target}: delayed by 200 ms")


async def one_way_cut(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """The bytes of one direction of a link are lost."""
    source, target = rng.sample(others, 2)
    fleet.links[source, target].forward = Fault(drops=True)
    fleet.add_to_timeline(f"{source} to {target}: one-way cut")


async def cut_off(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """A second member is cut off from the others, but not from its callers."""
    member = rng.choice(others)
    fleet.cut([member], [name for name in fleet.members if name != member])


async def hall_cut(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """The links between the two halls are cut."""
    fleet.cut(fleet.members_in_hall("ruwi-hall"), fleet.members_in_hall("seeb-hall"))


async def flapping(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """The links of a second member are reset several times."""
    member = rng.choice(others)
    for _ in range(4):
        for link in fleet.links_between([member], [name for name in fleet.members if name != member]):
            link.reset()
        await asyncio.sleep(0.15)
    fleet.add_to_timeline(f"links of {member} were reset four times")


async def paused(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """A second member's process is paused, and resumed after 1.8 s."""
    member = rng.choice(others)
    fleet.pause(member)
    await asyncio.sleep(1.8)
    fleet.resume(member)


async def process_killed(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """A second member's process is killed, and restarted on its disk."""
    member = rng.choice(others)
    await fleet.kill(member)
    await asyncio.sleep(0.3)
    await fleet.start(member)


async def torn_frames(fleet: Fleet, rng: random.Random, others: list[str]) -> None:
    """Connections break within a frame, some of them after duplicated bytes."""
    for _ in range(6):
        source, target = rng.sample(others, 2)
        fleet.links[source, target].forward = Fault(reset_after=rng.randrange(2000), duplicates=rng.random() < 0.3)
    fleet.add_to_timeline("six links are reset within a frame, some after duplicated bytes")


FAULTS: dict[str, Callable[[Fleet, random.Random, list[str]], Awaitable[None]]] = {
    fault.__name__: fault
    for fault in (nothing, slow_link, one_way_cut, cut_off, hall_cut, flapping, paused, process_killed, torn_frames)
}


@dataclass(frozen=True, slots=True)
class DiskFailures:
    """A share of each member's writes and syncs fails, for some time."""

    rate: int  # failures of 1,000 writes and syncs
    from_s: float = 0.0  # after the fleet is linked
    lasts_s: float = math.inf


@dataclass
class Tally:
    """The results of the rounds."""

    rounds: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    violation_texts: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    runs: int = 0
    keys: int = 0
    took_s: float = 0.0
    usage: dict[str, MemberUsage] = field(default_factory=lambda: defaultdict(MemberUsage))  # by member
    billed: int = 0
    in_doubt: int = 0
    # For each round, the time from its end or from the disks' later recovery until all ledgers had all replicas.
    complete_after_s: list[float] = field(default_factory=list)
    # Requests that a machine recorded while it reported that no replica answered, and that were lost with it.
    lost_in_gaps: int = 0

    @property
    def not_served(self) -> float:
        """The share of tries that were rejected, failed or not answered."""
        return 1.0 - self.answers["served"] / max(1, sum(self.answers.values()))

    def to_dict(self) -> dict[str, Any]:
        """Return the results under the names that reports use."""
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
    """Callers that send keyed requests, and repeat some of them at another member."""

    def __init__(self, fleet: Fleet, rng: random.Random, callers: int, prefix: str) -> None:
        self.fleet, self.rng, self.callers, self.prefix = fleet, rng, callers, prefix
        self.keys: list[str] = []
        self.stopped = asyncio.Event()

    async def run(self) -> None:
        """Run the callers until ``stopped`` is set."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self.callers):
                tasks.create_task(self._caller(random.Random(self.rng.getrandbits(32))))

    async def _caller(self, rng: random.Random) -> None:
        while not self.stopped.is_set():
            key = f"{self.prefix}-{len(self.keys)}"
            self.keys.append(key)
            names = list(self.fleet.members)
            first_try = self.fleet.send_request(rng.choice(names), key)
            if rng.random() < 0.3:  # a repeat at the same time
                await asyncio.gather(first_try, self.fleet.send_request(rng.choice(names), key, is_repeat=True))
            else:
                await first_try
                if rng.random() < 0.6:
                    await self.fleet.send_request(rng.choice(names), key, is_repeat=True)
            await asyncio.sleep(PAUSE_S)


async def run_round(fleet: Fleet, number: int, seed: int, tally: Tally, callers: int) -> None:
    """Run one round, and add its results to the tally."""
    rng = random.Random(seed * 100_003 + number)
    fault = list(FAULTS)[number % len(FAULTS)] if number < len(FAULTS) else rng.choice(list(FAULTS))
    lost = rng.choice(list(fleet.members))
    others = [name for name in fleet.members if name != lost]
    fleet.add_to_timeline(f"round {number}: {fault}, and {lost} is lost")
    tally.faults[fault] += 1
    load = Load(fleet, rng, callers, f"r{number}")
    load_task = asyncio.ensure_future(load.run())
    await asyncio.sleep(BEFORE_FAULT_S)
    fault_task = asyncio.ensure_future(FAULTS[fault](fleet, rng, others))
    await asyncio.sleep(MAX_FAULT_WAIT_S * rng.random())
    await fleet.lose(lost)
    await asyncio.sleep(MAX_FAULT_WAIT_S * rng.random())
    await fault_task
    fleet.heal()
    await fleet.start(lost)
    await asyncio.sleep(0.5)
    load.stopped.set()
    await load_task
    tally.keys += len(load.keys)
    load_ended_s = time.monotonic()
    await fleet.wait_until_refilled(lost)
    # The next machine is lost only when other members have replicas of what this one stored.
    await fleet.wait_until_ledgers_complete()
    tally.complete_after_s.append(time.monotonic() - max(load_ended_s, fleet.disks_recovered_s))
    started_rids = {event.rid for event in fleet.events if isinstance(event, RunStarted)}
    # Every key that may have run is sent once more, at any member.
    semaphore = asyncio.Semaphore(16)

    async def repeat(key: str) -> None:
        async with semaphore:
            await fleet.send_request(rng.choice(list(fleet.members)), key, is_repeat=True)

    await asyncio.gather(*(repeat(key) for key in load.keys))
    result = fleet.check_history()
    tally.rounds += 1
    tally.violations.update(result.count_by_guarantee())
    tally.violation_texts += [
        f"seed {seed}, round {number} ({fault}, {lost} lost): {broken.guarantee} of {broken.key}: {broken.text}"
        for broken in result.violations
    ]
    tally.answers.update(result.answers)
    tally.runs += len(started_rids)
    for name, usage in collect_usage(fleet.events).items():
        tally.usage[name].answered |= usage.answered
        tally.usage[name].unanswered |= usage.unanswered
    fleet.events.clear()
    for member in fleet.members.values():
        member.pool.spawned.clear()


async def _inject_disk_failures(fleet: Fleet, disks: DiskFailures) -> None:
    """Let the fleet's disks fail for the given time."""
    await asyncio.sleep(disks.from_s)
    fleet.set_write_failure_rate(disks.rate)
    if disks.lasts_s != math.inf:
        await asyncio.sleep(disks.lasts_s)
        fleet.set_write_failure_rate(0)
        fleet.disks_recovered_s = time.monotonic()


async def check_billing(fleet: Fleet, tally: Tally) -> None:
    """Wait until all recorded use is exported, and check it.

    Use that a machine recorded while it reported that no replica answered, and that was lost with its disk, is counted
    separately: no two machines had it.
    """
    give_up_s = time.monotonic() + (BILLING_TIMEOUT_S if fleet.copies is not None else 5.0)
    violations = [Violation("use lost", "", "nothing is billed")]
    while violations and time.monotonic() < give_up_s:
        await asyncio.sleep(0.5)
        violations = check_usage(tally.usage, *read_billed_documents(fleet.folder))
    billed, in_doubt = read_billed_documents(fleet.folder)
    tally.billed, tally.in_doubt = sum(billed.values()), sum(map(len, in_doubt.values()))
    members_with_gaps = {entry["node"] for entry in fleet.timeline() if entry["event"] == "usage.copies_lack"}
    for violation in violations:
        name = violation.text.partition(":")[0]
        if violation.guarantee == "use lost" and name in members_with_gaps:
            tally.lost_in_gaps += len(tally.usage[name].answered - set(in_doubt.get(name, []))) - billed.get(name, 0)
        else:
            tally.violations[violation.guarantee] += 1
            tally.violation_texts.append(f"{violation.guarantee}: {violation.text}")


async def run_rounds(
    folder: Path,
    count: int,
    seed: int,
    copies: bool = True,
    callers: int = 8,
    report: Callable[[str], None] = lambda text: None,
    root: Path | None = None,
    disks: DiskFailures | None = None,
) -> Tally:
    """Run ``count`` rounds on one fleet, and return their results.

    With ``copies`` False the members replicate nothing, which shows what is lost then. ``report`` is called with a text
    after each round.
    """
    tally, started_s = Tally(), time.monotonic()
    async with Fleet(
        folder,
        HALLS,
        COPIES if copies else None,
        seed=seed,
        root=root,
        extra_settings=usage_settings(folder, PERIOD),
        syscall_faults_enabled=disks is not None,
    ) as fleet:
        await fleet.wait_until_linked()
        disk_task = asyncio.ensure_future(_inject_disk_failures(fleet, disks)) if disks is not None else None
        try:
            for number in range(count):
                reported_count = len(tally.violation_texts)
                await run_round(fleet, number, seed, tally, callers)
                report(
                    "\n".join(
                        [
                            f"round {number + 1} of {count}: {dict(tally.violations)} broken, {dict(tally.answers)}, "
                            f"{time.monotonic() - started_s:.0f} s",
                            *tally.violation_texts[reported_count : reported_count + 3],
                        ]
                    )
                )
            await check_billing(fleet, tally)
            tally.violations["traceback"] += len(fleet.tracebacks())
            tally.violation_texts += [f"traceback: {last_line}" for last_line in fleet.tracebacks()]
        finally:
            tally.took_s = time.monotonic() - started_s
            if disk_task is not None:
                disk_task.cancel()
            if tally.violation_texts or sys.exc_info()[0] is not None:  # also if the wait for all replicas failed
                (folder / "story.txt").write_text("\n".join(map(json.dumps, fleet.timeline())))
    return tally


__all__ = ["FAULTS", "WINDOW_MS", "Tally", "run_rounds"]
