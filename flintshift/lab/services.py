"""Stand-ins with a capacity, as `capacity` has it, for services that hundreds of nodes share."""

from __future__ import annotations

import asyncio
import time

from flintshift.lab.capacity import SLOW_ANSWER_MS, Capacity, Verdict
from flintshift.lab.standins import Names, RecordingReader


def now_ms() -> float:
    return time.monotonic() * 1000


class LimitedNames(Names):
    """A name service that takes so many reports a second. While `capacity.down`, it resets each connection, so that
    calls can be counted then too."""

    def __init__(self, per_s: float, port: int = 0) -> None:
        super().__init__(port)
        self.capacity = Capacity(per_s)
        self.slow_ms = 0.0  # an answer takes so much longer

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        verdict = self.capacity.call(now_ms())
        if verdict is Verdict.REJECTED:
            writer.transport.abort()
            return
        wait_ms = self.slow_ms + (SLOW_ANSWER_MS if verdict is Verdict.SLOW else 0.0)
        if wait_ms:
            await asyncio.sleep(wait_ms / 1000)
        await super().serve(reader, writer)
