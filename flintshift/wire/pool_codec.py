"""The worker pool's JSON lines: commands as bytes, and notices as typed messages that are checked first."""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass
from enum import Enum
from typing import Any

from flintshift.core.attempts import Attempt
from flintshift.interface import Outcome
from flintshift.wire.link import MalformedMessageError
from flintshift.wire.outcomes import OUTCOMES

NUMBER_MOST = 2**53  # notices are numbered from 1; a larger number is no number of one


class CommandKind(Enum):
    SPAWN = "spawn"
    SUPPLY = "supply"
    PASS = "pass"
    QUESTION = "question"  # poll or verify: nobody misses it once its link is gone


@dataclass(frozen=True, slots=True, eq=False)
class Command:
    """One line to the pool. ``notice`` is the number of the notice that it answers, 0 where it answers none."""

    kind: CommandKind
    line: bytes
    request: str = ""
    notice: int = 0


@dataclass(frozen=True, slots=True)
class Bound:
    """The pool is up, and all notices after the number that was told follow."""


@dataclass(frozen=True, slots=True)
class Finished:
    number: int
    request: str
    outcome: Outcome
    took_ms: float
    result: bytes


@dataclass(frozen=True, slots=True)
class Blocked:
    number: int
    request: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Remark:
    number: int


@dataclass(frozen=True, slots=True)
class Polled:
    mark: str
    values: tuple[float, ...] | None  # None: they are no gauges


@dataclass(frozen=True, slots=True)
class Verified:
    mark: str
    good: bool


@dataclass(frozen=True, slots=True)
class Unknown:
    """A command that was not carried out."""

    command: str
    request: str


Numbered = Finished | Blocked | Remark
Notice = Bound | Numbered | Polled | Verified | Unknown


class NoticeError(MalformedMessageError):
    """A line that is no notice; ``number`` is that of a numbered one whose rest is junk, else 0."""

    def __init__(self, text: str, number: int = 0) -> None:
        super().__init__(text)
        self.number = number


def _line(**fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def _base64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def bind(number: int) -> bytes:
    """The first line on a link: the last notice that was read."""
    return _line(t="bind", no=number)


def spawn(attempt: Attempt) -> Command:
    line = _line(t="spawn", rid=attempt.id, route=attempt.class_name, b64=_base64(attempt.body))
    return Command(CommandKind.SPAWN, line, attempt.id)


def supply(request: str, notice: int, reply: bytes) -> Command:
    return Command(CommandKind.SUPPLY, _line(t="supply", rid=request, b64=_base64(reply)), request, notice)


def go_on(request: str, notice: int) -> Command:
    return Command(CommandKind.PASS, _line(t="pass", rid=request, no=notice), request, notice)


def question(command: str, mark: str) -> Command:
    """``poll`` or ``verify``."""
    return Command(CommandKind.QUESTION, _line(t=command, mark=mark))


def notice_of(line: bytes, result_most: int) -> Notice:
    """Read one line.

    Raises:
        NoticeError: it is none that the protocol knows.
    """
    number = 0
    try:
        message = json.loads(line)
        kind = message["t"]
        if kind in ("finished", "blocked", "chatter"):
            number = _number(message["no"])
        return _notice(kind, number, message, result_most)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise NoticeError(str(error), number) from error


def _number(value: Any) -> int:
    number = int(value)
    if not 0 < number < NUMBER_MOST:
        raise ValueError(f"{number} numbers no notice")
    return number


def _milliseconds(value: Any) -> float:
    """A time that is no time is not known: one notice must not spoil what is learned of all runs."""
    known = isinstance(value, int | float) and math.isfinite(value) and value >= 0
    return float(value) if known else 0.0


def _notice(kind: Any, number: int, message: dict[str, Any], result_most: int) -> Notice:
    match kind:
        case "bound":
            return Bound()
        case "finished":
            outcome = OUTCOMES["run", message["status"]]
            result = base64.b64decode(message.get("b64") or "", validate=True)
            if len(result) > result_most:
                raise ValueError("a result that is too large")
            return Finished(number, str(message["rid"]), outcome, _milliseconds(message.get("time_ms", 0.0)), result)
        case "blocked":
            return Blocked(number, str(message["rid"]), base64.b64decode(message["b64"], validate=True))
        case "chatter":
            return Remark(number)
        case "polled":
            return Polled(str(message["mark"]), _gauges(message.get("v")))
        case "verified":
            return Verified(str(message["mark"]), message.get("status") == "fine")
        case "unknown":
            return Unknown(str(message["status"]), str(message.get("rid", "")))
    raise ValueError(f"{kind!r} is no notice")


def _gauges(values: Any) -> tuple[float, ...] | None:
    if not isinstance(values, list) or not all(isinstance(value, int | float) for value in values):
        return None
    found = tuple(map(float, values))
    return found if all(map(math.isfinite, found)) else None
