"""The copies at the node's side: the state machines of `replication/` and `peers/`, their disk, their links, their
clock, and what the planner is to hear of them. Imported only where copies are on.

Everything happens in turns of one event loop; what the planner is to hear goes through its mailbox. This member's own
store is held by `lifecycle/replica_store.py`.
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
from flintshift.lifecycle.copied_claims import CopiedClaims
from flintshift.lifecycle.copies_status import copies_status
from flintshift.lifecycle.replica_store import ReplicaStore
from flintshift.peers import members as who
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
from flintshift.settings.options import CopiesOptions, PeersOptions, UsageOptions
from flintshift.startup.backoff import Uniform
from flintshift.startup.permits import Permit, PermitRequest
from flintshift.storage.files import DiskFiles, Files, LockedError
from flintshift.wire.acceptor import listening
from flintshift.wire.failures import may_pass
from flintshift.wire.peer_link import Handshake, OutgoingLink, PeerListener

if TYPE_CHECKING:
    from flintshift.lifecycle.start_permits import StartPermits
    from flintshift.lifecycle.use_copies import UseCopies
    from flintshift.usage.ledger import Ledger

SOON_MS = 5.0  # a proposal's time may be passed by so much
TICK_MS = 50.0  # of who lives, takeovers and refills
STAGGER_MS = 400.0  # between two holders' takeover of one claim


def members_digest(options: PeersOptions) -> bytes:
    text = "\n".join(f"{name} {hall}" for name, (hall, _) in sorted(options.members.items()))
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class Copying:
    """An actor of the node; ``claims`` is the decision planner's port."""

    def __init__(
        self,
        name: str,
        peers: PeersOptions,
        options: CopiesOptions,
        decisions: Decisions,
        limits: Limits,
        counters: Counters,
        now_ms: Callable[[], float],
        log: Log,
        again: Callable[[OSError], bool],
        guest: bool,
        files: Files | None = None,
    ) -> None:
        """``again``: whether a step of the start that failed so is to be tried again. ``guest``: another process of
        this member may hold the copies; then this one asks it as it asks the others, and holds them once that one has
        ended."""
        self.name, self.options, self.decisions, self.limits = name, options, decisions, limits
        self.again, self.guest = again, guest
        self.counters, self.log = counters, log
        self.identity = f"{name}#{int(time.time() * 1000):x}{os.urandom(2).hex()}"
        self.draw = random.Random()
        halls = {member: hall for member, (hall, _) in peers.members.items()}
        self.placement = Placement(halls, options.copies)
        self.files = files or DiskFiles()
        self.claims = CopiedClaims(decisions, limits, now_ms, self.now_ms, self._from_planner, counters, log)
        self.store = ReplicaStore(self, name, self.placement, options, self.files, self.now_ms, counters, log)
        self.members = who.Membership(
            self.identity, halls, who.HeartbeatTiming(peers.beat_ms, peers.lease_ms), self.now_ms()
        )
        self.proposals = Proposals(self.identity, self.placement, self._lives, self.draw)
        greeting = self.greeting = Handshake(name, self.identity, peers.epoch, members_digest(peers))
        self.links = {
            member: OutgoingLink(
                member,
                address,
                limits,
                counters,
                greeting,
                self.store.known_stores,
                self._answered,
                self._up,
                self._down,
                self.draw,
            )
            for member, (_, address) in {**peers.members, name: (halls[name], peers.listen)}.items()
        }
        self.front = PeerListener(
            limits, counters, greeting, list(halls), self.store.known_stores, self._asked, self._met, self._refused
        )
        self.listen = peers.listen
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ms = math.inf
        self.words: deque[Action] = deque()  # for the planner
        self.worded = anyio.Event()
        self.in_turn = False  # of the planner
        self.reached: set[str] = set()
        self.not_linked: dict[str, str] = {}  # why, last
        self.taken_over: dict[Key, str] = {}  # claims of dead runners, settled here: they may have run
        self.use: UseCopies | None = None  # the ledgers of use
        self.permits: StartPermits | None = None
        try:
            self.store.open()
        except LockedError:
            if not guest:
                raise
            log(
                "info",
                "copies.guest",
                folder=str(options.folder),
                identity=self.identity,
                cause="another process of this member holds them",
            )

    def copy_use(self, ledger: Ledger, options: UsageOptions) -> None:
        """Write this ledger to further members, and hold theirs.

        Raises:
            OSError, LockedError: the folder can't be used.
        """
        from flintshift.lifecycle.held_copies import HeldCopies
        from flintshift.lifecycle.use_copies import UseCopies

        holder = HeldCopies(
            self.name,
            self.identity,
            self.placement,
            self.options,
            self.files,
            boot_id(),
            self._lives,
            self.now_ms,
            lambda member, word: self.links[member].send(word, self.now_ms(), False),
            self.front.send,
            self.counters,
            self.log,
        )
        self.use = UseCopies(self.name, self.placement, options, holder)
        holder.restore()
        self.use.write(ledger)

    def start_permits(self, at_once: int, uniform: Uniform, go: Callable[[], None]) -> StartPermits:
        """Have this fleet start so many members at a time."""
        from flintshift.lifecycle.start_permits import StartPermits

        permits = self.permits = StartPermits(
            self.name,
            self.identity,
            tuple(self.placement.halls),
            at_once,
            uniform,
            self._lives,
            self.reached,
            lambda member, word: self.links[member].send(word, self.now_ms(), False),
            self.front.send,
            go,
            self.counters,
            self.log,
        )
        return permits

    @staticmethod
    def now_ms() -> float:
        return time.monotonic() * 1000

    def _lives(self, runner: str) -> bool:
        return self.members.is_alive(runner, self.now_ms())

    # What the store needs of its host.

    def tell(self, event: Event) -> None:
        """The proposals of this process hear of this."""
        self._event(event)

    def send(self, identity: str, word: Vote | Ended) -> None:
        """Send to another process that asked."""
        self.front.send(identity, word)

    def keep_for_ms(self) -> float:
        """From a try's arrival until nothing is promised of it any more, for the longest class."""
        return self.claims.longest_keep_ms()

    def shown(self) -> dict[str, Any]:
        """How the copies and the other members stand, for operators."""
        return copies_status(self)

    def _from_planner(self, event: Event) -> None:
        self.in_turn = True
        try:
            self._event(event)
        finally:
            self.in_turn = False

    # The state machines.

    def _event(self, event: Event) -> None:
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
                        self.taken_over[key] = value.owner
                        while len(self.taken_over) > self.limits.max_open_claims:
                            del self.taken_over[next(iter(self.taken_over))]
                case _ if self.in_turn:
                    self.decisions.pending.append(at.MessageReceived(action))
                case _:
                    self.words.append(action)
                    self.worded.set()
        self._wake()

    def _wake(self) -> None:
        """Have the proposals ticked when they next need it."""
        if self.timer_ms < self.now_ms() + SOON_MS:
            return  # it is looked at soon enough
        due = self.proposals.due_ms()
        if due < self.timer_ms:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_ms = due
            self.timer = asyncio.get_running_loop().call_later(max(due - self.now_ms(), 1.0) / 1000, self._ticked)

    def _ticked(self) -> None:
        self.timer, self.timer_ms = None, math.inf
        self._event(Tick())

    def _members(self, event: who.Event) -> None:
        for action in self.members.handle(self.now_ms(), event):
            match action:
                case who.SendHeartbeat(to):
                    self.links[to].send_heartbeat()
                case who.Accuse():
                    for link in self.links.values():
                        link.send(action, self.now_ms(), False)
                case who.Appeared(identity):
                    self.log("info", "peers.appeared", identity=identity)
                case who.Suspected(identity, silent_ms):
                    self.counters.add("peers.suspected")
                    self.log("warning", "peers.suspected", identity=identity, silent_ms=round(silent_ms))
                case who.Died(identity, silent_ms, accusers):
                    self.counters.add("peers.died")
                    self.log(
                        "error", "peers.died", identity=identity, silent_ms=round(silent_ms), accusers=list(accusers)
                    )
                case who.Returned(identity, was_dead):
                    self.log("warning", "peers.returned", identity=identity, was_dead=was_dead)

    # What others ask, and what they answer.

    def _met(self, member: str, told: pb.Hello) -> None:
        """Either end of a link said hello."""
        self.store.met(member, told.store, told.known_store)
        self._members(who.MessageReceived(told.identity))
        self.links[member].retry_now()

    def _refused(self, cause: str) -> None:
        self.log("warning", "peers.link_refused", cause=cause)

    def _asked(self, member: str, identity: str, words: list[Any]) -> None:
        self._members(who.MessageReceived(identity))
        for word in words:
            match word:
                case Ask():
                    self.store.vote(identity, word)
                case FillAsk():
                    self.front.send(identity, self.store.page_for(member, word))
                case who.Accused():
                    self._members(word)
                case PermitRequest() if self.permits is not None:
                    self.permits.asked(identity, word)
                case PermitRequest():  # this member's file names no startup.at-once: it holds nobody up
                    self.front.send(identity, Permit(word.number, True))
                case _ if self.use is not None:
                    self.use.asked(identity, word)

    def _answered(self, member: str, identity: str, words: list[Any]) -> None:
        self._members(who.MessageReceived(identity))
        for word in words:
            match word:
                case Vote():
                    self._event(Voted(member, word))
                case Ended():
                    self._event(word)
                case Page():
                    self.store.fill(member, word)
                case logs.ReplicaStatus() if self.use is not None:
                    self.use.answered(member, word)
                case Permit() if self.permits is not None:
                    self.permits.answered(member, word)
                case who.Accused():
                    self._members(word)

    def _up(self, member: str, told: pb.Hello) -> None:
        self._met(member, told)
        self.reached.add(member)
        self.not_linked.pop(member, None)
        self.log("info", "peers.link_up", name=member, identity=told.identity, reached=len(self.reached))
        self._event(ReachabilityChanged(member, True, told.store))
        if self.use is not None and member != self.name:
            self.use.reach(member, True)

    def _down(self, member: str, cause: str) -> None:
        if member == self.name and self.store.folder is not None:
            return
        if member in self.reached:
            self.reached.discard(member)
            self.log("warning", "peers.link_down", name=member, cause=cause, reached=len(self.reached))
            self._event(ReachabilityChanged(member, False, 0))
            self.store.link_lost(member)
            if self.use is not None:
                self.use.reach(member, False)
        elif member != self.name and self.not_linked.get(member) != cause:  # told once for each cause, not for each try
            self.not_linked[member] = cause
            self.log("warning", "peers.not_linked", name=member, cause=cause)

    # The actor.

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._listen)
            for member, link in self.links.items():
                if member != self.name:
                    tasks.start_soon(link.run)
            if self.store.folder is None:
                tasks.start_soon(self._visit)
            tasks.start_soon(self._bring)
            if self.options.durability == "power-cut":
                tasks.start_soon(self.store.sync)
            if self.use is not None:
                tasks.start_soon(self.use.run)
            try:
                while True:
                    await anyio.sleep(TICK_MS / 1000)
                    self._tick()
            finally:
                if self.timer is not None:
                    self.timer.cancel()
                if self.use is not None:
                    self.use.close()
                self.store.close()

    async def _listen(self) -> None:
        """Where the others ask, once this process holds the copies."""
        await self.store.holding.wait()
        while True:
            try:
                raw = listening(self.listen, self.limits.listen_backlog)
                break
            except OSError as error:
                # A guest's address is held until the process before it ends, however long that takes.
                if not (may_pass(error) if self.guest else self.again(error)):
                    raise
            await anyio.sleep(self.limits.start_retry_delay_ms / 1000)
        await self.front.serve(raw)

    async def _visit(self) -> None:
        """Ask the process that holds the copies, until it has ended; then hold them."""
        async with anyio.create_task_group() as visit:
            visit.start_soon(self.links[self.name].run)
            while self.store.folder is None:
                await anyio.sleep(self.limits.start_retry_delay_ms / 1000)
                if self.name not in self.reached:
                    try:
                        self.store.open()
                    except LockedError:  # it has not ended yet
                        pass
                    except OSError as error:
                        self.log("error", "copies.not_taken_over", cause=str(error))
            visit.cancel_scope.cancel()
        self.links[self.name].connection = None
        self.reached.discard(self.name)
        self.log("info", "copies.taken_over", cause="the process that held them has ended")

    async def _bring(self) -> None:
        while True:
            while not self.words:
                self.worded = anyio.Event()
                await self.worded.wait()
            await self.decisions.report(at.MessageReceived(self.words.popleft()))

    def _tick(self) -> None:
        now = self.now_ms()
        for link in self.links.values():
            link.check_timeout(now)
        self._members(who.Tick())
        if self.use is not None:
            self.use.tick()
        if self.permits is not None:
            self.permits.tick()
        if self.store.folder is None or not self.store.usable(now):
            return
        for member, ask in self.store.asks(now, self.reached):
            self.links[member].send(ask, now, False)
        for key, owner in self.store.registers.find_orphaned_claims(now, self._lives, STAGGER_MS):
            if key not in self.proposals.active:
                self._event(TakeOver(key, owner))
        self.store.purge(now)
