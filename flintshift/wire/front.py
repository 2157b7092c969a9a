"""What both fronts share: connections and their count, and one request handed over and waited for."""

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
from flintshift.wire.fields import AttemptBuilder, RequestError
from flintshift.wire.link import CONNECTION_ERRORS


class Exchange:
    """Waits for the final answer to one request, or for its caller to go."""

    def __init__(self) -> None:
        self.answer: Answer | None = None
        self.reading: anyio.CancelScope | None = None  # set while it waits

    def tell(self, answer: Answer) -> None:
        self.answer = answer
        if self.reading is not None:
            self.reading.cancel()


class Front:
    """Serves one listener; what a connection says is the subclass's."""

    name = "front"

    def __init__(
        self,
        fields: AttemptBuilder,
        decisions: Decisions,
        limits: Limits,
        counters: Counters,
        now_ms: Callable[[], float],
        most: int,
        verify: Callable[[], Awaitable[bool]],
    ) -> None:
        self.fields, self.decisions, self.limits = fields, decisions, limits
        self.counters, self.now_ms, self.max_connections, self.verify = counters, now_ms, most, verify
        self.connections: set[Connection] = set()
        self.idle: tuple[dict[Connection, None], ...] = ({}, {})  # that never spoke, that did; idlest first
        self.usage_recorder: UsageRecorder | None = None
        self.log: Log | None = None  # of requests; None: not at this level
        self.listener: Acceptor | None = None
        self.accepting = anyio.CancelScope()
        self.taking: anyio.Event | None = None  # there is one while another process of this node accepts
        self.other_process_open_count = 0  # connections that it holds
        self.listening = True  # it takes new connections, now or once it may
        self.takes_queue = True  # what is queued at the end is this process's
        self.alone = True  # and nobody listens there any more
        self.last = False  # each answer is the last on its connection, until `resume_accepting`
        self.draining = False  # so it is from now on
        self.closing = False  # all that is open gets its answer and is closed

    @property
    def posture(self) -> ServingStatus:
        return self.decisions.serving_status

    @property
    def finished(self) -> bool:
        """It was told to finish, and has closed all that it took; what was queued at its end too."""
        return self.listener is None or self.listener.finished

    @property
    def open_count(self) -> int:
        """Connections that were accepted and are not closed."""
        return len(self.connections) if self.listener is None else self.listener.open_count

    @property
    def last_answers(self) -> bool:
        """Each answer is the last on its connection."""
        return self.last or self.draining or self.closing

    @property
    def busy_count(self) -> int:
        return sum(connection.busy for connection in self.connections)

    async def serve(self, listener: Acceptor, tasks: TaskGroup) -> None:
        """Accept until told to finish; the connections live on in the task group given."""
        self.listener = listener
        while self.listening:
            while self.taking is not None:
                await self.taking.wait()
            self.accepting = anyio.CancelScope()
            with self.accepting:
                while self.listening:
                    try:
                        await listener.serve(self._accepted, tasks, self)
                    except OSError:  # one connection that can't be accepted must not end the node
                        self.counters.add(f"{self.name}.accept_failed")
                        await anyio.sleep(self.limits.backoff_ms / 1000)
        if self.takes_queue:
            if self.alone:
                await listener.drop_new_connections()
            listener.accept_queued(self._accepted, tasks, self.limits.max_backlog_accepts)
        listener.close()

    def pause_accepting(self) -> None:
        """Accept no more until `resume_accepting`, and end connections with their next answer."""
        self.taking, self.last = self.taking or anyio.Event(), True
        self.accepting.cancel()

    def resume_accepting(self) -> None:
        self.last = False
        if self.taking is not None:
            self.taking.set()
            self.taking = None

    async def _accepted(self, stream: CallerStream) -> None:
        # uvloop may raise a RuntimeError where the connection is closed already: that must not end the node.
        with contextlib.suppress(*CONNECTION_ERRORS, RuntimeError):
            async with stream:
                await self._admit(stream)

    def has_capacity(self) -> bool:
        """One more may be accepted: up to an eighth more than the table holds, for those that are displaced and not
        closed yet, and for those that are turned away."""
        return self.open_count + self.other_process_open_count < self.max_connections + max(
            1, self.max_connections // 8
        )

    def request_capacity(self) -> None:
        """Have an idle connection go for one that waits in the queue, unless one goes already."""
        if not any(connection.reason is CloseReason.DISPLACED for connection in self.connections):
            self._displace()

    async def _admit(self, stream: CallerStream) -> None:
        """Hold a connection that was accepted until it is over. Where the table has no place for it, its request is
        answered all the same: closed over it, the connection would be reset, and the request lost."""
        connection = Connection(stream, self.now_ms())
        if len(self.connections) + self.other_process_open_count >= self.max_connections and not self._displace():
            self.counters.add(f"{self.name}.connections_refused")
            connection.turned_away = connection.last_request = True
        else:
            self.counters.add(f"{self.name}.connections")
        self.connections.add(connection)
        self._rest(connection)
        try:
            with connection.scope:
                await self.converse(connection)
                await self._shut(connection)
        except CONNECTION_ERRORS:
            connection.close_for(CloseReason.CALLER_GONE)
            self.counters.add(f"{self.name}.connections_broken")
        except Exception as error:  # a fault met on one connection must not end the others
            connection.close_for(CloseReason.FAULT)
            faults.record(self.counters, self.name, error)
            if self.log is not None:
                self.log("error", "front.fault", front=self.name, fault=repr(error))
        finally:
            connection.enter(ConnectionState.CLOSED)
            self.connections.discard(connection)
            self._stir(connection)
            self._tell_of_close(connection)

    def _tell_of_close(self, connection: Connection) -> None:
        reason = connection.reason or CloseReason.CUT
        self.counters.add(f"{self.name}.closed.{reason.value}")
        if connection.discarded:
            self.counters.add(f"{self.name}.bytes_discarded", connection.discarded)
        if self.log is not None:
            self.log(
                "debug",
                "connection.closed",
                front=self.name,
                reason=reason.value,
                bytes_discarded=connection.discarded,
                last_request=connection.request,
            )

    def _rest(self, connection: Connection) -> None:
        self.idle[connection.spoke][connection] = None

    def _stir(self, connection: Connection) -> None:
        for idle in self.idle:
            idle.pop(connection, None)

    def _displace(self) -> bool:
        """Close the idlest connection for a new one. Guards the descriptors, which peers and fronts share,
        without shutting usual callers out for those that stay and ask nothing: these go first if they never
        spoke. One that came or spoke just now may have a request on its way."""
        for idle, least_ms in zip(
            self.idle, (self.limits.displace_silent_after_ms, self.limits.displace_idle_after_ms), strict=True
        ):
            connection = next(iter(idle), None)
            if connection is not None and self.now_ms() - connection.since_ms >= least_ms:
                self._stir(connection)
                connection.close_for(CloseReason.DISPLACED)
                connection.stop_reading()
                self.counters.add(f"{self.name}.connections_displaced")
                return True
        return False

    async def converse(self, connection: Connection) -> None:
        raise NotImplementedError

    async def _shut(self, connection: Connection) -> None:
        """See a connection off that is answered, or that was ended while it rested. One that never brought a request
        is owed nothing, and keeps no descriptor from others any longer."""
        if connection.at_end:  # nothing can stand unread any more
            connection.close_for(CloseReason.CALLER_GONE)
        elif connection.state is ConnectionState.HALF_CLOSED:
            connection.close_for(CloseReason.IDLE)
            if connection.spoke or self.draining:
                await connection.await_peer(self.limits.close_crossing_ms)
        else:
            connection.close_for(CloseReason.LAST_ANSWER)
            await connection.shut(self.limits, self.limits.linger_ms)

    async def healthy(self, method: str, query: str) -> bool:
        """The answer to a health check; a deep one asks the worker pool unless it is told not to."""
        if method not in ("GET", "HEAD"):
            raise RequestError(405, "only GET is taken here")
        self.counters.add(f"{self.name}.checks")
        good = self.posture.workers_up and self.posture.healthy and not self.posture.out_of_service
        if good and parse_qs(query).get("all") == ["1"] and not self.posture.health_is_cached:
            return await self.verify()
        return good

    async def read(self, connection: Connection) -> bytes | None:
        """Bytes; b"" at their end; None when the node stops, the connection has been idle for long enough,
        or a request takes too long: the first one from the opening on, the next from their first byte."""
        wait_s = None
        if connection.busy or not connection.spoke:
            wait_s = max(0.0, connection.since_ms + self.limits.request_read_timeout_ms - self.now_ms()) / 1000
        if self.closing:
            wait_s = self.limits.last_read_timeout_ms / 1000
        with anyio.move_on_after(wait_s) as connection.reading:
            try:
                return await self._receive(connection)
            finally:
                connection.reading = None
        return None if connection.busy else self._end_or_take(connection)

    def _end_or_take(self, connection: Connection) -> bytes | None:
        """End a resting connection, unless bytes of a request have come: these are returned, and answered as the last
        on it. Nothing is awaited between the look and the end, so that nothing is read there."""
        data = connection.stream.unread(self.limits.read_chunk_bytes)
        if not data:
            connection.end()
            return None
        connection.last_request, connection.reason = True, None
        self.begun(connection)
        return data

    async def _receive(self, connection: Connection) -> bytes:
        """The next bytes of a request; b"" at their end."""
        try:
            data = await connection.stream.receive(self.limits.read_chunk_bytes)
        except anyio.EndOfStream:
            connection.at_end = True
            return b""
        self.begun(connection)
        return data

    def begun(self, connection: Connection) -> None:
        """Bytes of a request have come."""
        if not connection.busy:
            connection.enter(ConnectionState.READING)
            self._stir(connection)
            if connection.spoke:
                connection.since_ms = self.now_ms()

    def answered(self, connection: Connection) -> None:
        """The connection is free for its next request."""
        connection.enter(ConnectionState.IDLE)
        connection.spoke, connection.since_ms = True, self.now_ms()
        self._rest(connection)

    async def write(self, connection: Connection, data: bytes) -> None:
        connection.enter(ConnectionState.ANSWERING)
        connection.writing_ms = self.now_ms()
        await connection.stream.send(data)
        connection.writing_ms = math.inf

    async def exchange(
        self, connection: Connection, attempt: Attempt, exchange: Exchange, more: Callable[[bytes], None]
    ) -> Answer | None:
        """Hand a request over and wait for its answer; None when the caller went first."""
        self.counters.add(f"{self.name}.requests")
        connection.enter(ConnectionState.ANSWERING)
        connection.request = attempt.id
        if self.usage_recorder is not None:
            self.usage_recorder.track(attempt, self.name)
        if connection.turned_away:
            self.decisions.reject(attempt)
        else:
            self.decisions.submit(attempt)
        early = 0
        while exchange.answer is None:
            with anyio.CancelScope() as exchange.reading:
                if early > self.limits.max_head_bytes:  # what comes before the answer is kept, up to a bound
                    await anyio.sleep_forever()
                try:
                    data = await connection.stream.receive(self.limits.read_chunk_bytes)
                except CONNECTION_ERRORS:
                    if self.usage_recorder is not None:
                        self.usage_recorder.record_disconnect(attempt, self.name)
                    await self.decisions.report(CallerDisconnected(attempt))
                    return None
                early += len(data)
                more(data)
        return exchange.answer

    async def deliver(self, connection: Connection, attempt: Attempt, answer: Answer, data: bytes) -> None:
        """Write a request's final answer."""
        arrived = False
        try:
            await self.write(connection, data)
            arrived = True
        finally:
            if self.usage_recorder is not None:
                self.usage_recorder.record_delivery(attempt, arrived)
            if self.log is not None:
                self.log(
                    "debug",
                    "request.answered",
                    request=attempt.id,
                    club=attempt.tenant,
                    front=self.name,
                    class_name=attempt.class_name,
                    verdict=answer.verdict.value,
                    arrived=arrived,
                    age_ms=round(self.now_ms() - attempt.arrival_ms, 1),
                )

    async def sweep(self) -> None:
        """Close connections that have carried nothing for as long as was decided, and those whose callers
        take no answer: they must not be held for ever."""
        while True:
            await anyio.sleep(self.limits.sweep_interval_ms / 1000)
            idle_ms, now = self.posture.idle_timeout_ms, self.now_ms()
            for connection in self.connections:
                if idle_ms and not connection.busy and now - connection.since_ms >= idle_ms:
                    connection.stop_reading()
                if now - connection.writing_ms >= self.limits.write_timeout_ms:
                    connection.close_for(CloseReason.NOT_TAKEN)
                    self.counters.add(f"{self.name}.answers_not_taken")
                    connection.scope.cancel()

    # The end, in three steps.

    def drain(self) -> None:
        """The node leaves: each answer says from now on that it is the last on its connection, so that callers end
        their connections themselves, while none of their requests is on its way."""
        self.draining = True

    def stop_listening(self, alone: bool = True) -> None:
        """Take what is queued, and nothing after it. ``alone``: no other process goes on listening at the socket."""
        if self.listening:
            self.listening, self.takes_queue, self.alone = False, self.taking is None, alone
            self.resume_accepting()
            self.accepting.cancel()

    def finish(self) -> None:
        """What is half read is answered, what rests is ended."""
        self.drain()
        self.stop_listening()
        self.closing = True
        for connection in self.connections:
            if not connection.busy:
                connection.close_for(CloseReason.DRAINED)
            connection.stop_reading()


STOPPING = Answer(Verdict.REFUSED)
