"""The ledger in the node: books what was answered, keeps its folder, and holds each answer until it is booked.

A claim is written before the answer leaves, and a mark once it has left; a death between them leaves the request
in doubt, listed by its id, never silently either way. Claims and marks that come in one turn of the event loop are
written by one call of the system (group commit). Where ``hold_answers`` is set (durability power-cut) the answers also
wait for the sync that follows within ``sync_ms``; else that sync runs behind them.

Where the disk refuses, the book goes on in memory and the gap is told; what it holds is written as a snapshot as
soon as the disk takes it again, so nothing is lost but by a death in between.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import anyio
from msgspec import structs

from flintshift.storage import snapshot
from flintshift.storage.commit import (
    BeginSegment,
    CommitAction,
    CommitLimits,
    GapBegan,
    GapEnded,
    GroupCommit,
    Operation,
    OperationCompleted,
    OperationFailed,
    ReleaseAnswers,
    Reopen,
    ReopenFailed,
    ResumeWrites,
    ShuttingDown,
    Sync,
    SyncRequested,
    TimerFired,
    WakeAt,
    WriteBlocked,
)
from flintshift.storage.log import BrokenLogError
from flintshift.usage.book import Book
from flintshift.usage.corrections import base_of, from_json
from flintshift.usage.folder import LedgerFolder, retire
from flintshift.usage.keeper import Keeper
from flintshift.usage.messages import (
    Append,
    ClockMoved,
    DiskBack,
    DocumentsStand,
    KeeperEvent,
    Reply,
    Retired,
    Tick,
)
from flintshift.usage.periods import LedgerClock
from flintshift.usage.records import Claim, Ended, Entry, Late, Listed, Marked, Published, pack, renumbered

TICK_S = 0.25
HELD_MS = 250.0  # an answer waits no longer for a disk that hangs: it has a due time, and what ran is answered
MARK_S = 0.01  # a mark waits so long for claims to be written with; until then its request would be in doubt
BACKLOG_MOST = 100_000  # records that come while a segment is begun after a gap
REOPEN_MS = 1000.0  # between two tries to write again after the disk refused
CLOSE_AGAIN_S = 0.005  # between two tries at a disk that refuses then
CLOSE_S = 2.0  # for the disk, when the node leaves: what hangs then is in doubt at the next start
RETIRE_MS = 600_000.0
INBOX_MOST = 100  # corrections taken in one tick


class Say(Protocol):
    """A structured log line."""

    def __call__(self, level: str, event: str, **fields: Any) -> None: ...


class Copies(Protocol):
    """Further members that hold what is written."""

    @property
    def held(self) -> float: ...  # records up to this one stand at a majority, or need not be waited for
    @property
    def in_gap(self) -> bool: ...  # they do not answer
    def stands(self, sequence: int) -> bool: ...  # at a majority, gap or not
    def wrote(self, first: int, items: list[tuple[int, bytes]], answers: bool) -> None: ...  # some wait for them
    def exported(self, sink: str, name: str, digest: bytes) -> None: ...


Lists = tuple[list[str], list[str]]  # clubs and classes, by which rows are numbered


class Ticket:
    """A claim and what became of it."""

    __slots__ = ("book", "due_ms", "lists", "marked", "period", "row", "sequence")

    def __init__(self, row: int, lists: Lists, due_ms: float) -> None:
        self.due_ms = due_ms  # of its answer, by the steady clock
        self.row, self.lists, self.sequence, self.period, self.marked = row, lists, 0, 0, False
        self.book: Book | None = None  # that it was written to


Waits = tuple[Ticket, Claim, Callable[[], object] | None]


class Ledger:
    """``limits`` say what the disk is to do for an answer; what it is told is decided in ``storage/commit.py``."""

    def __init__(
        self,
        folder: LedgerFolder,
        grace_ms: int,
        limits: CommitLimits,
        refuse: bool,
        retention_ms: float,
        sinks: list[str],
        clock: LedgerClock,
        wall_ms: Callable[[], float],
        steady_ms: Callable[[], float],
        say: Say,
    ) -> None:
        self.folder, self.book = folder, folder.book
        self.keeper = Keeper(folder.book, grace_ms)
        self.commit = GroupCommit(limits, folder.log.next_sequence - 1)
        self.refuse, self.retention_ms, self.sinks = refuse, retention_ms, sinks
        self.clock, self.wall_ms, self.steady_ms, self.say = clock, wall_ms, steady_ms, say
        self.claims: list[Waits] = []  # not written yet
        self.delivered: list[Ticket] = []  # not marked yet
        self.undelivered: list[Ticket] = []
        self.late: list[Late] = []
        self.lists: Lists = (folder.book.state.clubs, folder.book.state.classes)
        self.listed: Listed | None = None  # not written yet
        # Answers that wait until their claim stands on the disk and at other members, by sequence.
        self.held: deque[tuple[int, Waits]] = deque()
        self.synced: float = -1.0  # what the disk has told of that
        self.copies: Copies | None = None
        self.marking = False  # a flush of marks is due
        self.due = False  # a flush is due in this turn of the loop
        self.backlog: list[tuple[int, bytes]] | None = None  # what came after the snapshot that closes a gap
        self.operation: Operation | None = None  # the disk's next
        self.changed_disk = anyio.Event()  # there is one, or one has ended
        self.timer: asyncio.Handle | None = None
        self.wakes_ms = math.inf  # when it is due
        self.snapshot_due: tuple[int, bytes] | None = None  # of the segment that was begun last
        self.turn_ms = 0  # the end of the period of now
        self.steps: list[int] = []  # of the clock, not told yet
        self.retired_ms = -math.inf
        self.changed: Callable[[], object] = lambda: None  # documents stand that did not before
        self.began_anew: Callable[[], object] = lambda: None

    @property
    def refusing(self) -> bool:
        """New work is not to be taken: it could not be booked."""
        return self.refuse and (self.commit.gap is not None or (self.copies is not None and self.copies.in_gap))

    # What the node tells.

    def claim(
        self,
        id_: bytes,
        row: int,
        flags: int,
        run_us: int,
        calls: int,
        bytes_in: int,
        bytes_out: int,
        deliver: Callable[[], object] | None,
        due_ms: float = math.inf,
    ) -> Ticket:
        """Book a final answer, and deliver it once that is written."""
        ticket = Ticket(row, self.lists, due_ms)
        self.claims.append((ticket, Claim(id_, row, flags, run_us, calls, bytes_in, bytes_out), deliver))
        if not self.due:
            self._flush_soon()
        return ticket

    def mark(self, ticket: Ticket, arrived: bool) -> None:
        """The answer has left, or its caller went before it had."""
        if not ticket.marked:
            ticket.marked = True
            if ticket.book is not None and ticket.book is not self.book:
                return  # another member goes on with that ledger: there the claim is in doubt
            (self.delivered if arrived else self.undelivered).append(ticket)
            if not self.due and not self.marking:  # no hurry: the next claim takes it along
                self.marking = True
                asyncio.get_running_loop().call_later(MARK_S, self._flush_marks)

    def add_late(self, ticket: Ticket, run_us: int, calls: int) -> None:
        row = ticket.row if ticket.lists is self.lists else renumbered(ticket.row, ticket.lists, self.lists)
        self.late.append(Late(ticket.period or self.book.state.current or 0, row, run_us, calls))
        if not self.due:
            self._flush_soon()

    def _flush_soon(self) -> None:
        self.due = True
        asyncio.get_running_loop().call_soon(self._flush)

    def _flush_marks(self) -> None:
        self.marking = False
        if not self.due and (self.delivered or self.undelivered):
            self._flush()

    def list_as(self, clubs: list[str], classes: list[str]) -> None:
        """Number rows by these lists from now on. What is booked and not written yet goes over to them; tickets that
        are out are known by the lists of their claim."""
        before, self.lists = self.lists, (clubs, classes)
        self.claims = [
            (ticket, structs.replace(claim, row=renumbered(claim.row, before, self.lists)), deliver)
            for ticket, claim, deliver in self.claims
        ]
        self.late = [structs.replace(late, row=renumbered(late.row, before, self.lists)) for late in self.late]
        self.listed = Listed(clubs, classes)
        if not self.due:
            self._flush_soon()

    # Writing.

    def _flush(self) -> None:
        self.due = False
        if self.commit.writes_blocked:
            self._do(self.commit.handle(self.steady_ms(), WriteBlocked()))
            return
        if self._now() >= self.turn_ms:
            self._tell(Tick())
        claims, self.claims = self.claims, []
        delivered, self.delivered = self.delivered, []
        undelivered, self.undelivered = self.undelivered, []
        late, self.late = self.late, []
        sequence, period = self.folder.log.next_sequence, self.book.state.current or 0
        entries: list[Entry] = []
        if self.listed is not None:  # before all that is numbered by it
            entries.append(self.listed)
            sequence, self.listed = sequence + 1, None
        for ticket, claim, _ in claims:
            ticket.sequence, ticket.period, ticket.book = sequence, period, self.book
            sequence += 1
            entries.append(claim)
        if delivered or undelivered:
            base = min(ticket.sequence for ticket in (*delivered, *undelivered))
            entries.append(
                Marked(
                    base,
                    [ticket.sequence - base for ticket in delivered],
                    [ticket.sequence - base for ticket in undelivered],
                )
            )
        entries += late
        holds = self.commit.limits.hold_answers or self.copies is not None
        if holds:  # before the write, which may tell that they are not to wait
            self.held += [(one[0].sequence, one) for one in claims if one[2] is not None]
        if entries:
            self._write(entries, len(claims))
        if holds:
            self.release()
            return
        for _, _, deliver in claims:
            if deliver is not None:
                deliver()

    def _write(self, entries: list[Entry], requests: int = 0) -> None:
        """Write and apply; where the disk refuses, apply alone."""
        log, items = self.folder.log, [pack(entry) for entry in entries]
        first = log.next_sequence
        actions: list[CommitAction] = []
        if self.commit.gap is None:
            try:
                log.append_with_retry(items)
            except (OSError, BrokenLogError) as error:
                actions = self.commit.handle(self.steady_ms(), OperationFailed(str(error), write=True))
        if self.commit.gap is not None:
            log.next_sequence = first + len(items)
            if self.backlog is not None:
                self.backlog += items
                if len(self.backlog) > BACKLOG_MOST:  # the next try begins with a snapshot of all again
                    self.backlog = None
        self.folder.apply(first, entries)
        if self.copies is not None:
            self.copies.wrote(first, items, requests > 0)
        actions += self.commit.on_write(self.steady_ms(), first + len(items) - 1, log.size, requests)
        if actions:
            self._do(actions)

    def _do(self, actions: list[CommitAction]) -> None:
        """What the commit says; an operation of the disk is left to ``work``."""
        for action in actions:
            match action:
                case Sync() | BeginSegment() | Reopen():
                    self.operation = action
                    self._disk_changed()
                case ReleaseAnswers(upto):
                    self.synced = self.synced if upto == math.inf else upto
                    self.release()
                case ResumeWrites():
                    if not self.due:
                        self._flush_soon()
                case WakeAt(at_ms):
                    self._wake_at(at_ms)
                case GapBegan(cause):
                    self.say(
                        "error",
                        "usage.disk_refused",
                        cause=cause,
                        then="new work is refused" if self.refuse else "booked in memory",
                    )
                    self._disk_changed()
                case GapEnded(since_ms, requests, cause):
                    ago_ms = self.steady_ms() - since_ms
                    self._tell(DiskBack(int(self._now() - ago_ms), requests, cause))
                    self.say("info", "usage.disk_back", requests_in_memory=requests)
                case ReopenFailed(cause):
                    self.say("warning", "usage.disk_still_refuses", cause=cause)

    def due_ms(self) -> float:
        """When the first of the answers that wait must leave."""
        return min((one[0].due_ms for _, one in self.held), default=math.inf)

    def release(self) -> None:
        """Let go of answers whose claims stand where they must."""
        held, upto = self.held, self.copies.held if self.copies is not None else math.inf
        if self.commit.limits.hold_answers and self.commit.gap is None:
            upto = min(upto, self.synced)
        while held and held[0][0] <= upto:
            deliver = held.popleft()[1][2]
            if deliver is not None:
                deliver()

    def _wake_at(self, at_ms: float) -> None:
        if self.timer is not None:
            if self.wakes_ms <= at_ms:
                return
            self.timer.cancel()
        # The time is kept here: what uvloop gives for under 0.5 ms is no timer, and knows none.
        self.wakes_ms = at_ms
        delay = max(0.0, at_ms - self.steady_ms()) / 1000
        self.timer = asyncio.get_running_loop().call_later(delay, self._woken)

    def _woken(self) -> None:
        self.timer = None
        self._do(self.commit.handle(self.steady_ms(), TimerFired()))

    def _disk_changed(self) -> None:
        changed, self.changed_disk = self.changed_disk, anyio.Event()
        changed.set()

    async def work(self) -> None:
        """Do the disk's next operation, if there is one."""
        operation, self.operation = self.operation, None
        if operation is None:
            return
        event: OperationCompleted | OperationFailed = OperationCompleted()
        commit = self.commit
        try:
            match operation:
                case Sync():
                    await anyio.to_thread.run_sync(self.folder.log.sync)
                case BeginSegment():
                    await self._begin_segment()
                case Reopen():
                    await self._reopen()
        except (OSError, BrokenLogError) as error:
            event = OperationFailed(str(error))
        except BaseException:  # cancelled by the exit: what it was to do is still owed, and done again by `close`
            if commit is self.commit:
                self.operation = operation
            raise
        if commit is not self.commit:
            return  # of a ledger that another member has
        self.backlog = None
        self._do(self.commit.handle(self.steady_ms(), event))
        self._disk_changed()

    async def _begin_segment(self) -> None:
        """Keep the book as it stands now: recovery will begin there."""
        folder, sequence, data = self.folder, self.book.state.sequence, self.folder.snapshot_now()
        await anyio.to_thread.run_sync(folder.log.begin_segment, sequence + 1)
        if folder is self.folder:
            self.snapshot_due = sequence, data

    async def _reopen(self) -> None:
        log, sequence, data = self.folder.log, self.book.state.sequence, self.folder.snapshot_now()
        self.backlog, log.broken = [], True
        await anyio.to_thread.run_sync(self.folder.write_snapshot, sequence, data)
        await anyio.to_thread.run_sync(log.begin_segment, sequence + 1)
        if self.backlog is None:
            raise TimeoutError(f"over {BACKLOG_MOST:,} records came while it was tried")
        after, log.next_sequence = log.next_sequence, sequence + 1
        try:
            if self.backlog:
                log.append(self.backlog)
        finally:
            log.next_sequence = after

    async def _operation_ends(self) -> None:
        changed = self.changed_disk
        if self.operation is not None:
            await self.work()
        else:
            await changed.wait()

    async def _writable(self) -> None:
        """Nothing is written while a segment is begun."""
        while self.commit.writes_blocked:
            await self._operation_ends()

    async def _synced(self) -> bool:
        """All that is written is synced; False in a gap, and where another ledger has begun meanwhile."""
        wanted, commit = self.book.state.sequence, self.commit
        self._do(commit.handle(self.steady_ms(), SyncRequested(wanted)))
        while commit is self.commit and commit.gap is None and commit.synced < wanted:
            await self._operation_ends()
        return commit is self.commit and commit.gap is None

    def _now(self) -> float:
        now, step = self.clock.read(self.wall_ms(), self.steady_ms())
        if step is not None:
            self.say("warning", "usage.clock_stepped", by_ms=step.by_ms)
            self.steps.append(step.by_ms)
        while self.steps and not self.commit.writes_blocked:
            self._tell(ClockMoved(self.steps.pop(0)), now)
        return now

    def _tell(self, event: KeeperEvent, now: float | None = None) -> Reply | None:
        """Have the keeper decide, and do what it says."""
        reply = None
        for action in self.keeper.handle(self._now() if now is None else now, event):
            match action:
                case Append(entry):
                    self._write([entry])
                case Reply():
                    reply = action
        state = self.book.state
        if state.current is not None:
            self.turn_ms = state.current + state.periods[state.current].length
        return reply

    # Its tasks.

    async def run(self) -> None:
        """Until cancelled."""
        self._tell(Tick())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._work_on)
            while True:
                await self.tick()
                await anyio.sleep(TICK_S)

    async def _work_on(self) -> None:
        while True:
            changed = self.changed_disk
            if self.operation is None:
                await changed.wait()
            await self.work()

    async def tick(self) -> None:
        """Turn and close periods, publish documents, take corrections, keep snapshots, remove what is past."""
        await self._writable()
        self._tell(Tick())
        if self.commit.gap is not None:
            self._do(self.commit.handle(self.steady_ms(), TimerFired()))
        await self._documents()
        await self._inbox()
        await self._snapshot()
        now = self._now()
        if now - self.retired_ms >= RETIRE_MS:
            self.retired_ms = now
            await self._retire()

    async def _snapshot(self) -> None:
        due, self.snapshot_due = self.snapshot_due, None
        if due is None:
            return
        try:
            await anyio.to_thread.run_sync(self.folder.write_snapshot, *due)
        except OSError as error:  # the log alone holds all: the next one is tried with the next segment
            self.say("warning", "usage.snapshot_failed", cause=str(error))

    async def _documents(self) -> None:
        made, book, wanted = list(self.book.state.documents), self.book, self.book.state.sequence
        # The record that made a document must not be lost where the document stands.
        if not made or not await self._synced() or book is not self.book:
            return
        if self.copies is not None and not self.copies.stands(wanted):
            return  # nobody exports what another may close in another way
        try:
            number = await anyio.to_thread.run_sync(self.folder.write_documents, made)
        except OSError as error:
            self.say("error", "usage.document_failed", cause=str(error))
            return
        await self._writable()
        if book is not self.book:
            return
        self._tell(DocumentsStand(number))
        for document in made:
            self.say("info", "usage.document", name=document.name, bytes=len(document.data))
        self.changed()

    async def _inbox(self) -> None:
        files, folder = self.folder.files, self.folder.folder
        try:
            handed_in = [name for name in files.names(folder / "inbox") if name.endswith(".json")]
        except OSError as error:
            self.say("error", "usage.inbox_failed", name="", cause=str(error))
            return
        for name in handed_in[:INBOX_MOST]:
            path = folder / "inbox" / name
            try:
                await self._writable()
                reply = self.correct(files.read(path))
                told = {"taken": reply.taken, "text": reply.text}
                await self._synced()
                await anyio.to_thread.run_sync(
                    partial(snapshot.publish, files, folder / "replies" / name, json.dumps(told).encode())
                )
                files.remove(path)
            except OSError as error:
                self.say("error", "usage.inbox_failed", name=name, cause=str(error))

    def correct(self, data: bytes) -> Reply:
        """Take a correction as it was handed in."""
        try:
            asked = from_json(data)
            base = base_of(self.folder.files, self.folder.folder, self.book, asked)
        except (ValueError, snapshot.DamagedError) as error:
            return Reply(False, str(error))
        reply = self._tell(base)
        assert reply is not None
        self.say("info", "usage.correction", id=asked.id, taken=reply.taken, text=reply.text, author=asked.author)
        return reply

    def write_nothing(self) -> None:
        """A record that changes nothing: the first under an epoch that was raised."""
        self._write([Published(0)])

    def begin_anew(self, folder: LedgerFolder) -> None:
        """Another member goes on with the ledger so far: from now on this one is written, whose rows are numbered by
        ``lists``. Claims whose answers have not left are booked here; those that have, and bear no mark, are in doubt
        there."""
        again = [one for _, one in self.held]
        for ticket, _, _ in again:
            ticket.book = None
        self.held.clear()
        self.claims = again + self.claims
        self.delivered = [ticket for ticket in self.delivered if ticket.book is None]
        self.undelivered = [ticket for ticket in self.undelivered if ticket.book is None]
        self.folder, self.book, self.listed = folder, folder.book, None
        self.keeper = Keeper(folder.book, self.keeper.grace_ms)
        self.commit = GroupCommit(self.commit.limits, folder.log.next_sequence - 1)
        self.snapshot_due = self.backlog = self.operation = None
        self.turn_ms, self.synced = 0, -1.0
        self._tell(Tick())
        self._disk_changed()
        self._flush_soon()
        self.began_anew()

    async def _end_gap(self) -> None:
        """Have what was booked in memory stand on the disk, however often that refuses."""
        while self.commit.gap is not None:
            self._do(self.commit.handle(self.steady_ms(), ShuttingDown()))
            await self._operation_ends()
            await anyio.sleep(CLOSE_AGAIN_S)

    async def _retire(self) -> None:
        try:
            gone = await anyio.to_thread.run_sync(
                retire,
                self.folder.files,
                self.folder.folder,
                self.sinks,
                self.retention_ms,
                self.wall_ms(),
                self.book.state.closed_to,
            )
        except (OSError, snapshot.DamagedError) as error:
            self.say("warning", "usage.retire_failed", cause=str(error))
            return
        if gone.documents or gone.segments:
            self.say("info", "usage.retired", documents=len(gone.documents), segments=len(gone.segments))
        if gone.retired_before_ms is not None:
            await self._writable()
            self._tell(Retired(gone.retired_before_ms))

    async def close(self) -> None:
        """The node leaves in good order: all is written, nothing is in doubt."""
        with anyio.move_on_after(CLOSE_S):
            while self.commit.operation_in_progress is not None:
                await self._operation_ends()
        self._flush()
        with anyio.move_on_after(CLOSE_S):
            await self._end_gap()
        if self.commit.gap is None:
            self._write([Ended(int(self._now()))])
        with anyio.move_on_after(CLOSE_S):  # the disk may have refused that record: the snapshot that follows holds it
            await self._end_gap()
        if self.timer is not None:
            self.timer.cancel()
        with anyio.move_on_after(CLOSE_S):
            await anyio.to_thread.run_sync(self.folder.close, abandon_on_cancel=True)
