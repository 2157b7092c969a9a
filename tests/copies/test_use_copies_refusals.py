"""Copies of ledgers stay in step with their disk while that refuses.

What happened: disks of a fleet refused 300 of 1,000 writes for 5 s. Links between members ended 37 to 280 times a play,
and some ledgers were never whole again.

Sequence: a member is asked to copy a ledger, and its disk refuses the folder. The state machine goes on with a copy
that has no folder; the next piece of the ledger finds no entry in the table, and the exception ends the link.

Cause: what the state machine knows of a copy (`HeldLogs.table`) and what stands on the disk (`UseCopies.replicas`)
were changed one after the other, and a refusal between left the first alone. An epoch that was promised in memory, and
refused by the disk, was granted at the next question without being kept.

What settled it: `KeyError: ('n3', ...)` of `_held`, 129 times in one play, each followed by "peers.link_down".
"""

from __future__ import annotations

import errno
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from storage.sim_files import SimFiles
from usage.test_ledger_stops import BEGIN, FOLDER, Life

from flintshift.copies import logs
from flintshift.copies.log_holders import HolderPace
from flintshift.copies.log_writer import LogWriter, State
from flintshift.copies.placement import Placement
from flintshift.core.counters import Counters
from flintshift.lifecycle.held_copies import HeldCopies
from flintshift.lifecycle.use_copies import AGAIN_MS, UseCopies
from flintshift.settings.options import CopiesOptions, UsageOptions
from flintshift.usage import replica as on_disk
from flintshift.usage.book import Book
from flintshift.usage.folder import load
from flintshift.usage.records import Opened, Turned, pack

LOG = "n1", b"l" * 16
WRITER = "n1#1"
EPOCH = 5
OPENED = pack(Opened("n1", LOG[1], 1000, ["a"], ["look"], 1_000_000))
TURNED = pack(Turned(1_000_000, 1000))


def whole():
    """All that a copy needs to hold the ledger's first record."""
    book = Book()
    book.apply(1, EPOCH, Opened("n1", LOG[1], 1000, ["a"], ["look"], 1_000_000))
    book.state.sequence = 1
    return msgspec.msgpack.encode(on_disk.Whole(book.dump(), [], []))


class Holder:
    """A member that copies the ledger of n1, on a disk that can be made to refuse."""

    def __init__(self, files=None, restore=True, name="n2", folder=Path("/srv/usage")):
        self.files, self.answers, self.logged, self.now = files or SimFiles(), [], [], 0.0
        self.lives = True
        placement = Placement({"n1": "a", "n2": "b", "n3": "c"}, 3)
        held = HeldCopies(
            name,
            f"{name}#1",
            placement,
            CopiesOptions(Path("/srv/copies"), 3, "process-death", 1000, 1 << 20, 1 << 20, 1000.0),
            self.files,
            "boot",
            lambda runner: self.lives,
            lambda: self.now,
            lambda member, word: self.answers.append(word),
            lambda to, word: self.answers.append(word),
            Counters(),
            lambda level, event, **more: self.logged.append(event),
        )
        usage = UsageOptions(folder, 1000, 0, "process-death", 50.0, "serve", 1 << 20, 10**9, None)
        self.copies = UseCopies(name, placement, usage, held)
        if restore:
            held.restore()

    def asked(self, word):
        """The last answer to it; None: there was none."""
        self.answers.clear()
        self.copies.asked(WRITER, word)
        return self.answers[-1] if self.answers else None

    def in_step(self):
        """The state machine and the table name the same copies, and agree on what they promised and hold."""
        table = self.copies.holder.held_logs.table
        assert set(table) == set(self.copies.holder.replicas)
        for log, held in table.items():
            replica = self.copies.holder.replicas[log]
            assert (held.promised, held.by, held.over) == (
                replica.state.promised,
                replica.state.by,
                replica.state.over,
            )
            if held.sure:
                assert held.last == replica.last

    def life(self):
        """A copy's whole life: joined, filled, written, noted, promised anew, over; and again what was refused."""
        yield logs.Join(LOG, EPOCH, (EPOCH, 1))
        yield logs.Part(LOG, EPOCH, (EPOCH, 1), 0, False, whole())
        yield logs.Append(LOG, EPOCH, 2, (TURNED,))
        yield logs.Exported(LOG, "folder", "n1.e5.20260101T000000.000Z.r0.usage", b"d" * 32)
        yield logs.Join(LOG, EPOCH + 1, (EPOCH, 2))
        yield logs.Over(LOG, EPOCH + 1)


def operations_of_a_life():
    holder = Holder()
    begun = holder.files.operation_count
    for word in holder.life():
        holder.asked(word)
    return holder.files.operation_count - begun


@pytest.mark.parametrize("place", range(1, operations_of_a_life() + 1))
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=["full", "io"])
def test_each_single_refusal_leaves_state_and_disk_in_step(place, error):
    holder = Holder()
    holder.files.failures = {holder.files.operation_count + place: error}
    for word in holder.life():
        holder.asked(word)
        holder.in_step()
    holder.files.failures = {}
    again = Holder(holder.files.after_crash("kept"))  # what stands is opened again
    again.in_step()


@pytest.mark.parametrize("place", range(1, operations_of_a_life() + 1))
def test_after_each_single_refusal_the_writer_gets_the_copy_whole(place):
    holder = Holder()
    holder.files.failures = {holder.files.operation_count + place: errno.EIO}
    steps = list(holder.life())[:3]
    for word in steps:
        holder.asked(word)
    holder.files.failures = {}
    joined = holder.asked(logs.Join(LOG, EPOCH, (EPOCH, 2)))
    if joined.word is logs.Word.NO_VOTE:  # it is asked again
        joined = holder.asked(logs.Join(LOG, EPOCH, (EPOCH, 2)))
    assert joined.word is logs.Word.GRANTED
    if joined.last != (EPOCH, 2):
        holder.asked(logs.Part(LOG, EPOCH, (EPOCH, 1), 0, False, whole()))
        holder.asked(logs.Append(LOG, EPOCH, 2, (TURNED,)))
    holder.in_step()
    held = holder.copies.holder.held_logs.table[LOG]
    assert held.sure and held.last == (EPOCH, 2)


def test_a_promise_that_the_disk_refused_is_not_given_at_the_next_question():
    holder = Holder()
    for word in list(holder.life())[:3]:
        holder.asked(word)
    holder.files.failures = {holder.files.operation_count + place: errno.EIO for place in range(1, 1000)}
    raised = logs.Join(LOG, EPOCH + 1, (EPOCH, 2))
    assert holder.asked(raised) is None
    assert holder.asked(raised) is None  # nothing was kept of it
    holder.files.failures = {}
    assert holder.asked(raised).word is logs.Word.GRANTED
    state = dict(on_disk.stands(holder.files, holder.copies.holder.folder)).popitem()[1]
    assert (state.promised, state.by) == (EPOCH + 1, WRITER)


def test_a_copy_whose_folder_cannot_be_made_is_not_held_and_is_asked_for_again():
    holder = Holder()
    holder.files.failures = {holder.files.operation_count + place: errno.ENOSPC for place in range(1, 1000)}
    assert holder.asked(logs.Join(LOG, EPOCH, (EPOCH, 1))) is None
    assert holder.copies.holder.held_logs.table == {} and holder.copies.holder.replicas == {}
    assert holder.asked(logs.Append(LOG, EPOCH, 2, (TURNED,))).word is logs.Word.NO_VOTE
    holder.files.failures = {}
    assert holder.asked(logs.Join(LOG, EPOCH, (EPOCH, 1))).word is logs.Word.GRANTED


def test_a_start_that_the_disk_refused_half_way_opens_its_copies_at_the_next_try():
    holder = Holder()
    for word in list(holder.life())[:3]:
        holder.asked(word)
    holder.copies.close()
    files = holder.files
    operations = files.operation_count
    Holder(files).copies.close()
    for place in range(1, files.operation_count - operations + 1):
        files.failures = {files.operation_count + place: errno.EIO}
        try:
            again = Holder(files)
        except OSError:
            files.failures = {}
            again = Holder(files)  # as a start does: the first try must hold nothing
        files.failures = {}
        again.in_step()
        assert again.copies.holder.held_logs.table[LOG].last == (EPOCH, 2)
        again.copies.close()


@pytest.mark.parametrize("refused", [1, 1000], ids=["a record", "a record and what repairs it"])
def test_a_writer_hears_that_records_were_refused_though_it_writes_no_more(refused):
    """A ledger was not whole 30 s after its last record: its copy had refused that, said nothing, and its writer took
    it for one that follows."""
    holder = Holder()
    for word in list(holder.life())[:2]:
        holder.asked(word)
    holder.files.failures = {holder.files.operation_count + place: errno.EIO for place in range(1, 1000)}
    assert holder.asked(logs.Append(LOG, EPOCH, 2, (TURNED,))) is None
    if refused == 1:
        holder.files.failures = {}
    told = []
    for _ in range(40):  # 2 s
        holder.now += 50.0
        holder.answers.clear()
        holder.copies.tick()
        told += [one for one in holder.answers if isinstance(one, logs.At)]
    assert [(one.word, one.epoch) for one in told] == [(logs.Word.GAP, EPOCH)]
    writer = LogWriter(LOG, EPOCH, (EPOCH, 2), ("n2", "n3"), 1, 250.0, None)
    writer.copies["n2"].up, writer.copies["n2"].state = True, State.FOLLOWING
    assert writer.told(holder.now, "n2", told[0]) == [logs.WholeWanted("n2")]


@pytest.mark.parametrize("count", [1, 2, 3, 5, 1000])
def test_a_takeover_whose_first_record_was_refused_goes_on_once_the_disk_takes_it(count):
    """A ledger that was taken over while the disk refused had no copies for ever: nobody was asked to follow."""
    holder = Holder()
    for word in list(holder.life())[:3]:
        holder.asked(word)
    holder.copies.reach("n3", True)
    holder.lives = False
    asked = []
    while not asked:
        holder.now += 50.0
        holder.answers.clear()
        holder.copies.tick()
        asked = [one for one in holder.answers if isinstance(one, logs.Join) and one.takes]
    holder.answers.clear()
    holder.files.failures = {holder.files.operation_count + place: errno.ENOSPC for place in range(1, count + 1)}
    holder.copies.answered("n3", logs.At(LOG, logs.Word.GRANTED, asked[0].epoch, (EPOCH, 2)))
    holder.now += 50.0
    holder.copies.tick()
    holder.files.failures = {}
    for _ in range(10):
        holder.now += 50.0
        holder.copies.tick()
    joins = [one for one in holder.answers if isinstance(one, logs.Join) and not one.takes]
    assert {one.epoch for one in joins} == {asked[0].epoch}
    taken = holder.copies.taken.table[LOG]
    assert taken.writer.last == taken.replica.last
    assert taken.writer.last[0] == asked[0].epoch
    assert not taken.replica.ledger.book.state.periods  # what was open is closed
    assert taken.replica.ledger.book.state.epoch == asked[0].epoch


@pytest.mark.parametrize("count", [1, 2, 3, 1000])
def test_the_end_of_a_ledger_that_the_disk_refused_is_kept_once_it_takes_it(count):
    """Whoever took the ledger over tells its end once; the copy stood on, as its writer lives."""
    holder = Holder()
    *words, over = list(holder.life())
    for word in words:
        holder.asked(word)
    holder.files.failures = {holder.files.operation_count + place: errno.ENOSPC for place in range(1, count + 1)}
    holder.asked(over)
    holder.in_step()
    holder.files.failures = {}
    for _ in range(20):  # 1 s
        holder.now += 50.0
        holder.copies.tick()
    holder.in_step()
    assert holder.copies.holder.held_logs.table[LOG].over
    assert Holder(holder.files.after_crash("kept")).copies.holder.held_logs.table[LOG].over


def test_a_refused_word_on_one_ledger_does_not_stop_those_on_another():
    """With no room for a further ledger, one that is over is dropped first: its refusal left the new one half made."""
    holder = Holder()
    for word in holder.life():
        holder.asked(word)
    holder.copies.holder.held_logs.pace = HolderPace(logs=1)
    holder.files.failures = {holder.files.operation_count + 1: errno.EIO}
    other = "n1", b"m" * 16
    joined = holder.asked(logs.Join(other, EPOCH, (EPOCH, 1)))
    holder.in_step()
    assert joined.word is logs.Word.GRANTED


@pytest.mark.anyio
@pytest.mark.parametrize("count", [1, 3, 6, 1000])
async def test_a_ledger_that_another_has_begins_anew_once_the_disk_takes_it(count):
    """The refusal was raised to the link that had brought the word, and the ledger was written no more."""
    life = Life(SimFiles(), BEGIN)
    ledger = life.ledger
    holder = Holder(life.files, name="n1", folder=FOLDER)
    holder.copies.write(ledger)
    before = ledger.book.state.life
    life.files.failures = {life.files.operation_count + place: errno.ENOSPC for place in range(1, count + 1)}
    writer = holder.copies.writer
    holder.copies.reach("n2", True)
    holder.copies.answered("n2", logs.At(writer.log, logs.Word.AHEAD, writer.epoch, (writer.epoch + 1, 9)))
    life.files.failures = {}
    for _ in range(3):
        holder.now += 50.0
        holder.copies.tick()
    assert ledger.book.state.life not in (b"", before)
    assert holder.copies.writer.log == ("n1", ledger.book.state.life)
    assert load(life.files, FOLDER)[0].state.life == ledger.book.state.life


@pytest.mark.anyio
async def test_a_copy_whose_sync_failed_stays_unsure_through_a_later_refusal():
    """What was written before a failed sync may be gone after a power cut, however well it can be read until then."""
    holder = Holder()
    holder.copies.holder.options = replace(holder.copies.holder.options, durability="power-cut")
    joined, filled, written, _, promised, _ = holder.life()
    for word in (joined, filled, written):
        holder.asked(word)
    held = holder.copies.holder.held_logs
    assert held.table[LOG].sure
    holder.files.failures[holder.files.operation_count + 1] = errno.EIO
    await holder.copies.holder.sync()
    assert not held.table[LOG].sure
    holder.files.failures[holder.files.operation_count + 1] = errno.EIO
    holder.asked(promised)
    assert not held.table[LOG].sure
    holder.copies.asked(WRITER, logs.Join(LOG, EPOCH + 1, (EPOCH, 2)))
    holder.copies.asked(WRITER, logs.Part(LOG, EPOCH + 1, (EPOCH + 1, 1), 0, False, whole()))
    assert held.table[LOG].sure  # filled anew
    holder.files.failures[holder.files.operation_count + 1] = errno.EIO
    holder.asked(logs.Join(LOG, EPOCH + 2, (EPOCH + 1, 1)))
    assert held.table[LOG].sure  # and stays so


def test_a_copy_that_could_not_be_read_is_looked_at_again_and_counts_as_before():
    holder = Holder()
    joined, filled, written, _, _, _ = holder.life()
    for word in (joined, filled):
        holder.asked(word)
    table, recovered = holder.copies.holder.held_logs.table, holder.copies.holder._recovered
    holder.copies.holder._recovered = lambda log, replica: False
    # the write and its retries
    holder.files.failures |= {holder.files.operation_count + step: errno.EIO for step in range(1, 9)}
    holder.asked(written)
    assert not table[LOG].known and not table[LOG].sure
    holder.copies.holder._recovered = recovered
    holder.now += AGAIN_MS
    holder.copies.tick()
    assert table[LOG].known and table[LOG].sure and table[LOG].last == (EPOCH, 1)


@pytest.mark.parametrize("refused", [1, 2], ids=["the sync", "and the word of it"])
@pytest.mark.anyio
async def test_a_copy_whose_sync_failed_is_unsure_in_the_next_process_too(refused):
    """The pages of a failed sync are taken for written: they can be read until a power cut, and are gone after it."""
    holder = Holder()
    holder.copies.holder.options = replace(holder.copies.holder.options, durability="power-cut")
    joined, filled, written, *_ = holder.life()
    for word in (joined, filled, written):
        holder.asked(word)
    holder.files.failures |= {holder.files.operation_count + step: errno.EIO for step in range(1, refused + 1)}
    await holder.copies.holder.sync()
    holder.copies.close()
    again = Holder(holder.files.after_crash("kept"))
    assert not again.copies.holder.held_logs.table[LOG].sure


def test_a_copy_that_cant_be_read_is_told_once_and_shown():
    holder = Holder()
    joined, filled, written, *_ = holder.life()
    for word in (joined, filled):
        holder.asked(word)
    replica = holder.copies.holder.replicas[LOG]

    def unreadable():
        raise OSError(errno.EIO, "refused here")

    replica.recover = unreadable
    replica.ledger.log.broken, replica.ledger.log.append_failed = True, False
    holder.files.failures |= {holder.files.operation_count + step: errno.EIO for step in range(1, 9)}
    holder.asked(written)
    for _ in range(3):
        holder.now += AGAIN_MS
        holder.copies.tick()
    assert holder.logged.count("usage.copy_unreadable") == 1
    ((shown,),) = ([one for one in holder.copies.shown() if one["role"] == "copies"],)
    assert shown["readable"] is False
