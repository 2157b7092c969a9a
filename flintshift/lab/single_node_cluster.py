"""Runs a node in a process of its own among stand-ins, for the demo, benchmarks and tests of the whole program."""

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


class SingleNodeCluster:
    """A test cluster of one node.

    ``settings`` is the text of an operators' file without its uwsgi part; None: the node gets no such file. ``root`` is
    the folder that the program is imported from.
    """

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
        start_timeout_s: float = 20.0,
        host: str = "127.0.0.1",
    ) -> None:
        self.environment = environment or {}  # of the node's processes, added to that of this process
        self.start_timeout_s = start_timeout_s  # of each start
        self.host = host  # this machine's name in the configuration
        self.folder, self.settings, self.uwsgi, self.root, self.platform = folder, settings, uwsgi, root, platform
        self.control = control  # the node has a control address, at ports["control"]
        self.pool, self.vault, self.names, self.apps = pool or Pool(), Vault(), Names(), Apps()
        self.process: asyncio.subprocess.Process | None = None
        self.processes: list[asyncio.subprocess.Process] = []  # all that were started: none outlives the cluster
        self.ports: dict[str, int] = {}
        self.predecessor_pools: list[Pool] = []  # of earlier processes of the node, with their runs
        self.process_count = 0  # processes of the node since its last start without an upgrade, that one included

    @property
    def stand_ins(self) -> tuple[StandIn, ...]:
        """The stand-ins that listen on TCP ports: all except the resolver."""
        return self.pool, self.vault, self.names, self.apps

    async def __aenter__(self) -> SingleNodeCluster:
        for stand_in in self.stand_ins:
            await stand_in.start()
        self.dns = Dns(self.apps.port)
        await self.dns.start()
        try:
            await self.start()
        except BaseException:  # otherwise the node's process would remain and go on reporting
            await self.__aexit__()
            raise
        return self

    @property
    def config(self) -> Path:
        """The platform's settings file of the node's present process."""
        return self.folder / ("config.json" if self.process_count < 2 else f"config{self.process_count}.json")

    def command(self, is_successor: bool = False) -> list[str]:
        """Write the node's files, and return the command that starts it.

        ``is_successor``: it takes over from a process that serves, and has the same addresses except for control.
        """
        http, uwsgi, control = free_ports(3)
        self.ports = (
            {**self.ports, "control": control} if is_successor else {"http": http, "uwsgi": uwsgi, "control": control}
        )
        http, uwsgi = self.ports["http"], self.ports["uwsgi"]
        self.process_count = self.process_count + 1 if is_successor else 1
        self.folder.mkdir(parents=True, exist_ok=True)
        config = configuration(
            "n1", {"listen": http, "pool": self.pool.port, "naming": self.names.port, "vault": self.vault.port}
        )
        config["settings"] |= self.platform or {}
        if self.control:
            config["control"] = f"127.0.0.1:{control}"
        self.config.write_text(json.dumps(config).replace("127.0.0.1:", f"{self.host}:"))
        command = [sys.executable, "-m", "flintshift"]
        if self.settings is not None or self.uwsgi:
            text = self.settings or ""
            if self.uwsgi:
                text += (
                    f"\nuwsgi:\n  enabled: true\n  listen: 127.0.0.1:{uwsgi}\n  resolver: 127.0.0.1:{self.dns.port}\n"
                )
            (self.folder / "flintshift.yaml").write_text(text)
            command += ["--settings", str(self.folder / "flintshift.yaml")]
        return command

    async def start(
        self, stderr: int | IO[bytes] | None = None, complete_config_after_s: float = 0.0
    ) -> asyncio.subprocess.Process:
        """Start the node, also after a kill. Returns once it serves.

        The second half of its configuration is written ``complete_config_after_s`` after the start of the process.
        """
        self.names.serving.clear()
        self.dns.browse_finished.clear()
        command = self.command()
        config_bytes = self.config.read_bytes()
        if complete_config_after_s:
            self.config.write_bytes(config_bytes[: len(config_bytes) // 2])
        process = self.process = await self._spawn(command, stderr)
        if complete_config_after_s:
            await asyncio.sleep(complete_config_after_s)
            self.config.write_bytes(config_bytes)
        serving = asyncio.ensure_future(self.names.serving.wait())
        ended = asyncio.ensure_future(process.wait())
        try:
            await asyncio.wait({serving, ended}, return_when=asyncio.FIRST_COMPLETED, timeout=self.start_timeout_s)
            if not serving.done():
                raise RuntimeError(f"the node did not serve (exit code {process.returncode})")
            if self.uwsgi:
                await asyncio.wait_for(self.dns.browse_finished.wait(), 10)
        finally:
            serving.cancel()
            ended.cancel()
        return process

    async def _spawn(self, command: list[str], stderr: int | IO[bytes] | None = None) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=self.root or Path.cwd(),
            stderr=stderr,
            env={**os.environ, "LB_CONFIG": str(self.config), "TMPDIR": str(self.folder), **self.environment},
        )
        self.processes.append(process)
        return process

    async def start_successor(self, pool: Pool | None = None) -> asyncio.subprocess.Process:
        """Start a successor of the node's process, with a pool and a control address of its own.

        Returns the older process once the new one is ready. ``process`` is the new one from then on.

        Raises:
            RuntimeError: the new process ended, or was not ready in time.
        """
        assert self.control and self.process is not None
        older, older_pool = self.process, self.pool
        self.predecessor_pools.append(older_pool)
        self.pool = pool or Pool(
            cores=older_pool.size, took_ms=older_pool.took_ms, calling_classes=older_pool.calling_classes
        )
        await self.pool.start()
        self.process = await self._spawn(self.command(is_successor=True))
        for _ in range(1000):
            if self.process.returncode is not None:
                break
            if await self.is_ready():
                return older
            await asyncio.sleep(0.01)
        raise RuntimeError(f"the new process was not ready (exit code {self.process.returncode})")

    async def is_ready(self) -> bool:
        """Return whether the newest process reports at its control address that it is ready."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["control"])
        except OSError:
            return False
        writer.write(b"GET /control/ready HTTP/1.1\r\nHost: n1\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return b" 200 " in status

    async def upgrade(self) -> int:
        """Upgrade the node: a successor takes over. Returns the exit code of the older process."""
        older = await self.start_successor()
        older.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(older.wait(), 10)

    async def kill(self) -> None:
        """Send SIGKILL unless the process has ended, and wait for its end."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def terminate(self) -> int:
        """Send SIGTERM unless the process has ended, and return its exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), 10)

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for stand_in in (*self.stand_ins, *self.predecessor_pools):
            await stand_in.stop()
        self.dns.transport.close()
