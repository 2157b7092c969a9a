"""Writes lines to standard error without ever blocking the process.

Where a pipe is full because nobody reads it, the disk is full or the descriptor is closed, lines are lost and nothing
else happens.
"""

from __future__ import annotations

import contextlib
import os
import select
import sys

PIPE_WRITE_BYTES = select.PIPE_BUF  # a pipe that polls as writable takes so much without blocking


class StandardError:
    """A file object that writes to standard error. Each write looks up the process's current standard error."""

    def write(self, text: str) -> int:
        """Write the text without blocking.

        Raises:
            OSError, ValueError: some of the text could not be written, or not without blocking.
        """
        descriptor = sys.stderr.fileno()
        sys.stderr.flush()
        poller = select.poll()
        poller.register(descriptor, select.POLLOUT)
        data = text.encode("utf-8", "backslashreplace")
        while data:
            if not any(events & select.POLLOUT for _, events in poller.poll(0)):
                raise BlockingIOError("writing to standard error would block: nobody reads it")
            data = data[os.write(descriptor, data[:PIPE_WRITE_BYTES]) :]
        return len(text)

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""


def write_line(text: str) -> None:
    """Write a line, or drop it if it can't be written now."""
    with contextlib.suppress(OSError, ValueError):
        StandardError().write(text + "\n")
