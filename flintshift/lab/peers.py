"""Stand-ins for the worker pool, the vault and the name service, from the platform's protocol; for app servers from
the uwsgi protocol and for a resolver from RFC 1035 and RFC 2136. For demos, benchmarks and whole-program tests."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
from collections import Counter
from typing import Any

import dns.flags
import dns.message
import dns.opcode
import dns.rdatatype
import dns.rrset

from flintshift.wire import uwsgi


class Peer:
    """A TCP stand-in on a loopback port of the system's choice."""

    def __init__(self, port: int = 0) -> None:
        self.port, self.links = port, set[asyncio.StreamWriter]()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self.server.close()
        for writer in list(self.links):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            await self.serve(reader, writer)
        self.links.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Pool(Peer):
    """The worker pool: a run takes ``took_ms`` by class (0: at once), those in ``calling`` stand at a call first.

    ``spawned`` counts runs by id, so that a second one shows."""

    def __init__(self, port: int = 0, cores: int = 2, took_ms: dict[str, float] | None = None,
                 calling: frozenset[str] = frozenset()) -> None:
        super().__init__(port)
        self.took_ms, self.calling = took_ms or {}, calling
        self.spawned: Counter[str] = Counter()
        self.routes: dict[str, str] = {}
        self.notices: list[dict[str, Any]] = []
        self.numbers = itertools.count(1)
        self.cores, self.wanting = asyncio.Semaphore(cores), 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.size = cores

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            command = json.loads(line)
            match command["t"]:
                case "bind":
                    self._say(writer, {"t": "bound", "status": "running", "time_ms": 5.0})
                    for notice in self.notices:
                        if notice["no"] > command["no"]:
                            self._say(writer, notice)
                case "poll":
                    busy = min(1.0, self.wanting / self.size)
                    self._say(writer, {"t": "polled", "mark": command["mark"], "v": [busy, self.wanting, 0.1, 3]})
                case "verify":
                    self._say(writer, {"t": "verified", "mark": command["mark"], "status": "fine"})
                case "spawn":
                    rid = command["rid"]
                    self.spawned[rid] += 1
                    if self.spawned[rid] == 1:
                        self.begun(rid)
                        self.routes[rid] = command["route"]
                        if command["route"] in self.calling:
                            self._tell(rid, "blocked", {"b64": base64.b64encode(b"call").decode()})
                        else:
                            self._run(rid)
                case "supply" | "pass":
                    if command["rid"] in self.routes:
                        self._run(command["rid"])

    def begun(self, rid: str) -> None:
        """A run begins."""

    def _run(self, rid: str) -> None:
        took_ms = self.took_ms.get(self.routes.pop(rid, ""), 0.0)
        if not took_ms:
            self._finish(rid, 1.0)
            return
        task = asyncio.ensure_future(self._work(rid, took_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _work(self, rid: str, took_ms: float) -> None:
        await self.work(took_ms)
        self._finish(rid, took_ms)

    async def work(self, took_ms: float) -> None:
        """Keep one of the cores busy for so long, once there is one."""
        self.wanting += 1
        try:
            async with self.cores:
                await asyncio.sleep(took_ms / 1000)
        finally:
            self.wanting -= 1

    def _finish(self, rid: str, took_ms: float) -> None:
        result = base64.b64encode(f"result of {rid}\n".encode()).decode()
        self._tell(rid, "finished", {"status": "fine", "time_ms": took_ms, "b64": result})

    def _tell(self, rid: str, kind: str, more: dict[str, Any]) -> None:
        notice = {"t": kind, "no": next(self.numbers), "rid": rid, **more}
        self.notices.append(notice)
        del self.notices[:-4000]
        for writer in self.links:
            self._say(writer, notice)

    @staticmethod
    def _say(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")


class Vault(Peer):
    """The vault: says yes to each call at once."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            word, request, *rest = line.decode().split()
            if word == "ask":
                await reader.readexactly(int(rest[1]) + 2)
                writer.write(f"{request} yes 5\r\nreply\r\n".encode())


class Names(Peer):
    """The name service: takes each report; ``serving`` is set while a node says that it serves, ``listed`` holds the
    last word of each."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.serving = asyncio.Event()
        self.listed: dict[str, str] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        told = json.loads(await reader.readexactly(size))
        writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
        await writer.drain()
        self.listed[head.split(b" ")[1].decode().rpartition("/")[2]] = told["serving"]
        (self.serving.set if told["serving"] == "yes" else self.serving.clear)()


class Apps(Peer):
    """A uwsgi app server; ``spawned`` counts runs by id. It answers at once, or, on the cores of a worker pool that
    it stands beside, after ``took_ms``.
    """

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.spawned: Counter[str] = Counter()
        self.beside: Pool | None = None
        self.took_ms = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        size = uwsgi.block_size(await reader.readexactly(4), 65536)
        variables = uwsgi.unpack(await reader.readexactly(size))
        await reader.readexactly(int(variables["CONTENT_LENGTH"]))
        rid = variables["HTTP_X_JOB_ID"]
        self.spawned[rid] += 1
        if self.beside is not None:
            await self.beside.work(self.took_ms)
        result = f"result of {rid}\n".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(result), result))
        await writer.drain()


class Dns(asyncio.DatagramProtocol):
    """A resolver that names one app server, and takes updates without keeping them."""

    def __init__(self, app_port: int, domain: str = "desks.example") -> None:
        name = f"app1._uwsgi._tcp.{domain}."
        self.answers = {(rrset.name, rrset.rdtype): rrset for rrset in (
            dns.rrset.from_text(f"_uwsgi._tcp.{domain}.", 5, "IN", "PTR", name),
            dns.rrset.from_text(name, 5, "IN", "SRV", f"0 0 {app_port} app1.{domain}."),
            dns.rrset.from_text(name, 5, "IN", "TXT", '"txtvers=1"'),
            dns.rrset.from_text(f"app1.{domain}.", 5, "IN", "A", "127.0.0.1"))}
        self.browsed = asyncio.Event()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.port: int = self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        message = dns.message.from_wire(data)
        reply = dns.message.make_response(message)
        if message.opcode() == dns.opcode.QUERY:
            question = message.question[0]
            found = self.answers.get((question.name, question.rdtype))
            if found is not None:
                reply.answer.append(found)
            if question.rdtype == dns.rdatatype.AAAA:
                self.browsed.set()
        self.transport.sendto(reply.to_wire(), addr)
