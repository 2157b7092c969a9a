"""The platform's front: HTTP/1.1 with one request at a time on a connection, and health checks."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import cached_property

import h11

from flintshift.core.attempts import Answer
from flintshift.wire.connection import CloseReason, Connection
from flintshift.wire.fields import FIELD_NAMES, RequestError, encode_response, response_headers, response_status
from flintshift.wire.front import UNFINISHED_ANSWER, Front, PendingAnswer
from flintshift.wire.http_parser import BoundedParser, MessageBounds, MessageError


def origin_form(target: str) -> str:
    """The path and query of a request's target, which may also be a whole URL (RFC 9112, 3.2.2).

    >>> origin_form("http://api.internal/call/a?b=1")
    '/call/a?b=1'
    """
    scheme, separator, rest = target.partition("://")
    if target.startswith("/") or not separator or scheme.lower() not in ("http", "https"):
        return target
    return "/" + rest.partition("/")[2]


INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"  # clients skip any number of these (RFC 9110, 15.2)
FIELD_NAME_BY_HEADER = {name.lower().encode(): name for name in FIELD_NAMES}


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What is kept of a request's head. A head parsed in full can take 25 times its bytes, too much to keep on every
    connection while a request is read or waits for its answer."""

    method: str
    target: str
    fields: dict[str, str]  # those of `FIELD_NAMES`, by name
    repeated_field: str | None  # a field beginning with X- that occurs more than once

    @classmethod
    def from_event(cls, request: h11.Request) -> RequestHead:
        """Select it from the complete head."""
        fields: dict[str, str] = {}
        seen, repeated_field = set[bytes](), None
        for name, value in request.headers:
            if not name.startswith(b"x-"):
                continue
            if name in seen:
                repeated_field = repeated_field or name.decode().title()
            seen.add(name)
            if name in FIELD_NAME_BY_HEADER:
                fields[FIELD_NAME_BY_HEADER[name]] = value.decode("latin-1")
        return cls(request.method.decode(), request.target.decode(), fields, repeated_field)


class HttpFront(Front):
    """Serves callers over HTTP/1.1."""

    name = "http"

    async def serve_connection(self, connection: Connection) -> None:
        early = b""  # bytes of the next request that came with the present one
        while True:
            parser, keep_alive = BoundedParser(h11.SERVER, self.message_bounds), False
            try:
                request = await self._read_request(connection, parser, early)
                if request is None:
                    return
                keep_alive = parser.complete
                if not await self._answer(connection, keep_alive, *request):
                    return
            except RequestError as error:
                self.counters.add(f"http.status_{error.status}")
                keep_alive = error.status == 404 and parser.complete
                await self._respond(connection, keep_alive, error.status, json.dumps({"error": error.text}).encode())
            except MessageError as error:  # the end of the request can't be determined any more
                self.counters.add(f"http.status_{error.status}")
                await self._respond(connection, False, error.status, json.dumps({"error": error.text}).encode())
            if connection.closes_after_answer:
                return
            early = parser.trailing_bytes
            self.on_answered(connection)

    @cached_property
    def message_bounds(self) -> MessageBounds:
        """The bounds of one request."""
        return MessageBounds.of_requests(self.limits)

    async def _read_request(
        self, connection: Connection, parser: BoundedParser, early: bytes
    ) -> tuple[RequestHead, bytes] | None:
        """Read the next complete request, which begins with the ``early`` bytes; None if the connection is to be
        closed."""
        head: RequestHead | None = None
        body = b""
        if early:
            self.on_request_bytes(connection)
            parser.receive(early)
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if parser.connection.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    await self.write_interim(connection, parser.connection.send(interim) or b"")
                data = await self.read(connection)
                if data is None:
                    if connection.busy:  # the request arrived only in part, and nothing of it was run
                        connection.set_close_reason(CloseReason.UNFINISHED)
                        status = 503 if self.serving_status.draining else 408
                        await self._respond(connection, False, status, b"", UNFINISHED_ANSWER)
                    return None
                parser.receive(data)
            elif isinstance(event, h11.Request):
                self._check_body_length(dict(event.headers))
                head = RequestHead.from_event(event)
                connection.interim_response = INTERIM_RESPONSE if event.http_version >= b"1.1" else b""
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.max_body_bytes:
                    raise RequestError(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return head, body
            else:
                return None

    def _check_body_length(self, headers: dict[bytes, bytes]) -> None:
        # Guards against request smuggling: with both headers, peers differ on where the body ends.
        if b"content-length" in headers and b"transfer-encoding" in headers:
            raise RequestError(400, "Content-Length and Transfer-Encoding exclude each other")
        if int(headers.get(b"content-length", b"0")) > self.limits.max_body_bytes:
            raise RequestError(413, "the body is too large")

    async def _answer(self, connection: Connection, keep_alive: bool, head: RequestHead, body: bytes) -> bool:
        """Answer a complete request; False if its caller disconnected before the answer."""
        target = origin_form(head.target)
        path, _, query = target.partition("?")
        if path == "/ping":
            healthy = await self.check_health(head.method, query)
            await self._respond(connection, keep_alive, 200 if healthy else 503, b"")
            return True
        class_name = self.attempt_builder.class_name_of(head.method, target)
        if head.repeated_field is not None:  # it is ambiguous
            raise RequestError(400, f"{head.repeated_field} is impossible")
        pending = PendingAnswer()
        attempt = self.attempt_builder.build(class_name, body, head.fields.get, pending.resolve)
        answer = await self.submit_and_wait(connection, attempt, pending)
        if answer is not None:
            answer_headers = response_headers(
                answer, answer.body, self.serving_status, self._closes_after_answer(connection, keep_alive)
            )
            await self.write_answer(
                connection,
                attempt,
                answer,
                encode_response(response_status(answer, self.serving_status), answer_headers, answer.body),
            )
        return answer is not None

    async def _respond(
        self, connection: Connection, keep_alive: bool, status: int, body: bytes, answer: Answer | None = None
    ) -> None:
        headers = response_headers(answer, body, self.serving_status, self._closes_after_answer(connection, keep_alive))
        await self.write(connection, encode_response(status, headers, body))

    def _closes_after_answer(self, connection: Connection, keep_alive: bool) -> bool:
        """Decide whether this answer is announced as the last on its connection. After an answer without that
        announcement, the caller may already have sent another request."""
        connection.closes_after_answer = self.closes_after_answers or connection.is_last_request or not keep_alive
        return connection.closes_after_answer
