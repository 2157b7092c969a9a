"""A member votes on while its disk refuses single writes.

What happened: in a fleet of five with three copies, one write in 200 refused on each disk made 8 to 46 % of the keyed
answers refused or failed, and 1 to 2 % with no fault.

Sequence: a holder's disk refuses one write. The holder says that it can't vote, and tries its disk again a second
later. Two of three holders of a key are soon away at once, and nobody can claim it.

Cause: a refused write was taken for a disk that refuses (`ReplicaStore._refuses`), though the next one would go well;
and what a refused write leaves in the log could be told from a whole record by its length alone, but was not cut off.

What settled it: "copies.disk_refuses" with "copies.disk_takes_again" 1.03 s behind each, 33 times in a play, and
"no majority of the key's holders can vote" 1,669 times in another, with 34 single refusals.
"""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest
from storage.sim_files import SimFiles

from flintshift.copies.messages import NO_BALLOT, Ask, Reach, Step, Value, Verdict
from flintshift.copies.placement import Placement
from flintshift.copies.refill import Page
from flintshift.copies.registers import Entry
from flintshift.copies.store import boot_id, found_store
from flintshift.core.counters import Counters
from flintshift.core.keys import Stage
from flintshift.lifecycle.replica_store import ReplicaStore
from flintshift.settings.options import CopiesOptions

pytestmark = pytest.mark.anyio

FOLDER = Path("/srv/copies")
WINDOW_MS = 9000.0


class Host:
    identity = "n1#1"

    def __init__(self):
        self.told, self.sent, self.now = [], [], 1000.0

    def tell(self, event):
        self.told.append(event)

    def send(self, identity, word):
        self.sent.append(word)

    def keep_for_ms(self):
        return WINDOW_MS


class Member:
    """A store that votes, on a disk that can be made to refuse."""

    def __init__(self, durability="process-death"):
        self.files, self.host, self.logged = SimFiles(), Host(), []
        found_store(self.files, FOLDER, 1.0, boot_id())
        self.store = self.opened(durability)
        self.numbers = 0

    def opened(self, durability="process-death"):
        placement = Placement({"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "seeb-hall"}, 3)
        store = ReplicaStore(
            self.host,
            "n1",
            placement,
            CopiesOptions(FOLDER, 3, durability, 1000, 1 << 20, 1 << 20),
            self.files,
            lambda: self.host.now,
            Counters(),
            lambda level, event, **more: self.logged.append(event),
        )
        store.open()
        return store

    def refuse(self, *places):
        """Of the operations from now on these fail, counted from 1."""
        self.files.failures = {self.files.operation_count + place: errno.EIO for place in places}

    def refuse_all(self):
        self.refuse(*range(1, 10_000))

    async def vote(self, key):
        self.numbers += 1
        value = Value(Stage.CLAIMED, f"r{self.numbers}", "n2#1", b"p" * 16, WINDOW_MS)
        known, name = self.store.registers, ("submit-time", key)
        stores = tuple(known.store if one == "n1" else 0 for one in known.placement.holders(name))
        ask = Ask(self.numbers, "n2#1", Step.FIRST, name, NO_BALLOT, stores, value)
        self.store.vote("n2#1", ask)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.host.sent[-1].verdict

    def keys_after_restart(self):
        self.files.failures = {}
        self.store.close()
        return {key[1] for key in self.opened().registers.table}


async def test_a_vote_is_given_though_the_disk_refuses_one_write():
    member = Member()
    member.refuse(1)
    assert await member.vote("k1") is Verdict.OK
    assert await member.vote("k2") is Verdict.OK
    assert member.keys_after_restart() == {"k1", "k2"}


@pytest.mark.parametrize("places", [(1, 2), (1, 3), (1, 2, 3), (1, 2, 3, 4)])
async def test_votes_go_on_within_100_ms_of_several_refusals(places):
    member = Member()
    member.refuse(*places)
    given = {"k1"} if await member.vote("k1") is Verdict.OK else set()
    for _ in range(2):  # ticks of the owner
        member.host.now += 50.0
        member.store.usable(member.host.now)
    assert await member.vote("k2") is Verdict.OK
    assert given | {"k2"} <= member.keys_after_restart()


async def test_a_disk_that_refuses_for_long_is_tried_less_and_less_often_and_votes_come_back():
    member = Member()
    member.refuse_all()
    assert await member.vote("k1") is Verdict.ABSENT
    assert Reach("n1", False, 0) in member.host.told
    tried, count = 0, member.files.operation_count
    for _ in range(200):  # 10 s
        member.host.now += 50.0
        assert not member.store.usable(member.host.now)
        tried += member.files.operation_count > count
        count = member.files.operation_count
    assert 8 <= tried <= 20
    assert member.logged.count("copies.disk_refuses") == 1
    member.files.failures = {}
    for _ in range(21):
        member.host.now += 50.0
        member.store.usable(member.host.now)
    assert await member.vote("k2") is Verdict.OK
    assert "copies.disk_takes_again" in member.logged
    assert "k2" in member.keys_after_restart()


class EmptyMember(Member):
    """One that lost its disk; two others tell it what they hold."""

    def __init__(self):
        self.files, self.host, self.logged, self.numbers = SimFiles(), Host(), [], 0
        self.store = self.opened()

    def tick(self):
        self.host.now += 50.0
        if self.store.usable(self.host.now):
            for name, asked in self.store.asks(self.host.now, {"n2", "n3"}):
                entry = Entry(("submit-time", f"from {name}"), NO_BALLOT, NO_BALLOT, VALUE, WINDOW_MS)
                self.store.fill(name, Page((entry,), entry.key, True, True, asked.store))

    @property
    def state(self):
        return self.store.folder.state


VALUE = Value(Stage.CLAIMED, "r1", "n2#1", b"p" * 16, WINDOW_MS)


def operations_of_a_refill():
    member = EmptyMember()
    begun = member.files.operation_count
    member.tick()
    assert member.state.votes
    return member.files.operation_count - begun


@pytest.mark.parametrize("place", range(1, operations_of_a_refill() + 1))
async def test_a_member_that_is_filled_votes_within_500_ms_of_each_single_refusal(place):
    """A refused write of the last page, or of the state that it votes, ended the link that brought the page, and the
    member had no vote until its whole window had passed."""
    member = EmptyMember()
    member.refuse(place)
    for _ in range(10):
        member.tick()
    assert member.store.registers.full_vote and member.state.votes
    assert {"from n2", "from n3"} <= member.keys_after_restart()


async def test_a_member_that_is_filled_while_its_disk_refuses_votes_once_it_takes_again():
    member = EmptyMember()
    member.refuse_all()
    for _ in range(60):
        member.tick()
    assert not member.state.votes
    member.files.failures = {}
    for _ in range(40):  # 2 s: the longest wait between two tries is one
        member.tick()
    assert member.store.registers.full_vote and member.state.votes
    assert {"from n2", "from n3"} <= member.keys_after_restart()


@pytest.mark.parametrize("place", range(1, 8))
async def test_a_store_that_others_know_by_a_newer_one_outlasts_each_single_refusal(place):
    member = Member()
    member.refuse(place)
    newer = member.store.registers.store + 5
    member.store.met("n2", 1, newer)
    for _ in range(10):
        member.host.now += 50.0
        member.store.usable(member.host.now)
    assert member.store.registers.store == member.store.folder.state.incarnation == newer + 1
    assert not member.store.folder.state.votes
