"""What the cases share: nodes as processes, callers, and the record of what was sent, answered and run.

The worker pool, the vault and the name service are the project's own stand-ins (``flintshift/lab/standins.py``), run in
the process of the case. Nodes are started with the ``run`` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.standins import Names, Pool, Vault  # noqa: E402

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case


class CouldNotRunError(Exception):
    """The case could not be played; its rule was not tested."""


def free_ports(count: int) -> list[int]:
    """Ports on which nobody listens, below the range from which the system chooses ports itself."""
    found: list[int] = []
    port = 20_000 + (os.getpid() * 61) % 11_000
    while len(found) < count:
        port = port + 1 if port < 31_990 else 20_000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


class Record:
    """Writes what happens to ``record.txt``, each line with the seconds since the begin."""

    def __init__(self, folder: Path) -> None:
        self.file, self.began_s = (folder / "record.txt").open("w"), time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self.began_s:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


class RecordedPool(Pool):
    """A worker pool that records the begin and the end of each run."""

    def __init__(self, node: str, port: int, record: Record, took_ms: dict[str, float], cores: int = 8) -> None:
        super().__init__(port, cores=cores, took_ms=took_ms)
        self.node, self.record = node, record
        self.begun: list[tuple[float, str]] = []  # monotonic time, id

    def on_run_started(self, rid: str) -> None:
        self.begun.append((time.monotonic(), rid))
        self.record(f"run    {self.node} begins {rid}")

    def finish(self, rid: str, took_ms: float = 1.0) -> None:
        self.record(f"run    {self.node} ends {rid}")
        super().finish(rid, took_ms)


class Node:
    """One node: its files and its process."""

    def __init__(self, name: str, folder: Path, record: Record, **addresses: int) -> None:
        self.name, self.folder, self.record, self.addresses = name, folder / name, record, addresses
        self.folder.mkdir(parents=True)
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.log = self.folder / "stderr.log"

    def write_config(self, settings: dict[str, Any], stop_ms: float, memory_mb: int = 192) -> None:
        config = {
            "name": self.name,
            "seed": "8c1f30d27a5be964",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 512},
            "settings": settings,
            **{key: f"127.0.0.1:{port}" for key, port in self.addresses.items() if key != "peer"},
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.rename(self.folder / "config.json")

    async def start(self, operators: str = "") -> None:
        """Start the program with the command of the deploy file; ``operators``: the text of the operators' file."""
        command = RUN
        if operators:
            (self.folder / "flintshift.yaml").write_text(operators)
            command += f" --settings {self.folder / 'flintshift.yaml'}"
        self.starts += 1
        self.log = self.folder / f"stderr.{self.starts}.log"
        tmp = self.folder / f"tmp.{self.starts}"
        tmp.mkdir()
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "LB_NAME": self.name,
                    "LB_LISTEN": f"127.0.0.1:{self.addresses['listen']}",
                    "LB_CONFIG": str(self.folder / "config.json"),
                    "TMPDIR": str(tmp),
                },
            )
        self.record(f"start  {self.name} (process {self.process.pid})")

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"signal {self.name} {number.name}")
        self.process.send_signal(number)

    async def wait(self, within_s: float) -> int:
        """Wait for the end of the process; returns its exit code."""
        assert self.process is not None
        code = await asyncio.wait_for(self.process.wait(), within_s)
        self.record(f"exit   {self.name} with {code}")
        return code

    async def wait_ready(self, within_s: float = 30.0) -> None:
        """Wait until it answers a health check with 200.

        Raises:
            CouldNotRunError: it did not in time.
        """
        give_up_s = time.monotonic() + within_s
        while time.monotonic() < give_up_s and self.alive:
            try:
                async with asyncio.timeout(2):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.addresses["listen"])
                    writer.write(b"GET /ping HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                if b" 200 " in line:
                    self.record(f"ready  {self.name}")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} is not ready: {self.log.read_text(errors='replace')[-1500:]}")


def request_bytes(
    class_name: str, rid: str, body: bytes, key: str | None = None, again: bool = False, team: str = "acme"
) -> bytes:
    """A request of the protocol page."""
    lines = [
        f"POST /call/{class_name} HTTP/1.1",
        "Host: api.internal",
        f"X-Job-Id: {rid}",
        f"X-Door-Time: {int(time.time() * 1000)}",
        "X-Sender: 4",
        f"X-Team: {team}",
        "X-Ram-Kb: 24.5",
        "X-Precedence: 0.6250",
        *([f"X-Unique: {key}"] if key else []),
        *(["X-Again: 1"] if again else []),
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Status, head and body of an answer.

    Raises:
        OSError, asyncio.IncompleteReadError: the connection ended before it was whole.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
    return int(head.split(b" ")[1]), head, await reader.readexactly(size)


async def call(node: Node, data: bytes, rid: str, record: Record, within_s: float) -> tuple[int | None, bytes]:
    """One request on a connection of its own; status None: there was no answer."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.addresses["listen"])
            try:
                record(f"sent   {node.name} {rid}")
                writer.write(data)
                status, _, body = await read_answer(reader)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record(f"no answer to {rid} from {node.name}: {type(error).__name__}")
        return None, b""
    record(f"answer {node.name} {rid} {status} {body[:60]!r}")
    return status, body


async def command_line(*words: str) -> None:
    """Run the operators' command line.

    Raises:
        CouldNotRunError: it failed.
    """
    process = await asyncio.create_subprocess_exec(
        str(ROOT / ".venv" / "bin" / "python"),
        "-m",
        "flintshift.cli",
        *words,
        cwd=ROOT,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    _, error = await process.communicate()
    if process.returncode:
        raise CouldNotRunError(f"flintshift {' '.join(words)}: {error.decode()[-500:]}")


def play(folder: Path, case: Any) -> int:
    """Play a case: ``case(trouble, temporary folder, record, nodes)`` returns the broken rules, as texts."""
    record, nodes = Record(folder), list[Node]()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"begin, trouble={int(trouble)}")
    home = Path(tempfile.mkdtemp(prefix="flintshift-review-"))

    async def run() -> int:
        try:
            async with asyncio.timeout(110):
                broken = await case(trouble, home, record, nodes)
        except Exception as error:  # a fault of the case itself must not look like a broken rule
            record(f"could not run: {type(error).__name__} {error}")
            return NOT_RUN
        finally:
            for node in nodes:
                if node.alive:
                    assert node.process is not None
                    node.process.kill()
                    await node.process.wait()
        for text in broken:
            record(f"BROKEN {text}")
        record(f"end: {len(broken)} broken")
        return BROKEN if broken else HELD

    try:
        code = asyncio.run(run())
    finally:
        shutil.rmtree(home, ignore_errors=True)
    print(f"{folder.name}: {('the rule held', 'the rule was broken', 'the case could not run')[code]}")
    return code


async def start_stand_ins(*stand_ins: Pool | Vault | Names) -> None:
    for stand_in in stand_ins:
        await stand_in.start()


def new_names(port: int) -> Names:
    return Names(port)


def new_vault(port: int) -> Vault:
    return Vault(port)


def settings(classes: list[dict[str, Any]], drain_grace_ms: float, cores: int = 6) -> dict[str, Any]:
    """The platform's settings of a small deployment."""
    return {
        "classes": classes,
        "familyInfo": {
            "nCores": cores,
            "ramKb": 400_000.0,
            "runFactor": 8.0,
            "callsByClass": [False] * len(classes),
            "classSkipWorth": [0.0] * len(classes),
            "callShare": 50.0,
            "callsOverMs": 5000.0,
            "entryKb": 1.0,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "idleMs": 30000.0,
            "deepChecks": False,
            "upstreams": 3,
            "halt": "none",
            "say": "none",
            "lingerMs": 200.0,
        },
        "rules": {"fallMultiple": 5.0, "drainGraceMs": drain_grace_ms},
        "limits": {"retryAfter": True, "maxRetryAfterMs": 1000.0},
        "clientHabits": {"marksRetry": True},
        "tenants": [{"name": "acme", "quotaPerS": 100.0}],
        "groupSize": 3,
    }
