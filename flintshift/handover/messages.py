"""The messages between the two processes of an upgrade, and the events and actions of their phase machine.

A key is scoped by its class. Times are milliseconds of the node's clock. The welcome tells the successor how far that
is ahead of the machine's monotonic clock, so that both processes use one clock, however the wall clock was adjusted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from flintshift.interface import Outcome

VERSION = 1

Key = tuple[str, str]  # the name of the class, and the key that the caller gave


class Phase(Enum):
    """The phase of one process. A predecessor passes GIVING and SHEDDING, a successor ASKING to SERVING.

    If the successor leaves first, it is RETURNING and the predecessor RESUMED."""

    ALONE = "alone"  # there is no other process
    GIVING = "giving"  # the successor copies the key table
    SHEDDING = "shedding"  # the successor accepts the clients
    ASKING = "asking"  # the hello is sent; the welcome is awaited
    COPYING = "copying"  # the entries of the key table are being received
    COPIED = "copied"  # all entries are received, and this process's worker pool is not up yet
    WAITING = "waiting"  # for the predecessor to stop accepting
    SERVING = "serving"  # accepts the clients while the predecessor finishes its own
    RETURNING = "returning"  # this successor leaves, and the predecessor accepts the clients again
    RESUMED = "resumed"  # this predecessor accepts the clients again, and the successor finishes its own


# Messages on the link. A reader rejects everything else.


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Hello(_Message, frozen=True):
    """The first message of a successor."""

    version: int


class Welcome(_Message, frozen=True):
    """The reply to the hello; it carries the listening sockets, in the order of the fronts."""

    version: int
    out_of_service: bool
    clock_ahead_ms: float | None = None  # of the node's clock over the monotonic one; None from older versions
    takes_back: bool = False  # the predecessor knows `TakeBack`


class Known(_Message, frozen=True):
    """An entry of the key table."""

    key: Key
    owner: str
    live_until_ms: float
    fingerprint: bytes
    outcome: Outcome | None  # of the run; None while it runs
    result: bytes


class Copied(_Message, frozen=True):
    """All entries have been sent."""


class Ready(_Message, frozen=True):
    """The successor can accept the clients."""


class Yours(_Message, frozen=True):
    """The predecessor accepts no more clients: the successor does from now on."""


class Claimed(_Message, frozen=True):
    """Asks whether this attempt may run under this key."""

    key: Key
    owner: str
    arrival_ms: float  # when it arrived at the machine
    live_until_ms: float
    fingerprint: bytes


class Answered(_Message, frozen=True):
    """Whether the claim is granted. If not, the entry of the key was sent before."""

    key: Key
    owner: str
    granted: bool


class Over(_Message, frozen=True):
    """A run whose key was claimed has ended."""

    key: Key
    owner: str
    live_until_ms: float
    outcome: Outcome
    result: bytes


class Freed(_Message, frozen=True):
    """The attempt that claimed the key never ran."""

    key: Key
    owner: str


class Load(_Message, frozen=True):
    """The shares of the node's limits that the predecessor keeps, from 0 to 1, and its open connections."""

    concurrency: float
    memory: float
    calls: float
    connections: int


class Learned(_Message, frozen=True):
    """The estimates that the predecessor's controller has learned, as in ``interface.LearnedEstimates``."""

    run_limit: float
    run_ms: dict[str, float]


class Service(_Message, frozen=True):
    """An operator took the node in or out of service at the predecessor's control address."""

    out_of_service: bool


class TakeBack(_Message, frozen=True):
    """The successor leaves, and asks the predecessor to accept the clients again."""


class Resumed(_Message, frozen=True):
    """The predecessor accepts the clients again: the successor need not any more."""


class Left(_Message, frozen=True):
    """This process shuts down regularly: the ends of all its runs have been sent."""


Message = (
    Hello
    | Welcome
    | Known
    | Copied
    | Ready
    | Learned
    | Yours
    | Claimed
    | Answered
    | Over
    | Freed
    | Load
    | Service
    | TakeBack
    | Resumed
    | Left
)


# Events of the phase machine, beside the messages.


@dataclass(frozen=True, slots=True)
class PoolUp:
    """This process's worker pool is up."""


@dataclass(frozen=True, slots=True)
class LeaveBegan:
    """This process has received its shutdown notice."""


@dataclass(frozen=True, slots=True)
class PeerExited:
    """The other process has ended."""


@dataclass(frozen=True, slots=True)
class LinkEnded:
    """The link broke; the other process may still live."""

    cause: str


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator took the node in or out of service at this process's control address."""

    out_of_service: bool


@dataclass(frozen=True, slots=True)
class UsageUpdate:
    """What this process uses now and has learned. It is sent periodically."""

    load: Load
    learned: Learned


Event = Message | PoolUp | LeaveBegan | PeerExited | LinkEnded | OperatorCommand | UsageUpdate


# Actions that the phase machine returns.


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the other process."""

    message: Message


@dataclass(frozen=True, slots=True)
class SendEntries:
    """Send every live entry of the key table, then `Copied`."""


@dataclass(frozen=True, slots=True)
class StartAccepting:
    """Accept clients, report to the name service, answer that this process is ready."""


@dataclass(frozen=True, slots=True)
class StopAccepting:
    """Accept no more clients, stop reports to the name service, close connections after their next answer."""


@dataclass(frozen=True, slots=True)
class SetLimitShare:
    """Set this process's shares of the node's limits, and the number of the other's open connections."""

    concurrency: float
    memory: float
    calls: float
    peer_connections: int = 0


@dataclass(frozen=True, slots=True)
class FailPeerRuns:
    """Fail the unfinished runs of the other process, which has ended. ``partial``: some of its keys may be unknown."""

    partial: bool


@dataclass(frozen=True, slots=True)
class SetServiceState:
    """Take the node in or out of service, as the operators last asked."""

    out_of_service: bool


@dataclass(frozen=True, slots=True)
class AbortStart:
    """End this process: it can't take over, and has accepted no client yet."""

    cause: str


@dataclass(frozen=True, slots=True)
class ApplyEstimates:
    """Start with the estimates of the predecessor."""

    learned: Learned


@dataclass(frozen=True, slots=True)
class ListenForSuccessor:
    """Listen for a successor from now on."""


Action = (
    Send
    | SendEntries
    | StartAccepting
    | StopAccepting
    | SetLimitShare
    | FailPeerRuns
    | SetServiceState
    | AbortStart
    | ApplyEstimates
    | ListenForSuccessor
)
