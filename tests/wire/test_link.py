"""Connecting to a peer, and how much a link to it reads ahead."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
import tracemalloc

import pytest
import uvloop
from anyio.abc import SocketAttribute

from flintshift.core.limits import Limits
from flintshift.wire.link import CONNECTION_ERRORS, connect

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("host", ["\u00e9" * 80, "x" * 70, "a..b", "x y", "\x00"])
async def test_an_invalid_host_name_is_a_connection_error(host):
    with pytest.raises(CONNECTION_ERRORS):
        await connect((host, 1), Limits())


async def test_an_address_of_a_host_that_does_not_answer_leaves_time_for_the_next_one(monkeypatch):
    with contextlib.ExitStack() as stack:
        silent, reachable = (stack.enter_context(socket.socket()) for _ in range(2))
        silent.bind(("127.0.0.1", 0))
        silent.listen(0)
        port = silent.getsockname()[1]
        reachable.bind(("127.0.0.2", port))
        reachable.listen()
        for _ in range(4):  # the queue is full: further connections are not answered
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))

        async def getaddrinfo(host, port, **_):
            return [(socket.AF_INET, socket.SOCK_STREAM, 6, "", (f"127.0.0.{end}", port)) for end in (1, 2)]

        monkeypatch.setattr(asyncio.get_running_loop(), "getaddrinfo", getaddrinfo)
        start = time.monotonic()
        async with await connect(("two-addresses", port), Limits(connect_timeout_ms=400.0)) as stream:
            assert stream.extra(SocketAttribute.remote_address)[0] == "127.0.0.2"
        assert time.monotonic() - start < 0.35


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
async def test_an_address_is_not_looked_up(monkeypatch, host):
    """Guards against links that are slow on a busy machine: each of them waited for a thread to look up its address."""

    async def getaddrinfo(*_, **__):
        raise AssertionError("looked up")

    monkeypatch.setattr(asyncio.get_running_loop(), "getaddrinfo", getaddrinfo)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family) as listener:
        listener.bind((host, 0))
        listener.listen()
        async with await connect((host, listener.getsockname()[1]), Limits()) as stream:
            assert stream.extra(SocketAttribute.remote_address)[0] == host


def test_a_link_holds_a_bounded_number_of_bytes_of_a_peer_that_sends_without_end():
    """Guards against a node that is killed for memory. A single `receive` read up to 8 MB ahead, since the transport of
    the event loop goes on until it is paused."""
    flood = b"x" * (1 << 20)

    def send_without_end(listener: socket.socket) -> None:
        accepted, _ = listener.accept()
        with accepted, contextlib.suppress(OSError):
            while True:
                accepted.sendall(flood)

    async def held_bytes(address: tuple[str, int]) -> int:
        limits, highest = Limits(), 0
        async with await connect(address, limits) as stream:
            tracemalloc.start()
            try:
                for _ in range(200):
                    await stream.receive(limits.read_chunk_bytes)
                    highest = max(highest, tracemalloc.get_traced_memory()[0])
                    time.sleep(0.001)  # the peer goes on meanwhile
            finally:
                tracemalloc.stop()
        return highest

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        sender = threading.Thread(target=send_without_end, args=(listener,))
        sender.start()
        assert uvloop.run(held_bytes(listener.getsockname())) < 4 * Limits().max_line_bytes
        sender.join()
