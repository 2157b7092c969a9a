"""A stand-in for a billing system: takes documents by HTTP, keeps them durably, and misbehaves as it is told.

As a program: ``python -m flintshift.lab.billing FOLDER [--port N] [--faults SHARE] [--seed N]``. What it has taken
stands in FOLDER, a file a document, so that a test can add it up whatever died when.
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
    """``faults`` are drawn for a share of the requests; ``script`` comes first, one fault a request ("" for none).

    lost-before and lost-after close the connection before and after the document was taken; late answers after
    ``late_s``; twice says its answer two times; wrong-digest has taken the document and says another digest."""

    def __init__(self, folder: Path, share: float = 0.0, seed: int = 0, late_s: float = 0.3) -> None:
        self.folder, self.share, self.draw, self.late_s = folder, share, random.Random(seed), late_s
        self.scripted_faults: list[str] = []
        self.request_counts: Counter[str] = Counter()  # requests by document
        self.fault_counts: Counter[str] = Counter()  # faults
        self.epochs: dict[str, int] = {}  # by ledger; a caller that names none is one
        self.conflicts = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.down = False
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self, port: int = 0) -> int:
        self.port = port or free_ports(1)[0]
        self.server = await asyncio.start_server(ConnectionTasks(self._serve), "127.0.0.1", self.port)
        return self.port

    def stop(self) -> None:
        self.server.close()

    def take(self, name: str, data: bytes, epoch: int, ledger: str = "") -> tuple[int, bytes]:
        """Status and answer, with the document kept."""
        if epoch < self.epochs.get(ledger, 0):
            return 412, b'{"error": "a later epoch was seen"}'
        self.epochs[ledger] = epoch
        path, digest = self.folder / name, hashlib.sha256(data).hexdigest()
        if path.exists():
            held = hashlib.sha256(path.read_bytes()).hexdigest()
            self.conflicts += held != digest
            return (200 if held == digest else 409), json.dumps({"digest": held}).encode()
        made = path.with_suffix(".new")
        made.write_bytes(data)
        made.rename(path)
        return 201, json.dumps({"digest": digest}).encode()

    def _fault(self) -> str:
        if self.scripted_faults:
            return self.scripted_faults.pop(0)
        return self.draw.choice(FAULTS) if self.draw.random() < self.share else ""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = h11.Connection(h11.SERVER)
        try:
            while await self._one(conn, reader, writer):
                conn.start_next_cycle()
        except (OSError, h11.ProtocolError, ValueError):
            pass
        finally:
            writer.close()

    async def _one(self, conn: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        request, body = None, b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                break
            else:
                return False
        folder, _, name = request.target.decode().rpartition("/")
        if folder != "/usage":  # of a node that still reports to whoever had this port before
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return False
        heads = dict(request.headers)
        epoch, ledger = int(heads.get(b"x-export-epoch", b"0")), heads.get(b"x-export-ledger", b"").decode()
        self.request_counts[name] += 1
        fault = self._fault()
        self.fault_counts[fault] += 1
        if self.down or fault in ("lost-before", "silent"):
            if fault == "silent":
                await asyncio.sleep(self.late_s * 3)
            return False
        if fault in ("500-before", "503", "429"):
            status, answer = int(fault[:3]), b"{}"
        else:
            status, answer = self.take(name, body, epoch, ledger)
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
            conn.send(event) or b""
            for event in (h11.Response(status_code=status, headers=headers), h11.Data(data=answer), h11.EndOfMessage())
        )
        if fault == "half":
            writer.write(data[: len(data) - max(1, len(answer) // 2)])
            await writer.drain()
            return False
        writer.write(data + data if fault == "twice" else data)
        await writer.drain()
        return fault != "twice" and conn.their_state is h11.DONE and conn.our_state is h11.DONE


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--port", type=int, default=8090)
    parser.add_argument("--faults", type=float, default=0.0, metavar="SHARE")
    parser.add_argument("--seed", type=int, default=0)
    given = parser.parse_args()

    async def run() -> None:
        billing = Billing(given.folder, given.faults, given.seed)
        print(f"billing at http://127.0.0.1:{await billing.start(given.port)}/usage", flush=True)
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == "__main__":
    main()
