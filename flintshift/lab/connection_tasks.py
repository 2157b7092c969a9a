"""Tracks the tasks that serve a stand-in's connections, so that stopping the stand-in can wait for them.

``asyncio.start_server`` doesn't expose its tasks. If a server aborts its connections, their tasks remain until the end
of the event loop. Where that cancels them, Python 3.11 fails in a callback of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

ACCEPT_LOOP_TURNS = 4  # event loop iterations within which an accepted connection is passed on
CLOSE_TIMEOUT_S = 1.0  # for connections that were aborted

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ConnectionTasks:
    """A callback for ``asyncio.start_server`` that runs ``handler`` in a tracked task for each connection."""

    def __init__(self, handler: ConnectionHandler) -> None:
        self.handler, self.tasks = handler, set[asyncio.Task[None]]()

    def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._run(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.handler(reader, writer)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            task.get_loop().call_exception_handler({"message": "a connection failed", "exception": error})

    @staticmethod
    async def wait_until_accepted() -> None:
        """Wait until connections that the system has accepted by now are passed to the handler."""
        for _ in range(ACCEPT_LOOP_TURNS):
            await asyncio.sleep(0)

    async def wait_until_closed(self) -> None:
        """Wait until the aborted connections are closed, except that of the calling task."""
        pending = self.tasks - {asyncio.current_task()}
        if pending:
            await asyncio.wait(pending, timeout=CLOSE_TIMEOUT_S)
