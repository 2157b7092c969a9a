"""Stand-ins for the services that a node talks to, for demos, benchmarks and tests.

The worker pool, the vault and the name service follow the platform's protocol, the app servers the uwsgi protocol, and
the resolver RFC 1035, RFC 2136 and RFC 6763. What a test needs beside the protocol (a plan of runs, a journal, a fault)
is an attribute of the stand-in and off by default.
"""

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
from flintshift.lab.senders import describe_sender
from flintshift.wire import uwsgi

FIRST_BYTES = 80  # of what a connection received; kept for error messages


class Journal:
    """An ordered list of events, such as the messages that a stand-in received. Tests wait for an entry instead of
    sleeping."""

    def __init__(self) -> None:
        self.entries: list[Any] = []
        self.changed = asyncio.Condition()

    async def add(self, entry: Any) -> None:
        """Append an entry, and wake those that wait for one."""
        async with self.changed:
            self.entries.append(entry)
            self.changed.notify_all()

    async def wait_for(self, matches: Callable[[Any], bool], count: int = 1, within_s: float = 10.0) -> list[Any]:
        """Wait until ``count`` entries match ``matches``, and return all that match.

        Raises:
            TimeoutError: there were fewer after ``within_s``.
        """
        async with self.changed:
            await asyncio.wait_for(self.changed.wait_for(lambda: sum(map(matches, self.entries)) >= count), within_s)
        return [entry for entry in self.entries if matches(entry)]


class UnreadableError(Exception):
    """A stand-in received data that is not of its protocol; the text names the sender."""


class RecordingReader:
    """A reader of one connection that keeps the first bytes, so that an error can show what was received."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader, self.first_bytes = reader, b""

    def _record(self, data: bytes) -> bytes:
        if len(self.first_bytes) < FIRST_BYTES:
            self.first_bytes = (self.first_bytes + data)[:FIRST_BYTES]
        return data

    async def readline(self) -> bytes:
        return self._record(await self.reader.readline())

    async def readexactly(self, count: int) -> bytes:
        return self._record(await self.reader.readexactly(count))

    async def readuntil(self, separator: bytes) -> bytes:
        return self._record(await self.reader.readuntil(separator))

    async def read(self) -> bytes:
        return self._record(await self.reader.read())


class StandIn:
    """Base class of the stand-ins that listen on a loopback TCP port.

    ``port`` 0: a port that is reserved for this process. ``keep_journal``: messages that were received and links that
    were closed are recorded; off under load, where the journal would grow too large."""

    def __init__(self, port: int = 0, keep_journal: bool = False) -> None:
        self.port, self.keep_journal, self.links = port, keep_journal, set[asyncio.StreamWriter]()
        self.log, self.closed_links = Journal(), Journal()
        self.server: asyncio.Server | None = None  # None: not started
        self.connections = ConnectionTasks(self._serve)

    async def start(self) -> None:
        # The system may give a port that it chose to another process once it is released, and the node would go on
        # connecting to it.
        self.port = self.port or free_ports(1)[0]
        self.server = await asyncio.start_server(self.connections, "127.0.0.1", self.port)

    def stop_accepting(self) -> None:
        """Accept no new connections; open ones stay open."""
        if self.server is not None:
            self.server.close()

    async def stop(self) -> None:
        """Abort all connections and wait for their tasks, so that none is left when the event loop ends."""
        self.stop_accepting()
        await self.connections.wait_until_accepted()
        self.abort_links()
        await self.connections.wait_until_closed()

    async def change_port(self) -> None:
        """Accept new connections at another port only; open ones stay open."""
        self.stop_accepting()
        self.port = 0
        await self.start()

    def abort_links(self) -> None:
        """Reset all open connections."""
        for writer in list(self.links):
            writer.transport.abort()

    async def on_received(self, entry: Any) -> None:
        """Handle a message that was received; the base class records it in the journal."""
        if self.keep_journal:
            await self.log.add(entry)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(writer)
        recorder = RecordingReader(reader)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self.serve(recorder, writer)
        except Exception as error:
            raise self._unreadable(recorder, writer, error) from error
        finally:
            self.links.discard(writer)
            writer.close()
        if self.keep_journal:
            await self.closed_links.add("link")

    def _unreadable(self, recorder: RecordingReader, writer: asyncio.StreamWriter, error: Exception) -> UnreadableError:
        """The error with the bytes that were received and the sending process, while that can still be identified."""
        _, port = writer.get_extra_info("peername")
        sender = describe_sender(port, self.port)
        return UnreadableError(
            f"{type(self).__name__} at port {self.port}: {error}; {recorder.first_bytes!r} was sent by {sender}"
        )

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends; implemented by each stand-in."""
        raise NotImplementedError


class Pool(StandIn):
    """The worker pool.

    A run takes ``took_ms`` by class (0: it finishes at once); a run of ``calling_classes`` first waits for the reply to
    a call. ``plan`` takes precedence over both: by class, a notice as (kind, more fields) that a run sends, or the
    number of ms that it takes. ``auto_finish`` False: a run of a class without a plan never finishes by itself.
    ``spawned`` counts runs by id, so that a second run of one id is found."""

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
        self.truncated_commands = 0  # commands in the middle of which the node closed the link
        self.drop_replies = False  # replies to runs that wait at a call are ignored
        self.spawned: Counter[str] = Counter()
        self.routes: dict[str, str] = {}  # by id, of runs whose work has not begun
        self.notices: list[dict[str, Any]] = []
        self.notice_numbers = itertools.count(1)
        self.cores, self.core_demand = asyncio.Semaphore(cores), 0  # core_demand: runs on a core or waiting for one
        self.tasks: set[asyncio.Task[None]] = set()
        self.size = cores

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if not line.endswith(b"\n"):  # a truncated command; counted unless this side closed the link
                self.truncated_commands += not writer.transport.is_closing()
                return
            command = json.loads(line)
            await self.on_received(command)
            match command["t"]:
                case "bind":
                    self.send(writer, {"t": "bound", "status": "running", "time_ms": 5.0})
                    for notice in self.notices:
                        if notice["no"] > command["no"]:
                            self.send(writer, notice)
                case "poll":
                    busy = min(1.0, self.core_demand / self.size)
                    self.send(writer, {"t": "polled", "mark": command["mark"], "v": [busy, self.core_demand, 0.1, 3]})
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
        """Called at the first spawn command of each run; for subclasses."""

    def spawn_commands(self) -> list[dict[str, Any]]:
        """The spawn commands in the journal."""
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
        """Wait for a free core, and keep it busy for ``took_ms``."""
        self.core_demand += 1
        try:
            async with self.cores:
                await asyncio.sleep(took_ms / 1000)
        finally:
            self.core_demand -= 1

    def finish(self, rid: str, took_ms: float = 1.0) -> None:
        """Finish a run with the result of its id."""
        result = base64.b64encode(f"result of {rid}\n".encode()).decode()
        self.send_notice(rid, "finished", {"status": "fine", "time_ms": took_ms, "b64": result})

    def send_notice(self, rid: str, kind: str, more: dict[str, Any]) -> None:
        """Send the next notice to all linked nodes, and keep it for those that bind later."""
        notice = {"t": kind, "no": next(self.notice_numbers), "rid": rid, **more}
        self.notices.append(notice)
        del self.notices[:-4000]
        for writer in self.links:
            self.send(writer, notice)

    @staticmethod
    def send(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")


class Vault(StandIn):
    """The vault, which answers each call at once with ``reply``, in which %b is replaced by the call's id.

    ``reply`` None: the link is closed without an answer. A connection in ``links_to_reset`` is reset at its next call,
    which never runs."""

    def __init__(self, port: int = 0, keep_journal: bool = False) -> None:
        super().__init__(port, keep_journal)
        self.reply: bytes | None = b"%b yes 5\r\nreply\r\n"
        self.links_to_reset: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if writer in self.links_to_reset:
                return writer.transport.abort()
            kind, request, *rest = line.decode().split()
            body = (await reader.readexactly(int(rest[1]) + 2))[:-2] if kind == "ask" else b""
            await self.on_received((kind, request, body))
            if kind == "ask" and self.reply is None:
                return None
            if kind == "ask" and self.reply is not None:
                writer.write(self.reply.replace(b"%b", request.encode()))


class Names(StandIn):
    """The name service, which accepts every report.

    ``serving`` is set while the last report says that its node serves; ``listed`` keeps the last report of each node.
    ``unresponsive``: reports are received but not answered."""

    def __init__(self, port: int = 0, keep_journal: bool = False) -> None:
        super().__init__(port, keep_journal)
        self.serving = asyncio.Event()
        self.listed: dict[str, str] = {}
        self.unresponsive = False

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        report = json.loads(await reader.readexactly(size))
        if self.unresponsive:
            await reader.read()
        else:
            writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
            await writer.drain()
        path = head.split(b" ")[1].decode()
        self.listed[path.rpartition("/")[2]] = report["serving"]
        (self.serving.set if report["serving"] == "yes" else self.serving.clear)()
        await self.on_received((path, report["serving"]))


class Apps(StandIn):
    """A uwsgi app server, which answers at once or after ``took_ms`` on a core of ``pool``.

    ``spawned`` counts runs by id."""

    def __init__(self, port: int = 0, pool: Pool | None = None, keep_journal: bool = False) -> None:
        super().__init__(port, keep_journal)
        self.spawned: Counter[str] = Counter()
        self.pool = pool
        self.took_ms = 0.0

    async def serve(self, reader: RecordingReader, writer: asyncio.StreamWriter) -> None:
        size = uwsgi.block_size(await reader.readexactly(4), 65536)
        variables = uwsgi.unpack(await reader.readexactly(size), size)
        body = await reader.readexactly(int(variables["CONTENT_LENGTH"]))
        rid = variables["HTTP_X_JOB_ID"]
        self.spawned[rid] += 1
        await self.on_received({"t": "spawn", "rid": rid, "body": body, "unique": variables.get("HTTP_X_UNIQUE")})
        if self.pool is not None and self.took_ms:
            await self.pool.work(self.took_ms)
        result = f"result of {rid}\n".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(result), result))
        await writer.drain()


class Dns(asyncio.DatagramProtocol):
    """A DNS resolver with one zone in memory, which lists one app server and accepts dynamic updates.

    ``browse_finished`` is set at the first query for an AAAA record, the last of a browse."""

    def __init__(self, app_port: int, domain: str = "desks.example", keep_journal: bool = False) -> None:
        self.keep_journal, self.log = keep_journal, Journal()
        self.records: dict[tuple[Any, Any], list[Any]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.browse_finished = asyncio.Event()
        name = f"app1._uwsgi._tcp.{domain}."
        for owner, kind, text in (
            (f"_uwsgi._tcp.{domain}.", "PTR", name),
            (name, "SRV", f"0 0 {app_port} app1.{domain}."),
            (name, "TXT", '"txtvers=1"'),
            (f"app1.{domain}.", "A", "127.0.0.1"),
        ):
            self.add_record(owner, kind, text)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.port = free_ports(1)[0]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", self.port))

    def add_record(self, name: str, kind: str, text: str) -> None:
        """Add a resource record to the zone."""
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
