"""The calls and runs of a whole fleet stay under the sum of its shares, although its processes share nothing."""

from __future__ import annotations

import random

import pytest
from control_helpers import of_type

from flintshift import interface as api

WINDOW_MS, LINGER_MS, STEP_MS = 2000.0, 200.0, 40.0
PROCESS_LIFETIME_MS = 4000.0  # then a process is killed, and the next one replaces it


def calls_until_killed(server, random_source, started_ms: float, killed_ms: float) -> list[tuple[float, float]]:
    """Return start and end, including the lingering, of each call that a process makes while all of them hang."""
    calls = []
    while server.now < killed_ms:
        for _ in range(random_source.randrange(4)):
            request, actions = server.arrive("buy")
            if api.Run(request) not in actions:
                continue
            for call in of_type(server.request_call(request), api.Call):
                calls.append((server.now, server.now + call.limit_ms + LINGER_MS))
        for call in of_type(server.tick(busy=0.3, run_queue=1.0), api.Call):
            calls.append((server.now, server.now + call.limit_ms + LINGER_MS))
    assert server.now >= started_ms
    return calls


@pytest.mark.parametrize("nodes", [20, 30])
@pytest.mark.parametrize("share", [0.4, 1.0, 3.0])
def test_a_fleet_that_starts_cold_and_is_restarted_keeps_to_the_sum_of_its_call_shares(make_server, nodes, share):
    random_source, calls = random.Random(nodes), []
    for _ in range(nodes):
        started_ms = 1000.0
        for _ in range(2):
            server = make_server(
                cores=6,
                call_share=share,
                call_window_ms=WINDOW_MS,
                cold=True,
                cold_from=0.3,
                cold_ms=3000.0,
                servers=nodes,
            )
            server.now = started_ms
            calls += calls_until_killed(server, random_source, started_ms, started_ms + PROCESS_LIFETIME_MS)
            started_ms += PROCESS_LIFETIME_MS  # at once: the vault still has the calls of the process before
    mean_open_calls = [
        sum(max(0.0, min(end, window_end) - max(start, window_end - WINDOW_MS)) for start, end in calls) / WINDOW_MS
        for _, window_end in calls
    ]
    # The rest is for the rounding of the configured figure.
    assert 0.3 * nodes * share < max(mean_open_calls) <= 0.95 * nodes * share


CORES, FALL_MULTIPLE, COLD_FROM, COLD_MS = 4, 5.0, 0.3, 3000.0


def survived(since_start_ms: float) -> float:
    """Return how many runs one server survives by the settings: fewer while it is cold."""
    speed = min(1.0, COLD_FROM + (1 - COLD_FROM) * since_start_ms / COLD_MS)
    return CORES * (1 + (FALL_MULTIPLE - 1) * speed)


@pytest.mark.parametrize("nodes", [20, 30])
def test_a_fleet_that_is_overloaded_while_cold_runs_no_more_than_its_servers_survive(make_server, nodes):
    random_source = random.Random(nodes)
    settings = {
        "cores": CORES,
        "fall_multiple": FALL_MULTIPLE,
        "cold": True,
        "cold_from": COLD_FROM,
        "cold_ms": COLD_MS,
    }
    fleet = [make_server(**settings, memory_kb=1e9, servers=nodes) for _ in range(nodes)]
    for server in fleet:  # as after an upgrade: the estimates are those of a warm machine
        server.step(api.LearnedEstimates(100.0, {}))
    started_ms = {id(server): server.now for server in fleet}
    running: dict[int, dict[str, float]] = {id(server): {} for server in fleet}
    max_share = 0.0
    for _ in range(150):
        for server in fleet:
            end_times = running[id(server)]
            for request, end_ms in list(end_times.items()):
                if end_ms <= server.now:
                    del end_times[request]
                    end_times.update(
                        {action.request: server.now + 400.0 for action in of_type(server.end_run(request), api.Run)}
                    )
            for _ in range(random_source.randrange(8)):
                request, actions = server.arrive("look")
                end_times.update({action.request: server.now + 400.0 for action in of_type(actions, api.Run)})
            end_times.update(
                {action.request: server.now + 400.0 for action in of_type(server.tick(run_queue=1.0), api.Run)}
            )
        run_count = sum(map(len, running.values()))
        survivable = sum(survived(server.now - started_ms[id(server)]) for server in fleet)
        max_share = max(max_share, run_count / survivable)
        assert run_count <= survivable
    assert max_share > 0.3  # it was overloaded
