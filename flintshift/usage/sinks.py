"""Where documents go: a folder, and a billing system by HTTP. Drivers: what their answers mean is told to the
exporter, which decides.

The billing system's side, for whoever writes one: ``PUT {url}/{name}`` with the document as the body,
``Idempotency-Key`` (the name), ``Content-Digest`` (RFC 9530, sha-256) and ``X-Export-Epoch``; with copies of the ledger
on also ``X-Export-Ledger``, and epochs are then of that ledger, not of the node. It answers 200 or 201
with ``{"digest": "<sha-256 in hex>"}`` once it has the document for good, however often it comes; 409 with the
digest of what it holds under that name; 412 where it has seen a later epoch of this node's exporter; 429 or 503 with
``Retry-After`` in seconds when it can't take it now.
"""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Protocol

import anyio

from flintshift.storage import snapshot
from flintshift.storage.files import Files
from flintshift.usage import documents
from flintshift.usage.messages import Delivered, NotDelivered, Rejected, Superseded

Outcome = Delivered | NotDelivered | Rejected | Superseded
ANSWER_MOST = 65_536


class Sink(Protocol):
    async def deliver(self, name: str, data: bytes, epoch: int) -> Outcome: ...
    async def close(self) -> None: ...


class FolderSink:
    """Publishes each document once, whole and durable, under its name."""

    def __init__(self, files: Files, folder: Path) -> None:
        self.files, self.folder = files, folder

    async def deliver(self, name: str, data: bytes, epoch: int) -> Outcome:
        try:
            return await anyio.to_thread.run_sync(self.put, name, data, epoch)
        except OSError as error:
            return NotDelivered("folder", name, str(error))

    def put(self, name: str, data: bytes, epoch: int) -> Outcome:
        self.files.make_folder(self.folder)
        standing = self.files.names(self.folder)
        for left in snapshot.find_unfinished(standing, name, epoch):  # by a death in the middle of this delivery
            self.files.remove(self.folder / left)
        if name not in standing and snapshot.publish_once(self.files, self.folder / name, data, str(epoch)):
            return Delivered("folder", name)
        if self.files.read(self.folder / name) == data:
            self.files.sync_folder(self.folder)  # the one who put it there may have died before it did
            return Delivered("folder", name)
        return Rejected("folder", name, f"{self.folder / name} holds something else")

    async def close(self) -> None:
        pass


class HttpSink:
    def __init__(self, url: str, timeout_ms: float, ledger: str = "") -> None:
        import httpx  # here alone: a node without this sink does not import it

        self.httpx, self.url, self.timeout_s = httpx, url, timeout_ms / 1000
        self.of_ledger = {"X-Export-Ledger": ledger} if ledger else {}
        self.client = httpx.AsyncClient(
            timeout=self.timeout_s, follow_redirects=False, trust_env=False, limits=httpx.Limits(max_connections=1)
        )

    async def deliver(self, name: str, data: bytes, epoch: int) -> Outcome:
        digest = documents.digest_of(data)
        headers = {
            "Content-Type": "application/x-protobuf",
            "Idempotency-Key": f'"{name}"',
            "X-Export-Epoch": str(epoch),
            "Content-Digest": f"sha-256=:{base64.b64encode(digest).decode()}:",
            **self.of_ledger,
        }
        try:
            with anyio.fail_after(self.timeout_s):  # a reply that never ends too
                async with self.client.stream("PUT", f"{self.url}/{name}", content=data, headers=headers) as reply:
                    answer = b""
                    async for part in reply.aiter_bytes():
                        answer += part
                        if len(answer) > ANSWER_MOST:
                            return NotDelivered("http", name, "the answer does not end")
            return judged(name, digest.hex(), reply.status_code, answer, reply.headers.get("retry-after", ""))
        except (self.httpx.HTTPError, self.httpx.StreamError, TimeoutError) as error:
            return NotDelivered("http", name, f"{type(error).__name__}: {error}")

    async def close(self) -> None:
        await self.client.aclose()


def judged(name: str, digest: str, status: int, answer: bytes, retry_after: str) -> Outcome:
    """What an answer of the billing system means."""
    try:
        told = json.loads(answer).get("digest")
    except (ValueError, AttributeError, RecursionError):
        told = None
    if status in (200, 201) and told == digest:
        return Delivered("http", name)
    if status in (200, 201):
        return NotDelivered("http", name, f"acknowledged with the digest {told!r}, not {digest}")
    if status == 409 and told == digest:  # it has come before
        return Delivered("http", name)
    if status == 409 and told is not None:
        return Rejected("http", name, f"holds something else under this name, of the digest {told!r}")
    if status == 412:
        return Superseded("http", "an exporter of a later epoch has taken over")
    if status in (408, 409, 425, 429) or status >= 500:
        after_ms = float(retry_after) * 1000 if retry_after.isdecimal() and len(retry_after) < 7 else 0.0
        return NotDelivered("http", name, f"status {status}", after_ms)
    return Rejected("http", name, f"status {status}")
