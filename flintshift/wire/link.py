"""What all links to peers share: how to connect, and the errors that mean that a link is broken."""

from __future__ import annotations

import asyncio
import ipaddress
import socket

import anyio

from flintshift.core.limits import Limits
from flintshift.wire.bounded_stream import BoundedStream, ReceiveBuffer

# Errors that mean that a connection is broken, closed or too slow.
CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
    TimeoutError,
)


class MalformedMessageError(Exception):
    """A peer sent a message that its protocol does not allow."""


async def connect(address: tuple[str, int], limits: Limits) -> BoundedStream:
    """Open a connection to a host and port. It holds at most ``limits.max_line_bytes`` that were not processed yet.

    Raises:
        OSError, TimeoutError: the connection could not be made, or the host name can't be looked up.
    """
    host, port = address
    try:
        with anyio.fail_after(limits.connect_timeout_ms / 1000):
            if _is_ip_address(host):  # its look-up would take a thread on some event loops
                return await _connect_to(host, port, socket.AF_UNSPEC, limits)
            return await _connect_to_any_address(host, port, limits)
    except UnicodeError as error:
        raise OSError(f"{host} is not a valid host name") from error
    except (RuntimeError, ValueError) as error:  # uvloop: the connection was closed while it was made
        raise ConnectionError(f"{host}:{port}: {error}") from error


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


async def _connect_to_any_address(host: str, port: int, limits: Limits) -> BoundedStream:
    """Try the addresses of a host in turn. None of them may use up the time of those after it."""
    loop = asyncio.get_running_loop()
    deadline_s = anyio.current_time() + limits.connect_timeout_ms / 1000
    addresses = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    error: Exception = ConnectionError(f"{host} has no address")
    for position, (family, _, _, _, address) in enumerate(addresses):
        share_s = (deadline_s - anyio.current_time()) / (len(addresses) - position)
        try:
            with anyio.fail_after(share_s):
                return await _connect_to(str(address[0]), port, family, limits)
        except (OSError, RuntimeError) as failure:  # a TimeoutError is an OSError
            error = failure
    raise error


async def _connect_to(host: str, port: int, family: int, limits: Limits) -> BoundedStream:
    buffer = ReceiveBuffer(limits.max_line_bytes)
    transport, _ = await asyncio.get_running_loop().create_connection(lambda: buffer, host, port, family=family)
    return BoundedStream(transport, buffer)
