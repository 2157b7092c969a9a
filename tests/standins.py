"""Callers that send exactly the bytes that a test gives them, and the harness that starts the program among stand-ins.

The stand-ins (`flintshift.lab.standins`) keep a log of what they receive.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from flintshift.lab.ports import free_ports
from flintshift.lab.standins import Apps, Dns, Names, Pool, Vault
from flintshift.wire import uwsgi

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "classes": [
        {"name": "race-results", "onTimeMs": 900.0, "deadlineMs": 1500.0, "worth": 1.0, "effect": "safe"},
        {
            "name": "submit-time",
            "onTimeMs": 900.0,
            "deadlineMs": 1500.0,
            "worth": 1.0,
            "effect": "keyed",
            "lateWorth": 0.2,
            "repeatWindowMs": 8000.0,
        },
    ],
    "familyInfo": {
        "nCores": 2,
        "ramKb": 40000.0,
        "runFactor": 8.0,
        "callsByClass": [True, True],
        "classSkipWorth": [0.5, 0.0],
        "callShare": 50.0,
        "callsOverMs": 5000.0,
        "entryKb": 1.0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "idleMs": 30000.0,
        "deepChecks": True,
        "upstreams": 2,
        "halt": "none",
        "say": "threshold",
        "lingerMs": 10.0,
    },
    "rules": {"fallMultiple": 5.0, "drainGraceMs": 300.0},
    "limits": {"retryAfter": True, "maxRetryAfterMs": 1000.0},
    "clientHabits": {"marksRetry": True},
    "tenants": [{"name": "muscat-striders", "quotaPerS": 1000.0}, {"name": "sur-pacers", "quotaPerS": 50.0}],
    "groupSize": 1,
}


request_numbers = itertools.count(1)


def scripted_pool():
    """A worker pool whose runs end only as a test plans it."""
    return Pool(keep_journal=True, auto_finish=False)


def request_fields(class_name="submit-time", **changes):
    """The header fields of a request; a change to None omits a field."""
    fields = {
        "X-Job-Id": f"{next(request_numbers):016x}",
        "X-Door-Time": str(int(time.time() * 1000)),
        "X-Sender": "1",
        "X-Team": "muscat-striders",
        "X-Ram-Kb": "20.5",
        "X-Precedence": "0.5",
        **changes,
    }
    if class_name == "submit-time" and "X-Unique" not in changes:
        fields["X-Unique"] = f"key{next(request_numbers)}"
    return {name: value for name, value in fields.items() if value is not None}


def http_bytes(class_name, body, fields, method="POST", path=None):
    """A request over HTTP/1.1."""
    lines = [
        f"{method} {path or '/call/' + class_name} HTTP/1.1",
        "Host: api.internal",
        *(f"{name}: {value}" for name, value in {"Content-Length": len(body), **fields}.items()),
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


def uwsgi_bytes(class_name, body, fields, method="POST", path=None):
    """A request over uwsgi."""
    variables = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path or f"/call/{class_name}",
        "CONTENT_LENGTH": str(len(body)),
        **{"HTTP_" + name.upper().replace("-", "_"): value for name, value in fields.items()},
    }
    return uwsgi.pack(variables.items()) + body


REQUEST_BYTES = {"http": http_bytes, "uwsgi": uwsgi_bytes}


@dataclass
class Reply:
    """An answer as a caller reads it, with its headers in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """One connection to a front or a control port."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def send(self, data):
        self.writer.write(data)

    async def reply(self):
        """Read one answer."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 10)
        status_line, *lines = head.decode().split("\r\n")[:-2]
        headers = dict(line.lower().split(": ", 1) for line in lines)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return Reply(int(status_line.split(" ")[1]), headers, body)

    async def is_closed(self):
        """Wait until the node closes the connection; False if it sends anything more."""
        try:
            return await asyncio.wait_for(self.reader.read(), 10) == b""
        except ConnectionResetError:
            return True


async def control_call(port, method, path):
    """Send a request to a control port; returns the status and the single line of the answer."""
    caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
    caller.send(f"{method} {path} HTTP/1.1\r\nHost: n3\r\n\r\n".encode())
    reply = await caller.reply()
    caller.writer.close()
    return reply.status, reply.body.decode().strip()


def platform_file(http, pool, vault, names, settings, control=None, stop_ms=3000.0, sockets=1024):
    """The text of the platform's configuration file, with these ports and stand-ins."""
    ports = {"listen": http, "control": control, "pool": pool.port, "vault": vault.port, "naming": names.port}
    return json.dumps(
        {
            **{name: f"127.0.0.1:{port}" for name, port in ports.items() if port},
            "name": "n3",
            "seed": "8c1f30d27a5be964",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings,
        }
    )


@dataclass
class NodeHarness:
    """The program, started as a process among its stand-ins."""

    folder: Path
    settings: dict = field(default_factory=lambda: SETTINGS)
    stop_ms: float = 3000.0
    extra_settings: str = ""  # further lines of the operators' file
    with_control: bool = False  # the node listens on a control port
    start_timeout_s: float = 10.0  # until the node serves
    sockets: int = 1024  # descriptors of the node

    async def __aenter__(self):
        self.pool, self.vault, self.names = scripted_pool(), Vault(keep_journal=True), Names(keep_journal=True)
        self.apps = Apps(pool=self.pool, keep_journal=True)
        for peer in (self.pool, self.vault, self.names, self.apps):
            await peer.start()
        self.dns = Dns(self.apps.port, keep_journal=True)
        await self.dns.start()
        self.ports = dict(zip((*REQUEST_BYTES, "control"), free_ports(3), strict=True))
        self.config, operators_file = self.folder / "config.json", self.folder / "flintshift.yaml"
        self.configure()
        operators_file.write_text(
            "\n".join(
                (
                    "uwsgi:",
                    "  enabled: true",
                    f"  listen: 127.0.0.1:{self.ports['uwsgi']}",
                    f"  resolver: 127.0.0.1:{self.dns.port}",
                    "  domain: desks.example",
                    self.extra_settings,
                )
            )
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flintshift",
            "--settings",
            str(operators_file),
            cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(self.config)},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            await self._until_served()
        except BaseException:  # nobody else would end the node, which would go on reporting
            await self.__aexit__()
            raise
        return self

    async def _until_served(self):
        await self.names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"), within_s=self.start_timeout_s)
        await self.dns.log.wait_for(lambda entry: entry[0] == "update", within_s=self.start_timeout_s)
        last_query = "query", "app1.desks.example. IN AAAA"
        await self.dns.log.wait_for(lambda entry: entry == last_query, within_s=self.start_timeout_s)

    def configure(self):
        """Write the platform's configuration file."""
        self.config.write_text(
            platform_file(
                self.ports["http"],
                self.pool,
                self.vault,
                self.names,
                self.settings,
                self.ports["control"] if self.with_control else None,
                self.stop_ms,
                self.sockets,
            )
        )

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for peer in (self.pool, self.vault, self.names, self.apps):
            await peer.stop()
        self.dns.transport.close()

    async def connect(self, front):
        """A caller connected to this front."""
        return Caller(*await asyncio.open_connection("127.0.0.1", self.ports[front]))

    async def ask(self, front, class_name="submit-time", body=b"12:01.5", fields=None, **more):
        """Send one request on a connection of its own; returns the answer."""
        caller = await self.connect(front)
        caller.send(REQUEST_BYTES[front](class_name, body, fields or request_fields(class_name), **more))
        reply = await caller.reply()
        caller.writer.close()
        return reply

    async def call(self, method, path):
        """Send a request to the control port."""
        return await control_call(self.ports["control"], method, path)

    async def counters(self):
        """The counters that the node prints at a signal."""
        self.process.send_signal(signal.SIGUSR1)
        return Counter(json.loads(await asyncio.wait_for(self.process.stderr.readline(), 10))["counters"])

    async def leave(self):
        """Send the notice to stop; returns once the node has withdrawn from the name service."""
        self.process.send_signal(signal.SIGTERM)
        await self.names.log.wait_for(lambda entry: entry[1] == "no")

    def runs(self):
        """All runs that the worker pool and the app server received."""
        return self.pool.spawn_commands() + self.apps.log.entries
