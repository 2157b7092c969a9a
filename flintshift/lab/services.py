"""Stand-ins with a limited capacity (see `capacity`) for services that hundreds of nodes share."""

from __future__ import annotations

import asyncio
import time

from flintshift.lab.capacity import SLOW_ANSWER_MS, Capacity, Verdict
from flintshift.lab.standins import Names, RecordingReader


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


class RateLimitedNames(Names):
    """A name service with a maximum rate of reports.

    While `capacity.down` is set, it accepts and resets each connection, so that calls are counted then too.
    """

    def __init__(self, per_s: float, port: int = 0) -> None:
        super().__init__(port)
        self.capacity = Capacity(per_s)
        self.extra_delay_ms = 0.0  # added to the time of each answer

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        verdict = self.capacity.call(now_ms())
        if verdict is Verdict.REJECTED:
            writer.transport.abort()
            return
        delay_ms = self.extra_delay_ms + (SLOW_ANSWER_MS if verdict is Verdict.SLOW else 0.0)
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        await super().serve(reader, writer)
