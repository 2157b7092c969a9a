"""A log that one process writes and further members copy: who may write it, what a copy takes, who goes on with it once
its writer is dead: its messages. Without I/O; the state machines are `log_writer.py` and `log_holders.py`.

A log belongs to the member that began it, and has a life drawn with it: a disk that was lost, and one that was taken
over, never go on under their old name. It is copied record by record by the log's other holders (`Placement.log_holders`).

- A writer has an **epoch**. A copy promises the highest that it was asked for, and takes nothing of a lower one.
- A copy grants an epoch to no writer that is **behind** it, in (epoch, sequence) of the last record; and nobody takes a
  log over without the word of a majority of its holders. So what stood at a majority is in every later writer's log.
- A writer counts as one once a majority of the holders, itself among them, has granted it its epoch. What it wrote
  before that under an epoch of its own is no sign that it lacks nothing: it shows how far it had come ``elected_position``.
- What a writer found is counted as held only together with a first record of its own epoch.
- A copy that was never filled, or may have lost its end, has no word on who takes over; but where the writer stays dead
  for long, and no more can be had, the ledger goes on with what there is, and that is told. One that was never filled,
  and has promised nothing to another, is let go as soon as its writer is dead.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from msgspec import Struct

LogId = tuple[str, bytes]  # the member that began it, and its life
LogPosition = tuple[int, int]  # epoch and sequence of a last record
NO_POSITION: LogPosition = (0, 0)
Record = tuple[int, bytes]  # kind and payload


class ReplicaVerdict(IntEnum):
    """What a copy answers."""

    GRANTED = 1
    STALE_EPOCH = 2  # a higher epoch was promised
    AHEAD = 3  # this copy holds what the asker lacks
    NO_VOTE = 4  # this copy does not hold the log, or may have lost its end
    FULL = 5  # no room for a further log
    GAP = 6  # records are missing before these, or the disk refused some: this copy is to be filled
    FINISHED = 7  # nothing of the log is needed any more


# Between members.


class Join(Struct, frozen=True, gc=False):
    """This process writes the log from here on, or wants to. ``takes_over``: it was another's."""

    log: LogId
    epoch: int
    last: LogPosition
    takes_over: bool = False


class Append(Struct, frozen=True, gc=False):
    log: LogId
    epoch: int
    first: int
    records: tuple[Record, ...]


class SnapshotPart(Struct, frozen=True, gc=False):
    """A piece of all that a copy needs to go on from a place, in place of what it holds."""

    log: LogId
    epoch: int
    last: LogPosition
    number: int
    more: bool
    data: bytes


class ReplicaStatus(Struct, frozen=True, gc=False):
    """Where a copy stands. ``parts_received``: of a whole that is coming, so many pieces are here."""

    log: LogId
    verdict: ReplicaVerdict
    epoch: int  # promised
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


# The writer's side.


@dataclass(frozen=True, slots=True)
class SendTo:
    member: str
    message: LogMessage


@dataclass(frozen=True, slots=True)
class SnapshotNeeded:
    """Hand in all that a copy needs, by ``LogWriter.send_snapshot``."""

    member: str


@dataclass(frozen=True, slots=True)
class Replicated:
    """Records up to this one stand at a majority of the holders; past a gap, all may be let go."""

    up_to: float


@dataclass(frozen=True, slots=True)
class GapBegan:
    cause: str


@dataclass(frozen=True, slots=True)
class GapEnded:
    duration_ms: float


@dataclass(frozen=True, slots=True)
class EpochRaised:
    """Keep where the log stood ``elected_position``, then write under this epoch, a record of no content first."""

    epoch: int
    elected_position: LogPosition


@dataclass(frozen=True, slots=True)
class Elected:
    """A majority has granted the epoch: keep that."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """The log is another's, or holds what this process lacks: write it no more."""

    cause: str


WriterAction = SendTo | SnapshotNeeded | Replicated | GapBegan | GapEnded | EpochRaised | Elected | Fenced


# The holders' side.


@dataclass(frozen=True, slots=True)
class Promise:
    """Keep on the disk that this epoch is this process's, before anything is answered."""

    log: LogId
    epoch: int
    process: str


@dataclass(frozen=True, slots=True)
class WriteRecords:
    log: LogId
    epoch: int
    first: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Hold this in place of what stood there."""

    log: LogId
    last: LogPosition
    data: bytes


@dataclass(frozen=True, slots=True)
class RecordExport:
    """Keep that a sink has this document."""

    export: Exported


@dataclass(frozen=True, slots=True)
class MarkFinished:
    """Keep of it only that it is over, under this epoch."""

    log: LogId
    epoch: int


@dataclass(frozen=True, slots=True)
class DeleteReplica:
    log: LogId


@dataclass(frozen=True, slots=True)
class AbandonLog:
    """Nothing of it is held here, and its writer stays dead: drop it, and tell."""

    log: LogId
    writer: str  # the process that wrote it


@dataclass(frozen=True, slots=True)
class Answer:
    to: str  # a process
    message: ReplicaStatus


@dataclass(frozen=True, slots=True)
class SendToHolder:
    """Ask a member, or tell it that all of a log is over."""

    member: str
    message: Join | LogFinished


@dataclass(frozen=True, slots=True)
class TakenOver:
    """This member goes on with the log, under this epoch."""

    log: LogId
    epoch: int
    last: LogPosition
    previous_writer: str  # the process that wrote it
    missing_holders: tuple[str, ...]  # holders that had no word: what they and the dead writer alone held is missing


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
