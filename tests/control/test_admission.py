"""What is run, held and turned away, and in which order."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from conftest import KEYED, SAFE
from steps import answers, of

from flintshift import interface as api


def test_running_crowd_is_limited_and_under_the_survivable_ceiling(make_server):
    for cold in (False, True):
        server = make_server(cold=cold, cold_from=0.2, cold_ms=10_000.0)
        assert 1 <= len(server.fill()) < 2 * (1 + 4 * (0.2 if cold else 1.0))


def test_limit_follows_the_run_queue(make_server):
    server = make_server()
    before = server.control.limit
    for _ in range(20):
        server.tick(run_queue=30)
    assert server.control.limit < before
    lowest = server.control.limit
    for _ in range(40):
        server.tick(after_ms=5, run_queue=0)
        server.fill()
    assert server.control.limit > lowest


def test_worth_goes_first(make_server):
    server = make_server()
    running = server.fill()
    dear, actions = server.arrive("buy")
    assert not of(actions, api.Run)
    assert api.Run(dear) in server.end_run(running[0])


def test_hopeless_work_is_refused_early(make_server):
    server = make_server()
    server.fill()
    assert any(answers(actions, request) for request, actions in (server.arrive() for _ in range(60)))


def test_memory_watermarks_refuse_on_reading_with_hysteresis(make_server):
    server = make_server()
    for memory, refused in ((0.9, True), (0.8, True), (0.5, False), (0.8, False)):
        server.tick(memory=memory)
        request, actions = server.arrive()
        assert bool(answers(actions, request)) is refused
        if not refused:
            server.end_run(request)


def test_starts_never_exceed_the_memory(make_server):
    server = make_server(memory_kb=100.0)
    first, actions = server.arrive(held_kb=20.0)
    assert api.Run(first) in actions
    _, actions = server.arrive(held_kb=4.0)
    assert not of(actions, api.Run)  # 80 kB run, 16 kB more do not fit


def test_tenant_over_its_part_of_the_quota_goes_last(make_server):
    tenants = [api.Tenant("a", 1.0), api.Tenant("b", 50.0)]
    server = make_server(tenants=tenants, over_share_worth=0.1)
    running = [server.arrive(tenant="a")[0] for _ in range(2)]
    over, _ = server.arrive(tenant="a")
    within, _ = server.arrive(tenant="b")
    acts = server.end_run(running[0])
    assert api.Run(within) in acts and api.Run(over) not in acts


def test_advice_lasts_as_long_as_the_worth_turned_away_and_other_servers_allow(make_server):
    # Guards against callers kept off one of few servers whose cores are free again long before.
    def stay(name, servers=40):
        server = make_server(servers=servers)
        server.fill("buy")
        while True:
            request, actions = server.arrive(name)
            refused = [action for action in of(actions, api.Refuse) if action.request == request]
            if refused:
                return refused[0].stay_away_ms

    assert 0 < stay("look") < stay("buy") == 1000.0
    assert 0 < stay("buy", 3) < 100.0


def test_marked_further_try_refused_for_load_is_asked_not_to_go_elsewhere(make_server):
    server = make_server()
    server.fill("buy")
    for again in (True, False):
        refusals = []
        while not refusals:
            request, actions = server.arrive("look", marked_repeat=again)
            refusals = [action for action in of(actions, api.Refuse) if action.request == request]
        assert refusals[0].not_elsewhere is again


def test_free_window_leaves_a_lone_caller_all_until_work_is_turned_away(make_server):
    server = make_server(free_value=api.FreeValue.WINDOW, callers=4)
    first = of(server.tick(), api.SetFreeValue)[0].value
    assert first > server.control.limit
    server.fill("buy")
    for _ in range(100):
        server.arrive("look")
    falling = of(server.tick(), api.SetFreeValue)[0].value
    assert server.control.limit / 4 <= falling < first
    for request in list(server.control.work):
        server.end_run(request)
    again = [of(server.tick(), api.SetFreeValue)[0].value for _ in range(60)]
    assert again[-1] == pytest.approx(3.5 * server.control.limit, abs=0.1)
    assert not of(make_server().tick(), api.SetFreeValue)


def test_classes_of_one_worth_go_by_age_whatever_their_run_times(make_server):
    twin = api.RequestClass("twin", 1000.0, 3000.0, 1.0, api.Effect.SAFE)
    server = make_server(classes=[api.RequestClass("look", 1000.0, 3000.0, 1.0, api.Effect.SAFE), twin])
    for name, took in (("look", 100.0), ("twin", 130.0)):
        request, _ = server.arrive(name)
        server.end_run(request, took_ms=took)
    running = server.fill("twin")
    server.now += 10
    first, _ = server.arrive("twin")
    server.now += 10
    second, _ = server.arrive("look")
    server.end_run(running[0])  # starts the one that fill() left held
    acts = server.end_run(running[1])
    assert api.Run(first) in acts and api.Run(second) not in acts


def test_an_absent_run_queue_is_not_taken_for_an_idle_server(make_server):
    """Guards against a limit that climbs to the ceiling because a gauge that does not exist reads as 0."""

    def running(**gauges: float) -> int:
        server = make_server(cores=4)
        count = len(server.fill("buy"))
        for _ in range(20):
            count += len(of(server.tick(**gauges) + server.arrive("buy")[1], api.Run))
        return count

    assert running() <= 6 < running(run_queue=0.0, busy=0.0)


def test_a_storm_of_unmarked_tries_is_told_by_most_of_what_is_read_being_refused(make_server):
    def wishes(marks):
        server = make_server(marks_repeats=marks)
        server.fill("buy")
        refusals = [a for _ in range(200) for a in of(server.arrive("look")[1], api.Refuse)]
        return [refusal.not_elsewhere for refusal in refusals]

    assert not wishes(marks=False)[0] and wishes(marks=False)[-1]
    assert not any(wishes(marks=True))


def test_many_marked_tries_are_a_storm_in_which_first_tries_stay_too(make_server):
    """Guards against first tries that walk through a large fleet, read and refused by every server."""
    server = make_server(marks_repeats=True)
    server.fill("buy")

    def wishes(marked: bool) -> list[bool]:
        acts = [a for _ in range(120) for a in of(server.arrive("look", marked_repeat=marked)[1], api.Refuse)]
        return [refusal.not_elsewhere for refusal in acts]

    assert not any(wishes(marked=False))
    wishes(marked=True)
    after = wishes(marked=False)
    assert after[0] and not after[-1]  # and it ends with the storm


def test_work_past_its_aim_is_no_probe(make_server):
    """Guards against cores kept from a backlog of unread requests by runs that are late before they start."""
    server = make_server()
    _, actions = server.arrive("look", age_ms=1100.0)
    assert of(actions, api.Refuse) and not of(actions, api.Run)


def test_a_class_refused_for_slow_runs_is_let_in_again_once_cores_are_free(make_server):
    server = make_server(classes=[SAFE, KEYED])
    for _ in range(40):  # a slow spell: the estimate rises past the aim
        request, actions = server.arrive()
        if api.Run(request) in actions:
            server.end_run(request, took_ms=1500.0)
        server.tick(after_ms=150, run_queue=9)
    other, actions = server.arrive("pay")  # so that the node is not idle enough for a lone probe
    assert api.Run(other) in actions and answers(server.arrive()[1], f"r{server.count}")
    for run_queue, runs in ((9, False), (1, True)):  # crowded cores, then free ones
        for _ in range(30):
            server.end_run(other)
            other, _ = server.arrive("pay")
            server.tick(run_queue=run_queue)
        request, actions = server.arrive()
        assert (api.Run(request) in actions) is runs and bool(answers(actions, request)) is not runs


def test_what_is_held_goes_by_its_fair_rank_first_and_within_a_step_by_worth(make_server):
    server = make_server()
    ranks = {}
    server.control.rank = lambda request: ranks.get(request, 500.0)
    running = server.fill()
    early, _ = server.arrive()
    ranks[early] = 60.0
    late, _ = server.arrive()
    dear, _ = server.arrive("buy")  # worth five times as much, and behind by less than a step
    ranks[late], ranks[dear] = 0.0, 49.0
    started = []
    for request in running:
        started += [action.request for action in server.end_run(request) if isinstance(action, api.Run)]
        if len(started) >= 3:
            break
    assert started[:3] == [dear, late, early]


@pytest.mark.parametrize("dear_each", [1, 2])
def test_a_cheap_class_is_not_starved_by_a_dear_one_that_could_fill_the_cores(make_server, dear_each):
    server = make_server(cores=1, classes=[SAFE, replace(SAFE, name="dear", worth=5.0)])
    running: list[tuple[str, str]] = []
    begun = {"look": 0, "dear": 0}

    def take(name_of, actions):
        for request in (act.request for act in of(actions, api.Run)):
            running.append((request, name_of[request]))
            begun[name_of[request]] += 1

    name_of: dict[str, str] = {}
    for _ in range(600):
        for name in ["look", *["dear"] * dear_each]:
            request, actions = server.arrive(name)
            name_of[request] = name
            take(name_of, actions)
        server.now += 60.0
        if running:  # one ends at a time: the cores do as much as the dear class brings at least
            take(name_of, server.end_run(running.pop(0)[0], took_ms=60.0))
        take(name_of, server.tick(after_ms=40.0, run_queue=1.0))
    assert begun["look"] >= 0.25 * 600 and begun["dear"] > begun["look"]


def test_what_is_over_its_tenant_s_share_neither_makes_a_class_starve_nor_goes_first_for_it(make_server):
    server = make_server(cores=1, tenants=[api.Tenant("greedy", 0.5)], over_share_worth=0.05, classes=[SAFE])
    for _ in range(3):  # more than two seconds of its share
        server.arrive(tenant="greedy")
    server.control.refused["look"] = 0.9  # a class that starves

    def first(tenant):
        request, actions = server.arrive(tenant=tenant)
        assert not of(actions, api.Run), "it has to be held to have a place"
        return server.control.work[request].order[1] == -math.inf

    assert first(None) and not first("greedy")
    server.control.refused["look"] = 0.0
    for _ in range(200):
        server.arrive(tenant="greedy")
    assert server.control.refused["look"] == 0.0


def test_how_much_of_a_class_is_turned_away_outlasts_new_settings_and_goes_with_its_class(make_server):
    server = make_server(classes=[SAFE, replace(SAFE, name="gone")])
    held, _ = next((one, acts) for one, acts in (server.arrive("gone") for _ in range(99)) if not of(acts, api.Run))
    server.control.refused.update(look=0.9, gone=0.5)
    server.step(api.Changed(replace(server.control.set, classes=[SAFE])))
    assert server.control.refused == {"look": 0.9, "gone": 0.5}  # one of its requests is open
    while held in server.control.work:
        server.tick(after_ms=1000.0)
        for request in list(server.control.work):
            server.end_run(request)
    server.step(api.Changed(server.control.set))
    assert server.control.refused.keys() == {"look"}
