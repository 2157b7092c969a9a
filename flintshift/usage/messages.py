"""Events and actions of the two state machines of the usage ledger: the policy and the exporter."""

from __future__ import annotations

from dataclasses import dataclass

from flintshift.usage.records import Entry

# Events of the policy.


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class ClockAdjusted:
    """The system's clock was moved by ``by_ms``."""

    by_ms: int


@dataclass(frozen=True, slots=True)
class CorrectionRequested:
    """A person asks for a correction of one row of a period.

    ``closed`` is the row's total over all revisions, where the period has closed and its documents are present.
    """

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
    """All documents up to this number are in files of their own, durably."""

    number: int


@dataclass(frozen=True, slots=True)
class DiskRecovered:
    """The disk accepts records again after it refused them."""

    from_ms: int
    requests: int
    cause: str


@dataclass(frozen=True, slots=True)
class DocumentsRetired:
    """The documents of all periods that began before this time were removed."""

    before_ms: int


@dataclass(frozen=True, slots=True)
class OwnerDied:
    """The member that wrote this ledger is dead, so no further use will be recorded in it."""


PolicyEvent = (
    Tick | OwnerDied | ClockAdjusted | CorrectionRequested | DocumentsPublished | DiskRecovered | DocumentsRetired
)


# Actions of the policy.


@dataclass(frozen=True, slots=True)
class Append:
    """Write this record and apply it."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of a correction request: accepted, already accepted before, or rejected with the reason."""

    taken: bool
    text: str


PolicyAction = Append | Reply


# Events of the exporter.


@dataclass(frozen=True, slots=True)
class DocumentFound:
    """A document is present that this sink has not acknowledged."""

    sink: str
    name: str


@dataclass(frozen=True, slots=True)
class Delivered:
    """The sink acknowledged the document with its digest."""

    sink: str
    name: str


@dataclass(frozen=True, slots=True)
class NotDelivered:
    """The sink did not acknowledge the document, which may have arrived all the same.

    ``retry_after_ms`` is the delay that the sink asked for, if it asked for one.
    """

    sink: str
    name: str
    text: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Rejected:
    """The sink has another content under this name, or will never accept the document: an operator must act."""

    sink: str
    name: str
    text: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """The sink knows an exporter of a later epoch."""

    sink: str
    text: str


ExportEvent = Tick | DocumentFound | Delivered | NotDelivered | Rejected | Superseded


# Actions of the exporter.


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send this document to the sink."""

    sink: str
    name: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Report that the sink has this document. Its acknowledgement is already durable."""

    sink: str
    name: str


@dataclass(frozen=True, slots=True)
class Alarm:
    """Report a problem that an operator must look at."""

    sink: str
    name: str
    text: str


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send a tick at this time."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class StopDelivery:
    """Deliver nothing more to this sink: another exporter has taken over, or too many documents were put aside."""

    sink: str


ExportAction = Deliver | Acknowledge | Alarm | WakeAt | StopDelivery
