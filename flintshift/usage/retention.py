"""Decides what may be removed from the ledger's folder. No I/O: stored files are passed in, and names are returned.

A document is removed once every sink has it and the retention has passed since it was written. A segment is removed
once no recovery from the two newest snapshots needs it, it contains no record of a document that is still to be
exported, and the retention has passed since it was written. Segments are removed in order: none before an earlier one.
Without a sink all documents and segments are retained.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

RETAINED_SNAPSHOTS = 2  # the newest, and one more in case the newest is damaged


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A document in the folder."""

    name: str
    period_ms: int
    first_sequence: int
    age_ms: float
    exported: bool  # every sink has it


@dataclass(frozen=True, slots=True)
class StoredSegment:
    """A segment of the log in the folder."""

    name: str
    start_sequence: int  # of its first record
    age_ms: float


@dataclass(frozen=True, slots=True)
class Removal:
    """What may be removed: names of documents and segments, and the sequences of snapshots."""

    documents: list[str]
    segments: list[str]
    snapshots: list[int]
    retired_before_ms: int | None  # no document of a period before this time remains; None: none is removed


def plan_removal(
    documents: list[StoredDocument],
    segments: list[StoredSegment],
    snapshots: list[int],
    retention_ms: float,
    has_sinks: bool,
    closed_to_ms: int,
) -> Removal:
    """Choose what to remove.

    ``segments`` are in their order, ``snapshots`` are the sequences in them, and ``closed_to_ms`` is the end of the
    last period that closed.
    """
    expired = [
        document for document in documents if has_sinks and document.exported and document.age_ms >= retention_ms
    ]
    retained = [document for document in documents if document not in expired]
    retired_before_ms = min((document.period_ms for document in retained), default=closed_to_ms) if expired else None
    newest_first = sorted(snapshots, reverse=True)
    expired_segments = []
    if has_sinks and len(newest_first) >= RETAINED_SNAPSHOTS:
        first_needed = min(
            [
                newest_first[RETAINED_SNAPSHOTS - 1] + 1,
                *(document.first_sequence for document in retained if not document.exported),
            ]
        )
        for segment, following in pairwise(segments):
            if following.start_sequence > first_needed or segment.age_ms < retention_ms:
                break
            expired_segments.append(segment.name)
    return Removal(
        [document.name for document in expired], expired_segments, newest_first[RETAINED_SNAPSHOTS:], retired_before_ms
    )
