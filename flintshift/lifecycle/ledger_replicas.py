"""Replicas of other members' usage ledgers on this member's disk, kept by the rules of `replication.log_holders`.

The disk is authoritative: if it rejects what the state machine decided, the state machine is reset to the contents of
the disk (docs/design/copies.md). Imported only if replication and the usage ledger are both on.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from flintshift.core.counters import Counters
from flintshift.core.ports import Log
from flintshift.lifecycle.ledger_takeover import LedgerTakeovers
from flintshift.replication import logs
from flintshift.replication.log_holders import HolderConfig, LogReplicas
from flintshift.replication.logs import LogId
from flintshift.replication.placement import Placement
from flintshift.settings.options import ReplicationOptions
from flintshift.storage.files import Files
from flintshift.storage.log import BrokenLogError
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import replica as on_disk
from flintshift.usage.replica import Replica, ReplicaState

REJECTION_REPORT_DELAY_MS = 500.0  # not reported at once, as the owner then sends a whole snapshot
DISK_ERRORS = (OSError, BrokenLogError, DamagedError)
LEDGERS_FOLDER = "use"  # within the folder of the store


class LedgerReplicas:
    """Performs the actions of the state machine `LogReplicas` on the disk and sends its messages.

    ``send`` sends to a member, ``answer`` to a process that sent a message. ``takeovers`` handles ledgers whose owner
    is dead; it is set before `restore`."""

    takeovers: LedgerTakeovers

    def __init__(
        self,
        name: str,
        identity: str,
        placement: Placement,
        options: ReplicationOptions,
        files: Files,
        boot: str,
        is_alive: Callable[[str], bool],
        now_ms: Callable[[], float],
        send: Callable[[str, logs.LogMessage], None],
        answer: Callable[[str, logs.LogMessage], None],
        counters: Counters,
        log: Log,
    ) -> None:
        self.options, self.files, self.boot, self.now_ms = options, files, boot, now_ms
        self.send, self.answer, self.counters, self.log = send, answer, counters, log
        self.folder = options.folder / LEDGERS_FOLDER
        self.log_replicas = LogReplicas(
            name, identity, placement.log_holders, is_alive, HolderConfig(options.takeover_after_ms)
        )
        self.replicas: dict[LogId, Replica] = {}
        self.rejected_due_ms: dict[LogId, float] = {}  # by log, when its owner is notified of the error
        self.unpersisted_ends: dict[LogId, int] = {}  # by log, the epoch of an end that the disk rejected
        self.unsynced_answers: list[tuple[LogId, str, logs.LogMessage]] = []
        self.sync_wanted = anyio.Event()

    def restore(self) -> None:
        """Open the replicas that are on the disk.

        Raises:
            OSError, LockedError: the folder can't be used; no replica stays open, so that it can be retried.
        """
        try:
            self._restore()
        except BaseException:
            for replica in self.replicas.values():
                replica.ledger.close()
            self.replicas.clear()
            self.log_replicas.table.clear()
            raise

    def _restore(self) -> None:
        for folder, state in on_disk.list_replicas(self.files, self.folder):
            log = state.member, state.life
            complete = state.sure and (self.options.durability == "power-cut" or state.boot in ("", self.boot))
            try:
                replica = Replica(self.files, folder, state, self.options.segment_bytes)
            except DamagedError as error:
                self.log(
                    "error",
                    "usage.copy_damaged",
                    ledger=state.member,
                    cause=str(error),
                    then="the owner of that ledger sends a new snapshot",
                )
                on_disk.remove_contents(self.files, folder)
                replica, complete = Replica(self.files, folder, state, self.options.segment_bytes), False
            self.replicas[log] = replica
            self.log_replicas.restore(log, state.promised, state.by, replica.last, complete, state.over)
            if not state.over:
                replica.save_state(sure=complete, boot=self.boot)

    def perform(self, actions: list[logs.HolderAction]) -> None:
        """Perform actions of the state machine.

        After an error of the disk, the further actions on that ledger are dropped: their answers would acknowledge
        what isn't persisted."""
        failed_logs: set[LogId] = set()
        for action in actions:
            log = (
                action.message.log
                if isinstance(action, logs.Answer | logs.SendToHolder)
                else (action.export.log if isinstance(action, logs.RecordExport) else action.log)
            )
            if log in failed_logs:
                continue
            try:
                self._perform_action(log, action)
            except DISK_ERRORS as error:
                failed_logs.add(log)
                self.on_disk_error(log, error)
                if isinstance(action, logs.MarkFinished):  # the end is reported only once
                    self.unpersisted_ends[log] = action.epoch

    def on_disk_error(self, log: LogId, error: Exception, unsynced: bool = False) -> None:
        """Reset the state machine to the contents of the disk, which rejected one of its actions.

        ``unsynced``: a sync failed, so the last writes may be lost in a power cut, though they can be read now."""
        self.counters.add("usage.copy_refused")
        replica = self.replicas.get(log)
        recovered = replica is not None and self._recover(log, replica)
        if unsynced and replica is not None:
            replica.mark_in_doubt()
        if replica is None:
            self.log_replicas.discard(log)
        elif log not in self.takeovers.table:
            state, last = replica.state, replica.last if recovered else logs.NO_POSITION
            complete = recovered and replica.complete
            self.log_replicas.reset_to_disk(log, state.promised, state.by, last, complete, state.over, recovered)
            self.rejected_due_ms.setdefault(log, self.now_ms() + REJECTION_REPORT_DELAY_MS)
        self.log(
            "error",
            "usage.copy_refused",
            ledger=log[0],
            cause=str(error),
            then="the takeover is retried"
            if log in self.takeovers.table
            else "the replica continues from what is on the disk"
            if replica is not None and self.log_replicas.table[log].complete
            else "the owner of that ledger sends a new snapshot",
        )

    def report_rejected(self, now_ms: float) -> None:
        """Notify owners of rejected messages.

        Those got no answer, and an owner that writes nothing more would take its replica for complete."""
        for log in [log for log, due_ms in self.rejected_due_ms.items() if now_ms >= due_ms]:
            del self.rejected_due_ms[log]
            log_replica = self.log_replicas.table.get(log)
            if log_replica is not None and not log_replica.finished and log not in self.takeovers.table:
                self.answer(
                    log_replica.promised_to,
                    logs.ReplicaStatus(log, logs.ReplicaVerdict.GAP, log_replica.promised, log_replica.last),
                )

    def retry_unreadable(self) -> None:
        """Try to recover replicas that could not be read."""
        for log, log_replica in list(self.log_replicas.table.items()):
            replica = self.replicas.get(log)
            if (
                log_replica.readable
                or replica is None
                or log in self.takeovers.table
                or not self._recover(log, replica)
            ):
                continue
            state = replica.state
            complete = replica.complete
            self.log_replicas.reset_to_disk(log, state.promised, state.by, replica.last, complete, state.over)
            self.log("info", "usage.copy_readable", ledger=log[0], records=replica.last[1], sure=complete)

    def retry_ends(self) -> None:
        """Try again to persist that a ledger is finished."""
        ends, self.unpersisted_ends = self.unpersisted_ends, {}
        for log, epoch in ends.items():
            if log in self.replicas and not self.replicas[log].state.over:
                self.perform(self.log_replicas.mark_finished(log, epoch))

    def _recover(self, log: LogId, replica: Replica) -> bool:
        """Recover a replica from its disk, and return whether it can be appended to.

        An error is logged once, not at each attempt."""
        log_replica = self.log_replicas.table.get(log)
        try:
            replica.recover()
        except DISK_ERRORS as error:
            if log_replica is None or log_replica.readable:
                self.log(
                    "warning",
                    "usage.copy_unreadable",
                    ledger=log[0],
                    folder=str(replica.folder),
                    cause=str(error),
                    then="reading it is retried every 2 s; until then its contents are reported to no member",
                )
        return replica.writable

    def _perform_action(self, log: LogId, action: logs.HolderAction) -> None:
        match action:
            case logs.Promise(_, epoch, process):
                self._persist_promise(log, epoch, process)
            case logs.WriteRecords(_, epoch, first, records):
                self.replicas[log].append(epoch, first, records)
            case logs.InstallSnapshot(_, (epoch, sequence), data):
                self.replicas[log].install_snapshot(epoch, sequence, data)
                self.replicas[log].save_state(sure=True)
            case logs.RecordExport(export):
                self.replicas[log].record_acknowledgement(export.sink, export.name, export.digest)
            case logs.Answer(to, message):
                if self.options.durability == "power-cut":
                    self.unsynced_answers.append((log, to, message))
                    self.sync_wanted.set()
                else:
                    self.answer(to, message)
            case logs.SendToHolder(member, message):
                self.send(member, message)
            case logs.TakenOver():
                self.takeovers.begin(action)
            case logs.MarkFinished(_, epoch):
                self.replicas[log].mark_finished(epoch)
                self.takeovers.stop(log)
            case logs.DeleteReplica():
                self.replicas.pop(log).delete()
            case logs.AbandonLog(_, writer):
                self._abandon(log, writer)

    def _abandon(self, log: LogId, writer: str) -> None:
        """Delete the empty replica of a ledger whose owner is dead.

        The owner logged ``usage.copies_lack`` when it recorded use while no replica answered."""
        self.counters.add("usage.copy_let_go")
        self.log(
            "warning",
            "usage.copy_let_go",
            ledger=log[0],
            life=log[1].hex(),
            of=writer,
            cause="its owner is dead, and this replica never got a snapshot",
            then="if the owner returns with its disk, the ledger is replicated again",
        )
        self.replicas.pop(log).delete()

    def _persist_promise(self, log: LogId, epoch: int, by: str) -> None:
        """Persist a promise. A new replica exists once its first promise is persisted."""
        replica = self.replicas.get(log)
        if replica is not None:
            replica.save_state(promised=epoch, by=by)
            return
        state = ReplicaState(*log, epoch, by, False, self.boot)
        folder = self.folder / on_disk.replica_folder_name(*log)
        replica = Replica(self.files, folder, state, self.options.segment_bytes)
        try:
            replica.save_state()
        except BaseException:
            replica.ledger.close()
            raise
        self.replicas[log] = replica

    def retire(self, sinks: list[str], retention_ms: float) -> None:
        """Delete documents that every sink has, and those beyond the retention time."""
        for log, replica in self.replicas.items():
            try:
                if not replica.state.over:
                    replica.retire(sinks, retention_ms, time.time() * 1000)
            except DISK_ERRORS as error:
                self.log("warning", "usage.retire_failed", ledger=log[0], cause=str(error))

    async def run(self) -> None:
        """Sync and acknowledge records as they are written, if a power cut must not lose them."""
        while True:
            while not self.unsynced_answers:
                self.sync_wanted = anyio.Event()
                await self.sync_wanted.wait()
            await self.sync()

    async def sync(self) -> None:
        """Sync the replicas that have unsent answers, then send these answers."""
        answers, self.unsynced_answers = self.unsynced_answers, []
        for log in {log for log, _, _ in answers}:
            try:
                replica = self.replicas.get(log)
                if replica is not None and not replica.state.over:
                    await anyio.to_thread.run_sync(replica.ledger.log.sync)
            except DISK_ERRORS as error:
                self.on_disk_error(log, error, unsynced=True)
                answers = [answer for answer in answers if answer[0] != log]
        for _, to, message in answers:
            self.answer(to, message)

    def close(self) -> None:
        """Close all replicas."""
        for log, replica in self.replicas.items():
            try:
                replica.close()
            except DISK_ERRORS as error:  # after a reboot of the machine it gets a new snapshot
                self.log("warning", "usage.copy_not_closed", ledger=log[0], cause=str(error))
