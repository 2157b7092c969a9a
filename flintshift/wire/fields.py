"""The fields of a request, whichever protocol carried them, and the answers to what can't be taken."""

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

HEX16 = re.compile(r"[0-9a-fA-F]{16}")
TOKEN = re.compile(r"[!-~]{1,64}")
UNIX_MS_MOST = 2.0**53


class RequestError(Exception):
    """What was read can't be taken; `status` says why, and the text what is wrong with it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class AttemptBuilder:
    """Makes an attempt of the fields that the decisions need."""

    def __init__(
        self,
        catalogue: Catalogue,
        limits: Limits,
        now_ms: Callable[[], float],
        age_ms: Callable[[float], float] | None = None,
    ) -> None:
        """``age_ms`` tells how long ago the wall clock showed a Unix time; None: ``now_ms`` goes by the wall clock."""
        self.catalogue, self.limits, self.now_ms = catalogue, limits, now_ms
        self.age_ms = age_ms or (lambda unix_ms: now_ms() - unix_ms)

    def class_name_of(self, method: str, target: str) -> str:
        before, separator, name = target.partition("?")[0].partition("/call/")
        if before or not separator:
            raise RequestError(404, "no such class")
        if self.catalogue.find_class(name) is None:
            name = unquote(name)  # a name may hold what a path can't
        if self.catalogue.find_class(name) is None:
            raise RequestError(404, "no such class")
        if method != "POST":
            raise RequestError(405, "only POST is taken here")
        return name

    def build(
        self, class_name: str, body: bytes, get: Callable[[str], str | None], tell: Callable[[Answer], None]
    ) -> Attempt:
        def text(name: str, fits: re.Pattern[str]) -> str:
            value = get(name)
            if value is None or not fits.fullmatch(value):
                raise RequestError(400, f"{name} is missing" if value is None else f"{name} is impossible")
            return value

        def number(name: str, least: float, most: float, whole: bool = False) -> float:
            value = text(name, TOKEN)
            try:
                found = float(int(value)) if whole else float(value)
            except (ValueError, OverflowError):
                found = math.nan
            if not least <= found < most or "_" in value:
                raise RequestError(400, f"{name} is impossible")
            return found

        if len(body) > self.limits.max_body_bytes:
            raise RequestError(413, "the body is too large")
        item, kind = get("X-Item"), self.catalogue.find_class(class_name)
        keyed = kind is not None and kind.effect is Effect.KEYED
        number("X-Precedence", 0, 1)  # no decision uses it, but one that is no rank is a fault of the caller
        if get("X-Size-Ms") is not None:
            number("X-Size-Ms", 0, self.limits.max_request_age_ms)  # the same holds for this one
        return Attempt(
            id=text("X-Job-Id", HEX16),
            class_name=class_name,
            arrival_ms=self._door_ms(number("X-Door-Time", 0, UNIX_MS_MOST, True)),
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
            on_answer=tell,
        )

    def _door_ms(self, unix_ms: float) -> float:
        """When a request came to the machine, by the node's clock: no later than now, whatever its caller's says."""
        age_ms = self.age_ms(unix_ms)
        if not -self.limits.clock_skew_ms < age_ms <= self.limits.max_request_age_ms:
            raise RequestError(400, "X-Door-Time is impossible")
        return self.now_ms() - max(0.0, age_ms)

    def _tenant(self, team: str | None) -> str | None:
        if team is not None and not self.catalogue.knows_club(team):
            team = _utf8(team)
        if not self.catalogue.knows_club(team):
            raise RequestError(400, "X-Team is missing" if team is None else "X-Team is impossible")
        return team


def _utf8(text: str) -> str:
    """A field's bytes, which were read as Latin-1, read as UTF-8 where they can be: settings may name what no ASCII
    can."""
    try:
        return text.encode("latin-1").decode("utf-8")
    except UnicodeError:
        return text


STATUS = {Verdict.SERVED: 200, Verdict.FAILED: 500, Verdict.CONFLICT: 409}


def response_status(answer: Answer, posture: ServingStatus) -> int:
    return STATUS.get(answer.verdict) or (503 if posture.draining or not posture.workers_up else 429)


LINES = {status.value: f"HTTP/1.1 {status.value} {status.phrase}" for status in HTTPStatus}


def encode_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """An answer in the manner of HTTP/1.1, as both fronts give it."""
    lines = [LINES[status], *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def response_headers(answer: Answer | None, body: bytes, posture: ServingStatus, close: bool) -> list[tuple[str, str]]:
    """The headers of an answer, or of what is said to a health check or to what can't be taken."""
    headers = [("Content-Length", str(len(body)))]
    if posture.free_value is not None:
        headers.append(("X-Advice", f"{posture.free_value:g}"))
    if answer is not None and answer.verdict is Verdict.REFUSED:
        if answer.retry_after_ms > 0:
            headers.append(("X-Wait-Ms", str(math.ceil(answer.retry_after_ms))))
        if answer.terminal:
            headers.append(("X-Terminal", "1"))
    if close:
        headers.append(("Connection", "close"))
    return headers
