"""The interface of the decision module: settings, events and actions.

Everything the controller is told and everything it may answer is listed here, and nothing is decided here.
All times are milliseconds, all sizes kilobytes.  A default states what a setting or field means when the
host says nothing about it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # turned away unexamined: proven not run
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"  # could not be contacted: proven not run
    INTERRUPTED = "interrupted"
    STOPPED = "stopped"
    MOOT = "moot"  # nothing was started, the request was over


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Halt(Enum):
    """What stopping running work does."""

    NONE = "none"
    ABORT = "abort"  # the work done is lost
    SUSPEND = "suspend"  # work on a core is paused and keeps its memory


class FreeValue(Enum):
    """How callers read the number a server may send back."""

    NONE = "none"
    THRESHOLD = "threshold"  # callers send nothing of a lower rank
    WINDOW = "window"  # most requests each caller has out here
    CHANCE = "chance"  # chance that a caller does not pass this server over


@dataclass(slots=True)
class RequestClass:
    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    effect: Effect
    late_worth: float = 0.0
    repeat_window_ms: float = 0.0
    calls: bool = False  # its requests may call below
    skip_worth: float = 0.0  # share of the worth left when a call is left out; 0: may not be left out


@dataclass(slots=True)
class Tenant:
    name: str
    quota_per_s: float  # over all servers


@dataclass(slots=True)
class Settings:
    classes: list[RequestClass]
    cores: int
    memory_kb: float
    run_factor: float
    fall_multiple: float
    drain_grace_ms: float
    tenants: list[Tenant]
    cold: bool = False
    cold_from: float = 1.0
    cold_ms: float = 0.0
    servers: int = 1
    callers: int = 1
    call_share: float = 0.0
    call_window_ms: float = 0.0
    linger_ms: float = 0.0
    halt: Halt = Halt.NONE
    key_kb: float = 0.0
    fresh_ms: float = 0.0
    idle_ms: float = 0.0
    deep_checks: bool = False
    list_follows_health: bool = False
    free_value: FreeValue = FreeValue.NONE
    marks_repeats: bool = False
    advice_allowed: bool = False
    advice_max_ms: float = 0.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    concurrency_share: float = 1.0  # the part of the survivable crowd that this process may run: another has the rest


@dataclass(slots=True)
class Gauges:
    """The host's gauges now; None: the host has no such gauge."""

    busy: float | None = None  # share of the cores busy lately
    run_queue: float | None = None  # everything that wants a core now
    memory: float | None = None  # share of the memory in use
    connections: float | None = None


FairRank = Callable[[str], float]
"""Where a request that is held stands now in a fair order by club and caller: the least is next, in milliseconds at its
share. A controller may be given one, which changes nothing and depends on what was told before alone."""


# Events: what a controller is told.


@dataclass(slots=True)
class Started:
    """The server is up; the first event of a controller."""


@dataclass(slots=True)
class Arrived:
    request: str
    class_name: str
    held_kb: float
    age_ms: float = 0.0
    caller: int = 0
    tenant: str | None = None
    repeat_of: str | None = None
    marked_repeat: bool = False
    patience_ms: float | None = None
    subject: int | None = None


@dataclass(slots=True)
class RunEnded:
    request: str
    outcome: Outcome
    took_ms: float = 0.0


@dataclass(slots=True)
class CallerDisconnected:
    request: str


@dataclass(slots=True)
class CallNeeded:
    request: str


@dataclass(slots=True)
class CallEnded:
    request: str
    outcome: Outcome
    took_ms: float = 0.0


@dataclass(slots=True)
class DrainStarted:
    stops_in_ms: float


@dataclass(slots=True)
class Woken:
    token: str
    gauges: Gauges


@dataclass(slots=True)
class SettingsChanged:
    """New settings hold from now on. They name all classes that are open or may still come; what is open ends under
    those that it arrived with."""

    settings: Settings


@dataclass(slots=True)
class LearnedEstimates:
    """What another controller for this server has learned; told as work begins."""

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


# Actions: what a controller answers.


@dataclass(slots=True)
class Run:
    request: str


@dataclass(slots=True)
class Stop:
    request: str


@dataclass(slots=True)
class Reject:
    request: str
    retry_after_ms: float = 0.0
    no_retry_elsewhere: bool = False


@dataclass(slots=True)
class Fail:
    request: str


@dataclass(slots=True)
class Call:
    request: str
    limit_ms: float = 0.0


@dataclass(slots=True)
class SkipCall:
    request: str


@dataclass(slots=True)
class RememberKey:
    request: str
    retention_ms: float


@dataclass(slots=True)
class ReleaseKey:
    request: str


@dataclass(slots=True)
class AnswerFromOriginal:
    request: str


@dataclass(slots=True)
class SetHealth:
    healthy: bool
    from_store: bool = False


@dataclass(slots=True)
class SetFreeValue:
    value: float


@dataclass(slots=True)
class CloseIdle:
    idle_for_ms: float


@dataclass(slots=True)
class WakeAt:
    at_ms: float
    token: str


RequestAction = Run | Stop | Reject | Fail | Call | SkipCall | RememberKey | ReleaseKey | AnswerFromOriginal
Action = RequestAction | SetHealth | SetFreeValue | CloseIdle | WakeAt
