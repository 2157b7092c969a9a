"""Each request is answered once and in time: due times, callers that disconnect, drains."""

from __future__ import annotations

from control_helpers import final_answers, of_type

from flintshift import interface as api
from flintshift.interface import Outcome


def test_every_request_is_answered_by_its_due_time(make_server):
    for halt in api.Halt:
        server = make_server(halt=halt)
        queued_or_running = {server.arrive("buy")[0] for _ in range(4)}
        waiting_for_call = server.arrive("list")[0]
        server.request_call(waiting_for_call)
        answered: set[str] = set()
        expected = queued_or_running | {waiting_for_call}
        for _ in range(80):
            actions = server.tick()
            for action in actions:
                if isinstance(action, (api.Reject, api.Fail)):
                    assert action.request not in answered
                    assert server.now <= 4000.0
                    answered.add(action.request)
                if isinstance(action, api.Stop):
                    assert halt is not api.Halt.NONE
        assert expected <= answered


def test_a_callers_patience_sets_the_due_time_if_it_is_given(make_server):
    server = make_server()
    request, _ = server.arrive(patience_ms=300.0)
    actions = [action for _ in range(7) for action in server.tick()]
    assert final_answers(actions, request) and server.now <= 1300.0


def test_runs_with_effects_are_never_rejected_nor_run_again(make_server):
    server = make_server()
    for name in ("buy", "pay"):
        request, actions = server.arrive(name)
        assert api.Run(request) in actions
        later_actions = [action for _ in range(80) for action in server.tick()]
        later_actions += server.end_run(request, Outcome.STOPPED)
        later_actions += [action for _ in range(10) for action in server.tick()]
        assert not of_type(later_actions, api.Reject) and not of_type(later_actions, api.Run)
        assert len(final_answers(later_actions, request)) == 1


def test_a_stopped_run_that_was_not_answered_fails(make_server):
    server = make_server()
    request, _ = server.arrive("buy")
    assert api.Fail(request) in server.end_run(request, Outcome.STOPPED)


def test_a_drain_runs_nothing_past_the_grace_and_answers_all_before_the_stop(make_server):
    server = make_server()
    before_drain, _ = server.arrive("buy")
    server.step(api.DrainStarted(2000.0))
    within_grace, actions = server.arrive(age_ms=0.0)
    assert api.Run(within_grace) in actions
    server.end_run(within_grace)
    server.now += 501
    server.request_call(before_drain)
    after_grace, actions = server.arrive()
    assert final_answers(actions, after_grace) and not of_type(actions, api.Run)
    received_within_grace, actions = server.arrive("buy", age_ms=400.0)
    assert not final_answers(actions, received_within_grace)
    later_actions = []
    while server.now < 3000.0:
        later_actions += server.tick()
    assert all(final_answers(later_actions, request) for request in (before_drain, received_within_grace))


def test_a_caller_that_disconnects_frees_queued_and_stops_running_work(make_server):
    server = make_server()
    running = server.fill()
    queued, _ = server.arrive()
    server.step(api.CallerDisconnected(queued))
    assert queued not in server.control.work
    assert api.Stop(running[0]) in server.step(api.CallerDisconnected(running[0]))
    server.end_run(running[0], Outcome.STOPPED)
    assert not final_answers([action for _ in range(80) for action in server.tick()], running[0])


def test_events_for_requests_that_have_ended_are_ignored(make_server):
    server = make_server()
    request, _ = server.arrive()
    server.end_run(request)
    for event in (
        api.RunEnded(request, Outcome.MOOT),
        api.CallerDisconnected(request),
        api.CallNeeded(request),
        api.CallEnded(request, Outcome.OK),
    ):
        assert server.step(event) == []


def test_same_events_give_the_same_actions(make_server):
    def play():
        server = make_server()
        played = []
        for number in range(50):
            request, actions = server.arrive(("look", "buy", "pay", "list")[number % 4])
            played += actions + server.tick(busy=0.9, run_queue=number)
            if number % 3 == 0:
                played += server.end_run(request)
        return played

    assert play() == play()


def test_a_callers_patience_is_learned_from_requests_abandoned_at_one_age(make_server):
    def admitted_before_reject(spread_ms):
        server = make_server(cores=1)
        for number in range(12):
            request, _ = server.arrive(caller=4)
            server.now += 250.0 + spread_ms * number
            server.step(api.CallerDisconnected(request))
            server.end_run(request, Outcome.STOPPED)
        server.fill("buy")
        for number in range(30):
            request, actions = server.arrive(caller=4)
            if final_answers(actions, request):
                return number
        return 30

    assert admitted_before_reject(spread_ms=0.0) < admitted_before_reject(spread_ms=60.0)


def test_a_draining_server_sends_callers_elsewhere(make_server):
    server = make_server()
    server.step(api.DrainStarted(5000.0))
    server.now += 600
    request, actions = server.arrive(marked_repeat=True)
    assert final_answers(actions, request) == [api.Reject(request, 1000.0, False)]


def test_callers_that_abandoned_requests_are_remembered_in_a_bounded_number(make_server):
    server = make_server()
    for caller in range(1000):
        request, _ = server.arrive("look", caller=caller)
        server.step(api.CallerDisconnected(request), 1.0)
        server.end_run(request)
    assert len(server.control.caller_patience.ages) == 256 and 999 in server.control.caller_patience.ages
