"""Attempts of requests with their single final answer, and the reports that the decision planner handles."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from flintshift.interface import Gauges, LearnedEstimates, Outcome, RequestClass

NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MOOT})  # these prove that a run never began


class Verdict(Enum):
    """The kind of a final answer."""

    SERVED = "served"
    REFUSED = "refused"  # this attempt never ran
    FAILED = "failed"
    CONFLICT = "conflict"  # failed: its id is already open, or its key belongs to another request


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to an attempt, as a front writes it."""

    verdict: Verdict
    body: bytes = b""
    retry_after_ms: float = 0.0  # how long the caller should wait before it retries
    terminal: bool = False  # the caller is asked not to try another node


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request: the fields that were read, and the state of its processing."""

    id: str
    class_name: str
    arrival_ms: float  # when it reached the machine, by the node's clock
    memory_kb: float
    caller: int
    body: bytes
    tenant: str | None = None
    marked_repeat: bool = False
    request_key: str | None = None  # set in keyed classes only; the same for all tries of a request
    subject: int | None = None
    caller_timeout_ms: float | None = None  # how long its caller waits after the arrival, if it says so
    request_class: RequestClass | None = None  # as in the settings when the attempt was accepted
    workers: str = "pool"  # the name of the workers that run it
    head: bytes = b""  # bytes sent to these workers before the body, as they were received
    on_answer: Callable[[Answer], None] = lambda answer: None
    answer: Answer | None = None
    caller_disconnected: bool = False
    running: bool = False
    ran: bool = False
    call_pending: bool = False
    call_notice: int = 0  # number of the notice that requested the pending call
    call_payload: bytes = b""  # the pending call's payload
    settled_ms: float = 0.0  # when it was answered or its caller disconnected
    run_ms: float = 0.0  # duration of its own run, known once that has ended
    call_count: int = 0  # calls that its run made to the vault
    reuses_result: bool = False  # it is answered with the result of an earlier try
    call_skipped: bool = False  # its run went on without the reply to a call
    ticket: Any = None  # set by the usage recorder

    @property
    def settled(self) -> bool:
        """Whether no answer is pending any more: it was answered, or its caller disconnected."""
        return self.caller_disconnected or self.answer is not None

    @property
    def deadline_at_ms(self) -> float:
        """When the final answer is due, by the clock of ``arrival_ms``: after the deadline of its class, or earlier if
        its caller waits for less. Infinite without a class and without a caller's timeout."""
        deadline_ms = self.request_class.deadline_ms if self.request_class is not None else math.inf
        return self.arrival_ms + (
            deadline_ms if self.caller_timeout_ms is None else min(self.caller_timeout_ms, deadline_ms)
        )

    def settle(self, answer: Answer, now_ms: float) -> bool:
        """Give the final answer; False if none is pending any more.

        Guards against a second answer, against an answer to a caller that disconnected, and against refusing an
        attempt that has run: that refusal becomes a failure."""
        if self.settled:
            return False
        if answer.verdict is Verdict.REFUSED and self.ran:
            answer = Answer(Verdict.FAILED)
        self.answer, self.settled_ms = answer, now_ms
        self.on_answer(answer)
        return True


# Reports to the decision planner.


@dataclass(slots=True)
class Submitted:
    """A front has read an attempt and hands it over."""

    attempt: Attempt


@dataclass(slots=True)
class CallerDisconnected:
    """The caller stopped waiting. The report holds the attempt itself, as two open attempts may have the same id."""

    attempt: Attempt


@dataclass(slots=True)
class RunFinished:
    """A run ended, or could not begin."""

    request: str
    outcome: Outcome
    took_ms: float = 0.0
    result: bytes = b""


@dataclass(slots=True)
class CallRequested:
    """A run needs the reply to a call to the vault."""

    request: str
    notice: int
    call_payload: bytes


@dataclass(slots=True)
class ReplyInDoubt:
    """The reply to the call that this notice requested may never have reached the run."""

    request: str
    notice: int


@dataclass(slots=True)
class CallFinished:
    """A call to the vault ended."""

    request: str
    outcome: Outcome
    took_ms: float = 0.0
    reply: bytes = b""


@dataclass(slots=True)
class ShutdownNotice:
    """The platform asks this process to stop."""

    stops_in_ms: float


@dataclass(slots=True)
class Tick:
    """A time that the controller asked for has come; carries the gauges read for it."""

    token: str
    gauges: Gauges = field(default_factory=Gauges)


@dataclass(slots=True)
class WorkersUp:
    """The worker pool is linked: work can be run from now on."""


@dataclass(slots=True)
class CatalogueChanged:
    """The catalogue of classes and clubs, or the share of the limits, has changed."""


@dataclass(slots=True)
class LearnedStateReceived:
    """What the controller in another process of this node has learned about the machine."""

    learned: LearnedEstimates


@dataclass(slots=True)
class MessageReceived:
    """A message from another process of this node or from a member, or an event of the link to it."""

    message: Any


@dataclass(slots=True)
class ClaimAnswered:
    """Whether an attempt may run under its key. ``granted`` is None where that can't be known: it may then have run
    elsewhere, unless it ``never_ran``."""

    request: str
    granted: bool | None
    never_ran: bool = False


@dataclass(slots=True)
class OutcomeRecorded:
    """How a run ended, as recorded elsewhere for all tries of its request. ``outcome`` is None where the record can't
    be confirmed in time for the caller."""

    request: str
    outcome: Outcome | None
    result: bytes = b""


RunReport = RunFinished | CallRequested | ReplyInDoubt | CallFinished
"""A report about a run that goes on or has just ended."""

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
