"""Copies of other members' ledgers on this member's disk, in step with the rules of `copies.log_holders`.

The disk owns the truth: where it refuses what the state machine decided, the state machine is put back to what stands
there (docs/design/copies.md). Imported only where copies and the ledger of use are both on.
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
from flintshift.settings.options import CopiesOptions
from flintshift.storage.files import Files
from flintshift.storage.log import BrokenLogError
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import replica as on_disk
from flintshift.usage.replica import Replica, ReplicaState

TELL_REFUSED_MS = 500.0  # from a refusal until a writer hears of it: not at once, as it answers with all that it has
DISK_ERRORS = (OSError, BrokenLogError, DamagedError)
FOLDER = "use"  # below the copies' folder


class LedgerReplicas:
    """``send`` speaks to a member, ``answer`` to one that asked. ``taken`` is what becomes of those whose writer is
    dead; it is set before anything is held."""

    takeovers: LedgerTakeovers

    def __init__(
        self,
        name: str,
        identity: str,
        placement: Placement,
        options: CopiesOptions,
        files: Files,
        boot: str,
        lives: Callable[[str], bool],
        now_ms: Callable[[], float],
        send: Callable[[str, logs.LogMessage], None],
        answer: Callable[[str, logs.LogMessage], None],
        counters: Counters,
        log: Log,
    ) -> None:
        self.options, self.files, self.boot, self.now_ms = options, files, boot, now_ms
        self.send, self.answer, self.counters, self.log = send, answer, counters, log
        self.folder = options.folder / FOLDER
        self.log_replicas = LogReplicas(
            name, identity, placement.log_holders, lives, HolderConfig(options.take_over_ms)
        )
        self.replicas: dict[LogId, Replica] = {}
        self.refused: dict[LogId, float] = {}  # copies whose writer is to hear that their disk refused, and when
        self.ends: dict[LogId, int] = {}  # by log, the epoch of an end that the disk refused
        self.unsynced: list[tuple[LogId, str, logs.LogMessage]] = []
        self.sync_wanted = anyio.Event()

    def restore(self) -> None:
        """Hold what stands on the disk.

        Raises:
            OSError, LockedError: the folder can't be used; nothing of it is held, so that it can be tried again.
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
            sure = state.sure and (self.options.durability == "power-cut" or state.boot in ("", self.boot))
            try:
                replica = Replica(self.files, folder, state, self.options.segment_bytes)
            except DamagedError as error:
                self.log(
                    "error",
                    "usage.copy_damaged",
                    ledger=state.member,
                    cause=str(error),
                    then="it is filled anew by whoever writes that ledger",
                )
                on_disk.remove_contents(self.files, folder)
                replica, sure = Replica(self.files, folder, state, self.options.segment_bytes), False
            self.replicas[log] = replica
            self.log_replicas.restore(log, state.promised, state.by, replica.last, sure, state.over)
            if not state.over:
                replica.save_state(sure=sure, boot=self.boot)

    def perform(self, actions: list[logs.HolderAction]) -> None:
        """Do what the state machine says. Where the disk refuses, nothing more is done on that ledger: what was to be
        answered stands on no disk."""
        refused: set[LogId] = set()
        for action in actions:
            log = (
                action.message.log
                if isinstance(action, logs.Answer | logs.SendToHolder)
                else (action.export.log if isinstance(action, logs.RecordExport) else action.log)
            )
            if log in refused:
                continue
            try:
                self._perform_action(log, action)
            except DISK_ERRORS as error:
                refused.add(log)
                self.on_disk_error(log, error)
                if isinstance(action, logs.MarkFinished):  # it was told once, and is not asked for again
                    self.ends[log] = action.epoch

    def on_disk_error(self, log: LogId, error: Exception, unsynced: bool = False) -> None:
        """The disk refused what the state machine had decided. The disk has the truth: the state machine is put back
        to what stands there. ``unsynced``: what was written last may be gone, whatever can be read of it now."""
        self.counters.add("usage.copy_refused")
        replica = self.replicas.get(log)
        known = replica is not None and self._recover(log, replica)
        if unsynced and replica is not None:
            replica.mark_in_doubt()
        if replica is None:
            self.log_replicas.discard(log)
        elif log not in self.takeovers.table:
            state, last = replica.state, replica.last if known else logs.NO_POSITION
            sure = known and replica.complete
            self.log_replicas.reset_to_disk(log, state.promised, state.by, last, sure, state.over, known)
            self.refused.setdefault(log, self.now_ms() + TELL_REFUSED_MS)
        self.log(
            "error",
            "usage.copy_refused",
            ledger=log[0],
            cause=str(error),
            then="tried again"
            if log in self.takeovers.table
            else "it goes on from what it holds"
            if replica is not None and self.log_replicas.table[log].complete
            else "it is filled anew by whoever writes that ledger",
        )

    def report_rejected(self, now: float) -> None:
        """A word that was refused had no answer, and a writer that writes no more would take its copy for whole."""
        for log in [log for log, due_ms in self.refused.items() if now >= due_ms]:
            del self.refused[log]
            held = self.log_replicas.table.get(log)
            if held is not None and not held.finished and log not in self.takeovers.table:
                self.answer(
                    held.promised_to, logs.ReplicaStatus(log, logs.ReplicaVerdict.GAP, held.promised, held.last)
                )

    def retry_unreadable(self) -> None:
        """Look again at copies that could not be read."""
        for log, held in list(self.log_replicas.table.items()):
            replica = self.replicas.get(log)
            if held.readable or replica is None or log in self.takeovers.table or not self._recover(log, replica):
                continue
            state = replica.state
            sure = replica.complete
            self.log_replicas.reset_to_disk(log, state.promised, state.by, replica.last, sure, state.over)
            self.log("info", "usage.copy_readable", ledger=log[0], records=replica.last[1], sure=sure)

    def retry_ends(self) -> None:
        """Try again to keep that a ledger is over."""
        ends, self.ends = self.ends, {}
        for log, epoch in ends.items():
            if log in self.replicas and not self.replicas[log].state.over:
                self.perform(self.log_replicas.mark_finished(log, epoch))

    def _recover(self, log: LogId, replica: Replica) -> bool:
        """What stands on the disk of this copy is known, and it can go on from there. Told once, not with each look."""
        held = self.log_replicas.table.get(log)
        try:
            replica.recover()
        except DISK_ERRORS as error:
            if held is None or held.readable:
                self.log(
                    "warning",
                    "usage.copy_unreadable",
                    ledger=log[0],
                    folder=str(replica.folder),
                    cause=str(error),
                    then="it is read again each 2 s; until it can be, nobody hears what it holds",
                )
        return replica.writable

    def _perform_action(self, log: LogId, action: logs.HolderAction) -> None:
        match action:
            case logs.Promise(_, epoch, by):
                self._promise(log, epoch, by)
            case logs.WriteRecords(_, epoch, first, records):
                self.replicas[log].append(epoch, first, records)
            case logs.InstallSnapshot(_, (epoch, sequence), data):
                self.replicas[log].install_snapshot(epoch, sequence, data)
                self.replicas[log].save_state(sure=True)
            case logs.RecordExport(told):
                self.replicas[log].record_acknowledgement(told.sink, told.name, told.digest)
            case logs.Answer(to, word):
                if self.options.durability == "power-cut":
                    self.unsynced.append((log, to, word))
                    self.sync_wanted.set()
                else:
                    self.answer(to, word)
            case logs.SendToHolder(member, word):
                self.send(member, word)
            case logs.TakenOver():
                self.takeovers.begin(action)
            case logs.MarkFinished(_, epoch):
                self.replicas[log].mark_finished(epoch)
                self.takeovers.stop(log)
            case logs.DeleteReplica():
                self.replicas.pop(log).delete()
            case logs.AbandonLog(_, of):
                self._lost(log, of)

    def _lost(self, log: LogId, of: str) -> None:
        """A ledger of a dead writer of which nothing came here. What it booked while no copy answered was told as
        ``usage.copies_lack`` by its writer."""
        self.counters.add("usage.copy_let_go")
        self.log(
            "warning",
            "usage.copy_let_go",
            ledger=log[0],
            life=log[1].hex(),
            of=of,
            cause="its writer is dead, and this copy was never filled",
            then="where the writer comes back with its disk, it is copied again",
        )
        self.replicas.pop(log).delete()

    def _promise(self, log: LogId, epoch: int, by: str) -> None:
        """Keep a promise; a copy counts once its first one stands on the disk."""
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
        """Let go of what every sink has, and of what is too old."""
        for log, replica in self.replicas.items():
            try:
                if not replica.state.over:
                    replica.retire(sinks, retention_ms, time.time() * 1000)
            except DISK_ERRORS as error:
                self.log("warning", "usage.retire_failed", ledger=log[0], cause=str(error))

    async def run(self) -> None:
        """Acknowledge copies as their syncs end, where a power cut must not lose them."""
        while True:
            while not self.unsynced:
                self.sync_wanted = anyio.Event()
                await self.sync_wanted.wait()
            await self.sync()

    async def sync(self) -> None:
        """Acknowledge what stands on the disk, whatever becomes of the machine."""
        told, self.unsynced = self.unsynced, []
        for log in {log for log, _, _ in told}:
            try:
                replica = self.replicas.get(log)
                if replica is not None and not replica.state.over:
                    await anyio.to_thread.run_sync(replica.ledger.log.sync)
            except DISK_ERRORS as error:
                self.on_disk_error(log, error, unsynced=True)
                told = [one for one in told if one[0] != log]
        for _, to, word in told:
            self.answer(to, word)

    def close(self) -> None:
        for log, replica in self.replicas.items():
            try:
                replica.close()
            except DISK_ERRORS as error:  # after a start of the machine it is filled anew
                self.log("warning", "usage.copy_not_closed", ledger=log[0], cause=str(error))
