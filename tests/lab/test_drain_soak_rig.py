"""The play that ends a node judges the node, not how busy the play itself is.

Soak plays beside others told "killed: the node had not left when the kill came" of nodes whose exit code was 0: the
callers' event loop was late by 301 ms, so the timer of the kill and the end of the node were seen in one turn of it,
and the timer won.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time

import pytest

from flintshift.lab.drain_soak import KILL_AFTER_MS, DrainRun, draw_plan, now_ms

pytestmark = pytest.mark.anyio

NOTICE_ALONE = 13  # a seed that sends no signal but the notice

LEAVES = """
import signal, time
signal.signal(signal.SIGTERM, lambda *_: exec("time.sleep({after_s}); raise SystemExit"))
print("ready", flush=True)
time.sleep(60)
"""


async def played(folder, after_s: float, held_s: tuple[float, float]) -> tuple[int, float | None]:
    """Exit code and time to its end of a process that leaves ``after_s`` after the notice; the callers' loop is held
    from the one to the other."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", LEAVES.format(after_s=after_s), stdout=asyncio.subprocess.PIPE
    )
    await process.stdout.readline()
    drain = DrainRun(draw_plan(NOTICE_ALONE), folder)
    await drain._notice(process)
    asyncio.get_running_loop().call_later(held_s[0], time.sleep, held_s[1] - held_s[0])
    exit_code, departure = await drain._ended(process)
    return exit_code, departure.left_ms


async def test_a_node_that_left_in_time_was_not_killed_though_the_callers_were_busy(tmp_path):
    kill_s = KILL_AFTER_MS / 1000
    exit_code, left_ms = await played(tmp_path, kill_s - 0.25, (kill_s - 0.5, kill_s + 0.3))
    assert exit_code == 0
    assert left_ms is not None and left_ms < KILL_AFTER_MS


async def test_a_node_that_leaves_too_late_is_killed_on_time_though_the_callers_were_busy(tmp_path):
    kill_s = KILL_AFTER_MS / 1000
    began_ms = now_ms()
    exit_code, left_ms = await played(tmp_path, kill_s + 0.15, (kill_s - 0.5, kill_s + 0.3))
    assert exit_code == -signal.SIGKILL and left_ms is None
    assert now_ms() - began_ms > KILL_AFTER_MS
