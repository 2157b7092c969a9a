"""What may be removed from the ledger's folder. No I/O: what stands is handed in, and names come back.

A document goes once every sink has it and the retention has passed since it was written. A segment goes once no
recovery from the two newest snapshots needs it, it covers no document that is still to be exported, and the retention
has passed since it was written; never one before another that stays. Without a sink documents and segments stay.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

SNAPSHOTS = 2  # kept: the newest, and one in case that one is damaged


@dataclass(frozen=True, slots=True)
class StandingDocument:
    name: str
    period_ms: int
    first_sequence: int
    age_ms: float
    exported: bool  # every sink has it


@dataclass(frozen=True, slots=True)
class StandingSegment:
    name: str
    first: int  # sequence
    age_ms: float


@dataclass(frozen=True, slots=True)
class Removal:
    documents: list[str]
    segments: list[str]
    snapshots: list[int]
    retired_before_ms: int | None  # no document of a period before this time stands any more; None: none went


def removal(
    documents: list[StandingDocument],
    segments: list[StandingSegment],
    snapshots: list[int],
    retention_ms: float,
    sinks: bool,
    closed_to_ms: int,
) -> Removal:
    """``segments`` in their order, ``snapshots`` the sequences in them; ``closed_to_ms`` the end of the last period
    that closed."""
    gone = [one for one in documents if sinks and one.exported and one.age_ms >= retention_ms]
    kept = [one for one in documents if one not in gone]
    retired = min((one.period_ms for one in kept), default=closed_to_ms) if gone else None
    newest = sorted(snapshots, reverse=True)
    past = []
    if sinks and len(newest) >= SNAPSHOTS:
        needed = min([newest[SNAPSHOTS - 1] + 1, *(one.first_sequence for one in kept if not one.exported)])
        for segment, after in pairwise(segments):
            if after.first > needed or segment.age_ms < retention_ms:
                break
            past.append(segment.name)
    return Removal([one.name for one in gone], past, newest[SNAPSHOTS:], retired)
