"""Which connection gives way to a new one."""

from __future__ import annotations

import socket

import anyio
import pytest

from flintshift.core.limits import Limits
from flintshift.wire.acceptor import open_listener, queue_length
from flintshift.wire.connection import CloseReason, Connection, ConnectionState
from flintshift.wire.connection_table import QUEUE_PASSES_WITHIN_MS, ConnectionTable

pytestmark = pytest.mark.anyio

LIMITS = Limits()
STALLED_MS, INCOMPLETE_MS = LIMITS.displace_stalled_after_ms, LIMITS.displace_incomplete_after_ms
SILENT_MS, IDLE_MS = LIMITS.displace_silent_after_ms, LIMITS.displace_idle_after_ms
MAX_CONNECTIONS = 16


class TableHarness:
    """A table with a clock; connections are made in the state that a test asks for."""

    def __init__(self):
        self.now = 1000.0
        self.table = ConnectionTable(LIMITS, lambda: self.now)

    def silent(self) -> Connection:
        connection = Connection(None, self.now)
        connection.read_scope = anyio.CancelScope()  # it waits for bytes
        self.table.add(connection)
        return connection

    def answered(self) -> Connection:
        connection = self.silent()
        self.table.on_request_complete(connection)
        connection.had_request = True
        self.table.on_idle(connection)
        return connection

    def partial(self) -> Connection:
        connection = self.silent()
        connection.enter(ConnectionState.READING)
        self.table.on_bytes(connection)
        return connection

    def whole(self) -> Connection:
        connection = self.partial()
        self.table.on_request_complete(connection)
        return connection

    def displaced(self) -> Connection | None:
        """The connection that gives way now."""
        if not self.table.displace(MAX_CONNECTIONS):
            return None
        return next(
            connection
            for connection in self.table.connections
            if connection.close_reason is CloseReason.DISPLACED and self.table.connections.discard(connection) is None
        )


@pytest.fixture
def harness():
    return TableHarness()


async def test_connections_give_way_by_their_progress(harness):
    answered, whole = harness.answered(), harness.whole()
    trickling = harness.partial()
    harness.now += INCOMPLETE_MS - 2 * STALLED_MS
    stalled, silent = harness.partial(), harness.silent()
    harness.now += 2 * STALLED_MS
    harness.table.on_bytes(trickling)
    assert [harness.displaced() for _ in range(5)] == [silent, stalled, trickling, answered, None]
    assert whole.close_reason is None


async def test_what_came_or_was_answered_just_now_is_kept(harness):
    harness.answered()
    harness.now += IDLE_MS - 1
    assert harness.displaced() is None
    harness.partial()
    harness.silent()
    assert harness.displaced() is None  # the idle one is due in a millisecond
    harness.now += 1
    assert harness.displaced() is not None  # it is: two of sixteen are no reason to keep it


async def test_idle_connections_of_usual_callers_are_kept_while_many_hold_places_without_a_whole_request(harness):
    """Guards against usual callers who lose their connections to others that send half a request."""
    answered = harness.answered()
    harness.now += 10 * IDLE_MS
    for _ in range(3):  # over an eighth of the table
        harness.partial()
    assert harness.displaced() is None
    harness.now += STALLED_MS
    assert harness.displaced() is not answered


async def test_a_request_that_goes_on_arriving_has_time(harness):
    connection = harness.partial()
    for _ in range(3):
        harness.now += STALLED_MS - 1
        assert harness.displaced() is None
        harness.table.on_bytes(connection)
    harness.now = connection.since_ms + INCOMPLETE_MS
    assert harness.displaced() is connection


async def test_as_many_give_way_as_wait_but_few_at_the_same_time(harness):
    for _ in range(MAX_CONNECTIONS):
        harness.silent()
    harness.now += SILENT_MS
    assert harness.table.displace_for(1, MAX_CONNECTIONS) == 1
    assert harness.table.displace_for(1, MAX_CONNECTIONS) == 0  # that one is still being closed
    assert harness.table.displace_for(100, MAX_CONNECTIONS) == MAX_CONNECTIONS // 2 - 1
    assert harness.table.displace_for(100, MAX_CONNECTIONS) == 0


async def test_places_are_held_for_less_time_while_many_wait(harness):
    for _ in range(2):
        harness.silent()
        harness.partial()
    many_waiting = int(4 * MAX_CONNECTIONS * QUEUE_PASSES_WITHIN_MS / SILENT_MS)
    harness.now += SILENT_MS / 4
    assert harness.table.displace_for(1, MAX_CONNECTIONS) == 0
    assert harness.table.displace_for(many_waiting, MAX_CONNECTIONS) == 4


async def test_the_length_of_a_listeners_queue_is_told():
    with open_listener(("127.0.0.1", 0), 16) as listener:
        callers = []
        for count in range(4):
            assert queue_length(listener) == count
            callers.append(socket.create_connection(listener.getsockname()))
        for caller in callers:
            caller.close()


async def test_a_connection_that_is_about_to_look_for_bytes_is_kept(harness):
    """Guards against a connection that counts as being displaced for ever, as its wait could not be ended."""
    silent, partial, answered = harness.silent(), harness.partial(), harness.answered()
    for connection in (silent, partial, answered):
        connection.read_scope = None
    harness.now += 10 * INCOMPLETE_MS
    assert harness.displaced() is None
    partial.read_scope = anyio.CancelScope()
    assert harness.displaced() is partial
