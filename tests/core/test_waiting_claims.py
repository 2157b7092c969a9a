"""Keyed attempts that wait for other processes: what a disconnect ends, and how long a claim waits for its answer."""

from __future__ import annotations

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.core.keys import KeyTable
from flintshift.core.limits import Limits
from flintshift.handover.shared_keys import SharedKeys
from flintshift.interface import Effect, Outcome, RequestClass


class ScriptedClaims:
    """Other processes that answer claims when the test says so."""

    required = True

    def __init__(self):
        self.requested, self.cancelled, self.recorded = [], [], []

    def in_doubt(self, attempt):
        return False

    def request_claim(self, attempt):
        self.requested.append(attempt.id)

    def cancel_claim(self, request):
        self.cancelled.append(request)

    def on_key_claimed(self, attempt):
        pass

    def record_outcome(self, attempt, outcome, result):
        self.recorded.append(attempt.id)
        return True

    def on_run_ended(self, attempt):
        pass

    def on_key_freed(self, attempt):
        pass


def make_attempt(node, verdicts):
    return at.Attempt(
        "a", "pay", node.now_ms, 10.0, 1, b"", request_key="k", on_answer=lambda answer: verdicts.append(answer.verdict)
    )


def two_tries_under_one_id():
    """A planner, the verdicts of a first attempt, which waits for its claim, and a second attempt under its id."""
    node, verdicts = PlannerHarness(), []
    node.claims = node.decisions.waiting_claims.claims = ScriptedClaims()
    first, second = make_attempt(node, verdicts), make_attempt(node, [])
    for report in (at.Submitted(first), at.Submitted(second)):
        node.decisions.handle(report)
    assert node.claims.requested == ["a"] and second.answer.verdict is Verdict.CONFLICT
    return node, verdicts, second


def test_a_disconnect_of_a_duplicate_id_does_not_end_the_first_attempts_claim():
    node, verdicts, second = two_tries_under_one_id()
    node.decisions.handle(at.CallerDisconnected(second))
    assert node.claims.cancelled == []
    node.decisions.handle(at.ClaimAnswered("a", True))
    assert node.spawned() == ["a"]
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    assert node.claims.recorded == ["a"] and verdicts == []  # its outcome must be recorded first
    node.decisions.handle(at.CallerDisconnected(second))
    node.decisions.handle(at.OutcomeRecorded("a", Outcome.OK, b"x"))
    assert verdicts == [Verdict.SERVED] and node.decisions.open == 0


class RecordingRanking:
    """Records the planner's notifications about a request."""

    def __init__(self):
        self.events = []

    def rank_ms(self, request):
        return 0.0

    def on_arrival(self, attempt):
        self.events.append("arrived")

    def on_start(self, request):
        self.events.append("began")

    def on_end(self, request, took_ms):
        self.events.append("ended")

    def on_withdrawal(self, request):
        self.events.append("left")


def test_a_disconnect_before_the_outcome_is_recorded_releases_the_place_once():
    node, verdicts, _ = two_tries_under_one_id()
    ranking = RecordingRanking()
    node.decisions.use_ranking(ranking)
    node.decisions.handle(at.ClaimAnswered("a", True))
    node.decisions.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.decisions.handle(at.CallerDisconnected(node.decisions.waiting_claims.awaiting_record["a"]))
    assert ranking.events == ["arrived", "began", "ended"] and verdicts == []
    node.decisions.handle(at.OutcomeRecorded("a", Outcome.OK, b"x"))
    assert (
        verdicts == []
        and node.decisions.counters["departed"] == 1
        and not node.decisions.waiting_claims.awaiting_record
    )


@pytest.mark.parametrize("second_disconnects", [True, False])
def test_an_attempt_whose_caller_disconnects_while_it_waits_for_a_claim_never_runs(second_disconnects):
    node, verdicts, second = two_tries_under_one_id()
    first = node.decisions.waiting_claims.awaiting_claim["a"]
    if second_disconnects:
        node.decisions.handle(at.CallerDisconnected(second))
    node.decisions.handle(at.CallerDisconnected(first))
    assert node.claims.cancelled == ["a"]
    node.decisions.handle(at.ClaimAnswered("a", True))  # the answer arrives late
    assert node.spawned() == [] and verdicts == [] and node.decisions.open == 0


@pytest.mark.parametrize(
    ("caller_timeout_ms", "waits_ms"),
    [(None, 750.0), (400.0, 250.0), (100.0, -50.0), (5000.0, 750.0)],
)
def test_a_claim_waits_until_shortly_before_the_attempts_own_deadline(caller_timeout_ms, waits_ms):
    limits = Limits(claim_timeout_ms=1000.0, claim_reserve_ms=150.0)
    shared, now_ms = SharedKeys(KeyTable(limits), limits), 1e6
    attempt = at.Attempt("a", "pay", now_ms, 10.0, 1, b"", request_key="k", caller_timeout_ms=caller_timeout_ms)
    attempt.request_class = RequestClass("pay", 500.0, 900.0, 1.0, Effect.KEYED, repeat_window_ms=1e6)
    shared.request_claim(now_ms, attempt)
    (claim,) = shared.agreement.pending.values()
    assert claim.waiting == {"a": now_ms + waits_ms}
