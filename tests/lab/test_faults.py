"""The fault proxy applies the faults of a direction to its bytes."""

from __future__ import annotations

import asyncio
import time

import pytest

from flintshift.lab.faults import Fault, FaultProxy
from flintshift.lab.ports import free_ports

pytestmark = pytest.mark.anyio


async def send_through_proxy(fault: Fault, data: bytes, count: int, timeout_s: float = 0.4) -> tuple[bytes, float]:
    """Send data to an echo server through a proxy. Returns the first ``count`` bytes of the echo, and the time."""

    async def echo(reader, writer):
        while chunk := await reader.read(1000):
            writer.write(chunk)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = FaultProxy(free_ports(1)[0], server.sockets[0].getsockname()[1], 1)
    proxy.forward = fault
    await proxy.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    started_s, received = time.monotonic(), b""
    writer.write(data)
    try:
        async with asyncio.timeout(timeout_s):
            while len(received) < count and (chunk := await reader.read(1000)):
                received += chunk
    except (TimeoutError, ConnectionResetError):
        pass
    took_s = time.monotonic() - started_s
    writer.close()
    await proxy.stop()
    server.close()
    return received, took_s


@pytest.mark.parametrize(
    ("fault", "expected", "min_s", "max_s"),
    [
        (Fault(), b"0123456789", 0.0, 0.3),
        (Fault(delay_ms=100, jitter_ms=20), b"0123456789", 0.1, 0.4),
        (Fault(drops=True), b"", 0.4, 9),
        (Fault(bytes_per_s=40), b"0123456789", 0.2, 9),
        (Fault(duplicates=True), b"01234567890123456789", 0.0, 0.3),
        (Fault(reset_after=4), b"", 0.0, 0.3),  # the reset discards what the echo server hasn't sent yet
    ],
)
async def test_a_fault_changes_the_bytes_and_their_time(fault, expected, min_s, max_s):
    received, took_s = await send_through_proxy(
        fault, b"0123456789", len(expected) or 1, timeout_s=1.0 if fault.bytes_per_s else 0.4
    )
    assert received == expected or (fault.reset_after >= 0 and len(received) <= 4)
    assert min_s <= took_s <= max_s + 0.2
