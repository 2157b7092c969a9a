"""Builds attempts from the fields of requests, whichever protocol carried them, and responses in the form of HTTP."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

from flintshift.core.attempts import Answer, Attempt, Verdict
from flintshift.core.catalogue import Catalogue
from flintshift.core.limits import Limits
from flintshift.core.ports import ServingStatus
from flintshift.interface import Effect

# The fields that an attempt is built from.
FIELD_NAMES = frozenset(
    {
        "X-Again",
        "X-Allow-Ms",
        "X-Door-Time",
        "X-Item",
        "X-Job-Id",
        "X-Precedence",
        "X-Ram-Kb",
        "X-Sender",
        "X-Size-Ms",
        "X-Team",
        "X-Unique",
    }
)
HEX16 = re.compile(r"[0-9a-fA-F]{16}")
TOKEN = re.compile(r"[!-~]{1,64}")
MAX_UNIX_MS = 2.0**53
MAX_CLASS_PATH_CHARS = 1024  # of a class's name in a path, with its escapes


class RequestError(Exception):
    """A request is malformed or asks for something that does not exist: the status and text of its response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class AttemptBuilder:
    """Builds an attempt from the fields of a request that the decisions need."""

    def __init__(
        self,
        catalogue: Catalogue,
        limits: Limits,
        now_ms: Callable[[], float],
        age_ms: Callable[[float], float] | None = None,
    ) -> None:
        """``age_ms`` returns how long ago a Unix time was on the wall clock. None: ``now_ms`` is the wall clock."""
        self.catalogue, self.limits, self.now_ms = catalogue, limits, now_ms
        self.age_ms = age_ms or (lambda unix_ms: now_ms() - unix_ms)

    def class_name_of(self, method: str, target: str) -> str:
        """The name of the request class that a method and target ask for.

        Raises:
            RequestError: there is no such class, or it takes another method.
        """
        prefix, separator, name = target.partition("?")[0].partition("/call/")
        if prefix or not separator:
            raise RequestError(404, "no such class")
        if self.catalogue.find_class(name) is None and len(name) <= MAX_CLASS_PATH_CHARS:
            name = unquote(name)  # names may contain characters that a path can't
        if self.catalogue.find_class(name) is None:
            raise RequestError(404, "no such class")
        if method != "POST":
            raise RequestError(405, "only POST is taken here")
        return name

    def build(
        self, class_name: str, body: bytes, get: Callable[[str], str | None], on_answer: Callable[[Answer], None]
    ) -> Attempt:
        """Build the attempt of a complete request. ``get`` returns the value of one of `FIELD_NAMES`, or None if it is
        missing.

        Raises:
            RequestError: a field is missing or invalid, or the body is too large.
        """

        def text(name: str, pattern: re.Pattern[str]) -> str:
            value = get(name)
            if value is None or not pattern.fullmatch(value):
                raise RequestError(400, f"{name} is missing" if value is None else f"{name} is impossible")
            return value

        def number(name: str, minimum: float, upper_bound: float, integer: bool = False) -> float:
            value = text(name, TOKEN)
            try:
                parsed = float(int(value)) if integer else float(value)
            except (ValueError, OverflowError):
                parsed = math.nan
            if not minimum <= parsed < upper_bound or "_" in value:
                raise RequestError(400, f"{name} is impossible")
            return parsed

        if len(body) > self.limits.max_body_bytes:
            raise RequestError(413, "the body is too large")
        item, request_class = get("X-Item"), self.catalogue.find_class(class_name)
        keyed = request_class is not None and request_class.effect is Effect.KEYED
        number("X-Precedence", 0, 1)  # no decision uses it, but an invalid value is an error of the caller
        if get("X-Size-Ms") is not None:
            number("X-Size-Ms", 0, self.limits.max_request_age_ms)  # the same holds for this field
        return Attempt(
            id=text("X-Job-Id", HEX16),
            class_name=class_name,
            arrival_ms=self._arrival_ms(number("X-Door-Time", 0, MAX_UNIX_MS, True)),
            caller_timeout_ms=number("X-Allow-Ms", 0, self.limits.max_request_age_ms)
            if get("X-Allow-Ms") is not None
            else None,
            memory_kb=number("X-Ram-Kb", math.nextafter(0, 1), 2000),
            caller=int(number("X-Sender", 0, 2**31, True)),
            body=body,
            tenant=self._tenant(get("X-Team")),
            marked_repeat=get("X-Again") is not None and text("X-Again", re.compile("[01]")) == "1",
            request_key=text("X-Unique", TOKEN) if keyed else None,
            subject=int(text("X-Item", HEX16), 16) if item is not None else None,
            on_answer=on_answer,
        )

    def _arrival_ms(self, unix_ms: float) -> float:
        """When a request reached the machine, by the node's clock; never later than now, whatever the sender's clock
        says."""
        age_ms = self.age_ms(unix_ms)
        if not -self.limits.clock_skew_ms < age_ms <= self.limits.max_request_age_ms:
            raise RequestError(400, "X-Door-Time is impossible")
        return self.now_ms() - max(0.0, age_ms)

    def _tenant(self, team: str | None) -> str | None:
        if team is not None and not self.catalogue.knows_club(team):
            team = _reread_as_utf8(team)
        if not self.catalogue.knows_club(team):
            raise RequestError(400, "X-Team is missing" if team is None else "X-Team is impossible")
        return team


def _reread_as_utf8(text: str) -> str:
    """Decode a field that was read as Latin-1 as UTF-8 instead, where possible: names in the settings may contain
    characters beyond ASCII."""
    try:
        return text.encode("latin-1").decode("utf-8")
    except UnicodeError:
        return text


STATUS = {Verdict.SERVED: 200, Verdict.FAILED: 500, Verdict.CONFLICT: 409}


def response_status(answer: Answer, serving_status: ServingStatus) -> int:
    """The HTTP status of an answer."""
    return STATUS.get(answer.verdict) or (503 if serving_status.draining or not serving_status.workers_up else 429)


STATUS_LINES = {status.value: f"HTTP/1.1 {status.value} {status.phrase}" for status in HTTPStatus}


def encode_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Encode a response in the form of HTTP/1.1, which both fronts use."""
    lines = [STATUS_LINES[status], *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def response_headers(
    answer: Answer | None, body: bytes, serving_status: ServingStatus, close: bool
) -> list[tuple[str, str]]:
    """The headers of a response to a request; without an answer, to a health check or an invalid request."""
    headers = [("Content-Length", str(len(body)))]
    if serving_status.free_value is not None:
        headers.append(("X-Advice", f"{serving_status.free_value:g}"))
    if answer is not None and answer.verdict is Verdict.REFUSED:
        if answer.retry_after_ms > 0:
            headers.append(("X-Wait-Ms", str(math.ceil(answer.retry_after_ms))))
        if answer.terminal:
            headers.append(("X-Terminal", "1"))
    if close:
        headers.append(("Connection", "close"))
    return headers
