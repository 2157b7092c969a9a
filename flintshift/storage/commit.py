"""Group commit for a log, as a state machine without I/O: decides when to sync and to begin a segment.

The owner writes records itself (one system call for all records of one iteration of the event loop) and reports each
write here. The returned actions say when to sync, to begin a segment, to release answers and to treat the disk as
failed. One disk operation is in progress at a time. An answer waits for the disk for ``max_wait_ms`` at most, whatever
the disk does: the caller of a request that has run gets its answer. After that wait, as after a failed write, a gap
begins: records are kept in memory only, until a snapshot of everything is written and a new segment begins after it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CommitLimits:
    """Durations and bounds of the group commit, and what waits for a sync."""

    sync_enabled: bool = True  # records are synced within ``sync_ms``; if False, only on request
    hold_answers: bool = False  # answers wait for that sync
    sync_ms: float = 50.0
    max_wait_ms: float = 250.0
    reopen_interval_ms: float = 1000.0  # between two attempts to end a gap
    segment_bytes: int = 16 << 20


# Events.


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of an earlier ``WakeAt`` has come."""


@dataclass(frozen=True, slots=True)
class WriteBlocked:
    """Records wait to be written while a segment is begun."""


@dataclass(frozen=True, slots=True)
class SyncRequested:
    """The owner needs this sequence synced before it continues."""

    sequence: int


@dataclass(frozen=True, slots=True)
class OperationFailed:
    """A write, or the operation in progress, failed."""

    cause: str
    write: bool = False


@dataclass(frozen=True, slots=True)
class OperationCompleted:
    """The operation in progress has succeeded."""


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """The process is about to end: a gap is to be ended now, without the usual interval."""


CommitEvent = TimerFired | WriteBlocked | SyncRequested | OperationFailed | OperationCompleted | ShuttingDown


# Actions.


@dataclass(frozen=True, slots=True)
class Sync:
    """Sync all records that were written so far."""

    pass


@dataclass(frozen=True, slots=True)
class BeginSegment:
    """Begin a segment; write nothing until that is done."""


@dataclass(frozen=True, slots=True)
class Reopen:
    """Write a snapshot of everything, begin a segment after it, and write to it the records that arrived meanwhile."""


@dataclass(frozen=True, slots=True)
class ReleaseAnswers:
    """Answers up to this sequence may be sent."""

    up_to: float


@dataclass(frozen=True, slots=True)
class ResumeWrites:
    """Blocked records may be written now, or kept in memory if there is a gap."""


@dataclass(frozen=True, slots=True)
class GapBegan:
    """Report that the disk failed, and that records are kept in memory only from here on."""

    cause: str


@dataclass(frozen=True, slots=True)
class GapEnded:
    """Report that the disk works again, and that the records of the gap are written."""

    since_ms: float
    requests: int
    cause: str


@dataclass(frozen=True, slots=True)
class ReopenFailed:
    """Report that an attempt to end the gap failed."""

    cause: str


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send ``TimerFired`` at this time."""

    at_ms: float


Operation = Sync | BeginSegment | Reopen
CommitAction = Operation | ReleaseAnswers | ResumeWrites | GapBegan | GapEnded | ReopenFailed | WakeAt


@dataclass(slots=True)
class Gap:
    """The current period without a working disk, in which records are kept in memory only."""

    since_ms: float
    requests: int
    cause: str


class GroupCommit:
    """Decides on the operations of one log. All times are of one monotonic clock."""

    def __init__(self, limits: CommitLimits, synced: int) -> None:
        self.limits = limits
        self.written = self.synced = synced  # sequences
        self.segment_size = 0  # bytes
        self.operation_in_progress: Operation | None = None
        self.sync_covers = 0  # the last sequence that the sync in progress covers
        self.requested = 0  # the last sequence for which a sync was requested
        self.sync_due_ms = math.inf  # when the next sync is due
        self.waiting_answers: deque[tuple[int, float]] = deque()  # sequence, and since when its answers wait
        self.blocked_since_ms = math.inf  # since when records wait for a new segment
        self.last_reopen_ms = -math.inf
        self.gap: Gap | None = None

    @property
    def writes_blocked(self) -> bool:
        """Whether nothing may be written now."""
        return self.gap is None and isinstance(self.operation_in_progress, BeginSegment)

    def on_write(self, now_ms: float, sequence: int, size: int, requests: int) -> list[CommitAction]:
        """Handle a write: records up to ``sequence`` are in the segment, now of ``size`` bytes, or in memory in a gap.

        ``requests`` of these records are requests, whose answers wait if ``hold_answers`` is set. This is a method of
        its own rather than an event, as it is called for each write."""
        self.written, self.segment_size = sequence, size
        if self.gap is not None:
            self.gap.requests += requests
            return []
        if requests and self.limits.hold_answers:
            self.waiting_answers.append((sequence, now_ms))
        if self.sync_due_ms != math.inf and size < self.limits.segment_bytes:
            return []  # the timer for that sync is set, and fires before any answer has waited too long
        if self.limits.sync_enabled:
            self.sync_due_ms = min(self.sync_due_ms, now_ms + self.limits.sync_ms)
        return self._next_actions(now_ms)

    def handle(self, now_ms: float, event: CommitEvent) -> list[CommitAction]:
        """Handle an event; returns the actions for the owner to take."""
        match event:
            case TimerFired():
                if self._longest_wait_ms(now_ms) >= self.limits.max_wait_ms:
                    return self._begin_gap(now_ms, f"the disk hangs for {self.limits.max_wait_ms:g} ms")
                return self._next_actions(now_ms)
            case WriteBlocked():
                self.blocked_since_ms = min(self.blocked_since_ms, now_ms)
                return [WakeAt(self.blocked_since_ms + self.limits.max_wait_ms)]
            case SyncRequested(sequence):
                self.requested = max(self.requested, sequence)
                return self._next_actions(now_ms)
            case OperationFailed(cause, write):
                ended = None if write else self._end_operation()
                if isinstance(ended, Reopen):
                    return [ReopenFailed(cause), *self._next_actions(now_ms)]
                return self._begin_gap(now_ms, cause)
            case OperationCompleted():
                return self._on_completion(now_ms, self._end_operation())
            case ShuttingDown():
                self.last_reopen_ms = -math.inf
                return self._next_actions(now_ms)

    def _end_operation(self) -> Operation | None:
        ended, self.operation_in_progress = self.operation_in_progress, None
        return ended

    def _on_completion(self, now_ms: float, ended: Operation | None) -> list[CommitAction]:
        actions: list[CommitAction] = []
        if isinstance(ended, Reopen) and self.gap is not None:
            gap, self.gap = self.gap, None
            self.sync_due_ms = now_ms  # records that came meanwhile are written, but not synced
            actions.append(GapEnded(gap.since_ms, gap.requests, gap.cause))
        elif isinstance(ended, Sync) and self.gap is None:
            self.synced = self.sync_covers
            while self.waiting_answers and self.waiting_answers[0][0] <= self.synced:
                self.waiting_answers.popleft()
            actions.append(ReleaseAnswers(self.synced))
            if self.written > self.synced and self.limits.sync_enabled:
                self.sync_due_ms = min(self.sync_due_ms, now_ms + self.limits.sync_ms)
        elif isinstance(ended, BeginSegment) and self.gap is None:
            self.blocked_since_ms, self.segment_size = math.inf, 0
            actions.append(ResumeWrites())
        return actions + self._next_actions(now_ms)

    def _begin_gap(self, now_ms: float, cause: str) -> list[CommitAction]:
        actions: list[CommitAction] = []
        if self.gap is None:
            self.gap, self.last_reopen_ms = Gap(now_ms, 0, cause), now_ms
            self.waiting_answers.clear()
            self.sync_due_ms = self.blocked_since_ms = math.inf
            actions = [GapBegan(cause), ReleaseAnswers(math.inf), ResumeWrites()]
        return actions + self._next_actions(now_ms)

    def _longest_wait_ms(self, now_ms: float) -> float:
        since = min(self.waiting_answers[0][1] if self.waiting_answers else math.inf, self.blocked_since_ms)
        return now_ms - since if self.gap is None else -math.inf

    def _next_actions(self, now_ms: float) -> list[CommitAction]:
        """Return the operation that is due, or when to wake up for the next one."""
        wake_times_ms = [entry[1] + self.limits.max_wait_ms for entry in list(self.waiting_answers)[:1]]
        if self.operation_in_progress is None:
            operation, at_ms = self._next_operation(now_ms)
            if operation is not None:
                self.operation_in_progress = operation
                return [operation, *map(WakeAt, wake_times_ms)]
            wake_times_ms.append(at_ms)
        return [WakeAt(at_ms) for at_ms in wake_times_ms if at_ms != math.inf]

    def _next_operation(self, now_ms: float) -> tuple[Operation | None, float]:
        if self.gap is not None:
            at_ms = self.last_reopen_ms + self.limits.reopen_interval_ms
            if now_ms < at_ms:
                return None, at_ms
            self.last_reopen_ms = now_ms
            return Reopen(), now_ms
        if self.segment_size >= self.limits.segment_bytes:
            return BeginSegment(), now_ms
        if self.requested > self.synced or now_ms >= self.sync_due_ms:
            self.sync_covers, self.sync_due_ms = self.written, math.inf
            return Sync(), now_ms
        return None, self.sync_due_ms
