"""The wiring of the exporter, in the node and on its own; imported only where there is something to export to."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio

from flintshift.core.ports import Log
from flintshift.settings.options import ExportOptions, UsageOptions
from flintshift.storage.files import DiskFiles, Files
from flintshift.storage.snapshot import DamagedError
from flintshift.usage.accounts import AccountsState
from flintshift.usage.export_driver import ExportDriver
from flintshift.usage.exporter import DeliveryConfig
from flintshift.usage.ledger import Ledger
from flintshift.usage.sinks import FolderSink, HttpSink, Sink

RESTART_DELAY_S = 30.0  # after what stopped an exporter: a disk that refuses, or a file that was damaged


def sinks_of(options: ExportOptions, files: Files, ledger: str = "") -> dict[str, Sink]:
    sinks: dict[str, Sink] = {}
    if options.folder is not None:
        sinks["folder"] = FolderSink(files, options.folder)
    if options.http is not None:
        sinks["http"] = HttpSink(options.http.url, options.http.timeout_ms, ledger)
    return sinks


def create_export(
    folder: Path,
    options: ExportOptions,
    log: Log,
    until_done: bool,
    files: Files | None = None,
    copied: AccountsState | None = None,
    noted: Callable[[str, str, bytes], object] = lambda sink, name, digest: None,
) -> ExportDriver:
    """``copied``: the ledger's state, where further members hold it: whoever writes it exports under its epoch."""
    files = files or DiskFiles()
    pace = DeliveryConfig(options.backoff_ms, options.backoff_most_ms, options.attempts_per_hour)
    ledger = f"{copied.node}.{copied.life.hex()}" if copied is not None else ""
    return ExportDriver(
        files,
        folder,
        sinks_of(options, files, ledger),
        pace,
        random.SystemRandom().random,
        lambda: time.monotonic() * 1000,
        log,
        until_done,
        copied.epoch if copied is not None else None,
        noted,
    )


def create_export_actor(ledger: Ledger, usage: UsageOptions, log: Log) -> Callable[[], Coroutine[Any, Any, None]]:
    """The exporter as an actor of the node. What stops it stops no request: it is told, and begun again later."""
    options = usage.export
    assert options is not None

    async def run() -> None:
        while True:
            copies = ledger.replication
            export = create_export(
                usage.folder,
                options,
                log,
                False,
                ledger.folder.files,
                ledger.accounts.state if copies is not None else None,
                copies.on_exported if copies is not None else lambda sink, name, digest: None,
            )
            ledger.on_documents_published = export.request_check
            with anyio.CancelScope() as turn:
                ledger.on_folder_switched = turn.cancel
                try:
                    await export.run()
                except* (OSError, DamagedError) as errors:
                    log("error", "export.stopped", cause="; ".join(map(str, errors.exceptions)))
                await anyio.sleep(RESTART_DELAY_S)

    return run
