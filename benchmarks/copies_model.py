"""Simulation of replication with hundreds of members: messages, moved replicas, and keys under-replicated after a loss.

    python benchmarks/copies_model.py --members 300 --out benchmarks/results/copies_model.json

The same seed gives the same figures. There are no sockets: a message takes 0.5 ms, and a message to a machine that is
down is lost. Claims are spread evenly over the members, and each ends after 20 ms.
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
from flintshift.peers import members as membership  # noqa: E402
from flintshift.replication.messages import Value  # noqa: E402
from flintshift.replication.placement import SLOT_COUNT, Placement  # noqa: E402
from flintshift.replication.registers import Entry, HolderBounds, Registers  # noqa: E402

HOP_MS, RUN_MS = 0.5, 20.0  # delay of a message, and duration of a run


def assign_halls(count: int, halls: int) -> dict[str, str]:
    """Return each member's hall by its name."""
    return {f"n{number:03}": f"hall{number % halls}" for number in range(count)}


def measure_moves(count: int, halls: int) -> dict[str, float]:
    """Return the share of replicas that move when a member or a hall leaves, and its ratio to the minimum possible."""
    names = assign_halls(count, halls)
    full_placement = Placement(names, 3)
    slots = [slot.to_bytes(2, "big") for slot in range(SLOT_COUNT)]

    def compute_shares(remaining_members: dict[str, str]) -> tuple[float, float]:
        """Return the shares of replicas that move, and that must move, when only ``remaining_members`` stay."""
        reduced_placement, must_move, moved = Placement(remaining_members, 3), 0, 0
        departed = set(names) - set(remaining_members)
        for slot in slots:
            holders_before, holders_after = (
                set(full_placement._compute_holders(slot)),
                set(reduced_placement._compute_holders(slot)),
            )
            moved += len(holders_after - holders_before)
            must_move += bool(holders_before & departed)
        return moved / (3 * SLOT_COUNT), must_move / (3 * SLOT_COUNT)

    without_member = compute_shares({name: hall for name, hall in names.items() if name != "n001"})
    without_hall = compute_shares({name: hall for name, hall in names.items() if hall != "hall1"})
    return {
        "moved_by_one": round(without_member[0], 5),
        "against_least": round(without_member[0] / without_member[1], 3) if without_member[1] else 0.0,
        "moved_by_a_hall": round(without_hall[0], 4),
    }


class Simulation:
    """Runs the world of `lab/replication_model` with a message delay."""

    def __init__(self, count: int, halls: int, seed: int) -> None:
        self.world, self.rng = World(assign_halls(count, halls), 3, seed), random.Random(seed)
        self.order, self.number = itertools.count(), itertools.count()
        self.events: list[tuple[float, int, str, Any]] = []
        self.world.sent.clear()

    def schedule(self, at_ms: float, kind: str, subject: Any = None) -> None:
        """Schedule an event at ``at_ms``."""
        heapq.heappush(self.events, (at_ms, next(self.order), kind, subject))

    def run(self, until_ms: float, claims_per_s: float) -> None:
        """Run the simulation until ``until_ms`` with claims at an even rate."""
        world = self.world
        step, names = 1000.0 / claims_per_s, list(world.machines)
        self.schedule(world.now, "tick")
        self.schedule(world.now + step, "claim")
        while self.events and self.events[0][0] <= until_ms:
            at_ms, _, kind, subject = heapq.heappop(self.events)
            world.now = max(world.now, at_ms)
            match kind:
                case "claim":
                    name = self.rng.choice(names)
                    if world.machines[name].up:
                        key = "submit-time", f"k{next(self.number)}"
                        world.claim(name, key, f"r{key[1]}")
                        self.schedule(world.now + RUN_MS, "end", key)
                    self.schedule(world.now + step, "claim")
                case "end":
                    if not world.finish(subject) and world.answers.get(f"r{subject[1]}") is None:
                        self.schedule(world.now + RUN_MS, "end", subject)
                case "tick":
                    world.tick(0.0)
                    self.schedule(world.now + 50.0, "tick")
                case "message":
                    world.sent.append(subject)
                    world.deliver(len(world.sent) - 1)
            for message in world.sent:
                self.schedule(world.now + HOP_MS, "message", message)
            world.sent.clear()
        self.events = [one for one in self.events if one[2] not in ("tick", "claim")]
        heapq.heapify(self.events)

    def count_under_replicated(self) -> int:
        """Count the finished keys with fewer replicas than 3."""
        replicas: dict[Any, int] = {}
        for machine in self.world.machines.values():
            if machine.up:
                for key, register in machine.registers.table.items():
                    replicas[key] = replicas.get(key, 0) + (
                        register.value is not None and register.value.outcome is not None
                    )
        return sum(0 < count < 3 for count in replicas.values())


def simulate_losses(count: int, halls: int, seed: int, claims_per_s: float) -> dict[str, Any]:
    """Simulate claims, then the loss and the return of a member and of a hall; return the figures."""
    simulation = Simulation(count, halls, seed)
    world = simulation.world
    simulation.run(2000.0, claims_per_s)
    message_counts = dict(world.counts)
    result: dict[str, Any] = {
        "keys": len(world.granted_owners),
        "messages_a_write": round(
            (message_counts["Ask"] + message_counts["Vote"] + message_counts.get("Ended", 0))
            / max(1, len(world.granted_owners)),
            2,
        ),
    }
    hall_members = [name for name in world.machines if world.placement.halls[name] == "hall1"]
    for loss, names in (("one", ["n001"]), ("hall", hall_members)):
        for name in names:
            world.crash(name, disk_lost=True)
        under_replicated = simulation.count_under_replicated()
        simulation.run(world.now + 1000.0, claims_per_s)
        for name in names:
            world.restart(name)
        began_ms = world.now
        while world.now < began_ms + 60_000.0:
            simulation.run(world.now + 50.0, claims_per_s)
            if all(world.machines[name].registers.votes_on_all_keys for name in names):
                break
        result[f"loss_of_{loss}"] = {
            "members": len(names),
            "bare_after": under_replicated,
            "bare_after_refill": simulation.count_under_replicated(),
            "all_vote_after_ms": round(world.now - began_ms),
        }
    result["wrong"] = len(world.violations)
    return result


def measure_heartbeats(count: int, halls: int) -> dict[str, float]:
    """Return the heartbeats per second of the fleet, and the time until all members know of a death.

    Only the membership state machines run, with a hop of 0.5 ms.
    """
    names = assign_halls(count, halls)
    timing = membership.HeartbeatTiming()
    machines = {name: membership.Membership(f"{name}#1", names, timing, 0.0) for name in names}
    for machine in machines.values():
        for name in names:
            machine.handle(0.0, membership.MessageReceived(f"{name}#1"))
    sent, dead, known_at_ms, now = 0, "n001", dict[str, float](), 0.0
    messages: list[tuple[str, membership.Event]] = []
    while now < 6000.0 and len(known_at_ms) < count - 1:
        now += 50.0
        incoming, messages = messages, []
        for target, event in incoming:
            if target == dead and now > 2000.0:
                continue
            for action in machines[target].handle(now, event):
                if isinstance(action, membership.Died):
                    known_at_ms.setdefault(target, now)
        for name, machine in machines.items():
            if name == dead and now > 2000.0:
                continue
            for action in machine.handle(now, membership.Tick()):
                match action:
                    case membership.SendHeartbeat(target):
                        sent += now <= 2000.0
                        messages.append((target, membership.MessageReceived(f"{name}#1")))
                    case membership.Accuse(identity, lapsed):
                        messages += [
                            (member, membership.Accused(name, identity, lapsed)) for member in names if member != name
                        ]
                    case membership.Died():
                        known_at_ms.setdefault(name, now)
    return {
        "beats_a_second": round(sent / 2.0),
        "all_know_after_ms": max(known_at_ms.values()) - 2000.0,
        "who_know": len(known_at_ms),
    }


def measure_memory(keys: int = 50_000, result_bytes: int = 64) -> dict[str, int]:
    """Return the memory that one replica holder uses per finished key, by the growth of this process."""

    def resident() -> int:
        return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()

    placement = Placement({"n1": "a", "n2": "b", "n3": "c"}, 3)
    registers = Registers("n1", 1, placement, HolderBounds(), True, 0.0)
    gc.collect()
    bytes_before = resident()
    for number in range(keys):
        value = Value(
            Stage.FINISHED,
            f"{number:016x}",
            "n2#18f2c0a1",
            number.to_bytes(16, "big"),
            30_000.0,
            Outcome.OK,
            number.to_bytes(result_bytes, "big"),
        )
        registers.merge(
            0.0, Entry(("submit-time", f"key-{number:08d}"), (2, "n2#18f2c0a1"), (1, "n2#18f2c0a1"), value, 30_000.0)
        )
    gc.collect()
    return {
        "keys": keys,
        "bytes_of_a_result": result_bytes,
        "resident_bytes_a_key": (resident() - bytes_before) // keys,
        "counted_bytes_a_key": registers.stored_bytes // keys,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--members", type=int, default=300)
    parser.add_argument("--halls", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--claims", type=float, default=500.0, help="claims per second over the fleet")
    parser.add_argument("--out", type=Path, help="also write the result to this file")
    options = parser.parse_args()
    result = {
        "members": options.members,
        "halls": options.halls,
        "seed": options.seed,
        "memory": measure_memory(),
        "placement": measure_moves(options.members, options.halls),
        "membership": measure_heartbeats(options.members, options.halls),
        "copies": simulate_losses(options.members, options.halls, options.seed, options.claims),
    }
    text = json.dumps(result, indent=1)
    print(text)
    if options.out:
        options.out.write_text(text + "\n")
    sys.exit(3 if result["copies"]["wrong"] else 0)


if __name__ == "__main__":
    main()
