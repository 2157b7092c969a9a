"""``flintshift door``: the fair queues of a running node."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from flintshift.cli.status_client import load_status

# Heading, width, and how a club's entry is written.
COLUMNS: tuple[tuple[str, int, Callable[[dict[str, Any]], str]], ...] = (
    ("cores", 7, lambda one: f"{one['cores']:.2f}"),
    ("served s", 11, lambda one: f"{one['served_ms'] / 1000:.1f}"),
    ("ahead ms", 10, lambda one: f"{one['ahead_ms']:.0f}"),
    ("asked", 10, lambda one: str(one["asked"])),
    ("away", 10, lambda one: str(one["turned_away"])),
    ("not paid", 10, lambda one: str(one["not_paid"])),
    ("waiting", 9, lambda one: str(one["waiting"])),
    ("waiting ms", 12, lambda one: f"{one['waiting_ms']:.0f}"),
    ("callers", 9, lambda one: str(one["callers"])),
    ("promised", 10, lambda one: str(one["promised"])),
)


@click.group()
def door() -> None:
    """The fair queues at the door of a running node."""


@door.command()
@click.argument("path", type=click.Path(path_type=Path), metavar="SOCKET")
@click.option("--json", "as_json", is_flag=True, help="Print what the node tells as JSON.")
def show(path: Path, as_json: bool) -> None:
    """Show how the clubs stand at the node whose operators' file names SOCKET as door.socket.

    \b
    cores       the club's share of them
    served s    time on cores that its runs took since the start
    ahead ms    how long, at its share, it was served past the club served least of those that wait
    asked       requests since the start; away, of these, were turned away; not paid are
                further tries past the budget that first tries fill
    waiting     requests that wait, and their time at the club's share
    callers     that are known by number (64 at most; all others share)
    promised    places that are kept for callers who were told a time

    \b
    Exit codes:
      0  done
      1  the node can't be reached
      2  the command line can't be used
    """
    found = load_status(
        path,
        "clubs",
        "name the socket that `door.socket` in the file of a running node names, as the user that the node runs as",
    )
    clubs = found["clubs"]
    if as_json:
        click.echo(json.dumps(found))
        return
    click.echo(f"{'club':<22}" + "".join(f"{name:>{width}}" for name, width, _ in COLUMNS))
    for one in sorted(clubs, key=lambda one: -one["waiting_ms"]):
        click.echo(f"{one['club'] or '(others)':<22.22}" + "".join(f"{of(one):>{width}}" for _, width, of in COLUMNS))
    click.echo(
        f"tables: {found['places']:,} entries of {found['most_places']:,}, at the most "
        f"{found['bytes_at_most'] / 1024:,.0f} KiB"
    )
