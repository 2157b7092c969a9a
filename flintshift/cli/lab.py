"""``flintshift lab``: experiments on fleets of this program's own hearts, on a clock of their own."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

import click

# Name: seconds of outage of the list service, seconds within which all nodes start, and whether it collapses.
FAULTS = {
    "outage": (8.0, 1.0, False),
    "long-outage": (60.0, 1.0, False),
    "collapse": (0.0, 1.0, True),
    "together": (0.0, 0.0, False),
    "none": (0.0, 1.0, False),
}


@click.group()
def lab() -> None:
    """Experiments: fleets too large for one machine, played by the hearts that run in the nodes."""


@lab.command()
@click.option("--nodes", type=click.IntRange(1, 100_000), default=300, show_default=True)
@click.option(
    "--fault",
    type=click.Choice(list(FAULTS)),
    default="outage",
    show_default=True,
    help="outage, long-outage: the list service is away for 8 s, or 60 s, 10 s after the start. collapse: "
    "it collapses then. together: all nodes start in one moment. none: they start within a second, and "
    "nothing more happens.",
)
@click.option(
    "--capacity",
    type=click.FloatRange(0.1, 100.0),
    default=1.3,
    show_default=True,
    help="Of the list service, in times of what the fleet needs when all is well.",
)
@click.option(
    "--longest-wait",
    type=click.FloatRange(100.0, 600_000.0),
    metavar="MS",
    help="Between two tries, in place of the 2800 of the nodes.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="The same seed plays the same.")
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True, help="So many, from --seed on.")
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
@click.option(
    "--plot",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="FILE",
    help="Draw calls a second over time into this file (PNG, SVG or PDF; needs matplotlib, the extra "
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
    """A cold start, and an outage of the list service, of many simulated nodes: what that service meets.

    It takes CAPACITY times the steady load; past that it is slow, past 1.2 times that it turns calls away, and a
    second of that collapses it until the load has been under a third for 2 s. Beside it the same with the reports of
    the version that drew nothing: fixed periods, and tries each 100 ms.

    \b
    Exit codes:
      0  the service did not collapse
      1  the plot can't be drawn
      2  the command line can't be used
      3  it collapsed, or not all nodes came back on the list
    """
    from flintshift.lab.cold_start import World, run

    outage_s, start_s, collapse = FAULTS[fault]
    told, worlds = [], list[tuple[str, World]]()
    with click.progressbar(range(seed, seed + seeds), label="plays", file=sys.stderr, hidden=as_json) as numbers:
        for number in numbers:
            for version, before in (("now", False), ("before", True)):
                world = World(
                    nodes,
                    number,
                    capacity,
                    start_s * 1000,
                    outage_s,
                    before,
                    collapse,
                    None if before else longest_wait,
                )
                told.append({"version": version, "seed": number, **asdict(run(world))})
                if number == seed:
                    worlds.append((version, world))
    if plot is not None:
        _draw(plot, worlds, nodes, fault)
    if as_json:
        click.echo(json.dumps({"nodes": nodes, "fault": fault, "capacity": capacity, "plays": told}))
    else:
        click.echo(
            f"{nodes} nodes; all well, the list service meets {told[0]['steady_per_s']:.0f} calls a second. "
            "Calls of the worst 100 ms, in times of that:"
        )
        click.echo(
            f"{'version':<9}{'seed':>5}{'at the start':>14}{'at the return':>15}{'collapses':>11}"
            f"{'95% listed after':>18}{'load at the end':>17}"
        )
        for one in told:
            listed = f"{one['listed_ms'] / 1000:.1f} s" if one["listed_ms"] is not None else "never"
            click.echo(
                f"{one['version']:<9}{one['seed']:>5}{one['peak_start']:>14.2f}{one['peak_back']:>15.2f}"
                f"{one['collapses']:>11}{listed:>18}{one['load_at_end']:>17.2f}"
            )
    now = [one for one in told if one["version"] == "now"]
    sys.exit(3 if any(one["collapses"] or one["listed_ms"] is None for one in now) else 0)


def _draw(path: Path, worlds: list, nodes: int, fault: str) -> None:
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
    axes.axhline(world.steady_per_s, color="grey", linestyle=":", label="what the fleet needs")
    axes.axhline(world.service.per_s, color="black", linestyle="--", linewidth=0.8, label="capacity")
    if world.down_ms[1] > world.down_ms[0]:
        axes.axvspan(world.down_ms[0] / 1000, world.down_ms[1] / 1000, color="mistyrose", label="the service is away")
    axes.set(
        title=f"{nodes} nodes, {fault}", xlabel="seconds", ylabel="calls a second to the list service", yscale="log"
    )
    axes.legend(fontsize="small")
    try:
        figure.savefig(path, dpi=120)
    except (OSError, ValueError) as error:
        click.echo(f"flintshift: {path}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{path}: drawn", err=True)
