"""The phases of a start and the delay in a crash loop: as tables, then with a real node that is killed repeatedly."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.startup.crash_loops import CrashLoopTiming, ProcessStart, StartHistory
from flintshift.startup.phases import NodeState, Phase, PhaseBounds, PhaseEntered, PhaseOverdue, Phases, services_in_use

NOTHING, BOUND = NodeState(False, False, False), NodeState(True, False, False)
LINKED, REPORTED = NodeState(True, True, False), NodeState(True, True, True)


def phases_of(actions):
    return [action.phase for action in actions if isinstance(action, PhaseEntered)]


def test_a_start_goes_through_its_phases_and_reports_what_each_waited_for():
    start = Phases(0.0, cold_ms=500.0)
    assert start.handle(10.0, NOTHING) == [] and not start.ready
    assert phases_of(start.handle(100.0, BOUND)) == [Phase.BOUND]
    assert start.handle(150.0, BOUND) == [] and not start.ready
    (restored,) = start.handle(300.0, LINKED)
    assert restored == PhaseEntered(Phase.RESTORED, 200.0, ("the worker pool",)) and start.ready
    assert phases_of(start.handle(400.0, REPORTED)) == [Phase.LISTED, Phase.RAMPING]
    assert start.handle(899.0, REPORTED) == []
    assert start.handle(900.0, REPORTED) == [PhaseEntered(Phase.STEADY, 500.0, ("the time in which it is cold",))]


def test_a_node_that_is_not_cold_skips_ramping_and_a_fast_start_passes_all_phases_at_once():
    assert phases_of(Phases(0.0).handle(5.0, REPORTED)) == [Phase.BOUND, Phase.RESTORED, Phase.LISTED, Phase.STEADY]


@pytest.mark.parametrize(
    ("state", "phase", "bound_ms", "waits_for"),
    [
        (NOTHING, Phase.ALONE, 6000.0, "its addresses"),
        (BOUND, Phase.BOUND, 20_000.0, "the worker pool"),
        (LINKED, Phase.RESTORED, 4000.0, "a list service that takes a report"),
    ],
)
def test_an_overdue_phase_is_reported_once_and_the_start_continues(state, phase, bound_ms, waits_for):
    start = Phases(0.0)
    start.handle(0.0, state)
    assert start.phase is phase and start.handle(bound_ms, state) == []
    assert start.handle(bound_ms + 1.0, state) == [PhaseOverdue(phase, bound_ms + 1.0, (waits_for,))]
    assert start.handle(bound_ms + 9000.0, state) == []
    assert phases_of(start.handle(bound_ms + 9001.0, REPORTED))[-1] is Phase.STEADY


def test_a_node_calls_no_service_before_it_listens_and_the_vault_last():
    assert services_in_use(Phase.ALONE) == [] and "list service" not in services_in_use(Phase.BOUND)
    assert "vault" not in services_in_use(Phase.RESTORED) and services_in_use(Phase.STEADY)[-1] == "vault"
    bounds = PhaseBounds()
    assert bounds.bind_ms + bounds.restore_ms + bounds.list_ms <= 30_000.0


def history(*successes, every_ms=1000.0):
    return StartHistory([ProcessStart(number * every_ms, success) for number, success in enumerate(successes)])


@pytest.mark.parametrize(
    ("before", "failures", "min_ms", "max_ms"),
    [
        ((), 0, 0, 0),
        ((False,), 1, 0, 0),
        ((False, False), 2, 0, 0),
        ((False,) * 3, 3, 1000, 2000),
        ((False,) * 5, 5, 4000, 8000),
        ((False,) * 16, 16, 30_000, 60_000),
        ((False, True, False), 1, 0, 0),
        ((True, False, False, False), 3, 1000, 2000),
    ],
)
def test_consecutive_failed_starts_delay_the_next_start(before, failures, min_ms, max_ms):
    recorded, now = history(*before), 1000.0 * len(before)
    assert recorded.count_failures(now) == failures
    assert (recorded.wait_ms(now, lambda low, high: low), recorded.wait_ms(now, lambda low, high: high)) == (
        min_ms,
        max_ms,
    )


def test_old_starts_do_not_count_and_a_clock_set_back_drops_none():
    recorded = history(*(False,) * 6)
    assert recorded.count_failures(CrashLoopTiming().window_ms + 60_000.0) == 0
    assert recorded.count_failures(-3_600_000.0) == 6


@given(
    st.binary()
    | st.text().map(str.encode)
    | st.sampled_from(
        [
            b'[{"began_ms": "x", "well": 1}]',
            b"[1]",
            b"[" * 100_000,
            b'[{"began_ms": 1' + b"0" * 400 + b', "well": 0}]',
            b'[{"began_ms": null, "well": 0}]',
            b"7",
            b"null",
        ]
    )
)
def test_a_malformed_file_does_not_prevent_a_start(data):
    assert StartHistory.decode(data).wait_ms(0.0, lambda low, high: high) == 0.0


def test_a_history_is_stored_unchanged_and_its_length_is_bounded():
    recorded = history(True, False).with_start(5000.0)
    assert StartHistory.decode(recorded.encode()).starts == recorded.starts
    assert (
        recorded.with_success(5000.0).count_failures(6000.0) == 0
        and recorded.with_success(1000.0).count_failures(6000.0) == 1
    )
    for number in range(100):
        recorded = recorded.with_start(number)
    assert len(recorded.starts) == CrashLoopTiming().max_starts


@pytest.mark.anyio
async def test_a_node_in_a_crash_loop_waits_and_one_that_served_starts_at_once(tmp_path):
    async def status(code):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flintshift.cli",
            "startup",
            "status",
            str(tmp_path / "up.sock"),
            "--json",
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        assert process.returncode == code
        return json.loads(out)

    settings_text = "startup: {enabled: true, socket: up.sock, folder: startup}\nlog: {enabled: true}\n"
    async with SingleNodeCluster(tmp_path, settings_text) as cluster:
        async with asyncio.timeout(10):
            while (status_document := await status(0))["phase"] != "steady":
                await asyncio.sleep(0.05)
        assert [entered["phase"] for entered in status_document["entered"]] == ["bound", "restored", "listed", "steady"]
        await cluster.kill()
        (tmp_path / "up.sock").unlink()
        for _ in range(3):  # each is killed before it serves, as its pool is down
            await cluster.pool.stop()
            cluster.process = await cluster._spawn(cluster.command())
            async with asyncio.timeout(10):
                while not (tmp_path / "up.sock").exists() or (await status(3))["phase"] != "bound":
                    await asyncio.sleep(0.05)
            await cluster.kill()
            (tmp_path / "up.sock").unlink()
        cluster.process = await cluster._spawn(cluster.command())  # it is terminated while it waits
        history_file = tmp_path / "startup" / "lives.json"
        async with asyncio.timeout(10):
            while len(json.loads(history_file.read_text())) < 5:
                await asyncio.sleep(0.01)
        assert await cluster.terminate() == 0 and not (tmp_path / "up.sock").exists()
        cluster.pool.port = 0
        await cluster.pool.start()
        await cluster.start()
        assert (await status(0))["crash_loop_wait_ms"] == 0
        await cluster.kill()
        (tmp_path / "up.sock").unlink()
        # As if it had not been terminated in good order.
        history_file.write_text(json.dumps(json.loads(history_file.read_text())[:4]))
        began = asyncio.get_running_loop().time()
        await cluster.start()
        assert asyncio.get_running_loop().time() - began > 1.0
        status_document = await status(0)
        assert status_document["lives_that_ended_badly"] == 3 and status_document["crash_loop_wait_ms"] >= 1000
        await asyncio.sleep(0.3)
        assert await cluster.terminate() == 0
        await cluster.start()
        assert (await status(0))["crash_loop_wait_ms"] == 0
