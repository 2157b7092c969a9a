"""Repeats of a keyed request at each bad instant of its first try: it runs once, and is never refused once it ran."""

from __future__ import annotations

import pytest
from planning import Planner

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.interface import Outcome

WINDOW_MS = 2000.0  # of the class, as the planner's settings tell
MARGIN_MS = 250.0  # Limits.key_margin_ms: 50 ms of allowance are told


def ended(node, request, outcome=Outcome.OK, result=b"x"):
    node.planner.handle(at.RunOver(request, outcome, 1.0, result))


def test_two_tries_in_the_same_instant_run_once_and_get_one_result():
    node = Planner()
    for name in ("a", "b", "c"):
        node.submit(name, "pay", unique="k")
    assert node.spawned() == ["a"]
    ended(node, "a")
    assert all(node.told[name][0].body == b"x" for name in ("a", "b", "c"))


# What becomes of the first try while a repeat waits for it: events, and the verdicts of both.
FATES = {
    "it is served": ([at.RunOver("a", Outcome.OK, 1.0, b"x")], Verdict.SERVED, Verdict.SERVED),
    "its run fails": ([at.RunOver("a", Outcome.ERROR)], Verdict.FAILED, Verdict.FAILED),
    "its run is stopped": ([at.RunOver("a", Outcome.STOPPED)], Verdict.FAILED, Verdict.FAILED),
    "it never ran": ([at.RunOver("a", Outcome.REJECTED)], Verdict.REFUSED, Verdict.REFUSED),
    "its caller goes, and its run ends": (
        [at.Departed("a"), at.RunOver("a", Outcome.OK, 1.0, b"x")],
        None,
        Verdict.SERVED,
    ),
    "its caller goes, and its run fails": ([at.Departed("a"), at.RunOver("a", Outcome.ERROR)], None, Verdict.FAILED),
}


@pytest.mark.parametrize("fate", FATES)
def test_a_repeat_shares_the_fate_of_the_first_try_that_it_waits_for(fate):
    events, first, repeat = FATES[fate]
    node = Planner()
    node.submit("a", "pay", unique="k")
    node.submit("b", "pay", unique="k", again=True)
    for event in events:
        node.planner.handle(event)
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
    node = Planner()
    node.submit("a", "pay", unique="k")
    ended(node, "a")
    door_ms = node.now + after_ms
    node.now = door_ms + read_late_ms  # it came in time, whenever it is read
    node.planner.handle(at.Tick("tick"))
    node.submit("b", "pay", unique="k", door_ms=door_ms)
    assert node.spawned() == (["a", "b"] if runs else ["a"])
    assert runs or node.told["b"][0].body == b"x"


@pytest.mark.parametrize("gone", [False, True])
def test_a_try_past_a_window_that_is_shorter_than_the_run_waits_for_that_run(gone):
    node = Planner()
    node.submit("a", "pay", unique="k")
    node.submit("b", "pay", unique="k", again=True)  # waits for the run of the first
    if gone:
        node.planner.handle(at.Departed("a"))
    node.now += WINDOW_MS + MARGIN_MS + 1.0
    node.submit("c", "pay", unique="k")  # past the window, while the run goes on
    assert node.spawned() == ["a"]
    ended(node, "a")
    assert node.told["c"][0].body == b"x"
    node.now += 1.0
    node.submit("d", "pay", unique="k")  # the run is over, and so is its window
    assert node.spawned() == ["a", "d"]


def test_the_waiting_repeats_of_a_run_are_answered_with_its_end_though_later_tries_of_the_key_came():
    node = Planner()
    node.submit("a", "pay", unique="k")
    node.now += 800.0
    node.submit("b", "pay", unique="k", again=True)
    node.now += WINDOW_MS + MARGIN_MS - 790.0
    node.submit("c", "pay", unique="k")
    ended(node, "a")
    assert len(node.spawned()) == 1 and {len(node.verdicts(name)) for name in "abc"} == {1}


def test_a_full_key_table_turns_away_new_keys_and_answers_the_repeats_of_those_it_holds():
    node = Planner(keys=1)
    node.submit("a", "pay", unique="k")
    ended(node, "a")
    node.submit("b", "pay", unique="other")
    node.submit("c", "pay", unique="k")
    assert node.verdicts("b") == [Verdict.REFUSED] and node.verdicts("c") == [Verdict.SERVED]
    assert node.spawned() == ["a"]


@pytest.mark.parametrize("over", [False, True])
def test_the_same_id_twice_or_another_body_under_the_key_is_a_conflict_and_runs_nothing(over):
    node = Planner()
    first = node.submit("a", "pay", unique="k")
    if over:
        ended(node, "a")
    node.submit("b", "pay", unique="k", tenant="another")
    assert node.verdicts("b") == [Verdict.CONFLICT] and node.spawned() == ["a"]
    if not over:
        told = []
        node.told["a"] = told
        node.submit("a", "pay", unique="k")
        assert [answer.verdict for answer in told] == [Verdict.CONFLICT] and not first.over
