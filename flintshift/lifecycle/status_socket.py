"""A Unix socket for operators: whoever connects is told how a part of the node stands, as one JSON object. Imported
only where such a part is on.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketListener, SocketStream

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.wire.link import CONNECTION_ERRORS
from flintshift.wire.unix import is_listening, open_unix_listener


class StatusSocket:
    """An actor of the node. Where the path can't be had, that is told once, the node serves without, and tries
    again: a successor gets the path as the process before it ends.
    """

    def __init__(
        self,
        path: Path,
        part: str,
        shown: Callable[[], dict[str, Any]],
        what: str,
        limits: Limits,
        counters: Counters,
        warn: Callable[[str], None],
    ) -> None:
        """``part`` names the counters, ``shown`` gives what is told, ``what`` says what that is."""
        self.path, self.part, self.shown, self.what = path, part, shown, what
        self.limits, self.counters, self.warn = limits, counters, warn
        self.told = ""  # why there was no path, last

    async def run(self) -> None:
        while True:
            cause = await self._serve()
            if cause != self.told:
                self.counters.add(f"{self.part}.no_socket")
                self.warn(f"nobody is told {self.what}: {self.path}: {cause}; it is tried again")
                self.told = cause
            await anyio.sleep(self.limits.status_listen_retry_delay_ms / 1000)

    async def _serve(self) -> str:
        """Until cancelled; else why it can't."""
        try:
            if is_listening(self.path):
                return "another process listens there"
            listening = await SocketListener.from_socket(open_unix_listener(self.path))
        except (OSError, ValueError) as error:  # ValueError: what the system said of the socket can't be
            return str(error)
        async with listening as listener:
            try:
                while True:
                    await self._answer(listener)
            finally:  # before the socket closes: after it, the path may be a successor's
                self.path.unlink(missing_ok=True)

    async def _answer(self, listener: SocketListener) -> None:
        try:
            stream = await listener.accept()
        except OSError:  # for want of descriptors, say: that must not end the node
            self.counters.add(f"{self.part}.accept_failed")
            await anyio.sleep(self.limits.backoff_ms / 1000)
            return
        assert isinstance(stream, SocketStream)
        try:
            async with stream:
                with anyio.move_on_after(self.limits.status_write_timeout_ms / 1000):
                    await stream.send(json.dumps(self.shown()).encode() + b"\n")
        except CONNECTION_ERRORS:
            self.counters.add(f"{self.part}.show_broken")
