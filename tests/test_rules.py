"""Long random but legal sequences of events: the four rules are checked by the actions alone."""

import itertools
import random

import pytest
from conftest import KEYED, SAFE, SKIPPABLE, VALUABLE, Server

from flintshift import interface as api
from flintshift.control import Stage
from flintshift.interface import Outcome

CALL_OUTCOMES = [Outcome.OK] * 6 + [Outcome.TIMED_OUT, Outcome.REJECTED, Outcome.ERROR]
RUN_OUTCOMES = [Outcome.OK] * 9 + [Outcome.ERROR]
CLASSES = {kind.name: kind for kind in (SAFE, VALUABLE, KEYED, SKIPPABLE)}


class RandomEventDriver:
    """Drives a controller with random events and checks each of its actions."""

    def __init__(self, seed: int) -> None:
        self.random_source = random.Random(seed)
        self.server = Server(
            cores=self.random_source.choice([1, 2, 6]),
            call_share=self.random_source.choice([0.3, 2.0, 8.0]),
            halt=self.random_source.choice([api.Halt.NONE, api.Halt.ABORT]),
            cold=self.random_source.random() < 0.5,
            cold_from=0.3,
            cold_ms=5000.0,
            memory_kb=self.random_source.choice([400.0, 4000.0]),
            marks_repeats=self.random_source.random() < 0.5,
        )
        self.stage: dict[str, str] = {}
        self.kind: dict[str, api.RequestClass] = {}
        self.received_ms: dict[str, float] = {}
        self.answered: set[str] = set()
        self.ran: set[str] = set()
        self.pending_events: list[tuple[float, int, api.Event]] = []
        self.order = itertools.count()
        self.drain_ms = float("inf")
        self.key_expiry_ms: dict[str, float] = {}
        self.calls_hang = False  # if so, calls last to their limit
        self.open_calls: dict[str, float] = {}  # by request, the start
        self.ended_calls: list[tuple[float, float]] = []  # start, and end including the lingering

    def end_call(self, request: str, abandoned: bool) -> None:
        linger_ms = self.server.control.settings.linger_ms * abandoned
        self.ended_calls.append((self.open_calls.pop(request), self.server.now + linger_ms))

    def check_limits(self) -> None:
        """Check memory, the concurrency on the cores, and the call time in the window that ends now."""
        now, settings, control = self.server.now, self.server.control.settings, self.server.control
        all_work = list(control.work.values())  # the sums that decisions use equal those of a loop over all work
        assert control.stage_counts[1:] == [sum(work.stage is stage for work in all_work) for stage in Stage]
        assert control._memory_kb() == pytest.approx(
            len(control.keys) * settings.key_kb
            + sum(
                work.arrival.held_kb * (1 if work.stage in (Stage.QUEUED, Stage.FOLLOWING) else settings.run_factor)
                for work in all_work
            )
        )
        assert control.required_calls == sum(
            work.must_call for work in all_work if work.stage in (Stage.RUNNING, Stage.CALL_QUEUED)
        )
        used_kb = sum(
            10.0 * (1.0 if stage == "queued" else settings.run_factor)
            for stage in self.stage.values()
            if stage != "ended"
        )
        used_kb += settings.key_kb * sum(end > now for end in self.key_expiry_ms.values())
        assert used_kb <= settings.memory_kb, "out of memory"
        warm = min(1.0, (now - 1000.0) / settings.cold_ms) if settings.cold else 1.0
        speed = settings.cold_from + (1 - settings.cold_from) * warm
        running = sum(stage == "running" for stage in self.stage.values())
        assert running <= settings.cores * (1 + (settings.fall_multiple - 1) * speed), "too many runs on the cores"
        window_start_ms = now - settings.call_window_ms
        spent_ms = sum(now - max(start, window_start_ms) for start in self.open_calls.values())
        spent_ms += sum(max(0.0, min(end, now) - max(start, window_start_ms)) for start, end in self.ended_calls)
        assert spent_ms <= settings.call_share * settings.call_window_ms, "too much call time"

    def answer(self, request: str) -> None:
        assert request not in self.answered, "a second final answer"
        due_ms = self.received_ms[request] + self.kind[request].deadline_ms
        assert self.server.now <= due_ms + 50.0, "answered late"
        self.answered.add(request)

    def schedule_within(self, event: api.Event, max_delay_ms: float) -> None:
        self.schedule_after(self.random_source.uniform(1.0, max_delay_ms), event)

    def schedule_after(self, delay_ms: float, event: api.Event) -> None:
        self.pending_events.append((self.server.now + delay_ms, next(self.order), event))

    def check(self, actions: list[api.Action]) -> None:
        for action in actions:
            request = getattr(action, "request", "")
            if isinstance(action, api.Run):
                assert request not in self.ran and request not in self.answered
                assert self.stage[request] == "queued"
                grace_ms = self.server.control.settings.drain_grace_ms
                assert self.received_ms[request] <= self.drain_ms + grace_ms, "ran in the drain past the grace"
                self.ran.add(request)
                self.stage[request] = "running"
                ends = not self.kind[request].calls or self.random_source.random() < 0.3
                self.schedule_within(
                    api.RunEnded(request, self.random_source.choice(RUN_OUTCOMES), 90.0)
                    if ends
                    else api.CallNeeded(request),
                    4000.0 if self.random_source.random() < 0.1 else 300.0,
                )
            elif isinstance(action, api.Reject):
                assert request not in self.ran, "rejected after it ran"
                self.answer(request)
                self.stage[request] = "ended"
            elif isinstance(action, api.Fail):
                self.answer(request)
                if self.stage[request] == "call queued":
                    self.schedule_within(api.RunEnded(request, Outcome.STOPPED), 2.0)
                elif self.stage[request] == "queued":
                    self.stage[request] = "ended"
            elif isinstance(action, api.Stop):
                self.pending_events = [
                    entry for entry in self.pending_events if getattr(entry[2], "request", "") != request
                ]
                self.schedule_within(api.RunEnded(request, Outcome.STOPPED), 2.0)
            elif isinstance(action, api.Call):
                assert self.stage[request] == "call queued"
                self.stage[request] = "calling"
                self.open_calls[request] = self.server.now
                if self.calls_hang:
                    self.schedule_after(action.limit_ms, api.CallEnded(request, Outcome.TIMED_OUT, action.limit_ms))
                else:
                    ended = api.CallEnded(request, self.random_source.choice(CALL_OUTCOMES), 40.0)
                    self.schedule_within(ended, min(action.limit_ms, 200.0))
            elif isinstance(action, api.SkipCall):
                assert self.stage[request] == "call queued" and self.kind[request].skip_worth > 0
                self.stage[request] = "running"
                self.schedule_within(api.RunEnded(request, Outcome.OK, 90.0), 200.0)
            elif isinstance(action, api.RememberKey):
                self.key_expiry_ms[request] = self.server.now + action.retention_ms
            elif isinstance(action, api.ReleaseKey):
                self.key_expiry_ms.pop(request, None)
        self.check_limits()

    def deliver(self, event: api.Event) -> None:
        request = event.request
        if self.stage[request] == "ended":
            return
        if request in self.open_calls:
            in_doubt = isinstance(event, api.RunEnded) or event.outcome is Outcome.TIMED_OUT
            self.end_call(request, abandoned=in_doubt or request in self.answered)
        if isinstance(event, api.RunEnded):
            self.stage[request] = "ended"
            if event.outcome in (Outcome.OK, Outcome.ERROR) and request not in self.answered:
                self.answer(request)
        elif request in self.answered:  # a run that was answered ends at its call
            event = api.RunEnded(request, Outcome.STOPPED)
            self.stage[request] = "ended"
        elif isinstance(event, api.CallEnded) and event.outcome is Outcome.OK:
            self.stage[request] = "running"
            self.schedule_within(api.RunEnded(request, self.random_source.choice(RUN_OUTCOMES), 90.0), 200.0)
        else:
            self.stage[request] = "call queued"
        self.check(self.server.step(event))

    def run(self, ticks: int) -> None:
        for tick in range(ticks + 60):
            self.calls_hang = tick // 60 % 2 == 1
            for _ in range(self.random_source.choice([0, 0, 1, 1, 2, 5])):
                request = f"r{self.server.request_count + 1}"
                self.kind[request] = self.random_source.choice(list(CLASSES.values()))
                age_ms = self.random_source.choice([0.0, 5.0, 400.0])
                self.received_ms[request], self.stage[request] = self.server.now - age_ms, "queued"
                _, actions = self.server.arrive(
                    self.kind[request].name, age_ms=age_ms, marked_repeat=self.random_source.random() < 0.2
                )
                self.check(actions)
            end = self.server.now + 40.0
            while self.pending_events and min(self.pending_events)[0] <= end:
                entry = min(self.pending_events, key=lambda due: due[:2])
                self.pending_events.remove(entry)
                self.server.now = max(self.server.now, entry[0])
                self.deliver(entry[2])
            if tick == ticks:
                self.drain_ms = self.server.now
                self.check(self.server.step(api.DrainStarted(60 * 40.0)))
            run_queue = self.random_source.uniform(0, 8)
            self.check(self.server.tick(after_ms=end - self.server.now, busy=0.9, run_queue=run_queue))
        assert set(self.kind) == self.answered, "the server stopped without answering all requests"


@pytest.mark.parametrize("seed", range(12))
def test_the_rules_hold_through_random_events(seed):
    RandomEventDriver(seed).run(ticks=300)
