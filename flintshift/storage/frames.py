"""Frames: records as they stand in a log, with length, sequence, epoch, kind and two checksums. No I/O.

A frame is, in little-endian order::

    length u32 | sequence u64 | epoch u32 | kind u8 | CRC32C of these u32 | payload | CRC32C of payload u32 | 0xA5

The head has a checksum of its own so that a length is believed only when it is right: a frame that is short is
then known to be cut, and one that is whole but does not fit its checksum is known to be damaged. The mark at the
end is never zero, which tells a damaged frame from one whose pages were never written (they read as zeros).
CRC32C is that of RFC 3720, appendix B.4.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from google_crc32c import value as crc32c

HEAD = struct.Struct("<IQIBI")
FIELDS = struct.Struct("<IQIB")
TAIL = struct.Struct("<IB")
END = 0xA5
OVERHEAD = HEAD.size + TAIL.size
BATCH = 4096  # records that are read in a row
MOST = 16 << 20  # bytes of one payload: a longer length is damage, whatever its checksum says


class Record(NamedTuple):
    sequence: int
    epoch: int
    kind: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes that no cut explains."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class Torn:
    """The frame that begins here was never written whole."""

    offset: int


def pack(sequence: int, epoch: int, kind: int, payload: bytes) -> bytes:
    fields = FIELDS.pack(len(payload), sequence, epoch, kind)
    return b"".join((fields, crc32c(fields).to_bytes(4, "little"), payload, TAIL.pack(crc32c(payload), END)))


def batches(data: bytes, offset: int = 0) -> Iterator[list[Record] | Torn | Damage]:
    """The records from an offset on, as lists of plain tuples in the shape of ``Record`` (a start reads millions);
    the last item is Torn or Damage where the data does not end with a frame."""
    size, head_size, fields_size, tail_size = len(data), HEAD.size, FIELDS.size, TAIL.size
    unpack_head, unpack_tail = HEAD.unpack_from, TAIL.unpack_from
    found: list[Any] = []
    wrong: Torn | Damage | None = None
    while offset < size:
        body = offset + head_size
        if body > size:
            wrong = Torn(offset)
            break
        length, sequence, epoch, kind, check = unpack_head(data, offset)
        if crc32c(data[offset : offset + fields_size]) != check or length > MOST:
            wrong = _unwritten(data, offset, "the head of a record does not fit its checksum")
            break
        end = body + length
        if end + tail_size > size:
            wrong = Torn(offset)
            break
        payload = data[body:end]
        if unpack_tail(data, end) != (crc32c(payload), END):
            wrong = _unwritten(data, offset, f"record {sequence} does not fit its checksum")
            break
        found.append((sequence, epoch, kind, payload))
        offset = end + tail_size
        if len(found) == BATCH:
            yield found
            found = []
    if found:
        yield found
    if wrong is not None:
        yield wrong


def unpack(data: bytes, offset: int = 0) -> Iterator[Record | Torn | Damage]:
    """The same, one by one."""
    for found in batches(data, offset):
        if isinstance(found, list):
            yield from map(Record._make, found)
        else:
            yield found


def _unwritten(data: bytes, offset: int, text: str) -> Torn | Damage:
    """A system that stops may leave a file at its new length with pages that read as zeros to its very end. A
    frame that was written whole ends with a mark that is not zero."""
    whole = OVERHEAD
    if len(data) - offset >= HEAD.size:
        length, *_, check = HEAD.unpack_from(data, offset)
        if crc32c(data[offset : offset + FIELDS.size]) == check and length <= MOST:
            whole = OVERHEAD + length
    zeros = len(data) - len(data.rstrip(b"\0"))
    # One zero may be a single changed byte; the four of a checksum before it too are no accident.
    return Torn(offset) if zeros > TAIL.size and offset + whole > len(data) - zeros else Damage(offset, text)
