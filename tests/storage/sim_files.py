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
        self.stop_at, self.after, self.refuse = stop_at, after, refuse or {}
        self.names_now: dict[Path, Node] = {}
        self.names_synced: dict[Path, Node] = {}
        self.folders: set[Path] = set()
        self.count, self.stopped, self.log = 0, False, []
        self.locks: set[Path] = set()
        self.times: dict[Path, float] = {}
        self.now_ms = 0.0

    def step(self, what, path, do=lambda: None, partial=lambda: None):
        if self.stopped:
            raise StoppedError
        self.count += 1
        self.log.append((what, path.name))
        if self.count in self.refuse:
            partial()
            raise OSError(self.refuse[self.count], "refused here")
        if self.count == self.stop_at:
            if self.after:
                do()
            else:
                partial()
            self.stopped = True
            raise StoppedError
        return do()

    def survived(self, how):
        """The disk after the stop, for the next life."""
        next_ = SimFiles()
        next_.folders = set(self.folders)
        names = self.names_synced if how == "lost" else self.names_now
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
            next_.names_now[path] = next_.names_synced[path] = Node(bytearray(data), data)
        next_.times, next_.now_ms = dict(self.times), self.now_ms
        return next_

    # The seam.

    def make_folder(self, path):
        self.folders.add(path)

    def names(self, folder):
        if self.stopped:
            raise StoppedError
        depth = len(folder.parts)
        return sorted({path.parts[depth] for path in self.names_now if folder in path.parents})

    def read(self, path):
        if self.stopped:
            raise StoppedError
        if path not in self.names_now:
            raise FileNotFoundError(errno.ENOENT, "no such file", str(path))
        return bytes(self.names_now[path].data)

    def age_ms(self, path, now_ms):
        return now_ms - self.times.get(path, 0.0)

    def create(self, path):
        if path in self.names_now:
            raise FileExistsError(errno.EEXIST, "there is one", str(path))

        def do():
            self.names_now[path] = Node()
            self.times[path] = self.now_ms

        self.step("create", path, do)
        return SimFile(self, path, self.names_now[path])

    def extend(self, path):
        return SimFile(self, path, self.names_now[path])

    def truncate(self, path, size):
        node = self.names_now[path]

        def do():
            del node.data[size:]
            node.synced = bytes(node.data)

        self.step("truncate", path, do)

    def rename(self, path, to):
        def do():
            if path in self.names_now:
                self.names_now[to] = self.names_now.pop(path)
                self.times[to] = self.now_ms
                return
            for one in [one for one in self.names_now if path in one.parents]:  # a folder
                self.names_now[to / one.relative_to(path)] = self.names_now.pop(one)

        self.step("rename", to, do)

    def link(self, path, to):
        if to in self.names_now:
            raise FileExistsError(errno.EEXIST, "there is one", str(to))
        self.step("link", to, lambda: self.names_now.__setitem__(to, self.names_now[path]))

    def remove(self, path):
        self.step("remove", path, lambda: self.names_now.pop(path))

    def sync_folder(self, folder):
        def do():
            for path in [path for path in self.names_synced if path.parent == folder]:
                del self.names_synced[path]
            self.names_synced.update({path: node for path, node in self.names_now.items() if path.parent == folder})

        self.step("sync_folder", folder, do)

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

        self.files.step("append", self.path, do, partial)

    def cut(self, size):
        def do():
            del self.node.data[size:]

        self.files.step("cut", self.path, do)

    def sync(self):
        self.files.step("sync", self.path, lambda: setattr(self.node, "synced", bytes(self.node.data)))

    def close(self):
        pass


HOWS = ("lost", "kept", "torn", "zeros")
