"""What the door's heart costs a request, and its memory, by how many callers are active and how much waits.

    python benchmarks/door_cost.py [--requests N] [--out FILE]

The heart alone, in this process: each request arrives, is ranked with all that waits (as the decisions do at each
fill), begins and ends. ``results/request_cost.json`` tells a request's whole CPU, to set it beside.
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
WEIGHED = QueueSettings(dict.fromkeys(CLUBS, 1.0), 2, {"look": 20.0}, True)


def play(callers: int, waiting: int, requests: int) -> tuple[float, int]:
    """Microseconds a request, and the places of its tables at the end."""
    draw, shares = random.Random(1), FairQueue(WEIGHED, b"k" * 16)
    asked = [(f"{number:016x}", draw.choice(CLUBS), draw.randrange(callers)) for number in range(requests)]
    queue: list[str] = []
    began = time.perf_counter()
    for at, (request, club, caller) in enumerate(asked):
        shares.handle(at * 2.0, RequestArrived(request, club, caller, "look"))
        queue.append(request)
        if len(queue) > waiting:
            first = min(queue, key=shares.rank_ms)
            queue.remove(first)
            shares.handle(at * 2.0, RunStarted(first))
            shares.handle(at * 2.0, RunEnded(first, 20.0))
    return (time.perf_counter() - began) / requests * 1e6, shares.entries


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--out", type=Path, help="write the result here as JSON")
    given = parser.parse_args()
    rows = []
    for waiting in (0, 10, 100):
        for callers in (5, 500, 50_000):
            us, places = min(play(callers, waiting, given.requests) for _ in range(3))
            rows.append(
                {
                    "waiting": waiting,
                    "callers": callers,
                    "us": round(us, 1),
                    "places": places,
                    "kb_at_most": round(places * MAX_ENTRY_BYTES / 1024),
                }
            )
            print(rows[-1])
    if given.out:
        given.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
