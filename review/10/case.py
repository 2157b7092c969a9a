"""Case 10: a correction that was accepted is never billed, as the ledger goes on at another node."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleet2 import Fleet, billed, describe, requests_of
from rig2 import BROKEN, HELD, NotRunError, Record, Rig, main, trouble, until

DOWN_S = 7.0  # a node that dies comes back after 6.2 to 18 s
REQUESTS, EVERY_S, AMOUNT = 30, 0.05, 5
PERIOD_S = 12


async def case(rig: Rig, record: Record) -> int:
    folder = rig.folder / "billed"
    fleet = Fleet(rig, record)
    await fleet.start(
        f"usage:\n  enabled: true\n  folder: usage\n  period: {PERIOD_S}s\n  grace: 0ms\n"
        f"  export:\n    folder: {folder}\n    backoff: 100ms\n",
        take_over="2s",
    )
    while time.time() % PERIOD_S > 2.0:  # all that is sent belongs to one period
        await asyncio.sleep(0.05)
    await fleet.serve(REQUESTS, EVERY_S)
    await asyncio.sleep(0.3)  # the marks of the last answers are written 10 ms after these
    period = fleet.open_periods()[-1]
    killed_s = time.monotonic()
    if trouble():
        record.add("n1 is killed, with its worker pool")
        fleet.nodes["n1"].kill()
        fleet.caller.close()
        await until(lambda: fleet.logged("usage.took_over"), "another node takes the ledger of n1 over", 15.0)
        record.add("another node has taken the ledger of n1 over")
    await fleet.correct("correction-1", period, AMOUNT)
    if trouble():
        await asyncio.sleep(max(0.0, DOWN_S - (time.monotonic() - killed_s)))
        await fleet.restart("n1")
        record.add(f"n1 is back on its disk, {time.monotonic() - killed_s:.1f} s after it was killed")

    def corrected() -> bool:
        return any(one.id == "correction-1" for _, document in billed(folder) for one in document.corrections)

    # All periods that were open have ended, and been exported, long before this wait is over.
    give_up_s = time.monotonic() + 3 * PERIOD_S
    while time.monotonic() < give_up_s and not corrected():
        await asyncio.sleep(0.2)
    documents = billed(folder)
    for name, document in documents:
        record.add(describe(name, document))
    total = sum(requests_of(document) for _, document in documents)
    record.add(
        f"n1 answered {fleet.answers.total()} requests, a correction of +{AMOUNT} was accepted: "
        f"{fleet.answers.total() + AMOUNT}; billed: {total}; the correction is "
        f"{'in a document' if corrected() else 'in no document'}"
    )
    if not documents:
        raise NotRunError("nothing of n1 was exported")
    return HELD if corrected() else BROKEN


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
