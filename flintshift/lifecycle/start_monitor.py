"""The start of a node as operators see it: its phases as events and at a socket, and a crash loop that is slowed where
a folder lasts. Imported only where `startup:` is on; the rules are `startup/phases.py` and `startup/crash_loops.py`.
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

LOOK_S = 0.05  # between two looks, until service is steady
FILE = "lives.json"


class Starting:
    """``seen`` tells how the node stands; ``steady`` is called once the start is over."""

    def __init__(
        self,
        options: StartupOptions,
        cold_ms: float,
        seen: Callable[[], NodeState],
        steady: Callable[[], None],
        uniform: Uniform,
        counters: Counters,
        log: Log,
        files: Files | None = None,
    ) -> None:
        self.options, self.seen, self.steady, self.uniform = options, seen, steady, uniform
        self.counters, self.log = counters, log
        self.files = files or DiskFiles()
        self.phases = Phases(self._now(), cold_ms)
        self.entered: list[dict[str, Any]] = []
        self.began_ms: float | None = None  # this life, where it is remembered
        self.waited_ms, self.failures = 0.0, 0

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000

    async def wait(self) -> None:
        """Before anything is asked of anybody."""
        wall_ms, folder = time.time() * 1000, self.options.folder
        if folder is None:
            return
        loop = self._lives(folder)
        failures, wait_ms = loop.count_failures(wall_ms), loop.wait_ms(wall_ms, self.uniform)
        self.failures, self.began_ms = failures, wall_ms
        self._keep(folder, loop.with_start(wall_ms))
        if wait_ms:
            self.waited_ms = wait_ms
            self.counters.add("startup.crash_loops")
            self.log(
                "error",
                "startup.crash_loop",
                failures=failures,
                wait_ms=round(wait_ms),
                cause="the lives before ended without steady service and without a notice to leave",
            )
            await anyio.sleep(wait_ms / 1000)
            self.phases = Phases(self._now(), self.phases.cold_ms)

    def well(self) -> None:
        """This life has come to steady service, or leaves in good order."""
        folder, began_ms = self.options.folder, self.began_ms
        if folder is not None and began_ms is not None:
            self.began_ms = None
            # an upgrade's other process may have begun a life
            self._keep(folder, self._lives(folder).with_success(began_ms))

    def _lives(self, folder: Path) -> StartHistory:
        try:
            self.files.make_folder(folder)
            if FILE in self.files.names(folder):
                return StartHistory.decode(self.files.read(folder / FILE))
        except OSError as error:
            self._not_kept(error)
        return StartHistory([])

    def _keep(self, folder: Path, loop: StartHistory) -> None:
        try:
            snapshot.publish(self.files, folder / FILE, loop.encode())
        except OSError as error:
            self._not_kept(error)

    def _not_kept(self, error: OSError) -> None:
        """A start must not fail for it."""
        self.counters.add("startup.not_kept")
        self.log(
            "warning",
            "startup.not_kept",
            folder=str(self.options.folder),
            cause=str(error),
            then="a crash loop is not slowed until this folder can be read and written",
        )

    async def run(self) -> None:
        while self.phases.phase is not Phase.STEADY:
            for action in self.phases.handle(self._now(), self.seen()):
                match action:
                    case PhaseEntered(phase, after_ms, waited_for):
                        told = {
                            "phase": phase.name.lower(),
                            "after_ms": round(after_ms),
                            "waited_for": list(waited_for),
                        }
                        self.entered.append(told)
                        self.log("info", "startup.phase", **told)
                    case PhaseOverdue(phase, after_ms, waits_for):
                        self.counters.add("startup.late")
                        self.log(
                            "warning",
                            "startup.late",
                            phase=phase.name.lower(),
                            after_ms=round(after_ms),
                            waits_for=list(waits_for),
                        )
            await anyio.sleep(LOOK_S)
        self.well()
        self.steady()

    def shown(self) -> dict[str, Any]:
        phases = self.phases
        return {
            "phase": phases.phase.name.lower(),
            "ready": phases.ready,
            "asks": services_in_use(phases.phase),
            "for_ms": round(self._now() - phases.since_ms),
            "waits_for": list(phases.waited_for),
            "entered": self.entered,
            "crash_loop_wait_ms": round(self.waited_ms),
            "lives_that_ended_badly": self.failures,
        }
