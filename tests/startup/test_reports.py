"""When reports are due: the heart alone, any draws, and fleets of it on a clock of their own."""

from __future__ import annotations

import json
import random
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintshift.lab.cold_start import LAPSE_MS, play
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

TRY_MS = 400.0  # a try may take so long until it is given up


def at_share(draws):
    """Draws that lie at these shares of their range, then in the middle."""
    shares = iter(draws)
    return lambda low, high: low + (high - low) * next(shares, 0.5)


def begun(reports, now_ms, event):
    """Handle it, and wait until a report is due; returns when that begins."""
    actions = reports.handle(now_ms, event)
    if isinstance(actions[0], WakeAt):
        now_ms = actions[0].at_ms
        actions = reports.handle(now_ms, Tick())
    assert isinstance(actions[0], SendReport)
    return now_ms


@settings(max_examples=300, deadline=None)
@given(st.lists(st.floats(0.0, 1.0), max_size=12))
def test_after_a_report_that_is_lost_two_more_begin_before_the_entry_lapses(draws):
    reports = ReportSchedule(ReportTiming(nodes=300), at_share(draws))
    taken = begun(reports, 0.0, StatusChanged(True))
    at = begun(reports, taken + 5.0, ReportAnswered(True, taken))
    for _ in range(2):
        at = begun(reports, at + TRY_MS, ReportAnswered(False, at))
        assert at - taken < LAPSE_MS


def test_a_word_that_changes_something_passes_at_once_whatever_the_waits_say():
    reports = ReportSchedule(ReportTiming(nodes=300), at_share([]))
    at = begun(reports, 0.0, StatusChanged(True))
    for _ in range(4):
        at = begun(reports, at, ReportAnswered(False, at))
    assert isinstance(reports.handle(at, ReportAnswered(False, at))[0], WakeAt)
    assert reports.handle(at + 10.0, StatusChanged(False, last=True)) == [SendReport(False)]
    assert reports.handle(at + 12.0, ReportAnswered(True, at + 10.0)) == []  # the last word, taken once


def test_what_is_said_while_a_report_is_under_way_follows_it_at_once():
    reports = ReportSchedule(ReportTiming(), at_share([]))
    assert reports.handle(0.0, StatusChanged(True)) == [SendReport(True)]  # a node alone does not wait
    assert reports.handle(5.0, StatusChanged(False)) == []
    assert reports.handle(9.0, ReportAnswered(True, 0.0)) == [SendReport(False)]
    assert reports.handle(9.5, StatusChanged(None)) == []
    assert reports.handle(10.0, ReportAnswered(True, 9.0)) == []


def test_waits_grow_are_drawn_and_bounded():
    draw = random.Random(3)
    waits = Backoff(100.0, 1600.0, draw.uniform)
    drawn = [waits.next_ms() for _ in range(200)]
    assert 100.0 <= drawn[0] <= 300.0 and min(drawn[10:]) >= 800.0 and max(drawn) <= 1600.0
    assert len(set(drawn)) == 200
    waits.reset()
    assert waits.next_ms() <= 300.0


@pytest.mark.parametrize(("nodes", "most"), [(300, 1.6), (2000, 1.3)])  # the fewer, the more chance is in 100 ms
def test_a_fleet_meets_a_start_and_an_outage_below_what_the_service_survives(nodes, most):
    for seed in (1, 2, 3):
        told = play(nodes, seed)
        assert told.peak_start <= most and told.peak_back <= most, f"seed {seed}"
        assert told.collapses == 0 and told.listed_ms <= LAPSE_MS and told.lapsed_before == 0, f"seed {seed}"


def test_a_service_that_collapsed_is_left_alone_enough_to_come_back():
    for seed in (1, 2, 3):
        told = play(300, seed, outage_s=0.0, collapse=True)
        assert told.listed_ms is not None and told.collapses == 0 and told.load_at_end <= 1.05, f"seed {seed}"
    storms = [
        play(300, 1, outage_s=0.0, collapse=True, before=True),  # nor where the longest wait were 1.6 s
        play(300, 1, outage_s=0.0, collapse=True, longest_ms=1600.0),
    ]
    assert [one.listed_ms for one in storms] == [None, None] and storms[0].load_at_end > 5.0


def test_the_version_before_keeps_its_own_storm_alive():
    told = play(300, 1, before=True)
    assert told.peak_back > 5.0 and told.collapses and told.listed_ms is None


def test_a_play_is_the_same_each_time():
    assert play(200, 7) == play(200, 7)


def test_the_experiment_is_a_command_with_json_and_exit_codes():
    def command(*words):
        done = subprocess.run(
            [sys.executable, "-m", "flintshift.cli", "lab", "coldstart", "--json", *words],
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout

    code, out = command("--nodes", "200", "--fault", "outage")
    told = {one["version"]: one for one in json.loads(out)["plays"]}
    assert code == 0 and told["now"]["collapses"] == 0 and told["before"]["collapses"] == 1
    assert command("--nodes", "200", "--capacity", "0.5")[0] == 3  # it can't be spared what the fleet always needs
    assert command("--nodes", "0")[0] == 2
