"""Simulates a node's decisions on a virtual clock, with a worker pool of a number of cores, for experiments and tests.

There are no sockets, processes or waits: a second of a node takes some milliseconds, and is reproducible. The planner,
the module and the fair queues are those of a node; callers, fronts and links are left out.

    node = ModelNode(build_settings({"a": 10.0, "b": 10.0}), fair=True, took_ms={"look": 20.0})
    attempts = [node.submit("a") for _ in range(5)]
    node.advance(1000.0)
    print([attempt.answer for attempt in attempts])
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from typing import Any

from flintshift import interface as api
from flintshift.core.attempts import Attempt, RunFinished, Submitted, Tick, Verdict, WorkersUp
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits
from flintshift.lifecycle.fair_queueing import FairQueueing

START_MS = 1000.0  # initial time of the simulated clock


def build_settings(clubs: dict[str, float], **overrides: Any) -> api.Settings:
    """Return settings with two cores, clubs with these quotas, and two classes with an aim of 1 s.

    The classes are a read ``look`` and a keyed write ``pay``.
    """
    classes = [
        api.RequestClass("look", 1000.0, 3000.0, 1.0, api.Effect.SAFE),
        api.RequestClass("pay", 1000.0, 3000.0, 1.0, api.Effect.KEYED, repeat_window_ms=8000.0),
    ]
    settings: dict[str, Any] = {
        "classes": classes,
        "cores": 2,
        "memory_kb": 1e6,
        "run_factor": 4.0,
        "fall_multiple": 5.0,
        "drain_grace_ms": 500.0,
        "tenants": [api.Tenant(name, quota) for name, quota in clubs.items()],
        "advice_allowed": True,
        "advice_max_ms": 1000.0,
    }
    return api.Settings(**settings | overrides)


class ModelNode:
    """A node with a simulated worker pool.

    ``took_ms`` is the time on a core that a run takes, by class. A run of any other class lasts until ``finish_run``.
    """

    def __init__(self, settings: api.Settings, fair: bool = True, took_ms: dict[str, float] | None = None) -> None:
        self.settings, self.took_ms, self.now_ms = settings, took_ms or {}, START_MS
        self.counters, self.log = Counters(), list[tuple[str, str, dict[str, Any]]]()
        # Time, a sequence number, a timer's token or a run's request, whether it is a run.
        self.scheduled: list[tuple[float, int, str, bool]] = []
        self.numbers = itertools.count(1)
        self.runs: list[Attempt] = []  # in the order in which they were spawned
        self.queue: deque[Attempt] = deque()  # spawned, and waiting for a core
        self.busy_cores = 0
        limits = Limits()
        self.decisions = Decisions(
            Catalogue(settings, limits), 1, limits, self.counters, self.clock, self._schedule_tick, lambda: None
        )
        self.decisions.runs.workers = {"pool": self}
        self.fair: FairQueueing | None = None
        if fair:
            self.fair = FairQueueing(settings, limits, self.counters, self.clock)
            self.fair.log = lambda level, event, **fields: self.log.append((level, event, fields))
            self.decisions.use_ranking(self.fair)
        self.decisions.handle(WorkersUp())

    def clock(self) -> float:
        """Return the simulated time in milliseconds."""
        return self.now_ms

    def _schedule_tick(self, at_ms: float, token: str) -> None:
        heapq.heappush(self.scheduled, (at_ms, next(self.numbers), token, False))

    # The worker pool, as the decisions call it.

    def spawn(self, attempt: Attempt) -> bool:
        """Start the run of an attempt. Returns True: the command is always accepted."""
        self.runs.append(attempt)
        if attempt.class_name in self.took_ms:
            self.queue.append(attempt)
            self._start_queued_runs()
        return True

    def supply(self, request: str, no: int, reply: bytes) -> bool:
        """Return False: simulated runs make no calls, so none waits for a reply."""
        return False

    def continue_run(self, request: str, no: int) -> bool:
        """Return False: no simulated run waits at a call."""
        return False

    def _start_queued_runs(self) -> None:
        while self.queue and self.busy_cores < self.settings.cores:
            attempt = self.queue.popleft()
            self.busy_cores += 1
            at_ms = self.now_ms + self.took_ms[attempt.class_name]
            heapq.heappush(self.scheduled, (at_ms, next(self.numbers), attempt.id, True))

    def finish_run(self, attempt: Attempt, took_ms: float = 100.0) -> None:
        """End the run of a class that has no time in ``took_ms``."""
        self.decisions.handle(RunFinished(attempt.id, api.Outcome.OK, took_ms, b"done"))

    # Callers and time.

    def submit(self, club: str = "a", **overrides: Any) -> Attempt:
        """Submit a request that arrives now, and return its attempt."""
        fields: dict[str, Any] = {
            "id": f"{next(self.numbers):016x}",
            "class_name": "look",
            "body": b"",
            "arrival_ms": self.now_ms,
            "caller": 1,
            "tenant": club,
            "memory_kb": 1.0,
        }
        attempt = Attempt(**fields | overrides)
        self.decisions.handle(Submitted(attempt))
        return attempt

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings, as on SIGHUP."""
        self.settings = settings
        fault = self.decisions.change(settings)
        assert fault is None, fault
        if self.fair is not None:
            self.fair.change(settings)

    def advance(self, by_ms: float) -> None:
        """Let time pass, and handle the timers and ends of runs that fall due in it."""
        until_ms = self.now_ms + by_ms
        while self.scheduled and self.scheduled[0][0] <= until_ms:
            at_ms, _, name, is_run = heapq.heappop(self.scheduled)
            self.now_ms = max(self.now_ms, at_ms)
            if is_run:
                self.busy_cores -= 1
                took_ms = self.took_ms[self.decisions.attempts.by_id[name].class_name]
                self.decisions.handle(RunFinished(name, api.Outcome.OK, took_ms, b"done"))
                self._start_queued_runs()
            else:
                occupancy = self.busy_cores + len(self.queue)
                self.decisions.handle(Tick(name, api.Gauges(min(1.0, occupancy / self.settings.cores), occupancy)))
        self.now_ms = until_ms


def served_share(attempts: list[Attempt]) -> float:
    """Return the share of these attempts that was served."""
    return sum(attempt.answer is not None and attempt.answer.verdict is Verdict.SERVED for attempt in attempts) / max(
        1, len(attempts)
    )


def retry_delays_ms(attempts: list[Attempt]) -> list[float]:
    """Return the retry delays that rejected attempts were given."""
    return [
        attempt.answer.retry_after_ms
        for attempt in attempts
        if attempt.answer is not None and attempt.answer.verdict is Verdict.REFUSED
    ]
