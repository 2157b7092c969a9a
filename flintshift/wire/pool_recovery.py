"""What of the commands to the worker pool may have been lost with a link, without I/O.

A command is unsure from when it is written until something is heard of its request, or until so much was heard on the
same link that it must have arrived. After a break:

| command | what is done with it, once all notices up to now are read | why |
| --- | --- | --- |
| spawn | sent again | it does nothing where the request runs, and is `late` where it ran |
| pass | sent again | it names its call |
| supply | reported as unsure | it names no call, and the run may stand at its next one |

What still waits to be written is none of these: it leaves on the next link.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from flintshift.wire.pool_codec import Command, CommandKind


class Silence:
    """Whether a link that owes the answer to a question has said nothing for so many looks in a row.

    Looks are counted, not time: while this process itself stands still, what has come is not read."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.owed = False
        self.quiet = 0

    def asked(self) -> None:
        self.owed = True

    def heard(self) -> None:
        self.owed, self.quiet = False, 0

    def looked(self) -> bool:
        """One more look; True where the link is to be made anew."""
        self.quiet = self.quiet + 1 if self.owed else 0
        return self.quiet >= self.most


class JunkNotices:
    """Which numbered notice is passed over: one that is junk on two links in a row would be told at each bind, and end
    every link."""

    def __init__(self) -> None:
        self.last = 0

    def met(self, number: int) -> bool:
        """A link ended by a notice that is junk, 0 where it has no number; True where that one is passed over."""
        again = number != 0 and number == self.last
        self.last = number
        return again


FORGET_AT_ONCE = 2  # arrived commands that are looked for with each new one, so that none costs a walk over all


@dataclass(slots=True)
class Sent:
    command: Command
    written_ms: float | None = None  # None: it waits to be written


class Unheard:
    """The commands of which nothing was heard yet. ``unsure_ms``: what was written so long before the last line that
    came, on the same link, has arrived. ``most``: commands of each kind that are known; past it the oldest goes,
    as a run of which nothing was ever heard would stand here for ever."""

    def __init__(self, unsure_ms: float, most: int) -> None:
        self.unsure_ms, self.most = unsure_ms, most
        self.spawns: dict[str, Sent] = {}  # by request
        self.resumed: dict[str, Sent] = {}  # by request: how a run that stood at a call was last told to go on
        self.since_ms = 0.0  # what was written later may be lost with a link that broke
        self.unsettled = False  # what a link that broke may have lost is not made good yet

    def queued(self, command: Command, heard_ms: float) -> None:
        """A command waits to be written; the link was last heard of then."""
        if command.kind is CommandKind.SPAWN:
            self._add(self.spawns, command)
        elif command.kind is not CommandKind.QUESTION:
            self._add(self.resumed, command)
            if not self.unsettled:
                self._forget(heard_ms)

    def _add(self, known: dict[str, Sent], command: Command) -> None:
        known.pop(command.request, None)  # the newest stand at the end
        if len(known) >= self.most:
            del known[next(iter(known))]
        known[command.request] = Sent(command)

    def _forget(self, heard_ms: float) -> None:
        for request, sent in list(itertools.islice(self.resumed.items(), FORGET_AT_ONCE)):
            if sent.written_ms is not None and sent.written_ms < heard_ms - self.unsure_ms:
                del self.resumed[request]

    def written(self, command: Command, now_ms: float) -> None:
        known = self.spawns if command.kind is CommandKind.SPAWN else self.resumed
        sent = known.get(command.request)
        if sent is not None and sent.command is command:
            sent.written_ms = now_ms

    def heard(self, request: str) -> None:
        self.spawns.pop(request, None)
        self.resumed.pop(request, None)

    def broke(self, heard_ms: float) -> None:
        """The link is gone, and was last heard of then. What an earlier one may have lost is not forgotten for it."""
        since_ms = heard_ms - self.unsure_ms
        self.since_ms = min(self.since_ms, since_ms) if self.unsettled else since_ms
        self.unsettled = True

    def settled(self) -> None:
        """What may have been lost is made good, or there was nothing."""
        self.unsettled = False

    def unsure(self) -> list[Command]:
        """What may have been lost with the link that broke, the oldest first."""
        spawns = [sent.command for sent in self.spawns.values() if sent.written_ms is not None]
        resumed = [
            sent.command
            for sent in self.resumed.values()
            if sent.written_ms is not None and sent.written_ms >= self.since_ms
        ]
        return spawns + resumed

    def still(self, command: Command) -> bool:
        """Nothing has been heard of it since, and no newer command has taken its place."""
        known = self.spawns if command.kind is CommandKind.SPAWN else self.resumed
        sent = known.get(command.request)
        return sent is not None and sent.command is command
