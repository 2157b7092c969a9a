"""The life of one caller's connection: its states, and the one way in which it is closed.

A connection ends in one of two ways:

- After an answer that says so, or half way through a request (`shut`): nothing more is sent, what still comes is read
  and thrown away for a bounded time, and only then is the socket closed. Closing it over unread bytes would reset the
  connection, and a reset can take the last answer with it.
- While it rests (`end`, in the turn in which nothing was found unread, and `await_peer`): nothing is owed on it, and
  nothing is read any more. A request that crosses this end stays in the system, unread; its caller sees the end, and
  sends it once more on a new connection, as the protocol says.
"""

from __future__ import annotations

import contextlib
import math
from enum import Enum

import anyio

from flintshift.core.limits import Limits
from flintshift.wire.caller_stream import CallerStream
from flintshift.wire.link import CONNECTION_ERRORS

LOOK_S = 0.01  # between two looks whether a peer has ended too, or has taken what was written


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

    def __init__(self, stream: CallerStream, now_ms: float) -> None:
        self.stream = stream
        self.state = ConnectionState.IDLE
        self.since_ms = now_ms  # since when it is open, idle, or in its request
        self.spoke = False  # it has brought a request before
        self.ending = False  # the answer that is written says that it is the last
        self.last_request = False  # the request that is read is the last that is taken
        self.turned_away = False  # there is no place for it: its request is refused
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

    def end(self) -> None:
        """Send the end of a resting connection, at once."""
        self.enter(ConnectionState.HALF_CLOSED)
        self.stream.end()

    async def await_peer(self, most_ms: float) -> None:
        """Wait for the peer's end, for at most so long, and read nothing."""
        with anyio.move_on_after(most_ms / 1000):
            while not self.stream.peer_ended:
                await anyio.sleep(LOOK_S)

    async def shut(self, limits: Limits, linger_ms: float) -> None:
        """Send nothing more, and read for at most so long what still comes, until the peer closes too. The time counts
        from when the system has taken all that was written."""
        self.enter(ConnectionState.HALF_CLOSED)
        # uvloop raises a RuntimeError where the connection is closed already.
        with contextlib.suppress(*CONNECTION_ERRORS, RuntimeError):
            await self.stream.send_eof()
            with anyio.move_on_after(limits.write_timeout_ms / 1000):
                while self.stream.unsent:
                    await anyio.sleep(LOOK_S)
            with anyio.move_on_after(linger_ms / 1000):
                for _ in range(limits.max_linger_reads):
                    self.discarded += len(await self.stream.receive(limits.read_chunk_bytes))
