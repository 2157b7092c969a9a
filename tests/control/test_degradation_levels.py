"""Degradation levels: how many skippable calls a run makes, by the load on the cores."""

from __future__ import annotations

from control_helpers import count_calls, of_type, start_under_load

from flintshift import interface as api


def test_an_idle_server_runs_at_once_and_makes_the_call(make_server):
    server = make_server()
    request, actions = server.arrive("list")
    assert api.Run(request) in actions
    assert of_type(server.request_call(request), api.Call)


def test_all_calls_are_made_while_nothing_waits_for_a_core(make_server):
    server = make_server()
    assert count_calls(server, start_under_load(server, busy=1.0, run_queue=2)) == 3


def test_fewer_calls_are_made_as_the_busy_share_rises(make_server):
    for busy, calls in ((0.5, 3), (0.95, 1), (1.0, 0)):
        server = make_server()
        assert count_calls(server, start_under_load(server, busy=busy, run_queue=20)) == calls


def test_a_run_keeps_its_level(make_server):
    server = make_server()
    request = start_under_load(server, busy=1.0, run_queue=20)
    server.tick(busy=0.1, run_queue=0)
    assert of_type(server.request_call(request), api.SkipCall)
