"""Starts a node and returns the exit code: 0 after a drain, 1 if it can't start, 2 for a bad configuration."""

from __future__ import annotations

import gc
from collections.abc import Callable
from functools import partial

from flintshift.lifecycle import event_loop, signals
from flintshift.lifecycle.config import Config, ConfigError, load_at_start
from flintshift.lifecycle.node import Node
from flintshift.lifecycle.start_retry import ShutdownRequestedError, StartRetry
from flintshift.wire.standard_error import write_line


async def serve(reread: Callable[[], Config], retry: StartRetry) -> None:
    """Create a node and run it until it has stopped."""
    node = Node(load_at_start(reread, retry), reread, retry)
    gc.freeze()  # objects that exist after the start are not scanned again
    gc.set_threshold(20_000, 10, 10)  # requests leave few objects in reference cycles
    await node.run()
    node.print_counters()


def start(reread: Callable[[], Config]) -> int:
    """Run a node until a shutdown notice has stopped it; return the exit code.

    ``reread`` loads its configuration, now and on SIGHUP."""
    signals.block_at_start()
    retry = StartRetry()
    try:
        event_loop.run(partial(serve, reread, retry), retry)
    except ShutdownRequestedError:
        return 0
    except ConfigError as error:
        write_line(f"flintshift: {error}")
        return 2
    except OSError as error:
        write_line(f"flintshift: cannot start: {error}")
        return 1
    return 0
