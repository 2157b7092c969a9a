"""The overload detector reports an overload once, with the club's name, and only where there is one."""

from __future__ import annotations

import pytest

from flintshift.fair_queueing.messages import OverloadContinued, OverloadEnded, OverloadStarted
from flintshift.fair_queueing.overload import CALM_WINDOWS, REPORT_INTERVAL_MS, OverloadDetector


class SimulatedClubs:
    """A detector with two clubs, which have a core each, and windows of a second."""

    def __init__(self):
        self.now_ms, self.detector = 0.0, OverloadDetector({"a": 1.0, "b": 1.0}, 0.0)

    def second(self, demand_ratio=0.0, rejected=0, club="a", duration_ms=1000.0):
        self.detector.record_arrival(club, demand_ratio * duration_ms)
        for _ in range(rejected):
            self.detector.record_rejection(club)
        assert self.detector.tick(self.now_ms + min(duration_ms, 1000.0) - 1.0) == []
        self.now_ms += duration_ms
        return self.detector.tick(self.now_ms)


REPORT_INTERVAL_S = int(REPORT_INTERVAL_MS / 1000)
CASES = {  # by second: the demand as a multiple of the share, and the rejections; then the reports, by second
    "start and end, with the rejections": (
        [(0.9, 0), (5.9, 40), (8.0, 70), *[(1.0, 0)] * 2, (0.0, 0), (0.0, 0)],
        {1: OverloadStarted("a", 5.9, 40), 5: OverloadEnded("a", 4000.0, 8.0, 110)},
    ),
    "club within its share": ([(1.0, 30)] * 5, {}),
    "club past its share without rejections": ([(9.0, 0)] * 5, {}),
    "one overload for a club that is overloaded every other second": (
        [(0.0, 0), (6.0, 50)] * 10 + [(0.0, 0)] * CALM_WINDOWS,
        {
            1: OverloadStarted("a", 6.0, 50),
            19 + CALM_WINDOWS: OverloadEnded("a", (18 + CALM_WINDOWS) * 1000.0, 6.0, 500),
        },
    ),
    "a lasting overload is reported every minute": (
        [(6.0, 5)] * (1 + 2 * REPORT_INTERVAL_S),
        {
            0: OverloadStarted("a", 6.0, 5),
            REPORT_INTERVAL_S: OverloadContinued("a", REPORT_INTERVAL_MS, 6.0, 5 * (REPORT_INTERVAL_S + 1)),
            2 * REPORT_INTERVAL_S: OverloadContinued("a", 2 * REPORT_INTERVAL_MS, 6.0, 5 * (2 * REPORT_INTERVAL_S + 1)),
        },
    ),
}


@pytest.mark.parametrize(("seconds", "expected"), CASES.values(), ids=CASES)
def test_overload_reports(seconds, expected):
    clubs = SimulatedClubs()
    reports = {number: clubs.second(*second) for number, second in enumerate(seconds)}
    assert {number: events for number, events in reports.items() if events} == {
        number: [event] for number, event in expected.items()
    }


def test_late_window_counts_its_real_length_and_stopped_clock_ends_no_window():
    clubs = SimulatedClubs()
    assert clubs.second(4.0, 9, duration_ms=3000.0) == [OverloadStarted("a", 4.0, 9)]
    assert clubs.detector.tick(clubs.now_ms) == []


def test_clubs_without_weight_count_as_one_and_overload_ends_when_club_loses_its_weight():
    clubs = SimulatedClubs()
    for number in range(1000):
        clubs.detector.record_arrival(f"made up {number}", 10.0)
        clubs.detector.record_rejection(f"made up {number}")
    assert len(clubs.detector.demands) == 1
    assert clubs.second() == [OverloadStarted(None, 10.0, 1000)]
    clubs.second(3.0, 1)
    assert clubs.detector.set_weights(clubs.now_ms + 500.0, {"b": 2.0}) == [OverloadEnded("a", 500.0, 3.0, 1)]
    assert set(clubs.detector.demands) == {None}
