"""Start-time fair queuing by club and, within a club, by caller, which ranks the waiting requests. It does no I/O.

Start-time fair queuing (P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queuing", SIGCOMM 1996) gives each request a start
tag: the time at which its flow's work would start if each flow had its share of the cores. If requests are served in
the order of tags, the served cost by weight of two flows that always wait differs by at most one request of each. Here
the decisions choose what runs, so:

- A flow is charged when a run starts, by the recent cost of its class, and the charge is corrected when the run ends.
  A rejected request is not charged: an overloading club is behind by what it was served, never by what it asked for.
- The virtual time is the smallest charge of the clubs that wait. Where none waits any more, it moves up to the charge
  of the last one that did: unused share is not saved.
- A further try without a reservation is paid for from a retry budget of its caller and one of its club, which first
  tries fill (B. Treynor Sloss and others, "Site Reliability Engineering", O'Reilly 2016, chapter 21, has it at the
  client). An unpaid one ranks behind all others of its club, so that a retry storm displaces no first try, and gets no
  reservation, so that nobody collects reservations by retrying early.
- Within a club, callers are flows of equal weight, and requests wait in the order of their tags: one caller's burst
  ranks behind its club's other callers. A request's rank is the work before it in that order, added to its club's
  charge at the time of the call: a club gains nothing in the order by which of its requests goes first.

Memory is fixed, whatever arrives: there are the named classes, the named clubs, and one club for all others. A club
tracks ``max_known_callers`` callers one by one; one with nothing waiting and no charge past the club's virtual time
carries no information and is dropped for another. Further callers share ``caller_buckets`` flows by a keyed hash whose
key is drawn again at intervals, so that caller numbers that were chosen to share a bucket with another caller do so for
a short time only. Error: a caller in a bucket is charged for the others in it, at most until the key changes.
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

MAX_ENTRY_BYTES = 350  # of a table's entry with its content
COST_SAMPLE_WEIGHT = 0.1  # of one run in the moving average of its class's cost
RETRIES_PER_FIRST_TRY = 0.2  # what a first try adds to the retry budgets
MAX_RETRY_BUDGETS = 10.0, 2.0  # further tries that a club and a caller can save
UNPAID_TAG = math.inf  # start tag of an unpaid further try: behind all others of its club
RESERVED_TAG = -1.0  # start tag of a request that claims a reservation: before all others of its club
DEFAULT_COST_MS = 20.0  # expected cost of a class that the settings no longer name


@dataclass(frozen=True, slots=True)
class QueueBounds:
    """The sizes and intervals of a fair queue; a node takes them from ``Limits``."""

    max_known_callers: int = 64  # callers of a club that are tracked one by one
    caller_buckets: int = 64  # flows of a club that all its other callers share
    max_tracked_requests: int = 4096  # a request beyond them ranks last and is not charged
    rekey_interval_ms: float = 10_000.0
    calendar: CalendarBounds = field(default_factory=CalendarBounds)


@dataclass(slots=True, eq=False)
class Flow:
    """The requests of one caller, or of the callers that share a bucket."""

    charged_ms: float = 0.0
    waiting_count: int = 0
    waiting_cost_ms: float = 0.0
    retry_budget: float = MAX_RETRY_BUDGETS[1]  # further tries that it can still pay for


@dataclass(slots=True, eq=False)
class Club:
    """A club: its charge, its flows and the requests of it that wait."""

    weight: float  # its share, in cores: a cost divided by it is time at the club's share
    charged_ms: float
    calendar: Calendar
    virtual_ms: float = 0.0  # the virtual time of its flows
    caller_flows: dict[int, Flow] = field(default_factory=dict)
    bucket_flows: dict[int, Flow] = field(default_factory=dict)
    waiting: dict[TrackedRequest, None] = field(default_factory=dict)  # in the order of arrival
    order_is_current: bool = True  # ``ahead_ms`` of the waiting requests is up to date
    served_ms: float = 0.0
    retry_budget: float = MAX_RETRY_BUDGETS[0]
    arrivals: int = 0
    rejected: int = 0
    unpaid_retries: int = 0


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request that waits or runs."""

    club: Club
    flow: Flow
    caller: int
    class_name: str
    cost_ms: float
    # Virtual times at its arrival, of the clubs and of its club's flows: no charge starts earlier.
    arrival_virtual_ms: float
    arrival_flow_virtual_ms: float
    tag: float  # start tag, among the requests of its club
    ahead_ms: float = 0.0  # work before it in its club, in time at the club's share
    running: bool = False


class FairQueue:
    """Ranks the waiting requests of all clubs and answers rejected ones with a time to retry."""

    def __init__(self, settings: QueueSettings, key: bytes, bounds: QueueBounds | None = None) -> None:
        """``key``: random and secret, for the hashes of callers."""
        self.bounds = bounds or QueueBounds()
        self.key, self.rekeyed_at_ms = key, 0.0
        self.class_cost_ms: dict[str, float] = {}
        self.virtual_ms = 0.0
        self.clubs: dict[str | None, Club] = {}
        self.tracked: dict[str, TrackedRequest] = {}
        self.backlogged: dict[Club, None] = {}  # clubs with waiting requests
        self._apply_settings(settings)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Update the state by an event; return the actions that it calls for."""
        match event:
            case RequestArrived():
                self._on_arrival(now_ms, event)
            case RunStarted(request):
                tracked = self.tracked.get(request)
                if tracked is not None and not tracked.running:
                    self._on_start(tracked)
            case RunEnded(request, took_ms):
                tracked = self.tracked.pop(request, None)
                if tracked is not None:
                    self._on_end(tracked, took_ms)
            case RequestWithdrawn(request):
                tracked = self.tracked.get(request)
                if tracked is not None and not tracked.running:  # a run that continues is charged until its end
                    del self.tracked[request]
                    self._stop_waiting(tracked)
            case RequestRejected():
                return [self._on_rejection(now_ms, event)]
            case QueueSettings():
                self._apply_settings(event)
        return []

    def _on_rejection(self, now_ms: float, event: RequestRejected) -> RetryAfter:
        """Reserve a time at which the other clubs will have caught up with the request's club.

        The requests that wait in its club now do not delay it then: a reservation goes to the front of its club.
        """
        request = self.tracked.get(event.request)
        if request is None or request.running:
            return RetryAfter(event.max_wait_ms, False)
        del self.tracked[event.request]
        self._stop_waiting(request)
        club = request.club
        club.rejected += 1
        earliest_ms = max(event.min_wait_ms, club.charged_ms - self.virtual_ms)
        wait_ms = (
            None
            if request.tag == UNPAID_TAG
            else club.calendar.reserve(
                now_ms, request.caller, request.cost_ms / club.weight, earliest_ms, event.max_wait_ms, event.jitter
            )
        )
        return RetryAfter(event.max_wait_ms, False) if wait_ms is None else RetryAfter(wait_ms, True)

    def rank_ms(self, request: str) -> float:
        """Return the request's current rank: the smallest is next in a fair order.

        A request that is not tracked ranks behind all that wait.
        """
        tracked = self.tracked.get(request)
        if tracked is None:
            return max((self._end_rank_ms(club) for club in self.backlogged), default=self.virtual_ms)
        club = tracked.club
        if not club.order_is_current:
            self._update_order(club)
        return max(self.virtual_ms, club.charged_ms) + tracked.ahead_ms

    def _end_rank_ms(self, club: Club) -> float:
        return max(self.virtual_ms, club.charged_ms) + sum(request.cost_ms for request in club.waiting) / club.weight

    def _update_order(self, club: Club) -> None:
        club.order_is_current, ahead_ms = True, 0.0
        for request in sorted(club.waiting, key=attrgetter("tag")):
            request.ahead_ms = ahead_ms
            ahead_ms += request.cost_ms / club.weight

    def _apply_settings(self, settings: QueueSettings) -> None:
        """Replace weights and classes. Charges and known costs are kept, and waiting requests keep their ranks, also
        those of a club that is no longer named."""
        total_weight = sum(settings.weights.values())
        self.weights = {club: weight / total_weight * settings.cores for club, weight in settings.weights.items()}
        self.min_weight = min(self.weights.values(), default=float(settings.cores))
        self.clubs = {name: club for name, club in self.clubs.items() if name is None or name in self.weights}
        for name, club in self.clubs.items():
            club.weight = self.weights.get(name or "", self.min_weight)
        self.class_cost_ms = {
            name: self.class_cost_ms.get(name, initial_ms) for name, initial_ms in settings.initial_cost_ms.items()
        }
        self.repeats_marked = settings.repeats_marked

    def _on_arrival(self, now_ms: float, event: RequestArrived) -> None:
        if len(self.tracked) >= self.bounds.max_tracked_requests or event.request in self.tracked:
            return
        if now_ms >= self.rekeyed_at_ms + self.bounds.rekey_interval_ms:
            self._rekey(now_ms)
        club = self._find_club(event.club)
        flow = self._find_flow(club, event.caller)
        request = self.tracked[event.request] = TrackedRequest(
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
            request.tag = RESERVED_TAG
        elif event.marked_repeat and min(club.retry_budget, flow.retry_budget) < 1.0:
            request.tag = UNPAID_TAG
            club.unpaid_retries += 1
        else:
            budget_change = -1.0 if event.marked_repeat else RETRIES_PER_FIRST_TRY
            club.retry_budget, flow.retry_budget = (
                min(club.retry_budget + budget_change, MAX_RETRY_BUDGETS[0]),
                min(flow.retry_budget + budget_change, MAX_RETRY_BUDGETS[1]),
            )
        club.arrivals += 1
        flow.waiting_count += 1
        flow.waiting_cost_ms += request.cost_ms
        club.waiting[request] = None
        club.order_is_current = False
        self.backlogged[club] = None

    def _find_club(self, name: str | None) -> Club:
        key = name if name in self.weights else None  # clubs without a weight count as one
        club = self.clubs.get(key)
        if club is None:
            club = self.clubs[key] = Club(
                self.weights.get(key or "", self.min_weight), self.virtual_ms, Calendar(self.key, self.bounds.calendar)
            )
        return club

    def _find_flow(self, club: Club, caller: int) -> Flow:
        flow = club.caller_flows.get(caller)
        if flow is not None:
            return flow
        if len(club.caller_flows) >= self.bounds.max_known_callers:
            # A flow with nothing waiting and no charge past the virtual time equals a new one.
            club.caller_flows = {
                number: other_flow
                for number, other_flow in club.caller_flows.items()
                if other_flow.waiting_count or other_flow.charged_ms > club.virtual_ms
            }
        if len(club.caller_flows) < self.bounds.max_known_callers:
            return club.caller_flows.setdefault(caller, Flow())
        digest = blake2b(caller.to_bytes(16, "big", signed=True), digest_size=4, key=self.key).digest()
        return club.bucket_flows.setdefault(int.from_bytes(digest, "big") % self.bounds.caller_buckets, Flow())

    def _rekey(self, now_ms: float) -> None:
        """Draw a new key for the buckets. Tracked requests keep their flow; new ones start in flows without charges."""
        self.rekeyed_at_ms = now_ms
        self.key = blake2b(self.key, digest_size=16, person=b"door-rekey").digest()
        for club in self.clubs.values():
            club.bucket_flows = {}

    def _on_start(self, request: TrackedRequest) -> None:
        club, flow = request.club, request.flow
        request.running = True
        start_ms = max(flow.charged_ms, request.arrival_flow_virtual_ms)
        flow.charged_ms = start_ms + request.cost_ms
        club.virtual_ms = max(club.virtual_ms, start_ms)
        club.charged_ms = max(club.charged_ms, request.arrival_virtual_ms) + request.cost_ms / club.weight
        self._stop_waiting(request)

    def _stop_waiting(self, request: TrackedRequest) -> None:
        club, flow = request.club, request.flow
        flow.waiting_count -= 1
        # An empty flow is set to 0, so that rounding errors don't add up.
        flow.waiting_cost_ms = flow.waiting_cost_ms - request.cost_ms if flow.waiting_count else 0.0
        del club.waiting[request]
        club.order_is_current = False
        if not club.waiting:
            del self.backlogged[club]
        min_charged_ms = club.charged_ms
        if self.backlogged:
            min_charged_ms = min([backlogged.charged_ms for backlogged in self.backlogged])
        if min_charged_ms > self.virtual_ms:
            self.virtual_ms = min_charged_ms

    def _on_end(self, request: TrackedRequest, took_ms: float) -> None:
        if not request.running:  # the result of another request answered it
            self._stop_waiting(request)
            return
        correction_ms = took_ms - request.cost_ms
        request.club.served_ms += took_ms
        request.flow.charged_ms += correction_ms
        request.club.charged_ms += correction_ms / request.club.weight
        average_ms = self.class_cost_ms.get(request.class_name)
        if average_ms is not None:
            self.class_cost_ms[request.class_name] = average_ms + COST_SAMPLE_WEIGHT * (took_ms - average_ms)

    def status(self) -> list[ClubStatus]:
        """Return the state of each club."""
        return [
            ClubStatus(
                name,
                club.weight,
                club.served_ms,
                max(0.0, club.charged_ms - self.virtual_ms),
                len(club.waiting),
                sum(request.cost_ms for request in club.waiting) / club.weight,
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
        """The number of entries of all its tables; each takes at most ``MAX_ENTRY_BYTES``."""
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
        """The maximum number of entries under the current settings, whatever arrives."""
        bounds = self.bounds
        per_club = 1 + bounds.max_known_callers + bounds.caller_buckets + bounds.calendar.max_entries
        return bounds.max_tracked_requests + len(self.class_cost_ms) + (len(self.weights) + 1) * per_club
