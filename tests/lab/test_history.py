"""The judge of the fleet's rig: each of its verdicts falls where it should, and nowhere else."""

from __future__ import annotations

import pytest

from flintshift.lab.history import (
    GUARANTEES,
    ConnectionLost,
    MemberInterrupted,
    RequestSent,
    ResponseReceived,
    RunStarted,
    check_history,
    check_usage,
    collect_usage,
    run_result,
)

A1, A2 = "a1", "a2"
GOOD = [
    RequestSent(0, A1, "k", b"x", "n1"),
    RunStarted(5, A1, "n1"),
    ResponseReceived(10, A1, 200, run_result(A1)),
    RequestSent(20, A2, "k", b"x", "n2"),
    ResponseReceived(30, A2, 200, run_result(A1)),
]
CASES = {
    "second run": [*GOOD[:4], RunStarted(25, A2, "n2"), ResponseReceived(30, A2, 200, run_result(A1))],
    "refused after a run": [*GOOD[:4], ResponseReceived(30, A2, 429, b"")],
    "differing results": [*GOOD[:4], RunStarted(25, A2, "n2"), ResponseReceived(30, A2, 200, run_result(A2))],
    "unknown result": [*GOOD[:2], ResponseReceived(10, A1, 200, b"else")],
    "other body served": [*GOOD[:3], RequestSent(20, A2, "k", b"y", "n2"), GOOD[4]],
    "late": [*GOOD[:4], ResponseReceived(1700, A2, 200, run_result(A1))],
    "missing": [*GOOD[:4], ConnectionLost(30, A2)],
    "run of nothing": [*GOOD, RunStarted(40, "zz", "n1")],
}


@pytest.mark.parametrize("what", CASES)
def test_each_promise_is_seen_broken(what):
    told = check_history(CASES[what], 8000, 1500)
    assert what in told.count_by_guarantee()
    assert set(told.count_by_guarantee()) <= {what, "second run"}  # two results come of two runs


def test_a_repeat_of_a_second_request_that_gets_the_first_ones_result_is_seen():
    events = [
        *GOOD[:3],
        RequestSent(8001, A2, "k", b"x", "n2"),
        RunStarted(8002, A2, "n2"),
        ResponseReceived(8003, A2, 200, run_result(A2)),
        RequestSent(8100, "a3", "k", b"x", "n1"),
        ResponseReceived(8110, "a3", 200, run_result(A1)),
    ]
    assert check_history(events, 8000, 1500).count_by_guarantee() == {"differing results": 1}


def test_a_repeat_within_the_window_that_gets_a_later_runs_result_is_seen():
    events = [
        *GOOD[:3],
        RequestSent(7990, "a3", "k", b"x", "n1"),
        RequestSent(8001, A2, "k", b"x", "n2"),
        RunStarted(8002, A2, "n2"),
        ResponseReceived(8003, A2, 200, run_result(A2)),
        ResponseReceived(8004, "a3", 200, run_result(A2)),
    ]
    assert check_history(events, 8000, 1500).count_by_guarantee() == {"differing results": 1}


@pytest.mark.parametrize(
    "events",
    [
        GOOD,
        [*GOOD[:4], ResponseReceived(30, A2, 500, b"")],  # failed is no refusal
        [*GOOD[:4], ConnectionLost(30, A2), MemberInterrupted(25, "n2")],  # its member died
        [*GOOD[:4], ResponseReceived(30, A2, 409, b"")],
        [
            GOOD[0],
            ResponseReceived(4, A1, 429, b""),
            *GOOD[3:4],
            RunStarted(25, A2, "n2"),
            ResponseReceived(30, A2, 200, run_result(A2)),
        ],
        [
            *GOOD[:3],
            RequestSent(8200, A2, "k", b"x", "n2"),
            RunStarted(8201, A2, "n2"),
            ResponseReceived(8202, A2, 500, b""),
        ],  # past the window
        [
            *GOOD[:3],
            RequestSent(8001, A2, "k", b"x", "n2"),
            RunStarted(8002, A2, "n2"),
            ResponseReceived(8003, A2, 200, run_result(A2)),
        ],  # a repeat behind the window is a request of its own
        [
            *GOOD[:3],
            RequestSent(8001, A2, "k", b"x", "n2"),
            RunStarted(8002, A2, "n2"),
            ResponseReceived(8003, A2, 200, run_result(A2)),
            RequestSent(8100, "a3", "k", b"x", "n1"),
            ResponseReceived(8110, "a3", 200, run_result(A2)),
        ],  # and its own repeats get its result
        [*GOOD[:2], RunStarted(7, A1, "n1"), *GOOD[2:]],  # told again over a new link
    ],
)
def test_what_keeps_all_promises_passes(events):
    assert check_history(events, 8000, 1500).violations == []


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
    members = collect_usage(
        [
            *GOOD[:4],
            ResponseReceived(30, A2, 200, b""),
            RequestSent(40, "a3", None, b"", "n1"),
            ConnectionLost(50, "a3"),
            RequestSent(60, "a4", None, b"", "n1"),
            ResponseReceived(61, "a4", 429, b""),
        ]
    )
    del members["n2"]
    assert [one.guarantee for one in check_usage(members, {"n1": booked}, {"n1": doubted})] == broken
    assert {one for one in GUARANTEES if one.startswith("use ")} == {"use lost", "use doubled"}
