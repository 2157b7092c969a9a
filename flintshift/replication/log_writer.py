"""The writer of a replicated log: the state of each replica, and up to which record a majority has the log.

Without I/O; the rules are in `logs.py`.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from flintshift.replication.logs import (
    NO_POSITION,
    Append,
    Elected,
    EpochRaised,
    Fenced,
    GapBegan,
    GapEnded,
    Join,
    LogId,
    LogPosition,
    Record,
    ReplicaStatus,
    Replicated,
    ReplicaVerdict,
    SendTo,
    SnapshotNeeded,
    SnapshotPart,
    WriterAction,
)

SNAPSHOT_PART_BYTES = 256_000
MAX_UNACKNOWLEDGED_RECORDS = 20_000  # of one replica; beyond that it gets a snapshot


class ReplicaState(IntEnum):
    """How a replica takes part in the replication."""

    AWAY = 0  # unreachable, or without room or a vote for the log
    JOINING = 1  # asked to join; once it has answered, it follows or gets a snapshot
    FILLING = 2  # receives a snapshot
    FOLLOWING = 3  # receives each record


@dataclass(slots=True)
class ReplicaProgress:
    """What the writer knows of one replica."""

    state: ReplicaState = ReplicaState.AWAY
    acknowledged: int = 0  # the last sequence that it holds under the current epoch
    parts: list[SnapshotPart] = field(default_factory=list)
    queued: deque[Append] = field(default_factory=deque)  # written while the snapshot is being transferred
    queued_records: int = 0
    reachable: bool = False
    grant: ReplicaStatus | None = None  # with which it granted the current epoch to this process
    contacted: bool = False  # a message was exchanged since the last `rejoin_replicas`


class LogWriter:
    """Replicates one log.

    ``others`` hold the replicas; ``needed_acks`` of them make a majority together with the writer. ``max_wait_ms``: an
    answer waits no longer than that for the replicas. ``elected_position``: the last record when the log was elected
    last; None: this process took the log over and is elected.
    """

    def __init__(
        self,
        log: LogId,
        epoch: int,
        last: LogPosition,
        others: tuple[str, ...],
        needed_acks: int,
        max_wait_ms: float,
        elected_position: LogPosition | None,
    ) -> None:
        self.log, self.epoch, self.last, self.needed_acks, self.max_wait_ms = log, epoch, last, needed_acks, max_wait_ms
        self.took_over = self.elected = elected_position is None
        self.elected_position = last if elected_position is None else elected_position
        self.replicas = {name: ReplicaProgress() for name in others}
        self.replicated_sequence = 0
        self.waiting_since_ms = math.inf  # since when an answer waits for a majority
        self.awaited_sequence = 0  # the last record for which an answer waits
        self.gap_since_ms: float | None = None
        self.fenced = False

    @property
    def in_gap(self) -> bool:
        """Whether answers do not wait for replicas now, as too few of them answer."""
        return self.gap_since_ms is not None

    def set_reachable(self, member: str, reachable: bool) -> list[WriterAction]:
        """Handles a link to a holder that came up, over which it is asked to join, or that broke."""
        replica = self.replicas.get(member)
        if replica is None or self.fenced:
            return []
        self._reset(replica)
        replica.reachable = reachable
        if not reachable:
            return []
        replica.state, replica.contacted = ReplicaState.JOINING, True
        return [SendTo(member, Join(self.log, self.epoch, self.last if self.elected else self.elected_position))]

    @staticmethod
    def _reset(replica: ReplicaProgress) -> None:
        replica.state, replica.acknowledged, replica.queued_records, replica.grant = ReplicaState.AWAY, 0, 0, None
        replica.parts.clear()
        replica.queued.clear()

    def handle_written(
        self, now_ms: float, first: int, records: tuple[Record, ...], answer_waits: bool
    ) -> list[WriterAction]:
        """These records are in the writer's own log. ``answer_waits``: an answer is sent once a majority has them."""
        begins_epoch = self.last[0] != self.epoch
        self.last = self.epoch, first + len(records) - 1
        if answer_waits and self.waiting_since_ms == math.inf:
            self.waiting_since_ms = now_ms
        if answer_waits:
            self.awaited_sequence = self.last[1]
        append, actions = Append(self.log, self.epoch, first, records), list[WriterAction]()
        for member, replica in self.replicas.items():
            if replica.state is ReplicaState.FOLLOWING:
                if self.last[1] - replica.acknowledged > MAX_UNACKNOWLEDGED_RECORDS:
                    replica.state = ReplicaState.JOINING  # too slow: it gets a snapshot when it answers
                else:
                    actions.append(SendTo(member, append))
            elif replica.state is ReplicaState.FILLING:
                replica.queued.append(append)
                replica.queued_records += len(records)
                if replica.queued_records > MAX_UNACKNOWLEDGED_RECORDS:
                    self._reset(replica)
                    replica.state = ReplicaState.JOINING
        if begins_epoch:  # replicas may have granted the epoch before its first record was written
            for member, replica in self.replicas.items():
                if replica.grant is not None and replica.state is ReplicaState.JOINING:
                    actions += self.handle_status(now_ms, member, replica.grant)
        return actions

    def send_snapshot(self, member: str, data: bytes) -> list[WriterAction]:
        """Sends a snapshot that lets a replica go on from this process's last record."""
        replica = self.replicas[member]
        pieces = [
            data[start : start + SNAPSHOT_PART_BYTES] for start in range(0, max(len(data), 1), SNAPSHOT_PART_BYTES)
        ]
        replica.parts = [
            SnapshotPart(self.log, self.epoch, self.last, number, number < len(pieces) - 1, piece)
            for number, piece in enumerate(pieces)
        ]
        replica.state = ReplicaState.FILLING
        return [SendTo(member, replica.parts[0])]

    def handle_status(self, now_ms: float, member: str, status: ReplicaStatus) -> list[WriterAction]:
        """Handles a holder's answer about its replica."""
        replica = self.replicas.get(member)
        if replica is None or self.fenced or not replica.reachable:
            return []
        replica.contacted = True
        match status.verdict:
            case ReplicaVerdict.AHEAD:
                return self._fence(f"{member} holds records up to {status.last}, this process up to {self.last}")
            case ReplicaVerdict.STALE_EPOCH:
                if self.took_over:
                    return self._fence(f"{member} has promised epoch {status.epoch} to another process")
                return self._raise_epoch(status.epoch)
            case ReplicaVerdict.FINISHED:
                return self._fence(f"{member} reports that the whole log was exported")
            case ReplicaVerdict.FULL | ReplicaVerdict.NO_VOTE:
                replica.state = ReplicaState.AWAY
                return []
        if status.epoch != self.epoch:
            return []
        if self.last[0] != self.epoch:
            replica.grant = status  # it counts once this process has written its first record of the epoch
            return []
        if not self.elected:
            return self._handle_grant(now_ms, replica, status)
        return self._update_replica(now_ms, member, replica, status)

    def _handle_grant(self, now_ms: float, replica: ReplicaProgress, status: ReplicaStatus) -> list[WriterAction]:
        replica.grant = status
        grants = {name: progress.grant for name, progress in self.replicas.items() if progress.grant is not None}
        # A replica without records may have lost what another process wrote meanwhile. Its grant counts if this log was
        # never elected before, or if all replicas have answered.
        with_records = sum(grant.last != NO_POSITION for grant in grants.values())
        if (len(grants) if self.elected_position == NO_POSITION else with_records) < self.needed_acks and len(
            grants
        ) < len(self.replicas):
            return []
        self.elected = True
        actions: list[WriterAction] = [Elected()]
        for member, grant in grants.items():
            actions += self._update_replica(now_ms, member, self.replicas[member], grant)
        return actions

    def _update_replica(
        self, now_ms: float, member: str, replica: ReplicaProgress, status: ReplicaStatus
    ) -> list[WriterAction]:
        if status.verdict is ReplicaVerdict.GAP and replica.state is ReplicaState.FOLLOWING:
            return [SnapshotNeeded(member)]
        if replica.state is ReplicaState.FILLING:
            if status.last[0] != self.epoch or status.parts_received:
                return (
                    [SendTo(member, replica.parts[status.parts_received])]
                    if 0 < status.parts_received < len(replica.parts)
                    else []
                )
            sends = [SendTo(member, append) for append in replica.queued]
            self._reset(replica)
            replica.state, replica.acknowledged = ReplicaState.FOLLOWING, status.last[1]
            return [*sends, *self._count_acknowledged(now_ms)]
        if status.last[0] == self.epoch and replica.state is ReplicaState.FOLLOWING:
            replica.acknowledged = max(replica.acknowledged, status.last[1])
            return self._count_acknowledged(now_ms)
        if replica.state is ReplicaState.JOINING and status.last == self.last and status.last[0] == self.epoch:
            replica.state, replica.acknowledged = ReplicaState.FOLLOWING, status.last[1]
            return self._count_acknowledged(now_ms)
        return [SnapshotNeeded(member)]

    def _raise_epoch(self, promised: int) -> list[WriterAction]:
        """Writes under a higher epoch: another process began a takeover that, as far as is known here, failed."""
        if promised < self.epoch:
            return []  # sent before this process raised its epoch last
        if self.elected:
            self.elected_position, self.elected = self.last, False
        self.epoch = promised + 1
        actions: list[WriterAction] = [EpochRaised(self.epoch, self.elected_position)]
        for member, replica in self.replicas.items():
            if replica.reachable:
                actions += self.set_reachable(member, True)
        return actions

    def _fence(self, cause: str) -> list[WriterAction]:
        self.fenced = True
        return [Fenced(cause)]

    def _count_acknowledged(self, now_ms: float) -> list[WriterAction]:
        """Determines up to which record a majority has the log, and returns actions if that has advanced."""
        sequences = sorted(
            (replica.acknowledged for replica in self.replicas.values() if replica.state is ReplicaState.FOLLOWING),
            reverse=True,
        )
        if len(sequences) < self.needed_acks:
            return []
        up_to = sequences[self.needed_acks - 1] if self.needed_acks else self.last[1]
        if up_to <= self.replicated_sequence:
            return []
        self.replicated_sequence = up_to
        self.waiting_since_ms = now_ms if up_to < self.awaited_sequence else math.inf
        actions: list[WriterAction] = [Replicated(up_to)]
        if self.gap_since_ms is not None and up_to >= self.last[1]:
            actions.append(GapEnded(now_ms - self.gap_since_ms))
            self.gap_since_ms = None
        return actions

    def rejoin_replicas(self) -> list[WriterAction]:
        """Asks the reachable replicas that neither follow nor have answered since the last call to join again.

        It is called every few seconds.
        """
        actions: list[WriterAction] = []
        for member, replica in self.replicas.items():
            if replica.reachable and replica.state is not ReplicaState.FOLLOWING and not replica.contacted:
                actions += self.set_reachable(member, True)
            replica.contacted = False
        return actions

    def tick(self, now_ms: float, deadline_ms: float = math.inf) -> list[WriterAction]:
        """Begins a gap if a majority takes too long. ``deadline_ms``: when a waiting answer must be sent."""
        waited_ms = now_ms - self.waiting_since_ms
        if self.gap_since_ms is not None or self.fenced or (waited_ms < self.max_wait_ms and now_ms < deadline_ms):
            return []
        self.gap_since_ms = now_ms
        following = [name for name, replica in self.replicas.items() if replica.state is ReplicaState.FOLLOWING]
        return [
            GapBegan(
                f"of {len(following)} following replicas ({self.needed_acks} must answer) too few answered within "
                f"{max(waited_ms, 0.0):.0f} ms, and answers were due"
            ),
            Replicated(math.inf),
        ]
