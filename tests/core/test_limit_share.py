"""Decisions of a process that has no share of the node's limits, and of one that has all of it."""

from __future__ import annotations

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.core.limit_share import FULL_SHARE, LimitShare, scale_settings

DEADLINE_MS = 900.0  # of both classes in the harness's settings


@pytest.mark.parametrize("class_name", ["look", "pay"])
def test_a_process_without_a_share_refuses_until_it_gets_one(class_name):
    node = PlannerHarness()
    node.decisions.set_limit_share(LimitShare(0.0, 0.0, 0.0))
    node.decisions.handle(at.Tick("tick"))
    node.submit("a", class_name, request_key="k" if class_name == "pay" else None)
    began_ms = node.now_ms
    while not node.verdicts("a") and node.now_ms < began_ms + DEADLINE_MS:  # it waits, as capacity may be freed in time
        node.now_ms += 40.0
        node.decisions.handle(at.Tick("tick"))
    assert node.verdicts("a") == [Verdict.REFUSED] and node.spawned() == []
    node.decisions.set_limit_share(FULL_SHARE)
    node.decisions.handle(at.Tick("tick"))
    node.submit("b", class_name, request_key="l" if class_name == "pay" else None)
    assert node.spawned() == ["b"]


def test_the_full_share_leaves_the_settings_unchanged():
    settings = PlannerHarness().decisions.catalogue.effective_settings
    assert scale_settings(settings, FULL_SHARE) is settings
