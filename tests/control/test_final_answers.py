"""Each request is answered once and in time: due times, callers that go, drains."""

from __future__ import annotations

from steps import answers, of

from flintshift import interface as api
from flintshift.interface import Outcome


def test_every_request_is_answered_by_its_due_time(make_server):
    for halt in api.Halt:
        server = make_server(halt=halt)
        held_or_running = {server.arrive("buy")[0] for _ in range(4)}
        lined = server.arrive("list")[0]
        server.request_call(lined)
        answered: set[str] = set()
        owed = held_or_running | {lined}
        for _ in range(80):
            actions = server.tick()
            for action in actions:
                if isinstance(action, (api.Refuse, api.Fail)):
                    assert action.request not in answered
                    assert server.now <= 4000.0
                    answered.add(action.request)
                if isinstance(action, api.Stop):
                    assert halt is not api.Halt.NONE
        assert owed <= answered


def test_callers_patience_is_the_due_time_where_it_is_told(make_server):
    server = make_server()
    request, _ = server.arrive(patience_ms=300.0)
    acts = [action for _ in range(7) for action in server.tick()]
    assert answers(acts, request) and server.now <= 1300.0


def test_started_effects_are_never_refused_nor_run_again(make_server):
    server = make_server()
    for name in ("buy", "pay"):
        request, actions = server.arrive(name)
        assert api.Run(request) in actions
        acts = [action for _ in range(80) for action in server.tick()]
        acts += server.end_run(request, Outcome.STOPPED)
        acts += [action for _ in range(10) for action in server.tick()]
        assert not of(acts, api.Refuse) and not of(acts, api.Run)
        assert len(answers(acts, request)) == 1


def test_stopped_run_that_was_not_answered_is_failed(make_server):
    server = make_server()
    request, _ = server.arrive("buy")
    assert api.Fail(request) in server.end_run(request, Outcome.STOPPED)


def test_drain_runs_nothing_past_the_grace_and_answers_all_before_the_stop(make_server):
    server = make_server()
    early, _ = server.arrive("buy")
    server.step(api.Leaving(2000.0))
    in_grace, actions = server.arrive(age_ms=0.0)
    assert api.Run(in_grace) in actions
    server.end_run(in_grace)
    server.now += 501
    server.request_call(early)
    late, actions = server.arrive()
    assert answers(actions, late) and not of(actions, api.Run)
    read_late, actions = server.arrive("buy", age_ms=400.0)
    assert not answers(actions, read_late)
    acts = []
    while server.now < 3000.0:
        acts += server.tick()
    assert all(answers(acts, request) for request in (early, read_late))


def test_caller_gone_frees_held_and_stops_running_work(make_server):
    server = make_server()
    running = server.fill()
    held, _ = server.arrive()
    server.step(api.CallerGone(held))
    assert held not in server.control.work
    assert api.Stop(running[0]) in server.step(api.CallerGone(running[0]))
    server.end_run(running[0], Outcome.STOPPED)
    assert not answers([action for _ in range(80) for action in server.tick()], running[0])


def test_events_for_requests_that_are_over_are_ignored(make_server):
    server = make_server()
    request, _ = server.arrive()
    server.end_run(request)
    for event in (
        api.RunEnded(request, Outcome.MOOT),
        api.CallerGone(request),
        api.CallNeeded(request),
        api.CallEnded(request, Outcome.OK),
    ):
        assert server.step(event) == []


def test_same_events_give_the_same_actions(make_server):
    def day():
        server = make_server()
        log = []
        for turn in range(50):
            request, actions = server.arrive(("look", "buy", "pay", "list")[turn % 4])
            log += actions + server.tick(busy=0.9, run_queue=turn)
            if turn % 3 == 0:
                log += server.end_run(request)
        return log

    assert day() == day()


def test_a_callers_patience_is_learned_from_give_ups_at_one_age(make_server):
    def line(spread):
        server = make_server(cores=1)
        for turn in range(12):
            request, _ = server.arrive(caller=4)
            server.now += 250.0 + spread * turn
            server.step(api.CallerGone(request))
            server.end_run(request, Outcome.STOPPED)
        server.fill("buy")
        for turn in range(30):
            request, actions = server.arrive(caller=4)
            if answers(actions, request):
                return turn
        return 30

    assert line(spread=0.0) < line(spread=60.0)


def test_a_leaving_server_sends_callers_elsewhere(make_server):
    server = make_server()
    server.step(api.Leaving(5000.0))
    server.now += 600
    request, actions = server.arrive(marked_repeat=True)
    assert answers(actions, request) == [api.Refuse(request, 1000.0, False)]


def test_callers_that_gave_up_are_remembered_in_a_bounded_number(make_server):
    server = make_server()
    for caller in range(1000):
        request, _ = server.arrive("look", caller=caller)
        server.step(api.CallerGone(request), 1.0)
        server.end_run(request)
    assert len(server.control.patience.ages) == 256 and 999 in server.control.patience.ages
