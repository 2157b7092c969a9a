"""A Unix socket for operators: each connection receives the status of a part of the node, as one JSON object.

Imported only if such a part is on.
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
from flintshift.wire import faults
from flintshift.wire.link import CONNECTION_ERRORS
from flintshift.wire.unix import is_listening, open_unix_listener


class StatusSocket:
    """An actor of the node that serves one status socket.

    If it can't listen at its path, it reports that once and tries again, and the node serves without it. The successor
    in an upgrade gets the path when its predecessor ends. A status that can't be built is recorded as a fault, and its
    reader gets nothing.
    """

    def __init__(
        self,
        path: Path,
        part: str,
        status: Callable[[], dict[str, Any]],
        description: str,
        limits: Limits,
        counters: Counters,
        warn: Callable[[str], None],
    ) -> None:
        """``part`` begins the names of the counters, ``status`` returns the object that is sent, and ``description``
        names it in warnings."""
        self.path, self.part, self.status, self.description = path, part, status, description
        self.limits, self.counters, self.warn = limits, counters, warn
        self.reported_cause = ""  # of the last failure to listen

    async def run(self) -> None:
        """Serve the socket until cancelled."""
        while True:
            cause = await self._serve()
            if cause != self.reported_cause:
                self.counters.add(f"{self.part}.no_socket")
                self.warn(f"{self.description} can't be shown: {self.path}: {cause}; it is tried again")
                self.reported_cause = cause
            await anyio.sleep(self.limits.status_listen_retry_delay_ms / 1000)

    async def _serve(self) -> str:
        """Serve until cancelled; return the cause if the socket can't listen."""
        try:
            if is_listening(self.path):
                return "another process listens there"
            status_listener = await SocketListener.from_socket(open_unix_listener(self.path))
        except (OSError, ValueError) as error:  # ValueError: the system reported an impossible state of the socket
            return str(error)
        async with status_listener as listener:
            try:
                while True:
                    await self._send_status(listener)
            finally:  # before the socket closes: later the path may be that of a successor
                self.path.unlink(missing_ok=True)

    async def _send_status(self, listener: SocketListener) -> None:
        """Accept a connection, and send it the status."""
        try:
            stream = await listener.accept()
        except OSError:  # such as a lack of descriptors, which must not end the node
            self.counters.add(f"{self.part}.accept_failed")
            await anyio.sleep(self.limits.backoff_ms / 1000)
            return
        assert isinstance(stream, SocketStream)
        try:
            async with stream:
                encoded_status = self._encode_status()
                with anyio.move_on_after(self.limits.status_write_timeout_ms / 1000):
                    await stream.send(encoded_status)
        except CONNECTION_ERRORS:
            self.counters.add(f"{self.part}.show_broken")

    def _encode_status(self) -> bytes:
        """The status as a line of JSON; empty if it can't be told, which must not end the node."""
        try:
            return json.dumps(self.status(), allow_nan=False).encode() + b"\n"
        except Exception as error:
            faults.record(self.counters, f"{self.part}.status", error)
            return b""
