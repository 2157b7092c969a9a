"""The demo: a node among its stand-ins, a little traffic, and its books beside the callers' count."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from flintshift.lab.callers import Caller, Tally
from flintshift.lab.rig import Rig
from flintshift.lab.standins import Names, Pool, Vault
from flintshift.settings.embedded import CLUBS, PORTS
from flintshift.storage.files import DiskFiles
from flintshift.usage import documents
from flintshift.usage.folder import load, read_documents

SETTINGS = """\
log: {enabled: true, format: text, level: info}
usage: {enabled: true, folder: usage, period: 2s, grace: 100ms}
"""
TOOK_MS = {"race-results": 8.0, "standings": 5.0, "finish-times": 2.0, "submit-time": 10.0}


def recorded_requests(folder: Path) -> tuple[Counter[str], int]:
    """Requests by club in all periods of a ledger, and how many are in doubt, or would be after a death now."""
    files = DiskFiles()
    book, _, _ = load(files, folder)
    found: Counter[str] = Counter()
    doubt = len(book.state.waiting) + sum(len(period.doubted) for period in book.state.periods.values())
    # A document may stand in the log alone, where the node left between its making and its file.
    made = {document.name: documents.parse(document.data) for document in book.state.documents}
    for document in {**made, **read_documents(files, folder)}.values():
        doubt += len(document.in_doubt)
        for row in document.rows:
            found[row.club] += row.amounts.requests
    for totals in book.totals().values():
        for names, amounts in totals.items():
            found[names[0]] += amounts[0]
    return found, doubt


async def _play(seconds: float, callers: int, folder: Path, say: Callable[[str], None]) -> dict[str, Any]:
    pool, tally, stop = (
        Pool(cores=2, took_ms=TOOK_MS, calling_classes=frozenset({"race-results"})),
        Tally(),
        asyncio.Event(),
    )
    async with Rig(folder, SETTINGS, pool=pool) as rig:
        say(f"a node at 127.0.0.1:{rig.ports['http']}; {callers} callers for {seconds:g} s")
        tasks = [
            asyncio.create_task(Caller(rig.ports["http"], "http", number, list(CLUBS), tally, number, 0.02).run(stop))
            for number in range(callers)
        ]
        done = 0.0
        while done < seconds:
            await asyncio.sleep(min(1.0, seconds - done))
            done += min(1.0, seconds - done)
            say(f"{done:4.1f} s: {sum(tally.answers.values()):,} answers")
        stop.set()
        await asyncio.gather(*tasks)
        code = await rig.leave()
    booked, doubt = recorded_requests(folder / "usage")
    counted: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    for (club, _, _, outcome), count in tally.answers.items():
        counted[club] += count
        outcomes[outcome] += count
    return {
        "exit_code": code,
        "counted": dict(sorted(counted.items())),
        "booked": dict(sorted(booked.items())),
        "outcomes": dict(sorted(outcomes.items())),
        "in_doubt": doubt,
        "runs": len(pool.spawned),
    }


def run(seconds: float, callers: int, keep: Path | None, say: Callable[[str], None]) -> dict[str, Any]:
    with contextlib.ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="flintshift-demo-")))
        return asyncio.run(_play(seconds, callers, folder.resolve(), say))


def format_result(told: dict[str, Any]) -> str:
    lines = [f"{'club':<20}{'counted':>10}{'booked':>10}"]
    for club in sorted(told["counted"].keys() | told["booked"].keys()):
        lines.append(f"{club:<20}{told['counted'].get(club, 0):>10,}{told['booked'].get(club, 0):>10,}")
    outcomes = ", ".join(f"{count:,} {word}" for word, count in told["outcomes"].items())
    lines.append(f"answers: {outcomes}; {told['runs']:,} runs; {told['in_doubt']} in doubt")
    return "\n".join(lines)


def run_standins(say: Callable[[str], None]) -> int:
    async def play() -> None:
        peers = Pool(PORTS["pool"], took_ms=TOOK_MS), Vault(PORTS["vault"]), Names(PORTS["naming"])
        for peer in peers:
            await peer.start()
        say(
            "the stand-ins are up: "
            + ", ".join(f"{type(peer).__name__.lower()} at 127.0.0.1:{peer.port}" for peer in peers)
            + "; Ctrl-C ends them"
        )
        await asyncio.Event().wait()

    try:
        asyncio.run(play())
    except KeyboardInterrupt:
        return 0
    except OSError as error:
        say(f"flintshift: cannot start: {error}")
        return 1
    return 0
