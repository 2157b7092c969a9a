"""Opens, at the start of a node, what is kept on a disk that lasts: the ledger of use and the copies.

A disk may refuse for a while, and what was taken on before is owed all the same: both are tried again for as long as
the start may take. Imported only where one of them is on.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.ports import Log
from flintshift.lifecycle.clock import Clock
from flintshift.lifecycle.config import Config, ConfigError
from flintshift.lifecycle.start_retry import StartRetry
from flintshift.settings.options import CopiesOptions, PeersOptions, UsageOptions
from flintshift.storage.files import LockedError
from flintshift.storage.snapshot import DamagedError

if TYPE_CHECKING:
    from flintshift.lifecycle.replication import ReplicationService
    from flintshift.usage.ledger import Ledger

UNUSABLE = (OSError, LockedError, DamagedError)


def open_ledger(config: Config, options: UsageOptions, log: Log, retry: StartRetry) -> Ledger:
    """The ledger of use on its folder.

    Raises:
        ConfigError: it can't be opened, or not in time.
    """
    from flintshift.lifecycle import usage_recording

    copies = config.operators.copies
    opened = partial(
        usage_recording.open_ledger,
        config.name,
        config.settings,
        options,
        log,
        copied=copies is not None and copies.copies > 1,
    )
    try:
        return retry.outlast(opened)
    except UNUSABLE as error:
        raise ConfigError(f"the ledger of use can't be opened: {error}") from error


def open_replication(
    config: Config,
    peers: PeersOptions,
    options: CopiesOptions,
    decisions: Decisions,
    counters: Counters,
    now_ms: Clock,
    log: Log,
    retry: StartRetry,
) -> ReplicationService:
    """What is held for other members, on its folder.

    Raises:
        ConfigError: it can't be used, or not in time.
    """
    from flintshift.lifecycle.replication import ReplicationService

    if config.name not in peers.members:
        raise ConfigError(f"this node, {config.name}, is none of peers.members: {', '.join(peers.members)}")
    opened = partial(
        ReplicationService,
        config.name,
        peers,
        options,
        decisions,
        config.limits,
        counters,
        now_ms,
        log,
        retry.again,
        may_have_predecessor=config.control is not None,
    )
    try:
        return retry.outlast(opened)
    except UNUSABLE as error:
        raise ConfigError(f"the folder of copies can't be used: {error}") from error


def replicate_ledger(copying: ReplicationService, ledger: Ledger, options: UsageOptions, retry: StartRetry) -> None:
    """Have the ledger written to further members too, and theirs held here.

    Raises:
        ConfigError: the folder can't be used, or not in time.
    """
    try:
        retry.outlast(partial(copying.replicate_ledger, ledger, options))
    except UNUSABLE as error:
        raise ConfigError(f"the folder of copies can't be used: {error}") from error
