"""Who lives: beats, leases and accusations, heart by heart on one clock."""

from __future__ import annotations

import pytest

from flintshift.peers.members import (
    MOST,
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
PACE = HeartbeatTiming(beat_ms=200.0, lease_ms=1000.0, tell_ms=1000.0, forget_ms=10_000.0)


class Fleet:
    """All members' hearts; ``deaf`` holds pairs (sender, receiver) between which nothing passes."""

    def __init__(self):
        self.now, self.deaf, self.silent = 0.0, set(), set()
        self.hearts = {name: Membership(f"{name}#1", HALLS, PACE, 0.0) for name in HALLS}
        self.seen: list[tuple[str, object]] = []

    def step(self, by_ms=50.0):
        self.now += by_ms
        for name, heart in self.hearts.items():
            if name not in self.silent:
                self.act(name, heart.handle(self.now, Tick()))

    def act(self, name, actions):
        for action in actions:
            match action:
                case SendHeartbeat(to):
                    self.pass_on(name, to, MessageReceived(self.hearts[name].me))
                case Accuse(identity, lapsed):
                    for other in self.hearts:
                        if other != name:
                            self.pass_on(name, other, Accused(name, identity, lapsed))
                case _:
                    self.seen.append((name, action))

    def pass_on(self, sender, to, event):
        if (sender, to) not in self.deaf and to not in self.silent:
            self.act(to, self.hearts[to].handle(self.now, event))

    def until(self, ms):
        while self.now < ms:
            self.step()

    def of(self, kind):
        return [(name, action) for name, action in self.seen if isinstance(action, kind)]


def test_the_ring_takes_halls_in_turn_and_beats_are_three_a_member():
    assert ring(HALLS) == ["n1", "n3", "n5", "n2", "n4"]
    fleet = Fleet()
    beats = [
        action
        for _ in range(20)
        for heart in fleet.hearts.values()
        for action in heart.handle(fleet.now, Tick())
        if isinstance(action, SendHeartbeat)
    ]
    assert len(beats) == 3 * len(HALLS)  # one period, however often the clock ticks in it


def test_a_fleet_in_which_nothing_happens_suspects_nobody():
    fleet = Fleet()
    fleet.until(60_000)
    assert fleet.of(Suspected) == fleet.of(Died) == []


def test_a_death_is_known_to_all_within_two_leases_and_by_its_watchers_word():
    fleet = Fleet()
    fleet.until(2000)
    fleet.silent.add("n2")
    fleet.until(2000 + 2 * PACE.lease_ms)
    died = fleet.of(Died)
    assert {name for name, _ in died} == {"n1", "n3", "n4", "n5"}
    assert all(len(action.accusers) >= 2 for _, action in died)
    assert not fleet.hearts["n1"].is_alive("n2#1", fleet.now)


def test_one_watcher_behind_a_cut_kills_nobody():
    fleet = Fleet()
    fleet.until(2000)
    watcher = fleet.hearts["n1"].watchers["n1"][0]
    fleet.deaf.add(("n1", watcher))
    fleet.until(8000)
    assert {name for name, _ in fleet.of(Suspected)} == {watcher}
    assert fleet.of(Died) == []
    fleet.deaf.clear()
    fleet.until(9000)
    assert [name for name, _ in fleet.of(Returned)] == [watcher]


def test_a_paused_process_returns_under_its_identity_and_a_new_one_is_another():
    fleet = Fleet()
    fleet.until(2000)
    fleet.silent.add("n2")
    fleet.until(5000)
    fleet.silent.clear()
    fleet.until(6000)
    assert all(
        fleet.hearts[name].is_alive("n2#1", fleet.now)
        for name in ("n1", "n3", "n4", "n5")
        if (name in fleet.hearts["n2"].watchers["n2"])
    )
    fleet.silent.add("n2")
    fleet.until(9000)
    fleet.silent.clear()
    fleet.hearts["n2"] = Membership("n2#2", HALLS, PACE, fleet.now)
    fleet.until(10_000)
    watcher = fleet.hearts["n2"].watchers["n2"][0]
    assert fleet.hearts[watcher].is_alive("n2#2", fleet.now) and not fleet.hearts[watcher].is_alive("n2#1", fleet.now)


@pytest.mark.parametrize("identity", ["n9#1", "n1#1", "", "#"])
def test_strangers_and_the_process_itself_are_not_followed(identity):
    heart = Membership("n1#1", HALLS, PACE, 0.0)
    assert heart.handle(1.0, MessageReceived(identity)) == []
    assert heart.handle(1.0, Accused("n2", identity, True)) == []
    assert heart.processes == {}


def test_who_was_never_heard_of_is_given_two_leases_from_the_start():
    heart = Membership("n1#2", HALLS, PACE, 0.0)
    assert heart.is_alive("n3#1", 1999.0) and not heart.is_alive("n3#1", 2000.0)
    assert not heart.is_alive("n1#1", 1.0)  # this member's own former process
    assert heart.is_alive("n1#2", 1e9)


def test_a_member_in_a_crash_loop_fills_no_table():
    heart = Membership("n1#1", HALLS, PACE, 0.0)
    for life in range(MOST + 50):
        heart.handle(float(life), MessageReceived(f"n2#{life}"))
    assert len(heart.processes) == MOST and f"n2#{MOST + 49}" in heart.processes and "n2#0" not in heart.processes


def test_a_member_that_starts_takes_former_processes_for_dead_and_tells_nobody_of_it_as_news():
    fleet = Fleet()
    fleet.until(3000.0)
    fleet.silent.add("n3")
    fleet.until(6000.0)
    assert {name for name, _ in fleet.of(Died)} >= {"n1", "n2"}
    fleet.hearts["n2"] = Membership(
        "n2#2", HALLS, PACE, fleet.now
    )  # started again: it never heard the process that died
    fleet.seen.clear()
    fleet.until(9500.0)
    assert not fleet.hearts["n2"].is_alive("n3#1", fleet.now)
    assert [action for name, action in fleet.seen if name == "n2" and isinstance(action, Suspected | Died)] == []
    fleet.silent.discard("n3")  # it was only paused
    fleet.until(10_500.0)
    fleet.silent.add("n3")
    fleet.until(13_500.0)
    assert any(name == "n2" and isinstance(action, Died) for name, action in fleet.seen)  # now it is
