"""The fault proxy does to a link what it says."""

from __future__ import annotations

import asyncio
import time

import pytest

from flintshift.lab.faults import Fault, FaultProxy
from flintshift.lab.ports import free_ports

pytestmark = pytest.mark.anyio


async def play(there: Fault, data: bytes, count: int, within: float = 0.4) -> tuple[bytes, float]:
    """What an echo behind the proxy sends back of the first `count` bytes, and after how many seconds."""

    async def echo(reader, writer):
        while piece := await reader.read(1000):
            writer.write(piece)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = FaultProxy(free_ports(1)[0], server.sockets[0].getsockname()[1], 1)
    proxy.forward = there
    await proxy.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    began, got = time.monotonic(), b""
    writer.write(data)
    try:
        async with asyncio.timeout(within):
            while len(got) < count and (piece := await reader.read(1000)):
                got += piece
    except (TimeoutError, ConnectionResetError):
        pass
    took = time.monotonic() - began
    writer.close()
    await proxy.stop()
    server.close()
    return got, took


@pytest.mark.parametrize(
    ("there", "wanted", "least_s", "most_s"),
    [
        (Fault(), b"0123456789", 0.0, 0.3),
        (Fault(delay_ms=100, jitter_ms=20), b"0123456789", 0.1, 0.4),
        (Fault(drops=True), b"", 0.4, 9),
        (Fault(bytes_per_s=40), b"0123456789", 0.2, 9),
        (Fault(duplicates=True), b"01234567890123456789", 0.0, 0.3),
        (Fault(reset_after=4), b"", 0.0, 0.3),  # the reset takes with it what the echo had not sent
    ],
)
async def test_faults(there, wanted, least_s, most_s):
    got, took = await play(there, b"0123456789", len(wanted) or 1, within=1.0 if there.bytes_per_s else 0.4)
    assert got == wanted or (there.reset_after >= 0 and len(got) <= 4)
    assert least_s <= took <= most_s + 0.2
