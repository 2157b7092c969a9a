"""How a store that lost its disk comes to vote again: it asks every other member for the keys that both hold.
Without I/O.

The others learn its new incarnation with the first question, before they look: so what they accept later is never
counted together with a vote of the store that is gone. A member whose own store is being filled tells what it
has, and that does not count as having told all.

A question is asked once on each link. A link keeps order and loses nothing while it stands, so an answer that has not
come is still under way; asking again would queue a second page behind it, ahead of the votes that callers wait for.
A member that never answers holds the store up no longer than its window: then it votes without (`ReplicaStore.asks`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from flintshift.replication.messages import Key
from flintshift.replication.registers import PAGE_BYTES, Entry, Registers

REFILL_RETRY_MS = 500.0  # a member whose own store is being filled is asked again, from the start
ENTRY_BYTES = 200  # of a register in a page, beside its result


@dataclass(frozen=True, slots=True)
class FillAsk:
    store: int  # the asker's incarnation
    after: Key | None  # the last key that it was told


@dataclass(frozen=True, slots=True)
class Page:
    entries: tuple[Entry, ...]
    after: Key | None  # the last key of these
    done: bool  # there are no more
    authoritative: bool  # the teller votes on all keys: what it does not know, it never promised
    known_store: int  # the incarnation that the teller knows the asker by


@dataclass(slots=True)
class Source:
    after: Key | None = None
    done: bool = False
    under_way: bool = False  # it was asked, on the link that stands now
    again_ms: float = 0.0  # it is not asked before


def build_page(now_ms: float, registers: Registers, member: str, ask: FillAsk) -> Page:
    """What this holder tells a member whose store is filled."""
    known = registers.stores.get(member, 0)
    if ask.store < known:
        return Page((), ask.after, False, False, known)
    registers.stores[member] = ask.store
    size, entries, done = 0, list[Entry](), True
    keys = sorted(key for key in registers.table if ask.after is None or key > ask.after)
    for key in keys:
        if size > PAGE_BYTES:
            done = False
            break
        for entry in registers.entries_of(now_ms, key, member):
            entries.append(entry)
            size += ENTRY_BYTES + (len(entry.value.result) if entry.value is not None else 0)
    after = entries[-1].key if entries else ask.after
    counts = registers.votes_on_all_keys or now_ms >= registers.voting_from_ms
    return Page(tuple(entries), after, done, counts, ask.store)


class Refill:
    """One step at a time from each member; ``due_requests`` says whom to ask now."""

    def __init__(self, others: Iterable[str]) -> None:
        self.sources = {name: Source() for name in others}

    @property
    def over(self) -> bool:
        return all(source.done for source in self.sources.values())

    def due_requests(self, now_ms: float, store: int, reached: Iterable[str]) -> list[tuple[str, FillAsk]]:
        asks = []
        for name in reached:
            source = self.sources.get(name)
            if source is None or source.done or source.under_way or now_ms < source.again_ms:
                continue
            source.under_way = True
            asks.append((name, FillAsk(store, source.after)))
        return asks

    def handle_link_lost(self, name: str) -> None:
        """The link to that member broke, and with it what was asked on it; it is asked anew on the next one."""
        if name in self.sources:
            self.sources[name].under_way = False

    def receive_page(self, now_ms: float, registers: Registers, name: str, told: Page) -> list[Entry]:
        """Take a page; returns what has to be written to the disk. The store's incarnation is raised where the teller
        knew a newer one: then all is asked anew under that."""
        source = self.sources.get(name)
        if source is None or source.done:
            return []
        if told.known_store > registers.store:
            registers.stores[registers.me] = told.known_store + 1
            registers.filled_by.clear()
            self.sources = {other: Source() for other in self.sources}
            return []
        changed = [entry for entry in (registers.merge(now_ms, one) for one in told.entries) if entry is not None]
        source.after, source.under_way = told.after, False
        if (
            told.done and not told.authoritative
        ):  # ask again later, from the start: it may know more once it is filled itself
            source.after, source.again_ms = None, now_ms + REFILL_RETRY_MS
        elif told.done:
            source.done = True
            registers.mark_filled_by(name)  # it may vote on more keys, or on all
        return changed
