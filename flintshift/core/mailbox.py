"""A bounded mailbox: what is put in waits for one reader, and being full has a result."""

from __future__ import annotations

from typing import Generic, TypeVar

import anyio

T = TypeVar("T")


class Mailbox(Generic[T]):
    def __init__(self, size: int) -> None:
        self.size = size
        self._in, self._out = anyio.create_memory_object_stream[T](size)

    def __len__(self) -> int:
        return self._in.statistics().current_buffer_used

    def offer(self, item: T, spare: int = 0) -> bool:
        """Put in without waiting, so no planner blocks; False when that leaves under `spare` places free."""
        if len(self) + spare >= self.size:
            return False
        self._in.send_nowait(item)
        return True

    async def put(self, item: T) -> None:
        """Put in, waiting for room: for what must not be lost, which holds up only the one who brings it."""
        await self._in.send(item)

    async def take(self) -> T:
        return await self._out.receive()

    def take_now(self) -> T | None:
        """The next item, or None when there is none."""
        try:
            return self._out.receive_nowait()
        except anyio.WouldBlock:
            return None
