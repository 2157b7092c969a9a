"""Times to come back: that there is room then, that they are spread, kept in fixed memory and given to nobody else."""

from __future__ import annotations

import random
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintshift.fair_queueing.reservations import LATE_SLOTS, RESERVABLE_SHARE, Calendar, CalendarBounds

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "benchmarks"))
import door_model

KEY = b"k" * 16


@settings(max_examples=200, deadline=None)
@given(seed=st.integers(0, 10_000), cost=st.floats(1.0, 200.0), most=st.floats(20.0, 5000.0))
def test_a_promised_time_lies_within_its_bounds_and_its_slot_is_not_given_away_twice(seed, cost, most):
    draw, calendar, now, told = random.Random(seed), Calendar(KEY), 0.0, {}
    for caller in range(150):
        now += draw.random() * 20
        from_ms = draw.random() * 300
        wait = calendar.reserve(now, caller, cost, from_ms, most, draw.random())
        if wait is not None:
            assert from_ms <= wait <= most
            told.setdefault(int((now + wait) / 50.0), []).append(cost)
        assert calendar.entries <= (most / 50 + 3 + LATE_SLOTS) * 65
    for costs in told.values():
        assert len(costs) == 1 or sum(costs) <= RESERVABLE_SHARE * 50.0 + 1e-9


def test_who_comes_at_its_time_finds_its_place_once_and_who_comes_before_or_too_late_none():
    calendar = Calendar(KEY)
    wait = calendar.reserve(1000.0, 7, 10.0, 120.0, 1000.0, 0.0)
    assert wait == 150.0
    assert not calendar.claim(1100.0, 7) and not calendar.claim(1160.0, 8)
    assert calendar.claim(1160.0, 7) and not calendar.claim(1161.0, 7)
    assert calendar.reserve(1200.0, 7, 10.0, 0.0, 1000.0, 0.5) == 75.0  # spread over the slot
    assert not calendar.claim(1250.0 + 50.0 * (LATE_SLOTS + 1), 7) and calendar.entries == 0


def test_a_clock_that_is_set_back_takes_no_promise_back():
    calendar = Calendar(KEY)
    assert calendar.reserve(10_000.0, 7, 10.0, 0.0, 1000.0, 0.0) == 50.0
    assert not calendar.claim(4000.0, 7) and calendar.claim(10_050.0, 7)
    for clock in range(50, 0, -1):  # set back again and again, slots stay, and their number has its bound
        for caller in range(300):
            calendar.reserve(clock * 20_000.0, caller, 40.0, 0.0, 1e9, 0.0)
        assert len(calendar.slots) <= 64 + LATE_SLOTS + 1


def test_memory_is_fixed_whatever_is_asked():
    calendar = Calendar(KEY, CalendarBounds(slots=20, reservations_per_slot=8))
    draw = random.Random(5)
    for number in range(30_000):
        calendar.reserve(number * 0.5, draw.getrandbits(63), 0.01, 0.0, 1e9, draw.random())
        assert calendar.entries <= (20 + 2 + LATE_SLOTS) * 9


@pytest.mark.parametrize("heeds", [True, False])
def test_in_a_flood_those_who_heed_their_time_are_served_then_and_those_who_do_not_gain_nothing(heeds):
    told = door_model.play(heeds, seed=1)
    assert told.served["b"] >= told.asked_b - 2  # promises cost the other club nothing
    if heeds:
        assert told.let_in >= 0.95 and told.kept > 300 and told.late(0.95) <= 50.0
    else:
        assert told.let_in < 0.1


def test_a_storm_of_further_tries_takes_no_place_of_first_ones_nor_of_those_who_heed_their_time():
    calm, storm = door_model.play(True, 1, 6), door_model.play(True, 1, 6, storm=50)
    assert storm.first_kept >= 0.9 * calm.first_kept and storm.let_in >= 0.95
    assert storm.served["b"] >= storm.asked_b - 2
