"""The platform's front: HTTP/1.1, one request at a time on a connection, and health checks."""

from __future__ import annotations

import json
from http import HTTPStatus
from urllib.parse import urlsplit

import h11

from flintshift.core.attempts import Answer
from flintshift.wire.fields import UnusableError, headers_of, status_of
from flintshift.wire.front import STOPPING, Connection, Exchange, Front


class HttpFront(Front):
    name = "http"

    async def converse(self, connection: Connection) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head)
        while True:
            try:
                request = await self._request(connection, conn)
                if request is None:
                    return
                await self._answer(connection, conn, *request)
            except UnusableError as error:
                self.counters.add(f"http.status_{error.status}")
                await self._say(connection, conn, error.status, json.dumps({"error": error.text}).encode(),
                                close=error.status != 404 or conn.their_state is not h11.DONE)
            except h11.RemoteProtocolError as error:  # no framing to rely on any more
                self.counters.add("http.status_400")
                status = 413 if error.error_status_hint == 413 else 400
                text = json.dumps({"error": str(error)}).encode()
                await self._say(connection, conn, status, text, close=True)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()
            self.answered(connection)

    async def _request(self, connection: Connection,
                       conn: h11.Connection) -> tuple[h11.Request, bytes] | None:
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
                        status = 503 if self.posture.leaving else 408
                        await self._say(connection, conn, status, b"", close=True, answer=STOPPING)
                    return None
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                request, headers = event, dict(event.headers)
                # Guards against a request hidden in the body: with both, peers differ on where it ends.
                if b"content-length" in headers and b"transfer-encoding" in headers:
                    raise UnusableError(400, "Content-Length and Transfer-Encoding exclude each other")
                if int(headers.get(b"content-length", b"0")) > self.limits.body:
                    raise UnusableError(413, "the body is too large")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.body:
                    raise UnusableError(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request, body
            else:
                return None

    async def _answer(self, connection: Connection, conn: h11.Connection, request: h11.Request,
                      body: bytes) -> None:
        method, target = request.method.decode(), request.target.decode()
        if urlsplit(target).path == "/ping":
            good = await self.healthy(method, urlsplit(target).query)
            await self._say(connection, conn, 200 if good else 503, b"", head=method == "HEAD")
            return
        class_name = self.fields.class_of(method, target)
        headers: dict[bytes, bytes] = {}
        for name, value in request.headers:
            if name in headers and name.startswith(b"x-"):
                raise UnusableError(400, f"{name.decode().title()} is impossible")  # which of the two holds?
            headers[name] = value

        def get(name: str) -> str | None:
            value = headers.get(name.lower().encode())
            return value.decode("latin-1") if value is not None else None

        exchange = Exchange()
        attempt = self.fields.attempt(class_name, body, get, exchange.tell)
        answer = await self.exchange(connection, attempt, exchange, conn.receive_data)
        if answer is not None:
            status = status_of(answer, self.posture)
            await self._say(connection, conn, status, answer.body, answer=answer)

    async def _say(self, connection: Connection, conn: h11.Connection, status: int, body: bytes, *,
                   close: bool = False, answer: Answer | None = None, head: bool = False) -> None:
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = headers_of(answer, body, self.posture, close or self.closing)
        reason = HTTPStatus(status).phrase.encode()
        response = h11.Response(status_code=status, headers=headers, reason=reason)
        data = conn.send(response) or b""
        if body and not head:
            data += conn.send(h11.Data(data=body)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        await self.write(connection, data)
