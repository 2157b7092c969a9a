"""Starts a node whose system clock is off: ``python -m flintshift.lab.skewed OFFSET_MS [arguments of flintshift]``."""

from __future__ import annotations

import runpy
import sys
import time


def main() -> None:
    offset_s = float(sys.argv[1]) / 1000
    true = time.time
    time.time = lambda: true() + offset_s
    sys.argv = ["flintshift", *sys.argv[2:]]
    runpy.run_module("flintshift", run_name="__main__")


if __name__ == "__main__":
    main()
