"""Starts a node and turns its end into an exit code: 0 after a drain, 1 cannot start, 2 a bad configuration."""

from __future__ import annotations

import gc
from collections.abc import Callable
from functools import partial

from flintshift.lifecycle import event_loop, signals
from flintshift.lifecycle.config import Config, ConfigError, first_configuration
from flintshift.lifecycle.node import Node
from flintshift.lifecycle.start_retry import StartRetry, ToldToLeaveError
from flintshift.wire.standard_error import write_line


async def serve(reread: Callable[[], Config], retry: StartRetry) -> None:
    node = Node(first_configuration(reread, retry), reread, retry)
    gc.freeze()  # what stands after the start is not looked through again
    gc.set_threshold(20_000, 10, 10)  # requests leave little behind that is in cycles
    await node.run()
    node.print_counters()


def start(reread: Callable[[], Config]) -> int:
    """Run a node until it is told to leave; ``reread`` gives its configuration, now and on SIGHUP."""
    signals.block_at_start()
    retry = StartRetry()
    try:
        event_loop.run(partial(serve, reread, retry), retry)
    except ToldToLeaveError:
        return 0
    except ConfigError as error:
        write_line(f"flintshift: {error}")
        return 2
    except OSError as error:
        write_line(f"flintshift: cannot start: {error}")
        return 1
    return 0
