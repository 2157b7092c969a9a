"""Starts a node with injected clock and disk faults.

    python -m flintshift.lab.fault_injection OFFSET_MS DISK [arguments]

The node's system clock is off by OFFSET_MS. While the file DISK exists, every write and sync to its disk fails.
"""

from __future__ import annotations

import errno
import os
import runpy
import sys
import time

from flintshift.storage.files import DiskFile


def main() -> None:
    """Patch the clock and the disk files, and run the node in this process."""
    offset_s, marker_path = float(sys.argv[1]) / 1000, sys.argv[2]
    real_time, real_append, real_sync = time.time, DiskFile.append, DiskFile.sync

    def raise_if_disk_fails() -> None:
        if os.path.exists(marker_path):
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    def failing_append(self: DiskFile, data: bytes) -> None:
        raise_if_disk_fails()
        real_append(self, data)

    def failing_sync(self: DiskFile) -> None:
        raise_if_disk_fails()
        real_sync(self)

    time.time = lambda: real_time() + offset_s
    DiskFile.append, DiskFile.sync = failing_append, failing_sync  # type: ignore[method-assign]
    sys.argv = ["flintshift", *sys.argv[3:]]
    runpy.run_module("flintshift", run_name="__main__")


if __name__ == "__main__":
    main()
