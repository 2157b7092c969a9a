"""The states of one caller's connection, and how it is closed.

A connection is closed in one of two ways:

- After its last answer, or half-way through a request (`shut_down`): nothing more is sent, bytes that still arrive are
  read and discarded for a bounded time, and only then is the socket closed. Closing a socket with unread bytes resets
  the connection, and a reset can destroy the last answer on its way.
- While it is idle (`half_close`, in the event loop turn in which no unread bytes were found, then `await_peer_close`):
  no answer is pending on it, and nothing is read any more. A request that crosses the half-close stays unread in the
  system. Its caller sees the close and sends the request again on a new connection, as the protocol requires.
"""

from __future__ import annotations

import math
from enum import Enum

import anyio

from flintshift.core.limits import Limits
from flintshift.wire.caller_stream import CallerStream

PEER_CHECK_INTERVAL_S = 0.01  # between two checks whether a peer has closed too


class ConnectionState(Enum):
    """What a connection is doing."""

    IDLE = "idle"  # no byte of a request has arrived since the last answer
    READING = "reading"  # a request has arrived in part
    ANSWERING = "answering"  # a complete request waits for its answer, or the answer is being written
    HALF_CLOSED = "half_closed"  # nothing more is sent, and bytes that arrive are discarded
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
    """Why a connection is closed; counted as ``<front>.closed.<reason>`` and logged at level debug."""

    CALLER_GONE = "caller_gone"  # the peer closed or reset it
    LAST_ANSWER = "last_answer"  # its last answer carried `Connection: close`
    UNFINISHED = "unfinished"  # the rest of a request did not arrive in time
    IDLE = "idle"  # it carried no request for the idle timeout
    DISPLACED = "displaced"  # it was idle, and a new connection needed its place
    DRAINED = "drained"  # it was idle when the node stopped
    NOT_TAKEN = "not_taken"  # the peer did not read its answer
    CUT = "cut"  # the node ended before the connection did
    FAULT = "fault"  # an unforeseen exception was raised while it was served


class TransitionError(RuntimeError):
    """A connection was to enter a state that can't follow its present one."""


class Connection:
    """A caller's connection and its state. All times are milliseconds of the node's clock."""

    def __init__(self, stream: CallerStream, now_ms: float) -> None:
        self.stream = stream
        self.state = ConnectionState.IDLE
        self.since_ms = now_ms  # when it was opened, became idle, or began to receive its present request
        self.had_request = False  # an earlier request on it was answered
        self.closes_after_answer = False  # the answer that is being written is announced as the last
        self.is_last_request = False  # no request is accepted after the one that is being read
        self.rejects_request = False  # the table of connections is full: its request is rejected
        self.at_eof = False  # the peer has closed its sending side
        self.scope = anyio.CancelScope()  # contains all work for this connection
        self.write_started_ms = math.inf  # infinite while no answer is being written
        self.read_scope: anyio.CancelScope | None = None  # set while it waits for bytes
        self.close_reason: CloseReason | None = None  # None until the close is decided
        self.interim_response = b""  # may be sent while a request waits for its answer; empty: the peer knows none
        self.last_request_id = ""  # of the last request that was submitted

    @property
    def discarded_bytes(self) -> int:
        """The number of bytes that arrived after the close was decided."""
        return self.stream.discarded_bytes

    @property
    def busy(self) -> bool:
        """Whether a request has arrived at least in part and is not answered."""
        return self.state in (ConnectionState.READING, ConnectionState.ANSWERING)

    def enter(self, state: ConnectionState) -> None:
        """Go to another state; entering the present state again changes nothing.

        Raises:
            TransitionError: that state can't follow.
        """
        if state is self.state:
            return
        if state not in TRANSITIONS[self.state]:
            raise TransitionError(f"a connection can't go from {self.state.value} to {state.value}")
        self.state = state

    def set_close_reason(self, reason: CloseReason) -> None:
        """Record why it is closed; the first reason is kept."""
        if self.close_reason is None:
            self.close_reason = reason

    def stop_reading(self) -> None:
        """End the wait for bytes, if there is one."""
        if self.read_scope is not None:
            self.read_scope.cancel()

    def half_close(self) -> None:
        """Close the sending side of an idle connection at once."""
        self.enter(ConnectionState.HALF_CLOSED)
        self.stream.half_close()

    async def await_peer_close(self, timeout_ms: float) -> None:
        """Wait until the peer closes too or the timeout expires, and read nothing."""
        with anyio.move_on_after(timeout_ms / 1000):
            while not self.stream.peer_closed:
                await anyio.sleep(PEER_CHECK_INTERVAL_S)

    async def shut_down(self, limits: Limits, linger_ms: float) -> None:
        """Send nothing more, and discard what still arrives (`CallerStream.shut_down`)."""
        self.enter(ConnectionState.HALF_CLOSED)
        await self.stream.shut_down(limits, linger_ms)
