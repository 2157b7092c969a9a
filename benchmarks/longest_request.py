"""The processor's time for reading one request: a usual one, the longest accepted ones, and some that are rejected.

    python benchmarks/longest_request.py [--out FILE]

Each message is parsed as the front does it, and by h11 alone, without the node's bounds. Each figure is the least of
50 tries, in milliseconds.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path

import h11

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.core.limits import Limits  # noqa: E402
from flintshift.lab.callers import http_request, request_fields  # noqa: E402
from flintshift.wire import uwsgi  # noqa: E402
from flintshift.wire.fields import RequestError  # noqa: E402
from flintshift.wire.http_parser import BoundedParser, MessageBounds, MessageError  # noqa: E402

LIMITS, TRIES, FILLER = Limits(), 50, 16_000
BOUNDS = MessageBounds.of_requests(LIMITS)
BEGIN = b"POST /call/standings HTTP/1.1\r\nHost: a\r\n"
CHUNKED = BEGIN + b"Transfer-Encoding: chunked\r\n\r\n"
USUAL = http_request("standings", b"12:01.5", request_fields("00" * 8, "sur-pacers", "standings", 1))


def fields(count: int, value: bytes = b"") -> bytes:
    return b"".join(b"a%03x:%b\r\n" % (number, value) for number in range(count))


def block(count: int, value: str = "") -> bytes:
    return uwsgi.pack((f"{number:04x}", value) for number in range(count))[uwsgi.HEAD.size :]


HTTP = {
    "usual": USUAL,
    "most fields accepted, 16 KB": BEGIN + fields(LIMITS.max_head_fields - 1, b"x" * 150) + b"\r\n",
    "longest list accepted": BEGIN + b"Expect: " + b"a," * LIMITS.max_head_list_items + b"\r\n\r\n",
    "most chunks accepted": CHUNKED + b"1\r\nx\r\n" * LIMITS.max_body_chunks + b"0\r\n\r\n",
    "one field of 16 KB": BEGIN + b"a: " + b"x" * FILLER + b"\r\n\r\n",
    "2,300 fields": BEGIN + fields(2300) + b"\r\n",
    "2,000 chunks": CHUNKED + b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n",
    "a trailer of 2,300 fields": CHUNKED + b"0\r\n" + fields(2300) + b"\r\n",
    "spaces, then a NUL": BEGIN + b"a:" + b" " * FILLER + b"\0\r\n\r\n",
}
BLOCKS = {
    "most variables accepted, 16 KB": block(LIMITS.max_uwsgi_variables, "v" * 50),
    "2,000 variables": block(2000),
}


def parse_bounded(data: bytes) -> None:
    parser = BoundedParser(h11.SERVER, BOUNDS)
    with contextlib.suppress(MessageError):
        parser.receive(data)
        while not parser.complete and parser.next_event() is not h11.NEED_DATA:
            pass


def parse_unbounded(data: bytes) -> None:
    connection = h11.Connection(h11.SERVER, LIMITS.max_head_bytes)
    connection.receive_data(data)
    with contextlib.suppress(h11.RemoteProtocolError):
        while connection.their_state is not h11.DONE and connection.next_event() is not h11.NEED_DATA:
            pass


def unpack_block(data: bytes) -> None:
    with contextlib.suppress(RequestError):
        uwsgi.unpack(data, LIMITS.max_uwsgi_variables)


def cost_ms(parse: Callable[[bytes], None], data: bytes) -> float:
    """The least processor's time of some tries."""
    costs, give_up_s = list[float](), time.monotonic() + 5.0
    while len(costs) < TRIES and time.monotonic() < give_up_s:
        begin = time.thread_time()
        parse(data)
        costs.append((time.thread_time() - begin) * 1000)
    return min(costs)


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--out", type=Path)
    arguments = options.parse_args()
    results: dict[str, dict[str, float]] = {}
    for name, data in HTTP.items():
        bounded, unbounded = cost_ms(parse_bounded, data), cost_ms(parse_unbounded, data)
        results[name] = {"ms": round(bounded, 4), "h11_ms": round(unbounded, 4), "ratio": round(bounded / unbounded, 4)}
    results |= {f"uwsgi: {name}": {"ms": round(cost_ms(unpack_block, data), 4)} for name, data in BLOCKS.items()}
    for name, result in results.items():
        print(f"{name:<40}" + "  ".join(f"{key} {value:>9}" for key, value in result.items()))
    if arguments.out is not None:
        arguments.out.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
