"""The interface of the decision module: settings, events and actions.

Everything that the host reports to the controller, and every action that the controller may ask for, is declared
here; nothing is decided here.
All times are milliseconds, all sizes kilobytes. A default states what a setting or field means when the
host does not give it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # before it was examined: proven not run
    TIMED_OUT = "timed_out"  # it may have run, or may still run
    UNREACHABLE = "unreachable"  # no connection: proven not run
    INTERRUPTED = "interrupted"  # the connection broke: it may have run
    STOPPED = "stopped"  # by an action of the controller, or lost
    MOOT = "moot"  # nothing was started, as the request had ended


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"  # nothing more than running it once
    KEYED = "keyed"  # a further effect; tries of one request share a key, by which a second run is prevented
    UNSAFE = "unsafe"  # a further effect that nothing prevents


class Halt(Enum):
    """What stopping a run does."""

    NONE = "none"
    ABORT = "abort"  # the work done is lost
    SUSPEND = "suspend"  # a run that uses a core is paused and keeps its memory


class FreeValue(Enum):
    """How callers read the number that a server may send back with its answers."""

    NONE = "none"
    THRESHOLD = "threshold"  # callers send nothing of a lower rank
    WINDOW = "window"  # the most open requests that each caller has at this server
    CHANCE = "chance"  # the probability that a caller does not pass over this server


@dataclass(slots=True)
class RequestClass:
    """A class of requests; its aim and deadline count from when a request is received."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    effect: Effect
    late_worth: float = 0.0
    repeat_window_ms: float = 0.0
    calls: bool = False  # its requests may call another service
    skip_worth: float = 0.0  # share of the worth that remains when a call is skipped; 0: may not be skipped


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota_per_s: float  # over all servers


@dataclass(slots=True)
class Settings:
    """The settings of a controller: the server's resources, the rules, and the habits of callers."""

    classes: list[RequestClass]
    cores: int
    memory_kb: float
    run_factor: float  # memory of a request that was started, as a multiple of its memory before
    fall_multiple: float  # runs per core that a server at full speed survives
    drain_grace_ms: float  # requests that arrive up to this long after the start of a drain may still run
    tenants: list[Tenant]
    cold: bool = False  # the server starts below its full speed
    cold_from: float = 1.0  # share of the full speed at the start
    cold_ms: float = 0.0  # from the start to the full speed
    servers: int = 1
    callers: int = 1
    call_share: float = 0.0  # mean number of calls that may be open over the call window; 0: unbounded
    call_window_ms: float = 0.0
    linger_ms: float = 0.0  # an abandoned call occupies the service that was called for this long
    halt: Halt = Halt.NONE
    key_kb: float = 0.0  # memory of a remembered key
    fresh_ms: float = 0.0  # the result of a safe request may answer others for this long
    idle_ms: float = 0.0  # the longest time that an idle connection stays open
    deep_checks: bool = False  # health checks cost work, unless they are answered from the stored verdict
    list_follows_health: bool = False  # an unhealthy server is taken off the list of servers that callers use
    free_value: FreeValue = FreeValue.NONE
    marks_repeats: bool = False  # callers mark further tries of a request
    advice_allowed: bool = False  # a rejected caller may be given a retry delay
    advice_max_ms: float = 0.0  # the longest retry delay
    over_share_worth: float = 1.0  # factor on the worth of requests over their tenant's quota
    worth_by_work: bool = False  # worth is given per unit of work, not per request
    concurrency_share: float = 1.0  # of the survivable concurrency, for this process; another one has the rest


@dataclass(slots=True)
class Gauges:
    """The present readings of the host's gauges; None: the host has no such gauge."""

    busy: float | None = None  # share of the cores that was busy lately
    run_queue: float | None = None  # tasks that run or wait for a core
    memory: float | None = None  # share of the memory in use
    connections: float | None = None


FairRank = Callable[[str], float]
"""Returns the present rank of a queued request in a fair order by club and caller, in milliseconds at its share: the
lowest is next. The function has no side effects and depends only on what was reported to it before."""


# Events: what the host reports to a controller.


@dataclass(slots=True)
class Started:
    """The server is up; the first event of a controller."""


@dataclass(slots=True)
class Arrived:
    """A request was read."""

    request: str
    class_name: str
    held_kb: float  # its memory before it is started
    age_ms: float = 0.0  # since it was received
    caller: int = 0
    tenant: str | None = None
    repeat_of: str | None = None  # the remembered request that it repeats
    marked_repeat: bool = False  # its caller marked it as a further try
    patience_ms: float | None = None  # how much longer its caller waits
    subject: int | None = None  # the resource that it concerns


@dataclass(slots=True)
class RunEnded:
    """A run ended, by itself or because it was stopped."""

    request: str
    outcome: Outcome
    took_ms: float = 0.0


@dataclass(slots=True)
class CallerDisconnected:
    """The caller closed its connection and waits for no answer."""

    request: str


@dataclass(slots=True)
class CallNeeded:
    """A run needs a call to another service and waits for it."""

    request: str


@dataclass(slots=True)
class CallEnded:
    """A call of a run ended."""

    request: str
    outcome: Outcome
    took_ms: float = 0.0


@dataclass(slots=True)
class DrainStarted:
    """The server was asked to drain, and stops after a while."""

    stops_in_ms: float


@dataclass(slots=True)
class Woken:
    """The time of a `WakeAt` has come; with the present gauges."""

    token: str
    gauges: Gauges


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on. They name all classes that have open requests or may still arrive; open requests
    end under the settings with which they arrived."""

    settings: Settings


@dataclass(slots=True)
class LearnedEstimates:
    """What another controller for this server has learned; sent when this one starts work."""

    run_limit: float  # how many run at once
    run_ms: dict[str, float]  # by class


Event = (
    LearnedEstimates
    | Started
    | Arrived
    | RunEnded
    | CallerDisconnected
    | CallNeeded
    | CallEnded
    | DrainStarted
    | Woken
    | SettingsChanged
)


# Actions: what a controller asks the host to do.


@dataclass(slots=True)
class Run:
    """Start a run."""

    request: str


@dataclass(slots=True)
class Stop:
    """Stop a run."""

    request: str


@dataclass(slots=True)
class Reject:
    """Reject a request that never ran. ``no_retry_elsewhere``: its caller is asked not to try another server."""

    request: str
    retry_after_ms: float = 0.0
    no_retry_elsewhere: bool = False


@dataclass(slots=True)
class Fail:
    """Answer a request with a failure, as it may have run."""

    request: str


@dataclass(slots=True)
class Call:
    """Make the call that a run needs; cancel it after ``limit_ms``."""

    request: str
    limit_ms: float = 0.0


@dataclass(slots=True)
class SkipCall:
    """Let a run go on without the call that it needs."""

    request: str


@dataclass(slots=True)
class RememberKey:
    """Remember a request for ``retention_ms``, so that repeats of it get its result."""

    request: str
    retention_ms: float


@dataclass(slots=True)
class ReleaseKey:
    """Forget a remembered request: it never ran, and a repeat of it is new work."""

    request: str


@dataclass(slots=True)
class AnswerFromOriginal:
    """Answer a repeat with the result of the request that it repeats."""

    request: str


@dataclass(slots=True)
class SetHealth:
    """Answer health checks with this verdict from now on."""

    healthy: bool
    from_store: bool = False  # answer from this verdict alone, without a deep check


@dataclass(slots=True)
class SetFreeValue:
    """Send callers this number, which they read as the settings' FreeValue says."""

    value: float


@dataclass(slots=True)
class CloseIdle:
    """Close connections that have been idle for this long."""

    idle_for_ms: float


@dataclass(slots=True)
class WakeAt:
    """Send `Woken` with this token at the time ``at_ms``."""

    at_ms: float
    token: str


RequestAction = Run | Stop | Reject | Fail | Call | SkipCall | RememberKey | ReleaseKey | AnswerFromOriginal
Action = RequestAction | SetHealth | SetFreeValue | CloseIdle | WakeAt
