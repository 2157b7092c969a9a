"""The socket of the door: whoever connects is told how the clubs stand, as one JSON object. Imported only where the
operators' file names one.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Coroutine
from dataclasses import asdict
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketListener, SocketStream

from flintshift.core.counters import Counters
from flintshift.core.ports import Log
from flintshift.lifecycle.fair_door import FairDoor
from flintshift.wire.link import BROKEN

AT_ONCE, WITHIN_S = 4, 2.0  # calls, and the time for one to be taken


def bound(path: Path) -> socket.socket:
    """The socket, listening. What a process that ended has left there goes.

    Raises:
        OSError: the path can't be used, or a process listens there.
    """
    raw = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    raw.setblocking(False)
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as other:
            if other.connect_ex(str(path)) == 0:
                raise OSError(f"{path}: another process listens there")
        if path.is_socket():
            path.unlink()
        raw.bind(str(path))
        path.chmod(0o600)
        raw.listen(AT_ONCE)
    except BaseException:
        raw.close()
        raise
    return raw


def open_socket(path: Path, door: FairDoor, counters: Counters, log: Log) -> Callable[[], Coroutine[Any, Any, None]]:
    """The socket as an actor of the node. Where it can't be had, that is told, and the node serves without."""
    async def told(stream: SocketStream) -> None:
        try:
            async with stream:
                with anyio.move_on_after(WITHIN_S):
                    clubs = [asdict(one) for one in door.shares.shown()]
                    await stream.send(json.dumps({"clubs": clubs}).encode() + b"\n")
        except BROKEN:
            counters.add("door.show_broken")

    async def run() -> None:
        try:
            raw = bound(path)
        except (OSError, ValueError) as error:
            counters.add("door.no_socket")
            log("error", "door.no_socket", path=str(path), cause=str(error))
            return
        try:
            async with await SocketListener.from_socket(raw) as listener:
                while True:
                    try:
                        stream = await listener.accept()
                    except OSError:  # for want of descriptors, say: that must not end the node
                        counters.add("door.accept_failed")
                        await anyio.sleep(0.1)
                        continue
                    await told(stream)
        finally:
            path.unlink(missing_ok=True)

    return run
