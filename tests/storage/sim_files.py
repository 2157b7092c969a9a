"""A file system in memory behind the seam: it stops at a chosen operation, refuses at chosen ones, and after a stop
shows what a disk might hold: unsynced writes lost, kept, or torn."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from pathlib import Path

from flintshift.storage.files import LockedError


class StoppedError(Exception):
    """The machine stopped here; nothing more is done. (No OSError: no code may take it for a refusal.)"""


@dataclass
class Node:
    """A file's bytes as they stand, and as the last sync left them."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class SimFiles:
    """``stop_at``: the operation, counted from 1, at which the machine stops; ``after``: it is done first.
    ``refuse``: operations that fail, by number, with the error to raise."""

    def __init__(self, stop_at=0, after=False, refuse=None):
        self.stop_at, self.stop_after, self.failures = stop_at, after, refuse or {}
        self.current_files: dict[Path, Node] = {}
        self.synced_files: dict[Path, Node] = {}
        self.folders: set[Path] = set()
        self.operation_count, self.stopped, self.operations = 0, False, []
        self.locks: set[Path] = set()
        self.times: dict[Path, float] = {}
        self.now_ms = 0.0

    def run_operation(self, what, path, do=lambda: None, partial=lambda: None):
        if self.stopped:
            raise StoppedError
        self.operation_count += 1
        self.operations.append((what, path.name))
        if self.operation_count in self.failures:
            partial()
            raise OSError(self.failures[self.operation_count], "refused here")
        if self.operation_count == self.stop_at:
            if self.stop_after:
                do()
            else:
                partial()
            self.stopped = True
            raise StoppedError
        return do()

    def after_crash(self, how):
        """The disk after the stop, for the next life."""
        next_ = SimFiles()
        next_.folders = set(self.folders)
        names = self.synced_files if how == "lost" else self.current_files
        for path, node in names.items():
            data = bytes(node.data)
            if how == "lost":
                data = node.synced
            elif how == "torn":
                grown = data[len(node.synced) :] if data.startswith(node.synced) else b""
                data = data[: len(data) - (len(grown) + 1) // 2]
            elif how == "zeros":  # the length reached the disk, the pages did not
                grown = len(data) - len(node.synced) if data.startswith(node.synced) else 0
                data = data[: len(data) - grown // 2] + bytes(grown // 2)
            next_.current_files[path] = next_.synced_files[path] = Node(bytearray(data), data)
        next_.times, next_.now_ms = dict(self.times), self.now_ms
        return next_

    # The seam.

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
        return now_ms - self.times.get(path, 0.0)

    def create(self, path):
        if path in self.current_files:
            raise FileExistsError(errno.EEXIST, "there is one", str(path))

        def do():
            self.current_files[path] = Node()
            self.times[path] = self.now_ms

        self.run_operation("create", path, do)
        return SimFile(self, path, self.current_files[path])

    def extend(self, path):
        return SimFile(self, path, self.current_files[path])

    def truncate(self, path, size):
        node = self.current_files[path]

        def do():
            del node.data[size:]
            node.synced = bytes(node.data)

        self.run_operation("truncate", path, do)

    def rename(self, path, to):
        def do():
            if path in self.current_files:
                self.current_files[to] = self.current_files.pop(path)
                self.times[to] = self.now_ms
                return
            for one in [one for one in self.current_files if path in one.parents]:  # a folder
                self.current_files[to / one.relative_to(path)] = self.current_files.pop(one)

        self.run_operation("rename", to, do)

    def link(self, path, to):
        if to in self.current_files:
            raise FileExistsError(errno.EEXIST, "there is one", str(to))
        self.run_operation("link", to, lambda: self.current_files.__setitem__(to, self.current_files[path]))

    def remove(self, path):
        self.run_operation("remove", path, lambda: self.current_files.pop(path))

    def sync_folder(self, folder):
        def do():
            for path in [path for path in self.synced_files if path.parent == folder]:
                del self.synced_files[path]
            self.synced_files.update({path: node for path, node in self.current_files.items() if path.parent == folder})

        self.run_operation("sync_folder", folder, do)

    def lock(self, path):
        if path in self.locks:
            raise LockedError(f"{path.parent}: another process works in this folder")
        self.locks.add(path)
        files = self

        class Held:
            def close(self):
                files.locks.discard(path)

        return Held()


class SimFile:
    def __init__(self, files, path, node):
        self.files, self.path, self.node = files, path, node

    def append(self, data):
        def do():
            self.node.data += data
            self.files.times[self.path] = self.files.now_ms

        def partial():
            self.node.data += data[: len(data) // 2]

        self.files.run_operation("append", self.path, do, partial)

    def cut(self, size):
        def do():
            del self.node.data[size:]

        self.files.run_operation("cut", self.path, do)

    def sync(self):
        self.files.run_operation("sync", self.path, lambda: setattr(self.node, "synced", bytes(self.node.data)))

    def close(self):
        pass


CRASH_OUTCOMES = ("lost", "kept", "torn", "zeros")
