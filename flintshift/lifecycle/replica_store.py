"""This member's store of copies at the node's side: its registers, its disk, its refill. It votes on what is asked.

What a vote changes stands on the disk before the vote leaves. What is asked in one turn of the event loop is written by
one call of the system and voted on after it (and after a sync, with durability power-cut).
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
from flintshift.settings.options import CopiesOptions
from flintshift.storage.files import Files
from flintshift.storage.log import BrokenLogError
from flintshift.wire.peer_codec import decode_entry, encode_entry

PURGE_MS = 1000.0
TURN_MS = 30_000.0  # a segment of the log is used for so long at the most
FIRST_REOPEN_MS = 25.0  # from a refusal to the first try to write again; twice as long with each further one
MOST_REOPEN_MS = 1000.0

PendingVote = tuple[str, Vote, Key]  # for this process, about that key


class Host(Protocol):
    """Whoever the store votes for, and tells of what it becomes."""

    identity: str

    def tell(self, event: Event) -> None:
        """The proposals of this process hear of this."""

    def send(self, identity: str, word: Vote | Ended) -> None:
        """Send to another process that asked."""

    def keep_for_ms(self) -> float:
        """From a try's arrival until nothing is promised of it any more, for the longest class."""


def absent(vote: Vote) -> Vote:
    """In its place, where this holder can't vote."""
    return Vote(vote.number, Verdict.ABSENT, NO_BALLOT, NO_BALLOT, None, vote.stores)


class ReplicaStore:
    """Held by one process of the member: ``folder`` is None while another one has it. Times are those of the monotonic
    clock, in milliseconds."""

    def __init__(
        self,
        host: Host,
        name: str,
        placement: Placement,
        options: CopiesOptions,
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
        self.entries: list[Entry] = []  # not written yet
        self.votes: list[PendingVote] = []  # that leave once these are
        self.flushing = False
        self.unsynced: deque[PendingVote] = deque()
        self.sync_wanted = anyio.Event()
        self.refusing_ms: float | None = None  # since when the disk refuses; None: it takes what is written
        self.refusal = ""  # why, the last time
        self.reopen_ms, self.reopen_after_ms = math.inf, 0.0  # when it is tried next, and the wait that led there
        self.turned_ms = self.purged_ms = now_ms()
        self.holding = anyio.Event()  # this process holds the copies

    def _bounds(self) -> HolderBounds:
        return HolderBounds(self.options.keys, self.options.bytes, self.host.keep_for_ms())

    # Which store it is.

    def open(self) -> None:
        """Hold what stands in the folder.

        Raises:
            OSError, LockedError, DamagedError: it can't be used, or another process has it.
        """
        self.folder = ReplicaFolder(
            self.files,
            self.options.folder,
            self.name,
            self.now_ms(),
            time.time() * 1000,
            boot_id(),
            self.options.durability == "power-cut",
            encode_entry,
            decode_entry,
        )
        found, state, now = self.folder.recovered, self.folder.state, self.now_ms()
        before = self.registers.stores
        self.registers = Registers(
            self.name,
            state.incarnation,
            self.placement,
            self._bounds(),
            state.votes,
            now + self.host.keep_for_ms() if not state.votes else 0.0,
        )
        self.registers.stores |= {member: store for member, store in before.items() if member != self.name}
        for entry in found.entries:
            self.registers.merge(now, entry)
        self.refill = None if state.votes else self._new_refill()
        self.log(
            "info",
            "copies.opened",
            folder=str(self.options.folder),
            identity=self.host.identity,
            store=state.incarnation,
            keys=len(found.entries),
            votes=state.votes,
            cause=found.no_vote_reason,
        )
        self.host.tell(ReachabilityChanged(self.name, True, state.incarnation))
        self.holding.set()

    def close(self) -> None:
        if self.folder is not None:
            self.folder.close()

    def _new_refill(self) -> Refill:
        return Refill(member for member in self.placement.halls if member != self.name)

    def known_stores(self, member: str) -> tuple[int, int]:
        """The incarnations of this store, and of that member's as far as it is known."""
        return self.registers.store, self.registers.stores.get(member, 0)

    def met(self, member: str, store: int, known_store: int) -> None:
        """Another member says which store it has, and by which it knows this one."""
        if store > self.registers.stores.get(member, 0):
            self.registers.stores[member] = store
        if self.folder is not None and known_store > self.registers.store and member != self.name:
            self._outlived(member, known_store)

    def _outlived(self, member: str, known: int) -> None:
        """Another knows this member by a newer store: what stands here is older than what it promised since."""
        self.log(
            "error",
            "copies.store_outlived",
            store=self.registers.store,
            known=known,
            by=member,
            cause="this disk is not the one that this member used last; it is emptied and filled again",
        )
        self.registers = Registers(
            self.name, known + 1, self.placement, self.registers.bounds, False, self.now_ms() + self.host.keep_for_ms()
        )
        self.refill = self._new_refill()
        self._keep_state()
        self.host.tell(ReachabilityChanged(self.name, True, known + 1))

    # Votes.

    def vote(self, identity: str, ask: Ask) -> None:
        """Vote for that process; what changes is written before the vote leaves."""
        vote, entry = self.registers.vote(self.now_ms(), ask)
        if self.refusing_ms is not None:  # no vote leaves that does not stand on the disk
            vote, entry = absent(vote), None
        if entry is not None:
            self.entries.append(entry)
        self.votes.append((identity, vote, ask.key))
        if not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        entries, self.entries = self.entries, []
        votes, self.votes = self.votes, []
        if entries and not self._written(entries):
            votes = [(identity, absent(vote), key) for identity, vote, key in votes]
            entries = []
        if entries and self.options.durability == "power-cut":
            self.unsynced.extend(votes)
            self.sync_wanted.set()
        else:
            self._let_go(votes)

    def _let_go(self, votes: list[PendingVote]) -> None:
        for identity, vote, key in votes:
            if identity == self.host.identity:
                self.host.tell(Voted(self.name, vote))
            else:
                self.host.send(identity, vote)
            for follower in self.registers.pop_watchers_if_ended(key):
                if follower == self.host.identity:
                    self.host.tell(Ended(key))
                else:
                    self.host.send(follower, Ended(key))

    # The disk.

    def _written(self, entries: list[Entry]) -> bool:
        """The registers hold these changes; False where the disk does not."""
        assert self.folder is not None
        try:
            self.folder.write(entries, self.now_ms())
        except (OSError, BrokenLogError) as error:
            return self._outlasted(error)
        return True

    def _outlasted(self, error: Exception) -> bool:
        """The disk refused. What counts is what the registers hold: all of it is written anew at once, and only where
        that is refused too does this member not vote."""
        assert self.folder is not None
        self.counters.add("copies.disk_refused")
        self.refusal = str(error)
        if self.refusing_ms is not None:
            return False
        try:
            self.folder.reopen(self.registers.entries(self.now_ms()), self.now_ms())
        except (OSError, BrokenLogError):
            self._refuses(error)
            return False
        return True

    def _refuses(self, error: Exception) -> None:
        self.log(
            "error",
            "copies.disk_refuses",
            cause=str(error),
            text="this member does not vote until its disk takes what it promises",
        )
        self.refusing_ms = self.now_ms()
        self.reopen_after_ms = FIRST_REOPEN_MS
        self.reopen_ms = self.refusing_ms + FIRST_REOPEN_MS
        self.host.tell(ReachabilityChanged(self.name, False, 0))

    async def sync(self) -> None:
        """Let votes go once what they changed is synced; until cancelled."""
        while True:
            while not self.unsynced:
                self.sync_wanted = anyio.Event()
                await self.sync_wanted.wait()
            votes = list(self.unsynced)
            self.unsynced.clear()
            try:
                assert self.folder is not None
                await anyio.to_thread.run_sync(self.folder.log.sync)
            except (OSError, BrokenLogError) as error:
                if not self._outlasted(error):
                    votes = [(identity, absent(vote), key) for identity, vote, key in votes]
            self._let_go(votes)

    def usable(self, now: float) -> bool:
        """The disk takes what is promised, as far as is known; one that refused is tried again from time to time."""
        if self.refusing_ms is None:
            self._keep_state()
        elif now >= self.reopen_ms:
            self._reopen(now)
            return False  # the others hear of it first
        return self.refusing_ms is None

    def _keep_state(self) -> None:
        """Have the disk hold what the registers stand for: which store this is, and whether it knows all that it ever
        promised. Tried again with each look; a death before that leaves a store that is filled anew."""
        assert self.folder is not None
        state = structs.replace(
            self.folder.state, incarnation=self.registers.store, votes=self.registers.votes_on_all_keys
        )
        if state == self.folder.state or self.refusing_ms is not None:
            return
        try:
            if state.votes:  # it must not be believed without what it was filled with
                self.folder.log.sync()
            self.folder.write_state(state)
        except (OSError, BrokenLogError) as error:
            self.counters.add("copies.state_refused")
            if self.folder.log.broken:
                self._outlasted(error)

    def _reopen(self, now: float) -> None:
        assert self.folder is not None and self.refusing_ms is not None
        try:
            self.folder.reopen(self.registers.entries(now), self.now_ms())
        except (OSError, BrokenLogError) as error:
            self.reopen_after_ms = min(self.reopen_after_ms * 2, MOST_REOPEN_MS)
            self.reopen_ms = now + self.reopen_after_ms
            self.log("error", "copies.disk_still_refuses", cause=str(error), again_in_ms=round(self.reopen_after_ms))
            return
        after_ms, self.refusing_ms = now - self.refusing_ms, None
        self.log("warning", "copies.disk_takes_again", keys=len(self.registers.table), after_ms=round(after_ms))
        self.host.tell(ReachabilityChanged(self.name, True, self.registers.store))

    def purge(self, now: float) -> None:
        """Forget what is past, here and on the disk; does nothing where that was done a moment ago."""
        if now < self.purged_ms + PURGE_MS or self.folder is None:
            return
        self.purged_ms = now
        self.registers.purge(now)
        if self.folder.log.size < self.options.segment_bytes and now < self.turned_ms + TURN_MS:
            return
        self.turned_ms = now
        try:
            self.folder.rotate(self.now_ms())
        except (OSError, BrokenLogError) as error:
            self._outlasted(error)

    # Its refill, and that of others.

    def page_for(self, member: str, ask: FillAsk) -> Page:
        """What this store tells a member whose own is filled."""
        self.counters.add("copies.pages")
        return build_page(self.now_ms(), self.registers, member, ask)

    def asks(self, now: float, reached: set[str]) -> list[tuple[str, FillAsk]]:
        """Whom to ask now for what this store lacks."""
        if self.refill is None:
            return []
        if now >= self.registers.voting_from_ms:
            self._filled("a whole window has passed: nothing from before is still promised")
            return []
        return self.refill.due_requests(now, self.registers.store, reached)

    def link_lost(self, member: str) -> None:
        """What was asked of that member for the refill will not be answered."""
        if self.refill is not None:
            self.refill.handle_link_lost(member)

    def fill(self, member: str, told: Page) -> None:
        """Take what another store tells this one."""
        if self.refill is None or self.folder is None:
            return
        before = self.registers.store
        changed = self.refill.receive_page(self.now_ms(), self.registers, member, told)
        self.counters.add("copies.filled_keys", len(changed))
        if changed:
            self._written(changed)  # where the disk refuses, they are written with all else once it takes again
        if self.registers.store != before:
            self.host.tell(ReachabilityChanged(self.name, True, self.registers.store))
        if told.done and told.authoritative:
            self.log("info", "copies.filled_by", name=member, keys=len(self.registers.table))
        if self.registers.votes_on_all_keys:
            self._filled("a majority of the holders of each of its keys has told what it knows")
        self._keep_state()

    def _filled(self, cause: str) -> None:
        self.refill = None
        self.registers.votes_on_all_keys = True
        self._keep_state()
        self.log("info", "copies.votes", keys=len(self.registers.table), cause=cause)
