"""When a surge is told of, once and by name, and when it is not."""

from __future__ import annotations

import pytest

from flintshift.fair_queueing.messages import OverloadContinued, OverloadEnded, OverloadStarted
from flintshift.fair_queueing.overload import CALM_WINDOWS, REPORT_INTERVAL_MS, OverloadDetector


class Clubs:
    """Two of them, with a core each; a window of each second."""

    def __init__(self):
        self.now, self.surges = 0.0, OverloadDetector({"a": 1.0, "b": 1.0}, 0.0)

    def second(self, times=0.0, turned_away=0, club="a", takes_ms=1000.0):
        self.surges.record_arrival(club, times * takes_ms)
        for _ in range(turned_away):
            self.surges.record_rejection(club)
        assert self.surges.tick(self.now + min(takes_ms, 1000.0) - 1.0) == []
        self.now += takes_ms
        return self.surges.tick(self.now)


MINUTE = int(REPORT_INTERVAL_MS / 1000)
CASES = {  # each second: times its share, and turned away; what is told, by the second
    "as it begins and ends, with what it cost": (
        [(0.9, 0), (5.9, 40), (8.0, 70), *[(1.0, 0)] * 2, (0.0, 0), (0.0, 0)],
        {1: OverloadStarted("a", 5.9, 40), 5: OverloadEnded("a", 4000.0, 8.0, 110)},
    ),
    "not of a club within its share": ([(1.0, 30)] * 5, {}),
    "not of one past it that is served": ([(9.0, 0)] * 5, {}),
    "one that comes and goes by the second is one": (
        [(0.0, 0), (6.0, 50)] * 10 + [(0.0, 0)] * CALM_WINDOWS,
        {
            1: OverloadStarted("a", 6.0, 50),
            19 + CALM_WINDOWS: OverloadEnded("a", (18 + CALM_WINDOWS) * 1000.0, 6.0, 500),
        },
    ),
    "one that goes on is told again by the minute": (
        [(6.0, 5)] * (1 + 2 * MINUTE),
        {
            0: OverloadStarted("a", 6.0, 5),
            MINUTE: OverloadContinued("a", REPORT_INTERVAL_MS, 6.0, 5 * (MINUTE + 1)),
            2 * MINUTE: OverloadContinued("a", 2 * REPORT_INTERVAL_MS, 6.0, 5 * (2 * MINUTE + 1)),
        },
    ),
}


@pytest.mark.parametrize(("seconds", "told"), CASES.values(), ids=CASES)
def test_a_surge_is_told(seconds, told):
    clubs = Clubs()
    found = {at: clubs.second(*second) for at, second in enumerate(seconds)}
    assert {at: words for at, words in found.items() if words} == {at: [word] for at, word in told.items()}


def test_a_window_that_ends_late_is_counted_as_long_as_it_was_and_a_clock_that_stands_still_ends_none():
    clubs = Clubs()
    assert clubs.second(4.0, 9, takes_ms=3000.0) == [OverloadStarted("a", 4.0, 9)]
    assert clubs.surges.tick(clubs.now) == []


def test_clubs_without_a_weight_are_one_and_a_club_that_loses_its_weight_has_its_surge_ended():
    clubs = Clubs()
    for number in range(1000):
        clubs.surges.record_arrival(f"made up {number}", 10.0)
        clubs.surges.record_rejection(f"made up {number}")
    assert len(clubs.surges.demands) == 1
    assert clubs.second() == [OverloadStarted(None, 10.0, 1000)]
    clubs.second(3.0, 1)
    assert clubs.surges.set_weights(clubs.now + 500.0, {"b": 2.0}) == [OverloadEnded("a", 500.0, 3.0, 1)]
    assert set(clubs.surges.demands) == {None}
