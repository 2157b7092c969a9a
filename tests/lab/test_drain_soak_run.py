"""Tests that a drain is judged by the node's behaviour, not by how late the callers' event loop is.

Drains that ran beside others reported that the node had been killed although its exit code was 0: the callers' event
loop was late by 301 ms, so it saw the timer of the kill and the exit of the node in the same iteration, and the timer
came first.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time

import pytest

from flintshift.lab.drain_soak import KILL_AFTER_MS, DrainRun, draw_plan, now_ms

pytestmark = pytest.mark.anyio

SEED_WITHOUT_SIGNALS = 13  # its plan sends no signal except the notice

EXITING_PROGRAM = """
import signal, time
signal.signal(signal.SIGTERM, lambda *_: exec("time.sleep({after_s}); raise SystemExit"))
print("ready", flush=True)
time.sleep(60)
"""


async def drain_process(folder, after_s: float, blocked_s: tuple[float, float]) -> tuple[int, float | None]:
    """Drain a process that exits ``after_s`` after the notice, while the callers' loop is blocked from the first to the
    second time of ``blocked_s``; returns its exit code and the time of its exit."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", EXITING_PROGRAM.format(after_s=after_s), stdout=asyncio.subprocess.PIPE
    )
    await process.stdout.readline()
    drain = DrainRun(draw_plan(SEED_WITHOUT_SIGNALS), folder)
    await drain._send_notice(process)
    asyncio.get_running_loop().call_later(blocked_s[0], time.sleep, blocked_s[1] - blocked_s[0])
    exit_code, departure = await drain._wait_for_exit(process)
    return exit_code, departure.left_ms


async def test_node_that_exits_in_time_is_not_killed_while_the_callers_loop_is_blocked(tmp_path):
    kill_s = KILL_AFTER_MS / 1000
    exit_code, left_ms = await drain_process(tmp_path, kill_s - 0.25, (kill_s - 0.5, kill_s + 0.3))
    assert exit_code == 0
    assert left_ms is not None and left_ms < KILL_AFTER_MS


async def test_node_that_exits_too_late_is_killed_on_time_while_the_callers_loop_is_blocked(tmp_path):
    kill_s = KILL_AFTER_MS / 1000
    started_ms = now_ms()
    exit_code, left_ms = await drain_process(tmp_path, kill_s + 0.15, (kill_s - 0.5, kill_s + 0.3))
    assert exit_code == -signal.SIGKILL and left_ms is None
    assert now_ms() - started_ms > KILL_AFTER_MS
