"""Request targets: which are valid, and the answers to those that are not."""

from __future__ import annotations

import time

import pytest
from front_harness import FrontHarness, open_caller
from standins import REQUEST_BYTES, request_fields

from flintshift.core.attempts import Answer, Verdict
from flintshift.wire.fields import RequestError

pytestmark = pytest.mark.anyio

TARGETS = [
    ("/call/race-results", 200),
    ("/call/race-results?x=1", 200),
    ("/call/race%2Dresults", 200),
    ("http://api.internal/call/race-results", 200),
    ("HTTP://api.internal:80/call/race-results", 200),
    ("/call/", 404),
    ("/call/race-results/", 404),
    ("/call/nobody", 404),
    ("/other/race-results", 404),
    ("/", 404),
    ("*", 404),
    ("//[x", 404),
    ("http://[x", 404),
    ("ftp://api.internal/call/race-results", 404),
    ("/call/%", 404),
    ("/call/%ff", 404),
]


@pytest.mark.parametrize(("target", "status"), TARGETS)
async def test_a_target_is_accepted_or_rejected_and_its_connection_stays_open(target, status):
    async with FrontHarness() as harness:
        harness.decisions.immediate_answer = Answer(Verdict.SERVED, b"1")
        caller = await open_caller(harness.connect())
        for _ in range(2):
            caller.send(REQUEST_BYTES["http"]("", b"", request_fields("race-results"), path=target))
            assert (await caller.reply()).status == status
        assert not harness.counters["http.faults"]
        caller.writer.close()


MAX_COST_MS = 1.0


async def test_the_cost_of_a_path_of_escapes_is_bounded():
    """Guards against paths of 15 KB that are decoded, which took 1.5 to 2.5 ms each."""
    attempt_builder, costs = FrontHarness().front.attempt_builder, []
    for _ in range(20):
        begin = time.thread_time()
        with pytest.raises(RequestError) as caught:
            attempt_builder.class_name_of("POST", "/call/" + "%41" * 5000)
        costs.append((time.thread_time() - begin) * 1000)
        assert caught.value.status == 404
    assert min(costs) <= MAX_COST_MS
