"""Creates the parts of a node from its configuration, connects them, and runs them until the node has drained."""

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
from flintshift.lifecycle.leftovers import count_leftovers
from flintshift.lifecycle.reconfiguration import Reconfiguration
from flintshift.lifecycle.signal_queue import SignalQueue
from flintshift.lifecycle.start_retry import StartRetry
from flintshift.settings.options import (
    FairQueueingOptions,
    LogOptions,
    OperatorSettings,
    PeersOptions,
    ReplicationOptions,
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
    from flintshift.lifecycle.start_monitor import StartMonitor
    from flintshift.lifecycle.start_permits import StartPermits
    from flintshift.lifecycle.upgrade import Upgrade
    from flintshift.lifecycle.usage_recording import LedgerRecorder
    from flintshift.startup.backoff import Uniform
    from flintshift.usage.ledger import Ledger
    from flintshift.wire.control_front import ControlFront


class Node:
    """One process of a results node, from its start to its end."""

    def __init__(self, config: Config, reread: Callable[[], Config], retry: StartRetry | None = None) -> None:
        """``reread`` loads the configuration as it is now; ``retry`` decides by the time that remains for the start."""
        self.retry = retry or StartRetry()
        self.config, self.limits = config, config.limits
        self.now_ms, self.counters = Clock(), Counters()
        self.log: Log = log_nothing
        self.shutdown_requested = anyio.Event()
        self.bound = False  # whether it listens on its addresses
        self.start_error: OSError | None = None  # why it stops before it has served
        # Seeded with the name too: nodes of one configuration draw different numbers, and a node the same each time.
        self.uniform: Uniform = random.Random(f"{config.name} {config.seed}").uniform
        self.actors: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self.list_services: list[ListService] = []
        self.fronts: list[tuple[Front, tuple[str, int]]] = []
        self._wire_platform()
        self._wire_operators(config.operators)
        self.reconfiguration = self._create_reconfiguration(reread)
        self.registration = Registration(self.list_services, self.limits, config.settings.servers, self.uniform)
        self.drain = Drain(
            [front for front, _ in self.fronts],
            self.decisions,
            self.limits,
            self.now_ms,
            self.is_sole_process,
            self.log,
        )
        if config.operators.startup is not None:
            self._open_start_monitor(config.operators.startup)
        if config.control is not None:
            self._open_control()

    def _wire_platform(self) -> None:
        """Create the parts that the platform's protocol requires."""
        config, limits, counters, now_ms = self.config, self.limits, self.counters, self.now_ms
        self.gauges = GaugePlanner(limits, now_ms)
        self.catalogue = Catalogue(config.settings, limits)
        self.decisions = Decisions(
            self.catalogue, config.seed, limits, counters, now_ms, self.gauges.wake_at, self._on_service_change
        )
        self.pool = PoolLink(config.pool, config.gauge_names, limits, counters, self.decisions.report, self.uniform)
        self.vault = VaultLink(config.vault, limits, counters, self.decisions.report, now_ms)
        self.decisions.runs.workers, self.decisions.runs.vault_calls = {"pool": self.pool}, self.vault
        self.names = NameService(config.naming, config.name, limits, counters)
        self.list_services.append(self.names)
        self.attempt_builder = AttemptBuilder(self.catalogue, limits, now_ms, now_ms.age_ms)
        max_connections = (
            limits.http_connections if config.operators.uwsgi is None else limits.http_connections_beside_uwsgi
        )
        http = HttpFront(
            self.attempt_builder, self.decisions, limits, counters, now_ms, max_connections, self.pool.verify
        )
        self.fronts.append((http, config.listen))
        self.actors += [self.decisions.run, self.pool.run, self.vault.run]

    def _wire_operators(self, options: OperatorSettings) -> None:
        """Create the parts that the operators' file switches on; each is imported only then."""
        self.ledger: Ledger | None = None
        self.ledger_recorder: LedgerRecorder | None = None
        self.fair_queueing: FairQueueing | None = None
        self.replication: ReplicationService | None = None
        self.start_monitor: StartMonitor | None = None
        self.start_permits: StartPermits | None = None
        self.control_front: ControlFront | None = None
        self.upgrade: Upgrade | None = None
        if options.uwsgi is not None:
            self._open_uwsgi(options.uwsgi)
        if options.log is not None:
            self._open_log(options.log)
        if options.usage is not None:
            self._open_usage_ledger(options.usage)
        if options.door is not None:
            self._open_fair_queueing(options.door)
        if options.peers is not None and options.copies is not None:
            self._open_replication(options.peers, options.copies)

    def _create_reconfiguration(self, reread: Callable[[], Config]) -> Reconfiguration:
        reconfiguration = Reconfiguration(
            reread,
            self.decisions,
            self.pool,
            self.vault,
            self.names,
            self.report_to_lists,
            self.counters,
            self.log,
            self.warn,
        )
        reconfiguration.followers += [part for part in (self.ledger_recorder, self.fair_queueing) if part is not None]
        return reconfiguration

    def _open_uwsgi(self, options: UwsgiOptions) -> None:
        from flintshift.lifecycle.uwsgi_wiring import create_uwsgi_parts

        uwsgi = create_uwsgi_parts(
            self.config.name,
            options,
            self.attempt_builder,
            self.decisions,
            self.limits,
            self.counters,
            self.now_ms,
            self.pool.verify,
            self.uniform,
        )
        self.decisions.runs.workers = {"pool": self.pool, "apps": uwsgi.apps}
        self.list_services.append(uwsgi.list_service)
        self.fronts.append((uwsgi.front, options.listen))
        self.actors += uwsgi.actors

    def _open_log(self, options: LogOptions) -> None:
        from flintshift.lifecycle.logs import open_log

        self.log, logs_requests = open_log(options, self.config.name)
        for front, _ in self.fronts:
            front.log = self.log if logs_requests else None

    def _open_fair_queueing(self, options: FairQueueingOptions) -> None:
        from flintshift.lifecycle.fair_queueing import FairQueueing

        self.fair_queueing = FairQueueing(self.config.settings, self.limits, self.counters, self.now_ms)
        self.fair_queueing.log = self.log
        self.decisions.use_ranking(self.fair_queueing)
        if options.socket is not None:
            self._open_status_socket(options.socket, "door", self.fair_queueing.status, "the state of the clubs")

    def _open_status_socket(self, path: Path, part: str, status: Callable[[], Any], description: str) -> None:
        """Serve the status of a part at a Unix socket."""
        from flintshift.lifecycle.status_socket import StatusSocket

        self.actors.append(StatusSocket(path, part, status, description, self.limits, self.counters, self.warn).run)

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
            front.pause_accepting()  # until this process is to accept the clients

    def _open_usage_ledger(self, options: UsageOptions) -> None:
        from flintshift.lifecycle.durable_state import open_ledger
        from flintshift.lifecycle.usage_recording import LedgerRecorder

        self.ledger = open_ledger(self.config, options, self.log, self.retry)
        ledger_recorder = self.ledger_recorder = LedgerRecorder(
            self.ledger, self.config.settings, self.now_ms.steady_ms
        )
        self.decisions.runs.usage_recorder = ledger_recorder
        for front, _ in self.fronts:
            front.usage_recorder = ledger_recorder
        self.actors.append(self.ledger.run)
        if options.export is not None:
            from flintshift.lifecycle.exports import create_export_actor

            self.actors.append(create_export_actor(self.ledger, options, self.log))

    def _open_replication(self, peers: PeersOptions, options: ReplicationOptions) -> None:
        from flintshift.lifecycle.durable_state import open_replication, replicate_ledger
        from flintshift.replication.store import STATUS_SOCKET

        replication = open_replication(
            self.config, peers, options, self.decisions, self.counters, self.now_ms, self.log, self.retry
        )
        if self.ledger is not None and self.config.operators.usage is not None and options.copies > 1:
            replicate_ledger(replication, self.ledger, self.config.operators.usage, self.retry)
        self.replication = replication
        self.decisions.waiting_claims.claims, self.decisions.waiting_claims.may_run_elsewhere = replication.claims, True
        self.actors.append(replication.run)
        self._open_status_socket(
            options.folder / STATUS_SOCKET, "copies", replication.status, "the state of the replicas"
        )

    def _open_start_monitor(self, options: StartupOptions) -> None:
        from flintshift.lifecycle.start_monitor import StartMonitor
        from flintshift.startup.phases import NodeState

        settings = self.config.settings
        if options.max_concurrent_starts is not None and self.replication is not None:
            self.start_permits = self.replication.create_start_permits(
                options.max_concurrent_starts, self.uniform, self.report_to_lists
            )
        start_permits = self.start_permits
        start_monitor = self.start_monitor = StartMonitor(
            options,
            settings.cold_ms if settings.cold else 0.0,
            lambda: NodeState(
                self.bound,
                self.decisions.serving_status.workers_up,
                self.registration.accepted_reports > 0,
                start_permits is None or start_permits.requester.proceeded,
            ),
            start_permits.finish if start_permits is not None else lambda: None,
            self.uniform,
            self.counters,
            self.log,
        )
        self.actors.append(start_monitor.run)
        if options.socket is not None:
            self._open_status_socket(options.socket, "startup", start_monitor.status, "the state of the start")

    async def run(self) -> None:
        """Serve until a shutdown notice arrives, then drain."""
        signal_queue = SignalQueue()
        with signal_queue.receiving():
            try:
                # After a shutdown notice the node does not begin: the kill follows the notice, not its handling.
                if not signals.shutdown_pending():
                    signals.unblock()
                    if self.start_monitor is not None:
                        await self._run_unless_shutdown(signal_queue, self.start_monitor.wait_out_crash_loop)
                    if not self.shutdown_requested.is_set():
                        await self._serve(signal_queue)
            finally:
                signals.block()
                if self.ledger is not None:
                    await self.ledger.close()
            if self.start_error is not None:
                raise self.start_error
            if self.start_monitor is not None:
                self.start_monitor.record_success()
            self._report_leftovers()
            self.log("info", "node.left", open=self.decisions.unanswered)

    def _report_leftovers(self) -> None:
        """Report what is left behind at the exit: a fault of the program, or the kill was near."""
        leftovers = count_leftovers([front for front, _ in self.fronts], self.decisions)
        for name, count in asdict(leftovers).items():
            if count:
                self.counters.add(f"left.{name}", count)
        if not leftovers.is_empty:
            self.log("error", "node.left_behind", **asdict(leftovers))

    async def _serve(self, signal_queue: SignalQueue) -> None:
        listeners: list[Acceptor] = []
        control_listeners: list[socket.socket] = []

        async def listen() -> None:
            listeners.extend(await self._open_listeners())
            if self.config.control is not None:
                control_listeners.append(
                    await open_listener_with_retries(self.config.control, self.limits, self.retry.should_retry)
                )

        await self._run_unless_shutdown(signal_queue, listen)
        if len(listeners) != len(self.fronts) or (self.config.control is not None and not control_listeners):
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
                for control_listener in control_listeners:
                    tasks.start_soon(self.control_front.serve, control_listener, tasks)
            self.bound = True
            self.log("info", "node.listening", listen=[f"{host}:{port}" for _, (host, port) in self.fronts])
            tasks.start_soon(self._handle_signals, signal_queue, self.shutdown_requested)
            await self.shutdown_requested.wait()
            shutdown_notice_age_ms = signal_queue.shutdown_notice_age_ms()
            self.log("info", "node.leaving", stop_ms=self.limits.stop_ms, heard_after_ms=round(shutdown_notice_age_ms))
            if self.upgrade is not None:
                self.upgrade.on_leave()
            if self.start_error is None:
                await self.drain.run(
                    self.config.settings.drain_grace_ms,
                    kill_after_ms(self.limits.stop_ms, self.decisions.catalogue.settings.classes),
                    self.upgrade is not None and self.upgrade.shedding,
                    shutdown_notice_age_ms,
                )
            if self.upgrade is not None:
                await self.upgrade.close()
            tasks.cancel_scope.cancel()

    async def _run_unless_shutdown(
        self, signal_queue: SignalQueue, step: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        """Run a step of the start that may take long, and handle signals meanwhile; a shutdown notice cancels it.

        Raises:
            OSError: if the step does.
        """
        step_error: OSError | None = None
        async with anyio.create_task_group() as tasks:

            async def cancel_on_shutdown() -> None:
                await self.shutdown_requested.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(self._handle_signals, signal_queue, self.shutdown_requested)
            tasks.start_soon(cancel_on_shutdown)
            try:
                await step()
            except OSError as error:
                step_error = error
            tasks.cancel_scope.cancel()
        if step_error is not None:
            raise step_error

    async def _handle_signals(self, signal_queue: SignalQueue, shutdown_requested: anyio.Event) -> None:
        while True:  # during a drain too: the configured addresses may change meanwhile
            match await signal_queue.take():
                case signal.SIGUSR1:
                    self.print_counters()
                case signal.SIGHUP:
                    self.config = self.reconfiguration.reload(self.config)
                    if self.reconfiguration.reread_delay_s is not None:
                        signal_queue.add_later(signal.SIGHUP, self.reconfiguration.reread_delay_s)
                case _:
                    shutdown_requested.set()

    @staticmethod
    def warn(text: str) -> None:
        """Write a warning to standard error."""
        standard_error.write_line(f"flintshift: {text}")

    def is_sole_process(self) -> bool:
        """Return whether no other process of this node has its listeners."""
        return self.upgrade is None or self.upgrade.phases.alone

    # Calls of operators at the control endpoint.

    def not_ready_reason(self) -> str | None:
        """Return why this process does not serve clients; None if it does."""
        serving_status = self.decisions.serving_status
        if serving_status.draining:
            return "the node leaves"
        if self.upgrade is not None and serving_status.workers_up and not self.upgrade.phases.accepts_clients:
            return "another process of this node takes the clients"
        if serving_status.out_of_service:
            return "the node is out of service"
        return None if serving_status.workers_up else "the worker pool is not linked yet"

    def take_out_of_service(self) -> str | None:
        """Make health checks fail; return why not, if that is not possible."""
        return self._serve_clients(False)

    def put_in_service(self) -> str | None:
        """Make health checks succeed again; return why not, if that is not possible."""
        return self._serve_clients(True)

    def _serve_clients(self, serving: bool) -> str | None:
        if serving and self.decisions.serving_status.draining:
            return "the node leaves"
        if self.decisions.serving_status.out_of_service is serving:
            self.decisions.serving_status.out_of_service = not serving
            self.log("info", "node.in_service" if serving else "node.out_of_service", open=self.drain.open_requests())
        self.report_to_lists()
        if self.upgrade is not None:
            self.upgrade.on_operator_command(not serving)
        return None

    def _on_service_change(self) -> None:
        """Handle that the worker pool is up for the first time, or that a shutdown notice has arrived."""
        if self.upgrade is not None and self.decisions.serving_status.workers_up and not self.upgrade.phases.pool_up:
            self.upgrade.on_pool_up()
        self.report_to_lists()

    def report_to_lists(self) -> None:
        """Report to the services that list this node whether it serves.

        A node that is out of service continues to report that it does not serve: without reports it would look dead,
        and would be found late when it serves again."""
        serving_status = self.decisions.serving_status
        if self.upgrade is not None and not self.upgrade.phases.accepts_clients:
            return  # the other process reports
        if (
            self.start_permits is not None
            and serving_status.workers_up
            and not serving_status.draining
            and self.is_sole_process()
            and not self.start_permits.may_proceed()
        ):
            return  # called again once the start may proceed
        if serving_status.workers_up or serving_status.draining:
            self.registration.announce(
                not (serving_status.draining or serving_status.out_of_service), last=serving_status.draining
            )

    def abort_start(self, error: OSError) -> None:
        """Stop at once with this error: this process has accepted no clients."""
        self.start_error = error
        self.shutdown_requested.set()

    def start_accepting(self) -> None:
        """Accept connections from now on, and report to the lists."""
        for front, _ in self.fronts:
            front.resume_accepting()
        self.report_to_lists()

    def stop_accepting(self) -> None:
        """Leave new connections to another process of this node; open ones continue here until their next answer."""
        for front, _ in self.fronts:
            front.pause_accepting()
        self.registration.announce(None)

    async def _open_listeners(self) -> list[Acceptor]:
        if self.upgrade is None:
            return [
                Acceptor(
                    await open_listener_with_retries(address, self.limits, self.retry.should_retry),
                    self.limits.max_received_bytes,
                )
                for _, address in self.fronts
            ]
        await self.upgrade.begin()
        return [Acceptor(raw, self.limits.max_received_bytes) for raw in self.upgrade.sockets]

    def print_counters(self) -> None:
        """Write all counters to standard error as one line of JSON."""
        standard_error.write_line(self.counters.to_json_line(self.config.name))
