"""A fault-injecting TCP proxy for one link between two members: delay, loss, resets, low throughput, duplicated bytes.

It passes bytes without interpreting them, so it works with any protocol between the members. The faults are set on
`FaultProxy.forward` and `FaultProxy.backward`, and apply to the bytes that arrive from then on.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from dataclasses import dataclass

from flintshift.lab.connection_tasks import ConnectionTasks

READ_BYTES = 65_536
MAX_DELAYED_BYTES = 4 << 20  # of one direction of one connection

DelayQueue = deque[tuple[float, bytes]]  # chunks, each with the loop time in seconds when it is passed on


@dataclass(slots=True)
class Fault:
    """The faults of one direction. With the defaults there are none."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # maximum random extra delay; bytes keep their order, as in TCP
    drops: bool = False  # bytes are read and discarded: a one-way cut, or with both directions a half-open connection
    bytes_per_s: int = 0  # throughput; 0: unlimited
    duplicates: bool = False  # each chunk is passed on twice, which a reader of frames sees as malformed data
    reset_after: int = -1  # the connection is reset after this many more bytes, also within a frame; -1: never


class FaultProxy:
    """Listens on ``port`` and forwards connections to ``target_port``, the port of a member."""

    def __init__(self, port: int, target_port: int, seed: int) -> None:
        self.port, self.target_port, self.rng = port, target_port, random.Random(seed)
        self.forward, self.backward = Fault(), Fault()
        self.resets_new_connections = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.passed_bytes = 0  # in both directions
        self.connections = ConnectionTasks(self._serve)

    async def start(self) -> None:
        """Listen for connections."""
        self.server = await asyncio.start_server(self.connections, "127.0.0.1", self.port)

    async def stop(self) -> None:
        """Reset all connections, and wait until they are closed."""
        self.server.close()
        await self.connections.wait_until_accepted()
        self.reset()
        await self.connections.wait_until_closed()

    def reset(self) -> None:
        """Reset all connections, as if a switch lost power."""
        for writer in list(self.writers):
            writer.transport.abort()

    def cut(self) -> None:
        """Discard the bytes of both directions until ``heal``. Open connections stay open and silent."""
        self.forward, self.backward = Fault(drops=True), Fault(drops=True)

    def heal(self) -> None:
        """Remove all faults. Resets the connections if bytes were lost, as they would be read as malformed data."""
        bytes_lost = self.forward.drops or self.backward.drops
        self.forward, self.backward, self.resets_new_connections = Fault(), Fault(), False
        if bytes_lost:
            self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.resets_new_connections:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, target_writer}
        self.writers |= both
        try:
            queues: list[DelayQueue] = [deque(), deque()]
            filled = [asyncio.Event(), asyncio.Event()]
            read_tasks = [
                asyncio.ensure_future(self._enqueue(source, queues[direction], filled[direction], not direction))
                for direction, source in enumerate((reader, target_reader))
            ]
            write_tasks = [
                asyncio.ensure_future(self._forward(queues[direction], filled[direction], sink, not direction))
                for direction, sink in enumerate((target_writer, writer))
            ]
            await asyncio.wait(write_tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in (*read_tasks, *write_tasks):
                task.cancel()
            await asyncio.gather(*read_tasks, *write_tasks, return_exceptions=True)
        finally:
            self.writers -= both
            for stream in both:
                stream.transport.abort()

    async def _enqueue(
        self, reader: asyncio.StreamReader, queue: DelayQueue, filled: asyncio.Event, is_forward: bool
    ) -> None:
        """Queue what is read until the connection ends or the queue is full. An empty chunk marks the end."""
        last_due = 0.0
        with contextlib.suppress(OSError):
            while sum(len(data) for _, data in queue) < MAX_DELAYED_BYTES:
                data = await reader.read(READ_BYTES)
                if not data:
                    break
                fault = self.forward if is_forward else self.backward
                if fault.drops:
                    continue
                now = asyncio.get_running_loop().time()
                last_due = max(last_due, now + (fault.delay_ms + fault.jitter_ms * self.rng.random()) / 1000)
                queue.append((last_due, data * (2 if fault.duplicates else 1)))
                filled.set()
        queue.append((last_due, b""))
        filled.set()

    async def _forward(
        self, queue: DelayQueue, filled: asyncio.Event, writer: asyncio.StreamWriter, is_forward: bool
    ) -> None:
        """Pass on the queued chunks, each when it is due, until the end of the connection or its reset."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                while not queue:
                    filled.clear()
                    await filled.wait()
                due, data = queue.popleft()
                if not data:
                    return
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                fault = self.forward if is_forward else self.backward
                if 0 <= fault.reset_after <= len(data):
                    writer.write(data[: fault.reset_after])
                    fault.reset_after = -1
                    await writer.drain()
                    return
                if fault.reset_after >= 0:
                    fault.reset_after -= len(data)
                step = max(1, fault.bytes_per_s // 20) if fault.bytes_per_s else len(data)
                for start in range(0, len(data), step):
                    writer.write(data[start : start + step])
                    await writer.drain()
                    if fault.bytes_per_s:
                        await asyncio.sleep(0.05)
                self.passed_bytes += len(data)
