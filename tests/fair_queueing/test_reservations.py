"""Reserved retry times: capacity is there then, they are spread, take fixed memory and go to nobody else."""

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
@given(seed=st.integers(0, 10_000), cost_ms=st.floats(1.0, 200.0), max_wait_ms=st.floats(20.0, 5000.0))
def test_reserved_time_is_within_bounds_and_slot_is_not_overbooked(seed, cost_ms, max_wait_ms):
    generator, calendar, now_ms, reserved = random.Random(seed), Calendar(KEY), 0.0, {}
    for caller in range(150):
        now_ms += generator.random() * 20
        earliest_ms = generator.random() * 300
        wait_ms = calendar.reserve(now_ms, caller, cost_ms, earliest_ms, max_wait_ms, generator.random())
        if wait_ms is not None:
            assert earliest_ms <= wait_ms <= max_wait_ms
            reserved.setdefault(int((now_ms + wait_ms) / 50.0), []).append(cost_ms)
        assert calendar.entries <= (max_wait_ms / 50 + 3 + LATE_SLOTS) * 65
    for costs in reserved.values():
        assert len(costs) == 1 or sum(costs) <= RESERVABLE_SHARE * 50.0 + 1e-9


def test_reservation_is_claimed_once_and_neither_early_nor_too_late():
    calendar = Calendar(KEY)
    wait_ms = calendar.reserve(1000.0, 7, 10.0, 120.0, 1000.0, 0.0)
    assert wait_ms == 150.0
    assert not calendar.claim(1100.0, 7) and not calendar.claim(1160.0, 8)
    assert calendar.claim(1160.0, 7) and not calendar.claim(1161.0, 7)
    assert calendar.reserve(1200.0, 7, 10.0, 0.0, 1000.0, 0.5) == 75.0  # spread over the slot
    assert not calendar.claim(1250.0 + 50.0 * (LATE_SLOTS + 1), 7) and calendar.entries == 0


def test_reservations_survive_clock_that_is_set_back():
    calendar = Calendar(KEY)
    assert calendar.reserve(10_000.0, 7, 10.0, 0.0, 1000.0, 0.0) == 50.0
    assert not calendar.claim(4000.0, 7) and calendar.claim(10_050.0, 7)
    for clock in range(50, 0, -1):  # set back again and again: slots are kept, and their number is bounded
        for caller in range(300):
            calendar.reserve(clock * 20_000.0, caller, 40.0, 0.0, 1e9, 0.0)
        assert len(calendar.slots) <= 64 + LATE_SLOTS + 1


def test_memory_is_bounded_for_any_requests():
    calendar = Calendar(KEY, CalendarBounds(slots=20, reservations_per_slot=8))
    generator = random.Random(5)
    for number in range(30_000):
        calendar.reserve(number * 0.5, generator.getrandbits(63), 0.01, 0.0, 1e9, generator.random())
        assert calendar.entries <= (20 + 2 + LATE_SLOTS) * 9


@pytest.mark.parametrize("waits", [True, False])
def test_in_overload_callers_that_wait_are_served_on_time_and_others_gain_nothing(waits):
    outcome = door_model.simulate(waits, seed=1)
    assert outcome.served["b"] >= outcome.requests_of_b - 2  # reservations cost the other club nothing
    if waits:
        assert (
            outcome.returns_served_share >= 0.95
            and outcome.served_returns > 300
            and outcome.late_quantile_ms(0.95) <= 50.0
        )
    else:
        assert outcome.returns_served_share < 0.1


def test_retry_storm_displaces_neither_first_tries_nor_reservations():
    baseline, retry_storm = door_model.simulate(True, 1, 6), door_model.simulate(True, 1, 6, retries_per_run=50)
    assert (
        retry_storm.served_first_tries >= 0.9 * baseline.served_first_tries and retry_storm.returns_served_share >= 0.95
    )
    assert retry_storm.served["b"] >= retry_storm.requests_of_b - 2
