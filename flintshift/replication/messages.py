"""Messages between members on their copies, and events and actions of the state machines that hold and agree on them.

A keyed write makes some sixty of them over the fleet, so they are `msgspec` structs: made in a tenth of the time that a
frozen dataclass takes, and as immutable.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from flintshift.core.keys import Stage
from flintshift.interface import Outcome

Key = tuple[str, str]  # class, and the key that all tries of one request share
Ballot = tuple[int, str]  # a number, and the process that proposes under it: no two share one
NO_BALLOT: Ballot = (-1, "")
FIRST_CLASSIC_BALLOT_NUMBER = 2  # 0 is the round without a promise, 1 that of its winner alone


class Value(Struct, frozen=True, gc=False):
    """What a register holds."""

    stage: Stage
    owner: str  # the id of the try that claimed it
    runner: str  # the process that may run it
    fingerprint: bytes  # of tenant and body, which all tries share
    retention_ms: float  # so long it is kept by each holder, from when it is written there
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


class Ask(Struct, frozen=True, gc=False):
    number: int  # of the question, new with every step of every proposal of a process
    proposer: str
    step: Step
    key: Key
    ballot: Ballot
    stores: tuple[int, ...]  # the incarnations of the holders' stores that the asker knows, in their order
    value: Value | None = None
    watch: bool = False  # tell when the key has ended


class Vote(Struct, frozen=True, gc=False):
    number: int
    verdict: Verdict
    promised: Ballot
    ballot: Ballot  # of the value
    value: Value | None
    stores: tuple[int, ...]  # as this holder knows them; 0: not


# What the proposals are told.


class Claim(Struct, frozen=True, gc=False):
    """A try wants to run under a key; until then it waits for the holders' word."""

    key: Key
    owner: str
    fingerprint: bytes
    retention_ms: float
    deadline_ms: float
    may_be_repeat: bool  # it may be a further try of a request that ran elsewhere


class Finish(Struct, frozen=True, gc=False):
    """The run that this process claimed has ended."""

    key: Key
    owner: str
    fingerprint: bytes
    retention_ms: float
    deadline_ms: float
    outcome: Outcome
    result: bytes


class Free(Struct, frozen=True, gc=False):
    """What this process claimed did not run, and will not."""

    key: Key
    owner: str


class TakeOver(Struct, frozen=True, gc=False):
    """The runner of this claim is dead: it may have run, and that is all that will be known."""

    key: Key
    owner: str


class Follow(Struct, frozen=True, gc=False):
    """Tell when this key, claimed elsewhere, has ended."""

    key: Key
    owner: str


class CallerDeparted(Struct, frozen=True, gc=False):
    """The caller of this try does not wait any more."""

    key: Key
    owner: str


class Voted(Struct, frozen=True, gc=False):
    member: str
    vote: Vote


class Ended(Struct, frozen=True, gc=False):
    """A holder says that a key which is followed has ended."""

    key: Key


class ReachabilityChanged(Struct, frozen=True, gc=False):
    """A holder is in reach, or no longer, and which incarnation its store has (0: not known)."""

    member: str
    reachable: bool
    store: int


class Tick(Struct, frozen=True, gc=False):
    pass


Event = Claim | Finish | Free | TakeOver | Follow | CallerDeparted | Voted | Ended | ReachabilityChanged | Tick


# What they answer.


class Send(Struct, frozen=True, gc=False):
    to: str
    ask: Ask


class Granted(Struct, frozen=True, gc=False):
    """The key is this try's: it may run."""

    owner: str


class ClaimedByOther(Struct, frozen=True, gc=False):
    """The key is another try's; these wait for what becomes of it."""

    waiting_owners: tuple[str, ...]
    key: Key
    value: Value


class MajorityUnavailable(Struct, frozen=True, gc=False):
    """No majority can be had now. ``may_have_run``: this try is a further one, or a holder knows of the key."""

    owner: str
    may_have_run: bool
    cause: str


class Settled(Struct, frozen=True, gc=False):
    """How a run of this process ended, as every member will tell it. ``is_own_outcome``: as it told itself."""

    key: Key
    owner: str
    outcome: Outcome
    result: bytes
    is_own_outcome: bool


class OutcomeOverdue(Struct, frozen=True, gc=False):
    """The outcome of this run reached no majority in time; it is still being written."""

    owner: str


class FollowedKeyEnded(Struct, frozen=True, gc=False):
    """What became of a key that is followed."""

    key: Key
    value: Value


class TookOver(Struct, frozen=True, gc=False):
    """A claim of a dead runner was settled."""

    key: Key
    value: Value


Action = Send | Granted | ClaimedByOther | MajorityUnavailable | Settled | OutcomeOverdue | FollowedKeyEnded | TookOver
