"""Copied logs on a clock of their own: the production hearts of writers and holders, with a network that loses,
doubles and cuts, machines that die with or without their disk or sleep, and takeovers.

A machine writes a ledger whose records are numbers. `violations` holds what was promised and not kept: a record that
stood at a majority and is not in a ledger that goes on, and a ledger that two processes end in different ways. A ledger is
*ended* here when its writer, having taken it over, sees its last record at a majority: only then would it be exported.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from flintshift.replication import logs
from flintshift.replication.log_holders import HolderConfig, LogReplicas
from flintshift.replication.log_writer import LogWriter
from flintshift.replication.logs import LogId, Record
from flintshift.replication.placement import Placement

PACE = HolderConfig(takeover_delay_ms=1000.0, stagger_ms=200.0, retry_ms=500.0)
NOTHING = 99  # the kind of a record without content
TAKEN = 98  # of the first record of a takeover

Records = list[tuple[int, int, bytes]]  # epoch, kind, payload


@dataclass
class Replica:
    """A copy on a disk."""

    promised: int
    by: str
    complete: bool = False
    finished: bool = False
    records: Records = field(default_factory=list)


@dataclass
class Machine:
    name: str
    life: int = 0  # of its process
    up: bool = False
    paused: bool = False
    own_log: LogId = ("", b"")
    epoch: int = 0
    records: Records = field(default_factory=list)  # of its own ledger, on its disk
    before: logs.LogPosition = logs.NO_POSITION  # beside it: where that stood when it was elected last
    elected: bool = True
    disk: dict[LogId, Replica] = field(default_factory=dict)
    writers: dict[LogId, LogWriter] = field(default_factory=dict)
    heart: LogReplicas = field(init=False)

    @property
    def identity(self) -> str:
        return f"{self.name}#{self.life}"


class LogWorld:
    def __init__(
        self,
        halls: dict[str, str],
        seed: int,
        holder: Callable[..., LogReplicas] = LogReplicas,
        writer: Callable[..., LogWriter] = LogWriter,
    ) -> None:
        self.now, self.draw = 0.0, random.Random(seed)
        self.placement, self.new_holder, self.new_writer = Placement(halls, 3), holder, writer
        self.sent: list[tuple[str, str, object]] = []  # from a process, to a member (asks) or a process (answers)
        self.cut_links: set[tuple[str, str]] = set()
        self.violations: list[str] = []
        # Records that a majority has, as reported to their writer.
        self.replicated: dict[LogId, dict[int, bytes]] = {}
        self.ended: dict[LogId, Records] = {}
        self.lives = self.counted = 0
        self.machines = {name: Machine(name) for name in halls}
        for machine in self.machines.values():
            self._boot(machine)

    def _boot(self, machine: Machine) -> None:
        machine.life += 1
        machine.up, machine.paused = True, False
        machine.heart = self.new_holder(machine.name, machine.identity, self.placement.log_holders, self.alive, PACE)
        for log, copy in machine.disk.items():
            machine.heart.restore(log, copy.promised, copy.by, place(copy.records), copy.complete, copy.finished)
        machine.writers = {}
        self._begin(machine)
        for other in self.machines.values():
            if other is not machine and other.up:
                self._reach(machine, other.name, True)
                self._reach(other, machine.name, True)

    def _begin(self, machine: Machine) -> None:
        if not machine.records:
            self.lives += 1
            machine.before, machine.elected = logs.NO_POSITION, True
            machine.own_log, machine.epoch = (
                (machine.name, bytes([self.lives // 256, self.lives % 256])),
                1000 * self.lives,
            )
        else:
            machine.epoch = machine.records[-1][0] + 1
        machine.before = place(machine.records) if machine.elected else machine.before
        machine.elected, machine.heart.own_log = False, machine.own_log
        machine.records.append((machine.epoch, NOTHING, b""))
        others = tuple(name for name in self.placement.log_holders(machine.name) if name != machine.name)
        machine.writers[machine.own_log] = self.new_writer(
            machine.own_log, machine.epoch, place(machine.records), others, 1, 100.0, machine.before
        )

    def alive(self, identity: str) -> bool:
        return any(one.up and not one.paused and one.identity == identity for one in self.machines.values())

    # Steps.

    def write_record(self, name: str) -> None:
        machine = self.machines[name]
        if machine.up and not machine.paused:
            self.counted += 1
            self._append(machine, machine.own_log, machine.records, 1, str(self.counted).encode())

    def crash(self, name: str, disk_lost: bool) -> None:
        machine = self.machines[name]
        machine.up = False
        if disk_lost:
            machine.records, machine.disk, machine.elected = [], {}, True
        for other in self.machines.values():
            if other.up and other is not machine:
                self._reach(other, name, False)

    def restart(self, name: str) -> None:
        self._boot(self.machines[name])

    def deliver(self, at: int, duplicate: bool = False) -> None:
        sender, to, word = self.sent[at] if duplicate else self.sent.pop(at)
        source, member = sender.partition("#")[0], to.partition("#")[0]
        machine = self.machines[member]
        if not machine.up or (source, member) in self.cut_links or to not in (member, machine.identity):
            return
        if machine.paused:
            self.sent.append((sender, to, word))
        elif isinstance(word, logs.ReplicaStatus):
            writer = machine.writers.get(word.log)
            if writer is not None:
                self._write(machine, writer, writer.handle_status(self.now, source, word))
            else:
                self._hold(machine, machine.heart.handle_status(source, word))
        else:
            self._hold(machine, machine.heart.handle_message(sender, word))  # type: ignore[arg-type]

    def tick(self, by_ms: float) -> None:
        self.now += by_ms
        for machine in self.machines.values():
            if machine.up and not machine.paused:
                self._hold(machine, machine.heart.tick(self.now))
                for writer in list(machine.writers.values()):
                    self._write(machine, writer, writer.tick(self.now))
                    if self.draw.random() < 0.2:
                        self._write(machine, writer, writer.rejoin_replicas())

    def settle(self) -> None:
        """All are up and hear each other; deliver all, and let time pass."""
        self.cut_links.clear()
        for machine in self.machines.values():
            machine.paused = False
            if not machine.up:
                self.restart(machine.name)
        for _ in range(250):
            for _ in range(400):
                if not self.sent:
                    break
                self.deliver(0)
            self.tick(100.0)

    # What the hearts answer.

    def _reach(self, machine: Machine, member: str, up: bool) -> None:
        for writer in list(machine.writers.values()):
            self._write(machine, writer, writer.set_reachable(member, up))

    def _append(self, machine: Machine, log: LogId, records: Records, kind: int, payload: bytes) -> None:
        writer = machine.writers[log]
        records.append((writer.epoch, kind, payload))
        if log != machine.own_log:
            machine.heart.table[log].last = place(records)
        self._write(machine, writer, writer.handle_written(self.now, len(records), ((kind, payload),), kind == 1))

    def _write(self, machine: Machine, writer: LogWriter, actions: list[logs.WriterAction]) -> None:
        own = writer.log == machine.own_log
        records = machine.records if own else machine.disk[writer.log].records
        for action in actions:
            match action:
                case logs.SendTo(member, word):
                    self.sent.append((machine.identity, member, word))
                case logs.SnapshotNeeded(member):
                    self._write(machine, writer, writer.send_snapshot(member, msgspec.msgpack.encode(records)))
                case logs.Replicated(upto) if upto <= len(records):
                    self._now_held(machine, writer, records[: int(upto)])
                case logs.Elected():
                    machine.elected = True
                case logs.EpochRaised(_, before):
                    machine.before, machine.elected = before, False
                    self._append(machine, writer.log, records, NOTHING, b"")
                case logs.Fenced() if own:
                    machine.records, machine.elected = [], True
                    del machine.writers[writer.log]
                    self._begin(machine)
                    for other in self.machines.values():
                        if other.up and other is not machine:
                            self._reach(machine, other.name, True)
                case logs.Fenced():
                    machine.writers.pop(writer.log, None)
                    machine.heart.table[writer.log].writer = ""

    def _now_held(self, machine: Machine, writer: LogWriter, records: Records) -> None:
        known = self.replicated.setdefault(writer.log, {})
        for number, (_, _, payload) in enumerate(records):
            if known.setdefault(number, payload) != payload:
                self.violations.append(f"{writer.log}: record {number} stood as {known[number]!r}, and now {payload!r}")
        missing = [number for number in known if number >= len(records)]
        if writer.log != machine.own_log and len(records) == len(machine.disk[writer.log].records):
            if missing:
                self.violations.append(f"{writer.log}: {machine.identity} ends it without {len(missing)} records")
            first = self.ended.setdefault(writer.log, records)
            if [one[1:] for one in first if one[1] == 1] != [one[1:] for one in records if one[1] == 1]:
                self.violations.append(f"{writer.log}: is ended in two ways")

    def _hold(self, machine: Machine, actions: list[logs.HolderAction]) -> None:
        for action in actions:
            match action:
                case logs.Promise(log, epoch, by):
                    copy = machine.disk.setdefault(log, Replica(epoch, by))
                    copy.promised, copy.by = epoch, by
                case logs.WriteRecords(log, epoch, _, records):
                    machine.disk[log].records += [(epoch, *one) for one in records]
                case logs.InstallSnapshot(log, (epoch, _), data):
                    told: list[tuple[int, int, bytes]] = msgspec.msgpack.decode(data, type=list[tuple[int, int, bytes]])
                    machine.disk[log].records, machine.disk[log].complete = told, True
                case logs.Answer(to, word):
                    self.sent.append((machine.identity, to, word))
                case logs.SendToHolder(member, word):
                    self.sent.append((machine.identity, member, word))
                case logs.TakenOver(log, epoch, last):
                    others = tuple(name for name in self.placement.log_holders(log[0]) if name != machine.name)
                    writer = self.new_writer(log, epoch, last, others, 1, 100.0, None)
                    machine.writers[log] = writer
                    self._append(machine, log, machine.disk[log].records, TAKEN, machine.identity.encode())
                    for other in self.machines.values():
                        if other.up and other is not machine:
                            self._write(machine, writer, writer.set_reachable(other.name, True))
                case logs.MarkFinished(log):
                    machine.disk[log].finished = True
                case logs.AbandonLog(log) | logs.DeleteReplica(log):
                    del machine.disk[log]


def place(records: Records) -> logs.LogPosition:
    return (records[-1][0], len(records)) if records else logs.NO_POSITION


__all__ = ["LogWorld", "Record"]
