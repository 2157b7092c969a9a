"""A caller that tells how long it waits gets its final answer within that time, and what is past it is never run."""

from __future__ import annotations

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.interface import Outcome

DEADLINE_MS = 900.0  # of both classes, as the planner's settings tell
TICK_MS = 40.0


def answered_after_ms(node: PlannerHarness, request: str) -> float:
    """Ticks until it is answered; returns how long that took."""
    began = node.now_ms
    while not node.verdicts(request) and node.now_ms < began + 3 * DEADLINE_MS:
        node.now_ms += TICK_MS
        node.decisions.handle(at.Tick("tick"))
    return node.now_ms - began


@pytest.mark.parametrize(
    ("allow_ms", "due_ms"), [(None, DEADLINE_MS), (300.0, 300.0), (599.5, 599.5), (5000.0, DEADLINE_MS)]
)
@pytest.mark.parametrize("class_name", ["look", "pay"])
def test_a_run_without_an_end_fails_when_its_caller_stops_waiting_or_its_class_gives_up(class_name, allow_ms, due_ms):
    node = PlannerHarness()
    node.submit("a", class_name, request_key="k" if class_name == "pay" else None, caller_timeout_ms=allow_ms)
    assert node.spawned() == ["a"]
    assert due_ms - 3 * TICK_MS <= answered_after_ms(node, "a") <= due_ms
    assert node.verdicts("a") == [Verdict.FAILED]


@pytest.mark.parametrize(("allow_ms", "age_ms"), [(0.0, 0.0), (100.0, 100.0), (100.0, 700.0), (0.0, 50.0)])
def test_what_is_past_its_time_when_it_is_read_is_refused_at_once_and_never_run(allow_ms, age_ms):
    node = PlannerHarness()
    node.submit("a", caller_timeout_ms=allow_ms, arrival_ms=node.now_ms - age_ms)
    assert node.verdicts("a") == [Verdict.REFUSED] and node.spawned() == []


def test_a_repeat_fails_when_its_own_caller_stops_waiting_and_the_first_try_runs_on():
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k", marked_repeat=True, caller_timeout_ms=200.0)
    assert answered_after_ms(node, "b") <= 200.0 and node.verdicts("b") == [Verdict.FAILED]
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    assert node.verdicts("a") == [Verdict.SERVED] and node.spawned() == ["a"]


def test_a_repeat_past_its_time_still_gets_the_result_that_is_kept():
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.submit("b", "pay", request_key="k", marked_repeat=True, caller_timeout_ms=0.0)
    assert node.answers["b"][0].body == b"x"
