"""Ledgers of dead members that this member goes on with: what is open in them is closed and exported, and then they are
over. Imported only where copies and the ledger of use are both on.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from flintshift.core.counters import Counters
from flintshift.core.ports import Log
from flintshift.lifecycle.exports import RESTART_DELAY_S, create_export
from flintshift.replication import logs
from flintshift.replication.log_holders import LogReplicas
from flintshift.replication.log_writer import LogWriter
from flintshift.replication.logs import LogId
from flintshift.settings.options import UsageOptions
from flintshift.storage.files import Files
from flintshift.storage.log import BrokenLogError
from flintshift.storage.snapshot import DamagedError
from flintshift.usage.folder import unacknowledged
from flintshift.usage.messages import Append, OwnerDied
from flintshift.usage.policy import LedgerPolicy
from flintshift.usage.records import Entry, Opened, Published
from flintshift.usage.replica import Replica

DISK_ERRORS = (OSError, BrokenLogError, DamagedError)


class LedgerTakeover:
    """Of a dead member, until all of it is exported."""

    def __init__(self, replica: Replica, writer: LogWriter) -> None:
        self.replica, self.writer = replica, writer
        self.opened = False  # its first record under the new epoch stands
        self.exporting: anyio.CancelScope | None = None
        self.look: Callable[[], object] = lambda: None

    @property
    def waits(self) -> bool:
        """Something is still to be closed, or to be written as a document."""
        state = self.replica.ledger.accounts.state
        return bool(state.periods or state.documents)


class Copies(Protocol):
    """The member's copies of ledgers, as far as a takeover needs them."""

    files: Files
    log_replicas: LogReplicas
    replicas: dict[LogId, Replica]
    send: Callable[[str, logs.LogMessage], None]
    counters: Counters
    log: Log

    def perform(self, actions: list[logs.HolderAction]) -> None: ...
    def on_disk_error(self, log: LogId, error: Exception) -> None: ...


class LedgerTakeovers:
    """``new_writer`` makes the writer of a ledger under an epoch, from its last place on; ``write`` does what a writer
    answers; ``exported`` tells other holders what a sink has."""

    def __init__(
        self,
        copies: Copies,
        usage: UsageOptions,
        sinks: list[str],
        up: set[str],
        now_ms: Callable[[], float],
        new_writer: Callable[[LogId, int, logs.LogPosition], LogWriter],
        write: Callable[[LogWriter, list[logs.WriterAction]], None],
        exported: Callable[[LogWriter, str, str, bytes], None],
    ) -> None:
        self.copies, self.usage, self.sinks, self.up, self.now_ms = copies, usage, sinks, up, now_ms
        self.new_writer, self.write, self.exported = new_writer, write, exported
        self.files, self.send, self.counters, self.log = copies.files, copies.send, copies.counters, copies.log
        self.table: dict[LogId, LedgerTakeover] = {}
        self.tasks: TaskGroup | None = None  # for exports, while the node runs

    def advance_all(self) -> None:
        """A look at each."""
        for log in list(self.table):
            try:
                self._go_on(log)
            except DISK_ERRORS as error:
                self.copies.on_disk_error(log, error)

    def begin(self, told: logs.TakenOver) -> None:
        """This member is the one that goes on with a ledger."""
        log, epoch, last = told.log, told.epoch, told.last
        replica = self.copies.replicas[log]
        writer = self.new_writer(log, epoch, last)
        self.table[log] = LedgerTakeover(replica, writer)
        self.counters.add("usage.took_over")
        self.log(
            "error" if told.missing_holders else "warning",
            "usage.took_over",
            ledger=log[0],
            life=log[1].hex(),
            epoch=epoch,
            of=told.previous_writer,
            records=last[1],
            without=list(told.missing_holders),
            cause="its writer is dead, and no more than this can be had: these hold no copy"
            if told.missing_holders
            else "its writer is dead, and a majority of its holders has promised the epoch",
        )
        self._open(self.table[log])

    def _open(self, taken: LedgerTakeover) -> None:
        """Write the first record under the new epoch, and ask the others to follow. Tried again while the disk
        refuses."""
        state, writer = taken.replica.ledger.accounts.state, taken.writer
        taken.replica.ledger.log.epoch = writer.epoch
        self._append(
            taken,
            Opened(
                state.node,
                state.life,
                state.period_ms,
                state.clubs,
                state.classes,
                int(max(time.time() * 1000, state.last_ms)),
            ),
        )
        taken.opened = True
        for member in self.up:
            self.write(writer, writer.set_reachable(member, True))

    def _append(self, taken: LedgerTakeover, *entries: Entry) -> None:
        first, items = taken.replica.write(*entries)
        self.copies.log_replicas.table[taken.writer.log].last = taken.replica.last
        self.write(taken.writer, taken.writer.handle_written(self.now_ms(), first, tuple(items), False))

    def _go_on(self, log: LogId) -> None:
        """Close what is open, export it, and be done with it."""
        taken = self.table[log]
        ledger, writer = taken.replica.ledger, taken.writer
        if writer.fenced:
            return
        if not taken.opened:
            self._open(taken)
        for action in LedgerPolicy(ledger.accounts, 0).handle(time.time() * 1000, OwnerDied()):
            if isinstance(action, Append):
                self._append(taken, action.entry)
        made = list(ledger.accounts.state.documents)
        if (
            made and writer.replicated_sequence >= writer.last[1]
        ):  # nobody exports what another may close in another way
            self._append(taken, Published(ledger.write_documents(made)))
            taken.look()
        if taken.exporting is None and self.sinks and self.tasks is not None and not taken.waits:
            taken.exporting = anyio.CancelScope()
            self.tasks.start_soon(self._export, taken)
        if (
            self.sinks
            and not taken.waits
            and writer.replicated_sequence >= writer.last[1]
            and not any(unacknowledged(self.files, taken.replica.folder, self.sinks).values())
        ):
            self.log("info", "usage.takeover_done", ledger=log[0], life=log[1].hex(), epoch=writer.epoch)
            for member in writer.replicas:
                self.send(member, logs.LogFinished(log, writer.epoch))
            self.copies.perform(self.copies.log_replicas.mark_finished(log, writer.epoch))

    async def _export(self, taken: LedgerTakeover) -> None:
        assert self.usage.export is not None and taken.exporting is not None
        with taken.exporting:
            while True:
                export = create_export(
                    taken.replica.folder,
                    self.usage.export,
                    self.log,
                    False,
                    self.files,
                    taken.replica.ledger.accounts.state,
                    lambda sink, name, digest: self.exported(taken.writer, sink, name, digest),
                )
                taken.look = export.request_check
                try:
                    await export.run()
                except* DISK_ERRORS as errors:
                    self.log("error", "export.stopped", cause="; ".join(map(str, errors.exceptions)))
                await anyio.sleep(RESTART_DELAY_S)

    def stop(self, log: LogId) -> None:
        """Another goes on with it, or it is over."""
        taken = self.table.pop(log, None)
        if taken is not None and taken.exporting is not None:
            taken.exporting.cancel()
