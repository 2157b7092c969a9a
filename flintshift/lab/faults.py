"""A proxy that stands on one link between two members and hurts what passes: delay, loss, cuts, drips, junk.

It knows bytes alone, not what they mean, so whatever two members speak can be hurt. Faults are set by whoever plays
them (`FaultProxy.forward`, `.backward`), and take effect on bytes that come from then on.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from dataclasses import dataclass

from flintshift.lab.connection_tasks import ConnectionTasks

READ = 65_536
HELD_MOST = 4 << 20  # bytes that wait out a delay, of one direction of one connection

Held = deque[tuple[float, bytes]]  # when a piece may go on


@dataclass(slots=True)
class Fault:
    """What happens to the bytes of one direction. All zero: nothing."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # more, by chance; bytes keep their order, as TCP does
    drops: bool = False  # what comes is taken and never passed on: a one-way cut, or with both directions half-open
    bytes_per_s: int = 0  # bytes a second; 0: as fast as they come
    duplicates: bool = False  # each piece is passed on twice: junk, to whoever reads frames
    reset_after: int = -1  # the connection is reset after so many more bytes, in the middle of whatever that is


class FaultProxy:
    """Listens on a port of its own and passes all on to ``to``, the port of a member."""

    def __init__(self, port: int, to: int, seed: int) -> None:
        self.port, self.to, self.draw = port, to, random.Random(seed)
        self.forward, self.backward = Fault(), Fault()
        self.refusing = False  # new connections are reset
        self.writers: set[asyncio.StreamWriter] = set()
        self.passed_bytes = 0  # bytes, both ways
        self.connections = ConnectionTasks(self._serve)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connections, "127.0.0.1", self.port)

    async def stop(self) -> None:
        self.server.close()
        await self.connections.wait_until_accepted()
        self.reset()
        await self.connections.wait_until_closed()

    def reset(self) -> None:
        """Break all connections, as a switch that loses power does."""
        for writer in list(self.writers):
            writer.transport.abort()

    def cut(self) -> None:
        """Nothing passes either way until ``heal``; what is open stays open and silent."""
        self.forward, self.backward = Fault(drops=True), Fault(drops=True)

    def heal(self) -> None:
        """All passes again. Connections that lost bytes are broken: they could only be read as junk."""
        lost = self.forward.drops or self.backward.drops
        self.forward, self.backward, self.refusing = Fault(), Fault(), False
        if lost:
            self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        try:
            further_reader, further = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, further}
        self.writers |= both
        try:
            held: list[Held] = [deque(), deque()]
            come = [asyncio.Event(), asyncio.Event()]
            reading = [
                asyncio.ensure_future(self._take(source, held[way], come[way], not way))
                for way, source in enumerate((reader, further_reader))
            ]
            passing = [
                asyncio.ensure_future(self._pass(held[way], come[way], sink, not way))
                for way, sink in enumerate((further, writer))
            ]
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
            for task in (*reading, *passing):
                task.cancel()
            await asyncio.gather(*reading, *passing, return_exceptions=True)
        finally:
            self.writers -= both
            for one in both:
                one.transport.abort()

    async def _take(self, reader: asyncio.StreamReader, held: Held, come: asyncio.Event, there: bool) -> None:
        """Until the end, which is the empty piece, or the bound."""
        last = 0.0
        with contextlib.suppress(OSError):
            while sum(len(data) for _, data in held) < HELD_MOST:
                data = await reader.read(READ)
                if not data:
                    break
                fault = self.forward if there else self.backward
                if fault.drops:
                    continue
                now = asyncio.get_running_loop().time()
                last = max(last, now + (fault.delay_ms + fault.jitter_ms * self.draw.random()) / 1000)
                held.append((last, data * (2 if fault.duplicates else 1)))
                come.set()
        held.append((last, b""))
        come.set()

    async def _pass(self, held: Held, come: asyncio.Event, writer: asyncio.StreamWriter, there: bool) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                while not held:
                    come.clear()
                    await come.wait()
                at, data = held.popleft()
                if not data:
                    return
                if at > loop.time():
                    await asyncio.sleep(at - loop.time())
                fault = self.forward if there else self.backward
                if 0 <= fault.reset_after <= len(data):
                    writer.write(data[: fault.reset_after])
                    fault.reset_after = -1
                    await writer.drain()
                    return
                if fault.reset_after >= 0:
                    fault.reset_after -= len(data)
                step = max(1, fault.bytes_per_s // 20) if fault.bytes_per_s else len(data)
                for begin in range(0, len(data), step):
                    writer.write(data[begin : begin + step])
                    await writer.drain()
                    if fault.bytes_per_s:
                        await asyncio.sleep(0.05)
                self.passed_bytes += len(data)
