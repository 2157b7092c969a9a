"""Case 10: a fleet with replicas is stopped, one member is added to the list, and all are started: the old ones end."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig2 import (
    BROKEN,
    HELD,
    ROOT,
    Node,
    NotRunError,
    Record,
    Rig,
    free_ports,
    healthy,
    http_request,
    main,
    platform_config,
    read_reply,
    request_fields,
    trouble,
    until,
)

from flintshift.lab.standins import Names, Pool, Vault

HALLS = {"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "seeb-hall", "n4": "seeb-hall"}
OLD = ("n1", "n2", "n3")
KEYED, DEADLINE_MS = "submit-time", 1500.0
RUN_MS, SLOWER = 900.0, 3.0  # all nodes are 1.8 to 3 times slower for a while
WRITES, WATCH_S = 40, 12.0


class Fleet:
    """The members by name, with their pools."""

    def __init__(self, rig: Rig, record: Record) -> None:
        self.rig, self.record = rig, record
        self.listen = dict(zip(HALLS, free_ports(len(HALLS)), strict=True))
        self.peer = dict(zip(HALLS, free_ports(len(HALLS)), strict=True))
        self.nodes: dict[str, Node] = {}
        self.vault, self.names = Vault(), Names()

    async def start(self, names: tuple[str, ...], epoch: int, founding: bool) -> None:
        """Start these members with a list of themselves; each start has a worker pool of its own."""
        members = "".join(
            f"    {name}: {{hall: {HALLS[name]}, address: 127.0.0.1:{self.peer[name]}}}\n" for name in names
        )
        for name in names:
            pool = await self.rig.stand_in(Pool(cores=64, took_ms={KEYED: RUN_MS * SLOWER}))
            config = platform_config(
                name, self.listen[name], pool.port, self.names.port, self.vault.port, deadline_ms=DEADLINE_MS
            )
            config["settings"]["familyInfo"]["nCores"] = 64
            settings = (
                "log: {enabled: true, repeats: 0ms}\n"
                f"peers:\n  enabled: true\n  listen: 127.0.0.1:{self.peer[name]}\n  epoch: {epoch}\n"
                f"  members:\n{members}copies:\n  enabled: true\n  copies: 3\n"
            )
            folder = self.rig.folder / name
            self.nodes[name] = Node(config, folder, settings, f".{epoch}")
            if founding:
                folder.mkdir(parents=True, exist_ok=True)
                subprocess.run(
                    [str(ROOT / ".venv/bin/python"), "-m", "flintshift.cli", "copies", "found", str(folder / "copies")],
                    cwd=ROOT,
                    check=True,
                    stdout=subprocess.DEVNULL,
                    timeout=30,
                )
            self.rig.add(self.nodes[name])

    async def write(self, name: str, number: int) -> str:
        """Send one write to a member; returns the end of it."""
        rid = f"{number:016x}"
        fields = request_fields(rid, "sur-pacers", KEYED, 1) | {"X-Unique": f"key-{number}"}
        try:
            async with asyncio.timeout(8.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.listen[name])
                writer.write(http_request(KEYED, b"12:01.5", fields))
                status, _, _ = await read_reply(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            return f"{rid} at {name}: {error!r}"
        return f"{rid} at {name}: {status}"


async def case(rig: Rig, record: Record) -> int:
    fleet = Fleet(rig, record)
    await rig.stand_in(fleet.vault)
    await rig.stand_in(fleet.names)
    await fleet.start(OLD, 1, founding=True)

    async def all_healthy(names: tuple[str, ...]) -> bool:
        return all([await healthy(fleet.listen[name]) for name in names])

    await until(lambda: all_healthy(OLD), "the members are healthy", 30.0)
    await until(
        lambda: all('"reached": 2' in fleet.nodes[name].log_text() for name in OLD), "all members are linked", 30.0
    )
    record.add(f"{WRITES} writes are sent; runs take {RUN_MS * SLOWER:.0f} ms, {SLOWER:g} times their usual work")
    writes = [asyncio.create_task(fleet.write(OLD[number % 3], number)) for number in range(1, WRITES + 1)]
    await asyncio.sleep(0.7)
    for name in OLD:
        fleet.nodes[name].send(signal.SIGTERM)
    record.add("SIGTERM to all members")
    await until(lambda: not any(fleet.nodes[name].up for name in OLD), "all members have ended", 15.0)
    for write in writes:
        record.add(await write)
    for name in OLD:
        process = fleet.nodes[name].process
        assert process is not None
        record.add(f"{name} has ended with {process.returncode}")
        if process.returncode:
            raise NotRunError(f"{name} did not end in good order")
    names = tuple(HALLS) if trouble() else OLD
    await fleet.start(names, 2, founding=False)
    record.add(f"started with the list of epoch 2: {', '.join(names)}; the old ones on their folders")
    began_s, ended = time.monotonic(), dict[str, float]()
    while time.monotonic() < began_s + WATCH_S:
        for name in names:
            if not fleet.nodes[name].up and name not in ended:
                ended[name] = time.monotonic() - began_s
        await asyncio.sleep(0.05)
    for name, after_s in ended.items():
        process = fleet.nodes[name].process
        assert process is not None
        errors = [line for line in fleet.nodes[name].log_text().splitlines() if "Error: " in line]
        record.add(f"{name} ended by itself {after_s:.1f} s after its start, with {process.returncode}: {errors[-1:]}")
    record.add(f"members that nobody stopped and that ended within {WATCH_S:g} s: {len(ended)} of {len(names)}")
    return BROKEN if ended else HELD


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
