"""An append-only log in segments.

A segment is a file named by the sequence of its first record, sixteen hex digits, with a header of its own (magic,
format version, feature bits, checksum) and frames after it. Sequences have no gap, within a segment and from one to
the next; epochs never decrease. Recovery removes a truncated frame at the end of the last segment and fails at
anything else that is not as it was written: a frame is dropped only if truncation explains it.

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
SEGMENT_HEADER = struct.Struct("<4sHHI")  # magic, version, feature bits, CRC32C of these
SEGMENT_SUFFIX = ".log"


class BrokenLogError(Exception):
    """An earlier write or sync failed: the content of the segment is unknown until a new one is begun."""


def segment_name(first: int) -> str:
    """Return the file name of the segment that begins with this sequence."""
    return f"{first:016x}{SEGMENT_SUFFIX}"


def segment_header(version: int = VERSION, features: int = FEATURES) -> bytes:
    """Return the header of a segment."""
    fields = SEGMENT_HEADER.pack(MAGIC, version, features, 0)[:-4]
    return fields + int(crc32c(fields)).to_bytes(4, "little")


def list_segments(files: Files, folder: Path) -> list[tuple[int, str]]:
    """Return first sequence and name of each segment, in order; other names in the folder are ignored."""
    found = []
    for name in files.names(folder):
        stem, suffix = name[: -len(SEGMENT_SUFFIX)], name[-len(SEGMENT_SUFFIX) :]
        if suffix == SEGMENT_SUFFIX and len(stem) == 16:
            try:
                found.append((int(stem, 16), name))
            except ValueError:
                continue
    return sorted(found)


def has_complete_header(data: bytes) -> bool:
    """Return whether a segment's header is complete and matches its checksum."""
    if len(data) < SEGMENT_HEADER.size:
        return False
    magic, _, _, checksum = SEGMENT_HEADER.unpack_from(data)
    return bool(magic == MAGIC and crc32c(data[: SEGMENT_HEADER.size - 4]) == checksum)


def check_header(path: Path, data: bytes) -> None:
    """Check the header of a segment.

    Raises:
        DamagedError: it is not complete, or of a format that this program does not read.
    """
    if not has_complete_header(data):
        raise DamagedError(f"{path}: is damaged: no valid segment header at offset 0")
    _, version, features, _ = SEGMENT_HEADER.unpack_from(data)
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
    size: int = 0  # bytes of that segment up to the end of its last complete frame
    truncated_bytes: int = 0  # bytes after that


def read_records(files: Files, folder: Path, first: int, position: LogPosition) -> Iterator[Record]:
    """Read records one by one, as ``read_batches`` does in lists."""
    for batch in read_batches(files, folder, first, position):
        yield from map(Record._make, batch)


def read_batches(files: Files, folder: Path, first: int, position: LogPosition) -> Iterator[list[Record]]:
    """Read records in lists (of plain tuples in the shape of ``Record``), from a sequence at which a segment begins.

    ``position`` is updated, and shows at the end how far the log was read. The files are not changed, so a log that
    another process writes can be read too.

    Raises:
        DamagedError: something is not as it was written, or is missing.
    """
    listed = [(start, name) for start, name in list_segments(files, folder) if start >= first]
    for index, (start, name) in enumerate(listed):
        path, is_last = folder / name, index == len(listed) - 1
        if start != position.next_sequence:
            raise DamagedError(f"{folder}: records {position.next_sequence} to {start - 1} are missing before {name}")
        data = files.read(path)
        position.segment, position.size, position.truncated_bytes = start, 0, len(data)
        if len(data) < SEGMENT_HEADER.size and not is_last:
            raise DamagedError(f"{path}: is damaged: truncated at offset {len(data)}, yet more segments follow")
        try:
            check_header(path, data)
        except DamagedError:
            # A header is synced before the first record is written: if nothing follows it, it was never completed.
            if is_last and not data[SEGMENT_HEADER.size :].strip(b"\0") and not has_complete_header(data):
                return
            raise
        position.size = SEGMENT_HEADER.size
        for batch in frames.unpack_batches(data, SEGMENT_HEADER.size):
            if isinstance(batch, list):
                _check_order(path, batch, position)
                yield batch
            elif isinstance(batch, Damage):
                raise DamagedError(f"{path}: is damaged: offset {batch.offset}: {batch.text}")
            elif not is_last:
                raise DamagedError(f"{path}: is damaged: truncated at offset {batch.offset}, yet more segments follow")
        position.truncated_bytes = len(data) - position.size


def _check_order(path: Path, batch: list[Record], position: LogPosition) -> None:
    """Check that sequences have no gap and epochs don't decrease, and advance the position past the batch."""
    expected, last_epoch, size, overhead = position.next_sequence, position.epoch, position.size, frames.OVERHEAD_BYTES
    for sequence, epoch, _, payload in batch:
        if sequence != expected or epoch < last_epoch:
            raise DamagedError(
                f"{path}: is damaged: record {sequence} of epoch {epoch} where {expected} is expected, offset {size}"
            )
        expected, last_epoch, size = expected + 1, epoch, size + overhead + len(payload)
    position.next_sequence, position.epoch, position.size = expected, last_epoch, size


class Log:
    """The end of a log that this process writes: call ``resume`` or ``begin_segment`` before the first append."""

    def __init__(self, files: Files, folder: Path, epoch: int, next_sequence: int) -> None:
        self.files, self.folder, self.epoch, self.next_sequence = files, folder, epoch, next_sequence
        self.size = 0  # bytes of the segment in use
        self.file: File | None = None
        self.broken = False
        self.append_failed = False  # a part of that append may follow after ``size``; nothing else is unknown

    def resume(self, position: LogPosition) -> None:
        """Continue at the end of what was read, with a truncated frame removed; in a new segment if there is none."""
        if position.segment is None or position.size == 0:
            if position.segment is not None:  # its header was never completely written, so it has no records
                self.files.remove(self.folder / segment_name(position.segment))
            self.begin_segment()
            return
        path = self.folder / segment_name(position.segment)
        if position.truncated_bytes:
            self.files.truncate(path, position.size)
        self.file, self.size, self.broken, self.append_failed = (
            self.files.open_for_append(path),
            position.size,
            False,
            False,
        )

    def begin_segment(self, first: int | None = None) -> None:
        """Begin a new segment.

        The segment before is synced first, unless the log is broken: then a durable snapshot must cover all of it.
        ``first`` is the sequence that the segment begins with; it is given where ``next_sequence`` may advance during
        the call."""
        path = self.folder / segment_name(self.next_sequence if first is None else first)
        if self.file is not None:
            previous, self.file = self.file, None
            try:
                if not self.broken:  # a segment is complete on the disk before another follows it
                    previous.sync()
            finally:
                previous.close()
        if path.name in self.files.names(self.folder):  # it has no record that counts, or it would be in use
            self.files.remove(path)
        file = self.files.create(path)
        self.broken, self.append_failed = True, False  # until its header and its name are durable
        try:
            file.append(segment_header())
            file.sync()
            self.files.sync_folder(self.folder)
        except OSError:
            file.close()
            raise
        self.file, self.size, self.broken = file, SEGMENT_HEADER.size, False

    def append(self, items: list[tuple[int, bytes]]) -> int:
        """Write records of (kind, payload) by one system call; returns the sequence of the first. From then on they
        survive the end of the process.

        Raises:
            OSError: the write failed; a part may be in the file, and nothing more can be written until ``repair`` or
                ``begin_segment``.
            BrokenLogError: an earlier write or sync failed.
        """
        if self.broken or self.file is None:
            raise BrokenLogError(f"{self.folder}: a write or a sync failed before")
        first, epoch, pack = self.next_sequence, self.epoch, frames.pack
        data = b"".join([pack(first + index, epoch, kind, payload) for index, (kind, payload) in enumerate(items)])
        try:
            self.file.append(data)
        except OSError:
            self.broken = self.append_failed = True
            raise
        self.next_sequence += len(items)
        self.size += len(data)
        return first

    def append_with_retry(self, items: list[tuple[int, bytes]]) -> int:
        """Append, and retry once if the write fails: a single failure does not mean that the next write fails.

        Raises:
            OSError: it failed again; none of these records counts, and the next call removes what is left of them.
            BrokenLogError: a sync failed before, or a segment could not be begun: only ``begin_segment`` helps.
        """
        try:
            self.repair()
            return self.append(items)
        except OSError:
            self.repair()
            return self.append(items)

    def repair(self) -> None:
        """Remove what a failed append may have written, so that the segment is usable again; does nothing if no append
        failed.

        Raises:
            OSError: this failed too.
            BrokenLogError: something other than an append failed.
        """
        if not self.broken:
            return
        if not self.append_failed or self.file is None:
            raise BrokenLogError(f"{self.folder}: a sync or the begin of a segment failed before")
        self.file.truncate(self.size)
        self.broken = self.append_failed = False

    def sync(self) -> None:
        """Make all that was appended before the call survive a crash of the machine. Another thread may call this
        while the owner's thread appends.

        Raises:
            OSError: it failed: the state of what was written since the last sync is unknown.
        """
        file = self.file
        if self.broken or file is None:
            raise BrokenLogError(f"{self.folder}: a write or a sync failed before")
        try:
            file.sync()
        except OSError:
            self.broken, self.append_failed = True, False  # the system may have dropped what it could not write
            raise

    def close(self) -> None:
        """Close the segment in use, without a sync."""
        if self.file is not None:
            self.file.close()
            self.file = None
