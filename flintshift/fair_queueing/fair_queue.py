"""The door's heart: start-time fair queuing by club and, within a club, by caller, as a measure of who is next.

Start-time fair queuing (P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996) gives each request a start
tag: where its flow's work would begin if each flow had its share of the cores. Served in the order of tags, two lanes
that always wait differ in served cost by weight by no more than one request of each. Here the decisions choose what
runs, so:

- A flow is charged when a run begins, by what its class took lately, and put right by what it did take. What was turned
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

MAX_ENTRY_BYTES = 350  # that an entry of a table takes at the most, with what it holds
COST_SAMPLE_WEIGHT = 0.1  # the weight of a sample in what a class is taken to cost
RETRIES_PER_FIRST_TRY = 0.2  # of a further try, that a first one pays for
MAX_RETRY_BUDGET = 10.0, 2.0  # further tries that a club and a caller may have saved up
UNPAID_TAG = math.inf  # the tag of a further try that is not paid for: behind all others of its club
RESERVED_TAG = -1.0  # the tag of who comes at the time that it was told: before all others of its club
DEFAULT_COST_MS = 20.0  # what a class that is named no more is taken to cost


@dataclass(frozen=True, slots=True)
class QueueBounds:
    """As ``Limits`` has them in a node."""

    max_known_callers: int = 64  # callers of a club that are known by number
    caller_buckets: int = 64  # lanes of a club for all others
    max_tracked_requests: int = 4096  # requests followed; past that one is ranked last in its club, and charged nothing
    rekey_interval_ms: float = 10_000.0
    calendar: CalendarBounds = field(default_factory=CalendarBounds)


@dataclass(slots=True, eq=False)
class Flow:
    """A caller, or those of one bucket."""

    charged_ms: float = 0.0
    waiting_count: int = 0
    waiting_cost_ms: float = 0.0
    retry_budget: float = MAX_RETRY_BUDGET[1]  # that its further ones may have


@dataclass(slots=True, eq=False)
class Club:
    weight: float  # of a core's time: cost by weight is time at its share
    charged_ms: float
    calendar: Calendar
    virtual_ms: float = 0.0  # of its callers
    caller_flows: dict[int, Flow] = field(default_factory=dict)
    bucket_flows: dict[int, Flow] = field(default_factory=dict)
    waiting: dict[TrackedRequest, None] = field(default_factory=dict)  # in the order of coming
    order_current: bool = True  # their places are as they stand
    served_ms: float = 0.0
    retry_budget: float = MAX_RETRY_BUDGET[0]
    arrivals: int = 0
    rejected: int = 0
    unpaid_retries: int = 0


@dataclass(slots=True, eq=False)
class TrackedRequest:
    club: Club
    flow: Flow
    caller: int
    class_name: str
    cost_ms: float
    virtual_ms: float  # virtual times when it came: no charge is older
    flow_virtual_ms: float
    start_tag: float  # among its club's callers
    ahead_ms: float = 0.0  # what stands before it in its club, in time at the club's share
    running: bool = False


class FairQueue:
    def __init__(self, weighed: QueueSettings, key: bytes, bounds: QueueBounds | None = None) -> None:
        """``key``: random, kept to itself."""
        self.bounds = bounds or QueueBounds()
        self.key, self.rekeyed_at_ms = key, 0.0
        self.class_cost_ms: dict[str, float] = {}
        self.virtual_ms = 0.0
        self.clubs: dict[str | None, Club] = {}
        self.tracked: dict[str, TrackedRequest] = {}
        self.backlogged: dict[Club, None] = {}  # of which something waits
        self._weigh(weighed)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        match event:
            case RequestArrived():
                self._arrived(now_ms, event)
            case RunStarted(request):
                entry = self.tracked.get(request)
                if entry is not None and not entry.running:
                    self._began(entry)
            case RunEnded(request, took_ms):
                entry = self.tracked.pop(request, None)
                if entry is not None:
                    self._ended(entry, took_ms)
            case RequestWithdrawn(request):
                entry = self.tracked.get(request)
                if entry is not None and not entry.running:  # what runs on is charged until it ends
                    del self.tracked[request]
                    self._waits_no_more(entry)
            case RequestRejected():
                return [self._turned_away(now_ms, event)]
            case QueueSettings():
                self._weigh(event)
        return []

    def _turned_away(self, now_ms: float, event: RequestRejected) -> RetryAfter:
        """It may come when the others have caught up with its club. What waits there now does not stand before it then:
        who comes at its time goes to the front."""
        entry = self.tracked.get(event.request)
        if entry is None or entry.running:
            return RetryAfter(event.max_wait_ms, False)
        del self.tracked[event.request]
        self._waits_no_more(entry)
        club = entry.club
        club.rejected += 1
        from_ms = max(event.min_wait_ms, club.charged_ms - self.virtual_ms)
        wait_ms = (
            None
            if entry.start_tag == UNPAID_TAG
            else club.calendar.reserve(
                now_ms, entry.caller, entry.cost_ms / club.weight, from_ms, event.max_wait_ms, event.jitter
            )
        )
        return RetryAfter(event.max_wait_ms, False) if wait_ms is None else RetryAfter(wait_ms, True)

    def rank_ms(self, request: str) -> float:
        """Where it stands now: the least is next in a fair order. Past all that waits where it is not followed."""
        entry = self.tracked.get(request)
        if entry is None:
            return max((self._last(club) for club in self.backlogged), default=self.virtual_ms)
        club = entry.club
        if not club.order_current:
            self._order(club)
        return max(self.virtual_ms, club.charged_ms) + entry.ahead_ms

    def _last(self, club: Club) -> float:
        return max(self.virtual_ms, club.charged_ms) + sum(entry.cost_ms for entry in club.waiting) / club.weight

    def _order(self, club: Club) -> None:
        club.order_current, place = True, 0.0
        for entry in sorted(club.waiting, key=attrgetter("start_tag")):
            entry.ahead_ms = place
            place += entry.cost_ms / club.weight

    def _weigh(self, told: QueueSettings) -> None:
        """Charges and what is known of costs stay. What waits keeps its rank, also of a club that is named no more."""
        whole = sum(told.weights.values())
        self.weights = {club: weight / whole * told.cores for club, weight in told.weights.items()}
        self.min_weight = min(self.weights.values(), default=float(told.cores))
        self.clubs = {name: club for name, club in self.clubs.items() if name is None or name in self.weights}
        for name, club in self.clubs.items():
            club.weight = self.weights.get(name or "", self.min_weight)
        self.class_cost_ms = {name: self.class_cost_ms.get(name, first) for name, first in told.initial_cost_ms.items()}
        self.repeats_marked = told.repeats_marked

    def _arrived(self, now_ms: float, event: RequestArrived) -> None:
        if len(self.tracked) >= self.bounds.max_tracked_requests or event.request in self.tracked:
            return
        if now_ms >= self.rekeyed_at_ms + self.bounds.rekey_interval_ms:
            self._rekey(now_ms)
        club = self._club(event.club)
        flow = self._flow(club, event.caller)
        entry = self.tracked[event.request] = TrackedRequest(
            club,
            flow,
            event.caller,
            event.class_name,
            self.class_cost_ms.get(event.class_name, DEFAULT_COST_MS),
            self.virtual_ms,
            club.virtual_ms,
            max(club.virtual_ms, flow.charged_ms) + flow.waiting_cost_ms,
        )
        if (event.marked_repeat or not self.repeats_marked) and club.calendar.claim(now_ms, event.caller):
            entry.start_tag = RESERVED_TAG
        elif event.marked_repeat and min(club.retry_budget, flow.retry_budget) < 1.0:
            entry.start_tag = UNPAID_TAG
            club.unpaid_retries += 1
        else:
            paid = -1.0 if event.marked_repeat else RETRIES_PER_FIRST_TRY
            club.retry_budget, flow.retry_budget = (
                min(club.retry_budget + paid, MAX_RETRY_BUDGET[0]),
                min(flow.retry_budget + paid, MAX_RETRY_BUDGET[1]),
            )
        club.arrivals += 1
        flow.waiting_count += 1
        flow.waiting_cost_ms += entry.cost_ms
        club.waiting[entry] = None
        club.order_current = False
        self.backlogged[club] = None

    def _club(self, name: str | None) -> Club:
        key = name if name in self.weights else None  # clubs of no weight are one
        club = self.clubs.get(key)
        if club is None:
            club = self.clubs[key] = Club(
                self.weights.get(key or "", self.min_weight), self.virtual_ms, Calendar(self.key, self.bounds.calendar)
            )
        return club

    def _flow(self, club: Club, caller: int) -> Flow:
        flow = club.caller_flows.get(caller)
        if flow is not None:
            return flow
        if len(club.caller_flows) >= self.bounds.max_known_callers:
            # One that has nothing waiting and no charge past the virtual time is as a new one.
            club.caller_flows = {
                number: known
                for number, known in club.caller_flows.items()
                if known.waiting_count or known.charged_ms > club.virtual_ms
            }
        if len(club.caller_flows) < self.bounds.max_known_callers:
            return club.caller_flows.setdefault(caller, Flow())
        mark = blake2b(caller.to_bytes(16, "big", signed=True), digest_size=4, key=self.key).digest()
        return club.bucket_flows.setdefault(int.from_bytes(mark, "big") % self.bounds.caller_buckets, Flow())

    def _rekey(self, now_ms: float) -> None:
        """Requests that are open keep the flow that they came by; new ones begin without another's charges."""
        self.rekeyed_at_ms = now_ms
        self.key = blake2b(self.key, digest_size=16, person=b"door-rekey").digest()
        for club in self.clubs.values():
            club.bucket_flows = {}

    def _began(self, entry: TrackedRequest) -> None:
        club, flow = entry.club, entry.flow
        entry.running = True
        start = max(flow.charged_ms, entry.flow_virtual_ms)
        flow.charged_ms = start + entry.cost_ms
        club.virtual_ms = max(club.virtual_ms, start)
        club.charged_ms = max(club.charged_ms, entry.virtual_ms) + entry.cost_ms / club.weight
        self._waits_no_more(entry)

    def _waits_no_more(self, entry: TrackedRequest) -> None:
        club, flow = entry.club, entry.flow
        flow.waiting_count -= 1
        flow.waiting_cost_ms = (
            flow.waiting_cost_ms - entry.cost_ms if flow.waiting_count else 0.0
        )  # no rounding is carried on
        del club.waiting[entry]
        club.order_current = False
        if not club.waiting:
            del self.backlogged[club]
        least = club.charged_ms
        if self.backlogged:
            least = min([one.charged_ms for one in self.backlogged])
        if least > self.virtual_ms:
            self.virtual_ms = least

    def _ended(self, entry: TrackedRequest, took_ms: float) -> None:
        if not entry.running:  # another's run answered it
            self._waits_no_more(entry)
            return
        more = took_ms - entry.cost_ms
        entry.club.served_ms += took_ms
        entry.flow.charged_ms += more
        entry.club.charged_ms += more / entry.club.weight
        known = self.class_cost_ms.get(entry.class_name)
        if known is not None:
            self.class_cost_ms[entry.class_name] = known + COST_SAMPLE_WEIGHT * (took_ms - known)

    def status(self) -> list[ClubStatus]:
        return [
            ClubStatus(
                name,
                club.weight,
                club.served_ms,
                max(0.0, club.charged_ms - self.virtual_ms),
                len(club.waiting),
                sum(entry.cost_ms for entry in club.waiting) / club.weight,
                len(club.caller_flows),
                club.calendar.open_reservations,
                club.arrivals,
                club.rejected,
                club.unpaid_retries,
            )
            for name, club in self.clubs.items()
        ]

    @property
    def entries(self) -> int:
        """The entries of all its tables; each takes ``MAX_ENTRY_BYTES`` at the most."""
        return (
            len(self.tracked)
            + len(self.class_cost_ms)
            + sum(
                1 + len(club.caller_flows) + len(club.bucket_flows) + club.calendar.entries
                for club in self.clubs.values()
            )
        )

    @property
    def max_entries(self) -> int:
        """As many as there can be under these settings, whatever comes."""
        bounds = self.bounds
        club = 1 + bounds.max_known_callers + bounds.caller_buckets + bounds.calendar.max_entries
        return bounds.max_tracked_requests + len(self.class_cost_ms) + (len(self.weights) + 1) * club
