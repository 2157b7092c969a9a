"""Names of customers: settings may use letters of any language, and callers send them in different encodings."""

from __future__ import annotations

import pytest
from front_harness import FrontHarness, open_caller
from standins import REQUEST_BYTES, request_fields

from flintshift.core.attempts import Answer, Verdict

pytestmark = pytest.mark.anyio
NAME = "l\u00e4ufer-z\u00fcrich"


@pytest.mark.parametrize(
    ("encoding", "sent_name", "status"),
    [
        ("utf-8", NAME, 200),
        ("latin-1", NAME, 200),
        ("utf-8", NAME + "x", 400),
        ("latin-1", "\u00ff", 400),
    ],
)
async def test_a_customers_name_is_recognised_in_each_encoding_that_callers_use(encoding, sent_name, status):
    async with FrontHarness() as harness:
        harness.front.attempt_builder.catalogue.clubs.add(NAME)
        harness.decisions.immediate_answer = Answer(Verdict.SERVED, b"1")
        caller = await open_caller(harness.connect())
        fields = request_fields("race-results", **{"X-Team": "TEAM"})
        caller.send(REQUEST_BYTES["http"]("race-results", b"", fields).replace(b"TEAM", sent_name.encode(encoding)))
        assert (await caller.reply()).status == status
        assert [attempt.tenant for attempt in harness.decisions.submitted] == ([NAME] if status == 200 else [])
        caller.writer.close()
