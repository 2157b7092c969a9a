"""``flintshift lab``: simulations of fleets that run this program's own state machines on a simulated clock."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

import click

# Per fault: outage of the list service in s, seconds within which all nodes start, whether the service collapses.
FAULTS = {
    "outage": (8.0, 1.0, False),
    "long-outage": (60.0, 1.0, False),
    "collapse": (0.0, 1.0, True),
    "together": (0.0, 0.0, False),
    "none": (0.0, 1.0, False),
}


@click.group()
def lab() -> None:
    """Simulations of fleets too large for one machine, run by the same state machines as in real nodes."""


@lab.command()
@click.option("--nodes", type=click.IntRange(1, 100_000), default=300, show_default=True)
@click.option(
    "--fault",
    type=click.Choice(list(FAULTS)),
    default="outage",
    show_default=True,
    help="outage, long-outage: the list service is down for 8 s, or 60 s, from 10 s after the start. collapse: "
    "it collapses at that time. together: all nodes start at the same moment. none: they start within a second, "
    "and nothing else happens.",
)
@click.option(
    "--capacity",
    type=click.FloatRange(0.1, 100.0),
    default=1.3,
    show_default=True,
    help="Capacity of the list service, as a multiple of the steady load of the fleet.",
)
@click.option(
    "--longest-wait",
    type=click.FloatRange(100.0, 600_000.0),
    metavar="MS",
    help="Longest wait between two tries, instead of the 2800 ms of real nodes.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="The same seed gives the same run.")
@click.option(
    "--seeds",
    type=click.IntRange(1, 1000),
    default=1,
    show_default=True,
    help="Number of seeds to run, from --seed on.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
@click.option(
    "--plot",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="FILE",
    help="Plot calls per second over time into this file (PNG, SVG or PDF; needs matplotlib, the extra "
    "`flintshift[plot]`).",
)
def coldstart(
    nodes: int,
    fault: str,
    capacity: float,
    longest_wait: float | None,
    seed: int,
    seeds: int,
    as_json: bool,
    plot: Path | None,
) -> None:
    """Simulate the load on the list service during a cold start of many nodes, and during its outage.

    The service handles CAPACITY times the steady load. Above that it is slow, above 1.2 times that it rejects
    calls, and after a second of rejections it collapses until the load has been under a third for 2 s. For
    comparison, the same is run with an earlier version of the reports that did not randomize its timing: fixed
    periods, and tries every 100 ms.

    \b
    Exit codes:
      0  the service did not collapse
      1  the plot can't be drawn
      2  the command line can't be used
      3  it collapsed, or not all nodes came back on the list
    """
    from flintshift.lab.cold_start import World, run

    outage_s, start_s, collapse = FAULTS[fault]
    results, worlds = [], list[tuple[str, World]]()
    with click.progressbar(range(seed, seed + seeds), label="runs", file=sys.stderr, hidden=as_json) as seed_range:
        for run_seed in seed_range:
            for version, is_earlier_version in (("now", False), ("before", True)):
                world = World(
                    nodes,
                    run_seed,
                    capacity,
                    start_s * 1000,
                    outage_s,
                    is_earlier_version,
                    collapse,
                    None if is_earlier_version else longest_wait,
                )
                results.append({"version": version, "seed": run_seed, **asdict(run(world))})
                if run_seed == seed:
                    worlds.append((version, world))
    if plot is not None:
        _write_plot(plot, worlds, nodes, fault)
    if as_json:
        click.echo(json.dumps({"nodes": nodes, "fault": fault, "capacity": capacity, "plays": results}))
    else:
        click.echo(
            f"{nodes} nodes; in steady state the list service gets {results[0]['steady_per_s']:.0f} calls per second. "
            "Peak calls in 100 ms, as a multiple of that:"
        )
        click.echo(
            f"{'version':<9}{'seed':>5}{'at the start':>14}{'after outage':>15}{'collapses':>11}"
            f"{'95% listed after':>18}{'load at the end':>17}"
        )
        for result in results:
            listed = f"{result['listed_ms'] / 1000:.1f} s" if result["listed_ms"] is not None else "never"
            click.echo(
                f"{result['version']:<9}{result['seed']:>5}{result['peak_start']:>14.2f}{result['peak_back']:>15.2f}"
                f"{result['collapses']:>11}{listed:>18}{result['load_at_end']:>17.2f}"
            )
    current_results = [one for one in results if one["version"] == "now"]
    sys.exit(3 if any(one["collapses"] or one["listed_ms"] is None for one in current_results) else 0)


def _write_plot(path: Path, worlds: list, nodes: int, fault: str) -> None:
    """Plot the calls per second of each simulated version into ``path``; exit with 1 if that is not possible."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        click.echo("flintshift: a plot needs matplotlib: install flintshift[plot]", err=True)
        sys.exit(1)
    figure = Figure(figsize=(9.0, 4.5), layout="constrained")
    axes = figure.add_subplot()
    for version, world in reversed(worlds):
        bins = world.service.bins
        axes.plot(
            [number / 10 for number in range(max(bins) + 1)],
            [10 * bins.get(number, 0) for number in range(max(bins) + 1)],
            label=version,
            linewidth=1.0,
        )
    world = worlds[0][1]
    axes.axhline(world.steady_per_s, color="grey", linestyle=":", label="steady load")
    axes.axhline(world.service.per_s, color="black", linestyle="--", linewidth=0.8, label="capacity")
    if world.down_ms[1] > world.down_ms[0]:
        axes.axvspan(world.down_ms[0] / 1000, world.down_ms[1] / 1000, color="mistyrose", label="outage")
    axes.set(
        title=f"{nodes} nodes, {fault}", xlabel="seconds", ylabel="calls per second to the list service", yscale="log"
    )
    axes.legend(fontsize="small")
    try:
        figure.savefig(path, dpi=120)
    except (OSError, ValueError) as error:
        click.echo(f"flintshift: {path}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{path}: written", err=True)
