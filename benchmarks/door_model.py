"""A model of a node with the fair queues, by its own clock: is a told time true, and what does a flood cost whom?

    python benchmarks/door_model.py [--seeds N] [--out FILE]

One core, runs of 10 ms, two clubs of one weight: "a" floods, "b" asks for 0.8 of its share. What is not among the next
five of the order is turned away and told when to come back. ``heeds``: who was told comes at that time, else after a
quarter of it. Tables how many of those who came back were let in, how much later than they were told their runs began,
how many of the first tries of "a" were served, and the share of "b" that was.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.fair_queueing.fair_queue import FairQueue  # noqa: E402
from flintshift.fair_queueing.messages import (  # noqa: E402
    QueueSettings,
    RequestArrived,
    RequestRejected,
    RetryAfter,
    RunEnded,
    RunStarted,
)

RUN_MS, NEXT, MOST_MS = 10.0, 5, 1000.0


@dataclass
class Told:
    """What became of those who came back, and of both clubs."""

    kept: int = 0
    broken: int = 0
    first_kept: int = 0  # of first tries
    first_broken: int = 0
    asked_b: int = 0
    served: Counter[str] = field(default_factory=Counter)
    late_ms: list[float] = field(default_factory=list)

    @property
    def let_in(self) -> float:
        return self.kept / max(1, self.kept + self.broken)

    def late(self, share: float) -> float:
        return sorted(self.late_ms)[int(len(self.late_ms) * share)] if self.late_ms else 0.0


def play(heeds: bool, seed: int, flood: int = 3, storm: int = 0, ticks: int = 2000) -> Told:
    """``flood``: first tries of club "a" in the time of a run, by callers that never come twice by themselves;
    ``storm``: further ones, which nobody told to come; "b" has one caller."""
    shares = FairQueue(QueueSettings({"a": 1.0, "b": 1.0}, 1, {"look": RUN_MS}, True), b"model".ljust(16))
    draw, told = random.Random(seed), Told()
    back: list[tuple[float, str, int]] = []
    waiting: dict[str, float | None] = {}  # by request: the time that it was told, of those who come back
    for tick in range(ticks):
        now = tick * RUN_MS
        come: list[tuple[str, int, float | None]] = [("a", draw.randrange(10_000), None) for _ in range(flood)]
        come += [("a", draw.randrange(10_000), math.inf) for _ in range(storm)]
        come += [("b", 1, None)] * (tick % 5 in (0, 2))
        told.asked_b += tick % 5 in (0, 2)
        come += [(club, caller, at) for at, club, caller in back if at <= now]
        back = [one for one in back if one[0] > now]
        draw.shuffle(come)
        for number, (club, caller, at) in enumerate(come):
            request = f"{tick}-{number}-{club}"
            shares.handle(now, RequestArrived(request, club, caller, "look", at is not None))
            waiting[request] = at
        order = sorted(waiting, key=shares.rank_ms)
        for request in order[NEXT:]:
            at = waiting.pop(request)
            told.broken += at is not None and at < math.inf
            told.first_broken += at is None
            caller, club = shares.tracked[request].caller, request[-1]
            (answer,) = shares.handle(now, RequestRejected(request, 0.0, MOST_MS, draw.random()))
            assert isinstance(answer, RetryAfter) and answer.wait_ms <= MOST_MS
            if answer.reserved and at != math.inf:
                back.append((now + answer.wait_ms * (1.0 if heeds else 0.25), club, caller))
        shares.handle(now, RunStarted(order[0]))
        shares.handle(now, RunEnded(order[0], RUN_MS))
        at = waiting.pop(order[0])
        told.first_kept += at is None
        told.served[order[0][-1]] += 1
        if at is not None and at < math.inf:
            told.kept += 1
            told.late_ms.append(now - at)
    return told


FIGURES: dict[str, Callable[[Told], float]] = {
    "let_in": lambda told: told.let_in,
    "late_p50_ms": lambda told: told.late(0.5),
    "late_p95_ms": lambda told: told.late(0.95),
    "late_p99_ms": lambda told: told.late(0.99),
    "other_club_served": lambda told: told.served["b"] / told.asked_b,
    "first_tries_served": lambda told: float(told.first_kept),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--out", type=Path, help="write the result here as JSON")
    given = parser.parse_args()
    rows = []
    for flood, heeds, storm in (
        (2, True, 0),
        (6, True, 0),
        (20, True, 0),
        (6, False, 0),
        (6, True, 20),
        (6, True, 100),
    ):
        plays = [play(heeds, seed, flood, storm) for seed in range(given.seeds)]
        rows.append(
            {
                "flood": flood,
                "heeds": heeds,
                "storm": storm,
                "came_back": sum(one.kept + one.broken for one in plays),
                **{name: round(sum(map(of, plays)) / len(plays), 3) for name, of in FIGURES.items()},
            }
        )
        print(rows[-1])
    if given.out:
        given.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
