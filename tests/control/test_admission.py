"""Which requests are run, queued and rejected, and in which order."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from conftest import KEYED, SAFE
from control_helpers import final_answers, of_type

from flintshift import interface as api


def test_concurrent_runs_stay_below_what_the_server_survives(make_server):
    for cold in (False, True):
        server = make_server(cold=cold, cold_from=0.2, cold_ms=10_000.0)
        assert 1 <= len(server.fill()) < 2 * (1 + 4 * (0.2 if cold else 1.0))


def test_run_limit_follows_the_run_queue(make_server):
    server = make_server()
    before = server.control.run_limit
    for _ in range(20):
        server.tick(run_queue=30)
    assert server.control.run_limit < before
    lowest = server.control.run_limit
    for _ in range(40):
        server.tick(after_ms=5, run_queue=0)
        server.fill()
    assert server.control.run_limit > lowest


def test_the_highest_worth_goes_first(make_server):
    server = make_server()
    running = server.fill()
    valuable, actions = server.arrive("buy")
    assert not of_type(actions, api.Run)
    assert api.Run(valuable) in server.end_run(running[0])


def test_work_that_can_not_end_in_time_is_rejected_early(make_server):
    server = make_server()
    server.fill()
    assert any(final_answers(actions, request) for request, actions in (server.arrive() for _ in range(60)))


def test_memory_watermarks_reject_new_requests_with_hysteresis(make_server):
    server = make_server()
    for memory, rejected in ((0.9, True), (0.8, True), (0.5, False), (0.8, False)):
        server.tick(memory=memory)
        request, actions = server.arrive()
        assert bool(final_answers(actions, request)) is rejected
        if not rejected:
            server.end_run(request)


def test_starts_never_exceed_the_memory(make_server):
    server = make_server(memory_kb=100.0)
    first, actions = server.arrive(held_kb=20.0)
    assert api.Run(first) in actions
    _, actions = server.arrive(held_kb=4.0)
    assert not of_type(actions, api.Run)  # 80 kB are in use, 16 kB more do not fit


def test_a_tenant_over_its_quota_goes_last(make_server):
    tenants = [api.Tenant("a", 1.0), api.Tenant("b", 50.0)]
    server = make_server(tenants=tenants, over_share_worth=0.1)
    running = [server.arrive(tenant="a")[0] for _ in range(2)]
    over_quota, _ = server.arrive(tenant="a")
    within_quota, _ = server.arrive(tenant="b")
    actions = server.end_run(running[0])
    assert api.Run(within_quota) in actions and api.Run(over_quota) not in actions


def test_retry_delay_depends_on_the_worth_rejected_and_the_number_of_servers(make_server):
    # Guards against callers that are kept off one of few servers long after its cores are free again.
    def retry_delay_ms(name, servers=40):
        server = make_server(servers=servers)
        server.fill("buy")
        while True:
            request, actions = server.arrive(name)
            rejects = [action for action in of_type(actions, api.Reject) if action.request == request]
            if rejects:
                return rejects[0].retry_after_ms

    assert 0 < retry_delay_ms("look") < retry_delay_ms("buy") == 1000.0
    assert 0 < retry_delay_ms("buy", 3) < 100.0


def test_a_marked_further_try_rejected_for_load_is_asked_not_to_try_elsewhere(make_server):
    server = make_server()
    server.fill("buy")
    for is_repeat in (True, False):
        rejects = []
        while not rejects:
            request, actions = server.arrive("look", marked_repeat=is_repeat)
            rejects = [action for action in of_type(actions, api.Reject) if action.request == request]
        assert rejects[0].no_retry_elsewhere is is_repeat


def test_caller_window_grows_until_work_is_rejected(make_server):
    server = make_server(free_value=api.FreeValue.WINDOW, callers=4)
    initial = of_type(server.tick(), api.SetFreeValue)[0].value
    assert initial > server.control.run_limit
    server.fill("buy")
    for _ in range(100):
        server.arrive("look")
    decreased = of_type(server.tick(), api.SetFreeValue)[0].value
    assert server.control.run_limit / 4 <= decreased < initial
    for request in list(server.control.work):
        server.end_run(request)
    windows = [of_type(server.tick(), api.SetFreeValue)[0].value for _ in range(60)]
    assert windows[-1] == pytest.approx(3.5 * server.control.run_limit, abs=0.1)
    assert not of_type(make_server().tick(), api.SetFreeValue)


def test_classes_of_one_worth_go_by_age_whatever_their_run_times(make_server):
    twin = api.RequestClass("twin", 1000.0, 3000.0, 1.0, api.Effect.SAFE)
    server = make_server(classes=[api.RequestClass("look", 1000.0, 3000.0, 1.0, api.Effect.SAFE), twin])
    for name, took_ms in (("look", 100.0), ("twin", 130.0)):
        request, _ = server.arrive(name)
        server.end_run(request, took_ms=took_ms)
    running = server.fill("twin")
    server.now += 10
    older, _ = server.arrive("twin")
    server.now += 10
    newer, _ = server.arrive("look")
    server.end_run(running[0])  # starts the one that fill() left queued
    actions = server.end_run(running[1])
    assert api.Run(older) in actions and api.Run(newer) not in actions


def test_a_missing_run_queue_gauge_is_not_read_as_an_idle_server(make_server):
    """Guards against a limit that rises to its maximum because a missing gauge reads as 0."""

    def count_runs(**gauges: float) -> int:
        server = make_server(cores=4)
        started = len(server.fill("buy"))
        for _ in range(20):
            started += len(of_type(server.tick(**gauges) + server.arrive("buy")[1], api.Run))
        return started

    assert count_runs() <= 6 < count_runs(run_queue=0.0, busy=0.0)


def test_a_retry_storm_of_unmarked_tries_is_detected_by_the_share_of_rejects(make_server):
    def no_retry_flags(marks_repeats):
        server = make_server(marks_repeats=marks_repeats)
        server.fill("buy")
        rejects = [a for _ in range(200) for a in of_type(server.arrive("look")[1], api.Reject)]
        return [reject.no_retry_elsewhere for reject in rejects]

    assert not no_retry_flags(marks_repeats=False)[0] and no_retry_flags(marks_repeats=False)[-1]
    assert not any(no_retry_flags(marks_repeats=True))


def test_in_a_retry_storm_of_marked_tries_first_tries_do_not_go_elsewhere_either(make_server):
    """Guards against first tries that go through a large fleet, and are read and rejected by every server."""
    server = make_server(marks_repeats=True)
    server.fill("buy")

    def no_retry_flags(marked: bool) -> list[bool]:
        rejects = [a for _ in range(120) for a in of_type(server.arrive("look", marked_repeat=marked)[1], api.Reject)]
        return [reject.no_retry_elsewhere for reject in rejects]

    assert not any(no_retry_flags(marked=False))
    no_retry_flags(marked=True)
    after = no_retry_flags(marked=False)
    assert after[0] and not after[-1]  # it ends with the retry storm


def test_work_past_its_aim_is_no_probe(make_server):
    """Guards against runs that are late before they start, and take cores that a backlog of unread requests needs."""
    server = make_server()
    _, actions = server.arrive("look", age_ms=1100.0)
    assert of_type(actions, api.Reject) and not of_type(actions, api.Run)


def test_a_class_rejected_for_slow_runs_is_admitted_again_once_cores_are_free(make_server):
    server = make_server(classes=[SAFE, KEYED])
    for _ in range(40):  # slow runs: the estimate rises past the aim
        request, actions = server.arrive()
        if api.Run(request) in actions:
            server.end_run(request, took_ms=1500.0)
        server.tick(after_ms=150, run_queue=9)
    other_request, actions = server.arrive("pay")  # so that the node is not idle, which would allow a probe
    assert api.Run(other_request) in actions and final_answers(server.arrive()[1], f"r{server.request_count}")
    for run_queue, runs in ((9, False), (1, True)):  # busy cores, then free ones
        for _ in range(30):
            server.end_run(other_request)
            other_request, _ = server.arrive("pay")
            server.tick(run_queue=run_queue)
        request, actions = server.arrive()
        assert (api.Run(request) in actions) is runs and bool(final_answers(actions, request)) is not runs


def test_the_queue_is_ordered_by_fair_rank_and_within_a_step_by_worth(make_server):
    server = make_server()
    ranks = {}
    server.control.rank = lambda request: ranks.get(request, 500.0)
    running = server.fill()
    low_rank, _ = server.arrive()
    ranks[low_rank] = 60.0
    lowest_rank, _ = server.arrive()
    valuable, _ = server.arrive("buy")  # worth five times as much, and its rank is behind by less than a step
    ranks[lowest_rank], ranks[valuable] = 0.0, 49.0
    started = []
    for request in running:
        started += [action.request for action in server.end_run(request) if isinstance(action, api.Run)]
        if len(started) >= 3:
            break
    assert started[:3] == [valuable, lowest_rank, low_rank]


@pytest.mark.parametrize("valuable_per_turn", [1, 2])
def test_a_class_of_low_worth_is_not_starved_by_one_of_high_worth_that_could_fill_the_cores(
    make_server, valuable_per_turn
):
    server = make_server(cores=1, classes=[SAFE, replace(SAFE, name="dear", worth=5.0)])
    running: list[tuple[str, str]] = []
    started = {"look": 0, "dear": 0}

    def note_starts(class_of, actions):
        for request in (act.request for act in of_type(actions, api.Run)):
            running.append((request, class_of[request]))
            started[class_of[request]] += 1

    class_of: dict[str, str] = {}
    for _ in range(600):
        for name in ["look", *["dear"] * valuable_per_turn]:
            request, actions = server.arrive(name)
            class_of[request] = name
            note_starts(class_of, actions)
        server.now += 60.0
        if running:  # one ends at a time: the cores do at least as much as the valuable class brings
            note_starts(class_of, server.end_run(running.pop(0)[0], took_ms=60.0))
        note_starts(class_of, server.tick(after_ms=40.0, run_queue=1.0))
    assert started["look"] >= 0.25 * 600 and started["dear"] > started["look"]


def test_work_over_its_tenants_quota_neither_counts_for_a_starved_class_nor_goes_first(make_server):
    server = make_server(cores=1, tenants=[api.Tenant("greedy", 0.5)], over_share_worth=0.05, classes=[SAFE])
    for _ in range(3):  # more than two seconds of its quota
        server.arrive(tenant="greedy")
    server.control.rejected["look"] = 0.9  # a starved class

    def goes_first(tenant):
        request, actions = server.arrive(tenant=tenant)
        assert not of_type(actions, api.Run), "it has to be queued to have an order"
        return server.control.work[request].order[1] == -math.inf

    assert goes_first(None) and not goes_first("greedy")
    server.control.rejected["look"] = 0.0
    for _ in range(200):
        server.arrive(tenant="greedy")
    assert server.control.rejected["look"] == 0.0


def test_the_rejected_share_of_a_class_outlasts_new_settings_and_is_dropped_with_its_class(make_server):
    server = make_server(classes=[SAFE, replace(SAFE, name="gone")])
    queued, _ = next(
        (candidate, actions)
        for candidate, actions in (server.arrive("gone") for _ in range(99))
        if not of_type(actions, api.Run)
    )
    server.control.rejected.update(look=0.9, gone=0.5)
    server.step(api.SettingsChanged(replace(server.control.settings, classes=[SAFE])))
    assert server.control.rejected == {"look": 0.9, "gone": 0.5}  # a request of the dropped class is open
    while queued in server.control.work:
        server.tick(after_ms=1000.0)
        for request in list(server.control.work):
            server.end_run(request)
    server.step(api.SettingsChanged(server.control.settings))
    assert server.control.rejected.keys() == {"look"}
