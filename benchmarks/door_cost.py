"""CPU and memory of the fair queues per request, by the number of active callers and of waiting requests.

    python benchmarks/door_cost.py [--requests N] [--out FILE]

Only the state machine runs, in this process: each request arrives, is ranked among all waiting requests (as the
decisions do at each fill), begins and ends. Compare with a request's whole CPU in ``results/request_cost.json``.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.fair_queueing.fair_queue import MAX_ENTRY_BYTES, FairQueue  # noqa: E402
from flintshift.fair_queueing.messages import QueueSettings, RequestArrived, RunEnded, RunStarted  # noqa: E402

CLUBS = [f"club{number}" for number in range(5)]
WEIGHTS = QueueSettings(dict.fromkeys(CLUBS, 1.0), 2, {"look": 20.0}, True)


def measure(callers: int, waiting: int, requests: int) -> tuple[float, int]:
    """Return the microseconds per request, and the entries in the tables at the end."""
    rng, fair_queue = random.Random(1), FairQueue(WEIGHTS, b"k" * 16)
    arrivals = [(f"{number:016x}", rng.choice(CLUBS), rng.randrange(callers)) for number in range(requests)]
    queue: list[str] = []
    began_s = time.perf_counter()
    for number_arrived, (request, club, caller) in enumerate(arrivals):
        fair_queue.handle(number_arrived * 2.0, RequestArrived(request, club, caller, "look"))
        queue.append(request)
        if len(queue) > waiting:
            first = min(queue, key=fair_queue.rank_ms)
            queue.remove(first)
            fair_queue.handle(number_arrived * 2.0, RunStarted(first))
            fair_queue.handle(number_arrived * 2.0, RunEnded(first, 20.0))
    return (time.perf_counter() - began_s) / requests * 1e6, fair_queue.entries


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--out", type=Path, help="write the result to this file as JSON")
    options = parser.parse_args()
    rows = []
    for waiting in (0, 10, 100):
        for callers in (5, 500, 50_000):
            request_us, places = min(measure(callers, waiting, options.requests) for _ in range(3))
            rows.append(
                {
                    "waiting": waiting,
                    "callers": callers,
                    "us": round(request_us, 1),
                    "places": places,
                    "kb_at_most": round(places * MAX_ENTRY_BYTES / 1024),
                }
            )
            print(rows[-1])
    if options.out:
        options.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
