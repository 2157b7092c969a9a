"""The codec of the worker pool's JSON lines: encodes commands, and decodes notices into typed, validated messages."""

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

NOTICE_NUMBER_LIMIT = 2**53  # notices are numbered from 1; a number from here on is invalid


class CommandKind(Enum):
    """The kinds of commands, as the recovery after a lost link tells them apart."""

    SPAWN = "spawn"
    SUPPLY = "supply"
    PASS = "pass"
    QUERY = "question"  # poll or verify: not sent again after its link is lost


@dataclass(frozen=True, slots=True, eq=False)
class Command:
    """One encoded line to the pool. ``notice`` is the number of the notice that it answers; 0 if it answers none."""

    kind: CommandKind
    line: bytes
    request: str = ""
    notice: int = 0


@dataclass(frozen=True, slots=True)
class Bound:
    """The pool accepted the bind. All notices after the number given in the bind follow."""


@dataclass(frozen=True, slots=True)
class Finished:
    """A run has ended."""

    number: int
    request: str
    outcome: Outcome
    took_ms: float
    result: bytes


@dataclass(frozen=True, slots=True)
class Blocked:
    """A run waits for the reply to a call to the vault."""

    number: int
    request: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Remark:
    """A numbered notice without effect (`chatter`)."""

    number: int


@dataclass(frozen=True, slots=True)
class Polled:
    """The reply to a poll: the values of the gauges."""

    mark: str
    values: tuple[float, ...] | None  # None: the values are not valid gauges


@dataclass(frozen=True, slots=True)
class Verified:
    """The reply to a verify: whether the pool is healthy."""

    mark: str
    healthy: bool


@dataclass(frozen=True, slots=True)
class Unknown:
    """The pool did not carry out a command; ``request`` is empty if the pool gave none."""

    command: str
    request: str


NumberedNotice = Finished | Blocked | Remark
Notice = Bound | NumberedNotice | Polled | Verified | Unknown


class NoticeError(MalformedMessageError):
    """A line is not a valid notice. ``number`` is its notice number if that could be read, else 0."""

    def __init__(self, text: str, number: int = 0) -> None:
        super().__init__(text)
        self.number = number


def _encode_line(**fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def encode_bind(number: int) -> bytes:
    """Encode the first line on a link, which gives the number of the last notice that was read."""
    return _encode_line(t="bind", no=number)


def encode_spawn(attempt: Attempt) -> Command:
    """Encode the command that starts a run."""
    line = _encode_line(t="spawn", rid=attempt.id, route=attempt.class_name, b64=_encode_base64(attempt.body))
    return Command(CommandKind.SPAWN, line, attempt.id)


def encode_supply(request: str, notice: int, reply: bytes) -> Command:
    """Encode the command that passes a call's reply to the run that waits for it."""
    return Command(
        CommandKind.SUPPLY, _encode_line(t="supply", rid=request, b64=_encode_base64(reply)), request, notice
    )


def encode_pass(request: str, notice: int) -> Command:
    """Encode the command that lets a run continue without the reply to its call."""
    return Command(CommandKind.PASS, _encode_line(t="pass", rid=request, no=notice), request, notice)


def encode_query(command: str, mark: str) -> Command:
    """Encode a ``poll`` or ``verify``; its reply carries the same mark."""
    return Command(CommandKind.QUERY, _encode_line(t=command, mark=mark))


def decode_notice(line: bytes, max_result_bytes: int) -> Notice:
    """Decode one line from the pool.

    Raises:
        NoticeError: the line is not a valid notice.
    """
    number = 0
    try:
        message = json.loads(line)
        kind = message["t"]
        if kind in ("finished", "blocked", "chatter"):
            number = _notice_number(message["no"])
        return _decode_message(kind, number, message, max_result_bytes)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise NoticeError(str(error), number) from error


def _notice_number(value: Any) -> int:
    number = int(value)
    if not 0 < number < NOTICE_NUMBER_LIMIT:
        raise ValueError(f"{number} is not a valid notice number")
    return number


def _duration_ms(value: Any) -> float:
    """The duration, or 0 if it is invalid: one bad notice must not distort the estimates learned from all runs."""
    valid = isinstance(value, int | float) and math.isfinite(value) and value >= 0
    return float(value) if valid else 0.0


def _decode_message(kind: Any, number: int, message: dict[str, Any], max_result_bytes: int) -> Notice:
    match kind:
        case "bound":
            return Bound()
        case "finished":
            outcome = OUTCOMES["run", message["status"]]
            result = base64.b64decode(message.get("b64") or "", validate=True)
            if len(result) > max_result_bytes:
                raise ValueError("the result is too large")
            return Finished(number, str(message["rid"]), outcome, _duration_ms(message.get("time_ms", 0.0)), result)
        case "blocked":
            return Blocked(number, str(message["rid"]), base64.b64decode(message["b64"], validate=True))
        case "chatter":
            return Remark(number)
        case "polled":
            return Polled(str(message["mark"]), _decode_gauges(message.get("v")))
        case "verified":
            return Verified(str(message["mark"]), message.get("status") == "fine")
        case "unknown":
            return Unknown(str(message["status"]), str(message.get("rid", "")))
    raise ValueError(f"{kind!r} is not a notice type")


def _decode_gauges(values: Any) -> tuple[float, ...] | None:
    if not isinstance(values, list) or not all(isinstance(value, int | float) for value in values):
        return None
    gauges = tuple(map(float, values))
    return gauges if all(map(math.isfinite, gauges)) else None
