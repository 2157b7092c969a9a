"""Messages between the two processes of an upgrade, and events and actions of their phase machine.

A key is scoped by its class. Times are milliseconds of the node's clock: the welcome tells the successor how far that
is ahead of the machine's monotonic clock, so that both processes go by one, whatever steps the wall clock made.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from flintshift.interface import Outcome

VERSION = 1

Key = tuple[str, str]  # the class and the caller's word


class Phase(Enum):
    ALONE = "alone"
    GIVING = "giving"  # a successor copies the keys
    SHEDDING = "shedding"  # the successor takes the clients
    ASKING = "asking"
    COPYING = "copying"
    COPIED = "copied"  # the own worker pool is not up yet
    WAITING = "waiting"  # for the predecessor to stop accepting
    SERVING = "serving"  # beside a predecessor that sheds


# Words on the link. A reader takes nothing that is not of these types.


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Hello(_Message, frozen=True):
    version: int


class Welcome(_Message, frozen=True):
    """With the listening sockets, in the order of the fronts."""

    version: int
    out_of_service: bool  # of service
    clock_ahead_ms: float | None = None  # the node's clock, of the monotonic one; None: an older version does not tell


class Known(_Message, frozen=True):
    """An entry of the key table."""

    key: Key
    owner: str
    live_until_ms: float
    fingerprint: bytes
    outcome: Outcome | None  # of its run; None: it is not over
    result: bytes


class Copied(_Message, frozen=True):
    """All entries have been told."""


class Ready(_Message, frozen=True):
    """The successor can take the clients."""


class Yours(_Message, frozen=True):
    """The predecessor accepts no more."""


class Claimed(_Message, frozen=True):
    """May this attempt run under this key?"""

    key: Key
    owner: str
    arrival_ms: float  # when it came to the machine
    live_until_ms: float
    fingerprint: bytes


class Answered(_Message, frozen=True):
    """Whether it may; if not, what holds the key was told before."""

    key: Key
    owner: str
    granted: bool


class Over(_Message, frozen=True):
    """A run that was claimed is over."""

    key: Key
    owner: str
    live_until_ms: float
    outcome: Outcome
    result: bytes


class Freed(_Message, frozen=True):
    """What was claimed never ran."""

    key: Key
    owner: str


class Load(_Message, frozen=True):
    """The parts of the node's limits that the predecessor keeps, from 0 to 1, and its open connections."""

    concurrency: float
    memory: float
    calls: float
    connections: int


class Learned(_Message, frozen=True):
    """What the predecessor's decisions have learned of the machine, as ``interface.LearnedEstimates`` has it."""

    run_limit: float
    run_ms: dict[str, float]


class Service(_Message, frozen=True):
    """An operator's word came to the older's door."""

    out_of_service: bool


class Left(_Message, frozen=True):
    """This process ends in good order: all that it ran has been told."""


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
    | Left
)


# What the phase machine is told, beside words.


@dataclass(frozen=True, slots=True)
class PoolUp:
    """This process's worker pool is up."""


@dataclass(frozen=True, slots=True)
class PeerExited:
    """The other process has ended."""


@dataclass(frozen=True, slots=True)
class LinkEnded:
    """The link broke; the other process may live."""

    cause: str


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """An operator's word at this process's door."""

    out_of_service: bool


@dataclass(frozen=True, slots=True)
class UsageUpdate:
    """What this process uses now, and has learned; told again and again."""

    load: Load
    learned: Learned


Event = Message | PoolUp | PeerExited | LinkEnded | OperatorCommand | UsageUpdate


# What it answers.


@dataclass(frozen=True, slots=True)
class Send:
    word: Message


@dataclass(frozen=True, slots=True)
class SendEntries:
    """Send every live entry of the key table, then `Copied`."""


@dataclass(frozen=True, slots=True)
class StartAccepting:
    """Accept, report to the name service, be ready."""


@dataclass(frozen=True, slots=True)
class StopAccepting:
    """Accept no more, say nothing to the name service, close connections with their next answer."""


@dataclass(frozen=True, slots=True)
class SetLimitShare:
    """The parts of the node's limits that are this process's, and how many connections the other holds."""

    concurrency: float
    memory: float
    calls: float
    peer_connections: int = 0


@dataclass(frozen=True, slots=True)
class FailPeerRuns:
    """The other is gone: its unended runs are lost. ``partial``: keys may be unknown here."""

    partial: bool


@dataclass(frozen=True, slots=True)
class SetServiceState:
    """Be in or out of service, as the operators last said."""

    out_of_service: bool


@dataclass(frozen=True, slots=True)
class AbortStart:
    """This process can't take over, and has taken no client yet: it ends."""

    cause: str


@dataclass(frozen=True, slots=True)
class ApplyEstimates:
    """Begin with what the predecessor has learned."""

    learned: Learned


@dataclass(frozen=True, slots=True)
class ListenForSuccessor:
    """A successor may come from now on."""


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
