"""What crossed the sockets, and the judge of it: which promises of a fleet were broken. Without I/O.

The judge knows callers' requests and answers, and what worker pools were told to run; nothing that a member says of
itself. Times are Unix milliseconds of one clock, the rig's.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

REFUSED = (429, 503)


@dataclass(frozen=True, slots=True)
class RequestSent:
    at_ms: float
    rid: str  # of this try
    key: str | None  # the same for all tries of one keyed request; None: a read
    body: bytes
    member: str


@dataclass(frozen=True, slots=True)
class ResponseReceived:
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
    """A worker pool was told to run this try."""

    at_ms: float
    rid: str
    member: str


@dataclass(frozen=True, slots=True)
class MemberInterrupted:
    """A member's process was killed, or its machine paused: answers owed then may not come."""

    at_ms: float
    member: str


Event = RequestSent | ResponseReceived | ConnectionLost | RunStarted | MemberInterrupted


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was not kept; ``guarantee`` is a key of ``GUARANTEES``."""

    guarantee: str
    key: str
    text: str


GUARANTEES = {
    "second run": "a keyed request ran twice within its window",
    "refused after a run": "a try was refused that was sent after its request had run",
    "differing results": "a try was served with another result than that of the run in whose window it came",
    "unknown result": "a try was served with a result that no run of its request made",
    "other body served": "a try with another body than the one that ran was not answered 409",
    "late": "an answer came after its due time",
    "missing": "no answer came, though the member lived",
    "run of nothing": "a pool ran what no caller asked for",
    "use lost": "an answer that its caller read is in no document, and not in doubt",
    "use doubled": "more is billed than was asked",
}


@dataclass(slots=True)
class CheckResult:
    violations: list[Violation]
    answers: Counter[str] = field(default_factory=Counter)  # served, refused, failed, conflict, none
    runs: int = 0
    latencies_ms: list[float] = field(default_factory=list)  # of keyed tries that were served

    def count_by_guarantee(self) -> dict[str, int]:
        counted = Counter(one.guarantee for one in self.violations)
        return {what: counted[what] for what in GUARANTEES if counted[what]}


def run_result(rid: str) -> bytes:
    """What the lab's worker pool makes of a run."""
    return f"result of {rid}\n".encode()


def word(status: int) -> str:
    return {200: "served", 409: "conflict"}.get(status, "refused" if status in REFUSED else "failed")


def check_history(events: list[Event], window_ms: float, due_ms: float, slack_ms: float = 80.0) -> CheckResult:
    """``due_ms``: within which an answer is due; ``window_ms``: within which no second try of a key may run, counted
    from when the first of them was asked."""
    asked: dict[str, RequestSent] = {}
    answers: dict[str, ResponseReceived] = {}
    died: dict[str, list[float]] = defaultdict(list)
    runs: dict[str, list[tuple[RunStarted, RequestSent]]] = defaultdict(list)
    tries: dict[str, list[RequestSent]] = defaultdict(list)
    told = CheckResult([])
    for event in events:
        match event:
            case RequestSent(rid=rid, key=key):
                asked[rid] = event
                if key is not None:
                    tries[key].append(event)
            case ResponseReceived(rid=rid):
                answers[rid] = event
            case RunStarted(rid=rid):
                told.runs += 1
                known = asked.get(rid)
                if known is None:
                    told.violations.append(Violation("run of nothing", "", f"{event.member} ran {rid}"))
                elif known.key is not None:
                    runs[known.key].append((event, known))
            case MemberInterrupted(at_ms, member):
                died[member].append(at_ms)
    for rid, one in asked.items():
        answer = answers.get(rid)
        excused = any(one.at_ms - due_ms <= at <= one.at_ms + due_ms + slack_ms for at in died[one.member])
        if answer is None:
            told.answers["none"] += 1
            if not excused:
                told.violations.append(Violation("missing", one.key or "", f"{rid} at {one.member}"))
            continue
        told.answers[word(answer.status)] += 1
        took = answer.at_ms - one.at_ms
        if took > due_ms + slack_ms and not excused:
            told.violations.append(Violation("late", one.key or "", f"{rid} at {one.member} after {took:.0f} ms"))
        if answer.status == 200 and one.key is not None:
            told.latencies_ms.append(took)
    for key, all_tries in tries.items():
        told.violations += _of_key(key, all_tries, runs[key], answers, window_ms)
    return told


def _of_key(
    key: str,
    tries: list[RequestSent],
    ran: list[tuple[RunStarted, RequestSent]],
    answers: dict[str, ResponseReceived],
    window_ms: float,
) -> list[Violation]:
    broken = []
    ran = sorted(ran, key=lambda one: one[0].at_ms)
    for (first, asked_first), (second, asked_second) in pairwise(ran):
        if first.rid == second.rid and first.member == second.member:
            continue  # the pool was told again, over a link that broke: it begins nothing
        if asked_second.at_ms <= asked_first.at_ms + window_ms:
            broken.append(
                Violation(
                    "second run",
                    key,
                    f"{first.rid} at {first.member}, then {second.rid} at "
                    f"{second.member} {second.at_ms - first.at_ms:.0f} ms later",
                )
            )
    differing: set[bytes] = set()
    made = {run_result(one.rid) for one, _ in ran}
    for one in tries:
        answer = answers.get(one.rid)
        before = [run for run, asked in ran if run.at_ms < one.at_ms and one.at_ms <= asked.at_ms + window_ms]
        if answer is None:
            continue
        if answer.status in REFUSED and before:
            broken.append(
                Violation(
                    "refused after a run",
                    key,
                    f"{one.rid} at {one.member}: {answer.status}, "
                    f"{one.at_ms - before[0].at_ms:.0f} ms after {before[0].rid} ran",
                )
            )
        if answer.status == 200:
            if answer.body not in made:
                broken.append(Violation("unknown result", key, f"{one.rid} at {one.member}: {answer.body!r}"))
            elif (expected := _due_result(one, ran, window_ms)) not in (None, answer.body):
                differing |= {answer.body, expected}
            bodies = {asked.body for _, asked in ran if run_result(asked.rid) == answer.body}
            if bodies and one.body not in bodies:
                broken.append(Violation("other body served", key, f"{one.rid} at {one.member}"))
    if differing:
        broken.append(Violation("differing results", key, f"{sorted(differing)!r}"))
    return broken


def _due_result(one: RequestSent, ran: list[tuple[RunStarted, RequestSent]], window_ms: float) -> bytes | None:
    """What a try is due: the result of the first run whose window, from when that was asked, had not passed when the
    try was asked. None: all had, and nothing ran for it."""
    within = [run.rid for run, asked in ran if one.at_ms <= asked.at_ms + window_ms]
    return run_result(within[0]) if within else None


@dataclass(slots=True)
class MemberUsage:
    """Of one member, as its callers saw it."""

    answered: set[str] = field(default_factory=set)  # tries that were answered
    unanswered: set[str] = field(default_factory=set)  # that broke off: the member may have booked them all the same


def collect_usage(events: list[Event]) -> dict[str, MemberUsage]:
    """By member."""
    asked = {event.rid: event.member for event in events if isinstance(event, RequestSent)}
    answered = {event.rid for event in events if isinstance(event, ResponseReceived)}
    found: dict[str, MemberUsage] = defaultdict(MemberUsage)
    for rid, member in asked.items():
        (found[member].answered if rid in answered else found[member].unanswered).add(rid)
    return found


def check_usage(
    members: dict[str, MemberUsage], booked: dict[str, int], doubted: dict[str, list[str]]
) -> list[Violation]:
    """``booked``: requests by member in all documents; ``doubted``: ids by member that they list as in doubt."""
    broken = []
    for member, use in sorted(members.items()):
        told = doubted.get(member, [])
        certain, count = len(use.answered - set(told)), booked.get(member, 0)
        if count < certain:
            broken.append(Violation("use lost", "", f"{member}: {certain} answered and not in doubt, {count} billed"))
        if count > certain + len(use.unanswered - set(told)) or len(told) > len(set(told)):
            broken.append(
                Violation(
                    "use doubled",
                    "",
                    f"{member}: {certain} answered and {len(use.unanswered)} broken off, "
                    f"{count} billed, {len(told)} in doubt",
                )
            )
    return broken
