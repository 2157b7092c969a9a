"""Repeats of a keyed request at critical moments of its first try: it runs once, and is not refused once it ran."""

from __future__ import annotations

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.interface import Outcome

WINDOW_MS = 2000.0  # of the class in the harness's settings
MARGIN_MS = 250.0  # Limits.key_margin_ms, of which 50 ms are documented


def finish_run(node, request, outcome=Outcome.OK, result=b"x"):
    node.decisions.handle(at.RunFinished(request, outcome, 1.0, result))


def test_simultaneous_tries_run_once_and_get_one_result():
    node = PlannerHarness()
    for name in ("a", "b", "c"):
        node.submit(name, "pay", request_key="k")
    assert node.spawned() == ["a"]
    finish_run(node, "a")
    assert all(node.answers[name][0].body == b"x" for name in ("a", "b", "c"))


# The outcome of the first try's run while a repeat waits for it, whether its caller disconnects before, and the
# verdicts of both.
FIRST_TRIES = {
    "served": (Outcome.OK, False, Verdict.SERVED, Verdict.SERVED),
    "failed": (Outcome.ERROR, False, Verdict.FAILED, Verdict.FAILED),
    "stopped": (Outcome.STOPPED, False, Verdict.FAILED, Verdict.FAILED),
    "never ran": (Outcome.REJECTED, False, Verdict.REFUSED, Verdict.REFUSED),
    "caller disconnects, run is served": (Outcome.OK, True, None, Verdict.SERVED),
    "caller disconnects, run fails": (Outcome.ERROR, True, None, Verdict.FAILED),
}


@pytest.mark.parametrize("first_try", FIRST_TRIES)
def test_a_repeat_gets_the_outcome_of_the_first_try_that_it_waits_for(first_try):
    outcome, disconnects, first_verdict, repeat_verdict = FIRST_TRIES[first_try]
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k", marked_repeat=True)
    if disconnects:
        node.disconnect_caller("a")
    finish_run(node, "a", outcome)
    assert node.spawned() == ["a"]
    assert node.verdicts("a") == ([first_verdict] if first_verdict else []) and node.verdicts("b") == [repeat_verdict]


# How long after the first try's arrival the second one arrives, and whether it may run.
WINDOW_EDGES = [
    (WINDOW_MS - 1.0, False),
    (WINDOW_MS, False),
    (WINDOW_MS + 1.0, False),
    (WINDOW_MS + 50.0, False),
    (WINDOW_MS + MARGIN_MS, False),
    (WINDOW_MS + MARGIN_MS + 1.0, True),
]


@pytest.mark.parametrize(("after_ms", "runs"), WINDOW_EDGES)
@pytest.mark.parametrize("read_late_ms", [0.0, 400.0])
def test_a_repeat_runs_only_after_the_end_of_the_window(after_ms, runs, read_late_ms):
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    finish_run(node, "a")
    arrival_ms = node.now_ms + after_ms
    node.now_ms = arrival_ms + read_late_ms  # it arrived in time, however late it is read
    node.decisions.handle(at.Tick("tick"))
    node.submit("b", "pay", request_key="k", arrival_ms=arrival_ms)
    assert node.spawned() == (["a", "b"] if runs else ["a"])
    assert runs or node.answers["b"][0].body == b"x"


@pytest.mark.parametrize("first_disconnects", [False, True])
def test_a_try_past_the_window_waits_for_a_run_that_is_longer_than_the_window(first_disconnects):
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k", marked_repeat=True)  # waits for the run of the first
    if first_disconnects:
        node.disconnect_caller("a")
    node.now_ms += WINDOW_MS + MARGIN_MS + 1.0
    node.submit("c", "pay", request_key="k")  # past the window, while the run is open
    assert node.spawned() == ["a"]
    finish_run(node, "a")
    assert node.answers["c"][0].body == b"x"
    node.now_ms += 1.0
    node.submit("d", "pay", request_key="k")  # the run has ended, and its window has passed
    assert node.spawned() == ["a", "d"]


def test_waiting_repeats_are_answered_though_later_tries_of_the_key_arrive():
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.now_ms += 800.0
    node.submit("b", "pay", request_key="k", marked_repeat=True)
    node.now_ms += WINDOW_MS + MARGIN_MS - 790.0
    node.submit("c", "pay", request_key="k")
    finish_run(node, "a")
    assert len(node.spawned()) == 1 and {len(node.verdicts(name)) for name in "abc"} == {1}


def test_a_full_key_table_refuses_new_keys_and_answers_repeats_of_known_ones():
    node = PlannerHarness(max_keys=1)
    node.submit("a", "pay", request_key="k")
    finish_run(node, "a")
    node.submit("b", "pay", request_key="other")
    node.submit("c", "pay", request_key="k")
    assert node.verdicts("b") == [Verdict.REFUSED] and node.verdicts("c") == [Verdict.SERVED]
    assert node.spawned() == ["a"]


@pytest.mark.parametrize("first_finished", [False, True])
def test_a_duplicate_id_or_another_request_under_the_key_is_a_conflict(first_finished):
    node = PlannerHarness()
    first = node.submit("a", "pay", request_key="k")
    if first_finished:
        finish_run(node, "a")
    node.submit("b", "pay", request_key="k", tenant="another")
    assert node.verdicts("b") == [Verdict.CONFLICT] and node.spawned() == ["a"]
    if not first_finished:
        second_answers = []
        node.answers["a"] = second_answers
        node.submit("a", "pay", request_key="k")
        assert [answer.verdict for answer in second_answers] == [Verdict.CONFLICT] and not first.settled


@pytest.mark.parametrize("class_name", ["look", "pay"])
@pytest.mark.parametrize("first_running", [True, False])
def test_the_first_attempt_is_answered_though_the_caller_of_a_duplicate_id_disconnects(class_name, first_running):
    node, unique = PlannerHarness(), "k" if class_name == "pay" else None
    node.ports.accepts_commands = first_running  # else its spawn is not accepted, and it is refused
    verdicts: list[Verdict] = []

    def attempt(on_answer):
        return at.Attempt("a", class_name, node.now_ms, 10.0, 1, b"", request_key=unique, on_answer=on_answer)

    first, second = attempt(lambda answer: verdicts.append(answer.verdict)), attempt(lambda answer: None)
    # All three are read before the planner runs, as happens while its mailbox is not empty.
    for report in (at.Submitted(first), at.Submitted(second), at.CallerDisconnected(second)):
        node.decisions.handle(report)
    if first_running:
        assert second.answer is not None and second.answer.verdict is Verdict.CONFLICT and not first.caller_disconnected
        finish_run(node, "a")
    assert verdicts == [Verdict.SERVED if first_running else Verdict.REFUSED]
    assert node.decisions.open == 0
