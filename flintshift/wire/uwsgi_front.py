"""The uwsgi front: one request on a connection, answered in the manner of HTTP and closed."""

from __future__ import annotations

import json

from flintshift.core.attempts import Answer
from flintshift.wire import uwsgi
from flintshift.wire.connection import CloseReason, Connection
from flintshift.wire.fields import RequestError, encode_response, response_headers, response_status
from flintshift.wire.front import STOPPING, Exchange, Front


class UwsgiFront(Front):
    name = "uwsgi"

    async def converse(self, connection: Connection) -> None:
        try:
            await self._request(connection)
        except RequestError as error:
            self.counters.add(f"uwsgi.status_{error.status}")
            await self._say(connection, error.status, json.dumps({"error": error.text}).encode())

    async def _request(self, connection: Connection) -> None:
        got = bytearray()

        async def take(size: int) -> bytes:
            while len(got) < size:
                data = await self.read(connection)
                if data is None:
                    raise StoppedError
                if not data:
                    raise RequestError(400, "the request is cut off")
                got.extend(data)
            taken = bytes(got[:size])
            del got[:size]
            return taken

        try:
            head = await take(uwsgi.HEAD.size)
            block = await take(uwsgi.block_size(head, self.limits.max_uwsgi_vars_bytes))
            variables = uwsgi.unpack(block)
            body = await take(uwsgi.body_size(variables, self.limits.max_body_bytes))
        except StoppedError:
            if connection.busy:  # half read: nothing of it was run
                connection.close_for(CloseReason.UNFINISHED)
                await self._say(connection, 503 if self.posture.draining else 408, b"", STOPPING)
            return
        method, path = variables.get("REQUEST_METHOD", ""), variables.get("PATH_INFO", "")
        if path == "/ping":
            good = await self.healthy(method, variables.get("QUERY_STRING", ""))
            await self._say(connection, 200 if good else 503, b"")
            return
        class_name, exchange = self.fields.class_name_of(method, path), Exchange()
        attempt = self.fields.build(
            class_name, body, lambda name: variables.get("HTTP_" + name.upper().replace("-", "_")), exchange.tell
        )
        attempt.workers, attempt.head = "apps", head + block
        answer = await self.exchange(connection, attempt, exchange, lambda data: None)
        if answer is not None:
            headers = response_headers(answer, answer.body, self.posture, close=True)
            await self.deliver(
                connection,
                attempt,
                answer,
                encode_response(response_status(answer, self.posture), headers, answer.body),
            )

    async def _say(self, connection: Connection, status: int, body: bytes, answer: Answer | None = None) -> None:
        headers = response_headers(answer, body, self.posture, close=True)
        await self.write(connection, encode_response(status, headers, body))


class StoppedError(Exception):
    """The node stops, or the rest of the request did not come in time."""
