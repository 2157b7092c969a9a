"""An append-only log in segments.

A segment is a file named by the sequence of its first record, sixteen hex digits, with a head of its own (magic,
format version, feature bits, checksum) and frames after it. Sequences have no gap, within a segment and from one
to the next; epochs never fall. ``recover`` cuts a torn tail of the last segment and stops at anything else that
is not as it was written: a frame is dropped only where a cut explains it.

Nothing here decides when to sync or to begin a segment: the owner does, by ``size`` and its own clock.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from google_crc32c import value as crc32c

from flintshift.storage import frames
from flintshift.storage.files import File, Files
from flintshift.storage.frames import Damage, Record
from flintshift.storage.snapshot import DamagedError

MAGIC, VERSION, FEATURES = b"FSLG", 1, 0
SEGMENT = struct.Struct("<4sHHI")  # magic, version, feature bits, CRC32C of these
ENDING = ".log"


class BrokenLogError(Exception):
    """A write or a sync failed before: what stands in the segment is unknown until a new one is begun."""


def segment_name(first: int) -> str:
    return f"{first:016x}{ENDING}"


def segment_head(version: int = VERSION, features: int = FEATURES) -> bytes:
    told = SEGMENT.pack(MAGIC, version, features, 0)[:-4]
    return told + int(crc32c(told)).to_bytes(4, "little")


def list_segments(files: Files, folder: Path) -> list[tuple[int, str]]:
    """First sequence and name of each, in order; other names in the folder are not touched."""
    found = []
    for name in files.names(folder):
        stem, ending = name[: -len(ENDING)], name[-len(ENDING) :]
        if ending == ENDING and len(stem) == 16:
            try:
                found.append((int(stem, 16), name))
            except ValueError:
                continue
    return sorted(found)


def whole_head(data: bytes) -> bool:
    if len(data) < SEGMENT.size:
        return False
    magic, _, _, check = SEGMENT.unpack_from(data)
    return bool(magic == MAGIC and crc32c(data[: SEGMENT.size - 4]) == check)


def check_head(path: Path, data: bytes) -> None:
    if not whole_head(data):
        raise DamagedError(f"{path}: is damaged: no head of a segment at offset 0")
    _, version, features, _ = SEGMENT.unpack_from(data)
    if version != VERSION or features & ~FEATURES:
        raise DamagedError(
            f"{path}: is of format {version} with features {features:#x}; "
            f"this program reads format {VERSION} with features up to {FEATURES:#x}"
        )


@dataclass(slots=True)
class LogPosition:
    """How far a log was read."""

    next_sequence: int  # the sequence after the last record
    epoch: int
    segment: int | None = None  # the first sequence of the last segment
    size: int = 0  # of that segment, as far as it is whole
    truncated_bytes: int = 0  # bytes after that


def read_records(files: Files, folder: Path, first: int, reach: LogPosition) -> Iterator[Record]:
    """``read_batches``, one by one."""
    for found in read_batches(files, folder, first, reach):
        yield from map(Record._make, found)


def read_batches(files: Files, folder: Path, first: int, reach: LogPosition) -> Iterator[list[Record]]:
    """Lists of records (plain tuples in that shape) from a sequence on which a segment begins; ``reach`` tells at the
    end how far they went. The files are not changed, so a log that another process writes can be read too.

    Raises:
        DamagedError: something is not as it was written, or is missing.
    """
    listed = [(start, name) for start, name in list_segments(files, folder) if start >= first]
    for place, (start, name) in enumerate(listed):
        path, last = folder / name, place == len(listed) - 1
        if start != reach.next_sequence:
            raise DamagedError(f"{folder}: records {reach.next_sequence} to {start - 1} are missing before {name}")
        data = files.read(path)
        reach.segment, reach.size, reach.truncated_bytes = start, 0, len(data)
        if len(data) < SEGMENT.size and not last:
            raise DamagedError(f"{path}: is damaged: cut at offset {len(data)}, yet more segments follow")
        try:
            check_head(path, data)
        except DamagedError:
            # A head is synced before the first record is written: with nothing behind it, it never was.
            if last and not data[SEGMENT.size :].strip(b"\0") and not whole_head(data):
                return
            raise
        reach.size = SEGMENT.size
        for found in frames.batches(data, SEGMENT.size):
            if isinstance(found, list):
                _check_order(path, found, reach)
                yield found
            elif isinstance(found, Damage):
                raise DamagedError(f"{path}: is damaged: offset {found.offset}: {found.text}")
            elif not last:
                raise DamagedError(f"{path}: is damaged: cut at offset {found.offset}, yet more segments follow")
        reach.truncated_bytes = len(data) - reach.size


def _check_order(path: Path, found: list[Record], reach: LogPosition) -> None:
    following, last, size, overhead = reach.next_sequence, reach.epoch, reach.size, frames.OVERHEAD
    for sequence, epoch, _, payload in found:
        if sequence != following or epoch < last:
            raise DamagedError(
                f"{path}: is damaged: record {sequence} of epoch {epoch} stands where {following} is due, offset {size}"
            )
        following, last, size = following + 1, epoch, size + overhead + len(payload)
    reach.next_sequence, reach.epoch, reach.size = following, last, size


class Log:
    """The end of a log that this process writes; made by ``recover`` or ``begin_segment``."""

    def __init__(self, files: Files, folder: Path, epoch: int, following: int) -> None:
        self.files, self.folder, self.epoch, self.next_sequence = files, folder, epoch, following
        self.size = 0  # of the segment in use
        self.file: File | None = None
        self.broken = False
        self.append_failed = False  # by an append: a part of it may stand behind ``size``, and nothing else is unknown

    def resume(self, reach: LogPosition) -> None:
        """Go on at the end of what was read, with its torn tail cut; a new segment where there is none."""
        if reach.segment is None or reach.size == 0:
            if reach.segment is not None:  # its head was never written whole: nothing is in it
                self.files.remove(self.folder / segment_name(reach.segment))
            self.begin_segment()
            return
        path = self.folder / segment_name(reach.segment)
        if reach.truncated_bytes:
            self.files.truncate(path, reach.size)
        self.file, self.size, self.broken, self.append_failed = self.files.extend(path), reach.size, False, False

    def begin_segment(self, first: int | None = None) -> None:
        """Begin a new segment. The one before is synced first, unless it is broken: then all of it must stand in a
        snapshot that is durable. ``first`` is the sequence that it begins with, where ``next_sequence`` may
        move on meanwhile."""
        path = self.folder / segment_name(self.next_sequence if first is None else first)
        if self.file is not None:
            old, self.file = self.file, None
            try:
                if not self.broken:  # a segment is whole on the disk before another follows it
                    old.sync()
            finally:
                old.close()
        if path.name in self.files.names(self.folder):  # nothing that counts can be in it: it would be in use
            self.files.remove(path)
        file = self.files.create(path)
        self.broken, self.append_failed = True, False  # until its head and its name stand
        try:
            file.append(segment_head())
            file.sync()
            self.files.sync_folder(self.folder)
        except OSError:
            file.close()
            raise
        self.file, self.size, self.broken = file, SEGMENT.size, False

    def append(self, items: list[tuple[int, bytes]]) -> int:
        """Write records of (kind, payload) by one call of the system; returns the sequence of the first. They
        survive the death of the process from then on.

        Raises:
            OSError: the disk refused; a part may stand there, and nothing more can be written until ``begin_segment``.
            BrokenLogError: that happened before.
        """
        if self.broken or self.file is None:
            raise BrokenLogError(f"{self.folder}: a write or a sync failed before")
        first, epoch, pack = self.next_sequence, self.epoch, frames.pack
        data = b"".join([pack(first + place, epoch, kind, payload) for place, (kind, payload) in enumerate(items)])
        try:
            self.file.append(data)
        except OSError:
            self.broken = self.append_failed = True
            raise
        self.next_sequence += len(items)
        self.size += len(data)
        return first

    def append_with_retry(self, items: list[tuple[int, bytes]]) -> int:
        """``append``, and once more where the disk refuses: a single refusal says nothing of the next write.

        Raises:
            OSError: it refused again; nothing of these counts, and the next call cuts off what is left of them.
            BrokenLogError: a sync failed before, or a segment could not be begun: only ``begin_segment`` helps.
        """
        try:
            self.repair()
            return self.append(items)
        except OSError:
            self.repair()
            return self.append(items)

    def repair(self) -> None:
        """Cut off what a refused append may have left, so that the segment can be written on; does nothing where there
        was none.

        Raises:
            OSError: the disk refuses that too.
            BrokenLogError: more than an append failed.
        """
        if not self.broken:
            return
        if not self.append_failed or self.file is None:
            raise BrokenLogError(f"{self.folder}: a sync or the begin of a segment failed before")
        self.file.cut(self.size)
        self.broken = self.append_failed = False

    def sync(self) -> None:
        """All that was appended before the call survives the death of the system. May be called by another
        thread while this one appends.

        Raises:
            OSError: it failed: what was written since the last sync is unknown.
        """
        file = self.file
        if self.broken or file is None:
            raise BrokenLogError(f"{self.folder}: a write or a sync failed before")
        try:
            file.sync()
        except OSError:
            self.broken, self.append_failed = True, False  # the system may have thrown away what it could not write
            raise

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None
