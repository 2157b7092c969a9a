"""A caller that says how long it waits gets its final answer in that time; an attempt past it never runs."""

from __future__ import annotations

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.interface import Outcome

DEADLINE_MS = 900.0  # of both classes in the harness's settings
TICK_MS = 40.0


def answered_after_ms(node: PlannerHarness, request: str) -> float:
    """Ticks until the request is answered; returns how long that took."""
    began_ms = node.now_ms
    while not node.verdicts(request) and node.now_ms < began_ms + 3 * DEADLINE_MS:
        node.now_ms += TICK_MS
        node.decisions.handle(at.Tick("tick"))
    return node.now_ms - began_ms


@pytest.mark.parametrize(
    ("caller_timeout_ms", "answered_by_ms"),
    [(None, DEADLINE_MS), (300.0, 300.0), (599.5, 599.5), (5000.0, DEADLINE_MS)],
)
@pytest.mark.parametrize("class_name", ["look", "pay"])
def test_an_endless_run_fails_at_the_callers_timeout_or_the_class_deadline(
    class_name, caller_timeout_ms, answered_by_ms
):
    node = PlannerHarness()
    node.submit("a", class_name, request_key="k" if class_name == "pay" else None, caller_timeout_ms=caller_timeout_ms)
    assert node.spawned() == ["a"]
    assert answered_by_ms - 3 * TICK_MS <= answered_after_ms(node, "a") <= answered_by_ms
    assert node.verdicts("a") == [Verdict.FAILED]


@pytest.mark.parametrize(("caller_timeout_ms", "age_ms"), [(0.0, 0.0), (100.0, 100.0), (100.0, 700.0), (0.0, 50.0)])
def test_an_attempt_read_past_its_deadline_is_refused_at_once_and_never_runs(caller_timeout_ms, age_ms):
    node = PlannerHarness()
    node.submit("a", caller_timeout_ms=caller_timeout_ms, arrival_ms=node.now_ms - age_ms)
    assert node.verdicts("a") == [Verdict.REFUSED] and node.spawned() == []


def test_a_repeat_fails_at_its_own_callers_timeout_while_the_first_try_runs_on():
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k", marked_repeat=True, caller_timeout_ms=200.0)
    assert answered_after_ms(node, "b") <= 200.0 and node.verdicts("b") == [Verdict.FAILED]
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    assert node.verdicts("a") == [Verdict.SERVED] and node.spawned() == ["a"]


def test_a_repeat_past_its_deadline_still_gets_the_stored_result():
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.submit("b", "pay", request_key="k", marked_repeat=True, caller_timeout_ms=0.0)
    assert node.answers["b"][0].body == b"x"
