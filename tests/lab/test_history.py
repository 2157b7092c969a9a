"""The judge of the fleet's rig: each of its verdicts falls where it should, and nowhere else."""

from __future__ import annotations

import pytest

from flintshift.lab.history import (
    PROMISES,
    Answered,
    Asked,
    Broke,
    Died,
    Ran,
    judge,
    judge_use,
    result_of,
    used,
)

A1, A2 = "a1", "a2"
GOOD = [
    Asked(0, A1, "k", b"x", "n1"),
    Ran(5, A1, "n1"),
    Answered(10, A1, 200, result_of(A1)),
    Asked(20, A2, "k", b"x", "n2"),
    Answered(30, A2, 200, result_of(A1)),
]
CASES = {
    "second run": [*GOOD[:4], Ran(25, A2, "n2"), Answered(30, A2, 200, result_of(A1))],
    "refused after a run": [*GOOD[:4], Answered(30, A2, 429, b"")],
    "differing results": [*GOOD[:4], Ran(25, A2, "n2"), Answered(30, A2, 200, result_of(A2))],
    "unknown result": [*GOOD[:2], Answered(10, A1, 200, b"else")],
    "other body served": [*GOOD[:3], Asked(20, A2, "k", b"y", "n2"), GOOD[4]],
    "late": [*GOOD[:4], Answered(1700, A2, 200, result_of(A1))],
    "missing": [*GOOD[:4], Broke(30, A2)],
    "run of nothing": [*GOOD, Ran(40, "zz", "n1")],
}


@pytest.mark.parametrize("what", CASES)
def test_each_promise_is_seen_broken(what):
    told = judge(CASES[what], 8000, 1500)
    assert what in told.by_promise()
    assert set(told.by_promise()) <= {what, "second run"}  # two results come of two runs


def test_a_repeat_of_a_second_request_that_gets_the_first_ones_result_is_seen():
    events = [
        *GOOD[:3],
        Asked(8001, A2, "k", b"x", "n2"),
        Ran(8002, A2, "n2"),
        Answered(8003, A2, 200, result_of(A2)),
        Asked(8100, "a3", "k", b"x", "n1"),
        Answered(8110, "a3", 200, result_of(A1)),
    ]
    assert judge(events, 8000, 1500).by_promise() == {"differing results": 1}


def test_a_repeat_within_the_window_that_gets_a_later_runs_result_is_seen():
    events = [
        *GOOD[:3],
        Asked(7990, "a3", "k", b"x", "n1"),
        Asked(8001, A2, "k", b"x", "n2"),
        Ran(8002, A2, "n2"),
        Answered(8003, A2, 200, result_of(A2)),
        Answered(8004, "a3", 200, result_of(A2)),
    ]
    assert judge(events, 8000, 1500).by_promise() == {"differing results": 1}


@pytest.mark.parametrize(
    "events",
    [
        GOOD,
        [*GOOD[:4], Answered(30, A2, 500, b"")],  # failed is no refusal
        [*GOOD[:4], Broke(30, A2), Died(25, "n2")],  # its member died
        [*GOOD[:4], Answered(30, A2, 409, b"")],
        [GOOD[0], Answered(4, A1, 429, b""), *GOOD[3:4], Ran(25, A2, "n2"), Answered(30, A2, 200, result_of(A2))],
        [
            *GOOD[:3],
            Asked(8200, A2, "k", b"x", "n2"),
            Ran(8201, A2, "n2"),
            Answered(8202, A2, 500, b""),
        ],  # past the window
        [
            *GOOD[:3],
            Asked(8001, A2, "k", b"x", "n2"),
            Ran(8002, A2, "n2"),
            Answered(8003, A2, 200, result_of(A2)),
        ],  # a repeat behind the window is a request of its own
        [
            *GOOD[:3],
            Asked(8001, A2, "k", b"x", "n2"),
            Ran(8002, A2, "n2"),
            Answered(8003, A2, 200, result_of(A2)),
            Asked(8100, "a3", "k", b"x", "n1"),
            Answered(8110, "a3", 200, result_of(A2)),
        ],  # and its own repeats get its result
        [*GOOD[:2], Ran(7, A1, "n1"), *GOOD[2:]],  # told again over a new link
    ],
)
def test_what_keeps_all_promises_passes(events):
    assert judge(events, 8000, 1500).broken == []


@pytest.mark.parametrize(
    ("booked", "doubted", "broken"),
    [
        (2, [], []),
        (3, [], []),
        (1, [A1], []),
        (2, [A1], []),
        (1, [], ["use lost"]),
        (0, [A1], ["use lost"]),
        (4, [], ["use doubled"]),
        (3, [A1], ["use doubled"]),
        (1, [A1, A1], ["use doubled"]),
    ],
)
def test_use_is_billed_to_the_unit_or_that_is_seen(booked, doubted, broken):
    members = used(
        [
            *GOOD[:4],
            Answered(30, A2, 200, b""),
            Asked(40, "a3", None, b"", "n1"),
            Broke(50, "a3"),
            Asked(60, "a4", None, b"", "n1"),
            Answered(61, "a4", 429, b""),
        ]
    )
    del members["n2"]
    assert [one.what for one in judge_use(members, {"n1": booked}, {"n1": doubted})] == broken
    assert {one for one in PROMISES if one.startswith("use ")} == {"use lost", "use doubled"}
