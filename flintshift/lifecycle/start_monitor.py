"""Monitors the start of a node: reports its phases as events and at a socket, and slows down crash loops.

Crash loops are slowed down only if a folder for the start history is configured. Imported only if `startup:` is on; the
rules are in `startup/phases.py` and `startup/crash_loops.py`.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio

from flintshift.core.counters import Counters
from flintshift.core.ports import Log
from flintshift.settings.options import StartupOptions
from flintshift.startup.backoff import Uniform
from flintshift.startup.crash_loops import StartHistory
from flintshift.startup.phases import NodeState, Phase, PhaseEntered, PhaseOverdue, Phases, services_in_use
from flintshift.storage import snapshot
from flintshift.storage.files import DiskFiles, Files

CHECK_INTERVAL_S = 0.05  # between two checks of the node's state, until service is steady
HISTORY_FILE = "lives.json"


class StartMonitor:
    """Follows the phases of a start.

    ``node_state`` returns the state that the phases depend on; ``on_steady`` is called when the start has ended."""

    def __init__(
        self,
        options: StartupOptions,
        cold_ms: float,
        node_state: Callable[[], NodeState],
        on_steady: Callable[[], None],
        uniform: Uniform,
        counters: Counters,
        log: Log,
        files: Files | None = None,
    ) -> None:
        self.options, self.node_state, self.on_steady, self.uniform = options, node_state, on_steady, uniform
        self.counters, self.log = counters, log
        self.files = files or DiskFiles()
        self.phases = Phases(self._now_ms(), cold_ms)
        self.entered_phases: list[dict[str, Any]] = []
        self.start_wall_ms: float | None = None  # when this start began; None: not recorded, or recorded as a success
        self.crash_loop_wait_ms, self.failures = 0.0, 0

    @staticmethod
    def _now_ms() -> float:
        return time.monotonic() * 1000

    async def wait_out_crash_loop(self) -> None:
        """Record this start, and wait if earlier ones failed, before the node sends anything to anybody."""
        wall_ms, folder = time.time() * 1000, self.options.folder
        if folder is None:
            return
        history = self._read_history(folder)
        failures, wait_ms = history.count_failures(wall_ms), history.wait_ms(wall_ms, self.uniform)
        self.failures, self.start_wall_ms = failures, wall_ms
        self._write_history(folder, history.with_start(wall_ms))
        if wait_ms:
            self.crash_loop_wait_ms = wait_ms
            self.counters.add("startup.crash_loops")
            self.log(
                "error",
                "startup.crash_loop",
                failures=failures,
                wait_ms=round(wait_ms),
                cause="earlier starts ended without steady service and without a shutdown notice",
            )
            await anyio.sleep(wait_ms / 1000)
            self.phases = Phases(self._now_ms(), self.phases.cold_ms)

    def record_success(self) -> None:
        """Record that this process has reached steady service, or stops after a shutdown notice."""
        folder, start_wall_ms = self.options.folder, self.start_wall_ms
        if folder is not None and start_wall_ms is not None:
            self.start_wall_ms = None
            # The file is read again, as the other process of an upgrade may have recorded a start.
            self._write_history(folder, self._read_history(folder).with_success(start_wall_ms))

    def _read_history(self, folder: Path) -> StartHistory:
        try:
            self.files.make_folder(folder)
            if HISTORY_FILE in self.files.names(folder):
                return StartHistory.decode(self.files.read(folder / HISTORY_FILE))
        except OSError as error:
            self._on_history_failure(error)
        return StartHistory([])

    def _write_history(self, folder: Path, history: StartHistory) -> None:
        try:
            snapshot.publish(self.files, folder / HISTORY_FILE, history.encode())
        except OSError as error:
            self._on_history_failure(error)

    def _on_history_failure(self, error: OSError) -> None:
        """Report that the start history can't be read or written: that must not fail a start."""
        self.counters.add("startup.not_kept")
        self.log(
            "warning",
            "startup.not_kept",
            folder=str(self.options.folder),
            cause=str(error),
            then="a crash loop is not slowed until this folder can be read and written",
        )

    async def run(self) -> None:
        """Follow the phases until service is steady."""
        while self.phases.phase is not Phase.STEADY:
            for action in self.phases.handle(self._now_ms(), self.node_state()):
                match action:
                    case PhaseEntered(phase, after_ms, waited_for):
                        fields = {
                            "phase": phase.name.lower(),
                            "after_ms": round(after_ms),
                            "waited_for": list(waited_for),
                        }
                        self.entered_phases.append(fields)
                        self.log("info", "startup.phase", **fields)
                    case PhaseOverdue(phase, after_ms, waits_for):
                        self.counters.add("startup.late")
                        self.log(
                            "warning",
                            "startup.late",
                            phase=phase.name.lower(),
                            after_ms=round(after_ms),
                            waits_for=list(waits_for),
                        )
            await anyio.sleep(CHECK_INTERVAL_S)
        self.record_success()
        self.on_steady()

    def status(self) -> dict[str, Any]:
        """Return the state of the start, for operators."""
        phases = self.phases
        return {
            "phase": phases.phase.name.lower(),
            "ready": phases.ready,
            "asks": services_in_use(phases.phase),
            "for_ms": round(self._now_ms() - phases.since_ms),
            "waits_for": list(phases.waited_for),
            "entered": self.entered_phases,
            "crash_loop_wait_ms": round(self.crash_loop_wait_ms),
            "lives_that_ended_badly": self.failures,
        }
