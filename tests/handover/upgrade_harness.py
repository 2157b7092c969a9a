"""A test harness for upgrades: several processes of one node, with stand-ins for their peers."""

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

from flintshift.lab.ports import free_ports
from flintshift.lab.standins import Names, Vault


class Process:
    """A process of the node, with its own worker pool and control address."""

    def __init__(self, harness, index):
        self.harness, self.index, self.pool = harness, index, scripted_pool()
        self.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)
        self.config = harness.folder / f"config{index}.json"

    async def start(self, ready=True, tmpdir=None):
        await self.pool.start()
        self.control = free_ports(1)[0]
        self.config.write_text(
            platform_file(
                self.harness.port,
                self.pool,
                self.harness.vault,
                self.harness.names,
                self.harness.settings,
                control=self.control,
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flintshift",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "LB_CONFIG": str(self.config), "TMPDIR": str(tmpdir or self.harness.folder)},
        )
        if ready:
            await self.until_ready()
        return self

    async def until_ready(self, timeout_s=10):
        """Wait until the control endpoint reports that this process serves clients."""
        async with asyncio.timeout(timeout_s):
            while (await self.call())[0] != 200:
                await asyncio.sleep(0.01)

    async def call(self, method="GET", path="/control/ready"):
        """Call the control endpoint; returns its status and text, or 0 if it is not reachable."""
        try:
            return await control_call(self.control, method, path)
        except ConnectionRefusedError:
            return 0, "refused"

    async def counters(self):
        """Let the process print its counters, and return them."""
        self.process.send_signal(signal.SIGUSR1)
        while (line := await asyncio.wait_for(self.process.stderr.readline(), 10))[:1] != b"{":
            pass
        return Counter(json.loads(line)["counters"])

    async def until(self, name, min_count=1):
        """Wait until a counter has at least this value."""
        while (await self.counters())[name] < min_count:
            pass

    async def terminate(self):
        self.process.send_signal(signal.SIGTERM)
        return await self.wait_exit()

    async def wait_exit(self):
        return await asyncio.wait_for(self.process.wait(), 10)

    def kill(self):
        self.process.kill()


class UpgradeHarness:
    """The processes of one node, which share the vault, the name service and the callers' address."""

    def __init__(self, folder: Path):
        self.folder, self.settings = folder, copy.deepcopy(SETTINGS)
        self.settings["familyInfo"]["nCores"] = 8  # so that one endless run doesn't make the machine count as unhealthy
        self.vault, self.names, self.processes = Vault(keep_journal=True), Names(keep_journal=True), []

    async def __aenter__(self):
        await self.vault.start()
        await self.names.start()
        self.port = free_ports(1)[0]
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            if process.process.returncode is None:
                process.kill()
                await process.process.wait()
            await process.pool.stop()
        await self.vault.stop()
        await self.names.stop()

    async def start(self, **options):
        process = Process(self, len(self.processes))
        self.processes.append(process)
        return await process.start(**options)

    async def connect(self, send_ping=True):
        """Open a caller's connection. After the ping it is certainly accepted, and may stay idle."""
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.port))
        if send_ping:
            caller.send(REQUEST_BYTES["http"]("", b"", {}, method="GET", path="/ping"))
            assert (await caller.reply()).status == 200
        return caller

    async def ask(self, key, **options):
        """Send a request on a new connection."""
        return await ask(await self.connect(), key, **options)

    def runs(self):
        """The request ids of all runs that the pools were asked to start."""
        return [run["rid"] for process in self.processes for run in process.pool.spawn_commands()]


def submit(caller, key, body=b"12:01.5", class_name="submit-time", **changed_fields):
    """Send a request with this key on a caller's connection; returns its id."""
    fields = request_fields(class_name, **({"X-Unique": key} if key else {}), **changed_fields)
    caller.send(REQUEST_BYTES["http"](class_name, body, fields))
    return fields["X-Job-Id"]


async def ask(caller, key, **options):
    """Send a request with this key on a caller's connection; returns the reply."""
    submit(caller, key, **options)
    return await caller.reply()
