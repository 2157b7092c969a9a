"""Strangers at the port for other members.

Guards against a member that is killed for memory. The cause: a connection that had not said who it is was allowed the
longest frame, 4 MB, and 100 strangers held 419 MB within a second.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.wire.peer_codec import MAX_HELLO_FRAME_BYTES, MAX_PEER_FRAME_BYTES
from flintshift.wire.peer_link import LENGTH_PREFIX_BYTES, Handshake, PeerListener

pytestmark = pytest.mark.anyio

STRANGERS = 20


def ignore(*_):
    pass


async def send_frame(address, size):
    """Announce a frame and send all of it but one byte, or as much as is read."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(size.to_bytes(LENGTH_PREFIX_BYTES, "little") + bytes(size - 1))
    try:
        await asyncio.wait_for(writer.drain(), 5)
        await asyncio.wait_for(reader.read(), 5)
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("size", [MAX_PEER_FRAME_BYTES, MAX_HELLO_FRAME_BYTES + 1, MAX_HELLO_FRAME_BYTES])
async def test_connections_that_did_not_say_who_they_are_hold_few_bytes_and_are_closed(size):
    handshake = Handshake("n1", "n1#1", 1, b"digest")
    listener = PeerListener(Limits(), Counters(), handshake, ["n1", "n2"], lambda _: (1, 1), ignore, ignore, ignore)
    raw = socket.socket()
    raw.bind(("127.0.0.1", 0))
    raw.listen(STRANGERS)
    raw.setblocking(False)
    serving = asyncio.ensure_future(listener.serve(raw))
    strangers = [asyncio.ensure_future(send_frame(raw.getsockname(), size)) for _ in range(STRANGERS)]
    held_bytes = 0
    while not all(stranger.done() for stranger in strangers):
        await asyncio.sleep(0.005)
        held_bytes = max(held_bytes, sum(len(connection.received) for connection in listener.accepted_s))
    assert held_bytes <= STRANGERS * (LENGTH_PREFIX_BYTES + MAX_HELLO_FRAME_BYTES)
    for stranger in strangers:
        stranger.result()
    serving.cancel()
