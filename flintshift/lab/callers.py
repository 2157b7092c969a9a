"""Callers: load on a node's fronts over real sockets, and a count of what each club was answered."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from flintshift.wire import uwsgi

CLASSES = ("race-results", "standings", "finish-times", "submit-time")
WORDS = {200: "served", 429: "refused", 503: "refused", 500: "failed", 409: "failed"}


@dataclass(slots=True)
class Tally:
    """What callers saw: answers by club, class, front and outcome, with the ids of each, and the delays_ms in ms."""

    answers: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)
    row_by_id: dict[str, tuple[str, str, str, str]] = field(default_factory=dict)
    bytes_out: Counter[str] = field(default_factory=Counter)
    unanswered: set[str] = field(default_factory=set)  # sent, and the connection broke before an answer
    delays_ms: list[float] = field(default_factory=list)


def request_fields(rid: str, club: str, class_name: str, sender: int, again: bool = False) -> dict[str, str]:
    told = {
        "X-Job-Id": rid,
        "X-Door-Time": str(int(time.time() * 1000)),
        "X-Sender": str(sender),
        "X-Team": club,
        "X-Ram-Kb": "20.5",
        "X-Precedence": "0.5",
    }
    if class_name == "submit-time":
        told["X-Unique"] = f"key-{rid}"
    if again:
        told["X-Again"] = "1"
    return told


def http_request(class_name: str, body: bytes, told: dict[str, str]) -> bytes:
    lines = [
        f"POST /call/{class_name} HTTP/1.1",
        "Host: api.internal",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in told.items()),
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


def uwsgi_request(class_name: str, body: bytes, told: dict[str, str]) -> bytes:
    variables = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": f"/call/{class_name}",
        "CONTENT_LENGTH": str(len(body)),
        **{"HTTP_" + name.upper().replace("-", "_"): value for name, value in told.items()},
    }
    return bytes(uwsgi.pack(variables.items())) + body


REQUEST_BUILDERS = {"http": http_request, "uwsgi": uwsgi_request}


async def read_reply(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Status, body, and whether the connection stays."""
    status, body, head = await read_reply_with_head(reader)
    return status, body, b"connection: close" not in head


async def read_reply_with_head(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Status, body, and the head in small letters."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    size = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
    return int(head[9:12]), await reader.readexactly(size), head


def advised_wait_ms(head: bytes) -> float | None:
    """How long a refusal asks to stay away."""
    _, told, rest = head.partition(b"x-wait-ms: ")
    return float(rest.split(b"\r\n")[0]) if told else None


class Caller:
    """One caller with one connection: asks until told to stop, each request after the answer to the last."""

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
        self.tally, self.draw, self.pause_s, self.keep_ids = tally, random.Random(seed), pause_s, keep_ids
        self.classes = CLASSES

    async def run(self, until: asyncio.Event, most: int | None = None) -> None:
        """Until told to stop, or the node went, or so many were answered."""
        done, link = 0, None
        while not until.is_set() and (most is None or done < most):
            club, class_name = self.draw.choice(self.clubs), self.draw.choice(self.classes)
            rid = f"{self.draw.getrandbits(64):016x}"
            body = b"12:%05.2f" % (60 * self.draw.random())
            try:
                if link is None:
                    link = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                return
            reader, writer = link
            began = time.perf_counter()
            self.tally.unanswered.add(rid)
            try:
                writer.write(
                    REQUEST_BUILDERS[self.front](class_name, body, request_fields(rid, club, class_name, self.sender))
                )
                status, result, stays = await read_reply(reader)
            except (OSError, asyncio.IncompleteReadError):
                return
            self.tally.unanswered.discard(rid)
            self.tally.delays_ms.append((time.perf_counter() - began) * 1000)
            row = club, class_name, self.front, WORDS.get(status, "other")
            self.tally.answers[row] += 1
            self.tally.bytes_out[club] += len(result)
            if self.keep_ids:
                self.tally.row_by_id[rid] = row
            done += 1
            if not stays:
                writer.close()
                link = None
            if self.pause_s:
                await asyncio.sleep(self.pause_s * 2 * self.draw.random())
        if link is not None:
            link[1].close()
