"""The wiring of the node, and its drain."""

from __future__ import annotations

import random
import signal
import socket
from collections.abc import Callable, Coroutine
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import anyio

from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.gauges import GaugePlanner
from flintshift.core.ports import Log, log_nothing
from flintshift.lifecycle import signals
from flintshift.lifecycle.clock import Clock
from flintshift.lifecycle.config import Config
from flintshift.lifecycle.drain import Drain, kill_after_ms
from flintshift.lifecycle.leftovers import leftovers
from flintshift.lifecycle.reconfiguration import Reconfiguration
from flintshift.lifecycle.signal_queue import SignalQueue
from flintshift.lifecycle.start_retry import StartRetry
from flintshift.settings.options import (
    CopiesOptions,
    DoorOptions,
    LogOptions,
    Operators,
    PeersOptions,
    StartupOptions,
    UsageOptions,
    UwsgiOptions,
)
from flintshift.startup.registration import ListService, Registration
from flintshift.wire import standard_error
from flintshift.wire.acceptor import Acceptor, open_listener_with_retries
from flintshift.wire.fields import AttemptBuilder
from flintshift.wire.front import Front
from flintshift.wire.http_front import HttpFront
from flintshift.wire.names import NameService
from flintshift.wire.pool import PoolLink
from flintshift.wire.vault import VaultLink

if TYPE_CHECKING:
    from pathlib import Path

    from flintshift.lifecycle.fair_queueing import FairQueueing
    from flintshift.lifecycle.replication import ReplicationService
    from flintshift.lifecycle.start_monitor import Starting
    from flintshift.lifecycle.start_permits import StartPermits
    from flintshift.lifecycle.upgrade import Upgrade
    from flintshift.lifecycle.usage_recording import LedgerRecorder
    from flintshift.startup.backoff import Uniform
    from flintshift.usage.ledger import Ledger
    from flintshift.wire.control_front import ControlFront


class Node:
    """One process of a results node: its parts, wired by the configuration, from its start to its end."""

    def __init__(self, config: Config, reread: Callable[[], Config], retry: StartRetry | None = None) -> None:
        """``reread`` gives the configuration as it stands now; ``retry`` goes by the time that the start has left."""
        self.retry = retry or StartRetry()
        self.config, self.limits = config, config.limits
        self.now_ms, self.counters = Clock(), Counters()
        self.log: Log = log_nothing
        self.leave = anyio.Event()
        self.bound = False  # its addresses listen
        self.failed: OSError | None = None  # why it ends before it served
        # Of name and seed: two nodes of one configuration draw differently, and a node the same each time.
        self.uniform: Uniform = random.Random(f"{config.name} {config.seed}").uniform
        self.actors: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self.lists: list[ListService] = []
        self.fronts: list[tuple[Front, tuple[str, int]]] = []
        self._wire_platform()
        self._wire_operators(config.operators)
        self.reconfiguration = self._reconfiguration(reread)
        self.registration = Registration(self.lists, self.limits, config.settings.servers, self.uniform)
        self.drain = Drain(
            [front for front, _ in self.fronts], self.decisions, self.limits, self.now_ms, self.alone, self.log
        )
        if config.operators.startup is not None:
            self._watch_start(config.operators.startup)
        if config.control is not None:
            self._open_control()

    def _wire_platform(self) -> None:
        """The parts that the platform's protocol asks for."""
        config, limits, counters, now_ms = self.config, self.limits, self.counters, self.now_ms
        self.gauges = GaugePlanner(limits, now_ms)
        self.catalogue = Catalogue(config.settings, limits)
        self.decisions = Decisions(
            self.catalogue, config.seed, limits, counters, now_ms, self.gauges.wake_at, self._moved
        )
        self.pool = PoolLink(config.pool, config.gauge_names, limits, counters, self.decisions.report, self.uniform)
        self.vault = VaultLink(config.vault, limits, counters, self.decisions.report, now_ms)
        self.decisions.runs.workers, self.decisions.runs.vault_calls = {"pool": self.pool}, self.vault
        self.names = NameService(config.naming, config.name, limits, counters)
        self.lists.append(self.names)
        self.fields = AttemptBuilder(self.catalogue, limits, now_ms, now_ms.age_ms)
        most = limits.http_connections if config.operators.uwsgi is None else limits.http_connections_beside_uwsgi
        http = HttpFront(self.fields, self.decisions, limits, counters, now_ms, most, self.pool.verify)
        self.fronts.append((http, config.listen))
        self.actors += [self.decisions.run, self.pool.run, self.vault.run]

    def _wire_operators(self, options: Operators) -> None:
        """The parts that the operators' file switches on; each is imported only then."""
        self.ledger: Ledger | None = None
        self.usage_recorder: LedgerRecorder | None = None
        self.fair_queueing: FairQueueing | None = None
        self.replication: ReplicationService | None = None
        self.start_monitor: Starting | None = None
        self.start_permits: StartPermits | None = None
        self.control_front: ControlFront | None = None
        self.upgrade: Upgrade | None = None
        if options.uwsgi is not None:
            self._open_second_front(options.uwsgi)
        if options.log is not None:
            self._open_log(options.log)
        if options.usage is not None:
            self._keep_books(options.usage)
        if options.door is not None:
            self._rank_clubs(options.door)
        if options.peers is not None and options.copies is not None:
            self._keep_copies(options.peers, options.copies)

    def _reconfiguration(self, reread: Callable[[], Config]) -> Reconfiguration:
        reconfiguration = Reconfiguration(
            reread,
            self.decisions,
            self.pool,
            self.vault,
            self.names,
            self.tell_lists,
            self.counters,
            self.log,
            self.warn,
        )
        reconfiguration.followers += [part for part in (self.usage_recorder, self.fair_queueing) if part is not None]
        return reconfiguration

    def _open_second_front(self, options: UwsgiOptions) -> None:
        from flintshift.lifecycle.uwsgi_wiring import second_front

        second = second_front(
            self.config.name,
            options,
            self.fields,
            self.decisions,
            self.limits,
            self.counters,
            self.now_ms,
            self.pool.verify,
            self.uniform,
        )
        self.decisions.runs.workers = {"pool": self.pool, "apps": second.apps}
        self.lists.append(second.listed)
        self.fronts.append((second.front, options.listen))
        self.actors += second.actors

    def _open_log(self, options: LogOptions) -> None:
        from flintshift.lifecycle.logs import open_log

        self.log, requests_too = open_log(options, self.config.name)
        for front, _ in self.fronts:
            front.log = self.log if requests_too else None

    def _rank_clubs(self, options: DoorOptions) -> None:
        from flintshift.lifecycle.fair_queueing import FairQueueing

        self.fair_queueing = FairQueueing(self.config.settings, self.limits, self.counters, self.now_ms)
        self.fair_queueing.log = self.log
        self.decisions.use_ranking(self.fair_queueing)
        if options.socket is not None:
            self._show(options.socket, "door", self.fair_queueing.shown, "how the clubs stand")

    def _show(self, path: Path, name: str, shown: Callable[[], Any], what: str) -> None:
        """Let whoever asks at a Unix socket know how a part stands."""
        from flintshift.lifecycle.status_socket import StatusSocket

        self.actors.append(StatusSocket(path, name, shown, what, self.limits, self.counters, self.warn).run)

    def _open_control(self) -> None:
        from flintshift.lifecycle.upgrade import Upgrade
        from flintshift.wire.control_front import ControlFront

        self.control_front = ControlFront(self, self.limits, self.counters, self.now_ms)
        self.control_front.log = self.log
        self.upgrade = Upgrade(self)
        self.decisions.waiting_claims.claims = self.upgrade
        if self.replication is not None:
            from flintshift.lifecycle.consensus_in_upgrade import ConsensusInUpgrade

            self.decisions.waiting_claims.claims = ConsensusInUpgrade(self.upgrade, self.replication.claims)
        for front, _ in self.fronts:
            front.pause_accepting()  # until it is known that this process takes the clients

    def _keep_books(self, options: UsageOptions) -> None:
        from flintshift.lifecycle.durable_state import open_ledger
        from flintshift.lifecycle.usage_recording import LedgerRecorder

        self.ledger = open_ledger(self.config, options, self.log, self.retry)
        books = self.usage_recorder = LedgerRecorder(self.ledger, self.config.settings, self.now_ms.steady_ms)
        self.decisions.runs.usage_recorder = books
        for front, _ in self.fronts:
            front.usage_recorder = books
        self.actors.append(self.ledger.run)
        if options.export is not None:
            from flintshift.lifecycle.exports import create_export_actor

            self.actors.append(create_export_actor(self.ledger, options, self.log))

    def _keep_copies(self, peers: PeersOptions, options: CopiesOptions) -> None:
        from flintshift.lifecycle.durable_state import open_replication, replicate_ledger
        from flintshift.replication.store import STATUS_SOCKET

        copying = open_replication(
            self.config, peers, options, self.decisions, self.counters, self.now_ms, self.log, self.retry
        )
        if self.ledger is not None and self.config.operators.usage is not None and options.copies > 1:
            replicate_ledger(copying, self.ledger, self.config.operators.usage, self.retry)
        self.replication = copying
        self.decisions.waiting_claims.claims, self.decisions.waiting_claims.may_run_elsewhere = copying.claims, True
        self.actors.append(copying.run)
        self._show(options.folder / STATUS_SOCKET, "copies", copying.status, "how the copies stand")

    def _watch_start(self, options: StartupOptions) -> None:
        from flintshift.lifecycle.start_monitor import Starting
        from flintshift.startup.phases import NodeState

        settings = self.config.settings
        if options.at_once is not None and self.replication is not None:
            self.start_permits = self.replication.create_start_permits(options.at_once, self.uniform, self.tell_lists)
        permits = self.start_permits
        starting = self.start_monitor = Starting(
            options,
            settings.cold_ms if settings.cold else 0.0,
            lambda: NodeState(
                self.bound,
                self.decisions.serving_status.workers_up,
                self.registration.accepted_reports > 0,
                permits is None or permits.requester.proceeded,
            ),
            permits.finish if permits is not None else lambda: None,
            self.uniform,
            self.counters,
            self.log,
        )
        self.actors.append(starting.run)
        if options.socket is not None:
            self._show(options.socket, "startup", starting.shown, "how the node comes up")

    async def run(self) -> None:
        """Serve until told to leave."""
        received = SignalQueue()
        with received.receiving():
            try:
                # Told to leave before it served, it does not begin: the kill follows the notice, not its reading.
                if not signals.shutdown_pending():
                    signals.unblock()
                    if self.start_monitor is not None:
                        await self._unless_told(received, self.start_monitor.wait)
                    if not self.leave.is_set():
                        await self._serve(received)
            finally:
                signals.block()
                if self.ledger is not None:
                    await self.ledger.close()
            if self.failed is not None:
                raise self.failed
            if self.start_monitor is not None:
                self.start_monitor.well()
            self._leave_nothing()
            self.log("info", "node.left", open=self.decisions.unanswered)

    def _leave_nothing(self) -> None:
        """Tell of what outlives its owner at the exit: it is a fault of the program, or the kill was near."""
        left = leftovers([front for front, _ in self.fronts], self.decisions)
        for name, count in asdict(left).items():
            if count:
                self.counters.add(f"left.{name}", count)
        if not left.none:
            self.log("error", "node.left_behind", **asdict(left))

    async def _serve(self, received: SignalQueue) -> None:
        listeners: list[Acceptor] = []
        doors: list[socket.socket] = []

        async def listen() -> None:
            listeners.extend(await self._listeners())
            if self.config.control is not None:
                doors.append(
                    await open_listener_with_retries(self.config.control, self.limits, self.retry.should_retry)
                )

        await self._unless_told(received, listen)
        if len(listeners) != len(self.fronts) or (self.config.control is not None and not doors):
            return
        async with anyio.create_task_group() as tasks:
            if self.upgrade is not None:
                self.actors.append(self.upgrade.run)
            for actor in self.actors:
                tasks.start_soon(actor)
            tasks.start_soon(self.gauges.run, self.pool, self.decisions.tick)
            tasks.start_soon(self.registration.run)
            for (front, _), listener in zip(self.fronts, listeners, strict=True):
                tasks.start_soon(front.serve, listener, tasks)
                tasks.start_soon(front.sweep)
            if self.control_front is not None:
                for door in doors:
                    tasks.start_soon(self.control_front.serve, door, tasks)
            self.bound = True
            self.log("info", "node.listening", listen=[f"{host}:{port}" for _, (host, port) in self.fronts])
            tasks.start_soon(self._heed, received, self.leave)
            await self.leave.wait()
            shutdown_notice_age_ms = received.shutdown_notice_age_ms()
            self.log("info", "node.leaving", stop_ms=self.limits.stop_ms, heard_after_ms=round(shutdown_notice_age_ms))
            if self.failed is None:
                await self.drain.run(
                    self.config.settings.drain_grace_ms,
                    kill_after_ms(self.limits.stop_ms, self.decisions.catalogue.effective_settings.classes),
                    self.upgrade is not None and self.upgrade.shedding,
                    shutdown_notice_age_ms,
                )
            if self.upgrade is not None:
                await self.upgrade.close()
            tasks.cancel_scope.cancel()

    async def _unless_told(self, received: SignalQueue, act: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Do a part of the start that may take long, and heed signals meanwhile; a notice to leave ends it.

        Raises:
            OSError: as the part does.
        """
        failed: OSError | None = None
        async with anyio.create_task_group() as tasks:

            async def until_left() -> None:
                await self.leave.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(self._heed, received, self.leave)
            tasks.start_soon(until_left)
            try:
                await act()
            except OSError as error:
                failed = error
            tasks.cancel_scope.cancel()
        if failed is not None:
            raise failed

    async def _heed(self, received: SignalQueue, leave: anyio.Event) -> None:
        while True:  # in a drain too: the addresses may move under it
            match await received.take():
                case signal.SIGUSR1:
                    self.print_counters()
                case signal.SIGHUP:
                    self.config = self.reconfiguration.reload(self.config)
                    if self.reconfiguration.again_s is not None:
                        received.add_later(signal.SIGHUP, self.reconfiguration.again_s)
                case _:
                    leave.set()

    @staticmethod
    def warn(text: str) -> None:
        standard_error.write_line(f"flintshift: {text}")

    def alone(self) -> bool:
        """No other process of this node holds its listeners."""
        return self.upgrade is None or self.upgrade.phases.alone

    # What operators ask for at the control door.

    def not_ready_reason(self) -> str | None:
        posture = self.decisions.serving_status
        if posture.draining:
            return "the node leaves"
        if self.upgrade is not None and posture.workers_up and not self.upgrade.phases.accepts_clients:
            return "another process of this node takes the clients"
        if posture.out_of_service:
            return "the node is out of service"
        return None if posture.workers_up else "the worker pool is not linked yet"

    def take_out_of_service(self) -> str | None:
        return self._serve_clients(False)

    def put_in_service(self) -> str | None:
        return self._serve_clients(True)

    def _serve_clients(self, serving: bool) -> str | None:
        if serving and self.decisions.serving_status.draining:
            return "the node leaves"
        if self.decisions.serving_status.out_of_service is serving:
            self.decisions.serving_status.out_of_service = not serving
            self.log("info", "node.in_service" if serving else "node.out_of_service", open=self.drain.open())
        self.tell_lists()
        if self.upgrade is not None:
            self.upgrade.serve(not serving)
        return None

    def _moved(self) -> None:
        """The pool is up for the first time, or the notice to leave has come."""
        if self.upgrade is not None and self.decisions.serving_status.workers_up and not self.upgrade.phases.pool_up:
            self.upgrade.pool_is_up()
        self.tell_lists()

    def tell_lists(self) -> None:
        """Say where this node is listed what it does. Out of service it goes on reporting, as one that does not serve:
        one that says nothing looks dead, and is found again late."""
        posture = self.decisions.serving_status
        if self.upgrade is not None and not self.upgrade.phases.accepts_clients:
            return  # the other process tells
        if (
            self.start_permits is not None
            and posture.workers_up
            and not posture.draining
            and self.alone()
            and not self.start_permits.may_proceed()
        ):
            return  # told again once it may
        if posture.workers_up or posture.draining:
            self.registration.announce(not (posture.draining or posture.out_of_service), last=posture.draining)

    def give_up(self, error: OSError) -> None:
        """End at once: this process has taken no client."""
        self.failed = error
        self.leave.set()

    def take_clients(self) -> None:
        """This process accepts from now on, and tells where it is listed."""
        for front, _ in self.fronts:
            front.resume_accepting()
        self.tell_lists()

    def leave_clients(self) -> None:
        """Another process of this node accepts from now on; what is open here goes on to its next answer."""
        for front, _ in self.fronts:
            front.pause_accepting()
        self.registration.announce(None)

    async def _listeners(self) -> list[Acceptor]:
        if self.upgrade is None:
            return [
                Acceptor(await open_listener_with_retries(at, self.limits, self.retry.should_retry))
                for _, at in self.fronts
            ]
        await self.upgrade.begin()
        return [Acceptor(raw) for raw in self.upgrade.sockets]

    def print_counters(self) -> None:
        standard_error.write_line(self.counters.to_json_line(self.config.name))
