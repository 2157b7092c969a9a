"""A log that one process writes and further members copy: who may write it, what a copy takes, who goes on with it once
its writer is dead. Without I/O.

A log belongs to the member that began it, and has a life drawn with it: a disk that was lost, and one that was taken
over, never go on under their old name. It is copied record by record by the log's other holders (`Placement.of_log`).

- A writer has an **epoch**. A copy promises the highest that it was asked for, and takes nothing of a lower one.
- A copy grants an epoch to no writer that is **behind** it, in (epoch, sequence) of the last record; and nobody takes a
  log over without the word of a majority of its holders. So what stood at a majority is in every later writer's log.
- A writer counts as one once a majority of the holders, itself among them, has granted it its epoch. What it wrote
  before that under an epoch of its own is no sign that it lacks nothing: it shows how far it had come ``before``.
- What a writer found is counted as held only together with a first record of its own epoch.
- A copy that was never filled, or may have lost its end, has no word on who takes over; but where the writer stays dead
  for long, and no more can be had, the ledger goes on with what there is, and that is told. One that was never filled,
  and has promised nothing to another, is let go as soon as its writer is dead.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from msgspec import Struct

LogId = tuple[str, bytes]  # the member that began it, and its life
Place = tuple[int, int]  # epoch and sequence of a last record
NOWHERE: Place = (0, 0)
Record = tuple[int, bytes]  # kind and payload
PART_BYTES = 256_000
WINDOW = 20_000  # records that a copy has not acknowledged; past that it is filled anew


class Word(IntEnum):
    """What a copy answers."""

    GRANTED = 1
    OLD = 2  # a higher epoch was promised
    AHEAD = 3  # this copy holds what the asker lacks
    NO_VOTE = 4  # this copy does not hold the log, or may have lost its end
    FULL = 5  # no room for a further log
    GAP = 6  # records are missing before these, or the disk refused some: this copy is to be filled
    OVER = 7  # nothing of the log is needed any more


# Between members.


class Join(Struct, frozen=True, gc=False):
    """This process writes the log from here on, or wants to. ``takes``: it was another's."""

    log: LogId
    epoch: int
    last: Place
    takes: bool = False


class Append(Struct, frozen=True, gc=False):
    log: LogId
    epoch: int
    first: int
    records: tuple[Record, ...]


class Part(Struct, frozen=True, gc=False):
    """A piece of all that a copy needs to go on from a place, in place of what it holds."""

    log: LogId
    epoch: int
    last: Place
    number: int
    more: bool
    data: bytes


class At(Struct, frozen=True, gc=False):
    """Where a copy stands. ``part``: of a whole that is coming, so many pieces are here."""

    log: LogId
    word: Word
    epoch: int  # promised
    last: Place
    part: int = 0


class Exported(Struct, frozen=True, gc=False):
    """A sink has this document of the log."""

    log: LogId
    sink: str
    name: str
    digest: bytes


class Over(Struct, frozen=True, gc=False):
    """Nothing of the log is needed any more."""

    log: LogId
    epoch: int


LogWord = Join | Append | Part | At | Exported | Over


# The writer's side.


@dataclass(frozen=True, slots=True)
class SendTo:
    member: str
    word: LogWord


@dataclass(frozen=True, slots=True)
class WholeWanted:
    """Hand in all that a copy needs, by ``LogWriter.whole``."""

    member: str


@dataclass(frozen=True, slots=True)
class Held:
    """Records up to this one stand at a majority of the holders; past a gap, all may be let go."""

    upto: float


@dataclass(frozen=True, slots=True)
class GapBegan:
    cause: str


@dataclass(frozen=True, slots=True)
class GapEnded:
    for_ms: float


@dataclass(frozen=True, slots=True)
class Raised:
    """Keep where the log stood ``before``, then write under this epoch, a record of no content first."""

    epoch: int
    before: Place


@dataclass(frozen=True, slots=True)
class Elected:
    """A majority has granted the epoch: keep that."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """The log is another's, or holds what this process lacks: write it no more."""

    cause: str


WriterAction = SendTo | WholeWanted | Held | GapBegan | GapEnded | Raised | Elected | Fenced


class State(IntEnum):
    AWAY = 0
    JOINING = 1
    FILLING = 2
    FOLLOWING = 3


@dataclass(slots=True)
class Copy:
    """What the writer knows of one."""

    state: State = State.AWAY
    at: int = 0  # the last sequence that it holds under this epoch
    parts: list[Part] = field(default_factory=list)
    behind: deque[Append] = field(default_factory=deque)  # that came while it is filled
    waiting: int = 0  # records in those
    up: bool = False
    granted: At | None = None  # the epoch of now, to this process
    asked: bool = False  # since the last look, so that one which does not answer is asked again


class LogWriter:
    """``others`` hold copies; of them ``needed`` make a majority with this one. ``held_ms``: an answer waits no longer
    for them. ``before``: the last record of the last time that it was elected; None: it took the log over, elected."""

    def __init__(
        self,
        log: LogId,
        epoch: int,
        last: Place,
        others: tuple[str, ...],
        needed: int,
        held_ms: float,
        before: Place | None,
    ) -> None:
        self.log, self.epoch, self.last, self.needed, self.held_ms = log, epoch, last, needed, held_ms
        self.takes = self.elected = before is None
        self.before = last if before is None else before
        self.copies = {name: Copy() for name in others}
        self.held = 0
        self.waiting_ms = math.inf  # since when somebody waits for a majority
        self.awaited = 0  # the last record that somebody waits for
        self.gap_ms: float | None = None
        self.fenced = False

    @property
    def in_gap(self) -> bool:
        return self.gap_ms is not None

    def reach(self, member: str, up: bool) -> list[WriterAction]:
        copy = self.copies.get(member)
        if copy is None or self.fenced:
            return []
        self._away(copy)
        copy.up = up
        if not up:
            return []
        copy.state, copy.asked = State.JOINING, True
        return [SendTo(member, Join(self.log, self.epoch, self.last if self.elected else self.before))]

    @staticmethod
    def _away(copy: Copy) -> None:
        copy.state, copy.at, copy.waiting, copy.granted = State.AWAY, 0, 0, None
        copy.parts.clear()
        copy.behind.clear()

    def wrote(self, now_ms: float, first: int, records: tuple[Record, ...], waits: bool) -> list[WriterAction]:
        """These stand in the writer's own log. ``waits``: somebody is to be answered once a majority has them."""
        begins = self.last[0] != self.epoch
        self.last = self.epoch, first + len(records) - 1
        if waits and self.waiting_ms == math.inf:
            self.waiting_ms = now_ms
        if waits:
            self.awaited = self.last[1]
        word, actions = Append(self.log, self.epoch, first, records), list[WriterAction]()
        for member, copy in self.copies.items():
            if copy.state is State.FOLLOWING:
                if self.last[1] - copy.at > WINDOW:  # it does not keep up: it is filled once it answers
                    copy.state = State.JOINING
                else:
                    actions.append(SendTo(member, word))
            elif copy.state is State.FILLING:
                copy.behind.append(word)
                copy.waiting += len(records)
                if copy.waiting > WINDOW:
                    self._away(copy)
                    copy.state = State.JOINING
        if begins:  # copies may have granted the epoch before its first record was written
            for member, copy in self.copies.items():
                if copy.granted is not None and copy.state is State.JOINING:
                    actions += self.told(now_ms, member, copy.granted)
        return actions

    def whole(self, member: str, data: bytes) -> list[WriterAction]:
        """All that a copy needs to go on from this process's last record."""
        copy = self.copies[member]
        pieces = [data[at : at + PART_BYTES] for at in range(0, max(len(data), 1), PART_BYTES)]
        copy.parts = [
            Part(self.log, self.epoch, self.last, number, number < len(pieces) - 1, piece)
            for number, piece in enumerate(pieces)
        ]
        copy.state = State.FILLING
        return [SendTo(member, copy.parts[0])]

    def told(self, now_ms: float, member: str, at: At) -> list[WriterAction]:
        copy = self.copies.get(member)
        if copy is None or self.fenced or not copy.up:
            return []
        copy.asked = True
        match at.word:
            case Word.AHEAD:
                return self._fence(f"{member} holds records up to {at.last}, this process up to {self.last}")
            case Word.OLD:
                if self.takes:
                    return self._fence(f"{member} has promised epoch {at.epoch} to another process")
                return self._raise(at.epoch)
            case Word.OVER:
                return self._fence(f"{member} says that all of it was exported")
            case Word.FULL | Word.NO_VOTE:
                copy.state = State.AWAY
                return []
        if at.epoch != self.epoch:
            return []
        if self.last[0] != self.epoch:
            copy.granted = at  # it counts once this process's first record of the epoch is written
            return []
        if not self.elected:
            return self._granted(now_ms, copy, at)
        return self._follows(now_ms, member, copy, at)

    def _granted(self, now_ms: float, copy: Copy, at: At) -> list[WriterAction]:
        copy.granted = at
        granted = {name: one.granted for name, one in self.copies.items() if one.granted is not None}
        # A copy without a word may have lost what another wrote meanwhile: it counts if none was before, or all tell.
        sure = sum(told.last != NOWHERE for told in granted.values())
        if (len(granted) if self.before == NOWHERE else sure) < self.needed and len(granted) < len(self.copies):
            return []
        self.elected = True
        actions: list[WriterAction] = [Elected()]
        for member, told in granted.items():
            actions += self._follows(now_ms, member, self.copies[member], told)
        return actions

    def _follows(self, now_ms: float, member: str, copy: Copy, at: At) -> list[WriterAction]:
        if at.word is Word.GAP and copy.state is State.FOLLOWING:
            return [WholeWanted(member)]
        if copy.state is State.FILLING:
            if at.last[0] != self.epoch or at.part:
                return [SendTo(member, copy.parts[at.part])] if 0 < at.part < len(copy.parts) else []
            sends = [SendTo(member, word) for word in copy.behind]
            self._away(copy)
            copy.state, copy.at = State.FOLLOWING, at.last[1]
            return [*sends, *self._count(now_ms)]
        if at.last[0] == self.epoch and copy.state is State.FOLLOWING:
            copy.at = max(copy.at, at.last[1])
            return self._count(now_ms)
        if copy.state is State.JOINING and at.last == self.last and at.last[0] == self.epoch:
            copy.state, copy.at = State.FOLLOWING, at.last[1]
            return self._count(now_ms)
        return [WholeWanted(member)]

    def _raise(self, promised: int) -> list[WriterAction]:
        """A takeover was begun and came to nothing, as far as this process knows."""
        if promised < self.epoch:
            return []  # told before this process raised it last
        if self.elected:
            self.before, self.elected = self.last, False
        self.epoch = promised + 1
        actions: list[WriterAction] = [Raised(self.epoch, self.before)]
        for member, copy in self.copies.items():
            if copy.up:
                actions += self.reach(member, True)
        return actions

    def _fence(self, cause: str) -> list[WriterAction]:
        self.fenced = True
        return [Fenced(cause)]

    def _count(self, now_ms: float) -> list[WriterAction]:
        places = sorted((copy.at for copy in self.copies.values() if copy.state is State.FOLLOWING), reverse=True)
        if len(places) < self.needed:
            return []
        upto = places[self.needed - 1] if self.needed else self.last[1]
        if upto <= self.held:
            return []
        self.held = upto
        self.waiting_ms = now_ms if upto < self.awaited else math.inf
        actions: list[WriterAction] = [Held(upto)]
        if self.gap_ms is not None and upto >= self.last[1]:
            actions.append(GapEnded(now_ms - self.gap_ms))
            self.gap_ms = None
        return actions

    def again(self) -> list[WriterAction]:
        """At times, some seconds apart: whoever is in reach and does not follow is asked anew."""
        actions: list[WriterAction] = []
        for member, copy in self.copies.items():
            if copy.up and copy.state is not State.FOLLOWING and not copy.asked:
                actions += self.reach(member, True)
            copy.asked = False
        return actions

    def tick(self, now_ms: float, due_ms: float = math.inf) -> list[WriterAction]:
        """``due_ms``: then somebody who waits must be answered."""
        waited_ms = now_ms - self.waiting_ms
        if self.gap_ms is not None or self.fenced or (waited_ms < self.held_ms and now_ms < due_ms):
            return []
        self.gap_ms = now_ms
        following = [name for name, copy in self.copies.items() if copy.state is State.FOLLOWING]
        return [
            GapBegan(
                f"of {len(following)} copies that follow ({self.needed} must answer) too few did within "
                f"{max(waited_ms, 0.0):.0f} ms, and answers were due"
            ),
            Held(math.inf),
        ]


# The holders' side.


@dataclass(frozen=True, slots=True)
class Promise:
    """Keep on the disk that this epoch is this process's, before anything is answered."""

    log: LogId
    epoch: int
    by: str


@dataclass(frozen=True, slots=True)
class Write:
    log: LogId
    epoch: int
    first: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Replace:
    """Hold this in place of what stood there."""

    log: LogId
    last: Place
    data: bytes


@dataclass(frozen=True, slots=True)
class Note:
    """Keep that a sink has this document."""

    told: Exported


@dataclass(frozen=True, slots=True)
class Forget:
    """Keep of it only that it is over, under this epoch."""

    log: LogId
    epoch: int


@dataclass(frozen=True, slots=True)
class Drop:
    log: LogId


@dataclass(frozen=True, slots=True)
class Lost:
    """Nothing of it is held here, and its writer stays dead: drop it, and tell."""

    log: LogId
    of: str  # the process that wrote it


@dataclass(frozen=True, slots=True)
class Answer:
    to: str  # a process
    word: At


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask a member, or tell it that all of a log is over."""

    member: str
    word: Join | Over


@dataclass(frozen=True, slots=True)
class Taken:
    """This member goes on with the log, under this epoch."""

    log: LogId
    epoch: int
    last: Place
    of: str  # the process that wrote it
    without: tuple[str, ...]  # holders that had no word: what they and the dead writer alone held is missing


HolderAction = Promise | Write | Replace | Note | Forget | Drop | Lost | Answer | Ask | Taken


@dataclass(frozen=True, slots=True)
class HolderPace:
    take_over_ms: float = 60_000.0  # its writer is dead for so long
    patience: float = 10.0  # so many times that, and a holder without a word is counted: more can't be had any more
    stagger_ms: float = 1000.0  # between the first holder's try and the next one's
    again_ms: float = 5000.0  # between two tries
    logs: int = 256  # held at once
    part_bytes: int = 64 << 20  # of one that is filled


@dataclass(slots=True)
class HeldLog:
    promised: int
    by: str  # the process that it was promised to
    writer: str  # the process whose records stand here
    last: Place
    sure: bool  # all that it ever acknowledged stands here
    dead_ms: float | None = None  # since when its writer is
    asked_ms: float = -math.inf
    votes: set[str] = field(default_factory=set)  # for a takeover by this member
    wordless: set[str] = field(default_factory=set)  # of the holders asked
    patient: bool = True  # those do not count
    taking: int = 0  # the epoch of that; 0: none is under way
    seen: int = 0  # the highest epoch that another holder has promised
    behind: bool = False  # another holds more, and is the one to take it over
    parts: list[bytes] = field(default_factory=list)
    parts_bytes: int = 0
    over: bool = False  # nothing of it is left but that


class HeldLogs:
    """``holders`` are those of a member's logs, that member first. ``lives`` tells whether a process does."""

    def __init__(
        self,
        me: str,
        identity: str,
        holders: Callable[[str], tuple[str, ...]],
        lives: Callable[[str], bool],
        pace: HolderPace | None = None,
    ) -> None:
        self.me, self.identity, self.holders, self.lives, self.pace = me, identity, holders, lives, pace or HolderPace()
        self.table: dict[LogId, HeldLog] = {}
        self.own: LogId | None = None  # that this process writes for its member: of that it is no second holder

    def restored(self, log: LogId, promised: int, by: str, last: Place, sure: bool, over: bool) -> None:
        self.table[log] = HeldLog(promised, by, by, last, sure, over=over)

    def put_back(self, log: LogId, promised: int, by: str, last: Place, sure: bool, over: bool) -> None:
        """The disk refused an action: this is what stands there, and all that counts. Whoever wrote the log last is
        known as before. ``sure`` False: it may lack what it acknowledged, until it is filled anew."""
        held = self.table.get(log)
        writer, dead_ms = (held.writer, held.dead_ms) if held is not None else (by, None)
        self.table[log] = HeldLog(promised, by, writer, last, sure, dead_ms, over=over)

    def dropped(self, log: LogId) -> None:
        """Nothing of it could be kept: it is as if nobody had asked."""
        self.table.pop(log, None)

    def asked(self, by: str, word: LogWord) -> list[HolderAction]:
        """By a process that writes a log, or wants to."""
        held = self.table.get(word.log)
        if word.log == self.own:
            return []  # it is still to hear that another has it
        if held is not None and held.over:
            asks = isinstance(word, Join | Append | Part)
            return [Answer(by, At(word.log, Word.OVER, held.promised, held.last))] if asks else []
        match word:
            case Join():
                return self._join(by, word, held)
            case Append(log, epoch, first, records):
                if held is None or held.promised != epoch or held.by != by:
                    return self._refused(by, log, held)
                if first != held.last[1] + 1 or not held.sure:
                    return [Answer(by, At(log, Word.GAP, epoch, held.last))]
                held.last = epoch, first + len(records) - 1
                return [Write(log, epoch, first, records), Answer(by, At(log, Word.GRANTED, epoch, held.last))]
            case Part():
                return self._part(by, word, held)
            case Exported(log):
                return [Note(word)] if held is not None else []
            case Over(log, epoch):
                return self.over(log, epoch) if held is not None and epoch >= held.promised else []
        return []

    def reach(self, member: str) -> list[HolderAction]:
        """That member is in reach again: it may not have heard of what ended meanwhile, and holds it for ever."""
        return [
            Ask(member, Over(log, held.promised))
            for log, held in self.table.items()
            if held.over and member in self.holders(log[0])
        ]

    def over(self, log: LogId, epoch: int) -> list[HolderAction]:
        held = self.table[log]
        self.table[log] = HeldLog(epoch, held.by, held.writer, held.last, False, over=True)
        return [Forget(log, epoch)]

    def _refused(self, by: str, log: LogId, held: HeldLog | None) -> list[HolderAction]:
        if held is None:
            return [Answer(by, At(log, Word.NO_VOTE, 0, NOWHERE))]
        return [Answer(by, At(log, Word.OLD, held.promised, held.last))]

    def _join(self, by: str, word: Join, held: HeldLog | None) -> list[HolderAction]:
        log, epoch = word.log, word.epoch
        if held is None:
            if word.takes:
                return self._refused(by, log, None)
            actions: list[HolderAction] = self._make_room()
            if len(self.table) >= self.pace.logs or self.me not in self.holders(log[0]):
                return [Answer(by, At(log, Word.FULL, 0, NOWHERE))]
            self.table[log] = HeldLog(epoch, by, by, NOWHERE, False)
            self._left(by, log)
            return [*actions, Promise(log, epoch, by), Answer(by, self._no_vote(word, epoch, NOWHERE))]
        if epoch < held.promised or (epoch == held.promised and by != held.by):
            return self._refused(by, log, held)
        own = (word.epoch, by) == (held.promised, held.by) and held.last[0] == word.epoch  # and the question is late
        if held.sure and held.last > word.last and not own:
            return [Answer(by, At(log, Word.AHEAD, held.promised, held.last))]
        actions = []
        if (epoch, by) != (held.promised, held.by):
            held.promised, held.by, held.taking = epoch, by, 0
            actions.append(Promise(log, epoch, by))
        if not word.takes:
            held.writer, held.dead_ms = by, None
            self._left(by, log)
        held.parts, held.parts_bytes = [], 0
        if not held.sure:
            return [*actions, Answer(by, self._no_vote(word, epoch, held.last))]
        return [*actions, Answer(by, At(log, Word.GRANTED, epoch, held.last))]

    def _left(self, by: str, log: LogId) -> None:
        """A process writes one log of its own member: an earlier one was another's before it knew."""
        for (member, life), held in self.table.items():
            if (member, held.writer) == (log[0], by) and life != log[1] and by.rpartition("#")[0] == member:
                held.writer = ""

    def _make_room(self) -> list[HolderAction]:
        """What is over is remembered while there is room: a holder that was away then hears of it."""
        past = [log for log, held in self.table.items() if held.over]
        return [Drop(self._dropped(log)) for log in past[: max(0, len(self.table) + 1 - self.pace.logs)]]

    def _dropped(self, log: LogId) -> LogId:
        del self.table[log]
        return log

    @staticmethod
    def _no_vote(word: Join, epoch: int, last: Place) -> At:
        """It can be filled by whoever writes the log, and has no word on who takes it over; ``last``: what it may hold,
        for another that is unsure too."""
        return At(word.log, Word.NO_VOTE, epoch, last) if word.takes else At(word.log, Word.GRANTED, epoch, NOWHERE)

    def _part(self, by: str, word: Part, held: HeldLog | None) -> list[HolderAction]:
        log = word.log
        if held is None or held.promised != word.epoch or held.by != by:
            return self._refused(by, log, held)
        if held.sure and held.last[0] == word.epoch and held.last >= word.last:  # it comes late: nothing goes back
            return [Answer(by, At(log, Word.GRANTED, word.epoch, held.last))]
        if word.number == 0:
            held.parts, held.parts_bytes = [], 0
        if word.number != len(held.parts) or held.parts_bytes + len(word.data) > self.pace.part_bytes:
            return []
        held.parts.append(word.data)
        held.parts_bytes += len(word.data)
        if word.more:
            return [Answer(by, At(log, Word.GRANTED, word.epoch, NOWHERE, len(held.parts)))]
        data, held.parts, held.parts_bytes = b"".join(held.parts), [], 0
        held.last, held.sure = word.last, True
        return [Replace(log, word.last, data), Answer(by, At(log, Word.GRANTED, word.epoch, word.last))]

    # Takeover.

    def told(self, member: str, at: At) -> list[HolderAction]:
        """By another holder, of a takeover that this member began."""
        held = self.table.get(at.log)
        if held is None or not held.taking:
            return []
        if at.word is Word.OVER:
            return self.over(at.log, max(at.epoch, held.promised))
        more = at.word is Word.AHEAD or (not held.sure and at.word is Word.NO_VOTE and at.last > held.last)
        held.seen, held.behind = max(held.seen, at.epoch), held.behind or more
        if at.word is Word.NO_VOTE and not more:
            held.wordless.add(member)
        elif at.epoch == held.taking and at.word is Word.GRANTED:
            held.votes.add(member)
        return self._majority(at.log, held)

    def _majority(self, log: LogId, held: HeldLog) -> list[HolderAction]:
        holders, wordless = self.holders(log[0]), held.wordless - held.votes
        if held.sure and len(held.votes) + 1 >= len(holders) // 2 + 1:
            wordless = set()
        elif held.patient or not held.votes | wordless >= {name for name in holders if name not in (self.me, log[0])}:
            return []  # one that does not answer may hold more
        epoch, held.taking = held.taking, 0
        if held.last == NOWHERE:
            return self._lost(log, held)
        of, held.writer = held.writer, self.identity
        return [Taken(log, epoch, held.last, of, tuple(sorted(wordless)))]

    def _lost(self, log: LogId, held: HeldLog) -> list[HolderAction]:
        del self.table[log]
        return [Lost(log, held.writer)]

    def _never_filled(self, held: HeldLog) -> bool:
        """Nothing is lost with this copy, and no promise that it gave to another than its writer is forgotten."""
        return not held.sure and held.last == NOWHERE and held.by == held.writer

    def tick(self, now_ms: float) -> list[HolderAction]:
        actions: list[HolderAction] = []
        for log, held in list(self.table.items()):
            if held.over:
                continue
            if held.writer == self.identity or self.lives(held.writer):
                held.dead_ms, held.taking = None, 0
                continue
            if held.dead_ms is None:
                held.dead_ms = now_ms
            holders = self.holders(log[0])
            rank = holders.index(self.me) if self.me in holders else len(holders)
            due_ms = held.dead_ms + self.pace.take_over_ms + rank * self.pace.stagger_ms
            again_ms = (self.pace.again_ms + rank * self.pace.stagger_ms) * (4 if held.behind else 1)
            if now_ms < max(due_ms, held.asked_ms + again_ms):
                continue
            if self._never_filled(held):
                actions += self._lost(log, held)
                continue
            held.patient = now_ms < held.dead_ms + self.pace.patience * self.pace.take_over_ms
            if held.patient and not held.sure:  # a sure one may be there yet
                continue
            held.asked_ms, held.behind = now_ms, False
            held.votes, held.wordless = set(), set()
            held.promised = held.taking = max(held.promised, held.seen) + 1
            held.by = self.identity
            actions.append(Promise(log, held.promised, held.by))
            actions += [Ask(name, Join(log, held.promised, held.last, True)) for name in holders if name != self.me]
            actions += self._majority(log, held)
        return actions
