"""The commit's heart: in a simulated run of records, operations that end well, badly, late or never, and wake-ups."""

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


class Run:
    """What an owner does with the answers, and the rules that hold at each step."""

    def __init__(self, limits=LIMITS):
        self.commit, self.limits, self.now = GroupCommit(limits, 0), limits, 0.0
        self.sequence = self.size = 0
        self.waiting = {}  # since when an answer waits, by sequence
        self.stalled = []  # since when what can't be written waits
        self.operation = None
        self.wakes = []
        self.durable = 0
        self.covers = 0
        self.disk = True  # takes writes

    def do(self, actions):
        for action in actions:
            match action:
                case Sync() | BeginSegment() | Reopen():
                    assert self.operation is None, "one operation at a time"
                    self.operation, self.covers = action, self.sequence
                case ReleaseAnswers(upto):
                    for sequence in [one for one in self.waiting if one <= upto]:
                        assert sequence <= self.durable or self.commit.gap is not None, "released before its sync"
                        del self.waiting[sequence]
                case ResumeWrites():
                    held, self.stalled = self.stalled, []
                    for _ in held:
                        self.write()
                case WakeAt(at_ms):
                    assert at_ms >= self.now
                    self.wakes.append(at_ms)
                case GapEnded(since_ms, requests, _):
                    assert since_ms <= self.now and requests >= 0

    def write(self):
        if self.commit.writes_blocked:
            self.stalled.append(self.now)
            self.do(self.commit.handle(self.now, WriteBlocked()))
            return
        self.sequence += 1
        self.size += 7
        if self.limits.hold_answers:
            self.waiting[self.sequence] = self.now
        actions = []
        if self.commit.gap is None and not self.disk:
            actions = self.commit.handle(self.now, OperationFailed("refused", write=True))
        self.do(actions + self.commit.on_write(self.now, self.sequence, self.size, 1))
        if self.commit.gap is not None:
            self.do([ReleaseAnswers(math.inf)])

    def ends(self, well):
        operation, self.operation = self.operation, None
        if well and isinstance(operation, Sync):
            self.durable = max(self.durable, self.covers)
        if well and isinstance(operation, BeginSegment | Reopen):
            self.size = 0
        self.do(self.commit.handle(self.now, OperationCompleted() if well else OperationFailed("refused")))

    def passes(self, ms):
        """Time passes, with each wake-up on its minute."""
        until = self.now + ms
        while due := [at for at in self.wakes if at <= until]:
            self.now = max(self.now, min(due))
            self.wakes = [at for at in self.wakes if at > self.now]
            self.do(self.commit.handle(self.now, TimerFired()))
            self.check()
        self.now = until

    def check(self):
        oldest = min([*self.waiting.values(), *self.stalled], default=math.inf)
        assert self.now - oldest <= self.limits.max_wait_ms, "an answer waits without an end"
        assert (self.operation is None) == (self.commit.operation_in_progress is None)
        if self.waiting or self.stalled or self.commit.gap is not None:
            assert self.wakes or self.operation is not None, "something waits and nothing will come"
        assert len(self.commit.waiting_answers) <= len(self.waiting) + 1


steps = st.lists(
    st.one_of(
        st.just(("write",)),
        st.just(("write",)),
        st.tuples(st.just("passes"), st.sampled_from([1.0, 9.0, 10.0, 51.0, 200.0])),
        st.tuples(st.just("ends"), st.booleans()),
        st.just(("want",)),
        st.tuples(st.just("disk"), st.booleans()),
    ),
    max_size=60,
)


@given(steps, st.booleans(), st.booleans())
@settings(max_examples=400, deadline=None, derandomize=True)
def test_the_rules_hold_over_any_run(steps, syncs, holds):
    run = Run(CommitLimits(syncs or holds, holds, 10.0, 50.0, 100.0, 30))
    for step in steps:
        match step:
            case ("write",):
                run.write()
            case ("passes", ms):
                run.passes(ms)
            case ("ends", well) if run.operation is not None:
                run.ends(well)
            case ("want",):
                run.do(run.commit.handle(run.now, SyncRequested(run.sequence)))
            case ("disk", works):
                run.disk = works
        run.check()
    # Whatever came before: a disk that works again ends the gap, and all is synced that anyone waits for.
    run.disk = True
    run.do(run.commit.handle(run.now, SyncRequested(run.sequence)))
    for _ in range(12):
        if run.operation is not None:
            run.ends(True)
        run.passes(100.0)
        run.check()
    assert run.commit.gap is None and not run.waiting and not run.stalled
    assert run.durable >= run.sequence or not (syncs or holds) or run.commit.synced >= run.commit.requested


def test_every_short_run_keeps_the_rules():
    """All runs of up to six steps, not a sample of them."""
    moves = ("write", "end", "fail", "tick", "wait", "break")
    count = 0

    def go(run, depth):
        nonlocal count
        count += 1
        if depth == 0:
            return
        for move in moves:
            if move in ("end", "fail") and run.operation is None:
                continue
            after = copy.deepcopy(run)
            match move:
                case "write":
                    after.write()
                case "end" | "fail":
                    after.ends(move == "end")
                case "tick":
                    after.passes(10.0)
                case "wait":
                    after.passes(60.0)
                case "break":
                    after.disk = not after.disk
            after.check()
            go(after, depth - 1)

    go(Run(CommitLimits(True, True, 10.0, 50.0, 100.0, 14)), 6)
    assert count > 5000


def test_records_of_a_while_share_a_sync():
    run = Run()
    for _ in range(4):
        run.write()
    assert run.operation is None
    run.passes(10.0)
    assert run.operation == Sync() and len(run.waiting) == 4
    run.ends(True)
    assert not run.waiting and run.durable == 4


def test_what_came_during_a_sync_waits_for_the_next():
    run = Run()
    run.write()
    run.passes(10.0)
    run.write()
    run.ends(True)
    assert list(run.waiting) == [2]
    run.passes(10.0)
    run.ends(True)
    assert not run.waiting


def test_a_refusal_begins_a_gap_that_ends_with_a_reopening_and_tells_its_requests():
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


def test_without_syncs_only_what_is_wanted_is_synced():
    commit = GroupCommit(CommitLimits(sync_enabled=False), 0)
    assert list(itertools.chain(*(commit.on_write(0.0, number, 10, 1) for number in range(1, 5)))) == []
    assert commit.handle(0.0, SyncRequested(2)) == [Sync()]
    commit.handle(1.0, OperationCompleted())
    assert commit.synced == 4 and commit.handle(2.0, SyncRequested(3)) == []


@pytest.mark.parametrize("stall", [False, True])
def test_a_disk_that_hangs_is_taken_for_one_that_refuses(stall):
    run = Run()
    run.write()
    if stall:
        run.size = 99
        run.write()
        assert run.operation == BeginSegment()
        run.write()
        assert run.stalled
    else:
        run.passes(10.0)
        assert run.operation == Sync()
    run.passes(49.0)
    run.passes(1.0)
    assert run.commit.gap is not None and not run.waiting and not run.stalled
    run.ends(True)  # at last
    run.passes(100.0)
    assert run.operation == Reopen()
