"""``flintshift``: the operators' command line. The platform starts a node with ``python -m flintshift`` instead."""

from __future__ import annotations

import json
import os
import sys
from functools import partial
from pathlib import Path

import click

from flintshift.cli.control import control
from flintshift.cli.copies import copies, peers
from flintshift.cli.door import door
from flintshift.cli.lab import lab
from flintshift.cli.startup import startup
from flintshift.cli.usage import usage
from flintshift.lifecycle.config import embedded_config, load

EXIT_CODES = """\b
Exit codes:
  0  done, and nothing is wrong
  1  it could not be done: a folder, a socket or a peer does not allow it
  2  the command line or a file can't be used as it is written
  3  done, and something was found or is left: see what was printed
"""


@click.group(epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name="flintshift")
def main() -> None:
    """A results node: it admits requests, decides what to run for each, and records their use in a ledger.

    Start with `flintshift demo`: a node, stand-ins for its peers, and a little traffic, all on this machine.
    """


@main.command(epilog=EXIT_CODES)
@click.option(
    "--settings",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="FILE",
    help="The operators' file (see deploy/flintshift.yaml); without it all its parts are off.",
)
def run(settings: Path | None) -> None:
    """Run one node until SIGTERM.

    Its addresses and settings come from the file that LB_CONFIG names. Without LB_CONFIG it uses embedded defaults:
    callers at 127.0.0.1:8080, a worker pool at 127.0.0.1:9300, a name service at :7946 and a vault at :5432, which
    `flintshift demo --peers-only` provides.
    """
    from flintshift.lifecycle.start import start

    load_config = (
        partial(load, os.environ, settings) if os.environ.get("LB_CONFIG") else partial(embedded_config, settings)
    )
    sys.exit(start(load_config))


@main.command(epilog=EXIT_CODES)
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the faults as a JSON array.")
def check(file: Path, as_json: bool) -> None:
    """Check an operators' FILE and print every fault, with file, line, column, path and the value expected."""
    from dataclasses import asdict, fields

    from flintshift.settings.operators import FaultsError, read_operators_file

    try:
        settings = read_operators_file(file)
    except FaultsError as error:
        if as_json:
            click.echo(json.dumps([asdict(fault) for fault in error.faults]))
        else:
            click.echo(str(error), err=True)
            click.echo(f"{file}: {len(error.faults)} fault{'s' * (len(error.faults) != 1)}", err=True)
        sys.exit(2)
    if as_json:
        click.echo("[]")
    else:
        enabled_parts = [part.name for part in fields(settings) if getattr(settings, part.name) is not None]
        click.echo(f"{file}: good; on: {', '.join(enabled_parts) or 'nothing'}")


@main.command(epilog=EXIT_CODES)
@click.option(
    "--seconds", type=click.FloatRange(0.5, 3600), default=5.0, show_default=True, help="Duration of the traffic."
)
@click.option("--callers", type=click.IntRange(1, 500), default=8, show_default=True)
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    metavar="FOLDER",
    help="Keep the node's files here; without it they are deleted at the end.",
)
@click.option(
    "--peers-only",
    is_flag=True,
    help="Start only the stand-ins, at the ports of the embedded defaults, until "
    "Ctrl-C: for `flintshift run` in another terminal.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def demo(seconds: float, callers: int, keep: Path | None, peers_only: bool, as_json: bool) -> None:
    """Run a node with stand-ins for pool, vault and name service and a little traffic, on loopback.

    The node keeps a usage ledger; at the end the callers' counts are compared with what it recorded.
    """
    from flintshift.lab import demo as lab

    if peers_only:
        sys.exit(lab.run_standins(click.echo))
    result = lab.run(seconds, callers, keep, partial(click.echo, err=True))
    click.echo(json.dumps(result) if as_json else lab.format_result(result))
    sys.exit(0 if result["counted"] == result["booked"] and not result["in_doubt"] else 3)


main.add_command(control)
main.add_command(copies)
main.add_command(door)
main.add_command(lab)
main.add_command(peers)
main.add_command(startup)
main.add_command(usage)
