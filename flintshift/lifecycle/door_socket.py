"""The socket of the door: whoever connects is told how the clubs stand, as one JSON object. Imported only where the
operators' file names one.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketListener, SocketStream

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.door.shares import PLACE_BYTES
from flintshift.lifecycle.fair_door import FairDoor
from flintshift.wire.link import BROKEN
from flintshift.wire.unix import listens, open_path


class DoorSocket:
    """An actor of the node. Where the path can't be had, that is told once, the node serves without, and tries again: a
    successor gets the path as the process before it ends."""

    def __init__(self, path: Path, door: FairDoor, limits: Limits, counters: Counters,
                 warn: Callable[[str], None]) -> None:
        self.path, self.door, self.limits, self.counters, self.warn = path, door, limits, counters, warn
        self.told = ""  # why there was no path, last

    async def run(self) -> None:
        while True:
            cause = await self._serve()
            if cause != self.told:
                self.counters.add("door.no_socket")
                self.warn(f"nobody is told how the clubs stand: {self.path}: {cause}; it is tried again")
                self.told = cause
            await anyio.sleep(self.limits.door_again_ms / 1000)

    async def _serve(self) -> str:
        """Until cancelled; else why it can't."""
        try:
            if listens(self.path):
                return "another process listens there"
            raw = open_path(self.path)
        except OSError as error:
            return str(error)
        async with await SocketListener.from_socket(raw) as listener:
            try:
                while True:
                    await self._answer(listener)
            finally:  # before the socket closes: after it, the path may be a successor's
                self.path.unlink(missing_ok=True)

    def _shown(self) -> dict[str, Any]:
        shares = self.door.shares
        return {"clubs": [asdict(one) for one in shares.shown()], "places": shares.places,
                "most_places": shares.most_places, "bytes_at_most": shares.places * PLACE_BYTES}

    async def _answer(self, listener: SocketListener) -> None:
        try:
            stream = await listener.accept()
        except OSError:  # for want of descriptors, say: that must not end the node
            self.counters.add("door.accept_failed")
            await anyio.sleep(self.limits.backoff_ms / 1000)
            return
        assert isinstance(stream, SocketStream)
        try:
            async with stream:
                with anyio.move_on_after(self.limits.door_show_ms / 1000):
                    await stream.send(json.dumps(self._shown()).encode() + b"\n")
        except BROKEN:
            self.counters.add("door.show_broken")
