"""Drives the exporter: finds documents without an acknowledgement, delivers them, keeps the acknowledgements.

An acknowledgement is a file of its own, published whole and durable, so that a death at any point costs at most
one more delivery under the same name. One exporter works on a folder at a time (a lock, which goes with the
process), and each has an epoch above all before it, which a billing system can hold against one that was cut off.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from flintshift.storage import snapshot
from flintshift.storage.files import Files, LockedError
from flintshift.usage import documents
from flintshift.usage.export import Exporter, Pace
from flintshift.usage.folder import unacknowledged
from flintshift.usage.ledger import Say
from flintshift.usage.messages import (
    Acknowledge,
    Alarm,
    Deliver,
    Delivered,
    ExportEvent,
    Found,
    NotDelivered,
    Rejected,
    Stand,
    Tick,
    WakeAt,
)
from flintshift.usage.sinks import Sink

EPOCH_KIND = 33
LOOK_MS = 5000.0  # between two looks for new documents, if nobody tells of one


class ExportRun:
    """``run`` returns once nothing is left where ``until_done``; else it goes on until cancelled."""

    def __init__(
        self,
        files: Files,
        folder: Path,
        sinks: Mapping[str, Sink],
        pace: Pace,
        draw: Callable[[], float],
        now_ms: Callable[[], float],
        say: Say,
        until_done: bool = False,
        epoch: int | None = None,
        noted: Callable[[str, str, bytes], object] = lambda sink, name, digest: None,
    ) -> None:
        """``epoch`` None: counted in the folder, from 1. ``noted`` is told of each acknowledgement."""
        self.files, self.folder, self.sinks, self.say = files, folder, sinks, say
        self.now_ms, self.until_done, self.given_epoch, self.noted = now_ms, until_done, epoch, noted
        self.heart = Exporter(list(sinks), pace, draw, now_ms())
        self.epoch = 0
        self.wake_ms = math.inf
        self.changed = anyio.Event()

    def look(self) -> None:
        """There may be new documents."""
        self.changed.set()

    def next_epoch(self) -> int:
        """
        Raises:
            DamagedError: the file that holds it can't be read.
        """
        path, last = self.folder / "EXPORT", 0
        if path.name in self.files.names(self.folder):
            last = snapshot.unseal(path, self.files.read(path), EPOCH_KIND).epoch
        snapshot.publish(self.files, path, snapshot.seal(EPOCH_KIND, last + 1, 0, b""))
        return last + 1

    async def run(self) -> None:
        """
        Raises:
            LockedError: another exporter works on the folder, and this one is not to wait for it.
        """
        while True:
            try:
                lock = self.files.lock(self.folder / "EXPORT.LOCK")
                break
            except LockedError:
                if self.until_done:
                    raise
                await anyio.sleep(LOOK_MS / 1000)
        try:
            for sink in self.sinks:
                self.files.make_folder(self.folder / "acks" / sink)
                snapshot.remove_unfinished(self.files, self.folder / "acks" / sink)
            self.epoch = self.next_epoch() if self.given_epoch is None else self.given_epoch
            self.say("info", "export.begins", epoch=self.epoch, sinks=list(self.sinks))
            async with anyio.create_task_group() as tasks:
                while await self._turn(tasks):
                    pass
        finally:
            lock.close()
            with anyio.CancelScope(shield=True):
                for used in self.sinks.values():
                    await used.close()

    async def _turn(self, tasks: TaskGroup) -> bool:
        """Find, deliver, wait; False when all is done and that was the task."""
        self.changed = anyio.Event()
        left = await anyio.to_thread.run_sync(unacknowledged, self.files, self.folder, list(self.sinks))
        for sink, names in left.items():
            for name in order(names):
                self._tell(tasks, Found(sink, name))
        self._tell(tasks, Tick())
        if self.until_done and self.heart.done:
            return False
        wait_ms = min(max(self.wake_ms - self.now_ms(), 1.0), LOOK_MS)
        self.wake_ms = math.inf
        with anyio.move_on_after(wait_ms / 1000):
            await self.changed.wait()
        return True

    def _tell(self, tasks: TaskGroup, event: ExportEvent) -> None:
        for action in self.heart.handle(self.now_ms(), event):
            match action:
                case Deliver(sink, name, attempt):
                    tasks.start_soon(self._deliver, tasks, sink, name, attempt)
                case Acknowledge(sink, name):
                    self.say("info", "export.delivered", sink=sink, name=name)
                    self.changed.set()
                case Alarm(sink, name, text):
                    self.say("error", "export.alarm", sink=sink, name=name, text=text)
                case WakeAt(at_ms):
                    self.wake_ms = min(self.wake_ms, at_ms)
                case Stand(sink):
                    self.say("error", "export.stands", sink=sink)

    async def _deliver(self, tasks: TaskGroup, sink: str, name: str, attempt: int) -> None:
        path = self.folder / "documents" / name
        try:
            data = await anyio.to_thread.run_sync(self.files.read, path)
            documents.read(data)
            told: ExportEvent = await self.sinks[sink].deliver(name, data, self.epoch)
        except documents.DocumentError as error:
            told = Rejected(sink, name, f"{path}: {error}")
        except OSError as error:
            told = NotDelivered(sink, name, str(error))
        if isinstance(told, NotDelivered):
            self.say("warning", "export.not_delivered", sink=sink, name=name, attempt=attempt, text=told.text)
        elif isinstance(told, Delivered):
            told = await self._acknowledge(told, data)
        self._tell(tasks, told)
        self.changed.set()

    async def _acknowledge(self, told: Delivered, data: bytes) -> Delivered | NotDelivered:
        """Keep that the sink has it, before anything else is done for that; the disk may refuse."""
        sink, name = told.sink, told.name
        text = documents.digest_of(data).hex().encode() + b"\n"
        try:
            await anyio.to_thread.run_sync(snapshot.publish, self.files, self.folder / "acks" / sink / name, text)
        except OSError as error:
            return NotDelivered(sink, name, f"the acknowledgement can't be kept: {error}")
        self.noted(sink, name, text)
        return told


def order(names: list[str]) -> list[str]:
    """By period and revision, which is the order in which they were made but for corrections of older periods."""

    def key(name: str) -> tuple[str, int]:
        found = documents.NAME.fullmatch(name)
        assert found is not None
        return found["period"], int(found["revision"])

    return sorted(names, key=key)
