"""Cost of replication: keyed writes and reads with copies on and off, in one run.

    python benchmarks/copies_cost.py --out benchmarks/results/copies_cost.json

Fleets of five members run at the same time, one without copies. Phases alternate between them, so that disturbances
of the machine affect all fleets. Delays and CPU are measured at an even rate. Throughput is measured with enough
callers to saturate the members, which are bound to two cores so that they are the bottleneck and not the callers.
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
USAGE_ENABLED = "usage: {enabled: true, folder: usage}\n"
VARIANTS: dict[str, tuple[str | None, str]] = {  # the settings of copies, and the rest of the operators' file
    "off": (None, ""),
    "on": ("  copies: 3\n", ""),
    "power-cut": ("  durability: power-cut\n", ""),
    "booked-off": (None, USAGE_ENABLED),
    "booked-on": ("  copies: 3\n", USAGE_ENABLED),
}
PLATFORM = {"tenants": [{"name": club, "quotaPerS": 100_000.0} for club in CLUBS]}
KEYED_CLASS, READ_CLASS = "submit-time", "standings"
request_numbers = itertools.count(1)


def cpu_s(fleet: Fleet) -> float:
    """Return the CPU seconds that all members have used."""
    used_ticks = 0
    for member in fleet.members.values():
        assert member.process is not None
        fields = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
        used_ticks += int(fields[11]) + int(fields[12])
    return used_ticks / os.sysconf("SC_CLK_TCK")


class Callers:
    """Callers with persistent connections, spread over all members."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self.ports = [member.ports["http"] for member in fleet.members.values()]
        self.count, self.delays, self.statuses = count, list[float](), dict[int, int]()

    async def run(self, class_name: str, seconds: float, interval_s: float) -> float:
        """Send requests for ``seconds``, one per ``interval_s`` and caller; return the served requests per second.

        With an interval of 0 each caller sends its next request once it has an answer.
        """
        deadline_s = time.perf_counter() + seconds
        await asyncio.gather(
            *(self._run_caller(number, class_name, deadline_s, interval_s) for number in range(self.count))
        )
        return self.statuses.get(200, 0) / seconds

    async def _run_caller(self, number: int, class_name: str, deadline_s: float, interval_s: float) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[number % len(self.ports)])
        next_s = time.perf_counter() + interval_s * number / self.count
        while (now := time.perf_counter()) < deadline_s:
            if interval_s and next_s > now:
                await asyncio.sleep(next_s - now)
            next_s += interval_s
            rid = f"{next(request_numbers):016x}"
            began_s = time.perf_counter()
            writer.write(
                http_request(class_name, b"12:01.5", request_fields(rid, next(iter(CLUBS)), class_name, number))
            )
            status, _, keep_alive = await read_reply(reader)
            self.delays.append((time.perf_counter() - began_s) * 1000)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if not keep_alive:
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[number % len(self.ports)])
        writer.close()


def percentile(values: list[float], share: float) -> float:
    """Return the quantile ``share`` of the values."""
    return sorted(values)[int(len(values) * share)]


async def run_phase(fleet: Fleet, class_name: str, seconds: float, saturated: bool) -> dict[str, float]:
    """Load a fleet for a phase, to saturation or at an even rate; return the figures."""
    callers = Callers(fleet, 60 if saturated else 20)
    cpu_before_s = cpu_s(fleet)
    for member in fleet.members.values():  # the stand-ins' records are not needed here and would slow them
        member.pool.spawned.clear()
    rate = await callers.run(class_name, seconds, 0.0 if saturated else 0.1)
    served = max(1, callers.statuses.get(200, 0))
    fleet.events.clear()
    return {
        "rate": rate,
        "p50_ms": median(callers.delays),
        "p99_ms": percentile(callers.delays, 0.99),
        "cpu_us": (cpu_s(fleet) - cpu_before_s) / served * 1e6,
        "served_share": served / max(1, len(callers.delays)),
    }


async def measure_traffic(folder: Path, writes: int = 400) -> dict[str, float]:
    """Return the bytes between members per keyed write, in both directions and without heartbeats.

    Proxies on the links count them.
    """
    async with Fleet(folder, HALLS, "  copies: 3\n", took_ms=1.0, cores=64, platform=PLATFORM) as fleet:
        await fleet.wait_until_linked()

        def passed_bytes() -> int:
            return sum(link.passed_bytes for link in fleet.links.values())

        bytes_before = passed_bytes()
        began_s = time.monotonic()
        await asyncio.sleep(2.0)
        heartbeat_bytes_per_s = (passed_bytes() - bytes_before) / (time.monotonic() - began_s)
        bytes_before, began_s = passed_bytes(), time.monotonic()
        for number in range(writes):
            await fleet.send_request(list(fleet.members)[number % 5], f"b{number}")
        return {
            "bytes_a_write": round(
                (passed_bytes() - bytes_before - heartbeat_bytes_per_s * (time.monotonic() - began_s)) / writes, 1
            ),
            "bytes_a_second_at_rest": round(heartbeat_bytes_per_s, 1),
        }


async def measure(seconds: float, turns: int, names: list[str]) -> dict[str, Any]:
    """Measure the variants by name and compare each with the first."""
    with tempfile.TemporaryDirectory(prefix="flintshift-cost-") as name:
        fleets: dict[str, Fleet] = {}
        try:
            for variant in names:
                copies, other_settings = VARIANTS[variant]
                fleet = Fleet(
                    Path(name) / variant,
                    HALLS,
                    copies,
                    took_ms=1.0,
                    cores=64,
                    platform=PLATFORM,
                    direct=True,
                    extra_settings=other_settings,
                )
                await fleet.__aenter__()
                await fleet.wait_until_linked()
                fleets[variant] = fleet
            figures: dict[str, dict[str, list[dict[str, float]]]] = {variant: {} for variant in names}
            cores = sorted(os.sched_getaffinity(0))
            for phase_name, class_name, saturated in (
                ("keyed", KEYED_CLASS, False),
                ("reads", READ_CLASS, False),
                ("keyed full", KEYED_CLASS, True),
                ("reads full", READ_CLASS, True),
            ):
                for fleet in fleets.values():
                    for member in fleet.members.values():
                        assert member.process is not None
                        os.sched_setaffinity(member.process.pid, cores[:2] if saturated else cores)
                os.sched_setaffinity(0, cores[2:] if saturated else cores)
                for _ in range(turns):
                    for variant, fleet in fleets.items():
                        figures[variant].setdefault(phase_name, []).append(
                            await run_phase(fleet, class_name, seconds, saturated)
                        )
                        await asyncio.sleep(0.3)
            os.sched_setaffinity(0, cores)
        finally:
            for fleet in fleets.values():
                await fleet.__aexit__()
    with tempfile.TemporaryDirectory(prefix="flintshift-cost-") as name:
        link_traffic = await measure_traffic(Path(name))
    result: dict[str, Any] = {
        variant: {
            phase_name: {key: round(median(turn[key] for turn in turn_figures), 3) for key in turn_figures[0]}
            for phase_name, turn_figures in phases.items()
        }
        for variant, phases in figures.items()
    }
    result["links"] = link_traffic
    baseline = result[names[0]]
    result["against_first"] = {
        variant: {
            "reads_p50_more_ms": round(result[variant]["reads"]["p50_ms"] - baseline["reads"]["p50_ms"], 2),
            "reads_p99_more_ms": round(result[variant]["reads"]["p99_ms"] - baseline["reads"]["p99_ms"], 2),
            "keyed_p50_more_ms": round(result[variant]["keyed"]["p50_ms"] - baseline["keyed"]["p50_ms"], 2),
            "keyed_p99_more_ms": round(result[variant]["keyed"]["p99_ms"] - baseline["keyed"]["p99_ms"], 2),
            "keyed_throughput": round(result[variant]["keyed full"]["rate"] / baseline["keyed full"]["rate"], 3),
            "reads_throughput": round(result[variant]["reads full"]["rate"] / baseline["reads full"]["rate"], 3),
        }
        for variant in names[1:]
    }
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4.0, help="duration of a phase")
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument(
        "--variants",
        default="off,on,power-cut",
        help="the others are compared with the first; any of " + ", ".join(VARIANTS),
    )
    parser.add_argument("--out", type=Path, help="also write the result to this file")
    options = parser.parse_args()
    text = json.dumps(asyncio.run(measure(options.seconds, options.turns, options.variants.split(","))), indent=1)
    print(text)
    if options.out:
        options.out.write_text(text + "\n")


if __name__ == "__main__":
    main()
