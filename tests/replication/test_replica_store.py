"""A member's own store in the node: when a refilled store begins to vote, and what it reports to its host."""

from __future__ import annotations

from pathlib import Path

import pytest
from storage.sim_files import SimFiles

from flintshift.core.counters import Counters
from flintshift.lifecycle.replica_store import ReplicaStore
from flintshift.replication.messages import ReachabilityChanged
from flintshift.replication.placement import Placement
from flintshift.replication.refill import FillAsk
from flintshift.settings.options import ReplicationOptions

WINDOW_MS = 9000.0
REACHED = {"n2", "n3"}


class Host:
    identity = "n1#1"

    def __init__(self):
        self.events, self.now = [], 1000.0

    def notify_proposals(self, event):
        self.events.append(event)

    def send(self, identity, message):
        raise AssertionError("nothing is to be sent")

    def max_retention_ms(self):
        return WINDOW_MS


@pytest.fixture
def host():
    return Host()


@pytest.fixture
def store(host):
    """A store whose disk is empty."""
    placement = Placement({"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "seeb-hall"}, 3)
    options = ReplicationOptions(Path("/srv/copies"), 3, "process-death", 1000, 1 << 20, 1 << 20)
    store = ReplicaStore(
        host, "n1", placement, options, SimFiles(), lambda: host.now, Counters(), lambda *_, **__: None
    )
    store.open()
    yield store
    store.close()


def test_a_store_without_answers_votes_once_its_window_has_passed_and_not_before(host, store):
    incarnation = store.registers.store
    assert host.events == [ReachabilityChanged("n1", True, incarnation)]
    start_ms = host.now
    assert sorted(store.due_fill_requests(start_ms, REACHED)) == [
        (name, FillAsk(incarnation, None)) for name in sorted(REACHED)
    ]
    assert (
        store.due_fill_requests(start_ms + WINDOW_MS - 1.0, REACHED) == [] and not store.registers.votes_on_all_keys
    )  # one request per link
    store.on_link_lost("n2")
    assert [name for name, _ in store.due_fill_requests(start_ms + WINDOW_MS - 0.5, REACHED)] == ["n2"]
    assert store.due_fill_requests(start_ms + WINDOW_MS, REACHED) == [] and store.registers.votes_on_all_keys
    assert store.folder.state.votes and store.refill is None
