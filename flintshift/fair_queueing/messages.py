"""Events and actions of the fair queues. Times and costs are in milliseconds; a cost is time on a core.

The events of single requests are not frozen dataclasses: a frozen one would cost more to create than the fair queue
takes to handle it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class RequestArrived:
    """A request is handed to the decisions."""

    request: str
    club: str | None
    caller: int
    class_name: str
    marked_repeat: bool = False  # its caller marked it as a further try


@dataclass(slots=True)
class RunStarted:
    """The run of a request has started."""

    request: str


@dataclass(slots=True)
class RequestWithdrawn:
    """A request ended without a run: its caller disconnected, or the result of another request answered it."""

    request: str


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """A request is rejected; the fair queue answers with the time after which its caller may retry."""

    request: str
    min_wait_ms: float  # the decisions ask for it: an unhealthy node has no capacity sooner
    max_wait_ms: float  # the longest wait that a caller may be given
    jitter: float  # from 0 to 1, random


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The wait after which a rejected request may be retried, and whether capacity is reserved for it then."""

    wait_ms: float
    reserved: bool


@dataclass(slots=True)
class RunEnded:
    """The run of a request has ended after ``took_ms`` on a core."""

    request: str
    took_ms: float


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """The weights of the clubs, above 0, and the number of the node's cores; as an event, it replaces earlier ones.

    Clubs without a weight count as one club with the smallest weight given.
    """

    weights: Mapping[str, float]
    cores: int
    initial_cost_ms: Mapping[str, float]  # by class, until one of its runs has ended; other classes are forgotten
    repeats_marked: bool  # callers mark further tries, so an unmarked request never claims a reservation


Event = RequestArrived | RunStarted | RequestWithdrawn | RequestRejected | RunEnded | QueueSettings
Action = RetryAfter


# Reports of the overload detector.


@dataclass(frozen=True, slots=True)
class OverloadStarted:
    """A club demands ``demand_ratio`` times its share, and requests of it were rejected in the last second."""

    club: str | None
    demand_ratio: float
    rejected: int


@dataclass(frozen=True, slots=True)
class OverloadContinued:
    """A club's overload, reported before, still lasts."""

    club: str | None
    duration_ms: float  # so far
    demand_ratio: float  # in the last window
    rejected: int  # since the overload started


@dataclass(frozen=True, slots=True)
class OverloadEnded:
    """A club's overload has ended."""

    club: str | None
    duration_ms: float
    peak_demand_ratio: float
    rejected: int


@dataclass(frozen=True, slots=True)
class ClubStatus:
    """The state of one club, for operators. Times are at the club's share, except ``served_ms``.

    The fields are written out under their own names.
    """

    club: str | None
    cores: float  # the club's share of them
    served_ms: float  # time on cores since the start
    ahead_ms: float  # how far it was served past the waiting club that was served least
    waiting: int  # requests
    waiting_ms: float
    callers: int  # tracked one by one
    promised: int  # open reservations
    asked: int  # requests since the start
    turned_away: int  # of these, rejected
    not_paid: int  # of these, further tries that exceeded the retry budget
