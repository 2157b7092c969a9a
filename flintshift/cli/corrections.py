"""Submits a correction of the usage ledger: to the node that runs on the folder, or to the ledger itself.

A ledger of which other members hold replicas is never written here: another of them may have taken it over, and only a
majority of them can tell. Its corrections are left in the inbox for its node.
"""

from __future__ import annotations

import contextlib
import json
import time
from pathlib import Path

import anyio

from flintshift.storage.commit import CommitLimits
from flintshift.storage.files import Files, LockedError
from flintshift.storage.snapshot import publish
from flintshift.usage.corrections import from_json, with_known_totals
from flintshift.usage.folder import LedgerFolder, load
from flintshift.usage.ledger import Ledger
from flintshift.usage.messages import Reply
from flintshift.usage.periods import LedgerClock
from flintshift.usage.policy import LedgerPolicy
from flintshift.usage.replica import is_replica, is_replicated

POLL_INTERVAL_S = 0.05  # between two looks for the node's reply


class ReplicaFolderError(Exception):
    """The folder is a replica of another member's ledger, which only that member corrects."""


class NoReplyError(Exception):
    """The running node has not replied in time; the correction stays in its inbox."""


def submit_correction(files: Files, folder: Path, id_: str, correction: bytes, wait_s: float) -> Reply:
    """Submit an encoded correction, and return the reply to it. A running node is waited for ``wait_s``.

    Raises:
        ReplicaFolderError, NoReplyError, OSError, DamagedError: it was not processed, or no reply is known.
    """
    if is_replica(files, folder):
        raise ReplicaFolderError(
            f"{folder}: is a replica of another member's ledger: submit it at that member's folder"
        )
    try:
        if is_replicated(files, folder):
            return _leave_for_node(files, folder, id_, correction)
        return anyio.run(_correct_here, files, folder, correction)
    except LockedError:
        return _submit_to_node(files, folder, id_, correction, wait_s)


def _open_ledger(folder: LedgerFolder) -> Ledger:
    """Open a ledger on which no node runs."""
    wall_ms = time.time() * 1000
    return Ledger(
        folder,
        0,
        CommitLimits(sync_enabled=False),
        False,
        0.0,
        [],
        LedgerClock(wall_ms, 0.0, folder.accounts.state.last_ms),
        lambda: wall_ms,
        lambda: 0.0,
        lambda *_, **__: None,
    )


async def _correct_here(files: Files, folder: Path, correction: bytes) -> Reply:
    """Record the correction in a folder on which no node runs.

    Raises:
        LockedError: a node runs on it.
    """
    ledger_folder = LedgerFolder(files, folder)
    try:
        ledger = _open_ledger(ledger_folder)
        reply = ledger.correct(correction)
        if ledger.commit.gap is not None:
            return Reply(False, f"could not be written: {ledger.commit.gap.cause}")
        ledger_folder.log.sync()
        if ledger_folder.accounts.state.documents:
            ledger_folder.write_documents(ledger_folder.accounts.state.documents)
        return reply
    finally:
        ledger_folder.close()


def _leave_for_node(files: Files, folder: Path, id_: str, correction: bytes) -> Reply:
    """Leave the correction in the inbox of a replicated ledger on which no node runs.

    Raises:
        LockedError: a node runs on it.
    """
    with contextlib.closing(files.lock(folder / "LOCK")):
        expected_reply = _expect_reply(files, folder, correction)
        if not expected_reply.taken:
            return expected_reply
        publish(files, _inbox_path(files, folder, id_), correction)
    return Reply(
        True,
        "is left for the node, since other members hold replicas of the ledger: it is processed once a majority of "
        f"them lets the node write; the reply will be in {_reply_path(folder, id_)}",
    )


def _expect_reply(files: Files, folder: Path, correction: bytes) -> Reply:
    """Return what the node would reply by what is in its folder; nothing is changed there."""
    accounts, _, _ = load(files, folder)
    request = with_known_totals(files, folder, accounts, from_json(correction))
    actions = LedgerPolicy(accounts, 0).handle(time.time() * 1000, request)
    return next(action for action in actions if isinstance(action, Reply))


def _submit_to_node(files: Files, folder: Path, id_: str, correction: bytes, wait_s: float) -> Reply:
    """Put the correction into the inbox of the running node, and wait for its reply."""
    reply_path = _reply_path(folder, id_)
    reply_path.unlink(missing_ok=True)
    publish(files, _inbox_path(files, folder, id_), correction)
    deadline_s = time.monotonic() + wait_s
    while not reply_path.exists():
        if time.monotonic() >= deadline_s:
            raise NoReplyError(
                f"submitted; the node has not answered within {wait_s:g} s: its answer will be in {reply_path}"
            )
        time.sleep(POLL_INTERVAL_S)
    reply = json.loads(reply_path.read_bytes())
    reply_path.unlink(missing_ok=True)
    return Reply(bool(reply["taken"]), str(reply["text"]))


def _inbox_path(files: Files, folder: Path, id_: str) -> Path:
    files.make_folder(folder / "inbox")
    return folder / "inbox" / f"{id_}.json"


def _reply_path(folder: Path, id_: str) -> Path:
    return folder / "replies" / f"{id_}.json"
