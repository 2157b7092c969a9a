"""Copies of logs that other members write: what a copy promises and takes, and who goes on with a log once its writer
is dead. Without I/O; the rules stand in `logs.py`."""

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
    takeover_delay_ms: float = 60_000.0  # its writer is dead for so long
    patience_factor: float = (
        10.0  # so many times that, and a holder without a word is counted: more can't be had any more
    )
    stagger_ms: float = 1000.0  # between the first holder's try and the next one's
    retry_ms: float = 5000.0  # between two tries
    max_logs: int = 256  # held at once
    max_snapshot_bytes: int = 64 << 20  # of one that is filled


@dataclass(slots=True)
class LogReplica:
    promised: int
    promised_to: str  # the process that it was promised to
    writer: str  # the process whose records stand here
    last: LogPosition
    complete: bool  # all that it ever acknowledged stands here
    readable: bool = True  # what stands here can be read
    writer_dead_since_ms: float | None = None  # since when its writer is
    asked_ms: float = -math.inf
    votes: set[str] = field(default_factory=set)  # for a takeover by this member
    wordless: set[str] = field(default_factory=set)  # of the holders asked: these hold no more
    patient: bool = True  # a holder that says nothing may hold more, and is waited for
    taking: int = 0  # the epoch of that; 0: none is under way
    seen: int = 0  # the highest epoch that another holder has promised
    outbid: bool = False  # that is above the one asked for: the next try needs a higher one, and no wait
    behind: bool = False  # another holds more, and is the one to take it over
    parts: list[bytes] = field(default_factory=list)
    parts_bytes: int = 0
    finished: bool = False  # nothing of it is left but that


class LogReplicas:
    """``holders`` are those of a member's logs, that member first. ``lives`` tells whether a process does."""

    def __init__(
        self,
        me: str,
        identity: str,
        holders: Callable[[str], tuple[str, ...]],
        lives: Callable[[str], bool],
        config: HolderConfig | None = None,
    ) -> None:
        self.me, self.identity, self.holders, self.lives, self.config = (
            me,
            identity,
            holders,
            lives,
            config or HolderConfig(),
        )
        self.table: dict[LogId, LogReplica] = {}
        self.own_log: LogId | None = None  # that this process writes for its member: of that it is no second holder

    def restore(self, log: LogId, promised: int, by: str, last: LogPosition, complete: bool, finished: bool) -> None:
        self.table[log] = LogReplica(promised, by, by, last, complete, finished=finished)

    def reset_to_disk(
        self,
        log: LogId,
        promised: int,
        by: str,
        last: LogPosition,
        complete: bool,
        finished: bool,
        readable: bool = True,
    ) -> None:
        """The disk refused an action: this is what stands there, and all that counts. Whoever wrote the log last is
        known as before. ``complete`` False: it may lack what it acknowledged, until it is filled anew; ``readable`` False:
        what stands there can't be read now."""
        held = self.table.get(log)
        writer, dead_ms = (held.writer, held.writer_dead_since_ms) if held is not None else (by, None)
        self.table[log] = LogReplica(promised, by, writer, last, complete, readable, dead_ms, finished=finished)

    def discard(self, log: LogId) -> None:
        """Nothing of it could be kept: it is as if nobody had asked."""
        self.table.pop(log, None)

    def handle_message(self, by: str, word: LogMessage) -> list[HolderAction]:
        """By a process that writes a log, or wants to."""
        held = self.table.get(word.log)
        if word.log == self.own_log:
            return []  # it is still to hear that another has it
        if held is not None and held.finished:
            asks = isinstance(word, Join | Append | SnapshotPart)
            return (
                [Answer(by, ReplicaStatus(word.log, ReplicaVerdict.FINISHED, held.promised, held.last))] if asks else []
            )
        match word:
            case Join():
                return self._join(by, word, held)
            case Append(log, epoch, first, records):
                if held is None or held.promised != epoch or held.promised_to != by:
                    return self._refused(by, log, held)
                if first != held.last[1] + 1 or not held.complete:
                    return [Answer(by, ReplicaStatus(log, ReplicaVerdict.GAP, epoch, held.last))]
                held.last = epoch, first + len(records) - 1
                return [
                    WriteRecords(log, epoch, first, records),
                    Answer(by, ReplicaStatus(log, ReplicaVerdict.GRANTED, epoch, held.last)),
                ]
            case SnapshotPart():
                return self._part(by, word, held)
            case Exported(log):
                return [RecordExport(word)] if held is not None else []
            case LogFinished(log, epoch):
                return self.mark_finished(log, epoch) if held is not None and epoch >= held.promised else []
        return []

    def announce_finished(self, member: str) -> list[HolderAction]:
        """That member is in reach again: it may not have heard of what ended meanwhile, and holds it for ever."""
        return [
            SendToHolder(member, LogFinished(log, held.promised))
            for log, held in self.table.items()
            if held.finished and member in self.holders(log[0])
        ]

    def mark_finished(self, log: LogId, epoch: int) -> list[HolderAction]:
        held = self.table[log]
        self.table[log] = LogReplica(epoch, held.promised_to, held.writer, held.last, False, finished=True)
        return [MarkFinished(log, epoch)]

    def _refused(self, by: str, log: LogId, held: LogReplica | None) -> list[HolderAction]:
        if held is None:
            return [Answer(by, ReplicaStatus(log, ReplicaVerdict.NO_VOTE, 0, NO_POSITION))]
        return [Answer(by, ReplicaStatus(log, ReplicaVerdict.STALE_EPOCH, held.promised, held.last))]

    def _join(self, by: str, word: Join, held: LogReplica | None) -> list[HolderAction]:
        log, epoch = word.log, word.epoch
        if word.takes_over and not self._can_tell(log, held):
            return []
        if held is None:
            if word.takes_over:
                return self._refused(by, log, None)
            actions: list[HolderAction] = self._make_room()
            if len(self.table) >= self.config.max_logs or self.me not in self.holders(log[0]):
                return [Answer(by, ReplicaStatus(log, ReplicaVerdict.FULL, 0, NO_POSITION))]
            self.table[log] = LogReplica(epoch, by, by, NO_POSITION, False)
            self._left(by, log)
            return [*actions, Promise(log, epoch, by), Answer(by, self._no_vote(word, epoch, NO_POSITION))]
        if epoch < held.promised or (epoch == held.promised and by != held.promised_to):
            return self._refused(by, log, held)
        own = (word.epoch, by) == (held.promised, held.promised_to) and held.last[
            0
        ] == word.epoch  # and the question is late
        if held.complete and held.last > word.last and not own:
            return [Answer(by, ReplicaStatus(log, ReplicaVerdict.AHEAD, held.promised, held.last))]
        actions = []
        if (epoch, by) != (held.promised, held.promised_to):
            held.promised, held.promised_to, held.taking = epoch, by, 0
            actions.append(Promise(log, epoch, by))
        if not word.takes_over:
            held.writer, held.writer_dead_since_ms = by, None
            self._left(by, log)
        held.parts, held.parts_bytes = [], 0
        if not held.complete:
            return [*actions, Answer(by, self._no_vote(word, epoch, held.last))]
        return [*actions, Answer(by, ReplicaStatus(log, ReplicaVerdict.GRANTED, epoch, held.last))]

    def _can_tell(self, log: LogId, held: LogReplica | None) -> bool:
        """What stands here of a log is known. A word that nothing does would count in a takeover, so none is said
        while the log may be this member's own, which is not opened yet, or while its copy can't be read."""
        if held is None:
            return log[0] != self.me or self.own_log is not None
        return held.readable or not held.patient

    def _left(self, by: str, log: LogId) -> None:
        """A process writes one log of its own member: an earlier one was another's before it knew."""
        for (member, life), held in self.table.items():
            if (member, held.writer) == (log[0], by) and life != log[1] and by.rpartition("#")[0] == member:
                held.writer = ""

    def _make_room(self) -> list[HolderAction]:
        """What is over is remembered while there is room: a holder that was away then hears of it."""
        past = [log for log, held in self.table.items() if held.finished]
        return [DeleteReplica(self._dropped(log)) for log in past[: max(0, len(self.table) + 1 - self.config.max_logs)]]

    def _dropped(self, log: LogId) -> LogId:
        del self.table[log]
        return log

    @staticmethod
    def _no_vote(word: Join, epoch: int, last: LogPosition) -> ReplicaStatus:
        """It can be filled by whoever writes the log, and has no word on who takes it over; ``last``: what it may hold,
        for another that is unsure too."""
        return (
            ReplicaStatus(word.log, ReplicaVerdict.NO_VOTE, epoch, last)
            if word.takes_over
            else ReplicaStatus(word.log, ReplicaVerdict.GRANTED, epoch, NO_POSITION)
        )

    def _part(self, by: str, word: SnapshotPart, held: LogReplica | None) -> list[HolderAction]:
        log = word.log
        if held is None or held.promised != word.epoch or held.promised_to != by:
            return self._refused(by, log, held)
        if held.complete and held.last[0] == word.epoch and held.last >= word.last:  # it comes late: nothing goes back
            return [Answer(by, ReplicaStatus(log, ReplicaVerdict.GRANTED, word.epoch, held.last))]
        if word.number == 0:
            held.parts, held.parts_bytes = [], 0
        if word.number != len(held.parts) or held.parts_bytes + len(word.data) > self.config.max_snapshot_bytes:
            return []
        held.parts.append(word.data)
        held.parts_bytes += len(word.data)
        if word.more:
            return [Answer(by, ReplicaStatus(log, ReplicaVerdict.GRANTED, word.epoch, NO_POSITION, len(held.parts)))]
        data, held.parts, held.parts_bytes = b"".join(held.parts), [], 0
        held.last, held.complete, held.readable = word.last, True, True
        return [
            InstallSnapshot(log, word.last, data),
            Answer(by, ReplicaStatus(log, ReplicaVerdict.GRANTED, word.epoch, word.last)),
        ]

    # Takeover.

    def handle_status(self, member: str, at: ReplicaStatus) -> list[HolderAction]:
        """By another holder, of a takeover that this member began."""
        held = self.table.get(at.log)
        if held is None or not held.taking:
            return []
        if at.verdict is ReplicaVerdict.FINISHED:
            return self.mark_finished(at.log, max(at.epoch, held.promised))
        more = at.verdict is ReplicaVerdict.AHEAD or (
            not held.complete and at.verdict is ReplicaVerdict.NO_VOTE and at.last > held.last
        )
        held.seen, held.behind = max(held.seen, at.epoch), held.behind or more
        held.outbid = held.outbid or (at.verdict is ReplicaVerdict.STALE_EPOCH and at.epoch >= held.taking)
        # An unsure copy has lost the end of its log, if anything: what it holds beyond this one may be all there is.
        waited_for = held.patient and at.last > held.last
        if at.verdict is ReplicaVerdict.NO_VOTE and not more and not waited_for:
            held.wordless.add(member)
        elif at.epoch == held.taking and at.verdict is ReplicaVerdict.GRANTED:
            held.votes.add(member)
        return self._majority(at.log, held)

    def _majority(self, log: LogId, held: LogReplica) -> list[HolderAction]:
        holders, wordless = self.holders(log[0]), held.wordless - held.votes
        silent = set(holders) - {self.me} - held.votes - wordless
        if held.complete and len(held.votes) + 1 >= len(holders) // 2 + 1:
            wordless = set()
        elif silent and (held.patient or not silent <= {log[0]}):
            return []  # one that does not answer may hold more
        epoch, held.taking = held.taking, 0
        if held.last == NO_POSITION:
            return self._lost(log, held)
        of, held.writer = held.writer, self.identity
        return [TakenOver(log, epoch, held.last, of, tuple(sorted(wordless)))]

    def _lost(self, log: LogId, held: LogReplica) -> list[HolderAction]:
        del self.table[log]
        return [AbandonLog(log, held.writer)]

    def _never_filled(self, log: LogId, held: LogReplica) -> bool:
        """Nothing is lost with this copy, and no promise is forgotten that it gave to who takes the log over: it gave
        one to processes of the log's own member alone."""
        own = held.promised_to.rpartition("#")[0] == log[0]
        return held.readable and not held.complete and held.last == NO_POSITION and own

    def tick(self, now_ms: float) -> list[HolderAction]:
        actions: list[HolderAction] = []
        for log, held in list(self.table.items()):
            if held.finished:
                continue
            if held.writer == self.identity or self.lives(held.writer):
                held.writer_dead_since_ms, held.taking = None, 0
                continue
            if held.writer_dead_since_ms is None:
                held.writer_dead_since_ms = now_ms
            holders = self.holders(log[0])
            rank = holders.index(self.me) if self.me in holders else len(holders)
            due_ms = held.writer_dead_since_ms + self.config.takeover_delay_ms + rank * self.config.stagger_ms
            again_ms = (self.config.retry_ms + rank * self.config.stagger_ms) * (4 if held.behind else 1)
            if held.outbid and not held.behind:
                again_ms = (1 + rank) * self.config.stagger_ms
            if now_ms < max(due_ms, held.asked_ms + again_ms):
                continue
            if self._never_filled(log, held):
                actions += self._lost(log, held)
                continue
            held.patient = (
                now_ms < held.writer_dead_since_ms + self.config.patience_factor * self.config.takeover_delay_ms
            )
            if not held.readable or (held.patient and not held.complete):  # a sure one may be there yet
                continue
            held.asked_ms, held.behind, held.outbid = now_ms, False, False
            held.votes, held.wordless = set(), set()
            held.promised = held.taking = max(held.promised, held.seen) + 1
            held.promised_to = self.identity
            actions.append(Promise(log, held.promised, held.promised_to))
            actions += [
                SendToHolder(name, Join(log, held.promised, held.last, True)) for name in holders if name != self.me
            ]
            actions += self._majority(log, held)
        return actions
