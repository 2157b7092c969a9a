"""Failure detection by heartbeats, leases and accusations, in a simulated fleet on one clock."""

from __future__ import annotations

import pytest

from flintshift.peers.members import (
    MAX_PROCESSES,
    Accuse,
    Accused,
    Died,
    HeartbeatTiming,
    Membership,
    MessageReceived,
    Returned,
    SendHeartbeat,
    Suspected,
    Tick,
    ring,
)

HALLS = {"n1": "a", "n2": "a", "n3": "b", "n4": "b", "n5": "c"}
TIMING = HeartbeatTiming(heartbeat_ms=200.0, lease_ms=1000.0, repeat_ms=1000.0, forget_ms=10_000.0)


class Fleet:
    """All members; ``disconnected`` has pairs (sender, receiver) between which no message passes."""

    def __init__(self):
        self.now, self.disconnected, self.silent = 0.0, set(), set()
        self.members = {name: Membership(f"{name}#1", HALLS, TIMING, 0.0) for name in HALLS}
        self.actions: list[tuple[str, object]] = []

    def step(self, by_ms=50.0):
        self.now += by_ms
        for name, member in self.members.items():
            if name not in self.silent:
                self.act(name, member.handle(self.now, Tick()))

    def act(self, name, actions):
        for action in actions:
            match action:
                case SendHeartbeat(to):
                    self.deliver(name, to, MessageReceived(self.members[name].identity))
                case Accuse(identity, lapsed):
                    for other in self.members:
                        if other != name:
                            self.deliver(name, other, Accused(name, identity, lapsed))
                case _:
                    self.actions.append((name, action))

    def deliver(self, sender, to, event):
        if (sender, to) not in self.disconnected and to not in self.silent:
            self.act(to, self.members[to].handle(self.now, event))

    def run_until(self, ms):
        while self.now < ms:
            self.step()

    def actions_of(self, kind):
        return [(name, action) for name, action in self.actions if isinstance(action, kind)]


def test_the_ring_alternates_halls_and_each_member_sends_three_heartbeats():
    assert ring(HALLS) == ["n1", "n3", "n5", "n2", "n4"]
    fleet = Fleet()
    heartbeats = [
        action
        for _ in range(20)
        for member in fleet.members.values()
        for action in member.handle(fleet.now, Tick())
        if isinstance(action, SendHeartbeat)
    ]
    assert len(heartbeats) == 3 * len(HALLS)  # of one period, however many ticks it has


def test_a_healthy_fleet_suspects_no_process():
    fleet = Fleet()
    fleet.run_until(60_000)
    assert fleet.actions_of(Suspected) == fleet.actions_of(Died) == []


def test_all_members_know_of_a_death_within_two_leases_from_its_watchers():
    fleet = Fleet()
    fleet.run_until(2000)
    fleet.silent.add("n2")
    fleet.run_until(2000 + 2 * TIMING.lease_ms)
    died = fleet.actions_of(Died)
    assert {name for name, _ in died} == {"n1", "n3", "n4", "n5"}
    assert all(len(action.accusers) >= 2 for _, action in died)
    assert not fleet.members["n1"].is_alive("n2#1", fleet.now)


def test_one_watcher_behind_a_partition_declares_no_process_dead():
    fleet = Fleet()
    fleet.run_until(2000)
    watcher = fleet.members["n1"].watchers["n1"][0]
    fleet.disconnected.add(("n1", watcher))
    fleet.run_until(8000)
    assert {name for name, _ in fleet.actions_of(Suspected)} == {watcher}
    assert fleet.actions_of(Died) == []
    fleet.disconnected.clear()
    fleet.run_until(9000)
    assert [name for name, _ in fleet.actions_of(Returned)] == [watcher]


def test_a_paused_process_returns_under_its_identity_and_a_restarted_one_is_another():
    fleet = Fleet()
    fleet.run_until(2000)
    fleet.silent.add("n2")
    fleet.run_until(5000)
    fleet.silent.clear()
    fleet.run_until(6000)
    assert all(
        fleet.members[name].is_alive("n2#1", fleet.now)
        for name in ("n1", "n3", "n4", "n5")
        if (name in fleet.members["n2"].watchers["n2"])
    )
    fleet.silent.add("n2")
    fleet.run_until(9000)
    fleet.silent.clear()
    fleet.members["n2"] = Membership("n2#2", HALLS, TIMING, fleet.now)
    fleet.run_until(10_000)
    watcher = fleet.members["n2"].watchers["n2"][0]
    assert fleet.members[watcher].is_alive("n2#2", fleet.now) and not fleet.members[watcher].is_alive("n2#1", fleet.now)


@pytest.mark.parametrize("identity", ["n9#1", "n1#1", "", "#"])
def test_unknown_members_and_the_process_itself_are_not_tracked(identity):
    member = Membership("n1#1", HALLS, TIMING, 0.0)
    assert member.handle(1.0, MessageReceived(identity)) == []
    assert member.handle(1.0, Accused("n2", identity, True)) == []
    assert member.processes == {}


def test_a_process_never_heard_from_counts_as_alive_for_two_leases_from_the_start():
    member = Membership("n1#2", HALLS, TIMING, 0.0)
    assert member.is_alive("n3#1", 1999.0) and not member.is_alive("n3#1", 2000.0)
    assert not member.is_alive("n1#1", 1.0)  # this member's own former process
    assert member.is_alive("n1#2", 1e9)


def test_a_member_in_a_crash_loop_does_not_exceed_the_table():
    member = Membership("n1#1", HALLS, TIMING, 0.0)
    for number in range(MAX_PROCESSES + 50):
        member.handle(float(number), MessageReceived(f"n2#{number}"))
    assert (
        len(member.processes) == MAX_PROCESSES
        and f"n2#{MAX_PROCESSES + 49}" in member.processes
        and "n2#0" not in member.processes
    )


def test_a_member_that_starts_does_not_report_processes_that_died_before():
    fleet = Fleet()
    fleet.run_until(3000.0)
    fleet.silent.add("n3")
    fleet.run_until(6000.0)
    assert {name for name, _ in fleet.actions_of(Died)} >= {"n1", "n2"}
    # n2 is restarted: it never received a message from the dead process.
    fleet.members["n2"] = Membership("n2#2", HALLS, TIMING, fleet.now)
    fleet.actions.clear()
    fleet.run_until(9500.0)
    assert not fleet.members["n2"].is_alive("n3#1", fleet.now)
    assert [action for name, action in fleet.actions if name == "n2" and isinstance(action, Suspected | Died)] == []
    fleet.silent.discard("n3")  # it was only paused
    fleet.run_until(10_500.0)
    fleet.silent.add("n3")
    fleet.run_until(13_500.0)
    assert any(name == "n2" and isinstance(action, Died) for name, action in fleet.actions)  # now its death is reported
