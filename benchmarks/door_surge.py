"""Effect of one club's overload on the other clubs, with the fair queues on and off, on both fronts mixed.

    python benchmarks/door_surge.py [--times 5.9] [--seconds N] [--rounds N] [--one-caller] [--heed] [--out FILE]

Two nodes run at the same time, one with fair queues; each has two cores of its own, shared by its worker pool and its
app servers. A run takes 20 ms, and the clubs' usual load fills 0.6 of the cores. The nodes get the same load in turn:
first the usual load of every club, then the same with one club at ``--times`` its usual rate (``--one-caller``: all
additional requests carry one caller's number). A served share is relative to all requests of a club in that time.
``kept`` is the share served in the overload divided by the share before it, the median of the rounds. ``usual`` and
``surge`` are the two parts of the overloading club's load. With ``--heed``, ``came back`` is the share served of the
callers who came back once, at their retry time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.callers import REQUEST_BUILDERS, advised_wait_ms, read_reply_with_head, request_fields  # noqa: E402
from flintshift.lab.single_node_cluster import SingleNodeCluster  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402

RUN_MS, CORES = 20.0, 2
USUAL_PER_S, CALLERS_PER_CLUB = 20.0, 8  # requests per second of a club, and the number of its callers
MAX_WAIT_MS = 1000.0  # the longest retry time that the embedded configuration allows
FRONTS = ("http", "uwsgi")
# Requests and served requests by club; those of the overloading club by "usual" and "surge".
RequestCounts = dict[str, tuple[int, int]]


def run_callers(
    ports: dict[str, int], times: float, one_caller: bool, heed: bool, seconds: float, seed: int
) -> RequestCounts:
    """Run one process of callers that send requests at a fixed rate, whatever the answers are."""
    overloading_club, *_ = CLUBS
    sent: Counter[str] = Counter()
    served: Counter[str] = Counter()

    async def send_request(
        club: str, kind: str, caller: int, front: str, rng: random.Random, again: bool = False
    ) -> None:
        request_id = f"{rng.getrandbits(64):016x}"
        sent[kind] += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[front])
            writer.write(
                REQUEST_BUILDERS[front](
                    "standings", b"12:01.5", request_fields(request_id, club, "standings", caller, again)
                )
            )
            status, _, head = await asyncio.wait_for(read_reply_with_head(reader), 5)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        served[kind] += status == 200
        retry_after_ms = advised_wait_ms(head)
        if status != 200 and retry_after_ms is not None and not again and heed:
            await asyncio.sleep(retry_after_ms / 1000)
            # The longest retry time means that no reservation could be made: these callers are counted separately.
            await send_request(
                club,
                "came back" if retry_after_ms < MAX_WAIT_MS else "came back, not promised",
                caller,
                front,
                rng,
                True,
            )

    async def send_stream(club: str, kind: str, callers: list[int], per_s: float, number: int) -> None:
        rng, next_s, tasks = random.Random(seed * 1000 + number), time.monotonic(), set[asyncio.Task[None]]()
        deadline_s = next_s + seconds
        while next_s < deadline_s:
            next_s += rng.expovariate(per_s)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            task = asyncio.create_task(send_request(club, kind, rng.choice(callers), rng.choice(FRONTS), rng))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def run_streams() -> None:
        streams = [
            (
                club,
                "usual" if club == overloading_club else club,
                [index * 100 + one for one in range(CALLERS_PER_CLUB)],
                USUAL_PER_S,
            )
            for index, club in enumerate(CLUBS)
        ]
        if times > 1:
            numbers = [99] if one_caller else [*range(50, 50 + 5 * CALLERS_PER_CLUB)]
            streams.append((overloading_club, "surge", numbers, (times - 1) * USUAL_PER_S))
        await asyncio.gather(*(send_stream(*one, number) for number, one in enumerate(streams)))

    asyncio.run(run_streams())
    return {kind: (sent[kind], served[kind]) for kind in sent}


async def load_in_turn(
    clusters: dict[str, SingleNodeCluster],
    times: float,
    one_caller: bool,
    heed: bool,
    seconds: float,
    seed: int,
    executor: ProcessPoolExecutor,
) -> dict[str, RequestCounts]:
    """Load all nodes in turn; return their counts by name."""
    loop, counts = asyncio.get_running_loop(), {}
    for name in sorted(clusters, reverse=seed % 2 == 1):
        counts[name] = await loop.run_in_executor(
            executor, run_callers, clusters[name].ports, times, one_caller, heed, seconds, seed
        )
    return counts


async def measure(
    times: float, one_caller: bool, heed: bool, seconds: float, rounds: int
) -> dict[str, dict[str, float]]:
    """Return by node ("on", "off") and club the share served in the overload divided by the share before it."""
    kept_shares: dict[str, dict[str, list[float]]] = {}
    with tempfile.TemporaryDirectory(prefix="flintshift-bench-") as name, ProcessPoolExecutor(1) as executor:
        async with AsyncExitStack() as stack:
            clusters = {}
            for variant in ("on", "off"):
                clusters[variant] = await stack.enter_async_context(
                    SingleNodeCluster(
                        Path(name) / variant,
                        f"door: {{enabled: {str(variant == 'on').lower()}}}\n",
                        uwsgi=True,
                        root=ROOT,
                        pool=Pool(cores=CORES, took_ms={"standings": RUN_MS}),
                        platform={"tenants": [{"name": club, "quotaPerS": 100.0} for club in CLUBS]},
                    )
                )
                clusters[variant].apps.pool, clusters[variant].apps.took_ms = clusters[variant].pool, RUN_MS
            for round_ in range(rounds):
                counts_before = await load_in_turn(clusters, 1.0, one_caller, False, seconds, 10 + round_, executor)
                counts_in_overload = await load_in_turn(
                    clusters, times, one_caller, heed, seconds, 20 + round_, executor
                )
                for variant in clusters:
                    row = kept_shares.setdefault(variant, {})
                    for kind, (sent, served) in counts_in_overload[variant].items():
                        usual = counts_before[variant].get(kind, counts_before[variant]["usual"])
                        if kind.startswith("came back"):  # for returning callers the served share itself
                            usual = (1, 1)
                            row.setdefault(f"{kind}, number", []).append(sent)
                        row.setdefault(kind, []).append(served / sent / (usual[1] / usual[0]))
    return {
        variant: {kind: round(statistics.median(shares), 3) for kind, shares in row.items()}
        for variant, row in kept_shares.items()
    }


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--times", type=float, default=5.9)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--one-caller", action="store_true", help="all surge requests come from one caller")
    parser.add_argument("--heed", action="store_true", help="a rejected caller comes back once, at its retry time")
    parser.add_argument("--out", type=Path, help="write the result to this file as JSON")
    options = parser.parse_args()
    kept_shares = await measure(options.times, options.one_caller, options.heed, options.seconds, options.rounds)
    print(json.dumps(kept_shares, indent=1))
    if options.out:
        row = {"times": options.times, "one_caller": options.one_caller, "heed": options.heed, "kept": kept_shares}
        options.out.write_text(json.dumps(row, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main())
