"""Stand-ins for the worker pool, the vault and the name service, from the platform's protocol; for app servers from
the uwsgi protocol and for a resolver from RFC 1035, RFC 2136 and RFC 6763. For demos, benchmarks and all tests: what a
test wants of them beside the protocol (a script, a journal, a fault) is an attribute here, and off at first."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import dns.flags
import dns.message
import dns.opcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from flintshift.lab.connection_tasks import ConnectionTasks
from flintshift.lab.ports import free_ports
from flintshift.lab.senders import sender
from flintshift.wire import uwsgi

FIRST_BYTES = 80  # kept of what a connection brought


class Journal:
    """What a stand-in was told, in order. Tests wait for an entry, not for time to pass."""

    def __init__(self) -> None:
        self.entries: list[Any] = []
        self.changed = asyncio.Condition()

    async def add(self, entry: Any) -> None:
        async with self.changed:
            self.entries.append(entry)
            self.changed.notify_all()

    async def wait_for(self, wanted: Callable[[Any], bool], count: int = 1, within_s: float = 10.0) -> list[Any]:
        """The entries that are wanted, once there are so many.

        Raises:
            TimeoutError: there were not in time.
        """
        async with self.changed:
            await asyncio.wait_for(self.changed.wait_for(lambda: sum(map(wanted, self.entries)) >= count), within_s)
        return [entry for entry in self.entries if wanted(entry)]


class UnreadableError(Exception):
    """A stand-in was sent what its protocol does not know; the text tells by whom."""


class RecordingReader:
    """What a stand-in reads of one connection, with its first bytes kept for whoever must find out who sent them."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader, self.first = reader, b""

    def _heard(self, data: bytes) -> bytes:
        if len(self.first) < FIRST_BYTES:
            self.first = (self.first + data)[:FIRST_BYTES]
        return data

    async def readline(self) -> bytes:
        return self._heard(await self.reader.readline())

    async def readexactly(self, count: int) -> bytes:
        return self._heard(await self.reader.readexactly(count))

    async def readuntil(self, separator: bytes) -> bytes:
        return self._heard(await self.reader.readuntil(separator))

    async def read(self) -> bytes:
        return self._heard(await self.reader.read())


class StandIn:
    """A TCP stand-in on a loopback port; 0: on one that no other process is given. ``keep_journal``: it keeps a
    journal of what it was sent and of links that ended; off for loads, which would fill it."""

    def __init__(self, port: int = 0, keep_journal: bool = False) -> None:
        self.port, self.keep_journal, self.links = port, keep_journal, set[asyncio.StreamWriter]()
        self.log, self.closed_links = Journal(), Journal()
        self.server: asyncio.Server | None = None  # until it is started
        self.connections = ConnectionTasks(self._serve)

    async def start(self) -> None:
        # A port of the system's choice is given to another process once this one has left it, and the node goes on
        # linking to it there.
        self.port = self.port or free_ports(1)[0]
        self.server = await asyncio.start_server(self.connections, "127.0.0.1", self.port)

    def leave_port(self) -> None:
        """Take nothing new; what is open stays open."""
        if self.server is not None:
            self.server.close()

    async def stop(self) -> None:
        """End all connections, and return once nothing of them is left for the end of the event loop."""
        self.leave_port()
        await self.connections.opened()
        self.abort_links()
        await self.connections.ended()

    async def change_port(self) -> None:
        """Take what is new at another address alone; what is open stays open."""
        self.leave_port()
        self.port = 0
        await self.start()

    def abort_links(self) -> None:
        for writer in list(self.links):
            writer.transport.abort()

    async def came(self, entry: Any) -> None:
        if self.keep_journal:
            await self.log.add(entry)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(writer)
        heard = RecordingReader(reader)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self.serve(heard, writer)
        except Exception as error:
            raise self._unreadable(heard, writer, error) from error
        finally:
            self.links.discard(writer)
            writer.close()
        if self.keep_journal:
            await self.closed_links.add("link")

    def _unreadable(self, heard: RecordingReader, writer: asyncio.StreamWriter, error: Exception) -> UnreadableError:
        """What came, and who holds the other end, while that can still be found out."""
        _, port = writer.get_extra_info("peername")
        who = sender(port, self.port)
        return UnreadableError(f"{type(self).__name__} at port {self.port}: {error}; {heard.first!r} was sent by {who}")

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Pool(StandIn):
    """The worker pool: a run takes ``took_ms`` by class (0: at once), those in ``calling_classes`` stand at a call
    first.

    ``spawned`` counts runs by id, so that a second one shows. ``plan`` says by class how a run goes on, as (notice,
    more fields) or a number of ms, before all else; ``auto_finish`` False: what no plan names never ends by itself."""

    def __init__(
        self,
        port: int = 0,
        cores: int = 2,
        took_ms: dict[str, float] | None = None,
        calling_classes: frozenset[str] = frozenset(),
        keep_journal: bool = False,
        auto_finish: bool = True,
    ) -> None:
        super().__init__(port, keep_journal)
        self.took_ms, self.calling_classes, self.auto_finish = took_ms or {}, calling_classes, auto_finish
        self.plan: dict[str, float | tuple[str, dict[str, Any]]] = {}
        self.torn = 0  # commands in whose middle the node ended a link
        self.drop_replies = False  # what is sent to runs that stand at a call is lost
        self.spawned: Counter[str] = Counter()
        self.routes: dict[str, str] = {}
        self.notices: list[dict[str, Any]] = []
        self.numbers = itertools.count(1)
        self.cores, self.wanting = asyncio.Semaphore(cores), 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.size = cores

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if not line.endswith(b"\n"):  # the link ended in the middle of a command: by whom?
                self.torn += not writer.transport.is_closing()
                return
            command = json.loads(line)
            await self.came(command)
            match command["t"]:
                case "bind":
                    self.send(writer, {"t": "bound", "status": "running", "time_ms": 5.0})
                    for notice in self.notices:
                        if notice["no"] > command["no"]:
                            self.send(writer, notice)
                case "poll":
                    busy = min(1.0, self.wanting / self.size)
                    self.send(writer, {"t": "polled", "mark": command["mark"], "v": [busy, self.wanting, 0.1, 3]})
                case "verify":
                    self.send(writer, {"t": "verified", "mark": command["mark"], "status": "fine"})
                case "spawn":
                    self._spawn(command["rid"], command["route"])
                case "supply" | "pass":
                    if command["rid"] in self.routes and not self.drop_replies:
                        self._run(command["rid"])

    def _spawn(self, rid: str, route: str) -> None:
        self.spawned[rid] += 1
        if self.spawned[rid] > 1:
            return
        self.on_run_started(rid)
        self.routes[rid] = route
        plan = self.plan.get(route)
        if isinstance(plan, tuple):
            self.send_notice(rid, *plan)
        elif plan is None and route in self.calling_classes:
            self.send_notice(rid, "blocked", {"b64": base64.b64encode(b"call").decode()})
        elif plan is not None or self.auto_finish:
            self._run(rid)

    def on_run_started(self, rid: str) -> None:
        """A run begins."""

    def spawn_commands(self) -> list[dict[str, Any]]:
        """The commands that began a run, by the journal."""
        return [entry for entry in self.log.entries if entry["t"] == "spawn"]

    def _run(self, rid: str) -> None:
        route = self.routes.pop(rid, "")
        plan = self.plan.get(route)
        took_ms = plan if isinstance(plan, int | float) else self.took_ms.get(route, 0.0)
        if not took_ms:
            self.finish(rid)
            return
        task = asyncio.ensure_future(self._work(rid, took_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _work(self, rid: str, took_ms: float) -> None:
        await self.work(took_ms)
        self.finish(rid, took_ms)

    async def work(self, took_ms: float) -> None:
        """Keep one of the cores busy for so long, once there is one."""
        self.wanting += 1
        try:
            async with self.cores:
                await asyncio.sleep(took_ms / 1000)
        finally:
            self.wanting -= 1

    def finish(self, rid: str, took_ms: float = 1.0) -> None:
        result = base64.b64encode(f"result of {rid}\n".encode()).decode()
        self.send_notice(rid, "finished", {"status": "fine", "time_ms": took_ms, "b64": result})

    def send_notice(self, rid: str, kind: str, more: dict[str, Any]) -> None:
        notice = {"t": kind, "no": next(self.numbers), "rid": rid, **more}
        self.notices.append(notice)
        del self.notices[:-4000]
        for writer in self.links:
            self.send(writer, notice)

    @staticmethod
    def send(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")


class Vault(StandIn):
    """The vault: says ``reply`` to each call at once, with the call's id in place of %b; None breaks the link under
    it. Connections in ``links_to_reset`` are reset at their next call, which never runs."""

    def __init__(self, port: int = 0, keep_journal: bool = False) -> None:
        super().__init__(port, keep_journal)
        self.reply: bytes | None = b"%b yes 5\r\nreply\r\n"
        self.links_to_reset: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if writer in self.links_to_reset:
                return writer.transport.abort()
            word, request, *rest = line.decode().split()
            body = (await reader.readexactly(int(rest[1]) + 2))[:-2] if word == "ask" else b""
            await self.came((word, request, body))
            if word == "ask" and self.reply is None:
                return None
            if word == "ask" and self.reply is not None:
                writer.write(self.reply.replace(b"%b", request.encode()))


class Names(StandIn):
    """The name service: takes each report; ``serving`` is set while a node says that it serves, ``listed`` holds the
    last word of each. ``unresponsive``: it takes reports and never answers."""

    def __init__(self, port: int = 0, keep_journal: bool = False) -> None:
        super().__init__(port, keep_journal)
        self.serving = asyncio.Event()
        self.listed: dict[str, str] = {}
        self.unresponsive = False

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        told = json.loads(await reader.readexactly(size))
        if self.unresponsive:
            await reader.read()
        else:
            writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
            await writer.drain()
        path = head.split(b" ")[1].decode()
        self.listed[path.rpartition("/")[2]] = told["serving"]
        (self.serving.set if told["serving"] == "yes" else self.serving.clear)()
        await self.came((path, told["serving"]))


class Apps(StandIn):
    """A uwsgi app server; ``spawned`` counts runs by id. It answers at once, or, on the cores of a worker pool that
    it stands beside, after ``took_ms``.
    """

    def __init__(self, port: int = 0, pool: Pool | None = None, keep_journal: bool = False) -> None:
        super().__init__(port, keep_journal)
        self.spawned: Counter[str] = Counter()
        self.pool = pool
        self.took_ms = 0.0

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        size = uwsgi.block_size(await reader.readexactly(4), 65536)
        variables = uwsgi.unpack(await reader.readexactly(size))
        body = await reader.readexactly(int(variables["CONTENT_LENGTH"]))
        rid = variables["HTTP_X_JOB_ID"]
        self.spawned[rid] += 1
        await self.came({"t": "spawn", "rid": rid, "body": body, "unique": variables.get("HTTP_X_UNIQUE")})
        if self.pool is not None and self.took_ms:
            await self.pool.work(self.took_ms)
        result = f"result of {rid}\n".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(result), result))
        await writer.drain()


class Dns(asyncio.DatagramProtocol):
    """A resolver with one zone in memory, which names one app server and takes updates."""

    def __init__(self, app_port: int, domain: str = "desks.example", keep_journal: bool = False) -> None:
        self.keep_journal, self.log = keep_journal, Journal()
        self.records: dict[tuple[Any, Any], list[Any]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.browse_finished = asyncio.Event()
        name = f"app1._uwsgi._tcp.{domain}."
        for at, kind, text in (
            (f"_uwsgi._tcp.{domain}.", "PTR", name),
            (name, "SRV", f"0 0 {app_port} app1.{domain}."),
            (name, "TXT", '"txtvers=1"'),
            (f"app1.{domain}.", "A", "127.0.0.1"),
        ):
            self.put(at, kind, text)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.port = free_ports(1)[0]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", self.port))

    def put(self, name: str, kind: str, text: str) -> None:
        rrset = dns.rrset.from_text(name, 5, "IN", kind, text)
        self.records.setdefault((rrset.name, rrset.rdtype), []).extend(rrset)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        message = dns.message.from_wire(data)
        reply = dns.message.make_response(message)
        entry: tuple[str, Any]
        if message.opcode() == dns.opcode.UPDATE:
            self._update(message)
            entry = "update", sum(map(len, self.records.values()))
        else:
            question = message.question[0]
            found = self.records.get((question.name, question.rdtype), [])
            if found:
                reply.answer.append(dns.rrset.from_rdata_list(question.name, 5, found))
            if question.rdtype == dns.rdatatype.AAAA:
                self.browse_finished.set()
            entry = "query", question.to_text()
        self.transport.sendto(reply.to_wire(), addr)
        if self.keep_journal:
            task = asyncio.ensure_future(self.log.add(entry))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _update(self, message: Any) -> None:
        for rrset in message.update:
            key = (rrset.name, rrset.rdtype)
            if rrset.deleting == dns.rdataclass.ANY:
                for known in [
                    known
                    for known in self.records
                    if known[0] == rrset.name and rrset.rdtype in (dns.rdatatype.ANY, known[1])
                ]:
                    del self.records[known]
            elif rrset.deleting:
                self.records[key] = [kept for kept in self.records.get(key, []) if kept not in rrset]
            else:
                self.records.setdefault(key, []).extend(rrset)
