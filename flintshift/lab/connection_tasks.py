"""The tasks that serve a stand-in's connections, so that whoever stops it can wait for them.

``asyncio.start_server`` keeps its tasks to itself: a server that cuts its connections leaves them to the end of the
event loop, and where that cancels them, Python 3.11 fails over it in a callback of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

OPENING_TURNS = 4  # of the event loop, in which a connection that was accepted is handed over
CLOSING_S = 1.0  # for connections that were cut

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ConnectionTasks:
    """What ``asyncio.start_server`` calls for each connection: ``serve`` runs in a task that is known here."""

    def __init__(self, serve: Serve) -> None:
        self.serve, self.open = serve, set[asyncio.Task[None]]()

    def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._run(reader, writer))
        self.open.add(task)
        task.add_done_callback(self._done)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.serve(reader, writer)

    def _done(self, task: asyncio.Task[None]) -> None:
        self.open.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            task.get_loop().call_exception_handler({"message": "a connection failed", "exception": error})

    @staticmethod
    async def wait_until_accepted() -> None:
        """Until what the system has accepted by now is handed over."""
        for _ in range(OPENING_TURNS):
            await asyncio.sleep(0)

    async def wait_until_closed(self) -> None:
        """Until the connections, which were cut, are over; that of the task which calls is left out."""
        ending = self.open - {asyncio.current_task()}
        if ending:
            await asyncio.wait(ending, timeout=CLOSING_S)
