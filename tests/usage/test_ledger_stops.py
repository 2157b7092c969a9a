"""Tests of a ledger that is stopped before and after each single disk operation, or whose disk refuses each one.

The bytes in of each request are a power of two of its own, so that the sum over rows shows which were recorded.
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
from flintshift.usage.messages import CorrectionRequested, Delivered, Tick
from flintshift.usage.periods import LedgerClock
from flintshift.usage.reconcile import check_documents
from flintshift.usage.records import FLAG_NO_ANSWER, GONE, OUTCOMES, row_number
from flintshift.usage.sinks import FolderSink

FOLDER, EXPORT_FOLDER = Path("/u"), Path("/out")
CLUBS, CLASSES = ["a", "b"], ["look", "pay"]
ROW = row_number(0, 0, 2, 0, 0)
START_MS = 1_000_000


class SimulatedLedger:
    """One incarnation of a ledger on a simulated disk and clock, whose tasks are stepped by the test."""

    def __init__(self, files, at_ms, durability="power-cut", reject_on_disk_failure=False, steady_ms=None, **limits):
        self.files, self.at_ms = files, at_ms
        ledger_folder = LedgerFolder(files, FOLDER)
        ledger_folder.open("n1", b"l" * 16, 1000, CLUBS, CLASSES, at_ms)
        steady_ms = steady_ms or (lambda: self.at_ms)
        clock = LedgerClock(at_ms, steady_ms(), ledger_folder.accounts.state.last_ms)
        self.events = []
        commit_limits = CommitLimits(
            **{"hold_answers": durability == "power-cut", "sync_ms": 0.0, "segment_bytes": 300, **limits}
        )
        self.ledger = Ledger(
            ledger_folder,
            100,
            commit_limits,
            reject_on_disk_failure,
            0.0,
            ["folder"],
            clock,
            lambda: self.at_ms,
            steady_ms,
            lambda level, event, **fields: self.events.append((event, fields)),
        )
        self.ledger.flush_scheduled = self.ledger.mark_flush_scheduled = True  # so that only the test flushes
        self.delivered = set()

    async def flush(self):
        while self.ledger.commit.writes_blocked:
            await self.ledger.run_disk_operation()
        self.ledger._flush()
        self.ledger.flush_scheduled = True

    async def tick(self):
        await self.ledger.run_disk_operation()
        await self.ledger.tick()
        while self.ledger.disk_operation is not None:
            await self.ledger.run_disk_operation()
        await self.flush()

    async def answer(self, *numbers, final=False):
        """Claim requests together, and mark those whose answers were delivered."""
        if self.ledger.period_end_ms == 0:
            self.ledger._handle_event(Tick())
        tickets = {}
        for number in numbers:
            row, flags = (ROW + GONE, FLAG_NO_ANSWER) if final else (ROW, 0)
            deliver = None if final else partial(self.delivered.add, number)
            tickets[number] = self.ledger.claim(number.to_bytes(8, "big"), row, flags, 10, 1, 1 << number, 5, deliver)
        await self.flush()
        if self.ledger.commit.limits.hold_answers:
            await self.ledger.sync_all()
        for number, ticket in tickets.items():
            if not final and number in self.delivered:
                self.ledger.mark_delivery(ticket, True)
        await self.flush()

    async def export(self):
        """Do what the exporter does, without its delays."""
        self.files.make_folder(FOLDER / "acks" / "folder")
        sink = FolderSink(self.files, EXPORT_FOLDER)
        acknowledged = set(self.files.names(FOLDER / "acks" / "folder"))
        for name in read_documents(self.files, FOLDER):
            if name not in acknowledged:
                data = self.files.read(FOLDER / "documents" / name)
                assert sink.put(name, data, 1) == Delivered("folder", name)
                publish(self.files, FOLDER / "acks" / "folder" / name, documents.compute_digest(data).hex().encode())


async def play_script(files, ledgers):
    """Record two periods with a correction, a rotation, a close, an export and a clean end."""
    simulated = SimulatedLedger(files, START_MS)
    ledgers.append(simulated)
    await simulated.answer(1, 2)
    await simulated.answer(3, final=True)
    simulated.at_ms += 1000
    await simulated.answer(4)
    simulated.at_ms += 200
    await simulated.tick()  # closes and publishes the first period; the segment is full, so a new one begins
    await simulated.export()
    request = CorrectionRequested(
        "c1", "op", "a wrong count", START_MS, "b", "look", "http", "served", (1, 0, 0, 0, 0, 1 << 40, 0)
    )
    simulated.ledger.correct(to_json(request))
    await simulated.tick()
    await simulated.answer(5, 6)
    await simulated.export()
    simulated.at_ms += 2000
    await simulated.tick()
    retire(files, FOLDER, ["folder"], 0.0, simulated.at_ms, simulated.ledger.accounts.state.closed_to)
    await simulated.ledger.close()


def run_script(files):
    ledgers = []
    try:
        asyncio.run(play_script(files, ledgers))
    except (StoppedError, BaseExceptionGroup):
        assert files.stopped
    return ledgers[0] if ledgers else None


def recorded_and_in_doubt(files):
    accounts, _, _ = load(files, FOLDER)
    total, in_doubt = 0, []
    for document in read_documents(files, FOLDER).values():
        total += sum(row.amounts.bytes_in for row in document.rows)
        in_doubt += [int.from_bytes(entry.id, "big") for entry in document.in_doubt]
    published = set(read_documents(files, FOLDER))
    for unpublished in accounts.state.documents:
        if unpublished.name not in published:
            document = documents.parse(unpublished.data)
            total += sum(row.amounts.bytes_in for row in document.rows)
            in_doubt += [int.from_bytes(entry.id, "big") for entry in document.in_doubt]
    total += sum(row[5] for rows in accounts.totals().values() for row in rows.values())
    for period in accounts.state.periods.values():
        in_doubt += [int.from_bytes(id_, "big") for id_, _, _ in period.doubted]
    return {number for number in range(63) if total >> number & 1}, in_doubt


def exported_documents(files):
    names = [name for name in files.names(EXPORT_FOLDER) if documents.NAME_PATTERN.fullmatch(name)]
    return {name: documents.parse(files.read(EXPORT_FOLDER / name)) for name in names}


async def recover_and_export(files, at_ms):
    """Run the next incarnation: recover, close all that was open, export, and stop."""
    simulated = SimulatedLedger(files, at_ms)
    simulated.at_ms += 5000
    await simulated.tick()
    await simulated.tick()
    await simulated.export()
    recorded = recorded_and_in_doubt(files)
    await simulated.ledger.close()
    return recorded


def verify(files, simulated, claimed=frozenset(range(1, 7)) | {40}):
    delivered = simulated.delivered if simulated is not None else set()
    exported_before = {
        name: document.SerializeToString(deterministic=True) for name, document in exported_documents(files).items()
    }
    asyncio.run(recover_and_export(files, START_MS + 10_000))
    exported = exported_documents(files)
    for name, data in exported_before.items():  # an exported document never changes
        assert exported[name].SerializeToString(deterministic=True) == data
    total = sum(row.amounts.bytes_in for document in exported.values() for row in document.rows)
    recorded = {number for number in range(63) if total >> number & 1}
    in_doubt = [int.from_bytes(entry.id, "big") for document in exported.values() for entry in document.in_doubt]
    assert total == sum(1 << number for number in recorded)  # each one once
    assert recorded <= claimed and not recorded & set(in_doubt) and len(in_doubt) == len(set(in_doubt))
    assert delivered <= recorded | set(in_doubt)  # what was delivered is recorded or in doubt,
    assert recorded - {3, 40} <= delivered  # and nothing else is billed (3 had no answer, 40 is the correction)
    assert (
        check_documents((name, data.SerializeToString(deterministic=True), data) for name, data in exported.items())
        == []
    )
    return recorded


def test_the_script_without_a_stop_records_all():
    files = SimFiles()
    simulated = run_script(files)
    assert simulated.delivered == {1, 2, 4, 5, 6}
    kinds = {name for name, _ in files.operations}
    assert kinds == {"create", "append", "sync", "sync_folder", "rename", "link", "remove"}
    assert verify(files, simulated) == {1, 2, 3, 4, 5, 6, 40}


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("survival", ["lost", "kept", "truncated", "zeros"])
def test_a_stop_at_every_operation(survival, after):
    uninterrupted = SimFiles()
    run_script(uninterrupted)
    assert uninterrupted.operation_count > 60
    for stop_at in range(1, uninterrupted.operation_count + 1):
        files = SimFiles(stop_at, after)
        simulated = run_script(files)
        verify(files.after_crash(survival), simulated)


def test_a_second_stop_at_every_operation_of_the_recovery():
    """The first incarnation crashes at some operations, and the second one at every operation."""
    for first_stop in range(10, 80, 9):
        operations_of_recovery = None
        for second_stop in range(1, 200):
            files = SimFiles(first_stop, True)
            simulated = run_script(files)
            files_after_first = files.after_crash("truncated")
            files_after_first.stop_at = second_stop
            try:
                asyncio.run(recover_and_export(files_after_first, START_MS + 10_000))
                operations_of_recovery = files_after_first.operation_count
            except (StoppedError, BaseExceptionGroup):
                assert files_after_first.stopped
            verify(files_after_first.after_crash("lost"), simulated)
            if operations_of_recovery is not None:
                break
        assert operations_of_recovery is not None


@pytest.mark.parametrize("reject_work", [False, True], ids=["serve", "refuse"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("refusals", [1, 12])
def test_a_refusal_at_every_operation_delivers_all_answers_and_loses_nothing(error, refusals, reject_work):
    """The disk refuses one or several operations in a row, then works: all answers are delivered, all use recorded."""

    async def play(files, first_refusal):
        simulated = SimulatedLedger(files, START_MS, reject_on_disk_failure=reject_work)
        files.failures = dict.fromkeys(range(first_refusal, first_refusal + refusals), error)
        files.operation_count = 0
        rejected = False
        for number in range(1, 7):
            await simulated.answer(number)
            rejected |= simulated.ledger.rejects_work
            simulated.at_ms += 400
            await simulated.tick()
        files.failures = {}
        for _ in range(4):  # the disk works again
            simulated.at_ms += 1500
            await simulated.tick()
        assert simulated.ledger.commit.gap is None and not simulated.ledger.rejects_work
        await simulated.ledger.close()
        return simulated, rejected

    ever_rejected = False
    for first_refusal in range(1, 45, 1 if refusals == 1 else 3):
        files = SimFiles()
        simulated, rejected = asyncio.run(play(files, first_refusal))
        assert simulated.delivered == {1, 2, 3, 4, 5, 6}
        gaps = [fields for event, fields in simulated.events if event == "usage.disk_refused"]
        assert reject_work or not rejected
        ever_rejected |= rejected
        assert verify(files, simulated) == {1, 2, 3, 4, 5, 6}
        if gaps:  # and each is listed in a document
            assert sum(len(document.gaps) for document in read_documents(files, FOLDER).values()) == len(gaps)
    assert ever_rejected == reject_work


async def record_eight_requests(files, ledgers):
    simulated = SimulatedLedger(files, START_MS, "process-death")
    ledgers.append(simulated)
    for number in range(1, 9):
        await simulated.answer(number)
        simulated.at_ms += 300
        await simulated.tick()


def test_with_durability_process_death_a_lost_tail_invents_nothing():
    for survival in ("lost", "truncated", "zeros"):
        for stop_at in range(8, 70, 3):
            files = SimFiles(stop_at, True)
            ledgers = []
            with contextlib.suppress(StoppedError, BaseExceptionGroup):
                asyncio.run(record_eight_requests(files, ledgers))
            simulated = SimulatedLedger(files.after_crash(survival), START_MS + 10_000)
            recorded, in_doubt = recorded_and_in_doubt(simulated.files)
            assert recorded | set(in_doubt) <= set(range(1, 9))
            simulated = SimulatedLedger(files.after_crash("kept"), START_MS + 10_000)
            recorded, in_doubt = recorded_and_in_doubt(simulated.files)
            assert (ledgers[0].delivered if ledgers else set()) <= recorded | set(in_doubt)


def test_a_second_ledger_on_a_folder_is_rejected():
    files = SimFiles()
    SimulatedLedger(files, START_MS)
    with pytest.raises(Exception, match="another process works"):
        SimulatedLedger(files, START_MS)


def test_a_document_of_an_unknown_schema_is_rejected():
    with pytest.raises(documents.DocumentError, match="is of schema 9; this program reads schema 1"):
        documents.parse(pb.UsageDocument(schema=9).SerializeToString())
    assert OUTCOMES[GONE] == "gone"


def test_a_change_of_every_byte_and_a_cut_at_every_offset_of_a_ledger():
    """A changed byte in any file stops the recovery, or an older snapshot gives the same accounts. A cut of the last
    segment loses only what was cut. Nothing is ever invented."""
    files = SimFiles()
    run_script(files)
    complete_state = load(files, FOLDER)[0].state
    recovery_paths = [
        path for path in files.current_files if path.parent.name in ("log", "snapshots") and path.suffix != ".new"
    ]
    assert len(recovery_paths) >= 3
    detected = 0
    for path in recovery_paths:
        data = bytes(files.current_files[path].data)
        for offset in range(len(data)):
            files.current_files[path].data[offset] ^= 0x41
            try:
                assert load(files, FOLDER)[0].state == complete_state
            except DamagedError:
                detected += 1
            files.current_files[path].data[:] = data
    assert detected > 30
    path = max(path for path in recovery_paths if path.parent.name == "log")
    data, last_sequence = bytes(files.current_files[path].data), 0
    for size in range(len(data) + 1):
        files.current_files[path].data[:] = data[:size]
        state = load(files, FOLDER)[0].state
        assert last_sequence <= state.sequence <= complete_state.sequence
        last_sequence = state.sequence
    assert last_sequence == complete_state.sequence


def test_a_folder_that_cannot_be_listed_for_a_while_stops_nothing():
    async def play():
        files = SimFiles()
        simulated, original_names = SimulatedLedger(files, START_MS), files.names

        def refused(folder):
            raise OSError(errno.EIO, "refused here")

        files.names = refused
        await simulated.tick()
        await simulated.answer(1)
        files.names = original_names
        await simulated.tick()
        await simulated.ledger.close()
        return files, simulated

    files, simulated = asyncio.run(play())
    assert simulated.delivered == verify(files, simulated) == {1}


class HangingFiles(SimFiles):
    """A disk on which syncs of the log hang while ``disk_works`` is cleared."""

    def __init__(self):
        super().__init__()
        self.disk_works = threading.Event()
        self.disk_works.set()

    def run_operation(self, name, path, apply=lambda: None, apply_partly=lambda: None):
        if name == "sync" and path.suffix == ".log":
            self.disk_works.wait(20)
        return super().run_operation(name, path, apply, apply_partly)


@pytest.mark.parametrize("hang_in", ["sync", "segment", "reopen"])
def test_a_hanging_disk_delays_no_answer_past_its_bound_and_loses_nothing(hang_in):
    """The disk hangs in a sync, in a new segment, or in the attempt to end a gap."""

    async def play():
        files, began_s = HangingFiles(), time.monotonic()
        simulated = SimulatedLedger(
            files,
            START_MS,
            steady_ms=lambda: (time.monotonic() - began_s) * 1000,
            max_wait_ms=50.0,
            reopen_interval_ms=50.0,
            segment_bytes=1 << 30,
        )
        ledger = simulated.ledger
        ledger.flush_scheduled = ledger.mark_flush_scheduled = False  # so that it flushes by itself
        async with asyncio.TaskGroup() as tasks:
            ledger_task = tasks.create_task(ledger.run())
            await asyncio.sleep(0.05)
            tickets = {}

            def claim(number):
                tickets[number] = ledger.claim(
                    number.to_bytes(8, "big"), ROW, 0, 10, 1, 1 << number, 5, lambda: simulated.delivered.add(number)
                )

            async def wait_until_delivered(number):
                async with asyncio.timeout(5):
                    while number not in simulated.delivered:
                        await asyncio.sleep(0.005)
                ledger.mark_delivery(tickets[number], True)

            claim(1)
            await wait_until_delivered(1)
            if hang_in == "reopen":
                ledger._perform(ledger.commit.handle(ledger.steady_ms(), OperationFailed("refused here", write=True)))
            files.disk_works.clear()
            if hang_in == "segment":
                # The next write begins a segment.
                ledger.commit.limits = replace(ledger.commit.limits, segment_bytes=1)
            for number in range(2, 7):
                claim(number)
                await wait_until_delivered(number)  # while the disk hangs
            assert ledger.commit.gap is not None
            ledger.commit.limits = replace(ledger.commit.limits, segment_bytes=1 << 30)
            files.disk_works.set()
            async with asyncio.timeout(10):
                while ledger.commit.gap is not None:
                    await asyncio.sleep(0.02)
            claim(7)
            await wait_until_delivered(7)
            await asyncio.sleep(0.05)
            ledger_task.cancel()
        await ledger.close()
        return files, simulated

    files, simulated = asyncio.run(play())
    assert verify(files, simulated, frozenset(range(1, 8))) == set(range(1, 8))


def test_nothing_is_written_while_a_segment_is_begun():
    """A document, a step of the clock and a tick that come in that time wait for the segment."""

    async def play():
        files = HangingFiles()
        simulated = SimulatedLedger(files, START_MS, "process-death", segment_bytes=1 << 30)
        ledger = simulated.ledger
        await simulated.answer(1)
        simulated.at_ms += 2000
        ledger._handle_event(Tick())  # the period closes, and its document waits to be written
        assert ledger.accounts.state.documents
        await ledger.sync_all()
        documents_written = asyncio.Event()

        async def report_sync():
            return documents_written.set() or True

        ledger.sync_all = report_sync
        ledger.commit.limits = replace(ledger.commit.limits, segment_bytes=1)
        await simulated.ledger.run_disk_operation()
        ledger._perform(
            ledger.commit.on_write(simulated.at_ms, ledger.accounts.state.sequence, ledger.folder.log.size, 0)
        )
        assert ledger.commit.writes_blocked
        files.disk_works.clear()
        segment_task = asyncio.create_task(ledger.run_disk_operation())
        await asyncio.sleep(0.05)  # it hangs
        sequence = ledger.accounts.state.sequence
        tasks = [asyncio.create_task(ledger._publish_documents()), asyncio.create_task(ledger.tick())]
        ledger.unrecorded_steps_ms.append(7000)
        ledger._ledger_time()
        await asyncio.sleep(0.1)
        assert ledger.accounts.state.sequence == sequence and ledger.unrecorded_steps_ms == [7000]
        files.disk_works.set()
        await segment_task
        await asyncio.gather(*tasks)
        ledger._ledger_time()
        assert ledger.unrecorded_steps_ms == []
        await simulated.answer(2)
        await ledger.close()
        return files, simulated

    files, simulated = asyncio.run(play())
    assert verify(files, simulated) == {1, 2}
    assert [step.by_ms for document in exported_documents(files).values() for step in document.steps] == [7000]


def test_a_timer_that_is_due_now_fires_on_uvloop():
    """uvloop returns no timer for less than half a millisecond, and further wake-ups are set while the first waits."""

    async def play():
        simulated = SimulatedLedger(SimFiles(), START_MS, sync_ms=0.2)
        woken = []
        simulated.ledger._perform = woken.append
        for at_ms in (simulated.at_ms + 0.2, simulated.at_ms, simulated.at_ms + 0.1, simulated.at_ms + 5000):
            simulated.ledger._wake_at(at_ms)
        await asyncio.sleep(0.05)
        assert len(woken) == 1 and simulated.ledger.timer is None

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play())


def test_a_wait_for_a_sync_ends_when_the_ledger_switches_its_folder():
    """Another member has taken the ledger over: the new one may never reach the sequence that is waited for."""

    async def play():
        simulated = SimulatedLedger(SimFiles(), START_MS)
        ledger, may_continue = simulated.ledger, threading.Event()
        for _ in range(5):
            ledger.write_empty_record()
        original_sync = ledger.folder.log.sync
        ledger.folder.log.sync = lambda: (may_continue.wait(), original_sync())
        sync_task = asyncio.create_task(ledger.sync_all())
        await asyncio.sleep(0.02)
        new_folder = LedgerFolder(SimFiles(), FOLDER)
        new_folder.open("n1", b"m" * 16, 1000, CLUBS, CLASSES, START_MS)
        ledger.switch_folder(new_folder)
        may_continue.set()
        assert not await asyncio.wait_for(sync_task, 5)

    asyncio.run(play())


@pytest.mark.parametrize("refusals", [1, 3, 8])
def test_a_disk_that_refuses_while_the_node_stops_is_retried(refusals):
    async def play(files):
        simulated = SimulatedLedger(files, START_MS)
        await simulated.answer(1, 2, 3)
        files.failures = dict.fromkeys(range(files.operation_count, files.operation_count + refusals), errno.EIO)
        await simulated.answer(4, 5, 6)
        await simulated.ledger.close()
        files.failures = {}
        return simulated

    files = SimFiles()
    simulated = asyncio.run(play(files))
    assert simulated.delivered == {1, 2, 3, 4, 5, 6}
    assert verify(files, simulated) == {1, 2, 3, 4, 5, 6}
    assert load(files, FOLDER)[0].state.ended
