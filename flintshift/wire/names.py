"""The name service client: a report by HTTP/1.1 now and then."""

from __future__ import annotations

import json
from urllib.parse import quote

import anyio
import h11
from anyio.abc import SocketStream

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.wire import faults
from flintshift.wire.link import BROKEN, connect


class NameService:
    def __init__(self, address: tuple[str, int], name: str, limits: Limits, counters: Counters) -> None:
        self.address, self.name, self.limits, self.counters = address, name, limits, counters

    def move(self, address: tuple[str, int]) -> None:
        """Report to another address from the next report on."""
        self.address = address

    async def report(self, serving: bool) -> bool:
        """One report; True when it counts, as it does once it has arrived whole, answered or not."""
        sent, word = anyio.Event(), "not_taken"
        try:
            with anyio.fail_after(self.limits.report_timeout_ms / 1000):
                async with await connect(self.address, self.limits) as stream:
                    body = json.dumps({"serving": "yes" if serving else "no"})
                    if await self._put(stream, body.encode(), sent):
                        word = "taken"
        except TimeoutError:
            word = "unanswered" if sent.is_set() else word
        except (*BROKEN, h11.ProtocolError):
            pass
        except Exception as error:  # whatever else the event loop may raise costs this report, and not the node
            faults.met(self.counters, "names", error)
        self.counters.add(f"names.{word}")
        return word != "not_taken"

    async def _put(self, stream: SocketStream, body: bytes, sent: anyio.Event) -> bool:
        conn = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", f"{self.address[0]}:{self.address[1]}"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        request = h11.Request(method="PUT", target=f"/ns/hosts/{quote(self.name)}", headers=headers)
        await stream.send(
            b"".join(conn.send(event) or b"" for event in (request, h11.Data(data=body), h11.EndOfMessage()))
        )
        sent.set()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive(self.limits.read_chunk_bytes))
            elif isinstance(event, h11.Response):
                return event.status_code == 204
