"""Allocates loopback ports to the processes and stand-ins of one run, so that no other process on this machine gets
the same ones."""

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

# Below the ephemeral ports, so that no outgoing connection takes one of them.
PORTS = range(20_000, 32_000)
PORTS_PER_LOCK = 20  # so that a process holds some hundred lock files open and not thousands
# The part of the range for this process. "2/8": the third of eight parts, so that eight processes can run at once.
PORTS_PART_VARIABLE = "FLINTSHIFT_LAB_PORTS"


def port_range() -> range:
    """Return the ports that this process may use."""
    part, _, parts = os.environ.get(PORTS_PART_VARIABLE, "0/1").partition("/")
    part_size = len(PORTS) // int(parts)
    return PORTS[int(part) * part_size : (int(part) + 1) * part_size]


def _lock_block(port: int) -> bool:
    """Lock the port's block for as long as this process runs, and return whether this process has it.

    Without the lock, another test cluster on the machine could take the port of a member or a stand-in that is down,
    and answer its callers.
    """
    block = port // PORTS_PER_LOCK * PORTS_PER_LOCK
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
    """Return ports on which nobody listens now. A port is returned again only after all others of the range.

    Raises:
        OSError: too few ports of the range are free.
    """
    free: list[int] = []
    ports = port_range()
    for _ in range(len(ports)):
        port = ports[next(_next_index) % len(ports)]
        if not _lock_block(port):
            continue
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            free.append(port)
        if len(free) == count:
            return free
    raise OSError(f"{count} of the ports from {ports.start} to {ports.stop - 1} are not free")


_locks: dict[int, IO[str]] = {}
_next_index = itertools.count(random.randrange(len(PORTS)))  # successive calls never get the same port
