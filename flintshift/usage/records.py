"""The records of the ledger's log and their form: MessagePack arrays, one kind of record each.

A kind's number stands in its frame and is never used for anything else. Fields are only ever added at an end, with
a default, so that an older log stays readable. All amounts are whole numbers; times are Unix milliseconds, UTC.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

FRONTS = ("http", "uwsgi")
OUTCOMES = ("served", "poorer", "refused", "failed", "gone")
GONE = OUTCOMES.index("gone")
OTHER_CLUBS = "(other)"  # the row of all clubs that the configuration does not name
AMOUNTS = ("requests", "further_tries", "kept", "run_us", "calls", "bytes_in", "bytes_out")
FLAG_FURTHER_TRY, FLAG_KEPT_RESULT, FLAG_NO_ANSWER = (
    1,
    2,
    4,
)  # flags of a claim; FLAG_NO_ANSWER: there is no answer to deliver


class Opened(msgspec.Struct, array_like=True, frozen=True):
    """A start of the node; claims that no mark follows are in doubt from here on."""

    node: str
    life: bytes
    period_ms: int
    clubs: list[str]
    classes: list[str]
    at_ms: int


class Rotated(msgspec.Struct, array_like=True, frozen=True):
    """From here on requests belong to the period that begins at this time."""

    period: int
    length: int


class Claim(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A final answer that is about to leave; ``row`` is ``row_number`` of its club, class, front and outcome."""

    id: bytes
    row: int
    flags: int
    run_us: int
    calls: int
    bytes_in: int
    bytes_out: int


class Marked(msgspec.Struct, array_like=True, frozen=True):
    """Claims whose answers have left, and those whose callers went meanwhile, by sequence after ``base``."""

    base: int
    delivered: list[int]
    undelivered: list[int]


class LateRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that ended after its request's final answer, booked to the period of that answer, or to the
    one of now where that one has closed."""

    period: int
    row: int
    run_us: int
    calls: int


class Closed(msgspec.Struct, array_like=True, frozen=True):
    period: int
    at_ms: int


class Corrected(msgspec.Struct, array_like=True, frozen=True):
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
    """All documents up to this number stand in files of their own."""

    number: int


class Gap(msgspec.Struct, array_like=True, frozen=True):
    from_ms: int
    to_ms: int
    requests: int
    cause: str


class ClockStepped(msgspec.Struct, array_like=True, frozen=True):
    at_ms: int
    by_ms: int


class Ended(msgspec.Struct, array_like=True, frozen=True):
    """The node left in good order."""

    at_ms: int


class Forgotten(msgspec.Struct, array_like=True, frozen=True):
    """Corrections of periods that began before this time are not known any more, nor taken."""

    before: int


class RowListsChanged(msgspec.Struct, array_like=True, frozen=True):
    """From here on rows are numbered by these lists, which hold all that the ones before held."""

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
SNAPSHOT_KIND = 32  # of the frame that a snapshot is
NUMBERS = {kind: number for number, kind in KINDS.items()}
_encode = msgspec.msgpack.Encoder().encode
_decode: dict[int, Callable[[bytes], Any]] = {
    number: msgspec.msgpack.Decoder(kind).decode for number, kind in KINDS.items()
}
CLAIM_KIND = NUMBERS[Claim]
unpack_claim = msgspec.msgpack.Decoder(Claim).decode


def pack(entry: Entry) -> tuple[int, bytes]:
    """A record's kind and payload."""
    return NUMBERS[type(entry)], _encode(entry)


def unpack(kind: int, payload: bytes) -> Entry:
    """
    Raises:
        ValueError: no such kind, or not of its form.
    """
    decode = _decode.get(kind)
    if decode is None:
        raise ValueError(f"records of kind {kind} are not known to this program")
    entry: Entry = decode(payload)
    return entry


def row_number(club: int, class_: int, classes: int, front: int, outcome: int) -> int:
    return ((club * classes + class_) * len(FRONTS) + front) * len(OUTCOMES) + outcome


def renumber_row(row: int, before: tuple[list[str], list[str]], after: tuple[list[str], list[str]]) -> int:
    """The number of a row by other lists of clubs and classes, which hold the ones that it was numbered by.

    >>> renumber_row(row_number(1, 0, 1, 0, 2), (["a"], ["look"]), (["b", "a"], ["pay", "look"]))  # of no club there
    52
    """
    number, outcome = divmod(row, len(OUTCOMES))
    number, front = divmod(number, len(FRONTS))
    club, class_ = divmod(number, len(before[1]))
    place = after[0].index(before[0][club]) if club < len(before[0]) else len(after[0])
    return row_number(place, after[1].index(before[1][class_]), len(after[1]), front, outcome)
