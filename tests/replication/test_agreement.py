"""The agreement on keys, with the production state machines: every interleaving of small scenarios, many random ones,
and rules that are broken on purpose.

The checks are that no two tries of a request run, that no result is reported in two ways, and that a request that ran
is never reported as one that did not.
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
from replication.mutants import MajorityDecidesFastRound, MinorityDecides, NoStoreCheck, VotesBeforeRefill

from flintshift.interface import Outcome
from flintshift.lab.replication_model import Message, World
from flintshift.replication.messages import Claim, Finish, OutcomeOverdue, ReachabilityChanged, Tick
from flintshift.replication.placement import Placement
from flintshift.replication.proposals import Proposals
from flintshift.replication.refill import FillAsk, Page

HALLS = {"n1": "a", "n2": "a", "n3": "b", "n4": "b", "n5": "c"}
KEYS = [("submit-time", f"k{number}") for number in range(3)]


def run_random_scenario(seed: int, steps: int = 700, **mutant) -> World:
    """A random scenario of claims, ends, crashes, lost disks, and lost, duplicated and reordered messages.

    No disk is lost while another store is being refilled, as nothing is guaranteed then for a key that both stored.
    """
    rng, count = random.Random(seed), itertools.count(1)
    world = World(HALLS, 3, seed, **mutant)
    for _ in range(steps):
        chance = rng.random()
        if chance < 0.06:
            running = [machine.name for machine in world.machines.values() if machine.up]
            if running:
                world.claim(rng.choice(running), rng.choice(KEYS), f"r{next(count)}", rng.random() < 0.5)
        elif chance < 0.12:
            world.finish(rng.choice(KEYS))
        elif chance < 0.14:
            world.free(rng.choice(KEYS))
        elif chance < 0.165:
            crash_or_restart(world, rng.choice(list(world.machines)), rng.random() < 0.6)
        elif chance < 0.25:
            world.tick(rng.choice([1.0, 5.0, 10.0, 50.0]))
        elif world.sent:
            index, fate = rng.randrange(len(world.sent)), rng.random()
            if fate < 0.05:
                world.drop(index)
            else:
                world.deliver(index, duplicate=fate < 0.1)
        if world.violations:
            return world
    return settle_all(world)


def crash_or_restart(world: World, name: str, disk_lost: bool) -> None:
    machine = world.machines[name]
    others = [other for other in world.machines.values() if other is not machine]
    if machine.up:
        world.crash(name, disk_lost and all(other.up and other.registers.votes_on_all_keys for other in others))
    else:
        world.restart(name)


def settle_all(world: World) -> World:
    """Restarts all machines, ends all runs and settles all proposals, and returns the world."""
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
def test_random_scenarios_keep_all_guarantees(part):
    granted = 0
    for seed in range(part * 25, part * 25 + 25):
        world = run_random_scenario(seed)
        assert world.violations == [], f"seed {seed}"
        granted += sum(map(len, world.granted_owners.values()))
    assert granted > 25  # the scenarios do something


def test_a_scenario_is_reproducible():
    first, second = run_random_scenario(7), run_random_scenario(7)
    assert (first.answers, first.counts, first.now) == (second.answers, second.counts, second.now)


def test_random_scenarios_detect_an_outcome_that_only_a_minority_has():
    assert any(run_random_scenario(seed, proposals=MinorityDecides).violations for seed in range(200))


def run_two_claims(order: tuple[int, ...], crash_at: int, crashed: str, disk_lost: bool, **mutant) -> World:
    """Two members claim one key at the same time.

    ``order`` gives for each holder which of the two claims it receives first. At the step ``crash_at`` a machine
    crashes; it is restarted four steps later.
    """
    world = World({"n1": "a", "n2": "b", "n3": "c"}, 3, 1, **mutant)
    key = KEYS[0]
    world.claim("n1", key, "r1")
    world.claim("n2", key, "r2")
    first_claimant = dict(zip(("n1", "n2", "n3"), order, strict=True))

    def rank(message: Message) -> tuple[bool, int]:
        return message.sender.partition("#")[0] != ("n1", "n2")[first_claimant[message.to.partition("#")[0]]], 0

    for step in range(30):
        if step == crash_at:
            world.crash(crashed, disk_lost)
        if step == crash_at + 4:
            world.restart(crashed)
        if world.sent:
            world.deliver(min(range(len(world.sent)), key=lambda index: rank(world.sent[index])))
        else:
            world.tick(10.0)
    return settle_all(world)


TWO_CLAIM_SCENARIOS = list(
    itertools.product(itertools.product((0, 1), repeat=3), range(0, 26), ("n1", "n2", "n3"), (False, True))
)


@pytest.mark.parametrize("part", range(4))
def test_two_claims_in_every_order_with_a_crash_at_every_step(part):
    for arguments in TWO_CLAIM_SCENARIOS[part::4]:
        assert run_two_claims(*arguments).violations == [], arguments


def test_a_majority_does_not_decide_round_0():
    assert any(
        run_two_claims(*arguments, proposals=MajorityDecidesFastRound).violations for arguments in TWO_CLAIM_SCENARIOS
    ) or any(run_random_scenario(seed, proposals=MajorityDecidesFastRound).violations for seed in range(200))


ORDERS = list(itertools.product(itertools.permutations(HALLS), HALLS))


@pytest.mark.parametrize("part", range(8))
def test_all_crash_at_once_and_restart_in_every_order_one_of_them_without_its_disk(part):
    for order, diskless in ORDERS[part::8]:
        world = World(HALLS, 3, 1)
        for number, key in enumerate(KEYS[:1]):
            world.claim(order[number], key, f"r{number}")
            world.settle()
            world.finish(key)
            world.settle()
        reported = {key: set(results) for key, results in world.results.items()}
        for name in HALLS:
            world.crash(name, name == diskless)
        for restarted, name in enumerate(order):
            world.restart(name)
            for number, key in enumerate(KEYS[:1]):
                world.claim(name, key, f"again-{restarted}-{number}", may_be_repeat=True)
            for _ in range(30):  # there may be no answer yet: a majority may not be up
                if world.sent:
                    world.deliver(0)
        assert settle_all(world).violations == [] and world.results == reported, (order, diskless)
        for number, key in enumerate(KEYS[:1]):
            for name in HALLS:
                world.claim(name, key, f"last-{name}-{number}", may_be_repeat=True)
                world.settle()
                assert world.answers[f"last-{name}-{number}"] == "FINISHED", (order, diskless)
        assert world.granted_owners == {key: [f"r{number}"] for number, key in enumerate(KEYS[:1])}


def sender_of(message: Message) -> str:
    return message.sender.partition("#")[0]


def receiver_of(message: Message) -> str:
    return message.to.partition("#")[0]


def lose_contact(world: World, name: str, member: str) -> None:
    world._handle_event(world.machines[name], ReachabilityChanged(member, False, 0))


def deliver(world: World, sender: str, receiver: str) -> None:
    world.deliver(
        next(
            index
            for index, message in enumerate(world.sent)
            if (sender_of(message), receiver_of(message)) == (sender, receiver)
        )
    )


def deliver_all(world: World, matches) -> None:
    """Delivers all matching messages, and those that are sent in consequence."""
    while (index := next((index for index, message in enumerate(world.sent) if matches(message)), None)) is not None:
        world.deliver(index)


def key_not_held_by(world: World, *members: str) -> tuple[tuple[str, str], tuple[str, ...]]:
    """A key that none of these members holds, and its holders."""
    keys = (("c", f"x{number}") for number in itertools.count())
    key = next(key for key in keys if not set(members) & set(world.placement.holders(key)))
    return key, world.placement.holders(key)


def vote_without_disk(**mutant) -> World:
    """Two holders choose a claim while the third is unreachable. One of the two loses its disk, and then gets another
    claim together with the third before it is refilled."""
    world = World(HALLS, 3, 3, **mutant)
    key, (first, second, third) = key_not_held_by(world, "n4")
    lose_contact(world, "n4", third)
    world.claim("n4", key, "r1")
    deliver_all(world, lambda message: True)
    assert world.answers["r1"] == "granted"
    world.crash(first, disk_lost=True)
    world.restart(first)
    world.sent.clear()
    lose_contact(world, third, second)
    world.claim(third, key, "r2")
    deliver_all(world, lambda message: {sender_of(message), receiver_of(message)} <= {first, third})
    return world


def test_a_store_that_lost_its_disk_does_not_vote():
    assert vote_without_disk().answers["r2"] in ("refused", "unsure")
    assert vote_without_disk(registers=VotesBeforeRefill).violations != []


def late_vote(**mutant) -> World:
    """n4 claims a key at two holders. One accepts and loses its disk; the request to the other is delayed.

    The first holder is refilled and agrees with the third one on another try. Then the delayed request arrives.
    """
    world = World(HALLS, 3, 3, **mutant)
    key, (first, second, third) = key_not_held_by(world, "n4")
    lose_contact(world, "n4", third)
    world.claim("n4", key, "r1")
    for holder in (first, second, first):  # both promise, then one accepts
        deliver(world, "n4", holder)
        deliver(world, holder, "n4")
    late = [message for message in world.sent if message.to == second]
    assert len(late) == 1
    world.sent.clear()
    world._handle_event(world.machines["n4"], ReachabilityChanged(third, True, world.machines[third].store))
    world.crash(first, disk_lost=True)
    world.restart(first)
    world.tick(1.0)
    deliver_all(world, lambda message: isinstance(message.payload, FillAsk | Page))
    assert world.machines[first].registers.votes_on_all_keys
    world.sent.clear()
    world.cut_links |= {(third, second), (second, third)}
    lose_contact(world, third, second)
    world.claim(third, key, "r2")
    for _ in range(40):
        deliver_all(world, lambda message: {sender_of(message), receiver_of(message)} <= {first, third})
        world.tick(2.0)
    assert world.answers.get("r2") == "granted"
    world.sent += late
    deliver(world, "n4", second)
    deliver(world, second, "n4")
    return world


def test_a_vote_of_a_lost_store_and_a_later_one_make_no_majority():
    assert late_vote().violations == []
    assert late_vote(registers=NoStoreCheck).violations != []


def test_a_repeat_that_settles_a_claim_of_a_dead_runner_is_reported_once():
    world = World(HALLS, 3, 3)
    key, holders = key_not_held_by(world, "n4")
    world.claim("n4", key, "r1")
    deliver_all(world, lambda message: True)
    assert world.answers["r1"] == "granted"
    world.crash("n4", disk_lost=True)
    world.claim(holders[0], key, "r2", True)  # before any holder checks for orphaned claims
    deliver_all(world, lambda message: True)
    assert world.taken_over == ["r1"] and world.violations == []
    world.tick(1000.0)
    deliver_all(world, lambda message: True)
    assert world.taken_over == ["r1"]  # not a second time


class Fleets(RuleBasedStateMachine):
    """A fleet whose steps Hypothesis chooses. It also shortens a failing sequence."""

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
    @rule(index=st.integers(0, 1 << 16), fate=st.sampled_from(["comes", "comes", "comes", "twice", "lost"]))
    def message(self, index, fate):
        index %= len(self.world.sent)
        if fate == "lost":
            self.world.drop(index)
        else:
            self.world.deliver(index, duplicate=fate == "twice")

    @rule(name=st.sampled_from(sorted(HALLS)), disk_lost=st.booleans())
    def machine(self, name, disk_lost):
        crash_or_restart(self.world, name, disk_lost)

    @rule(by_ms=st.sampled_from([1.0, 10.0, 300.0]))
    def time(self, by_ms):
        self.world.tick(by_ms)

    @invariant()
    def no_violation_is_found(self):
        assert self.world.violations == []

    def teardown(self):
        assert settle_all(self.world).violations == []


TestFleets = Fleets.TestCase
TestFleets.settings = settings(
    max_examples=60, stateful_step_count=80, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)


def test_an_outcome_without_an_answer_is_overdue_at_its_deadline_and_not_at_the_next_retry():
    placement = Placement({"n1": "a", "n2": "b", "n3": "c"}, 3)
    proposals = Proposals("n1#1", placement, lambda runner: True, random.Random(1))
    for name in ("n1", "n2", "n3"):
        proposals.handle(0.0, ReachabilityChanged(name, True, 1))
    proposals.handle(0.0, Finish(KEYS[0], "r1", b"p", 30_000.0, 100.0, Outcome.OK, b""))
    assert proposals.due_ms() == 100.0
    assert OutcomeOverdue("r1") in proposals.handle(100.0, Tick())
    assert proposals.due_ms() > 100.0


class ChecksNextTick(Proposals):
    """Checks that the next tick is due before any wait ends. The deadlines of claims are short."""

    def handle(self, now_ms, event):
        if isinstance(event, Claim):
            event = structs.replace(event, deadline_ms=now_ms + self.rng.choice([1.0, 5.0, 100.0]))
        actions = super().handle(now_ms, event)
        due_times_ms = [poll_at_ms for _, poll_at_ms in self.followed.values()]
        for proposal in self.active.values():
            due_times_ms += [proposal.retry_at_ms, *proposal.waiting_claims.values()]
            due_times_ms += [intent.deadline_ms for intent in proposal.queued if isinstance(intent, Claim)]
            if isinstance(proposal.intent, Finish) and not proposal.abandoned:
                due_times_ms.append(proposal.intent.deadline_ms)
        assert self.due_ms() <= min(due_times_ms, default=math.inf)
        return actions


def test_the_next_tick_is_due_before_any_wait_ends():
    for seed in range(30):
        assert run_random_scenario(seed, proposals=ChecksNextTick).violations == []


def test_an_end_is_reported_to_followers_of_the_key_and_not_to_the_runner_that_wrote_it():
    world = World({"n1": "a", "n2": "b", "n3": "c"}, 3, 1)
    world.claim("n1", KEYS[0], "r1")
    world.settle()
    world.finish(KEYS[0])
    world.settle()
    assert world.counts["Ask"] == world.counts["Vote"] == 6 and world.counts["Ended"] == 0
    world.claim("n1", KEYS[1], "r2")
    world.settle()
    world.claim("n2", KEYS[1], "r3", may_be_repeat=True)
    for _ in range(20):
        if world.sent:
            world.deliver(0)
    world.finish(KEYS[1])
    world.settle()
    assert world.counts["Ended"] >= 2 and world.results[KEYS[1]] == {(Outcome.OK, b"r2")}
