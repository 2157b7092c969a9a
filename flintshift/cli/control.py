"""``flintshift control``: the calls of a node's control endpoint."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable

import click

from flintshift.settings import units

TIMEOUT_S = 2.0  # twice the 1 s within which a node answers


def find_control_address(at: str | None) -> str:
    """Return HOST:PORT of the control endpoint: from ``at``, from LB_CONTROL, or from the file that LB_CONFIG names."""
    configured = at or os.environ.get("LB_CONTROL")
    path = os.environ.get("LB_CONFIG")
    if not configured and path:
        try:
            with open(path, encoding="utf-8") as file:
                configured = json.load(file).get("control")
        except (OSError, ValueError, AttributeError) as error:
            raise click.UsageError(f"{path}: {error}") from error
    if not configured:
        raise click.UsageError("name the control address by --at HOST:PORT, LB_CONTROL or LB_CONFIG")
    try:
        host, port = units.parse_address(str(configured))
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    return f"{host}:{port}" if ":" not in host else f"[{host}]:{port}"


def call_control(at: str | None, method: str, name: str) -> None:
    """Send the call ``name`` to the control endpoint, print the reply and exit: 0 yes, 1 unreachable, 3 no."""
    import httpx

    url = f"http://{find_control_address(at)}/control/{name}"
    try:
        reply = httpx.request(method, url, timeout=TIMEOUT_S, trust_env=False)
    except httpx.HTTPError as error:
        click.echo(f"flintshift: {url}: {str(error) or type(error).__name__}", err=True)
        sys.exit(1)
    click.echo(reply.text.strip())
    sys.exit(0 if reply.is_success else 3)


@click.group()
def control() -> None:
    """Ask a running node whether it is ready, take it out of service, or put it back into service.

    \b
    Exit codes:
      0  yes
      1  the node can't be reached, or did not answer within 2 s
      2  the command line can't be used
      3  no: the reason is printed
    """


def add_command(name: str, method: str, help_text: str) -> Callable[..., None]:
    """Add a subcommand that sends the call ``name`` with this HTTP method."""

    @control.command(name, help=help_text)
    @click.option("--at", metavar="HOST:PORT", help="The control address; else LB_CONTROL, else LB_CONFIG's `control`.")
    def command(at: str | None) -> None:
        call_control(at, method, name)

    return command


add_command(
    "ready", "GET", "Report whether this process accepts clients: its pool is linked, it listens, and it is in service."
)
add_command(
    "out-of-service",
    "POST",
    "Take the node out of service: its health checks fail from now on, and requests that arrive are answered as "
    "before. This state outlasts upgrades and ends with `in-service`. Calling it twice changes nothing.",
)
add_command(
    "in-service",
    "POST",
    "Put the node back into service: its health checks succeed as long as the node itself is healthy.",
)
