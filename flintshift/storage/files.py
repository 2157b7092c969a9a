"""All access to the disk. Everything that is stored goes through ``Files``, which tests replace by a simulated file
system that loses, truncates and fails writes (``tests/storage/sim_files.py``).

Every method raises OSError as the system does. Appended data survives the end of the process at once, and a crash of
the machine after ``sync``; a created or changed name survives such a crash after ``sync_folder``.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class LockedError(Exception):
    """Another process uses the folder."""


class File(Protocol):
    """A file that grows at its end."""

    def append(self, data: bytes) -> None: ...  # after an OSError, a part of the data may be in the file
    def truncate(self, size: int) -> None: ...  # removes the data after that size; the next append follows there
    def sync(self) -> None: ...
    def close(self) -> None: ...


class Lock(Protocol):
    """A folder's lock, until it is closed."""

    def close(self) -> None: ...


class Files(Protocol):
    """The file operations that storage uses."""

    def make_folder(self, path: Path) -> None: ...
    def names(self, folder: Path) -> list[str]: ...  # sorted; empty if there is no such folder
    def read(self, path: Path) -> bytes: ...
    def age_ms(self, path: Path, now_ms: float) -> float: ...  # since it was last written
    def create(self, path: Path) -> File: ...  # FileExistsError if the file exists
    def open_for_append(self, path: Path) -> File: ...
    def truncate(self, path: Path, size: int) -> None: ...
    def rename(self, path: Path, to: Path) -> None: ...  # replaces an existing file, atomically
    def link(self, path: Path, to: Path) -> None: ...  # FileExistsError if ``to`` exists
    def remove(self, path: Path) -> None: ...
    def sync_folder(self, folder: Path) -> None: ...
    def lock(self, path: Path) -> Lock: ...  # locked until closed or the process ends


class DiskFile:
    """A file on the real disk: a ``File``, and a ``Lock`` where it is locked."""

    def __init__(self, path: Path, flags: int) -> None:
        self.fd = os.open(path, flags | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def append(self, data: bytes) -> None:
        written = os.write(self.fd, data)
        while written < len(data):  # a disk that is filling up first takes a part of the data
            written += os.write(self.fd, data[written:])

    def truncate(self, size: int) -> None:
        os.ftruncate(self.fd, size)

    def sync(self) -> None:
        os.fdatasync(self.fd)

    def close(self) -> None:
        fd, self.fd = self.fd, -1
        if fd >= 0:
            os.close(fd)


class DiskFiles:
    """The operations of ``Files`` on the real disk."""

    def make_folder(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)

    def names(self, folder: Path) -> list[str]:
        try:
            return sorted(os.listdir(folder))
        except FileNotFoundError:
            return []

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def age_ms(self, path: Path, now_ms: float) -> float:
        return now_ms - path.stat().st_mtime * 1000

    def create(self, path: Path) -> DiskFile:
        return DiskFile(path, os.O_CREAT | os.O_EXCL)

    def open_for_append(self, path: Path) -> DiskFile:
        return DiskFile(path, 0)

    def truncate(self, path: Path, size: int) -> None:
        fd = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, path: Path, to: Path) -> None:
        os.replace(path, to)

    def link(self, path: Path, to: Path) -> None:
        os.link(path, to)

    def remove(self, path: Path) -> None:
        path.unlink()

    def sync_folder(self, folder: Path) -> None:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self, path: Path) -> DiskFile:
        """Take the system's advisory lock (flock), which ends with the process, however it ends.

        Raises:
            LockedError: another process has the lock.
        """
        lock_file = DiskFile(path, os.O_CREAT)
        try:
            fcntl.flock(lock_file.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock_file.close()
            raise LockedError(f"{path.parent}: another process works in this folder") from None
        except OSError:
            lock_file.close()
            raise
        return lock_file
