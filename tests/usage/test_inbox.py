"""Corrections in the inbox of a ledger of which other members hold replicas."""

from __future__ import annotations

import json
import threading

import pytest
from storage.sim_files import SimFiles
from usage.test_ledger_stops import CLASSES, CLUBS, FOLDER, START_MS, SimulatedLedger

from flintshift.storage.snapshot import publish
from flintshift.usage import corrections
from flintshift.usage.corrections import to_json
from flintshift.usage.folder import LedgerFolder
from flintshift.usage.messages import CorrectionRequested

pytestmark = pytest.mark.anyio

SERVED = 3  # requests in the first period


class Replicas:
    """The replicas of the ledger; the test says what they have granted and hold."""

    replicated_through, in_gap = float("inf"), False

    def __init__(self):
        self.elected, self.replicated_sequence = True, 10**9

    def is_replicated(self, sequence):
        return sequence <= self.replicated_sequence

    def on_written(self, first, items, answers):
        pass


@pytest.fixture
async def simulated():
    """A ledger with a few requests in its open period."""
    simulated = SimulatedLedger(SimFiles(), START_MS, durability="process-death")
    simulated.ledger.replication = Replicas()
    await simulated.answer(*range(SERVED))
    return simulated


def submit(simulated, id_, requests=1):
    """Put a correction of the first period into the inbox."""
    amounts = (requests, 0, 0, 0, 0, 0, 0)
    request = CorrectionRequested(id_, "jo", "counted", START_MS, CLUBS[0], CLASSES[0], "http", "served", amounts)
    publish(simulated.files, FOLDER / "inbox" / f"{id_}.json", to_json(request))


def waiting(simulated):
    return simulated.files.names(FOLDER / "inbox")


def reply(simulated, id_):
    return json.loads(simulated.files.read(FOLDER / "replies" / f"{id_}.json"))


def begin_new_ledger(simulated):
    """Go on as after a takeover: the ledger is set aside, and another one begins in a later period."""
    simulated.at_ms += 5000
    simulated.ledger.folder.set_aside()
    folder = LedgerFolder(simulated.files, FOLDER)
    folder.open("n1", b"m" * 16, 1000, CLUBS, CLASSES, simulated.at_ms)
    simulated.ledger.switch_folder(folder)


async def test_a_correction_waits_until_the_ledger_is_elected(simulated):
    """Guards against a correction that is written to a ledger which another member has taken over."""
    simulated.ledger.replication.elected = False
    submit(simulated, "c1")
    before = simulated.ledger.accounts.state.sequence
    await simulated.ledger.inbox.process()
    assert waiting(simulated) == ["c1.json"] and simulated.ledger.accounts.state.sequence == before
    simulated.ledger.replication.elected = True
    await simulated.ledger.inbox.process()
    assert waiting(simulated) == [] and reply(simulated, "c1")["taken"]


async def test_a_correction_is_replied_to_once_a_majority_has_it_and_written_once(simulated):
    """Guards against a reply for a correction that is lost when another member takes the ledger over."""
    simulated.ledger.replication.replicated_sequence = simulated.ledger.accounts.state.sequence
    submit(simulated, "c1")
    for _ in range(3):
        await simulated.ledger.inbox.process()
    written = simulated.ledger.accounts.state.sequence
    assert waiting(simulated) == ["c1.json"] and simulated.files.names(FOLDER / "replies") == []
    simulated.ledger.replication.replicated_sequence = written
    await simulated.ledger.inbox.process()
    assert waiting(simulated) == [] and "which is open" in reply(simulated, "c1")["text"]
    assert simulated.ledger.accounts.state.sequence == written


async def test_a_correction_without_a_majority_goes_to_the_ledger_that_begins_after_a_takeover(simulated):
    simulated.ledger.replication.replicated_sequence = simulated.ledger.accounts.state.sequence
    submit(simulated, "c1")
    await simulated.ledger.inbox.process()
    begin_new_ledger(simulated)
    simulated.ledger.replication.replicated_sequence = 10**9
    await simulated.ledger.inbox.process()
    assert waiting(simulated) == [] and "revision 1" in reply(simulated, "c1")["text"]
    (document,) = simulated.ledger.accounts.state.documents
    assert document.name.endswith(".r1.usage")


async def test_corrections_of_a_period_of_an_earlier_ledger_are_checked_against_its_total_and_each_other(simulated):
    begin_new_ledger(simulated)
    for id_, requests, taken in (("c1", -2, True), ("c2", -2, False), ("c3", -1, True), ("c4", -1, False)):
        submit(simulated, id_, requests)
        await simulated.ledger.inbox.process()
        assert reply(simulated, id_)["taken"] is taken, id_


async def test_an_earlier_ledger_is_read_in_a_thread(simulated, monkeypatch):
    """Guards against a node that stands still while it reads a whole earlier ledger for a correction."""
    threads, load = [], corrections.load

    def load_and_record(*arguments):
        threads.append(threading.get_ident())
        return load(*arguments)

    monkeypatch.setattr(corrections, "load", load_and_record)
    begin_new_ledger(simulated)
    submit(simulated, "c1")
    await simulated.ledger.inbox.process()
    assert reply(simulated, "c1")["taken"] and threads and threading.get_ident() not in threads
