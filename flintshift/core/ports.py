"""What the core needs of the world outside; each is an actor that takes a command without waiting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from flintshift.core.attempts import Attempt
from flintshift.interface import Gauges, Outcome


class Workers(Protocol):
    """Where requests run. False: the command was not taken, nothing was started by it."""

    def spawn(self, attempt: Attempt) -> bool: ...
    def supply(self, request: str, no: int, reply: bytes) -> bool: ...
    def continue_run(self, request: str, no: int) -> bool: ...


class VaultCalls(Protocol):
    """What requests call while they run. False: the call was not taken."""

    def start_call(self, request: str, limit_ms: float, payload: bytes, once: bool) -> bool: ...
    def cancel_call(self, request: str) -> None: ...


class GaugeSource(Protocol):
    async def poll(self) -> Gauges | None: ...


class UsageRecorder(Protocol):
    """Who books each request's use. It may hold an answer back until that is kept."""

    @property
    def refusing(self) -> bool: ...  # new work could not be booked, and is not to be taken
    def track(self, attempt: Attempt, front: str) -> None: ...  # before it is submitted
    def record_delivery(self, attempt: Attempt, arrived: bool) -> None: ...  # its answer was written, or could not be
    def record_disconnect(self, attempt: Attempt, front: str) -> None: ...  # its caller went before an answer
    def record_late_run(self, attempt: Attempt, took_ms: float) -> None: ...  # a run ended after the final answer


class Claims(Protocol):
    """Who else must agree before a keyed run begins: the other process of this node, or further members of the fleet.
    It is told what becomes of keys here."""

    @property
    def required(self) -> bool: ...
    def in_doubt(self, attempt: Attempt) -> bool: ...  # it may have run where nobody can be asked any more
    def request_claim(self, attempt: Attempt) -> None: ...  # answered by the report `Agreed`
    def cancel_claim(self, request: str) -> None: ...  # nobody waits for that answer
    def on_key_claimed(self, attempt: Attempt) -> None: ...
    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, result: bytes
    ) -> bool: ...  # answered by the report `Kept`
    def on_run_ended(self, attempt: Attempt) -> None: ...  # its run has ended, and the table holds how
    def on_key_freed(self, attempt: Attempt) -> None: ...  # it never ran, and the table holds nothing of it
    def on_message(self, word: Any) -> None: ...
    def tick(self) -> None: ...


class FairRanking(Protocol):
    """Who says where a request stands in a fair order by club and caller, and is told what becomes of it."""

    def rank_ms(self, request: str) -> float: ...
    def on_arrival(self, attempt: Attempt) -> None: ...  # it is on its way to the decisions
    def on_start(self, request: str) -> None: ...
    def on_withdrawal(self, request: str) -> None: ...  # without a run
    def retry_after_ms(self, attempt: Attempt, least_ms: float, most_ms: float) -> float: ...  # it is turned away
    def on_end(self, request: str, took_ms: float) -> None: ...
    def tick(self) -> None: ...


class Log(Protocol):
    """Writes a structured event; ``level`` is debug, info, warning or error."""

    def __call__(self, level: str, event: str, **fields: Any) -> None: ...


def log_nothing(level: str, event: str, **fields: Any) -> None:
    """The log that is off."""


@dataclass(slots=True)
class ServingStatus:
    """What the fronts tell callers between answers; written by the decision planner, but for one word."""

    workers_up: bool = False  # work can be run
    draining: bool = False
    out_of_service: bool = (
        False  # of service: health checks are bad, all else is as always; the control door writes this one
    )
    healthy: bool = True  # the answer to health checks
    health_is_cached: bool = False  # and whether it comes from here alone
    free_value: float | None = None
    idle_timeout_ms: float = 0.0  # connections without a request are closed after so long; 0: left to callers
    default_retry_after_ms: float = 0.0  # for refusals that no decision was asked for
