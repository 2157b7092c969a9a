"""A node's decisions on a clock of their own, with a worker pool that is a number of cores: for experiments and tests.

No socket, no process and no waiting: a second of a node takes some milliseconds, and plays the same each time. The
planner, the module and the fair queues are those of a node; callers, fronts and links are not there.

    node = ModelNode(settings_of({"a": 10.0, "b": 10.0}), fair=True, took_ms={"look": 20.0})
    asked = [node.arrive("a") for _ in range(5)]
    node.advance(1000.0)
    print([one.answer for one in asked])
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

BEGINS_MS = 1000.0  # the clock, at the start


def settings_of(clubs: dict[str, float], **more: Any) -> api.Settings:
    """Two classes, a read ``look`` and a keyed write ``pay``, with an aim of 1 s; two cores; clubs by their quota."""
    kinds = [
        api.RequestClass("look", 1000.0, 3000.0, 1.0, api.Effect.SAFE),
        api.RequestClass("pay", 1000.0, 3000.0, 1.0, api.Effect.KEYED, repeat_window_ms=8000.0),
    ]
    given: dict[str, Any] = {
        "classes": kinds,
        "cores": 2,
        "memory_kb": 1e6,
        "run_factor": 4.0,
        "fall_multiple": 5.0,
        "drain_grace_ms": 500.0,
        "tenants": [api.Tenant(name, quota) for name, quota in clubs.items()],
        "advice_allowed": True,
        "advice_max_ms": 1000.0,
    }
    return api.Settings(**given | more)


class ModelNode:
    """``took_ms`` of a class: what a run of it takes on a core; one that is not named runs until ``end``."""

    def __init__(self, settings: api.Settings, fair: bool = True, took_ms: dict[str, float] | None = None) -> None:
        self.settings, self.took_ms, self.now = settings, took_ms or {}, BEGINS_MS
        self.counters, self.log = Counters(), list[tuple[str, str, dict[str, Any]]]()
        self.due: list[tuple[float, int, str, bool]] = []  # when, a number, a token or a request, whether it is a run
        self.numbers = itertools.count(1)
        self.runs: list[Attempt] = []  # in the order of their begin
        self.queue: deque[Attempt] = deque()  # begun, and waits for a core
        self.busy = 0
        limits = Limits()
        self.decisions = Decisions(
            Catalogue(settings, limits), 1, limits, self.counters, self.clock, self._wake_at, lambda: None
        )
        self.decisions.runs.workers = {"pool": self}
        self.fair: FairQueueing | None = None
        if fair:
            self.fair = FairQueueing(settings, limits, self.counters, self.clock)
            self.fair.log = lambda level, event, **more: self.log.append((level, event, more))
            self.decisions.use_ranking(self.fair)
        self.decisions.handle(WorkersUp())

    def clock(self) -> float:
        return self.now

    def _wake_at(self, at_ms: float, token: str) -> None:
        heapq.heappush(self.due, (at_ms, next(self.numbers), token, False))

    # The worker pool.

    def spawn(self, attempt: Attempt) -> bool:
        self.runs.append(attempt)
        if attempt.class_name in self.took_ms:
            self.queue.append(attempt)
            self._begin()
        return True

    def supply(self, request: str, no: int, reply: bytes) -> bool:
        return False  # there are no calls here

    def continue_run(self, request: str, no: int) -> bool:
        return False

    def _begin(self) -> None:
        while self.queue and self.busy < self.settings.cores:
            attempt = self.queue.popleft()
            self.busy += 1
            at_ms = self.now + self.took_ms[attempt.class_name]
            heapq.heappush(self.due, (at_ms, next(self.numbers), attempt.id, True))

    def end(self, attempt: Attempt, took_ms: float = 100.0) -> None:
        """The run of a class that ends by itself never, ends now."""
        self.decisions.handle(RunFinished(attempt.id, api.Outcome.OK, took_ms, b"done"))

    # Callers and time.

    def arrive(self, club: str = "a", **more: Any) -> Attempt:
        """A request is read now."""
        given: dict[str, Any] = {
            "id": f"{next(self.numbers):016x}",
            "class_name": "look",
            "body": b"",
            "arrival_ms": self.now,
            "caller": 1,
            "tenant": club,
            "memory_kb": 1.0,
        }
        attempt = Attempt(**given | more)
        self.decisions.handle(Submitted(attempt))
        return attempt

    def change(self, settings: api.Settings) -> None:
        """New settings, as on SIGHUP."""
        self.settings = settings
        fault = self.decisions.change(settings)
        assert fault is None, fault
        if self.fair is not None:
            self.fair.change(settings)

    def advance(self, by_ms: float) -> None:
        """Let so much time pass, with all that falls due in it."""
        until = self.now + by_ms
        while self.due and self.due[0][0] <= until:
            at_ms, _, name, run = heapq.heappop(self.due)
            self.now = max(self.now, at_ms)
            if run:
                self.busy -= 1
                took_ms = self.took_ms[self.decisions.attempts.by_id[name].class_name]
                self.decisions.handle(RunFinished(name, api.Outcome.OK, took_ms, b"done"))
                self._begin()
            else:
                wanting = self.busy + len(self.queue)
                self.decisions.handle(Tick(name, api.Gauges(min(1.0, wanting / self.settings.cores), wanting)))
        self.now = until


def served(asked: list[Attempt]) -> float:
    """The share of them that was served."""
    return sum(one.answer is not None and one.answer.verdict is Verdict.SERVED for one in asked) / max(1, len(asked))


def waits_ms(asked: list[Attempt]) -> list[float]:
    """What those that were turned away were told."""
    return [
        one.answer.retry_after_ms for one in asked if one.answer is not None and one.answer.verdict is Verdict.REFUSED
    ]
