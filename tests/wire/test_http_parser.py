"""What one message may cost to parse, whichever way its bytes arrive."""

from __future__ import annotations

import time

import h11
import pytest

from flintshift.core.limits import Limits
from flintshift.wire.http_parser import BoundedParser, MessageBounds, MessageError

LIMITS = Limits()
BOUNDS = MessageBounds.of_requests(LIMITS)
MAX_COST_MS = 1.0  # of the longest message that is accepted, and of any that is rejected
BEGIN = b"POST /call/standings HTTP/1.1\r\nHost: a\r\n"
CHUNKED = BEGIN + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = 16_000


def parse(data: bytes, piece_bytes: int = 1 << 20) -> tuple[list, bytes]:
    """Parse a request that arrives in pieces; returns its events and what follows it."""
    parser, events = BoundedParser(h11.SERVER, BOUNDS), []
    pieces = [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]
    while not parser.complete:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            if not pieces:
                return events, b""
            parser.receive(pieces.pop(0))
        else:
            events.append(event)
    return events, parser.trailing_bytes + b"".join(pieces)


def status_of(data: bytes) -> int:
    """The status with which a request is rejected; 0 if it is not."""
    try:
        parse(data)
    except MessageError as error:
        assert len(error.text) <= 300
        return error.status
    return 0


def cost_ms(data: bytes) -> float:
    """The processor's time for parsing a request; the least of some tries, as others use the processor too."""
    costs = []
    for _ in range(20):
        begin = time.thread_time()
        status_of(data)
        costs.append((time.thread_time() - begin) * 1000)
    return min(costs)


def fields(count: int) -> bytes:
    return b"".join(b"%c:\r\n" % (ord("a") + number % 26) for number in range(count))


COSTLY = {  # the message and the status of its answer; 0: it is accepted
    "as many fields as allowed": (BEGIN + fields(LIMITS.max_head_fields - 1) + b"\r\n", 0),
    "one field more": (BEGIN + fields(LIMITS.max_head_fields) + b"\r\n", 431),
    "2,900 fields": (BEGIN + fields(2900) + b"\r\n", 431),
    "2,900 fields without an end": (BEGIN + fields(2900), 431),
    "folded lines": (BEGIN + b"a: b\r\n" + b" c\r\n" * 3000 + b"\r\n", 431),
    "one long field": (BEGIN + b"a: " + b"x" * FILLER + b"\r\n\r\n", 0),
    "a long target": (b"POST /" + b"x" * FILLER + b" HTTP/1.1\r\nHost: a\r\n\r\n", 0),
    "a head over the limit": (BEGIN + b"a: " + b"x" * LIMITS.max_head_bytes + b"\r\n\r\n", 400),
    "a head over the limit without an end": (BEGIN + b"a: " + b"x" * LIMITS.max_head_bytes, 400),
    "a list of lengths": (BEGIN + b"Content-Length: " + b"1," * 8000 + b"1\r\n\r\n", 431),
    "as long a list as allowed": (BEGIN + b"Expect: " + b"a," * LIMITS.max_head_list_items + b"\r\n\r\n", 0),
    "as many chunks as allowed": (CHUNKED + b"1\r\nx\r\n" * LIMITS.max_body_chunks + b"0\r\n\r\n", 0),
    "2,000 chunks": (CHUNKED + b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n", 413),
    "2,000 chunks without an end": (CHUNKED + b"1\r\nx\r\n" * 2000, 413),
    "a trailer of 2,900 fields": (CHUNKED + b"0\r\n" + fields(2900) + b"\r\n", 413),
    "a long chunk extension": (CHUNKED + b"1;" + b"x" * FILLER + b"\r\nx\r\n0\r\n\r\n", 413),
    "a long size of a chunk": (CHUNKED + b"0" * FILLER + b"\r\n", 413),
}


@pytest.mark.parametrize(("data", "status"), COSTLY.values(), ids=COSTLY.keys())
def test_the_cost_of_a_request_is_bounded(data, status):
    """Guards against requests of thousands of fields or chunks, which kept the event loop for 8 to 22 ms each."""
    assert status_of(data) == status
    assert cost_ms(data) <= MAX_COST_MS


CONTROL_CHARACTERS = {
    "spaces, then a NUL": BEGIN + b"a:" + b" " * FILLER + b"\0\r\n\r\n",
    "spaces, then a form feed": BEGIN + b"a:" + b" " * FILLER + b"\f\r\n\r\n",
    "tabs, then a vertical tab": BEGIN + b"a:" + b"\t" * FILLER + b"\v\r\n\r\n",
    "spaces, then a bare CR": BEGIN + b"a:" + b" " * FILLER + b"\rb\r\n\r\n",
    "words, then a NUL": BEGIN + b"a: " + b"b " * (FILLER // 2) + b"\0\r\n\r\n",
    "a trailer of spaces, then a NUL": CHUNKED + b"0\r\na:" + b" " * FILLER + b"\0\r\n\r\n",
    "a short trailer of spaces, then a NUL": CHUNKED + b"0\r\na:" + b" " * 350 + b"\0\r\n\r\n",
}


@pytest.mark.parametrize("data", CONTROL_CHARACTERS.values(), ids=CONTROL_CHARACTERS.keys())
def test_the_cost_of_a_control_character_behind_spaces_is_bounded(data):
    """Guards against one small request that keeps the event loop for 1.4 s: h11 tried each end of the spaces."""
    assert status_of(data) in (400, 413)
    assert cost_ms(data) <= MAX_COST_MS


SOUND = {
    "no body": BEGIN + b"\r\n",
    "a body": BEGIN + b"Content-Length: 12\r\n\r\nfinish\n\n \0\v\f",
    "lines that end with LF": b"GET / HTTP/1.1\nHost: a\n\n",
    "a chunked body": CHUNKED + b"5\r\n\r\n\0\r\n\r\n7;a=b\r\n\n\n\n\n\n\n\n\r\n0\r\nx: y\r\n\r\n",
}


@pytest.mark.parametrize("piece_bytes", [1, 2, 3, 7, 100, 1 << 20])
@pytest.mark.parametrize("data", SOUND.values(), ids=SOUND.keys())
def test_a_sound_request_is_parsed_as_h11_does_however_it_arrives(data, piece_bytes):
    reference, expected = h11.Connection(h11.SERVER), []
    reference.receive_data(data)
    while not isinstance(event := reference.next_event(), h11.EndOfMessage):
        expected.append(event)
    follows = b"GET /next HTTP/1.1\r\n"
    events, rest = parse(data + follows, piece_bytes)
    assert rest == follows and isinstance(events[-1], h11.EndOfMessage)
    assert events[0].headers == expected[0].headers and events[0].target == expected[0].target
    assert b"".join(bytes(event.data) for event in events if isinstance(event, h11.Data)) == b"".join(
        bytes(event.data) for event in expected if isinstance(event, h11.Data)
    )


@pytest.mark.parametrize(
    "data", [b"", BEGIN[:20], BEGIN + b"Content-Length: 5\r\n\r\nab", b"\x16\x03\x01", b"\r\n\r\n"]
)
def test_the_end_of_what_arrives_is_handled_as_h11_does(data):
    parser = BoundedParser(h11.SERVER, BOUNDS)
    with pytest.raises(MessageError) if data else pytest.raises(StopIteration):
        for piece in (data, b"") if data else (b"",):
            parser.receive(piece)
            while (event := parser.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    raise StopIteration


def test_an_interim_response_is_followed_by_the_final_one():
    parser = BoundedParser(h11.CLIENT, MessageBounds.of_responses(LIMITS))
    parser.connection.send(h11.Request(method="PUT", target="/", headers=[("Host", "a")]))
    parser.connection.send(h11.EndOfMessage())
    parser.receive(b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
    assert parser.next_event().status_code == 103
    assert parser.next_event().status_code == 204
