"""The copies' agreement over the production hearts: every interleaving of small plays, many random ones, and rules that
are broken on purpose. What must never be: two tries that both run, a result told in two ways, a run told as none.
"""

from __future__ import annotations

import itertools
import math
import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec import structs
from replication.mutants import MajorityOfFirst, MinorityEnds, NoStoreCheck, VotesWhileEmpty

from flintshift.interface import Outcome
from flintshift.lab.copies_model import Message, World
from flintshift.replication.messages import Claim, Finish, OutcomeOverdue, ReachabilityChanged, Tick
from flintshift.replication.placement import Placement
from flintshift.replication.proposals import Proposals
from flintshift.replication.refill import FillAsk, Page

HALLS = {"n1": "a", "n2": "a", "n3": "b", "n4": "b", "n5": "c"}
KEYS = [("submit-time", f"k{number}") for number in range(3)]


def random_play(seed: int, steps: int = 700, **mutant) -> World:
    """Claims, ends, losses, doubles, reorders, crashes and lost disks by one seed; no disk is lost while another store
    is being filled, as then nothing is promised of a key that both held."""
    draw, count = random.Random(seed), itertools.count(1)
    world = World(HALLS, 3, seed, **mutant)
    for _ in range(steps):
        place = draw.random()
        if place < 0.06:
            up = [one.name for one in world.machines.values() if one.up]
            if up:
                world.claim(draw.choice(up), draw.choice(KEYS), f"r{next(count)}", draw.random() < 0.5)
        elif place < 0.12:
            world.finish(draw.choice(KEYS))
        elif place < 0.14:
            world.free(draw.choice(KEYS))
        elif place < 0.165:
            crash_or_restart(world, draw.choice(list(world.machines)), draw.random() < 0.6)
        elif place < 0.25:
            world.tick(draw.choice([1.0, 5.0, 10.0, 50.0]))
        elif world.sent:
            which, fate = draw.randrange(len(world.sent)), draw.random()
            if fate < 0.05:
                world.lose(which)
            else:
                world.deliver(which, keep=fate < 0.1)
        if world.wrong:
            return world
    return ended(world)


def crash_or_restart(world: World, name: str, disk_lost: bool) -> None:
    machine = world.machines[name]
    others = [one for one in world.machines.values() if one is not machine]
    if machine.up:
        world.crash(name, disk_lost and all(one.up and one.registers.votes_on_all_keys for one in others))
    else:
        world.restart(name)


def ended(world: World) -> World:
    """All come back, all runs end, and all that is under way is settled."""
    for machine in world.machines.values():
        if not machine.up:
            world.restart(machine.name)
    for _ in range(6):
        world.settle(300)
        for key in list(world.running):
            world.finish(key)
    world.settle(5000)
    return world


@pytest.mark.parametrize("part", range(8))
def test_random_plays_keep_all_promises(part):
    granted = 0
    for seed in range(part * 25, part * 25 + 25):
        world = random_play(seed)
        assert world.wrong == [], f"seed {seed}"
        granted += sum(map(len, world.ran.values()))
    assert granted > 25  # the plays do something


def test_a_play_is_the_same_each_time():
    one, other = random_play(7), random_play(7)
    assert (one.answers, one.counts, one.now) == (other.answers, other.counts, other.now)


def test_an_outcome_on_a_minority_is_seen_by_random_plays():
    assert any(random_play(seed, proposals=MinorityEnds).wrong for seed in range(200))


def walk(order: tuple[int, ...], crash_at: int, crashed: str, disk_lost: bool, **mutant) -> World:
    """Two members claim one key at once. ``order`` says of which of the two each holder hears first; at the step
    ``crash_at`` a machine dies, and comes back four steps later."""
    world = World({"n1": "a", "n2": "b", "n3": "c"}, 3, 1, **mutant)
    key = KEYS[0]
    world.claim("n1", key, "r1")
    world.claim("n2", key, "r2")
    first = dict(zip(("n1", "n2", "n3"), order, strict=True))

    def rank(message: Message) -> tuple[bool, int]:
        return message.sender.partition("#")[0] != ("n1", "n2")[first[message.to.partition("#")[0]]], 0

    for step in range(30):
        if step == crash_at:
            world.crash(crashed, disk_lost)
        if step == crash_at + 4:
            world.restart(crashed)
        if world.sent:
            world.deliver(min(range(len(world.sent)), key=lambda place: rank(world.sent[place])))
        else:
            world.tick(10.0)
    return ended(world)


WALKS = list(itertools.product(itertools.product((0, 1), repeat=3), range(0, 26), ("n1", "n2", "n3"), (False, True)))


@pytest.mark.parametrize("part", range(4))
def test_every_order_of_two_claims_and_every_moment_of_a_crash(part):
    for walked in WALKS[part::4]:
        assert walk(*walked).wrong == [], walked


def test_a_majority_of_round_0_is_not_enough():
    assert any(walk(*walked, proposals=MajorityOfFirst).wrong for walked in WALKS) or any(
        random_play(seed, proposals=MajorityOfFirst).wrong for seed in range(200)
    )


ORDERS = list(itertools.product(itertools.permutations(HALLS), HALLS))


@pytest.mark.parametrize("part", range(8))
def test_all_die_at_once_and_come_back_in_every_order_one_of_them_without_its_disk(part):
    for order, empty in ORDERS[part::8]:
        world = World(HALLS, 3, 1)
        for number, key in enumerate(KEYS[:1]):
            world.claim(order[number], key, f"r{number}")
            world.settle()
            world.finish(key)
            world.settle()
        told = {key: set(one) for key, one in world.results.items()}
        for name in HALLS:
            world.crash(name, name == empty)
        for up, name in enumerate(order):
            world.restart(name)
            for number, key in enumerate(KEYS[:1]):
                world.claim(name, key, f"again-{up}-{number}", again=True)
            for _ in range(30):  # nothing more may come: a majority may not be up
                if world.sent:
                    world.deliver(0)
        assert ended(world).wrong == [] and world.results == told, (order, empty)
        for number, key in enumerate(KEYS[:1]):
            for name in HALLS:
                world.claim(name, key, f"last-{name}-{number}", again=True)
                world.settle()
                assert world.answers[f"last-{name}-{number}"] == "FINISHED", (order, empty)
        assert world.ran == {key: [f"r{number}"] for number, key in enumerate(KEYS[:1])}


def sender(message: Message) -> str:
    return message.sender.partition("#")[0]


def to(message: Message) -> str:
    return message.to.partition("#")[0]


def unreached(world: World, name: str, member: str) -> None:
    world._tell(world.machines[name], ReachabilityChanged(member, False, 0))


def deliver(world: World, one: str, other: str) -> None:
    world.deliver(
        next(place for place, message in enumerate(world.sent) if (sender(message), to(message)) == (one, other))
    )


def pass_on(world: World, which) -> None:
    """Deliver all that fits, and what comes of it."""
    while (place := next((place for place, message in enumerate(world.sent) if which(message)), None)) is not None:
        world.deliver(place)


def held_by(world: World, *outside: str) -> tuple[tuple[str, str], tuple[str, ...]]:
    """A key that none of these members holds, and its holders."""
    keys = (("c", f"x{number}") for number in itertools.count())
    key = next(key for key in keys if not set(outside) & set(world.placement.holders(key)))
    return key, world.placement.holders(key)


def empty_vote(**mutant) -> World:
    """A claim is chosen by two holders, the third out of reach. One of the two loses its disk, and is asked with the
    third before it is filled."""
    world = World(HALLS, 3, 3, **mutant)
    key, (first, second, third) = held_by(world, "n4")
    unreached(world, "n4", third)
    world.claim("n4", key, "r1")
    pass_on(world, lambda message: True)
    assert world.answers["r1"] == "granted"
    world.crash(first, disk_lost=True)
    world.restart(first)
    world.sent.clear()
    unreached(world, third, second)
    world.claim(third, key, "r2")
    pass_on(world, lambda message: {sender(message), to(message)} <= {first, third})
    return world


def test_a_store_without_its_disk_has_no_vote():
    assert empty_vote().answers["r2"] in ("refused", "unsure")
    assert empty_vote(registers=VotesWhileEmpty).wrong != []


def lost_vote(**mutant) -> World:
    """n4 asks two holders for a key; one accepts and loses its disk, the other's question is late. The first holder is
    filled and agrees with the third on another try. Then the late question arrives."""
    world = World(HALLS, 3, 3, **mutant)
    key, (first, second, third) = held_by(world, "n4")
    unreached(world, "n4", third)
    world.claim("n4", key, "r1")
    for holder in (first, second, first):  # both promise, and one accepts
        deliver(world, "n4", holder)
        deliver(world, holder, "n4")
    late = [message for message in world.sent if message.to == second]
    assert len(late) == 1
    world.sent.clear()
    world._tell(world.machines["n4"], ReachabilityChanged(third, True, world.machines[third].store))
    world.crash(first, disk_lost=True)
    world.restart(first)
    world.tick(1.0)
    pass_on(world, lambda message: isinstance(message.word, FillAsk | Page))
    assert world.machines[first].registers.votes_on_all_keys
    world.sent.clear()
    world.cut |= {(third, second), (second, third)}
    unreached(world, third, second)
    world.claim(third, key, "r2")
    for _ in range(40):
        pass_on(world, lambda message: {sender(message), to(message)} <= {first, third})
        world.tick(2.0)
    assert world.answers.get("r2") == "granted"
    world.sent += late
    deliver(world, "n4", second)
    deliver(world, second, "n4")
    return world


def test_a_vote_of_a_lost_disk_and_one_given_later_are_no_majority():
    assert lost_vote().wrong == []
    assert lost_vote(registers=NoStoreCheck).wrong != []


def test_a_repeat_that_settles_a_dead_runner_s_claim_tells_operators_of_it():
    world = World(HALLS, 3, 3)
    key, holders = held_by(world, "n4")
    world.claim("n4", key, "r1")
    pass_on(world, lambda message: True)
    assert world.answers["r1"] == "granted"
    world.crash("n4", disk_lost=True)
    world.claim(holders[0], key, "r2", True)  # before any holder looks for orphans
    pass_on(world, lambda message: True)
    assert world.took_over == ["r1"] and world.wrong == []
    world.tick(1000.0)
    pass_on(world, lambda message: True)
    assert world.took_over == ["r1"]  # once


class Fleets(RuleBasedStateMachine):
    """Hypothesis chooses the steps, and makes a failure short."""

    def __init__(self):
        super().__init__()
        self.world, self.count = World(HALLS, 3, 1), itertools.count(1)

    @rule(name=st.sampled_from(sorted(HALLS)), key=st.sampled_from(KEYS), again=st.booleans())
    def claim(self, name, key, again):
        if self.world.machines[name].up:
            self.world.claim(name, key, f"r{next(self.count)}", again)

    @rule(key=st.sampled_from(KEYS), runs=st.booleans())
    def end(self, key, runs):
        (self.world.finish if runs else self.world.free)(key)

    @precondition(lambda self: self.world.sent)
    @rule(place=st.integers(0, 1 << 16), fate=st.sampled_from(["comes", "comes", "comes", "twice", "lost"]))
    def message(self, place, fate):
        place %= len(self.world.sent)
        if fate == "lost":
            self.world.lose(place)
        else:
            self.world.deliver(place, keep=fate == "twice")

    @rule(name=st.sampled_from(sorted(HALLS)), disk_lost=st.booleans())
    def machine(self, name, disk_lost):
        crash_or_restart(self.world, name, disk_lost)

    @rule(by_ms=st.sampled_from([1.0, 10.0, 300.0]))
    def time(self, by_ms):
        self.world.tick(by_ms)

    @invariant()
    def nothing_is_wrong(self):
        assert self.world.wrong == []

    def teardown(self):
        assert ended(self.world).wrong == []


TestFleets = Fleets.TestCase
TestFleets.settings = settings(
    max_examples=60, stateful_step_count=80, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)


def test_an_outcome_that_no_holder_answers_is_given_up_at_its_time_and_not_at_the_next_question():
    placement = Placement({"n1": "a", "n2": "b", "n3": "c"}, 3)
    proposals = Proposals("n1#1", placement, lambda runner: True, random.Random(1))
    for name in ("n1", "n2", "n3"):
        proposals.handle(0.0, ReachabilityChanged(name, True, 1))
    proposals.handle(0.0, Finish(KEYS[0], "r1", b"p", 30_000.0, 100.0, Outcome.OK, b""))
    assert proposals.due_ms() == 100.0
    assert OutcomeOverdue("r1") in proposals.handle(100.0, Tick())
    assert proposals.due_ms() > 100.0


class Timed(Proposals):
    """Holds the time that it tells for its next tick against all that wait in it; claims wait for a short time."""

    def handle(self, now_ms, event):
        if isinstance(event, Claim):
            event = structs.replace(event, deadline_ms=now_ms + self.rng.choice([1.0, 5.0, 100.0]))
        actions = super().handle(now_ms, event)
        waits = [at for _, at in self.followed.values()]
        for proposal in self.active.values():
            waits += [proposal.retry_at_ms, *proposal.waiting_claims.values()]
            waits += [one.deadline_ms for one in proposal.queued if isinstance(one, Claim)]
            if isinstance(proposal.intent, Finish) and not proposal.abandoned:
                waits.append(proposal.intent.deadline_ms)
        assert self.due_ms() <= min(waits, default=math.inf)
        return actions


def test_no_wait_is_missed_by_the_time_that_is_told_for_the_next_tick():
    for seed in range(30):
        assert random_play(seed, proposals=Timed).wrong == []


def test_a_runner_hears_nothing_of_the_end_that_it_wrote_and_who_follows_the_key_does():
    world = World({"n1": "a", "n2": "b", "n3": "c"}, 3, 1)
    world.claim("n1", KEYS[0], "r1")
    world.settle()
    world.finish(KEYS[0])
    world.settle()
    assert world.counts["Ask"] == world.counts["Vote"] == 6 and world.counts["Ended"] == 0
    world.claim("n1", KEYS[1], "r2")
    world.settle()
    world.claim("n2", KEYS[1], "r3", again=True)
    for _ in range(20):
        if world.sent:
            world.deliver(0)
    world.finish(KEYS[1])
    world.settle()
    assert world.counts["Ended"] >= 2 and world.results[KEYS[1]] == {(Outcome.OK, b"r2")}
