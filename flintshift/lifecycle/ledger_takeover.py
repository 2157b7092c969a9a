"""Takes over the usage ledgers of dead members: closes their open periods, exports the documents and finishes them.

Imported only if replication and the usage ledger are both on.
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
    """A takeover of the ledger of a dead member, until all its documents are exported."""

    def __init__(self, replica: Replica, writer: LogWriter) -> None:
        self.replica, self.writer = replica, writer
        self.opened = False  # the first record under the new epoch is written
        self.export_scope: anyio.CancelScope | None = None
        self.request_export_check: Callable[[], object] = lambda: None

    @property
    def has_unwritten_documents(self) -> bool:
        """The ledger has open periods, or documents that are not written yet."""
        state = self.replica.ledger.accounts.state
        return bool(state.periods or state.documents)


class ReplicaHost(Protocol):
    """The replicas of ledgers on this member, as far as a takeover uses them."""

    files: Files
    log_replicas: LogReplicas
    replicas: dict[LogId, Replica]
    send: Callable[[str, logs.LogMessage], None]
    counters: Counters
    log: Log

    def perform(self, actions: list[logs.HolderAction]) -> None: ...
    def on_disk_error(self, log: LogId, error: Exception) -> None: ...


class LedgerTakeovers:
    """All takeovers of this member.

    ``make_writer`` makes the writer of a ledger under an epoch, after its last position; ``perform`` performs the
    actions of a writer; ``send_export`` notifies the other holders that a sink has a document."""

    def __init__(
        self,
        replica_host: ReplicaHost,
        usage: UsageOptions,
        sinks: list[str],
        reachable: set[str],
        now_ms: Callable[[], float],
        make_writer: Callable[[LogId, int, logs.LogPosition], LogWriter],
        perform: Callable[[LogWriter, list[logs.WriterAction]], None],
        send_export: Callable[[LogWriter, str, str, bytes], None],
    ) -> None:
        self.replica_host, self.usage, self.sinks, self.reachable, self.now_ms = (
            replica_host,
            usage,
            sinks,
            reachable,
            now_ms,
        )
        self.make_writer, self.perform, self.send_export = make_writer, perform, send_export
        self.files, self.send, self.counters, self.log = (
            replica_host.files,
            replica_host.send,
            replica_host.counters,
            replica_host.log,
        )
        self.table: dict[LogId, LedgerTakeover] = {}
        self.tasks: TaskGroup | None = None  # for the exports, while the node runs

    def advance_all(self) -> None:
        """Do for each takeover what can be done now."""
        for log in list(self.table):
            try:
                self._advance(log)
            except DISK_ERRORS as error:
                self.replica_host.on_disk_error(log, error)

    def begin(self, decision: logs.TakenOver) -> None:
        """Begin the takeover of a ledger for which a majority of its holders voted."""
        log, epoch, last = decision.log, decision.epoch, decision.last
        replica = self.replica_host.replicas[log]
        writer = self.make_writer(log, epoch, last)
        self.table[log] = LedgerTakeover(replica, writer)
        self.counters.add("usage.took_over")
        self.log(
            "error" if decision.missing_holders else "warning",
            "usage.took_over",
            ledger=log[0],
            life=log[1].hex(),
            epoch=epoch,
            of=decision.previous_writer,
            records=last[1],
            without=list(decision.missing_holders),
            cause="its owner is dead, and no more than this can be recovered: these holders have no replica"
            if decision.missing_holders
            else "its owner is dead, and a majority of its holders has promised the epoch",
        )
        self._open(self.table[log])

    def _open(self, takeover: LedgerTakeover) -> None:
        """Write the first record under the new epoch, and ask the other holders to follow.

        It is retried while the disk rejects it."""
        state, writer = takeover.replica.ledger.accounts.state, takeover.writer
        takeover.replica.ledger.log.epoch = writer.epoch
        self._append(
            takeover,
            Opened(
                state.node,
                state.life,
                state.period_ms,
                state.clubs,
                state.classes,
                int(max(time.time() * 1000, state.last_ms)),
            ),
        )
        takeover.opened = True
        for member in self.reachable:
            self.perform(writer, writer.set_reachable(member, True))

    def _append(self, takeover: LedgerTakeover, *entries: Entry) -> None:
        first, items = takeover.replica.write(*entries)
        self.replica_host.log_replicas.table[takeover.writer.log].last = takeover.replica.last
        self.perform(takeover.writer, takeover.writer.handle_written(self.now_ms(), first, tuple(items), False))

    def _advance(self, log: LogId) -> None:
        """Close the open periods of a ledger, write and export its documents, then finish the ledger."""
        takeover = self.table[log]
        ledger, writer = takeover.replica.ledger, takeover.writer
        if writer.fenced:
            return
        if not takeover.opened:
            self._open(takeover)
        for action in LedgerPolicy(ledger.accounts, 0).handle(time.time() * 1000, OwnerDied()):
            if isinstance(action, Append):
                self._append(takeover, action.entry)
        documents = list(ledger.accounts.state.documents)
        # Documents are written and exported only once no other owner can close their periods differently.
        if documents and writer.replicated_sequence >= writer.last[1]:
            self._append(takeover, Published(ledger.write_documents(documents)))
            takeover.request_export_check()
        if (
            takeover.export_scope is None
            and self.sinks
            and self.tasks is not None
            and not takeover.has_unwritten_documents
        ):
            takeover.export_scope = anyio.CancelScope()
            self.tasks.start_soon(self._export, takeover)
        if (
            self.sinks
            and not takeover.has_unwritten_documents
            and writer.replicated_sequence >= writer.last[1]
            and not any(unacknowledged(self.files, takeover.replica.folder, self.sinks).values())
        ):
            self.log("info", "usage.takeover_done", ledger=log[0], life=log[1].hex(), epoch=writer.epoch)
            for member in writer.replicas:
                self.send(member, logs.LogFinished(log, writer.epoch))
            self.replica_host.perform(self.replica_host.log_replicas.mark_finished(log, writer.epoch))

    async def _export(self, takeover: LedgerTakeover) -> None:
        assert self.usage.export is not None and takeover.export_scope is not None
        with takeover.export_scope:
            while True:
                export = create_export(
                    takeover.replica.folder,
                    self.usage.export,
                    self.log,
                    False,
                    self.files,
                    takeover.replica.ledger.accounts.state,
                    lambda sink, name, digest: self.send_export(takeover.writer, sink, name, digest),
                )
                takeover.request_export_check = export.request_check
                try:
                    await export.run()
                except* DISK_ERRORS as errors:
                    self.log("error", "export.stopped", cause="; ".join(map(str, errors.exceptions)))
                await anyio.sleep(RESTART_DELAY_S)

    def stop(self, log: LogId) -> None:
        """End a takeover: another member has the ledger, or it is finished."""
        takeover = self.table.pop(log, None)
        if takeover is not None and takeover.export_scope is not None:
            takeover.export_scope.cancel()
