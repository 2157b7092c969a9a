"""What a link between members costs: a gRPC stream, the framed link that is used, and the upgrade's Unix socket.

    python benchmarks/peer_link.py --out benchmarks/results/peer_link.json

One batch of words goes there and comes back, one at a time, between two processes on uvloop. CPU is of the asking side.
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


def words(count: int) -> pb.Batch:
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


async def grpc_serve(at: str) -> None:
    async def talk(asked: Any, context: Any) -> Any:
        async for batch in asked:
            yield batch

    handler = grpc.stream_stream_rpc_method_handler(
        talk, request_deserializer=pb.Batch.FromString, response_serializer=pb.Batch.SerializeToString
    )
    server = grpc.aio.server()
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("flintshift.peers.v1.Peers", {"Talk": handler}),)
    )
    server.add_insecure_port(f"127.0.0.1:{at}")
    await server.start()
    await server.wait_for_termination()


async def grpc_ask(at: str) -> Exchange:
    channel = grpc.aio.insecure_channel(f"127.0.0.1:{at}")
    stream = channel.stream_stream(
        METHOD, request_serializer=pb.Batch.SerializeToString, response_deserializer=pb.Batch.FromString
    )()

    async def exchange(batch: pb.Batch) -> None:
        await stream.write(batch)
        await stream.read()

    return exchange


def echo() -> PeerConnection:
    return PeerConnection(Limits(), lambda wire, batch: wire.send(batch))


async def framed_serve(at: str) -> None:
    await asyncio.get_running_loop().create_server(echo, "127.0.0.1", int(at))
    await asyncio.Event().wait()


async def unix_serve(at: str) -> None:
    await asyncio.get_running_loop().create_unix_server(echo, at)
    await asyncio.Event().wait()


def over(wire_of: Callable[[PeerConnection], Awaitable[Any]]) -> Callable[[], Awaitable[Exchange]]:
    async def connect() -> Exchange:
        came = asyncio.Event()
        wire = PeerConnection(Limits(), lambda wire, batch: came.set())
        await wire_of(wire)

        async def exchange(batch: pb.Batch) -> None:
            came.clear()
            wire.send(batch)
            await came.wait()

        return exchange

    return connect


async def framed_ask(at: str) -> Exchange:
    return await over(lambda wire: asyncio.get_running_loop().create_connection(lambda: wire, "127.0.0.1", int(at)))()


async def unix_ask(at: str) -> Exchange:
    return await over(lambda wire: asyncio.get_running_loop().create_unix_connection(lambda: wire, at))()


LINKS = {"grpc": (grpc_serve, grpc_ask), "framed": (framed_serve, framed_ask), "unix": (unix_serve, unix_ask)}


def serve(name: str, at: str) -> None:
    uvloop.install()
    asyncio.run(LINKS[name][0](at))


async def measure(name: str, at: str, exchanges: int) -> list[dict[str, float]]:
    exchange, rows = await LINKS[name][1](at), []
    for count in (1, 10, 50):
        batch = words(count)
        for _ in range(50):
            await exchange(batch)
        delays, cpu = [], time.process_time()
        for _ in range(exchanges):
            began = time.perf_counter()
            await exchange(batch)
            delays.append((time.perf_counter() - began) * 1e6)
        delays.sort()
        rows.append(
            {
                "link": name,
                "words": count,
                "p50_us": round(delays[exchanges // 2]),
                "p99_us": round(delays[int(exchanges * 0.99)]),
                "cpu_us": round((time.process_time() - cpu) / exchanges * 1e6),
            }
        )
    return rows


def ask(name: str, at: str, exchanges: int, into: Any) -> None:
    uvloop.install()
    into.put(asyncio.run(measure(name, at, exchanges)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--exchanges", type=int, default=2000)
    parser.add_argument("--out", type=Path, help="write the result here too")
    given = parser.parse_args()
    fresh = multiprocessing.get_context("spawn")
    rows: list[dict[str, float]] = []
    with tempfile.TemporaryDirectory() as folder:
        for name in LINKS:
            at = str(Path(folder) / "link") if name == "unix" else str(free_ports(1)[0])
            server = fresh.Process(target=serve, args=(name, at), daemon=True)
            server.start()
            for _ in range(200):
                time.sleep(0.05)
                try:
                    if name == "unix":
                        with socket.socket(socket.AF_UNIX) as raw:
                            raw.connect(at)
                    else:
                        socket.create_connection(("127.0.0.1", int(at))).close()
                    break
                except OSError:
                    continue
            into: Any = fresh.Queue()
            asker = fresh.Process(target=ask, args=(name, at, given.exchanges, into))
            asker.start()
            rows += into.get()
            asker.join()
            server.kill()
            for row in rows[-3:]:
                print(row)
    if given.out:
        given.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
