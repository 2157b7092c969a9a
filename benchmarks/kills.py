"""Shared by the benchmarks that do many runs: concurrent runs with progress, command-line options, exit code."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any


async def run_many(
    runs: int, parallel: int, seed: int, progress_interval: int, run_one: Callable[[int, Path], Awaitable[int]]
) -> float:
    """Run ``run_one(number, folder)`` for each number from the seed on, up to ``parallel`` at once; return the seconds.

    ``run_one`` returns the number of violations so far. Progress is printed after every ``progress_interval`` runs.
    """
    slots, began_s, done = asyncio.Semaphore(parallel), time.monotonic(), 0
    with tempfile.TemporaryDirectory(prefix="flintshift-kill-") as folder:

        async def run(number: int) -> None:
            nonlocal done
            async with slots:
                violations = await run_one(number, Path(folder))
            done += 1
            if done % progress_interval == 0:
                print(
                    f"{done} of {runs} runs, {violations} wrong, {time.monotonic() - began_s:.0f} s",
                    file=sys.stderr,
                    flush=True,
                )

        async with asyncio.TaskGroup() as tasks:  # if one run fails, all are cancelled before the folder is removed
            for number in range(runs):
                tasks.create_task(run(seed + number))
    return round(time.monotonic() - began_s, 1)


def run_from_command_line(
    description: str | None, run_benchmark: Callable[[int, int, int], Any], runs: int, parallel: int
) -> int:
    """Parse the command line, call ``run_benchmark`` and print its result.

    Returns the exit code: 3 if the result has violations, else 0.
    """
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=runs)
    parser.add_argument("--parallel", type=int, default=parallel)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, help="also write the result to this file")
    options = parser.parse_args()
    result = asyncio.run(run_benchmark(options.runs, options.parallel, options.seed))
    text = json.dumps(result, indent=1)
    print(text)
    if options.out:
        options.out.write_text(text + "\n")
    return 3 if result["wrong"] else 0
