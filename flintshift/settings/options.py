"""What the operators' file sets, as the node takes it: plain values in base units (ms, bytes, shares of 1).

Nothing is read or checked here, so that a node without such a file imports no reader of YAML.  Each part is
None where it is off.  The reader is ``settings/operators.py``; its model holds the ranges and the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class UwsgiOptions:
    listen: Address
    resolver: Address
    domain: str
    app_service: str
    node_service: str


@dataclass(frozen=True, slots=True)
class LogOptions:
    format: str  # "json" or "text"
    level: str  # "debug", "info", "warning" or "error"
    repeat_interval_ms: float  # the same event is written at most so often; 0: each time


@dataclass(frozen=True, slots=True)
class HttpSinkOptions:
    url: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ExportOptions:
    folder: Path | None
    http: HttpSinkOptions | None
    backoff_ms: float  # the first wait after a failed delivery, doubled up to the most
    max_backoff_ms: float
    attempts_per_hour: int


@dataclass(frozen=True, slots=True)
class UsageOptions:
    folder: Path
    period_ms: int
    grace_ms: int  # a period closes so long after its end
    durability: str  # "power-cut", "process-death" or "none"
    sync_ms: float  # the longest that a record waits for its sync, where there is one
    on_disk_failure: str  # "serve" or "refuse"
    segment_bytes: int
    retention_ms: int
    export: ExportOptions | None


@dataclass(frozen=True, slots=True)
class FairQueueingOptions:
    """Fair queues by club and caller."""

    socket: Path | None  # where `flintshift door show` asks


@dataclass(frozen=True, slots=True)
class PeersOptions:
    """The other members of the fleet."""

    listen: Address
    members: dict[str, tuple[str, Address]]  # by name: the hall, and where it listens for members
    epoch: int  # of this list
    heartbeat_ms: float
    lease_ms: float


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """What is held for others on further members."""

    folder: Path
    copies: int
    durability: str  # "power-cut" or "process-death"
    max_keys: int
    max_bytes: int
    segment_bytes: int
    takeover_after_ms: float = 60_000.0  # a member's ledger of use is taken over once it has been dead for so long


@dataclass(frozen=True, slots=True)
class StartupOptions:
    """The start as operators see it."""

    socket: Path | None  # where `flintshift startup status` asks
    folder: Path | None  # on a disk that lasts: lives are remembered there, and a crash loop is slowed
    max_concurrent_starts: int | None = None  # so many members of the fleet start at a time; None: all may


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    uwsgi: UwsgiOptions | None = None
    log: LogOptions | None = None
    usage: UsageOptions | None = None
    door: FairQueueingOptions | None = None
    peers: PeersOptions | None = None
    copies: ReplicationOptions | None = None
    startup: StartupOptions | None = None
