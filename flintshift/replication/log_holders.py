"""The replicas of logs that other members write: what they promise and accept, and who takes over a dead writer's log.

Without I/O; the rules are in `logs.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from flintshift.replication.logs import (
    NO_POSITION,
    AbandonLog,
    Answer,
    Append,
    DeleteReplica,
    Exported,
    HolderAction,
    InstallSnapshot,
    Join,
    LogFinished,
    LogId,
    LogMessage,
    LogPosition,
    MarkFinished,
    Promise,
    RecordExport,
    ReplicaStatus,
    ReplicaVerdict,
    SendToHolder,
    SnapshotPart,
    TakenOver,
    WriteRecords,
)


@dataclass(frozen=True, slots=True)
class HolderConfig:
    """Timing and limits of the replicas that a member holds."""

    takeover_delay_ms: float = 60_000.0  # from a writer's death to the first attempt to take its log over
    patience_factor: float = 10.0  # after so many times that delay, holders that do not answer are no longer waited for
    stagger_ms: float = 1000.0  # between the first attempts of one holder and the next
    retry_ms: float = 5000.0  # between two attempts
    max_logs: int = 256
    max_snapshot_bytes: int = 64 << 20


@dataclass(slots=True)
class LogReplica:
    """The state of one replica, and of this member's attempt to take its log over."""

    promised: int  # the highest promised epoch
    promised_to: str  # the process to which that epoch was promised
    writer: str  # the process whose records the replica holds
    last: LogPosition
    complete: bool  # the replica has all records that it ever acknowledged
    readable: bool = True  # the replica can be read from the disk
    writer_dead_since_ms: float | None = None
    last_attempt_ms: float = -math.inf  # when this member tried last to take the log over
    votes: set[str] = field(default_factory=set)  # holders that granted the takeover epoch
    without_vote: set[str] = field(default_factory=set)  # holders that have no vote, and no more records than this one
    waits_for_silent: bool = True  # silent holders, and longer incomplete replicas, are waited for
    takeover_epoch: int = 0  # under which the current attempt is made; 0: there is none
    highest_seen_epoch: int = 0  # that another holder has promised
    outbid: bool = False  # another holder promised that epoch or a higher one: raise it and retry without a long wait
    behind: bool = False  # another holder has more records and should take the log over
    parts: list[bytes] = field(default_factory=list)  # of a snapshot that is being received
    parts_bytes: int = 0
    finished: bool = False  # the log is finished, and only this fact is retained


class LogReplicas:
    """All replicas that one member holds.

    ``holders`` returns the holders of a member's logs, that member first. ``is_alive`` returns whether a process is.
    """

    def __init__(
        self,
        member: str,
        identity: str,
        holders: Callable[[str], tuple[str, ...]],
        is_alive: Callable[[str], bool],
        config: HolderConfig | None = None,
    ) -> None:
        self.member, self.identity, self.holders, self.is_alive, self.config = (
            member,
            identity,
            holders,
            is_alive,
            config or HolderConfig(),
        )
        self.table: dict[LogId, LogReplica] = {}
        self.own_log: LogId | None = None  # that this process writes for its member; it holds no replica of it

    def restore(
        self, log: LogId, promised: int, promised_to: str, last: LogPosition, complete: bool, finished: bool
    ) -> None:
        """Adds a replica that was found on the disk at the start."""
        self.table[log] = LogReplica(promised, promised_to, promised_to, last, complete, finished=finished)

    def reset_to_disk(
        self,
        log: LogId,
        promised: int,
        promised_to: str,
        last: LogPosition,
        complete: bool,
        finished: bool,
        readable: bool = True,
    ) -> None:
        """Sets a replica back to what is on the disk, which rejected an action. The known writer stays.

        ``complete`` False: the replica may lack what it acknowledged, until it gets a snapshot. ``readable`` False: the
        replica can't be read now.
        """
        replica = self.table.get(log)
        writer, dead_since_ms = (
            (replica.writer, replica.writer_dead_since_ms) if replica is not None else (promised_to, None)
        )
        self.table[log] = LogReplica(
            promised, promised_to, writer, last, complete, readable, dead_since_ms, finished=finished
        )

    def discard(self, log: LogId) -> None:
        """Removes a replica of which nothing could be persisted, as if nobody had asked for it."""
        self.table.pop(log, None)

    def handle_message(self, sender: str, message: LogMessage) -> list[HolderAction]:
        """Handles a message from a process that writes a log, or wants to."""
        replica = self.table.get(message.log)
        if message.log == self.own_log:
            return []  # this process has yet to learn that another one has its log
        if replica is not None and replica.finished:
            expects_answer = isinstance(message, Join | Append | SnapshotPart)
            return (
                [Answer(sender, ReplicaStatus(message.log, ReplicaVerdict.FINISHED, replica.promised, replica.last))]
                if expects_answer
                else []
            )
        match message:
            case Join():
                return self._handle_join(sender, message, replica)
            case Append(log, epoch, first, records):
                if replica is None or replica.promised != epoch or replica.promised_to != sender:
                    return self._rejection(sender, log, replica)
                if first != replica.last[1] + 1 or not replica.complete:
                    return [Answer(sender, ReplicaStatus(log, ReplicaVerdict.GAP, epoch, replica.last))]
                replica.last = epoch, first + len(records) - 1
                return [
                    WriteRecords(log, epoch, first, records),
                    Answer(sender, ReplicaStatus(log, ReplicaVerdict.GRANTED, epoch, replica.last)),
                ]
            case SnapshotPart():
                return self._handle_part(sender, message, replica)
            case Exported(log):
                return [RecordExport(message)] if replica is not None else []
            case LogFinished(log, epoch):
                return self.mark_finished(log, epoch) if replica is not None and epoch >= replica.promised else []
        return []

    def announce_finished(self, member: str) -> list[HolderAction]:
        """Notifies a member that is reachable again of the logs that are finished.

        It may have missed the message while it was away, and would hold its replicas of them for ever.
        """
        return [
            SendToHolder(member, LogFinished(log, replica.promised))
            for log, replica in self.table.items()
            if replica.finished and member in self.holders(log[0])
        ]

    def mark_finished(self, log: LogId, epoch: int) -> list[HolderAction]:
        """Reduces a replica to the fact that its log is finished."""
        replica = self.table[log]
        self.table[log] = LogReplica(epoch, replica.promised_to, replica.writer, replica.last, False, finished=True)
        return [MarkFinished(log, epoch)]

    def _rejection(self, sender: str, log: LogId, replica: LogReplica | None) -> list[HolderAction]:
        if replica is None:
            return [Answer(sender, ReplicaStatus(log, ReplicaVerdict.NO_VOTE, 0, NO_POSITION))]
        return [Answer(sender, ReplicaStatus(log, ReplicaVerdict.STALE_EPOCH, replica.promised, replica.last))]

    def _handle_join(self, sender: str, join: Join, replica: LogReplica | None) -> list[HolderAction]:
        log, epoch = join.log, join.epoch
        if join.takes_over and not self._can_answer_takeover(log, replica):
            return []
        if replica is None:
            if join.takes_over:
                return self._rejection(sender, log, None)
            actions: list[HolderAction] = self._make_room()
            if len(self.table) >= self.config.max_logs or self.member not in self.holders(log[0]):
                return [Answer(sender, ReplicaStatus(log, ReplicaVerdict.FULL, 0, NO_POSITION))]
            self.table[log] = LogReplica(epoch, sender, sender, NO_POSITION, False)
            self._clear_writer_of_others(sender, log)
            return [
                *actions,
                Promise(log, epoch, sender),
                Answer(sender, self._incomplete_status(join, epoch, NO_POSITION)),
            ]
        if epoch < replica.promised or (epoch == replica.promised and sender != replica.promised_to):
            return self._rejection(sender, log, replica)
        # The sender already writes under this epoch, and its join has come late.
        is_late = (join.epoch, sender) == (replica.promised, replica.promised_to) and replica.last[0] == join.epoch
        if replica.complete and replica.last > join.last and not is_late:
            return [Answer(sender, ReplicaStatus(log, ReplicaVerdict.AHEAD, replica.promised, replica.last))]
        actions = []
        if (epoch, sender) != (replica.promised, replica.promised_to):
            replica.promised, replica.promised_to, replica.takeover_epoch = epoch, sender, 0
            actions.append(Promise(log, epoch, sender))
        if not join.takes_over:
            replica.writer, replica.writer_dead_since_ms = sender, None
            self._clear_writer_of_others(sender, log)
        replica.parts, replica.parts_bytes = [], 0
        if not replica.complete:
            return [*actions, Answer(sender, self._incomplete_status(join, epoch, replica.last))]
        return [*actions, Answer(sender, ReplicaStatus(log, ReplicaVerdict.GRANTED, epoch, replica.last))]

    def _can_answer_takeover(self, log: LogId, replica: LogReplica | None) -> bool:
        """Whether it is known what this member holds of a log.

        An answer without a vote would count in a takeover. So none is sent while the log may be this member's own,
        which is not opened yet, or while its replica can't be read.
        """
        if replica is None:
            return log[0] != self.member or self.own_log is not None
        return replica.readable or not replica.waits_for_silent

    def _clear_writer_of_others(self, sender: str, log: LogId) -> None:
        """Clears the writer of the other logs of this process.

        A process writes one log of its own member: an earlier one had been taken over before the process learned of it.
        """
        for (member, incarnation), replica in self.table.items():
            if (
                (member, replica.writer) == (log[0], sender)
                and incarnation != log[1]
                and sender.rpartition("#")[0] == member
            ):
                replica.writer = ""

    def _make_room(self) -> list[HolderAction]:
        """Deletes finished logs for which there is no room. The others are kept for holders that were away."""
        finished = [log for log, replica in self.table.items() if replica.finished]
        return [
            DeleteReplica(self._remove(log)) for log in finished[: max(0, len(self.table) + 1 - self.config.max_logs)]
        ]

    def _remove(self, log: LogId) -> LogId:
        del self.table[log]
        return log

    @staticmethod
    def _incomplete_status(join: Join, epoch: int, last: LogPosition) -> ReplicaStatus:
        """The status of an incomplete replica, which accepts a snapshot from the writer but has no vote on a takeover.

        ``last``: what it may hold, for another member whose replica is incomplete too.
        """
        return (
            ReplicaStatus(join.log, ReplicaVerdict.NO_VOTE, epoch, last)
            if join.takes_over
            else ReplicaStatus(join.log, ReplicaVerdict.GRANTED, epoch, NO_POSITION)
        )

    def _handle_part(self, sender: str, part: SnapshotPart, replica: LogReplica | None) -> list[HolderAction]:
        log = part.log
        if replica is None or replica.promised != part.epoch or replica.promised_to != sender:
            return self._rejection(sender, log, replica)
        if replica.complete and replica.last[0] == part.epoch and replica.last >= part.last:  # late: never go back
            return [Answer(sender, ReplicaStatus(log, ReplicaVerdict.GRANTED, part.epoch, replica.last))]
        if part.number == 0:
            replica.parts, replica.parts_bytes = [], 0
        if part.number != len(replica.parts) or replica.parts_bytes + len(part.data) > self.config.max_snapshot_bytes:
            return []
        replica.parts.append(part.data)
        replica.parts_bytes += len(part.data)
        if part.more:
            return [
                Answer(sender, ReplicaStatus(log, ReplicaVerdict.GRANTED, part.epoch, NO_POSITION, len(replica.parts)))
            ]
        data, replica.parts, replica.parts_bytes = b"".join(replica.parts), [], 0
        replica.last, replica.complete, replica.readable = part.last, True, True
        return [
            InstallSnapshot(log, part.last, data),
            Answer(sender, ReplicaStatus(log, ReplicaVerdict.GRANTED, part.epoch, part.last)),
        ]

    # Takeover.

    def handle_status(self, member: str, status: ReplicaStatus) -> list[HolderAction]:
        """Handles another holder's answer to a takeover that this member began."""
        replica = self.table.get(status.log)
        if replica is None or not replica.takeover_epoch:
            return []
        if status.verdict is ReplicaVerdict.FINISHED:
            return self.mark_finished(status.log, max(status.epoch, replica.promised))
        has_more = status.verdict is ReplicaVerdict.AHEAD or (
            not replica.complete and status.verdict is ReplicaVerdict.NO_VOTE and status.last > replica.last
        )
        replica.highest_seen_epoch, replica.behind = (
            max(replica.highest_seen_epoch, status.epoch),
            replica.behind or has_more,
        )
        replica.outbid = replica.outbid or (
            status.verdict is ReplicaVerdict.STALE_EPOCH and status.epoch >= replica.takeover_epoch
        )
        # An incomplete replica has lost the end of its log, if anything: records that it has beyond this one may be the
        # only ones.
        is_waited_for = replica.waits_for_silent and status.last > replica.last
        if status.verdict is ReplicaVerdict.NO_VOTE and not has_more and not is_waited_for:
            replica.without_vote.add(member)
        elif status.epoch == replica.takeover_epoch and status.verdict is ReplicaVerdict.GRANTED:
            replica.votes.add(member)
        return self._take_over_if_decided(status.log, replica)

    def _take_over_if_decided(self, log: LogId, replica: LogReplica) -> list[HolderAction]:
        holders, without_vote = self.holders(log[0]), replica.without_vote - replica.votes
        silent = set(holders) - {self.member} - replica.votes - without_vote
        if replica.complete and len(replica.votes) + 1 >= len(holders) // 2 + 1:
            without_vote = set()
        elif silent and (replica.waits_for_silent or not silent <= {log[0]}):
            return []  # a holder that has not answered may have more records
        epoch, replica.takeover_epoch = replica.takeover_epoch, 0
        if replica.last == NO_POSITION:
            return self._abandon(log, replica)
        previous_writer, replica.writer = replica.writer, self.identity
        return [TakenOver(log, epoch, replica.last, previous_writer, tuple(sorted(without_vote)))]

    def _abandon(self, log: LogId, replica: LogReplica) -> list[HolderAction]:
        del self.table[log]
        return [AbandonLog(log, replica.writer)]

    def _can_be_abandoned(self, log: LogId, replica: LogReplica) -> bool:
        """Whether the replica was never filled and has promised its epoch only to a process of the log's own member.

        Then nothing is lost with it, and no promise to a member that takes the log over is forgotten.
        """
        promised_to_owner = replica.promised_to.rpartition("#")[0] == log[0]
        return replica.readable and not replica.complete and replica.last == NO_POSITION and promised_to_owner

    def tick(self, now_ms: float) -> list[HolderAction]:
        """Begins the takeovers that are due, and drops empty replicas whose writer has been dead for long enough."""
        actions: list[HolderAction] = []
        for log, replica in list(self.table.items()):
            if replica.finished:
                continue
            if replica.writer == self.identity or self.is_alive(replica.writer):
                replica.writer_dead_since_ms, replica.takeover_epoch = None, 0
                continue
            if replica.writer_dead_since_ms is None:
                replica.writer_dead_since_ms = now_ms
            holders = self.holders(log[0])
            rank = holders.index(self.member) if self.member in holders else len(holders)
            first_attempt_ms = (
                replica.writer_dead_since_ms + self.config.takeover_delay_ms + rank * self.config.stagger_ms
            )
            retry_delay_ms = (self.config.retry_ms + rank * self.config.stagger_ms) * (4 if replica.behind else 1)
            if replica.outbid and not replica.behind:
                retry_delay_ms = (1 + rank) * self.config.stagger_ms
            if now_ms < max(first_attempt_ms, replica.last_attempt_ms + retry_delay_ms):
                continue
            if self._can_be_abandoned(log, replica):
                actions += self._abandon(log, replica)
                continue
            replica.waits_for_silent = (
                now_ms < replica.writer_dead_since_ms + self.config.patience_factor * self.config.takeover_delay_ms
            )
            # While it waits for silent holders, an incomplete replica leaves the takeover to a complete one.
            if not replica.readable or (replica.waits_for_silent and not replica.complete):
                continue
            replica.last_attempt_ms, replica.behind, replica.outbid = now_ms, False, False
            replica.votes, replica.without_vote = set(), set()
            replica.promised = replica.takeover_epoch = max(replica.promised, replica.highest_seen_epoch) + 1
            replica.promised_to = self.identity
            actions.append(Promise(log, replica.promised, replica.promised_to))
            actions += [
                SendToHolder(name, Join(log, replica.promised, replica.last, True))
                for name in holders
                if name != self.member
            ]
            actions += self._take_over_if_decided(log, replica)
        return actions
