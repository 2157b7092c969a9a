"""Starts a node on a machine that is not well: ``python -m flintshift.lab.fault_injection OFFSET_MS DISK [arguments]``.
Its system clock is off by so much; while the file DISK stands, its disk fails whatever is written or synced.
"""

from __future__ import annotations

import errno
import os
import runpy
import sys
import time

from flintshift.storage.files import DiskFile


def main() -> None:
    offset_s, disk = float(sys.argv[1]) / 1000, sys.argv[2]
    true, append, sync = time.time, DiskFile.append, DiskFile.sync

    def answers() -> None:
        if os.path.exists(disk):
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    def hurt_append(self: DiskFile, data: bytes) -> None:
        answers()
        append(self, data)

    def hurt_sync(self: DiskFile) -> None:
        answers()
        sync(self)

    time.time = lambda: true() + offset_s
    DiskFile.append, DiskFile.sync = hurt_append, hurt_sync  # type: ignore[method-assign]
    sys.argv = ["flintshift", *sys.argv[3:]]
    runpy.run_module("flintshift", run_name="__main__")


if __name__ == "__main__":
    main()
