"""Messages between members about replicated keys, and the events and actions of the state machines that agree on them.

A keyed write makes about sixty of them over the whole fleet. They are therefore `msgspec` structs, which are created in
a tenth of the time that a frozen dataclass takes and are just as immutable.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from flintshift.core.keys import Stage
from flintshift.interface import Outcome

Key = tuple[str, str]  # class, and the key that all tries of one request share
Ballot = tuple[int, str]  # a number and the process that proposes under it; no two processes share a ballot
NO_BALLOT: Ballot = (-1, "")
FIRST_CLASSIC_BALLOT_NUMBER = 2  # 0 is the fast round without promises, 1 belongs to the winner of that round alone


class Value(Struct, frozen=True, gc=False):
    """The content of a register."""

    stage: Stage
    owner: str  # id of the try that claimed the key
    runner: str  # process that may run the request
    fingerprint: bytes  # of tenant and body, which all tries of a request share
    retention_ms: float  # how long each holder keeps the value, from the time of its write there
    outcome: Outcome | None = None
    result: bytes = b""


class Step(IntEnum):
    """What a proposer asks of a holder."""

    READ = 1  # report the register without changing it
    FIRST = 2  # accept this value if nothing is known of the key (round 0)
    PREPARE = 3  # promise not to take part in ballots below this one
    ACCEPT = 4  # accept this value under this ballot


class Verdict(IntEnum):
    """How a holder answers a step."""

    OK = 1
    BEHIND = 2  # a higher ballot was promised, or the register is no longer empty
    ABSENT = 3  # this holder can't vote on the key now, because its store is being refilled
    STALE = 4  # the proposer relies on a store that no longer exists
    FULL = 5  # there is no room for a further key


class Ask(Struct, frozen=True, gc=False):
    """A request for a vote, sent from a proposer to a holder."""

    number: int  # of this request; each step of each proposal of a process has a new one
    proposer: str
    step: Step
    key: Key
    ballot: Ballot
    stores: tuple[int, ...]  # store incarnations of the holders as the proposer knows them, in the holders' order
    value: Value | None = None
    watch: bool = False  # notify the proposer when the key has ended


class Vote(Struct, frozen=True, gc=False):
    """A holder's answer to an `Ask`."""

    number: int
    verdict: Verdict
    promised: Ballot
    ballot: Ballot  # of the value
    value: Value | None
    stores: tuple[int, ...]  # store incarnations of the holders as this holder knows them; 0: unknown


# Events that the proposals handle.


class Claim(Struct, frozen=True, gc=False):
    """A try asks to run under a key. It waits until a majority of the holders has answered."""

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
    """The try that this process claimed did not run, and never will."""

    key: Key
    owner: str


class TakeOver(Struct, frozen=True, gc=False):
    """The runner of this claim is dead. Nobody will ever know more than that the request may have run."""

    key: Key
    owner: str


class Follow(Struct, frozen=True, gc=False):
    """Asks for a report when this key, which another process claimed, has ended."""

    key: Key
    owner: str


class CallerDeparted(Struct, frozen=True, gc=False):
    """The caller of this try no longer waits."""

    key: Key
    owner: str


class Voted(Struct, frozen=True, gc=False):
    """A vote of a holder has arrived."""

    member: str
    vote: Vote


class Ended(Struct, frozen=True, gc=False):
    """A holder reports that a followed key has ended."""

    key: Key


class ReachabilityChanged(Struct, frozen=True, gc=False):
    """A holder became reachable or unreachable. ``store`` is the incarnation of its store (0: unknown)."""

    member: str
    reachable: bool
    store: int


class Tick(Struct, frozen=True, gc=False):
    """Time has passed; deadlines and retries are to be checked."""

    pass


Event = Claim | Finish | Free | TakeOver | Follow | CallerDeparted | Voted | Ended | ReachabilityChanged | Tick


# Actions that the proposals return.


class Send(Struct, frozen=True, gc=False):
    """Send this request for a vote to a member."""

    to: str
    ask: Ask


class Granted(Struct, frozen=True, gc=False):
    """The try holds the claim on its key and may run."""

    owner: str


class ClaimedByOther(Struct, frozen=True, gc=False):
    """Another try holds the claim on the key. The waiting tries depend on how that one ends."""

    waiting_owners: tuple[str, ...]
    key: Key
    value: Value


class MajorityUnavailable(Struct, frozen=True, gc=False):
    """No majority of the holders can be had now.

    ``may_have_run``: this try is a further one of its request, or a holder knows of the key.
    """

    owner: str
    may_have_run: bool
    cause: str


class Settled(Struct, frozen=True, gc=False):
    """How a run of this process ended, as every member will report it.

    ``is_own_outcome``: it is the outcome that this process itself reported.
    """

    key: Key
    owner: str
    outcome: Outcome
    result: bytes
    is_own_outcome: bool


class OutcomeOverdue(Struct, frozen=True, gc=False):
    """The outcome of this run did not reach a majority in time. Writing it goes on."""

    owner: str


class FollowedKeyEnded(Struct, frozen=True, gc=False):
    """The end of a followed key."""

    key: Key
    value: Value


class TookOver(Struct, frozen=True, gc=False):
    """A claim of a dead runner was settled."""

    key: Key
    value: Value


Action = Send | Granted | ClaimedByOther | MajorityUnavailable | Settled | OutcomeOverdue | FollowedKeyEnded | TookOver
