"""Creates the exporter of usage documents, for the node and for the command line.

Imported only if a sink is configured.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio

from flintshift.core.limits import Limits
from flintshift.core.ports import Log
from flintshift.settings.options import ExportOptions, UsageOptions
from flintshift.storage.files import DiskFiles, Files
from flintshift.storage.snapshot import DamagedError
from flintshift.usage.accounts import AccountsState
from flintshift.usage.export_driver import ExportDriver
from flintshift.usage.exporter import DeliveryConfig
from flintshift.usage.ledger import Ledger
from flintshift.usage.sinks import MAX_RESPONSE_BYTES, FolderSink, HttpSink, Sink

RESTART_DELAY_S = 30.0  # after an error that stopped the exporter: of the disk, or a damaged file


def create_sinks(options: ExportOptions, files: Files, ledger_id: str = "") -> dict[str, Sink]:
    """Create the configured sinks, by name. ``ledger_id`` identifies a replicated ledger to an HTTP sink."""
    sinks: dict[str, Sink] = {}
    if options.folder is not None:
        sinks["folder"] = FolderSink(files, options.folder)
    if options.http is not None:
        from flintshift.wire.http_client import BoundedTransport

        transport = BoundedTransport(Limits(), MAX_RESPONSE_BYTES)
        sinks["http"] = HttpSink(options.http.url, options.http.timeout_ms, transport, ledger_id)
    return sinks


def create_export(
    folder: Path,
    options: ExportOptions,
    log: Log,
    until_done: bool,
    files: Files | None = None,
    replicated: AccountsState | None = None,
    on_acknowledged: Callable[[str, str, bytes], object] = lambda sink, name, digest: None,
) -> ExportDriver:
    """Create an exporter of the documents in a folder.

    ``until_done``: it ends once nothing is left to deliver; else it runs until cancelled. ``replicated``: the state of
    the ledger if other members have replicas of it; its owner exports under its epoch. ``on_acknowledged`` is called
    with the sink, the name and the digest of each acknowledged document.
    """
    files = files or DiskFiles()
    delivery_config = DeliveryConfig(options.backoff_ms, options.max_backoff_ms, options.attempts_per_hour)
    ledger_id = f"{replicated.node}.{replicated.life.hex()}" if replicated is not None else ""
    return ExportDriver(
        files,
        folder,
        create_sinks(options, files, ledger_id),
        delivery_config,
        random.SystemRandom().random,
        lambda: time.monotonic() * 1000,
        log,
        until_done,
        replicated.epoch if replicated is not None else None,
        on_acknowledged,
    )


def create_export_actor(ledger: Ledger, usage: UsageOptions, log: Log) -> Callable[[], Coroutine[Any, Any, None]]:
    """Return the exporter as an actor of the node. An error that stops it is logged, and it is restarted after a delay.

    No request fails because of it."""
    options = usage.export
    assert options is not None

    async def run() -> None:
        while True:
            replication = ledger.replication
            export = create_export(
                usage.folder,
                options,
                log,
                False,
                ledger.folder.files,
                ledger.accounts.state if replication is not None else None,
                replication.on_exported if replication is not None else lambda sink, name, digest: None,
            )
            ledger.on_documents_published = export.request_check
            with anyio.CancelScope() as scope:
                ledger.on_folder_switched = scope.cancel
                try:
                    await export.run()
                except* (OSError, DamagedError) as errors:
                    log("error", "export.stopped", cause="; ".join(map(str, errors.exceptions)))
                await anyio.sleep(RESTART_DELAY_S)

    return run
