"""The inbox of a ledger: corrections that were submitted by the command line, and the replies to them.

A correction is a file in ``inbox/``. Its reply appears in ``replies/`` under the same name, and then the file is
removed. Where other members hold replicas of the ledger, a correction is processed only while a majority of them lets
this process write the ledger, and is replied to only once a majority has it. If another member takes the ledger over
before, the file is still there, and the ledger that this member begins then processes the correction.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from flintshift.storage import snapshot
from flintshift.usage.corrections import (
    from_json,
    may_be_of_earlier_ledger,
    with_closed_totals,
    with_earlier_totals,
)
from flintshift.usage.messages import Reply

if TYPE_CHECKING:
    from flintshift.usage.ledger import Ledger

SUFFIX = ".json"
MAX_CORRECTIONS_PER_TICK = 100


@dataclass(frozen=True, slots=True)
class UnconfirmedCorrection:
    """A processed correction that too few members have yet."""

    data: bytes  # as it was submitted
    reply: Reply
    sequence: int  # of the ledger's last record when it was processed


class CorrectionInbox:
    """Processes the corrections in the inbox of a ledger."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.unconfirmed: dict[str, UnconfirmedCorrection] = {}  # by file name

    async def process(self) -> None:
        """Process the corrections that were submitted, and reply to those that can't be lost any more."""
        ledger = self.ledger
        if ledger.replication is not None and not ledger.replication.elected:
            return
        files, folder = ledger.folder.files, ledger.folder.folder
        try:
            submitted = [name for name in files.names(folder / "inbox") if name.endswith(SUFFIX)]
        except OSError as error:
            ledger.log_event("error", "usage.inbox_failed", name="", cause=str(error))
            return
        for name in submitted[:MAX_CORRECTIONS_PER_TICK]:
            try:
                await self._process_file(folder, name)
            except OSError as error:
                ledger.log_event("error", "usage.inbox_failed", name=name, cause=str(error))

    def forget_unconfirmed(self) -> None:
        """Process the corrections again that were not confirmed, as another ledger has begun."""
        self.unconfirmed.clear()

    async def _process_file(self, folder: Path, name: str) -> None:
        ledger, files = self.ledger, self.ledger.folder.files
        await ledger.wait_until_writable()
        path, accounts = folder / "inbox" / name, ledger.accounts
        correction = await self._correct(name, files.read(path))
        await ledger.sync_all()
        if ledger.accounts is not accounts or not self._is_confirmed(correction):
            return
        result = {"taken": correction.reply.taken, "text": correction.reply.text}
        await anyio.to_thread.run_sync(
            partial(snapshot.publish, files, folder / "replies" / name, json.dumps(result).encode())
        )
        files.remove(path)
        self.unconfirmed.pop(name, None)

    async def _correct(self, name: str, data: bytes) -> UnconfirmedCorrection:
        """Process a correction, unless that was done at an earlier call."""
        known = self.unconfirmed.get(name)
        if known is None or known.data != data:
            reply = await self._reply_to(data)
            known = self.unconfirmed[name] = UnconfirmedCorrection(data, reply, self.ledger.accounts.state.sequence)
        return known

    async def _reply_to(self, data: bytes) -> Reply:
        """Process a correction. Earlier ledgers are read in a thread, since the node serves meanwhile."""
        ledger, files, folder = self.ledger, self.ledger.folder.files, self.ledger.folder.folder
        try:
            request = with_closed_totals(files, folder, ledger.accounts, from_json(data))
            if may_be_of_earlier_ledger(files, folder, ledger.accounts, request):
                request = await anyio.to_thread.run_sync(with_earlier_totals, files, folder, request)
                await ledger.wait_until_writable()
        except (ValueError, snapshot.DamagedError) as error:
            return Reply(False, str(error))
        return ledger.apply_correction(request)

    def _is_confirmed(self, correction: UnconfirmedCorrection) -> bool:
        replication = self.ledger.replication
        return replication is None or not correction.reply.taken or replication.is_replicated(correction.sequence)
