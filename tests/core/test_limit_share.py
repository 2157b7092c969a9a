"""What a process decides by while it has no share of the node's limits, or all of it."""

from __future__ import annotations

import pytest
from planning import PlannerHarness

from flintshift.core import attempts as at
from flintshift.core.attempts import Verdict
from flintshift.core.limit_share import FULL_SHARE, LimitShare, scale_settings

DEADLINE_MS = 900.0  # of both classes, as the planner's settings tell


@pytest.mark.parametrize("class_name", ["look", "pay"])
def test_a_process_with_no_share_at_all_turns_away_and_goes_on_once_it_has_one(class_name):
    node = PlannerHarness()
    node.decisions.set_limit_share(LimitShare(0.0, 0.0, 0.0))
    node.decisions.handle(at.Tick("tick"))
    node.submit("a", class_name, request_key="k" if class_name == "pay" else None)
    began = node.now_ms
    while not node.verdicts("a") and node.now_ms < began + DEADLINE_MS:  # it is held, as room may come in its time
        node.now_ms += 40.0
        node.decisions.handle(at.Tick("tick"))
    assert node.verdicts("a") == [Verdict.REFUSED] and node.spawned() == []
    node.decisions.set_limit_share(FULL_SHARE)
    node.decisions.handle(at.Tick("tick"))
    node.submit("b", class_name, request_key="l" if class_name == "pay" else None)
    assert node.spawned() == ["b"]


def test_the_whole_of_the_limits_is_what_the_settings_tell():
    settings = PlannerHarness().decisions.catalogue.effective_settings
    assert scale_settings(settings, FULL_SHARE) is settings
