"""A new configuration is applied completely or not at all, whichever part can't work by it."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from flintshift.core.counters import Counters
from flintshift.lifecycle.config import ConfigError, config_from_document
from flintshift.lifecycle.reconfiguration import Reconfiguration
from flintshift.settings.embedded import configuration
from flintshift.settings.operators import OperatorSettings

BEFORE = config_from_document(configuration(), "FILE", OperatorSettings())


class Part:
    """A stand-in for a part that works by the settings, or returns why it can't."""

    def __init__(self, refusal_cause=None):
        self.refusal_cause, self.applied = refusal_cause, []

    def rejection_reason(self, settings):
        return self.refusal_cause

    def change(self, settings):
        self.applied.append(settings)
        return self.refusal_cause  # the decisions return here why they can't work by the settings


class Link:
    """A stand-in for a link to a service."""

    def __init__(self, address):
        self.address, self.moves = address, []

    def move(self, address):
        self.moves.append(address)


class ReconfigurationHarness:
    """A reconfiguration among stand-ins for its parts."""

    def __init__(self, reread, decisions=None, follower=None):
        self.decisions, self.follower = decisions or Part(), follower or Part()
        self.decisions.catalogue = SimpleNamespace(active_classes={})
        self.decisions.serving_status = SimpleNamespace(workers_up=True)
        self.pool, self.vault, self.names = Link(BEFORE.pool), Link(BEFORE.vault), Link(BEFORE.naming)
        self.counters, self.warnings, self.reports = Counters(), [], []
        self.reconfiguration = Reconfiguration(
            reread,
            self.decisions,
            self.pool,
            self.vault,
            self.names,
            lambda: self.reports.append("lists"),
            self.counters,
            lambda *_, **__: None,
            self.warnings.append,
        )
        self.reconfiguration.followers.append(self.follower)

    def moves(self):
        return [link.moves for link in (self.pool, self.vault, self.names)]


def unreadable():
    raise ConfigError("FILE: cut short")


MOVED = replace(BEFORE, pool=("127.0.0.1", 1), vault=("127.0.0.1", 2), naming=("127.0.0.1", 3), name="other")
REFUSALS = {
    "the file can't be read": (unreadable, None, None, "FILE: cut short"),
    "it lacks a field of the configuration in use": (
        lambda: replace(MOVED, document={}),
        None,
        None,
        "name is missing; the configuration in use has it",
    ),
    "a part can't work by it": (lambda: MOVED, None, Part("too many rows"), "too many rows"),
    "the decisions can't work by it": (lambda: MOVED, Part("too many classes"), None, "too many classes"),
}


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_refusal_by_one_part_changes_no_other_and_is_reported_with_its_cause(refusal):
    reread, decisions, follower, cause = REFUSALS[refusal]
    harness = ReconfigurationHarness(reread, decisions, follower)
    assert harness.reconfiguration.reload(BEFORE) is BEFORE
    assert harness.moves() == [[], [], []] and harness.reports == [] and harness.follower.applied == []
    assert refusal == "the decisions can't work by it" or harness.decisions.applied == []
    assert harness.warnings == [f"the configuration stays: {cause}"]
    assert harness.counters == {"reload.unreadable": 1}


def test_addresses_are_applied_and_fields_that_can_t_change_stay_and_are_reported():
    harness = ReconfigurationHarness(lambda: MOVED)
    applied = harness.reconfiguration.reload(BEFORE)
    assert applied == replace(MOVED, name=BEFORE.name)
    assert harness.moves() == [[MOVED.pool], [MOVED.vault], [MOVED.naming]] and harness.reports == ["lists"]
    assert harness.decisions.applied == harness.follower.applied == [MOVED.settings]
    assert harness.warnings == ["name stays as it was at the start: it can't change while the node runs"]
    assert harness.counters == {"reload.taken": 1}
