"""The copies' hearts with hundreds of members on a clock of their own: messages, what moves, what a loss leaves bare.

    python benchmarks/copies_model.py --members 300 --out benchmarks/results/copies_model.json

The same seed gives the same figures. No sockets: a message takes 0.5 ms, and one that is sent to a machine that is gone
is lost. Claims come evenly over the members; each ends after 20 ms.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import itertools
import json
import random
import resource
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.core.keys import Stage  # noqa: E402
from flintshift.interface import Outcome  # noqa: E402
from flintshift.lab.replication_model import World  # noqa: E402
from flintshift.peers import members as who  # noqa: E402
from flintshift.replication.messages import Value  # noqa: E402
from flintshift.replication.placement import SLOT_COUNT, Placement  # noqa: E402
from flintshift.replication.registers import Entry, HolderBounds, Registers  # noqa: E402

HOP_MS, RUN_MS = 0.5, 20.0


def halls_of(count: int, halls: int) -> dict[str, str]:
    return {f"n{number:03}": f"hall{number % halls}" for number in range(count)}


def moved(count: int, halls: int) -> dict[str, float]:
    """The share of copies that move when one member leaves, and when one joins, against the least possible."""
    names = halls_of(count, halls)
    full = Placement(names, 3)
    slots = [slot.to_bytes(2, "big") for slot in range(SLOT_COUNT)]

    def changed(fewer: dict[str, str]) -> tuple[float, float]:
        other, held, went = Placement(fewer, 3), 0, 0
        gone = set(names) - set(fewer)
        for slot in slots:
            before, after = set(full._compute_holders(slot)), set(other._compute_holders(slot))
            went += len(after - before)
            held += bool(before & gone)
        return went / (3 * SLOT_COUNT), held / (3 * SLOT_COUNT)

    one = changed({name: hall for name, hall in names.items() if name != "n001"})
    hall = changed({name: hall for name, hall in names.items() if hall != "hall1"})
    return {
        "moved_by_one": round(one[0], 5),
        "against_least": round(one[0] / one[1], 3) if one[1] else 0.0,
        "moved_by_a_hall": round(hall[0], 4),
    }


class Play:
    """The world of `lab/replication_model` with messages that take their time."""

    def __init__(self, count: int, halls: int, seed: int) -> None:
        self.world, self.draw = World(halls_of(count, halls), 3, seed), random.Random(seed)
        self.order, self.number = itertools.count(), itertools.count()
        self.due: list[tuple[float, int, str, Any]] = []
        self.world.sent.clear()

    def at(self, at_ms: float, what: str, of: Any = None) -> None:
        heapq.heappush(self.due, (at_ms, next(self.order), what, of))

    def run(self, until_ms: float, claims_per_s: float) -> None:
        world = self.world
        step, names = 1000.0 / claims_per_s, list(world.machines)
        self.at(world.now, "tick")
        self.at(world.now + step, "claim")
        while self.due and self.due[0][0] <= until_ms:
            at_ms, _, what, of = heapq.heappop(self.due)
            world.now = max(world.now, at_ms)
            match what:
                case "claim":
                    name = self.draw.choice(names)
                    if world.machines[name].up:
                        key = "submit-time", f"k{next(self.number)}"
                        world.claim(name, key, f"r{key[1]}")
                        self.at(world.now + RUN_MS, "end", key)
                    self.at(world.now + step, "claim")
                case "end":
                    if not world.finish(of) and world.answers.get(f"r{of[1]}") is None:
                        self.at(world.now + RUN_MS, "end", of)
                case "tick":
                    world.tick(0.0)
                    self.at(world.now + 50.0, "tick")
                case "message":
                    world.sent.append(of)
                    world.deliver(len(world.sent) - 1)
            for message in world.sent:
                self.at(world.now + HOP_MS, "message", message)
            world.sent.clear()
        self.due = [one for one in self.due if one[2] not in ("tick", "claim")]
        heapq.heapify(self.due)

    def bare(self) -> int:
        """Keys that have ended and of which fewer members hold a copy than should."""
        held: dict[Any, int] = {}
        for machine in self.world.machines.values():
            if machine.up:
                for key, register in machine.registers.table.items():
                    held[key] = held.get(key, 0) + (register.value is not None and register.value.outcome is not None)
        return sum(0 < count < 3 for count in held.values())


def play(count: int, halls: int, seed: int, claims_per_s: float) -> dict[str, Any]:
    playing = Play(count, halls, seed)
    world = playing.world
    playing.run(2000.0, claims_per_s)
    quiet = dict(world.counts)
    told: dict[str, Any] = {
        "keys": len(world.granted_owners),
        "messages_a_write": round(
            (quiet["Ask"] + quiet["Vote"] + quiet.get("Ended", 0)) / max(1, len(world.granted_owners)), 2
        ),
    }
    hall = [name for name in world.machines if world.placement.halls[name] == "hall1"]
    for what, names in (("one", ["n001"]), ("hall", hall)):
        for name in names:
            world.crash(name, disk_lost=True)
        lost = playing.bare()
        playing.run(world.now + 1000.0, claims_per_s)
        for name in names:
            world.restart(name)
        began = world.now
        while world.now < began + 60_000.0:
            playing.run(world.now + 50.0, claims_per_s)
            if all(world.machines[name].registers.votes_on_all_keys for name in names):
                break
        told[f"loss_of_{what}"] = {
            "members": len(names),
            "bare_after": lost,
            "bare_after_refill": playing.bare(),
            "all_vote_after_ms": round(world.now - began),
        }
    told["wrong"] = len(world.violations)
    return told


def heartbeats(count: int, halls: int) -> dict[str, float]:
    """Beats a second over the fleet, and how long until all know of a death: hearts alone, a hop of 0.5 ms."""
    names = halls_of(count, halls)
    pace = who.HeartbeatTiming()
    all_ = {name: who.Membership(f"{name}#1", names, pace, 0.0) for name in names}
    for one in all_.values():
        for name in names:
            one.handle(0.0, who.MessageReceived(f"{name}#1"))
    sent, dead, knew, now = 0, "n001", dict[str, float](), 0.0
    words: list[tuple[str, who.Event]] = []
    while now < 6000.0 and len(knew) < count - 1:
        now += 50.0
        incoming, words = words, []
        for to, event in incoming:
            if to == dead and now > 2000.0:
                continue
            for action in all_[to].handle(now, event):
                if isinstance(action, who.Died):
                    knew.setdefault(to, now)
        for name, one in all_.items():
            if name == dead and now > 2000.0:
                continue
            for action in one.handle(now, who.Tick()):
                match action:
                    case who.SendHeartbeat(to):
                        sent += now <= 2000.0
                        words.append((to, who.MessageReceived(f"{name}#1")))
                    case who.Accuse(identity, lapsed):
                        words += [(other, who.Accused(name, identity, lapsed)) for other in names if other != name]
                    case who.Died():
                        knew.setdefault(name, now)
    return {
        "beats_a_second": round(sent / 2.0),
        "all_know_after_ms": max(knew.values()) - 2000.0,
        "who_know": len(knew),
    }


def memory(keys: int = 50_000, result: int = 64) -> dict[str, int]:
    """Bytes that one holder keeps for a key that has ended, by what the process grows."""

    def resident() -> int:
        return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()

    placement = Placement({"n1": "a", "n2": "b", "n3": "c"}, 3)
    registers = Registers("n1", 1, placement, HolderBounds(), True, 0.0)
    gc.collect()
    before = resident()
    for number in range(keys):
        value = Value(
            Stage.FINISHED,
            f"{number:016x}",
            "n2#18f2c0a1",
            number.to_bytes(16, "big"),
            30_000.0,
            Outcome.OK,
            number.to_bytes(result, "big"),
        )
        registers.merge(
            0.0, Entry(("submit-time", f"key-{number:08d}"), (2, "n2#18f2c0a1"), (1, "n2#18f2c0a1"), value, 30_000.0)
        )
    gc.collect()
    return {
        "keys": keys,
        "bytes_of_a_result": result,
        "resident_bytes_a_key": (resident() - before) // keys,
        "counted_bytes_a_key": registers.stored_bytes // keys,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--members", type=int, default=300)
    parser.add_argument("--halls", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--claims", type=float, default=500.0, help="a second, over the fleet")
    parser.add_argument("--out", type=Path, help="write the result here too")
    given = parser.parse_args()
    told = {
        "members": given.members,
        "halls": given.halls,
        "seed": given.seed,
        "memory": memory(),
        "placement": moved(given.members, given.halls),
        "membership": heartbeats(given.members, given.halls),
        "copies": play(given.members, given.halls, given.seed, given.claims),
    }
    text = json.dumps(told, indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")
    sys.exit(3 if told["copies"]["wrong"] else 0)


if __name__ == "__main__":
    main()
