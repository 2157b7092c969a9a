"""The client of the name service, which it reports to over HTTP/1.1."""

from __future__ import annotations

import json
from urllib.parse import quote

import anyio
import h11
from anyio.abc import SocketStream

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.wire import faults
from flintshift.wire.http_parser import BoundedParser, MessageBounds, MessageError
from flintshift.wire.link import CONNECTION_ERRORS, connect


class NameService:
    """Reports to the name service whether this node serves."""

    def __init__(self, address: tuple[str, int], name: str, limits: Limits, counters: Counters) -> None:
        self.address, self.name, self.limits, self.counters = address, name, limits, counters

    def move(self, address: tuple[str, int]) -> None:
        """Send the next report to another address."""
        self.address = address

    async def report(self, serving: bool) -> bool:
        """Send one report. True if it counts, which it does once it is completely sent, answered or not."""
        request_sent, status = anyio.Event(), "not_taken"
        try:
            with anyio.fail_after(self.limits.report_timeout_ms / 1000):
                async with await connect(self.address, self.limits) as stream:
                    body = json.dumps({"serving": "yes" if serving else "no"})
                    if await self._put(stream, body.encode(), request_sent):
                        status = "taken"
        except TimeoutError:
            status = "unanswered" if request_sent.is_set() else status
        except (*CONNECTION_ERRORS, h11.ProtocolError, MessageError):
            pass
        except Exception as error:  # any other error of the event loop fails this report, not the node
            faults.record(self.counters, "names", error)
        self.counters.add(f"names.{status}")
        return status != "not_taken"

    async def _put(self, stream: SocketStream, body: bytes, request_sent: anyio.Event) -> bool:
        parser = BoundedParser(h11.CLIENT, MessageBounds.of_responses(self.limits))
        headers = [
            ("Host", f"{self.address[0]}:{self.address[1]}"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        request = h11.Request(method="PUT", target=f"/ns/hosts/{quote(self.name)}", headers=headers)
        await stream.send(
            b"".join(
                parser.connection.send(event) or b"" for event in (request, h11.Data(data=body), h11.EndOfMessage())
            )
        )
        request_sent.set()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive(await stream.receive(self.limits.read_chunk_bytes))
            elif isinstance(event, h11.Response):
                return event.status_code == 204
