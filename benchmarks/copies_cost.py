"""What copies cost: keyed writes and reads with copies on against off, in one run.

    python benchmarks/copies_cost.py --out benchmarks/results/copies_cost.json

Fleets of five members stand beside each other, one without copies; phases alternate between them, so that whatever
the machine does meets all. Delays and CPU are measured at an even rate, throughput with as many callers as fill the
members, which are held to two cores so that they are what is full, not the callers.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flintshift.lab.callers import http_request, read_reply, request_fields  # noqa: E402
from flintshift.lab.fleet import Fleet  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
BOOKED = "usage: {enabled: true, folder: usage}\n"
VARIANTS: dict[str, tuple[str | None, str]] = {  # of copies, and of the rest of the operators' file
    "off": (None, ""),
    "on": ("  copies: 3\n", ""),
    "power-cut": ("  durability: power-cut\n", ""),
    "booked-off": (None, BOOKED),
    "booked-on": ("  copies: 3\n", BOOKED),
}
PLATFORM = {"tenants": [{"name": club, "quotaPerS": 100_000.0} for club in CLUBS]}
KEYED, READ = "submit-time", "standings"
ids = itertools.count(1)


def cpu_s(fleet: Fleet) -> float:
    """Of all members."""
    used = 0
    for member in fleet.members.values():
        assert member.process is not None
        fields = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
        used += int(fields[11]) + int(fields[12])
    return used / os.sysconf("SC_CLK_TCK")


class Callers:
    """Connections to all members that stay."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self.ports = [member.ports["http"] for member in fleet.members.values()]
        self.count, self.delays, self.statuses = count, list[float](), dict[int, int]()

    async def play(self, class_name: str, seconds: float, every_s: float) -> float:
        """Ask for so long; ``every_s`` 0: each as soon as it is answered. Returns served requests a second."""
        until = time.perf_counter() + seconds
        await asyncio.gather(*(self._one(number, class_name, until, every_s) for number in range(self.count)))
        return self.statuses.get(200, 0) / seconds

    async def _one(self, number: int, class_name: str, until: float, every_s: float) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[number % len(self.ports)])
        due = time.perf_counter() + every_s * number / self.count
        while (now := time.perf_counter()) < until:
            if every_s and due > now:
                await asyncio.sleep(due - now)
            due += every_s
            rid = f"{next(ids):016x}"
            began = time.perf_counter()
            writer.write(
                http_request(class_name, b"12:01.5", request_fields(rid, next(iter(CLUBS)), class_name, number))
            )
            status, _, stays = await read_reply(reader)
            self.delays.append((time.perf_counter() - began) * 1000)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if not stays:
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[number % len(self.ports)])
        writer.close()


def percentile(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


async def phase(fleet: Fleet, class_name: str, seconds: float, full: bool) -> dict[str, float]:
    callers = Callers(fleet, 60 if full else 20)
    used = cpu_s(fleet)
    for member in fleet.members.values():  # what the stand-ins remember would slow them, and is asked for by nobody
        member.pool.spawned.clear()
    rate = await callers.play(class_name, seconds, 0.0 if full else 0.1)
    served = max(1, callers.statuses.get(200, 0))
    fleet.events.clear()
    return {
        "rate": rate,
        "p50_ms": median(callers.delays),
        "p99_ms": percentile(callers.delays, 0.99),
        "cpu_us": (cpu_s(fleet) - used) / served * 1e6,
        "served_share": served / max(1, len(callers.delays)),
    }


async def traffic(folder: Path, writes: int = 400) -> dict[str, float]:
    """Bytes between members for a keyed write, both ways and their beats left out, by proxies on the links."""
    async with Fleet(folder, HALLS, "  copies: 3\n", took_ms=1.0, cores=64, platform=PLATFORM) as fleet:
        await fleet.until_linked()

        def passed() -> int:
            return sum(link.passed for link in fleet.links.values())

        before = passed()
        began = time.monotonic()
        await asyncio.sleep(2.0)
        beats = (passed() - before) / (time.monotonic() - began)
        before, began = passed(), time.monotonic()
        for number in range(writes):
            await fleet.ask(list(fleet.members)[number % 5], f"b{number}")
        return {
            "bytes_a_write": round((passed() - before - beats * (time.monotonic() - began)) / writes, 1),
            "bytes_a_second_at_rest": round(beats, 1),
        }


async def measure(seconds: float, turns: int, names: list[str]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="flintshift-cost-") as name:
        fleets: dict[str, Fleet] = {}
        try:
            for variant in names:
                copies, more = VARIANTS[variant]
                fleet = Fleet(
                    Path(name) / variant,
                    HALLS,
                    copies,
                    took_ms=1.0,
                    cores=64,
                    platform=PLATFORM,
                    direct=True,
                    more=more,
                )
                await fleet.__aenter__()
                await fleet.until_linked()
                fleets[variant] = fleet
            found: dict[str, dict[str, list[dict[str, float]]]] = {variant: {} for variant in names}
            cores = sorted(os.sched_getaffinity(0))
            for what, class_name, full in (
                ("keyed", KEYED, False),
                ("reads", READ, False),
                ("keyed full", KEYED, True),
                ("reads full", READ, True),
            ):
                for fleet in fleets.values():
                    for member in fleet.members.values():
                        assert member.process is not None
                        os.sched_setaffinity(member.process.pid, cores[:2] if full else cores)
                os.sched_setaffinity(0, cores[2:] if full else cores)
                for _ in range(turns):
                    for variant, fleet in fleets.items():
                        found[variant].setdefault(what, []).append(await phase(fleet, class_name, seconds, full))
                        await asyncio.sleep(0.3)
            os.sched_setaffinity(0, cores)
        finally:
            for fleet in fleets.values():
                await fleet.__aexit__()
    with tempfile.TemporaryDirectory(prefix="flintshift-cost-") as name:
        links = await traffic(Path(name))
    told: dict[str, Any] = {
        variant: {
            what: {key: round(median(one[key] for one in turned), 3) for key in turned[0]}
            for what, turned in kinds.items()
        }
        for variant, kinds in found.items()
    }
    told["links"] = links
    off = told[names[0]]
    told["against_first"] = {
        variant: {
            "reads_p50_more_ms": round(told[variant]["reads"]["p50_ms"] - off["reads"]["p50_ms"], 2),
            "reads_p99_more_ms": round(told[variant]["reads"]["p99_ms"] - off["reads"]["p99_ms"], 2),
            "keyed_p50_more_ms": round(told[variant]["keyed"]["p50_ms"] - off["keyed"]["p50_ms"], 2),
            "keyed_p99_more_ms": round(told[variant]["keyed"]["p99_ms"] - off["keyed"]["p99_ms"], 2),
            "keyed_throughput": round(told[variant]["keyed full"]["rate"] / off["keyed full"]["rate"], 3),
            "reads_throughput": round(told[variant]["reads full"]["rate"] / off["reads full"]["rate"], 3),
        }
        for variant in names[1:]
    }
    return told


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4.0, help="of a phase")
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument(
        "--variants", default="off,on,power-cut", help="the others are held against the first of " + ", ".join(VARIANTS)
    )
    parser.add_argument("--out", type=Path, help="write the result here too")
    given = parser.parse_args()
    text = json.dumps(asyncio.run(measure(given.seconds, given.turns, given.variants.split(","))), indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
