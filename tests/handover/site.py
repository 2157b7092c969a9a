"""Two processes of one node among their stand-ins."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import sys
from collections import Counter
from pathlib import Path

from standins import REQUEST_BYTES, ROOT, SETTINGS, Caller, control_call, platform_file, request_fields, scripted_pool

from flintshift.lab.peers import Names, Vault
from flintshift.lab.ports import free_ports


class Process:
    """One of them, with a pool and a control address of its own."""

    def __init__(self, site, number):
        self.site, self.number, self.pool = site, number, scripted_pool()
        self.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)
        self.config = site.folder / f"config{number}.json"

    async def start(self, ready=True, tmpdir=None):
        await self.pool.start()
        self.control = free_ports(1)[0]
        self.config.write_text(
            platform_file(
                self.site.port, self.pool, self.site.vault, self.site.names, self.site.settings, control=self.control
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flintshift",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(self.config), "TMPDIR": str(tmpdir or self.site.folder)},
        )
        if ready:
            await self.until_ready()
        return self

    async def until_ready(self, within=10):
        async with asyncio.timeout(within):
            while (await self.call())[0] != 200:
                await asyncio.sleep(0.01)

    async def call(self, method="GET", path="/control/ready"):
        try:
            return await control_call(self.control, method, path)
        except ConnectionRefusedError:
            return 0, "refused"

    async def counters(self):
        self.process.send_signal(signal.SIGUSR1)
        while (line := await asyncio.wait_for(self.process.stderr.readline(), 10))[:1] != b"{":
            pass
        return Counter(json.loads(line)["counters"])

    async def until(self, name, least=1):
        while (await self.counters())[name] < least:
            pass

    async def leave(self):
        self.process.send_signal(signal.SIGTERM)
        return await self.ended()

    async def ended(self):
        return await asyncio.wait_for(self.process.wait(), 10)

    def kill(self):
        self.process.kill()


class Site:
    def __init__(self, folder: Path):
        self.folder, self.settings = folder, copy.deepcopy(SETTINGS)
        self.settings["familyInfo"]["nCores"] = 8  # so that one run without an end is no sign of a sick machine
        self.vault, self.names, self.processes = Vault(tells=True), Names(tells=True), []

    async def __aenter__(self):
        await self.vault.start()
        await self.names.start()
        self.port = free_ports(1)[0]
        return self

    async def __aexit__(self, *_):
        for one in self.processes:
            if one.process.returncode is None:
                one.kill()
                await one.process.wait()
            await one.pool.stop()
        await self.vault.stop()
        await self.names.stop()

    async def start(self, **more):
        one = Process(self, len(self.processes))
        self.processes.append(one)
        return await one.start(**more)

    async def connect(self, spoken=True):
        """A caller's connection, which has brought a request already: so it is accepted, and may rest."""
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.port))
        if spoken:
            caller.send(REQUEST_BYTES["http"]("", b"", {}, method="GET", path="/ping"))
            assert (await caller.reply()).status == 200
        return caller

    async def ask(self, unique, **more):
        """A request on a connection of its own."""
        return await ask(await self.connect(), unique, **more)

    def runs(self):
        return [run["rid"] for one in self.processes for run in one.pool.spawns()]


def submit(caller, unique, body=b"12:01.5", class_name="submit-time", **changes):
    fields = request_fields(class_name, **({"X-Unique": unique} if unique else {}), **changes)
    caller.send(REQUEST_BYTES["http"](class_name, body, fields))
    return fields["X-Job-Id"]


async def ask(caller, unique, **more):
    submit(caller, unique, **more)
    return await caller.reply()
