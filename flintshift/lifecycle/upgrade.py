"""Connects the state machines of an upgrade to the node: performs the actions of the phase machine and of the shared
keys, in turns of the decision planner.

Imported only if a control address is configured.
"""

from __future__ import annotations

import socket
from typing import Protocol

import anyio
from anyio.abc import SocketListener, TaskGroup, UNIXSocketStream
from msgspec import structs

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
    LeaveBegan,
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


class UpgradedNode(Protocol):
    """What an upgrade needs of its node."""

    config: Config
    limits: Limits
    log: Log
    decisions: Decisions
    counters: Counters
    fronts: list[tuple[Front, tuple[str, int]]]
    retry: StartRetry

    @property
    def now_ms(self) -> Clock: ...
    def start_accepting(self) -> None: ...
    def stop_accepting(self) -> None: ...
    def report_to_lists(self) -> None: ...
    def abort_start(self, error: OSError) -> None: ...
    def warn(self, text: str) -> None: ...


class Upgrade:
    """Runs either side of a handover, and implements ``core.ports.Claims`` for the decision planner."""

    def __init__(self, node: UpgradedNode) -> None:
        self.node, self.limits, self.log = node, node.limits, node.log
        self.decisions, self.now_ms = node.decisions, node.now_ms
        self.shared_keys = SharedKeys(node.decisions.keys, node.limits)
        self.path = handover_socket_path(node.config.name, node.config.listen)
        self.link: HandoverLink | None = None
        self.phases = PhaseMachine(False, 0.0, 0.0)
        self.load_reported_ms = 0.0
        self.link_scope = anyio.CancelScope()
        self.keys_replicated = False  # if set, claims are agreed by the fleet, and the two processes exchange none
        self.successor_allowed = anyio.Event()  # from then on this process listens for a successor
        self.sockets: list[socket.socket] = []  # the listeners for callers, in the order of the fronts

    # Start.

    async def begin(self) -> None:
        """Connect to the process that serves, or bind the addresses as the first process.

        Raises:
            UpgradeError, OSError: neither is possible.
        """
        settings = self.node.config.settings
        run_lifetime_ms = max(kind.aim_ms for kind in settings.classes)  # longer runs are rare, and answered by then
        call_lifetime_ms = settings.call_window_ms + settings.linger_ms
        while not self.sockets:
            self.link = await join_predecessor(self.path, self.limits)
            if self.link is not None:
                self.phases = PhaseMachine(True, run_lifetime_ms, call_lifetime_ms)
                self.sockets = self.link.sockets
                self._adopt_clock(self.link)
                if len(self.sockets) != len(self.node.fronts):
                    raise UpgradeError(
                        f"the process that serves has {len(self.sockets)} fronts, this one "
                        f"{len(self.node.fronts)}: change them at a restart"
                    )
                break
            self.phases = PhaseMachine(False, run_lifetime_ms, call_lifetime_ms)
            try:
                self.sockets = [open_listener(address, self.limits.listen_backlog) for _, address in self.node.fronts]
            except OSError as error:  # in use by a process that stops and no longer answers, or a transient failure
                if not self.node.retry.should_retry(error):
                    raise
                await anyio.sleep(self.limits.start_retry_delay_ms / 1000)
        if self.phases.phase is Phase.ALONE:
            self.successor_allowed.set()
            for front, _ in self.node.fronts:
                front.resume_accepting()
        self.log("info", "upgrade.began", phase=self.phases.phase.value, path=str(self.path))

    def _adopt_clock(self, link: HandoverLink) -> None:
        """Adopt the clock of the process that serves: the times of windows in its messages are of that clock."""
        for message in link.early_messages:
            if isinstance(message, Welcome) and message.clock_ahead_ms is not None:
                self.now_ms.adopt_offset(message.clock_ahead_ms)

    async def run(self) -> None:
        """Run the link to a predecessor, and accept successors from the time that they are allowed."""
        async with anyio.create_task_group() as links:
            if self.link is not None:
                links.start_soon(self._run_link, self.link)
            await self.successor_allowed.wait()
            try:
                async with await self._listen_for_successor() as listener:
                    while True:
                        await self._accept_successor(listener, links)
            finally:
                self.path.unlink(missing_ok=True)

    async def _listen_for_successor(self) -> SocketListener:
        """Listen at the path where a successor connects.

        While that is not possible the node serves, and no successor can take over."""
        reported_cause = ""
        while True:
            try:
                return await SocketListener.from_socket(open_unix_listener(self.path))
            except (OSError, ValueError) as error:  # ValueError: the system reported an impossible state of the socket
                if str(error) != reported_cause:
                    reported_cause = str(error)
                    self.node.counters.add("upgrade.no_path")
                    self.node.warn(f"no successor can take over: {self.path}: {reported_cause}; it is tried again")
            await anyio.sleep(self.limits.status_listen_retry_delay_ms / 1000)

    async def _accept_successor(self, listener: SocketListener, links: TaskGroup) -> None:
        try:
            stream = await listener.accept()
        except OSError:  # such as a lack of descriptors, which must not end the node
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
        # There is at most one link at a time. An earlier successor that connected and then sent nothing is dropped.
        self.link_scope.cancel()
        self.link, link.sockets = link, self.sockets
        links.start_soon(self._run_link, link)

    async def close(self) -> None:
        """Close the link, at a graceful end of this process."""
        if self.link is not None:
            await self.link.close()

    async def _run_link(self, link: HandoverLink) -> None:
        """Run a link until it ends, and report its messages and events to the decision planner."""

        async def on_link_message(message: Message) -> None:
            await self.decisions.report(at.MessageReceived((link, message)))

        async def on_exit() -> None:
            await self.decisions.report(at.MessageReceived((link, PeerExited())))

        async def on_link_end(cause: str) -> None:
            self.log("info", "upgrade.link_ended", phase=self.phases.phase.value, cause=cause)
            await self.decisions.report(at.MessageReceived((link, LinkEnded(cause))))

        with anyio.CancelScope() as self.link_scope:
            await link.run(on_link_message, on_exit, on_link_end)

    # The methods of ``core.ports.Claims``, which the decision planner calls in its own turns.

    def on_message(self, report: tuple[HandoverLink | None, Event]) -> None:
        """Handle a message of the other process, or an event of the link on which it arrives."""
        link, event = report
        if link is not None and link is not self.link:
            return  # from a link that was replaced
        if isinstance(event, Claimed | Answered | Known | Over | Freed):
            self._perform_steps(self.shared_keys.on_message(self.now_ms(), event, self.phases.senior))
        else:
            self._handle_event(event)

    @property
    def shedding(self) -> bool:
        """Whether a successor accepts the clients."""
        return self.phases.phase is Phase.SHEDDING

    @property
    def required(self) -> bool:
        """Whether the other process must agree before a keyed run begins."""
        return self.phases.claims_required

    def in_doubt(self, attempt: Attempt) -> bool:
        return self.shared_keys.in_doubt(self.now_ms(), attempt)

    def request_claim(self, attempt: Attempt) -> None:
        self._perform_steps(self.shared_keys.request_claim(self.now_ms(), attempt))

    def cancel_claim(self, request: str) -> None:
        self.shared_keys.agreement.cancel_wait(request)

    def on_key_claimed(self, attempt: Attempt) -> None:
        if self.phases.reports_entries:
            self._perform_steps(self.shared_keys.report_entry(attempt))

    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool:
        return False  # the other process receives the outcome when the caller is answered

    def on_run_ended(self, attempt: Attempt) -> None:
        if self.phases.reports_ends:
            self._perform_steps(self.shared_keys.report_end(attempt))

    def on_key_freed(self, attempt: Attempt) -> None:
        if self.phases.reports_ends:
            self._send(Freed(key_of(attempt), attempt.id))

    def tick(self) -> None:
        now = self.now_ms()
        self._perform_steps(self.shared_keys.expire(now))
        if now >= self.load_reported_ms + self.limits.load_report_interval_ms:
            self.load_reported_ms = now
            used = self.decisions.used_share()
            connections = sum(len(front.connections) for front, _ in self.node.fronts)
            learned = self.decisions.controller.learned_estimates()
            self._handle_event(
                UsageUpdate(
                    Load(used.concurrency, used.memory, used.calls, connections),
                    Learned(learned.run_limit, learned.run_ms),
                )
            )

    # Called by the node.

    def on_pool_up(self) -> None:
        """Handle that the worker pool of this process is up for the first time."""
        self._handle_event(PoolUp())

    def on_leave(self) -> None:
        """Handle that this process has received its shutdown notice."""
        self._handle_event(LeaveBegan())

    def on_operator_command(self, out_of_service: bool) -> None:
        """Handle that an operator took the node out of service or put it back, by a call to this process."""
        self._handle_event(OperatorCommand(out_of_service))

    # Events and actions of the state machines.

    def _handle_event(self, event: Event) -> None:
        before = self.phases.phase
        try:
            actions = self.phases.handle(self.now_ms(), event)
        except UnexpectedMessageError as error:
            self.log("error", "upgrade.word_refused", cause=str(error))
            if self.link is not None:
                self.link.abort()
            return
        for action in actions:
            self._perform(action)
        if self.phases.phase is not before:
            self.node.counters.add(f"upgrade.{self.phases.phase.value}")
            self.log("info", "upgrade.phase", before=before.value, phase=self.phases.phase.value)

    def _perform(self, action: Action) -> None:
        match action:
            case Send(Welcome() as welcome):
                self._send(structs.replace(welcome, clock_ahead_ms=-self.now_ms.steady_ms(0.0)))
            case Send(message):
                self._send(message)
            case SendEntries():
                if self.link is not None:
                    self.link.send_entries(iter(()) if self.keys_replicated else self.shared_keys.owned_entries())
            case StartAccepting():
                self.node.start_accepting()
            case StopAccepting():
                self.node.stop_accepting()
            case SetLimitShare(concurrency, memory, calls, peer_connections):
                self.decisions.set_limit_share(LimitShare(concurrency, memory, calls))
                for front, _ in self.node.fronts:
                    front.other_process_open_count = peer_connections
            case ApplyEstimates(learned):
                self.decisions.pending.append(
                    at.LearnedStateReceived(api.LearnedEstimates(learned.run_limit, learned.run_ms))
                )
            case FailPeerRuns(partial):
                self._on_peer_exit(partial)
            case SetServiceState(out_of_service):
                self.node.decisions.serving_status.out_of_service = out_of_service
                self.node.report_to_lists()
            case AbortStart(cause):
                self.node.abort_start(UpgradeError(cause))
            case ListenForSuccessor():
                self.successor_allowed.set()

    def _on_peer_exit(self, partial: bool) -> None:
        """Handle that the other process ended; ``partial``: before it had sent all its entries."""
        self.link = None
        settings = self.decisions.catalogue.effective_settings
        max_window_ms = max((kind.repeat_window_ms for kind in settings.classes), default=0.0)
        for front, _ in self.node.fronts:
            front.other_process_open_count = 0
        if not self.keys_replicated:
            self._perform_steps(
                self.shared_keys.on_peer_exit(self.now_ms(), partial, max_window_ms, settings.marks_repeats)
            )

    def _perform_steps(self, steps: list[Step]) -> None:
        for step in steps:
            match step:
                case SendToPeer(message):
                    self._send(message)
                case ResumeAttempt(request, granted):
                    self.decisions.pending.append(at.ClaimAnswered(request, granted))
                case AbandonAttempt(request):
                    self.decisions.pending.append(at.ClaimAnswered(request, None))
                case FollowerEnded(request, outcome, result):
                    self.decisions.pending.append(at.RunFinished(request, outcome, 0.0, result))

    def _send(self, message: Message) -> None:
        if self.link is not None:
            self.link.send(message)
