"""Runs the main coroutine of the process on an event loop, and retries the creation of that loop.

A loop needs descriptors (epoll, eventfd, pipes, a pair of sockets): some when it is created, some when it begins to
run. A loop that could not begin to run is no longer usable and can't be closed either, so another one is created. If a
pipe can't be opened, the loop's library ends the process, so all that it will need is opened once before.
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
    """The event loop failed while the program ran."""


MainFunction = Callable[[], Coroutine[Any, Any, None]]


def run(main: MainFunction, retry: StartRetry) -> None:
    """Run ``main`` to its end.

    Raises:
        OSError: no event loop could be created in time.
        ShutdownRequestedError: a shutdown notice arrived before there was one.
        LoopError: the event loop failed while ``main`` ran.
        Exception: whatever ``main`` raises.
    """
    task = retry.run_with_retries(partial(_run_on_new_loop, main))
    task.result()


def _run_on_new_loop(main: MainFunction) -> asyncio.Task[None]:
    """Run ``main`` on a new loop and return its task, which is done.

    Raises:
        OSError: the loop could not be created, or could not begin to run; nothing of ``main`` was run.
    """
    _probe_descriptors()
    loop = uvloop.new_event_loop()
    tasks: list[asyncio.Task[None]] = []

    def start_main() -> None:
        tasks.append(loop.create_task(_run_and_clean_up(main)))
        tasks[0].add_done_callback(lambda _: loop.stop())

    loop.call_soon(start_main)
    try:
        loop.run_forever()
    except OSError as error:
        if not tasks:
            signal.set_wakeup_fd(-1)  # otherwise the next loop restores signal delivery to a descriptor of this loop
            del loop
            gc.collect()  # closes the loop's descriptors
            raise
        # A main that has begun must not run again, and a failure after its end changes nothing.
        if not tasks[0].done():
            raise LoopError(f"the event loop failed: {error}") from error
    if not loop.is_running():
        loop.close()
    return tasks[0]


async def _run_and_clean_up(main: MainFunction) -> None:
    """Run ``main``, and end the tasks that it leaves behind.

    This happens here because it must not need a loop that begins to run once more."""
    loop = asyncio.get_running_loop()
    try:
        await main()
    finally:
        remaining = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        await loop.shutdown_asyncgens()
        await loop.shutdown_default_executor()


def _probe_descriptors() -> None:
    """Open and close one descriptor of each kind that a loop needs.

    Raises:
        OSError: one of them can't be opened now.
    """
    with contextlib.ExitStack() as stack:
        poll = stack.enter_context(select.epoll())
        for descriptor in (*os.pipe(), os.eventfd(0)):
            stack.callback(os.close, descriptor)
        for endpoint in socket.socketpair():
            stack.enter_context(endpoint)
            poll.register(endpoint)
