"""The ledger of use on further members: this member's own is written to others here; their copies on this member stand
in `ledger_replicas.py`, and those that it goes on with in `ledger_takeover.py`. The rules are `replication.logs`.

Imported only where copies and the ledger of use are both on.
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

REJOIN_INTERVAL_MS = 2000.0  # between two looks for members that are in reach and do not follow
SPARE_MS = 100.0  # before its due time, an answer waits for copies no longer: a tick may be late


class LedgerReplication:
    """``usage.ledger.Replication`` of this member's ledger. ``holder`` has the copies of the others' here."""

    def __init__(self, name: str, placement: Placement, usage: UsageOptions, holder: LedgerReplicas) -> None:
        self.name, self.placement, self.usage, self.ledger_replicas = name, placement, usage, holder
        self.files, self.now_ms, self.send = holder.files, holder.now_ms, holder.send
        self.counters, self.log = holder.counters, holder.log
        self.ledger: Ledger | None = None
        self.writer: LogWriter | None = None  # of this member's own ledger
        self.up: set[str] = set()
        self.fence: str | None = None  # why another ledger is to begin, until it has
        self.aside: Path | None = None  # where the one before was put for that
        self.not_begun = ""  # why it has not, as it was told last
        self.again_ms = self.retired_ms = self.now_ms()
        self.sinks = (
            [name for name, sink in (("folder", usage.export.folder), ("http", usage.export.http)) if sink]
            if usage.export is not None
            else []
        )
        self.takeovers = holder.takeovers = LedgerTakeovers(
            holder, usage, self.sinks, self.up, self.now_ms, self._writer_of, self._write, self._tell_exported
        )

    def replicate(self, ledger: Ledger) -> None:
        """Copy this ledger from now on."""
        self.ledger, ledger.replication = ledger, self
        self._begin(ledger.folder.log.epoch)

    def _begin(self, epoch: int) -> None:
        assert self.ledger is not None
        folder = self.ledger.folder
        own = self.ledger_replicas.log_replicas.own_log = self.name, folder.accounts.state.life
        self.writer = self._writer_of(own, epoch, (epoch, folder.log.next_sequence - 1), folder.granted_position)

    def _writer_of(
        self, log: LogId, epoch: int, last: logs.LogPosition, before: logs.LogPosition | None = None
    ) -> LogWriter:
        holders = self.placement.log_holders(log[0])
        others = tuple(name for name in holders if name != self.name)
        return LogWriter(log, epoch, last, others, len(holders) // 2, MAX_ANSWER_WAIT_MS, before)

    # The ledger's port.

    @property
    def replicated_through(self) -> float:
        assert self.writer is not None
        return math.inf if self.writer.in_gap or not self.writer.needed_acks else self.writer.replicated_sequence

    @property
    def in_gap(self) -> bool:
        return self.writer is not None and self.writer.in_gap

    def is_replicated(self, sequence: int) -> bool:
        assert self.writer is not None
        return not self.writer.fenced and (self.writer.replicated_sequence >= sequence or not self.writer.needed_acks)

    def on_written(self, first: int, items: list[tuple[int, bytes]], answers: bool) -> None:
        assert self.writer is not None
        if not self.writer.fenced:
            self._write(self.writer, self.writer.handle_written(self.now_ms(), first, tuple(items), answers))

    def on_exported(self, sink: str, name: str, digest: bytes) -> None:
        if self.writer is not None:
            self._tell_exported(self.writer, sink, name, digest)

    def _tell_exported(self, writer: LogWriter, sink: str, name: str, digest: bytes) -> None:
        for member in writer.replicas:
            self.send(member, logs.Exported(writer.log, sink, name, digest))

    # Between members.

    def set_reachable(self, member: str, up: bool) -> None:
        (self.up.add if up else self.up.discard)(member)
        for writer in self._writers():
            self._write(writer, writer.set_reachable(member, up))
        if up:
            self.ledger_replicas.perform(self.ledger_replicas.log_replicas.announce_finished(member))

    def _writers(self) -> list[LogWriter]:
        own = [self.writer] if self.writer is not None else []
        return own + [taken.writer for taken in self.takeovers.table.values()]

    def on_status(self, member: str, at: logs.ReplicaStatus) -> None:
        for writer in self._writers():
            if writer.log == at.log:
                self._write(writer, writer.handle_status(self.now_ms(), member, at))
                return
        self.ledger_replicas.perform(self.ledger_replicas.log_replicas.handle_status(member, at))

    def on_message(self, identity: str, word: logs.LogMessage) -> None:
        self.ledger_replicas.perform(self.ledger_replicas.log_replicas.handle_message(identity, word))

    def tick(self) -> None:
        now = self.now_ms()
        self.ledger_replicas.perform(self.ledger_replicas.log_replicas.tick(now))
        self.ledger_replicas.report_rejected(now)
        self.ledger_replicas.retry_ends()
        if self.fence is not None:
            self._begin_anew(self.fence)
        again = now >= self.again_ms + REJOIN_INTERVAL_MS
        for writer in self._writers():
            self._write(writer, writer.tick(now, self._due_ms() if writer is self.writer else math.inf))
            if again:
                self._write(writer, writer.rejoin_replicas())
        if again:
            self.again_ms = now
            self.ledger_replicas.retry_unreadable()
        own, ledger = self.writer, self.ledger
        if own is not None and ledger is not None and own.last[0] != own.epoch and not ledger.commit.writes_blocked:
            ledger.write_empty_record()
        self.takeovers.advance_all()
        if now >= self.retired_ms + RETIRE_INTERVAL_MS:
            self.retired_ms = now
            self.ledger_replicas.retire(self.sinks, self.usage.retention_ms)

    def _due_ms(self) -> float:
        """When an answer that waits must leave, by the steady clock."""
        assert self.ledger is not None
        return self.ledger.earliest_deadline_ms() - SPARE_MS

    # What the writers answer.

    def _write(self, writer: LogWriter, actions: list[logs.WriterAction]) -> None:
        own = writer is self.writer
        for action in actions:
            match action:
                case logs.SendTo(member, word):
                    self.send(member, word)
                case logs.SnapshotNeeded(member):
                    self.counters.add("usage.copies_filled")
                    try:
                        self._write(writer, writer.send_snapshot(member, self._whole(writer)))
                    except OSError as error:
                        self.log("error", "usage.copy_not_filled", name=member, cause=str(error))
                case logs.Replicated():
                    if own and self.ledger is not None:
                        self.ledger.release_answers()
                case logs.GapBegan(cause):
                    self.counters.add("usage.copy_gaps")
                    self.log(
                        "error",
                        "usage.copies_lack",
                        ledger=writer.log[0],
                        cause=cause,
                        then="new work is refused"
                        if self.usage.on_disk_failure == "refuse"
                        else "booked here alone until they answer",
                    )
                case logs.GapEnded(for_ms):
                    self.log("info", "usage.copies_follow", ledger=writer.log[0], after_ms=round(for_ms))
                case logs.Elected() if own:
                    self._stand(writer, True)
                    self.log(
                        "info",
                        "usage.copied",
                        life=writer.log[1].hex(),
                        epoch=writer.epoch,
                        holders=[name for name, copy in writer.replicas.items() if copy.grant is not None],
                    )
                case logs.EpochRaised(epoch) if own:
                    self._stand(writer, False)
                    self.log(
                        "warning",
                        "usage.epoch_raised",
                        ledger=writer.log[0],
                        epoch=epoch,
                        cause="another member had begun to take this ledger over",
                    )
                    if self.ledger is not None:
                        self.ledger.folder.log.epoch = epoch
                case logs.Fenced(cause) if own:
                    self._begin_anew(cause)
                case logs.Fenced(cause):
                    self.log("warning", "usage.takeover_lost", ledger=writer.log[0], cause=cause)
                    self.takeovers.stop(writer.log)
                    self.ledger_replicas.log_replicas.table[
                        writer.log
                    ].writer = ""  # whoever has it is not known here yet

    def _stand(self, writer: LogWriter, elected: bool) -> None:
        """Keep whether the ledger's epoch is granted. Where the disk refuses, the ledger seems to lack something at its
        next start and is taken over: no harm is done."""
        try:
            on_disk.write_epoch_grant(
                self.files, self.usage.folder, on_disk.EpochGrant(writer.log[1], *writer.elected_position, elected)
            )
        except OSError as error:
            self.log("error", "usage.copy_refused", ledger=self.name, cause=str(error))

    def _whole(self, writer: LogWriter) -> bytes:
        if writer is self.writer and self.ledger is not None:
            return on_disk.snapshot_ledger(self.files, self.usage.folder, self.ledger.accounts, self.sinks)
        replica = self.ledger_replicas.replicas[writer.log]
        return on_disk.snapshot_ledger(self.files, replica.folder, replica.ledger.accounts, self.sinks)

    def _begin_anew(self, cause: str) -> None:
        """Another member goes on with this member's ledger: one of its own begins. Tried again at each look while the
        disk refuses; what is booked meanwhile stands in memory, and is told as not held."""
        ledger, writer, self.fence = self.ledger, self.writer, cause
        assert ledger is not None and writer is not None
        before = ledger.folder
        try:
            if self.aside is None:
                self.aside = before.set_aside()
            folder, ledger.clock = open_folder(
                self.name, ledger.row_lists, self.usage, self.log, self.files, True, max(before.log.epoch, writer.epoch)
            )
        except DISK_ERRORS as error:
            self._not_begun(str(error))
            return
        self.counters.add("usage.fenced")
        self.log(
            "error",
            "usage.fenced",
            cause=cause,
            folder=str(self.aside),
            records_not_held=max(0, before.accounts.state.sequence - writer.replicated_sequence),
            then="a ledger of its own begins; what stands in that folder is for people to look at",
        )
        self.fence, self.aside, self.not_begun = None, None, ""
        ledger.folder = folder
        self._begin(folder.log.epoch)
        ledger.switch_folder(folder)
        for member in self.up:
            assert self.writer is not None
            self._write(self.writer, self.writer.set_reachable(member, True))

    def _not_begun(self, cause: str) -> None:
        """Tell each cause once, not with each try."""
        if cause != self.not_begun:
            self.not_begun = cause
            self.log("error", "usage.not_begun_anew", cause=cause, then="it is tried again; use is booked in memory")

    # The actor.

    async def run(self) -> None:
        async with anyio.create_task_group() as self.takeovers.tasks:
            await self.ledger_replicas.run()

    def close(self) -> None:
        self.ledger_replicas.close()

    def status(self) -> list[dict[str, Any]]:
        """For operators: each ledger that is written or copied here."""
        found = []
        for writer in self._writers():
            found.append(
                {
                    "member": writer.log[0],
                    "life": writer.log[1].hex(),
                    "epoch": writer.epoch,
                    "records": writer.last[1],
                    "held": writer.replicated_sequence,
                    "in_gap": writer.in_gap,
                    "role": "writes" if writer is self.writer else "took over",
                    "copies": {name: copy.state.name.lower() for name, copy in writer.replicas.items()},
                }
            )
        for log, held in self.ledger_replicas.log_replicas.table.items():
            if log not in self.takeovers.table and not held.finished:
                found.append(
                    {
                        "member": log[0],
                        "life": log[1].hex(),
                        "epoch": held.promised,
                        "records": held.last[1],
                        "role": "copies",
                        "sure": held.complete,
                        "readable": held.readable,
                        "writer": held.writer,
                        "writer_dead": held.writer_dead_since_ms is not None,
                    }
                )
        return found
