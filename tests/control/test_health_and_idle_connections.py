"""What callers are told of the server, and how long their idle connections stay."""

from __future__ import annotations

from steps import answers, idle_after, of, spread_arrivals

from flintshift import interface as api
from flintshift.interface import Outcome


def test_runs_that_fail_in_numbers_turn_callers_away_with_advice_and_recover(make_server):
    server = make_server()
    for _ in range(6):
        request, _ = server.arrive()
        server.end_run(request, Outcome.ERROR)
    running, refused = 0, []
    for _ in range(10):
        request, actions = server.arrive("buy")
        running += len(of(actions, api.Run))
        refused += of(actions, api.Refuse)
    assert running <= 1 and all(refusal.stay_away_ms == 1000.0 for refusal in refused) and refused
    for _ in range(40):
        server.tick(after_ms=150)
        request, actions = server.arrive()
        if of(actions, api.Run):
            server.end_run(request)
    first, actions = server.arrive()
    second, more = server.arrive()
    assert api.Run(first) in actions and api.Run(second) in more


def test_no_sign_of_progress_turns_callers_away(make_server):
    server = make_server()
    server.fill()
    for _ in range(20):
        server.tick(busy=0.0, run_queue=3)
    request, actions = server.arrive()
    assert answers(actions, request)


def test_checks_are_answered_from_store_where_they_cost_work(make_server):
    assert of(make_server(deep_checks=True).start_actions, api.SetHealth) == [api.SetHealth(good=True, from_store=True)]
    assert not of(make_server().start_actions, api.SetHealth)


def test_a_server_that_settings_say_starts_at_no_speed_at_all_still_decides(make_server):
    server = make_server(cold=True, cold_from=0.0, cold_ms=4000.0)
    request, actions = server.arrive()
    assert api.Run(request) in actions
    for _ in range(200):
        server.tick(run_queue=1.0)


def test_a_cold_server_takes_longer_before_it_counts_as_hung(make_server):
    """Guards against fresh servers that refuse all because their first slow runs look like a hang."""

    def reported_bad(cold: bool) -> bool:
        server = make_server(cold=cold, cold_from=0.25, cold_ms=20_000.0, list_follows_health=True)
        server.fill("buy")  # then past three run times of 150 ms, far from twelve
        acts = [act for _ in range(18) for act in server.tick(busy=1.0, run_queue=2.0)]
        return api.SetHealth(good=False, from_store=True) in acts

    assert reported_bad(cold=False) and not reported_bad(cold=True)


def test_a_pause_of_the_process_is_no_hang(make_server):
    server = make_server(halt=api.Halt.SUSPEND)
    server.fill("buy")
    request, _ = server.arrive("pay")
    assert not answers(server.tick(after_ms=500), request)


def test_far_more_callers_than_worth_a_connection_start_with_a_short_idle_time(make_server):
    """Guards against connections of the first seconds that fill the table for the whole idle time."""
    assert of(make_server(idle_ms=30_000.0, cores=2, callers=500).start_actions, api.CloseIdle) == [
        api.CloseIdle(600.0)
    ]
    assert not of(make_server(idle_ms=30_000.0, cores=2, callers=5).start_actions, api.CloseIdle)


def test_callers_who_are_soon_back_keep_their_connections(make_server):
    """Guards against a new connection for each request where a dozen callers share a small server."""
    server = make_server(idle_ms=30_000.0, callers=10)
    spread_arrivals(server)
    assert idle_after(server, 60, connections=100, busy=0.5) is None


def test_idle_connections_are_closed_early_while_many_are_open_and_cores_have_room(make_server):
    """Guards against a table full of connections that no caller comes back to."""
    server = make_server(idle_ms=30_000.0, callers=500)
    spread_arrivals(server)
    assert idle_after(server, 20, connections=10, busy=0.5) is None
    assert idle_after(server, 20, connections=100, busy=0.99) is None
    assert idle_after(server, 100, connections=100, busy=0.5) == 40.0
    assert idle_after(server, 20, connections=10, busy=0.5) is None


def test_a_flood_of_new_connections_lets_the_table_fill(make_server):
    """Guards against cores spent on greeting callers that are then refused: a full table refuses for free."""
    server = make_server(idle_ms=30_000.0, cores=2, callers=500)
    spread_arrivals(server)
    assert idle_after(server, 100, connections=100, busy=0.5) == 40.0
    assert idle_after(server, 60, connections=100, busy=1.0, run_queue=20.0) == 30_000.0


def test_health_follows_trouble_where_the_list_does_and_comes_back_to_be_probed(make_server):
    for follows in (True, False):
        server = make_server(list_follows_health=follows)
        server.fill()
        told = [action.good for _ in range(80) for action in of(server.tick(run_queue=3), api.SetHealth)]
        assert told[:2] == ([False, True] if follows else [])


def test_stopped_runs_are_no_progress_and_one_that_ends_is(make_server):
    server = make_server(cores=4, halt=api.Halt.NONE)
    running = server.fill("buy")
    for _ in range(10):
        server.tick()
    server.step(api.CallerGone(running[0]))
    server.end_run(running[0], Outcome.STOPPED)
    for _ in range(3):
        server.tick()
    assert server.control._trouble()
    for request in list(server.control.work):
        server.end_run(request)
    assert not server.control._trouble()
