"""``flintshift startup``: how a node comes up."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from flintshift.cli.status_client import load_status


@click.group()
def startup() -> None:
    """The start of a running node."""


@startup.command()
@click.argument("path", type=click.Path(path_type=Path), metavar="SOCKET")
@click.option("--json", "as_json", is_flag=True, help="Print what the node tells as JSON.")
def status(path: Path, as_json: bool) -> None:
    """Show how far the node has come whose operators' file names SOCKET as startup.socket.

    \b
    alone     it reads its stores and asks nobody for anything; its addresses do not listen yet
    bound     it listens, and waits for its pool; health answers are bad
    restored  it is ready, and waits for a start permit, if there are any, and a report that is taken
    listed    a report was taken; callers come
    ramping   it is cold, as its settings tell
    steady    the start is over

    \b
    Exit codes:
      0  the node is ready
      1  the node can't be reached
      2  the command line can't be used
      3  it is not ready: the phase and what it waits for are printed
    """
    found = load_status(
        path,
        "phase",
        "name the socket that `startup.socket` in the file of a running node names, as the user that the node runs as",
    )
    if as_json:
        click.echo(json.dumps(found))
    else:
        waits = f", waits for {' and '.join(found['waits_for'])}" if found["waits_for"] else ""
        click.echo(f"{found['phase']} for {found['for_ms'] / 1000:.1f} s{waits}")
        for one in found["entered"]:
            waited = f" after {one['after_ms']} ms" + (
                f" of waiting for {' and '.join(one['waited_for'])}" if one["waited_for"] else ""
            )
            click.echo(f"  {one['phase']:<9}{waited}")
        if found["crash_loop_wait_ms"]:
            click.echo(
                f"  before that it stayed away for {found['crash_loop_wait_ms'] / 1000:.1f} s: it had died "
                f"{found['lives_that_ended_badly']} times in a row"
            )
    sys.exit(0 if found["ready"] else 3)
