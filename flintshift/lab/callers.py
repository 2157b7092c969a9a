"""Callers that load a node's fronts over real sockets and count the answers by club."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from flintshift.wire import uwsgi

CLASSES = ("race-results", "standings", "finish-times", "submit-time")
OUTCOME_BY_STATUS = {200: "served", 429: "refused", 503: "refused", 500: "failed", 409: "failed"}


@dataclass(slots=True)
class Tally:
    """What callers received: the number of answers by (club, class, front, outcome), the same row by request id, and
    the delays of the answers."""

    answers: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)
    row_by_id: dict[str, tuple[str, str, str, str]] = field(default_factory=dict)
    bytes_out: Counter[str] = field(default_factory=Counter)  # of the answers' bodies, by club
    unanswered: set[str] = field(default_factory=set)  # ids of requests whose connection broke before the answer
    delays_ms: list[float] = field(default_factory=list)


def request_fields(rid: str, club: str, class_name: str, sender: int, marked_repeat: bool = False) -> dict[str, str]:
    """The header fields of a request; ``marked_repeat``: it is marked as sent again."""
    fields = {
        "X-Job-Id": rid,
        "X-Door-Time": str(int(time.time() * 1000)),
        "X-Sender": str(sender),
        "X-Team": club,
        "X-Ram-Kb": "20.5",
        "X-Precedence": "0.5",
    }
    if class_name == "submit-time":
        fields["X-Unique"] = f"key-{rid}"
    if marked_repeat:
        fields["X-Again"] = "1"
    return fields


def http_request(class_name: str, body: bytes, fields: dict[str, str]) -> bytes:
    """Return the bytes of a request to the http front."""
    lines = [
        f"POST /call/{class_name} HTTP/1.1",
        "Host: api.internal",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in fields.items()),
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


def uwsgi_request(class_name: str, body: bytes, fields: dict[str, str]) -> bytes:
    """Return the bytes of a request to the uwsgi front."""
    variables = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": f"/call/{class_name}",
        "CONTENT_LENGTH": str(len(body)),
        **{"HTTP_" + name.upper().replace("-", "_"): value for name, value in fields.items()},
    }
    return bytes(uwsgi.pack(variables.items())) + body


REQUEST_BUILDERS = {"http": http_request, "uwsgi": uwsgi_request}


async def read_reply(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Read an answer: its status, its body, and whether the connection stays open."""
    status, body, head = await read_reply_with_head(reader)
    return status, body, b"connection: close" not in head


async def read_reply_with_head(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Read an answer: its status, its body, and its head in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    size = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
    return int(head[9:12]), await reader.readexactly(size), head


def advised_wait_ms(head: bytes) -> float | None:
    """How long a rejection asks the caller to wait before a retry; None: it does not say."""
    _, field_name, rest = head.partition(b"x-wait-ms: ")
    return float(rest.split(b"\r\n")[0]) if field_name else None


class Caller:
    """A caller with one connection, which sends each request after the answer to the previous one.

    ``pause_s`` is the mean pause between two requests. Without ``keep_ids`` the tally gets no rows by request id.
    """

    def __init__(
        self,
        port: int,
        front: str,
        sender: int,
        clubs: list[str],
        tally: Tally,
        seed: int,
        pause_s: float = 0.0,
        keep_ids: bool = True,
    ) -> None:
        self.port, self.front, self.sender, self.clubs = port, front, sender, clubs
        self.tally, self.rng, self.pause_s, self.keep_ids = tally, random.Random(seed), pause_s, keep_ids
        self.classes = CLASSES

    async def run(self, stop: asyncio.Event, max_requests: int | None = None) -> None:
        """Send requests until ``stop`` is set, the node closes the connection, or ``max_requests`` are answered."""
        answered, link = 0, None
        while not stop.is_set() and (max_requests is None or answered < max_requests):
            club, class_name = self.rng.choice(self.clubs), self.rng.choice(self.classes)
            rid = f"{self.rng.getrandbits(64):016x}"
            body = b"12:%05.2f" % (60 * self.rng.random())
            try:
                if link is None:
                    link = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                return
            reader, writer = link
            sent_s = time.perf_counter()
            self.tally.unanswered.add(rid)
            try:
                writer.write(
                    REQUEST_BUILDERS[self.front](class_name, body, request_fields(rid, club, class_name, self.sender))
                )
                status, result, stays_open = await read_reply(reader)
            except (OSError, asyncio.IncompleteReadError):
                return
            self.tally.unanswered.discard(rid)
            self.tally.delays_ms.append((time.perf_counter() - sent_s) * 1000)
            row = club, class_name, self.front, OUTCOME_BY_STATUS.get(status, "other")
            self.tally.answers[row] += 1
            self.tally.bytes_out[club] += len(result)
            if self.keep_ids:
                self.tally.row_by_id[rid] = row
            answered += 1
            if not stays_open:
                writer.close()
                link = None
            if self.pause_s:
                await asyncio.sleep(self.pause_s * 2 * self.rng.random())
        if link is not None:
            link[1].close()
