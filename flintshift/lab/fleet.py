"""A test cluster of many members, each a node process with its own worker pool, and a fault proxy on each link.

All stand-ins run in this process, the members in processes of their own. What crosses the sockets is recorded as a
history that `history` checks. A member's machine is its process, its pool and its folder: ``kill`` ends the process,
``lose`` all three.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import resource
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from flintshift.cli.status_client import query_status
from flintshift.lab.callers import http_request, read_reply_with_head, request_fields
from flintshift.lab.faults import FaultProxy
from flintshift.lab.history import (
    CheckResult,
    ConnectionLost,
    Event,
    MemberInterrupted,
    RequestSent,
    ResponseReceived,
    RunStarted,
    check_history,
)
from flintshift.lab.ports import free_ports
from flintshift.lab.standins import Names, Pool, Vault
from flintshift.lab.syscall_faults import Rates, SyscallFaults
from flintshift.replication.store import STATUS_SOCKET
from flintshift.settings.embedded import CLUBS, configuration
from flintshift.usage import documents

KEYED_CLASS = "submit-time"
DEADLINE_MS, WINDOW_MS = 1500.0, 8000.0  # of requests and of repeats, in the embedded settings
START_TIMEOUT_S = 20.0


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000


def usage_settings(folder: Path, period: str = "1h") -> str:
    """Return operators' settings with which members record their use and export it to the fleet's billing folder."""
    return (
        f"usage: {{enabled: true, folder: usage, period: {period}, grace: 0ms, "
        f"export: {{folder: {folder / 'billed'}, backoff: 100ms}}}}\n"
    )


def count_billed_requests(folder: Path) -> dict[str, int]:
    """Return the number of requests in the documents of the billing folder, by member."""
    return read_billed_documents(folder)[0]


def read_billed_documents(folder: Path) -> tuple[dict[str, int], dict[str, list[str]]]:
    """Read all documents of the billing folder. Returns the number of requests and the ids in doubt, both by member."""
    request_counts: Counter[str] = Counter()
    in_doubt: dict[str, list[str]] = {}
    for path in sorted((folder / "billed").glob("*.usage")):
        document = documents.parse(path.read_bytes())
        request_counts[document.node] += sum(row.amounts.requests for row in document.rows)
        in_doubt.setdefault(document.node, []).extend(entry.id.hex() for entry in document.in_doubt)
    return {node: count for node, count in request_counts.items() if count}, in_doubt


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request."""

    status: int
    body: bytes
    retry_after_ms: float | None  # the retry delay of a rejection


class RecordingPool(Pool):
    """A worker pool that records the start of each run in the fleet's history."""

    def __init__(self, member: str, events: list[Event], cores: int, took_ms: dict[str, float]) -> None:
        super().__init__(cores=cores, took_ms=took_ms)
        self.member, self.events = member, events

    def on_run_started(self, rid: str) -> None:
        self.events.append(RunStarted(now_ms(), rid, self.member))


@dataclass
class Member:
    """A member's settings, and its present process and pool."""

    name: str
    hall: str
    home: Path  # its disk
    ports: dict[str, int]
    pool: RecordingPool
    process: asyncio.subprocess.Process | None = None
    incarnation: int = 0  # number of its present process
    clock_offset_ms: float = 0.0
    paused: bool = False
    logs: list[Path] = field(default_factory=list)
    syscall_faults: SyscallFaults | None = None  # of its present process

    @property
    def up(self) -> bool:
        """Whether its process runs; also if it is paused."""
        return self.process is not None and self.process.returncode is None


class Fleet:
    """The members, their links and their stand-ins.

    ``halls`` gives the number of members in each hall. ``copies`` is the text of the operators' ``copies:`` part, as
    lines under that key; None: the members replicate nothing. ``extra_settings`` is added to the operators' settings,
    and ``platform`` to the platform's. ``root`` is the folder that the program is imported from.
    """

    def __init__(
        self,
        folder: Path,
        halls: dict[str, int],
        copies: str | None = None,
        seed: int = 1,
        took_ms: float = 5.0,
        cores: int = 4,
        root: Path | None = None,
        extra_settings: str = "",
        platform: dict[str, Any] | None = None,
        direct: bool = False,
        control: bool = False,
        disk_errors_enabled: bool = False,
        syscall_faults_enabled: bool = False,
    ) -> None:
        self.syscall_faults_enabled = syscall_faults_enabled  # `set_write_failure_rate` can be used
        self.disks_recovered_s = 0.0  # monotonic time at which the disks' failures ended; 0: they had none
        self.write_failure_rate = 0  # of 1,000 writes and syncs of regular files
        self.disk_errors_enabled = disk_errors_enabled  # `set_disk_failing` can be used
        self.members_epoch = 1  # of the list of members
        self.control = control  # members have a control address, and can be upgraded
        self.direct = direct  # members are linked without proxies, for measurements
        self.folder, self.copies, self.root, self.extra_settings, self.platform = (
            folder,
            copies,
            root,
            extra_settings,
            platform,
        )
        self.rng, self.took_ms, self.cores = random.Random(seed), {KEYED_CLASS: took_ms}, cores
        self.events: list[Event] = []
        self.actions: list[tuple[float, str]] = []  # what was done to the fleet and when (ms), for its timeline
        self.vault, self.names = Vault(), Names()
        self.members: dict[str, Member] = {}
        self.request_numbers = itertools.count(1)
        member_halls = [hall for hall, count in halls.items() for _ in range(count)]
        ports = free_ports(3 * len(member_halls) + len(member_halls) * (len(member_halls) - 1))
        for number, hall in enumerate(member_halls, 1):
            name = f"n{number}"
            member_ports = dict(zip(("http", "control", "peer"), (ports.pop() for _ in range(3)), strict=True))
            self.members[name] = Member(name, hall, folder / name, member_ports, self._new_pool(name))
        self.links = {
            (source, target): FaultProxy(ports.pop(), self.members[target].ports["peer"], self.rng.getrandbits(32))
            for source in self.members
            for target in self.members
            if source != target
        }

    def _new_pool(self, name: str) -> RecordingPool:
        return RecordingPool(name, self.events, self.cores, self.took_ms)

    def _stand_ins(self) -> list[Vault | Names | FaultProxy]:
        return [self.vault, self.names, *self.links.values()]

    async def __aenter__(self) -> Fleet:
        (self.folder / "logs").mkdir(parents=True, exist_ok=True)
        try:
            for stand_in in self._stand_ins():
                await stand_in.start()
            await self._start_all()
        except BaseException:  # otherwise what was started would remain
            await self.__aexit__()
            raise
        return self

    async def _start_all(self) -> None:
        """Start all members at once. If one fails to serve, raise its error after all starts have ended."""
        results = await asyncio.gather(
            *(self.start(name, founding=True) for name in self.members), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def __aexit__(self, *_: object) -> None:
        for member in self.members.values():
            if member.up:
                await self._kill_process(member)
            await member.pool.stop()
        for stand_in in self._stand_ins():
            await stand_in.stop()

    # Members.

    def write_files(self, member: Member) -> list[str]:
        """Write a member's files, and return the command that starts it."""
        member.home.mkdir(parents=True, exist_ok=True)
        config = configuration(
            member.name,
            {
                "listen": member.ports["http"],
                "pool": member.pool.port,
                "naming": self.names.port,
                "vault": self.vault.port,
            },
            self.cores,
        )
        config["settings"] |= self.platform or {}
        if self.control:
            config["control"] = f"127.0.0.1:{member.ports['control']}"
        (member.home / "config.json").write_text(json.dumps(config))
        text = "log: {enabled: true, repeats: 0ms}\n" + self.extra_settings
        if self.copies is not None:
            addresses = "".join(
                f"    {to}: {{hall: {peer.hall}, address: 127.0.0.1:"
                f"{peer.ports['peer'] if self.direct or to == member.name else self.links[member.name, to].port}}}\n"
                for to, peer in self.members.items()
            )
            text += (
                f"peers:\n  enabled: true\n  epoch: {self.members_epoch}\n  listen: 127.0.0.1:{member.ports['peer']}\n"
                f"  members:\n{addresses}"
                f"copies:\n  enabled: true\n{self.copies}"
            )
        (member.home / "flintshift.yaml").write_text(text)
        needs_faults = member.clock_offset_ms or self.disk_errors_enabled
        program = (
            ["flintshift.lab.fault_injection", str(member.clock_offset_ms), str(member.home / "failing")]
            if needs_faults
            else ["flintshift"]
        )
        return [sys.executable, "-m", *program, "--settings", str(member.home / "flintshift.yaml")]

    async def start(self, name: str, founding: bool = False) -> None:
        """Start a member, also after its process has ended. Returns once it is listed.

        ``founding``: it is one of the fleet's first members, and its replica store is created.
        """
        member = self.members[name]
        member.incarnation += 1
        if member.incarnation > 1:  # each process numbers its notices from the start
            await member.pool.stop()
            member.pool = self._new_pool(name)
        await member.pool.start()
        if founding and self.copies is not None:
            found_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "flintshift.cli",
                "copies",
                "found",
                str(member.home / "copies"),
                cwd=self.root or Path.cwd(),
                stdout=asyncio.subprocess.DEVNULL,
            )
            if await found_process.wait():
                raise RuntimeError(f"{name}: its replica store could not be created")
        await self._spawn_process(member)
        self.add_to_timeline(f"{name} started, incarnation {member.incarnation}")
        give_up_s = time.monotonic() + START_TIMEOUT_S
        while self.names.listed.get(name) != "yes":
            if not member.up or time.monotonic() > give_up_s:
                raise RuntimeError(f"{name} did not serve: {member.logs[-1].read_text()[-2000:]}")
            await asyncio.sleep(0.02)

    async def _spawn_process(self, member: Member) -> None:
        """Write the member's files, and start its process."""
        name, command = member.name, self.write_files(member)
        self.names.listed.pop(name, None)
        log = self.folder / "logs" / f"{name}.{member.incarnation}.log"
        member.logs.append(log)
        fault_environment: dict[str, str] = {}
        if self.syscall_faults_enabled:
            rates = Rates(disk=self.write_failure_rate)
            member.syscall_faults = SyscallFaults(log.with_suffix(".faults"), rates, self.rng.getrandbits(32))
            fault_environment = member.syscall_faults.environment
        with log.open("wb") as stderr:
            member.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self.root or Path.cwd(),
                stderr=stderr,
                env={**os.environ, "LB_CONFIG": str(member.home / "config.json"), "TMPDIR": str(member.home)}
                | fault_environment,
            )

    async def upgrade(self, name: str, before_stop: Awaitable[None] | None = None) -> int:
        """Upgrade a member as an operator does: a new process takes over, and the older one is stopped.

        Returns the older process's exit code; its pool stays until then. ``before_stop`` is awaited once the new
        process is ready, and before the older one is stopped.
        """
        member = self.members[name]
        older, pool = member.process, member.pool
        assert older is not None and self.control
        member.incarnation += 1
        member.ports["control"] = free_ports(1)[0]
        member.pool = self._new_pool(name)
        await member.pool.start()
        await self._spawn_process(member)
        self.add_to_timeline(f"{name}: a new process started for an upgrade")
        give_up_s = time.monotonic() + START_TIMEOUT_S
        while not await self._is_ready(member):
            if not member.up or time.monotonic() > give_up_s:
                older.kill()  # the fleet itself ends only the newest process of each member
                await older.wait()
                raise RuntimeError(f"{name}: the new process was not ready: {member.logs[-1].read_text()[-2000:]}")
            await asyncio.sleep(0.02)
        if before_stop is not None:
            await before_stop
        older.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(older.wait(), START_TIMEOUT_S)
        await pool.stop()
        self.add_to_timeline(f"{name}: the older process ended with {code}")
        return code

    @staticmethod
    async def _is_ready(member: Member) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", member.ports["control"])
        except OSError:
            return False
        writer.write(b"GET /control/ready HTTP/1.1\r\nHost: n1\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return b" 200 " in status

    async def _kill_process(self, member: Member) -> None:
        assert member.process is not None
        member.process.kill()
        await member.process.wait()
        member.paused = False

    async def kill(self, name: str) -> None:
        """Kill a member's process. The runs in its pool continue."""
        self.events.append(MemberInterrupted(now_ms(), name))
        self.add_to_timeline(f"{name} killed")
        await self._kill_process(self.members[name])

    async def retire(self, *names: str) -> None:
        """Take members off the list as the operators' page says: stop all, change the list, start all that stay."""
        for member in self.members.values():
            assert member.process is not None
            member.process.send_signal(signal.SIGTERM)
        for member in self.members.values():
            assert member.process is not None
            await asyncio.wait_for(member.process.wait(), START_TIMEOUT_S)
        for name in names:
            await self.members.pop(name).pool.stop()
        self.members_epoch += 1
        self.add_to_timeline(f"{', '.join(names)} taken off the list")
        await asyncio.gather(*(self.start(name) for name in self.members))

    async def lose(self, name: str) -> None:
        """Lose a member's machine: its process, its pool and its disk."""
        await self.kill(name)
        member = self.members[name]
        await member.pool.stop()
        shutil.rmtree(member.home)
        self.add_to_timeline(f"{name} lost its disk")

    def pause(self, name: str) -> None:
        """Stop a member's process with SIGSTOP."""
        member = self.members[name]
        assert member.process is not None
        self.events.append(MemberInterrupted(now_ms(), name))
        member.process.send_signal(signal.SIGSTOP)
        member.paused = True
        self.add_to_timeline(f"{name} paused")

    def resume(self, name: str) -> None:
        """Continue a paused member's process."""
        member = self.members[name]
        assert member.process is not None
        self.events.append(MemberInterrupted(now_ms(), name))
        member.process.send_signal(signal.SIGCONT)
        member.paused = False
        self.add_to_timeline(f"{name} resumed")

    def _read_log(self, name: str) -> str:
        """Return the log of the member's present process."""
        return self.members[name].logs[-1].read_text(errors="replace")

    async def wait_until_logged(self, name: str, *texts: str, within_s: float = 30.0) -> None:
        """Wait until the log of the member's process has one of these texts.

        Raises:
            RuntimeError: it had none in time.
        """
        give_up_s = time.monotonic() + within_s
        while not any(text in self._read_log(name) for text in texts):
            if time.monotonic() > give_up_s:
                raise RuntimeError(f"{name} did not log any of {texts} within {within_s} s")
            await asyncio.sleep(0.02)

    async def wait_until_linked(self) -> None:
        """Wait until each member has a link to each other one.

        Raises:
            RuntimeError: links were missing for too long.
        """
        give_up_s = time.monotonic() + START_TIMEOUT_S
        while self.copies is not None and any(
            self._linked_count(name) < len(self.members) - 1 for name in self.members
        ):
            if time.monotonic() > give_up_s:
                raise RuntimeError(f"links are missing: { {name: self._linked_count(name) for name in self.members} }")
            await asyncio.sleep(0.02)

    def _linked_count(self, name: str) -> int:
        """Return the number of members that this one has a link to, by its log."""
        return int(([0, *re.findall(r'"reached": (\d+)', self._read_log(name))])[-1])

    async def wait_until_refilled(self, name: str) -> None:
        """Wait until the member's replica store votes on every key."""
        if self.copies is not None:
            await self.wait_until_logged(name, '"votes": true', '"copies.votes"')

    async def wait_until_billed(self, count: int, within_s: float = 30.0) -> None:
        """Wait until the documents of the billing folder have at least this many requests.

        Raises:
            RuntimeError: they didn't in time.
        """
        give_up_s = time.monotonic() + within_s
        while sum(count_billed_requests(self.folder).values()) < count:
            if time.monotonic() > give_up_s:
                raise RuntimeError(
                    f"{count_billed_requests(self.folder)} were billed within {within_s} s instead of {count}"
                )
            await asyncio.sleep(0.05)

    async def wait_until_ledgers_complete(self, within_s: float = 30.0) -> None:
        """Wait until each usage ledger has all its replicas, and those of dead members are exported.

        Raises:
            RuntimeError: that took too long.
        """
        give_up_s = time.monotonic() + within_s
        while self.copies is not None and self.extra_settings:
            incomplete = [
                f"{name}: {ledger}"
                for name in self.members
                for ledger in await self._ledger_statuses(name)
                if (
                    ledger["role"] == "took over"
                    or ledger.get("writer_dead")
                    or ledger.get("sure") is False
                    or set(ledger.get("copies", {"": "following"}).values()) != {"following"}
                )
            ]
            if not incomplete:
                return
            if time.monotonic() > give_up_s:
                raise RuntimeError(f"ledgers are not complete after {within_s} s: {'; '.join(incomplete)}")
            await asyncio.sleep(0.1)

    async def _ledger_statuses(self, name: str) -> list[dict[str, Any]]:
        """Return what a member reports of its ledgers to operators."""
        try:
            return list(
                json.loads(await asyncio.to_thread(query_status, self.members[name].home / "copies" / STATUS_SOCKET))[
                    "use"
                ]
            )
        except (OSError, ValueError):
            return [{"role": "no status", "copies": {}}]

    def set_disk_full(self, name: str, full: bool = True) -> None:
        """Prevent the files of a member's process from growing, as on a full disk, or allow it again."""
        member = self.members[name]
        assert member.process is not None
        _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.prlimit(member.process.pid, resource.RLIMIT_FSIZE, (1 if full else hard, hard))
        self.add_to_timeline(f"the disk of {name} {'is full' if full else 'accepts writes again'}")

    def set_write_failure_rate(self, rate: int, names: Iterable[str] | None = None) -> None:
        """Let this many of 1,000 writes and syncs of files fail, at random in each process.

        Without ``names`` that holds for the whole fleet, and for processes that start later too.
        """
        if names is None:
            self.write_failure_rate = rate
        for name in self.members if names is None else names:
            faults = self.members[name].syscall_faults
            if faults is not None:
                faults.set_rates(Rates(disk=rate))
        self.add_to_timeline(f"disks of {'all' if names is None else ','.join(names)} fail {rate} of 1,000 writes")

    def set_disk_failing(self, name: str, fails: bool = True) -> None:
        """Let each write and sync of a member's process fail with an input/output error, or succeed again."""
        marker = self.members[name].home / "failing"
        marker.touch() if fails else marker.unlink()
        self.add_to_timeline(f"the disk of {name} {'fails' if fails else 'accepts writes again'}")

    # Links.

    def links_between(self, first: Iterable[str], second: Iterable[str]) -> list[FaultProxy]:
        """Return the links between two groups of members, in both directions."""
        first_group, second_group = set(first), set(second)
        return [
            link
            for (source, target), link in self.links.items()
            if (source in first_group and target in second_group) or (source in second_group and target in first_group)
        ]

    def members_in_hall(self, name: str) -> list[str]:
        """Return the names of the hall's members."""
        return [member.name for member in self.members.values() if member.hall == name]

    def cut(self, first: Iterable[str], second: Iterable[str]) -> None:
        """Cut the links between two groups of members, in both directions."""
        first, second = list(first), list(second)
        for link in self.links_between(first, second):
            link.cut()
        self.add_to_timeline(f"cut between {','.join(first)} and {','.join(second)}")

    def heal(self) -> None:
        """Remove the faults of all links."""
        for link in self.links.values():
            link.heal()
        self.add_to_timeline("all links healed")

    def add_to_timeline(self, text: str) -> None:
        """Record an action on the fleet for its timeline."""
        self.actions.append((now_ms(), text))

    # Callers.

    def new_request_id(self) -> str:
        """Return an id that no other request of this fleet has."""
        return f"{next(self.request_numbers):016x}"

    async def send_request(
        self,
        name: str,
        key: str | None,
        body: bytes = b"12:01.5",
        is_repeat: bool = False,
        class_name: str | None = None,
        within_s: float = 10.0,
    ) -> Answer | None:
        """Send one try to a member over a new connection. None: the connection ended without an answer."""
        rid = self.new_request_id()
        class_name = class_name or (KEYED_CLASS if key is not None else "standings")
        fields = request_fields(rid, next(iter(CLUBS)), class_name, 1, is_repeat)
        if key is not None:
            fields["X-Unique"] = key
        member = self.members[name]
        writer = None
        try:
            async with asyncio.timeout(within_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", member.ports["http"])
                self.events.append(RequestSent(now_ms(), rid, key, body, name))
                writer.write(http_request(class_name, body, fields))
                status, result, head = await read_reply_with_head(reader)
        except (OSError, asyncio.IncompleteReadError):
            self.events.append(ConnectionLost(now_ms(), rid))
            return None
        finally:
            if writer is not None:
                writer.transport.abort()
        self.events.append(ResponseReceived(now_ms(), rid, status, result))
        _, has_delay, rest = head.partition(b"x-wait-ms: ")
        return Answer(status, result, float(rest.split(b"\r\n")[0]) if has_delay else None)

    def check_history(self) -> CheckResult:
        """Check the fleet's history for violations."""
        return check_history(self.events, WINDOW_MS, DEADLINE_MS)

    def tracebacks(self) -> list[str]:
        """Return the last lines of the exceptions in the members' logs."""
        last_lines = []
        for member in self.members.values():
            for log in member.logs:
                _, *traces = log.read_text(errors="replace").split("Traceback (most recent call last)")
                last_lines += [
                    next((line for line in trace.splitlines() if "Error" in line), trace[:200]) for trace in traces
                ]
        return last_lines

    # The timeline.

    def timeline(self) -> list[dict[str, Any]]:
        """Return the events of all members' logs and the actions on the fleet, in order of time."""
        entries: list[dict[str, Any]] = [{"at": at / 1000, "member": "rig", "event": text} for at, text in self.actions]
        for member in self.members.values():
            for log in member.logs:
                for line in log.read_text(errors="replace").splitlines():
                    with contextlib.suppress(ValueError):
                        logged = json.loads(line)
                        if isinstance(logged, dict):
                            entries.append({"member": member.name, "life": log.name, **logged})
        return sorted(entries, key=lambda entry: _timestamp_s(entry))


def _timestamp_s(entry: dict[str, Any]) -> float:
    """Return the Unix time of a timeline entry in seconds; 0 if it has none."""
    if "at" in entry:
        return float(entry["at"])
    from datetime import datetime

    with contextlib.suppress(ValueError, KeyError):
        return datetime.fromisoformat(str(entry["timestamp"])).timestamp()
    return 0.0
