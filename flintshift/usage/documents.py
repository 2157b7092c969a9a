"""The documents that are exported: made in Protocol Buffers, shown as JSON and CSV, named and digested. No I/O."""

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
    """The bytes are no document of a schema that this program reads."""


def utc(ms: int) -> str:
    """
    >>> utc(0)
    '19700101T000000.000Z'
    """
    at = datetime.fromtimestamp(ms // 1000, UTC)
    return f"{at:%Y%m%dT%H%M%S}.{ms % 1000:03d}Z"


def document_name(document: pb.UsageDocument) -> str:
    node = re.sub(r"[^A-Za-z0-9_-]", "_", document.node)[:64] or "_"
    return f"{node}.e{document.epoch}.{utc(document.period_ms)}.r{document.revision}{SUFFIX}"


def compute_digest(data: bytes) -> bytes:
    return hashlib.sha256(data).digest()


def serialize(document: pb.UsageDocument) -> bytes:
    return bytes(document.SerializeToString(deterministic=True))


def parse(data: bytes) -> pb.UsageDocument:
    """
    Raises:
        DocumentError: it can't be read, or is of another schema.
    """
    document = pb.UsageDocument()
    try:
        document.ParseFromString(data)
    except DecodeError as error:
        raise DocumentError("no document of use: it can't be decoded") from error
    if document.schema != SCHEMA:
        raise DocumentError(f"is of schema {document.schema}; this program reads schema {SCHEMA}")
    return document


def amounts(values: Sequence[int]) -> pb.Amounts:
    return pb.Amounts(**dict(zip(AMOUNTS, values, strict=True)))


def values(told: pb.Amounts) -> list[int]:
    return [getattr(told, name) for name in AMOUNTS]


def make_row(names: RowKey, told: Sequence[int]) -> pb.Row:
    club, class_name, front, outcome = names
    return pb.Row(club=club, class_name=class_name, front=front, outcome=outcome, amounts=amounts(told))


def row_key(told: pb.Row) -> RowKey:
    return told.club, told.class_name, told.front, told.outcome


def totals(documents: Iterable[pb.UsageDocument]) -> dict[RowKey, list[int]]:
    """The sum over documents, row by row: a period as it closed with its revisions."""
    found: dict[RowKey, list[int]] = {}
    for document in documents:
        for told in document.rows:
            known = found.setdefault(row_key(told), [0] * len(AMOUNTS))
            for place, value in enumerate(values(told.amounts)):
                known[place] += value
    return found


def as_json(document: pb.UsageDocument) -> dict[str, object]:
    """For people: 64-bit numbers as strings and bytes in base64, as the Protocol Buffers' JSON mapping has it."""
    told = MessageToDict(document, preserving_proto_field_name=True)
    return {"name": document_name(document), "digest": compute_digest(serialize(document)).hex(), **told}


def as_csv(documents: Iterable[pb.UsageDocument]) -> str:
    sink = io.StringIO()
    writer = csv.writer(sink, lineterminator="\n")
    writer.writerow(("node", "epoch", "period", "length_ms", "revision", "club", "class", "front", "outcome", *AMOUNTS))
    for document in documents:
        for told in document.rows:
            writer.writerow(
                (
                    document.node,
                    document.epoch,
                    utc(document.period_ms),
                    document.length_ms,
                    document.revision,
                    *row_key(told),
                    *values(told.amounts),
                )
            )
    return sink.getvalue()
