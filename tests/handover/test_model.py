"""All interleavings of a small model: two processes, a link in each direction, claims, repeats, ends, and a kill and
shutdown notices at any step.

The phase machine, the agreement and the key table are the real ones; planner and network are simulated.
"""

from __future__ import annotations

import copy
from collections import deque

import pytest

from flintshift.core.attempts import Attempt
from flintshift.core.keys import KeyTable
from flintshift.core.limits import Limits
from flintshift.handover import messages as messages
from flintshift.handover.claims import AbandonAttempt, ResumeAttempt, SendToPeer
from flintshift.handover.phases import PhaseMachine
from flintshift.handover.shared_keys import FollowerEnded, SharedKeys, key_of
from flintshift.interface import Effect, Outcome, RequestClass

LIMITS, REQUEST_CLASS = Limits(), RequestClass("pay", 500.0, 900.0, 1.0, Effect.KEYED, repeat_window_ms=1e6)


class Process:
    """A process with a minimal planner. `rejected_ids`: the attempts that the controller rejects once they may run."""

    now_ms = 1e6

    def __init__(self, has_predecessor, rejected_ids, all_runs):
        self.phases, self.keys = PhaseMachine(has_predecessor, 0.0, 0.0), KeyTable(LIMITS)
        self.shared, self.rejected_ids = SharedKeys(self.keys, LIMITS), set(rejected_ids)
        self.outbox, self.accepts_clients = deque(), not has_predecessor
        self.attempts, self.running, self.started, self.answers = {}, set(), [], {}
        self.alive, self.all_runs = True, all_runs  # the runs of both processes

    def submit(self, attempt):
        self.attempts[attempt.id] = attempt
        self.decide(attempt, False)

    def decide(self, attempt, granted):
        entry = self.keys.find(attempt)
        if entry is not None:
            if entry.outcome is None:
                entry.followers.append(attempt.id)
            else:
                self.answer(attempt.id, entry.outcome)
            return
        if not granted:
            if self.shared.in_doubt(self.now_ms, attempt):
                return self.answer(attempt.id, Outcome.ERROR)
            if self.phases.claims_required:
                return self.perform(self.shared.request_claim(self.now_ms, attempt))
        if attempt.id in self.rejected_ids:
            self.answer(attempt.id, Outcome.REJECTED)
            if granted:
                self.perform([SendToPeer(messages.Freed(key_of(attempt), attempt.id))])
            return
        self.keys.claim(attempt, self.now_ms + 1e6)
        if self.phases.reports_entries:
            self.perform(self.shared.report_entry(attempt))
        self.started.append(attempt.id)
        self.all_runs.append(attempt.id)
        assert len(self.all_runs) == 1, f"run twice: {self.all_runs}"
        self.running.add(attempt.id)

    def finish(self, request):
        self.running.discard(request)
        attempt = self.attempts[request]
        entry = self.keys.owned_entry(attempt)
        for follower in self.keys.record_outcome(entry, Outcome.OK, b"r"):
            self.answer(follower, Outcome.OK)
        if self.phases.reports_ends:
            self.perform(self.shared.report_end(attempt))
        self.answers.setdefault(request, "served")

    def answer(self, request, outcome):
        assert outcome is not Outcome.REJECTED or not self.all_runs, f"{request} rejected though {self.all_runs} ran"
        self.answers.setdefault(request, {Outcome.OK: "served", Outcome.REJECTED: "refused"}.get(outcome, "failed"))

    def perform(self, steps):
        for step in steps:
            match step:
                case SendToPeer(message):
                    self.outbox.append(message)
                case ResumeAttempt(request, granted):
                    self.decide(self.attempts[request], granted)
                case AbandonAttempt(request):
                    self.answers[request] = "failed"
                case FollowerEnded(request, outcome):
                    self.answer(request, outcome)

    def receive(self, message):
        if isinstance(message, messages.Claimed | messages.Answered | messages.Known | messages.Over | messages.Freed):
            return self.perform(self.shared.on_message(self.now_ms, message, self.phases.senior))
        for action in self.phases.handle(self.now_ms, message):
            match action:
                case messages.Send(reply):
                    self.outbox.append(reply)
                case messages.SendEntries():
                    self.outbox.extend([*self.shared.owned_entries(), messages.Copied()])
                case messages.StartAccepting():
                    self.accepts_clients = True
                case messages.StopAccepting():
                    self.accepts_clients = False
                case messages.FailPeerRuns(partial):
                    self.perform(self.shared.on_peer_exit(self.now_ms, partial, 1e6, True))


class World:
    """Both processes, and what may still happen once: each submission (process, request), an expiry, a kill."""

    def __init__(self, submissions, rejected_ids=(), killable=(0, 1), may_expire=True, may_leave=()):
        all_runs = []
        self.sides = [Process(False, rejected_ids, all_runs), Process(True, rejected_ids, all_runs)]
        self.submissions, self.killable, self.may_expire, self.log = list(submissions), tuple(killable), may_expire, []
        self.notified, self.may_leave = False, tuple(may_leave)

    def attempt(self, request):
        marked_repeat = any(side.attempts for side in self.sides)  # the first attempt is not marked
        return Attempt(
            request,
            "pay",
            self.sides[0].now_ms,
            1.0,
            1,
            b"b",
            marked_repeat=marked_repeat,
            request_key="k",
            request_class=REQUEST_CLASS,
        )

    def moves(self):
        for number, side in enumerate(self.sides):
            if not side.alive:
                continue
            peer = self.sides[1 - number]
            if peer.outbox:
                yield "deliver", number
            elif not peer.alive and not self.notified:
                yield "exited", number
            for request in sorted(side.running):
                yield "finish", number, request
            for side_number, request in self.submissions:
                if side_number == number and self.is_reachable(number):
                    yield "submit", number, request
            if self.may_expire and side.shared.agreement.pending:
                yield "expire", number
            if number in self.may_leave and side.phases.phase in (messages.Phase.SHEDDING, messages.Phase.SERVING):
                yield "leave", number
            if number in self.killable and all(one.alive for one in self.sides):
                yield "kill", number

    def is_reachable(self, number):
        """Callers reach a process that accepts clients, and one that did so before on connections that are still
        open."""
        side = self.sides[number]
        return side.accepts_clients or number == 0 or side.phases.phase is messages.Phase.RETURNING

    def perform(self, move):
        name, number, *arguments = move
        for one in self.sides:
            one.now_ms += 300  # more than the margin for times on sockets (`key_margin_ms`)
        side, peer = self.sides[number], self.sides[1 - number]
        match name:
            case "deliver":
                side.receive(peer.outbox.popleft())
            case "exited":
                self.notified = True
                side.receive(messages.PeerExited())
            case "finish":
                side.finish(arguments[0])
            case "submit":
                self.submissions.remove((number, arguments[0]))
                side.submit(self.attempt(arguments[0]))
            case "expire":
                side.perform(side.shared.expire(1e9))
                self.may_expire = False
            case "leave":
                self.may_leave = tuple(one for one in self.may_leave if one != number)
                side.receive(messages.LeaveBegan())
            case "kill":
                side.alive = False
                side.running.clear()

    def state(self):
        sides = []
        for side in self.sides:
            entries = sorted(
                (key, entry.owner, entry.outcome, entry.foreign, tuple(entry.followers))
                for key, entry in side.keys.entries.items()
            )
            pending = [(key, claim.owner, tuple(claim.waiting)) for key, claim in side.shared.agreement.pending.items()]
            sides.append(
                (
                    side.phases.phase,
                    side.phases.pool_up,
                    side.phases.leaves,
                    side.accepts_clients,
                    tuple(side.outbox),
                    tuple(entries),
                    tuple(pending),
                    tuple(sorted(side.running)),
                    tuple(sorted(side.started)),
                    tuple(sorted(side.answers.items())),
                    side.alive,
                    side.shared.in_doubt_until_ms > 0,
                )
            )
        return tuple(sides), tuple(self.submissions), self.may_expire, self.notified, self.may_leave

    def check_final_state(self):
        """Check a state in which nothing can happen any more: each attempt at a living process has its answer, and a
        living process accepts clients."""
        for side in self.sides:
            if side.alive:
                assert side.answers.keys() == side.attempts.keys(), f"an attempt has no answer: {self.log}"
        alive = [side for side in self.sides if side.alive]
        assert not alive or any(side.accepts_clients for side in alive), f"no process accepts clients: {self.log}"


def explore(submissions, rejected_ids=(), **arguments):
    """Visit all reachable states and return how many there are."""
    initial = World(submissions, rejected_ids, **arguments)
    initial.sides[1].outbox.append(messages.Hello(1))
    for side in initial.sides:
        side.receive(messages.PoolUp())
    seen, stack, final_states = {initial.state()}, [initial], 0
    while stack:
        world = stack.pop()
        moves = list(world.moves())
        if all(move[0] in ("kill", "expire") for move in moves):
            world.check_final_state()
            final_states += 1
        for move in moves:
            successor = copy.deepcopy(world)
            successor.log.append(move)
            try:
                successor.perform(move)
            except Exception as error:
                raise AssertionError(f"{error}: {successor.log}") from error
            state = successor.state()
            if state not in seen:
                seen.add(state)
                stack.append(successor)
    assert final_states
    return len(seen)


@pytest.mark.parametrize(
    ("submissions", "rejected_ids"),
    [
        ([(0, "a"), (1, "b")], ()),
        ([(0, "a"), (1, "b")], ("a",)),
        ([(1, "a"), (0, "b")], ("a",)),
        ([(0, "a"), (0, "b"), (1, "c")], ()),
        ([(1, "a"), (1, "b"), (0, "c")], ("b",)),
    ],
)
def test_no_key_runs_twice_none_that_ran_is_rejected_and_every_attempt_is_answered(submissions, rejected_ids):
    assert explore(submissions, rejected_ids) > 100


@pytest.mark.parametrize("may_leave", [(1,), (0, 1)])
@pytest.mark.parametrize("submissions", [[(0, "a"), (1, "b")], [(1, "a"), (0, "b")], [(1, "a"), (1, "b"), (0, "c")]])
def test_the_same_holds_where_the_successor_or_both_leave_and_one_process_accepts_clients(submissions, may_leave):
    assert explore(submissions, may_leave=may_leave, may_expire=False) > 100


def test_the_model_finds_a_second_run_where_claims_are_not_agreed(monkeypatch):
    monkeypatch.setattr(PhaseMachine, "claims_required", property(lambda self: False))
    with pytest.raises(AssertionError, match="run twice"):
        explore([(0, "a"), (1, "b")])


@pytest.mark.parametrize(("senior", "message_pattern"), [(False, "has no answer"), (True, "has no answer|run twice")])
def test_the_model_finds_the_errors_if_neither_or_both_claims_win(monkeypatch, senior, message_pattern):
    monkeypatch.setattr(PhaseMachine, "senior", property(lambda self: senior))
    with pytest.raises(AssertionError, match=message_pattern):
        explore([(0, "a"), (1, "b")])
