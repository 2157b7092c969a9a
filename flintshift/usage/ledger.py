"""The ledger in the node: books what was answered, keeps its folder, and holds each answer until it is booked.

A claim is written before the answer leaves, and a mark once it has left; a death between them leaves the request
in doubt, listed by its id, never silently either way. Claims and marks that come in one turn of the event loop are
written by one call of the system (group commit). With durability ``power-cut`` the answers also wait for the
sync that follows within ``sync_ms``; with ``process-death`` that sync runs behind them.

Where the disk refuses, the book goes on in memory and the gap is told; what it holds is written as a snapshot as
soon as the disk takes it again, so nothing is lost but by a death in between.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import anyio

from flintshift.storage import snapshot
from flintshift.storage.log import BrokenError
from flintshift.usage import documents
from flintshift.usage.corrections import base_of, from_json
from flintshift.usage.folder import LedgerFolder, retire
from flintshift.usage.keeper import Keeper
from flintshift.usage.periods import LedgerClock
from flintshift.usage.records import CLAIM_KIND, Claim, Ended, Entry, Late, Marked, pack
from flintshift.usage.vocabulary import (
    Append,
    ClockMoved,
    DiskBack,
    DocumentsStand,
    KeeperEvent,
    Reply,
    Retired,
    Tick,
)

TICK_S = 0.25
HELD_S = 0.25  # an answer waits no longer for a disk that hangs: it has a due time, and what ran is answered
MARK_S = 0.01  # a mark waits so long for claims to be written with; until then its request would be in doubt
BACKLOG_MOST = 100_000  # records that come while a segment is begun after a gap
REOPEN_MS = 1000.0  # between two tries to write again after the disk refused
RETIRE_MS = 60_000.0
INBOX_MOST = 100  # corrections taken in one tick


class Say(Protocol):
    """A structured log line."""

    def __call__(self, level: str, event: str, **fields: Any) -> None: ...


class Ticket:
    """A claim and what became of it."""

    __slots__ = ("marked", "period", "row", "sequence")

    def __init__(self, row: int) -> None:
        self.row, self.sequence, self.period, self.marked = row, 0, 0, False


class Ledger:
    def __init__(self, folder: LedgerFolder, grace_ms: int, durability: str, sync_ms: float, refuse: bool,
                 segment_bytes: int, retention_ms: float, sinks: list[str], clock: LedgerClock,
                 wall_ms: Callable[[], float], steady_ms: Callable[[], float], say: Say) -> None:
        self.folder, self.book = folder, folder.book
        self.keeper = Keeper(folder.book, grace_ms)
        self.durability, self.sync_ms, self.refuse = durability, sync_ms, refuse
        self.segment_bytes, self.retention_ms, self.sinks = segment_bytes, retention_ms, sinks
        self.clock, self.wall_ms, self.steady_ms, self.say = clock, wall_ms, steady_ms, say
        self.claims: list[tuple[Ticket, Claim, Callable[[], object] | None]] = []  # not written yet
        self.delivered: list[Ticket] = []  # not marked yet
        self.undelivered: list[Ticket] = []
        self.late: list[Late] = []
        self.held: list[tuple[int, Callable[[], object]]] = []  # answers that wait for the sync of a sequence
        self.watching = False  # over those that wait for the disk
        self.marking = False  # a flush of marks is
        self.due = False  # a flush is due in this turn of the loop
        self.moving = False  # a new segment is begun: nothing is written meanwhile
        self.synced = folder.log.following - 1
        self.dirty = anyio.Event()
        self.disk = anyio.Lock()  # of sync, a new segment, and the end
        self.gap: tuple[int, int, str] | None = None  # since when, how many, why
        self.backlog: list[tuple[int, bytes]] | None = None  # what came after the snapshot that closes a gap
        self.tried_ms = -math.inf
        self.turn_ms = 0  # the end of the period of now
        self.retired_ms = -math.inf
        self.changed: Callable[[], object] = lambda: None  # documents stand that did not before

    @property
    def refusing(self) -> bool:
        """New work is not to be taken: it could not be booked."""
        return self.refuse and self.gap is not None

    # What the node tells.

    def claim(self, id_: bytes, row: int, flags: int, run_us: int, calls: int, bytes_in: int, bytes_out: int,
              deliver: Callable[[], object] | None) -> Ticket:
        """Book a final answer, and deliver it once that is written."""
        ticket = Ticket(row)
        self.claims.append((ticket, Claim(id_, row, flags, run_us, calls, bytes_in, bytes_out), deliver))
        if not self.due:
            self._flush_soon()
        return ticket

    def mark(self, ticket: Ticket, arrived: bool) -> None:
        """The answer has left, or its caller went before it had."""
        if not ticket.marked:
            ticket.marked = True
            (self.delivered if arrived else self.undelivered).append(ticket)
            if not self.due and not self.marking:  # no hurry: the next claim takes it along
                self.marking = True
                asyncio.get_running_loop().call_later(MARK_S, self._flush_marks)

    def add_late(self, ticket: Ticket, run_us: int, calls: int) -> None:
        self.late.append(Late(ticket.period or self.book.state.current or 0, ticket.row, run_us, calls))
        if not self.due:
            self._flush_soon()

    def _flush_soon(self) -> None:
        self.due = True
        asyncio.get_running_loop().call_soon(self._flush)

    def _flush_marks(self) -> None:
        self.marking = False
        if not self.due and (self.delivered or self.undelivered):
            self._flush()

    # Writing.

    def _flush(self) -> None:
        self.due = False
        if self.moving:
            self._watch()
            return
        if self._now() >= self.turn_ms:
            self._tell(Tick())
        claims, self.claims = self.claims, []
        delivered, self.delivered = self.delivered, []
        undelivered, self.undelivered = self.undelivered, []
        late, self.late = self.late, []
        sequence, period = self.folder.log.following, self.book.state.current or 0
        entries: list[Entry] = []
        for ticket, claim, _ in claims:
            ticket.sequence, ticket.period = sequence, period
            sequence += 1
            entries.append(claim)
        if delivered or undelivered:
            base = min(ticket.sequence for ticket in (*delivered, *undelivered))
            entries.append(Marked(base, [ticket.sequence - base for ticket in delivered],
                                  [ticket.sequence - base for ticket in undelivered]))
        entries += late
        if entries:
            self._write(entries)
        wait = self.durability == "power-cut" and self.gap is None
        for ticket, _, deliver in claims:
            if deliver is not None and wait:
                self.held.append((ticket.sequence, deliver))
                self._watch()
            elif deliver is not None:
                deliver()

    def _watch(self) -> None:
        if not self.watching:
            self.watching = True
            first = self.claims[0][0] if self.moving else self.held[0][0]
            asyncio.get_running_loop().call_later(HELD_S, self._held_long, first)

    def _held_long(self, first: object) -> None:
        """The disk hangs in a sync or a new segment. The first that waits has waited for too long: what ran is
        answered, booked in memory, and the disk is taken for one that refuses."""
        self.watching = False
        waiting = [ticket for ticket, _, _ in self.claims] if self.moving else [number for number, _ in self.held]
        if first in waiting:
            self._refused(TimeoutError(f"the disk hangs for over {HELD_S:g} s"))
            self.moving = False
            self._flush()
        elif waiting:
            self._watch()

    def _write(self, entries: list[Entry]) -> None:
        """Write and apply; where the disk refuses, apply alone."""
        log, items = self.folder.log, [pack(entry) for entry in entries]
        first = log.following
        if self.gap is None:
            try:
                log.append(items)
            except (OSError, BrokenError) as error:
                self._refused(error)
        if self.gap is not None:
            log.following = first + len(items)
            since, count, cause = self.gap
            self.gap = since, count + sum(kind == CLAIM_KIND for kind, _ in items), cause
            if self.backlog is not None:
                self.backlog += items
                if len(self.backlog) > BACKLOG_MOST:  # the next try begins with a snapshot of all again
                    self.backlog = None
        self.folder.apply(first, entries)
        if not self.dirty.is_set():
            self.dirty.set()

    def _refused(self, error: Exception) -> None:
        if self.gap is None:
            self.gap = int(self._now()), 0, str(error)
            self.say("error", "usage.disk_refused", cause=str(error),
                     then="new work is refused" if self.refuse else "booked in memory")
        held, self.held = self.held, []
        for _, deliver in held:  # what was run is answered, whatever the disk does
            deliver()

    def _now(self) -> float:
        now, step = self.clock.read(self.wall_ms(), self.steady_ms())
        if step is not None:
            self.say("warning", "usage.clock_stepped", by_ms=step.by_ms)
            self._tell(ClockMoved(step.by_ms), now)
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
            tasks.start_soon(self._sync)
            while True:
                await self.tick()
                await anyio.sleep(TICK_S)

    async def tick(self) -> None:
        """Turn and close periods, publish documents, take corrections, begin segments, remove what is past."""
        if not self.moving:
            self._tell(Tick())
        if self.gap is not None:
            await self._reopen()
        await self._documents()
        await self._inbox()
        if self.folder.log.size >= self.segment_bytes and self.gap is None:
            await self._roll()
        now = self._now()
        if now - self.retired_ms >= RETIRE_MS:
            self.retired_ms = now
            await self._retire(now)

    async def _sync(self) -> None:
        while True:
            await self.dirty.wait()
            if self.durability == "none":
                return
            await anyio.sleep(self.sync_ms / 1000)
            self.dirty = anyio.Event()
            if self.gap is None:
                async with self.disk:
                    await self._sync_now()

    async def _sync_now(self) -> None:
        upto = self.folder.log.following - 1
        try:
            await anyio.to_thread.run_sync(self.folder.log.sync)
        except (OSError, BrokenError) as error:
            self._refused(error)
            return
        self.synced = upto
        held, self.held = self.held, []
        for sequence, deliver in held:
            if sequence <= upto:
                deliver()
            else:
                self.held.append((sequence, deliver))

    async def _roll(self) -> None:
        """Begin a new segment, and keep the book as it stood then: recovery begins there."""
        async with self.disk:
            await self._sync_now()
            if self.gap is not None:
                return
            self.moving = True
            sequence, data = self.book.state.sequence, self.folder.snapshot_now()
            try:
                await anyio.to_thread.run_sync(self.folder.log.begin, sequence + 1)
            except OSError as error:
                self._refused(error)
            finally:
                self.moving = False
                self._flush()
            try:
                await anyio.to_thread.run_sync(self.folder.write_snapshot, sequence, data)
            except OSError as error:  # the log alone holds all: the next one is tried with the next segment
                self.say("warning", "usage.snapshot_failed", cause=str(error))

    async def _reopen(self) -> None:
        if self.steady_ms() - self.tried_ms < REOPEN_MS:
            return
        self.tried_ms = self.steady_ms()
        async with self.disk:
            log, sequence, data = self.folder.log, self.book.state.sequence, self.folder.snapshot_now()
            self.backlog, log.broken = [], True
            try:
                await anyio.to_thread.run_sync(self.folder.write_snapshot, sequence, data)
                await anyio.to_thread.run_sync(log.begin, sequence + 1)
                if self.backlog is None:
                    raise TimeoutError(f"over {BACKLOG_MOST:,} records came while it was tried")
                after, log.following = log.following, sequence + 1
                try:
                    if self.backlog:
                        log.append(self.backlog)
                finally:
                    log.following = after
            except (OSError, BrokenError) as error:
                self.say("warning", "usage.disk_still_refuses", cause=str(error))
                return
            finally:
                self.backlog = None
            assert self.gap is not None
            (since, count, cause), self.gap = self.gap, None
        self._tell(DiskBack(since, count, cause))
        self.say("info", "usage.disk_back", requests_in_memory=count)
        self._flush()

    async def _documents(self) -> None:
        made = list(self.book.state.documents)
        if not made or self.gap is not None:
            return
        try:
            if self.durability != "none":  # the record that made it must not be lost where its document stands
                async with self.disk:
                    await self._sync_now()
                if self.gap is not None:
                    return
            number = await anyio.to_thread.run_sync(self.folder.write_documents, made)
        except OSError as error:
            self.say("error", "usage.document_failed", cause=str(error))
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
                reply = self.correct(files.read(path))
                told = {"taken": reply.taken, "text": reply.text}
                if self.gap is None and self.durability != "none":
                    async with self.disk:
                        await self._sync_now()
                await anyio.to_thread.run_sync(partial(
                    snapshot.publish, files, folder / "replies" / name, json.dumps(told).encode()))
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

    async def _retire(self, now: float) -> None:
        try:
            gone, kept_from = await anyio.to_thread.run_sync(
                retire, self.folder.files, self.folder.folder, self.sinks, self.retention_ms, self.wall_ms())
        except (OSError, snapshot.DamagedError) as error:
            self.say("warning", "usage.retire_failed", cause=str(error))
            return
        if gone:
            self.say("info", "usage.retired", names=len(gone))
            if kept_from and any(name.endswith(documents.ENDING) for name in gone):
                self._tell(Retired(kept_from))

    async def close(self) -> None:
        """The node leaves in good order: all is written, nothing is in doubt."""
        self._flush()
        async with self.disk:
            if self.gap is None:
                self._write([Ended(int(self._now()))])
            await anyio.to_thread.run_sync(self.folder.close)

