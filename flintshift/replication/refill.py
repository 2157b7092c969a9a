"""Refill of a store that lost its disk: it asks each other member for the keys that both hold, until it may vote again.

Without I/O. The others learn the new incarnation of the store with the first request, before they read their registers.
So whatever they accept later is never counted together with a vote of the lost store. A member whose own store is
being refilled sends what it has, but that doesn't count as a complete answer.

Each request is sent once per link. A link keeps order and loses nothing while it is up, so a missing answer is still
on its way; a second request would queue another page behind it, ahead of the votes that callers wait for. A member that
never answers delays the store no longer than its window: after that the store votes without the answer
(`ReplicaStore.asks`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from flintshift.replication.messages import Key
from flintshift.replication.registers import PAGE_BYTES, Entry, Registers

REFILL_RETRY_MS = 500.0  # until a member whose own store is being refilled is asked again, from the start
ENTRY_OVERHEAD_BYTES = 200  # of a register in a page, beside its result


@dataclass(frozen=True, slots=True)
class FillAsk:
    """A request for the next page of keys."""

    store: int  # the requester's incarnation
    after: Key | None  # the last key that it received


@dataclass(frozen=True, slots=True)
class Page:
    """An answer to a `FillAsk`: registers in the order of their keys."""

    entries: tuple[Entry, ...]
    after: Key | None  # the last key of these entries
    done: bool  # there are no more
    authoritative: bool  # the sender votes on all keys: it never promised anything for a key that it doesn't know
    known_store: int  # the requester's incarnation as the sender knows it


@dataclass(slots=True)
class Source:
    """How far another member has answered."""

    after: Key | None = None
    done: bool = False
    in_flight: bool = False  # a request was sent on the current link
    retry_at_ms: float = 0.0  # no request is sent before this time


def build_page(now_ms: float, registers: Registers, member: str, ask: FillAsk) -> Page:
    """The page that this holder sends to a member whose store is being refilled."""
    known_store = registers.stores.get(member, 0)
    if ask.store < known_store:
        return Page((), ask.after, False, False, known_store)
    registers.stores[member] = ask.store
    size, entries, done = 0, list[Entry](), True
    keys = sorted(key for key in registers.table if ask.after is None or key > ask.after)
    for key in keys:
        if size > PAGE_BYTES:
            done = False
            break
        for entry in registers.entries_of(now_ms, key, member):
            entries.append(entry)
            size += ENTRY_OVERHEAD_BYTES + (len(entry.value.result) if entry.value is not None else 0)
    after = entries[-1].key if entries else ask.after
    authoritative = registers.votes_on_all_keys or now_ms >= registers.voting_from_ms
    return Page(tuple(entries), after, done, authoritative, ask.store)


class Refill:
    """The state of a refill: one request at a time to each member; ``due_requests`` returns those to send now."""

    def __init__(self, others: Iterable[str]) -> None:
        self.sources = {name: Source() for name in others}

    @property
    def finished(self) -> bool:
        """Whether all other members have sent everything."""
        return all(source.done for source in self.sources.values())

    def due_requests(self, now_ms: float, store: int, reached: Iterable[str]) -> list[tuple[str, FillAsk]]:
        """The requests to send now to the members that are reached; each is returned once per link."""
        requests = []
        for name in reached:
            source = self.sources.get(name)
            if source is None or source.done or source.in_flight or now_ms < source.retry_at_ms:
                continue
            source.in_flight = True
            requests.append((name, FillAsk(store, source.after)))
        return requests

    def handle_link_lost(self, name: str) -> None:
        """The link to that member broke, and its request was lost with it; it is sent again on the next link."""
        if name in self.sources:
            self.sources[name].in_flight = False

    def receive_page(self, now_ms: float, registers: Registers, name: str, received: Page) -> list[Entry]:
        """Takes a page and returns the entries that have to be written to the disk.

        If the sender knew a newer incarnation of this store, the incarnation is raised above that, and everything is
        requested again under the new one.
        """
        source = self.sources.get(name)
        if source is None or source.done:
            return []
        if received.known_store > registers.store:
            registers.stores[registers.member] = received.known_store + 1
            registers.filled_by.clear()
            self.sources = {member: Source() for member in self.sources}
            return []
        changed = [
            merged for merged in (registers.merge(now_ms, entry) for entry in received.entries) if merged is not None
        ]
        source.after, source.in_flight = received.after, False
        if received.done and not received.authoritative:  # it may know more once its own refill has finished
            source.after, source.retry_at_ms = None, now_ms + REFILL_RETRY_MS
        elif received.done:
            source.done = True
            registers.mark_filled_by(name)  # the store may vote on more keys now, or on all
        return changed
