"""The records of the usage ledger's log, stored as MessagePack arrays.

The number of a record's kind is stored in its frame and is never reused for another kind. Fields are added only at the
end and with a default, so that an older log stays readable. All amounts are whole numbers; times are Unix milliseconds,
UTC.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

FRONTS = ("http", "uwsgi")
OUTCOMES = ("served", "poorer", "refused", "failed", "gone")
GONE = OUTCOMES.index("gone")  # the caller disconnected before its answer was sent
OTHER_CLUBS = "(other)"  # in place of a club that the configuration does not name
AMOUNTS = ("requests", "further_tries", "kept", "run_us", "calls", "bytes_in", "bytes_out")
# Flags of a claim. With FLAG_NO_ANSWER there is no answer to deliver.
FLAG_FURTHER_TRY, FLAG_KEPT_RESULT, FLAG_NO_ANSWER = 1, 2, 4


class Opened(msgspec.Struct, array_like=True, frozen=True):
    """The node started. Earlier claims that have no mark are in doubt from here on."""

    node: str
    life: bytes  # id of the ledger
    period_ms: int
    clubs: list[str]
    classes: list[str]
    at_ms: int


class Rotated(msgspec.Struct, array_like=True, frozen=True):
    """A period began: requests from here on belong to it. ``period`` is its begin."""

    period: int
    length: int


class Claim(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A final answer is about to be sent. ``row`` is the ``row_number`` of its club, class, front and outcome."""

    id: bytes
    row: int
    flags: int
    run_us: int
    calls: int
    bytes_in: int
    bytes_out: int


class Marked(msgspec.Struct, array_like=True, frozen=True):
    """Answers were sent, or their callers disconnected first. Claims are given by sequence, relative to ``base``."""

    base: int
    delivered: list[int]
    undelivered: list[int]


class LateRun(msgspec.Struct, array_like=True, frozen=True):
    """A run ended after its request's final answer.

    It is recorded in the period of that answer, or in the current one if that has closed.
    """

    period: int
    row: int
    run_us: int
    calls: int


class Closed(msgspec.Struct, array_like=True, frozen=True):
    """A period was closed, which makes its document."""

    period: int
    at_ms: int


class Corrected(msgspec.Struct, array_like=True, frozen=True):
    """A correction of a row was accepted."""

    id: str
    author: str
    reason: str
    at_ms: int
    period: int
    club: str
    class_name: str
    front: str
    outcome: str
    amounts: list[int]
    length: int  # of the period


class Published(msgspec.Struct, array_like=True, frozen=True):
    """All documents up to this number are in files of their own."""

    number: int


class Gap(msgspec.Struct, array_like=True, frozen=True):
    """The disk refused records for this time, during which use was recorded in memory."""

    from_ms: int
    to_ms: int
    requests: int
    cause: str


class ClockStepped(msgspec.Struct, array_like=True, frozen=True):
    """The system's clock was moved."""

    at_ms: int
    by_ms: int


class Ended(msgspec.Struct, array_like=True, frozen=True):
    """The node stopped cleanly."""

    at_ms: int


class Forgotten(msgspec.Struct, array_like=True, frozen=True):
    """Corrections of periods that began before this time are forgotten, and no new ones are accepted."""

    before: int


class RowListsChanged(msgspec.Struct, array_like=True, frozen=True):
    """Rows are numbered by these lists from here on. They contain every name of the lists before."""

    clubs: list[str]
    classes: list[str]


Entry = (
    RowListsChanged
    | Opened
    | Rotated
    | Claim
    | Marked
    | LateRun
    | Closed
    | Corrected
    | Published
    | Gap
    | ClockStepped
    | Ended
    | Forgotten
)
KINDS: dict[int, type[Any]] = {
    1: Opened,
    2: Rotated,
    3: Claim,
    4: Marked,
    5: LateRun,
    6: Closed,
    7: Corrected,
    8: Published,
    9: Gap,
    10: ClockStepped,
    11: Ended,
    12: Forgotten,
    13: RowListsChanged,
}
SNAPSHOT_KIND = 32  # of the frame that contains a snapshot
NUMBERS = {kind: number for number, kind in KINDS.items()}
_encode = msgspec.msgpack.Encoder().encode
_decode: dict[int, Callable[[bytes], Any]] = {
    number: msgspec.msgpack.Decoder(kind).decode for number, kind in KINDS.items()
}
CLAIM_KIND = NUMBERS[Claim]
unpack_claim = msgspec.msgpack.Decoder(Claim).decode


def pack(entry: Entry) -> tuple[int, bytes]:
    """Encode a record; return its kind and payload."""
    return NUMBERS[type(entry)], _encode(entry)


def unpack(kind: int, payload: bytes) -> Entry:
    """Decode a record.

    Raises:
        ValueError: the kind is unknown, or the payload is malformed.
    """
    decode = _decode.get(kind)
    if decode is None:
        raise ValueError(f"records of kind {kind} are not known to this program")
    entry: Entry = decode(payload)
    return entry


def row_number(club: int, class_index: int, classes: int, front: int, outcome: int) -> int:
    """Combine the indexes of a row's club, class, front and outcome into one number; ``classes`` is their count."""
    return ((club * classes + class_index) * len(FRONTS) + front) * len(OUTCOMES) + outcome


def renumber_row(row: int, before: tuple[list[str], list[str]], after: tuple[list[str], list[str]]) -> int:
    """Return a row's number under new lists of clubs and classes, which contain all names of the old lists.

    >>> renumber_row(row_number(1, 0, 1, 0, 2), (["a"], ["look"]), (["b", "a"], ["pay", "look"]))  # of no listed club
    52
    """
    number, outcome = divmod(row, len(OUTCOMES))
    number, front = divmod(number, len(FRONTS))
    club, class_index = divmod(number, len(before[1]))
    club_index = after[0].index(before[0][club]) if club < len(before[0]) else len(after[0])
    return row_number(club_index, after[1].index(before[1][class_index]), len(after[1]), front, outcome)
