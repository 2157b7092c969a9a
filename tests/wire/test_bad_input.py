"""Both fronts answer malformed requests with an error status, and run nothing for them."""

from __future__ import annotations

import json
import time

import pytest
from standins import REQUEST_BYTES, http_bytes, request_fields

pytestmark = pytest.mark.anyio


FRONTS = list(REQUEST_BYTES)


def finish_at_once(harness):
    harness.pool.plan = dict.fromkeys(("race-results", "submit-time"), 0)


INVALID_REQUESTS = [  # class, body, changed fields, status, a word in the answer's error
    ("nobody", b"", {}, 404, "class"),
    ("submit-time", b"x" * 2049, {}, 413, "body"),
    ("submit-time", b"", {"X-Job-Id": None}, 400, "X-Job-Id"),
    ("submit-time", b"", {"X-Job-Id": "short"}, 400, "X-Job-Id"),
    ("submit-time", b"", {"X-Door-Time": None}, 400, "X-Door-Time"),
    ("submit-time", b"", {"X-Door-Time": "9999999999999"}, 400, "X-Door-Time"),
    ("submit-time", b"", {"X-Sender": "-1"}, 400, "X-Sender"),
    ("submit-time", b"", {"X-Team": "nobody"}, 400, "X-Team"),
    ("submit-time", b"", {"X-Again": "maybe"}, 400, "X-Again"),
    ("submit-time", b"", {"X-Ram-Kb": "0"}, 400, "X-Ram-Kb"),
    ("submit-time", b"", {"X-Ram-Kb": "nan"}, 400, "X-Ram-Kb"),
    ("submit-time", b"", {"X-Precedence": "1"}, 400, "X-Precedence"),
    ("submit-time", b"", {"X-Unique": None}, 400, "X-Unique"),
    ("race-results", b"", {"X-Item": "zz"}, 400, "X-Item"),
]


# Values for how long a caller still waits (X-Allow-Ms) and for the expected work (X-Size-Ms), with the status of the
# response. The request arrived 60 ms ago.
HINTS = [
    ("X-Allow-Ms", None, 200),
    ("X-Allow-Ms", "1400", 200),
    ("X-Allow-Ms", "1400.25", 200),
    ("X-Allow-Ms", "80000000", 200),  # the deadline of its class is earlier
    ("X-Allow-Ms", "0", 429),  # already past: the request is refused at once
    ("X-Allow-Ms", "50", 429),
    ("X-Allow-Ms", "-5", 400),
    ("X-Allow-Ms", "soon", 400),
    ("X-Allow-Ms", "", 400),
    ("X-Allow-Ms", "nan", 400),
    ("X-Allow-Ms", "inf", 400),
    ("X-Allow-Ms", "1e999", 400),
    ("X-Allow-Ms", "1_400", 400),
    ("X-Allow-Ms", "99999999999999999999999", 400),
    ("X-Size-Ms", None, 200),
    ("X-Size-Ms", "0", 200),
    ("X-Size-Ms", "12.50", 200),
    ("X-Size-Ms", "5000000", 200),  # a rough estimate: no request is rejected for it alone
    ("X-Size-Ms", "-1", 400),
    ("X-Size-Ms", "much", 400),
    ("X-Size-Ms", "nan", 400),
    ("X-Size-Ms", "99999999999999999999999", 400),
]


@pytest.mark.parametrize("front", FRONTS)
async def test_each_value_of_a_callers_timeout_and_expected_work_has_its_status(harness, front):
    finish_at_once(harness)
    for name, value, status in HINTS:
        fields = request_fields("race-results", **{name: value, "X-Door-Time": str(int(time.time() * 1000) - 60)})
        reply = await harness.ask(front, "race-results", fields=fields)
        assert reply.status == status, (name, value, reply)
        assert status != 400 or name in json.loads(reply.body)["error"]
    assert len(harness.runs()) == sum(status == 200 for _, _, status in HINTS)


MALFORMED_BYTES = {
    "http": [
        (b"what is this\r\n\r\n", 400),
        (b"POST /call/x HTTP/1.1\r\nHost: a\r\nContent-Length: z\r\n\r\n", 400),
        (b"POST /call/submit-time HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", 400),
        (b"POST /call/submit-time HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (
            b"POST /call/race-results HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + http_bytes("race-results", b"", request_fields("race-results")),
            400,
        ),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000, 400),
    ],
    "uwsgi": [
        (b"\x05\x00\x00\x00", 400),
        (b"\x00\xff\xff\x00", 413),
        (b"\x00\x02\x00\x00\x09\x00", 400),
        (b"\x00\x09", 400),
        (b"\x00\x03\x00\x00\x01\x00a", 400),
    ],
}


@pytest.mark.parametrize("front", FRONTS)
async def test_malformed_input_gets_an_error_status_runs_nothing_and_leaves_the_node_up(harness, front):
    finish_at_once(harness)
    for class_name, body, changes, status, word in INVALID_REQUESTS:
        reply = await harness.ask(front, class_name, body, request_fields(class_name, **changes))
        assert reply.status == status and word in json.loads(reply.body)["error"], (changes, reply)
    for data, status in MALFORMED_BYTES[front]:
        caller = await harness.connect(front)
        caller.send(data)
        caller.writer.write_eof()
        assert (await caller.reply()).status == status, data
        assert await caller.is_closed()
    assert not harness.runs() and (await harness.ask(front)).status == 200
