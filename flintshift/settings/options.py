"""The settings of the operators' file as the node uses them: plain values in base units (ms, bytes, shares of 1).

The module reads and checks nothing, so that a node without such a file imports no YAML reader. Each section is None
where it is disabled. ``settings/operators.py`` reads the file; its model has the ranges and the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class UwsgiOptions:
    """The uwsgi front and its service discovery over DNS."""

    listen: Address
    resolver: Address
    domain: str
    app_service: str
    node_service: str


@dataclass(frozen=True, slots=True)
class LogOptions:
    """The log: its format, its level and how often it repeats an event."""

    format: str  # "json" or "text"
    level: str  # "debug", "info", "warning" or "error"
    repeat_interval_ms: float  # the same event is logged at most once in this time; 0: always


@dataclass(frozen=True, slots=True)
class HttpSinkOptions:
    """An HTTP sink of the usage export."""

    url: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ExportOptions:
    """The export of usage documents to a folder, an HTTP sink or both."""

    folder: Path | None
    http: HttpSinkOptions | None
    backoff_ms: float  # after the first failed delivery; doubled after each further one
    max_backoff_ms: float
    attempts_per_hour: int


@dataclass(frozen=True, slots=True)
class UsageOptions:
    """The usage ledger."""

    folder: Path
    period_ms: int
    grace_ms: int  # a period closes this long after its end
    durability: str  # "power-cut", "process-death" or "none"
    sync_ms: float  # the longest time that a record waits for its sync, where records are synced
    on_disk_failure: str  # "serve" or "refuse"
    segment_bytes: int
    retention_ms: int
    export: ExportOptions | None


@dataclass(frozen=True, slots=True)
class FairQueueingOptions:
    """The fair queues by club and caller."""

    socket: Path | None  # `flintshift door show` connects to it


@dataclass(frozen=True, slots=True)
class PeersOptions:
    """The other members of the fleet."""

    listen: Address
    members: dict[str, tuple[str, Address]]  # by name: the hall, and the address where it listens for members
    epoch: int  # of this list of members
    heartbeat_ms: float
    lease_ms: float


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """The replication of keys and usage ledgers among members."""

    folder: Path
    copies: int  # replicas of each key and usage ledger
    durability: str  # "power-cut" or "process-death"
    max_keys: int
    max_bytes: int
    segment_bytes: int
    takeover_after_ms: float = (
        60_000.0  # the usage ledger of a member is taken over once it has been dead for this long
    )


@dataclass(frozen=True, slots=True)
class StartupOptions:
    """The start: its status socket, the detection of crash loops and the limit on concurrent starts."""

    socket: Path | None  # `flintshift startup status` connects to it
    folder: Path | None  # on a persistent disk: starts are recorded there, and a crash loop is slowed
    max_concurrent_starts: int | None = None  # members of the fleet that start at a time; None: any number


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """All sections of the operators' file; None where one is disabled."""

    uwsgi: UwsgiOptions | None = None
    log: LogOptions | None = None
    usage: UsageOptions | None = None
    door: FairQueueingOptions | None = None
    peers: PeersOptions | None = None
    copies: ReplicationOptions | None = None
    startup: StartupOptions | None = None
