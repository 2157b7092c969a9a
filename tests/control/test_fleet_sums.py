"""What a whole fleet holds below, though its processes share nothing: the sum of shares holds, cold and restarted."""

from __future__ import annotations

import random

import pytest
from steps import of

from flintshift import interface as api

WINDOW_MS, LINGER_MS, STEP_MS = 2000.0, 200.0, 40.0
LIFE_MS = 4000.0  # after which a process is killed, and the next one takes its place


def calls_of_a_life(server, draw, began_ms: float, killed_ms: float) -> list[tuple[float, float]]:
    """Start and end of each call that a process makes while all of them hang; what lingers below is part of it."""
    calls = []
    while server.now < killed_ms:
        for _ in range(draw.randrange(4)):
            request, acts = server.arrive("buy")
            if api.Run(request) not in acts:
                continue
            for call in of(server.request_call(request), api.Call):
                calls.append((server.now, server.now + call.limit_ms + LINGER_MS))
        for call in of(server.tick(busy=0.3, run_queue=1.0), api.Call):
            calls.append((server.now, server.now + call.limit_ms + LINGER_MS))
    assert server.now >= began_ms
    return calls


@pytest.mark.parametrize("nodes", [20, 30])
@pytest.mark.parametrize("share", [0.4, 1.0, 3.0])
def test_a_fleet_that_starts_cold_and_is_killed_and_started_again_keeps_to_the_sum_of_its_shares(
    make_server, nodes, share
):
    draw, calls = random.Random(nodes), []
    for _ in range(nodes):
        began_ms = 1000.0
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
            server.now = began_ms
            calls += calls_of_a_life(server, draw, began_ms, began_ms + LIFE_MS)
            began_ms += LIFE_MS  # at once: the vault still holds the calls of the life before
    held = [
        sum(max(0.0, min(end, to) - max(start, to - WINDOW_MS)) for start, end in calls) / WINDOW_MS for _, to in calls
    ]
    assert 0.3 * nodes * share < max(held) <= 0.95 * nodes * share  # the rest is for the told figure's rounding


CORES, FALL_MULTIPLE, COLD_FROM, COLD_MS = 4, 5.0, 0.3, 3000.0


def survived(since_start_ms: float) -> float:
    """What one server's cores survive, by the settings: less while it is cold."""
    speed = min(1.0, COLD_FROM + (1 - COLD_FROM) * since_start_ms / COLD_MS)
    return CORES * (1 + (FALL_MULTIPLE - 1) * speed)


@pytest.mark.parametrize("nodes", [20, 30])
def test_a_fleet_that_is_flooded_while_it_is_cold_lets_in_what_the_sum_of_its_cores_survives_then(make_server, nodes):
    draw = random.Random(nodes)
    shape = {"cores": CORES, "fall_multiple": FALL_MULTIPLE, "cold": True, "cold_from": COLD_FROM, "cold_ms": COLD_MS}
    fleet = [make_server(**shape, memory_kb=1e9, servers=nodes) for _ in range(nodes)]
    for server in fleet:  # as after an upgrade: what the process before had learned was of a warm machine
        server.step(api.Learned(100.0, {}))
    born = {id(server): server.now for server in fleet}
    running: dict[int, dict[str, float]] = {id(server): {} for server in fleet}
    most = 0.0
    for _ in range(150):
        for server in fleet:
            known = running[id(server)]
            for request, end in list(known.items()):
                if end <= server.now:
                    del known[request]
                    known.update({act.request: server.now + 400.0 for act in of(server.end_run(request), api.Run)})
            for _ in range(draw.randrange(8)):
                request, acts = server.arrive("look")
                known.update({act.request: server.now + 400.0 for act in of(acts, api.Run)})
            known.update({act.request: server.now + 400.0 for act in of(server.tick(run_queue=1.0), api.Run)})
        held = sum(map(len, running.values()))
        room = sum(survived(server.now - born[id(server)]) for server in fleet)
        most = max(most, held / room)
        assert held <= room
    assert most > 0.3  # it was flooded
