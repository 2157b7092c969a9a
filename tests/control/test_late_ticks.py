"""Due times on a busy machine, where looks at them come late.

What happened: with 310 callers at one node, three requests were answered 152 to 177 ms past their due time, once in
four runs of the tests; beside twenty such nodes on ten cores in 5 of 60 plays, by 258 to 458 ms.

Sequence: a link to the worker pool breaks, and the end of a run is lost with it; nothing but the look at due times
answers its request any more. All late answers were these failures, of requests that had been read a whole deadline
before. Looks are due every 40 ms, and what has 80 ms left is answered; they came 300 to 690 ms apart.

Cause: a look waits for a timer, for the gauges and in the mailbox behind all arrivals, each for a turn or more of the
event loop, 60 to 350 ms here; and 80 ms were left for the next look however late the last one came.

What settled it: the longest spans between two looks, as (timer late, gauges, mailbox): 473 ms = 43 + 198 + 192,
484 = 47 + 194 + 203, 591 = 163 + 149 + 239, where 40 are meant.
"""

from __future__ import annotations

import pytest

from flintshift import interface as api

DEADLINE_MS = 3000.0  # of the class "look"


def open_until(server, request, gap_ms):
    """How old a request grows that never ends, where looks come so far apart."""
    age_ms = 0.0
    while age_ms < 2 * DEADLINE_MS:
        actions = server.tick(gap_ms)
        age_ms += gap_ms
        if api.Fail(request) in actions or any(isinstance(action, api.Refuse) for action in actions):
            return age_ms
    raise AssertionError("it was never answered")


@pytest.mark.parametrize("gap_ms", [40.0, 70.0, 130.0, 210.0, 310.0, 470.0, 690.0])
def test_a_request_is_answered_before_its_due_time_however_far_apart_looks_come(make_server, gap_ms):
    server = make_server()
    request, _ = server.arrive("look")
    assert open_until(server, request, gap_ms) < DEADLINE_MS


def test_looks_that_come_in_time_leave_a_request_all_of_its_time_but_two_of_them(make_server):
    server = make_server()
    request, _ = server.arrive("look")
    assert open_until(server, request, 40.0) == DEADLINE_MS - 2 * 40.0


def test_one_pause_of_the_process_takes_no_time_from_requests_that_come_after_it(make_server):
    server = make_server()
    server.tick(12_000.0)
    request, _ = server.arrive("look")
    assert open_until(server, request, 40.0) == DEADLINE_MS - 2 * 40.0
