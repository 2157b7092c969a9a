"""The replicas of ledgers stay consistent with their disk while the disk rejects operations.

The disks of a fleet rejected 300 of 1,000 writes for 5 s. Links between members were closed 37 to 280 times per run,
and some ledgers never became complete again. The state machine's replicas (`LogReplicas.table`) and those on the disk
(`LedgerReplicas.replicas`) were changed one after the other, and an error between the two left the first change alone:

- A member was to replicate a ledger, and its disk rejected the folder. The state machine went on with a replica that
  had no folder, so the next part of the ledger found no entry in the table, and the exception closed the link.
- An epoch that was promised in memory and rejected by the disk was granted at the next join without being persisted.

The logs showed `KeyError: ('n3', ...)` in `_perform_action` 129 times in one run, each followed by "peers.link_down".
"""

from __future__ import annotations

import errno
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from storage.sim_files import SimFiles
from usage.test_ledger_stops import FOLDER, START_MS, SimulatedLedger

from flintshift.core.counters import Counters
from flintshift.lifecycle.ledger_replicas import LedgerReplicas
from flintshift.lifecycle.ledger_replication import REJOIN_INTERVAL_MS, LedgerReplication
from flintshift.replication import logs
from flintshift.replication.log_holders import HolderConfig
from flintshift.replication.log_writer import LogWriter, ReplicaState
from flintshift.replication.placement import Placement
from flintshift.settings.options import ReplicationOptions, UsageOptions
from flintshift.usage import replica as on_disk
from flintshift.usage.accounts import UsageAccounts
from flintshift.usage.folder import load
from flintshift.usage.records import Opened, Rotated, pack

LOG = "n1", b"l" * 16
WRITER = "n1#1"
EPOCH = 5
OPENED = pack(Opened("n1", LOG[1], 1000, ["a"], ["look"], 1_000_000))
ROTATED = pack(Rotated(1_000_000, 1000))


def snapshot_of_first_record():
    """A snapshot of a ledger that has its first record only."""
    accounts = UsageAccounts()
    accounts.apply(1, EPOCH, Opened("n1", LOG[1], 1000, ["a"], ["look"], 1_000_000))
    accounts.state.sequence = 1
    return msgspec.msgpack.encode(on_disk.LedgerSnapshot(accounts.dump(), [], []))


class Holder:
    """A member that holds a replica of n1's ledger, on a disk that can be made to reject operations."""

    def __init__(self, files=None, restore=True, name="n2", folder=Path("/srv/usage")):
        self.files, self.answers, self.logged, self.now = files or SimFiles(), [], [], 0.0
        self.writer_is_alive = True
        placement = Placement({"n1": "a", "n2": "b", "n3": "c"}, 3)
        ledger_replicas = LedgerReplicas(
            name,
            f"{name}#1",
            placement,
            ReplicationOptions(Path("/srv/copies"), 3, "process-death", 1000, 1 << 20, 1 << 20, 1000.0),
            self.files,
            "boot",
            lambda runner: self.writer_is_alive,
            lambda: self.now,
            lambda member, message: self.answers.append(message),
            lambda to, message: self.answers.append(message),
            Counters(),
            lambda level, event, **more: self.logged.append(event),
        )
        usage = UsageOptions(folder, 1000, 0, "process-death", 50.0, "serve", 1 << 20, 10**9, None)
        self.copies = LedgerReplication(name, placement, usage, ledger_replicas)
        if restore:
            ledger_replicas.restore()

    def send(self, message):
        """Sends a message of the writer and returns the last answer, or None if there was none."""
        self.answers.clear()
        self.copies.on_message(WRITER, message)
        return self.answers[-1] if self.answers else None

    def assert_consistent(self):
        """Checks that the state machine and the disk have the same replicas, with the same promises and records."""
        table = self.copies.ledger_replicas.log_replicas.table
        assert set(table) == set(self.copies.ledger_replicas.replicas)
        for log, log_replica in table.items():
            replica = self.copies.ledger_replicas.replicas[log]
            assert (log_replica.promised, log_replica.promised_to, log_replica.finished) == (
                replica.state.promised,
                replica.state.by,
                replica.state.over,
            )
            if log_replica.complete:
                assert log_replica.last == replica.last

    def life_cycle(self):
        """The messages of a replica's life: join, snapshot, records, export, join under a higher epoch, end."""
        yield logs.Join(LOG, EPOCH, (EPOCH, 1))
        yield logs.SnapshotPart(LOG, EPOCH, (EPOCH, 1), 0, False, snapshot_of_first_record())
        yield logs.Append(LOG, EPOCH, 2, (ROTATED,))
        yield logs.Exported(LOG, "folder", "n1.e5.20260101T000000.000Z.r0.usage", b"d" * 32)
        yield logs.Join(LOG, EPOCH + 1, (EPOCH, 2))
        yield logs.LogFinished(LOG, EPOCH + 1)


def count_life_cycle_operations():
    holder = Holder()
    first_operation = holder.files.operation_count
    for message in holder.life_cycle():
        holder.send(message)
    return holder.files.operation_count - first_operation


@pytest.mark.parametrize("operation", range(1, count_life_cycle_operations() + 1))
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=["full", "io"])
def test_any_single_rejected_operation_leaves_state_and_disk_consistent(operation, error):
    holder = Holder()
    holder.files.failures = {holder.files.operation_count + operation: error}
    for message in holder.life_cycle():
        holder.send(message)
        holder.assert_consistent()
    holder.files.failures = {}
    reopened = Holder(holder.files.after_crash("kept"))
    reopened.assert_consistent()


@pytest.mark.parametrize("operation", range(1, count_life_cycle_operations() + 1))
def test_after_any_single_rejected_operation_the_writer_completes_the_replica(operation):
    holder = Holder()
    holder.files.failures = {holder.files.operation_count + operation: errno.EIO}
    messages = list(holder.life_cycle())[:3]
    for message in messages:
        holder.send(message)
    holder.files.failures = {}
    status = holder.send(logs.Join(LOG, EPOCH, (EPOCH, 2)))
    if status.verdict is logs.ReplicaVerdict.NO_VOTE:  # a second join follows
        status = holder.send(logs.Join(LOG, EPOCH, (EPOCH, 2)))
    assert status.verdict is logs.ReplicaVerdict.GRANTED
    if status.last != (EPOCH, 2):
        holder.send(logs.SnapshotPart(LOG, EPOCH, (EPOCH, 1), 0, False, snapshot_of_first_record()))
        holder.send(logs.Append(LOG, EPOCH, 2, (ROTATED,)))
    holder.assert_consistent()
    replica = holder.copies.ledger_replicas.log_replicas.table[LOG]
    assert replica.complete and replica.last == (EPOCH, 2)


def test_a_promise_that_the_disk_rejected_is_not_granted_at_the_next_join():
    holder = Holder()
    for message in list(holder.life_cycle())[:3]:
        holder.send(message)
    holder.files.failures = {holder.files.operation_count + operation: errno.EIO for operation in range(1, 1000)}
    higher_join = logs.Join(LOG, EPOCH + 1, (EPOCH, 2))
    assert holder.send(higher_join) is None
    assert holder.send(higher_join) is None  # nothing of it was persisted
    holder.files.failures = {}
    assert holder.send(higher_join).verdict is logs.ReplicaVerdict.GRANTED
    state = dict(on_disk.list_replicas(holder.files, holder.copies.ledger_replicas.folder)).popitem()[1]
    assert (state.promised, state.by) == (EPOCH + 1, WRITER)


def test_a_replica_whose_folder_cannot_be_created_is_not_added_and_can_be_joined_later():
    holder = Holder()
    holder.files.failures = {holder.files.operation_count + operation: errno.ENOSPC for operation in range(1, 1000)}
    assert holder.send(logs.Join(LOG, EPOCH, (EPOCH, 1))) is None
    assert holder.copies.ledger_replicas.log_replicas.table == {} and holder.copies.ledger_replicas.replicas == {}
    assert holder.send(logs.Append(LOG, EPOCH, 2, (ROTATED,))).verdict is logs.ReplicaVerdict.NO_VOTE
    holder.files.failures = {}
    assert holder.send(logs.Join(LOG, EPOCH, (EPOCH, 1))).verdict is logs.ReplicaVerdict.GRANTED


def test_a_start_that_fails_half_way_opens_its_replicas_at_the_next_attempt():
    holder = Holder()
    for message in list(holder.life_cycle())[:3]:
        holder.send(message)
    holder.copies.close()
    files = holder.files
    first_operation = files.operation_count
    Holder(files).copies.close()
    for operation in range(1, files.operation_count - first_operation + 1):
        files.failures = {files.operation_count + operation: errno.EIO}
        try:
            reopened = Holder(files)
        except OSError:
            files.failures = {}
            reopened = Holder(files)  # as a start does: the failed attempt must leave nothing behind
        files.failures = {}
        reopened.assert_consistent()
        assert reopened.copies.ledger_replicas.log_replicas.table[LOG].last == (EPOCH, 2)
        reopened.copies.close()


@pytest.mark.parametrize("rejected", [1, 1000], ids=["a record", "a record and its repair"])
def test_a_writer_is_notified_of_rejected_records_though_it_writes_no_more(rejected):
    """The disk of a replica rejected the last record, no answer was sent, and the writer took the replica for a
    following one. So the ledger was still incomplete 30 s later."""
    holder = Holder()
    for message in list(holder.life_cycle())[:2]:
        holder.send(message)
    holder.files.failures = {holder.files.operation_count + operation: errno.EIO for operation in range(1, 1000)}
    assert holder.send(logs.Append(LOG, EPOCH, 2, (ROTATED,))) is None
    if rejected == 1:
        holder.files.failures = {}
    statuses = []
    for _ in range(40):  # 2 s
        holder.now += 50.0
        holder.answers.clear()
        holder.copies.tick()
        statuses += [answer for answer in holder.answers if isinstance(answer, logs.ReplicaStatus)]
    assert [(status.verdict, status.epoch) for status in statuses] == [(logs.ReplicaVerdict.GAP, EPOCH)]
    writer = LogWriter(LOG, EPOCH, (EPOCH, 2), ("n2", "n3"), 1, 250.0, None)
    writer.replicas["n2"].reachable, writer.replicas["n2"].state = True, ReplicaState.FOLLOWING
    assert writer.handle_status(holder.now, "n2", statuses[0]) == [logs.SnapshotNeeded("n2")]


@pytest.mark.parametrize("count", [1, 2, 3, 5, 1000])
def test_a_takeover_whose_first_record_was_rejected_goes_on_once_the_disk_works(count):
    """A ledger that was taken over while the disk failed never got replicas: no member was asked to follow."""
    holder = Holder()
    for message in list(holder.life_cycle())[:3]:
        holder.send(message)
    holder.copies.set_reachable("n3", True)
    holder.writer_is_alive = False
    takeover_joins = []
    while not takeover_joins:
        holder.now += 50.0
        holder.answers.clear()
        holder.copies.tick()
        takeover_joins = [answer for answer in holder.answers if isinstance(answer, logs.Join) and answer.takes_over]
    holder.answers.clear()
    holder.files.failures = {
        holder.files.operation_count + operation: errno.ENOSPC for operation in range(1, count + 1)
    }
    holder.copies.on_status(
        "n3", logs.ReplicaStatus(LOG, logs.ReplicaVerdict.GRANTED, takeover_joins[0].epoch, (EPOCH, 2))
    )
    holder.now += 50.0
    holder.copies.tick()
    holder.files.failures = {}
    for _ in range(10):
        holder.now += 50.0
        holder.copies.tick()
    joins = [answer for answer in holder.answers if isinstance(answer, logs.Join) and not answer.takes_over]
    assert {join.epoch for join in joins} == {takeover_joins[0].epoch}
    taken = holder.copies.takeovers.table[LOG]
    assert taken.writer.last == taken.replica.last
    assert taken.writer.last[0] == takeover_joins[0].epoch
    assert not taken.replica.ledger.accounts.state.periods  # the open ones were closed
    assert taken.replica.ledger.accounts.state.epoch == takeover_joins[0].epoch


@pytest.mark.parametrize("count", [1, 2, 3, 1000])
def test_the_end_of_a_ledger_that_the_disk_rejected_is_persisted_once_the_disk_works(count):
    """The member that took the ledger over reports its end only once. The replica remained, as its writer is alive."""
    holder = Holder()
    *messages, log_finished = list(holder.life_cycle())
    for message in messages:
        holder.send(message)
    holder.files.failures = {
        holder.files.operation_count + operation: errno.ENOSPC for operation in range(1, count + 1)
    }
    holder.send(log_finished)
    holder.assert_consistent()
    holder.files.failures = {}
    for _ in range(20):  # 1 s
        holder.now += 50.0
        holder.copies.tick()
    holder.assert_consistent()
    assert holder.copies.ledger_replicas.log_replicas.table[LOG].finished
    assert Holder(holder.files.after_crash("kept")).copies.ledger_replicas.log_replicas.table[LOG].finished


def test_a_rejected_operation_on_one_ledger_does_not_affect_another():
    """Without space for a further ledger a finished one is deleted first. When that failed, the new replica was left
    half created."""
    holder = Holder()
    for message in holder.life_cycle():
        holder.send(message)
    holder.copies.ledger_replicas.log_replicas.config = HolderConfig(max_logs=1)
    holder.files.failures = {holder.files.operation_count + 1: errno.EIO}
    other_log = "n1", b"m" * 16
    status = holder.send(logs.Join(other_log, EPOCH, (EPOCH, 1)))
    holder.assert_consistent()
    assert status.verdict is logs.ReplicaVerdict.GRANTED


@pytest.mark.anyio
@pytest.mark.parametrize("count", [1, 3, 6, 1000])
async def test_a_fenced_ledger_begins_anew_once_the_disk_works(count):
    """The disk's error was raised to the link on which the message had come, and the ledger was never written again."""
    life = SimulatedLedger(SimFiles(), START_MS)
    ledger = life.ledger
    holder = Holder(life.files, name="n1", folder=FOLDER)
    holder.copies.replicate(ledger)
    former_life = ledger.accounts.state.life
    life.files.failures = {life.files.operation_count + operation: errno.ENOSPC for operation in range(1, count + 1)}
    writer = holder.copies.writer
    holder.copies.set_reachable("n2", True)
    holder.copies.on_status(
        "n2", logs.ReplicaStatus(writer.log, logs.ReplicaVerdict.AHEAD, writer.epoch, (writer.epoch + 1, 9))
    )
    life.files.failures = {}
    for _ in range(3):
        holder.now += 50.0
        holder.copies.tick()
    assert ledger.accounts.state.life not in (b"", former_life)
    assert holder.copies.writer.log == ("n1", ledger.accounts.state.life)
    assert load(life.files, FOLDER)[0].state.life == ledger.accounts.state.life


@pytest.mark.anyio
async def test_a_replica_whose_sync_failed_stays_incomplete_through_a_later_error():
    """Records before a failed sync may be lost in a power cut, though they can be read until then."""
    holder = Holder()
    holder.copies.ledger_replicas.options = replace(holder.copies.ledger_replicas.options, durability="power-cut")
    join, snapshot, append, _, higher_join, _ = holder.life_cycle()
    for message in (join, snapshot, append):
        holder.send(message)
    log_replicas = holder.copies.ledger_replicas.log_replicas
    assert log_replicas.table[LOG].complete
    holder.files.failures[holder.files.operation_count + 1] = errno.EIO
    await holder.copies.ledger_replicas.sync()
    assert not log_replicas.table[LOG].complete
    holder.files.failures[holder.files.operation_count + 1] = errno.EIO
    holder.send(higher_join)
    assert not log_replicas.table[LOG].complete
    holder.copies.on_message(WRITER, logs.Join(LOG, EPOCH + 1, (EPOCH, 2)))
    holder.copies.on_message(
        WRITER, logs.SnapshotPart(LOG, EPOCH + 1, (EPOCH + 1, 1), 0, False, snapshot_of_first_record())
    )
    assert log_replicas.table[LOG].complete  # it got a snapshot
    holder.files.failures[holder.files.operation_count + 1] = errno.EIO
    holder.send(logs.Join(LOG, EPOCH + 2, (EPOCH + 1, 1)))
    assert log_replicas.table[LOG].complete  # and it stays complete


def test_an_unreadable_replica_is_read_again_and_counts_as_before():
    holder = Holder()
    join, snapshot, append, _, _, _ = holder.life_cycle()
    for message in (join, snapshot):
        holder.send(message)
    table, recovered = holder.copies.ledger_replicas.log_replicas.table, holder.copies.ledger_replicas._recover
    holder.copies.ledger_replicas._recover = lambda log, replica: False
    # the write and its retries
    holder.files.failures |= {holder.files.operation_count + operation: errno.EIO for operation in range(1, 9)}
    holder.send(append)
    assert not table[LOG].readable and not table[LOG].complete
    holder.copies.ledger_replicas._recover = recovered
    holder.now += REJOIN_INTERVAL_MS
    holder.copies.tick()
    assert table[LOG].readable and table[LOG].complete and table[LOG].last == (EPOCH, 1)


@pytest.mark.parametrize("rejected", [1, 2], ids=["the sync", "the sync and its record"])
@pytest.mark.anyio
async def test_a_replica_whose_sync_failed_is_incomplete_in_the_next_process_too(rejected):
    """The system takes the pages of a failed sync for written: they can be read until a power cut, and are lost after
    it."""
    holder = Holder()
    holder.copies.ledger_replicas.options = replace(holder.copies.ledger_replicas.options, durability="power-cut")
    join, snapshot, append, *_ = holder.life_cycle()
    for message in (join, snapshot, append):
        holder.send(message)
    holder.files.failures |= {
        holder.files.operation_count + operation: errno.EIO for operation in range(1, rejected + 1)
    }
    await holder.copies.ledger_replicas.sync()
    holder.copies.close()
    reopened = Holder(holder.files.after_crash("kept"))
    assert not reopened.copies.ledger_replicas.log_replicas.table[LOG].complete


def test_an_unreadable_replica_is_logged_once_and_shown():
    holder = Holder()
    join, snapshot, append, *_ = holder.life_cycle()
    for message in (join, snapshot):
        holder.send(message)
    replica = holder.copies.ledger_replicas.replicas[LOG]

    def unreadable():
        raise OSError(errno.EIO, "refused here")

    replica.recover = unreadable
    replica.ledger.log.broken, replica.ledger.log.append_failed = True, False
    holder.files.failures |= {holder.files.operation_count + operation: errno.EIO for operation in range(1, 9)}
    holder.send(append)
    for _ in range(3):
        holder.now += REJOIN_INTERVAL_MS
        holder.copies.tick()
    assert holder.logged.count("usage.copy_unreadable") == 1
    ((shown,),) = ([ledger for ledger in holder.copies.status() if ledger["role"] == "copies"],)
    assert shown["readable"] is False
