"""A fleet that starts, or loses its list service, on a clock of its own: the production heart of reports in hundreds or
thousands of nodes, and a service with a capacity. Deterministic from the seed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace

from flintshift.lab.capacity import SLOW_ANSWER_MS, Capacity, Verdict
from flintshift.startup.reports import (
    Event,
    ReportAnswered,
    ReportSchedule,
    ReportTiming,
    SendReport,
    StatusChanged,
    Tick,
    WakeAt,
)

QUIET_MS = 10_000.0  # before an outage
AFTER_MS = 20_000.0  # that are watched past it
LAPSE_MS = 3000.0  # after its last report that was taken, a node is off the list


@dataclass(frozen=True, slots=True)
class Told:
    """What a play came to."""

    steady_per_s: float  # calls that the fleet needs when all is well
    peak_start: float  # of any 100 ms, against the steady rate: while the fleet starts
    peak_back: float  # and from the return of the service on
    collapses: int
    listed_ms: float | None  # from the return until 95 in 100 nodes stand on the list again; None: they never did
    lapsed_before: int  # nodes whose entry lapsed while the service was well
    load_in_outage: float  # in times of the steady rate: its last 4 s
    load_at_end: float  # and the last 4 s of all


@dataclass(slots=True)
class SimNode:
    reports: ReportSchedule
    starts_ms: float
    taken_ms: float | None = None  # its last report that was taken
    wakes: int = 0  # a wake of an earlier number is stale
    lapses: int = 0


@dataclass
class World:
    """All start within ``start_ms``; the service is away for so long, `QUIET_MS` later, or collapses then.
    ``before`` True: each node reports as the version that drew nothing did, at once, in fixed periods, and after 100 ms
    again. ``longest_ms``: another longest wait between two tries than the nodes'."""

    nodes: int
    seed: int
    capacity: float  # times the steady rate
    start_ms: float = 1000.0
    outage_s: float = 0.0
    before: bool = False
    collapse: bool = False
    longest_ms: float | None = None
    turn: itertools.count[int] = field(default_factory=itertools.count)
    queue: list[tuple[float, int, SimNode, Event, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.down_ms = QUIET_MS, QUIET_MS + self.outage_s * 1000
        self.draw = random.Random(self.seed)
        self.pace = ReportTiming(nodes=self.nodes)
        if self.longest_ms is not None:
            self.pace = replace(self.pace, max_retry_ms=self.longest_ms)
        self.steady_per_s = self.nodes * 1000.0 / self.pace.period_ms
        self.service = Capacity(self.capacity * self.steady_per_s)
        self.members = [
            SimNode(self._reports(number), self.draw.uniform(0.0, self.start_ms)) for number in range(self.nodes)
        ]
        for node in self.members:
            self._later(node.starts_ms, node, StatusChanged(True))

    def _reports(self, number: int) -> ReportSchedule:
        if self.before:
            pace = ReportTiming(spread=0.0, max_retry_ms=self.pace.retry_ms, nodes=1)
            return ReportSchedule(pace, lambda low, high: low)
        return ReportSchedule(self.pace, random.Random(f"n{number} {self.seed}").uniform)

    def _later(self, at_ms: float, node: SimNode, event: Event) -> None:
        heapq.heappush(self.queue, (at_ms, next(self.turn), node, event, node.wakes))

    def run(self, until_ms: float) -> None:
        while self.queue and self.queue[0][0] <= until_ms:
            now, _, node, event, wakes = heapq.heappop(self.queue)
            if isinstance(event, Tick) and wakes != node.wakes:
                continue
            node.wakes += 1
            for action in node.reports.handle(now, event):
                match action:
                    case WakeAt(at_ms):
                        self._later(at_ms, node, Tick())
                    case SendReport():
                        self._call(now, node)

    def _call(self, now: float, node: SimNode) -> None:
        self.service.down = self.down_ms[0] <= now < self.down_ms[1]
        verdict = self.service.call(now)
        taken, took = verdict is not Verdict.REJECTED, SLOW_ANSWER_MS if verdict is Verdict.SLOW else 2.0
        if taken:
            if node.taken_ms is not None and now + took - node.taken_ms > LAPSE_MS:
                node.lapses += 1
            node.taken_ms = now + took
        self._later(now + took, node, ReportAnswered(taken, now))


def play(
    nodes: int,
    seed: int,
    capacity: float = 1.3,
    outage_s: float = 8.0,
    before: bool = False,
    start_ms: float = 1000.0,
    collapse: bool = False,
    longest_ms: float | None = None,
) -> Told:
    return run(World(nodes, seed, capacity, start_ms, outage_s, before, collapse, longest_ms))


def run(world: World) -> Told:
    """Play a world to its end."""
    down, nodes = world.down_ms, world.nodes
    world.run(down[0])
    world.service.collapsed = world.service.collapsed or world.collapse
    lapsed = sum(node.lapses for node in world.members)
    back = None
    at = down[0]
    while at < down[1] + AFTER_MS:
        at += 100.0
        world.run(at)
        if (
            at > down[1]
            and back is None
            and sum(node.taken_ms is not None and node.taken_ms >= down[1] for node in world.members) >= 0.95 * nodes
        ):
            back = at - down[1]
    bin_rate, service = world.steady_per_s / 10, world.service

    def load(until_ms: float) -> float:
        return round(service.calls_between(until_ms - 4000.0, until_ms) / 4 / world.steady_per_s, 2)

    return Told(
        world.steady_per_s,
        round(service.peak(0.0, down[0]) / bin_rate, 2),
        round(service.peak(down[1], at) / bin_rate, 2),
        service.collapses,
        back,
        lapsed,
        load(down[1]),
        load(at),
    )
