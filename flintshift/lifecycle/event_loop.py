"""Runs the main coroutine of the process on an event loop whose making is tried again.

A loop needs descriptors (epoll, eventfd, pipes, a pair of sockets), some when it is made, some when it begins to run. A
loop that could not begin is of no use any more, and can't be closed either: another is made. Where a pipe can't be had
its library ends the process, so all that it will ask for is asked for first.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import select
import signal
import socket
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import uvloop

from flintshift.lifecycle.start_retry import StartRetry


class LoopError(Exception):
    """The event loop failed under the program."""


Main = Callable[[], Coroutine[Any, Any, None]]


def run(main: Main, retry: StartRetry) -> None:
    """Run ``main`` to its end.

    Raises:
        OSError: there is no event loop to be had in time.
        ToldToLeaveError: a notice to leave came before there was one.
        LoopError: it failed while ``main`` ran.
        Exception: whatever ``main`` raises.
    """
    task = retry.run_with_retries(partial(_begin, main))
    task.result()


def _begin(main: Main) -> asyncio.Task[None]:
    """Run ``main`` on a new loop; its task, which is done.

    Raises:
        OSError: the loop could not be made, or not begin to run; nothing of ``main`` was run.
    """
    _ask_for_descriptors()
    loop = uvloop.new_event_loop()
    tasks: list[asyncio.Task[None]] = []

    def first() -> None:
        tasks.append(loop.create_task(_whole(main)))
        tasks[0].add_done_callback(lambda _: loop.stop())

    loop.call_soon(first)
    try:
        loop.run_forever()
    except OSError as error:
        if not tasks:
            signal.set_wakeup_fd(-1)  # else the next loop gives the signals back to a descriptor of this one
            del loop
            gc.collect()  # it takes its descriptors with it
            raise
        # What has begun must not be run once more, and what has ended has ended well.
        if not tasks[0].done():
            raise LoopError(f"the event loop failed: {error}") from error
    if not loop.is_running():
        loop.close()
    return tasks[0]


async def _whole(main: Main) -> None:
    """``main``, and the end of what it leaves behind: that must not need a loop that begins to run once more."""
    loop = asyncio.get_running_loop()
    try:
        await main()
    finally:
        left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        await loop.shutdown_asyncgens()
        await loop.shutdown_default_executor()


def _ask_for_descriptors() -> None:
    """Open, and close again, one of each kind that a loop needs.

    Raises:
        OSError: one of them can't be had now.
    """
    with contextlib.ExitStack() as opened:
        poll = opened.enter_context(select.epoll())
        for descriptor in (*os.pipe(), os.eventfd(0)):
            opened.callback(os.close, descriptor)
        for end in socket.socketpair():
            opened.enter_context(end)
            poll.register(end)
