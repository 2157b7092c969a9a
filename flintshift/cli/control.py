"""``flintshift control``: the calls of a node's control door."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable

import click

from flintshift.settings import units

WITHIN_S = 2.0  # a node answers within 1 s


def address(at: str | None) -> str:
    """Where the door is: as named, or by LB_CONTROL, or by the file that LB_CONFIG names."""
    found = at or os.environ.get("LB_CONTROL")
    path = os.environ.get("LB_CONFIG")
    if not found and path:
        try:
            with open(path, encoding="utf-8") as file:
                found = json.load(file).get("control")
        except (OSError, ValueError, AttributeError) as error:
            raise click.UsageError(f"{path}: {error}") from error
    if not found:
        raise click.UsageError("name the control address by --at HOST:PORT, LB_CONTROL or LB_CONFIG")
    try:
        host, port = units.parse_address(str(found))
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    return f"{host}:{port}" if ":" not in host else f"[{host}]:{port}"


def call(at: str | None, method: str, name: str) -> None:
    import httpx

    url = f"http://{address(at)}/control/{name}"
    try:
        reply = httpx.request(method, url, timeout=WITHIN_S, trust_env=False)
    except httpx.HTTPError as error:
        click.echo(f"flintshift: {url}: {str(error) or type(error).__name__}", err=True)
        sys.exit(1)
    click.echo(reply.text.strip())
    sys.exit(0 if reply.is_success else 3)


@click.group()
def control() -> None:
    """Ask a running node whether it is ready, empty it, or have it take clients again.

    \b
    Exit codes:
      0  yes
      1  the node can't be reached, or did not answer within 2 s
      2  the command line can't be used
      3  no: the reason is printed
    """


def add(name: str, method: str, text: str) -> Callable[..., None]:
    @control.command(name, help=text)
    @click.option("--at", metavar="HOST:PORT", help="The control address; else LB_CONTROL, else LB_CONFIG's `control`.")
    def command(at: str | None) -> None:
        call(at, method, name)

    return command


add("ready", "GET", "Whether this process takes clients: its pool is linked, it listens, and it is in service.")
add(
    "out-of-service",
    "POST",
    "Empty the node: health checks are bad from now on, all that arrives is answered as "
    "always. It stays so over upgrades until `in-service`. Calling it twice changes nothing.",
)
add("in-service", "POST", "Take clients again: health checks are good, as far as the node itself is well.")
