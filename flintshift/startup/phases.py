"""The phases of a start, without I/O: what a node waits for in each phase, for how long, and when it is ready.

    ALONE ---- its addresses listen --------------------> BOUND
    BOUND ---- the worker pool is linked ---------------> RESTORED
    RESTORED - it has a start permit, a list took a report -> LISTED
    LISTED --- the node is cold, by its settings -------> RAMPING - the cold time has passed -> STEADY
    LISTED --- it is not -------------------------------------------------------------------> STEADY

A phase that takes longer than its bound is reported once, with what it waits for. The node does not give up for that:
a node without its pool can only keep trying, at its own rate. Stores are read before ALONE ends;
replicas that are still being filled keep no member from serving, as further replica holders vote in its place.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Phase(IntEnum):
    """The phases of a start, in their order. Their names are written out in lower case."""

    ALONE = 0
    BOUND = 1
    RESTORED = 2
    LISTED = 3
    RAMPING = 4
    STEADY = 5


SERVICES = (
    ("worker pool", Phase.BOUND),
    ("members", Phase.BOUND),
    ("list service", Phase.RESTORED),
    ("vault", Phase.LISTED),
)  # the services that a node calls, and the phase from which on it calls them


def services_in_use(phase: Phase) -> list[str]:
    """Return the services that a node in this phase calls."""
    return [service for service, first_phase in SERVICES if phase >= first_phase]


@dataclass(frozen=True, slots=True)
class PhaseBounds:
    """Milliseconds after which a phase that has not ended is reported. The sum up to LISTED is the 30 s that the
    platform gives a node to become ready."""

    bind_ms: float = 6000.0
    restore_ms: float = 20_000.0
    list_ms: float = 4000.0


@dataclass(frozen=True, slots=True)
class NodeState:
    """What the phases depend on."""

    bound: bool
    pool_linked: bool
    reported: bool  # a list service has taken a report
    permitted: bool = True  # the other members let it take callers


@dataclass(frozen=True, slots=True)
class PhaseEntered:
    """Report that a phase has begun."""

    phase: Phase
    after_ms: float  # the time in the phase before
    waited_for: tuple[str, ...]  # what the phase before waited for last


@dataclass(frozen=True, slots=True)
class PhaseOverdue:
    """Report that the current phase takes longer than its bound."""

    phase: Phase
    after_ms: float  # the time in this phase
    waits_for: tuple[str, ...]


Action = PhaseEntered | PhaseOverdue


@dataclass(slots=True)
class Phases:
    """The state machine of a start.

    ``cold_ms``: how long the node is cold once it is listed, by its settings; 0: it is not cold."""

    began_ms: float
    cold_ms: float = 0.0
    bounds: PhaseBounds = field(default_factory=PhaseBounds)
    phase: Phase = Phase.ALONE
    since_ms: float = 0.0
    waited_for: tuple[str, ...] = ()
    overdue_reported: bool = False

    def __post_init__(self) -> None:
        self.since_ms = self.began_ms

    @property
    def ready(self) -> bool:
        """Whether a health check is answered with success in this phase."""
        return self.phase >= Phase.RESTORED

    def handle(self, now_ms: float, state: NodeState) -> list[Action]:
        """Move on through all phases whose conditions are met."""
        actions: list[Action] = []
        while self.phase is not Phase.STEADY:
            waits_for = self._waits_for(now_ms, state)
            if waits_for:
                self.waited_for = waits_for
                bound_ms = {
                    Phase.ALONE: self.bounds.bind_ms,
                    Phase.BOUND: self.bounds.restore_ms,
                    Phase.RESTORED: self.bounds.list_ms,
                }.get(self.phase)
                if bound_ms is not None and now_ms - self.since_ms > bound_ms and not self.overdue_reported:
                    self.overdue_reported = True
                    actions.append(PhaseOverdue(self.phase, now_ms - self.since_ms, waits_for))
                break
            entered = Phase(self.phase + 1)
            if entered is Phase.RAMPING and not self.cold_ms:
                entered = Phase.STEADY
            actions.append(PhaseEntered(entered, now_ms - self.since_ms, self.waited_for))
            self.phase, self.since_ms, self.waited_for, self.overdue_reported = entered, now_ms, (), False
        return actions

    def _waits_for(self, now_ms: float, state: NodeState) -> tuple[str, ...]:
        match self.phase:
            case Phase.ALONE:
                return () if state.bound else ("its addresses",)
            case Phase.BOUND:
                return () if state.pool_linked else ("the worker pool",)
            case Phase.RESTORED:
                if not state.permitted:
                    return ("a start permit",)
                return () if state.reported else ("a list service that takes a report",)
            case Phase.RAMPING:
                return () if now_ms - self.since_ms >= self.cold_ms else ("the time in which it is cold",)
        return ()
