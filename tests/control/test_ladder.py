"""How much of a request is done: the levels by the load on the cores."""

from __future__ import annotations

from steps import calls_made, level_under, of

from flintshift import interface as api


def test_idle_server_runs_at_once_and_calls_in_full(make_server):
    server = make_server()
    request, actions = server.arrive("list")
    assert api.Run(request) in actions
    assert of(server.request_call(request), api.Call)


def test_ladder_is_full_while_nothing_waits_past_the_cores(make_server):
    server = make_server()
    assert calls_made(server, level_under(server, busy=1.0, run_queue=2)) == 3


def test_ladder_steps_down_with_the_busy_share(make_server):
    for busy, made in ((0.5, 3), (0.95, 1), (1.0, 0)):
        server = make_server()
        assert calls_made(server, level_under(server, busy=busy, run_queue=20)) == made


def test_level_is_held_through_the_run(make_server):
    server = make_server()
    request = level_under(server, busy=1.0, run_queue=20)
    server.tick(busy=0.1, run_queue=0)
    assert of(server.request_call(request), api.SkipCall)
