"""The wiring of an upgrade: what the phase machine and the agreement on keys answer is done here, by turns of the
decision planner. Imported only where a control address is set.
"""

from __future__ import annotations

import socket
from typing import Protocol

import anyio
from anyio.abc import SocketListener, TaskGroup, UNIXSocketStream

from flintshift import interface as api
from flintshift.core import attempts as at
from flintshift.core.attempts import Attempt
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limit_share import LimitShare
from flintshift.core.limits import Limits
from flintshift.core.ports import Log
from flintshift.handover.claims import AbandonAttempt, ResumeAttempt, SendToPeer
from flintshift.handover.messages import (
    AbortStart,
    Action,
    Answered,
    ApplyEstimates,
    Claimed,
    Event,
    FailPeerRuns,
    Freed,
    Known,
    Learned,
    LinkEnded,
    ListenForSuccessor,
    Load,
    Message,
    OperatorCommand,
    Over,
    PeerExited,
    Phase,
    PoolUp,
    Send,
    SendEntries,
    SetLimitShare,
    SetServiceState,
    StartAccepting,
    StopAccepting,
    UsageUpdate,
    Welcome,
)
from flintshift.handover.phases import PhaseMachine, UnexpectedMessageError
from flintshift.handover.shared_keys import FollowerEnded, SharedKeys, Step, key_of
from flintshift.interface import Outcome
from flintshift.lifecycle.clock import Clock
from flintshift.lifecycle.config import Config
from flintshift.lifecycle.start_retry import StartRetry
from flintshift.wire.acceptor import open_listener
from flintshift.wire.front import Front
from flintshift.wire.handover import HandoverLink, UpgradeError, handover_socket_path, join_predecessor
from flintshift.wire.link import CONNECTION_ERRORS
from flintshift.wire.unix import open_unix_listener


class Host(Protocol):
    """The node, as far as its upgrade needs it."""

    config: Config
    limits: Limits
    log: Log
    decisions: Decisions
    counters: Counters
    fronts: list[tuple[Front, tuple[str, int]]]
    retry: StartRetry

    @property
    def now_ms(self) -> Clock: ...
    def take_clients(self) -> None: ...
    def leave_clients(self) -> None: ...
    def tell_lists(self) -> None: ...
    def give_up(self, error: OSError) -> None: ...
    def warn(self, text: str) -> None: ...


class Upgrade:
    """Both sides of the handover, as the decision planner's port (``core.ports.Claims``)."""

    def __init__(self, node: Host) -> None:
        self.node, self.limits, self.log = node, node.limits, node.log
        self.decisions, self.now_ms = node.decisions, node.now_ms
        self.shared = SharedKeys(node.decisions.keys, node.limits)
        self.path = handover_socket_path(node.config.name, node.config.listen)
        self.link: HandoverLink | None = None
        self.phases = PhaseMachine(False, 0.0, 0.0)
        self.used_ms = 0.0
        self.meeting = anyio.CancelScope()
        self.keys_replicated = False  # keys are agreed with the whole fleet: nothing of them is told here
        self.opened = anyio.Event()  # a successor may come
        self.sockets: list[socket.socket] = []  # where callers connect, in the order of the fronts

    # Start.

    async def begin(self) -> None:
        """Meet the process that serves, or bind the addresses as the first one.

        Raises:
            UpgradeError, OSError: neither can be done.
        """
        settings = self.node.config.settings
        runs_ms = max(kind.aim_ms for kind in settings.classes)  # what runs longer is rare, and answered by then
        calls_ms = settings.call_window_ms + settings.linger_ms
        while not self.sockets:
            self.link = await join_predecessor(self.path, self.limits)
            if self.link is not None:
                self.phases = PhaseMachine(True, runs_ms, calls_ms)
                self.sockets = self.link.sockets
                self._join_clock(self.link)
                if len(self.sockets) != len(self.node.fronts):
                    raise UpgradeError(
                        f"the process that serves has {len(self.sockets)} fronts, this one "
                        f"{len(self.node.fronts)}: change them at a restart"
                    )
                break
            self.phases = PhaseMachine(False, runs_ms, calls_ms)
            try:
                self.sockets = [open_listener(at_, self.limits.listen_backlog) for _, at_ in self.node.fronts]
            except OSError as error:  # held by one that leaves and gives no word any more, or refused for a moment
                if not self.node.retry.should_retry(error):
                    raise
                await anyio.sleep(self.limits.start_retry_delay_ms / 1000)
        if self.phases.phase is Phase.ALONE:
            self.opened.set()
            for front, _ in self.node.fronts:
                front.resume_accepting()
        self.log("info", "upgrade.began", phase=self.phases.phase.value, path=str(self.path))

    def _join_clock(self, link: HandoverLink) -> None:
        """Go by the clock of the process that serves: windows are told by it."""
        for word in link.early_messages:
            if isinstance(word, Welcome) and word.clock_ahead_ms is not None:
                self.now_ms.adopt_offset(word.clock_ahead_ms)

    async def run(self) -> None:
        async with anyio.create_task_group() as links:
            if self.link is not None:
                links.start_soon(self._meet, self.link)
            await self.opened.wait()
            try:
                async with await self._meeting() as listener:
                    while True:
                        await self._welcome(listener, links)
            finally:
                self.path.unlink(missing_ok=True)

    async def _meeting(self) -> SocketListener:
        """Listen where a successor asks. While that can't be had the node serves, and can't be relieved."""
        told = ""
        while True:
            try:
                return await SocketListener.from_socket(open_unix_listener(self.path))
            except (OSError, ValueError) as error:  # ValueError: what the system said of the socket can't be
                if str(error) != told:
                    told = str(error)
                    self.node.counters.add("upgrade.no_path")
                    self.node.warn(f"no successor can take over: {self.path}: {told}; it is tried again")
            await anyio.sleep(self.limits.status_listen_retry_delay_ms / 1000)

    async def _welcome(self, listener: SocketListener, links: TaskGroup) -> None:
        try:
            stream = await listener.accept()
        except OSError:  # for want of descriptors, say: that must not end the node
            self.node.counters.add("upgrade.accept_failed")
            await anyio.sleep(self.limits.backoff_ms / 1000)
            return
        assert isinstance(stream, UNIXSocketStream)
        if not self.phases.accepts_successor or self.decisions.serving_status.draining:
            await stream.aclose()
            return
        try:
            link = HandoverLink(stream, self.limits)
        except CONNECTION_ERRORS:
            self.node.counters.add("upgrade.not_watched")
            await stream.aclose()
            return
        # One that came and never said what it wants makes room: there is no more than one meeting at a time.
        self.meeting.cancel()
        self.link, link.sockets = link, self.sockets
        links.start_soon(self._meet, link)

    async def close(self) -> None:
        """This process ends in good order."""
        if self.link is not None:
            await self.link.close()

    async def _meet(self, link: HandoverLink) -> None:
        async def heard(word: Message) -> None:
            await self.decisions.report(at.MessageReceived((link, word)))

        async def gone() -> None:
            await self.decisions.report(at.MessageReceived((link, PeerExited())))

        async def ended(cause: str) -> None:
            self.log("info", "upgrade.link_ended", phase=self.phases.phase.value, cause=cause)
            await self.decisions.report(at.MessageReceived((link, LinkEnded(cause))))

        with anyio.CancelScope() as self.meeting:
            await link.run(heard, gone, ended)

    # The planner's port. All of it happens in a turn of the planner.

    def on_message(self, told: tuple[HandoverLink | None, Event]) -> None:
        link, word = told
        if link is not None and link is not self.link:
            return  # of a meeting that is over
        if isinstance(word, Claimed | Answered | Known | Over | Freed):
            self._do(self.shared.on_message(self.now_ms(), word, self.phases.senior))
        else:
            self._step(word)

    @property
    def shedding(self) -> bool:
        """A successor takes the clients."""
        return self.phases.phase is Phase.SHEDDING

    @property
    def required(self) -> bool:
        return self.phases.claims_required

    def in_doubt(self, attempt: Attempt) -> bool:
        return self.shared.in_doubt(self.now_ms(), attempt)

    def request_claim(self, attempt: Attempt) -> None:
        self._do(self.shared.request_claim(self.now_ms(), attempt))

    def cancel_claim(self, request: str) -> None:
        self.shared.agreement.cancel_wait(request)

    def on_key_claimed(self, attempt: Attempt) -> None:
        if self.phases.reports_entries:
            self._do(self.shared.report_entry(attempt))

    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        return False  # the other is told of the end as the caller is answered

    def on_run_ended(self, attempt: Attempt) -> None:
        if self.phases.reports_ends:
            self._do(self.shared.report_end(attempt))

    def on_key_freed(self, attempt: Attempt) -> None:
        if self.phases.reports_ends:
            self._send(Freed(key_of(attempt), attempt.id))

    def tick(self) -> None:
        now = self.now_ms()
        self._do(self.shared.expire(now))
        if now >= self.used_ms + self.limits.load_report_interval_ms:
            self.used_ms = now
            used = self.decisions.used_share()
            connections = sum(len(front.connections) for front, _ in self.node.fronts)
            learned = self.decisions.controller.learned_estimates()
            self._step(
                UsageUpdate(
                    Load(used.concurrency, used.memory, used.calls, connections),
                    Learned(learned.run_limit, learned.run_ms),
                )
            )

    # What the node tells.

    def pool_is_up(self) -> None:
        self._step(PoolUp())

    def serve(self, out: bool) -> None:
        """An operator's word at this process's door."""
        self._step(OperatorCommand(out))

    # What is answered.

    def _step(self, event: Event) -> None:
        before = self.phases.phase
        try:
            actions = self.phases.handle(self.now_ms(), event)
        except UnexpectedMessageError as error:
            self.log("error", "upgrade.word_refused", cause=str(error))
            if self.link is not None:
                self.link.abort()
            return
        for action in actions:
            self._act(action)
        if self.phases.phase is not before:
            self.node.counters.add(f"upgrade.{self.phases.phase.value}")
            self.log("info", "upgrade.phase", before=before.value, phase=self.phases.phase.value)

    def _act(self, action: Action) -> None:
        match action:
            case Send(Welcome(version, out)):
                self._send(Welcome(version, out, -self.now_ms.steady_ms(0.0)))
            case Send(word):
                self._send(word)
            case SendEntries():
                if self.link is not None:
                    self.link.send_entries(iter(()) if self.keys_replicated else self.shared.owned_entries())
            case StartAccepting():
                self.node.take_clients()
            case StopAccepting():
                self.node.leave_clients()
            case SetLimitShare(crowd, memory, calls, others):
                self.decisions.set_limit_share(LimitShare(crowd, memory, calls))
                for front, _ in self.node.fronts:
                    front.other_process_open_count = others
            case ApplyEstimates(learned):
                self.decisions.pending.append(
                    at.LearnedStateReceived(api.LearnedEstimates(learned.run_limit, learned.run_ms))
                )
            case FailPeerRuns(partial):
                self._lose(partial)
            case SetServiceState(out):
                self.node.decisions.serving_status.out_of_service = out
                self.node.tell_lists()
            case AbortStart(cause):
                self.node.give_up(UpgradeError(cause))
            case ListenForSuccessor():
                self.opened.set()

    def _lose(self, partial: bool) -> None:
        self.link = None
        settings = self.decisions.catalogue.effective_settings
        window = max((kind.repeat_window_ms for kind in settings.classes), default=0.0)
        for front, _ in self.node.fronts:
            front.other_process_open_count = 0
        if not self.keys_replicated:
            self._do(self.shared.on_peer_exit(self.now_ms(), partial, window, settings.marks_repeats))

    def _do(self, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case SendToPeer(word):
                    self._send(word)
                case ResumeAttempt(request, granted):
                    self.decisions.pending.append(at.ClaimAnswered(request, granted))
                case AbandonAttempt(request):
                    self.decisions.pending.append(at.ClaimAnswered(request, None))
                case FollowerEnded(request, outcome, result):
                    self.decisions.pending.append(at.RunFinished(request, outcome, 0.0, result))

    def _send(self, word: Message) -> None:
        if self.link is not None:
            self.link.send(word)
