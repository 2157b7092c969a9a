"""How long, and for which failures, a step of a start is tried again."""

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
    """A start on a clock of its own, and what it says."""

    def __init__(self, shutdown_pending=lambda: False):
        self.now_s, self.said = 100.0, []
        self.retry = StartRetry(30.0, lambda: self.now_s, self.sleep, shutdown_pending, self.said.append)

    def sleep(self, seconds):
        self.now_s += seconds


def failing(error, times=None):
    tries = []

    def step():
        tries.append(error)
        if times is None or len(tries) <= times:
            raise OSError(error, "it failed")
        return len(tries)

    return step


@pytest.mark.parametrize("error", sorted(set(errno.errorcode) - PERMANENT_ERRNOS))
def test_what_may_pass_is_tried_again(error):
    start = Start()
    assert start.retry.run_with_retries(failing(error, 20)) == 21
    assert len(start.said) == 1 and "it is tried again, for 30 s" in start.said[0]


@pytest.mark.parametrize("error", sorted(PERMANENT_ERRNOS))
def test_what_lasts_is_not_tried_again(error):
    start = Start()
    with pytest.raises(OSError, match="it failed"):
        start.retry.run_with_retries(failing(error))
    assert start.retry.failed_tries == 1 and not start.said


def test_all_steps_share_the_time_of_the_start():
    start = Start()
    start.now_s += 25.0
    began_s = start.now_s
    with pytest.raises(OSError, match="it failed"):
        start.retry.run_with_retries(failing(errno.ENOBUFS))
    assert 4.9 < start.now_s - began_s < 5.2


def test_a_notice_to_leave_ends_the_tries():
    start = Start(lambda: start.now_s > 101.0)
    with pytest.raises(ShutdownRequestedError):
        start.retry.run_with_retries(failing(errno.ENOBUFS))
    assert start.now_s < 101.3


def test_an_error_of_the_program_itself_is_no_reason_to_begin_again():
    ran = []

    async def main():
        ran.append(asyncio.get_running_loop())
        raise ConnectionResetError("of the program")

    with pytest.raises(ConnectionResetError):
        event_loop.run(main, Start().retry)
    assert len(ran) == 1


def test_what_the_program_leaves_running_is_ended_with_it():
    ended = []

    async def rest():
        try:
            await asyncio.sleep(60)
        finally:
            ended.append(True)

    async def main():
        main.task = asyncio.create_task(rest())
        await asyncio.sleep(0)

    event_loop.run(main, Start().retry)
    assert ended == [True]


def texts(path, start, *steps):
    """What stands at the path changes: (after seconds, text)."""

    def reread():
        for after_s, text in steps:
            if start.now_s >= 100.0 + after_s:
                path.write_text(text)
        return load({"LB_CONFIG": str(path)})

    return reread


WHOLE = json.dumps(configuration())


def test_a_file_that_is_being_written_is_read_once_it_is_whole(tmp_path):
    start = Start()
    steps = [(0.0, ""), (0.9, WHOLE[:100]), (1.9, WHOLE[:900]), (2.9, WHOLE)]
    assert load_at_start(texts(tmp_path / "config", start, *steps), start.retry).name


def test_a_file_that_stays_torn_ends_the_start_soon(tmp_path):
    start = Start()
    with pytest.raises(IncompleteFileError, match="Expecting"):
        load_at_start(texts(tmp_path / "config", start, (0.0, "{")), start.retry)
    assert start.now_s <= 101.0


def test_a_file_that_cannot_be_read_for_a_while_is_read_after_it():
    start = Start()

    def reread():
        if start.now_s < 104.0:
            raise UnreadableFileError("config", OSError(errno.EIO, "Input/output error"))
        return "read"

    assert load_at_start(reread, start.retry) == "read"
    assert "Input/output error" in start.said[0]


def test_a_file_that_is_not_there_ends_the_start_at_once(tmp_path):
    start = Start()
    with pytest.raises(ConfigError, match="No such file"):
        load_at_start(lambda: load({"LB_CONFIG": str(tmp_path / "none")}), start.retry)
    assert start.now_s == 100.0


@pytest.mark.parametrize("ends", [True, False])
def test_a_loop_that_fails_once_the_program_has_begun_does_not_run_it_again(ends, monkeypatch):
    ran = []

    class Loop(uvloop.Loop):
        def run_forever(self):
            if not ends:
                self.call_later(0.05, self.stop)
            super().run_forever()
            raise OSError(errno.ENOMEM, "the loop could not end")

    async def main():
        ran.append(True)
        if not ends:
            await asyncio.sleep(60)

    monkeypatch.setattr(uvloop, "new_event_loop", Loop)
    if ends:
        event_loop.run(main, Start().retry)
    else:
        with pytest.raises(event_loop.LoopError, match="could not end"):
            event_loop.run(main, Start().retry)
    assert ran == [True]


async def test_one_that_is_read_again_later_is_waited_for_once_however_often_it_was_asked_for():
    queue = SignalQueue()
    for place in range(5):
        queue.add_later(signal.SIGHUP, 0.01 * place)
    taken = []
    with anyio.move_on_after(0.2):
        while True:
            taken.append(await queue.take())
    assert taken == [signal.SIGHUP]
