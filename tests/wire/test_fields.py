"""Customers are named by the settings, in letters of any language, and callers write them in some encoding."""

from __future__ import annotations

import pytest
from front_harness import FrontHarness, open_caller
from standins import BYTES, job

from flintshift.core.attempts import Answer, Verdict

pytestmark = pytest.mark.anyio
NAME = "l\u00e4ufer-z\u00fcrich"


@pytest.mark.parametrize(
    ("encoding", "told", "status"),
    [
        ("utf-8", NAME, 200),
        ("latin-1", NAME, 200),
        ("utf-8", NAME + "x", 400),
        ("latin-1", "\u00ff", 400),
    ],
)
async def test_a_customer_is_known_in_the_encodings_that_callers_write(encoding, told, status):
    async with FrontHarness() as harness:
        harness.front.attempt_builder.catalogue.clubs.add(NAME)
        harness.decisions.immediate_answer = Answer(Verdict.SERVED, b"1")
        caller = await open_caller(harness.connect())
        fields = job("race-results", **{"X-Team": "TEAM"})
        caller.send(BYTES["http"]("race-results", b"", fields).replace(b"TEAM", told.encode(encoding)))
        assert (await caller.reply()).status == status
        assert [attempt.tenant for attempt in harness.decisions.submitted] == ([NAME] if status == 200 else [])
        caller.writer.close()
