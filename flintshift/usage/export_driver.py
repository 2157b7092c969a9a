"""Runs the exporter: finds documents without an acknowledgement, delivers them, and stores the acknowledgements.

Each acknowledgement is a file of its own, written completely and durably, so that a crash at any point costs at most
one more delivery under the same name. One exporter works on a folder at a time, under a lock that ends with its
process. Each exporter has an epoch above all earlier ones, by which a billing system can reject an exporter that was
replaced without knowing it.
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
from flintshift.usage.exporter import DeliveryConfig, Exporter
from flintshift.usage.folder import unacknowledged
from flintshift.usage.ledger import EventLogger
from flintshift.usage.messages import (
    Acknowledge,
    Alarm,
    Deliver,
    Delivered,
    DocumentFound,
    ExportEvent,
    NotDelivered,
    Rejected,
    StopDelivery,
    Tick,
    WakeAt,
)
from flintshift.usage.sinks import Sink

EPOCH_KIND = 33
POLL_INTERVAL_MS = 5000.0  # between two searches for new documents, if nothing requests one


class ExportDriver:
    """The task of an exporter on one folder.

    With ``until_done``, ``run`` returns once nothing is left to deliver; else it runs until it is cancelled.
    """

    def __init__(
        self,
        files: Files,
        folder: Path,
        sinks: Mapping[str, Sink],
        config: DeliveryConfig,
        draw: Callable[[], float],
        now_ms: Callable[[], float],
        log_event: EventLogger,
        until_done: bool = False,
        epoch: int | None = None,
        on_acknowledged: Callable[[str, str, bytes], object] = lambda sink, name, digest: None,
    ) -> None:
        """Without ``epoch``, epochs are counted in the folder, from 1. ``on_acknowledged`` gets acknowledgements."""
        self.files, self.folder, self.sinks, self.log_event = files, folder, sinks, log_event
        self.now_ms, self.until_done, self.given_epoch, self.on_acknowledged = (
            now_ms,
            until_done,
            epoch,
            on_acknowledged,
        )
        self.exporter = Exporter(list(sinks), config, draw, now_ms())
        self.epoch = 0
        self.wake_at_ms = math.inf
        self.changed = anyio.Event()

    def request_check(self) -> None:
        """Search for new documents now."""
        self.changed.set()

    def next_epoch(self) -> int:
        """Count the folder's epoch up, durably, and return it.

        Raises:
            DamagedError: the file that contains it can't be read.
        """
        path, last = self.folder / "EXPORT", 0
        if path.name in self.files.names(self.folder):
            last = snapshot.unseal(path, self.files.read(path), EPOCH_KIND).epoch
        snapshot.publish(self.files, path, snapshot.seal(EPOCH_KIND, last + 1, 0, b""))
        return last + 1

    async def run(self) -> None:
        """Export documents.

        Raises:
            LockedError: another exporter works on the folder, and ``until_done`` is set, so this one doesn't wait.
        """
        while True:
            try:
                lock = self.files.lock(self.folder / "EXPORT.LOCK")
                break
            except LockedError:
                if self.until_done:
                    raise
                await anyio.sleep(POLL_INTERVAL_MS / 1000)
        try:
            for sink in self.sinks:
                self.files.make_folder(self.folder / "acks" / sink)
                snapshot.remove_unfinished(self.files, self.folder / "acks" / sink)
            self.epoch = self.next_epoch() if self.given_epoch is None else self.given_epoch
            self.log_event("info", "export.begins", epoch=self.epoch, sinks=list(self.sinks))
            async with anyio.create_task_group() as tasks:
                while await self._run_cycle(tasks):
                    pass
        finally:
            lock.close()
            with anyio.CancelScope(shield=True):
                for opened_sink in self.sinks.values():
                    await opened_sink.close()

    async def _run_cycle(self, tasks: TaskGroup) -> bool:
        """Find documents, start deliveries, and wait; return False when ``until_done`` is set and all is delivered."""
        self.changed = anyio.Event()
        missing = await anyio.to_thread.run_sync(unacknowledged, self.files, self.folder, list(self.sinks))
        for sink, names in missing.items():
            for name in delivery_order(names):
                self._handle(tasks, DocumentFound(sink, name))
        self._handle(tasks, Tick())
        if self.until_done and self.exporter.done:
            return False
        wait_ms = min(max(self.wake_at_ms - self.now_ms(), 1.0), POLL_INTERVAL_MS)
        self.wake_at_ms = math.inf
        with anyio.move_on_after(wait_ms / 1000):
            await self.changed.wait()
        return True

    def _handle(self, tasks: TaskGroup, event: ExportEvent) -> None:
        """Pass an event to the exporter and perform its actions."""
        for action in self.exporter.handle(self.now_ms(), event):
            match action:
                case Deliver(sink, name, attempt):
                    tasks.start_soon(self._deliver, tasks, sink, name, attempt)
                case Acknowledge(sink, name):
                    self.log_event("info", "export.delivered", sink=sink, name=name)
                    self.changed.set()
                case Alarm(sink, name, text):
                    self.log_event("error", "export.alarm", sink=sink, name=name, text=text)
                case WakeAt(at_ms):
                    self.wake_at_ms = min(self.wake_at_ms, at_ms)
                case StopDelivery(sink):
                    self.log_event("error", "export.stands", sink=sink)

    async def _deliver(self, tasks: TaskGroup, sink: str, name: str, attempt: int) -> None:
        path = self.folder / "documents" / name
        try:
            data = await anyio.to_thread.run_sync(self.files.read, path)
            documents.parse(data)
            outcome: ExportEvent = await self.sinks[sink].deliver(name, data, self.epoch)
        except documents.DocumentError as error:
            outcome = Rejected(sink, name, f"{path}: {error}")
        except OSError as error:
            outcome = NotDelivered(sink, name, str(error))
        if isinstance(outcome, NotDelivered):
            self.log_event("warning", "export.not_delivered", sink=sink, name=name, attempt=attempt, text=outcome.text)
        elif isinstance(outcome, Delivered):
            outcome = await self._store_acknowledgement(outcome, data)
        self._handle(tasks, outcome)
        self.changed.set()

    async def _store_acknowledgement(self, delivered: Delivered, data: bytes) -> Delivered | NotDelivered:
        """Store durably that the sink has the document, before anything else is done about it.

        Where the disk refuses, the document counts as not delivered.
        """
        sink, name = delivered.sink, delivered.name
        text = documents.compute_digest(data).hex().encode() + b"\n"
        try:
            await anyio.to_thread.run_sync(snapshot.publish, self.files, self.folder / "acks" / sink / name, text)
        except OSError as error:
            return NotDelivered(sink, name, f"the acknowledgement can't be stored: {error}")
        self.on_acknowledged(sink, name, text)
        return delivered


def delivery_order(names: list[str]) -> list[str]:
    """Sort document names by period and revision.

    This is the order in which they were made, except for corrections of older periods.
    """

    def sort_key(name: str) -> tuple[str, int]:
        match = documents.NAME_PATTERN.fullmatch(name)
        assert match is not None
        return match["period"], int(match["revision"])

    return sorted(names, key=sort_key)
