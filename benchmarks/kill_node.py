"""Kills the node under load, many times: is each answered request booked, or listed in doubt by its id?

    python benchmarks/kill_node.py [--runs 50] [--parallel 3] [--seed 1] [--out FILE]

Each run starts a node with its ledger among the stand-ins, lets callers of both fronts ask, kills it (SIGKILL)
after a random time, starts it again on the same folder with more load, kills it once more, and lets the third life
leave in good order, with periods of one second that close and export to a folder meanwhile. Callers keep what they
were answered. ``booked_unseen`` counts answers that left the node and that its caller never read whole. A run in which
the disk held an answer for too long, so that use was booked in memory, is counted as one with a gap: its sums are not
compared, all else is.
Exit code 3 where the books do not agree with that.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from kills import command, many  # noqa: E402

from flintshift.lab.callers import Caller, Tally  # noqa: E402
from flintshift.lab.rig import Rig  # noqa: E402
from flintshift.lab.standins import Pool  # noqa: E402
from flintshift.settings.embedded import CLUBS  # noqa: E402
from flintshift.storage.files import DiskFiles  # noqa: E402
from flintshift.storage.snapshot import UNFINISHED_SUFFIX  # noqa: E402
from flintshift.usage import documents  # noqa: E402
from flintshift.usage.folder import load  # noqa: E402
from flintshift.usage.reconcile import check_documents  # noqa: E402

SETTINGS = """\
usage:
  enabled: true
  folder: usage
  period: 1s
  grace: 200ms
  durability: {}
  sync: 5ms
  segment: 8KiB
  export: {{folder: out}}
log: {{enabled: true, level: warning}}
"""


async def load_for(rig: Rig, tally: Tally, seconds: float, seed: int, kill: bool) -> None:
    stop = asyncio.Event()
    callers = [
        Caller(rig.ports[front], front, number, list(CLUBS), tally, seed * 100 + number, 0.001)
        for number in range(8)
        for front in (("http",) if number % 4 else ("uwsgi",))
    ]
    tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
    await asyncio.sleep(seconds)
    if kill:
        await rig.kill()
    stop.set()
    await asyncio.gather(*tasks)


def findings(folder: Path, tally: Tally, spawned: Counter[str]) -> tuple[list[str], dict[str, int]]:
    """What is wrong with the books of a ledger that has closed and exported all but its last periods."""
    files = DiskFiles()
    book, _, _ = load(files, folder / "usage")
    wrong: list[str] = []
    found = {path.name: documents.parse(path.read_bytes()) for path in (folder / "usage" / "documents").iterdir()}
    # What was closed and not yet written at the end stands in the log, and is written at the next start.
    found |= {one.name: documents.parse(one.data) for one in book.state.documents}
    for path in (folder / "out").iterdir():
        if path.name.endswith(UNFINISHED_SUFFIX):  # of the death that is left for the next delivery to remove
            continue
        if path.read_bytes() != documents.serialize(found[path.name]):
            wrong.append(f"{path.name} was exported with other bytes")
    wrong += map(str, check_documents((name, documents.serialize(one), one) for name, one in found.items()))
    rows: Counter[tuple[str, str, str, str]] = Counter()
    doubted: dict[str, tuple[str, ...]] = {}
    for one in found.values():
        for names, row in documents.totals([one]).items():
            rows[names] += row[0]
        for entry in one.in_doubt:
            doubted[entry.id.hex()] = documents.row_key(entry.row)
    for totals in book.totals().values():
        for names, row in totals.items():
            rows[names] += row[0]
    for period in book.state.periods.values():
        for id_, key, _ in period.doubted:
            doubted[id_.hex()] = tuple(key.split("\x1f"))
    seen: Counter[tuple[str, ...]] = Counter()
    unseen = 0
    for rid, (club, class_name, front, outcome) in tally.row_by_id.items():
        seen[club, class_name, front, outcome] += rid not in doubted
    merged: Counter[tuple[str, ...]] = Counter()
    for (club, class_name, front, outcome), count in rows.items():
        merged[club, class_name, front, {"poorer": "served"}.get(outcome, outcome)] += count
    gone = sum(count for names, count in merged.items() if names[3] == "gone")
    for names in seen.keys() | {one for one in merged if one[3] != "gone"}:
        if seen[names] != merged[names]:
            # An answer may have left the node and been cut off at its caller, which then never counted it.
            unseen += max(0, merged[names] - seen[names])
            if merged[names] > seen[names] and unseen <= len(tally.unanswered):
                continue
            wrong.append(f"{'/'.join(names)}: {seen[names]} answered and not in doubt, {merged[names]} booked")
    wrong += [f"{rid} ran {count} times" for rid, count in spawned.items() if count > 1]
    return wrong, {
        "answered": len(tally.row_by_id),
        "in_doubt": len(doubted),
        "unanswered": len(tally.unanswered),
        "gone": gone,
        "booked_unseen": unseen,
        "documents": len(found),
    }


async def one(seed: int, base: Path, durability: str) -> tuple[list[str], dict[str, int]]:
    draw, folder, tally = random.Random(seed), base / f"{seed}", Tally()
    pool = Pool(cores=4, took_ms={"race-results": 3.0}, calling_classes=frozenset({"race-results"}))
    async with Rig(folder, SETTINGS.format(durability), uwsgi=True, pool=pool, root=ROOT) as rig:
        with (folder / "stderr").open("wb") as stderr:
            for life in range(3):
                if life:
                    try:
                        await rig.start(stderr)
                    except RuntimeError as error:
                        raise RuntimeError(f"{error}: {(folder / 'stderr').read_text()[-2000:]}") from error
                await load_for(rig, tally, 0.2 + draw.random() * 1.5, seed * 10 + life, life < 2)
            await asyncio.sleep(0.5)
            code = await rig.leave()
    wrong, told = findings(folder, tally, pool.spawned)
    said = (folder / "stderr").read_text()
    if "usage.disk_refused" in said:  # killed in it, a node loses what it booked in memory, as its page says
        told = {"runs_with_a_gap": 1}
        wrong = [text for text in wrong if "booked" not in text]
    wrong += [f"exit code {code}: {said[-2000:]}"] if code else []
    return wrong + (["a callback failed: " + said[:2000]] if "Exception in callback" in said else []), told


async def play(runs: int, parallel: int, seed: int) -> dict[str, object]:
    totals: Counter[str] = Counter()
    wrong: list[str] = []

    async def run(number: int, folder: Path) -> int:
        found, told = await one(number, folder, ("process-death", "power-cut")[number % 2])
        wrong.extend(f"seed {number}: {text}" for text in found)
        totals.update(told)
        return len(wrong)

    seconds = await many(runs, parallel, seed, 10, run)
    return {"runs": runs, "kills": 2 * runs, **totals, "wrong": wrong, "seconds": seconds}


if __name__ == "__main__":
    sys.exit(command(__doc__, play, 50, 3))
