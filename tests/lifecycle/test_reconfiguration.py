"""A new configuration is taken as a whole or not at all, whichever part can't go by it."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from flintshift.core.counters import Counters
from flintshift.lifecycle.config import ConfigError, config_from_document
from flintshift.lifecycle.reconfiguration import Reconfiguration
from flintshift.settings.embedded import configuration
from flintshift.settings.operators import Operators

BEFORE = config_from_document(configuration(), "FILE", Operators())


class Part:
    """One that goes by the settings, or says why not."""

    def __init__(self, why_not=None):
        self.why_not, self.taken = why_not, []

    def refuses(self, settings):
        return self.why_not

    def change(self, settings):
        self.taken.append(settings)
        return self.why_not  # the decisions answer here whether they can


class Link:
    def __init__(self, to):
        self.to, self.moves = to, []

    def move(self, to):
        self.moves.append(to)


class Wired:
    def __init__(self, reread, decisions=None, follower=None):
        self.decisions, self.follower = decisions or Part(), follower or Part()
        self.decisions.catalogue = SimpleNamespace(kinds={})
        self.decisions.serving_status = SimpleNamespace(workers_up=True)
        self.pool, self.vault, self.names = Link(BEFORE.pool), Link(BEFORE.vault), Link(BEFORE.naming)
        self.counters, self.said, self.told = Counters(), [], []
        self.reconfiguration = Reconfiguration(
            reread,
            self.decisions,
            self.pool,
            self.vault,
            self.names,
            lambda: self.told.append("lists"),
            self.counters,
            lambda *_, **__: None,
            self.said.append,
        )
        self.reconfiguration.followers.append(self.follower)

    def moves(self):
        return [link.moves for link in (self.pool, self.vault, self.names)]


def unreadable():
    raise ConfigError("FILE: cut short")


MOVED = replace(BEFORE, pool=("127.0.0.1", 1), vault=("127.0.0.1", 2), naming=("127.0.0.1", 3), name="other")
REFUSALS = {
    "the file can't be read": (unreadable, None, None, "FILE: cut short"),
    "it lacks what the file in use has": (
        lambda: replace(MOVED, told={}),
        None,
        None,
        "name is missing; the configuration in use has it",
    ),
    "a part can't go by it": (lambda: MOVED, None, Part("too many rows"), "too many rows"),
    "the decisions can't": (lambda: MOVED, Part("too many classes"), None, "too many classes"),
}


@pytest.mark.parametrize("refusal", REFUSALS)
def test_what_one_part_can_t_take_changes_no_other_and_is_told_with_its_cause(refusal):
    reread, decisions, follower, why = REFUSALS[refusal]
    wired = Wired(reread, decisions, follower)
    assert wired.reconfiguration.reload(BEFORE) is BEFORE
    assert wired.moves() == [[], [], []] and wired.told == [] and wired.follower.taken == []
    assert refusal == "the decisions can't" or wired.decisions.taken == []
    assert wired.said == [f"the configuration stays: {why}"]
    assert wired.counters == {"reload.unreadable": 1}


def test_what_is_taken_moves_the_addresses_and_what_can_t_change_stays_and_is_named():
    wired = Wired(lambda: MOVED)
    taken = wired.reconfiguration.reload(BEFORE)
    assert taken == replace(MOVED, name=BEFORE.name)
    assert wired.moves() == [[MOVED.pool], [MOVED.vault], [MOVED.naming]] and wired.told == ["lists"]
    assert wired.decisions.taken == wired.follower.taken == [MOVED.settings]
    assert wired.said == ["name stays as it was at the start: it can't change while the node runs"]
    assert wired.counters == {"reload.taken": 1}
