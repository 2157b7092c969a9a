"""What both kill runs share: many runs at once with progress, their options, and the exit code."""

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


async def many(runs: int, parallel: int, seed: int, every: int, one: Callable[[int, Path], Awaitable[int]]) -> float:
    """Run ``one(number, folder)`` for each number from the seed on; it returns how much is wrong so far. Returns the
    seconds that all took."""
    room, began, done = asyncio.Semaphore(parallel), time.monotonic(), 0
    with tempfile.TemporaryDirectory(prefix="flintshift-kill-") as name:

        async def run(number: int) -> None:
            nonlocal done
            async with room:
                wrong = await one(number, Path(name))
            done += 1
            if done % every == 0:
                print(
                    f"{done} of {runs} runs, {wrong} wrong, {time.monotonic() - began:.0f} s",
                    file=sys.stderr,
                    flush=True,
                )

        async with asyncio.TaskGroup() as tasks:  # where one fails, none goes on in a folder that is removed
            for number in range(runs):
                tasks.create_task(run(seed + number))
    return round(time.monotonic() - began, 1)


def command(doc: str | None, play: Callable[[int, int, int], Any], runs: int, parallel: int) -> int:
    """The command line; exit code 3 where something is wrong."""
    parser = argparse.ArgumentParser(description=doc, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=runs)
    parser.add_argument("--parallel", type=int, default=parallel)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, help="write the result here too")
    given = parser.parse_args()
    told = asyncio.run(play(given.runs, given.parallel, given.seed))
    text = json.dumps(told, indent=1)
    print(text)
    if given.out:
        given.out.write_text(text + "\n")
    return 3 if told["wrong"] else 0
