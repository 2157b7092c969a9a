"""The door's heart: start-time fair queuing by club and, within a club, by caller, as a measure of who is next.

Start-time fair queuing (P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996) gives each request a start
tag: where its lane's work would begin if each lane had its share of the cores. Served in the order of tags, two lanes
that always wait differ in served cost by weight by no more than one request of each. Here the decisions choose what
runs, so:

- A lane is charged when a run begins, by what its class took lately, and put right by what it did take. What was turned
  away charges nothing: a club that floods is behind by what it was served, never by what it asked for.
- The virtual time is the least charge of the clubs that wait; where none waits it forgets: unused share is not saved.
- A further try that comes without a promise has to be paid for from a budget that first tries fill, of its caller and
  of its club (B. Treynor Sloss and others, "Site Reliability Engineering", O'Reilly 2016, chapter 21, has it at the
  client). One that is not paid for stands behind all others of its club, so a storm of them crowds no first try out,
  and is promised nothing, so that nobody gathers places by coming before its time.
- Within a club, callers are lanes of equal weight, and what waits is in the order of their tags: one caller's flood
  stands behind its club's other callers. A request's rank is its place in that order, from its club's charge on, as it
  is when it is asked for: a club gains no place in the order by whom in it the place is given to.

Memory is fixed, whatever arrives: classes and clubs are those that are named, and one club for all others. A club
knows ``lanes`` callers by number; one with nothing waiting and no charge past the club's virtual time carries no
information and gives its place up. Callers past that share ``buckets`` lanes by a keyed hash whose key is drawn anew,
so that numbers chosen to meet in one bucket with another's do not meet for long. Error: a caller in a bucket is
charged for those it shares it with, at most until the key changes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from hashlib import blake2b
from operator import attrgetter

from flintshift.fair_queueing.messages import (
    Action,
    ClubStatus,
    Event,
    QueueSettings,
    RequestArrived,
    RequestRejected,
    RequestWithdrawn,
    RetryAfter,
    RunEnded,
    RunStarted,
)
from flintshift.fair_queueing.reservations import Calendar, CalendarBounds

PLACE_BYTES = 350  # that an entry of a table takes at the most, with what it holds
LEARN = 0.1  # the weight of a sample in what a class is taken to cost
TRY_PART = 0.2  # of a further try, that a first one pays for
TRIES_MOST = 10.0, 2.0  # further tries that a club and a caller may have saved up
LAST = math.inf  # the tag of a further try that is not paid for: behind all others of its club
FRONT = -1.0  # the tag of who comes at the time that it was told: before all others of its club
FIRST_MS = 20.0  # what a class that is named no more is taken to cost


@dataclass(frozen=True, slots=True)
class Bounds:
    """As ``Limits`` has them in a node."""

    lanes: int = 64  # callers of a club that are known by number
    buckets: int = 64  # lanes of a club for all others
    open: int = 4096  # requests followed; past that one is ranked last in its club, and charged nothing
    rekey_ms: float = 10_000.0
    calendar: CalendarBounds = field(default_factory=CalendarBounds)


@dataclass(slots=True, eq=False)
class Lane:
    """A caller, or those of one bucket."""

    charged: float = 0.0
    waiting: int = 0
    waiting_ms: float = 0.0
    tries: float = TRIES_MOST[1]  # that its further ones may have


@dataclass(slots=True, eq=False)
class Club:
    weight: float  # of a core's time: cost by weight is time at its share
    charged: float
    calendar: Calendar
    virtual: float = 0.0  # of its callers
    lanes: dict[int, Lane] = field(default_factory=dict)
    buckets: dict[int, Lane] = field(default_factory=dict)
    waiting: dict[Entry, None] = field(default_factory=dict)  # in the order of coming
    ordered: bool = True  # their places are as they stand
    served_ms: float = 0.0
    tries: float = TRIES_MOST[0]
    asked: int = 0
    turned_away: int = 0
    not_paid: int = 0


@dataclass(slots=True, eq=False)
class Entry:
    club: Club
    lane: Lane
    caller: int
    class_name: str
    cost: float
    floor: float  # virtual times when it came: no charge is older
    lane_floor: float
    tag: float  # among its club's callers
    place: float = 0.0  # what stands before it in its club, in time at the club's share
    began: bool = False


class Shares:
    def __init__(self, weighed: QueueSettings, key: bytes, bounds: Bounds | None = None) -> None:
        """``key``: random, kept to itself."""
        self.bounds = bounds or Bounds()
        self.key, self.keyed_ms = key, 0.0
        self.cost_ms: dict[str, float] = {}
        self.virtual = 0.0
        self.clubs: dict[str | None, Club] = {}
        self.open: dict[str, Entry] = {}
        self.backlogged: dict[Club, None] = {}  # of which something waits
        self._weigh(weighed)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        match event:
            case RequestArrived():
                self._arrived(now_ms, event)
            case RunStarted(request):
                entry = self.open.get(request)
                if entry is not None and not entry.began:
                    self._began(entry)
            case RunEnded(request, took_ms):
                entry = self.open.pop(request, None)
                if entry is not None:
                    self._ended(entry, took_ms)
            case RequestWithdrawn(request):
                entry = self.open.get(request)
                if entry is not None and not entry.began:  # what runs on is charged until it ends
                    del self.open[request]
                    self._waits_no_more(entry)
            case RequestRejected():
                return [self._turned_away(now_ms, event)]
            case QueueSettings():
                self._weigh(event)
        return []

    def _turned_away(self, now_ms: float, event: RequestRejected) -> RetryAfter:
        """It may come when the others have caught up with its club. What waits there now does not stand before it then:
        who comes at its time goes to the front."""
        entry = self.open.get(event.request)
        if entry is None or entry.began:
            return RetryAfter(event.max_wait_ms, False)
        del self.open[event.request]
        self._waits_no_more(entry)
        club = entry.club
        club.turned_away += 1
        from_ms = max(event.min_wait_ms, club.charged - self.virtual)
        wait_ms = (
            None
            if entry.tag == LAST
            else club.calendar.reserve(
                now_ms, entry.caller, entry.cost / club.weight, from_ms, event.max_wait_ms, event.jitter
            )
        )
        return RetryAfter(event.max_wait_ms, False) if wait_ms is None else RetryAfter(wait_ms, True)

    def rank_ms(self, request: str) -> float:
        """Where it stands now: the least is next in a fair order. Past all that waits where it is not followed."""
        entry = self.open.get(request)
        if entry is None:
            return max((self._last(club) for club in self.backlogged), default=self.virtual)
        club = entry.club
        if not club.ordered:
            self._order(club)
        return max(self.virtual, club.charged) + entry.place

    def _last(self, club: Club) -> float:
        return max(self.virtual, club.charged) + sum(entry.cost for entry in club.waiting) / club.weight

    def _order(self, club: Club) -> None:
        club.ordered, place = True, 0.0
        for entry in sorted(club.waiting, key=attrgetter("tag")):
            entry.place = place
            place += entry.cost / club.weight

    def _weigh(self, told: QueueSettings) -> None:
        """Charges and what is known of costs stay. What waits keeps its rank, also of a club that is named no more."""
        whole = sum(told.weights.values())
        self.weights = {club: weight / whole * told.cores for club, weight in told.weights.items()}
        self.least = min(self.weights.values(), default=float(told.cores))
        self.clubs = {name: club for name, club in self.clubs.items() if name is None or name in self.weights}
        for name, club in self.clubs.items():
            club.weight = self.weights.get(name or "", self.least)
        self.cost_ms = {name: self.cost_ms.get(name, first) for name, first in told.initial_cost_ms.items()}
        self.marks = told.repeats_marked

    def _arrived(self, now_ms: float, event: RequestArrived) -> None:
        if len(self.open) >= self.bounds.open or event.request in self.open:
            return
        if now_ms >= self.keyed_ms + self.bounds.rekey_ms:
            self._rekey(now_ms)
        club = self._club(event.club)
        lane = self._lane(club, event.caller)
        entry = self.open[event.request] = Entry(
            club,
            lane,
            event.caller,
            event.class_name,
            self.cost_ms.get(event.class_name, FIRST_MS),
            self.virtual,
            club.virtual,
            max(club.virtual, lane.charged) + lane.waiting_ms,
        )
        if (event.marked_repeat or not self.marks) and club.calendar.claim(now_ms, event.caller):
            entry.tag = FRONT
        elif event.marked_repeat and min(club.tries, lane.tries) < 1.0:
            entry.tag = LAST
            club.not_paid += 1
        else:
            paid = -1.0 if event.marked_repeat else TRY_PART
            club.tries, lane.tries = min(club.tries + paid, TRIES_MOST[0]), min(lane.tries + paid, TRIES_MOST[1])
        club.asked += 1
        lane.waiting += 1
        lane.waiting_ms += entry.cost
        club.waiting[entry] = None
        club.ordered = False
        self.backlogged[club] = None

    def _club(self, name: str | None) -> Club:
        key = name if name in self.weights else None  # clubs of no weight are one
        club = self.clubs.get(key)
        if club is None:
            club = self.clubs[key] = Club(
                self.weights.get(key or "", self.least), self.virtual, Calendar(self.key, self.bounds.calendar)
            )
        return club

    def _lane(self, club: Club, caller: int) -> Lane:
        lane = club.lanes.get(caller)
        if lane is not None:
            return lane
        if len(club.lanes) >= self.bounds.lanes:
            # One that has nothing waiting and no charge past the virtual time is as a new one.
            club.lanes = {
                number: known for number, known in club.lanes.items() if known.waiting or known.charged > club.virtual
            }
        if len(club.lanes) < self.bounds.lanes:
            return club.lanes.setdefault(caller, Lane())
        mark = blake2b(caller.to_bytes(16, "big", signed=True), digest_size=4, key=self.key).digest()
        return club.buckets.setdefault(int.from_bytes(mark, "big") % self.bounds.buckets, Lane())

    def _rekey(self, now_ms: float) -> None:
        """Requests that are open keep the lane that they came by; new ones begin without another's charges."""
        self.keyed_ms = now_ms
        self.key = blake2b(self.key, digest_size=16, person=b"door-rekey").digest()
        for club in self.clubs.values():
            club.buckets = {}

    def _began(self, entry: Entry) -> None:
        club, lane = entry.club, entry.lane
        entry.began = True
        start = max(lane.charged, entry.lane_floor)
        lane.charged = start + entry.cost
        club.virtual = max(club.virtual, start)
        club.charged = max(club.charged, entry.floor) + entry.cost / club.weight
        self._waits_no_more(entry)

    def _waits_no_more(self, entry: Entry) -> None:
        club, lane = entry.club, entry.lane
        lane.waiting -= 1
        lane.waiting_ms = lane.waiting_ms - entry.cost if lane.waiting else 0.0  # no rounding is carried on
        del club.waiting[entry]
        club.ordered = False
        if not club.waiting:
            del self.backlogged[club]
        least = club.charged
        if self.backlogged:
            least = min([one.charged for one in self.backlogged])
        if least > self.virtual:
            self.virtual = least

    def _ended(self, entry: Entry, took_ms: float) -> None:
        if not entry.began:  # another's run answered it
            self._waits_no_more(entry)
            return
        more = took_ms - entry.cost
        entry.club.served_ms += took_ms
        entry.lane.charged += more
        entry.club.charged += more / entry.club.weight
        known = self.cost_ms.get(entry.class_name)
        if known is not None:
            self.cost_ms[entry.class_name] = known + LEARN * (took_ms - known)

    def shown(self) -> list[ClubStatus]:
        return [
            ClubStatus(
                name,
                club.weight,
                club.served_ms,
                max(0.0, club.charged - self.virtual),
                len(club.waiting),
                sum(entry.cost for entry in club.waiting) / club.weight,
                len(club.lanes),
                club.calendar.open_reservations,
                club.asked,
                club.turned_away,
                club.not_paid,
            )
            for name, club in self.clubs.items()
        ]

    @property
    def places(self) -> int:
        """The entries of all its tables; each takes ``PLACE_BYTES`` at the most."""
        return (
            len(self.open)
            + len(self.cost_ms)
            + sum(1 + len(club.lanes) + len(club.buckets) + club.calendar.entries for club in self.clubs.values())
        )

    @property
    def most_places(self) -> int:
        """As many as there can be under these settings, whatever comes."""
        bounds = self.bounds
        club = 1 + bounds.lanes + bounds.buckets + bounds.calendar.max_entries
        return bounds.open + len(self.cost_ms) + (len(self.weights) + 1) * club
