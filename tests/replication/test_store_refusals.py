"""A member continues to vote while its disk rejects single writes.

In a fleet of five with three replicas, one rejected write in 200 on each disk made 8 to 46 % of the keyed requests fail
or be rejected; without a fault it was 1 to 2 %. A holder took a single rejected write for a failed disk
(`ReplicaStore._on_disk_failed`), reported that it couldn't vote and tried its disk again a second later, though the
next write would have succeeded. Two of the three holders of a key were soon away at the same time, and nobody could
claim it. Besides, the rest of a rejected write was not cut off from the log, though its length alone tells it from a
whole record.

The logs showed "copies.disk_refuses" with "copies.disk_takes_again" 1.03 s after each, 33 times in one run, and "no
majority of the key's holders can vote" 1,669 times in another, with 34 single rejected writes.
"""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest
from storage.sim_files import SimFiles

from flintshift.core.counters import Counters
from flintshift.core.keys import Stage
from flintshift.lifecycle.replica_store import ReplicaStore
from flintshift.replication.messages import NO_BALLOT, Ask, ReachabilityChanged, Step, Value, Verdict
from flintshift.replication.placement import Placement
from flintshift.replication.refill import Page
from flintshift.replication.registers import Entry
from flintshift.replication.store import boot_id, create_empty_store
from flintshift.settings.options import ReplicationOptions

pytestmark = pytest.mark.anyio

FOLDER = Path("/srv/copies")
WINDOW_MS = 9000.0


class Host:
    identity = "n1#1"

    def __init__(self):
        self.events, self.sent, self.now = [], [], 1000.0

    def notify_proposals(self, event):
        self.events.append(event)

    def send(self, identity, message):
        self.sent.append(message)

    def max_retention_ms(self):
        return WINDOW_MS


class Member:
    """A voting store on a disk that can be made to reject operations."""

    def __init__(self, durability="process-death"):
        self.files, self.host, self.logged = SimFiles(), Host(), []
        create_empty_store(self.files, FOLDER, 1.0, boot_id())
        self.store = self.open_store(durability)
        self.request_number = 0

    def open_store(self, durability="process-death"):
        placement = Placement({"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "seeb-hall"}, 3)
        store = ReplicaStore(
            self.host,
            "n1",
            placement,
            ReplicationOptions(FOLDER, 3, durability, 1000, 1 << 20, 1 << 20),
            self.files,
            lambda: self.host.now,
            Counters(),
            lambda level, event, **more: self.logged.append(event),
        )
        store.open()
        return store

    def reject(self, *operations):
        """Makes these of the following disk operations fail, counted from 1."""
        self.files.failures = {self.files.operation_count + operation: errno.EIO for operation in operations}

    def reject_all(self):
        self.reject(*range(1, 10_000))

    async def vote(self, key):
        self.request_number += 1
        value = Value(Stage.CLAIMED, f"r{self.request_number}", "n2#1", b"p" * 16, WINDOW_MS)
        registers, full_key = self.store.registers, ("submit-time", key)
        stores = tuple(registers.store if name == "n1" else 0 for name in registers.placement.holders(full_key))
        ask = Ask(self.request_number, "n2#1", Step.FIRST, full_key, NO_BALLOT, stores, value)
        self.store.vote("n2#1", ask)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.host.sent[-1].verdict

    def keys_after_restart(self):
        self.files.failures = {}
        self.store.close()
        return {key[1] for key in self.open_store().registers.table}


async def test_a_holder_votes_though_its_disk_rejects_one_write():
    member = Member()
    member.reject(1)
    assert await member.vote("k1") is Verdict.OK
    assert await member.vote("k2") is Verdict.OK
    assert member.keys_after_restart() == {"k1", "k2"}


@pytest.mark.parametrize("operations", [(1, 2), (1, 3), (1, 2, 3), (1, 2, 3, 4)])
async def test_votes_go_on_within_100_ms_after_several_rejected_operations(operations):
    member = Member()
    member.reject(*operations)
    voted_keys = {"k1"} if await member.vote("k1") is Verdict.OK else set()
    for _ in range(2):  # ticks of the store's host
        member.host.now += 50.0
        member.store.check_disk(member.host.now)
    assert await member.vote("k2") is Verdict.OK
    assert voted_keys | {"k2"} <= member.keys_after_restart()


async def test_a_failed_disk_is_retried_with_backoff_and_votes_resume():
    member = Member()
    member.reject_all()
    assert await member.vote("k1") is Verdict.ABSENT
    assert ReachabilityChanged("n1", False, 0) in member.host.events
    attempts, count = 0, member.files.operation_count
    for _ in range(200):  # 10 s
        member.host.now += 50.0
        assert not member.store.check_disk(member.host.now)
        attempts += member.files.operation_count > count
        count = member.files.operation_count
    assert 8 <= attempts <= 20
    assert member.logged.count("copies.disk_refuses") == 1
    member.files.failures = {}
    for _ in range(21):
        member.host.now += 50.0
        member.store.check_disk(member.host.now)
    assert await member.vote("k2") is Verdict.OK
    assert "copies.disk_takes_again" in member.logged
    assert "k2" in member.keys_after_restart()


class EmptyMember(Member):
    """A member that lost its disk, and that two others refill."""

    def __init__(self):
        self.files, self.host, self.logged, self.request_number = SimFiles(), Host(), [], 0
        self.store = self.open_store()

    def tick(self):
        self.host.now += 50.0
        if self.store.check_disk(self.host.now):
            for name, request in self.store.due_fill_requests(self.host.now, {"n2", "n3"}):
                entry = Entry(("submit-time", f"from {name}"), NO_BALLOT, NO_BALLOT, VALUE, WINDOW_MS)
                self.store.receive_page(name, Page((entry,), entry.key, True, True, request.store))

    @property
    def state(self):
        return self.store.folder.state


VALUE = Value(Stage.CLAIMED, "r1", "n2#1", b"p" * 16, WINDOW_MS)


def count_refill_operations():
    member = EmptyMember()
    first_operation = member.files.operation_count
    member.tick()
    assert member.state.votes
    return member.files.operation_count - first_operation


@pytest.mark.parametrize("operation", range(1, count_refill_operations() + 1))
async def test_a_member_in_refill_votes_within_500_ms_after_any_single_rejected_operation(operation):
    """A rejected write of the last page, or of the state of the store, closed the link on which the page came, and the
    member didn't vote until its whole window had passed."""
    member = EmptyMember()
    member.reject(operation)
    for _ in range(10):
        member.tick()
    assert member.store.registers.votes_on_all_keys and member.state.votes
    assert {"from n2", "from n3"} <= member.keys_after_restart()


async def test_a_member_refilled_during_a_disk_failure_votes_once_its_disk_works_again():
    member = EmptyMember()
    member.reject_all()
    for _ in range(60):
        member.tick()
    assert not member.state.votes
    member.files.failures = {}
    for _ in range(40):  # 2 s; the longest delay between two attempts is 1 s
        member.tick()
    assert member.store.registers.votes_on_all_keys and member.state.votes
    assert {"from n2", "from n3"} <= member.keys_after_restart()


@pytest.mark.parametrize("operation", range(1, 8))
async def test_a_store_with_an_outdated_incarnation_survives_any_single_rejected_operation(operation):
    member = Member()
    member.reject(operation)
    newer_store = member.store.registers.store + 5
    member.store.on_hello("n2", 1, newer_store)
    for _ in range(10):
        member.host.now += 50.0
        member.store.check_disk(member.host.now)
    assert member.store.registers.store == member.store.folder.state.incarnation == newer_store + 1
    assert not member.store.folder.state.votes
