"""Tests of the configuration at a start and in a running node."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest
import uvloop
from standins import REQUEST_BYTES, ROOT, SETTINGS, request_fields

from flintshift.__main__ import main
from flintshift.lifecycle.start_retry import ShutdownRequestedError

pytestmark = pytest.mark.anyio


async def test_a_new_configuration_under_load_moves_the_links_and_runs_continue(harness):
    before, after = request_fields("race-results"), request_fields("race-results")
    callers = [await harness.connect("http"), await harness.connect("http")]
    callers[0].send(REQUEST_BYTES["http"]("race-results", b"", before))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    harness.config.write_text("{")
    harness.process.send_signal(signal.SIGHUP)
    assert b"configuration stays" in await asyncio.wait_for(harness.process.stderr.readline(), 10)
    for peer in (harness.pool, harness.vault, harness.names):
        await peer.change_port()
    harness.configure()
    old_links = list(harness.pool.links)
    harness.process.send_signal(signal.SIGHUP)
    binds = await harness.pool.log.wait_for(lambda entry: entry["t"] == "bind", 2)
    callers[1].send(REQUEST_BYTES["http"]("race-results", b"", after))
    await harness.pool.log.wait_for(lambda entry: entry["t"] == "spawn", 2)
    harness.pool.send_notice(before["X-Job-Id"], "blocked", {"b64": ""})  # sent on both links, handled once
    await harness.vault.log.wait_for(lambda entry: entry[0] == "ask")
    harness.pool.finish(after["X-Job-Id"])
    for writer in old_links:
        writer.transport.abort()
    for caller, fields in zip(callers, (before, after), strict=True):
        assert (await caller.reply()).body == f"result of {fields['X-Job-Id']}\n".encode()
    assert [bind["no"] for bind in binds] == [0, 0]
    assert len({run["rid"] for run in harness.runs()}) == 2
    assert len([entry for entry in harness.vault.log.entries if entry[0] == "ask"]) == 1
    assert (await harness.ask("http", path="/ping", method="GET")).status == 200
    harness.pool.plan = {}
    (await harness.connect("http")).send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
    await harness.leave()
    harness.process.send_signal(signal.SIGHUP)  # handled during a drain too
    assert await asyncio.wait_for(harness.process.wait(), 10) == 0


@pytest.mark.parametrize(
    ("config", "text"),
    [
        (None, "LB_CONFIG"),
        ("{", "Expecting"),
        ('{"settings": {}, "stop_ms": 1}', "name is missing"),
        (json.dumps({"settings": SETTINGS, "stop_ms": 1, "name": "n"}), "listen is missing"),
        (json.dumps({"settings": SETTINGS, "stop_ms": 1, "name": "n", "listen": "nowhere"}), "listen: 'nowhere' is no"),
    ],
)
def test_a_bad_configuration_is_reported_in_one_line_and_prevents_the_start(tmp_path, config, text):
    path = tmp_path / "config.json"
    path.write_text(config or "")
    env = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    completed = subprocess.run(
        [sys.executable, "-m", "flintshift"],
        cwd=ROOT,
        check=False,
        text=True,
        env=env | ({"LB_CONFIG": str(path)} if config else {}),
        capture_output=True,
    )
    assert completed.returncode == 2 and text in completed.stderr and completed.stderr.count("\n") == 1


def test_the_program_runs_on_uvloop_and_blocks_signals_at_its_start(monkeypatch):
    blocked, before = [], signal.pthread_sigmask(signal.SIG_BLOCK, ())

    def new_event_loop():
        blocked.append(signal.pthread_sigmask(signal.SIG_BLOCK, ()))
        raise ShutdownRequestedError

    monkeypatch.setattr(uvloop, "new_event_loop", new_event_loop)
    monkeypatch.setattr(sys, "argv", ["flintshift"])
    try:
        assert main() == 0
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    assert len(blocked) == 1
    assert blocked[0] >= {signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1}


async def test_a_half_written_configuration_is_applied_once_it_is_complete(harness):
    """The signal may arrive while the file is written or can't be read, and it is not sent again."""
    await harness.names.change_port()
    harness.configure()
    complete_text = harness.config.read_text()
    harness.config.write_text(complete_text[: len(complete_text) // 2])
    count = len(harness.names.log.entries)
    harness.process.send_signal(signal.SIGHUP)
    assert b"configuration stays" in await asyncio.wait_for(harness.process.stderr.readline(), 10)
    harness.config.write_text(complete_text)
    await asyncio.wait_for(harness.names.log.wait_for(lambda entry: True, count + 1), 10)
    await harness.leave()
    assert await asyncio.wait_for(harness.process.wait(), 10) == 0
