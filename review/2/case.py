"""Bad clients send a request and go on sending without end, while usual callers keep the node busy."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import common

READ = {"name": "race-results", "onTimeMs": 2800.0, "deadlineMs": 9200.0, "worth": 1.0, "effect": "safe"}
MEMORY_MB = 192
CORES, RUN_MS, CALLERS = 2, 200.0, 12
BAD_CLIENTS = 8
QUIET_S, TROUBLE_S = 5.0, 10.0
CHUNK = b"x" * 65_536


class KnowingPool(common.RecordedPool):
    """A pool that knows the ids of the usual callers' requests, and tells `unknown` of all others."""

    known: set[str]

    def _spawn(self, rid: str, route: str) -> None:
        if rid in self.known:
            super()._spawn(rid, route)
            return
        self.record(f"run    {self.node} does not know {rid}")
        for writer in self.links:
            self.send(writer, {"t": "unknown", "status": "spawn", "rid": rid})


def memory_mb(node: common.Node) -> float:
    """The resident memory of the node's process. (Files in its TMPDIR would count too; it writes none here.)"""
    assert node.process is not None
    try:
        status = Path(f"/proc/{node.process.pid}/status").read_text()
    except OSError:
        return 0.0
    resident_kb = next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS:")), 0)
    return resident_kb / 1024


async def case(trouble: bool, home: Path, record: common.Record, nodes: list[common.Node]) -> list[str]:
    ports = iter(common.free_ports(4))
    names, vault = common.new_names(next(ports)), common.new_vault(next(ports))
    pool = KnowingPool("n1", next(ports), record, {"race-results": RUN_MS}, CORES)
    pool.known = set()
    await common.start_stand_ins(names, vault, pool)
    node = common.Node("n1", home, record, listen=next(ports), pool=pool.port, naming=names.port, vault=vault.port)
    nodes.append(node)
    node.write_config(common.settings([READ], 2000.0, cores=CORES), 3700.0, MEMORY_MB)
    await node.start()
    await node.wait_ready()
    ids = (f"{number:016x}" for number in itertools.count(1))
    end_s = time.monotonic() + QUIET_S + TROUBLE_S
    killed: list[str] = []
    lost = 0
    highest_mb = 0.0

    async def platform() -> None:
        """Kill the node above its memory limit, as the deployment page says."""
        nonlocal highest_mb
        next_line_s = 0.0
        while time.monotonic() < end_s and node.alive:
            used_mb = memory_mb(node)
            highest_mb = max(highest_mb, used_mb)
            if time.monotonic() >= next_line_s:
                record(f"memory n1 {used_mb:.0f} MB")
                next_line_s = time.monotonic() + 0.5
            if used_mb > MEMORY_MB:
                record(f"memory n1 {used_mb:.0f} MB, over its limit of {MEMORY_MB} MB")
                killed.append(f"n1 was killed at {used_mb:.0f} MB, over its limit of {MEMORY_MB} MB")
                node.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.02)
        if not node.alive:
            killed.append("n1 crashed")

    async def caller() -> None:
        """A usual caller: one request after the other on one connection."""
        nonlocal lost
        reader, writer = None, None
        while time.monotonic() < end_s:
            if writer is None:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", node.addresses["listen"])
                except OSError:
                    return
            assert reader is not None
            rid = next(ids)
            pool.known.add(rid)
            writer.write(common.request_bytes("race-results", rid, b"one, please"))
            record(f"sent   n1 {rid}")
            try:
                status, head, _ = await common.read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                record(f"no answer to {rid}")
                lost += 1
                writer.close()
                return
            record(f"answer n1 {rid} {status}")
            if b"connection: close" in head.lower():
                writer.close()
                writer = None
            if status != 200:
                await asyncio.sleep(0.3)
        if writer is not None:
            writer.close()

    async def bad_client(number: int) -> None:
        """Send a request with an id that the pool does not know, then a message without end; read what is sent."""
        loop, sent_bytes = asyncio.get_running_loop(), 0
        rid = f"bad{number:05d}{next(ids)[-8:]}"
        raw = socket.socket()
        raw.connect(("127.0.0.1", node.addresses["listen"]))
        raw.setblocking(False)
        record(f"bad    client {number} sends {rid}, and goes on")

        async def read() -> None:
            with contextlib.suppress(OSError):
                while data := await loop.sock_recv(raw, 65_536):
                    record(f"bad    client {number} receives {data[:40]!r}")
            ended.set()

        ended, reading = asyncio.Event(), None
        try:
            with contextlib.suppress(OSError):
                await loop.sock_sendall(raw, common.request_bytes("race-results", rid, b"one, please") + CHUNK)
                reading = asyncio.create_task(read())
                while time.monotonic() < end_s and not ended.is_set():
                    async with asyncio.timeout(max(0.01, end_s - time.monotonic())):
                        await loop.sock_sendall(raw, CHUNK)
                    sent_bytes += len(CHUNK)
        except TimeoutError:
            pass
        finally:
            if reading is not None:
                reading.cancel()
            raw.close()
        record(f"bad    client {number} ends, {sent_bytes / 1e6:.0f} MB sent")

    async def bad_clients() -> None:
        """From a while on, so many bad clients at a time."""
        await asyncio.sleep(QUIET_S)
        numbers = itertools.count(1)

        async def one_after_the_other() -> None:
            while time.monotonic() < end_s - 1 and node.alive:
                with contextlib.suppress(OSError):
                    await bad_client(next(numbers))
                await asyncio.sleep(0.1)

        async with asyncio.TaskGroup() as clients:
            for _ in range(BAD_CLIENTS):
                clients.create_task(one_after_the_other())

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(platform())
        for _ in range(CALLERS):
            tasks.create_task(caller())
        if trouble:
            tasks.create_task(bad_clients())
    record(f"the highest use of memory was {highest_mb:.0f} MB")
    if killed:
        killed[0] += f"; {lost} requests of usual callers were lost with it"
    return killed


sys.exit(common.play(Path(__file__).resolve().parent, case))
