"""Simulates replicated logs on a virtual clock, with the production state machines of writers and replica holders.

The network loses, duplicates and cuts messages; machines crash with or without loss of their disk, or pause; logs are
taken over.

A machine writes a ledger whose records are numbers. `LogWorld.violations` lists broken guarantees: a record that a
majority had and that is missing in a ledger that is continued, and a ledger that two processes end differently. A
ledger is *ended* here when a writer that has taken it over learns that a majority has its last record. Only then would
it be exported.
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

TIMING = HolderConfig(takeover_delay_ms=1000.0, stagger_ms=200.0, retry_ms=500.0)
EMPTY_KIND = 99  # of a record without content
TAKEOVER_KIND = 98  # of the first record of a takeover

Records = list[tuple[int, int, bytes]]  # epoch, kind, payload


@dataclass
class Replica:
    """A replica on a disk."""

    promised_epoch: int
    promised_to: str  # identity of the process that has the promise
    complete: bool = False
    finished: bool = False
    records: Records = field(default_factory=list)


@dataclass
class Machine:
    """A member's machine: its disk and its present process."""

    name: str
    incarnation: int = 0  # of its process
    up: bool = False
    paused: bool = False
    own_log: LogId = ("", b"")
    epoch: int = 0
    records: Records = field(default_factory=list)  # of its own ledger, on its disk
    elected_position: logs.LogPosition = logs.NO_POSITION  # also on its disk: the ledger's end at its last election
    elected: bool = True
    disk: dict[LogId, Replica] = field(default_factory=dict)
    writers: dict[LogId, LogWriter] = field(default_factory=dict)
    replicas: LogReplicas = field(init=False)

    @property
    def identity(self) -> str:
        """The name of its present process."""
        return f"{self.name}#{self.incarnation}"


class LogWorld:
    """The machines, the messages between them and the clock.

    ``holder`` and ``writer`` may be classes with a broken rule, to show that the checks detect it.
    """

    def __init__(
        self,
        halls: dict[str, str],
        seed: int,
        holder: Callable[..., LogReplicas] = LogReplicas,
        writer: Callable[..., LogWriter] = LogWriter,
    ) -> None:
        self.now, self.rng = 0.0, random.Random(seed)
        self.placement, self.new_holder, self.new_writer = Placement(halls, 3), holder, writer
        # Sender, receiver, message: from a process, to a member (requests) or to a process (answers).
        self.sent: list[tuple[str, str, object]] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.violations: list[str] = []
        # Records that a majority has, as reported to their writer.
        self.replicated: dict[LogId, dict[int, bytes]] = {}
        self.ended: dict[LogId, Records] = {}
        self.ledger_count = self.record_count = 0
        self.machines = {name: Machine(name) for name in halls}
        for machine in self.machines.values():
            self._boot(machine)

    def _boot(self, machine: Machine) -> None:
        machine.incarnation += 1
        machine.up, machine.paused = True, False
        machine.replicas = self.new_holder(
            machine.name, machine.identity, self.placement.log_holders, self.is_alive, TIMING
        )
        for log, replica in machine.disk.items():
            machine.replicas.restore(
                log,
                replica.promised_epoch,
                replica.promised_to,
                last_position(replica.records),
                replica.complete,
                replica.finished,
            )
        machine.writers = {}
        self._begin_ledger(machine)
        for other in self.machines.values():
            if other is not machine and other.up:
                self._set_reachable(machine, other.name, True)
                self._set_reachable(other, machine.name, True)

    def _begin_ledger(self, machine: Machine) -> None:
        if not machine.records:
            self.ledger_count += 1
            machine.elected_position, machine.elected = logs.NO_POSITION, True
            machine.own_log, machine.epoch = (
                (machine.name, bytes([self.ledger_count // 256, self.ledger_count % 256])),
                1000 * self.ledger_count,
            )
        else:
            machine.epoch = machine.records[-1][0] + 1
        machine.elected_position = last_position(machine.records) if machine.elected else machine.elected_position
        machine.elected, machine.replicas.own_log = False, machine.own_log
        machine.records.append((machine.epoch, EMPTY_KIND, b""))
        others = tuple(name for name in self.placement.log_holders(machine.name) if name != machine.name)
        machine.writers[machine.own_log] = self.new_writer(
            machine.own_log, machine.epoch, last_position(machine.records), others, 1, 100.0, machine.elected_position
        )

    def is_alive(self, identity: str) -> bool:
        """Return whether this process runs and is not paused."""
        return any(
            machine.up and not machine.paused and machine.identity == identity for machine in self.machines.values()
        )

    # The steps of a scenario.

    def write_record(self, name: str) -> None:
        """Let a machine append the next number to its own ledger, if it runs."""
        machine = self.machines[name]
        if machine.up and not machine.paused:
            self.record_count += 1
            self._append(machine, machine.own_log, machine.records, 1, str(self.record_count).encode())

    def crash(self, name: str, disk_lost: bool) -> None:
        """End a machine's process, and lose its disk if ``disk_lost``."""
        machine = self.machines[name]
        machine.up = False
        if disk_lost:
            machine.records, machine.disk, machine.elected = [], {}, True
        for other in self.machines.values():
            if other.up and other is not machine:
                self._set_reachable(other, name, False)

    def restart(self, name: str) -> None:
        """Start a new process of a machine on its disk."""
        self._boot(self.machines[name])

    def deliver(self, index: int, duplicate: bool = False) -> None:
        """Deliver a message that was sent. ``duplicate``: it stays in the network and is delivered once more."""
        sender, to, message = self.sent[index] if duplicate else self.sent.pop(index)
        source, member = sender.partition("#")[0], to.partition("#")[0]
        machine = self.machines[member]
        if not machine.up or (source, member) in self.cut_links or to not in (member, machine.identity):
            return
        if machine.paused:
            self.sent.append((sender, to, message))
        elif isinstance(message, logs.ReplicaStatus):
            writer = machine.writers.get(message.log)
            if writer is not None:
                self._perform_writer_actions(machine, writer, writer.handle_status(self.now, source, message))
            else:
                self._perform_holder_actions(machine, machine.replicas.handle_status(source, message))
        else:
            self._perform_holder_actions(machine, machine.replicas.handle_message(sender, message))  # type: ignore[arg-type]

    def tick(self, by_ms: float) -> None:
        """Let time pass, and handle the timers of all machines that run."""
        self.now += by_ms
        for machine in self.machines.values():
            if machine.up and not machine.paused:
                self._perform_holder_actions(machine, machine.replicas.tick(self.now))
                for writer in list(machine.writers.values()):
                    self._perform_writer_actions(machine, writer, writer.tick(self.now))
                    if self.rng.random() < 0.2:
                        self._perform_writer_actions(machine, writer, writer.rejoin_replicas())

    def settle(self) -> None:
        """Start and connect all machines, deliver all messages, and let time pass."""
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

    # The actions of the state machines.

    def _set_reachable(self, machine: Machine, member: str, up: bool) -> None:
        for writer in list(machine.writers.values()):
            self._perform_writer_actions(machine, writer, writer.set_reachable(member, up))

    def _append(self, machine: Machine, log: LogId, records: Records, kind: int, payload: bytes) -> None:
        writer = machine.writers[log]
        records.append((writer.epoch, kind, payload))
        if log != machine.own_log:
            machine.replicas.table[log].last = last_position(records)
        self._perform_writer_actions(
            machine, writer, writer.handle_written(self.now, len(records), ((kind, payload),), kind == 1)
        )

    def _perform_writer_actions(self, machine: Machine, writer: LogWriter, actions: list[logs.WriterAction]) -> None:
        is_own = writer.log == machine.own_log
        records = machine.records if is_own else machine.disk[writer.log].records
        for action in actions:
            match action:
                case logs.SendTo(member, message):
                    self.sent.append((machine.identity, member, message))
                case logs.SnapshotNeeded(member):
                    self._perform_writer_actions(
                        machine, writer, writer.send_snapshot(member, msgspec.msgpack.encode(records))
                    )
                case logs.Replicated(count) if count <= len(records):
                    self._handle_replicated(machine, writer, records[: int(count)])
                case logs.Elected():
                    machine.elected = True
                case logs.EpochRaised(_, elected_position):
                    machine.elected_position, machine.elected = elected_position, False
                    self._append(machine, writer.log, records, EMPTY_KIND, b"")
                case logs.Fenced() if is_own:
                    machine.records, machine.elected = [], True
                    del machine.writers[writer.log]
                    self._begin_ledger(machine)
                    for other in self.machines.values():
                        if other.up and other is not machine:
                            self._set_reachable(machine, other.name, True)
                case logs.Fenced():
                    machine.writers.pop(writer.log, None)
                    machine.replicas.table[writer.log].writer = ""

    def _handle_replicated(self, machine: Machine, writer: LogWriter, records: Records) -> None:
        known = self.replicated.setdefault(writer.log, {})
        for number, (_, _, payload) in enumerate(records):
            if known.setdefault(number, payload) != payload:
                self.violations.append(
                    f"{writer.log}: record {number} was {known[number]!r} at a majority, and is {payload!r} now"
                )
        missing = [number for number in known if number >= len(records)]
        if writer.log != machine.own_log and len(records) == len(machine.disk[writer.log].records):
            if missing:
                self.violations.append(
                    f"{writer.log}: {machine.identity} ends it without {len(missing)} records that a majority had"
                )
            first_ended = self.ended.setdefault(writer.log, records)
            if [record[1:] for record in first_ended if record[1] == 1] != [
                record[1:] for record in records if record[1] == 1
            ]:
                self.violations.append(f"{writer.log}: two processes end it differently")

    def _perform_holder_actions(self, machine: Machine, actions: list[logs.HolderAction]) -> None:
        for action in actions:
            match action:
                case logs.Promise(log, epoch, promised_to):
                    replica = machine.disk.setdefault(log, Replica(epoch, promised_to))
                    replica.promised_epoch, replica.promised_to = epoch, promised_to
                case logs.WriteRecords(log, epoch, _, records):
                    machine.disk[log].records += [(epoch, *record) for record in records]
                case logs.InstallSnapshot(log, (epoch, _), data):
                    snapshot: list[tuple[int, int, bytes]] = msgspec.msgpack.decode(
                        data, type=list[tuple[int, int, bytes]]
                    )
                    machine.disk[log].records, machine.disk[log].complete = snapshot, True
                case logs.Answer(to, message):
                    self.sent.append((machine.identity, to, message))
                case logs.SendToHolder(member, message):
                    self.sent.append((machine.identity, member, message))
                case logs.TakenOver(log, epoch, last):
                    others = tuple(name for name in self.placement.log_holders(log[0]) if name != machine.name)
                    writer = self.new_writer(log, epoch, last, others, 1, 100.0, None)
                    machine.writers[log] = writer
                    self._append(machine, log, machine.disk[log].records, TAKEOVER_KIND, machine.identity.encode())
                    for other in self.machines.values():
                        if other.up and other is not machine:
                            self._perform_writer_actions(machine, writer, writer.set_reachable(other.name, True))
                case logs.MarkFinished(log):
                    machine.disk[log].finished = True
                case logs.AbandonLog(log) | logs.DeleteReplica(log):
                    del machine.disk[log]


def last_position(records: Records) -> logs.LogPosition:
    """Return the position of the last record."""
    return (records[-1][0], len(records)) if records else logs.NO_POSITION


__all__ = ["LogWorld", "Record"]
