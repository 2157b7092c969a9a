"""A bounded mailbox: what is put in waits for one reader, and being full has a result."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import anyio

T = TypeVar("T")


class Mailbox(Generic[T]):
    def __init__(self, size: int) -> None:
        self.size = size
        self.items: deque[T] = deque()
        self.filled: anyio.Event | None = None  # set while the reader waits
        self.emptied: deque[anyio.Event] = deque()  # of those that wait for room, in their order

    def __len__(self) -> int:
        return len(self.items)

    @property
    def idle(self) -> bool:
        """Nothing is in it, and the reader has done with all that it took: it waits."""
        return self.filled is not None and not self.items

    def offer(self, item: T, spare: int = 0) -> bool:
        """Put in without waiting, so no planner blocks; False when that leaves under `spare` places free."""
        if len(self.items) + spare >= self.size:
            return False
        self.items.append(item)
        if self.filled is not None:
            self.filled.set()
        return True

    async def put(self, item: T) -> None:
        """Put in, waiting for room: for what must not be lost, which holds up only the one who brings it."""
        while not self.offer(item):
            room = anyio.Event()
            self.emptied.append(room)
            try:
                await room.wait()
            finally:
                if not room.is_set():  # given up: the next place is not for it
                    self.emptied.remove(room)

    async def take(self) -> T:
        while not self.items:
            self.filled = anyio.Event()
            await self.filled.wait()
            self.filled = None
        return self._next()

    def take_now(self) -> T | None:
        """The next item, or None when there is none."""
        return self._next() if self.items else None

    def _next(self) -> T:
        if self.emptied:
            self.emptied.popleft().set()
        return self.items.popleft()
