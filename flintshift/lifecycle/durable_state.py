"""Opens the durable state of a node at its start: the usage ledger and the store of replicas.

A disk may reject operations for a while, and what earlier processes acknowledged must not be lost: opening is retried
for as long as the start may take. Imported only if one of the two is on.
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
from flintshift.settings.options import PeersOptions, ReplicationOptions, UsageOptions
from flintshift.storage.files import LockedError
from flintshift.storage.snapshot import DamagedError

if TYPE_CHECKING:
    from flintshift.lifecycle.replication import ReplicationService
    from flintshift.usage.ledger import Ledger

OPEN_ERRORS = (OSError, LockedError, DamagedError)


def open_ledger(config: Config, options: UsageOptions, log: Log, retry: StartRetry) -> Ledger:
    """Open the usage ledger in its folder.

    Raises:
        ConfigError: it can't be opened, or not in time.
    """
    from flintshift.lifecycle import usage_recording

    replication_options = config.operators.copies
    open_step = partial(
        usage_recording.open_ledger,
        config.name,
        config.settings,
        options,
        log,
        replicated=replication_options is not None and replication_options.copies > 1,
    )
    try:
        return retry.run_with_retries(open_step)
    except OPEN_ERRORS as error:
        raise ConfigError(f"the usage ledger can't be opened: {error}") from error


def open_replication(
    config: Config,
    peers: PeersOptions,
    options: ReplicationOptions,
    decisions: Decisions,
    counters: Counters,
    now_ms: Clock,
    log: Log,
    retry: StartRetry,
) -> ReplicationService:
    """Create the replication service and open its store.

    Raises:
        ConfigError: the folder of the store can't be used, or not in time.
    """
    from flintshift.lifecycle.replication import ReplicationService

    if config.name not in peers.members:
        raise ConfigError(f"this node, {config.name}, is not in peers.members: {', '.join(peers.members)}")
    open_step = partial(
        ReplicationService,
        config.name,
        peers,
        options,
        decisions,
        config.limits,
        counters,
        now_ms,
        log,
        retry.should_retry,
        may_have_predecessor=config.control is not None,
    )
    try:
        return retry.run_with_retries(open_step)
    except OPEN_ERRORS as error:
        raise ConfigError(f"the folder of the replicas can't be used: {error}") from error


def replicate_ledger(replication: ReplicationService, ledger: Ledger, options: UsageOptions, retry: StartRetry) -> None:
    """Replicate the usage ledger to other members, and keep replicas of their ledgers.

    Raises:
        ConfigError: the folder can't be used, or not in time.
    """
    try:
        retry.run_with_retries(partial(replication.replicate_ledger, ledger, options))
    except OPEN_ERRORS as error:
        raise ConfigError(f"the folder of the replicas can't be used: {error}") from error
