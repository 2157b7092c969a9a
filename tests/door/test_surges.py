"""When a surge is told of, once and by name, and when it is not."""

from __future__ import annotations

from flintshift.door.surges import CALM, TOLD_MS, Surges
from flintshift.door.vocabulary import SurgeBegan, SurgeEnded, SurgeGoesOn


class Clubs:
    """Two of them, with a core each; a window of each second."""

    def __init__(self):
        self.now, self.surges = 0.0, Surges({"a": 1.0, "b": 1.0}, 0.0)

    def second(self, club="a", times=0.0, turned_away=0, takes_ms=1000.0):
        for _ in range(10):
            self.surges.asked(club, times * takes_ms / 10)
        for _ in range(turned_away):
            self.surges.turned_away(club)
        assert self.surges.tick(self.now + takes_ms - 1.0 if takes_ms == 1000.0 else self.now) == []
        self.now += takes_ms
        return self.surges.tick(self.now)


def test_a_surge_is_told_as_it_begins_and_ends_with_what_it_cost():
    clubs = Clubs()
    assert clubs.second(times=0.9) == []
    began, = clubs.second(times=5.9, turned_away=40)
    assert began == SurgeBegan("a", began.times, 40) and abs(began.times - 5.9) < 0.01
    assert clubs.second(times=8.0, turned_away=70) == []
    assert clubs.second(times=1.0) == [] == clubs.second(times=1.0)
    ended, = clubs.second()
    assert ended == SurgeEnded("a", 4000.0, ended.most_times, 110) and abs(ended.most_times - 8.0) < 0.01
    assert clubs.second() == []


def test_a_club_within_its_share_that_is_turned_away_and_one_past_it_that_is_not_are_no_surges():
    clubs = Clubs()
    for _ in range(5):
        assert clubs.second(times=1.0, turned_away=30) == [] == clubs.second("b", times=9.0)


def test_a_club_that_comes_and_goes_by_the_second_is_one_surge():
    clubs = Clubs()
    told = [word for number in range(20)
            for word in clubs.second(times=6.0 * (number % 2), turned_away=50 * (number % 2))]
    assert [type(word) for word in told] == [SurgeBegan]
    told = [word for _ in range(CALM) for word in clubs.second()]
    assert [type(word) for word in told] == [SurgeEnded] and told[0].turned_away == 500


def test_a_surge_that_goes_on_is_told_again_by_the_minute():
    clubs = Clubs()
    told = [word for _ in range(1 + 2 * int(TOLD_MS / 1000)) for word in clubs.second(times=6.0, turned_away=5)]
    assert [type(word) for word in told] == [SurgeBegan, SurgeGoesOn, SurgeGoesOn]
    assert told[1].turned_away == 5 * 61 and told[2].since_ms == 2 * TOLD_MS


def test_a_window_that_ends_late_is_counted_as_long_as_it_was_and_a_clock_that_stands_still_ends_none():
    clubs = Clubs()
    began, = clubs.second(times=4.0, turned_away=9, takes_ms=3000.0)
    assert abs(began.times - 4.0) < 0.01
    assert clubs.surges.tick(clubs.now) == []


def test_clubs_without_a_weight_are_one_and_a_club_that_lost_its_weight_is_forgotten():
    clubs = Clubs()
    for number in range(1000):
        clubs.surges.asked(f"made up {number}", 10.0)
        clubs.surges.turned_away(f"made up {number}")
    assert len(clubs.surges.counts) == 1
    began, = clubs.second()
    assert began.club is None and began.turned_away == 1000
    clubs.second("a", times=3.0, turned_away=1)
    ended, = clubs.surges.weigh(clubs.now + 500.0, {"b": 2.0})
    assert ended == SurgeEnded("a", 500.0, 3.0, 1) and set(clubs.surges.counts) == {None}
