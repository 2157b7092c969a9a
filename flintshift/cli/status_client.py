"""Client of a running node's status sockets (Unix sockets), shared by the commands that read them."""

from __future__ import annotations

import json
import socket
import sys
import time
from pathlib import Path
from typing import Any

import click

from flintshift.wire.unix import short_socket_path

TIMEOUT_S = 5.0  # for connecting, and for reading the whole response
MAX_RESPONSE_BYTES = 16 << 20


def query_status(path: Path) -> bytes:
    """Read the whole response of the node that listens on the Unix socket ``path``.

    Raises:
        OSError: nothing listens there, the response takes too long, or it is too large to come from a node.
    """
    deadline_s, response = time.monotonic() + TIMEOUT_S, b""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection, short_socket_path(path) as name:
        connection.settimeout(TIMEOUT_S)
        connection.connect(name)
        while chunk := connection.recv(65_536):
            response += chunk
            if len(response) > MAX_RESPONSE_BYTES or time.monotonic() > deadline_s:
                raise OSError(f"the response does not end in time or is too large ({len(response):,} B)")
    return response


def load_status(path: Path, key: str, advice: str) -> dict[str, Any]:
    """Return the node's status, a JSON object with ``key``; else print the error and the advice, and exit with 1."""
    try:
        status: dict[str, Any] = json.loads(query_status(path))
        status[key]
    except (OSError, ValueError, KeyError, TypeError) as error:
        click.echo(f"flintshift: {path}: {error}: {advice}", err=True)
        sys.exit(1)
    return status
