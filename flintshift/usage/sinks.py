"""The sinks to which documents are exported: a folder, and a billing system over HTTP.

Sinks only do I/O: they report to the exporter what a response means, and the exporter decides.

The protocol of the billing system, for those who implement one: ``PUT {url}/{name}`` with the document as the body,
``Idempotency-Key`` (the name), ``Content-Digest`` (RFC 9530, sha-256) and ``X-Export-Epoch``. Where the ledger is
replicated there is also ``X-Export-Ledger``, and epochs are then those of that ledger, not of the node. The billing
system responds with 200 or 201 and ``{"digest": "<sha-256 in hex>"}`` once it has stored the document for good,
however often it arrives; 409 with the digest of what it has under that name; 412 where it has seen a later epoch of
this node's exporter; 429 or 503 with ``Retry-After`` in seconds when it can't accept the document now.
"""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import anyio

from flintshift.storage import snapshot
from flintshift.storage.files import Files
from flintshift.usage import documents
from flintshift.usage.messages import Delivered, NotDelivered, Rejected, Superseded

if TYPE_CHECKING:
    from httpx import AsyncBaseTransport

DeliveryOutcome = Delivered | NotDelivered | Rejected | Superseded
MAX_RESPONSE_BYTES = 65_536


class Sink(Protocol):
    """A destination of documents. ``deliver`` sends one, and may be called again with the same document."""

    async def deliver(self, name: str, data: bytes, epoch: int) -> DeliveryOutcome: ...
    async def close(self) -> None: ...


class FolderSink:
    """Writes each document once to a folder, completely and durably, under its name."""

    def __init__(self, files: Files, folder: Path) -> None:
        self.files, self.folder = files, folder

    async def deliver(self, name: str, data: bytes, epoch: int) -> DeliveryOutcome:
        """Write the document in a thread."""
        try:
            return await anyio.to_thread.run_sync(self.put, name, data, epoch)
        except OSError as error:
            return NotDelivered("folder", name, str(error))

    def put(self, name: str, data: bytes, epoch: int) -> DeliveryOutcome:
        """Write the document, unless a file of this name exists; then compare the two."""
        self.files.make_folder(self.folder)
        existing = self.files.names(self.folder)
        for unfinished in snapshot.find_unfinished(existing, name, epoch):  # left by a crash during this delivery
            self.files.remove(self.folder / unfinished)
        if name not in existing and snapshot.publish_once(self.files, self.folder / name, data, str(epoch)):
            return Delivered("folder", name)
        if self.files.read(self.folder / name) == data:
            self.files.sync_folder(self.folder)  # the exporter that wrote it may have died before its sync
            return Delivered("folder", name)
        return Rejected("folder", name, f"{self.folder / name} holds something else")

    async def close(self) -> None:
        """Do nothing, as nothing is open between deliveries."""
        pass


class HttpSink:
    """Sends each document to a billing system. ``transport`` bounds what a response may cost to read."""

    def __init__(self, url: str, timeout_ms: float, transport: AsyncBaseTransport, ledger: str = "") -> None:
        import httpx  # imported here, so that a node without this sink does not load it

        self.httpx, self.url, self.timeout_s = httpx, url, timeout_ms / 1000
        self.ledger_headers = {"X-Export-Ledger": ledger} if ledger else {}
        self.client = httpx.AsyncClient(
            timeout=self.timeout_s, follow_redirects=False, trust_env=False, transport=transport
        )

    async def deliver(self, name: str, data: bytes, epoch: int) -> DeliveryOutcome:
        """Send the document and wait for the response, within the timeout."""
        digest = documents.compute_digest(data)
        headers = {
            "Content-Type": "application/x-protobuf",
            "Idempotency-Key": f'"{name}"',
            "X-Export-Epoch": str(epoch),
            "Content-Digest": f"sha-256=:{base64.b64encode(digest).decode()}:",
            **self.ledger_headers,
        }
        try:
            with anyio.fail_after(self.timeout_s):  # also bounds a response that never ends
                async with self.client.stream("PUT", f"{self.url}/{name}", content=data, headers=headers) as response:
                    body = b""
                    async for chunk in response.aiter_bytes():
                        body += chunk
                        if len(body) > MAX_RESPONSE_BYTES:
                            return NotDelivered("http", name, "the response does not end")
            return interpret_response(
                name, digest.hex(), response.status_code, body, response.headers.get("retry-after", "")
            )
        except (self.httpx.HTTPError, self.httpx.StreamError, TimeoutError) as error:
            return NotDelivered("http", name, f"{type(error).__name__}: {error}")

    async def close(self) -> None:
        """Close the connection."""
        await self.client.aclose()


def interpret_response(name: str, digest: str, status: int, body: bytes, retry_after: str) -> DeliveryOutcome:
    """Return what a response of the billing system means."""
    try:
        reported = json.loads(body).get("digest")
    except (ValueError, AttributeError, RecursionError):
        reported = None
    if status in (200, 201) and reported == digest:
        return Delivered("http", name)
    if status in (200, 201):
        return NotDelivered("http", name, f"acknowledged with the digest {reported!r}, not {digest}")
    if status == 409 and reported == digest:  # the document had arrived before
        return Delivered("http", name)
    if status == 409 and reported is not None:
        return Rejected("http", name, f"holds something else under this name, of the digest {reported!r}")
    if status == 412:
        return Superseded("http", "an exporter of a later epoch has taken over")
    if status in (408, 409, 425, 429) or status >= 500:
        retry_after_ms = float(retry_after) * 1000 if retry_after.isdecimal() and len(retry_after) < 7 else 0.0
        return NotDelivered("http", name, f"status {status}", retry_after_ms)
    return Rejected("http", name, f"status {status}")
