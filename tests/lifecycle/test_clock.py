"""The node's clock over steps of the system's: nothing stands still, and no request looks old for it."""

from __future__ import annotations

import pytest

from flintshift.lifecycle.clock import Clock


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


@pytest.mark.parametrize("step_s", [-3600.0, -1.0, -0.01, 0.0])
def test_a_clock_that_is_set_back_goes_on_at_its_own_pace(step_s):
    clock, times = clock_and_times()
    before = clock()
    times.unix += step_s
    for _ in range(5):
        times.go_on(0.25)
        after = clock()
        assert after - before == pytest.approx(250.0, abs=0.01)
        before = after


def test_a_clock_that_is_set_forward_is_followed_at_once():
    clock, times = clock_and_times()
    before = clock()
    times.unix += 60.0
    assert clock() - before == pytest.approx(60_000.0)


@pytest.mark.parametrize("step_s", [-3600.0, 0.0, 60.0])
def test_a_request_that_comes_after_a_step_is_as_old_as_it_is(step_s):
    clock, times = clock_and_times()
    clock()
    times.unix += step_s
    times.go_on(5.0)
    door_ms = times.unix * 1000
    times.go_on(0.2)
    assert clock() - clock.placed(door_ms) == pytest.approx(200.0, abs=0.01)


def test_reading_it_often_adds_up_to_no_drift():
    clock, times = clock_and_times()
    began = clock()
    start = times.unix, times.monotonic
    for count in range(1, 10_001):
        times.unix, times.monotonic = (since + count / 10_000 for since in start)
        clock()
    assert clock() - began == pytest.approx(1000.0, abs=0.1)
