"""Unix sockets at paths of the node's own: what a process that ended has left there goes, and nothing else does."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from collections.abc import Iterator
from pathlib import Path

BACKLOG = 8


@contextlib.contextmanager
def short_socket_path(path: Path) -> Iterator[str]:
    """A name for the path that fits a socket's address however deep the folder lies."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}" if len(str(path)) > 100 else str(path)
    finally:
        os.close(folder)


def is_listening(path: Path) -> bool:
    """Whether a process listens there now; asked without waiting.

    Raises:
        OSError: the folder can't be looked into.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as raw, short_socket_path(path) as name:
        raw.setblocking(False)
        return raw.connect_ex(name) in (0, errno.EAGAIN)  # EAGAIN: its queue is full


def open_unix_listener(path: Path) -> socket.socket:
    """The path, listening, for this user alone. A socket that nobody is to listen at any more goes.

    Raises:
        OSError: the folder does not take it, or a file that is no socket stands there.
    """
    raw = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    raw.setblocking(False)
    try:
        if path.is_socket():
            path.unlink()
        with short_socket_path(path) as name:
            raw.bind(name)
        path.chmod(0o600)
        raw.listen(BACKLOG)
    except BaseException:
        raw.close()
        raise
    return raw
