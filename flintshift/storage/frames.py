"""Frames: the encoding of log records, with length, sequence, epoch, kind and two checksums. No I/O.

A frame is, in little-endian order::

    length u32 | sequence u64 | epoch u32 | kind u8 | CRC32C of these u32 | payload | CRC32C of payload u32 | 0xA5

The header has its own checksum, so that a length is used only if it is right: a frame that ends early is then known to
be truncated, and a complete frame with a wrong checksum is known to be damaged. The end mark is never zero, which
distinguishes a damaged frame from one whose pages were never written (they read as zeros).
CRC32C is that of RFC 3720, appendix B.4.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from google_crc32c import value as crc32c

HEADER = struct.Struct("<IQIBI")
HEADER_FIELDS = struct.Struct("<IQIB")
TRAILER = struct.Struct("<IB")
END_MARK = 0xA5
OVERHEAD_BYTES = HEADER.size + TRAILER.size
BATCH_RECORDS = 4096  # the longest list that ``unpack_batches`` yields
MAX_PAYLOAD_BYTES = 16 << 20  # a longer length is damage, whatever its checksum says


class Record(NamedTuple):
    """One record of a log."""

    sequence: int
    epoch: int
    kind: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes that truncation does not explain."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class Truncated:
    """The frame that begins here was never completely written."""

    offset: int


def pack(sequence: int, epoch: int, kind: int, payload: bytes) -> bytes:
    """Encode a record as a frame."""
    fields = HEADER_FIELDS.pack(len(payload), sequence, epoch, kind)
    return b"".join((fields, crc32c(fields).to_bytes(4, "little"), payload, TRAILER.pack(crc32c(payload), END_MARK)))


def unpack_batches(data: bytes, offset: int = 0) -> Iterator[list[Record] | Truncated | Damage]:
    """Decode records from an offset on, in lists of plain tuples in the shape of ``Record`` (a start reads millions).

    The last item is Truncated or Damage if the data does not end with a complete frame."""
    size, header_size, fields_size, trailer_size = len(data), HEADER.size, HEADER_FIELDS.size, TRAILER.size
    unpack_header, unpack_trailer = HEADER.unpack_from, TRAILER.unpack_from
    records: list[Any] = []
    problem: Truncated | Damage | None = None
    while offset < size:
        payload_at = offset + header_size
        if payload_at > size:
            problem = Truncated(offset)
            break
        length, sequence, epoch, kind, checksum = unpack_header(data, offset)
        if crc32c(data[offset : offset + fields_size]) != checksum or length > MAX_PAYLOAD_BYTES:
            problem = _classify_bad_frame(data, offset, "the header of a record does not match its checksum")
            break
        end = payload_at + length
        if end + trailer_size > size:
            problem = Truncated(offset)
            break
        payload = data[payload_at:end]
        if unpack_trailer(data, end) != (crc32c(payload), END_MARK):
            problem = _classify_bad_frame(data, offset, f"record {sequence} does not match its checksum")
            break
        records.append((sequence, epoch, kind, payload))
        offset = end + trailer_size
        if len(records) == BATCH_RECORDS:
            yield records
            records = []
    if records:
        yield records
    if problem is not None:
        yield problem


def unpack(data: bytes, offset: int = 0) -> Iterator[Record | Truncated | Damage]:
    """Decode records from an offset on, one by one."""
    for batch in unpack_batches(data, offset):
        if isinstance(batch, list):
            yield from map(Record._make, batch)
        else:
            yield batch


def _classify_bad_frame(data: bytes, offset: int, text: str) -> Truncated | Damage:
    """Tell a frame that was never completely written from a damaged one.

    A machine that stops may leave a file at its new length with pages that read as zeros up to its end. A frame that
    was completely written ends with a mark that is not zero."""
    frame_size = OVERHEAD_BYTES
    if len(data) - offset >= HEADER.size:
        length, *_, checksum = HEADER.unpack_from(data, offset)
        if crc32c(data[offset : offset + HEADER_FIELDS.size]) == checksum and length <= MAX_PAYLOAD_BYTES:
            frame_size = OVERHEAD_BYTES + length
    zeros = len(data) - len(data.rstrip(b"\0"))
    # One zero may be a single changed byte; zeros in all four bytes of the checksum before it as well are no accident.
    return (
        Truncated(offset) if zeros > TRAILER.size and offset + frame_size > len(data) - zeros else Damage(offset, text)
    )
