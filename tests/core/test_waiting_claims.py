"""Keyed attempts that wait for others: who is answered when a caller goes, and how long a claim waits for its word."""

from __future__ import annotations

import pytest
from planning import Planner

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.core.keys import KeyTable
from flintshift.core.limits import Limits
from flintshift.handover.shared_keys import SharedKeys
from flintshift.interface import Effect, Outcome, RequestClass


class Claims:
    """The others, whose word comes when the test says so."""

    required = True

    def __init__(self):
        self.asked, self.left, self.kept_ends = [], [], []

    def in_doubt(self, attempt):
        return False

    def request_claim(self, attempt):
        self.asked.append(attempt.id)

    def cancel_claim(self, request):
        self.left.append(request)

    def on_key_claimed(self, attempt):
        pass

    def record_outcome(self, attempt, outcome, result):
        self.kept_ends.append(attempt.id)
        return True

    def on_run_ended(self, attempt):
        pass

    def on_key_freed(self, attempt):
        pass


def attempt(node, told):
    return at.Attempt(
        "a", "pay", node.now, 10.0, 1, b"", request_key="k", on_answer=lambda answer: told.append(answer.verdict)
    )


def asking():
    """A planner whose claims are asked, and the first of two attempts under one id, which waits for the word."""
    node, told = Planner(), []
    node.claims = node.planner.waiting_claims.claims = Claims()
    first, second = attempt(node, told), attempt(node, [])
    for report in (at.Submitted(first), at.Submitted(second)):
        node.planner.handle(report)
    assert node.claims.asked == ["a"] and second.answer.verdict is Verdict.CONFLICT
    return node, told, second


def test_the_caller_of_a_second_try_under_an_id_that_waits_for_a_claim_goes_and_the_first_goes_on():
    node, told, second = asking()
    node.planner.handle(at.CallerDisconnected(second))
    assert node.claims.left == []
    node.planner.handle(at.ClaimAnswered("a", True))
    assert node.spawned() == ["a"]
    node.planner.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    assert node.claims.kept_ends == ["a"] and told == []  # its end is to be kept first
    node.planner.handle(at.CallerDisconnected(second))
    node.planner.handle(at.OutcomeRecorded("a", Outcome.OK, b"x"))
    assert told == [Verdict.SERVED] and node.planner.open == 0


class Ranks:
    """Takes note of what the planner tells of a request's place."""

    def __init__(self):
        self.told = []

    def rank_ms(self, request):
        return 0.0

    def on_arrival(self, attempt):
        self.told.append("arrived")

    def on_start(self, request):
        self.told.append("began")

    def on_end(self, request, took_ms):
        self.told.append("ended")

    def on_withdrawal(self, request):
        self.told.append("left")


def test_the_caller_of_what_has_run_goes_before_its_end_is_kept_and_its_place_is_given_up_once():
    node, told, _ = asking()
    ranks = Ranks()
    node.planner.use_ranking(ranks)
    node.planner.handle(at.ClaimAnswered("a", True))
    node.planner.handle(at.RunFinished("a", Outcome.OK, 1.0, b"x"))
    node.planner.handle(at.CallerDisconnected(node.planner.waiting_claims.awaiting_record["a"]))
    assert ranks.told == ["arrived", "began", "ended"] and told == []
    node.planner.handle(at.OutcomeRecorded("a", Outcome.OK, b"x"))
    assert told == [] and node.planner.counters["departed"] == 1 and not node.planner.waiting_claims.awaiting_record


@pytest.mark.parametrize("again_before", [True, False])
def test_the_caller_of_a_try_that_waits_for_a_claim_goes_and_nothing_of_it_runs(again_before):
    node, told, second = asking()
    first = node.planner.waiting_claims.awaiting_claim["a"]
    if again_before:
        node.planner.handle(at.CallerDisconnected(second))
    node.planner.handle(at.CallerDisconnected(first))
    assert node.claims.left == ["a"]
    node.planner.handle(at.ClaimAnswered("a", True))  # the word comes late
    assert node.spawned() == [] and told == [] and node.planner.open == 0


@pytest.mark.parametrize(
    ("allow_ms", "waits_ms"),
    [(None, 750.0), (400.0, 250.0), (100.0, -50.0), (5000.0, 750.0)],
)
def test_a_claim_waits_for_the_other_process_until_shortly_before_its_own_answer_is_due(allow_ms, waits_ms):
    limits = Limits(claim_timeout_ms=1000.0, claim_reserve_ms=150.0)
    shared, now = SharedKeys(KeyTable(limits), limits), 1e6
    one = at.Attempt("a", "pay", now, 10.0, 1, b"", request_key="k", caller_timeout_ms=allow_ms)
    one.request_class = RequestClass("pay", 500.0, 900.0, 1.0, Effect.KEYED, repeat_window_ms=1e6)
    shared.request_claim(now, one)
    (claim,) = shared.agreement.pending.values()
    assert claim.waiting == {"a": now + waits_ms}
