"""A process of bad clients, which send as fast as the node takes it and read what is sent to them.

Each client opens a connection, sends a message's first bytes and then filler, up to a number of bytes; once that is
sent or the node closes the connection, it begins anew or, if it rests, waits for the node to close.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import random
import selectors
import socket
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

CHUNK = 65_536
ID_PLACE = b"IDIDIDIDIDIDIDID"  # in the first bytes: replaced by an id of each connection's own


@dataclass(frozen=True)
class Message:
    """What each client sends on one connection."""

    port: int
    begin: bytes
    filler: bytes = b"x"
    filler_bytes: int = 1 << 40
    rests: bool = False  # once all is sent

    def encode(self, clients: int, seconds: float) -> str:
        """The arguments of a process of so many clients."""
        fields = {name: base64.b64encode(v).decode() if isinstance(v, bytes) else v for name, v in asdict(self).items()}
        return json.dumps({"message": fields, "clients": clients, "seconds": seconds})


def decode(text: str) -> tuple[Message, int, float]:
    """The inverse of `Message.encode`."""
    document = json.loads(text)
    fields = document["message"]
    for name in ("begin", "filler"):
        fields[name] = base64.b64decode(fields[name])
    return Message(**fields), document["clients"], document["seconds"]


@contextlib.asynccontextmanager
async def run_bad_clients(message: Message, clients: int, seconds: float):
    """Run the clients in a process of their own while the block runs."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, Path(__file__), message.encode(clients, seconds), stdin=asyncio.subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


class Client:
    """One connection after the other."""

    ids = itertools.count(random.getrandbits(60))

    def __init__(self, message: Message, selector: selectors.BaseSelector) -> None:
        self.message, self.selector = message, selector
        self.filler = message.filler * (CHUNK // len(message.filler))
        self.raw: socket.socket | None = None

    def connect(self) -> None:
        self.begin = self.message.begin.replace(ID_PLACE, b"%016x" % (next(self.ids) & (2**64 - 1)))
        self.filler_left = self.message.filler_bytes
        self.raw = socket.socket()
        self.raw.setblocking(False)
        self.raw.connect_ex(("127.0.0.1", self.message.port))
        self.selector.register(self.raw, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def close(self) -> None:
        assert self.raw is not None
        self.selector.unregister(self.raw)
        self.raw.close()
        self.raw = None

    def go_on(self, events: int) -> None:
        """Read what was received and send what the system accepts."""
        try:
            assert self.raw is not None
            if events & selectors.EVENT_READ and not self.raw.recv(CHUNK):
                raise ConnectionError
            if events & selectors.EVENT_WRITE and not self._send():
                if not self.message.rests:
                    raise ConnectionError
                self.selector.modify(self.raw, selectors.EVENT_READ, self)
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def _send(self) -> bool:
        """Send more; False once all is sent."""
        assert self.raw is not None
        if self.begin:
            self.begin = self.begin[self.raw.send(self.begin) :]
            return True
        self.filler_left -= self.raw.send(self.filler[: self.filler_left]) if self.filler_left else 0
        return self.filler_left > 0


def main() -> None:
    message, count, seconds = decode(sys.argv[1])
    selector, end_s = selectors.DefaultSelector(), time.monotonic() + seconds
    clients = [Client(message, selector) for _ in range(count)]
    while time.monotonic() < end_s:
        for client in clients:
            if client.raw is None:
                client.connect()
        for key, events in selector.select(0.05):
            key.data.go_on(events)


if __name__ == "__main__":
    main()
