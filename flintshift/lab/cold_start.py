"""Simulates a fleet that starts, or whose list service fails, on a simulated clock.

Hundreds or thousands of nodes run the production state machine of reports (`ReportSchedule`) against one service with a
capacity (`Capacity`). A simulation is deterministic by its seed.
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

QUIET_MS = 10_000.0  # from the start of the simulation to the outage
AFTER_MS = 20_000.0  # from the end of the outage to that of the simulation
LAPSE_MS = 3000.0  # after its last accepted report; then a node's entry is removed from the list


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """The load on the list service, and what became of the nodes' entries in its list."""

    steady_per_s: float  # calls that the fleet makes while the service is healthy
    peak_start: float  # highest load of any 100 ms, relative to the steady rate, up to the outage
    peak_back: float  # the same from the service's return on
    collapses: int
    listed_ms: float | None  # from the return until 95 of 100 nodes are listed again; None: never
    lapsed_before: int  # entries that lapsed before the outage
    load_in_outage: float  # relative to the steady rate, in the last 4 s of the outage
    load_at_end: float  # the same in the last 4 s of the simulation


@dataclass(slots=True)
class SimNode:
    """One simulated node."""

    reports: ReportSchedule
    starts_ms: float
    taken_ms: float | None = None  # time of its last accepted report
    wakes: int = 0  # events handled so far; a Tick that was scheduled at an earlier count is ignored
    lapses: int = 0


@dataclass
class World:
    """A fleet and its list service.

    All nodes start within ``start_ms``. After `QUIET_MS` the service is down for ``outage_s`` or, with ``collapse``,
    collapses. ``before``: nodes report as the version without random delays did, that is at once, in fixed periods, and
    again 100 ms after a failure. ``longest_ms`` replaces the nodes' own longest wait between two tries."""

    nodes: int
    seed: int
    capacity: float  # relative to the steady rate
    start_ms: float = 1000.0
    outage_s: float = 0.0
    before: bool = False
    collapse: bool = False
    longest_ms: float | None = None
    turn: itertools.count[int] = field(default_factory=itertools.count)
    queue: list[tuple[float, int, SimNode, Event, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        # Begin and end of the outage.
        self.down_ms = QUIET_MS, QUIET_MS + self.outage_s * 1000
        self.rng = random.Random(self.seed)
        self.timing = ReportTiming(nodes=self.nodes)
        if self.longest_ms is not None:
            self.timing = replace(self.timing, max_retry_ms=self.longest_ms)
        self.steady_per_s = self.nodes * 1000.0 / self.timing.period_ms
        self.service = Capacity(self.capacity * self.steady_per_s)
        self.members = [
            SimNode(self._report_schedule(number), self.rng.uniform(0.0, self.start_ms)) for number in range(self.nodes)
        ]
        for node in self.members:
            self._schedule(node.starts_ms, node, StatusChanged(True))

    def _report_schedule(self, number: int) -> ReportSchedule:
        if self.before:
            timing = ReportTiming(spread=0.0, max_retry_ms=self.timing.retry_ms, nodes=1)
            return ReportSchedule(timing, lambda low, high: low)
        return ReportSchedule(self.timing, random.Random(f"n{number} {self.seed}").uniform)

    def _schedule(self, at_ms: float, node: SimNode, event: Event) -> None:
        heapq.heappush(self.queue, (at_ms, next(self.turn), node, event, node.wakes))

    def run(self, until_ms: float) -> None:
        """Process all events up to this time."""
        while self.queue and self.queue[0][0] <= until_ms:
            now_ms, _, node, event, wakes = heapq.heappop(self.queue)
            if isinstance(event, Tick) and wakes != node.wakes:
                continue
            node.wakes += 1
            for action in node.reports.handle(now_ms, event):
                match action:
                    case WakeAt(at_ms):
                        self._schedule(at_ms, node, Tick())
                    case SendReport():
                        self._call(now_ms, node)

    def _call(self, now_ms: float, node: SimNode) -> None:
        self.service.down = self.down_ms[0] <= now_ms < self.down_ms[1]
        verdict = self.service.call(now_ms)
        accepted, took_ms = verdict is not Verdict.REJECTED, SLOW_ANSWER_MS if verdict is Verdict.SLOW else 2.0
        if accepted:
            if node.taken_ms is not None and now_ms + took_ms - node.taken_ms > LAPSE_MS:
                node.lapses += 1
            node.taken_ms = now_ms + took_ms
        self._schedule(now_ms + took_ms, node, ReportAnswered(accepted, now_ms))


def simulate(
    nodes: int,
    seed: int,
    capacity: float = 1.3,
    outage_s: float = 8.0,
    before: bool = False,
    start_ms: float = 1000.0,
    collapse: bool = False,
    longest_ms: float | None = None,
) -> SimulationResult:
    """Simulate a fleet; the parameters are those of `World`."""
    return run(World(nodes, seed, capacity, start_ms, outage_s, before, collapse, longest_ms))


def run(world: World) -> SimulationResult:
    """Simulate to the end, `AFTER_MS` after the outage."""
    down_ms, nodes = world.down_ms, world.nodes
    world.run(down_ms[0])
    world.service.collapsed = world.service.collapsed or world.collapse
    lapsed = sum(node.lapses for node in world.members)
    listed_again_ms = None
    now_ms = down_ms[0]
    while now_ms < down_ms[1] + AFTER_MS:
        now_ms += 100.0
        world.run(now_ms)
        if (
            now_ms > down_ms[1]
            and listed_again_ms is None
            and sum(node.taken_ms is not None and node.taken_ms >= down_ms[1] for node in world.members) >= 0.95 * nodes
        ):
            listed_again_ms = now_ms - down_ms[1]
    steady_per_bin, service = world.steady_per_s / 10, world.service

    def load(until_ms: float) -> float:
        return round(service.calls_between(until_ms - 4000.0, until_ms) / 4 / world.steady_per_s, 2)

    return SimulationResult(
        world.steady_per_s,
        round(service.peak(0.0, down_ms[0]) / steady_per_bin, 2),
        round(service.peak(down_ms[1], now_ms) / steady_per_bin, 2),
        service.collapses,
        listed_again_ms,
        lapsed,
        load(down_ms[1]),
        load(now_ms),
    )
