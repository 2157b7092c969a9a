"""The words of the copies: what holders keep, what is asked of them, and what the hearts are told and answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from flintshift.interface import Outcome

Key = tuple[str, str]  # class, and the key that all tries of one request share
Ballot = tuple[int, str]  # a number, and the process that proposes under it: no two share one
NO_BALLOT: Ballot = (-1, "")
FIRST_CLASSIC = 2  # 0 is the round without a promise, 1 that of its winner alone


class Stage(IntEnum):
    """Where a key stands."""

    CLAIMED = 1  # a try of it may run, or may have run
    FINISHED = 2  # it ran, and how it ended is known; or nobody can know any more, which is Outcome.ERROR
    FREE = 3  # it never ran


@dataclass(frozen=True, slots=True)
class Value:
    """What a register holds."""

    stage: Stage
    owner: str  # the id of the try that claimed it
    runner: str  # the process that may run it
    print: bytes  # of tenant and body, which all tries share
    for_ms: float  # so long it is kept by each holder, from when it is written there
    outcome: Outcome | None = None
    result: bytes = b""


class Step(IntEnum):
    """What is asked of a holder."""

    READ = 1  # what stands there; nothing changes
    FIRST = 2  # take this value if you know nothing of the key (round 0)
    PREPARE = 3  # promise not to take part in ballots below this one
    ACCEPT = 4  # take this value under this ballot


class Verdict(IntEnum):
    OK = 1
    BEHIND = 2  # a higher ballot was promised, or the register is no longer empty
    ABSENT = 3  # this holder has no vote on that key now: its store is being filled
    STALE = 4  # the asker counts on a store that is gone
    FULL = 5  # there is no room for a further key


@dataclass(frozen=True, slots=True)
class Ask:
    number: int  # of the question, new with every step of every proposal of a process
    by: str
    step: Step
    key: Key
    ballot: Ballot
    stores: tuple[int, ...]  # the incarnations of the holders' stores that the asker knows, in their order
    value: Value | None = None
    watch: bool = False  # tell when the key has ended


@dataclass(frozen=True, slots=True)
class Vote:
    number: int
    verdict: Verdict
    promised: Ballot
    ballot: Ballot  # of the value
    value: Value | None
    stores: tuple[int, ...]  # as this holder knows them; 0: not


# What the proposals are told.


@dataclass(frozen=True, slots=True)
class Claim:
    """A try wants to run under a key; until then it waits for the holders' word."""

    key: Key
    owner: str
    print: bytes
    for_ms: float
    until_ms: float
    again: bool  # it may be a further try of a request that ran elsewhere


@dataclass(frozen=True, slots=True)
class Finish:
    """The run that this process claimed has ended."""

    key: Key
    owner: str
    print: bytes
    for_ms: float
    until_ms: float
    outcome: Outcome
    result: bytes


@dataclass(frozen=True, slots=True)
class Free:
    """What this process claimed did not run, and will not."""

    key: Key
    owner: str


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The runner of this claim is dead: it may have run, and that is all that will be known."""

    key: Key
    owner: str


@dataclass(frozen=True, slots=True)
class Follow:
    """Tell when this key, claimed elsewhere, has ended."""

    key: Key
    owner: str


@dataclass(frozen=True, slots=True)
class Gone:
    """The caller of this try does not wait any more."""

    key: Key
    owner: str


@dataclass(frozen=True, slots=True)
class Voted:
    member: str
    vote: Vote


@dataclass(frozen=True, slots=True)
class Ended:
    """A holder says that a key which is followed has ended."""

    key: Key


@dataclass(frozen=True, slots=True)
class Reach:
    """A holder is in reach, or no longer, and which incarnation its store has (0: not known)."""

    member: str
    up: bool
    store: int


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Claim | Finish | Free | TakeOver | Follow | Gone | Voted | Ended | Reach | Tick


# What they answer.


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    ask: Ask


@dataclass(frozen=True, slots=True)
class Granted:
    """The key is this try's: it may run."""

    owner: str


@dataclass(frozen=True, slots=True)
class Known:
    """The key is another try's; these wait for what becomes of it."""

    waiting: tuple[str, ...]
    key: Key
    value: Value


@dataclass(frozen=True, slots=True)
class NoWord:
    """No majority can be had now. ``may_have_run``: this try is a further one, or a holder knows of the key."""

    owner: str
    may_have_run: bool
    cause: str


@dataclass(frozen=True, slots=True)
class Settled:
    """How a run of this process ended, as every member will tell it. ``ours``: as it told itself."""

    key: Key
    owner: str
    outcome: Outcome
    result: bytes
    ours: bool


@dataclass(frozen=True, slots=True)
class Overdue:
    """The outcome of this run reached no majority in time; it is still being written."""

    owner: str


@dataclass(frozen=True, slots=True)
class Told:
    """What became of a key that is followed."""

    key: Key
    value: Value


@dataclass(frozen=True, slots=True)
class TookOver:
    """A claim of a dead runner was settled."""

    key: Key
    value: Value


Action = Send | Granted | Known | NoWord | Settled | Overdue | Told | TookOver
