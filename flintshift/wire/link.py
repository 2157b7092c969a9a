"""What all links to peers share: how to connect, and the errors that mean that a link is broken."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from flintshift.core.limits import Limits

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


async def connect(address: tuple[str, int], limits: Limits) -> SocketStream:
    """Open a connection to a host and port.

    Raises:
        OSError, TimeoutError: the connection could not be made, or the host name can't be looked up.
    """
    try:
        with anyio.fail_after(limits.connect_timeout_ms / 1000):
            return await anyio.connect_tcp(*address)
    except UnicodeError as error:
        raise OSError(f"{address[0]} is not a valid host name") from error
    except RuntimeError as error:  # uvloop: the connection was closed while it was made
        raise ConnectionError(f"{address[0]}:{address[1]}: {error}") from error
    except ExceptionGroup as errors:  # the same errors, raised by the tasks that connect
        known, unknown = errors.split((OSError, RuntimeError))
        if unknown is not None:
            raise
        raise ConnectionError(f"{address[0]}:{address[1]}: {known}") from errors
