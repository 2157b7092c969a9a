"""All interleavings of a small model: two processes, a link each way, claims, repeats, ends and a kill at every step.

The parts under test are the real ones (phases, agreement, key table); only planner and network are the model's.
"""

from __future__ import annotations

import copy
from collections import deque

import pytest

from flintshift.core.attempts import Attempt
from flintshift.core.keys import KeyTable
from flintshift.core.limits import Limits
from flintshift.handover import messages as say
from flintshift.handover.claims import AbandonAttempt, ResumeAttempt, SendToPeer
from flintshift.handover.phases import PhaseMachine
from flintshift.handover.shared_keys import FollowerEnded, SharedKeys, key_of
from flintshift.interface import Effect, Outcome, RequestClass

LIMITS, KIND = Limits(), RequestClass("pay", 500.0, 900.0, 1.0, Effect.KEYED, repeat_window_ms=1e6)


class Process:
    """A planner in few lines: `refuses` are attempts that the module turns away once they may run."""

    now = 1e6

    def __init__(self, asks, refuses, everywhere):
        self.phases, self.keys = PhaseMachine(asks, 0.0, 0.0), KeyTable(LIMITS)
        self.shared, self.refuses = SharedKeys(self.keys, LIMITS), set(refuses)
        self.out, self.clients = deque(), not asks
        self.attempts, self.running, self.ran, self.told = {}, set(), [], {}
        self.alive, self.everywhere = True, everywhere  # what ran, at both

    def submit(self, attempt):
        self.attempts[attempt.id] = attempt
        self.take(attempt, False)

    def take(self, attempt, agreed):
        entry = self.keys.find(attempt)
        if entry is not None:
            if entry.outcome is None:
                entry.followers.append(attempt.id)
            else:
                self.end(attempt.id, entry.outcome)
            return
        if not agreed:
            if self.shared.in_doubt(self.now, attempt):
                return self.end(attempt.id, Outcome.ERROR)
            if self.phases.claims_required:
                return self.do(self.shared.request_claim(self.now, attempt))
        if attempt.id in self.refuses:
            self.end(attempt.id, Outcome.REJECTED)
            if agreed:
                self.do([SendToPeer(say.Freed(key_of(attempt), attempt.id))])
            return
        self.keys.claim(attempt, self.now + 1e6)
        if self.phases.reports_entries:
            self.do(self.shared.report_entry(attempt))
        self.ran.append(attempt.id)
        self.everywhere.append(attempt.id)
        assert len(self.everywhere) == 1, f"run twice: {self.everywhere}"
        self.running.add(attempt.id)

    def finish(self, request):
        self.running.discard(request)
        attempt = self.attempts[request]
        entry = self.keys.owned_entry(attempt)
        for follower in self.keys.record_outcome(entry, Outcome.OK, b"r"):
            self.end(follower, Outcome.OK)
        if self.phases.reports_ends:
            self.do(self.shared.report_end(attempt))
        self.told.setdefault(request, "served")

    def end(self, request, outcome):
        assert outcome is not Outcome.REJECTED or not self.everywhere, f"{request} refused though {self.everywhere} ran"
        self.told.setdefault(request, {Outcome.OK: "served", Outcome.REJECTED: "refused"}.get(outcome, "failed"))

    def do(self, steps):
        for step in steps:
            match step:
                case SendToPeer(word):
                    self.out.append(word)
                case ResumeAttempt(request, granted):
                    self.take(self.attempts[request], granted)
                case AbandonAttempt(request):
                    self.told[request] = "failed"
                case FollowerEnded(request, outcome):
                    self.end(request, outcome)

    def hear(self, word):
        if isinstance(word, say.Claimed | say.Answered | say.Known | say.Over | say.Freed):
            return self.do(self.shared.on_message(self.now, word, self.phases.senior))
        for action in self.phases.handle(self.now, word):
            match action:
                case say.Send(said):
                    self.out.append(said)
                case say.SendEntries():
                    self.out.extend([*self.shared.owned_entries(), say.Copied()])
                case say.StartAccepting():
                    self.clients = True
                case say.StopAccepting():
                    self.clients = False
                case say.FailPeerRuns(partial):
                    self.do(self.shared.on_peer_exit(self.now, partial, 1e6, True))


class World:
    """`left`: what may still happen, each once: tries (process, request), a give-up of waits, one kill."""

    def __init__(self, tries, refuses=(), kills=(0, 1), expires=True):
        ran = []
        self.sides = [Process(False, refuses, ran), Process(True, refuses, ran)]
        self.tries, self.kills, self.expires, self.log = list(tries), tuple(kills), expires, []
        self.notified = False

    def attempt(self, request):
        again = any(side.attempts for side in self.sides)  # the first to come is not marked
        return Attempt(
            request, "pay", self.sides[0].now, 1.0, 1, b"b", marked_repeat=again, request_key="k", request_class=KIND
        )

    def moves(self):
        for number, side in enumerate(self.sides):
            if not side.alive:
                continue
            other = self.sides[1 - number]
            if other.out:
                yield "deliver", number
            elif not other.alive and not self.notified:
                yield "gone", number
            for request in sorted(side.running):
                yield "finish", number, request
            for at, request in self.tries:
                if at == number and self.reaches(number):
                    yield "try", number, request
            if self.expires and side.shared.agreement.pending:
                yield "expire", number
            if number in self.kills and all(one.alive for one in self.sides):
                yield "kill", number

    def reaches(self, number):
        """Callers reach who accepts; who accepted before is reached on connections that are still open."""
        return self.sides[number].clients or number == 0

    def do(self, move):
        name, number, *more = move
        for one in self.sides:
            one.now += 300  # more than the slack that times on sockets get
        side, other = self.sides[number], self.sides[1 - number]
        match name:
            case "deliver":
                side.hear(other.out.popleft())
            case "gone":
                self.notified = True
                side.hear(say.PeerExited())
            case "finish":
                side.finish(more[0])
            case "try":
                self.tries.remove((number, more[0]))
                side.submit(self.attempt(more[0]))
            case "expire":
                side.do(side.shared.expire(1e9))
                self.expires = False
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
            pending = [(key, mine.owner, tuple(mine.waiting)) for key, mine in side.shared.agreement.pending.items()]
            sides.append(
                (
                    side.phases.phase,
                    side.phases.pool_up,
                    side.clients,
                    tuple(side.out),
                    tuple(entries),
                    tuple(pending),
                    tuple(sorted(side.running)),
                    tuple(sorted(side.ran)),
                    tuple(sorted(side.told.items())),
                    side.alive,
                    side.shared.in_doubt_until_ms > 0,
                )
            )
        return tuple(sides), tuple(self.tries), self.expires, self.notified

    def settled(self):
        """Nothing can happen any more: each attempt at a living process has its answer, and somebody takes clients."""
        for side in self.sides:
            if side.alive:
                assert side.told.keys() == side.attempts.keys(), f"an attempt has no answer: {self.log}"
        alive = [side for side in self.sides if side.alive]
        assert not alive or any(side.clients for side in alive), f"nobody takes clients: {self.log}"


def explore(tries, refuses=(), **more):
    """All reachable states; returns how many there are."""
    first = World(tries, refuses, **more)
    first.sides[1].out.append(say.Hello(1))
    for side in first.sides:
        side.hear(say.PoolUp())
    seen, stack, ends = {first.state()}, [first], 0
    while stack:
        world = stack.pop()
        moves = list(world.moves())
        if all(move[0] in ("kill", "expire") for move in moves):
            world.settled()
            ends += 1
        for move in moves:
            following = copy.deepcopy(world)
            following.log.append(move)
            try:
                following.do(move)
            except Exception as error:
                raise AssertionError(f"{error}: {following.log}") from error
            state = following.state()
            if state not in seen:
                seen.add(state)
                stack.append(following)
    assert ends
    return len(seen)


@pytest.mark.parametrize(
    ("tries", "refuses"),
    [
        ([(0, "a"), (1, "b")], ()),
        ([(0, "a"), (1, "b")], ("a",)),
        ([(1, "a"), (0, "b")], ("a",)),
        ([(0, "a"), (0, "b"), (1, "c")], ()),
        ([(1, "a"), (1, "b"), (0, "c")], ("b",)),
    ],
)
def test_no_key_runs_twice_none_that_ran_is_refused_and_none_is_left_waiting(tries, refuses):
    assert explore(tries, refuses) > 100


def test_the_model_finds_a_second_run_where_claims_are_not_agreed(monkeypatch):
    monkeypatch.setattr(PhaseMachine, "claims_required", property(lambda self: False))
    with pytest.raises(AssertionError, match="run twice"):
        explore([(0, "a"), (1, "b")])


@pytest.mark.parametrize(("senior", "found"), [(False, "has no answer"), (True, "has no answer|run twice")])
def test_the_model_finds_what_goes_wrong_where_no_claim_comes_first(monkeypatch, senior, found):
    monkeypatch.setattr(PhaseMachine, "senior", property(lambda self: senior))
    with pytest.raises(AssertionError, match=found):
        explore([(0, "a"), (1, "b")])
