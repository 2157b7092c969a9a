"""The node's clock when the system's wall clock is stepped: it keeps the rate of real time, and ages of requests stay
correct."""

from __future__ import annotations

import pytest

from flintshift.lifecycle.clock import Clock

STEPS_S = (-3600.0, -30.0, -1.0, 1.0, 30.0, 3600.0)


class Times:
    """The two clocks of the system, in seconds."""

    def __init__(self) -> None:
        self.unix, self.monotonic = 1_700_000_000.0, 50.0

    def advance(self, seconds: float) -> None:
        self.unix += seconds
        self.monotonic += seconds


def clock_and_times():
    times = Times()
    return Clock(lambda: times.unix, lambda: times.monotonic), times


def run_clock(clock, times, seconds):
    """Let time pass, and read the clock every 40 ms."""
    for _ in range(round(seconds / 0.04)):
        times.advance(0.04)
        clock()


@pytest.mark.parametrize("step_s", [*STEPS_S, 0.01, -0.01, 0.0])
def test_a_step_does_not_change_the_rate_of_the_clock(step_s):
    clock, times = clock_and_times()
    before = clock()
    times.unix += step_s
    assert clock() == pytest.approx(before, abs=0.01)
    for _ in range(5):
        times.advance(0.25)
        after = clock()
        assert after - before == pytest.approx(250.0, abs=0.01)
        before = after


@pytest.mark.parametrize("step_s", [*STEPS_S, 0.0])
def test_the_age_of_a_request_that_arrives_after_a_step_is_right(step_s):
    clock, times = clock_and_times()
    run_clock(clock, times, 1.0)
    times.unix += step_s
    run_clock(clock, times, 5.0)
    arrival_ms = times.unix * 1000
    times.advance(0.2)
    assert clock.age_ms(arrival_ms) == pytest.approx(200.0, abs=0.01)


@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("since_s", [0.0, 0.004, 0.1])
def test_the_age_of_a_request_in_transit_during_a_step_is_right(step_s, since_s):
    clock, times = clock_and_times()
    run_clock(clock, times, 10.0)
    arrival_ms = times.unix * 1000
    times.advance(0.1)
    clock()
    times.unix += step_s
    times.advance(since_s)
    assert clock.age_ms(arrival_ms) == pytest.approx(100.0 + since_s * 1000, abs=0.01)
    assert clock.age_ms(times.unix * 1000) == pytest.approx(0.0, abs=0.01)


def test_the_ages_of_requests_in_transit_during_several_steps_are_right():
    clock, times = clock_and_times()
    stated_times = []
    for step_s in (3600.0, -30.0, 2.0, -3600.0, 30.0):
        run_clock(clock, times, 0.4)
        stated_times.append((times.unix * 1000, times.monotonic))
        times.advance(0.04)
        clock()
        times.unix += step_s
    times.advance(0.01)
    for arrival_ms, at_s in stated_times:
        assert clock.age_ms(arrival_ms) == pytest.approx((times.monotonic - at_s) * 1000, abs=0.01)


def test_a_time_that_the_wall_clock_never_showed_is_in_the_future():
    clock, times = clock_and_times()
    assert clock.age_ms((times.unix + 60.0) * 1000) == pytest.approx(-60_000.0, abs=0.01)


def test_a_slewed_clock_is_followed_without_a_step():
    clock, times = clock_and_times()
    for _ in range(1000):
        times.advance(0.04)
        times.unix += 0.04 * 500e-6  # the maximum rate at which a system slews its clock
        clock()
    assert not clock.past_epochs
    assert clock.age_ms(times.unix * 1000) == pytest.approx(0.0, abs=0.01)


def test_frequent_readings_cause_no_drift():
    clock, times = clock_and_times()
    first_reading_ms = clock()
    start_times = times.unix, times.monotonic
    for count in range(1, 10_001):
        times.unix, times.monotonic = (since + count / 10_000 for since in start_times)
        clock()
    assert clock() - first_reading_ms == pytest.approx(1000.0, abs=0.1)
