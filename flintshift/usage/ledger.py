"""The usage ledger of a node: records each answer before it is sent, and maintains the ledger's folder.

A claim is written before the answer is sent, and a mark afterwards. A crash between them leaves the request in doubt,
listed by its id: it is neither counted nor dropped silently. Claims and marks that arrive in one iteration of the
event loop are written by one system call (group commit). Where ``hold_answers`` is set (durability power-cut), answers
also wait for the sync that follows within ``sync_ms``; else that sync runs after they are sent.

While the disk refuses, use is recorded in memory and the gap is reported. As soon as the disk accepts writes again,
the accounts are written as a snapshot, so that only a crash during the gap loses records.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
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
from flintshift.usage.accounts import UsageAccounts
from flintshift.usage.corrections import from_json, with_known_totals
from flintshift.usage.folder import LedgerFolder, retire
from flintshift.usage.inbox import CorrectionInbox
from flintshift.usage.messages import (
    Append,
    ClockAdjusted,
    CorrectionRequested,
    DiskRecovered,
    DocumentsPublished,
    DocumentsRetired,
    PolicyEvent,
    Reply,
    Tick,
)
from flintshift.usage.periods import LedgerClock
from flintshift.usage.policy import LedgerPolicy
from flintshift.usage.records import (
    Claim,
    Ended,
    Entry,
    LateRun,
    Marked,
    Published,
    RowListsChanged,
    pack,
    renumber_row,
)

TICK_INTERVAL_S = 0.25
# The longest wait of an answer for a disk that hangs: a request that has run must be answered by its deadline.
MAX_ANSWER_WAIT_MS = 250.0
# A mark waits this long, to be written together with claims. A crash before that leaves its request in doubt.
MARK_DELAY_S = 0.01
MAX_BACKLOG_RECORDS = 100_000  # records that arrive while a segment is begun after a gap
REOPEN_RETRY_MS = 1000.0  # between two attempts to end a gap
CLOSE_RETRY_S = 0.005  # between two attempts to end a gap while the node stops
CLOSE_TIMEOUT_S = 2.0  # for the disk while the node stops: what is not written then is in doubt at the next start
RETIRE_INTERVAL_MS = 600_000.0  # between two removals of expired files


class EventLogger(Protocol):
    """Writes a structured log line."""

    def __call__(self, level: str, event: str, **fields: Any) -> None: ...


class Replication(Protocol):
    """The replicas of this ledger on other members."""

    # Answers need not wait for records up to this one: a majority has them, or there is a gap.
    @property
    def replicated_through(self) -> float: ...
    @property
    def in_gap(self) -> bool: ...  # the replicas do not respond
    @property
    def elected(self) -> bool: ...  # a majority has granted the epoch of the ledger, and no other member has it since
    def is_replicated(self, sequence: int) -> bool: ...  # a majority has this record, whether there is a gap or not
    # Records were written from the sequence ``first`` on; ``answers``: some answers wait for them.
    def on_written(self, first: int, items: list[tuple[int, bytes]], answers: bool) -> None: ...
    def on_exported(self, sink: str, name: str, digest: bytes) -> None: ...


RowLists = tuple[list[str], list[str]]  # clubs and classes, whose indexes make up a row number


class Ticket:
    """Refers to a claim, so that its delivery and late runs can be recorded."""

    __slots__ = ("accounts", "due_ms", "lists", "marked", "period", "row", "sequence")

    def __init__(self, row: int, lists: RowLists, due_ms: float) -> None:
        self.due_ms = due_ms  # deadline of its answer, by the steady clock
        self.row, self.lists, self.sequence, self.period, self.marked = row, lists, 0, 0, False
        self.accounts: UsageAccounts | None = None  # the accounts that the claim was written to


QueuedClaim = tuple[Ticket, Claim, Callable[[], object] | None]  # the callable delivers the answer


class Ledger:
    """Writes the ledger's records and delivers answers when their claims are stored.

    ``limits`` say how far a claim must be stored before its answer is sent. When the log is synced, and when a segment
    begins, is decided in ``storage/commit.py``.
    """

    def __init__(
        self,
        folder: LedgerFolder,
        grace_ms: int,
        limits: CommitLimits,
        reject_on_disk_failure: bool,
        retention_ms: float,
        sinks: list[str],
        clock: LedgerClock,
        wall_ms: Callable[[], float],
        steady_ms: Callable[[], float],
        log_event: EventLogger,
    ) -> None:
        self.folder, self.accounts = folder, folder.accounts
        self.policy = LedgerPolicy(folder.accounts, grace_ms)
        self.commit = GroupCommit(limits, folder.log.next_sequence - 1)
        self.reject_on_disk_failure, self.retention_ms, self.sinks = reject_on_disk_failure, retention_ms, sinks
        self.clock, self.wall_ms, self.steady_ms, self.log_event = clock, wall_ms, steady_ms, log_event
        self.claims: list[QueuedClaim] = []  # not written yet
        self.delivered: list[Ticket] = []  # not marked yet
        self.undelivered: list[Ticket] = []
        self.late_runs: list[LateRun] = []
        self.row_lists: RowLists = (folder.accounts.state.clubs, folder.accounts.state.classes)
        self.new_row_lists: RowListsChanged | None = None  # not written yet
        # Answers that wait until their claim is on the disk and on other members, by sequence.
        self.pending_answers: deque[tuple[int, QueuedClaim]] = deque()
        self.synced_through: float = -1.0  # claims up to this sequence are on the disk
        self.replication: Replication | None = None
        self.mark_flush_scheduled = False  # ``_flush_marks`` will be called
        self.flush_scheduled = False  # ``_flush`` will be called in this iteration of the event loop
        self.backlog: list[tuple[int, bytes]] | None = None  # records since the snapshot that ends a gap
        self.disk_operation: Operation | None = None  # the next one
        self.disk_changed = anyio.Event()  # an operation was set or has ended
        self.timer: asyncio.Handle | None = None
        self.wake_at_ms = math.inf  # when the timer fires
        self.pending_snapshot: tuple[int, bytes] | None = None  # sequence and data, of the segment that was begun last
        self.period_end_ms = 0  # of the current period
        self.unrecorded_steps_ms: list[int] = []  # steps of the clock that have no record yet
        self.last_retired_ms = -math.inf
        self.inbox = CorrectionInbox(self)
        self.on_documents_published: Callable[[], object] = lambda: None
        self.on_folder_switched: Callable[[], object] = lambda: None

    @property
    def rejects_work(self) -> bool:
        """New work must be rejected, because it could not be recorded."""
        return self.reject_on_disk_failure and (
            self.commit.gap is not None or (self.replication is not None and self.replication.in_gap)
        )

    # Calls of the node.

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
        """Record a final answer, and deliver it once the record is stored. ``due_ms`` is the answer's deadline."""
        ticket = Ticket(row, self.row_lists, due_ms)
        self.claims.append((ticket, Claim(id_, row, flags, run_us, calls, bytes_in, bytes_out), deliver))
        if not self.flush_scheduled:
            self._flush_soon()
        return ticket

    def mark_delivery(self, ticket: Ticket, arrived: bool) -> None:
        """Record that the answer was sent (``arrived``), or that its caller disconnected before."""
        if not ticket.marked:
            ticket.marked = True
            if ticket.accounts is not None and ticket.accounts is not self.accounts:
                return  # another member continues that ledger, where the claim is in doubt
            (self.delivered if arrived else self.undelivered).append(ticket)
            if not self.flush_scheduled and not self.mark_flush_scheduled:  # it may be written with the next claim
                self.mark_flush_scheduled = True
                asyncio.get_running_loop().call_later(MARK_DELAY_S, self._flush_marks)

    def add_late_run(self, ticket: Ticket, run_us: int, calls: int) -> None:
        """Record a run that ended after its request's final answer."""
        row = ticket.row if ticket.lists is self.row_lists else renumber_row(ticket.row, ticket.lists, self.row_lists)
        self.late_runs.append(LateRun(ticket.period or self.accounts.state.current or 0, row, run_us, calls))
        if not self.flush_scheduled:
            self._flush_soon()

    def _flush_soon(self) -> None:
        self.flush_scheduled = True
        asyncio.get_running_loop().call_soon(self._flush)

    def _flush_marks(self) -> None:
        self.mark_flush_scheduled = False
        if not self.flush_scheduled and (self.delivered or self.undelivered):
            self._flush()

    def set_row_lists(self, clubs: list[str], classes: list[str]) -> None:
        """Number rows by these lists from now on.

        Claims that are not written yet are renumbered; each ticket remembers the lists of its claim.
        """
        before, self.row_lists = self.row_lists, (clubs, classes)
        self.claims = [
            (ticket, structs.replace(claim, row=renumber_row(claim.row, before, self.row_lists)), deliver)
            for ticket, claim, deliver in self.claims
        ]
        self.late_runs = [
            structs.replace(late, row=renumber_row(late.row, before, self.row_lists)) for late in self.late_runs
        ]
        self.new_row_lists = RowListsChanged(clubs, classes)
        if not self.flush_scheduled:
            self._flush_soon()

    # Writing.

    def _flush(self) -> None:
        self.flush_scheduled = False
        if self.commit.writes_blocked:
            self._perform(self.commit.handle(self.steady_ms(), WriteBlocked()))
            return
        if self._ledger_time() >= self.period_end_ms:
            self._handle_event(Tick())
        claims, self.claims = self.claims, []
        delivered, self.delivered = self.delivered, []
        undelivered, self.undelivered = self.undelivered, []
        late_runs, self.late_runs = self.late_runs, []
        sequence, period = self.folder.log.next_sequence, self.accounts.state.current or 0
        entries: list[Entry] = []
        if self.new_row_lists is not None:  # before the records that are numbered by it
            entries.append(self.new_row_lists)
            sequence, self.new_row_lists = sequence + 1, None
        for ticket, claim, _ in claims:
            ticket.sequence, ticket.period, ticket.accounts = sequence, period, self.accounts
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
        entries += late_runs
        wait_for_storage = self.commit.limits.hold_answers or self.replication is not None
        if wait_for_storage:  # before the write, which may already release them
            self.pending_answers += [(queued[0].sequence, queued) for queued in claims if queued[2] is not None]
        if entries:
            self._write(entries, len(claims))
        if wait_for_storage:
            self.release_answers()
            return
        for _, _, deliver in claims:
            if deliver is not None:
                deliver()

    def _write(self, entries: list[Entry], requests: int = 0) -> None:
        """Write records and apply them; during a gap, only apply them."""
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
                if len(self.backlog) > MAX_BACKLOG_RECORDS:  # the next attempt begins with a new snapshot
                    self.backlog = None
        self.folder.apply(first, entries)
        if self.replication is not None:
            self.replication.on_written(first, items, requests > 0)
        actions += self.commit.on_write(self.steady_ms(), first + len(items) - 1, log.size, requests)
        if actions:
            self._perform(actions)

    def _perform(self, actions: list[CommitAction]) -> None:
        """Perform actions of the group commit; disk operations are left to ``run_disk_operation``."""
        for action in actions:
            match action:
                case Sync() | BeginSegment() | Reopen():
                    self.disk_operation = action
                    self._notify_disk_changed()
                case ReleaseAnswers(up_to):
                    self.synced_through = self.synced_through if up_to == math.inf else up_to
                    self.release_answers()
                case ResumeWrites():
                    if not self.flush_scheduled:
                        self._flush_soon()
                case WakeAt(at_ms):
                    self._wake_at(at_ms)
                case GapBegan(cause):
                    self.log_event(
                        "error",
                        "usage.disk_refused",
                        cause=cause,
                        then="new work is rejected" if self.reject_on_disk_failure else "use is recorded in memory",
                    )
                    self._notify_disk_changed()
                case GapEnded(since_ms, requests, cause):
                    elapsed_ms = self.steady_ms() - since_ms
                    self._handle_event(DiskRecovered(int(self._ledger_time() - elapsed_ms), requests, cause))
                    self.log_event("info", "usage.disk_back", requests_in_memory=requests)
                case ReopenFailed(cause):
                    self.log_event("warning", "usage.disk_still_refuses", cause=cause)

    def earliest_deadline_ms(self) -> float:
        """Return the earliest deadline of the answers that wait."""
        return min((queued[0].due_ms for _, queued in self.pending_answers), default=math.inf)

    def release_answers(self) -> None:
        """Deliver the answers whose claims are stored as far as the limits require."""
        waiting, up_to = (
            self.pending_answers,
            self.replication.replicated_through if self.replication is not None else math.inf,
        )
        if self.commit.limits.hold_answers and self.commit.gap is None:
            up_to = min(up_to, self.synced_through)
        while waiting and waiting[0][0] <= up_to:
            deliver = waiting.popleft()[1][2]
            if deliver is not None:
                deliver()

    def _wake_at(self, at_ms: float) -> None:
        if self.timer is not None:
            if self.wake_at_ms <= at_ms:
                return
            self.timer.cancel()
        # The time is stored here: for less than 0.5 ms uvloop returns no timer, and that handle has no time.
        self.wake_at_ms = at_ms
        delay_s = max(0.0, at_ms - self.steady_ms()) / 1000
        self.timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._perform(self.commit.handle(self.steady_ms(), TimerFired()))

    def _notify_disk_changed(self) -> None:
        changed, self.disk_changed = self.disk_changed, anyio.Event()
        changed.set()

    async def run_disk_operation(self) -> None:
        """Run the next disk operation, if there is one."""
        operation, self.disk_operation = self.disk_operation, None
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
        except BaseException:  # cancelled by the exit: the operation is still pending, and ``close`` repeats it
            if commit is self.commit:
                self.disk_operation = operation
            raise
        if commit is not self.commit:
            return  # the operation belonged to a ledger that another member has taken over
        self.backlog = None
        self._perform(self.commit.handle(self.steady_ms(), event))
        self._notify_disk_changed()

    async def _begin_segment(self) -> None:
        """Begin a segment, and remember the current accounts as the snapshot from which recovery begins."""
        folder, sequence, data = self.folder, self.accounts.state.sequence, self.folder.snapshot_now()
        await anyio.to_thread.run_sync(folder.log.begin_segment, sequence + 1)
        if folder is self.folder:
            self.pending_snapshot = sequence, data

    async def _reopen(self) -> None:
        """End a gap: write a snapshot, begin a segment, and append the records since the snapshot."""
        log, sequence, data = self.folder.log, self.accounts.state.sequence, self.folder.snapshot_now()
        self.backlog, log.broken = [], True
        await anyio.to_thread.run_sync(self.folder.write_snapshot, sequence, data)
        await anyio.to_thread.run_sync(log.begin_segment, sequence + 1)
        if self.backlog is None:
            raise TimeoutError(f"over {MAX_BACKLOG_RECORDS:,} records came while it was tried")
        following, log.next_sequence = log.next_sequence, sequence + 1
        try:
            if self.backlog:
                log.append(self.backlog)
        finally:
            log.next_sequence = following

    async def _wait_for_disk_operation(self) -> None:
        """Run the next disk operation, or wait until one was set or has ended."""
        changed = self.disk_changed
        if self.disk_operation is not None:
            await self.run_disk_operation()
        else:
            await changed.wait()

    async def wait_until_writable(self) -> None:
        """Wait while a segment is begun, during which nothing may be written."""
        while self.commit.writes_blocked:
            await self._wait_for_disk_operation()

    async def sync_all(self) -> bool:
        """Sync all records; return False during a gap, and if another ledger has begun meanwhile."""
        last_sequence, commit = self.accounts.state.sequence, self.commit
        self._perform(commit.handle(self.steady_ms(), SyncRequested(last_sequence)))
        while commit is self.commit and commit.gap is None and commit.synced < last_sequence:
            await self._wait_for_disk_operation()
        return commit is self.commit and commit.gap is None

    def _ledger_time(self) -> float:
        """Return the ledger's time; report and record steps of the system's clock."""
        now, step = self.clock.read(self.wall_ms(), self.steady_ms())
        if step is not None:
            self.log_event("warning", "usage.clock_stepped", by_ms=step.by_ms)
            self.unrecorded_steps_ms.append(step.by_ms)
        while self.unrecorded_steps_ms and not self.commit.writes_blocked:
            self._handle_event(ClockAdjusted(self.unrecorded_steps_ms.pop(0)), now)
        return now

    def _handle_event(self, event: PolicyEvent, now: float | None = None) -> Reply | None:
        """Pass an event to the policy and perform its actions; return its reply, if there is one."""
        reply = None
        for action in self.policy.handle(self._ledger_time() if now is None else now, event):
            match action:
                case Append(entry):
                    self._write([entry])
                case Reply():
                    reply = action
        state = self.accounts.state
        if state.current is not None:
            self.period_end_ms = state.current + state.periods[state.current].length
        return reply

    # Tasks.

    async def run(self) -> None:
        """Run the ledger's tasks until cancelled."""
        self._handle_event(Tick())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_disk_operations)
            while True:
                await self.tick()
                await anyio.sleep(TICK_INTERVAL_S)

    async def _run_disk_operations(self) -> None:
        while True:
            changed = self.disk_changed
            if self.disk_operation is None:
                await changed.wait()
            await self.run_disk_operation()

    async def tick(self) -> None:
        """Rotate and close periods, publish documents, process corrections, write snapshots, remove expired files."""
        await self.wait_until_writable()
        self._handle_event(Tick())
        if self.commit.gap is not None:
            self._perform(self.commit.handle(self.steady_ms(), TimerFired()))
        await self._publish_documents()
        await self.inbox.process()
        await self._write_pending_snapshot()
        now = self._ledger_time()
        if now - self.last_retired_ms >= RETIRE_INTERVAL_MS:
            self.last_retired_ms = now
            await self._retire_files()

    async def _write_pending_snapshot(self) -> None:
        pending, self.pending_snapshot = self.pending_snapshot, None
        if pending is None:
            return
        try:
            await anyio.to_thread.run_sync(self.folder.write_snapshot, *pending)
        except OSError as error:  # the log has all records; the next segment brings a new snapshot
            self.log_event("warning", "usage.snapshot_failed", cause=str(error))

    async def _publish_documents(self) -> None:
        unpublished, accounts, last_sequence = (
            list(self.accounts.state.documents),
            self.accounts,
            self.accounts.state.sequence,
        )
        # A published document must not outlive the record that made it.
        if not unpublished or not await self.sync_all() or accounts is not self.accounts:
            return
        if self.replication is not None and not self.replication.is_replicated(last_sequence):
            return  # not exported while another member may still close the period differently
        try:
            number = await anyio.to_thread.run_sync(self.folder.write_documents, unpublished)
        except OSError as error:
            self.log_event("error", "usage.document_failed", cause=str(error))
            return
        await self.wait_until_writable()
        if accounts is not self.accounts:
            return
        self._handle_event(DocumentsPublished(number))
        for document in unpublished:
            self.log_event("info", "usage.document", name=document.name, bytes=len(document.data))
        self.on_documents_published()

    def correct(self, data: bytes) -> Reply:
        """Process a submitted correction. An earlier ledger may be read for it, which takes long."""
        try:
            request = with_known_totals(self.folder.files, self.folder.folder, self.accounts, from_json(data))
        except (ValueError, snapshot.DamagedError) as error:
            return Reply(False, str(error))
        return self.apply_correction(request)

    def apply_correction(self, request: CorrectionRequested) -> Reply:
        """Process a correction that has the totals of its period."""
        reply = self._handle_event(request)
        assert reply is not None
        self.log_event(
            "info", "usage.correction", id=request.id, taken=reply.taken, text=reply.text, author=request.author
        )
        return reply

    def write_empty_record(self) -> None:
        """Write a record that changes nothing, as the first one under a raised epoch."""
        self._write([Published(0)])

    def switch_folder(self, folder: LedgerFolder) -> None:
        """Continue in a new ledger, because another member continues the present one.

        Rows of the new ledger are numbered by ``row_lists``. Claims whose answers have not been sent are recorded in
        the new ledger. Claims whose answers were sent, and that have no mark, are in doubt in the old one.
        """
        unsent = [queued for _, queued in self.pending_answers]
        for ticket, _, _ in unsent:
            ticket.accounts = None
        self.pending_answers.clear()
        self.claims = unsent + self.claims
        self.delivered = [ticket for ticket in self.delivered if ticket.accounts is None]
        self.undelivered = [ticket for ticket in self.undelivered if ticket.accounts is None]
        self.folder, self.accounts, self.new_row_lists = folder, folder.accounts, None
        self.policy = LedgerPolicy(folder.accounts, self.policy.grace_ms)
        self.commit = GroupCommit(self.commit.limits, folder.log.next_sequence - 1)
        self.pending_snapshot = self.backlog = self.disk_operation = None
        self.inbox.forget_unconfirmed()
        self.period_end_ms, self.synced_through = 0, -1.0
        self._handle_event(Tick())
        self._notify_disk_changed()
        self._flush_soon()
        self.on_folder_switched()

    async def _end_gap(self) -> None:
        """Try until the use that was recorded in memory is on the disk."""
        while self.commit.gap is not None:
            self._perform(self.commit.handle(self.steady_ms(), ShuttingDown()))
            await self._wait_for_disk_operation()
            await anyio.sleep(CLOSE_RETRY_S)

    async def _retire_files(self) -> None:
        try:
            removal = await anyio.to_thread.run_sync(
                retire,
                self.folder.files,
                self.folder.folder,
                self.sinks,
                self.retention_ms,
                self.wall_ms(),
                self.accounts.state.closed_to,
            )
        except (OSError, snapshot.DamagedError) as error:
            self.log_event("warning", "usage.retire_failed", cause=str(error))
            return
        if removal.documents or removal.segments:
            self.log_event("info", "usage.retired", documents=len(removal.documents), segments=len(removal.segments))
        if removal.retired_before_ms is not None:
            await self.wait_until_writable()
            self._handle_event(DocumentsRetired(removal.retired_before_ms))

    async def close(self) -> None:
        """Stop cleanly: write all records, so that nothing is in doubt."""
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self.commit.operation_in_progress is not None:
                await self._wait_for_disk_operation()
        self._flush()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self._end_gap()
        if self.commit.gap is None:
            self._write([Ended(int(self._ledger_time()))])
        with anyio.move_on_after(CLOSE_TIMEOUT_S):  # if the disk refused that record, the next snapshot has it
            await self._end_gap()
        if self.timer is not None:
            self.timer.cancel()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await anyio.to_thread.run_sync(self.folder.close, abandon_on_cancel=True)
