"""Stand-ins for what the node talks to, written from the protocol page and the public specifications
(uwsgi, RFC 1035, RFC 2136, RFC 6763), and the rig that starts the program among them."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import dns.flags
import dns.message
import dns.opcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from flintshift.lab.rig import free_ports
from flintshift.wire import uwsgi

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "classes": [
        {"name": "race-results", "onTimeMs": 900.0, "deadlineMs": 1500.0, "worth": 1.0, "effect": "safe"},
        {"name": "submit-time", "onTimeMs": 900.0, "deadlineMs": 1500.0, "worth": 1.0, "effect": "keyed",
         "lateWorth": 0.2, "repeatWindowMs": 8000.0},
    ],
    "familyInfo": {
        "nCores": 2, "ramKb": 40000.0, "runFactor": 8.0, "callsByClass": [True, True],
        "classSkipWorth": [0.5, 0.0], "callShare": 50.0, "callsOverMs": 5000.0, "entryKb": 1.0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "idleMs": 30000.0, "deepChecks": True,
        "upstreams": 2, "halt": "none", "say": "threshold", "lingerMs": 10.0,
    },
    "rules": {"fallMultiple": 5.0, "drainGraceMs": 300.0},
    "limits": {"retryAfter": True, "maxRetryAfterMs": 1000.0},
    "clientHabits": {"marksRetry": True},
    "tenants": [{"name": "muscat-striders", "quotaPerS": 1000.0}, {"name": "sur-pacers", "quotaPerS": 50.0}],
    "groupSize": 1,
}


class Log:
    """What a stand-in was sent; tests wait for an entry, not for time to pass."""

    def __init__(self):
        self.entries, self.changed = [], asyncio.Condition()

    async def add(self, entry):
        async with self.changed:
            self.entries.append(entry)
            self.changed.notify_all()

    async def until(self, wanted, count=1, within=10):
        async with self.changed:
            await asyncio.wait_for(self.changed.wait_for(
                lambda: sum(map(wanted, self.entries)) >= count), within)
        return [entry for entry in self.entries if wanted(entry)]


class Peer:
    """A TCP stand-in on a loopback port."""

    def __init__(self):
        self.log, self.ended, self.links, self.port = Log(), Log(), set(), 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        self.cut()

    async def move(self):
        """Take what is new at another address alone; what is open stays open."""
        self.server.close()
        self.port = 0
        await self.start()

    def cut(self):
        for writer in list(self.links):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.links.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        self.links.discard(writer)
        writer.close()
        await self.ended.add("link")


class Pool(Peer):
    """The worker pool: `plan` says by class how a run goes on, as (notice, more fields) or a number of ms."""

    def __init__(self):
        super().__init__()
        self.plan, self.notices, self.numbers = {}, [], itertools.count(1)
        self.deaf = False  # what is sent to runs that stand at a call is lost
        self.cores, self.wanting, self.tasks = asyncio.Semaphore(2), 0, set()

    async def serve(self, reader, writer):
        while line := await reader.readline():
            command = json.loads(line)
            await self.log.add(command)
            match command["t"]:
                case "bind":
                    self.say(writer, {"t": "bound", "status": "running", "time_ms": 5.0})
                    for notice in self.notices:
                        if notice["no"] > command["no"]:
                            self.say(writer, notice)
                case "poll":
                    gauges = [min(1.0, self.wanting / 2), self.wanting, 0.1, 3]
                    self.say(writer, {"t": "polled", "mark": command["mark"], "v": gauges})
                case "verify":
                    self.say(writer, {"t": "verified", "mark": command["mark"], "status": "fine"})
                case "spawn":
                    plan = self.plan.get(command["route"])
                    if isinstance(plan, int):
                        task = asyncio.ensure_future(self.work(command["rid"], plan))
                        self.tasks.add(task)
                    elif plan is not None:
                        self.tell(command["rid"], *plan)
                case "supply" | "pass" if not self.deaf:
                    self.finish(command["rid"])

    async def work(self, rid, took_ms):
        self.wanting += 1
        async with self.cores:
            await asyncio.sleep(took_ms / 1000)
        self.wanting -= 1
        self.finish(rid)

    def finish(self, rid, status="fine"):
        result = base64.b64encode(f"result of {rid}\n".encode()).decode()
        self.tell(rid, "finished", {"status": status, "time_ms": 3.0, "b64": result})

    def tell(self, rid, kind, more):
        self.notices.append({"t": kind, "no": next(self.numbers), "rid": rid, **more})
        for writer in self.links:
            self.say(writer, self.notices[-1])

    @staticmethod
    def say(writer, message):
        writer.write(json.dumps(message).encode() + b"\n")

    def spawned(self):
        return [entry for entry in self.log.entries if entry["t"] == "spawn"]


class Vault(Peer):
    """The vault: says `reply` to a call, with the id filled in; None breaks the link under it."""

    reply: bytes | None = b"%b yes 5\r\nreply\r\n"
    forgets = frozenset()  # connections that are reset at their next call, which never runs

    async def serve(self, reader, writer):
        while line := await reader.readline():
            if writer in self.forgets:
                return writer.transport.abort()
            word, request, *rest = line.decode().split()
            body = (await reader.readexactly(int(rest[1]) + 2))[:-2] if word == "ask" else b""
            await self.log.add((word, request, body))
            if word == "ask" and self.reply is None:
                return
            if word == "ask":
                writer.write(self.reply.replace(b"%b", request.encode()))


class Names(Peer):
    mute = False  # takes reports and never answers

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        body = await reader.readexactly(size)
        if not self.mute:
            writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
        await writer.drain()
        if self.mute:
            await reader.read()
        await self.log.add((head.split(b" ")[1].decode(), json.loads(body)["serving"]))


class Apps(Peer):
    """A uwsgi app server on the cores of the pool."""

    def __init__(self, pool):
        super().__init__()
        self.pool, self.took_ms = pool, 0

    async def serve(self, reader, writer):
        size = uwsgi.block_size(await reader.readexactly(4), 65536)
        variables = uwsgi.unpack(await reader.readexactly(size))
        body = await reader.readexactly(int(variables["CONTENT_LENGTH"]))
        rid = variables["HTTP_X_JOB_ID"]
        await self.log.add({"t": "spawn", "rid": rid, "body": body, "unique": variables.get("HTTP_X_UNIQUE")})
        if self.took_ms:
            self.pool.wanting += 1
            async with self.pool.cores:
                await asyncio.sleep(self.took_ms / 1000)
            self.pool.wanting -= 1
        result = f"app result of {rid}\n".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(result), result))
        await writer.drain()


class Dns(asyncio.DatagramProtocol):
    """A resolver with one zone in memory, which takes updates."""

    def __init__(self):
        self.log, self.records, self.tasks = Log(), {}, set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def put(self, name, kind, text):
        rrset = dns.rrset.from_text(name, 5, "IN", kind, text)
        self.records.setdefault((rrset.name, rrset.rdtype), []).extend(rrset)

    def datagram_received(self, data, addr):
        message = dns.message.from_wire(data)
        reply = dns.message.make_response(message)
        if message.opcode() == dns.opcode.UPDATE:
            for rrset in message.update:
                key = (rrset.name, rrset.rdtype)
                if rrset.deleting == dns.rdataclass.ANY:
                    for known in [known for known in self.records if known[0] == rrset.name
                                  and rrset.rdtype in (dns.rdatatype.ANY, known[1])]:
                        del self.records[known]
                elif rrset.deleting:
                    self.records[key] = [kept for kept in self.records.get(key, []) if kept not in rrset]
                else:
                    self.records.setdefault(key, []).extend(rrset)
            entry = ("update", sum(map(len, self.records.values())))
        else:
            question = message.question[0]
            found = self.records.get((question.name, question.rdtype), [])
            if found:
                reply.answer.append(dns.rrset.from_rdata_list(question.name, 5, found))
            entry = ("query", question.to_text())
        self.transport.sendto(reply.to_wire(), addr)
        task = asyncio.ensure_future(self.log.add(entry))
        self.tasks.add(task)


ids = itertools.count(1)


def job(class_name="submit-time", **changes):
    """The fields of a request; a change to None leaves a field out."""
    fields = {"X-Job-Id": f"{next(ids):016x}", "X-Door-Time": str(int(time.time() * 1000)), "X-Sender": "1",
              "X-Team": "muscat-striders", "X-Ram-Kb": "20.5", "X-Precedence": "0.5", **changes}
    if class_name == "submit-time" and "X-Unique" not in changes:
        fields["X-Unique"] = f"key{next(ids)}"
    return {name: value for name, value in fields.items() if value is not None}


def http_bytes(class_name, body, fields, method="POST", path=None):
    lines = [f"{method} {path or '/call/' + class_name} HTTP/1.1", "Host: api.internal",
             *(f"{name}: {value}" for name, value in {"Content-Length": len(body), **fields}.items()), "", ""]
    return "\r\n".join(lines).encode() + body


def uwsgi_bytes(class_name, body, fields, method="POST", path=None):
    variables = {"REQUEST_METHOD": method, "PATH_INFO": path or f"/call/{class_name}",
                 "CONTENT_LENGTH": str(len(body)),
                 **{"HTTP_" + name.upper().replace("-", "_"): value for name, value in fields.items()}}
    return uwsgi.pack(variables.items()) + body


BYTES = {"http": http_bytes, "uwsgi": uwsgi_bytes}


@dataclass
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """One connection to a front."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def send(self, data):
        self.writer.write(data)

    async def reply(self):
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 10)
        first, *lines = head.decode().split("\r\n")[:-2]
        headers = dict(line.lower().split(": ", 1) for line in lines)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return Reply(int(first.split(" ")[1]), headers, body)

    async def ended(self):
        try:
            return await asyncio.wait_for(self.reader.read(), 10) == b""
        except ConnectionResetError:
            return True


async def control_call(port, method, path):
    """A call at a control door: its status and its one line."""
    caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
    caller.send(f"{method} {path} HTTP/1.1\r\nHost: n3\r\n\r\n".encode())
    reply = await caller.reply()
    caller.writer.close()
    return reply.status, reply.body.decode().strip()


def platform_file(http, pool, vault, names, settings, control=None, stop_ms=3000.0):
    at = {"listen": http, "control": control, "pool": pool.port, "vault": vault.port, "naming": names.port}
    return json.dumps({
        **{name: f"127.0.0.1:{port}" for name, port in at.items() if port}, "name": "n3", "seed": "8c1f30d27a5be964",
        "stop_ms": stop_ms, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings})


@dataclass
class Rig:
    """The program among its stand-ins."""

    folder: Path
    settings: dict = field(default_factory=lambda: SETTINGS)
    stop_ms: float = 3000.0
    more_settings: str = ""  # of the operators' file
    control: bool = False  # there is a control door

    async def __aenter__(self):
        self.pool, self.vault, self.names, self.dns = Pool(), Vault(), Names(), Dns()
        self.apps = Apps(self.pool)
        for peer in (self.pool, self.vault, self.names, self.dns, self.apps):
            await peer.start()
        self.dns.put("_uwsgi._tcp.desks.example.", "PTR", "app1._uwsgi._tcp.desks.example.")
        self.dns.put("app1._uwsgi._tcp.desks.example.", "SRV", f"0 0 {self.apps.port} app1.desks.example.")
        self.dns.put("app1._uwsgi._tcp.desks.example.", "TXT", '"txtvers=1"')
        self.dns.put("app1.desks.example.", "A", "127.0.0.1")
        self.ports = dict(zip((*BYTES, "control"), free_ports(3), strict=True))
        self.config, desks = self.folder / "config.json", self.folder / "flintshift.yaml"
        self.configure()
        desks.write_text("\n".join((
            "uwsgi:", "  enabled: true", f"  listen: 127.0.0.1:{self.ports['uwsgi']}",
            f"  resolver: 127.0.0.1:{self.dns.port}", "  domain: desks.example", self.more_settings)))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "flintshift", "--settings", str(desks), cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(self.config)}, stderr=asyncio.subprocess.PIPE)
        await self.names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"))
        await self.dns.log.until(lambda entry: entry[0] == "update")
        await self.dns.log.until(lambda entry: entry == ("query", "app1.desks.example. IN AAAA"))
        return self

    def configure(self):
        self.config.write_text(platform_file(self.ports["http"], self.pool, self.vault, self.names, self.settings,
                                             self.ports["control"] if self.control else None, self.stop_ms))

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for peer in (self.pool, self.vault, self.names, self.apps):
            await peer.stop()
        self.dns.transport.close()

    async def connect(self, front):
        return Caller(*await asyncio.open_connection("127.0.0.1", self.ports[front]))

    async def ask(self, front, class_name="submit-time", body=b"12:01.5", fields=None, **more):
        caller = await self.connect(front)
        caller.send(BYTES[front](class_name, body, fields or job(class_name), **more))
        reply = await caller.reply()
        caller.writer.close()
        return reply

    async def call(self, method, path):
        return await control_call(self.ports["control"], method, path)

    async def counters(self):
        self.process.send_signal(signal.SIGUSR1)
        return Counter(json.loads(await asyncio.wait_for(self.process.stderr.readline(), 10))["counters"])

    async def leave(self):
        self.process.send_signal(signal.SIGTERM)
        await self.names.log.until(lambda entry: entry[1] == "no")

    def runs(self):
        return self.pool.spawned() + self.apps.log.entries
