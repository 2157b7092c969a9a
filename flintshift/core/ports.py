"""The ports of the core: what it needs of the world outside. Each takes a command without waiting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from flintshift.core.attempts import Attempt
from flintshift.interface import Gauges, Outcome


class Workers(Protocol):
    """Where requests run. A method that returns False did not accept its command and started nothing."""

    def spawn(self, attempt: Attempt) -> bool: ...
    def supply(self, request: str, notice: int, reply: bytes) -> bool: ...  # the reply to the call of this notice
    def continue_run(self, request: str, notice: int) -> bool: ...  # without the reply to that call


class VaultCalls(Protocol):
    """Calls that requests make to the vault while they run. False: the call was not accepted."""

    def start_call(self, request: str, limit_ms: float, payload: bytes, once: bool) -> bool: ...
    def cancel_call(self, request: str) -> None: ...


class GaugeSource(Protocol):
    """Reads the host's gauges; None where they can't be read."""

    async def poll(self) -> Gauges | None: ...


class UsageRecorder(Protocol):
    """Records the use of each request. It may delay an answer until its record is durable."""

    @property
    def refusing(self) -> bool: ...  # the use of new work could not be recorded: it must not be accepted
    def track(self, attempt: Attempt, front: str) -> None: ...  # called before the attempt is submitted
    def record_delivery(self, attempt: Attempt, written: bool) -> None: ...  # whether its answer could be written
    def record_disconnect(self, attempt: Attempt, front: str) -> None: ...  # its caller disconnected before an answer
    def record_late_run(self, attempt: Attempt, took_ms: float) -> None: ...  # a run ended after the final answer


class Claims(Protocol):
    """Those that must agree before a keyed run begins: the other process of this node, or further members of the fleet.
    They are also notified of what happens to keys here."""

    @property
    def required(self) -> bool: ...  # a run must be agreed before it begins
    def in_doubt(self, attempt: Attempt) -> bool: ...  # it may have run in a process that can't be asked any more
    def request_claim(self, attempt: Attempt) -> None: ...  # answered by the report `ClaimAnswered`
    def cancel_claim(self, request: str) -> None: ...  # nobody waits for that answer any more
    def on_key_claimed(self, attempt: Attempt) -> None: ...  # the key table has an entry with this owner
    # True: the caller is answered only after the report `OutcomeRecorded`.
    def record_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> bool: ...
    def on_run_ended(self, attempt: Attempt) -> None: ...  # the key table has the outcome
    def on_key_freed(self, attempt: Attempt) -> None: ...  # it never ran, and the key table has no entry of it
    def on_message(self, message: Any) -> None: ...
    def tick(self) -> None: ...


class FairRanking(Protocol):
    """Ranks waiting requests in a fair order by club and caller, and is notified of what happens to them."""

    def rank_ms(self, request: str) -> float: ...
    def on_arrival(self, attempt: Attempt) -> None: ...  # the attempt is handed to the controller
    def on_start(self, request: str) -> None: ...
    def on_withdrawal(self, request: str) -> None: ...  # the request leaves the order without a run
    def retry_after_ms(self, attempt: Attempt, min_ms: float, max_ms: float) -> float: ...  # it is rejected
    def on_end(self, request: str, took_ms: float) -> None: ...
    def tick(self) -> None: ...


class Log(Protocol):
    """Writes a structured event; ``level`` is debug, info, warning or error."""

    def __call__(self, level: str, event: str, **fields: Any) -> None: ...


def log_nothing(level: str, event: str, **fields: Any) -> None:
    """A log that drops every event."""


@dataclass(slots=True)
class ServingStatus:
    """What the fronts report to callers besides answers. The decision planner writes it, except ``out_of_service``."""

    workers_up: bool = False  # work can be run
    draining: bool = False
    out_of_service: bool = False  # health checks fail, all else goes on; written for operators by the node
    healthy: bool = True  # the answer to health checks
    health_is_cached: bool = False  # deep health checks are answered without asking the worker pool
    free_value: float | None = None
    idle_timeout_ms: float = 0.0  # connections without a request are closed after so long; 0: callers close them
    default_retry_after_ms: float = 0.0  # for refusals without a decision of the controller
