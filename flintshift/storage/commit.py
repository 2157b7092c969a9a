"""Group commit, new segments, and a disk that refuses or hangs: what is done to a log, and when. Without I/O.

The owner writes records by itself (one call of the system for all that came in one turn) and tells it here; it is
told when to sync, to begin a segment, to release answers, and to take the disk for one that refuses. One operation
is under way at a time. An answer waits for the disk no longer than ``max_wait_ms``, whatever the disk does: what was
run is answered. From then on, as after a refusal, there is a gap: records stand in memory alone until a snapshot of all
is written and a new segment begun behind it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CommitLimits:
    sync_enabled: bool = True  # records are synced within ``sync_ms``; else only where it is asked for
    hold_answers: bool = False  # answers wait for that sync
    sync_ms: float = 50.0
    max_wait_ms: float = 250.0
    reopen_interval_ms: float = 1000.0  # between two tries to end a gap
    segment_bytes: int = 16 << 20


# Told.


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class WriteBlocked:
    """Something waits to be written while a segment is begun."""


@dataclass(frozen=True, slots=True)
class SyncRequested:
    """This sequence must be synced before its owner goes on."""

    sequence: int


@dataclass(frozen=True, slots=True)
class OperationFailed:
    """A write, or the operation that was under way, failed."""

    cause: str
    write: bool = False


@dataclass(frozen=True, slots=True)
class OperationCompleted:
    """The operation that was under way has ended well."""


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """The process is about to end: a gap is to be ended now, not after the usual wait."""


CommitEvent = TimerFired | WriteBlocked | SyncRequested | OperationFailed | OperationCompleted | ShuttingDown


# Answered.


@dataclass(frozen=True, slots=True)
class Sync:
    pass


@dataclass(frozen=True, slots=True)
class BeginSegment:
    """Write nothing until it is done."""


@dataclass(frozen=True, slots=True)
class Reopen:
    """Write a snapshot of all, begin a segment behind it, and write there what came meanwhile."""


@dataclass(frozen=True, slots=True)
class ReleaseAnswers:
    """Answers up to this sequence may leave."""

    upto: float


@dataclass(frozen=True, slots=True)
class ResumeWrites:
    """What was stalled may be written now, or booked in memory where there is a gap."""


@dataclass(frozen=True, slots=True)
class GapBegan:
    cause: str


@dataclass(frozen=True, slots=True)
class GapEnded:
    since_ms: float
    requests: int
    cause: str


@dataclass(frozen=True, slots=True)
class ReopenFailed:
    cause: str


@dataclass(frozen=True, slots=True)
class WakeAt:
    at_ms: float


Operation = Sync | BeginSegment | Reopen
CommitAction = Operation | ReleaseAnswers | ResumeWrites | GapBegan | GapEnded | ReopenFailed | WakeAt


@dataclass(slots=True)
class Gap:
    since_ms: float
    requests: int
    cause: str


class GroupCommit:
    """All times are of one steady clock."""

    def __init__(self, limits: CommitLimits, synced: int) -> None:
        self.limits = limits
        self.written = self.synced = synced  # sequences
        self.size = 0  # of the segment
        self.operation_in_progress: Operation | None = None
        self.upto = 0  # what the sync under way covers
        self.requested = 0  # a sequence that somebody waits to see synced
        self.due_ms = math.inf  # of the next sync
        self.waiting_answers: deque[tuple[int, float]] = deque()  # since when answers up to a sequence wait
        self.stalled_ms = math.inf  # since when something waits for a segment
        self.tried_ms = -math.inf
        self.gap: Gap | None = None

    @property
    def writes_blocked(self) -> bool:
        """Nothing may be written now."""
        return self.gap is None and isinstance(self.operation_in_progress, BeginSegment)

    def on_write(self, now_ms: float, sequence: int, size: int, requests: int) -> list[CommitAction]:
        """Records up to this sequence stand in the segment, which has this size; or in memory, in a gap. Of them so
        many are requests, whose answers wait where ``hold_answers``. (No event: it comes with each write.)"""
        self.written, self.size = sequence, size
        if self.gap is not None:
            self.gap.requests += requests
            return []
        if requests and self.limits.hold_answers:
            self.waiting_answers.append((sequence, now_ms))
        if self.due_ms != math.inf and size < self.limits.segment_bytes:
            return []  # the wake-up for that sync is set, and comes before any answer has waited too long
        if self.limits.sync_enabled:
            self.due_ms = min(self.due_ms, now_ms + self.limits.sync_ms)
        return self._next(now_ms)

    def handle(self, now_ms: float, event: CommitEvent) -> list[CommitAction]:
        match event:
            case TimerFired():
                if self._waited_ms(now_ms) >= self.limits.max_wait_ms:
                    return self._begin_gap(now_ms, f"the disk hangs for {self.limits.max_wait_ms:g} ms")
                return self._next(now_ms)
            case WriteBlocked():
                self.stalled_ms = min(self.stalled_ms, now_ms)
                return [WakeAt(self.stalled_ms + self.limits.max_wait_ms)]
            case SyncRequested(sequence):
                self.requested = max(self.requested, sequence)
                return self._next(now_ms)
            case OperationFailed(cause, write):
                over = None if write else self._over()
                if isinstance(over, Reopen):
                    return [ReopenFailed(cause), *self._next(now_ms)]
                return self._begin_gap(now_ms, cause)
            case OperationCompleted():
                return self._done(now_ms, self._over())
            case ShuttingDown():
                self.tried_ms = -math.inf
                return self._next(now_ms)

    def _over(self) -> Operation | None:
        over, self.operation_in_progress = self.operation_in_progress, None
        return over

    def _done(self, now_ms: float, over: Operation | None) -> list[CommitAction]:
        actions: list[CommitAction] = []
        if isinstance(over, Reopen) and self.gap is not None:
            gap, self.gap = self.gap, None
            self.due_ms = now_ms  # what came meanwhile is written, not synced
            actions.append(GapEnded(gap.since_ms, gap.requests, gap.cause))
        elif isinstance(over, Sync) and self.gap is None:
            self.synced = self.upto
            while self.waiting_answers and self.waiting_answers[0][0] <= self.synced:
                self.waiting_answers.popleft()
            actions.append(ReleaseAnswers(self.synced))
            if self.written > self.synced and self.limits.sync_enabled:
                self.due_ms = min(self.due_ms, now_ms + self.limits.sync_ms)
        elif isinstance(over, BeginSegment) and self.gap is None:
            self.stalled_ms, self.size = math.inf, 0
            actions.append(ResumeWrites())
        return actions + self._next(now_ms)

    def _begin_gap(self, now_ms: float, cause: str) -> list[CommitAction]:
        actions: list[CommitAction] = []
        if self.gap is None:
            self.gap, self.tried_ms = Gap(now_ms, 0, cause), now_ms
            self.waiting_answers.clear()
            self.due_ms = self.stalled_ms = math.inf
            actions = [GapBegan(cause), ReleaseAnswers(math.inf), ResumeWrites()]
        return actions + self._next(now_ms)

    def _waited_ms(self, now_ms: float) -> float:
        since = min(self.waiting_answers[0][1] if self.waiting_answers else math.inf, self.stalled_ms)
        return now_ms - since if self.gap is None else -math.inf

    def _next(self, now_ms: float) -> list[CommitAction]:
        """The operation that is due, or when one will be."""
        wakes = [one[1] + self.limits.max_wait_ms for one in list(self.waiting_answers)[:1]]
        if self.operation_in_progress is None:
            operation, at_ms = self._due(now_ms)
            if operation is not None:
                self.operation_in_progress = operation
                return [operation, *map(WakeAt, wakes)]
            wakes.append(at_ms)
        return [WakeAt(at_ms) for at_ms in wakes if at_ms != math.inf]

    def _due(self, now_ms: float) -> tuple[Operation | None, float]:
        if self.gap is not None:
            at_ms = self.tried_ms + self.limits.reopen_interval_ms
            if now_ms < at_ms:
                return None, at_ms
            self.tried_ms = now_ms
            return Reopen(), now_ms
        if self.size >= self.limits.segment_bytes:
            return BeginSegment(), now_ms
        if self.requested > self.synced or now_ms >= self.due_ms:
            self.upto, self.due_ms = self.written, math.inf
            return Sync(), now_ms
        return None, self.due_ms
