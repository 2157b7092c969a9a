"""The door's heart by itself: who is next, what floods and dear requests cost whom, and that its tables are bounded."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintshift.door.shares import Bounds, Shares
from flintshift.door.vocabulary import Arrived, Began, Ended, Left, Weighed

KEY = b"k" * 16


class Door:
    """The heart with a queue that serves the least rank first, as a fair server would."""

    def __init__(self, weights, cost_ms=10.0, cores=1, bounds=None):
        self.shares = Shares(Weighed(weights, cores, {"look": cost_ms, "dear": cost_ms}, True), KEY, bounds)
        self.numbers, self.waiting, self.served = itertools.count(), [], {}

    def arrive(self, club, caller=1, class_name="look", now_ms=0.0):
        request = f"r{next(self.numbers)}"
        self.shares.handle(now_ms, Arrived(request, club, caller, class_name))
        self.waiting.append((request, club, caller))
        return request

    def begin(self, took_ms=10.0):
        """Serve the next one; returns its club and caller."""
        first = min(self.waiting, key=lambda one: self.shares.rank_ms(one[0]))
        self.waiting.remove(first)
        request, club, caller = first
        self.shares.handle(0.0, Began(request))
        self.shares.handle(0.0, Ended(request, took_ms))
        for whose in (club, (club, caller)):
            self.served[whose] = self.served.get(whose, 0.0) + took_ms
        return club, caller

    def turn_away(self, request):
        self.waiting = [one for one in self.waiting if one[0] != request]
        self.shares.handle(0.0, Left(request))


@settings(max_examples=150, deadline=None)
@given(weights=st.tuples(*[st.floats(0.5, 8.0)] * 3), seed=st.integers(0, 10_000))
def test_clubs_that_always_wait_differ_by_no_more_than_the_bound(weights, seed):
    draw, names = random.Random(seed), ("a", "b", "c")
    door = Door(dict(zip(names, weights, strict=True)))
    of = door.shares.weights
    for club in names:
        for _ in range(draw.randrange(3, 9)):
            door.arrive(club)
    for _ in range(120):
        club, _ = door.begin(10.0)
        door.arrive(club)  # it waits again at once
        for _ in range(draw.randrange(2)):  # and others come and are turned away
            door.turn_away(door.arrive(draw.choice(names)))
        lags = [door.served.get(club, 0.0) / of[club] for club in names]
        for one, other in itertools.combinations(range(3), 2):
            assert abs(lags[one] - lags[other]) <= 10.0 / of[names[one]] + 10.0 / of[names[other]] + 1e-6


def test_whoever_waits_is_served_and_share_that_nobody_wants_is_given_on_and_not_saved():
    door = Door({"a": 1.0, "b": 1.0})
    for _ in range(50):
        door.arrive("a")
        assert door.begin()[0] == "a"  # alone, it has all
    for _ in range(10):
        door.arrive("a")
        door.arrive("b")
    # "b" saved nothing up while it was away, and "a" owes nothing for it: from here on they take turns.
    order = "".join(door.begin()[0] for _ in range(20))
    assert all(abs(order[:count].count("a") - order[:count].count("b")) <= 2 for count in range(20))


def test_a_flood_that_is_turned_away_costs_its_club_nothing_once_it_ends():
    door = Door({"a": 1.0, "b": 1.0})
    door.arrive("b")
    flood = [door.arrive("a") for _ in range(500)]
    for request in flood[1:]:
        door.turn_away(request)
    for _ in range(5):
        door.arrive("a")
        door.arrive("b")
    order = "".join(door.begin()[0] for _ in range(10))
    assert abs(order.count("a") - order.count("b")) <= 2


def test_one_callers_flood_stands_behind_its_clubs_other_callers_and_no_other_club_waits_for_it():
    door = Door({"a": 1.0, "b": 1.0})
    for _ in range(200):
        door.arrive("a", caller=1)
    for caller in range(2, 6):
        for _ in range(4):
            door.arrive("a", caller=caller)
    for _ in range(16):
        door.arrive("b", caller=9)
    for _ in range(40):
        door.begin()
    assert [door.served["a", caller] for caller in range(2, 6)] == [40.0] * 4 and door.served["b"] == 160.0
    assert door.served["a", 1] <= 40.0 * 2


def test_a_club_of_one_caller_keeps_its_share_beside_one_of_five_hundred():
    door = Door({"a": 1.0, "b": 1.0})
    for caller in range(500):
        door.arrive("a", caller=caller)
    for _ in range(100):
        door.arrive("b")
    for _ in range(100):
        door.begin()
    assert abs(door.served["a"] - door.served["b"]) <= 20.0


def test_requests_that_cost_a_hundred_times_as_much_are_charged_what_they_took():
    door = Door({"a": 1.0, "b": 1.0})
    for _ in range(300):
        door.arrive("a", class_name="dear")
        door.arrive("b")
    for _ in range(202):
        club = min(door.waiting, key=lambda one: door.shares.rank_ms(one[0]))[1]
        door.begin(1000.0 if club == "a" else 10.0)
    assert door.served == {"a": 2000.0, "b": 2000.0, ("a", 1): 2000.0, ("b", 1): 2000.0}


@pytest.mark.parametrize("callers", ["all new", "one bucket"])
def test_its_tables_are_bounded_whatever_numbers_and_clubs_come(callers):
    bounds = Bounds(lanes=8, buckets=4, open=50)
    door = Door({"a": 1.0}, bounds=bounds)
    draw = random.Random(3)
    for number in range(20_000):
        caller = draw.getrandbits(63) if callers == "all new" else 1 + number % 3
        request = door.arrive(draw.choice(["a", "none", str(number), None]), caller, now_ms=number * 5.0)
        if number % 7 == 0:
            door.turn_away(request)
        elif number % 5 == 0:
            door.shares.handle(0.0, Began(request))
        elif number % 3 == 0 and door.waiting:
            door.begin()
        # Two clubs: "a" and all others; open requests, classes, and of each club lanes and buckets.
        assert door.shares.places <= 50 + 2 + 2 * (1 + 8 + 4)
        del door.waiting[200:]


def test_a_full_table_of_callers_keeps_who_waits_and_who_is_charged_and_lets_the_others_go():
    door = Door({"a": 1.0}, bounds=Bounds(lanes=4, buckets=2))
    for _ in range(20):
        door.arrive("a", caller=1)
    for caller in range(2, 30):
        door.arrive("a", caller=caller)
    assert set(door.shares.clubs["a"].lanes) == {1, 2, 3, 4}
    while door.waiting:
        door.begin()
    door.arrive("a", caller=50)
    assert 50 in door.shares.clubs["a"].lanes and 2 not in door.shares.clubs["a"].lanes


def test_callers_chosen_to_meet_in_a_bucket_meet_no_longer_once_the_key_has_changed():
    bounds = Bounds(lanes=1, buckets=16, rekey_ms=1000.0)
    door = Door({"a": 1.0}, bounds=bounds)
    door.arrive("a", caller=0)  # has the one place by number

    def bucket(caller, now_ms):
        request = door.arrive("a", caller, now_ms=now_ms)
        lane = door.shares.open[request].lane
        door.turn_away(request)
        return lane
    victim = bucket(1, 0.0)
    meets = [caller for caller in range(2, 2000) if bucket(caller, 1.0) is victim]
    assert len(meets) > 50
    after = bucket(1, 1500.0)
    assert after is not victim
    assert sum(bucket(caller, 1501.0) is after for caller in meets) < len(meets) / 4


def test_new_weights_hold_for_what_comes_and_what_waits_keeps_its_rank():
    door = Door({"a": 1.0, "b": 1.0})
    before = [door.arrive(club) for club in "abab"]
    door.shares.handle(0.0, Weighed({"b": 3.0, "c": 1.0}, 2, {"look": 70.0, "new": 30.0}, True))
    assert door.shares.cost_ms == {"look": 10.0, "new": 30.0}
    for request in before[:2]:
        door.turn_away(request)
    assert set(door.shares.clubs) == {"b"} and door.shares.clubs["b"].weight == 1.5
    for _ in range(40):
        door.arrive("b")
        door.arrive("c")
    for _ in range(2 + 40):
        door.begin()
    assert door.served["b"] > 2 * door.served["c"]
    while door.waiting:
        door.begin()
    assert not door.shares.open and not door.shares.backlogged


def test_every_interleaving_of_a_small_site_keeps_its_sums_and_starves_nobody():
    """Up to seven steps over two clubs and two callers: arrivals, starts, ends and refusals in every order."""
    def walk(steps):
        shares = Shares(Weighed({"a": 2.0, "b": 1.0}, 1, {"look": 10.0}, True), KEY)
        waiting, running, least = [], [], 0.0
        for number, step in enumerate(steps):
            if isinstance(step, tuple):
                shares.handle(0.0, Arrived(f"r{number}", *step, "look"))
                waiting.append(f"r{number}")
            elif step == "begin" and waiting:
                first = min(waiting, key=shares.rank_ms)
                waiting.remove(first)
                running.append(first)
                shares.handle(0.0, Began(first))
            elif step == "leave" and waiting:
                shares.handle(0.0, Left(waiting.pop()))
            elif step == "end" and running:
                shares.handle(0.0, Ended(running.pop(0), 25.0))
            else:
                return
            assert shares.virtual >= least
            least = shares.virtual
            assert len(shares.open) == len(waiting) + len(running)
            for club in shares.clubs.values():
                lanes = [*club.lanes.values(), *club.buckets.values()]
                assert len(club.waiting) == sum(lane.waiting for lane in lanes)
                assert (club in shares.backlogged) == bool(club.waiting)
                costs = sum(entry.cost for entry in shares.open.values() if entry.club is club and not entry.began)
                assert abs(sum(lane.waiting_ms for lane in lanes) - costs) < 1e-6
            # One club's places follow each other without a gap, from its charge on: nobody is passed over for ever.
            for club in shares.backlogged:
                ranks = sorted((shares.rank_ms(name), entry.cost) for name, entry in shares.open.items()
                               if entry in club.waiting)
                at = max(shares.virtual, club.charged)
                for rank, cost in ranks:
                    assert abs(rank - at) < 1e-6
                    at += cost / club.weight

    arrivals = [("a", 1), ("a", 2), ("b", 1)]
    for steps in itertools.product([*arrivals, "begin", "end", "leave"], repeat=6):
        walk(steps)


def test_a_request_that_came_twice_or_that_nobody_knows_changes_nothing():
    door = Door({"a": 1.0}, bounds=Bounds(open=1))
    first = door.arrive("a")
    door.shares.handle(0.0, Arrived(first, "a", 1, "look"))
    second = door.arrive("a")  # past the bound: ranked last, not followed
    assert len(door.shares.open) == 1 and door.shares.rank_ms(second) > door.shares.rank_ms(first)
    for event in (Began("none"), Left("none"), Ended("none", 5.0), Ended(first, 5.0), Left(first)):
        door.shares.handle(0.0, event)
    assert not door.shares.open and not door.shares.backlogged
