"""Requests and attempts: what was read, what became of it, and the guard of its one final answer."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from flintshift.interface import Gauges, Learned, Outcome, RequestClass

NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MOOT})  # what proves that


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"  # this attempt never ran
    FAILED = "failed"
    CONFLICT = "conflict"  # failed: its id is open, or its key is that of another request


@dataclass(frozen=True, slots=True)
class Answer:
    verdict: Verdict
    body: bytes = b""
    retry_after_ms: float = 0.0  # how long the caller should stay away
    terminal: bool = False  # the wish that no other node be tried


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request, as it was read."""

    id: str
    class_name: str
    arrival_ms: float  # when it came to the machine, by the node's clock
    memory_kb: float
    caller: int
    body: bytes
    tenant: str | None = None
    marked_repeat: bool = False
    request_key: str | None = None  # in keyed classes, and there alone: the same for all tries
    subject: int | None = None
    caller_timeout_ms: float | None = None  # how long its caller waits from then on, where it tells
    request_class: RequestClass | None = None  # as the settings held it when the request was taken
    workers: str = "pool"  # where it is run
    head: bytes = b""  # what goes before the body there, as it came
    on_answer: Callable[[Answer], None] = lambda answer: None
    answer: Answer | None = None
    caller_disconnected: bool = False
    running: bool = False
    ran: bool = False
    call_pending: bool = False
    call_notice: int = 0  # the notice that asked for the call it stands at
    call_payload: bytes = b""  # of that call
    settled_ms: float = 0.0  # when it was answered or its caller went
    run_ms: float = 0.0  # of its own run, once over
    call_count: int = 0  # it made below
    reuses_result: bool = False  # it gets the result of an earlier try
    call_skipped: bool = False  # a call was left out
    ticket: Any = None  # of whoever books it

    @property
    def settled(self) -> bool:
        return self.caller_disconnected or self.answer is not None

    @property
    def deadline_at_ms(self) -> float:
        """When its final answer is due, by the clock of ``door_ms``: its class's deadline, or sooner where its caller
        waits for less. Without a class there is none."""
        deadline_ms = self.request_class.deadline_ms if self.request_class is not None else math.inf
        return self.arrival_ms + (
            deadline_ms if self.caller_timeout_ms is None else min(self.caller_timeout_ms, deadline_ms)
        )

    def settle(self, answer: Answer, now_ms: float) -> bool:
        """Give the final answer. Guards against a second one, against an answer to a caller that went, and
        against a refusal of what has run: that becomes a failure."""
        if self.settled:
            return False
        if answer.verdict is Verdict.REFUSED and self.ran:
            answer = Answer(Verdict.FAILED)
        self.answer, self.settled_ms = answer, now_ms
        self.on_answer(answer)
        return True


# What the decision planner is told.


@dataclass(slots=True)
class Submitted:
    attempt: Attempt


@dataclass(slots=True)
class CallerDisconnected:
    """The caller stopped waiting. It names the attempt itself: two that are open may bear the same id."""

    attempt: Attempt


@dataclass(slots=True)
class RunFinished:
    request: str
    outcome: Outcome
    took_ms: float = 0.0
    result: bytes = b""


@dataclass(slots=True)
class CallRequested:
    request: str
    notice: int
    call_payload: bytes


@dataclass(slots=True)
class ReplyInDoubt:
    """The reply to the call at this notice may never have reached the run."""

    request: str
    notice: int


@dataclass(slots=True)
class CallFinished:
    request: str
    outcome: Outcome
    took_ms: float = 0.0
    reply: bytes = b""


@dataclass(slots=True)
class ShutdownNotice:
    """The notice to leave."""

    stops_in_ms: float


@dataclass(slots=True)
class Tick:
    token: str
    gauges: Gauges = field(default_factory=Gauges)


@dataclass(slots=True)
class WorkersUp:
    """Work can be run from now on."""


@dataclass(slots=True)
class CatalogueChanged:
    """The catalogue is not what it was."""


@dataclass(slots=True)
class LearnedStateReceived:
    """What another process of this node has learned of its machine."""

    learned: Learned


@dataclass(slots=True)
class MessageReceived:
    """A word of, or about, another process of this node."""

    message: Any


@dataclass(slots=True)
class ClaimAnswered:
    """Whether an attempt may run under its key. None: that can't be known: it may have run elsewhere, unless it
    ``never_ran``."""

    request: str
    granted: bool | None
    never_ran: bool = False


@dataclass(slots=True)
class OutcomeRecorded:
    """How a run ended, as it is kept for all tries of its request. None: that can't be known in time for its caller."""

    request: str
    outcome: Outcome | None
    result: bytes = b""


RunReport = RunFinished | CallRequested | ReplyInDoubt | CallFinished
"""Of a run that goes on, or has just ended."""

Report = (
    Submitted
    | CallerDisconnected
    | RunReport
    | ShutdownNotice
    | Tick
    | WorkersUp
    | CatalogueChanged
    | MessageReceived
    | ClaimAnswered
    | OutcomeRecorded
    | LearnedStateReceived
)
