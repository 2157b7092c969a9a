"""Which process of this machine holds the other end of a connection over loopback, by the system's own tables."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

PROC = Path("/proc")
LOCAL, REMOTE, INODE = 1, 2, 9  # fields of a line of /proc/net/tcp


def sender(port: int, to: int) -> str:
    """The process that is connected from this port to that one: its number, command and the test that started it."""
    with contextlib.suppress(OSError):
        inode = _inode(port, to)
        pid = _holder(inode) if inode is not None else None
        if pid is not None:
            return _told(pid)
    return f"a process that is gone, from port {port}"


def _inode(port: int, to: int) -> str | None:
    for line in (PROC / "net" / "tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL].endswith(f":{port:04X}") and fields[REMOTE].endswith(f":{to:04X}"):
            return fields[INODE]
    return None


def _holder(inode: str) -> int | None:
    wanted = f"socket:[{inode}]"
    for folder in PROC.glob("[0-9]*/fd"):
        with contextlib.suppress(OSError):  # it has ended, or is another user's
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    if os.readlink(folder / name) == wanted:
                        return int(folder.parent.name)
    return None


def _told(pid: int) -> str:
    command = (PROC / str(pid) / "cmdline").read_bytes().decode(errors="replace").replace("\0", " ").strip()
    variables = (PROC / str(pid) / "environ").read_bytes().decode(errors="replace").split("\0")
    test = next((one.partition("=")[2] for one in variables if one.startswith("PYTEST_CURRENT_TEST=")), "no test")
    return f"process {pid} ({command}), started by {test}"
