"""Events and actions of the fair queues. Times and costs are milliseconds; a cost is time on a core.

What comes with each request is not frozen: that would cost more to make than the door takes to hear it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class Arrived:
    """A request is on its way to the decisions."""

    request: str
    club: str | None
    caller: int
    class_name: str
    again: bool = False  # it is marked as a further try


@dataclass(slots=True)
class Began:
    """Its run has begun."""

    request: str


@dataclass(slots=True)
class Left:
    """It is over and never ran: its caller went, or another's result answered it."""

    request: str


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """It was refused, and is told when to come back: answered by the time."""

    request: str
    least_ms: float  # that the decisions ask for: a node in trouble has no room sooner
    most_ms: float  # the longest that may be told
    draw: float  # from 0 to 1, random


@dataclass(frozen=True, slots=True)
class ComeBack:
    """The time after which there is room for it; it is kept free, unless this is not promised."""

    wait_ms: float
    promised: bool


@dataclass(slots=True)
class Ended:
    """Its run has ended after so long on a core."""

    request: str
    took_ms: float


@dataclass(frozen=True, slots=True)
class Weighed:
    """From now on the clubs have these weights, above 0, and the node so many cores. Clubs that are not named share the
    least weight of those that are, as one."""

    weights: Mapping[str, float]
    cores: int
    first_ms: Mapping[str, float]  # what a class is taken to cost before one of it has run; others are forgotten
    marks: bool  # further tries are marked, so no other comes at a time that was told


Event = Arrived | Began | Left | TurnedAway | Ended | Weighed
Action = ComeBack


# What is told of surges.


@dataclass(frozen=True, slots=True)
class SurgeBegan:
    """A club asks for so many times its share, and so many of its requests were turned away in the last second."""

    club: str | None
    times: float
    turned_away: int


@dataclass(frozen=True, slots=True)
class SurgeGoesOn:
    club: str | None
    since_ms: float
    times: float  # now
    turned_away: int  # since it began


@dataclass(frozen=True, slots=True)
class SurgeEnded:
    club: str | None
    lasted_ms: float
    most_times: float
    turned_away: int


@dataclass(frozen=True, slots=True)
class Shown:
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
