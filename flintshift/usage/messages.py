"""Events and actions of the ledger's state machines: keeper and exporter."""

from __future__ import annotations

from dataclasses import dataclass

from flintshift.usage.records import Entry

# Told to the keeper.


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class ClockAdjusted:
    by_ms: int


@dataclass(frozen=True, slots=True)
class CorrectionRequested:
    """``closed`` are the totals of the period and row, with all revisions, where the period has closed and its
    documents stand."""

    id: str
    author: str
    reason: str
    period: int
    club: str
    class_name: str
    front: str
    outcome: str
    amounts: tuple[int, ...]
    closed: tuple[int, ...] | None = None
    length: int | None = None  # of the closed period; None: it has no documents


@dataclass(frozen=True, slots=True)
class DocumentsPublished:
    """Files of their own hold all documents up to this number, durably."""

    number: int


@dataclass(frozen=True, slots=True)
class DiskRecovered:
    """The disk takes records again after it did not."""

    from_ms: int
    requests: int
    cause: str


@dataclass(frozen=True, slots=True)
class Retired:
    """The documents of all periods that began before this time are gone."""

    before_ms: int


@dataclass(frozen=True, slots=True)
class OwnerDied:
    """Whoever wrote this ledger is dead, and nothing more will be booked in it."""


PolicyEvent = Tick | OwnerDied | ClockAdjusted | CorrectionRequested | DocumentsPublished | DiskRecovered | Retired


# Answered by the keeper.


@dataclass(frozen=True, slots=True)
class Append:
    """Write this record and apply it."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Reply:
    """The end of a correction: taken, the same as one taken before, or refused with the reason."""

    taken: bool
    text: str


PolicyAction = Append | Reply


# Told to the exporter.


@dataclass(frozen=True, slots=True)
class DocumentFound:
    """A document stands and no acknowledgement of this sink for it."""

    sink: str
    name: str


@dataclass(frozen=True, slots=True)
class Delivered:
    """The sink acknowledged the document with its digest."""

    sink: str
    name: str


@dataclass(frozen=True, slots=True)
class NotDelivered:
    """No acknowledgement came; whether the document did is unknown. The sink may have said when to come back."""

    sink: str
    name: str
    text: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Rejected:
    """The sink holds something else under this name, or will never take it: a person must look."""

    sink: str
    name: str
    text: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """The sink knows an exporter of a later epoch."""

    sink: str
    text: str


ExportEvent = Tick | DocumentFound | Delivered | NotDelivered | Rejected | Superseded


# Answered by the exporter.


@dataclass(frozen=True, slots=True)
class Deliver:
    sink: str
    name: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """This sink has this document, and that is kept."""

    sink: str
    name: str


@dataclass(frozen=True, slots=True)
class Alarm:
    sink: str
    name: str
    text: str


@dataclass(frozen=True, slots=True)
class WakeAt:
    at_ms: float


@dataclass(frozen=True, slots=True)
class StopDelivery:
    """Nothing more is delivered to this sink: another exporter has taken over, or too much was put aside."""

    sink: str


ExportAction = Deliver | Acknowledge | Alarm | WakeAt | StopDelivery
