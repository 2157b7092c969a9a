"""The usage documents that are exported: their Protocol Buffers form, names and digests, and their JSON and CSV forms.

No I/O.
"""

from __future__ import annotations

import csv
import hashlib
import io
import re
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import DecodeError

from flintshift.proto import usage_pb2 as pb
from flintshift.usage.records import AMOUNTS

SCHEMA = 1
SUFFIX = ".usage"
NAME_PATTERN = re.compile(
    r"(?P<node>[A-Za-z0-9_.-]{1,64})\.e(?P<epoch>\d{1,10})\.(?P<period>\d{8}T\d{6}\.\d{3}Z)"
    r"\.r(?P<revision>\d{1,9})\.usage"
)

RowKey = tuple[str, str, str, str]  # club, class, front, outcome


class DocumentError(Exception):
    """The bytes are no usage document of a schema that this program reads."""


def utc(ms: int) -> str:
    """Format a time in milliseconds, as in document names.

    >>> utc(0)
    '19700101T000000.000Z'
    """
    moment = datetime.fromtimestamp(ms // 1000, UTC)
    return f"{moment:%Y%m%dT%H%M%S}.{ms % 1000:03d}Z"


def document_name(document: pb.UsageDocument) -> str:
    """Return the name under which a document is stored and exported."""
    node = re.sub(r"[^A-Za-z0-9_-]", "_", document.node)[:64] or "_"
    return f"{node}.e{document.epoch}.{utc(document.period_ms)}.r{document.revision}{SUFFIX}"


def compute_digest(data: bytes) -> bytes:
    """Return the SHA-256 digest of a document's bytes."""
    return hashlib.sha256(data).digest()


def serialize(document: pb.UsageDocument) -> bytes:
    """Encode a document. The bytes are deterministic, as its digest is taken of them."""
    return bytes(document.SerializeToString(deterministic=True))


def parse(data: bytes) -> pb.UsageDocument:
    """Decode a document.

    Raises:
        DocumentError: it can't be decoded, or has another schema.
    """
    document = pb.UsageDocument()
    try:
        document.ParseFromString(data)
    except DecodeError as error:
        raise DocumentError("no usage document: it can't be decoded") from error
    if document.schema != SCHEMA:
        raise DocumentError(f"is of schema {document.schema}; this program reads schema {SCHEMA}")
    return document


def make_amounts(values: Sequence[int]) -> pb.Amounts:
    """Make the message of a row's amounts, given in the order of ``AMOUNTS``."""
    return pb.Amounts(**dict(zip(AMOUNTS, values, strict=True)))


def amount_values(amounts: pb.Amounts) -> list[int]:
    """Return the amounts of a message in the order of ``AMOUNTS``."""
    return [getattr(amounts, name) for name in AMOUNTS]


def make_row(key: RowKey, values: Sequence[int]) -> pb.Row:
    """Make the message of one row."""
    club, class_name, front, outcome = key
    return pb.Row(club=club, class_name=class_name, front=front, outcome=outcome, amounts=make_amounts(values))


def row_key(row: pb.Row) -> RowKey:
    """Return the key of a row's message."""
    return row.club, row.class_name, row.front, row.outcome


def totals(documents: Iterable[pb.UsageDocument]) -> dict[RowKey, list[int]]:
    """Add up documents row by row, such as a closed period and its revisions."""
    sums: dict[RowKey, list[int]] = {}
    for document in documents:
        for row in document.rows:
            total = sums.setdefault(row_key(row), [0] * len(AMOUNTS))
            for index, value in enumerate(amount_values(row.amounts)):
                total[index] += value
    return sums


def as_json(document: pb.UsageDocument) -> dict[str, object]:
    """Return a document for people to read.

    64-bit numbers are strings and bytes are base64, as in the JSON mapping of Protocol Buffers.
    """
    fields = MessageToDict(document, preserving_proto_field_name=True)
    return {"name": document_name(document), "digest": compute_digest(serialize(document)).hex(), **fields}


def as_csv(documents: Iterable[pb.UsageDocument]) -> str:
    """Return the rows of documents as CSV, one line each."""
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(("node", "epoch", "period", "length_ms", "revision", "club", "class", "front", "outcome", *AMOUNTS))
    for document in documents:
        for row in document.rows:
            writer.writerow(
                (
                    document.node,
                    document.epoch,
                    utc(document.period_ms),
                    document.length_ms,
                    document.revision,
                    *row_key(row),
                    *amount_values(row.amounts),
                )
            )
    return buffer.getvalue()
