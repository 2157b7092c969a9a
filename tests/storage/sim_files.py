"""A file system in memory that replaces ``Files``: it stops at a chosen operation, fails at chosen ones, and after a
stop shows what a disk might hold: unsynced writes lost, kept or truncated."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from pathlib import Path

from flintshift.storage.files import LockedError


class StoppedError(Exception):
    """The machine has stopped; no operation follows. (Not an OSError, as no code may take it for a disk failure.)"""


@dataclass
class Node:
    """A file's current bytes, and its bytes at the last sync."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class SimFiles:
    """A simulated file system with failures.

    ``stop_at``: the operation, counted from 1, at which the machine stops; ``stop_after``: that operation is done
    first. ``failures``: operations that fail, by number, with the error number to raise."""

    def __init__(self, stop_at=0, stop_after=False, failures=None):
        self.stop_at, self.stop_after, self.failures = stop_at, stop_after, failures or {}
        self.current_files: dict[Path, Node] = {}
        self.synced_files: dict[Path, Node] = {}
        self.folders: set[Path] = set()
        self.operation_count, self.stopped, self.operations = 0, False, []
        self.locks: set[Path] = set()
        self.write_times_ms: dict[Path, float] = {}
        self.now_ms = 0.0

    def run_operation(self, name, path, apply=lambda: None, apply_partly=lambda: None):
        """Count an operation, and apply it unless it is to fail or the machine is to stop at it."""
        if self.stopped:
            raise StoppedError
        self.operation_count += 1
        self.operations.append((name, path.name))
        if self.operation_count in self.failures:
            apply_partly()
            raise OSError(self.failures[self.operation_count], "refused here")
        if self.operation_count == self.stop_at:
            if self.stop_after:
                apply()
            else:
                apply_partly()
            self.stopped = True
            raise StoppedError
        return apply()

    def after_crash(self, outcome):
        """Return the disk as the next start finds it after the stop."""
        disk = SimFiles()
        disk.folders = set(self.folders)
        files = self.synced_files if outcome == "lost" else self.current_files
        for path, node in files.items():
            data = bytes(node.data)
            if outcome == "lost":
                data = node.synced
            elif outcome == "truncated":
                unsynced = data[len(node.synced) :] if data.startswith(node.synced) else b""
                data = data[: len(data) - (len(unsynced) + 1) // 2]
            elif outcome == "zeros":  # the length reached the disk, the pages did not
                unsynced = len(data) - len(node.synced) if data.startswith(node.synced) else 0
                data = data[: len(data) - unsynced // 2] + bytes(unsynced // 2)
            disk.current_files[path] = disk.synced_files[path] = Node(bytearray(data), data)
        disk.write_times_ms, disk.now_ms = dict(self.write_times_ms), self.now_ms
        return disk

    # The methods of ``Files``.

    def make_folder(self, path):
        self.folders.add(path)

    def names(self, folder):
        if self.stopped:
            raise StoppedError
        depth = len(folder.parts)
        return sorted({path.parts[depth] for path in self.current_files if folder in path.parents})

    def read(self, path):
        if self.stopped:
            raise StoppedError
        if path not in self.current_files:
            raise FileNotFoundError(errno.ENOENT, "no such file", str(path))
        return bytes(self.current_files[path].data)

    def age_ms(self, path, now_ms):
        return now_ms - self.write_times_ms.get(path, 0.0)

    def create(self, path):
        if path in self.current_files:
            raise FileExistsError(errno.EEXIST, "the file exists", str(path))

        def apply():
            self.current_files[path] = Node()
            self.write_times_ms[path] = self.now_ms

        self.run_operation("create", path, apply)
        return SimFile(self, path, self.current_files[path])

    def open_for_append(self, path):
        return SimFile(self, path, self.current_files[path])

    def truncate(self, path, size):
        node = self.current_files[path]

        def apply():
            del node.data[size:]
            node.synced = bytes(node.data)

        self.run_operation("truncate", path, apply)

    def rename(self, path, to):
        def apply():
            if path in self.current_files:
                self.current_files[to] = self.current_files.pop(path)
                self.write_times_ms[to] = self.now_ms
                return
            for inner in [inner for inner in self.current_files if path in inner.parents]:  # a folder
                self.current_files[to / inner.relative_to(path)] = self.current_files.pop(inner)

        self.run_operation("rename", to, apply)

    def link(self, path, to):
        if to in self.current_files:
            raise FileExistsError(errno.EEXIST, "the file exists", str(to))
        self.run_operation("link", to, lambda: self.current_files.__setitem__(to, self.current_files[path]))

    def remove(self, path):
        self.run_operation("remove", path, lambda: self.current_files.pop(path))

    def sync_folder(self, folder):
        def apply():
            for path in [path for path in self.synced_files if path.parent == folder]:
                del self.synced_files[path]
            self.synced_files.update({path: node for path, node in self.current_files.items() if path.parent == folder})

        self.run_operation("sync_folder", folder, apply)

    def lock(self, path):
        if path in self.locks:
            raise LockedError(f"{path.parent}: another process works in this folder")
        self.locks.add(path)
        files = self

        class SimLock:
            def close(self):
                files.locks.discard(path)

        return SimLock()


class SimFile:
    """An open file of ``SimFiles``."""

    def __init__(self, files, path, node):
        self.files, self.path, self.node = files, path, node

    def append(self, data):
        def apply():
            self.node.data += data
            self.files.write_times_ms[self.path] = self.files.now_ms

        def apply_partly():
            self.node.data += data[: len(data) // 2]

        self.files.run_operation("append", self.path, apply, apply_partly)

    def truncate(self, size):
        def apply():
            del self.node.data[size:]

        self.files.run_operation("cut", self.path, apply)

    def sync(self):
        self.files.run_operation("sync", self.path, lambda: setattr(self.node, "synced", bytes(self.node.data)))

    def close(self):
        pass


CRASH_OUTCOMES = ("lost", "kept", "truncated", "zeros")
