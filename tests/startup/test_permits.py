"""Start permits: the hearts of a fleet on one clock, with members that die, sleep and are cut off."""

from __future__ import annotations

import random

import pytest

from flintshift.startup.permits import (
    Permit,
    PermitGranter,
    PermitRequest,
    PermitRequester,
    PermitTiming,
    Proceed,
    SendPermitRequest,
    granter_order,
)

PACE = PermitTiming()
RAMP_MS = 800.0  # of a start, once it goes on


class Fleet:
    """Members that all start at once. ``deaf``: pairs between which nothing passes; ``down``: who is dead."""

    def __init__(self, count: int, at_once: int, seed: int = 1) -> None:
        self.names = tuple(f"n{number}" for number in range(count))
        self.now, self.deaf, self.down, self.asleep = 0.0, set(), set(), set()
        self.draw = random.Random(seed)
        self.starters = {name: PermitRequester(name, self.names, self.draw.uniform) for name in self.names}
        self.granters = {name: PermitGranter(at_once, self.lives) for name in self.names}
        self.went: dict[str, tuple[float, str]] = {}
        self.steady: set[str] = set()
        self.most = 0  # that were under way at once

    def lives(self, identity: str) -> bool:
        return identity not in self.down

    def reach(self, name: str) -> set[str]:
        return {
            other
            for other in self.names
            if other not in self.down | self.asleep
            and (name, other) not in self.deaf
            and (other, name) not in self.deaf
        }

    def step(self, by_ms: float = 20.0) -> None:
        self.now += by_ms
        for name, starter in self.starters.items():
            if name in self.down or name in self.asleep:
                continue
            self.act(name, starter.request(self.now, self.reach(name)))
            if name in self.went and name not in self.steady and self.now - self.went[name][0] >= RAMP_MS:
                self.steady.add(name)
                self.act(name, starter.finish())
        self.most = max(self.most, len(self.went.keys() - self.steady - self.down))

    def act(self, name: str, actions: list) -> None:
        for action in actions:
            match action:
                case Proceed(cause):
                    self.went[name] = self.now, cause
                case SendPermitRequest(to, word) if to in self.reach(name) | {name} and to not in self.asleep:
                    told = self.granters[to].on_request(self.now, name, word)
                    if told is not None:
                        self.act(name, self.starters[name].on_permit(self.now, to, told))

    def until(self, ms: float) -> None:
        while self.now < ms:
            self.step()


def test_a_few_start_at_a_time_and_all_do():
    fleet = Fleet(40, at_once=5)
    fleet.until(15_000.0)
    assert len(fleet.steady) == 40 and fleet.most == 5
    assert fleet.now >= max(at for at, _ in fleet.went.values()) >= 40 / 5 * RAMP_MS - RAMP_MS


def test_a_holder_that_dies_frees_its_permit():
    fleet = Fleet(6, at_once=1)
    fleet.until(100.0)
    (first,) = fleet.went
    fleet.down.add(first)
    fleet.until(600.0)
    assert len(fleet.went) == 2


def test_a_holder_that_is_paused_past_its_lease_loses_the_permit_and_goes_on_when_it_wakes():
    fleet = Fleet(6, at_once=1)
    fleet.until(100.0)
    (first,) = fleet.went
    fleet.asleep.add(first)
    fleet.until(PACE.lease_ms + 600.0)
    assert len(fleet.went) >= 2
    fleet.until(10_000.0)
    fleet.asleep.discard(first)
    fleet.until(30_000.0)
    assert fleet.steady == set(fleet.names)


def test_the_granter_dies_and_the_next_in_the_order_goes_on():
    fleet = Fleet(12, at_once=2)
    fleet.until(1500.0)
    before = len(fleet.went)
    fleet.down.add(granter_order(fleet.names)[0])
    fleet.until(12_000.0)
    assert before < 11 and fleet.went.keys() | fleet.down == set(fleet.names)
    assert fleet.most <= 4  # twice as many for a lease at the most


def test_a_cut_makes_two_granters_and_at_most_twice_as_many():
    fleet = Fleet(20, at_once=2)
    half = fleet.names[::2]
    fleet.deaf = {(one, other) for one in half for other in fleet.names if other not in half}
    fleet.until(15_000.0)
    assert len(fleet.steady) == 20 and fleet.most == 4


def test_a_node_without_a_member_in_reach_goes_after_a_second_and_a_fleet_of_one_at_once():
    fleet = Fleet(5, at_once=2)
    fleet.down = set(fleet.names[1:])
    fleet.until(PACE.alone_ms + 40.0)
    assert fleet.went["n0"][1] == "no member is in reach" and fleet.went["n0"][0] <= PACE.alone_ms + 20.0
    alone = Fleet(1, at_once=1)
    alone.step()
    assert alone.went["n0"][1] == "n0 has granted a permit"


def test_nobody_waits_for_ever_for_a_granter_that_only_says_no():
    starter = PermitRequester("n1", ("n1", "n2"), random.Random(1).uniform)
    now, went = 0.0, []
    while not went and now < 60_000.0:
        for action in starter.request(now, {"n2"}):
            if isinstance(action, SendPermitRequest):
                starter.on_permit(now, action.to, Permit(action.word.number, False))
            else:
                went.append(now)
        now += 20.0
    assert went and went[0] <= PACE.patience_ms + 20.0


@pytest.mark.parametrize("permit", [Permit(0, True), Permit(2, True), Permit(1, False)])
def test_an_answer_to_another_question_or_a_no_lets_nobody_go(permit):
    starter = PermitRequester("n1", ("n1", "n2"), random.Random(1).uniform)
    asked = starter.request(0.0, {"n2"})
    assert isinstance(asked[0], SendPermitRequest)
    assert starter.on_permit(1.0, asked[0].to, permit) == [] and not starter.proceeded
    assert starter.on_permit(1.0, "n9", Permit(1, True)) == []  # nor one of a member that was not asked


def test_who_waits_longest_goes_first_and_tables_are_bounded():
    granter = PermitGranter(1, lambda identity: True, PermitTiming(most=50))
    assert granter.on_request(0.0, "a", PermitRequest(1)).granted
    assert (
        not granter.on_request(1.0, "b", PermitRequest(1)).granted
        and not granter.on_request(2.0, "c", PermitRequest(1)).granted
    )
    granter.on_request(3.0, "a", PermitRequest(2, done=True))
    assert (
        not granter.on_request(4.0, "c", PermitRequest(2)).granted
        and granter.on_request(5.0, "b", PermitRequest(2)).granted
    )
    for number in range(500):
        granter.on_request(6.0, f"p{number}", PermitRequest(1))
        granter.on_request(6.0, f"q{number}", PermitRequest(1, holds=True))
    assert len(granter.waiting) <= 50 and len(granter.granted_until_ms) <= 50


def test_members_in_reach_that_do_not_answer_are_passed_over_and_two_of_them_hold_up_nobody():
    names = tuple(f"n{number}" for number in range(6))
    first, second, *_, last = granter_order(names)
    for mute, asked, most_ms in (
        ({first}, second, PACE.alone_ms + 500.0),
        ({first, second}, None, 2 * PACE.alone_ms + 900.0),
    ):
        starter, granter = (
            PermitRequester(last, names, random.Random(1).uniform),
            PermitGranter(1, lambda identity: True),
        )
        now, went = 0.0, []
        while not went and now < 60_000.0:
            for action in starter.request(now, set(names) - {last}):
                if isinstance(action, Proceed):
                    went.append((now, action.cause))
                elif action.to not in mute:
                    went += [
                        (now, one.cause)
                        for one in starter.on_permit(now, action.to, granter.on_request(now, last, action.word))
                    ]
            now += 20.0
        assert went[0][0] <= most_ms
        assert went[0][1] == (
            f"{asked} has granted a permit" if asked else f"{' and '.join(sorted(mute))} do not answer"
        )
