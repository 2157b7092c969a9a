"""Tests of how long, and for which failures, a step of a start is retried."""

from __future__ import annotations

import asyncio
import errno
import json
import signal

import anyio
import pytest
import uvloop

from flintshift.lifecycle import event_loop
from flintshift.lifecycle.config import ConfigError, IncompleteFileError, UnreadableFileError, load, load_at_start
from flintshift.lifecycle.signal_queue import SignalQueue
from flintshift.lifecycle.start_retry import ShutdownRequestedError, StartRetry
from flintshift.settings.embedded import configuration
from flintshift.wire.failures import PERMANENT_ERRNOS

pytestmark = pytest.mark.anyio


class Start:
    """A start on a simulated clock, and its warnings."""

    def __init__(self, shutdown_pending=lambda: False):
        self.now_s, self.warnings = 100.0, []
        self.retry = StartRetry(30.0, lambda: self.now_s, self.sleep, shutdown_pending, self.warnings.append)

    def sleep(self, seconds):
        self.now_s += seconds


def failing_step(error, times=None):
    """Return a step that fails with this error, this many times; None: always."""
    tries = []

    def step():
        tries.append(error)
        if times is None or len(tries) <= times:
            raise OSError(error, "it failed")
        return len(tries)

    return step


@pytest.mark.parametrize("error", sorted(set(errno.errorcode) - PERMANENT_ERRNOS))
def test_a_transient_failure_is_retried(error):
    start = Start()
    assert start.retry.run_with_retries(failing_step(error, 20)) == 21
    assert len(start.warnings) == 1 and "it is tried again, for 30 s" in start.warnings[0]


@pytest.mark.parametrize("error", sorted(PERMANENT_ERRNOS))
def test_a_permanent_failure_is_not_retried(error):
    start = Start()
    with pytest.raises(OSError, match="it failed"):
        start.retry.run_with_retries(failing_step(error))
    assert start.retry.failed_tries == 1 and not start.warnings


def test_all_steps_share_the_time_of_the_start():
    start = Start()
    start.now_s += 25.0
    began_s = start.now_s
    with pytest.raises(OSError, match="it failed"):
        start.retry.run_with_retries(failing_step(errno.ENOBUFS))
    assert 4.9 < start.now_s - began_s < 5.2


def test_a_shutdown_notice_ends_the_retries():
    start = Start(lambda: start.now_s > 101.0)
    with pytest.raises(ShutdownRequestedError):
        start.retry.run_with_retries(failing_step(errno.ENOBUFS))
    assert start.now_s < 101.3


def test_an_error_of_the_program_itself_is_not_retried():
    loops = []

    async def main():
        loops.append(asyncio.get_running_loop())
        raise ConnectionResetError("of the program")

    with pytest.raises(ConnectionResetError):
        event_loop.run(main, Start().retry)
    assert len(loops) == 1


def test_tasks_that_the_program_leaves_running_are_cancelled_at_its_end():
    ended = []

    async def background_task():
        try:
            await asyncio.sleep(60)
        finally:
            ended.append(True)

    async def main():
        main.task = asyncio.create_task(background_task())
        await asyncio.sleep(0)

    event_loop.run(main, Start().retry)
    assert ended == [True]


def read_changing_file(path, start, *steps):
    """Return a function that loads the file, whose content changes: (after seconds, text)."""

    def reread():
        for after_s, text in steps:
            if start.now_s >= 100.0 + after_s:
                path.write_text(text)
        return load({"LB_CONFIG": str(path)})

    return reread


COMPLETE_TEXT = json.dumps(configuration())


def test_a_file_that_is_being_written_is_read_once_it_is_complete(tmp_path):
    start = Start()
    steps = [(0.0, ""), (0.9, COMPLETE_TEXT[:100]), (1.9, COMPLETE_TEXT[:900]), (2.9, COMPLETE_TEXT)]
    assert load_at_start(read_changing_file(tmp_path / "config", start, *steps), start.retry).name


def test_a_file_that_stays_incomplete_ends_the_start_soon(tmp_path):
    start = Start()
    with pytest.raises(IncompleteFileError, match="Expecting"):
        load_at_start(read_changing_file(tmp_path / "config", start, (0.0, "{")), start.retry)
    assert start.now_s <= 101.0


def test_a_file_that_cannot_be_read_for_a_while_is_read_later():
    start = Start()

    def reread():
        if start.now_s < 104.0:
            raise UnreadableFileError("config", OSError(errno.EIO, "Input/output error"))
        return "read"

    assert load_at_start(reread, start.retry) == "read"
    assert "Input/output error" in start.warnings[0]


def test_a_missing_file_ends_the_start_at_once(tmp_path):
    start = Start()
    with pytest.raises(ConfigError, match="No such file"):
        load_at_start(lambda: load({"LB_CONFIG": str(tmp_path / "none")}), start.retry)
    assert start.now_s == 100.0


@pytest.mark.parametrize("main_ends", [True, False])
def test_a_loop_that_fails_after_the_program_has_begun_does_not_run_it_again(main_ends, monkeypatch):
    runs = []

    class Loop(uvloop.Loop):
        def run_forever(self):
            if not main_ends:
                self.call_later(0.05, self.stop)
            super().run_forever()
            raise OSError(errno.ENOMEM, "the loop could not end")

    async def main():
        runs.append(True)
        if not main_ends:
            await asyncio.sleep(60)

    monkeypatch.setattr(uvloop, "new_event_loop", Loop)
    if main_ends:
        event_loop.run(main, Start().retry)
    else:
        with pytest.raises(event_loop.LoopError, match="could not end"):
            event_loop.run(main, Start().retry)
    assert runs == [True]


async def test_a_delayed_signal_is_added_once_however_often_it_was_requested():
    queue = SignalQueue()
    for number in range(5):
        queue.add_later(signal.SIGHUP, 0.01 * number)
    taken = []
    with anyio.move_on_after(0.2):
        while True:
            taken.append(await queue.take())
    assert taken == [signal.SIGHUP]
