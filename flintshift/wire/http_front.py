"""The platform's front: HTTP/1.1, one request at a time on a connection, and health checks."""

from __future__ import annotations

import json
from collections.abc import Callable

import h11

from flintshift.core.attempts import Answer
from flintshift.wire.connection import CloseReason, Connection
from flintshift.wire.fields import RequestError, encode_response, response_headers, response_status
from flintshift.wire.front import STOPPING, Exchange, Front


def origin_form(target: str) -> str:
    """The path and query of a request's target, which may also be a whole URL (RFC 9112, 3.2.2).

    >>> origin_form("http://api.internal/call/a?b=1")
    '/call/a?b=1'
    """
    scheme, separator, rest = target.partition("://")
    if target.startswith("/") or not separator or scheme.lower() not in ("http", "https"):
        return target
    return "/" + rest.partition("/")[2]


class HttpFront(Front):
    name = "http"

    async def converse(self, connection: Connection) -> None:
        early = b""  # of the next request, come before this one's answer
        while True:
            conn, more, keep = h11.Connection(h11.SERVER, self.limits.max_head_bytes), list[bytes](), False
            if early:
                self.begun(connection)
                conn.receive_data(early)
            try:
                request = await self._request(connection, conn)
                if request is None:
                    return
                keep = conn.their_state is h11.DONE
                if not await self._answer(connection, keep, *request, more.append):
                    return
            except RequestError as error:
                self.counters.add(f"http.status_{error.status}")
                keep = error.status == 404 and conn.their_state is h11.DONE
                await self._say(connection, keep, error.status, json.dumps({"error": error.text}).encode())
            except h11.RemoteProtocolError as error:  # no framing to rely on any more
                self.counters.add("http.status_400")
                text = json.dumps({"error": str(error)}).encode()
                await self._say(connection, False, 413 if error.error_status_hint == 413 else 400, text)
            if connection.ending:
                return
            early = b"".join((conn.trailing_data[0], *more))
            self.answered(connection)

    async def _request(self, connection: Connection, conn: h11.Connection) -> tuple[h11.Request, bytes] | None:
        """The next whole request; None when the connection is over."""
        request, body = None, b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    going = h11.InformationalResponse(status_code=100, headers=[])
                    await self.write(connection, conn.send(going) or b"")
                data = await self.read(connection)
                if data is None:
                    if connection.busy:  # half read: nothing of it was run
                        connection.close_for(CloseReason.UNFINISHED)
                        status = 503 if self.posture.draining else 408
                        await self._say(connection, False, status, b"", STOPPING)
                    return None
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                request, headers = event, dict(event.headers)
                # Guards against a request hidden in the body: with both, peers differ on where it ends.
                if b"content-length" in headers and b"transfer-encoding" in headers:
                    raise RequestError(400, "Content-Length and Transfer-Encoding exclude each other")
                if int(headers.get(b"content-length", b"0")) > self.limits.max_body_bytes:
                    raise RequestError(413, "the body is too large")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.max_body_bytes:
                    raise RequestError(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request, body
            else:
                return None

    async def _answer(
        self, connection: Connection, keep: bool, request: h11.Request, body: bytes, more: Callable[[bytes], None]
    ) -> bool:
        """Answer a whole request; False when its caller went first."""
        method, target = request.method.decode(), origin_form(request.target.decode())
        path, _, query = target.partition("?")
        if path == "/ping":
            good = await self.healthy(method, query)
            await self._say(connection, keep, 200 if good else 503, b"")
            return True
        class_name = self.fields.class_name_of(method, target)
        headers: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in headers and name.startswith(b"x-"):
                raise RequestError(400, f"{name.decode().title()} is impossible")  # which of the two holds?
            headers[name] = value

        def get(name: str) -> str | None:
            value = headers.get(name.lower().encode())
            return value.decode("latin-1") if value is not None else None

        exchange = Exchange()
        attempt = self.fields.build(class_name, body, get, exchange.tell)
        answer = await self.exchange(connection, attempt, exchange, more)
        if answer is not None:
            said = response_headers(answer, answer.body, self.posture, self._ending(connection, keep))
            await self.deliver(
                connection, attempt, answer, encode_response(response_status(answer, self.posture), said, answer.body)
            )
        return answer is not None

    async def _say(
        self, connection: Connection, keep: bool, status: int, body: bytes, answer: Answer | None = None
    ) -> None:
        headers = response_headers(answer, body, self.posture, self._ending(connection, keep))
        await self.write(connection, encode_response(status, headers, body))

    def _ending(self, connection: Connection, keep: bool) -> bool:
        """This answer is the connection's last. Once it was written without that word, another may be on its way."""
        connection.ending = self.last_answers or connection.last_request or not keep
        return connection.ending
