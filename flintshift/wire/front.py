"""What both fronts share: their connections, and how one request is submitted and its answer awaited."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import anyio
from anyio.abc import TaskGroup

from flintshift.core.attempts import Answer, Attempt, CallerDisconnected, Verdict
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits
from flintshift.core.ports import Log, ServingStatus, UsageRecorder
from flintshift.wire import faults
from flintshift.wire.acceptor import Acceptor
from flintshift.wire.caller_stream import CallerStream
from flintshift.wire.connection import CloseReason, Connection, ConnectionState
from flintshift.wire.connection_table import ConnectionTable
from flintshift.wire.fields import AttemptBuilder, RequestError
from flintshift.wire.link import CONNECTION_ERRORS

MAX_CHECK_QUERY_CHARS = 256  # of a health check


class PendingAnswer:
    """Holds the final answer to one request, and ends the wait for it."""

    def __init__(self) -> None:
        self.answer: Answer | None = None
        self.wait_scope: anyio.CancelScope | None = None  # set while the front waits

    def resolve(self, answer: Answer) -> None:
        """Set the answer, and end the wait if the front waits."""
        self.answer = answer
        if self.wait_scope is not None:
            self.wait_scope.cancel()


class Front:
    """Serves the connections of one listener; subclasses implement the protocol spoken on a connection."""

    name = "front"

    def __init__(
        self,
        attempt_builder: AttemptBuilder,
        decisions: Decisions,
        limits: Limits,
        counters: Counters,
        now_ms: Callable[[], float],
        max_connections: int,
        verify: Callable[[], Awaitable[bool]],
    ) -> None:
        self.attempt_builder, self.decisions, self.limits = attempt_builder, decisions, limits
        self.counters, self.now_ms, self.max_connections, self.verify = counters, now_ms, max_connections, verify
        self.table = ConnectionTable(limits, now_ms)
        self.connections, self.idle = self.table.connections, self.table.idle
        self.usage_recorder: UsageRecorder | None = None
        self.log: Log | None = None  # of requests; None: not at this level
        self.listener: Acceptor | None = None
        self.accept_scope = anyio.CancelScope()
        self.resumed: anyio.Event | None = None  # not None while another process of this node accepts
        self.other_process_open_count = 0  # open connections of that process
        self.listening = True  # this process accepts new connections, now or once it resumes
        self.accepts_queue = True  # at the end, queued connections belong to this process
        self.sole_listener = True  # and no other process listens at the socket any more
        self.closes_until_resumed = False  # each answer is the last on its connection, until `resume_accepting`
        self.draining = False  # each answer is the last on its connection, from now on
        self.closing = False  # open requests are answered, and all connections closed

    @property
    def serving_status(self) -> ServingStatus:
        return self.decisions.serving_status

    @property
    def finished(self) -> bool:
        """Whether it was asked to finish and has closed all connections, those queued at its end included."""
        return self.listener is None or self.listener.finished

    @property
    def open_count(self) -> int:
        """The number of connections that were accepted and are not closed."""
        return len(self.connections) if self.listener is None else self.listener.open_count

    @property
    def closes_after_answers(self) -> bool:
        """Whether each answer is the last on its connection."""
        return self.closes_until_resumed or self.draining or self.closing

    @property
    def busy_count(self) -> int:
        """The number of connections with an unanswered request."""
        return sum(connection.busy for connection in self.connections)

    async def serve(self, listener: Acceptor, tasks: TaskGroup) -> None:
        """Accept connections until asked to finish; they are served in the given task group."""
        self.listener = listener
        while self.listening:
            while self.resumed is not None:
                await self.resumed.wait()
            self.accept_scope = anyio.CancelScope()
            with self.accept_scope:
                while self.listening:
                    try:
                        await listener.serve(self._handle_connection, tasks, self)
                    except OSError:  # one connection that can't be accepted must not end the node
                        self.counters.add(f"{self.name}.accept_failed")
                        await anyio.sleep(self.limits.backoff_ms / 1000)
        if self.accepts_queue:
            if self.sole_listener:
                await listener.drop_new_connections()
            listener.accept_queued(self._handle_connection, tasks, self.limits.max_backlog_accepts)
        listener.close()

    def pause_accepting(self) -> None:
        """Accept no connection until `resume_accepting`, and close the open ones after their next answers."""
        self.resumed, self.closes_until_resumed = self.resumed or anyio.Event(), True
        self.accept_scope.cancel()

    def resume_accepting(self) -> None:
        """Accept connections again, and keep them open after their answers."""
        self.closes_until_resumed = False
        if self.resumed is not None:
            self.resumed.set()
            self.resumed = None

    async def _handle_connection(self, stream: CallerStream) -> None:
        # uvloop may raise a RuntimeError if the connection is already closed: that must not end the node.
        with contextlib.suppress(*CONNECTION_ERRORS, RuntimeError):
            async with stream:
                await self._admit(stream)

    def has_capacity(self) -> bool:
        """Whether one more connection may be accepted. An eighth more than the table holds are allowed, for connections
        that are displaced and not closed yet, and for those whose request is rejected."""
        return self.open_count + self.other_process_open_count < self.max_connections + max(
            1, self.max_connections // 8
        )

    def request_capacity(self, waiting: int) -> None:
        """Displace connections for those that wait in the queue."""
        self._count_displaced(self.table.displace_for(waiting, self.max_connections))

    async def _admit(self, stream: CallerStream) -> None:
        """Serve an accepted connection until it is closed. If the table is full, its request still gets an answer:
        closing the connection over the unread request would reset it, and the request would be lost."""
        connection = Connection(stream, self.now_ms())
        if len(self.connections) + self.other_process_open_count >= self.max_connections and not self._displace():
            self.counters.add(f"{self.name}.connections_refused")
            connection.rejects_request = connection.is_last_request = True
        else:
            self.counters.add(f"{self.name}.connections")
        self.table.add(connection)
        try:
            with connection.scope:
                await self.serve_connection(connection)
                await self._close(connection)
        except CONNECTION_ERRORS:
            connection.set_close_reason(CloseReason.CALLER_GONE)
            self.counters.add(f"{self.name}.connections_broken")
        except Exception as error:  # an unforeseen exception on one connection must not end the others
            connection.set_close_reason(CloseReason.FAULT)
            faults.record(self.counters, self.name, error)
            if self.log is not None:
                self.log("error", "front.fault", front=self.name, fault=repr(error))
        finally:
            connection.enter(ConnectionState.CLOSED)
            self.table.discard(connection)
            self._record_close(connection)

    def _record_close(self, connection: Connection) -> None:
        reason = connection.close_reason or CloseReason.CUT
        self.counters.add(f"{self.name}.closed.{reason.value}")
        if connection.discarded_bytes:
            self.counters.add(f"{self.name}.bytes_discarded", connection.discarded_bytes)
        if self.log is not None:
            self.log(
                "debug",
                "connection.closed",
                front=self.name,
                reason=reason.value,
                bytes_discarded=connection.discarded_bytes,
                last_request=connection.last_request_id,
            )

    def _displace(self) -> bool:
        """Displace a connection for a new one; False if none may be."""
        displaced = self.table.displace(self.max_connections)
        self._count_displaced(displaced)
        return displaced

    def _count_displaced(self, count: int) -> None:
        if count:
            self.counters.add(f"{self.name}.connections_displaced", count)

    async def serve_connection(self, connection: Connection) -> None:
        """Answer the requests of a connection, until it is to be closed."""
        raise NotImplementedError

    async def _close(self, connection: Connection) -> None:
        """Close a connection after its last answer, or one that was half-closed while idle. A connection that never
        brought a request is closed at once, to free its file descriptor for others."""
        if connection.at_eof:  # no unread bytes can be left
            connection.set_close_reason(CloseReason.CALLER_GONE)
        elif connection.state is ConnectionState.HALF_CLOSED:
            connection.set_close_reason(CloseReason.IDLE)
            if connection.had_request or self.draining:
                await connection.await_peer_close(self.limits.close_crossing_ms)
        else:
            displaced = connection.close_reason is CloseReason.DISPLACED  # its place is wanted, and no answer was owed
            connection.set_close_reason(CloseReason.LAST_ANSWER)
            linger_ms = self.limits.close_crossing_ms if displaced else self.limits.linger_ms
            await connection.shut_down(self.limits, linger_ms)

    async def check_health(self, method: str, query: str) -> bool:
        """The result of a health check. A deep one asks the worker pool, unless the result is cached.

        Raises:
            RequestError: the check uses another method than GET or HEAD, or has a long query.
        """
        if method not in ("GET", "HEAD"):
            raise RequestError(405, "only GET is taken here")
        self.counters.add(f"{self.name}.checks")
        if len(query) > MAX_CHECK_QUERY_CHARS:
            raise RequestError(400, "the query of the check is too long")
        healthy = (
            self.serving_status.workers_up and self.serving_status.healthy and not self.serving_status.out_of_service
        )
        if healthy and parse_qs(query).get("all") == ["1"] and not self.serving_status.health_is_cached:
            return await self.verify()
        return healthy

    async def read(self, connection: Connection) -> bytes | None:
        """Read bytes; b"" at their end. None when the node stops, the connection has been idle for too long or a
        request takes too long: the first since the connection was opened, later ones since their first byte."""
        wait_s = None
        if connection.busy or not connection.had_request:
            wait_s = max(0.0, connection.since_ms + self.limits.request_read_timeout_ms - self.now_ms()) / 1000
        if self.closing:
            wait_s = self.limits.last_read_timeout_ms / 1000
        with anyio.move_on_after(wait_s) as connection.read_scope:
            try:
                return await self._receive(connection)
            finally:
                connection.read_scope = None
        if connection.busy:
            return self._read_rest(connection)
        return self._half_close_or_read(connection)

    def _read_rest(self, connection: Connection) -> bytes | None:
        """Read bytes of a partial request that have arrived in the moment in which its connection was displaced, which
        then stays; None if there are none, or its time is over."""
        if connection.close_reason is not CloseReason.DISPLACED or self.closing:
            return None
        data = connection.stream.read_available(self.limits.read_chunk_bytes)
        if not data:
            return None
        self.on_request_bytes(connection)
        return data

    def _half_close_or_read(self, connection: Connection) -> bytes | None:
        """Half-close an idle connection, unless bytes of a request have arrived: these are returned, and the request is
        the last on the connection. There is no await between the check and the half-close, so nothing is read then."""
        data = connection.stream.read_available(self.limits.read_chunk_bytes)
        if not data:
            connection.half_close()
            return None
        connection.is_last_request, connection.close_reason = True, None
        self.on_request_bytes(connection)
        return data

    async def _receive(self, connection: Connection) -> bytes:
        """The next bytes of a request; b"" at their end."""
        try:
            data = await connection.stream.receive(self.limits.read_chunk_bytes)
        except anyio.EndOfStream:
            connection.at_eof = True
            return b""
        self.on_request_bytes(connection)
        return data

    def on_request_bytes(self, connection: Connection) -> None:
        """Note that bytes of a request have arrived. A connection that was to be displaced stays."""
        if connection.close_reason is CloseReason.DISPLACED:
            connection.close_reason = None
        if not connection.busy:
            connection.enter(ConnectionState.READING)
            if connection.had_request:
                connection.since_ms = self.now_ms()
        self.table.on_bytes(connection)

    def on_answered(self, connection: Connection) -> None:
        """Note that the connection is idle and may bring its next request."""
        connection.enter(ConnectionState.IDLE)
        connection.had_request, connection.since_ms = True, self.now_ms()
        self.table.on_idle(connection)

    async def write(self, connection: Connection, data: bytes) -> None:
        """Write a response to the caller."""
        connection.enter(ConnectionState.ANSWERING)
        self.table.on_request_complete(connection)
        await self.write_interim(connection, data)

    async def write_interim(self, connection: Connection, data: bytes) -> None:
        """Write an interim response to the caller, whose request is not whole yet."""
        connection.write_started_ms = self.now_ms()
        await connection.stream.send(data)
        connection.write_started_ms = math.inf

    async def submit_and_wait(self, connection: Connection, attempt: Attempt, pending: PendingAnswer) -> Answer | None:
        """Submit a request and wait for its answer; None if the caller disconnects before it. Bytes that arrive
        meanwhile stay in the stream."""
        if connection.stream.peer_closed:  # it may have closed behind many requests, of which this is one
            connection.set_close_reason(CloseReason.CALLER_GONE)
            self.counters.add(f"{self.name}.requests_left")
            return None
        self.counters.add(f"{self.name}.requests")
        connection.enter(ConnectionState.ANSWERING)
        self.table.on_request_complete(connection)
        connection.last_request_id = attempt.id
        if self.usage_recorder is not None:
            self.usage_recorder.track(attempt, self.name)
        if connection.rejects_request:
            self.decisions.reject(attempt)
        else:
            self.decisions.submit(attempt)
        if pending.answer is None:
            with anyio.CancelScope() as pending.wait_scope:
                await connection.stream.wait_until_ended(connection.interim_response)
                if self.usage_recorder is not None:
                    self.usage_recorder.record_disconnect(attempt, self.name)
                await self.decisions.report(CallerDisconnected(attempt))
                return None
        return pending.answer

    async def write_answer(self, connection: Connection, attempt: Attempt, answer: Answer, data: bytes) -> None:
        """Write the final answer to a request, and record whether it could be written."""
        written = False
        try:
            await self.write(connection, data)
            written = True
        finally:
            if self.usage_recorder is not None:
                self.usage_recorder.record_delivery(attempt, written)
            if self.log is not None:
                self.log(
                    "debug",
                    "request.answered",
                    request=attempt.id,
                    club=attempt.tenant,
                    front=self.name,
                    class_name=attempt.class_name,
                    verdict=answer.verdict.value,
                    arrived=written,
                    age_ms=round(self.now_ms() - attempt.arrival_ms, 1),
                )

    async def sweep(self) -> None:
        """Close connections that have been idle for the idle timeout, and those whose callers don't read their answers:
        neither may stay open forever."""
        while True:
            await anyio.sleep(self.limits.sweep_interval_ms / 1000)
            idle_timeout_ms, now = self.serving_status.idle_timeout_ms, self.now_ms()
            for connection in self.connections:
                if idle_timeout_ms and not connection.busy and now - connection.since_ms >= idle_timeout_ms:
                    connection.stop_reading()
                if now - connection.write_started_ms >= self.limits.write_timeout_ms:
                    connection.set_close_reason(CloseReason.NOT_TAKEN)
                    self.counters.add(f"{self.name}.answers_not_taken")
                    connection.scope.cancel()

    # The shutdown, in three steps.

    def drain(self) -> None:
        """Announce in each answer that it is the last on its connection, because the node stops. So callers close their
        connections themselves, while none of their requests is on its way."""
        self.draining = True

    def stop_listening(self, sole_listener: bool = True) -> None:
        """Accept the queued connections and none after them. ``sole_listener``: no other process goes on listening at
        the socket."""
        if self.listening:
            self.listening, self.accepts_queue, self.sole_listener = False, self.resumed is None, sole_listener
            self.resume_accepting()
            self.accept_scope.cancel()

    def finish(self) -> None:
        """Answer the requests that have arrived in part, and close idle connections."""
        self.drain()
        self.stop_listening()
        self.closing = True
        for connection in self.connections:
            if not connection.busy:
                connection.set_close_reason(CloseReason.DRAINED)
            connection.stop_reading()


UNFINISHED_ANSWER = Answer(Verdict.REFUSED)  # to a request whose rest did not arrive in time
