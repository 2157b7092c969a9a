"""The writer of a copied log: whom it is copied to, how far each copy is, and when it may count on them. Without I/O;
the rules stand in `logs.py`."""

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

PART_BYTES = 256_000
WINDOW = 20_000  # records that a copy has not acknowledged; past that it is filled anew


class ReplicaState(IntEnum):
    AWAY = 0
    JOINING = 1
    FILLING = 2
    FOLLOWING = 3


@dataclass(slots=True)
class Copy:
    """What the writer knows of one."""

    state: ReplicaState = ReplicaState.AWAY
    at: int = 0  # the last sequence that it holds under this epoch
    parts: list[SnapshotPart] = field(default_factory=list)
    behind: deque[Append] = field(default_factory=deque)  # that came while it is filled
    waiting: int = 0  # records in those
    reachable: bool = False
    grant: ReplicaStatus | None = None  # the epoch of now, to this process
    asked: bool = False  # since the last look, so that one which does not answer is asked again


class LogWriter:
    """``others`` hold copies; of them ``needed_acks`` make a majority with this one. ``held_ms``: an answer waits no longer
    for them. ``elected_position``: the last record of the last time that it was elected; None: it took the log over, elected."""

    def __init__(
        self,
        log: LogId,
        epoch: int,
        last: LogPosition,
        others: tuple[str, ...],
        needed_acks: int,
        held_ms: float,
        elected_position: LogPosition | None,
    ) -> None:
        self.log, self.epoch, self.last, self.needed_acks, self.held_ms = log, epoch, last, needed_acks, held_ms
        self.takes = self.elected = elected_position is None
        self.elected_position = last if elected_position is None else elected_position
        self.replicas = {name: Copy() for name in others}
        self.replicated_sequence = 0
        self.waiting_ms = math.inf  # since when somebody waits for a majority
        self.awaited = 0  # the last record that somebody waits for
        self.gap_ms: float | None = None
        self.fenced = False

    @property
    def in_gap(self) -> bool:
        return self.gap_ms is not None

    def set_reachable(self, member: str, up: bool) -> list[WriterAction]:
        copy = self.replicas.get(member)
        if copy is None or self.fenced:
            return []
        self._away(copy)
        copy.reachable = up
        if not up:
            return []
        copy.state, copy.asked = ReplicaState.JOINING, True
        return [SendTo(member, Join(self.log, self.epoch, self.last if self.elected else self.elected_position))]

    @staticmethod
    def _away(copy: Copy) -> None:
        copy.state, copy.at, copy.waiting, copy.grant = ReplicaState.AWAY, 0, 0, None
        copy.parts.clear()
        copy.behind.clear()

    def handle_written(self, now_ms: float, first: int, records: tuple[Record, ...], waits: bool) -> list[WriterAction]:
        """These stand in the writer's own log. ``waits``: somebody is to be answered once a majority has them."""
        begins = self.last[0] != self.epoch
        self.last = self.epoch, first + len(records) - 1
        if waits and self.waiting_ms == math.inf:
            self.waiting_ms = now_ms
        if waits:
            self.awaited = self.last[1]
        word, actions = Append(self.log, self.epoch, first, records), list[WriterAction]()
        for member, copy in self.replicas.items():
            if copy.state is ReplicaState.FOLLOWING:
                if self.last[1] - copy.at > WINDOW:  # it does not keep up: it is filled once it answers
                    copy.state = ReplicaState.JOINING
                else:
                    actions.append(SendTo(member, word))
            elif copy.state is ReplicaState.FILLING:
                copy.behind.append(word)
                copy.waiting += len(records)
                if copy.waiting > WINDOW:
                    self._away(copy)
                    copy.state = ReplicaState.JOINING
        if begins:  # copies may have granted the epoch elected_position its first record was written
            for member, copy in self.replicas.items():
                if copy.grant is not None and copy.state is ReplicaState.JOINING:
                    actions += self.handle_status(now_ms, member, copy.grant)
        return actions

    def send_snapshot(self, member: str, data: bytes) -> list[WriterAction]:
        """All that a copy needs to go on from this process's last record."""
        copy = self.replicas[member]
        pieces = [data[at : at + PART_BYTES] for at in range(0, max(len(data), 1), PART_BYTES)]
        copy.parts = [
            SnapshotPart(self.log, self.epoch, self.last, number, number < len(pieces) - 1, piece)
            for number, piece in enumerate(pieces)
        ]
        copy.state = ReplicaState.FILLING
        return [SendTo(member, copy.parts[0])]

    def handle_status(self, now_ms: float, member: str, at: ReplicaStatus) -> list[WriterAction]:
        copy = self.replicas.get(member)
        if copy is None or self.fenced or not copy.reachable:
            return []
        copy.asked = True
        match at.verdict:
            case ReplicaVerdict.AHEAD:
                return self._fence(f"{member} holds records up to {at.last}, this process up to {self.last}")
            case ReplicaVerdict.STALE_EPOCH:
                if self.takes:
                    return self._fence(f"{member} has promised epoch {at.epoch} to another process")
                return self._raise(at.epoch)
            case ReplicaVerdict.FINISHED:
                return self._fence(f"{member} says that all of it was exported")
            case ReplicaVerdict.FULL | ReplicaVerdict.NO_VOTE:
                copy.state = ReplicaState.AWAY
                return []
        if at.epoch != self.epoch:
            return []
        if self.last[0] != self.epoch:
            copy.grant = at  # it counts once this process's first record of the epoch is written
            return []
        if not self.elected:
            return self._granted(now_ms, copy, at)
        return self._follows(now_ms, member, copy, at)

    def _granted(self, now_ms: float, copy: Copy, at: ReplicaStatus) -> list[WriterAction]:
        copy.grant = at
        granted = {name: one.grant for name, one in self.replicas.items() if one.grant is not None}
        # A copy without a word may have lost what another wrote meanwhile: it counts if none was elected_position, or all tell.
        sure = sum(told.last != NO_POSITION for told in granted.values())
        if (len(granted) if self.elected_position == NO_POSITION else sure) < self.needed_acks and len(granted) < len(
            self.replicas
        ):
            return []
        self.elected = True
        actions: list[WriterAction] = [Elected()]
        for member, told in granted.items():
            actions += self._follows(now_ms, member, self.replicas[member], told)
        return actions

    def _follows(self, now_ms: float, member: str, copy: Copy, at: ReplicaStatus) -> list[WriterAction]:
        if at.verdict is ReplicaVerdict.GAP and copy.state is ReplicaState.FOLLOWING:
            return [SnapshotNeeded(member)]
        if copy.state is ReplicaState.FILLING:
            if at.last[0] != self.epoch or at.parts_received:
                return (
                    [SendTo(member, copy.parts[at.parts_received])] if 0 < at.parts_received < len(copy.parts) else []
                )
            sends = [SendTo(member, word) for word in copy.behind]
            self._away(copy)
            copy.state, copy.at = ReplicaState.FOLLOWING, at.last[1]
            return [*sends, *self._count(now_ms)]
        if at.last[0] == self.epoch and copy.state is ReplicaState.FOLLOWING:
            copy.at = max(copy.at, at.last[1])
            return self._count(now_ms)
        if copy.state is ReplicaState.JOINING and at.last == self.last and at.last[0] == self.epoch:
            copy.state, copy.at = ReplicaState.FOLLOWING, at.last[1]
            return self._count(now_ms)
        return [SnapshotNeeded(member)]

    def _raise(self, promised: int) -> list[WriterAction]:
        """A takeover was begun and came to nothing, as far as this process knows."""
        if promised < self.epoch:
            return []  # told elected_position this process raised it last
        if self.elected:
            self.elected_position, self.elected = self.last, False
        self.epoch = promised + 1
        actions: list[WriterAction] = [EpochRaised(self.epoch, self.elected_position)]
        for member, copy in self.replicas.items():
            if copy.reachable:
                actions += self.set_reachable(member, True)
        return actions

    def _fence(self, cause: str) -> list[WriterAction]:
        self.fenced = True
        return [Fenced(cause)]

    def _count(self, now_ms: float) -> list[WriterAction]:
        places = sorted(
            (copy.at for copy in self.replicas.values() if copy.state is ReplicaState.FOLLOWING), reverse=True
        )
        if len(places) < self.needed_acks:
            return []
        upto = places[self.needed_acks - 1] if self.needed_acks else self.last[1]
        if upto <= self.replicated_sequence:
            return []
        self.replicated_sequence = upto
        self.waiting_ms = now_ms if upto < self.awaited else math.inf
        actions: list[WriterAction] = [Replicated(upto)]
        if self.gap_ms is not None and upto >= self.last[1]:
            actions.append(GapEnded(now_ms - self.gap_ms))
            self.gap_ms = None
        return actions

    def rejoin_replicas(self) -> list[WriterAction]:
        """At times, some seconds apart: whoever is in reach and does not follow is asked anew."""
        actions: list[WriterAction] = []
        for member, copy in self.replicas.items():
            if copy.reachable and copy.state is not ReplicaState.FOLLOWING and not copy.asked:
                actions += self.set_reachable(member, True)
            copy.asked = False
        return actions

    def tick(self, now_ms: float, due_ms: float = math.inf) -> list[WriterAction]:
        """``due_ms``: then somebody who waits must be answered."""
        waited_ms = now_ms - self.waiting_ms
        if self.gap_ms is not None or self.fenced or (waited_ms < self.held_ms and now_ms < due_ms):
            return []
        self.gap_ms = now_ms
        following = [name for name, copy in self.replicas.items() if copy.state is ReplicaState.FOLLOWING]
        return [
            GapBegan(
                f"of {len(following)} copies that follow ({self.needed_acks} must answer) too few did within "
                f"{max(waited_ms, 0.0):.0f} ms, and answers were due"
            ),
            Replicated(math.inf),
        ]
