"""Events and actions of the fair queues. Times and costs are milliseconds; a cost is time on a core.

What comes with each request is not frozen: that would cost more to make than the door takes to hear it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class RequestArrived:
    """A request is on its way to the decisions."""

    request: str
    club: str | None
    caller: int
    class_name: str
    marked_repeat: bool = False  # it is marked as a further try


@dataclass(slots=True)
class RunStarted:
    """Its run has begun."""

    request: str


@dataclass(slots=True)
class RequestWithdrawn:
    """It is over and never ran: its caller went, or another's result answered it."""

    request: str


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """It was refused, and is told when to come back: answered by the time."""

    request: str
    min_wait_ms: float  # that the decisions ask for: a node in trouble has no room sooner
    max_wait_ms: float  # the longest that may be told
    jitter: float  # from 0 to 1, random


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The time after which there is room for it; it is kept free, unless this is not reserved."""

    wait_ms: float
    reserved: bool


@dataclass(slots=True)
class RunEnded:
    """Its run has ended after so long on a core."""

    request: str
    took_ms: float


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """From now on the clubs have these weights, above 0, and the node so many cores. Clubs that are not named share the
    least weight of those that are, as one."""

    weights: Mapping[str, float]
    cores: int
    initial_cost_ms: Mapping[str, float]  # what a class is taken to cost before one of it has run; others are forgotten
    repeats_marked: bool  # further tries are marked, so no other comes at a time that was told


Event = RequestArrived | RunStarted | RequestWithdrawn | RequestRejected | RunEnded | QueueSettings
Action = RetryAfter


# What is told of surges.


@dataclass(frozen=True, slots=True)
class OverloadStarted:
    """A club asks for so many demand_ratio its share, and so many of its requests were turned away in the last second."""

    club: str | None
    demand_ratio: float
    turned_away: int


@dataclass(frozen=True, slots=True)
class OverloadContinued:
    club: str | None
    duration_ms: float
    demand_ratio: float  # now
    turned_away: int  # since it began


@dataclass(frozen=True, slots=True)
class OverloadEnded:
    club: str | None
    duration_ms: float
    peak_demand_ratio: float
    turned_away: int


@dataclass(frozen=True, slots=True)
class ClubStatus:
    """A club as it stands now. Times are at its share, but for ``served_ms``: on cores, since the start."""

    club: str | None
    cores: float  # its share of them
    served_ms: float
    ahead_ms: float  # was served past the club that was served least of those that wait
    waiting: int
    waiting_ms: float
    callers: int  # known by number
    promised: int  # places that are kept
    asked: int  # requests since the start
    turned_away: int  # of these
    not_paid: int  # further tries that first ones did not pay for
