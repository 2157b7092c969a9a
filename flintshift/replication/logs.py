"""The rules of a replicated log, and its messages and actions.

One process writes a log and further members hold replicas of it. The rules say who may write it, what a replica
accepts, and who takes the log over once its writer is dead. Without I/O; the state machines are in `log_writer.py` and
`log_holders.py`.

A log belongs to the member that began it, and has an incarnation, an id drawn when it begins: after the loss of a disk,
or after a takeover, the member begins another log. The other holders copy a log record by record
(`Placement.log_holders`).

- A writer has an **epoch**. A replica promises the highest epoch that it was asked for and rejects everything of a
  lower one.
- A replica grants an epoch to no writer that is **behind** it, in (epoch, sequence) of the last record, and nobody
  takes a log over without the votes of a majority of its holders. So every later writer has all records that were on a
  majority.
- A writer is elected once a majority of the holders, itself among them, has granted it its epoch. Records that it wrote
  under an epoch of its own before that don't show that it has all records, so it reports its ``elected_position``
  instead: where it was when it was elected last.
- The records that a writer found at its start count as replicated only together with a first record of its own epoch.
- A replica that was never filled, or may have lost its end, has no vote on a takeover. But if the writer stays dead for
  long and no more can be had, the log goes on with what there is, and this is logged. A replica that was never filled
  and has promised nothing to another member is dropped as soon as its writer is dead.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from msgspec import Struct

LogId = tuple[str, bytes]  # the member that began the log, and the log's incarnation
LogPosition = tuple[int, int]  # epoch and sequence of a last record
NO_POSITION: LogPosition = (0, 0)
Record = tuple[int, bytes]  # kind and payload


class ReplicaVerdict(IntEnum):
    """What the holder of a replica answers."""

    GRANTED = 1
    STALE_EPOCH = 2  # a higher epoch was promised
    AHEAD = 3  # this replica has records that the sender lacks
    NO_VOTE = 4  # this member has no replica of the log, or one that may have lost its end
    FULL = 5  # no room for a further log
    GAP = 6  # records before these are missing, or the disk rejected some: the replica needs a snapshot
    FINISHED = 7  # nothing of the log is needed any more


# Messages between members.


class Join(Struct, frozen=True, gc=False):
    """The sender writes the log from here on, or wants to. ``takes_over``: it was another's."""

    log: LogId
    epoch: int
    last: LogPosition
    takes_over: bool = False


class Append(Struct, frozen=True, gc=False):
    """New records of a log."""

    log: LogId
    epoch: int
    first: int  # sequence of the first of the records
    records: tuple[Record, ...]


class SnapshotPart(Struct, frozen=True, gc=False):
    """A part of a snapshot, which replaces a replica and lets it go on from the position ``last``."""

    log: LogId
    epoch: int
    last: LogPosition
    number: int
    more: bool
    data: bytes


class ReplicaStatus(Struct, frozen=True, gc=False):
    """The position of a replica. ``parts_received``: of a snapshot that is being transferred."""

    log: LogId
    verdict: ReplicaVerdict
    epoch: int  # the promised one
    last: LogPosition
    parts_received: int = 0


class Exported(Struct, frozen=True, gc=False):
    """A sink has this document of the log."""

    log: LogId
    sink: str
    name: str
    digest: bytes


class LogFinished(Struct, frozen=True, gc=False):
    """Nothing of the log is needed any more."""

    log: LogId
    epoch: int


LogMessage = Join | Append | SnapshotPart | ReplicaStatus | Exported | LogFinished


# Actions of the writer.


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to a holder."""

    member: str
    message: LogMessage


@dataclass(frozen=True, slots=True)
class SnapshotNeeded:
    """Make a snapshot for this member and pass it to ``LogWriter.send_snapshot``."""

    member: str


@dataclass(frozen=True, slots=True)
class Replicated:
    """The records up to this sequence are on a majority of the holders. In a gap it is infinite: no answer waits."""

    up_to: float


@dataclass(frozen=True, slots=True)
class GapBegan:
    """Too few replicas answer; answers no longer wait for them."""

    cause: str


@dataclass(frozen=True, slots=True)
class GapEnded:
    """A majority has all records again."""

    duration_ms: float


@dataclass(frozen=True, slots=True)
class EpochRaised:
    """Persist ``elected_position``, then write under this epoch, beginning with a record without content."""

    epoch: int
    elected_position: LogPosition


@dataclass(frozen=True, slots=True)
class Elected:
    """Persist that a majority has granted the epoch."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """Stop writing the log: it belongs to another process, or has records that this process lacks."""

    cause: str


WriterAction = SendTo | SnapshotNeeded | Replicated | GapBegan | GapEnded | EpochRaised | Elected | Fenced


# Actions of the holders.


@dataclass(frozen=True, slots=True)
class Promise:
    """Persist that this epoch is promised to the process, before anything is answered."""

    log: LogId
    epoch: int
    process: str


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Append these records to the replica."""

    log: LogId
    epoch: int
    first: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the content of the replica with this snapshot."""

    log: LogId
    last: LogPosition
    data: bytes


@dataclass(frozen=True, slots=True)
class RecordExport:
    """Persist that a sink has this document."""

    export: Exported


@dataclass(frozen=True, slots=True)
class MarkFinished:
    """Remove the content of the replica, and persist only that the log is finished under this epoch."""

    log: LogId
    epoch: int


@dataclass(frozen=True, slots=True)
class DeleteReplica:
    """Delete the replica."""

    log: LogId


@dataclass(frozen=True, slots=True)
class AbandonLog:
    """Delete a replica that holds no records and whose writer stays dead, and log it."""

    log: LogId
    writer: str  # the process that wrote the log


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a process with the status of a replica."""

    to: str  # a process
    message: ReplicaStatus


@dataclass(frozen=True, slots=True)
class SendToHolder:
    """Ask a member for its vote on a takeover, or notify it that a log is finished."""

    member: str
    message: Join | LogFinished


@dataclass(frozen=True, slots=True)
class TakenOver:
    """This member goes on with the log under this epoch."""

    log: LogId
    epoch: int
    last: LogPosition
    previous_writer: str  # the process that wrote the log
    missing_holders: tuple[str, ...]  # had no vote: records that only they and the dead writer held are missing


HolderAction = (
    Promise
    | WriteRecords
    | InstallSnapshot
    | RecordExport
    | MarkFinished
    | DeleteReplica
    | AbandonLog
    | Answer
    | SendToHolder
    | TakenOver
)
