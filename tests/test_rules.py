"""Long random but legal sequences of events: the four rules, seen from the actions alone."""

import itertools
import random

import pytest
from conftest import KEYED, SAFE, SKIPPABLE, VALUABLE, Server

from flintshift import interface as api
from flintshift.control import Stage
from flintshift.interface import Outcome

CALL_ENDS = [Outcome.OK] * 6 + [Outcome.TIMED_OUT, Outcome.REJECTED, Outcome.ERROR]
RUN_ENDS = [Outcome.OK] * 9 + [Outcome.ERROR]
KINDS = {kind.name: kind for kind in (SAFE, VALUABLE, KEYED, SKIPPABLE)}


class Day:
    """A small driver of events; it checks each action as it comes."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.server = Server(
            cores=self.draw.choice([1, 2, 6]),
            call_share=self.draw.choice([0.3, 2.0, 8.0]),
            halt=self.draw.choice([api.Halt.NONE, api.Halt.ABORT]),
            cold=self.draw.random() < 0.5,
            cold_from=0.3,
            cold_ms=5000.0,
            memory_kb=self.draw.choice([400.0, 4000.0]),
            marks_repeats=self.draw.random() < 0.5,
        )
        self.stage: dict[str, str] = {}
        self.kind: dict[str, api.RequestClass] = {}
        self.reached: dict[str, float] = {}
        self.answered: set[str] = set()
        self.ran: set[str] = set()
        self.later: list[tuple[float, int, api.Event]] = []
        self.order = itertools.count()
        self.left_ms = float("inf")
        self.kept: dict[str, float] = {}
        self.hangs = False  # what lies below: calls last to their limit
        self.below: dict[str, float] = {}  # calls under way: start
        self.past: list[tuple[float, float]] = []  # start and end, lingering included

    def leave_below(self, request: str, given_up: bool) -> None:
        lingers_ms = self.server.control.set.linger_ms * given_up
        self.past.append((self.below.pop(request), self.server.now + lingers_ms))

    def check_limits(self) -> None:
        """Memory, the crowd on the cores, and the mean of the calls in hand over the window that ends now."""
        now, settings, control = self.server.now, self.server.control.set, self.server.control
        works = list(control.work.values())  # the sums that decisions look at are those of a walk over all
        assert control.counts[1:] == [sum(work.stage is stage for work in works) for stage in Stage]
        assert control._memory_kb() == pytest.approx(
            len(control.keys) * settings.key_kb
            + sum(
                work.arrival.held_kb * (1 if work.stage in (Stage.HELD, Stage.FOLLOWING) else settings.run_factor)
                for work in works
            )
        )
        assert control.must_call == sum(work.must_call for work in works if work.stage in (Stage.RUNNING, Stage.LINED))
        used = sum(
            10.0 * (1.0 if stage == "held" else settings.run_factor) for stage in self.stage.values() if stage != "over"
        )
        used += settings.key_kb * sum(end > now for end in self.kept.values())
        assert used <= settings.memory_kb, "out of memory"
        warm = min(1.0, (now - 1000.0) / settings.cold_ms) if settings.cold else 1.0
        speed = settings.cold_from + (1 - settings.cold_from) * warm
        running = sum(stage == "running" for stage in self.stage.values())
        assert running <= settings.cores * (1 + (settings.fall_multiple - 1) * speed), "too many on the cores"
        since = now - settings.call_window_ms
        spent = sum(now - max(start, since) for start in self.below.values())
        spent += sum(max(0.0, min(end, now) - max(start, since)) for start, end in self.past)
        assert spent <= settings.call_share * settings.call_window_ms, "too many calls below"

    def answer(self, request: str) -> None:
        assert request not in self.answered, "a second final answer"
        due_ms = self.reached[request] + self.kind[request].deadline_ms
        assert self.server.now <= due_ms + 50.0, "answered late"
        self.answered.add(request)

    def soon(self, event: api.Event, most_ms: float) -> None:
        self.after(self.draw.uniform(1.0, most_ms), event)

    def after(self, wait_ms: float, event: api.Event) -> None:
        self.later.append((self.server.now + wait_ms, next(self.order), event))

    def check(self, actions: list[api.Action]) -> None:
        for act in actions:
            request = getattr(act, "request", "")
            if isinstance(act, api.Run):
                assert request not in self.ran and request not in self.answered
                assert self.stage[request] == "held"
                grace_ms = self.server.control.set.drain_grace_ms
                assert self.reached[request] <= self.left_ms + grace_ms, "ran in drain"
                self.ran.add(request)
                self.stage[request] = "running"
                ends = not self.kind[request].calls or self.draw.random() < 0.3
                self.soon(
                    api.RunEnded(request, self.draw.choice(RUN_ENDS), 90.0) if ends else api.CallNeeded(request),
                    4000.0 if self.draw.random() < 0.1 else 300.0,
                )
            elif isinstance(act, api.Refuse):
                assert request not in self.ran, "refused after it ran"
                self.answer(request)
                self.stage[request] = "over"
            elif isinstance(act, api.Fail):
                self.answer(request)
                if self.stage[request] == "standing":
                    self.soon(api.RunEnded(request, Outcome.STOPPED), 2.0)
                elif self.stage[request] == "held":
                    self.stage[request] = "over"
            elif isinstance(act, api.Stop):
                self.later = [entry for entry in self.later if getattr(entry[2], "request", "") != request]
                self.soon(api.RunEnded(request, Outcome.STOPPED), 2.0)
            elif isinstance(act, api.Call):
                assert self.stage[request] == "standing"
                self.stage[request] = "calling"
                self.below[request] = self.server.now
                if self.hangs:
                    self.after(act.limit_ms, api.CallEnded(request, Outcome.TIMED_OUT, act.limit_ms))
                else:
                    ended = api.CallEnded(request, self.draw.choice(CALL_ENDS), 40.0)
                    self.soon(ended, min(act.limit_ms, 200.0))
            elif isinstance(act, api.SkipCall):
                assert self.stage[request] == "standing" and self.kind[request].skip_worth > 0
                self.stage[request] = "running"
                self.soon(api.RunEnded(request, Outcome.OK, 90.0), 200.0)
            elif isinstance(act, api.Keep):
                self.kept[request] = self.server.now + act.for_ms
            elif isinstance(act, api.Forget):
                self.kept.pop(request, None)
        self.check_limits()

    def deliver(self, event: api.Event) -> None:
        request = event.request
        if self.stage[request] == "over":
            return
        if request in self.below:
            unsure = isinstance(event, api.RunEnded) or event.outcome is Outcome.TIMED_OUT
            self.leave_below(request, given_up=unsure or request in self.answered)
        if isinstance(event, api.RunEnded):
            self.stage[request] = "over"
            if event.outcome in (Outcome.OK, Outcome.ERROR) and request not in self.answered:
                self.answer(request)
        elif request in self.answered:  # a run whose answer was given ends at its call
            event = api.RunEnded(request, Outcome.STOPPED)
            self.stage[request] = "over"
        elif isinstance(event, api.CallEnded) and event.outcome is Outcome.OK:
            self.stage[request] = "running"
            self.soon(api.RunEnded(request, self.draw.choice(RUN_ENDS), 90.0), 200.0)
        else:
            self.stage[request] = "standing"
        self.check(self.server.step(event))

    def play(self, ticks: int) -> None:
        for count in range(ticks + 60):
            self.hangs = count // 60 % 2 == 1
            for _ in range(self.draw.choice([0, 0, 1, 1, 2, 5])):
                request = f"r{self.server.count + 1}"
                self.kind[request] = self.draw.choice(list(KINDS.values()))
                age = self.draw.choice([0.0, 5.0, 400.0])
                self.reached[request], self.stage[request] = self.server.now - age, "held"
                _, acts = self.server.arrive(
                    self.kind[request].name, age_ms=age, marked_repeat=self.draw.random() < 0.2
                )
                self.check(acts)
            end = self.server.now + 40.0
            while self.later and min(self.later)[0] <= end:
                entry = min(self.later, key=lambda due: due[:2])
                self.later.remove(entry)
                self.server.now = max(self.server.now, entry[0])
                self.deliver(entry[2])
            if count == ticks:
                self.left_ms = self.server.now
                self.check(self.server.step(api.Leaving(60 * 40.0)))
            wanting = self.draw.uniform(0, 8)
            self.check(self.server.tick(after_ms=end - self.server.now, busy=0.9, run_queue=wanting))
        assert set(self.kind) == self.answered, "stopped with requests that have no answer"


@pytest.mark.parametrize("seed", range(12))
def test_the_rules_hold_through_random_days(seed):
    Day(seed).play(ticks=300)
