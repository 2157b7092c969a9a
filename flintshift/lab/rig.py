"""A node as a process of its own among its stand-ins, for the demo, benchmarks and tests of the whole program."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import IO, Any

from flintshift.lab.ports import free_ports
from flintshift.lab.standins import Apps, Dns, Names, Pool, StandIn, Vault
from flintshift.settings.embedded import configuration


class Rig:
    """``settings`` is the text of an operators' file without its uwsgi part; None: none is named. ``root`` is the
    folder that the program is imported from, ``python`` the interpreter."""

    def __init__(
        self,
        folder: Path,
        settings: str | None = None,
        uwsgi: bool = False,
        pool: Pool | None = None,
        root: Path | None = None,
        platform: dict[str, Any] | None = None,
        control: bool = False,
        environment: dict[str, str] | None = None,
        ready_s: float = 20.0,
        host: str = "127.0.0.1",
    ) -> None:
        self.environment = environment or {}  # of the node's processes, beside this one's own
        self.ready_s = ready_s  # for a start
        self.host = host  # as the configuration names this machine
        self.folder, self.settings, self.uwsgi, self.root, self.platform = folder, settings, uwsgi, root, platform
        self.control = control  # there is a control door, at ports["control"]
        self.pool, self.vault, self.names, self.apps = pool or Pool(), Vault(), Names(), Apps()
        self.process: asyncio.subprocess.Process | None = None
        self.started: list[asyncio.subprocess.Process] = []  # all of them: none outlives the rig
        self.ports: dict[str, int] = {}
        self.pools: list[Pool] = []  # of processes that were relieved: their runs are told from there
        self.lives = 0  # of the node

    @property
    def peers(self) -> tuple[StandIn, ...]:
        return self.pool, self.vault, self.names, self.apps

    async def __aenter__(self) -> Rig:
        for peer in self.peers:
            await peer.start()
        self.dns = Dns(self.apps.port)
        await self.dns.start()
        try:
            await self.start()
        except BaseException:  # nobody else ends what was started: a node left behind goes on reporting
            await self.__aexit__()
            raise
        return self

    @property
    def config(self) -> Path:
        """The platform's file of the node's present life."""
        return self.folder / ("config.json" if self.lives < 2 else f"config{self.lives}.json")

    def command(self, beside: bool = False) -> list[str]:
        """What starts the node, with its files written; ``beside`` a process that serves, at the same addresses but
        for the control door's."""
        http, desks, door = free_ports(3)
        self.ports = {**self.ports, "control": door} if beside else {"http": http, "uwsgi": desks, "control": door}
        http, desks = self.ports["http"], self.ports["uwsgi"]
        self.lives = self.lives + 1 if beside else 1
        self.folder.mkdir(parents=True, exist_ok=True)
        config = configuration(
            "n1", {"listen": http, "pool": self.pool.port, "naming": self.names.port, "vault": self.vault.port}
        )
        config["settings"] |= self.platform or {}
        if self.control:
            config["control"] = f"127.0.0.1:{door}"
        self.config.write_text(json.dumps(config).replace("127.0.0.1:", f"{self.host}:"))
        command = [sys.executable, "-m", "flintshift"]
        if self.settings is not None or self.uwsgi:
            text = self.settings or ""
            if self.uwsgi:
                text += (
                    f"\nuwsgi:\n  enabled: true\n  listen: 127.0.0.1:{desks}\n  resolver: 127.0.0.1:{self.dns.port}\n"
                )
            (self.folder / "flintshift.yaml").write_text(text)
            command += ["--settings", str(self.folder / "flintshift.yaml")]
        return command

    async def start(self, stderr: int | IO[bytes] | None = None, writing_s: float = 0.0) -> asyncio.subprocess.Process:
        """Start the node, after a kill too; returns once it serves. ``writing_s``: so long after the process's start
        the second half of its configuration is written."""
        self.names.serving.clear()
        self.dns.browse_finished.clear()
        command = self.command()
        whole = self.config.read_bytes()
        if writing_s:
            self.config.write_bytes(whole[: len(whole) // 2])
        process = self.process = await self._spawn(command, stderr)
        if writing_s:
            await asyncio.sleep(writing_s)
            self.config.write_bytes(whole)
        serving = asyncio.ensure_future(self.names.serving.wait())
        gone = asyncio.ensure_future(process.wait())
        try:
            await asyncio.wait({serving, gone}, return_when=asyncio.FIRST_COMPLETED, timeout=self.ready_s)
            if not serving.done():
                raise RuntimeError(f"the node did not serve (exit code {process.returncode})")
            if self.uwsgi:
                await asyncio.wait_for(self.dns.browse_finished.wait(), 10)
        finally:
            serving.cancel()
            gone.cancel()
        return process

    async def _spawn(self, command: list[str], stderr: int | IO[bytes] | None = None) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=self.root or Path.cwd(),
            stderr=stderr,
            env={**os.environ, "LB_CONFIG": str(self.config), "TMPDIR": str(self.folder), **self.environment},
        )
        self.started.append(process)
        return process

    async def beside(self, pool: Pool | None = None) -> asyncio.subprocess.Process:
        """Start a new version beside the node, with a pool and a control address of its own; returns the older process
        once the new one is ready. ``process`` is the new one from then on.

        Raises:
            RuntimeError: the new process ended, or was not ready in time.
        """
        assert self.control and self.process is not None
        older, before = self.process, self.pool
        self.pools.append(before)
        self.pool = pool or Pool(cores=before.size, took_ms=before.took_ms, calling_classes=before.calling_classes)
        await self.pool.start()
        self.process = await self._spawn(self.command(beside=True))
        for _ in range(1000):
            if self.process.returncode is not None:
                break
            if await self.ready():
                return older
            await asyncio.sleep(0.01)
        raise RuntimeError(f"the new process was not ready (exit code {self.process.returncode})")

    async def ready(self) -> bool:
        """What the newest process says at its control door."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["control"])
        except OSError:
            return False
        writer.write(b"GET /control/ready HTTP/1.1\r\nHost: n1\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return b" 200 " in status

    async def relieve(self) -> int:
        """An upgrade: a new version takes over, and the older leaves; returns the exit code of that one."""
        older = await self.beside()
        older.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(older.wait(), 10)

    async def kill(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def leave(self) -> int:
        """The notice to leave, and the exit code; that of a process which has ended before, too."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), 10)

    async def __aexit__(self, *_: object) -> None:
        for process in self.started:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for peer in (*self.peers, *self.pools):
            await peer.stop()
        self.dns.transport.close()
