"""The ledger stopped before and after each single disk operation, and refused at each one.

Every request carries its own power of two as its bytes in, so that the sum over rows tells which were booked.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
import time
from dataclasses import replace
from functools import partial
from pathlib import Path

import pytest
import uvloop
from storage.sim_files import SimFiles, StoppedError

from flintshift.proto import usage_pb2 as pb
from flintshift.storage.commit import CommitLimits, OperationFailed
from flintshift.storage.snapshot import DamagedError, publish
from flintshift.usage import documents
from flintshift.usage.corrections import to_json
from flintshift.usage.folder import LedgerFolder, load, read_documents, retire
from flintshift.usage.ledger import Ledger
from flintshift.usage.messages import CorrectionAsked, Delivered, Tick
from flintshift.usage.periods import LedgerClock
from flintshift.usage.reconcile import check
from flintshift.usage.records import FINAL, GONE, OUTCOMES, row_number
from flintshift.usage.sinks import FolderSink

FOLDER, OUT = Path("/u"), Path("/out")
CLUBS, CLASSES = ["a", "b"], ["look", "pay"]
ROW = row_number(0, 0, 2, 0, 0)
BEGIN = 1_000_000


class Life:
    """One life of a ledger on a simulated disk and clock; its tasks are stepped by hand."""

    def __init__(self, files, at_ms, durability="power-cut", refuse=False, steady_ms=None, **limits):
        self.files, self.at_ms = files, at_ms
        holder = LedgerFolder(files, FOLDER)
        holder.open("n1", b"l" * 16, 1000, CLUBS, CLASSES, at_ms)
        steady_ms = steady_ms or (lambda: self.at_ms)
        clock = LedgerClock(at_ms, steady_ms(), holder.book.state.last_ms)
        self.told = []
        told = CommitLimits(
            **{"hold_answers": durability == "power-cut", "sync_ms": 0.0, "segment_bytes": 300, **limits}
        )
        self.ledger = Ledger(
            holder,
            100,
            told,
            refuse,
            0.0,
            ["folder"],
            clock,
            lambda: self.at_ms,
            steady_ms,
            lambda level, event, **more: self.told.append((event, more)),
        )
        self.ledger.due = self.ledger.marking = True  # flushed by hand alone
        self.delivered = set()

    async def flush(self):
        while self.ledger.commit.writes_blocked:
            await self.ledger.work()
        self.ledger._flush()
        self.ledger.due = True

    async def tick(self):
        await self.ledger.work()
        await self.ledger.tick()
        while self.ledger.operation is not None:
            await self.ledger.work()
        await self.flush()

    async def answer(self, *numbers, final=False):
        """Claims of one turn; those whose answers left are marked."""
        if self.ledger.turn_ms == 0:
            self.ledger._tell(Tick())
        tickets = {}
        for number in numbers:
            row, flags = (ROW + GONE, FINAL) if final else (ROW, 0)
            deliver = None if final else partial(self.delivered.add, number)
            tickets[number] = self.ledger.claim(number.to_bytes(8, "big"), row, flags, 10, 1, 1 << number, 5, deliver)
        await self.flush()
        if self.ledger.commit.limits.hold_answers:
            await self.ledger._synced()
        for number, ticket in tickets.items():
            if not final and number in self.delivered:
                self.ledger.mark(ticket, True)
        await self.flush()

    async def export(self):
        """What the exporter does, without its waits."""
        self.files.make_folder(FOLDER / "acks" / "folder")
        sink = FolderSink(self.files, OUT)
        taken = set(self.files.names(FOLDER / "acks" / "folder"))
        for name in read_documents(self.files, FOLDER):
            if name not in taken:
                data = self.files.read(FOLDER / "documents" / name)
                assert sink.put(name, data, 1) == Delivered("folder", name)
                publish(self.files, FOLDER / "acks" / "folder" / name, documents.digest_of(data).hex().encode())


async def script(files, lives):
    """Two periods of use with a correction, a roll, a close, an export and a clean end."""
    life = Life(files, BEGIN)
    lives.append(life)
    await life.answer(1, 2)
    await life.answer(3, final=True)
    life.at_ms += 1000
    await life.answer(4)
    life.at_ms += 200
    await life.tick()  # closes the first period, publishes it; the segment is full: a new one
    await life.export()
    asked = CorrectionAsked(
        "c1", "op", "a wrong count", BEGIN, "b", "look", "http", "served", (1, 0, 0, 0, 0, 1 << 40, 0)
    )
    life.ledger.correct(to_json(asked))
    await life.tick()
    await life.answer(5, 6)
    await life.export()
    life.at_ms += 2000
    await life.tick()
    retire(files, FOLDER, ["folder"], 0.0, life.at_ms, life.ledger.book.state.closed_to)
    await life.ledger.close()


def run(files):
    lives = []
    try:
        asyncio.run(script(files, lives))
    except (StoppedError, BaseExceptionGroup):
        assert files.stopped
    return lives[0] if lives else None


def booked_and_doubted(files):
    book, _, _ = load(files, FOLDER)
    total, doubted = 0, []
    for found in read_documents(files, FOLDER).values():
        total += sum(row.amounts.bytes_in for row in found.rows)
        doubted += [int.from_bytes(entry.id, "big") for entry in found.in_doubt]
    standing = set(read_documents(files, FOLDER))
    for made in book.state.documents:
        if made.name not in standing:
            found = documents.read(made.data)
            total += sum(row.amounts.bytes_in for row in found.rows)
            doubted += [int.from_bytes(entry.id, "big") for entry in found.in_doubt]
    total += sum(row[5] for rows in book.totals().values() for row in rows.values())
    for period in book.state.periods.values():
        doubted += [int.from_bytes(id_, "big") for id_, _, _ in period.doubted]
    return {number for number in range(63) if total >> number & 1}, doubted


def out_documents(files):
    names = [name for name in files.names(OUT) if documents.NAME.fullmatch(name)]
    return {name: documents.read(files.read(OUT / name)) for name in names}


async def settle(files, at_ms):
    """The next life: recovers, closes all that was open, exports, and ends."""
    life = Life(files, at_ms)
    life.at_ms += 5000
    await life.tick()
    await life.tick()
    await life.export()
    before = booked_and_doubted(files)
    await life.ledger.close()
    return before


def verify(left, life, claimed=frozenset(range(1, 7)) | {40}):
    delivered = life.delivered if life is not None else set()
    kept = {name: found.SerializeToString(deterministic=True) for name, found in out_documents(left).items()}
    asyncio.run(settle(left, BEGIN + 10_000))
    exported = out_documents(left)
    for name, data in kept.items():  # what was exported is never changed
        assert exported[name].SerializeToString(deterministic=True) == data
    total = sum(row.amounts.bytes_in for found in exported.values() for row in found.rows)
    booked = {number for number in range(63) if total >> number & 1}
    doubted = [int.from_bytes(entry.id, "big") for found in exported.values() for entry in found.in_doubt]
    assert total == sum(1 << number for number in booked)  # each once
    assert booked <= claimed and not booked & set(doubted) and len(doubted) == len(set(doubted))
    assert delivered <= booked | set(doubted)  # never silently either way: what left is booked or in doubt,
    assert booked - {3, 40} <= delivered  # and nothing is billed that did not leave (3 had no answer, 40 corrects)
    assert check((name, data.SerializeToString(deterministic=True), data) for name, data in exported.items()) == []
    return booked


def test_the_script_without_a_stop_books_all():
    files = SimFiles()
    life = run(files)
    assert life.delivered == {1, 2, 4, 5, 6}
    kinds = {what for what, _ in files.operations}
    assert kinds == {"create", "append", "sync", "sync_folder", "rename", "link", "remove"}
    assert verify(files, life) == {1, 2, 3, 4, 5, 6, 40}


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("how", ["lost", "kept", "truncated", "zeros"])
def test_a_stop_at_every_operation(how, after):
    count = SimFiles()
    run(count)
    assert count.operation_count > 60
    for stop_at in range(1, count.operation_count + 1):
        files = SimFiles(stop_at, after)
        life = run(files)
        verify(files.after_crash(how), life)


def test_a_second_stop_at_every_operation_of_the_recovery():
    """A death in the first life at some operations, and in the second at every one."""
    for first in range(10, 80, 9):
        count = None
        for second in range(1, 200):
            files = SimFiles(first, True)
            life = run(files)
            left = files.after_crash("truncated")
            left.stop_at = second
            try:
                asyncio.run(settle(left, BEGIN + 10_000))
                count = left.operation_count
            except (StoppedError, BaseExceptionGroup):
                assert left.stopped
            verify(left.after_crash("lost"), life)
            if count is not None:
                break
        assert count is not None


@pytest.mark.parametrize("refuse", [False, True], ids=["serve", "refuse"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("stretch", [1, 12])
def test_a_refusal_at_every_operation_answers_all_and_loses_nothing(error, stretch, refuse):
    """The disk refuses one operation or many in a row, then works again: every answer left, and all is booked."""

    async def work(files, at):
        life = Life(files, BEGIN, refuse=refuse)
        files.failures = dict.fromkeys(range(at, at + stretch), error)
        files.operation_count = 0
        refused = False
        for number in range(1, 7):
            await life.answer(number)
            refused |= life.ledger.refusing
            life.at_ms += 400
            await life.tick()
        files.failures = {}
        for _ in range(4):  # the disk is back
            life.at_ms += 1500
            await life.tick()
        assert life.ledger.commit.gap is None and not life.ledger.refusing
        await life.ledger.close()
        return life, refused

    ever = False
    for at in range(1, 45, 1 if stretch == 1 else 3):
        files = SimFiles()
        life, refused = asyncio.run(work(files, at))
        assert life.delivered == {1, 2, 3, 4, 5, 6}
        gaps = [more for event, more in life.told if event == "usage.disk_refused"]
        assert refuse or not refused
        ever |= refused
        assert verify(files, life) == {1, 2, 3, 4, 5, 6}
        if gaps:  # and told
            assert sum(len(found.gaps) for found in read_documents(files, FOLDER).values()) == len(gaps)
    assert ever == refuse


async def eight(files, lives):
    life = Life(files, BEGIN, "process-death")
    lives.append(life)
    for number in range(1, 9):
        await life.answer(number)
        life.at_ms += 300
        await life.tick()


def test_with_process_death_alone_a_lost_tail_invents_nothing():
    for how in ("lost", "truncated", "zeros"):
        for stop_at in range(8, 70, 3):
            files = SimFiles(stop_at, True)
            lives = []
            with contextlib.suppress(StoppedError, BaseExceptionGroup):
                asyncio.run(eight(files, lives))
            life = Life(files.after_crash(how), BEGIN + 10_000)
            booked, doubted = booked_and_doubted(life.files)
            assert booked | set(doubted) <= set(range(1, 9))
            life = Life(files.after_crash("kept"), BEGIN + 10_000)
            booked, doubted = booked_and_doubted(life.files)
            assert (lives[0].delivered if lives else set()) <= booked | set(doubted)


def test_two_ledgers_on_one_folder_are_refused():
    files = SimFiles()
    Life(files, BEGIN)
    with pytest.raises(Exception, match="another process works"):
        Life(files, BEGIN)


def test_a_document_of_an_unknown_schema_is_refused_by_name():
    with pytest.raises(documents.DocumentError, match="is of schema 9; this program reads schema 1"):
        documents.read(pb.UsageDocument(schema=9).SerializeToString())
    assert OUTCOMES[GONE] == "gone"


def test_a_change_of_every_byte_and_a_cut_at_every_offset_of_a_ledger():
    """Every file that recovery reads: a changed byte stops it, or an older snapshot makes the same book; a cut of the
    last segment loses only what was cut; nothing is ever invented."""
    files = SimFiles()
    run(files)
    whole = load(files, FOLDER)[0].state
    read_ = [path for path in files.current_files if path.parent.name in ("log", "snapshots") and path.suffix != ".new"]
    assert len(read_) >= 3
    stopped = 0
    for path in read_:
        data = bytes(files.current_files[path].data)
        for offset in range(len(data)):
            files.current_files[path].data[offset] ^= 0x41
            try:
                assert load(files, FOLDER)[0].state == whole
            except DamagedError:
                stopped += 1
            files.current_files[path].data[:] = data
    assert stopped > 30
    path = max(path for path in read_ if path.parent.name == "log")
    data, last = bytes(files.current_files[path].data), 0
    for size in range(len(data) + 1):
        files.current_files[path].data[:] = data[:size]
        state = load(files, FOLDER)[0].state
        assert last <= state.sequence <= whole.sequence
        last = state.sequence
    assert last == whole.sequence


def test_a_folder_that_cannot_be_listed_for_a_while_ends_nothing():
    async def work():
        files = SimFiles()
        life, names = Life(files, BEGIN), files.names

        def refused(folder):
            raise OSError(errno.EIO, "refused here")

        files.names = refused
        await life.tick()
        await life.answer(1)
        files.names = names
        await life.tick()
        await life.ledger.close()
        return files, life

    files, life = asyncio.run(work())
    assert life.delivered == verify(files, life) == {1}


class Hanging(SimFiles):
    """A disk on which syncs of the log hang while ``gate`` is shut."""

    def __init__(self):
        super().__init__()
        self.gate = threading.Event()
        self.gate.set()

    def run_operation(self, what, path, do=lambda: None, partial=lambda: None):
        if what == "sync" and path.suffix == ".log":
            self.gate.wait(20)
        return super().run_operation(what, path, do, partial)


@pytest.mark.parametrize("at", ["sync", "segment", "reopen"])
def test_a_disk_that_hangs_holds_no_answer_past_its_bound_and_loses_nothing(at):
    """In a sync, in a new segment, and in the try to come back from a gap."""

    async def work():
        files, began = Hanging(), time.monotonic()
        life = Life(
            files,
            BEGIN,
            steady_ms=lambda: (time.monotonic() - began) * 1000,
            max_wait_ms=50.0,
            reopen_interval_ms=50.0,
            segment_bytes=1 << 30,
        )
        ledger = life.ledger
        ledger.due = ledger.marking = False  # flushed by itself
        async with asyncio.TaskGroup() as tasks:
            running = tasks.create_task(ledger.run())
            await asyncio.sleep(0.05)
            tickets = {}

            def claim(number):
                tickets[number] = ledger.claim(
                    number.to_bytes(8, "big"), ROW, 0, 10, 1, 1 << number, 5, lambda: life.delivered.add(number)
                )

            async def answered(number):
                async with asyncio.timeout(5):
                    while number not in life.delivered:
                        await asyncio.sleep(0.005)
                ledger.mark(tickets[number], True)

            claim(1)
            await answered(1)
            if at == "reopen":
                ledger._do(ledger.commit.handle(ledger.steady_ms(), OperationFailed("refused here", write=True)))
            files.gate.clear()
            if at == "segment":
                ledger.commit.limits = replace(ledger.commit.limits, segment_bytes=1)  # the next write begins one
            for number in range(2, 7):
                claim(number)
                await answered(number)  # while the disk hangs
            assert ledger.commit.gap is not None
            ledger.commit.limits = replace(ledger.commit.limits, segment_bytes=1 << 30)
            files.gate.set()
            async with asyncio.timeout(10):
                while ledger.commit.gap is not None:
                    await asyncio.sleep(0.02)
            claim(7)
            await answered(7)
            await asyncio.sleep(0.05)
            running.cancel()
        await ledger.close()
        return files, life

    files, life = asyncio.run(work())
    assert verify(files, life, frozenset(range(1, 8))) == set(range(1, 8))


def test_nothing_is_written_while_a_segment_is_begun():
    """A document ends up in its file, a clock steps and a correction comes just then: all wait for the segment."""

    async def work():
        files = Hanging()
        life = Life(files, BEGIN, "process-death", segment_bytes=1 << 30)
        ledger = life.ledger
        await life.answer(1)
        life.at_ms += 2000
        ledger._tell(Tick())  # the period closes: its document waits to be written
        assert ledger.book.state.documents
        await ledger._synced()
        documents_written = asyncio.Event()

        async def slowly():
            return documents_written.set() or True

        ledger._synced = slowly
        ledger.commit.limits = replace(ledger.commit.limits, segment_bytes=1)
        await life.ledger.work()
        ledger._do(ledger.commit.on_write(life.at_ms, ledger.book.state.sequence, ledger.folder.log.size, 0))
        assert ledger.commit.writes_blocked
        files.gate.clear()
        beginning = asyncio.create_task(ledger.work())
        await asyncio.sleep(0.05)  # it hangs
        sequence = ledger.book.state.sequence
        tasks = [asyncio.create_task(ledger._documents()), asyncio.create_task(ledger.tick())]
        ledger.steps.append(7000)
        ledger._now()
        await asyncio.sleep(0.1)
        assert ledger.book.state.sequence == sequence and ledger.steps == [7000]
        files.gate.set()
        await beginning
        await asyncio.gather(*tasks)
        ledger._now()
        assert ledger.steps == []
        await life.answer(2)
        await ledger.close()
        return files, life

    files, life = asyncio.run(work())
    assert verify(files, life) == {1, 2}
    assert [step.by_ms for found in out_documents(files).values() for step in found.steps] == [7000]


def test_a_wait_that_is_due_now_is_woken_on_the_loop_that_the_node_runs_on():
    """uvloop gives no timer for less than half a millisecond, and a second wait is told while it stands."""

    async def play():
        life = Life(SimFiles(), BEGIN, sync_ms=0.2)
        woken = []
        life.ledger._do = woken.append
        for at_ms in (life.at_ms + 0.2, life.at_ms, life.at_ms + 0.1, life.at_ms + 5000):
            life.ledger._wake_at(at_ms)
        await asyncio.sleep(0.05)
        assert len(woken) == 1 and life.ledger.timer is None

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play())


def test_a_wait_for_the_disk_ends_with_the_ledger_that_it_waited_for():
    """Another member has taken the ledger over meanwhile: the new one may never come to a sequence of the old."""

    async def work():
        life = Life(SimFiles(), BEGIN)
        ledger, going_on = life.ledger, threading.Event()
        for _ in range(5):
            ledger.write_nothing()
        sync = ledger.folder.log.sync
        ledger.folder.log.sync = lambda: (going_on.wait(), sync())
        waiting = asyncio.create_task(ledger._synced())
        await asyncio.sleep(0.02)
        holder = LedgerFolder(SimFiles(), FOLDER)
        holder.open("n1", b"m" * 16, 1000, CLUBS, CLASSES, BEGIN)
        ledger.begin_anew(holder)
        going_on.set()
        assert not await asyncio.wait_for(waiting, 5)

    asyncio.run(work())


@pytest.mark.parametrize("stretch", [1, 3, 8])
def test_a_disk_that_refuses_while_the_node_leaves_is_tried_again(stretch):
    async def work(files):
        life = Life(files, BEGIN)
        await life.answer(1, 2, 3)
        files.failures = dict.fromkeys(range(files.operation_count, files.operation_count + stretch), errno.EIO)
        await life.answer(4, 5, 6)
        await life.ledger.close()
        files.failures = {}
        return life

    files = SimFiles()
    life = asyncio.run(work(files))
    assert life.delivered == {1, 2, 3, 4, 5, 6}
    assert verify(files, life) == {1, 2, 3, 4, 5, 6}
    assert load(files, FOLDER)[0].state.ended
