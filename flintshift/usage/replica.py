"""A copy of another member's ledger: a ledger's folder, written by what that ledger's writer sends.

==============  ================================================================================
``COPY``        whose it is, the epoch that was promised and to whom, and whether it is sure
the rest        as in ``usage/folder.py``: whoever takes the ledger over goes on in it
==============  ================================================================================

It keeps its own book, so that a document stands here as soon as the record that makes it does, and so that a segment
may go once a snapshot of the book stands.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path

import msgspec

from flintshift.storage import snapshot
from flintshift.storage.files import Files
from flintshift.storage.log import Log, list_segments
from flintshift.storage.snapshot import DamagedError
from flintshift.usage import documents
from flintshift.usage.book import Book
from flintshift.usage.folder import LedgerFolder, retire, snapshot_name, snapshots, unacknowledged
from flintshift.usage.records import Entry, Published, pack, unpack

COPY, COPY_KIND = "COPY", 34
STANDING, STANDING_KIND = "COPIED", 35


class CopyState(msgspec.Struct, frozen=True):
    member: str  # that began the ledger
    life: bytes
    promised: int
    by: str
    sure: bool  # all that it acknowledged stands here, unless the machine was started anew since
    boot: str
    over: bool = False


class Standing(msgspec.Struct, frozen=True):
    """Of a ledger that this member writes: whether a majority of its holders has granted it the epoch that it writes
    under, and how far it had come before that."""

    life: bytes
    epoch: int
    sequence: int
    elected: bool


def keep_standing(files: Files, folder: Path, told: Standing) -> None:
    snapshot.publish(files, folder / STANDING, snapshot.seal(STANDING_KIND, 1, 1, msgspec.msgpack.encode(told)))


def stood_before(files: Files, folder: Path, life: bytes, found: tuple[int, int]) -> tuple[int, int]:
    """How far a ledger had come when it was elected last; ``found``: its last record. Kept before a new life writes."""
    before = found
    if STANDING in files.names(folder):
        told = msgspec.msgpack.decode(
            snapshot.unseal(folder / STANDING, files.read(folder / STANDING), STANDING_KIND).payload, type=Standing
        )
        if told.life == life and not told.elected:
            before = told.epoch, told.sequence
    keep_standing(files, folder, Standing(life, *before, False))
    return before


class Whole(msgspec.Struct, array_like=True):
    """All that a copy needs to go on from a place."""

    book: bytes
    documents: list[tuple[str, bytes]]  # that some sink does not have yet
    acks: list[tuple[str, str, bytes]]  # sink, name, digest: of these, what another sink has


def whole_of(files: Files, folder: Path, book: Book, sinks: Iterable[str]) -> bytes:
    """Of a ledger's folder as it stands now."""
    left = unacknowledged(files, folder, list(sinks))
    standing = [name for name in files.names(folder / "documents") if documents.NAME.fullmatch(name)]
    names = sorted({name for missing in left.values() for name in missing} if left else standing)
    acks = [
        (sink, name, files.read(folder / "acks" / sink / name))
        for sink in left
        for name in names
        if name not in left[sink]
    ]
    return msgspec.msgpack.encode(
        Whole(book.dump(), [(name, files.read(folder / "documents" / name)) for name in names], acks)
    )


def stands(files: Files, folder: Path) -> list[tuple[Path, CopyState]]:
    """The copies below a folder, as they were left."""
    found = []
    for name in files.names(folder):
        if COPY in files.names(folder / name):
            path = folder / name / COPY
            found.append(
                (
                    folder / name,
                    msgspec.msgpack.decode(snapshot.unseal(path, files.read(path), COPY_KIND).payload, type=CopyState),
                )
            )
    return found


def emptied(files: Files, folder: Path) -> None:
    """Remove what stands of the ledger."""
    acks = [f"acks/{sink}" for sink in files.names(folder / "acks")]
    for name in ("log", "snapshots", "documents", "inbox", "replies", *acks):
        for one in files.names(folder / name):
            files.remove(folder / name / one)


def folder_name(member: str, life: bytes) -> str:
    return f"{member}.{life.hex()}"


class Replica:
    """The folder as the one process that writes in it holds it.

    Raises:
        OSError, LockedError, DamagedError: it can't be used.
    """

    def __init__(self, files: Files, folder: Path, state: CopyState, segment_bytes: int) -> None:
        self.files, self.folder, self.state, self.segment_bytes = files, folder, state, segment_bytes
        self.sync_failed = False  # what was written last can be read, and may be gone after a power cut
        files.make_folder(folder)
        self.ledger = LedgerFolder(files, folder)

    @property
    def last(self) -> tuple[int, int]:
        return self.ledger.reach.epoch, self.ledger.log.next_sequence - 1

    def keep(self, **changes: object) -> None:
        """Change what stands of the copy, durably. ``state`` is what the disk has taken: where it refuses, nothing has
        changed."""
        state = msgspec.structs.replace(self.state, **changes)
        snapshot.publish(self.files, self.folder / COPY, snapshot.seal(COPY_KIND, 1, 1, msgspec.msgpack.encode(state)))
        self.state = state

    @property
    def writable(self) -> bool:
        """It is known what stands in its log, and more can be written there."""
        log = self.ledger.log
        return log.file is not None and (not log.broken or log.append_failed)

    @property
    def whole(self) -> bool:
        """All that was acknowledged stands here, and can be written on."""
        return self.state.sure and self.writable and not self.sync_failed

    def doubt(self) -> None:
        """A sync failed: the system takes those pages for written. Kept for the next process too, if the disk takes it;
        only a refill makes the copy sure again."""
        self.sync_failed = True
        with contextlib.suppress(OSError):
            self.keep(sure=False)

    def recover(self) -> None:
        """After a refusal: read again what stands on the disk, where that is not known.

        Raises:
            OSError, DamagedError: it can't be read or written on; it is to be filled anew.
        """
        if not self.state.over and not self.writable:
            self.ledger.reload()

    def append(self, epoch: int, first: int, records: Iterable[tuple[int, bytes]]) -> None:
        """
        Raises:
            OSError, BrokenLogError: the disk refused.
            DamagedError: these are no records that follow.
        """
        items, log = list(records), self.ledger.log
        if first != log.next_sequence:
            raise DamagedError(f"{self.folder}: record {first} came where {log.next_sequence} is due")
        try:
            entries = [unpack(kind, payload) for kind, payload in items]
        except ValueError as error:
            raise DamagedError(f"{self.folder}: record {first} and on: {error}") from error
        log.epoch = epoch
        begin = 0
        for place, entry in enumerate(entries):
            if isinstance(entry, Published):
                self._apply(items[begin:place], entries[begin:place])
                begin = place
                self._publish(entry)  # before the record that says that they stand
        self._apply(items[begin:], entries[begin:])
        if log.size >= self.segment_bytes:
            self.turn()

    def _apply(self, items: list[tuple[int, bytes]], entries: list[Entry]) -> None:
        """Write records, then apply them."""
        if not items:
            return
        log = self.ledger.log
        first = log.append_with_retry(items)
        for place, entry in enumerate(entries):
            self.ledger.book.apply(first + place, log.epoch, entry)
        self.ledger.reach.epoch = log.epoch

    def _publish(self, told: Published) -> None:
        made = [one for one in self.ledger.book.state.documents if one.number <= told.number]
        if made:
            self.ledger.write_documents(made)

    def write(self, *entries: object) -> tuple[int, list[tuple[int, bytes]]]:
        """Records of whoever took the ledger over; returns the first one's sequence, and them for the other copies."""
        items = [pack(entry) for entry in entries]  # type: ignore[arg-type]
        first = self.ledger.log.next_sequence
        self.append(self.ledger.log.epoch, first, items)
        return first, items

    def turn(self) -> None:
        """Begin a segment behind a snapshot; what came before goes."""
        sequence = self.ledger.book.state.sequence
        self.ledger.write_snapshot(sequence, self.ledger.snapshot_now())
        self.ledger.log.begin_segment()
        self._only(sequence)

    def _only(self, sequence: int) -> None:
        for first, name in list_segments(self.files, self.folder / "log"):
            if first <= sequence:
                self.files.remove(self.folder / "log" / name)
        for one in snapshots(self.files, self.folder):
            if one != sequence:
                self.files.remove(self.folder / "snapshots" / snapshot_name(one))

    def replace(self, epoch: int, sequence: int, data: bytes) -> None:
        """Hold this in place of what stood here. Not sure until the caller keeps that it is.

        Raises:
            OSError: the disk refused.
            DamagedError: it is no whole ledger.
        """
        try:
            told = msgspec.msgpack.decode(data, type=Whole)
            book = Book.load(told.book)
        except (msgspec.DecodeError, ValueError) as error:
            raise DamagedError(f"{self.folder}: what came is no ledger: {error}") from error
        self.keep(sure=False)
        ledger, files, folder = self.ledger, self.files, self.folder
        ledger.log.close()
        for _, name in list_segments(files, folder / "log"):
            files.remove(folder / "log" / name)
        for name, document in told.documents:
            if documents.NAME.fullmatch(name):
                snapshot.publish(files, folder / "documents" / name, document)
        for sink, name, digest in told.acks:
            self.note(sink, name, digest)
        ledger.book, ledger.reach.epoch = book, epoch
        ledger.log = Log(files, folder / "log", epoch, sequence + 1)
        ledger.write_snapshot(sequence, ledger.snapshot_now())
        ledger.log.begin_segment()
        self._only(sequence)
        self.sync_failed = False

    def note(self, sink: str, name: str, digest: bytes) -> None:
        """A sink has this document."""
        if documents.NAME.fullmatch(name) and sink in ("folder", "http"):
            self.files.make_folder(self.folder / "acks" / sink)
            snapshot.publish(self.files, self.folder / "acks" / sink / name, digest)

    def retire(self, sinks: list[str], retention_ms: float, now_ms: float) -> None:
        retire(self.files, self.folder, sinks, retention_ms, now_ms, self.ledger.book.state.closed_to)

    def forget(self, epoch: int) -> None:
        """Nothing of it is needed any more, but that this is so."""
        self.keep(promised=epoch, over=True, sure=False)
        self.ledger.log.close()
        emptied(self.files, self.folder)

    def drop(self) -> None:
        """Not even that."""
        self.close(clean=False)
        emptied(self.files, self.folder)
        self.files.remove(self.folder / COPY)

    def close(self, clean: bool = True) -> None:
        """``clean``: it stands on the disk whole, whatever becomes of the machine."""
        self.ledger.close()
        if not clean or self.state.over:
            return
        if self.sync_failed:
            self.keep(sure=False)
        elif not self.ledger.log.broken:
            self.keep(boot="")
