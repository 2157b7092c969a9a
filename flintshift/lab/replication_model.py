"""A fleet's copies on a clock of their own, without sockets: the production hearts of registers, proposals and
refill, with a network that loses, doubles and reorders, and machines that die with or without their disk.

Whoever plays it chooses each step, so that a property test, an exhaustive walk and a simulation of hundreds of
members play the same world. `violations` holds what was promised and not kept, as soon as it happens.
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

KEEP_MS = 30_000.0
Payload = Ask | Vote | Ended | FillAsk | Page


@dataclass(frozen=True, slots=True)
class Message:
    sender: str  # identities
    to: str  # a member, or one process of it: what was sent over a link goes with that process
    payload: Payload


@dataclass
class Machine:
    name: str
    store: int
    disk: dict[Key, Entry] = field(default_factory=dict)
    votes: bool = True
    life: int = 0
    up: bool = False
    registers: Registers = field(init=False)
    proposals: Proposals = field(init=False)
    refill: Refill | None = None

    @property
    def identity(self) -> str:
        return f"{self.name}#{self.life}"


class World:
    """``mutant`` makes a registers' rule wrong, to show that the checks see it."""

    def __init__(
        self,
        halls: dict[str, str],
        copies: int = 3,
        seed: int = 1,
        registers: Callable[..., Registers] = Registers,
        window_ms: float = KEEP_MS,
        proposals: Callable[..., Proposals] = Proposals,
    ) -> None:
        self.now, self.draw, self.window_ms = 0.0, random.Random(seed), window_ms
        self.placement = Placement(halls, copies)
        self.new_registers, self.new_proposals = registers, proposals
        self.sent: list[Message] = []
        self.violations: list[str] = []
        self.running: dict[Key, tuple[str, str]] = {}  # who was granted it: owner, identity
        self.granted_owners: dict[Key, list[str]] = {}  # owners that were granted, and not freed
        self.results: dict[Key, set[tuple[Outcome, bytes]]] = {}
        self.answers: dict[str, str] = {}  # what each try was told
        self.taken_over: list[str] = []  # owners of claims whose runner died, as operators are told of them
        self.counts: Counter[str] = Counter()
        self.stores = 0
        self.cut_links: set[tuple[str, str]] = set()  # ordered pairs of members that do not hear each other
        self.machines = {name: Machine(name, self._store()) for name in self.placement.halls}
        for machine in self.machines.values():
            self._boot(machine)

    def _store(self) -> int:
        self.stores += 1
        return self.stores

    def _boot(self, machine: Machine) -> None:
        machine.life += 1
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
            machine.identity, self.placement, self.lives, self.draw, ProposalTiming()
        )
        machine.refill = None if machine.votes else Refill(name for name in self.machines if name != machine.name)
        for other in self.machines.values():
            if other.up:
                self._reach(machine, other, True)
                if other is not machine:
                    self._reach(other, machine, True)

    def _reach(self, machine: Machine, other: Machine, up: bool) -> None:
        if not up and machine.refill is not None:
            machine.refill.handle_link_lost(other.name)
        self._handle_event(machine, ReachabilityChanged(other.name, up, other.registers.store if up else 0))

    def lives(self, identity: str) -> bool:
        return any(machine.up and machine.identity == identity for machine in self.machines.values())

    # Steps.

    def claim(self, name: str, key: Key, owner: str, again: bool = False) -> None:
        self._handle_event(self.machines[name], Claim(key, owner, b"p", self.window_ms, self.now + 1000.0, again))

    def finish(self, key: Key, outcome: Outcome = Outcome.OK) -> bool:
        """The run that was granted ends, where its machine lives."""
        owner, identity = self.running.get(key, ("", ""))
        machine = next((one for one in self.machines.values() if one.up and one.identity == identity), None)
        if machine is None:
            return False
        del self.running[key]
        self._handle_event(
            machine, Finish(key, owner, b"p", self.window_ms, self.now + 1000.0, outcome, owner.encode())
        )
        return True

    def free(self, key: Key) -> bool:
        """The try that was granted is turned away: it does not run."""
        owner, identity = self.running.get(key, ("", ""))
        machine = next((one for one in self.machines.values() if one.up and one.identity == identity), None)
        if machine is None:
            return False
        del self.running[key]
        self.granted_owners[key].remove(owner)
        self._handle_event(machine, Free(key, owner))
        return True

    def crash(self, name: str, disk_lost: bool = False) -> None:
        machine = self.machines[name]
        machine.up = False
        if disk_lost:
            machine.disk, machine.votes, machine.store = {}, False, self._store()
        for other in self.machines.values():
            if other.up:
                self._reach(other, machine, False)

    def restart(self, name: str) -> None:
        self._boot(self.machines[name])

    def deliver(self, place: int, duplicate: bool = False) -> None:
        """``duplicate``: it will come a second time."""
        message = self.sent[place] if duplicate else self.sent.pop(place)
        member, sender = message.to.partition("#")[0], message.sender.partition("#")[0]
        machine = self.machines[member]
        if not machine.up or message.to not in (member, machine.identity) or (sender, member) in self.cut_links:
            self._link_lost(message)
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
            case FillAsk() as fill:
                self._send(machine, message.sender, build_page(self.now, machine.registers, sender, fill))
            case Page() as told if machine.refill is not None:
                for entry in machine.refill.receive_page(self.now, machine.registers, sender, told):
                    machine.disk[entry.key] = entry
                machine.store = machine.registers.store
                machine.votes = machine.votes or machine.registers.votes_on_all_keys

    def drop(self, place: int) -> None:
        self._link_lost(self.sent.pop(place))

    def _link_lost(self, message: Message) -> None:
        """A link loses nothing but what was under way as it broke: the store that is filled hears of that."""
        ends = [one.partition("#")[0] for one in (message.sender, message.to)]
        for one, other in (ends, ends[::-1]):
            refill = self.machines[one].refill
            if refill is not None:
                refill.handle_link_lost(other)

    def tick(self, by_ms: float) -> None:
        self.now += by_ms
        for machine in self.machines.values():
            if not machine.up:
                continue
            machine.registers.purge(self.now)
            self._handle_event(machine, Tick())
            for key, owner in machine.registers.find_orphaned_claims(self.now, self.lives, 400.0):
                if key not in machine.proposals.active:
                    self._handle_event(machine, TakeOver(key, owner))
            if machine.refill is not None:
                others = [one.name for one in self.machines.values() if one.up and one is not machine]
                for name, ask in machine.refill.due_requests(self.now, machine.registers.store, others):
                    self._send(machine, name, ask)

    def settle(self, most: int = 100_000) -> None:
        """Deliver all that is on its way, and go on until nothing more happens."""
        for _ in range(most):
            if self.sent:
                self.deliver(self.draw.randrange(len(self.sent)))
            elif any(one.proposals.active or one.proposals.followed for one in self.machines.values() if one.up):
                self.tick(50.0)
            else:
                return

    # What the hearts answer.

    def _send(self, machine: Machine, to: str, payload: Payload) -> None:
        self.counts[type(payload).__name__] += 1
        self.sent.append(Message(machine.identity, to, payload))

    def _handle_event(self, machine: Machine, event: Event) -> None:
        for action in machine.proposals.handle(self.now, event):
            self._act(machine, action)

    def _act(self, machine: Machine, action: Action) -> None:
        match action:
            case Send(to, ask):
                self._send(machine, to, ask)
            case Granted(owner):
                key = next(key for key, one in machine.proposals.granted_claims.items() if one == owner)
                if self.granted_owners.get(key):
                    self.violations.append(f"{key}: {owner} is granted after {self.granted_owners[key]}")
                self.granted_owners.setdefault(key, []).append(owner)
                self.running[key] = owner, machine.identity
                self.answers[owner] = "granted"
            case ClaimedByOther(waiting, key, value):
                for owner in waiting:
                    self.answers[owner] = value.stage.name
                self._result(key, value)
            case MajorityUnavailable(owner, may_have_run, _):
                self.answers[owner] = "unsure" if may_have_run else "refused"
                self.counts["no_word"] += 1
            case Settled(key, owner, outcome, result):
                self._result(key, Value(Stage.FINISHED, owner, "", b"p", 0.0, outcome, result))
            case FollowedKeyEnded(key, value):
                self._result(key, value)
            case TookOver(_, value):
                self.taken_over.append(value.owner)

    def _result(self, key: Key, value: Value) -> None:
        if value.stage is Stage.FINISHED and value.outcome is not None:
            told = self.results.setdefault(key, set())
            told.add((value.outcome, value.result))
            if len(told) > 1:
                self.violations.append(f"{key}: told with {told}")
        if value.stage is Stage.FREE and value.owner in self.granted_owners.get(key, ()):
            self.violations.append(f"{key}: {value.owner} runs and is told as free")
