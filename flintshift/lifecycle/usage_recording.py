"""Records the use of requests in the usage ledger of the node, and opens that ledger.

Imported only if the usage ledger is on.
"""

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

SERVED, POORER, REFUSED, FAILED = (OUTCOMES.index(outcome) for outcome in ("served", "poorer", "refused", "failed"))
OUTCOME_OF_VERDICT = {
    Verdict.SERVED: SERVED,
    Verdict.REFUSED: REFUSED,
    Verdict.FAILED: FAILED,
    Verdict.CONFLICT: FAILED,
}


MAX_ROWS = 10_000  # pairs of a club and a class, over the lifetime of the process


def ignore_answer(answer: Answer) -> None:
    """The callback of an attempt whose answer was recorded already."""


class LedgerRecorder:
    """Implements ``core.ports.UsageRecorder``: writes a claim for each final answer, and a mark once it was sent.

    ``steady_ms`` converts a time of the node's clock to the ledger's steady clock, which the deadlines of delayed
    answers use."""

    def __init__(self, ledger: Ledger, settings: api.Settings, steady_ms: Callable[[float], float]) -> None:
        self.ledger, self.steady_ms = ledger, steady_ms
        self.row_lists = [tenant.name for tenant in settings.tenants], [kind.name for kind in settings.classes]
        self._number_rows()

    def _number_rows(self) -> None:
        """Number the rows anew after the lists have changed."""
        clubs, classes = self.row_lists
        self.first_rows = {  # the row number of the first outcome
            (club, class_name, front): row_number(club_index, class_index, len(classes), front_index, 0)
            for club_index, club in enumerate((*clubs, None))
            for class_index, class_name in enumerate(classes)
            for front_index, front in enumerate(FRONTS)
        }

    def _extended_lists(self, settings: api.Settings) -> tuple[list[str], list[str]]:
        """The lists with the clubs and classes that the settings add.

        Those that the settings drop stay: their requests may be open or may be repeated."""
        clubs, classes = self.row_lists
        return (
            [*clubs, *(club.name for club in settings.tenants if club.name not in clubs)],
            [*classes, *(kind.name for kind in settings.classes if kind.name not in classes)],
        )

    def rejection_reason(self, settings: api.Settings) -> str | None:
        """Return why the use under these settings can't be recorded by this process; None: it can."""
        clubs, classes = self._extended_lists(settings)
        rows = (len(clubs) + 1) * len(classes)
        return (
            None
            if rows <= MAX_ROWS
            else (
                f"the usage ledger would have rows for {len(clubs)} clubs and {len(classes)} classes, with those of "
                f"earlier settings: {rows} pairs, and at most {MAX_ROWS} are possible; a restart drops the earlier ones"
            )
        )

    def change(self, settings: api.Settings) -> None:
        """Add rows for the clubs and classes that new settings add."""
        lists = self._extended_lists(settings)
        if lists != self.row_lists:
            self.row_lists = lists
            self._number_rows()
            self.ledger.set_row_lists(*lists)

    @property
    def refusing(self) -> bool:
        """Whether use could not be recorded now."""
        return self.ledger.rejects_work

    def _row(self, attempt: Attempt, front: str) -> int:
        first_row = self.first_rows.get((attempt.tenant, attempt.class_name, front))
        return self.first_rows[None, attempt.class_name, front] if first_row is None else first_row

    def track(self, attempt: Attempt, front: str) -> None:
        """Record the use of this attempt when it is answered."""
        attempt.on_answer = partial(self._on_answer, attempt, front, attempt.on_answer)

    def _on_answer(self, attempt: Attempt, front: str, deliver: Callable[[Answer], None], answer: Answer) -> None:
        """Write the claim of an answer; the ledger delivers the answer once the claim is durable."""
        attempt.on_answer = ignore_answer  # breaks a cycle that only the garbage collector would free
        outcome = (
            POORER if attempt.call_skipped and answer.verdict is Verdict.SERVED else OUTCOME_OF_VERDICT[answer.verdict]
        )
        attempt.ticket = self.ledger.claim(
            bytes.fromhex(attempt.id),
            self._row(attempt, front) + outcome,
            (FLAG_FURTHER_TRY if attempt.marked_repeat else 0) | (FLAG_KEPT_RESULT if attempt.reuses_result else 0),
            int(attempt.run_ms * 1000),
            attempt.call_count,
            len(attempt.body),
            len(answer.body),
            partial(deliver, answer),
            self.steady_ms(attempt.deadline_at_ms),
        )

    def record_delivery(self, attempt: Attempt, written: bool) -> None:
        """Record whether the answer could be written to the caller."""
        if attempt.ticket is not None:
            self.ledger.mark_delivery(attempt.ticket, written)

    def record_disconnect(self, attempt: Attempt, front: str) -> None:
        """Record the use of an attempt whose caller has disconnected."""
        attempt.on_answer = ignore_answer  # prevents a second claim if the attempt is answered nevertheless
        if attempt.ticket is not None:  # its answer was being sent
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
        """Record a run that ended after the answer."""
        if attempt.ticket is not None and took_ms > 0:
            self.ledger.add_late_run(attempt.ticket, int(took_ms * 1000), 0)


def open_folder(
    name: str,
    lists: tuple[list[str], list[str]],
    options: UsageOptions,
    log: Log,
    files: Files,
    replicated: bool = False,
    previous_epoch: int = 0,
) -> tuple[LedgerFolder, LedgerClock]:
    """Recover the ledger's folder, open it for writing, and return it with its clock.

    ``replicated``: other members have replicas of the ledger. A new ledger then gets an epoch above all earlier ones of
    this node: the time in seconds, or ``previous_epoch`` plus one if that is higher.

    Raises:
        OSError, LockedError, DamagedError: the folder can't be used; the text gives the reason.
    """
    folder = LedgerFolder(files, options.folder)
    try:
        recovery, last_ms = folder.recovery, folder.accounts.state.last_ms
        now = time.time() * 1000
        clock = LedgerClock(now, time.monotonic() * 1000, last_ms)
        ledger_id = folder.accounts.state.life or os.urandom(16)
        if replicated:
            from flintshift.usage.replica import position_before_grant

            folder.granted_position = position_before_grant(files, options.folder, ledger_id, recovery.last_sequences)
            if not folder.reach.epoch:
                folder.log.epoch = max(int(now / 1000), previous_epoch + 1)
        folder.open(name, ledger_id, options.period_ms, *lists, int(max(now, last_ms)))
    except BaseException:
        folder.close()
        raise
    for warning in recovery.warnings:
        log("warning", "usage.recovery", text=warning)
    log(
        "info",
        "usage.opened",
        folder=str(options.folder),
        epoch=folder.log.epoch,
        records=recovery.records,
        from_snapshot=recovery.from_snapshot,
        torn_bytes=recovery.truncated_bytes,
        in_doubt=recovery.in_doubt,
    )
    return folder, clock


def open_ledger(
    name: str,
    settings: api.Settings,
    options: UsageOptions,
    log: Log,
    files: Files | None = None,
    replicated: bool = False,
) -> Ledger:
    """Open the ledger in its folder and recover it.

    Raises:
        OSError, LockedError, DamagedError: the folder can't be used; the text gives the reason.
    """
    folder, clock = open_folder(
        name,
        ([tenant.name for tenant in settings.tenants], [kind.name for kind in settings.classes]),
        options,
        log,
        files or DiskFiles(),
        replicated,
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
