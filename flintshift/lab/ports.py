"""Ports of loopback for the processes and stand-ins of one run, which no other process on this machine is given."""

from __future__ import annotations

import contextlib
import fcntl
import itertools
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

PORTS = range(20_000, 32_000)  # below those that systems draw a caller's own port from: no caller takes one of these
BLOCK = 20  # ports that are locked as one, so that a process holds some hundred locks open and not thousands
PORTS_PART_VARIABLE = (
    "FLINTSHIFT_LAB_PORTS"  # as "2/8": this process takes the third of eight parts, so that eight can run beside
)


def port_range() -> range:
    part, _, parts = os.environ.get(PORTS_PART_VARIABLE, "0/1").partition("/")
    share = len(PORTS) // int(parts)
    return PORTS[int(part) * share : (int(part) + 1) * share]


def _ours(port: int) -> bool:
    """This process has the port for its whole life, and those about it. Guards a rig against another one beside it,
    which would take the port of a member or a stand-in that is down, and answer its callers."""
    block = port // BLOCK * BLOCK
    if block not in _locks:
        folder = Path(tempfile.gettempdir()) / "flintshift-ports"
        folder.mkdir(exist_ok=True)
        lock = (folder / str(block)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            return False
        _locks[block] = lock
    return True


def free_ports(count: int) -> list[int]:
    """Ports to listen on that nobody holds now, none of them told before until all of the range were."""
    found: list[int] = []
    ports = port_range()
    for _ in range(len(ports)):
        port = ports[next(_turn) % len(ports)]
        if not _ours(port):
            continue
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"{count} of the ports from {ports.start} to {ports.stop - 1} are not free")


_locks: dict[int, IO[str]] = {}
_turn = itertools.count(random.randrange(len(PORTS)))  # two that ask in turn never get the same
