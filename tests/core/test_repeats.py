"""Repeats of a keyed request at each bad instant of its first try: it runs once, and is never refused once it ran."""

from __future__ import annotations

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.interface import Outcome

WINDOW_MS = 2000.0  # of the class, as the planner's settings tell
MARGIN_MS = 250.0  # Limits.key_margin_ms: 50 ms of allowance are told


def ended(node, request, outcome=Outcome.OK, result=b"x"):
    node.decisions.handle(at.RunFinished(request, outcome, 1.0, result))


def test_two_tries_in_the_same_instant_run_once_and_get_one_result():
    node = PlannerHarness()
    for name in ("a", "b", "c"):
        node.submit(name, "pay", request_key="k")
    assert node.spawned() == ["a"]
    ended(node, "a")
    assert all(node.answers[name][0].body == b"x" for name in ("a", "b", "c"))


# What becomes of the first try while a repeat waits for it: how its run ends, whether its caller goes before, and the
# verdicts of both.
FATES = {
    "it is served": (Outcome.OK, False, Verdict.SERVED, Verdict.SERVED),
    "its run fails": (Outcome.ERROR, False, Verdict.FAILED, Verdict.FAILED),
    "its run is stopped": (Outcome.STOPPED, False, Verdict.FAILED, Verdict.FAILED),
    "it never ran": (Outcome.REJECTED, False, Verdict.REFUSED, Verdict.REFUSED),
    "its caller goes, and its run ends": (Outcome.OK, True, None, Verdict.SERVED),
    "its caller goes, and its run fails": (Outcome.ERROR, True, None, Verdict.FAILED),
}


@pytest.mark.parametrize("fate", FATES)
def test_a_repeat_shares_the_fate_of_the_first_try_that_it_waits_for(fate):
    outcome, goes, first, repeat = FATES[fate]
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k", marked_repeat=True)
    if goes:
        node.disconnect_caller("a")
    ended(node, "a", outcome)
    assert node.spawned() == ["a"]
    assert node.verdicts("a") == ([first] if first else []) and node.verdicts("b") == [repeat]


# How long after the first try's door time the second one comes, and whether it may run.
EDGES = [
    (WINDOW_MS - 1.0, False),
    (WINDOW_MS, False),
    (WINDOW_MS + 1.0, False),
    (WINDOW_MS + 50.0, False),
    (WINDOW_MS + MARGIN_MS, False),
    (WINDOW_MS + MARGIN_MS + 1.0, True),
]


@pytest.mark.parametrize(("after_ms", "runs"), EDGES)
@pytest.mark.parametrize("read_late_ms", [0.0, 400.0])
def test_a_repeat_on_either_side_of_the_end_of_its_window(after_ms, runs, read_late_ms):
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    ended(node, "a")
    door_ms = node.now_ms + after_ms
    node.now_ms = door_ms + read_late_ms  # it came in time, whenever it is read
    node.decisions.handle(at.Tick("tick"))
    node.submit("b", "pay", request_key="k", arrival_ms=door_ms)
    assert node.spawned() == (["a", "b"] if runs else ["a"])
    assert runs or node.answers["b"][0].body == b"x"


@pytest.mark.parametrize("gone", [False, True])
def test_a_try_past_a_window_that_is_shorter_than_the_run_waits_for_that_run(gone):
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.submit("b", "pay", request_key="k", marked_repeat=True)  # waits for the run of the first
    if gone:
        node.disconnect_caller("a")
    node.now_ms += WINDOW_MS + MARGIN_MS + 1.0
    node.submit("c", "pay", request_key="k")  # past the window, while the run goes on
    assert node.spawned() == ["a"]
    ended(node, "a")
    assert node.answers["c"][0].body == b"x"
    node.now_ms += 1.0
    node.submit("d", "pay", request_key="k")  # the run is over, and so is its window
    assert node.spawned() == ["a", "d"]


def test_the_waiting_repeats_of_a_run_are_answered_with_its_end_though_later_tries_of_the_key_came():
    node = PlannerHarness()
    node.submit("a", "pay", request_key="k")
    node.now_ms += 800.0
    node.submit("b", "pay", request_key="k", marked_repeat=True)
    node.now_ms += WINDOW_MS + MARGIN_MS - 790.0
    node.submit("c", "pay", request_key="k")
    ended(node, "a")
    assert len(node.spawned()) == 1 and {len(node.verdicts(name)) for name in "abc"} == {1}


def test_a_full_key_table_turns_away_new_keys_and_answers_the_repeats_of_those_it_holds():
    node = PlannerHarness(max_keys=1)
    node.submit("a", "pay", request_key="k")
    ended(node, "a")
    node.submit("b", "pay", request_key="other")
    node.submit("c", "pay", request_key="k")
    assert node.verdicts("b") == [Verdict.REFUSED] and node.verdicts("c") == [Verdict.SERVED]
    assert node.spawned() == ["a"]


@pytest.mark.parametrize("over", [False, True])
def test_the_same_id_twice_or_another_body_under_the_key_is_a_conflict_and_runs_nothing(over):
    node = PlannerHarness()
    first = node.submit("a", "pay", request_key="k")
    if over:
        ended(node, "a")
    node.submit("b", "pay", request_key="k", tenant="another")
    assert node.verdicts("b") == [Verdict.CONFLICT] and node.spawned() == ["a"]
    if not over:
        told = []
        node.answers["a"] = told
        node.submit("a", "pay", request_key="k")
        assert [answer.verdict for answer in told] == [Verdict.CONFLICT] and not first.settled


@pytest.mark.parametrize("class_name", ["look", "pay"])
@pytest.mark.parametrize("first_running", [True, False])
def test_the_caller_of_a_second_try_under_an_open_id_goes_and_the_first_is_answered_all_the_same(
    class_name, first_running
):
    node, unique = PlannerHarness(), "k" if class_name == "pay" else None
    node.ports.accepts_commands = first_running  # else its spawn finds no room, and it is refused once that is told
    told: list[Verdict] = []

    def attempt(tell):
        return at.Attempt("a", class_name, node.now_ms, 10.0, 1, b"", request_key=unique, on_answer=tell)

    first, second = attempt(lambda answer: told.append(answer.verdict)), attempt(lambda answer: None)
    # All three are read before the planner has its turn, as it happens while its mailbox is not empty.
    for report in (at.Submitted(first), at.Submitted(second), at.CallerDisconnected(second)):
        node.decisions.handle(report)
    if first_running:
        assert second.answer is not None and second.answer.verdict is Verdict.CONFLICT and not first.caller_disconnected
        ended(node, "a")
    assert told == [Verdict.SERVED if first_running else Verdict.REFUSED]
    assert node.decisions.open == 0
