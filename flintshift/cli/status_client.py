"""What the commands that ask a running node at a Unix socket share."""

from __future__ import annotations

import json
import socket
import sys
import time
from pathlib import Path
from typing import Any

import click

from flintshift.wire.unix import short_socket_path

WITHIN_S = 5.0
MOST = 16 << 20  # bytes


def query_status(path: Path) -> bytes:
    """What the node tells at its socket.

    Raises:
        OSError: nobody listens there, it takes too long, or what listens tells too much to be a node.
    """
    until, data = time.monotonic() + WITHIN_S, b""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as raw, short_socket_path(path) as name:
        raw.settimeout(WITHIN_S)
        raw.connect(name)
        while more := raw.recv(65_536):
            data += more
            if len(data) > MOST or time.monotonic() > until:
                raise OSError(f"what listens there does not end its answer ({len(data):,} B)")
    return data


def load_status(path: Path, key: str, advice: str) -> dict[str, Any]:
    """The same as JSON with this key; else the command ends with 1 and says what to do."""
    try:
        found: dict[str, Any] = json.loads(query_status(path))
        found[key]
    except (OSError, ValueError, KeyError, TypeError) as error:
        click.echo(f"flintshift: {path}: {error}: {advice}", err=True)
        sys.exit(1)
    return found
