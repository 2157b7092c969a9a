"""A transport of httpx that reads responses within the bounds of `http_parser`.

httpx's own one gives whatever a peer sends to h11, in heads of up to 100 KB, and reads ahead without a bound. Imported
only if documents are exported over HTTP.
"""

from __future__ import annotations

import h11
import httpx
from anyio import EndOfStream

from flintshift.core.limits import Limits
from flintshift.wire.bounded_stream import BoundedStream
from flintshift.wire.http_parser import BoundedParser, MessageBounds, MessageError
from flintshift.wire.link import CONNECTION_ERRORS, connect

DEFAULT_PORT = 80


class BoundedTransport(httpx.AsyncBaseTransport):
    """Sends each request on a connection of its own. ``max_body_bytes`` bounds the body of a response."""

    def __init__(self, limits: Limits, max_body_bytes: int) -> None:
        self.limits, self.max_body_bytes = limits, max_body_bytes

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send the request and read the whole response.

        Raises:
            httpx.ConnectError, httpx.RemoteProtocolError: there is no response, or one that can't be read.
        """
        address = request.url.host, request.url.port or DEFAULT_PORT
        try:
            stream = await connect(address, self.limits)
        except CONNECTION_ERRORS as error:
            raise httpx.ConnectError(str(error), request=request) from error
        try:
            async with stream:
                return await self._exchange(stream, request)
        except (*CONNECTION_ERRORS, h11.ProtocolError, MessageError) as error:
            raise httpx.RemoteProtocolError(f"{type(error).__name__}: {error}", request=request) from error

    async def _exchange(self, stream: BoundedStream, request: httpx.Request) -> httpx.Response:
        parser = BoundedParser(h11.CLIENT, MessageBounds.of_responses(self.limits))
        await stream.send(encode_request(parser.connection, request, await request.aread()))
        response: h11.Response | None = None
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    parser.receive(await stream.receive(self.limits.read_chunk_bytes))
                except EndOfStream:
                    parser.receive(b"")
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.max_body_bytes:
                    raise httpx.RemoteProtocolError("the response does not end", request=request)
            elif isinstance(event, h11.EndOfMessage) and response is not None:
                return httpx.Response(response.status_code, headers=list(response.headers), content=body)
            elif not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError("the connection ended before a response", request=request)


def encode_request(connection: h11.Connection, request: httpx.Request, body: bytes) -> bytes:
    """Encode a request that is the only one on its connection."""
    headers = [(name, value) for name, value in request.headers.raw if name.lower() != b"connection"]
    head = h11.Request(
        method=request.method, target=request.url.raw_path, headers=[*headers, (b"Connection", b"close")]
    )
    return b"".join(connection.send(event) or b"" for event in (head, h11.Data(data=body), h11.EndOfMessage()))
