"""When reports are due: one schedule with any draws, and simulated fleets."""

from __future__ import annotations

import json
import random
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintshift.lab.cold_start import LAPSE_MS, simulate
from flintshift.startup.backoff import Backoff
from flintshift.startup.reports import (
    ReportAnswered,
    ReportSchedule,
    ReportTiming,
    SendReport,
    StatusChanged,
    Tick,
    WakeAt,
)

TRY_MS = 400.0  # after which a report without an answer is abandoned


def draws_at(shares):
    """Return a draw at these shares of its range in turn, then in the middle."""
    remaining = iter(shares)
    return lambda low, high: low + (high - low) * next(remaining, 0.5)


def next_report_ms(reports, now_ms, event):
    """Handle the event and wait until a report is due; returns the time at which it begins."""
    actions = reports.handle(now_ms, event)
    if isinstance(actions[0], WakeAt):
        now_ms = actions[0].at_ms
        actions = reports.handle(now_ms, Tick())
    assert isinstance(actions[0], SendReport)
    return now_ms


@settings(max_examples=300, deadline=None)
@given(st.lists(st.floats(0.0, 1.0), max_size=12))
def test_after_a_lost_report_two_more_begin_before_the_entry_lapses(shares):
    reports = ReportSchedule(ReportTiming(nodes=300), draws_at(shares))
    taken = next_report_ms(reports, 0.0, StatusChanged(True))
    at = next_report_ms(reports, taken + 5.0, ReportAnswered(True, taken))
    for _ in range(2):
        at = next_report_ms(reports, at + TRY_MS, ReportAnswered(False, at))
        assert at - taken < LAPSE_MS


def test_a_changed_status_is_reported_at_once_whatever_the_delay():
    reports = ReportSchedule(ReportTiming(nodes=300), draws_at([]))
    at = next_report_ms(reports, 0.0, StatusChanged(True))
    for _ in range(4):
        at = next_report_ms(reports, at, ReportAnswered(False, at))
    assert isinstance(reports.handle(at, ReportAnswered(False, at))[0], WakeAt)
    assert reports.handle(at + 10.0, StatusChanged(False, last=True)) == [SendReport(False)]
    assert reports.handle(at + 12.0, ReportAnswered(True, at + 10.0)) == []  # the last report was taken


def test_a_status_set_during_a_report_is_reported_right_after_it():
    reports = ReportSchedule(ReportTiming(), draws_at([]))
    assert reports.handle(0.0, StatusChanged(True)) == [SendReport(True)]  # a single node does not wait
    assert reports.handle(5.0, StatusChanged(False)) == []
    assert reports.handle(9.0, ReportAnswered(True, 0.0)) == [SendReport(False)]
    assert reports.handle(9.5, StatusChanged(None)) == []
    assert reports.handle(10.0, ReportAnswered(True, 9.0)) == []


def test_delays_grow_and_are_random_and_bounded():
    generator = random.Random(3)
    backoff = Backoff(100.0, 1600.0, generator.uniform)
    delays_ms = [backoff.next_ms() for _ in range(200)]
    assert 100.0 <= delays_ms[0] <= 300.0 and min(delays_ms[10:]) >= 800.0 and max(delays_ms) <= 1600.0
    assert len(set(delays_ms)) == 200
    backoff.reset()
    assert backoff.next_ms() <= 300.0


@pytest.mark.parametrize(("nodes", "max_peak"), [(300, 1.6), (2000, 1.3)])  # 100 ms vary more with fewer nodes
def test_a_fleet_stays_within_the_capacity_of_the_service_at_a_start_and_after_an_outage(nodes, max_peak):
    for seed in (1, 2, 3):
        result = simulate(nodes, seed)
        assert result.peak_start <= max_peak and result.peak_back <= max_peak, f"seed {seed}"
        assert result.collapses == 0 and result.listed_ms <= LAPSE_MS and result.lapsed_before == 0, f"seed {seed}"


def test_a_collapsed_service_gets_few_enough_reports_to_recover():
    for seed in (1, 2, 3):
        result = simulate(300, seed, outage_s=0.0, collapse=True)
        assert result.listed_ms is not None and result.collapses == 0 and result.load_at_end <= 1.05, f"seed {seed}"
    # It does not recover without random delays, or with a maximum delay of 1.6 s.
    plays = [
        simulate(300, 1, outage_s=0.0, collapse=True, before=True),
        simulate(300, 1, outage_s=0.0, collapse=True, longest_ms=1600.0),
    ]
    assert [play.listed_ms for play in plays] == [None, None] and plays[0].load_at_end > 5.0


def test_the_version_without_random_delays_keeps_its_retry_storm_alive():
    result = simulate(300, 1, before=True)
    assert result.peak_back > 5.0 and result.collapses and result.listed_ms is None


def test_a_simulation_is_deterministic():
    assert simulate(200, 7) == simulate(200, 7)


def test_the_simulation_is_a_command_with_json_and_exit_codes():
    def command(*arguments):
        process = subprocess.run(
            [sys.executable, "-m", "flintshift.cli", "lab", "coldstart", "--json", *arguments],
            capture_output=True,
            text=True,
        )
        return process.returncode, process.stdout

    code, out = command("--nodes", "200", "--fault", "outage")
    plays = {play["version"]: play for play in json.loads(out)["plays"]}
    assert code == 0 and plays["now"]["collapses"] == 0 and plays["before"]["collapses"] == 1
    assert command("--nodes", "200", "--capacity", "0.5")[0] == 3  # the capacity is below the fleet's steady rate
    assert command("--nodes", "0")[0] == 2
