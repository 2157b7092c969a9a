"""Helpers of the tests of the decision module."""

from __future__ import annotations

from flintshift import interface as api


def of_type(actions, kind):
    """Return the actions of a type."""
    return [action for action in actions if isinstance(action, kind)]


def final_answers(actions, request):
    """Return the rejects and failures of a request."""
    return [a for a in actions if isinstance(a, (api.Reject, api.Fail)) and a.request == request]


def start_under_load(server, busy, run_queue):
    """Start a request whose call may be skipped, with these gauges."""
    server.tick(busy=busy, run_queue=run_queue)
    request, actions = server.arrive("list")
    assert api.Run(request) in actions
    return request


def count_calls(server, request):
    """Return how many of three calls a run makes; the others are skipped."""
    made = 0
    for _ in range(3):
        if of_type(server.request_call(request), api.SkipCall):
            continue
        made += 1
        server.end_call(request)
    return made


def last_idle_time(server, ticks: int, **gauges: float) -> float | None:
    """Return the last idle time that is set in these ticks, if one is."""
    idle_times = [act.idle_for_ms for _ in range(ticks) for act in of_type(server.tick(**gauges), api.CloseIdle)]
    return idle_times[-1] if idle_times else None


def arrive_at_ten_per_second(server) -> None:
    """Let requests arrive, ten a second: with 500 callers, each comes back after most of a minute."""
    for _ in range(40):
        request, _ = server.arrive("look")
        server.end_run(request)
        server.now += 100.0
