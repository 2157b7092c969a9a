"""The ledger at the node's side: what a request's answer is booked as. Imported only where the ledger is on."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from functools import partial

from flintshift import interface as api
from flintshift.core.attempts import Answer, Attempt, Verdict
from flintshift.core.ports import Log
from flintshift.settings.options import UsageOptions
from flintshift.storage.commit import CommitLimits
from flintshift.storage.files import DiskFiles, Files
from flintshift.usage.folder import LedgerFolder
from flintshift.usage.ledger import MAX_ANSWER_WAIT_MS, REOPEN_RETRY_MS, Ledger
from flintshift.usage.periods import LedgerClock
from flintshift.usage.records import (
    FLAG_FURTHER_TRY,
    FLAG_KEPT_RESULT,
    FLAG_NO_ANSWER,
    FRONTS,
    GONE,
    OUTCOMES,
    row_number,
)

SERVED, POORER, REFUSED, FAILED = (OUTCOMES.index(word) for word in ("served", "poorer", "refused", "failed"))
WORDS = {Verdict.SERVED: SERVED, Verdict.REFUSED: REFUSED, Verdict.FAILED: FAILED, Verdict.CONFLICT: FAILED}


ROWS_MOST = 10_000  # clubs times classes, of a life of the node


def nobody(answer: Answer) -> None:
    """Whom a settled attempt tells."""


class LedgerRecorder:
    """Makes a claim of each final answer, and a mark once it was written. ``steady_ms`` turns a time of the node's
    clock into one of the ledger's steady clock, by which held answers are due."""

    def __init__(self, ledger: Ledger, settings: api.Settings, steady_ms: Callable[[float], float]) -> None:
        self.ledger, self.steady_ms = ledger, steady_ms
        self.lists = [tenant.name for tenant in settings.tenants], [kind.name for kind in settings.classes]
        self._number()

    def _number(self) -> None:
        clubs, classes = self.lists
        self.bases = {  # the number of a row's first outcome
            (club, class_name, front): row_number(place, class_, len(classes), number, 0)
            for place, club in enumerate((*clubs, None))
            for class_, class_name in enumerate(classes)
            for number, front in enumerate(FRONTS)
        }

    def _with(self, settings: api.Settings) -> tuple[list[str], list[str]]:
        """The lists with what the settings add. What they drop stays: its requests may be open, or come again."""
        clubs, classes = self.lists
        return (
            [*clubs, *(club.name for club in settings.tenants if club.name not in clubs)],
            [*classes, *(kind.name for kind in settings.classes if kind.name not in classes)],
        )

    def refuses(self, settings: api.Settings) -> str | None:
        """Why these settings can't be booked in this life."""
        clubs, classes = self._with(settings)
        rows = (len(clubs) + 1) * len(classes)
        return (
            None
            if rows <= ROWS_MOST
            else (
                f"the ledger of use would have rows for {len(clubs)} clubs and {len(classes)} classes, with those of "
                f"earlier settings: {rows} pairs, and {ROWS_MOST} may be; a restart forgets the earlier ones"
            )
        )

    def change(self, settings: api.Settings) -> None:
        lists = self._with(settings)
        if lists != self.lists:
            self.lists = lists
            self._number()
            self.ledger.set_row_lists(*lists)

    @property
    def refusing(self) -> bool:
        return self.ledger.rejects_work

    def _row(self, attempt: Attempt, front: str) -> int:
        base = self.bases.get((attempt.tenant, attempt.class_name, front))
        return self.bases[None, attempt.class_name, front] if base is None else base

    def track(self, attempt: Attempt, front: str) -> None:
        attempt.on_answer = partial(self._told, attempt, front, attempt.on_answer)

    def _told(self, attempt: Attempt, front: str, tell: Callable[[Answer], None], answer: Answer) -> None:
        attempt.on_answer = nobody  # breaks the cycle of attempt and callback, which only the collector would free
        outcome = POORER if attempt.call_skipped and answer.verdict is Verdict.SERVED else WORDS[answer.verdict]
        attempt.ticket = self.ledger.claim(
            bytes.fromhex(attempt.id),
            self._row(attempt, front) + outcome,
            (FLAG_FURTHER_TRY if attempt.marked_repeat else 0) | (FLAG_KEPT_RESULT if attempt.reuses_result else 0),
            int(attempt.run_ms * 1000),
            attempt.call_count,
            len(attempt.body),
            len(answer.body),
            partial(tell, answer),
            self.steady_ms(attempt.deadline_at_ms),
        )

    def record_delivery(self, attempt: Attempt, arrived: bool) -> None:
        if attempt.ticket is not None:
            self.ledger.mark_delivery(attempt.ticket, arrived)

    def record_disconnect(self, attempt: Attempt, front: str) -> None:
        attempt.on_answer = nobody  # guards against a second claim, where it is answered all the same
        if attempt.ticket is not None:  # its answer was on its way
            self.ledger.mark_delivery(attempt.ticket, False)
            return
        attempt.ticket = self.ledger.claim(
            bytes.fromhex(attempt.id),
            self._row(attempt, front) + GONE,
            FLAG_NO_ANSWER
            | (FLAG_FURTHER_TRY if attempt.marked_repeat else 0)
            | (FLAG_KEPT_RESULT if attempt.reuses_result else 0),
            int(attempt.run_ms * 1000),
            attempt.call_count,
            len(attempt.body),
            0,
            None,
        )

    def record_late_run(self, attempt: Attempt, took_ms: float) -> None:
        if attempt.ticket is not None and took_ms > 0:
            self.ledger.add_late_run(attempt.ticket, int(took_ms * 1000), 0)


def open_folder(
    name: str,
    lists: tuple[list[str], list[str]],
    options: UsageOptions,
    log: Log,
    files: Files,
    copied: bool = False,
    above: int = 0,
) -> tuple[LedgerFolder, LedgerClock]:
    """The folder, recovered, with a life begun in it. ``copied``: further members hold copies; a ledger that begins
    then has an epoch above all of this node's earlier ones (the time in seconds, or ``above`` and one).

    Raises:
        OSError, LockedError, DamagedError: the folder can't be used; the text says why.
    """
    folder = LedgerFolder(files, options.folder)
    try:
        found, last_ms = folder.recovery, folder.accounts.state.last_ms
        now = time.time() * 1000
        clock = LedgerClock(now, time.monotonic() * 1000, last_ms)
        life = folder.accounts.state.life or os.urandom(16)
        if copied:
            from flintshift.usage.replica import position_before_grant

            reach = folder.reach
            folder.granted_position = position_before_grant(
                files, options.folder, life, (reach.epoch, reach.next_sequence - 1)
            )
            if not reach.epoch:
                folder.log.epoch = max(int(now / 1000), above + 1)
        folder.open(name, life, options.period_ms, *lists, int(max(now, last_ms)))
    except BaseException:
        folder.close()
        raise
    for warning in found.warnings:
        log("warning", "usage.recovery", text=warning)
    log(
        "info",
        "usage.opened",
        folder=str(options.folder),
        epoch=folder.log.epoch,
        records=found.records,
        from_snapshot=found.from_snapshot,
        torn_bytes=found.truncated_bytes,
        in_doubt=found.in_doubt,
    )
    return folder, clock


def open_ledger(
    name: str, settings: api.Settings, options: UsageOptions, log: Log, files: Files | None = None, copied: bool = False
) -> Ledger:
    """The ledger on its folder, recovered.

    Raises:
        OSError, LockedError, DamagedError: the folder can't be used; the text says why.
    """
    folder, clock = open_folder(
        name,
        ([tenant.name for tenant in settings.tenants], [kind.name for kind in settings.classes]),
        options,
        log,
        files or DiskFiles(),
        copied,
    )
    sinks = []
    if options.export is not None:
        sinks = [name for name, sink in (("folder", options.export.folder), ("http", options.export.http)) if sink]
    limits = CommitLimits(
        options.durability != "none",
        options.durability == "power-cut",
        options.sync_ms,
        MAX_ANSWER_WAIT_MS,
        REOPEN_RETRY_MS,
        options.segment_bytes,
    )
    return Ledger(
        folder,
        options.grace_ms,
        limits,
        options.on_disk_failure == "refuse",
        options.retention_ms,
        sinks,
        clock,
        lambda: time.time() * 1000,
        lambda: time.monotonic() * 1000,
        log,
    )
