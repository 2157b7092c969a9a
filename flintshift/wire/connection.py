"""The life of one caller's connection: its states, and the one way in which it is closed.

Closing a socket that holds unread bytes resets the connection, and a reset can take the last answer with it. So every
close goes through `Connection.shut`: nothing more is sent, what still comes is read and thrown away for a bounded time,
and only then is the socket closed. Nothing that is read after `shut` has begun is handed on.
"""

from __future__ import annotations

import contextlib
import math
from enum import Enum

import anyio
from anyio.abc import SocketStream

from flintshift.core.limits import Limits
from flintshift.wire.link import BROKEN


class ConnectionState(Enum):
    IDLE = "idle"  # no byte of a request has come since the last answer
    READING = "reading"  # a request is begun
    ANSWERING = "answering"  # a whole request waits for its answer, or the answer is written
    HALF_CLOSED = "half_closed"  # nothing more is sent, and what comes is thrown away
    CLOSED = "closed"


TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.IDLE: frozenset({ConnectionState.READING, ConnectionState.HALF_CLOSED, ConnectionState.CLOSED}),
    ConnectionState.READING: frozenset(
        {ConnectionState.IDLE, ConnectionState.ANSWERING, ConnectionState.HALF_CLOSED, ConnectionState.CLOSED}
    ),
    ConnectionState.ANSWERING: frozenset({ConnectionState.IDLE, ConnectionState.HALF_CLOSED, ConnectionState.CLOSED}),
    ConnectionState.HALF_CLOSED: frozenset({ConnectionState.CLOSED}),
    ConnectionState.CLOSED: frozenset(),
}


class CloseReason(Enum):
    """Why a connection is closed; counted as ``<front>.closed.<reason>`` and told in the log at level debug."""

    CALLER_GONE = "caller_gone"  # its peer ended or reset it
    LAST_ANSWER = "last_answer"  # the answer on it said `Connection: close`
    UNFINISHED = "unfinished"  # the rest of a request did not come in time
    IDLE = "idle"  # no request came for as long as was decided
    DISPLACED = "displaced"  # it was idle, and a new one needed its place
    DRAINED = "drained"  # it was idle when the node stopped
    NOT_TAKEN = "not_taken"  # its peer took no answer
    CUT = "cut"  # the node ended under it
    FAULT = "fault"  # a fault of the program was met on it


class TransitionError(RuntimeError):
    """A connection was to enter a state that does not follow on the one it is in."""


class Connection:
    """A caller's connection and what it is at; all times are milliseconds of the node's clock."""

    def __init__(self, stream: SocketStream, now_ms: float) -> None:
        self.stream = stream
        self.state = ConnectionState.IDLE
        self.since_ms = now_ms  # since when it is open, idle, or in its request
        self.spoke = False  # it has brought a request before
        self.ending = False  # the answer that is written says that it is the last
        self.last_request = False  # the request that is read is the last that is taken
        self.at_end = False  # its peer has sent all that it will
        self.scope = anyio.CancelScope()  # of all that is done for it
        self.writing_ms = math.inf  # since when an answer is written
        self.reading: anyio.CancelScope | None = None  # set while it waits for bytes
        self.reason: CloseReason | None = None  # why it is closed, once that is decided
        self.request = ""  # the id of the last one that was handed over
        self.discarded = 0  # bytes that came after its end was decided

    @property
    def busy(self) -> bool:
        """A request is begun or open."""
        return self.state in (ConnectionState.READING, ConnectionState.ANSWERING)

    def enter(self, state: ConnectionState) -> None:
        """Go on to another state; to the same one is no change.

        Raises:
            TransitionError: that state can't follow.
        """
        if state is self.state:
            return
        if state not in TRANSITIONS[self.state]:
            raise TransitionError(f"a connection can't go from {self.state.value} to {state.value}")
        self.state = state

    def close_for(self, reason: CloseReason) -> None:
        """Note why it is closed; the first reason stays."""
        if self.reason is None:
            self.reason = reason

    def stop_reading(self) -> None:
        """End the wait for bytes, if it is in one."""
        if self.reading is not None:
            self.reading.cancel()

    async def shut(self, limits: Limits, linger_ms: float) -> None:
        """Send nothing more, and read for at most so long what still comes, until the peer closes too."""
        self.enter(ConnectionState.HALF_CLOSED)
        # uvloop raises a RuntimeError where the connection is closed already.
        with contextlib.suppress(*BROKEN, RuntimeError), anyio.move_on_after(linger_ms / 1000):
            await self.stream.send_eof()
            for _ in range(limits.linger_reads):
                self.discarded += len(await self.stream.receive(limits.read))
