"""The results node: ``python -m flintshift``."""

from __future__ import annotations

import argparse
import gc
import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import anyio

from flintshift.lifecycle.config import Config, ConfigError, load
from flintshift.lifecycle.node import Node


async def serve(reread: Callable[[], Config]) -> None:
    node = Node(reread(), reread)
    gc.freeze()  # what stands after the start is not looked through again
    gc.set_threshold(20_000, 10, 10)  # requests leave little behind that is in cycles
    await node.run()
    node.print_counters()


def main() -> int:
    parser = argparse.ArgumentParser(prog="flintshift", description="A results node on real sockets.")
    parser.add_argument("--settings", type=Path, metavar="FILE",
                        help="the operators' file (deploy/flintshift.yaml); none is read unless it is named")
    given = parser.parse_args()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node heeds it: it must not end the process
    try:
        anyio.run(serve, partial(load, os.environ, given.settings), backend_options={"use_uvloop": True})
    except ConfigError as error:
        print(f"flintshift: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"flintshift: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
