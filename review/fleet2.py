"""A small fleet for the cases of the usage ledger: five nodes in two halls that keep replicas for each other."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from rig2 import ROOT, Node, NotRunError, Record, Rig, UsualCaller, free_ports, healthy, platform_config, until

from flintshift.lab.standins import Names, Pool, Vault
from flintshift.proto import usage_pb2 as pb
from flintshift.usage import documents

HALLS = {"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "ruwi-hall", "n4": "seeb-hall", "n5": "seeb-hall"}
CLUB, CLASS, DEADLINE_MS = "sur-pacers", "standings", 1500.0
PYTHON = str(ROOT / ".venv" / "bin" / "python")


class Fleet:
    """The nodes, started as the deploy file says, and one caller of the node n1."""

    def __init__(self, rig: Rig, record: Record) -> None:
        self.rig, self.record = rig, record
        self.nodes: dict[str, Node] = {}
        self.ports = dict(zip(HALLS, free_ports(len(HALLS)), strict=True))
        self.peer_ports = dict(zip(HALLS, free_ports(len(HALLS)), strict=True))
        self.vault, self.names = Vault(), Names()
        self.caller = UsualCaller(self.ports["n1"], 1, DEADLINE_MS, CLASS, CLUB)
        self.answers: Counter[int] = Counter()  # of n1, by status
        self.asked = 0

    async def start(self, usage: str, take_over: str) -> None:
        """Found the stores of the replicas and start all nodes; ``usage``: the operators' part of that name."""
        await self.rig.stand_in(self.vault)
        await self.rig.stand_in(self.names)
        members = "".join(
            f"    {name}: {{hall: {hall}, address: 127.0.0.1:{self.peer_ports[name]}}}\n"
            for name, hall in HALLS.items()
        )
        for name in HALLS:
            settings = (
                f"log: {{enabled: true, repeats: 0ms}}\n{usage}"
                f"peers:\n  enabled: true\n  listen: 127.0.0.1:{self.peer_ports[name]}\n  members:\n{members}"
                f"copies:\n  enabled: true\n  copies: 3\n  take-over-use: {take_over}\n"
            )
            self.nodes[name] = await self._new_node(name, settings)
            self.command("copies", "found", str(self.folder(name) / "copies"))
            self.rig.add(self.nodes[name])
        await until(self._all_healthy, "all nodes are healthy", 30.0)
        await until(lambda: all(self._follows(name) for name in HALLS), "all ledgers have their replicas", 30.0)

    async def _new_node(self, name: str, settings: str) -> Node:
        # A node is killed with its worker pool, and each start of a node numbers the notices anew.
        pool = await self.rig.stand_in(Pool(cores=4, took_ms={CLASS: 2.0}))
        config = platform_config(
            name, self.ports[name], pool.port, self.names.port, self.vault.port, deadline_ms=DEADLINE_MS
        )
        return Node(config, self.folder(name), settings)

    def folder(self, name: str) -> Path:
        """The disk of a node's machine."""
        return self.rig.folder / name

    def _follows(self, name: str) -> bool:
        return '"usage.copied"' in self.nodes[name].log_text()

    async def _all_healthy(self) -> bool:
        return all([await healthy(port) for port in self.ports.values()])

    def logged(self, event: str, *names: str) -> bool:
        """Whether one of these nodes (none: any) has logged an event."""
        return any(f'"event": "{event}"' in self.nodes[name].log_text() for name in names or HALLS)

    async def restart(self, name: str) -> None:
        """Start a node again on its disk, with a new worker pool."""
        settings = self.nodes[name].settings
        assert settings is not None
        self.nodes[name] = await self._new_node(name, settings)
        self.rig.add(self.nodes[name])
        await until(lambda: healthy(self.ports[name]), f"{name} is healthy again", 30.0)

    async def serve(self, count: int, every_s: float) -> None:
        """Have the caller send requests to n1."""
        for _ in range(count):
            self.asked += 1
            sent = await self.caller.ask(f"{self.asked:016x}")
            if sent.status is None:
                raise NotRunError(f"n1 did not answer: {sent}")
            self.answers[sent.status] += 1
            await asyncio.sleep(every_s)
        self.record.add(f"n1 has answered {self.asked} requests so far, by status: {dict(self.answers)}")

    def command(self, *arguments: str) -> subprocess.CompletedProcess[bytes]:
        """Run a command of the operators' command line.

        Raises:
            NotRunError: it failed.
        """
        command = [PYTHON, "-m", "flintshift.cli", *arguments]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=30, check=False)
        if done.returncode:
            raise NotRunError(f"{' '.join(arguments[:2])}: {done.returncode} {done.stderr.decode()}")
        return done

    async def correct(self, id_: str, period: str, requests: int) -> None:
        """Correct a row of n1's ledger, as an operator does; the command has to accept it."""
        done = await asyncio.to_thread(
            self.command,
            *("usage", "correct", "--folder", str(self.folder("n1") / "usage"), "--id", id_, "--author", "operator"),
            *("--reason", "counted by hand", "--period", period, "--club", CLUB, "--class", CLASS),
            *("--front", "http", "--outcome", "served", "--by", f"requests={requests}"),
        )
        self.record.add(
            f"correction {id_} of {requests:+} requests in {period}: accepted, {done.stdout.decode().strip()}"
        )

    def open_periods(self) -> list[str]:
        """The periods of n1's ledger that are open, as `usage show` lists them for operators."""
        done = self.command("usage", "show", "--folder", str(self.folder("n1") / "usage"), "--format", "json")
        shown = json.loads(done.stdout)
        rows = shown["rows"] if isinstance(shown, dict) else shown
        return sorted({row["period"] for row in rows if row["state"] == "open"})


def billed(folder: Path, node: str = "n1") -> list[tuple[str, pb.UsageDocument]]:
    """The documents of a node that the billing system has."""
    found = [(path.name, documents.parse(path.read_bytes())) for path in sorted(folder.glob("*.usage"))]
    return [(name, document) for name, document in found if document.node == node]


def requests_of(document: pb.UsageDocument) -> int:
    """The number of requests that a document bills."""
    return sum(row.amounts.requests for row in document.rows)


def describe(name: str, document: pb.UsageDocument) -> str:
    """One line of the record for a document."""
    corrections = ", ".join(correction.id for correction in document.corrections)
    return (
        f"billed: {name}, ledger {document.life.hex()[:8]}: {requests_of(document)} requests"
        + (f", {len(document.in_doubt)} in doubt" if document.in_doubt else "")
        + (f", corrections {corrections}" if corrections else "")
    )
