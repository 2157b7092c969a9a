"""What callers are told of the server, and how long their idle connections stay."""

from __future__ import annotations

from steps import answers, idle_after, of, spread_arrivals

from flintshift import interface as api
from flintshift.interface import Outcome


def test_runs_that_fail_in_numbers_turn_callers_away_with_advice_and_recover(make):
    server = make()
    for _ in range(6):
        request, _ = server.arrive()
        server.ends(request, Outcome.ERROR)
    running, refused = 0, []
    for _ in range(10):
        request, actions = server.arrive("buy")
        running += len(of(actions, api.Run))
        refused += of(actions, api.Reject)
    assert running <= 1 and all(refusal.retry_after_ms == 1000.0 for refusal in refused) and refused
    for _ in range(40):
        server.tick(after_ms=150)
        request, actions = server.arrive()
        if of(actions, api.Run):
            server.ends(request)
    first, actions = server.arrive()
    second, more = server.arrive()
    assert api.Run(first) in actions and api.Run(second) in more


def test_no_sign_of_progress_turns_callers_away(make):
    server = make()
    server.fill()
    for _ in range(20):
        server.tick(busy=0.0, run_queue=3)
    request, actions = server.arrive()
    assert answers(actions, request)


def test_checks_are_answered_from_store_where_they_cost_work(make):
    assert of(make(deep_checks=True).first, api.SetHealth) == [api.SetHealth(healthy=True, from_store=True)]
    assert not of(make().first, api.SetHealth)


def test_a_server_that_settings_say_starts_at_no_speed_at_all_still_decides(make):
    server = make(cold=True, cold_from=0.0, cold_ms=4000.0)
    request, actions = server.arrive()
    assert api.Run(request) in actions
    for _ in range(200):
        server.tick(run_queue=1.0)


def test_a_cold_server_takes_longer_before_it_counts_as_hung(make):
    """Guards against fresh servers that refuse all because their first slow runs look like a hang."""

    def reported_bad(cold: bool) -> bool:
        server = make(cold=cold, cold_from=0.25, cold_ms=20_000.0, list_follows_health=True)
        server.fill("buy")  # then past three run times of 150 ms, far from twelve
        acts = [act for _ in range(18) for act in server.tick(busy=1.0, run_queue=2.0)]
        return api.SetHealth(healthy=False, from_store=True) in acts

    assert reported_bad(cold=False) and not reported_bad(cold=True)


def test_a_pause_of_the_process_is_no_hang(make):
    server = make(halt=api.Halt.SUSPEND)
    server.fill("buy")
    request, _ = server.arrive("pay")
    assert not answers(server.tick(after_ms=500), request)


def test_far_more_callers_than_worth_a_connection_start_with_a_short_idle_time(make):
    """Guards against connections of the first seconds that fill the table for the whole idle time."""
    assert of(make(idle_ms=30_000.0, cores=2, callers=500).first, api.CloseIdle) == [api.CloseIdle(600.0)]
    assert not of(make(idle_ms=30_000.0, cores=2, callers=5).first, api.CloseIdle)


def test_callers_who_are_soon_back_keep_their_connections(make):
    """Guards against a new connection for each request where a dozen callers share a small server."""
    server = make(idle_ms=30_000.0, callers=10)
    spread_arrivals(server)
    assert idle_after(server, 60, connections=100, busy=0.5) is None


def test_idle_connections_are_closed_early_while_many_are_open_and_cores_have_room(make):
    """Guards against a table full of connections that no caller comes back to."""
    server = make(idle_ms=30_000.0, callers=500)
    spread_arrivals(server)
    assert idle_after(server, 20, connections=10, busy=0.5) is None
    assert idle_after(server, 20, connections=100, busy=0.99) is None
    assert idle_after(server, 100, connections=100, busy=0.5) == 40.0
    assert idle_after(server, 20, connections=10, busy=0.5) is None


def test_a_flood_of_new_connections_lets_the_table_fill(make):
    """Guards against cores spent on greeting callers that are then refused: a full table refuses for free."""
    server = make(idle_ms=30_000.0, cores=2, callers=500)
    spread_arrivals(server)
    assert idle_after(server, 100, connections=100, busy=0.5) == 40.0
    assert idle_after(server, 60, connections=100, busy=1.0, run_queue=20.0) == 30_000.0


def test_health_follows_trouble_where_the_list_does_and_comes_back_to_be_probed(make):
    for follows in (True, False):
        server = make(list_follows_health=follows)
        server.fill()
        told = [action.healthy for _ in range(80) for action in of(server.tick(run_queue=3), api.SetHealth)]
        assert told[:2] == ([False, True] if follows else [])


def test_stopped_runs_are_no_progress_and_one_that_ends_is(make):
    server = make(cores=4, halt=api.Halt.NONE)
    running = server.fill("buy")
    for _ in range(10):
        server.tick()
    server.step(api.CallerDisconnected(running[0]))
    server.ends(running[0], Outcome.STOPPED)
    for _ in range(3):
        server.tick()
    assert server.control._unhealthy()
    for request in list(server.control.work):
        server.ends(request)
    assert not server.control._unhealthy()
