"""Judges a drain by what the callers of a node saw around its notice to leave, without I/O.

`judge` knows the callers' requests, how each of them ended, and which runs the worker pool was asked for; it uses
nothing that the node reports of itself. Times are milliseconds of the callers' monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

CROSSING_MS = 50.0  # by the protocol, a caller resends a request if the connection closes this soon after it
LATE_TOLERANCE_MS = 100.0  # past the deadline: the protocol allows 50 ms, the rest is for delays on a busy machine
REJECTED_STATUSES = (429, 503)


class End(Enum):
    """How one attempt ended for its caller."""

    ANSWERED = "answered"
    ENDED = "ended"  # the connection was closed before a complete answer
    RESET = "reset"  # the connection was reset before a complete answer
    GIVEN_UP = "given_up"  # the caller stopped waiting


@dataclass(slots=True)
class Attempt:
    """One attempt of a request: what was sent, and how it was answered."""

    id: str
    front: str
    class_name: str
    body: bytes
    key: str | None  # shared by all attempts of one keyed request; None: a read
    deadline_ms: float
    written_ms: float | None = None  # when the last byte was written; None: never
    end: End | None = None
    end_ms: float = 0.0
    status: int = 0
    result: bytes = b""
    announced_close: bool = False  # the answer announced that the connection closes


@dataclass(frozen=True, slots=True)
class Process:
    """How the node's process ended."""

    exit_code: int
    left_ms: float | None  # from the notice to the exit; None: it was killed
    requests_after_end: int = 0  # read from a connection after the node had shut down its sending side
    truncated_commands: int = 0  # to the worker pool, in the middle of which the node closed the link
    counters: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Verdict:
    """The result of `judge`.

    ``broken`` counts violations by rule, none of which is allowed; ``seen`` counts everything else, for the record."""

    broken: Counter[str] = field(default_factory=Counter)
    seen: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def add_violation(self, rule: str, example: str) -> None:
        """Count a violation of the rule; keep the first examples of all rules."""
        self.broken[rule] += 1
        if len(self.examples) < 20:
            self.examples.append(f"{rule}: {example}")


def judge(
    attempts: list[Attempt],
    spawned: Counter[str],
    unknown_runs: int,
    process: Process,
    notice_ms: float,
    lag_ms: float = 0.0,
) -> Verdict:
    """Find the rules that were broken.

    ``spawned``: runs by id. ``unknown_runs``: commands to run requests that no caller had sent. ``lag_ms``: the largest
    lag of the callers' event loop, by which the times that they saw may be late."""
    verdict = Verdict()
    for attempt in attempts:
        _judge_end(verdict, attempt, notice_ms, lag_ms)
        _judge_answer(verdict, attempt, attempts, spawned, notice_ms, lag_ms)
    crossed = verdict.seen["crossed"]
    if crossed:
        verdict.add_violation("crossed", f"{crossed} requests crossed the end of a connection")
    _judge_runs(verdict, attempts, spawned)
    if unknown_runs:
        verdict.add_violation("strangers", f"{unknown_runs} runs of requests that no caller had sent")
    if process.left_ms is None:
        verdict.add_violation(
            "killed",
            f"the node had not exited when SIGKILL was due: exit code {process.exit_code} (-9: by that signal)",
        )
    elif process.exit_code:
        verdict.add_violation("crashed", f"exit code {process.exit_code}")
    if process.requests_after_end:
        verdict.add_violation(
            "read_after_end", f"{process.requests_after_end} requests read after their connection's end"
        )
    if process.truncated_commands and process.left_ms is not None:
        verdict.add_violation("torn_command", f"{process.truncated_commands} commands were truncated")
    leftovers = [f"{name}={count}" for name, count in process.counters.items() if name.startswith("left.")]
    if leftovers:
        verdict.add_violation("left", " ".join(leftovers))
    return verdict


def _judge_end(verdict: Verdict, attempt: Attempt, notice_ms: float, lag_ms: float) -> None:
    if attempt.written_ms is not None and attempt.written_ms >= notice_ms:
        verdict.seen["after_notice"] += 1
    if attempt.end is End.ANSWERED or attempt.end is End.GIVEN_UP:
        return
    after_ms = attempt.written_ms - notice_ms if attempt.written_ms is not None else 0.0
    took_ms = attempt.end_ms - attempt.written_ms if attempt.written_ms is not None else 0.0
    description = (
        f"{attempt.id} {attempt.front} written {after_ms:.0f} ms after the notice, closed {took_ms:.1f} ms later"
    )
    if attempt.written_ms is None:
        verdict.seen["pieces_cut"] += 1
    elif attempt.end is End.RESET:
        verdict.add_violation("reset", description)
    elif attempt.end is None:
        verdict.add_violation("unanswered", description)
    elif took_ms > CROSSING_MS + lag_ms:
        verdict.add_violation("lost", description)
    else:
        verdict.seen["crossed"] += 1


def _describe_late_answer(attempt: Attempt, notice_ms: float, lag_ms: float) -> str:
    written_ms = attempt.written_ms if attempt.written_ms is not None else attempt.end_ms
    return (
        f"{attempt.id} {attempt.class_name} by {attempt.end_ms - attempt.deadline_ms:.0f} ms, status {attempt.status}, "
        f"the callers' loop late by {lag_ms:.0f} ms; written {attempt.deadline_ms - written_ms:.0f} ms before its "
        f"deadline, {written_ms - notice_ms:.0f} ms after the notice"
    )


def _judge_answer(
    verdict: Verdict, attempt: Attempt, attempts: list[Attempt], spawned: Counter[str], notice_ms: float, lag_ms: float
) -> None:
    if attempt.end is not End.ANSWERED:
        return
    verdict.seen[f"status_{attempt.status}"] += 1
    verdict.seen["latest_ms"] = max(verdict.seen["latest_ms"], round(attempt.end_ms - attempt.deadline_ms))
    if attempt.end_ms > attempt.deadline_ms + LATE_TOLERANCE_MS + lag_ms:
        verdict.add_violation("late", _describe_late_answer(attempt, notice_ms, lag_ms))
    if attempt.status == 200:
        possible_runs = (
            {attempt.id} if attempt.key is None else {other.id for other in attempts if other.key == attempt.key}
        )
        if attempt.result not in {f"result of {rid}\n".encode() for rid in possible_runs}:
            verdict.add_violation("false_result", f"{attempt.id}: {attempt.result[:40]!r}")
    elif attempt.status in REJECTED_STATUSES:
        if spawned[attempt.id]:
            verdict.add_violation("refused_once_run", attempt.id)
    elif attempt.status != 500:
        verdict.add_violation(f"status_{attempt.status}", f"{attempt.id} {attempt.front}")


def _judge_runs(verdict: Verdict, attempts: list[Attempt], spawned: Counter[str]) -> None:
    runs: Counter[str] = Counter()
    for attempt in attempts:
        if attempt.key is not None and spawned[attempt.id]:
            runs[attempt.key] += 1
    for key, count in runs.items():
        if count > 1:
            verdict.add_violation("ran_twice", f"key {key}: {count} runs")
