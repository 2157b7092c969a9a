"""The uwsgi front: one request on a connection, with a response in the form of HTTP, after which it is closed."""

from __future__ import annotations

import json

from flintshift.core.attempts import Answer
from flintshift.wire import uwsgi
from flintshift.wire.connection import CloseReason, Connection
from flintshift.wire.fields import FIELD_NAMES, RequestError, encode_response, response_headers, response_status
from flintshift.wire.front import UNFINISHED_ANSWER, Front, PendingAnswer

VARIABLE_BY_FIELD = {name: "HTTP_" + name.upper().replace("-", "_") for name in FIELD_NAMES}
USED_VARIABLES = frozenset(
    {"REQUEST_METHOD", "PATH_INFO", "QUERY_STRING", "CONTENT_LENGTH", *VARIABLE_BY_FIELD.values()}
)


class UwsgiFront(Front):
    """Serves callers over uwsgi."""

    name = "uwsgi"

    async def serve_connection(self, connection: Connection) -> None:
        try:
            await self._serve_request(connection)
        except RequestError as error:
            self.counters.add(f"uwsgi.status_{error.status}")
            await self._respond(connection, error.status, json.dumps({"error": error.text}).encode())

    async def _serve_request(self, connection: Connection) -> None:
        buffer = bytearray()

        async def read_exactly(size: int) -> bytes:
            while len(buffer) < size:
                data = await self.read(connection)
                if data is None:
                    raise ReadStoppedError
                if not data:
                    raise RequestError(400, "the request is cut off")
                buffer.extend(data)
            part = bytes(buffer[:size])
            del buffer[:size]
            return part

        try:
            head = await read_exactly(uwsgi.HEAD.size)
            block = await read_exactly(uwsgi.block_size(head, self.limits.max_uwsgi_vars_bytes))
            # All of a block's variables take many times its bytes, too much to keep on every connection.
            all_variables = uwsgi.unpack(block, self.limits.max_uwsgi_variables)
            variables = {name: value for name, value in all_variables.items() if name in USED_VARIABLES}
            body = await read_exactly(uwsgi.body_size(variables, self.limits.max_body_bytes))
        except ReadStoppedError:
            if connection.busy:  # the request arrived only in part, and nothing of it was run
                connection.set_close_reason(CloseReason.UNFINISHED)
                await self._respond(connection, 503 if self.serving_status.draining else 408, b"", UNFINISHED_ANSWER)
            return
        method, path = variables.get("REQUEST_METHOD", ""), variables.get("PATH_INFO", "")
        if path == "/ping":
            healthy = await self.check_health(method, variables.get("QUERY_STRING", ""))
            await self._respond(connection, 200 if healthy else 503, b"")
            return
        class_name, pending = self.attempt_builder.class_name_of(method, path), PendingAnswer()
        attempt = self.attempt_builder.build(
            class_name, body, lambda name: variables.get(VARIABLE_BY_FIELD[name]), pending.resolve
        )
        attempt.workers, attempt.head = "apps", head + block
        answer = await self.submit_and_wait(connection, attempt, pending)
        if answer is not None:
            headers = response_headers(answer, answer.body, self.serving_status, close=True)
            await self.write_answer(
                connection,
                attempt,
                answer,
                encode_response(response_status(answer, self.serving_status), headers, answer.body),
            )

    async def _respond(self, connection: Connection, status: int, body: bytes, answer: Answer | None = None) -> None:
        headers = response_headers(answer, body, self.serving_status, close=True)
        await self.write(connection, encode_response(status, headers, body))


class ReadStoppedError(Exception):
    """The node stops, or the rest of the request did not arrive in time."""
