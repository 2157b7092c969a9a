"""The demo: runs a node with stand-ins and a little traffic, and compares its usage ledger with the callers' count."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from flintshift.lab.callers import Caller, Tally
from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.standins import Names, Pool, Vault
from flintshift.settings.embedded import CLUBS, PORTS
from flintshift.storage.files import DiskFiles
from flintshift.usage import documents
from flintshift.usage.folder import load, read_documents

SETTINGS = """\
log: {enabled: true, format: text, level: info}
usage: {enabled: true, folder: usage, period: 2s, grace: 100ms}
"""
RUN_MS_BY_CLASS = {"race-results": 8.0, "standings": 5.0, "finish-times": 2.0, "submit-time": 10.0}


def recorded_requests(folder: Path) -> tuple[Counter[str], int]:
    """Requests by club in all periods of a ledger, and how many are in doubt or would be if the node died now."""
    files = DiskFiles()
    accounts, _, _ = load(files, folder)
    requests: Counter[str] = Counter()
    in_doubt = len(accounts.state.waiting) + sum(len(period.doubted) for period in accounts.state.periods.values())
    # A document is only in the log if the node exited after creating it and before writing its file.
    logged = {document.name: documents.parse(document.data) for document in accounts.state.documents}
    for document in {**logged, **read_documents(files, folder)}.values():
        in_doubt += len(document.in_doubt)
        for row in document.rows:
            requests[row.club] += row.amounts.requests
    for totals in accounts.totals().values():
        for names, amounts in totals.items():
            requests[names[0]] += amounts[0]
    return requests, in_doubt


async def _run_node(seconds: float, callers: int, folder: Path, report: Callable[[str], None]) -> dict[str, Any]:
    pool, tally, stop = (
        Pool(cores=2, took_ms=RUN_MS_BY_CLASS, calling_classes=frozenset({"race-results"})),
        Tally(),
        asyncio.Event(),
    )
    async with SingleNodeCluster(folder, SETTINGS, pool=pool) as cluster:
        report(f"a node at 127.0.0.1:{cluster.ports['http']}; {callers} callers for {seconds:g} s")
        tasks = [
            asyncio.create_task(
                Caller(cluster.ports["http"], "http", number, list(CLUBS), tally, number, 0.02).run(stop)
            )
            for number in range(callers)
        ]
        elapsed_s = 0.0
        while elapsed_s < seconds:
            await asyncio.sleep(min(1.0, seconds - elapsed_s))
            elapsed_s += min(1.0, seconds - elapsed_s)
            report(f"{elapsed_s:4.1f} s: {sum(tally.answers.values()):,} answers")
        stop.set()
        await asyncio.gather(*tasks)
        exit_code = await cluster.terminate()
    recorded, in_doubt = recorded_requests(folder / "usage")
    counted: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    for (club, _, _, outcome), count in tally.answers.items():
        counted[club] += count
        outcomes[outcome] += count
    return {
        "exit_code": exit_code,
        "counted": dict(sorted(counted.items())),
        "booked": dict(sorted(recorded.items())),
        "outcomes": dict(sorted(outcomes.items())),
        "in_doubt": in_doubt,
        "runs": len(pool.spawned),
    }


def run(seconds: float, callers: int, keep: Path | None, report: Callable[[str], None]) -> dict[str, Any]:
    """Run the demo; ``keep``: the folder for the node's files, else a temporary one."""
    with contextlib.ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="flintshift-demo-")))
        return asyncio.run(_run_node(seconds, callers, folder.resolve(), report))


def format_result(result: dict[str, Any]) -> str:
    """The result of `run` as a table."""
    lines = [f"{'club':<20}{'counted':>10}{'booked':>10}"]
    for club in sorted(result["counted"].keys() | result["booked"].keys()):
        lines.append(f"{club:<20}{result['counted'].get(club, 0):>10,}{result['booked'].get(club, 0):>10,}")
    outcomes = ", ".join(f"{count:,} {outcome}" for outcome, count in result["outcomes"].items())
    lines.append(f"answers: {outcomes}; {result['runs']:,} runs; {result['in_doubt']} in doubt")
    return "\n".join(lines)


def run_standins(report: Callable[[str], None]) -> int:
    """Run the stand-ins alone until an interrupt; returns the exit code."""

    async def serve() -> None:
        stand_ins = Pool(PORTS["pool"], took_ms=RUN_MS_BY_CLASS), Vault(PORTS["vault"]), Names(PORTS["naming"])
        for stand_in in stand_ins:
            await stand_in.start()
        report(
            "the stand-ins are up: "
            + ", ".join(f"{type(stand_in).__name__.lower()} at 127.0.0.1:{stand_in.port}" for stand_in in stand_ins)
            + "; Ctrl-C ends them"
        )
        await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        return 0
    except OSError as error:
        report(f"flintshift: cannot start: {error}")
        return 1
    return 0
