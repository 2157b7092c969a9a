"""The door's heart by itself: who is next, what floods and dear requests cost whom, and that its tables are bounded."""

from __future__ import annotations

import itertools
import math
import random
import tracemalloc
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintshift.fair_queueing.fair_queue import MAX_ENTRY_BYTES, FairQueue, QueueBounds
from flintshift.fair_queueing.messages import (
    QueueSettings,
    RequestArrived,
    RequestRejected,
    RequestWithdrawn,
    RunEnded,
    RunStarted,
)
from flintshift.fair_queueing.reservations import CalendarBounds

KEY, EVEN = b"k" * 16, {"a": 1.0, "b": 1.0}


class Door:
    """The heart with a queue that serves the least rank first, as a fair server would."""

    def __init__(self, weights=EVEN, marks=True, **bounds):
        self.shares = FairQueue(
            QueueSettings(weights, 1, {"look": 10.0, "dear": 10.0}, marks), KEY, QueueBounds(**bounds)
        )
        self.numbers, self.waiting, self.served = itertools.count(), [], Counter()

    def arrive(self, club="a", caller=1, times=1, class_name="look", now_ms=0.0):
        for _ in range(times):
            request = f"r{next(self.numbers)}"
            self.shares.handle(now_ms, RequestArrived(request, club, caller, class_name))
            self.waiting.append((request, club, caller))
        return request

    def next(self):
        return min(self.waiting, key=lambda one: self.shares.rank_ms(one[0]))

    def begin(self, times=1, took_ms=10.0):
        """Serve so many; returns their clubs in order."""
        order = []
        for _ in range(times):
            first = request, club, caller = self.next()
            self.waiting.remove(first)
            self.shares.handle(0.0, RunStarted(request))
            self.shares.handle(0.0, RunEnded(request, took_ms))
            self.served.update({club: took_ms, (club, caller): took_ms})
            order.append(club)
        return order

    def turn_away(self, request):
        self.waiting = [one for one in self.waiting if one[0] != request]
        self.shares.handle(0.0, RequestWithdrawn(request))

    def takes_turns(self, most=2, times=20):
        order = self.begin(times)
        return all(abs(order[:count].count("a") - order[:count].count("b")) <= most for count in range(times + 1))


@settings(max_examples=150, deadline=None)
@given(weights=st.tuples(*[st.floats(0.5, 8.0)] * 3), seed=st.integers(0, 10_000))
def test_clubs_that_always_wait_differ_by_no_more_than_the_bound(weights, seed):
    draw, names = random.Random(seed), ("a", "b", "c")
    door = Door(dict(zip(names, weights, strict=True)))
    of = door.shares.weights
    for club in names:
        door.arrive(club, times=draw.randrange(3, 9))
    for _ in range(120):
        door.arrive(*door.begin())  # it waits again at once
        for _ in range(draw.randrange(2)):  # and others come and are turned away
            door.turn_away(door.arrive(draw.choice(names)))
        lags = [door.served[club] / of[club] for club in names]
        for one, other in itertools.combinations(range(3), 2):
            assert abs(lags[one] - lags[other]) <= 10.0 / of[names[one]] + 10.0 / of[names[other]] + 1e-6


def test_whoever_waits_is_served_and_share_that_nobody_wants_is_given_on_and_not_saved():
    door = Door()
    door.arrive("b")
    door.begin()
    for _ in range(50):
        door.arrive()
        assert door.begin() == ["a"]  # alone, it has all
    door.arrive(times=20)
    door.arrive("b", times=20)
    # "b" saved nothing up while it was away, and "a" owes nothing for it: from here on they take turns.
    assert door.takes_turns()
    door = Door({"a": 1.0})
    door.arrive(caller=2)
    door.arrive(times=40)
    door.begin(41)
    door.arrive(times=3)
    door.arrive(caller=2, times=3)  # and so it is with a caller that was away
    for _ in range(20):
        caller = door.next()[2]
        door.begin()
        door.arrive(caller=caller)
    assert abs(door.served["a", 1] - 400.0 - door.served["a", 2] + 10.0) <= 20.0


def test_a_flood_that_is_turned_away_costs_its_club_nothing_once_it_ends():
    door = Door()
    door.arrive("b")
    for request in [door.arrive() for _ in range(500)][1:]:
        door.turn_away(request)
    door.arrive(times=5)
    door.arrive("b", times=5)
    assert door.takes_turns(times=10)


def test_one_callers_flood_stands_behind_its_clubs_other_callers_and_no_other_club_waits_for_it():
    door = Door()
    door.arrive(times=200)
    for caller in range(2, 6):
        door.arrive(caller=caller, times=4)
    door.arrive("b", caller=9, times=16)
    door.begin(40)
    assert [door.served["a", caller] for caller in range(2, 6)] == [40.0] * 4 and door.served["b"] == 160.0
    assert door.served["a", 1] <= 40.0 * 2


def test_a_club_of_one_caller_keeps_its_share_beside_one_of_five_hundred():
    door = Door()
    for caller in range(500):
        door.arrive(caller=caller)
    door.arrive("b", times=100)
    door.begin(100)
    assert abs(door.served["a"] - door.served["b"]) <= 20.0


def test_requests_that_cost_a_hundred_times_as_much_are_charged_what_they_took():
    door = Door()
    for _ in range(300):
        door.arrive(class_name="dear")
        door.arrive("b")
    for _ in range(202):
        door.begin(took_ms=1000.0 if door.next()[1] == "a" else 10.0)
    assert door.served == {"a": 2000.0, "b": 2000.0, ("a", 1): 2000.0, ("b", 1): 2000.0}
    assert door.shares.class_cost_ms == {"look": 10.0, "dear": pytest.approx(10.0 + 990.0 * (0.1 + 0.09))}
    # Among callers of one club as well: the one whose request was dear stands back for as long.
    door = Door({"a": 1.0})
    door.arrive(caller=1)
    door.begin(took_ms=100.0)
    door.arrive(caller=1, times=9)
    door.arrive(caller=2, times=20)
    door.begin(5)
    assert door.served["a", 1] == 100.0 and door.served["a", 2] == 50.0


@pytest.mark.parametrize("callers", ["all new", "one bucket"])
def test_its_tables_are_bounded_whatever_numbers_and_clubs_come(callers):
    door = Door(
        {"a": 1.0},
        max_known_callers=8,
        caller_buckets=4,
        max_tracked_requests=50,
        calendar=CalendarBounds(slots=10, reservations_per_slot=6),
    )
    draw = random.Random(3)
    for number in range(20_000):
        caller = draw.getrandbits(63) if callers == "all new" else 1 + number % 3
        request = door.arrive(draw.choice(["a", "none", str(number), None]), caller, now_ms=number * 5.0)
        if number % 7 == 0:
            door.turn_away(request)
        elif number % 5 == 0:
            door.shares.handle(0.0, RunStarted(request))
        elif number % 3 == 0 and door.waiting:
            door.begin()
        elif number % 11 == 0:
            door.shares.handle(number * 5.0, RequestRejected(request, 0.0, 1e6, 0.5))
        assert door.shares.entries <= door.shares.max_entries
        del door.waiting[200:]
    # Two clubs: "a" and all others; open requests, classes, and of each club lanes, buckets and slots with places.
    assert door.shares.max_entries == 50 + 2 + 2 * (1 + 8 + 4 + 13 * 7)


@pytest.mark.parametrize("clubs", [1, 5, 50])
def test_full_tables_take_no_more_bytes_than_are_told(clubs):
    names, draw = [f"c{number}" for number in range(clubs)], random.Random(1)
    asked = [(f"{number:016x}", names[number % clubs], draw.getrandbits(63)) for number in range(12_000)]
    tracemalloc.start()
    shares = FairQueue(QueueSettings(dict.fromkeys(names, 1.0), 2, {"look": 20.0}, True), KEY)
    for number, (request, club, caller) in enumerate(asked):
        shares.handle(0.0, RequestArrived(request, club, caller, "look"))
        if number % 3:
            shares.handle(0.0, RequestRejected(request, 0.0, 20_000.0, 0.5))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert shares.entries > 4000 and used <= shares.entries * MAX_ENTRY_BYTES
    assert sum(one.asked for one in shares.status()) == 12_000


def test_a_full_table_of_callers_keeps_who_waits_and_who_is_charged_and_lets_the_others_go():
    door = Door({"a": 1.0}, max_known_callers=4, caller_buckets=2)
    door.arrive(times=20)
    for caller in range(2, 30):
        door.arrive(caller=caller)
    assert set(door.shares.clubs["a"].caller_flows) == {1, 2, 3, 4}
    door.begin(len(door.waiting))
    door.arrive(caller=50)
    assert {1, 50} <= set(door.shares.clubs["a"].caller_flows) and 2 not in door.shares.clubs["a"].caller_flows


def test_callers_chosen_to_meet_in_a_bucket_meet_no_longer_once_the_key_has_changed():
    door = Door({"a": 1.0}, max_known_callers=1, caller_buckets=16, rekey_interval_ms=1000.0)
    door.arrive(caller=0)  # has the one place by number

    def bucket(caller, now_ms):
        request = door.arrive(caller=caller, now_ms=now_ms)
        lane = door.shares.tracked[request].flow
        door.turn_away(request)
        return lane

    victim = bucket(1, 0.0)
    for caller in range(2000):
        bucket(caller, 0.5).charged_ms = 1000.0  # what any of them ran is charged to all of its bucket
    meets = [caller for caller in range(2, 2000) if bucket(caller, 1.0) is victim]
    assert len(meets) > 50
    after = bucket(1, 1500.0)
    assert after is not victim and after.charged_ms == 0.0
    assert sum(bucket(caller, 1501.0) is after for caller in meets) < len(meets) / 4


def test_new_weights_hold_for_what_comes_and_what_waits_keeps_its_rank():
    door = Door()
    before = [door.arrive(club) for club in "abab"]
    door.shares.handle(0.0, QueueSettings({"b": 3.0, "c": 1.0}, 2, {"look": 70.0, "new": 30.0}, True))
    assert door.shares.class_cost_ms == {"look": 10.0, "new": 30.0}
    for request in before[:2]:
        door.turn_away(request)
    assert set(door.shares.clubs) == {"b"} and door.shares.clubs["b"].weight == 1.5
    door.arrive("b", times=40)
    door.arrive("c", times=40)
    door.begin(42)
    assert door.served["b"] > 2 * door.served["c"]
    door.begin(len(door.waiting))
    assert not door.shares.tracked and not door.shares.backlogged


@pytest.mark.parametrize(
    ("marks", "again", "kept"), [(True, True, True), (True, False, False), (False, False, True), (False, True, True)]
)
def test_a_promised_place_is_for_a_further_try_where_these_are_marked_and_else_for_its_caller(marks, again, kept):
    door = Door(marks=marks)
    door.arrive("b")  # waits, so that what "a" is served puts it ahead
    door.arrive(times=4)
    for request, *_ in door.waiting[1:4]:
        door.shares.handle(0.0, RunStarted(request))
    (told,) = door.shares.handle(0.0, RequestRejected(door.waiting[4][0], 0.0, 1000.0, 0.0))
    assert told.reserved and told.wait_ms == 100.0  # three runs of 20 ms at its share are caught up with after 60
    door.arrive(caller=2, times=5)
    door.shares.handle(100.0, RequestArrived("back", "a", 1, "look", again))
    assert (door.shares.tracked["back"].start_tag < 0) == kept


@pytest.mark.parametrize(("callers", "paid"), [(1, 2), (100, 10)])
def test_further_tries_that_first_ones_did_not_pay_for_stand_last_and_are_promised_nothing(callers, paid):
    door = Door({"a": 1.0})
    for number in range(1000):  # what is saved up has its bound
        door.turn_away(door.arrive(caller=number % callers))

    def further(request, caller):
        door.shares.handle(0.0, RequestArrived(request, "a", caller, "look", True))
        return door.shares.tracked[request].start_tag < math.inf

    assert [further(f"s{number}", number % callers) for number in range(20)] == [True] * paid + [False] * (20 - paid)
    assert [
        door.shares.handle(0.0, RequestRejected(f"s{number}", 0.0, 1000.0, 0.0))[0].reserved for number in (0, 19)
    ] == [
        True,
        False,
    ]
    late = door.arrive(caller=7)
    assert door.shares.rank_ms(late) < door.shares.rank_ms("s18")
    for _ in range(5):
        door.arrive(caller=1 % callers)
    assert further("paid", 1 % callers) and not further("not", 1 % callers)


def test_every_interleaving_of_a_small_site_keeps_its_sums_and_starves_nobody():
    """Six steps over two clubs and two callers: arrivals, starts, ends and refusals in every order."""

    def walk(steps):
        shares = FairQueue(QueueSettings({"a": 2.0, "b": 1.0}, 1, {"look": 10.0}, True), KEY)
        waiting, running, least = [], [], 0.0
        for number, step in enumerate(steps):
            if isinstance(step, tuple):
                shares.handle(0.0, RequestArrived(f"r{number}", *step, "look"))
                waiting.append(f"r{number}")
            elif step == "begin" and waiting:
                running.append(min(waiting, key=shares.rank_ms))
                waiting.remove(running[-1])
                shares.handle(0.0, RunStarted(running[-1]))
            elif step == "leave" and waiting:
                shares.handle(0.0, RequestWithdrawn(waiting.pop()))
            elif step == "end" and running:
                shares.handle(0.0, RunEnded(running.pop(0), 25.0))
            else:
                return
            assert shares.virtual_ms >= least
            least = shares.virtual_ms
            assert len(shares.tracked) == len(waiting) + len(running)
            for club in shares.clubs.values():
                lanes = [*club.caller_flows.values(), *club.bucket_flows.values()]
                assert len(club.waiting) == sum(lane.waiting_count for lane in lanes)
                assert (club in shares.backlogged) == bool(club.waiting)
                costs = sum(
                    entry.cost_ms for entry in shares.tracked.values() if entry.club is club and not entry.running
                )
                assert abs(sum(lane.waiting_cost_ms for lane in lanes) - costs) < 1e-6
            # One club's places follow each other without a gap, from its charge on: nobody is passed over for ever.
            for club in shares.backlogged:
                at = max(shares.virtual_ms, club.charged_ms)
                for rank, cost in sorted(
                    (shares.rank_ms(name), entry.cost_ms)
                    for name, entry in shares.tracked.items()
                    if entry in club.waiting
                ):
                    assert abs(rank - at) < 1e-6
                    at += cost / club.weight

    for steps in itertools.product([("a", 1), ("a", 2), ("b", 1), "begin", "end", "leave"], repeat=6):
        walk(steps)


def test_a_request_that_came_twice_or_that_nobody_knows_changes_nothing():
    door = Door({"a": 1.0}, max_tracked_requests=2)
    first = door.arrive()
    door.shares.handle(0.0, RequestArrived(first, "a", 1, "look"))
    assert door.shares.clubs["a"].caller_flows[1].waiting_count == 1
    second, third = door.arrive(), door.arrive()  # the third is past the bound: ranked last, not followed
    assert len(door.shares.tracked) == 2 and door.shares.rank_ms(third) > door.shares.rank_ms(second)
    for event in (
        RunStarted("none"),
        RequestWithdrawn("none"),
        RunEnded("none", 5.0),
        RunEnded(first, 5.0),
        RequestWithdrawn(first),
        RequestWithdrawn(second),
    ):
        door.shares.handle(0.0, event)
    assert not door.shares.tracked and not door.shares.backlogged
