"""Simulation of a node with fair queues: are the retry times kept, and how does an overload affect each club?

    python benchmarks/door_model.py [--seeds N] [--out FILE]

The node has one core, runs of 10 ms and two clubs of equal weight: "a" overloads the node, "b" asks for 0.8 of its
share. Requests that are not among the next five of the order are rejected with a retry time. With ``heeds`` the callers
come back at that time, without it after a quarter of the wait. ``flood`` is the number of first tries of "a" per run,
and ``storm`` that of its further tries without a retry time. The table gives the share of returning callers that were
let in, how much later than the retry time their runs began, the number of served first tries of "a", and the share of
the requests of "b" that were served.
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

RUN_MS, QUEUE_LIMIT, MAX_WAIT_MS = 10.0, 5, 1000.0  # duration of a run; most waiting requests; longest retry time


@dataclass
class ReturnCounts:
    """Counts of the returning callers and of the requests of both clubs."""

    served_returns: int = 0
    rejected_returns: int = 0
    served_first_tries: int = 0
    rejected_first_tries: int = 0
    requests_of_b: int = 0
    served: Counter[str] = field(default_factory=Counter)
    late_ms: list[float] = field(default_factory=list)

    @property
    def returns_served_share(self) -> float:
        """The share of the returning callers that were served."""
        return self.served_returns / max(1, self.served_returns + self.rejected_returns)

    def late_quantile_ms(self, quantile: float) -> float:
        """Return the given quantile of the delays of returning callers, in ms after their retry time."""
        return sorted(self.late_ms)[int(len(self.late_ms) * quantile)] if self.late_ms else 0.0


def simulate(
    heeds: bool, seed: int, first_tries_per_run: int = 3, retries_per_run: int = 0, ticks: int = 2000
) -> ReturnCounts:
    """Simulate ``ticks`` runs of the node.

    ``first_tries_per_run`` is the number of first tries of club "a" per run, by callers that come back only at a retry
    time; ``retries_per_run`` is that of its further tries without a retry time. "b" has one caller.
    """
    fair_queue = FairQueue(QueueSettings({"a": 1.0, "b": 1.0}, 1, {"look": RUN_MS}, True), b"model".ljust(16))
    rng, counts = random.Random(seed), ReturnCounts()
    returning: list[tuple[float, str, int]] = []
    waiting: dict[str, float | None] = {}  # by request: the retry time of a returning caller; infinite without one
    for tick in range(ticks):
        now = tick * RUN_MS
        arrivals: list[tuple[str, int, float | None]] = [
            ("a", rng.randrange(10_000), None) for _ in range(first_tries_per_run)
        ]
        arrivals += [("a", rng.randrange(10_000), math.inf) for _ in range(retries_per_run)]
        arrivals += [("b", 1, None)] * (tick % 5 in (0, 2))
        counts.requests_of_b += tick % 5 in (0, 2)
        arrivals += [(club, caller, retry_at_ms) for retry_at_ms, club, caller in returning if retry_at_ms <= now]
        returning = [one for one in returning if one[0] > now]
        rng.shuffle(arrivals)
        for number, (club, caller, retry_at_ms) in enumerate(arrivals):
            request = f"{tick}-{number}-{club}"
            fair_queue.handle(now, RequestArrived(request, club, caller, "look", retry_at_ms is not None))
            waiting[request] = retry_at_ms
        order = sorted(waiting, key=fair_queue.rank_ms)
        for request in order[QUEUE_LIMIT:]:
            retry_at_ms = waiting.pop(request)
            counts.rejected_returns += retry_at_ms is not None and retry_at_ms < math.inf
            counts.rejected_first_tries += retry_at_ms is None
            caller, club = fair_queue.tracked[request].caller, request[-1]
            (response,) = fair_queue.handle(now, RequestRejected(request, 0.0, MAX_WAIT_MS, rng.random()))
            assert isinstance(response, RetryAfter) and response.wait_ms <= MAX_WAIT_MS
            if response.reserved and retry_at_ms != math.inf:
                returning.append((now + response.wait_ms * (1.0 if heeds else 0.25), club, caller))
        fair_queue.handle(now, RunStarted(order[0]))
        fair_queue.handle(now, RunEnded(order[0], RUN_MS))
        retry_at_ms = waiting.pop(order[0])
        counts.served_first_tries += retry_at_ms is None
        counts.served[order[0][-1]] += 1
        if retry_at_ms is not None and retry_at_ms < math.inf:
            counts.served_returns += 1
            counts.late_ms.append(now - retry_at_ms)
    return counts


FIGURES: dict[str, Callable[[ReturnCounts], float]] = {
    "let_in": lambda counts: counts.returns_served_share,
    "late_p50_ms": lambda counts: counts.late_quantile_ms(0.5),
    "late_p95_ms": lambda counts: counts.late_quantile_ms(0.95),
    "late_p99_ms": lambda counts: counts.late_quantile_ms(0.99),
    "other_club_served": lambda counts: counts.served["b"] / counts.requests_of_b,
    "first_tries_served": lambda counts: float(counts.served_first_tries),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--out", type=Path, help="write the result to this file as JSON")
    options = parser.parse_args()
    rows = []
    for first_tries_per_run, heeds, retries_per_run in (
        (2, True, 0),
        (6, True, 0),
        (20, True, 0),
        (6, False, 0),
        (6, True, 20),
        (6, True, 100),
    ):
        runs = [simulate(heeds, seed, first_tries_per_run, retries_per_run) for seed in range(options.seeds)]
        rows.append(
            {
                "flood": first_tries_per_run,
                "heeds": heeds,
                "storm": retries_per_run,
                "came_back": sum(one.served_returns + one.rejected_returns for one in runs),
                **{name: round(sum(map(compute, runs)) / len(runs), 3) for name, compute in FIGURES.items()},
            }
        )
        print(rows[-1])
    if options.out:
        options.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
