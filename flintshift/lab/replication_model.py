"""Simulates the replication of keys among members on a virtual clock and without sockets.

It has the production state machines of registers, proposals and refill, a network that loses, duplicates and reorders
messages, and machines that crash with or without loss of their disk.

The caller chooses each step, so that a property test, an exhaustive walk and a simulation of hundreds of members use
the same model. `World.violations` lists each broken guarantee as soon as it is detected.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from flintshift.core.keys import Stage
from flintshift.interface import Outcome
from flintshift.replication.messages import (
    Action,
    Ask,
    Claim,
    ClaimedByOther,
    Ended,
    Event,
    Finish,
    FollowedKeyEnded,
    Free,
    Granted,
    Key,
    MajorityUnavailable,
    ReachabilityChanged,
    Send,
    Settled,
    TakeOver,
    Tick,
    TookOver,
    Value,
    Vote,
    Voted,
)
from flintshift.replication.placement import Placement
from flintshift.replication.proposals import Proposals, ProposalTiming
from flintshift.replication.refill import FillAsk, Page, Refill, build_page
from flintshift.replication.registers import Entry, HolderBounds, Registers

REPEAT_WINDOW_MS = 30_000.0
Payload = Ask | Vote | Ended | FillAsk | Page


@dataclass(frozen=True, slots=True)
class Message:
    """A message in the network."""

    sender: str  # an identity
    to: str  # a member, or the identity of a process; the message is lost if that process ends
    payload: Payload


@dataclass
class Machine:
    """A member's machine: its disk and its present process."""

    name: str
    store: int
    disk: dict[Key, Entry] = field(default_factory=dict)
    votes: bool = True
    incarnation: int = 0
    up: bool = False
    registers: Registers = field(init=False)
    proposals: Proposals = field(init=False)
    refill: Refill | None = None

    @property
    def identity(self) -> str:
        """The name of its present process."""
        return f"{self.name}#{self.incarnation}"


class World:
    """The machines, the messages between them and the clock.

    ``registers`` and ``proposals`` may be classes with a broken rule, to show that the checks detect it.
    """

    def __init__(
        self,
        halls: dict[str, str],
        replica_count: int = 3,
        seed: int = 1,
        registers: Callable[..., Registers] = Registers,
        window_ms: float = REPEAT_WINDOW_MS,
        proposals: Callable[..., Proposals] = Proposals,
    ) -> None:
        self.now, self.rng, self.window_ms = 0.0, random.Random(seed), window_ms
        self.placement = Placement(halls, replica_count)
        self.new_registers, self.new_proposals = registers, proposals
        self.sent: list[Message] = []
        self.violations: list[str] = []
        # The owner that was granted the key, and the identity of its process.
        self.running: dict[Key, tuple[str, str]] = {}
        self.granted_owners: dict[Key, list[str]] = {}  # owners that were granted the key and didn't free it
        self.results: dict[Key, set[tuple[Outcome, bytes]]] = {}
        self.answers: dict[str, str] = {}  # the answer to each owner
        self.taken_over: list[str] = []  # owners of claims whose runner died, as reported to operators
        self.counts: Counter[str] = Counter()
        self.store_count = 0
        # Ordered pairs: messages from the first member to the second are lost.
        self.cut_links: set[tuple[str, str]] = set()
        self.machines = {name: Machine(name, self._new_store()) for name in self.placement.halls}
        for machine in self.machines.values():
            self._boot(machine)

    def _new_store(self) -> int:
        self.store_count += 1
        return self.store_count

    def _boot(self, machine: Machine) -> None:
        machine.incarnation += 1
        machine.up = True
        machine.registers = self.new_registers(
            machine.name,
            machine.store,
            self.placement,
            HolderBounds(),
            machine.votes,
            0.0 if machine.votes else self.now + self.window_ms,
        )
        for entry in machine.disk.values():
            machine.registers.merge(self.now, entry)
        machine.proposals = self.new_proposals(
            machine.identity, self.placement, self.is_alive, self.rng, ProposalTiming()
        )
        machine.refill = None if machine.votes else Refill(name for name in self.machines if name != machine.name)
        for other in self.machines.values():
            if other.up:
                self._set_reachable(machine, other, True)
                if other is not machine:
                    self._set_reachable(other, machine, True)

    def _set_reachable(self, machine: Machine, other: Machine, up: bool) -> None:
        if not up and machine.refill is not None:
            machine.refill.handle_link_lost(other.name)
        self._handle_event(machine, ReachabilityChanged(other.name, up, other.registers.store if up else 0))

    def is_alive(self, identity: str) -> bool:
        """Return whether this process runs."""
        return any(machine.up and machine.identity == identity for machine in self.machines.values())

    # The steps of a scenario.

    def claim(self, name: str, key: Key, owner: str, may_be_repeat: bool = False) -> None:
        """Claim the key for the request ``owner`` at a member."""
        self._handle_event(
            self.machines[name], Claim(key, owner, b"p", self.window_ms, self.now + 1000.0, may_be_repeat)
        )

    def finish(self, key: Key, outcome: Outcome = Outcome.OK) -> bool:
        """End the run that was granted the key. Returns whether its process is still up."""
        owner, identity = self.running.get(key, ("", ""))
        machine = next((found for found in self.machines.values() if found.up and found.identity == identity), None)
        if machine is None:
            return False
        del self.running[key]
        self._handle_event(
            machine, Finish(key, owner, b"p", self.window_ms, self.now + 1000.0, outcome, owner.encode())
        )
        return True

    def free(self, key: Key) -> bool:
        """Free the key without a run. Returns whether the process that was granted it is still up."""
        owner, identity = self.running.get(key, ("", ""))
        machine = next((found for found in self.machines.values() if found.up and found.identity == identity), None)
        if machine is None:
            return False
        del self.running[key]
        self.granted_owners[key].remove(owner)
        self._handle_event(machine, Free(key, owner))
        return True

    def crash(self, name: str, disk_lost: bool = False) -> None:
        """End a machine's process, and lose its disk if ``disk_lost``."""
        machine = self.machines[name]
        machine.up = False
        if disk_lost:
            machine.disk, machine.votes, machine.store = {}, False, self._new_store()
        for other in self.machines.values():
            if other.up:
                self._set_reachable(other, machine, False)

    def restart(self, name: str) -> None:
        """Start a new process of a machine on its disk."""
        self._boot(self.machines[name])

    def deliver(self, index: int, duplicate: bool = False) -> None:
        """Deliver a message that was sent. ``duplicate``: it stays in the network and is delivered once more."""
        message = self.sent[index] if duplicate else self.sent.pop(index)
        member, sender = message.to.partition("#")[0], message.sender.partition("#")[0]
        machine = self.machines[member]
        if not machine.up or message.to not in (member, machine.identity) or (sender, member) in self.cut_links:
            self._handle_link_lost(message)
            return
        self.counts["delivered"] += 1
        match message.payload:
            case Ask() as ask:
                vote, entry = machine.registers.vote(self.now, ask)
                if entry is not None:
                    machine.disk[entry.key] = entry
                self._send(machine, message.sender, vote)
                for follower in machine.registers.pop_watchers_if_ended(ask.key):
                    self._send(machine, follower, Ended(ask.key))
            case Vote() as vote:
                self._handle_event(machine, Voted(sender, vote))
            case Ended() as ended:
                self._handle_event(machine, ended)
            case FillAsk() as fill_request:
                self._send(machine, message.sender, build_page(self.now, machine.registers, sender, fill_request))
            case Page() as page if machine.refill is not None:
                for entry in machine.refill.receive_page(self.now, machine.registers, sender, page):
                    machine.disk[entry.key] = entry
                machine.store = machine.registers.store
                machine.votes = machine.votes or machine.registers.votes_on_all_keys

    def drop(self, index: int) -> None:
        """Lose a message that was sent, and its link."""
        self._handle_link_lost(self.sent.pop(index))

    def _handle_link_lost(self, message: Message) -> None:
        """Report the loss of a link to stores that are being refilled, as a link loses messages only when it breaks."""
        ends = [identity.partition("#")[0] for identity in (message.sender, message.to)]
        for member, other in (ends, ends[::-1]):
            refill = self.machines[member].refill
            if refill is not None:
                refill.handle_link_lost(other)

    def tick(self, by_ms: float) -> None:
        """Let time pass, and handle the timers of all machines that run."""
        self.now += by_ms
        for machine in self.machines.values():
            if not machine.up:
                continue
            machine.registers.purge(self.now)
            self._handle_event(machine, Tick())
            for key, owner in machine.registers.find_orphaned_claims(self.now, self.is_alive, 400.0):
                if key not in machine.proposals.active:
                    self._handle_event(machine, TakeOver(key, owner))
            if machine.refill is not None:
                others = [other.name for other in self.machines.values() if other.up and other is not machine]
                for name, ask in machine.refill.due_requests(self.now, machine.registers.store, others):
                    self._send(machine, name, ask)

    def settle(self, max_steps: int = 100_000) -> None:
        """Deliver messages and let time pass until no proposal is active and no key is followed."""
        for _ in range(max_steps):
            if self.sent:
                self.deliver(self.rng.randrange(len(self.sent)))
            elif any(
                machine.proposals.active or machine.proposals.followed
                for machine in self.machines.values()
                if machine.up
            ):
                self.tick(50.0)
            else:
                return

    # The actions of the state machines.

    def _send(self, machine: Machine, to: str, payload: Payload) -> None:
        self.counts[type(payload).__name__] += 1
        self.sent.append(Message(machine.identity, to, payload))

    def _handle_event(self, machine: Machine, event: Event) -> None:
        for action in machine.proposals.handle(self.now, event):
            self._perform(machine, action)

    def _perform(self, machine: Machine, action: Action) -> None:
        match action:
            case Send(to, ask):
                self._send(machine, to, ask)
            case Granted(owner):
                key = next(key for key, claimant in machine.proposals.granted_claims.items() if claimant == owner)
                if self.granted_owners.get(key):
                    self.violations.append(f"{key}: {owner} is granted after {self.granted_owners[key]}")
                self.granted_owners.setdefault(key, []).append(owner)
                self.running[key] = owner, machine.identity
                self.answers[owner] = "granted"
            case ClaimedByOther(waiting, key, value):
                for owner in waiting:
                    self.answers[owner] = value.stage.name
                self._record_result(key, value)
            case MajorityUnavailable(owner, may_have_run, _):
                self.answers[owner] = "unsure" if may_have_run else "refused"
                self.counts["no_word"] += 1
            case Settled(key, owner, outcome, result):
                self._record_result(key, Value(Stage.FINISHED, owner, "", b"p", 0.0, outcome, result))
            case FollowedKeyEnded(key, value):
                self._record_result(key, value)
            case TookOver(_, value):
                self.taken_over.append(value.owner)

    def _record_result(self, key: Key, value: Value) -> None:
        if value.stage is Stage.FINISHED and value.outcome is not None:
            reported = self.results.setdefault(key, set())
            reported.add((value.outcome, value.result))
            if len(reported) > 1:
                self.violations.append(f"{key}: reported with {reported}")
        if value.stage is Stage.FREE and value.owner in self.granted_owners.get(key, ()):
            self.violations.append(f"{key}: {value.owner} runs and is reported as free")
