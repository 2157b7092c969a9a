"""The store of a member, which holds replicas of keys and votes on them: its registers, its folder and its refill.

What a vote changes is written before the vote is sent. The changes of one turn of the event loop are written by one
system call, and their votes are sent after it (with durability power-cut, after a sync).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio
from msgspec import structs

from flintshift.core.counters import Counters
from flintshift.core.ports import Log
from flintshift.replication.messages import NO_BALLOT, Ask, Ended, Event, Key, ReachabilityChanged, Verdict, Vote, Voted
from flintshift.replication.placement import Placement
from flintshift.replication.refill import FillAsk, Page, Refill, build_page
from flintshift.replication.registers import Entry, HolderBounds, Registers
from flintshift.replication.store import ReplicaFolder, boot_id
from flintshift.settings.options import ReplicationOptions
from flintshift.storage.files import Files
from flintshift.storage.log import BrokenLogError
from flintshift.wire.peer_codec import decode_entry, encode_entry

PURGE_INTERVAL_MS = 1000.0
MAX_SEGMENT_AGE_MS = 30_000.0  # after this time a new segment of the log is begun, whatever its size
FIRST_REOPEN_DELAY_MS = 25.0  # from a failure to the first attempt to reopen the log; doubled after each
MAX_REOPEN_DELAY_MS = 1000.0

PendingVote = tuple[str, Vote, Key]  # the process that asked, the vote and the key


class Host(Protocol):
    """The process that owns the store. It sends the votes and is notified of changes of the store."""

    identity: str

    def notify_proposals(self, event: Event) -> None:
        """Handle an event in the proposals of this process."""

    def send(self, identity: str, message: Vote | Ended) -> None:
        """Send a message to another process, which asked for a vote."""

    def max_retention_ms(self) -> float:
        """The longest time, of all classes, from the arrival of a try until its key need not be remembered any more."""


def absent_vote(vote: Vote) -> Vote:
    """The answer that is sent instead of this vote while this holder can't vote."""
    return Vote(vote.number, Verdict.ABSENT, NO_BALLOT, NO_BALLOT, None, vote.stores)


class ReplicaStore:
    """The store, which one process of the member owns at a time: ``folder`` is None while another process owns it.

    Times are those of the monotonic clock, in milliseconds."""

    def __init__(
        self,
        host: Host,
        name: str,
        placement: Placement,
        options: ReplicationOptions,
        files: Files,
        now_ms: Callable[[], float],
        counters: Counters,
        log: Log,
    ) -> None:
        self.host, self.name, self.placement, self.options, self.files = host, name, placement, options, files
        self.now_ms, self.counters, self.log = now_ms, counters, log
        self.folder: ReplicaFolder | None = None
        self.registers = Registers(name, 0, placement, self._bounds(), False, math.inf)
        self.refill: Refill | None = None
        self.pending_entries: list[Entry] = []  # to be written at the end of this turn
        self.pending_votes: list[PendingVote] = []  # sent once these entries are written
        self.flush_scheduled = False
        self.unsynced_votes: deque[PendingVote] = deque()
        self.sync_wanted = anyio.Event()
        self.disk_failed_since_ms: float | None = None  # None: the disk accepts writes
        self.disk_error = ""  # the last error of the disk
        self.reopen_at_ms, self.reopen_delay_ms = math.inf, 0.0  # the next attempt, and the delay before it
        self.rotated_ms = self.purged_ms = now_ms()
        self.opened = anyio.Event()  # set once this process owns the store

    def _bounds(self) -> HolderBounds:
        return HolderBounds(self.options.max_keys, self.options.max_bytes, self.host.max_retention_ms())

    # The incarnation of the store.

    def open(self) -> None:
        """Open the folder and restore the registers from it.

        Raises:
            OSError, LockedError, DamagedError: the folder can't be used, or another process owns it.
        """
        self.folder = ReplicaFolder(
            self.files,
            self.options.folder,
            self.name,
            self.now_ms(),
            time.time() * 1000,
            boot_id(),
            self.placement.digest,
            self.options.durability == "power-cut",
            encode_entry,
            decode_entry,
        )
        recovered, state, now = self.folder.recovered, self.folder.state, self.now_ms()
        known_stores = self.registers.stores
        self.registers = Registers(
            self.name,
            state.incarnation,
            self.placement,
            self._bounds(),
            state.votes,
            now + self.host.max_retention_ms() if not state.votes else 0.0,
        )
        self.registers.stores |= {member: store for member, store in known_stores.items() if member != self.name}
        for entry in recovered.entries:
            self.registers.merge(now, entry)
        self.refill = None if state.votes else self._new_refill()
        self.log(
            "info",
            "copies.opened",
            folder=str(self.options.folder),
            identity=self.host.identity,
            store=state.incarnation,
            keys=len(recovered.entries),
            votes=state.votes,
            cause=recovered.no_vote_reason,
        )
        self.host.notify_proposals(ReachabilityChanged(self.name, True, state.incarnation))
        self.opened.set()

    def close(self) -> None:
        """Close the folder, if this process owns it."""
        if self.folder is not None:
            self.folder.close()

    def _new_refill(self) -> Refill:
        return Refill(member for member in self.placement.halls if member != self.name)

    def known_stores(self, member: str) -> tuple[int, int]:
        """The incarnations of this store and of that member's store; 0 if the latter is unknown."""
        return self.registers.store, self.registers.stores.get(member, 0)

    def on_hello(self, member: str, store: int, known_store: int) -> None:
        """Record the incarnation of another member's store, and check which one it knows of this store."""
        if store > self.registers.stores.get(member, 0):
            self.registers.stores[member] = store
        if self.folder is not None and known_store > self.registers.store and member != self.name:
            self._begin_newer_incarnation(member, known_store)

    def _begin_newer_incarnation(self, member: str, known_store: int) -> None:
        """Replace the store by an empty one under a newer incarnation, and refill it.

        Another member knows a newer incarnation of this store, so the folder lacks later promises of this member."""
        self.log(
            "error",
            "copies.store_outlived",
            store=self.registers.store,
            known=known_store,
            by=member,
            cause="this disk is not the one that this member used last; its store is emptied and refilled",
        )
        self.registers = Registers(
            self.name,
            known_store + 1,
            self.placement,
            self.registers.bounds,
            False,
            self.now_ms() + self.host.max_retention_ms(),
        )
        self.refill = self._new_refill()
        self._persist_state()
        self.host.notify_proposals(ReachabilityChanged(self.name, True, known_store + 1))

    # Votes.

    def vote(self, identity: str, ask: Ask) -> None:
        """Vote on a request of that process. What the vote changes is written before the vote is sent."""
        vote, entry = self.registers.vote(self.now_ms(), ask)
        if self.disk_failed_since_ms is not None:  # a vote that can't be persisted is not sent
            vote, entry = absent_vote(vote), None
        if entry is not None:
            self.pending_entries.append(entry)
        self.pending_votes.append((identity, vote, ask.key))
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Write the changes of this turn, then send its votes."""
        self.flush_scheduled = False
        entries, self.pending_entries = self.pending_entries, []
        votes, self.pending_votes = self.pending_votes, []
        if entries and not self._write(entries):
            votes = [(identity, absent_vote(vote), key) for identity, vote, key in votes]
            entries = []
        if entries and self.options.durability == "power-cut":
            self.unsynced_votes.extend(votes)
            self.sync_wanted.set()
        else:
            self._send_votes(votes)

    def _send_votes(self, votes: list[PendingVote]) -> None:
        for identity, vote, key in votes:
            if identity == self.host.identity:
                self.host.notify_proposals(Voted(self.name, vote))
            else:
                self.host.send(identity, vote)
            for watcher in self.registers.pop_watchers_if_ended(key):
                if watcher == self.host.identity:
                    self.host.notify_proposals(Ended(key))
                else:
                    self.host.send(watcher, Ended(key))

    # The disk.

    def _write(self, entries: list[Entry]) -> bool:
        """Write changes of the registers to the disk; return False if the disk rejects them."""
        assert self.folder is not None
        try:
            self.folder.write(entries, self.now_ms())
        except (OSError, BrokenLogError) as error:
            return self._recover_disk(error)
        return True

    def _recover_disk(self, error: Exception) -> bool:
        """Handle an error of the disk: reopen the log with the contents of the registers, which are authoritative.

        Return False if that fails too; then this member does not vote."""
        assert self.folder is not None
        self.counters.add("copies.disk_refused")
        self.disk_error = str(error)
        if self.disk_failed_since_ms is not None:
            return False
        try:
            self.folder.reopen(self.registers.entries(self.now_ms()), self.now_ms())
        except (OSError, BrokenLogError):
            self._on_disk_failed(error)
            return False
        return True

    def _on_disk_failed(self, error: Exception) -> None:
        """Stop voting until the log can be reopened."""
        self.log(
            "error",
            "copies.disk_refuses",
            cause=str(error),
            text="this member does not vote until its disk accepts its promises",
        )
        self.disk_failed_since_ms = self.now_ms()
        self.reopen_delay_ms = FIRST_REOPEN_DELAY_MS
        self.reopen_at_ms = self.disk_failed_since_ms + FIRST_REOPEN_DELAY_MS
        self.host.notify_proposals(ReachabilityChanged(self.name, False, 0))

    async def sync(self) -> None:
        """Send votes after the sync of what they changed, until cancelled."""
        while True:
            while not self.unsynced_votes:
                self.sync_wanted = anyio.Event()
                await self.sync_wanted.wait()
            votes = list(self.unsynced_votes)
            self.unsynced_votes.clear()
            try:
                assert self.folder is not None
                await anyio.to_thread.run_sync(self.folder.log.sync)
            except (OSError, BrokenLogError) as error:
                if not self._recover_disk(error):
                    votes = [(identity, absent_vote(vote), key) for identity, vote, key in votes]
            self._send_votes(votes)

    def check_disk(self, now: float) -> bool:
        """Return whether the disk accepts writes, as far as is known. After a failure it is retried with backoff."""
        if self.disk_failed_since_ms is None:
            self._persist_state()
        elif now >= self.reopen_at_ms:
            self._reopen(now)
            return False  # the other members are notified first
        return self.disk_failed_since_ms is None

    def _persist_state(self) -> None:
        """Persist the incarnation of the store, and whether it has all that it ever promised.

        It is retried at each check of the disk. If the process ends before, the store is refilled at the next start."""
        assert self.folder is not None
        state = structs.replace(
            self.folder.state, incarnation=self.registers.store, votes=self.registers.votes_on_all_keys
        )
        if state == self.folder.state or self.disk_failed_since_ms is not None:
            return
        try:
            if state.votes:  # the state must not claim entries of the refill that are not durable
                self.folder.log.sync()
            self.folder.write_state(state)
        except (OSError, BrokenLogError) as error:
            self.counters.add("copies.state_refused")
            if self.folder.log.broken:
                self._recover_disk(error)

    def _reopen(self, now: float) -> None:
        """Try again to reopen the log; vote again if it succeeds."""
        assert self.folder is not None and self.disk_failed_since_ms is not None
        try:
            self.folder.reopen(self.registers.entries(now), self.now_ms())
        except (OSError, BrokenLogError) as error:
            self.reopen_delay_ms = min(self.reopen_delay_ms * 2, MAX_REOPEN_DELAY_MS)
            self.reopen_at_ms = now + self.reopen_delay_ms
            self.log("error", "copies.disk_still_refuses", cause=str(error), again_in_ms=round(self.reopen_delay_ms))
            return
        after_ms, self.disk_failed_since_ms = now - self.disk_failed_since_ms, None
        self.log("warning", "copies.disk_takes_again", keys=len(self.registers.table), after_ms=round(after_ms))
        self.host.notify_proposals(ReachabilityChanged(self.name, True, self.registers.store))

    def purge(self, now: float) -> None:
        """Remove expired entries from the registers, and begin a new segment of the log when it is due."""
        if now < self.purged_ms + PURGE_INTERVAL_MS or self.folder is None:
            return
        self.purged_ms = now
        self.registers.purge(now)
        if self.folder.log.size < self.options.segment_bytes and now < self.rotated_ms + MAX_SEGMENT_AGE_MS:
            return
        self.rotated_ms = now
        try:
            self.folder.rotate(self.now_ms())
        except (OSError, BrokenLogError) as error:
            self._recover_disk(error)

    # The refill of this store and of other members' stores.

    def make_page(self, member: str, request: FillAsk) -> Page:
        """A page of this store's entries for a member whose store is being refilled."""
        self.counters.add("copies.pages")
        return build_page(self.now_ms(), self.registers, member, request)

    def due_fill_requests(self, now: float, reached: set[str]) -> list[tuple[str, FillAsk]]:
        """The requests for pages that are due now, with the members to send them to."""
        if self.refill is None:
            return []
        if now >= self.registers.voting_from_ms:
            self._end_refill("a whole window has passed: no earlier promise is still valid")
            return []
        return self.refill.due_requests(now, self.registers.store, reached)

    def on_link_lost(self, member: str) -> None:
        """The requests of the refill to that member will not be answered."""
        if self.refill is not None:
            self.refill.handle_link_lost(member)

    def receive_page(self, member: str, page: Page) -> None:
        """Merge a page of another member's store into this store."""
        if self.refill is None or self.folder is None:
            return
        previous_store = self.registers.store
        changed = self.refill.receive_page(self.now_ms(), self.registers, member, page)
        self.counters.add("copies.filled_keys", len(changed))
        if changed:
            self._write(changed)  # if the disk rejects them, they are written when the log is reopened
        if self.registers.store != previous_store:
            self.host.notify_proposals(ReachabilityChanged(self.name, True, self.registers.store))
        if page.done and page.authoritative:
            self.log("info", "copies.filled_by", name=member, keys=len(self.registers.table))
        if self.registers.votes_on_all_keys:
            self._end_refill("a majority of the holders of each of its keys has sent its entries")
        self._persist_state()

    def _end_refill(self, cause: str) -> None:
        self.refill = None
        self.registers.votes_on_all_keys = True
        self._persist_state()
        self.log("info", "copies.votes", keys=len(self.registers.table), cause=cause)
