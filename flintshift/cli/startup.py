"""``flintshift startup``: the progress of a node's start."""

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
@click.option("--json", "as_json", is_flag=True, help="Print the node's status as JSON.")
def status(path: Path, as_json: bool) -> None:
    """Show the start phase of the node whose operators' file gives SOCKET as startup.socket.

    \b
    alone     the node reads its stores and contacts no other process; it does not listen yet
    bound     it listens, and waits for its pool; its health checks fail
    restored  it is ready, and waits for a start permit, where there are any, and until the
              name service accepts a report
    listed    the name service has accepted a report, so callers can find the node
    ramping   it is cold, as its settings define
    steady    the start is complete

    \b
    Exit codes:
      0  the node is ready
      1  the node can't be reached
      2  the command line can't be used
      3  it is not ready: the phase and what it waits for are printed
    """
    report = load_status(
        path,
        "phase",
        "give the socket that is `startup.socket` in the running node's settings file, as the user the node runs as",
    )
    if as_json:
        click.echo(json.dumps(report))
    else:
        pending_text = f", waits for {' and '.join(report['waits_for'])}" if report["waits_for"] else ""
        click.echo(f"{report['phase']} for {report['for_ms'] / 1000:.1f} s{pending_text}")
        for entry in report["entered"]:
            duration_text = f" after {entry['after_ms']} ms" + (
                f" of waiting for {' and '.join(entry['waited_for'])}" if entry["waited_for"] else ""
            )
            click.echo(f"  {entry['phase']:<9}{duration_text}")
        if report["crash_loop_wait_ms"]:
            click.echo(
                f"  before that it delayed its start by {report['crash_loop_wait_ms'] / 1000:.1f} s: it had crashed "
                f"{report['lives_that_ended_badly']} times in a row"
            )
    sys.exit(0 if report["ready"] else 3)
