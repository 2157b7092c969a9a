"""Connects replication to the node: the state machines of `replication/` and `peers/` get their clock, store and links.

All of it runs in turns of one event loop; messages for the planner go through its mailbox. `lifecycle/replica_store.py`
owns this member's own store. Imported only if replication is on.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import os
import random
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import anyio

from flintshift.core import attempts as at
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits
from flintshift.core.ports import Log
from flintshift.interface import Outcome
from flintshift.lifecycle.replica_store import ReplicaStore
from flintshift.lifecycle.replicated_claims import ReplicatedClaims
from flintshift.lifecycle.replication_status import replication_status
from flintshift.peers import members as membership
from flintshift.proto import peers_pb2 as pb
from flintshift.replication import logs
from flintshift.replication.messages import (
    Action,
    Ask,
    Ended,
    Event,
    Key,
    ReachabilityChanged,
    Send,
    TakeOver,
    Tick,
    TookOver,
    Vote,
    Voted,
)
from flintshift.replication.placement import Placement
from flintshift.replication.proposals import Proposals
from flintshift.replication.refill import FillAsk, Page
from flintshift.replication.store import boot_id
from flintshift.settings.options import PeersOptions, ReplicationOptions, UsageOptions
from flintshift.startup.backoff import Uniform
from flintshift.startup.permits import Permit, PermitRequest
from flintshift.storage.files import DiskFiles, Files, LockedError
from flintshift.wire.acceptor import open_listener
from flintshift.wire.failures import is_transient
from flintshift.wire.peer_link import Handshake, OutgoingLink, PeerListener

if TYPE_CHECKING:
    from flintshift.lifecycle.ledger_replication import LedgerReplication
    from flintshift.lifecycle.start_permits import StartPermits
    from flintshift.usage.ledger import Ledger

TIMER_TOLERANCE_MS = 5.0  # by which a tick of the proposals may be late
TICK_INTERVAL_MS = 50.0  # of membership, takeovers and refills
TAKEOVER_STAGGER_MS = 400.0  # between the takeovers of one claim by two holders


def members_digest(options: PeersOptions) -> bytes:
    """A digest of the members' names and halls, whatever the order of the list."""
    text = "\n".join(f"{name} {hall}" for name, (hall, _) in sorted(options.members.items()))
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class ReplicationService:
    """The actor that runs replication in the node. ``claims`` implements the decision planner's port `Claims`."""

    def __init__(
        self,
        name: str,
        peers: PeersOptions,
        options: ReplicationOptions,
        decisions: Decisions,
        limits: Limits,
        counters: Counters,
        now_ms: Callable[[], float],
        log: Log,
        may_retry: Callable[[OSError], bool],
        may_have_predecessor: bool,
        files: Files | None = None,
    ) -> None:
        """Open the store, unless another process of this member owns it.

        ``may_retry`` tells whether a step of the start is to be retried after an error. ``may_have_predecessor``:
        another process of this member may own the store; until that process has ended, this one sends it the requests
        that it also sends to other members. Then this process opens the store itself."""
        self.name, self.options, self.decisions, self.limits = name, options, decisions, limits
        self.may_retry, self.may_have_predecessor = may_retry, may_have_predecessor
        self.counters, self.log = counters, log
        self.identity = f"{name}#{int(time.time() * 1000):x}{os.urandom(2).hex()}"
        self.rng = random.Random()
        halls = {member: hall for member, (hall, _) in peers.members.items()}
        self.placement = Placement(halls, options.copies)
        self.files = files or DiskFiles()
        self.claims = ReplicatedClaims(
            decisions, limits, now_ms, self.now_ms, self._handle_planner_event, counters, log
        )
        self.store = ReplicaStore(self, name, self.placement, options, self.files, self.now_ms, counters, log)
        self.members = membership.Membership(
            self.identity, halls, membership.HeartbeatTiming(peers.heartbeat_ms, peers.lease_ms), self.now_ms()
        )
        self.proposals = Proposals(self.identity, self.placement, self._is_alive, self.rng)
        handshake = self.handshake = Handshake(name, self.identity, peers.epoch, members_digest(peers))
        self.links = {
            member: OutgoingLink(
                member,
                address,
                limits,
                counters,
                handshake,
                self.store.known_stores,
                self._on_answers,
                self._on_link_up,
                self._on_link_down,
                self.rng,
            )
            for member, (_, address) in {**peers.members, name: (halls[name], peers.listen)}.items()
        }
        self.peer_listener = PeerListener(
            limits,
            counters,
            handshake,
            list(halls),
            self.store.known_stores,
            self._on_requests,
            self._on_hello,
            self._on_link_rejected,
        )
        self.listen = peers.listen
        self.proposal_timer: asyncio.TimerHandle | None = None
        self.timer_due_ms = math.inf
        self.planner_messages: deque[Action] = deque()  # not delivered yet
        self.message_queued = anyio.Event()
        self.in_planner_turn = False  # the event being handled was sent by the planner, in its own turn
        self.reached: set[str] = set()
        self.link_errors: dict[str, str] = {}  # by member, the last cause
        self.taken_over_claims: dict[Key, str] = {}  # of dead runners, settled here: their runs may have been executed
        self.ledger_replication: LedgerReplication | None = None  # of the usage ledgers
        self.permits: StartPermits | None = None
        try:
            self.store.open()
        except LockedError:
            if not may_have_predecessor:
                raise
            log(
                "info",
                "copies.guest",
                folder=str(options.folder),
                identity=self.identity,
                cause="another process of this member owns the store",
            )

    def replicate_ledger(self, ledger: Ledger, options: UsageOptions) -> None:
        """Replicate this ledger to other members, and keep replicas of their ledgers.

        Raises:
            OSError, LockedError: the folder can't be used.
        """
        from flintshift.lifecycle.ledger_replicas import LedgerReplicas
        from flintshift.lifecycle.ledger_replication import LedgerReplication

        ledger_replicas = LedgerReplicas(
            self.name,
            self.identity,
            self.placement,
            self.options,
            self.files,
            boot_id(),
            self._is_alive,
            self.now_ms,
            lambda member, message: self.links[member].send(message, self.now_ms(), False),
            self.peer_listener.send,
            self.counters,
            self.log,
        )
        self.ledger_replication = LedgerReplication(self.name, self.placement, options, ledger_replicas)
        ledger_replicas.restore()
        self.ledger_replication.replicate(ledger)

    def create_start_permits(
        self, max_concurrent_starts: int, uniform: Uniform, on_proceed: Callable[[], None]
    ) -> StartPermits:
        """Create the permits that let only so many members of the fleet start at a time."""
        from flintshift.lifecycle.start_permits import StartPermits

        permits = self.permits = StartPermits(
            self.name,
            self.identity,
            tuple(self.placement.halls),
            max_concurrent_starts,
            uniform,
            self._is_alive,
            self.reached,
            lambda member, message: self.links[member].send(message, self.now_ms(), False),
            self.peer_listener.send,
            on_proceed,
            self.counters,
            self.log,
        )
        return permits

    @staticmethod
    def now_ms() -> float:
        return time.monotonic() * 1000

    def _is_alive(self, runner: str) -> bool:
        return self.members.is_alive(runner, self.now_ms())

    # The methods of `replica_store.Host`, which the store calls.

    def notify_proposals(self, event: Event) -> None:
        """Handle an event in the proposals of this process."""
        self._handle_event(event)

    def send(self, identity: str, message: Vote | Ended) -> None:
        """Send a message to another process, which asked for a vote."""
        self.peer_listener.send(identity, message)

    def max_retention_ms(self) -> float:
        """The longest time, of all classes, from the arrival of a try until its key need not be remembered any more."""
        return self.claims.max_retention_ms()

    def status(self) -> dict[str, Any]:
        """The state of replication and of the other members, for operators."""
        return replication_status(self)

    def _handle_planner_event(self, event: Event) -> None:
        self.in_planner_turn = True
        try:
            self._handle_event(event)
        finally:
            self.in_planner_turn = False

    # The state machines.

    def _handle_event(self, event: Event) -> None:
        """Pass an event to the proposals and perform their actions."""
        for action in self.proposals.handle(self.now_ms(), event):
            match action:
                case Send(to, ask) if to == self.name and self.store.folder is not None:
                    self.store.vote(self.identity, ask)
                case Send(to, ask):
                    self.links[to].send(ask, self.now_ms(), True)
                case TookOver(key, value):
                    self.counters.add("copies.took_over")
                    self.log(
                        "warning",
                        "copies.took_over",
                        key=key[1],
                        class_name=key[0],
                        request=value.owner,
                        runner=value.runner,
                        outcome=value.outcome.value if value.outcome else None,
                    )
                    if value.outcome is Outcome.ERROR:
                        self.taken_over_claims[key] = value.owner
                        while len(self.taken_over_claims) > self.limits.max_open_claims:
                            del self.taken_over_claims[next(iter(self.taken_over_claims))]
                case _ if self.in_planner_turn:
                    self.decisions.pending.append(at.MessageReceived(action))
                case _:
                    self.planner_messages.append(action)
                    self.message_queued.set()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Schedule the next tick of the proposals for when it is due."""
        if self.timer_due_ms < self.now_ms() + TIMER_TOLERANCE_MS:
            return  # the timer fires soon enough
        due_ms = self.proposals.due_ms()
        if due_ms < self.timer_due_ms:
            if self.proposal_timer is not None:
                self.proposal_timer.cancel()
            self.timer_due_ms = due_ms
            self.proposal_timer = asyncio.get_running_loop().call_later(
                max(due_ms - self.now_ms(), 1.0) / 1000, self._on_proposal_timer
            )

    def _on_proposal_timer(self) -> None:
        self.proposal_timer, self.timer_due_ms = None, math.inf
        self._handle_event(Tick())

    def _handle_membership_event(self, event: membership.Event) -> None:
        for action in self.members.handle(self.now_ms(), event):
            match action:
                case membership.SendHeartbeat(to):
                    self.links[to].send_heartbeat()
                case membership.Accuse():
                    for link in self.links.values():
                        link.send(action, self.now_ms(), False)
                case membership.Appeared(identity):
                    self.log("info", "peers.appeared", identity=identity)
                case membership.Suspected(identity, silent_ms):
                    self.counters.add("peers.suspected")
                    self.log("warning", "peers.suspected", identity=identity, silent_ms=round(silent_ms))
                case membership.Died(identity, silent_ms, accusers):
                    self.counters.add("peers.died")
                    self.log(
                        "error", "peers.died", identity=identity, silent_ms=round(silent_ms), accusers=list(accusers)
                    )
                case membership.Returned(identity, was_dead):
                    self.log("warning", "peers.returned", identity=identity, was_dead=was_dead)

    # Requests of other members, and their answers.

    def _on_hello(self, member: str, hello: pb.Hello) -> None:
        """Handle the hello of the process at the other end of a link, whichever end opened it."""
        self.store.on_hello(member, hello.store, hello.known_store)
        self._handle_membership_event(membership.MessageReceived(hello.identity))
        self.links[member].retry_now()

    def _on_link_rejected(self, cause: str) -> None:
        self.log("warning", "peers.link_refused", cause=cause)

    def _on_requests(self, member: str, identity: str, messages: list[Any]) -> None:
        """Handle messages that arrived on a link that another process opened."""
        self._handle_membership_event(membership.MessageReceived(identity))
        for message in messages:
            match message:
                case Ask():
                    self.store.vote(identity, message)
                case FillAsk():
                    self.peer_listener.send(identity, self.store.make_page(member, message))
                case membership.Accused():
                    self._handle_membership_event(message)
                case PermitRequest() if self.permits is not None:
                    self.permits.on_request(identity, message)
                case PermitRequest():  # this member's settings have no startup.at-once: it delays no start
                    self.peer_listener.send(identity, Permit(message.number, True))
                case _ if self.ledger_replication is not None:
                    self.ledger_replication.on_message(identity, message)

    def _on_answers(self, member: str, identity: str, messages: list[Any]) -> None:
        """Handle messages that arrived on a link that this process opened."""
        self._handle_membership_event(membership.MessageReceived(identity))
        for message in messages:
            match message:
                case Vote():
                    self._handle_event(Voted(member, message))
                case Ended():
                    self._handle_event(message)
                case Page():
                    self.store.receive_page(member, message)
                case logs.ReplicaStatus() if self.ledger_replication is not None:
                    self.ledger_replication.on_status(member, message)
                case Permit() if self.permits is not None:
                    self.permits.on_permit(member, message)
                case membership.Accused():
                    self._handle_membership_event(message)

    def _on_link_up(self, member: str, hello: pb.Hello) -> None:
        """Notify the state machines that a member is reachable."""
        self._on_hello(member, hello)
        self.reached.add(member)
        self.link_errors.pop(member, None)
        self.log("info", "peers.link_up", name=member, identity=hello.identity, reached=len(self.reached))
        self._handle_event(ReachabilityChanged(member, True, hello.store))
        if self.ledger_replication is not None and member != self.name:
            self.ledger_replication.set_reachable(member, True)

    def _on_link_down(self, member: str, cause: str) -> None:
        """Notify the state machines that a member is unreachable, or log why it can't be linked."""
        if member == self.name and self.store.folder is not None:
            return
        if member in self.reached:
            self.reached.discard(member)
            self.log("warning", "peers.link_down", name=member, cause=cause, reached=len(self.reached))
            self._handle_event(ReachabilityChanged(member, False, 0))
            self.store.on_link_lost(member)
            if self.ledger_replication is not None:
                self.ledger_replication.set_reachable(member, False)
        elif member != self.name and self.link_errors.get(member) != cause:  # logged once per cause, not per attempt
            self.link_errors[member] = cause
            self.log("warning", "peers.not_linked", name=member, cause=cause)

    # The actor.

    async def run(self) -> None:
        """Run replication until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve_members)
            for member, link in self.links.items():
                if member != self.name:
                    tasks.start_soon(link.run)
            if self.store.folder is None:
                tasks.start_soon(self._wait_for_predecessor)
            tasks.start_soon(self._deliver_to_planner)
            if self.options.durability == "power-cut":
                tasks.start_soon(self.store.sync)
            if self.ledger_replication is not None:
                tasks.start_soon(self.ledger_replication.run)
            try:
                while True:
                    await anyio.sleep(TICK_INTERVAL_MS / 1000)
                    self._tick()
            finally:
                if self.proposal_timer is not None:
                    self.proposal_timer.cancel()
                if self.ledger_replication is not None:
                    self.ledger_replication.close()
                self.store.close()

    async def _serve_members(self) -> None:
        """Serve the requests of other members once this process owns the store."""
        await self.store.opened.wait()
        while True:
            try:
                raw = open_listener(self.listen, self.limits.listen_backlog)
                break
            except OSError as error:
                # The address is in use until the predecessor has ended, however long that takes.
                if not (is_transient(error) if self.may_have_predecessor else self.may_retry(error)):
                    raise
            await anyio.sleep(self.limits.start_retry_delay_ms / 1000)
        await self.peer_listener.serve(raw)

    async def _wait_for_predecessor(self) -> None:
        """Link to the predecessor, which owns the store, until it has ended; then open the store."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links[self.name].run)
            while self.store.folder is None:
                await anyio.sleep(self.limits.start_retry_delay_ms / 1000)
                if self.name not in self.reached:
                    try:
                        self.store.open()
                    except LockedError:  # the predecessor has not ended yet
                        pass
                    except OSError as error:
                        self.log("error", "copies.not_taken_over", cause=str(error))
            tasks.cancel_scope.cancel()
        self.links[self.name].connection = None
        self.reached.discard(self.name)
        self.log("info", "copies.taken_over", cause="the process that owned the store has ended")

    async def _deliver_to_planner(self) -> None:
        """Deliver queued messages to the planner."""
        while True:
            while not self.planner_messages:
                self.message_queued = anyio.Event()
                await self.message_queued.wait()
            await self.decisions.report(at.MessageReceived(self.planner_messages.popleft()))

    def _tick(self) -> None:
        """Check links, membership, ledgers, start permits and the store."""
        now = self.now_ms()
        for link in self.links.values():
            link.check_timeout(now)
        self._handle_membership_event(membership.Tick())
        if self.ledger_replication is not None:
            self.ledger_replication.tick()
        if self.permits is not None:
            self.permits.tick()
        if self.store.folder is None or not self.store.check_disk(now):
            return
        for member, request in self.store.due_fill_requests(now, self.reached):
            self.links[member].send(request, now, False)
        for key, owner in self.store.registers.find_orphaned_claims(now, self._is_alive, TAKEOVER_STAGGER_MS):
            if key not in self.proposals.active:
                self._handle_event(TakeOver(key, owner))
        self.store.purge(now)
