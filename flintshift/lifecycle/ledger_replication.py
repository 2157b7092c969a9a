"""Replicates this member's usage ledger to other members, and passes on the messages about all replicated ledgers.

`ledger_replicas.py` keeps the replicas of other members' ledgers, `ledger_takeover.py` takes ledgers of dead members
over. The rules are in `replication.logs`. Imported only if replication and the usage ledger are both on.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import anyio

from flintshift.lifecycle.ledger_replicas import DISK_ERRORS, LedgerReplicas
from flintshift.lifecycle.ledger_takeover import LedgerTakeovers
from flintshift.lifecycle.usage_recording import open_folder
from flintshift.replication import logs
from flintshift.replication.log_writer import LogWriter
from flintshift.replication.logs import LogId
from flintshift.replication.placement import Placement
from flintshift.settings.options import UsageOptions
from flintshift.usage import replica as on_disk
from flintshift.usage.ledger import MAX_ANSWER_WAIT_MS, RETIRE_INTERVAL_MS, Ledger

REJOIN_INTERVAL_MS = 2000.0  # between two requests to reachable members that do not follow the log
ANSWER_RESERVE_MS = 100.0  # so long before its deadline an answer no longer waits for replicas: a tick may be late


class LedgerReplication:
    """Implements ``usage.ledger.Replication`` for this member's ledger.

    ``ledger_replicas`` keeps the replicas of other members' ledgers here."""

    def __init__(self, name: str, placement: Placement, usage: UsageOptions, ledger_replicas: LedgerReplicas) -> None:
        self.name, self.placement, self.usage, self.ledger_replicas = name, placement, usage, ledger_replicas
        self.files, self.now_ms, self.send = ledger_replicas.files, ledger_replicas.now_ms, ledger_replicas.send
        self.counters, self.log = ledger_replicas.counters, ledger_replicas.log
        self.ledger: Ledger | None = None
        self.writer: LogWriter | None = None  # of this member's own ledger
        self.reachable: set[str] = set()
        self.fence_cause: str | None = None  # why a new ledger is to begin; None once it has begun
        self.set_aside_path: Path | None = None  # where the folder of the old ledger was moved for that
        self.logged_cause = ""  # the last logged cause why it could not begin
        self.rejoined_ms = self.retired_ms = self.now_ms()
        self.sinks = (
            [name for name, sink in (("folder", usage.export.folder), ("http", usage.export.http)) if sink]
            if usage.export is not None
            else []
        )
        self.takeovers = ledger_replicas.takeovers = LedgerTakeovers(
            ledger_replicas,
            usage,
            self.sinks,
            self.reachable,
            self.now_ms,
            self._make_writer,
            self._perform,
            self._send_export,
        )

    def replicate(self, ledger: Ledger) -> None:
        """Replicate this ledger from now on."""
        self.ledger, ledger.replication = ledger, self
        self._begin_writer(ledger.folder.log.epoch)

    def _begin_writer(self, epoch: int) -> None:
        assert self.ledger is not None
        folder = self.ledger.folder
        own_log = self.ledger_replicas.log_replicas.own_log = self.name, folder.accounts.state.life
        self.writer = self._make_writer(own_log, epoch, (epoch, folder.log.next_sequence - 1), folder.granted_position)

    def _make_writer(
        self, log: LogId, epoch: int, last: logs.LogPosition, elected_position: logs.LogPosition | None = None
    ) -> LogWriter:
        holders = self.placement.log_holders(log[0])
        others = tuple(name for name in holders if name != self.name)
        return LogWriter(log, epoch, last, others, len(holders) // 2, MAX_ANSWER_WAIT_MS, elected_position)

    # The methods of ``usage.ledger.Replication``, which the ledger calls.

    @property
    def replicated_through(self) -> float:
        assert self.writer is not None
        return math.inf if self.writer.in_gap or not self.writer.needed_acks else self.writer.replicated_sequence

    @property
    def in_gap(self) -> bool:
        return self.writer is not None and self.writer.in_gap

    @property
    def elected(self) -> bool:
        return self.writer is not None and self.writer.elected and not self.writer.fenced

    def is_replicated(self, sequence: int) -> bool:
        assert self.writer is not None
        return not self.writer.fenced and (self.writer.replicated_sequence >= sequence or not self.writer.needed_acks)

    def on_written(self, first: int, items: list[tuple[int, bytes]], answers: bool) -> None:
        assert self.writer is not None
        if not self.writer.fenced:
            self._perform(self.writer, self.writer.handle_written(self.now_ms(), first, tuple(items), answers))

    def on_exported(self, sink: str, name: str, digest: bytes) -> None:
        if self.writer is not None:
            self._send_export(self.writer, sink, name, digest)

    def _send_export(self, writer: LogWriter, sink: str, name: str, digest: bytes) -> None:
        for member in writer.replicas:
            self.send(member, logs.Exported(writer.log, sink, name, digest))

    # Reachability of other members, and their messages.

    def set_reachable(self, member: str, reachable: bool) -> None:
        """Note that a member has become reachable or unreachable."""
        (self.reachable.add if reachable else self.reachable.discard)(member)
        for writer in self._writers():
            self._perform(writer, writer.set_reachable(member, reachable))
        if reachable:
            self.ledger_replicas.perform(self.ledger_replicas.log_replicas.announce_finished(member))

    def _writers(self) -> list[LogWriter]:
        """The writers of this member's own ledger and of those that it takes over."""
        own_writers = [self.writer] if self.writer is not None else []
        return own_writers + [takeover.writer for takeover in self.takeovers.table.values()]

    def on_status(self, member: str, status: logs.ReplicaStatus) -> None:
        """Handle the status of a replica that another member reports."""
        for writer in self._writers():
            if writer.log == status.log:
                self._perform(writer, writer.handle_status(self.now_ms(), member, status))
                return
        self.ledger_replicas.perform(self.ledger_replicas.log_replicas.handle_status(member, status))

    def on_message(self, identity: str, message: logs.LogMessage) -> None:
        """Handle a message of another process about a log that this member replicates."""
        self.ledger_replicas.perform(self.ledger_replicas.log_replicas.handle_message(identity, message))

    def tick(self) -> None:
        """Perform what is due for the writers, the replicas and the takeovers."""
        now = self.now_ms()
        self.ledger_replicas.perform(self.ledger_replicas.log_replicas.tick(now))
        self.ledger_replicas.report_rejected(now)
        self.ledger_replicas.retry_ends()
        if self.fence_cause is not None:
            self._begin_new_ledger(self.fence_cause)
        rejoin_due = now >= self.rejoined_ms + REJOIN_INTERVAL_MS
        for writer in self._writers():
            self._perform(writer, writer.tick(now, self._answer_deadline_ms() if writer is self.writer else math.inf))
            if rejoin_due:
                self._perform(writer, writer.rejoin_replicas())
        if rejoin_due:
            self.rejoined_ms = now
            self.ledger_replicas.retry_unreadable()
        own_writer, ledger = self.writer, self.ledger
        if (
            own_writer is not None
            and ledger is not None
            and own_writer.last[0] != own_writer.epoch
            and not ledger.commit.writes_blocked
        ):
            ledger.write_empty_record()
        self.takeovers.advance_all()
        if now >= self.retired_ms + RETIRE_INTERVAL_MS:
            self.retired_ms = now
            self.ledger_replicas.retire(self.sinks, self.usage.retention_ms)

    def _answer_deadline_ms(self) -> float:
        """When the next waiting answer must no longer wait for replicas, by the steady clock."""
        assert self.ledger is not None
        return self.ledger.earliest_deadline_ms() - ANSWER_RESERVE_MS

    # The actions of the writers.

    def _perform(self, writer: LogWriter, actions: list[logs.WriterAction]) -> None:
        is_own = writer is self.writer
        for action in actions:
            match action:
                case logs.SendTo(member, message):
                    self.send(member, message)
                case logs.SnapshotNeeded(member):
                    self.counters.add("usage.copies_filled")
                    try:
                        self._perform(writer, writer.send_snapshot(member, self._make_snapshot(writer)))
                    except OSError as error:
                        self.log("error", "usage.copy_not_filled", name=member, cause=str(error))
                case logs.Replicated():
                    if is_own and self.ledger is not None:
                        self.ledger.release_answers()
                case logs.GapBegan(cause):
                    self.counters.add("usage.copy_gaps")
                    self.log(
                        "error",
                        "usage.copies_lack",
                        ledger=writer.log[0],
                        cause=cause,
                        then="new work is rejected"
                        if self.usage.on_disk_failure == "refuse"
                        else "use is recorded on this member alone until they answer",
                    )
                case logs.GapEnded(duration_ms):
                    self.log("info", "usage.copies_follow", ledger=writer.log[0], after_ms=round(duration_ms))
                case logs.Elected() if is_own:
                    self._persist_grant(writer, True)
                    self.log(
                        "info",
                        "usage.copied",
                        life=writer.log[1].hex(),
                        epoch=writer.epoch,
                        holders=[name for name, replica in writer.replicas.items() if replica.grant is not None],
                    )
                case logs.EpochRaised(epoch) if is_own:
                    self._persist_grant(writer, False)
                    self.log(
                        "warning",
                        "usage.epoch_raised",
                        ledger=writer.log[0],
                        epoch=epoch,
                        cause="another member had begun to take over this ledger",
                    )
                    if self.ledger is not None:
                        self.ledger.folder.log.epoch = epoch
                case logs.Fenced(cause) if is_own:
                    self._begin_new_ledger(cause)
                case logs.Fenced(cause):
                    self.log("warning", "usage.takeover_lost", ledger=writer.log[0], cause=cause)
                    self.takeovers.stop(writer.log)
                    self.ledger_replicas.log_replicas.table[writer.log].writer = ""  # the new owner is not known yet

    def _persist_grant(self, writer: LogWriter, elected: bool) -> None:
        """Persist whether the epoch of this ledger is granted.

        If the disk rejects it, the ledger seems incomplete at the next start and is taken over, which does no harm."""
        try:
            on_disk.write_epoch_grant(
                self.files,
                self.usage.folder,
                on_disk.EpochGrant(writer.log[1], *writer.elected_position, elected, writer.epoch if elected else 0),
            )
        except OSError as error:
            self.log("error", "usage.copy_refused", ledger=self.name, cause=str(error))

    def _make_snapshot(self, writer: LogWriter) -> bytes:
        """A snapshot of the ledger that this writer writes."""
        if writer is self.writer and self.ledger is not None:
            return on_disk.snapshot_ledger(self.files, self.usage.folder, self.ledger.accounts, self.sinks)
        replica = self.ledger_replicas.replicas[writer.log]
        return on_disk.snapshot_ledger(self.files, replica.folder, replica.ledger.accounts, self.sinks)

    def _begin_new_ledger(self, cause: str) -> None:
        """Begin a new ledger for this member, as another member has taken over the current one.

        It is retried at each tick while the disk rejects it. Use that is recorded meanwhile is only in memory, and is
        logged as not replicated."""
        ledger, writer, self.fence_cause = self.ledger, self.writer, cause
        assert ledger is not None and writer is not None
        old_folder = ledger.folder
        try:
            if self.set_aside_path is None:
                self.set_aside_path = old_folder.set_aside()
            folder, ledger.clock = open_folder(
                self.name,
                ledger.row_lists,
                self.usage,
                self.log,
                self.files,
                True,
                max(old_folder.log.epoch, writer.epoch),
            )
        except DISK_ERRORS as error:
            self._log_failed_begin(str(error))
            return
        self.counters.add("usage.fenced")
        self.log(
            "error",
            "usage.fenced",
            cause=cause,
            folder=str(self.set_aside_path),
            records_not_held=max(0, old_folder.accounts.state.sequence - writer.replicated_sequence),
            then="a new ledger begins; that folder is left for inspection",
        )
        self.fence_cause, self.set_aside_path, self.logged_cause = None, None, ""
        ledger.folder = folder
        self._begin_writer(folder.log.epoch)
        ledger.switch_folder(folder)
        for member in self.reachable:
            assert self.writer is not None
            self._perform(self.writer, self.writer.set_reachable(member, True))

    def _log_failed_begin(self, cause: str) -> None:
        """Log the cause of a failure to begin a new ledger, once per cause."""
        if cause != self.logged_cause:
            self.logged_cause = cause
            self.log("error", "usage.not_begun_anew", cause=cause, then="it is retried; use is recorded in memory only")

    # The actor.

    async def run(self) -> None:
        """Run the syncs of the replicas and the exports of the takeovers until cancelled."""
        async with anyio.create_task_group() as self.takeovers.tasks:
            await self.ledger_replicas.run()

    def close(self) -> None:
        """Close the replicas of other members' ledgers."""
        self.ledger_replicas.close()

    def status(self) -> list[dict[str, Any]]:
        """The status, for operators, of each ledger that is written or replicated here."""
        statuses = []
        for writer in self._writers():
            statuses.append(
                {
                    "member": writer.log[0],
                    "life": writer.log[1].hex(),
                    "listed": writer.log[0] in self.placement.halls,
                    "epoch": writer.epoch,
                    "records": writer.last[1],
                    "held": writer.replicated_sequence,
                    "in_gap": writer.in_gap,
                    "role": "writes" if writer is self.writer else "took over",
                    "copies": {name: replica.state.name.lower() for name, replica in writer.replicas.items()},
                }
            )
        for log, log_replica in self.ledger_replicas.log_replicas.table.items():
            if log not in self.takeovers.table and not log_replica.finished:
                statuses.append(
                    {
                        "member": log[0],
                        "life": log[1].hex(),
                        "listed": log[0] in self.placement.halls,
                        "epoch": log_replica.promised,
                        "records": log_replica.last[1],
                        "role": "copies",
                        "sure": log_replica.complete,
                        "readable": log_replica.readable,
                        "writer": log_replica.writer,
                        "writer_dead": log_replica.writer_dead_since_ms is not None,
                    }
                )
        return statuses
