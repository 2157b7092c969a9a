"""A bounded mailbox with a single reader: a full one rejects an item or makes its sender wait."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import anyio

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A queue of at most ``size`` items, read by one task."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.items: deque[T] = deque()
        self.item_added: anyio.Event | None = None  # exists while the reader waits
        self.waiting_senders: deque[anyio.Event] = deque()  # an event for each, in the order of their arrival

    def __len__(self) -> int:
        return len(self.items)

    @property
    def idle(self) -> bool:
        """Whether the mailbox is empty and the reader has handled all that it took: it waits."""
        return self.item_added is not None and not self.items

    def offer(self, item: T, spare: int = 0) -> bool:
        """Add an item without waiting, so no planner blocks; False if that would leave under `spare` places free."""
        if len(self.items) + spare >= self.size:
            return False
        self.items.append(item)
        if self.item_added is not None:
            self.item_added.set()
        return True

    async def put(self, item: T) -> None:
        """Add an item that must not be lost: wait while the mailbox is full, which delays only this sender."""
        while not self.offer(item):
            place_free = anyio.Event()
            self.waiting_senders.append(place_free)
            try:
                await place_free.wait()
            finally:
                if not place_free.is_set():  # cancelled: the next free place is for another sender
                    self.waiting_senders.remove(place_free)

    async def take(self) -> T:
        """Wait for the next item and remove it."""
        while not self.items:
            self.item_added = anyio.Event()
            await self.item_added.wait()
            self.item_added = None
        return self._next()

    def take_now(self) -> T | None:
        """Remove and return the next item, or return None when there is none."""
        return self._next() if self.items else None

    def _next(self) -> T:
        if self.waiting_senders:
            self.waiting_senders.popleft().set()
        return self.items.popleft()
