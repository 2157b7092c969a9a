"""What all links to peers share: addresses, connecting, and the wait before the next try."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from flintshift.core.limits import Limits

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
    """A peer sent what its protocol does not know."""


async def connect(to: tuple[str, int], limits: Limits) -> SocketStream:
    """A connection to this address.

    Raises:
        OSError, TimeoutError: there is none to be had; also where the host is no name that could be looked up.
    """
    try:
        with anyio.fail_after(limits.connect_timeout_ms / 1000):
            return await anyio.connect_tcp(*to)
    except UnicodeError as error:
        raise OSError(f"{to[0]} is no name of a host") from error
    except RuntimeError as error:  # uvloop: it was closed in the moment in which it was made
        raise ConnectionError(f"{to[0]}:{to[1]}: {error}") from error
    except ExceptionGroup as errors:  # the same, of the tasks that connected
        known, others = errors.split((OSError, RuntimeError))
        if others is not None:
            raise
        raise ConnectionError(f"{to[0]}:{to[1]}: {known}") from errors
