"""A stand-in for a billing system. It accepts documents over HTTP, stores them durably and injects faults on request.

As a program: ``python -m flintshift.lab.billing FOLDER [--port N] [--faults SHARE] [--seed N]``. Each accepted document
is a file in FOLDER, so that a test can add up the documents whichever process was killed.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import random
from collections import Counter
from pathlib import Path

import h11

from flintshift.lab.connection_tasks import ConnectionTasks
from flintshift.lab.ports import free_ports

FAULTS = (
    "late",
    "silent",
    "lost-before",
    "lost-after",
    "half",
    "junk",
    "500-before",
    "500-after",
    "503",
    "429",
    "wrong-digest",
    "twice",
)


class Billing:
    """The billing server. A share ``fault_share`` of the requests meets a fault of `FAULTS`, drawn at random.

    ``scripted_faults`` are used up first, one for each request ("" for none). lost-before and lost-after close the
    connection before and after the document is stored; silent also does so before, but after three times ``late_s``;
    late answers after ``late_s``; half sends an incomplete answer, and junk one that is not JSON; twice sends its
    answer two times; wrong-digest stores the document and answers with another digest. The others are status codes, of
    which 500-before is sent instead of storing the document and 500-after once it is stored.
    """

    def __init__(self, folder: Path, fault_share: float = 0.0, seed: int = 0, late_s: float = 0.3) -> None:
        self.folder, self.fault_share, self.rng, self.late_s = folder, fault_share, random.Random(seed), late_s
        self.scripted_faults: list[str] = []
        self.request_counts: Counter[str] = Counter()  # by document name
        self.fault_counts: Counter[str] = Counter()  # by fault
        self.epochs: dict[str, int] = {}  # highest epoch by ledger; exports that name no ledger share one entry
        self.conflicts = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.down = False
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self, port: int = 0) -> int:
        """Listen on ``port``, or on a free one for 0; return the port."""
        self.port = port or free_ports(1)[0]
        self.server = await asyncio.start_server(ConnectionTasks(self._serve), "127.0.0.1", self.port)
        return self.port

    def stop(self) -> None:
        """Accept no new connections; open ones stay open."""
        self.server.close()

    def accept_document(self, name: str, data: bytes, epoch: int, ledger: str = "") -> tuple[int, bytes]:
        """Store the document, and return the status and the body of the answer."""
        if epoch < self.epochs.get(ledger, 0):
            return 412, b'{"error": "a later epoch was seen"}'
        self.epochs[ledger] = epoch
        path, digest = self.folder / name, hashlib.sha256(data).hexdigest()
        if path.exists():
            stored_digest = hashlib.sha256(path.read_bytes()).hexdigest()
            self.conflicts += stored_digest != digest
            return (200 if stored_digest == digest else 409), json.dumps({"digest": stored_digest}).encode()
        new_path = path.with_suffix(".new")
        new_path.write_bytes(data)
        new_path.rename(path)
        return 201, json.dumps({"digest": digest}).encode()

    def _next_fault(self) -> str:
        if self.scripted_faults:
            return self.scripted_faults.pop(0)
        return self.rng.choice(FAULTS) if self.rng.random() < self.fault_share else ""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError, ValueError):
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, connection: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                break
            else:
                return False
        folder, _, name = request.target.decode().rpartition("/")
        if folder != "/usage":  # from a node that still reports to a service that used this port before
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return False
        headers_by_name = dict(request.headers)
        epoch, ledger = (
            int(headers_by_name.get(b"x-export-epoch", b"0")),
            headers_by_name.get(b"x-export-ledger", b"").decode(),
        )
        self.request_counts[name] += 1
        fault = self._next_fault()
        self.fault_counts[fault] += 1
        if self.down or fault in ("lost-before", "silent"):
            if fault == "silent":
                await asyncio.sleep(self.late_s * 3)
            return False
        if fault in ("500-before", "503", "429"):
            status, answer = int(fault[:3]), b"{}"
        else:
            status, answer = self.accept_document(name, body, epoch, ledger)
        if fault == "lost-after":
            return False
        if fault == "late":
            await asyncio.sleep(self.late_s)
        elif fault == "500-after":
            status, answer = 500, b"{}"
        elif fault == "wrong-digest":
            answer = json.dumps({"digest": "0" * 64}).encode()
        elif fault == "junk":
            answer = b"\x00\xffnot json"
        headers = [("Content-Length", str(len(answer))), ("Content-Type", "application/json")]
        if status in (429, 503):
            headers.append(("Retry-After", "0"))
        data = b"".join(
            connection.send(event) or b""
            for event in (h11.Response(status_code=status, headers=headers), h11.Data(data=answer), h11.EndOfMessage())
        )
        if fault == "half":
            writer.write(data[: len(data) - max(1, len(answer) // 2)])
            await writer.drain()
            return False
        writer.write(data + data if fault == "twice" else data)
        await writer.drain()
        return fault != "twice" and connection.their_state is h11.DONE and connection.our_state is h11.DONE


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--port", type=int, default=8090)
    parser.add_argument("--faults", type=float, default=0.0, metavar="SHARE")
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()

    async def run() -> None:
        billing = Billing(arguments.folder, arguments.faults, arguments.seed)
        print(f"billing at http://127.0.0.1:{await billing.start(arguments.port)}/usage", flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    main()
