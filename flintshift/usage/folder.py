"""The ledger's folder: log, snapshots and documents on disk, and what recovery makes of them.

==================  =============================================================================
``LOCK``            held by the process that writes here
``log/``            segments (``storage/log.py``)
``snapshots/``      the book as it was when a segment began, named by the last sequence in it
``documents/``      closed periods and revisions, each written once
``acks/SINK/``      a file for each document that the sink has acknowledged, with its digest
``inbox/``          corrections handed in while a node runs; ``replies/`` what became of them
==================  =============================================================================

No rule stands here: what is written is decided by the keeper, what it adds up to by the book.
"""

from __future__ import annotations

import gc
from dataclasses import dataclass, field
from pathlib import Path

from flintshift.proto import usage_pb2 as pb
from flintshift.storage import snapshot
from flintshift.storage.files import Files, Lock
from flintshift.storage.log import BrokenLogError, Log, LogPosition, list_segments, read_batches
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import documents
from flintshift.usage.book import Book, Bounds, Document
from flintshift.usage.records import CLAIM_KIND, SNAPSHOT_KIND, Entry, Opened, pack, unpack, unpack_claim
from flintshift.usage.retention import Removal, StandingDocument, StandingSegment, removal

ENDING = ".snapshot"
REPLY_MS = 86_400_000.0  # an answer to a correction is kept so long for whoever handed it in


@dataclass(slots=True)
class Recovered:
    """What a start found."""

    records: int = 0  # replayed
    from_snapshot: int = 0  # the last sequence in it; 0: there was none
    torn: int = 0  # bytes cut from the tail
    in_doubt: int = 0
    warnings: list[str] = field(default_factory=list)


def snapshot_name(sequence: int) -> str:
    return f"{sequence:016x}{ENDING}"


def snapshots(files: Files, folder: Path) -> list[int]:
    return sorted(
        (
            int(name[:16], 16)
            for name in files.names(folder / "snapshots")
            if name.endswith(ENDING) and len(name) == 16 + len(ENDING)
        ),
        reverse=True,
    )


def load(files: Files, folder: Path, bounds: Bounds | None = None) -> tuple[Book, LogPosition, Recovered]:
    """The book as the folder holds it. Nothing is changed, so a folder in use can be read too.

    Raises:
        DamagedError: something that was written whole is not as it was.
    """
    collects = gc.isenabled()
    gc.disable()  # records make no circles, and looking for some takes a third of the time
    try:
        return _load(files, folder, bounds)
    finally:
        if collects:
            gc.enable()


def _load(files: Files, folder: Path, bounds: Bounds | None) -> tuple[Book, LogPosition, Recovered]:
    book, found, epoch = Book(bounds or Bounds()), Recovered(), 0
    for sequence in snapshots(files, folder):
        path = folder / "snapshots" / snapshot_name(sequence)
        try:
            record = snapshot.unseal(path, files.read(path), SNAPSHOT_KIND)
            book, epoch = Book.load(record.payload, bounds), record.epoch
        except (DamagedError, ValueError) as error:
            found.warnings.append(f"{error}; an older one is used")
            continue
        found.from_snapshot = sequence
        break
    else:
        if found.warnings:
            raise DamagedError(f"{folder}: no snapshot can be used: {'; '.join(found.warnings)}")
    reach = LogPosition(book.state.sequence + 1, max(book.state.epoch, epoch))
    claimed, decode = book.claimed, unpack_claim
    for batch in read_batches(files, folder / "log", reach.next_sequence, reach):
        try:
            for sequence, epoch, kind, payload in batch:
                if kind == CLAIM_KIND:  # nearly all are, and the shortest way for them halves the time
                    claimed(sequence, decode(payload))
                else:
                    book.apply(sequence, epoch, unpack(kind, payload))
        except ValueError as error:
            raise DamagedError(f"{folder}: record {sequence} can't be used: {error}") from error
        book.state.sequence = sequence
        found.records += len(batch)
    if reach.next_sequence == 1 and any(name.endswith(documents.ENDING) for name in files.names(folder / "documents")):
        raise DamagedError(f"{folder}: documents stand, but the log and the snapshots are gone")
    found.torn = reach.truncated_bytes
    return book, reach, found


class LedgerFolder:
    """The folder as the one process that writes in it holds it."""

    def __init__(self, files: Files, folder: Path, bounds: Bounds | None = None) -> None:
        self.files, self.folder = files, folder
        self.before = (0, 0)  # epoch and sequence that a copied ledger had when its epoch was granted last
        for name in ("", "log", "snapshots", "documents", "inbox", "replies", "acks"):
            files.make_folder(folder / name)
        self.lock: Lock = files.lock(folder / "LOCK")
        try:
            for name in ("", "snapshots", "documents"):
                snapshot.remove_unfinished(files, folder / name)
            self.book, self.reach, self.found = load(files, folder, bounds)
            self.found.in_doubt = len(self.book.state.waiting)
            self.log = Log(files, folder / "log", self.reach.epoch + 1, self.reach.next_sequence)
            self.log.resume(self.reach)
        except BaseException:
            self.lock.close()
            raise

    def reload(self) -> None:
        """Read again what stands on the disk, and go on at its end; for an owner that does not know what a refused
        operation left.

        Raises:
            OSError, DamagedError: it can't be read or written on.
        """
        self.log.close()
        self.book, self.reach, self.found = load(self.files, self.folder, self.book.bounds)
        self.log = Log(self.files, self.folder / "log", max(self.log.epoch, self.reach.epoch), self.reach.next_sequence)
        self.log.resume(self.reach)

    def open(self, node: str, drawn: bytes, period_ms: int, clubs: list[str], classes: list[str], now_ms: int) -> None:
        """Begin a life: what was on its way in the one before is in doubt from here on."""
        life = self.book.state.life or drawn
        self.append([Opened(node, life, period_ms, clubs, classes, now_ms)])
        self.log.sync()

    def set_aside(self) -> Path:
        """Another process goes on with this ledger: what stands here makes room for another one, and is kept for people
        to look at. Returns where."""
        self.log.close()
        state = self.book.state
        aside = self.folder / "taken-over" / f"{state.life.hex()}.e{state.epoch}"
        self.files.make_folder(aside)
        for name in ("log", "snapshots", "documents", "acks"):
            if name in self.files.names(self.folder):
                self.files.rename(self.folder / name, aside / name)
        self.files.sync_folder(self.folder)
        self.lock.close()
        return aside

    def append(self, entries: list[Entry]) -> None:
        """Write records, then apply them.

        Raises:
            OSError, BrokenLogError: the disk refused; nothing was applied.
        """
        first = self.log.append([pack(entry) for entry in entries])
        self.apply(first, entries)

    def apply(self, first: int, entries: list[Entry]) -> None:
        for place, entry in enumerate(entries):
            self.book.apply(first + place, self.log.epoch, entry)

    def snapshot_now(self) -> bytes:
        state = self.book.state
        return snapshot.seal(SNAPSHOT_KIND, self.log.epoch, state.sequence, self.book.dump())

    def write_snapshot(self, sequence: int, data: bytes) -> None:
        snapshot.publish(self.files, self.folder / "snapshots" / snapshot_name(sequence), data)

    def write_documents(self, made: list[Document]) -> int:
        """Publish documents in files of their own; returns the number of the last."""
        for document in made:
            snapshot.publish(self.files, self.folder / "documents" / document.name, document.data)
        return made[-1].number

    def close(self) -> None:
        try:
            if not self.log.broken and self.log.file is not None:
                self.log.sync()
        except (OSError, BrokenLogError):
            pass  # what is lost by it is in doubt at the next start
        finally:
            self.log.close()
            self.lock.close()


def read_documents(files: Files, folder: Path, name_part: str = "") -> dict[str, pb.UsageDocument]:
    """The documents that stand, by name, in the order in which they were made.

    Raises:
        DamagedError: one can't be read.
    """
    found = {}
    for name in files.names(folder / "documents"):
        if documents.NAME.fullmatch(name) and name_part in name:
            path = folder / "documents" / name
            try:
                found[name] = documents.read(files.read(path))
            except documents.DocumentError as error:
                raise DamagedError(f"{path}: {error}") from error
    return dict(sorted(found.items(), key=lambda pair: pair[1].number))


def unacknowledged(files: Files, folder: Path, sinks: list[str]) -> dict[str, list[str]]:
    """For each sink the names of the documents that it has not acknowledged."""
    standing = [name for name in files.names(folder / "documents") if documents.NAME.fullmatch(name)]
    left = {}
    for sink in sinks:
        taken = set(files.names(folder / "acks" / sink))
        left[sink] = [name for name in standing if name not in taken]
    return left


def retire(
    files: Files, folder: Path, sinks: list[str], retention_ms: float, now_ms: float, closed_to_ms: int
) -> Removal:
    """Remove what ``retention.removal`` names, and answers to corrections that nobody fetched."""
    left = {name for names in unacknowledged(files, folder, sinks).values() for name in names}
    standing = [
        StandingDocument(
            name,
            document.period_ms,
            document.first_sequence,
            files.age_ms(folder / "documents" / name, now_ms),
            name not in left,
        )
        for name, document in read_documents(files, folder).items()
    ]
    listed = [
        StandingSegment(name, first, files.age_ms(folder / "log" / name, now_ms))
        for first, name in list_segments(files, folder / "log")
    ]
    gone = removal(standing, listed, snapshots(files, folder), retention_ms, bool(sinks), closed_to_ms)
    for name in gone.documents:  # before its acknowledgements: a death between leaves these alone, and they go below
        files.remove(folder / "documents" / name)
    for sink in sinks:
        stands = set(files.names(folder / "documents"))
        for name in files.names(folder / "acks" / sink):
            if name not in stands:
                files.remove(folder / "acks" / sink / name)
    for sequence in gone.snapshots:
        files.remove(folder / "snapshots" / snapshot_name(sequence))
    for name in gone.segments:
        files.remove(folder / "log" / name)
    for name in files.names(folder / "replies"):
        if files.age_ms(folder / "replies" / name, now_ms) >= REPLY_MS:
            files.remove(folder / "replies" / name)
    return gone
