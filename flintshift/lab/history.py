"""Checks the history of a fleet for broken guarantees. It has no I/O.

The history has callers' requests and answers, and the runs that worker pools were commanded to start, but nothing that
a member reports about itself. Times are Unix milliseconds of one clock, that of the test cluster.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

REJECTION_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sent a try of a request."""

    at_ms: float
    rid: str  # id of this try
    key: str | None  # the same for all tries of one keyed request; None: a read
    body: bytes
    member: str


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A caller received the answer to a try."""

    at_ms: float
    rid: str
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The caller's connection ended without an answer."""

    at_ms: float
    rid: str


@dataclass(frozen=True, slots=True)
class RunStarted:
    """A worker pool received the command to start the run of a try."""

    at_ms: float
    rid: str
    member: str


@dataclass(frozen=True, slots=True)
class MemberInterrupted:
    """A member's process was killed, paused or resumed: answers that were due then may be late or missing."""

    at_ms: float
    member: str


Event = RequestSent | ResponseReceived | ConnectionLost | RunStarted | MemberInterrupted


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken guarantee; ``guarantee`` is a key of ``GUARANTEES``."""

    guarantee: str
    key: str
    text: str


GUARANTEES = {
    "second run": "a keyed request ran twice within its window",
    "refused after a run": "a try was rejected that was sent after its request had run",
    "differing results": "a try was served with another result than that of the run in whose window it was sent",
    "unknown result": "a try was served with a result that no run of its request made",
    "other body served": "a try with another body than the one that ran was not answered 409",
    "late": "an answer came after its deadline",
    "missing": "no answer came, although the member was up",
    "run of nothing": "a pool ran what no caller requested",
    "use lost": "an answered try is in no document, and not listed as in doubt",
    "use doubled": "more requests are billed than were sent",
}


@dataclass(slots=True)
class CheckResult:
    """The violations in a history, and its figures."""

    violations: list[Violation]
    answers: Counter[str] = field(default_factory=Counter)  # by outcome: served, refused, failed, conflict, none
    runs: int = 0
    latencies_ms: list[float] = field(default_factory=list)  # of served keyed tries

    def count_by_guarantee(self) -> dict[str, int]:
        """Return the number of violations of each broken guarantee."""
        counts = Counter(violation.guarantee for violation in self.violations)
        return {guarantee: counts[guarantee] for guarantee in GUARANTEES if counts[guarantee]}


def run_result(rid: str) -> bytes:
    """Return the result that the lab's worker pool gives for a run."""
    return f"result of {rid}\n".encode()


def outcome_name(status: int) -> str:
    """Return the name under which an answer with this status is counted."""
    return {200: "served", 409: "conflict"}.get(status, "refused" if status in REJECTION_STATUSES else "failed")


def check_history(events: list[Event], window_ms: float, deadline_ms: float, slack_ms: float = 80.0) -> CheckResult:
    """Check a history for violations.

    Args:
        events: the history, in order.
        window_ms: the time after the first try of a key was sent within which no second one may run.
        deadline_ms: the time within which each try is answered.
        slack_ms: the extra time that an answer may take before it counts as late.
    """
    requests: dict[str, RequestSent] = {}
    answers: dict[str, ResponseReceived] = {}
    interruptions_ms: dict[str, list[float]] = defaultdict(list)
    runs: dict[str, list[tuple[RunStarted, RequestSent]]] = defaultdict(list)
    tries: dict[str, list[RequestSent]] = defaultdict(list)
    result = CheckResult([])
    for event in events:
        match event:
            case RequestSent(rid=rid, key=key):
                requests[rid] = event
                if key is not None:
                    tries[key].append(event)
            case ResponseReceived(rid=rid):
                answers[rid] = event
            case RunStarted(rid=rid):
                result.runs += 1
                request = requests.get(rid)
                if request is None:
                    result.violations.append(Violation("run of nothing", "", f"{event.member} ran {rid}"))
                elif request.key is not None:
                    runs[request.key].append((event, request))
            case MemberInterrupted(at_ms, member):
                interruptions_ms[member].append(at_ms)
    for rid, sent in requests.items():
        answer = answers.get(rid)
        excused = any(
            sent.at_ms - deadline_ms <= at <= sent.at_ms + deadline_ms + slack_ms
            for at in interruptions_ms[sent.member]
        )
        if answer is None:
            result.answers["none"] += 1
            if not excused:
                result.violations.append(Violation("missing", sent.key or "", f"{rid} at {sent.member}"))
            continue
        result.answers[outcome_name(answer.status)] += 1
        latency_ms = answer.at_ms - sent.at_ms
        if latency_ms > deadline_ms + slack_ms and not excused:
            result.violations.append(
                Violation("late", sent.key or "", f"{rid} at {sent.member} after {latency_ms:.0f} ms")
            )
        if answer.status == 200 and sent.key is not None:
            result.latencies_ms.append(latency_ms)
    for key, all_tries in tries.items():
        result.violations += _check_key(key, all_tries, runs[key], answers, window_ms)
    return result


def _check_key(
    key: str,
    tries: list[RequestSent],
    runs: list[tuple[RunStarted, RequestSent]],
    answers: dict[str, ResponseReceived],
    window_ms: float,
) -> list[Violation]:
    """Check the tries and the runs of one key."""
    violations = []
    runs = sorted(runs, key=lambda pair: pair[0].at_ms)
    for (first, first_request), (second, second_request) in pairwise(runs):
        if first.rid == second.rid and first.member == second.member:
            continue  # the command was sent again after the pool's link broke; the pool starts no second run
        if second_request.at_ms <= first_request.at_ms + window_ms:
            violations.append(
                Violation(
                    "second run",
                    key,
                    f"{first.rid} at {first.member}, then {second.rid} at "
                    f"{second.member} {second.at_ms - first.at_ms:.0f} ms later",
                )
            )
    differing: set[bytes] = set()
    known_results = {run_result(run.rid) for run, _ in runs}
    for attempt in tries:
        answer = answers.get(attempt.rid)
        before = [
            run for run, request in runs if run.at_ms < attempt.at_ms and attempt.at_ms <= request.at_ms + window_ms
        ]
        if answer is None:
            continue
        if answer.status in REJECTION_STATUSES and before:
            violations.append(
                Violation(
                    "refused after a run",
                    key,
                    f"{attempt.rid} at {attempt.member}: {answer.status}, "
                    f"{attempt.at_ms - before[0].at_ms:.0f} ms after {before[0].rid} ran",
                )
            )
        if answer.status == 200:
            if answer.body not in known_results:
                violations.append(
                    Violation("unknown result", key, f"{attempt.rid} at {attempt.member}: {answer.body!r}")
                )
            elif (expected := _expected_result(attempt, runs, window_ms)) not in (None, answer.body):
                differing |= {answer.body, expected}
            bodies = {request.body for _, request in runs if run_result(request.rid) == answer.body}
            if bodies and attempt.body not in bodies:
                violations.append(Violation("other body served", key, f"{attempt.rid} at {attempt.member}"))
    if differing:
        violations.append(Violation("differing results", key, f"{sorted(differing)!r}"))
    return violations


def _expected_result(
    attempt: RequestSent, runs: list[tuple[RunStarted, RequestSent]], window_ms: float
) -> bytes | None:
    """Return the result that a try must get: that of the first run within whose window it was sent.

    The window of a run begins when the run's own try was sent. None: all windows had passed, and no run was started for
    the try.
    """
    within = [run.rid for run, request in runs if attempt.at_ms <= request.at_ms + window_ms]
    return run_result(within[0]) if within else None


@dataclass(slots=True)
class MemberUsage:
    """The use of one member, as its callers saw it."""

    answered: set[str] = field(default_factory=set)  # ids of tries
    # Ids of tries whose connection ended. The member may have recorded them nevertheless.
    unanswered: set[str] = field(default_factory=set)


def collect_usage(events: list[Event]) -> dict[str, MemberUsage]:
    """Return the use of each member."""
    members_by_rid = {event.rid: event.member for event in events if isinstance(event, RequestSent)}
    answered_rids = {event.rid for event in events if isinstance(event, ResponseReceived)}
    usage: dict[str, MemberUsage] = defaultdict(MemberUsage)
    for rid, member in members_by_rid.items():
        (usage[member].answered if rid in answered_rids else usage[member].unanswered).add(rid)
    return usage


def check_usage(
    members: dict[str, MemberUsage], billed: dict[str, int], in_doubt: dict[str, list[str]]
) -> list[Violation]:
    """Check that each member's use is billed once.

    Args:
        members: the use by member.
        billed: the requests by member in all documents.
        in_doubt: the ids by member that the documents list as in doubt.
    """
    violations = []
    for member, usage in sorted(members.items()):
        doubtful = in_doubt.get(member, [])
        certain, count = len(usage.answered - set(doubtful)), billed.get(member, 0)
        if count < certain:
            violations.append(
                Violation("use lost", "", f"{member}: {certain} answered and not in doubt, {count} billed")
            )
        if count > certain + len(usage.unanswered - set(doubtful)) or len(doubtful) > len(set(doubtful)):
            violations.append(
                Violation(
                    "use doubled",
                    "",
                    f"{member}: {certain} answered and {len(usage.unanswered)} broken off, "
                    f"{count} billed, {len(doubtful)} in doubt",
                )
            )
    return violations
