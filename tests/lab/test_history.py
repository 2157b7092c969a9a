"""The check of a fleet's history reports each violation, and nothing in a correct history."""

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
CORRECT = [
    RequestSent(0, A1, "k", b"x", "n1"),
    RunStarted(5, A1, "n1"),
    ResponseReceived(10, A1, 200, run_result(A1)),
    RequestSent(20, A2, "k", b"x", "n2"),
    ResponseReceived(30, A2, 200, run_result(A1)),
]
VIOLATIONS = {
    "second run": [*CORRECT[:4], RunStarted(25, A2, "n2"), ResponseReceived(30, A2, 200, run_result(A1))],
    "refused after a run": [*CORRECT[:4], ResponseReceived(30, A2, 429, b"")],
    "differing results": [*CORRECT[:4], RunStarted(25, A2, "n2"), ResponseReceived(30, A2, 200, run_result(A2))],
    "unknown result": [*CORRECT[:2], ResponseReceived(10, A1, 200, b"else")],
    "other body served": [*CORRECT[:3], RequestSent(20, A2, "k", b"y", "n2"), CORRECT[4]],
    "late": [*CORRECT[:4], ResponseReceived(1700, A2, 200, run_result(A1))],
    "missing": [*CORRECT[:4], ConnectionLost(30, A2)],
    "run of nothing": [*CORRECT, RunStarted(40, "zz", "n1")],
}


@pytest.mark.parametrize("guarantee", VIOLATIONS)
def test_each_broken_guarantee_is_reported(guarantee):
    result = check_history(VIOLATIONS[guarantee], 8000, 1500)
    assert guarantee in result.count_by_guarantee()
    assert set(result.count_by_guarantee()) <= {guarantee, "second run"}  # two results come from two runs


def test_a_repeat_of_a_second_request_with_the_first_ones_result_is_reported():
    events = [
        *CORRECT[:3],
        RequestSent(8001, A2, "k", b"x", "n2"),
        RunStarted(8002, A2, "n2"),
        ResponseReceived(8003, A2, 200, run_result(A2)),
        RequestSent(8100, "a3", "k", b"x", "n1"),
        ResponseReceived(8110, "a3", 200, run_result(A1)),
    ]
    assert check_history(events, 8000, 1500).count_by_guarantee() == {"differing results": 1}


def test_a_repeat_within_the_window_with_a_later_runs_result_is_reported():
    events = [
        *CORRECT[:3],
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
        CORRECT,
        [*CORRECT[:4], ResponseReceived(30, A2, 500, b"")],  # a failure isn't a rejection
        [*CORRECT[:4], ConnectionLost(30, A2), MemberInterrupted(25, "n2")],  # its member was killed
        [*CORRECT[:4], ResponseReceived(30, A2, 409, b"")],
        [
            CORRECT[0],
            ResponseReceived(4, A1, 429, b""),
            *CORRECT[3:4],
            RunStarted(25, A2, "n2"),
            ResponseReceived(30, A2, 200, run_result(A2)),
        ],
        [
            *CORRECT[:3],
            RequestSent(8200, A2, "k", b"x", "n2"),
            RunStarted(8201, A2, "n2"),
            ResponseReceived(8202, A2, 500, b""),
        ],  # after the window
        [
            *CORRECT[:3],
            RequestSent(8001, A2, "k", b"x", "n2"),
            RunStarted(8002, A2, "n2"),
            ResponseReceived(8003, A2, 200, run_result(A2)),
        ],  # a repeat after the window is a new request
        [
            *CORRECT[:3],
            RequestSent(8001, A2, "k", b"x", "n2"),
            RunStarted(8002, A2, "n2"),
            ResponseReceived(8003, A2, 200, run_result(A2)),
            RequestSent(8100, "a3", "k", b"x", "n1"),
            ResponseReceived(8110, "a3", 200, run_result(A2)),
        ],  # and its repeats get its result
        [*CORRECT[:2], RunStarted(7, A1, "n1"), *CORRECT[2:]],  # the command is sent again to the pool over a new link
    ],
)
def test_a_correct_history_has_no_violations(events):
    assert check_history(events, 8000, 1500).violations == []


@pytest.mark.parametrize(
    ("billed", "in_doubt", "violations"),
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
def test_use_that_is_not_billed_exactly_once_is_reported(billed, in_doubt, violations):
    members = collect_usage(
        [
            *CORRECT[:4],
            ResponseReceived(30, A2, 200, b""),
            RequestSent(40, "a3", None, b"", "n1"),
            ConnectionLost(50, "a3"),
            RequestSent(60, "a4", None, b"", "n1"),
            ResponseReceived(61, "a4", 429, b""),
        ]
    )
    del members["n2"]
    assert [violation.guarantee for violation in check_usage(members, {"n1": billed}, {"n1": in_doubt})] == violations
    assert {guarantee for guarantee in GUARANTEES if guarantee.startswith("use ")} == {"use lost", "use doubled"}
