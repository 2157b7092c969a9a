"""Unix sockets at file paths. A socket that an ended process left at a path is removed, any other file is kept."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from collections.abc import Iterator
from pathlib import Path

LISTEN_BACKLOG = 8


@contextlib.contextmanager
def short_socket_path(path: Path) -> Iterator[str]:
    """Yield a name of the path that fits into a socket address, however deep its folder is nested."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}" if len(str(path)) > 100 else str(path)
    finally:
        os.close(folder)


def is_listening(path: Path) -> bool:
    """Whether a process listens at the path now; does not block.

    Raises:
        OSError: the folder can't be opened.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as raw, short_socket_path(path) as name:
        raw.setblocking(False)
        return raw.connect_ex(name) in (0, errno.EAGAIN)  # EAGAIN: its queue is full


def open_unix_listener(path: Path) -> socket.socket:
    """Listen at the path, with access for this user only. A socket file at the path is replaced.

    Raises:
        OSError: the folder does not allow it, or the path is a file other than a socket.
    """
    raw = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    raw.setblocking(False)
    try:
        if path.is_socket():
            path.unlink()
        with short_socket_path(path) as name:
            raw.bind(name)
        path.chmod(0o600)
        raw.listen(LISTEN_BACKLOG)
    except BaseException:
        raw.close()
        raise
    return raw
