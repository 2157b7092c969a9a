"""The open connections of a front, and which of them give way to a new one once there is no room.

This protects the file descriptors, which peers and fronts share, without locking usual callers out in favour of others
that stay connected and send nothing, or a part of a request. These give way in this order, and none of whose request is
whole:

1. connections that never brought a request, the longest silent first;
2. those with a part of a request and no further byte for a while, the longest stalled first;
3. those with a part of a request that has been incomplete for long, though bytes arrive, the oldest first;
4. connections that are idle after an answer, the longest idle first; but not while many are of the kinds above, as one
   of these may give way soon.

A connection that was opened, brought bytes or was answered just now may have the rest on its way, and is kept. It has
less time for that while many wait, so that a connection passes the listener's queue within part of a deadline.
"""

from __future__ import annotations

from collections.abc import Callable

from flintshift.core.limits import Limits
from flintshift.wire.connection import CloseReason, Connection, ConnectionState

UNPROVEN_SHARE = 1 / 8  # of the table: more connections without a whole request protect the idle ones
MAX_DISPLACING_SHARE = 1 / 2  # of the table: connections that are displaced and not closed yet
MAX_DISPLACED_AT_ONCE = 16  # in one turn of the event loop
QUEUE_PASSES_WITHIN_MS = 500.0  # if each place is taken by a connection that gives way
MIN_TIME_SHARE = 0.1  # of the times in which a connection may bring its request


def waits_for_bytes(connection: Connection) -> bool:
    """Whether the wait for bytes of this connection can be ended; another one will look for bytes soon."""
    return connection.read_scope is not None


class ConnectionTable:
    """The connections of one front. Times are milliseconds of the node's clock."""

    def __init__(self, limits: Limits, now_ms: Callable[[], float]) -> None:
        self.limits, self.now_ms = limits, now_ms
        self.connections: set[Connection] = set()
        # Idle connections without and with an earlier request; the longest idle first.
        self.idle: tuple[dict[Connection, None], ...] = ({}, {})
        self.partial: dict[Connection, float] = {}  # when the last byte of a part arrived; the longest ago first

    def add(self, connection: Connection) -> None:
        """Add a new connection, which is idle."""
        self.connections.add(connection)
        self.on_idle(connection)

    def discard(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        self.on_request_complete(connection)

    def on_idle(self, connection: Connection) -> None:
        """Note that a connection waits for its next request."""
        self.partial.pop(connection, None)
        self.idle[connection.had_request][connection] = None

    def on_bytes(self, connection: Connection) -> None:
        """Note that bytes of a request have arrived, which is not whole yet."""
        self.on_request_complete(connection)
        self.partial[connection] = self.now_ms()

    def on_request_complete(self, connection: Connection) -> None:
        """Note that a connection's request is whole or is answered: it gives way to no other."""
        self.partial.pop(connection, None)
        for idle in self.idle:
            idle.pop(connection, None)

    def displace(self, max_connections: int, waiting: int = 1) -> bool:
        """Have one connection closed, by the order above; False if none may be. ``waiting``: in the queue."""
        connection = self._find_displaceable(max_connections, waiting)
        if connection is None:
            return False
        self.on_request_complete(connection)
        connection.set_close_reason(CloseReason.DISPLACED)
        connection.stop_reading()
        return True

    def displace_for(self, waiting: int, max_connections: int) -> int:
        """Have connections closed for so many that wait; returns the number. Those that are being closed count."""
        in_progress = sum(connection.close_reason is CloseReason.DISPLACED for connection in self.connections)
        wanted = min(waiting, max(1, int(max_connections * MAX_DISPLACING_SHARE))) - in_progress
        for displaced in range(min(wanted, MAX_DISPLACED_AT_ONCE)):
            if not self.displace(max_connections, waiting):
                return displaced
        return max(0, min(wanted, MAX_DISPLACED_AT_ONCE))

    def _find_displaceable(self, max_connections: int, waiting: int) -> Connection | None:
        now, limits = self.now_ms(), self.limits
        silent, answered = self.idle
        place_ms = QUEUE_PASSES_WITHIN_MS * max_connections / max(1, waiting)
        time_share = max(MIN_TIME_SHARE, min(1.0, place_ms / max(1.0, limits.displace_silent_after_ms)))
        longest_silent = next(filter(waits_for_bytes, silent), None)
        if longest_silent is not None and now - longest_silent.since_ms >= limits.displace_silent_after_ms * time_share:
            return longest_silent
        partial = [connection for connection in self.partial if waits_for_bytes(connection)]
        if partial and now - self.partial[partial[0]] >= limits.displace_stalled_after_ms * time_share:
            return partial[0]
        oldest = min(partial, key=lambda connection: connection.since_ms, default=None)
        if oldest is not None and now - oldest.since_ms >= limits.displace_incomplete_after_ms * time_share:
            return oldest
        if self._count_unproven() > max(1, max_connections * UNPROVEN_SHARE):
            return None
        longest_idle = next(filter(waits_for_bytes, answered), None)
        if longest_idle is not None and now - longest_idle.since_ms >= limits.displace_idle_after_ms:
            return longest_idle
        return None

    def _count_unproven(self) -> int:
        """The number of connections that have not brought a whole request, with those that are being displaced."""
        return sum(
            not connection.had_request
            and (connection.state is not ConnectionState.ANSWERING or connection.close_reason is CloseReason.DISPLACED)
            for connection in self.connections
        )
