"""Group commit in simulated runs of records, timers and operations that succeed, fail, come late or never end."""

from __future__ import annotations

import copy
import itertools
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintshift.storage.commit import (
    BeginSegment,
    CommitLimits,
    GapBegan,
    GapEnded,
    GroupCommit,
    OperationCompleted,
    OperationFailed,
    ReleaseAnswers,
    Reopen,
    ReopenFailed,
    ResumeWrites,
    Sync,
    SyncRequested,
    TimerFired,
    WakeAt,
    WriteBlocked,
)

LIMITS = CommitLimits(hold_answers=True, sync_ms=10.0, max_wait_ms=50.0, reopen_interval_ms=100.0, segment_bytes=30)
OPERATIONS = (Sync, BeginSegment, Reopen)


class SimOwner:
    """Takes the actions of a group commit as its owner does, and checks its invariants at each step."""

    def __init__(self, limits=LIMITS):
        self.commit, self.limits, self.now = GroupCommit(limits, 0), limits, 0.0
        self.sequence = self.size = 0
        self.waiting = {}  # since when an answer waits, by sequence
        self.blocked = []  # since when each blocked record waits
        self.operation = None
        self.wake_times = []
        self.durable = 0
        self.sync_covers = 0
        self.disk_works = True

    def act(self, actions):
        for action in actions:
            match action:
                case Sync() | BeginSegment() | Reopen():
                    assert self.operation is None, "one operation at a time"
                    self.operation, self.sync_covers = action, self.sequence
                case ReleaseAnswers(up_to):
                    for sequence in [waiting for waiting in self.waiting if waiting <= up_to]:
                        assert sequence <= self.durable or self.commit.gap is not None, "released before its sync"
                        del self.waiting[sequence]
                case ResumeWrites():
                    resumed, self.blocked = self.blocked, []
                    for _ in resumed:
                        self.write()
                case WakeAt(at_ms):
                    assert at_ms >= self.now
                    self.wake_times.append(at_ms)
                case GapEnded(since_ms, requests, _):
                    assert since_ms <= self.now and requests >= 0

    def write(self):
        if self.commit.writes_blocked:
            self.blocked.append(self.now)
            self.act(self.commit.handle(self.now, WriteBlocked()))
            return
        self.sequence += 1
        self.size += 7
        if self.limits.hold_answers:
            self.waiting[self.sequence] = self.now
        actions = []
        if self.commit.gap is None and not self.disk_works:
            actions = self.commit.handle(self.now, OperationFailed("refused", write=True))
        self.act(actions + self.commit.on_write(self.now, self.sequence, self.size, 1))
        if self.commit.gap is not None:
            self.act([ReleaseAnswers(math.inf)])

    def end_operation(self, succeeds):
        operation, self.operation = self.operation, None
        if succeeds and isinstance(operation, Sync):
            self.durable = max(self.durable, self.sync_covers)
        if succeeds and isinstance(operation, BeginSegment | Reopen):
            self.size = 0
        self.act(self.commit.handle(self.now, OperationCompleted() if succeeds else OperationFailed("refused")))

    def advance(self, ms):
        """Let time pass, with each timer fired on time."""
        until = self.now + ms
        while due := [at for at in self.wake_times if at <= until]:
            self.now = max(self.now, min(due))
            self.wake_times = [at for at in self.wake_times if at > self.now]
            self.act(self.commit.handle(self.now, TimerFired()))
            self.check()
        self.now = until

    def check(self):
        oldest = min([*self.waiting.values(), *self.blocked], default=math.inf)
        assert self.now - oldest <= self.limits.max_wait_ms, "an answer waits too long"
        assert (self.operation is None) == (self.commit.operation_in_progress is None)
        if self.waiting or self.blocked or self.commit.gap is not None:
            assert self.wake_times or self.operation is not None, "something waits, and no event will come"
        assert len(self.commit.waiting_answers) <= len(self.waiting) + 1


steps = st.lists(
    st.one_of(
        st.just(("write",)),
        st.just(("write",)),
        st.tuples(st.just("advance"), st.sampled_from([1.0, 9.0, 10.0, 51.0, 200.0])),
        st.tuples(st.just("end"), st.booleans()),
        st.just(("request sync",)),
        st.tuples(st.just("disk"), st.booleans()),
    ),
    max_size=60,
)


@given(steps, st.booleans(), st.booleans())
@settings(max_examples=400, deadline=None, derandomize=True)
def test_invariants_hold_in_random_runs(steps, sync_enabled, hold_answers):
    run = SimOwner(CommitLimits(sync_enabled or hold_answers, hold_answers, 10.0, 50.0, 100.0, 30))
    for step in steps:
        match step:
            case ("write",):
                run.write()
            case ("advance", ms):
                run.advance(ms)
            case ("end", succeeds) if run.operation is not None:
                run.end_operation(succeeds)
            case ("request sync",):
                run.act(run.commit.handle(run.now, SyncRequested(run.sequence)))
            case ("disk", works):
                run.disk_works = works
        run.check()
    # After any run, a disk that works again ends the gap, and everything that someone waits for is synced.
    run.disk_works = True
    run.act(run.commit.handle(run.now, SyncRequested(run.sequence)))
    for _ in range(12):
        if run.operation is not None:
            run.end_operation(True)
        run.advance(100.0)
        run.check()
    assert run.commit.gap is None and not run.waiting and not run.blocked
    assert (
        run.durable >= run.sequence or not (sync_enabled or hold_answers) or run.commit.synced >= run.commit.requested
    )


def test_invariants_hold_in_every_short_run():
    """Tries all runs of up to six steps."""
    moves = ("write", "end", "fail", "tick", "wait", "break")
    count = 0

    def explore(run, depth):
        nonlocal count
        count += 1
        if depth == 0:
            return
        for move in moves:
            if move in ("end", "fail") and run.operation is None:
                continue
            branch = copy.deepcopy(run)
            match move:
                case "write":
                    branch.write()
                case "end" | "fail":
                    branch.end_operation(move == "end")
                case "tick":
                    branch.advance(10.0)
                case "wait":
                    branch.advance(60.0)
                case "break":
                    branch.disk_works = not branch.disk_works
            branch.check()
            explore(branch, depth - 1)

    explore(SimOwner(CommitLimits(True, True, 10.0, 50.0, 100.0, 14)), 6)
    assert count > 5000


def test_records_within_the_sync_delay_share_a_sync():
    run = SimOwner()
    for _ in range(4):
        run.write()
    assert run.operation is None
    run.advance(10.0)
    assert run.operation == Sync() and len(run.waiting) == 4
    run.end_operation(True)
    assert not run.waiting and run.durable == 4


def test_a_record_written_during_a_sync_waits_for_the_next_sync():
    run = SimOwner()
    run.write()
    run.advance(10.0)
    run.write()
    run.end_operation(True)
    assert list(run.waiting) == [2]
    run.advance(10.0)
    run.end_operation(True)
    assert not run.waiting


def test_a_failed_write_begins_a_gap_that_ends_with_a_reopen_and_reports_its_requests():
    commit = GroupCommit(LIMITS, 0)
    assert commit.handle(5.0, OperationFailed("full", write=True)) == [
        GapBegan("full"),
        ReleaseAnswers(math.inf),
        ResumeWrites(),
        WakeAt(105.0),
    ]
    for sequence in (1, 2, 3):
        assert commit.on_write(6.0, sequence, 10, 1) == []
    assert commit.handle(104.0, TimerFired()) == [WakeAt(105.0)]
    assert commit.handle(105.0, TimerFired()) == [Reopen()]
    assert commit.handle(106.0, OperationFailed("full")) == [ReopenFailed("full"), WakeAt(205.0)]
    assert commit.handle(205.0, TimerFired()) == [Reopen()]
    actions = commit.handle(206.0, OperationCompleted())
    assert actions[0] == GapEnded(5.0, 3, "full") and commit.gap is None


def test_without_automatic_syncs_only_requested_records_are_synced():
    commit = GroupCommit(CommitLimits(sync_enabled=False), 0)
    assert list(itertools.chain(*(commit.on_write(0.0, number, 10, 1) for number in range(1, 5)))) == []
    assert commit.handle(0.0, SyncRequested(2)) == [Sync()]
    commit.handle(1.0, OperationCompleted())
    assert commit.synced == 4 and commit.handle(2.0, SyncRequested(3)) == []


@pytest.mark.parametrize("writes_blocked", [False, True])
def test_a_hanging_disk_is_treated_as_a_failed_one(writes_blocked):
    run = SimOwner()
    run.write()
    if writes_blocked:
        run.size = 99
        run.write()
        assert run.operation == BeginSegment()
        run.write()
        assert run.blocked
    else:
        run.advance(10.0)
        assert run.operation == Sync()
    run.advance(49.0)
    run.advance(1.0)
    assert run.commit.gap is not None and not run.waiting and not run.blocked
    run.end_operation(True)  # late
    run.advance(100.0)
    assert run.operation == Reopen()
