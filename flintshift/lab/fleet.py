"""The rig of many processes: members of one fleet, each a node with a worker pool of its own, callers, and a fault
proxy on every link between two members. What crossed the sockets is kept for the judge (`history`).

All stand-ins run in this process, the members in processes of their own. A member's machine is its process, its pool
and its folder: ``kill`` ends the process, ``lose`` all three.
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
from flintshift.lab.callers import fields_of, http_request, reply_with_head
from flintshift.lab.faults import FaultProxy
from flintshift.lab.history import Answered, Asked, Broke, Died, Event, Ran, Result, judge
from flintshift.lab.peers import Names, Pool, Vault
from flintshift.lab.ports import free_ports
from flintshift.lab.syscall_faults import Rates, SyscallFaults
from flintshift.replication.store import STATUS_SOCKET
from flintshift.settings.embedded import CLUBS, configuration
from flintshift.usage import documents

KEYED = "submit-time"
DUE_MS, WINDOW_MS = 1500.0, 8000.0  # of the embedded settings
START_S = 20.0


def now_ms() -> float:
    return time.time() * 1000


def booking(folder: Path, period: str = "1h") -> str:
    """The operators' part that has each member book use and export it to one billing folder."""
    return (
        f"usage: {{enabled: true, folder: usage, period: {period}, grace: 0ms, "
        f"export: {{folder: {folder / 'billed'}, backoff: 100ms}}}}\n"
    )


def billed(folder: Path) -> dict[str, int]:
    """Requests by member, as the documents in the billing folder add up."""
    return bills(folder)[0]


def bills(folder: Path) -> tuple[dict[str, int], dict[str, list[str]]]:
    """Requests by member, and the ids in doubt, of all documents in the billing folder."""
    counted: Counter[str] = Counter()
    doubted: dict[str, list[str]] = {}
    for path in sorted((folder / "billed").glob("*.usage")):
        document = documents.parse(path.read_bytes())
        counted[document.node] += sum(row.amounts.requests for row in document.rows)
        doubted.setdefault(document.node, []).extend(entry.id.hex() for entry in document.in_doubt)
    return {node: count for node, count in counted.items() if count}, doubted


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes
    wait_ms: float | None  # how long a refusal asks to stay away


class TellingPool(Pool):
    """A worker pool that says what it was told to run."""

    def __init__(self, member: str, events: list[Event], cores: int, took_ms: dict[str, float]) -> None:
        super().__init__(cores=cores, took_ms=took_ms)
        self.member, self.events = member, events

    def begun(self, rid: str) -> None:
        self.events.append(Ran(now_ms(), rid, self.member))


@dataclass
class Member:
    name: str
    hall: str
    home: Path  # its disk
    ports: dict[str, int]
    pool: TellingPool
    process: asyncio.subprocess.Process | None = None
    lives: int = 0
    offset_ms: float = 0.0  # of its clock
    paused: bool = False
    logs: list[Path] = field(default_factory=list)
    faults: SyscallFaults | None = None  # of its present process

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Fleet:
    """``halls`` says how many members stand in each. ``copies`` is the text of the operators' ``copies:`` part, as
    lines under that key; None: members share nothing. ``root`` is the folder that the program is imported from."""

    def __init__(
        self,
        folder: Path,
        halls: dict[str, int],
        copies: str | None = None,
        seed: int = 1,
        took_ms: float = 5.0,
        cores: int = 4,
        root: Path | None = None,
        more: str = "",
        platform: dict[str, Any] | None = None,
        direct: bool = False,
        control: bool = False,
        disks_fail: bool = False,
        disks_refuse: bool = False,
    ) -> None:
        self.disks_refuse = disks_refuse  # by `refuse_writes`
        self.disks_recovered_s = 0.0  # monotonic; 0: they have not refused
        self.refused_writes = 0  # of 1,000 writes and syncs of regular files
        self.disks_fail = disks_fail  # by `fail_disk`
        self.control = control  # members have a control door, and can be upgraded
        self.direct = direct  # members are linked without proxies between, for measurements
        self.folder, self.copies, self.root, self.more, self.platform = folder, copies, root, more, platform
        self.draw, self.took_ms, self.cores = random.Random(seed), {KEYED: took_ms}, cores
        self.events: list[Event] = []
        self.faults: list[tuple[float, str]] = []  # what was done to the fleet, for its story
        self.vault, self.names = Vault(), Names()
        self.members: dict[str, Member] = {}
        self.ids = itertools.count(1)
        placed = [hall for hall, count in halls.items() for _ in range(count)]
        ports = free_ports(3 * len(placed) + len(placed) * (len(placed) - 1))
        for number, hall in enumerate(placed, 1):
            name = f"n{number}"
            own = dict(zip(("http", "control", "peer"), (ports.pop() for _ in range(3)), strict=True))
            self.members[name] = Member(name, hall, folder / name, own, self._pool(name))
        self.links = {
            (one, other): FaultProxy(ports.pop(), self.members[other].ports["peer"], self.draw.getrandbits(32))
            for one in self.members
            for other in self.members
            if one != other
        }

    def _pool(self, name: str) -> TellingPool:
        return TellingPool(name, self.events, self.cores, self.took_ms)

    def _parts(self) -> list[Vault | Names | FaultProxy]:
        return [self.vault, self.names, *self.links.values()]

    async def __aenter__(self) -> Fleet:
        (self.folder / "logs").mkdir(parents=True, exist_ok=True)
        try:
            for part in self._parts():
                await part.start()
            await self._start_all()
        except BaseException:  # nobody else ends what was started
            await self.__aexit__()
            raise
        return self

    async def _start_all(self) -> None:
        """All members at once; where one does not serve, after the others were waited for too."""
        ends = await asyncio.gather(*(self.start(name, founding=True) for name in self.members), return_exceptions=True)
        for end in ends:
            if isinstance(end, BaseException):
                raise end

    async def __aexit__(self, *_: object) -> None:
        for member in self.members.values():
            if member.up:
                await self._end(member)
            await member.pool.stop()
        for part in self._parts():
            await part.stop()

    # Members.

    def write_files(self, member: Member) -> list[str]:
        """The files of a member, and the command that starts it on them."""
        member.home.mkdir(parents=True, exist_ok=True)
        told = configuration(
            member.name,
            {
                "listen": member.ports["http"],
                "pool": member.pool.port,
                "naming": self.names.port,
                "vault": self.vault.port,
            },
            self.cores,
        )
        told["settings"] |= self.platform or {}
        if self.control:
            told["control"] = f"127.0.0.1:{member.ports['control']}"
        (member.home / "config.json").write_text(json.dumps(told))
        text = "log: {enabled: true, repeats: 0ms}\n" + self.more
        if self.copies is not None:
            others = "".join(
                f"    {name}: {{hall: {one.hall}, address: 127.0.0.1:"
                f"{one.ports['peer'] if self.direct or name == member.name else self.links[member.name, name].port}}}\n"
                for name, one in self.members.items()
            )
            text += (
                f"peers:\n  enabled: true\n  listen: 127.0.0.1:{member.ports['peer']}\n  members:\n{others}"
                f"copies:\n  enabled: true\n{self.copies}"
            )
        (member.home / "flintshift.yaml").write_text(text)
        hurt = member.offset_ms or self.disks_fail
        program = (
            ["flintshift.lab.hurt", str(member.offset_ms), str(member.home / "failing")] if hurt else ["flintshift"]
        )
        return [sys.executable, "-m", *program, "--settings", str(member.home / "flintshift.yaml")]

    async def start(self, name: str, founding: bool = False) -> None:
        """Start a member, after a death too; returns once it is listed. ``founding``: the fleet begins with it."""
        member = self.members[name]
        member.lives += 1
        if member.lives > 1:  # notices are numbered anew for each life
            await member.pool.stop()
            member.pool = self._pool(name)
        await member.pool.start()
        if founding and self.copies is not None:
            found = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "flintshift.cli",
                "copies",
                "found",
                str(member.home / "copies"),
                cwd=self.root or Path.cwd(),
                stdout=asyncio.subprocess.DEVNULL,
            )
            if await found.wait():
                raise RuntimeError(f"{name}: its folder of copies could not be founded")
        await self._begin(member)
        self.told(f"{name} started, life {member.lives}")
        until = time.monotonic() + START_S
        while self.names.listed.get(name) != "yes":
            if not member.up or time.monotonic() > until:
                raise RuntimeError(f"{name} did not serve: {member.logs[-1].read_text()[-2000:]}")
            await asyncio.sleep(0.02)

    async def _begin(self, member: Member) -> None:
        """Start its process, on files as they are now."""
        name, command = member.name, self.write_files(member)
        self.names.listed.pop(name, None)
        log = self.folder / "logs" / f"{name}.{member.lives}.log"
        member.logs.append(log)
        environment: dict[str, str] = {}
        if self.disks_refuse:
            rates = Rates(disk=self.refused_writes)
            member.faults = SyscallFaults(log.with_suffix(".faults"), rates, self.draw.getrandbits(32))
            environment = member.faults.environment
        with log.open("wb") as stderr:
            member.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self.root or Path.cwd(),
                stderr=stderr,
                env={**os.environ, "LB_CONFIG": str(member.home / "config.json"), "TMPDIR": str(member.home)}
                | environment,
            )

    async def upgrade(self, name: str, until_done: Awaitable[None] | None = None) -> int:
        """A new process of this member takes over from the one that serves, as an operator does it; returns the older
        one's exit code. The older one's pool stays until then. ``until_done`` is waited for between the two steps."""
        member = self.members[name]
        older, pool = member.process, member.pool
        assert older is not None and self.control
        member.lives += 1
        member.ports["control"] = free_ports(1)[0]
        member.pool = self._pool(name)
        await member.pool.start()
        await self._begin(member)
        self.told(f"{name}: a new process beside the one that serves")
        until = time.monotonic() + START_S
        while not await self._ready(member):
            if not member.up or time.monotonic() > until:
                older.kill()  # the fleet ends the newest process of each member alone
                await older.wait()
                raise RuntimeError(f"{name}: the new process was not ready: {member.logs[-1].read_text()[-2000:]}")
            await asyncio.sleep(0.02)
        if until_done is not None:
            await until_done
        older.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(older.wait(), START_S)
        await pool.stop()
        self.told(f"{name}: the older process ended with {code}")
        return code

    @staticmethod
    async def _ready(member: Member) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", member.ports["control"])
        except OSError:
            return False
        writer.write(b"GET /control/ready HTTP/1.1\r\nHost: n1\r\n\r\n")
        status = await reader.readline()
        writer.close()
        return b" 200 " in status

    async def _end(self, member: Member) -> None:
        assert member.process is not None
        member.process.kill()
        await member.process.wait()
        member.paused = False

    async def kill(self, name: str) -> None:
        """End its process; what runs in its pool runs on."""
        self.events.append(Died(now_ms(), name))
        self.told(f"{name} killed")
        await self._end(self.members[name])

    async def lose(self, name: str) -> None:
        """The machine is gone: its process, what ran there, and its disk."""
        await self.kill(name)
        member = self.members[name]
        await member.pool.stop()
        shutil.rmtree(member.home)
        self.told(f"{name} lost its disk")

    def pause(self, name: str) -> None:
        member = self.members[name]
        assert member.process is not None
        self.events.append(Died(now_ms(), name))
        member.process.send_signal(signal.SIGSTOP)
        member.paused = True
        self.told(f"{name} paused")

    def resume(self, name: str) -> None:
        member = self.members[name]
        assert member.process is not None
        self.events.append(Died(now_ms(), name))
        member.process.send_signal(signal.SIGCONT)
        member.paused = False
        self.told(f"{name} resumed")

    def _log_of(self, name: str) -> str:
        """Of its present life."""
        return self.members[name].logs[-1].read_text(errors="replace")

    async def until_logged(self, name: str, *texts: str, within_s: float = 30.0) -> None:
        """Until its log holds one of these.

        Raises:
            RuntimeError: it did not in time.
        """
        until = time.monotonic() + within_s
        while not any(text in self._log_of(name) for text in texts):
            if time.monotonic() > until:
                raise RuntimeError(f"{name} did not log any of {texts} within {within_s} s")
            await asyncio.sleep(0.02)

    async def until_linked(self) -> None:
        """Until every member has a link to every other."""
        until = time.monotonic() + START_S
        while self.copies is not None and any(self._reached(name) < len(self.members) - 1 for name in self.members):
            if time.monotonic() > until:
                raise RuntimeError(f"links are missing: { {name: self._reached(name) for name in self.members} }")
            await asyncio.sleep(0.02)

    def _reached(self, name: str) -> int:
        """Members that this one has a link to, by its log."""
        return int(([0, *re.findall(r'"reached": (\d+)', self._log_of(name))])[-1])

    async def until_filled(self, name: str) -> None:
        """Until this member's store votes on every key."""
        if self.copies is not None:
            await self.until_logged(name, '"votes": true', '"copies.votes"')

    async def until_billed(self, count: int, within_s: float = 30.0) -> None:
        """Until the billing folder holds so many requests.

        Raises:
            RuntimeError: it did not in time.
        """
        until = time.monotonic() + within_s
        while sum(billed(self.folder).values()) < count:
            if time.monotonic() > until:
                raise RuntimeError(f"{billed(self.folder)} were billed within {within_s} s, and {count} were wanted")
            await asyncio.sleep(0.05)

    async def until_whole(self, within_s: float = 30.0) -> None:
        """Until each ledger of use has all its copies, and those of dead members are exported.

        Raises:
            RuntimeError: it did not in time.
        """
        until = time.monotonic() + within_s
        while self.copies is not None and self.more:
            left = [
                f"{name}: {one}"
                for name in self.members
                for one in await self._ledgers(name)
                if (
                    one["role"] == "took over"
                    or one.get("writer_dead")
                    or one.get("sure") is False
                    or set(one.get("copies", {"": "following"}).values()) != {"following"}
                )
            ]
            if not left:
                return
            if time.monotonic() > until:
                raise RuntimeError(f"ledgers are not whole after {within_s} s: {'; '.join(left)}")
            await asyncio.sleep(0.1)

    async def _ledgers(self, name: str) -> list[dict[str, Any]]:
        """What a member tells of them to its operators."""
        try:
            return list(
                json.loads(await asyncio.to_thread(query_status, self.members[name].home / "copies" / STATUS_SOCKET))[
                    "use"
                ]
            )
        except (OSError, ValueError):
            return [{"role": "tells nothing", "copies": {}}]

    def refuse_disk(self, name: str, refuse: bool = True) -> None:
        """No file of its process grows any more, as on a full disk; or they do again."""
        member = self.members[name]
        assert member.process is not None
        _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
        resource.prlimit(member.process.pid, resource.RLIMIT_FSIZE, (1 if refuse else hard, hard))
        self.told(f"the disk of {name} {'is full' if refuse else 'takes again'}")

    def refuse_writes(self, rate: int, names: Iterable[str] | None = None) -> None:
        """Of 1,000 writes and syncs of files so many fail, each process drawing for itself; of the whole fleet, then of
        processes that start later too, or of these members."""
        if names is None:
            self.refused_writes = rate
        for name in self.members if names is None else names:
            faults = self.members[name].faults
            if faults is not None:
                faults.set(Rates(disk=rate))
        self.told(f"disks of {'all' if names is None else ','.join(names)} refuse {rate} of 1,000 writes")

    def fail_disk(self, name: str, fail: bool = True) -> None:
        """Each write of its process fails with an input/output error; or they are taken again."""
        failing = self.members[name].home / "failing"
        failing.touch() if fail else failing.unlink()
        self.told(f"the disk of {name} {'fails' if fail else 'takes again'}")

    # Links.

    def between(self, one: Iterable[str], other: Iterable[str]) -> list[FaultProxy]:
        """The links between two groups, both ways."""
        left, right = set(one), set(other)
        return [link for (a, b), link in self.links.items() if (a in left and b in right) or (a in right and b in left)]

    def hall(self, name: str) -> list[str]:
        return [one.name for one in self.members.values() if one.hall == name]

    def cut(self, one: Iterable[str], other: Iterable[str]) -> None:
        one, other = list(one), list(other)
        for link in self.between(one, other):
            link.cut()
        self.told(f"cut between {','.join(one)} and {','.join(other)}")

    def heal(self) -> None:
        for link in self.links.values():
            link.heal()
        self.told("all links healed")

    def told(self, text: str) -> None:
        self.faults.append((now_ms(), text))

    # Callers.

    def rid(self) -> str:
        return f"{next(self.ids):016x}"

    async def ask(
        self,
        name: str,
        key: str | None,
        body: bytes = b"12:01.5",
        again: bool = False,
        class_name: str | None = None,
        within_s: float = 10.0,
    ) -> Answer | None:
        """One try at a member over a connection of its own; None: it ended without an answer."""
        rid = self.rid()
        class_name = class_name or (KEYED if key is not None else "standings")
        told = fields_of(rid, next(iter(CLUBS)), class_name, 1, again)
        if key is not None:
            told["X-Unique"] = key
        member = self.members[name]
        writer = None
        try:
            async with asyncio.timeout(within_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", member.ports["http"])
                self.events.append(Asked(now_ms(), rid, key, body, name))
                writer.write(http_request(class_name, body, told))
                status, result, head = await reply_with_head(reader)
        except (OSError, asyncio.IncompleteReadError):
            self.events.append(Broke(now_ms(), rid))
            return None
        finally:
            if writer is not None:
                writer.transport.abort()
        self.events.append(Answered(now_ms(), rid, status, result))
        _, found, rest = head.partition(b"x-wait-ms: ")
        return Answer(status, result, float(rest.split(b"\r\n")[0]) if found else None)

    def judged(self) -> Result:
        return judge(self.events, WINDOW_MS, DUE_MS)

    def tracebacks(self) -> list[str]:
        """The last lines of exceptions that members' processes told of."""
        found = []
        for member in self.members.values():
            for log in member.logs:
                _, *told = log.read_text(errors="replace").split("Traceback (most recent call last)")
                found += [next((line for line in one.splitlines() if "Error" in line), one[:200]) for one in told]
        return found

    # The story.

    def story(self) -> list[dict[str, Any]]:
        """The events of all members' logs and what was done to them, in the order of time."""
        found: list[dict[str, Any]] = [{"at": at / 1000, "member": "rig", "event": text} for at, text in self.faults]
        for member in self.members.values():
            for log in member.logs:
                for line in log.read_text(errors="replace").splitlines():
                    with contextlib.suppress(ValueError):
                        told = json.loads(line)
                        if isinstance(told, dict):
                            found.append({"member": member.name, "life": log.name, **told})
        return sorted(found, key=lambda one: _moment(one))


def _moment(told: dict[str, Any]) -> float:
    if "at" in told:
        return float(told["at"])
    from datetime import datetime

    with contextlib.suppress(ValueError, KeyError):
        return datetime.fromisoformat(str(told["timestamp"])).timestamp()
    return 0.0
