"""``flintshift door``: the fair queues of a running node."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from flintshift.cli.status_client import load_status

# Heading, width in characters, and the formatter of a club's entry.
COLUMNS: tuple[tuple[str, int, Callable[[dict[str, Any]], str]], ...] = (
    ("cores", 7, lambda club: f"{club['cores']:.2f}"),
    ("served s", 11, lambda club: f"{club['served_ms'] / 1000:.1f}"),
    ("ahead ms", 10, lambda club: f"{club['ahead_ms']:.0f}"),
    ("asked", 10, lambda club: str(club["asked"])),
    ("away", 10, lambda club: str(club["turned_away"])),
    ("not paid", 10, lambda club: str(club["not_paid"])),
    ("waiting", 9, lambda club: str(club["waiting"])),
    ("waiting ms", 12, lambda club: f"{club['waiting_ms']:.0f}"),
    ("callers", 9, lambda club: str(club["callers"])),
    ("promised", 10, lambda club: str(club["promised"])),
)


@click.group()
def door() -> None:
    """The fair queues of a running node."""


@door.command()
@click.argument("path", type=click.Path(path_type=Path), metavar="SOCKET")
@click.option("--json", "as_json", is_flag=True, help="Print the node's status as JSON.")
def show(path: Path, as_json: bool) -> None:
    """Show each club's state in the fair queues of the node whose operators' file gives SOCKET as door.socket.

    \b
    cores       the club's share of the cores
    served s    core time that the club's runs took since the start
    ahead ms    time, at its share, by which the club was served more than the least
                served of the clubs with waiting requests
    asked       requests since the start
    away        those of the requests that were rejected
    not paid    further tries beyond the budget that first tries fill
    waiting     waiting requests, and in waiting ms their time at the club's share
    callers     callers that are tracked by number (64 at most; all others share an entry)
    promised    places that are reserved for callers who were given a retry time

    \b
    Exit codes:
      0  done
      1  the node can't be reached
      2  the command line can't be used
    """
    status = load_status(
        path,
        "clubs",
        "give the socket that is `door.socket` in the running node's settings file, as the user the node runs as",
    )
    clubs = status["clubs"]
    if as_json:
        click.echo(json.dumps(status))
        return
    click.echo(f"{'club':<22}" + "".join(f"{heading:>{width}}" for heading, width, _ in COLUMNS))
    for club in sorted(clubs, key=lambda club: -club["waiting_ms"]):
        click.echo(
            f"{club['club'] or '(others)':<22.22}"
            + "".join(f"{format_value(club):>{width}}" for _, width, format_value in COLUMNS)
        )
    click.echo(
        f"tables: {status['places']:,} entries of {status['most_places']:,}, at most "
        f"{status['bytes_at_most'] / 1024:,.0f} KiB"
    )
