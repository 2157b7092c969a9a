"""Finds the process of this machine at the other end of a loopback connection, from the tables in /proc."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

PROC = Path("/proc")
LOCAL_FIELD, REMOTE_FIELD, INODE_FIELD = 1, 2, 9  # of a line of /proc/net/tcp


def describe_sender(port: int, to_port: int) -> str:
    """The process that is connected from ``port`` to ``to_port``: its id, its command and the test that started it."""
    with contextlib.suppress(OSError):
        inode = _socket_inode(port, to_port)
        pid = _socket_owner(inode) if inode is not None else None
        if pid is not None:
            return _describe_process(pid)
    return f"a process that has ended, from port {port}"


def _socket_inode(port: int, to_port: int) -> str | None:
    for line in (PROC / "net" / "tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL_FIELD].endswith(f":{port:04X}") and fields[REMOTE_FIELD].endswith(f":{to_port:04X}"):
            return fields[INODE_FIELD]
    return None


def _socket_owner(inode: str) -> int | None:
    wanted = f"socket:[{inode}]"
    for folder in PROC.glob("[0-9]*/fd"):
        with contextlib.suppress(OSError):  # the process has ended, or is another user's
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    if os.readlink(folder / name) == wanted:
                        return int(folder.parent.name)
    return None


def _describe_process(pid: int) -> str:
    command = (PROC / str(pid) / "cmdline").read_bytes().decode(errors="replace").replace("\0", " ").strip()
    variables = (PROC / str(pid) / "environ").read_bytes().decode(errors="replace").split("\0")
    test = next(
        (variable.partition("=")[2] for variable in variables if variable.startswith("PYTEST_CURRENT_TEST=")), "no test"
    )
    return f"process {pid} ({command}), started by {test}"
