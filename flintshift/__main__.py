"""The results node as the platform starts it: ``python -m flintshift``."""

from __future__ import annotations

import os
import sys

from flintshift.lifecycle import signals


def main() -> int:
    signals.hold_at_start()  # before the rest is imported, 0.2 s on an idle machine, over 1 s on a busy one
    import argparse
    from functools import partial
    from pathlib import Path

    from flintshift.lifecycle.config import load
    from flintshift.lifecycle.start import start

    parser = argparse.ArgumentParser(prog="python -m flintshift", description="A results node on real sockets.")
    parser.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="the operators' file (deploy/flintshift.yaml); none is read unless it is named",
    )
    given = parser.parse_args()
    return start(partial(load, os.environ, given.settings))


if __name__ == "__main__":
    sys.exit(main())
