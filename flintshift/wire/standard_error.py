"""Lines on standard error that never hold up the process: where a pipe is full, since nobody empties it, the disk is
full or the descriptor is closed, lines are lost, and nothing else."""

from __future__ import annotations

import contextlib
import os
import select
import sys

PIECE = select.PIPE_BUF  # bytes that a pipe which is writable takes without a wait


class StandardError:
    """As a file that is written to. The standard error of the process is looked up at each write."""

    def write(self, text: str) -> int:
        """
        Raises:
            OSError, ValueError: some of it could not be written, or not without a wait.
        """
        descriptor = sys.stderr.fileno()
        sys.stderr.flush()
        looked = select.poll()
        looked.register(descriptor, select.POLLOUT)
        data = text.encode("utf-8", "backslashreplace")
        while data:
            if not any(events & select.POLLOUT for _, events in looked.poll(0)):
                raise BlockingIOError("nobody reads the standard error")
            data = data[os.write(descriptor, data[:PIECE]) :]
        return len(text)

    def flush(self) -> None:
        """Nothing waits here."""


def write_line(text: str) -> None:
    """Write a line, or lose it."""
    with contextlib.suppress(OSError, ValueError):
        StandardError().write(text + "\n")
