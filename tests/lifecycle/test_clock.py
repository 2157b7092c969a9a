"""The node's clock over steps of the system's: it goes at the pace of real time, and no request looks old for it."""

from __future__ import annotations

import pytest

from flintshift.lifecycle.clock import Clock

STEPS_S = (-3600.0, -30.0, -1.0, 1.0, 30.0, 3600.0)


class Times:
    """The system's two clocks, in seconds."""

    def __init__(self) -> None:
        self.unix, self.monotonic = 1_700_000_000.0, 50.0

    def go_on(self, seconds: float) -> None:
        self.unix += seconds
        self.monotonic += seconds


def clock_and_times():
    times = Times()
    return Clock(lambda: times.unix, lambda: times.monotonic), times


def looked_at(clock, times, seconds):
    """Time goes on, with a look at the clock every 40 ms."""
    for _ in range(round(seconds / 0.04)):
        times.go_on(0.04)
        clock()


@pytest.mark.parametrize("step_s", [*STEPS_S, 0.01, -0.01, 0.0])
def test_it_goes_at_the_pace_of_real_time_over_a_step(step_s):
    clock, times = clock_and_times()
    before = clock()
    times.unix += step_s
    assert clock() == pytest.approx(before, abs=0.01)
    for _ in range(5):
        times.go_on(0.25)
        after = clock()
        assert after - before == pytest.approx(250.0, abs=0.01)
        before = after


@pytest.mark.parametrize("step_s", [*STEPS_S, 0.0])
def test_a_request_that_comes_after_a_step_is_as_old_as_it_is(step_s):
    clock, times = clock_and_times()
    looked_at(clock, times, 1.0)
    times.unix += step_s
    looked_at(clock, times, 5.0)
    door_ms = times.unix * 1000
    times.go_on(0.2)
    assert clock.age_ms(door_ms) == pytest.approx(200.0, abs=0.01)


@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("since_s", [0.0, 0.004, 0.1])
def test_a_request_that_is_on_its_way_in_a_step_is_as_old_as_it_is(step_s, since_s):
    clock, times = clock_and_times()
    looked_at(clock, times, 10.0)
    door_ms = times.unix * 1000
    times.go_on(0.1)
    clock()
    times.unix += step_s
    times.go_on(since_s)
    assert clock.age_ms(door_ms) == pytest.approx(100.0 + since_s * 1000, abs=0.01)
    assert clock.age_ms(times.unix * 1000) == pytest.approx(0.0, abs=0.01)


def test_requests_on_their_way_over_several_steps_are_as_old_as_they_are():
    clock, times = clock_and_times()
    told = []
    for step_s in (3600.0, -30.0, 2.0, -3600.0, 30.0):
        looked_at(clock, times, 0.4)
        told.append((times.unix * 1000, times.monotonic))
        times.go_on(0.04)
        clock()
        times.unix += step_s
    times.go_on(0.01)
    for door_ms, at_s in told:
        assert clock.age_ms(door_ms) == pytest.approx((times.monotonic - at_s) * 1000, abs=0.01)


def test_a_time_that_was_never_shown_is_one_of_the_future():
    clock, times = clock_and_times()
    assert clock.age_ms((times.unix + 60.0) * 1000) == pytest.approx(-60_000.0, abs=0.01)


def test_a_clock_that_is_slewed_is_followed_without_a_step():
    clock, times = clock_and_times()
    for _ in range(1000):
        times.go_on(0.04)
        times.unix += 0.04 * 500e-6  # the most that a system slews by
        clock()
    assert not clock.past_epochs
    assert clock.age_ms(times.unix * 1000) == pytest.approx(0.0, abs=0.01)


def test_reading_it_often_adds_up_to_no_drift():
    clock, times = clock_and_times()
    began = clock()
    start = times.unix, times.monotonic
    for count in range(1, 10_001):
        times.unix, times.monotonic = (since + count / 10_000 for since in start)
        clock()
    assert clock() - began == pytest.approx(1000.0, abs=0.1)
