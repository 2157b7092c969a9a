"""Recovery of commands to the worker pool that may have been lost with a link, without I/O.

A command is in doubt from when it is written until a notice about its request is received, or until a line that is
received long enough after it on the same link shows that it has arrived. After a link is lost:

| command | how it is recovered, once all notices up to now are read | why |
| --- | --- | --- |
| spawn | sent again | the pool ignores it if the request runs, and answers `late` if it has run |
| pass | sent again | it gives the number of its call |
| supply | reported as in doubt | it doesn't identify its call, and the run may already wait at its next one |

A command that is still queued is not in doubt: it is sent on the next link.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from flintshift.wire.pool_codec import Command, CommandKind


class SilenceDetector:
    """Detects a link on which a reply is pending and nothing was received for several checks in a row.

    It counts checks, not time: while this process itself is suspended, received data is not read."""

    def __init__(self, max_silent_checks: int) -> None:
        self.max_silent_checks = max_silent_checks
        self.reply_pending = False
        self.silent_checks = 0

    def on_query_sent(self) -> None:
        """Record that the reply to a query is pending."""
        self.reply_pending = True

    def on_received(self) -> None:
        """Record that something was received on the link."""
        self.reply_pending, self.silent_checks = False, 0

    def check(self) -> bool:
        """Record one check. True: the link is silent and must be replaced."""
        self.silent_checks = self.silent_checks + 1 if self.reply_pending else 0
        return self.silent_checks >= self.max_silent_checks


class MalformedNotices:
    """Decides which malformed notice is skipped: one that is malformed on two links in a row. The pool would send it
    again after each bind, and it would end every link."""

    def __init__(self) -> None:
        self.last_number = 0

    def record(self, number: int) -> bool:
        """Record that a malformed notice ended a link; ``number`` is 0 if it has none. True: that notice is skipped."""
        repeated = number != 0 and number == self.last_number
        self.last_number = number
        return repeated


MAX_DISCARDS_PER_COMMAND = 2  # old commands examined with each new one: a scan of all would be too costly


@dataclass(slots=True)
class TrackedCommand:
    """A command whose arrival is not confirmed yet."""

    command: Command
    written_ms: float | None = None  # None: it is still queued


class UnconfirmedCommands:
    """The commands whose arrival at the worker pool is not confirmed yet.

    ``in_doubt_ms``: a command that was written so long before the last line received on the same link has arrived.
    ``max_commands``: the tracked commands of each kind. Beyond it the oldest is dropped, since a run about which no
    notice ever comes would be tracked forever."""

    def __init__(self, in_doubt_ms: float, max_commands: int) -> None:
        self.in_doubt_ms, self.max_commands = in_doubt_ms, max_commands
        self.spawns: dict[str, TrackedCommand] = {}  # by request
        self.resumed: dict[str, TrackedCommand] = {}  # by request: the last supply or pass to a waiting run
        self.in_doubt_since_ms = 0.0  # a supply or pass written from then on may be lost with a broken link
        self.recovery_pending = False  # the commands that a broken link may have lost are not recovered yet

    def on_queued(self, command: Command, last_received_ms: float) -> None:
        """Track a command that was queued. ``last_received_ms``: when the link last received something."""
        if command.kind is CommandKind.SPAWN:
            self._add(self.spawns, command)
        elif command.kind is not CommandKind.QUERY:
            self._add(self.resumed, command)
            if not self.recovery_pending:
                self._discard_confirmed(last_received_ms)

    def _add(self, commands: dict[str, TrackedCommand], command: Command) -> None:
        commands.pop(command.request, None)  # the dict keeps the newest at its end
        if len(commands) >= self.max_commands:
            del commands[next(iter(commands))]
        commands[command.request] = TrackedCommand(command)

    def _discard_confirmed(self, last_received_ms: float) -> None:
        for request, tracked in list(itertools.islice(self.resumed.items(), MAX_DISCARDS_PER_COMMAND)):
            if tracked.written_ms is not None and tracked.written_ms < last_received_ms - self.in_doubt_ms:
                del self.resumed[request]

    def on_written(self, command: Command, now_ms: float) -> None:
        """Record when a tracked command was written to the link."""
        commands = self.spawns if command.kind is CommandKind.SPAWN else self.resumed
        tracked = commands.get(command.request)
        if tracked is not None and tracked.command is command:
            tracked.written_ms = now_ms

    def on_response(self, request: str) -> None:
        """Record that a notice about a request was received: its commands have arrived."""
        self.spawns.pop(request, None)
        self.resumed.pop(request, None)

    def on_link_lost(self, last_received_ms: float) -> None:
        """The link was lost; it last received something at ``last_received_ms``. Commands that an earlier link may have
        lost stay in doubt."""
        since_ms = last_received_ms - self.in_doubt_ms
        self.in_doubt_since_ms = min(self.in_doubt_since_ms, since_ms) if self.recovery_pending else since_ms
        self.recovery_pending = True

    def finish_recovery(self) -> None:
        """The commands that may have been lost are recovered, or there were none."""
        self.recovery_pending = False

    def in_doubt(self) -> list[Command]:
        """The commands that may be lost with the broken link: spawns, then supplies and passes, each oldest first."""
        spawns = [tracked.command for tracked in self.spawns.values() if tracked.written_ms is not None]
        resumed = [
            tracked.command
            for tracked in self.resumed.values()
            if tracked.written_ms is not None and tracked.written_ms >= self.in_doubt_since_ms
        ]
        return spawns + resumed

    def is_unconfirmed(self, command: Command) -> bool:
        """Whether no notice confirmed the command since, and no newer command for its request replaced it."""
        commands = self.spawns if command.kind is CommandKind.SPAWN else self.resumed
        tracked = commands.get(command.request)
        return tracked is not None and tracked.command is command
