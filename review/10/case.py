"""Case 10: a second upgrade begins as the first has ended: the process that took the callers over ends by itself."""

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
    Record,
    Rig,
    UsualCaller,
    control,
    free_ports,
    healthy,
    main,
    platform_config,
    trouble,
    until,
)

from flintshift.lab.standins import Names, Pool, Vault

HALLS = {"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "seeb-hall"}
DEADLINE_MS, STOP_S = 1500.0, 1.5 + 0.7  # SIGKILL follows SIGTERM so long after
PAUSES_S = (0.0, 0.2, 0.4, 0.1, 0.3, 0.0, 0.2, 0.4)  # from the end of an upgrade to the begin of the next one
CALLERS, QUIET_S = 3, 12.0


class Fleet:
    """Three members; n1 is upgraded."""

    def __init__(self, rig: Rig, record: Record) -> None:
        self.rig, self.record = rig, record
        self.listen = dict(zip(HALLS, free_ports(len(HALLS)), strict=True))
        self.peer = dict(zip(HALLS, free_ports(len(HALLS)), strict=True))
        self.vault, self.names = Vault(), Names()

    async def start(self, name: str, number: int) -> tuple[Node, int]:
        """Start a process of a member, with a worker pool and a control address of its own."""
        pool = await self.rig.stand_in(Pool(cores=4, took_ms={"standings": 5.0}))
        (control_port,) = free_ports(1)
        members = "".join(
            f"    {member}: {{hall: {hall}, address: 127.0.0.1:{self.peer[member]}}}\n"
            for member, hall in HALLS.items()
        )
        settings = (
            "log: {enabled: true, repeats: 0ms}\n"
            f"peers:\n  enabled: true\n  listen: 127.0.0.1:{self.peer[name]}\n  members:\n{members}"
            "copies:\n  enabled: true\n  copies: 3\n"
        )
        config = platform_config(
            name, self.listen[name], pool.port, self.names.port, self.vault.port, deadline_ms=DEADLINE_MS
        ) | {"control": f"127.0.0.1:{control_port}"}
        node = Node(config, self.rig.folder / name, settings, f".{number}")
        if not number:
            node.folder.mkdir(parents=True)
            subprocess.run(
                [
                    str(ROOT / ".venv/bin/python"),
                    "-m",
                    "flintshift.cli",
                    "copies",
                    "found",
                    str(node.folder / "copies"),
                ],
                cwd=ROOT,
                check=True,
                stdout=subprocess.DEVNULL,
                timeout=30,
            )
        return self.rig.add(node), control_port

    async def all_healthy(self) -> bool:
        return all([await healthy(port) for port in self.listen.values()])


async def case(rig: Rig, record: Record) -> int:
    fleet = Fleet(rig, record)
    await rig.stand_in(fleet.vault)
    await rig.stand_in(fleet.names)
    started = {name: (await fleet.start(name, 0))[0] for name in HALLS}
    serving = started["n1"]
    await until(fleet.all_healthy, "the members are healthy", 30.0)
    await until(
        lambda: all('"reached": 2' in node.log_text() for node in started.values()), "all members are linked", 30.0
    )
    callers = [UsualCaller(fleet.listen["n1"], number, DEADLINE_MS) for number in range(1, CALLERS + 1)]
    rounds = 0

    async def ask_all() -> None:
        """Each caller sends a request now and then, and keeps its connection."""
        nonlocal rounds
        rounds += 1
        for caller in callers:
            record.add(str(await caller.ask(f"{caller.number:08x}{rounds:08x}")))

    def crashed(node: Node, what: str) -> bool:
        if node.up:
            return False
        process = node.process
        assert process is not None
        errors = [line.strip(" |") for line in node.log_text().splitlines() if "Error: " in line]
        record.add(f"{what} has ended by itself, with {process.returncode}: {errors[-1:]}")
        return True

    if not trouble():
        end_s = time.monotonic() + QUIET_S
        while time.monotonic() < end_s:
            await ask_all()
            await asyncio.sleep(1.0)
        return BROKEN if any(crashed(node, name) for name, node in started.items()) else HELD
    for number, pause_s in enumerate(PAUSES_S, 1):
        await ask_all()
        new, control_port = await fleet.start("n1", number)

        async def ready(new: Node = new, control_port: int = control_port) -> bool:
            return not new.up or await control(control_port, "GET", "/control/ready")

        await until(ready, "the new process says yes", 6.0)
        if crashed(new, f"the new process of upgrade {number}"):
            return BROKEN
        serving.send(signal.SIGTERM)
        term_s = time.monotonic()
        record.add(f"upgrade {number}: the new process says yes; SIGTERM to the older one")
        while serving.up and time.monotonic() < term_s + STOP_S:
            await asyncio.sleep(0.01)
        how = "is killed" if serving.up else "has ended"
        record.add(f"the older process {how} {time.monotonic() - term_s:.2f} s later")
        serving.kill()
        serving = new
        await asyncio.sleep(pause_s)
        if crashed(new, f"the process that serves since upgrade {number}"):
            await ask_all()
            return BROKEN
    await asyncio.sleep(2.0)
    return BROKEN if crashed(serving, "the process that serves") else HELD


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
