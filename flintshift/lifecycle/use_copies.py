"""The ledgers of use on further members: this member's own is written to others, theirs are copied here, and those of
dead members are taken over and exported. The rules are `copies.logs`; here are the disk, the links and the ledger.

Imported only where copies and the ledger of use are both on.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from flintshift.copies import logs
from flintshift.copies.log_holders import HeldLogs, HolderPace
from flintshift.copies.log_writer import LogWriter
from flintshift.copies.logs import LogId
from flintshift.copies.placement import Placement
from flintshift.core.counters import Counters
from flintshift.core.ports import Log
from flintshift.lifecycle.books import open_folder
from flintshift.lifecycle.exports import AGAIN_S, export_run
from flintshift.settings.options import CopiesOptions, UsageOptions
from flintshift.storage.files import Files
from flintshift.storage.log import BrokenError
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import replica as on_disk
from flintshift.usage.folder import unacknowledged
from flintshift.usage.keeper import Keeper
from flintshift.usage.ledger import HELD_MS, RETIRE_MS, Ledger
from flintshift.usage.messages import Append, WriterGone
from flintshift.usage.records import Entry, Opened, Published
from flintshift.usage.replica import CopyState, Replica

AGAIN_MS = 2000.0  # between two looks for members that are in reach and do not follow
TELL_REFUSED_MS = 500.0  # from a refusal until a writer hears of it: not at once, as it answers with all that it has
SPARE_MS = 100.0  # before its due time, an answer waits for copies no longer: a tick may be late
REFUSED = (OSError, BrokenError, DamagedError)
FOLDER = "use"  # below the copies' folder


class TakenLedger:
    """Of a dead member, until all of it is exported."""

    def __init__(self, replica: Replica, writer: LogWriter) -> None:
        self.replica, self.writer = replica, writer
        self.opened = False  # its first record under the new epoch stands
        self.exporting: anyio.CancelScope | None = None
        self.look: Callable[[], object] = lambda: None

    @property
    def waits(self) -> bool:
        """Something is still to be closed, or to be written as a document."""
        state = self.replica.ledger.book.state
        return bool(state.periods or state.documents)


class UseCopies:
    """``usage.ledger.Copies`` of this member's ledger. ``send`` speaks to a member, ``answer`` to one that asked."""

    def __init__(
        self,
        name: str,
        identity: str,
        placement: Placement,
        options: CopiesOptions,
        usage: UsageOptions,
        files: Files,
        boot: str,
        lives: Callable[[str], bool],
        now_ms: Callable[[], float],
        send: Callable[[str, logs.LogWord], None],
        answer: Callable[[str, logs.LogWord], None],
        counters: Counters,
        log: Log,
    ) -> None:
        self.name, self.identity, self.placement, self.options, self.usage = name, identity, placement, options, usage
        self.files, self.boot, self.now_ms, self.send, self.answer = files, boot, now_ms, send, answer
        self.counters, self.log = counters, log
        self.folder = options.folder / FOLDER
        self.held_logs = HeldLogs(name, identity, placement.of_log, lives, HolderPace(options.take_over_ms))
        self.replicas: dict[LogId, Replica] = {}
        self.taken: dict[LogId, TakenLedger] = {}
        self.ledger: Ledger | None = None
        self.writer: LogWriter | None = None  # of this member's own ledger
        self.up: set[str] = set()
        self.tasks: TaskGroup | None = None
        self.unsynced_refused: set[LogId] = set()  # copies of which a sync failed: what can be read may be gone later
        self.refused: dict[LogId, float] = {}  # copies whose writer is to hear that their disk refused, and when
        self.fence: str | None = None  # why another ledger is to begin, until it has
        self.aside: Path | None = None  # where the one before was put for that
        self.not_begun = ""  # why it has not, as it was told last
        self.ends: dict[LogId, int] = {}  # by log, the epoch of an end that the disk refused
        self.unsynced: list[tuple[LogId, str, logs.LogWord]] = []
        self.sync_wanted = anyio.Event()
        self.again_ms = self.retired_ms = now_ms()
        self.sinks = (
            [name for name, sink in (("folder", usage.export.folder), ("http", usage.export.http)) if sink]
            if usage.export is not None
            else []
        )

    # Starts.

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
            self.held_logs.table.clear()
            raise

    def _restore(self) -> None:
        for folder, state in on_disk.stands(self.files, self.folder):
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
                on_disk.emptied(self.files, folder)
                replica, sure = Replica(self.files, folder, state, self.options.segment_bytes), False
            self.replicas[log] = replica
            self.held_logs.restored(log, state.promised, state.by, replica.last, sure, state.over)
            if not state.over:
                replica.keep(sure=sure, boot=self.boot)

    def write(self, ledger: Ledger) -> None:
        """Copy this ledger from now on."""
        self.ledger, ledger.copies = ledger, self
        self._begin(ledger.folder.log.epoch)

    def _begin(self, epoch: int) -> None:
        assert self.ledger is not None
        folder = self.ledger.folder
        self.held_logs.own = self.name, folder.book.state.life
        self.writer = LogWriter(
            self.held_logs.own,
            epoch,
            (epoch, folder.log.following - 1),
            self._others(self.name),
            self._needed(self.name),
            HELD_MS,
            folder.before,
        )

    def _others(self, member: str) -> tuple[str, ...]:
        return tuple(name for name in self.placement.of_log(member) if name != self.name)

    def _needed(self, member: str) -> int:
        return len(self.placement.of_log(member)) // 2

    # The ledger's port.

    @property
    def held(self) -> float:
        assert self.writer is not None
        return math.inf if self.writer.in_gap or not self.writer.needed else self.writer.held

    @property
    def in_gap(self) -> bool:
        return self.writer is not None and self.writer.in_gap

    def stands(self, sequence: int) -> bool:
        assert self.writer is not None
        return not self.writer.fenced and (self.writer.held >= sequence or not self.writer.needed)

    def wrote(self, first: int, items: list[tuple[int, bytes]], answers: bool) -> None:
        assert self.writer is not None
        if not self.writer.fenced:
            self._write(self.writer, self.writer.wrote(self.now_ms(), first, tuple(items), answers))

    def exported(self, sink: str, name: str, digest: bytes) -> None:
        if self.writer is not None:
            self._tell_exported(self.writer, sink, name, digest)

    def _tell_exported(self, writer: LogWriter, sink: str, name: str, digest: bytes) -> None:
        for member in writer.copies:
            self.send(member, logs.Exported(writer.log, sink, name, digest))

    # Between members.

    def reach(self, member: str, up: bool) -> None:
        (self.up.add if up else self.up.discard)(member)
        for writer in self._writers():
            self._write(writer, writer.reach(member, up))
        if up:
            self._hold(self.held_logs.reach(member))

    def _writers(self) -> list[LogWriter]:
        own = [self.writer] if self.writer is not None else []
        return own + [taken.writer for taken in self.taken.values()]

    def answered(self, member: str, at: logs.At) -> None:
        for writer in self._writers():
            if writer.log == at.log:
                self._write(writer, writer.told(self.now_ms(), member, at))
                return
        self._hold(self.held_logs.told(member, at))

    def asked(self, identity: str, word: logs.LogWord) -> None:
        self._hold(self.held_logs.asked(identity, word))

    def tick(self) -> None:
        now = self.now_ms()
        self._hold(self.held_logs.tick(now))
        self._tell_refused(now)
        self._keep_ends()
        if self.fence is not None:
            self._begin_anew(self.fence)
        again = now >= self.again_ms + AGAIN_MS
        for writer in self._writers():
            self._write(writer, writer.tick(now, self._due_ms() if writer is self.writer else math.inf))
            if again:
                self._write(writer, writer.again())
        if again:
            self.again_ms = now
            self._read_again()
        own, ledger = self.writer, self.ledger
        if own is not None and ledger is not None and own.last[0] != own.epoch and not ledger.commit.stalls:
            ledger.write_nothing()
        for log in list(self.taken):
            try:
                self._go_on(log)
            except REFUSED as error:
                self._refused(log, error)
        if now >= self.retired_ms + RETIRE_MS:
            self.retired_ms = now
            self._retire()

    def _due_ms(self) -> float:
        """When an answer that waits must leave, by the steady clock."""
        assert self.ledger is not None
        return self.ledger.due_ms() - SPARE_MS

    # What the writers answer.

    def _write(self, writer: LogWriter, actions: list[logs.WriterAction]) -> None:
        own = writer is self.writer
        for action in actions:
            match action:
                case logs.SendTo(member, word):
                    self.send(member, word)
                case logs.WholeWanted(member):
                    self.counters.add("usage.copies_filled")
                    try:
                        self._write(writer, writer.whole(member, self._whole(writer)))
                    except OSError as error:
                        self.log("error", "usage.copy_not_filled", name=member, cause=str(error))
                case logs.Held():
                    if own and self.ledger is not None:
                        self.ledger.release()
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
                        holders=[name for name, copy in writer.copies.items() if copy.granted is not None],
                    )
                case logs.Raised(epoch) if own:
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
                    self._leave(writer.log)
                    self.held_logs.table[writer.log].writer = ""  # whoever has it is not known here yet

    def _stand(self, writer: LogWriter, elected: bool) -> None:
        """Keep whether the ledger's epoch is granted. Where the disk refuses, the ledger seems to lack something at its
        next start and is taken over: no harm is done."""
        try:
            on_disk.keep_standing(
                self.files, self.usage.folder, on_disk.Standing(writer.log[1], *writer.before, elected)
            )
        except OSError as error:
            self.log("error", "usage.copy_refused", ledger=self.name, cause=str(error))

    def _whole(self, writer: LogWriter) -> bytes:
        if writer is self.writer and self.ledger is not None:
            return on_disk.whole_of(self.files, self.usage.folder, self.ledger.book, self.sinks)
        replica = self.replicas[writer.log]
        return on_disk.whole_of(self.files, replica.folder, replica.ledger.book, self.sinks)

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
                self.name, ledger.lists, self.usage, self.log, self.files, True, max(before.log.epoch, writer.epoch)
            )
        except REFUSED as error:
            self._not_begun(str(error))
            return
        self.counters.add("usage.fenced")
        self.log(
            "error",
            "usage.fenced",
            cause=cause,
            folder=str(self.aside),
            records_not_held=max(0, before.book.state.sequence - writer.held),
            then="a ledger of its own begins; what stands in that folder is for people to look at",
        )
        self.fence, self.aside, self.not_begun = None, None, ""
        ledger.folder = folder
        self._begin(folder.log.epoch)
        ledger.begin_anew(folder)
        for member in self.up:
            assert self.writer is not None
            self._write(self.writer, self.writer.reach(member, True))

    def _not_begun(self, cause: str) -> None:
        """Tell each cause once, not with each try."""
        if cause != self.not_begun:
            self.not_begun = cause
            self.log("error", "usage.not_begun_anew", cause=cause, then="it is tried again; use is booked in memory")

    # What the holder answers.

    def _hold(self, actions: list[logs.HolderAction]) -> None:
        """Do what the state machine says. Where the disk refuses, nothing more is done on that ledger: what was to be
        answered stands on no disk."""
        refused: set[LogId] = set()
        for action in actions:
            log = (
                action.word.log
                if isinstance(action, logs.Answer | logs.Ask)
                else (action.told.log if isinstance(action, logs.Note) else action.log)
            )
            if log in refused:
                continue
            try:
                self._held(log, action)
            except REFUSED as error:
                refused.add(log)
                self._refused(log, error)
                if isinstance(action, logs.Forget):  # it was told once, and is not asked for again
                    self.ends[log] = action.epoch

    def _refused(self, log: LogId, error: Exception, unsynced: bool = False) -> None:
        """The disk refused what the state machine had decided. The disk has the truth: the state machine is put back
        to what stands there. ``unsynced``: what was written last may be gone, whatever can be read of it now."""
        self.counters.add("usage.copy_refused")
        replica = self.replicas.get(log)
        known = replica is not None and self._recovered(log, replica)
        if unsynced:
            self.unsynced_refused.add(log)
        if replica is None:
            self.held_logs.dropped(log)
        elif log not in self.taken:
            state, last = replica.state, replica.last if known else logs.NOWHERE
            sure = known and self._stands(log, replica)
            self.held_logs.put_back(log, state.promised, state.by, last, sure, state.over, known)
            self.refused.setdefault(log, self.now_ms() + TELL_REFUSED_MS)
        self.log(
            "error",
            "usage.copy_refused",
            ledger=log[0],
            cause=str(error),
            then="tried again"
            if log in self.taken
            else "it goes on from what it holds"
            if replica is not None and self.held_logs.table[log].sure
            else "it is filled anew by whoever writes that ledger",
        )

    def _tell_refused(self, now: float) -> None:
        """A word that was refused had no answer, and a writer that writes no more would take its copy for whole."""
        for log in [log for log, due_ms in self.refused.items() if now >= due_ms]:
            del self.refused[log]
            held = self.held_logs.table.get(log)
            if held is not None and not held.over and log not in self.taken:
                self.answer(held.by, logs.At(log, logs.Word.GAP, held.promised, held.last))

    def _read_again(self) -> None:
        """Look again at copies that could not be read."""
        for log, held in list(self.held_logs.table.items()):
            replica = self.replicas.get(log)
            if held.known or replica is None or log in self.taken or not self._recovered(log, replica):
                continue
            state = replica.state
            sure = self._stands(log, replica)
            self.held_logs.put_back(log, state.promised, state.by, replica.last, sure, state.over)
            self.log("info", "usage.copy_readable", ledger=log[0], records=replica.last[1], sure=sure)

    def _keep_ends(self) -> None:
        """Try again to keep that a ledger is over."""
        ends, self.ends = self.ends, {}
        for log, epoch in ends.items():
            if log in self.replicas and not self.replicas[log].state.over:
                self._hold(self.held_logs.over(log, epoch))

    def _recovered(self, log: LogId, replica: Replica) -> bool:
        """What stands on the disk of this copy is known, and it can go on from there."""
        try:
            replica.recover()
        except REFUSED as error:
            self.log("warning", "usage.copy_unreadable", ledger=log[0], cause=str(error))
        return replica.writable

    def _stands(self, log: LogId, replica: Replica) -> bool:
        """All that this copy acknowledged stands on its disk."""
        return replica.whole and log not in self.unsynced_refused

    def _held(self, log: LogId, action: logs.HolderAction) -> None:
        match action:
            case logs.Promise(_, epoch, by):
                self._promise(log, epoch, by)
            case logs.Write(_, epoch, first, records):
                self.replicas[log].append(epoch, first, records)
            case logs.Replace(_, (epoch, sequence), data):
                self.replicas[log].replace(epoch, sequence, data)
                self.replicas[log].keep(sure=True)
                self.unsynced_refused.discard(log)
            case logs.Note(told):
                self.replicas[log].note(told.sink, told.name, told.digest)
            case logs.Answer(to, word):
                if self.options.durability == "power-cut":
                    self.unsynced.append((log, to, word))
                    self.sync_wanted.set()
                else:
                    self.answer(to, word)
            case logs.Ask(member, word):
                self.send(member, word)
            case logs.Taken():
                self._take(action)
            case logs.Forget(_, epoch):
                self.replicas[log].forget(epoch)
                self._leave(log)
            case logs.Drop():
                self.replicas.pop(log).drop()
            case logs.Lost(_, of):
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
        self.replicas.pop(log).drop()

    def _promise(self, log: LogId, epoch: int, by: str) -> None:
        """Keep a promise; a copy counts once its first one stands on the disk."""
        replica = self.replicas.get(log)
        if replica is not None:
            replica.keep(promised=epoch, by=by)
            return
        state = CopyState(*log, epoch, by, False, self.boot)
        folder = self.folder / on_disk.folder_name(*log)
        replica = Replica(self.files, folder, state, self.options.segment_bytes)
        try:
            replica.keep()
        except BaseException:
            replica.ledger.close()
            raise
        self.replicas[log] = replica

    # Ledgers of dead members.

    def _take(self, told: logs.Taken) -> None:
        log, epoch, last = told.log, told.epoch, told.last
        replica = self.replicas[log]
        writer = LogWriter(log, epoch, last, self._others(log[0]), self._needed(log[0]), HELD_MS, None)
        self.taken[log] = TakenLedger(replica, writer)
        self.counters.add("usage.took_over")
        self.log(
            "error" if told.without else "warning",
            "usage.took_over",
            ledger=log[0],
            life=log[1].hex(),
            epoch=epoch,
            of=told.of,
            records=last[1],
            without=list(told.without),
            cause="its writer is dead, and no more than this can be had: these hold no copy"
            if told.without
            else "its writer is dead, and a majority of its holders has promised the epoch",
        )
        self._open(self.taken[log])

    def _open(self, taken: TakenLedger) -> None:
        """Write the first record under the new epoch, and ask the others to follow. Tried again while the disk
        refuses."""
        state, writer = taken.replica.ledger.book.state, taken.writer
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
            self._write(writer, writer.reach(member, True))

    def _append(self, taken: TakenLedger, *entries: Entry) -> None:
        first, items = taken.replica.write(*entries)
        self.held_logs.table[taken.writer.log].last = taken.replica.last
        self._write(taken.writer, taken.writer.wrote(self.now_ms(), first, tuple(items), False))

    def _go_on(self, log: LogId) -> None:
        """Close what is open, export it, and be done with it."""
        taken = self.taken[log]
        ledger, writer = taken.replica.ledger, taken.writer
        if writer.fenced:
            return
        if not taken.opened:
            self._open(taken)
        for action in Keeper(ledger.book, 0).handle(time.time() * 1000, WriterGone()):
            if isinstance(action, Append):
                self._append(taken, action.entry)
        made = list(ledger.book.state.documents)
        if made and writer.held >= writer.last[1]:  # nobody exports what another may close in another way
            self._append(taken, Published(ledger.write_documents(made)))
            taken.look()
        if taken.exporting is None and self.sinks and self.tasks is not None and not taken.waits:
            taken.exporting = anyio.CancelScope()
            self.tasks.start_soon(self._export, taken)
        if (
            self.sinks
            and not taken.waits
            and writer.held >= writer.last[1]
            and not any(unacknowledged(self.files, taken.replica.folder, self.sinks).values())
        ):
            self.log("info", "usage.takeover_done", ledger=log[0], life=log[1].hex(), epoch=writer.epoch)
            for member in writer.copies:
                self.send(member, logs.Over(log, writer.epoch))
            self._hold(self.held_logs.over(log, writer.epoch))

    async def _export(self, taken: TakenLedger) -> None:
        assert self.usage.export is not None and taken.exporting is not None
        with taken.exporting:
            while True:
                export = export_run(
                    taken.replica.folder,
                    self.usage.export,
                    self.log,
                    False,
                    self.files,
                    taken.replica.ledger.book.state,
                    lambda sink, name, digest: self._tell_exported(taken.writer, sink, name, digest),
                )
                taken.look = export.look
                try:
                    await export.run()
                except* REFUSED as errors:
                    self.log("error", "export.stopped", cause="; ".join(map(str, errors.exceptions)))
                await anyio.sleep(AGAIN_S)

    def _leave(self, log: LogId) -> None:
        taken = self.taken.pop(log, None)
        if taken is not None and taken.exporting is not None:
            taken.exporting.cancel()

    def _retire(self) -> None:
        for log, replica in self.replicas.items():
            try:
                if not replica.state.over:
                    replica.retire(self.sinks, self.usage.retention_ms, time.time() * 1000)
            except REFUSED as error:
                self.log("warning", "usage.retire_failed", ledger=log[0], cause=str(error))

    # The actor.

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            while True:
                while not self.unsynced:
                    self.sync_wanted = anyio.Event()
                    await self.sync_wanted.wait()
                await self._sync()

    async def _sync(self) -> None:
        """Acknowledge what stands on the disk, whatever becomes of the machine."""
        told, self.unsynced = self.unsynced, []
        for log in {log for log, _, _ in told}:
            try:
                replica = self.replicas.get(log)
                if replica is not None and not replica.state.over:
                    await anyio.to_thread.run_sync(replica.ledger.log.sync)
            except REFUSED as error:
                self._refused(log, error, unsynced=True)
                told = [one for one in told if one[0] != log]
        for _, to, word in told:
            self.answer(to, word)

    def close(self) -> None:
        for log, replica in self.replicas.items():
            try:
                replica.close()
            except REFUSED as error:  # after a start of the machine it is filled anew
                self.log("warning", "usage.copy_not_closed", ledger=log[0], cause=str(error))

    def shown(self) -> list[dict[str, Any]]:
        """For operators: each ledger that is written or copied here."""
        found = []
        for writer in self._writers():
            found.append(
                {
                    "member": writer.log[0],
                    "life": writer.log[1].hex(),
                    "epoch": writer.epoch,
                    "records": writer.last[1],
                    "held": writer.held,
                    "in_gap": writer.in_gap,
                    "role": "writes" if writer is self.writer else "took over",
                    "copies": {name: copy.state.name.lower() for name, copy in writer.copies.items()},
                }
            )
        for log, held in self.held_logs.table.items():
            if log not in self.taken and not held.over:
                found.append(
                    {
                        "member": log[0],
                        "life": log[1].hex(),
                        "epoch": held.promised,
                        "records": held.last[1],
                        "role": "copies",
                        "sure": held.sure,
                        "writer": held.writer,
                        "writer_dead": held.dead_ms is not None,
                    }
                )
        return found
