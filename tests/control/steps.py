"""Helpers of the tests of the decision module."""

from __future__ import annotations

from flintshift import interface as api


def of(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def answers(actions, request):
    return [a for a in actions if isinstance(a, (api.Refuse, api.Fail)) and a.request == request]


def level_under(server, busy, run_queue):
    server.tick(busy=busy, run_queue=run_queue)
    request, actions = server.arrive("list")
    assert api.Run(request) in actions
    return request


def calls_made(server, request):
    made = 0
    for _ in range(3):
        if of(server.request_call(request), api.SkipCall):
            continue
        made += 1
        server.end_call(request)
    return made


def idle_after(server, ticks: int, **gauges: float) -> float | None:
    told = [act.idle_for_ms for _ in range(ticks) for act in of(server.tick(**gauges), api.CloseIdle)]
    return told[-1] if told else None


def spread_arrivals(server) -> None:
    """Ten a second: with 500 callers one comes back after most of a minute."""
    for _ in range(40):
        request, _ = server.arrive("look")
        server.end_run(request)
        server.now += 100.0
