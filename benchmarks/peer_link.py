"""Cost of a link between members: a gRPC stream, the framed link that is in use, and the Unix socket of an upgrade.

    python benchmarks/peer_link.py --out benchmarks/results/peer_link.json

A batch of messages is sent and echoed, one at a time, between two processes on uvloop. CPU is that of the client.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import grpc  # noqa: E402
import uvloop  # noqa: E402

from flintshift.core.limits import Limits  # noqa: E402
from flintshift.lab.ports import free_ports  # noqa: E402
from flintshift.proto import peers_pb2 as pb  # noqa: E402
from flintshift.wire.peer_link import PeerConnection  # noqa: E402

METHOD = "/flintshift.peers.v1.Peers/Talk"
Exchange = Callable[[pb.Batch], Awaitable[None]]


def build_batch(count: int) -> pb.Batch:
    """Return a batch of ``count`` messages."""
    batch = pb.Batch()
    for number in range(count):
        batch.asks.add(
            number=number,
            step=2,
            key=pb.Key(class_name="submit-time", key=f"key-{number:016x}"),
            ballot=pb.Ballot(by="n1#18f2c0a1"),
            stores=[1, 2, 3],
            value=pb.Value(stage=1, owner=f"{number:016x}", runner="n1#18f2c0a1", print=b"p" * 16, for_ms=3e4),
        )
    return batch


async def serve_grpc(address: str) -> None:
    """Echo batches over gRPC on the port ``address``."""

    async def talk(batches: Any, context: Any) -> Any:
        async for batch in batches:
            yield batch

    handler = grpc.stream_stream_rpc_method_handler(
        talk, request_deserializer=pb.Batch.FromString, response_serializer=pb.Batch.SerializeToString
    )
    server = grpc.aio.server()
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("flintshift.peers.v1.Peers", {"Talk": handler}),)
    )
    server.add_insecure_port(f"127.0.0.1:{address}")
    await server.start()
    await server.wait_for_termination()


async def connect_grpc(address: str) -> Exchange:
    """Connect to the gRPC server; return the function that exchanges a batch."""
    channel = grpc.aio.insecure_channel(f"127.0.0.1:{address}")
    stream = channel.stream_stream(
        METHOD, request_serializer=pb.Batch.SerializeToString, response_deserializer=pb.Batch.FromString
    )()

    async def exchange(batch: pb.Batch) -> None:
        await stream.write(batch)
        await stream.read()

    return exchange


def create_echo_connection() -> PeerConnection:
    """Return a connection that sends each batch back."""
    return PeerConnection(Limits(), lambda connection, batch: connection.send(batch))


async def serve_framed(address: str) -> None:
    """Echo batches over the framed link on the TCP port ``address``."""
    await asyncio.get_running_loop().create_server(create_echo_connection, "127.0.0.1", int(address))
    await asyncio.Event().wait()


async def serve_unix(address: str) -> None:
    """Echo batches over the framed link on the Unix socket ``address``."""
    await asyncio.get_running_loop().create_unix_server(create_echo_connection, address)
    await asyncio.Event().wait()


def framed_connector(open_link: Callable[[PeerConnection], Awaitable[Any]]) -> Callable[[], Awaitable[Exchange]]:
    """Return a function that opens a framed link with ``open_link`` and returns how to exchange a batch on it."""

    async def connect() -> Exchange:
        received = asyncio.Event()
        connection = PeerConnection(Limits(), lambda connection, batch: received.set())
        await open_link(connection)

        async def exchange(batch: pb.Batch) -> None:
            received.clear()
            connection.send(batch)
            await received.wait()

        return exchange

    return connect


async def connect_framed(address: str) -> Exchange:
    """Connect to the framed link on the TCP port ``address``."""
    return await framed_connector(
        lambda connection: asyncio.get_running_loop().create_connection(lambda: connection, "127.0.0.1", int(address))
    )()


async def connect_unix(address: str) -> Exchange:
    """Connect to the framed link on the Unix socket ``address``."""
    return await framed_connector(
        lambda connection: asyncio.get_running_loop().create_unix_connection(lambda: connection, address)
    )()


LINKS = {
    "grpc": (serve_grpc, connect_grpc),
    "framed": (serve_framed, connect_framed),
    "unix": (serve_unix, connect_unix),
}


def serve(name: str, address: str) -> None:
    """Run the server process of the link ``name``."""
    uvloop.install()
    asyncio.run(LINKS[name][0](address))


async def measure(name: str, address: str, exchanges: int) -> list[dict[str, float]]:
    """Return the delays and the CPU per exchange, by the number of messages in a batch."""
    exchange, rows = await LINKS[name][1](address), []
    for count in (1, 10, 50):
        batch = build_batch(count)
        for _ in range(50):
            await exchange(batch)
        delays_us, cpu_before_s = [], time.process_time()
        for _ in range(exchanges):
            began_s = time.perf_counter()
            await exchange(batch)
            delays_us.append((time.perf_counter() - began_s) * 1e6)
        delays_us.sort()
        rows.append(
            {
                "link": name,
                "words": count,
                "p50_us": round(delays_us[exchanges // 2]),
                "p99_us": round(delays_us[int(exchanges * 0.99)]),
                "cpu_us": round((time.process_time() - cpu_before_s) / exchanges * 1e6),
            }
        )
    return rows


def run_client(name: str, address: str, exchanges: int, results: Any) -> None:
    """Run the client process of the link ``name`` and put its figures into the queue."""
    uvloop.install()
    results.put(asyncio.run(measure(name, address, exchanges)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--exchanges", type=int, default=2000)
    parser.add_argument("--out", type=Path, help="also write the result to this file")
    options = parser.parse_args()
    spawning = multiprocessing.get_context("spawn")
    rows: list[dict[str, float]] = []
    with tempfile.TemporaryDirectory() as folder:
        for name in LINKS:
            address = str(Path(folder) / "link") if name == "unix" else str(free_ports(1)[0])
            server = spawning.Process(target=serve, args=(name, address), daemon=True)
            server.start()
            for _ in range(200):
                time.sleep(0.05)
                try:
                    if name == "unix":
                        with socket.socket(socket.AF_UNIX) as connection:
                            connection.connect(address)
                    else:
                        socket.create_connection(("127.0.0.1", int(address))).close()
                    break
                except OSError:
                    continue
            results: Any = spawning.Queue()
            client = spawning.Process(target=run_client, args=(name, address, options.exchanges, results))
            client.start()
            rows += results.get()
            client.join()
            server.kill()
            for row in rows[-3:]:
                print(row)
    if options.out:
        options.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
