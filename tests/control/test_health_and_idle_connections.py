"""What callers learn of the server's health, and how long their idle connections stay open."""

from __future__ import annotations

from control_helpers import arrive_at_ten_per_second, final_answers, last_idle_time, of_type

from flintshift import interface as api
from flintshift.interface import Outcome


def test_many_failed_runs_reject_requests_with_a_retry_delay_until_the_server_recovers(make_server):
    server = make_server()
    for _ in range(6):
        request, _ = server.arrive()
        server.end_run(request, Outcome.ERROR)
    running, rejects = 0, []
    for _ in range(10):
        request, actions = server.arrive("buy")
        running += len(of_type(actions, api.Run))
        rejects += of_type(actions, api.Reject)
    assert running <= 1 and all(reject.retry_after_ms == 1000.0 for reject in rejects) and rejects
    for _ in range(40):
        server.tick(after_ms=150)
        request, actions = server.arrive()
        if of_type(actions, api.Run):
            server.end_run(request)
    first, actions = server.arrive()
    second, second_actions = server.arrive()
    assert api.Run(first) in actions and api.Run(second) in second_actions


def test_no_progress_leads_to_rejects(make_server):
    server = make_server()
    server.fill()
    for _ in range(20):
        server.tick(busy=0.0, run_queue=3)
    request, actions = server.arrive()
    assert final_answers(actions, request)


def test_health_checks_are_answered_from_store_where_deep_checks_cost_work(make_server):
    assert of_type(make_server(deep_checks=True).start_actions, api.SetHealth) == [
        api.SetHealth(healthy=True, from_store=True)
    ]
    assert not of_type(make_server().start_actions, api.SetHealth)


def test_a_server_whose_settings_say_that_it_starts_at_speed_zero_still_decides(make_server):
    server = make_server(cold=True, cold_from=0.0, cold_ms=4000.0)
    request, actions = server.arrive()
    assert api.Run(request) in actions
    for _ in range(200):
        server.tick(run_queue=1.0)


def test_a_cold_server_counts_as_stalled_later(make_server):
    """Guards against new servers that reject everything because their first, slow runs look like a stall."""

    def reported_bad(cold: bool) -> bool:
        server = make_server(cold=cold, cold_from=0.25, cold_ms=20_000.0, list_follows_health=True)
        server.fill("buy")  # then more than three run times of 150 ms, but far less than twelve
        actions = [action for _ in range(18) for action in server.tick(busy=1.0, run_queue=2.0)]
        return api.SetHealth(healthy=False, from_store=True) in actions

    assert reported_bad(cold=False) and not reported_bad(cold=True)


def test_a_pause_of_the_process_is_no_stall(make_server):
    server = make_server(halt=api.Halt.SUSPEND)
    server.fill("buy")
    request, _ = server.arrive("pay")
    assert not final_answers(server.tick(after_ms=500), request)


def test_with_far_more_callers_than_connections_the_idle_time_starts_short(make_server):
    """Guards against connections of the first seconds that fill the table for the whole idle time."""
    assert of_type(make_server(idle_ms=30_000.0, cores=2, callers=500).start_actions, api.CloseIdle) == [
        api.CloseIdle(600.0)
    ]
    assert not of_type(make_server(idle_ms=30_000.0, cores=2, callers=5).start_actions, api.CloseIdle)


def test_callers_that_return_soon_keep_their_connections(make_server):
    """Guards against a new connection for each request where a dozen callers share a small server."""
    server = make_server(idle_ms=30_000.0, callers=10)
    arrive_at_ten_per_second(server)
    assert last_idle_time(server, 60, connections=100, busy=0.5) is None


def test_idle_connections_are_closed_early_while_many_are_open_and_cores_have_capacity(make_server):
    """Guards against a table full of connections that no caller uses again."""
    server = make_server(idle_ms=30_000.0, callers=500)
    arrive_at_ten_per_second(server)
    assert last_idle_time(server, 20, connections=10, busy=0.5) is None
    assert last_idle_time(server, 20, connections=100, busy=0.99) is None
    assert last_idle_time(server, 100, connections=100, busy=0.5) == 40.0
    assert last_idle_time(server, 20, connections=10, busy=0.5) is None


def test_an_overload_of_new_connections_lets_the_table_fill(make_server):
    """Guards against cores that accept connections whose requests are then rejected: a full table rejects for free."""
    server = make_server(idle_ms=30_000.0, cores=2, callers=500)
    arrive_at_ten_per_second(server)
    assert last_idle_time(server, 100, connections=100, busy=0.5) == 40.0
    assert last_idle_time(server, 60, connections=100, busy=1.0, run_queue=20.0) == 30_000.0


def test_where_the_list_follows_health_an_unhealthy_server_leaves_it_and_returns_to_be_probed(make_server):
    for follows in (True, False):
        server = make_server(list_follows_health=follows)
        server.fill()
        reported = [action.healthy for _ in range(80) for action in of_type(server.tick(run_queue=3), api.SetHealth)]
        assert reported[:2] == ([False, True] if follows else [])


def test_a_stopped_run_is_no_progress_and_one_that_ends_is(make_server):
    server = make_server(cores=4, halt=api.Halt.NONE)
    running = server.fill("buy")
    for _ in range(10):
        server.tick()
    server.step(api.CallerDisconnected(running[0]))
    server.end_run(running[0], Outcome.STOPPED)
    for _ in range(3):
        server.tick()
    assert server.control._unhealthy()
    for request in list(server.control.work):
        server.end_run(request)
    assert not server.control._unhealthy()
