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
from typing import NamedTuple

from google_crc32c import value as crc32c

HEAD = struct.Struct("<IQIBI")
FIELDS = struct.Struct("<IQIB")
TAIL = struct.Struct("<IB")
END = 0xA5
OVERHEAD = HEAD.size + TAIL.size
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
    return b"".join((fields, crc32c(fields).to_bytes(4, "little"), payload,
                     TAIL.pack(crc32c(payload), END)))


def unpack(data: bytes, offset: int = 0) -> Iterator[Record | Torn | Damage]:
    """The records from an offset on; the last item is Torn or Damage where the data does not end with a frame."""
    size, head_size, unpack_head, unpack_tail = len(data), HEAD.size, HEAD.unpack_from, TAIL.unpack_from
    while offset < size:
        body = offset + head_size
        if body > size:
            yield Torn(offset)
            return
        length, sequence, epoch, kind, check = unpack_head(data, offset)
        if crc32c(data[offset:offset + FIELDS.size]) != check or length > MOST:
            yield _unwritten(data, offset, "the head of a record does not fit its checksum")
            return
        end = body + length
        if end + TAIL.size > size:
            yield Torn(offset)
            return
        payload = data[body:end]
        told, mark = unpack_tail(data, end)
        if told != crc32c(payload) or mark != END:
            yield _unwritten(data, offset, f"record {sequence} does not fit its checksum")
            return
        yield Record(sequence, epoch, kind, payload)
        offset = end + TAIL.size


def _unwritten(data: bytes, offset: int, text: str) -> Torn | Damage:
    """A system that stops may leave a file at its new length with pages that read as zeros to its very end. A
    frame that was written whole ends with a mark that is not zero."""
    whole = OVERHEAD
    if len(data) - offset >= HEAD.size:
        length, *_, check = HEAD.unpack_from(data, offset)
        if crc32c(data[offset:offset + FIELDS.size]) == check and length <= MOST:
            whole = OVERHEAD + length
    zeros = len(data) - len(data.rstrip(b"\0"))
    # One zero may be a single changed byte; the four of a checksum before it too are no accident.
    return Torn(offset) if zeros > TAIL.size and offset + whole > len(data) - zeros else Damage(offset, text)
