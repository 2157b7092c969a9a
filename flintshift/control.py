"""What a server takes, runs, answers poorer, turns away and fails, decided for each server on its own.

The settings, events and actions are declared in flintshift/interface.py.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import takewhile
from operator import attrgetter, itemgetter

from flintshift import interface as api
from flintshift.caller_patience import CallerPatience
from flintshift.interface import Effect, Halt, Outcome
from flintshift.tick_interval import LookPace

# The ladder: how many skippable calls a run makes, and the busy share of the cores up to which it may.
FULL = 1 << 30
LADDER = ((FULL, 0.90), (1, 0.97), (0, math.inf))
QUEUE_GATE = 1.5  # lower rungs apply while more work per core than this wants the cores
TICK_MS = 40.0  # gauges are read and due times swept this often
MEMORY_HIGH, MEMORY_LOW, MEMORY_HARD = 0.85, 0.75, 0.95  # watermarks, and what no start may exceed
KEYS_MOST = 0.6  # share of the memory that remembered keys may take
CROWD = 0.7  # share of the survivable crowd that may run
QUEUE_WANTED = (1.15, 1.5)  # per core: below, the concurrency limit rises; above, it falls
LIMIT_STEP = 0.03  # per core and tick
RANK_STEP_MS = 50.0  # ranks in one step count as equal: there, the dearest goes first
AIM_SHARE = 0.8  # share of the aim that waiting and running may take
INITIAL_RUN_SHARE, LEARN = 0.15, 0.1  # share of the aim that a run is taken to last at first; weight of a sample
RUN_FADES = 0.97  # a tick with free cores, for what is thought of a class of which nothing runs
SICK, SICK_LEARN, PROBE_EVERY = 0.3, 0.2, 0.1  # failing share, its weight, and a probe's spacing in aims
STORM, STARVED, STORM_LEARN = 0.1, 0.7, 0.03  # share of further tries, of a class turned away; weight
STALL = 3.0  # run times without progress: the cores stand still
CALL_MOST, CALL_YOUNG, CALL_LEAST = 0.65, 0.3, 0.2  # of the told share: the most, when new, when slow
SLOW_BELOW, TOO_SLOW = 4.0, 16.0  # against the best time seen, and the usual
CALL_GROWS, CALL_SHRINKS = 0.02, 0.95  # steps of the share
CALL_TRIES, CALL_LEARN, BEST_FADES = 3, 0.3, 1.01  # the best time seen fades by so much a call
SKIPPABLE = 0.5  # part of the calls in hand open to skippable ones while calls are slow
CONNECTIONS, FLOOD = 5.0, 3.0  # open per core past which idle ones close early; run queue past all runs
IDLE_FALLS, IDLE_RISES, COMES_BACK_MS = 0.9, 1.2, 5000.0  # of the idle time, a tick; soon enough to wait for
WINDOW_ROOM, WINDOW_RISES, WINDOW_FALLS = 3.5, 1.05, 0.85  # most for each that may run; steps a tick
STAY = 0.03  # of the aim for each server, for what is turned away for load
LEAST_SPEED = 0.05  # of the full one, that a cold server is taken to have: settings may tell 0
QUOTA_ROOM, QUOTA_BURST_S = 1.2, 2.0  # a tenant's part here may stray that far from even


class Stage(Enum):
    HELD = 1
    RUNNING = 2
    LINED = 3  # stands at a call that is not made yet
    CALLING = 4
    FOLLOWING = 5  # waits for the request it repeats


@dataclass(slots=True, eq=False)
class Work:
    """A request that was read and is not over."""

    id: str
    arrival: api.Arrived
    kind: api.RequestClass
    reached_ms: float
    aim_ms: float
    due_ms: float
    value: float  # worth for a unit of work
    in_share: bool  # of its tenant
    must_call: bool  # it may call and can't go on without
    order: tuple[float, float, float]  # among what is held: by fair rank, then the dearest first, then by aim
    stage: Stage = Stage.HELD
    answered: bool = False
    level: int = FULL
    calls: int = 0
    tries: int = 0
    spoilt: int = 0  # of these, whose reply was lost: one such may be made again
    call: list[float] = field(default_factory=list)  # its last, as in Controller.calls
    waited_ms: float = 0.0  # spent at calls; less the clock while it stands at one


BY_VALUE = attrgetter("order")


class Controller:
    """Decides for one server: handle() takes an event and returns the actions, in order."""

    def __init__(self, settings: api.Settings, seed: int, rank: api.FairRank | None = None) -> None:
        self.seed, self.rank = seed, rank  # no decision draws by the seed yet
        self.now = self.born_ms = self.probe_ms = self.still_ms = self.rest_ms = self.arrived_ms = 0.0
        self.pace, self.patience = LookPace(TICK_MS), CallerPatience()
        self.healthy, self.stuck = True, False  # what checks are told; nothing has moved for long
        self.out: list[api.Action] = []
        self.work: dict[str, Work] = {}
        self.counts, self.kb = [0] * (len(Stage) + 1), [0.0, 0.0]  # of it, by stage; its KB: begun, not begun
        self.must_call = 0  # runs that may call and can't go on without
        self.gauges, self.run_queue = api.Gauges(0.0, 0.0), 0.0  # as last seen; smoothed
        self.window = math.inf  # for each caller
        self.full = self.turned_away = False  # the memory watermark is up; load was refused this tick
        self.run_limit = 1.25 * settings.cores
        self.run_ms: dict[str, float] = {}
        self.refused: dict[str, float] = {}  # by class: share turned away lately; past STARVED it goes first
        self.quota: dict[str, tuple[float, float, float]] = {}  # by tenant: its rate here, use, and when
        self.failure_share = self.storm = 0.0  # share of runs; share of further tries read, unmarked: of refusals
        self.call_ms = self.best_call_ms = self.gap_ms = 0.0  # a call lately, at best; between two arrivals
        self.calls: list[list[float]] = []  # below: start, end (or how long it may last), whether it is over
        self.past, self.past_ms = deque[tuple[float, float]](), 0.0  # those past their end; their sum
        self.keys: dict[str, float] = {}  # remembered request: when its entry runs out
        self.released: set[str] = set()  # let go unrun at this very moment
        self.leaving_ms = self.stop_ms = math.inf
        self.handlers: dict[type, Callable[..., None]] = {
            api.Started: self._started,
            api.Arrived: self._arrived,
            api.RunEnded: self._run_ended,
            api.CallerDisconnected: self._gone,
            api.CallNeeded: self._call_needed,
            api.CallEnded: self._call_ended,
            api.DrainStarted: self._leaving,
            api.Woken: self._woken,
            api.SettingsChanged: self._changed,
            api.LearnedEstimates: self._learned,
        }
        self._settle(settings)

    def _settle(self, settings: api.Settings) -> None:
        """Go by these settings; what was learned stays, as far as they still name it."""
        self.settings, self.kinds = settings, {kind.name: kind for kind in settings.classes}
        self.idle_ms = settings.idle_ms * min(1.0, CONNECTIONS * settings.cores / max(1, settings.callers))
        known = {*self.kinds, *(work.kind.name for work in self.work.values())}
        self.run_ms = {name: run_ms for name, run_ms in self.run_ms.items() if name in known}
        for kind in settings.classes:
            self.run_ms.setdefault(kind.name, INITIAL_RUN_SHARE * kind.aim_ms)
        self.refused = {name: self.refused.get(name, 0.0) for name in known}
        self.call_share = settings.call_share or math.inf  # untold: no bound
        self.call_room_ms = settings.call_share * settings.call_window_ms or math.inf
        self.call_limit = CALL_MOST * self.call_share  # less while calls are slow, may be under 1
        even = QUOTA_ROOM / max(1, settings.servers)  # of a quota: what an even spread would bring here
        before, self.quota = self.quota, {}
        for name, rate in ((tenant.name, even * tenant.quota_per_s) for tenant in settings.tenants):
            self.quota[name] = (rate, *before.get(name, (0.0, 0.0, 0.0))[1:])

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if now_ms > self.now:
            self.released.clear()
        self.now, self.out = now_ms, []
        if isinstance(event, (api.RunEnded, api.CallerDisconnected, api.CallNeeded, api.CallEnded)):
            work = self.work.get(event.request)
            if work is not None:  # else it is over
                self.handlers[type(event)](work, event)
        else:
            self.handlers[type(event)](event)
        if isinstance(event, (api.Started, api.Woken)):
            self.out.append(api.WakeAt(now_ms + TICK_MS, "tick"))
        self._feed_calls()
        self._fill()
        return self.out

    # What is seen.

    def _started(self, event: api.Started) -> None:
        self.born_ms = self.arrived_ms = self.now
        if self.idle_ms < self.settings.idle_ms:  # more callers than connections that are worth keeping
            self.out.append(api.CloseIdle(self.idle_ms))
        if self.settings.deep_checks:  # they load the cores and what lies below
            self.out.append(api.SetHealth(healthy=True, from_store=True))

    def _woken(self, event: api.Woken) -> None:
        self.still_ms += TICK_MS  # by ticks: a pause of the process itself is no sign of hung work
        self.pace.looked(self.now)
        self.gauges = gauges = event.gauges
        runs = self._count(Stage.RUNNING)  # stands in for a gauge that the host does not have
        gauges.busy = min(1.0, runs / self.settings.cores) if gauges.busy is None else gauges.busy
        gauges.run_queue = runs if gauges.run_queue is None else gauges.run_queue
        self.run_queue += 0.3 * (gauges.run_queue - self.run_queue)
        for key in [key for key, end in self.keys.items() if end <= self.now]:
            del self.keys[key]
        self._adjust_limit()
        # A class refused for its last run times would show no better ones: while cores are free, what is
        # thought of it fades towards the first guess, until some are let in and measured.
        if gauges.run_queue < self.settings.cores:
            begun = {work.kind.name for work in self.work.values() if work.stage is not Stage.HELD}
            for kind in [kind for kind in self.settings.classes if kind.name not in begun]:
                known = self.run_ms[kind.name]
                self.run_ms[kind.name] = max(known * RUN_FADES, min(known, INITIAL_RUN_SHARE * kind.aim_ms))
        pressed = self._count(Stage.HELD) > 0
        for work in [work for work in self.work.values() if not work.answered]:
            if self.now + self.pace.next_ms >= min(work.due_ms, self.stop_ms):
                self._let_go(work)
            elif pressed and self.now > work.aim_ms and not work.kind.late_worth and self._stoppable(work):
                self._let_go(work)  # dear work that is late for certain gives its core to what is not
        if self.settings.free_value is api.FreeValue.WINDOW:
            grown = self.window * (WINDOW_FALLS if self.turned_away else WINDOW_RISES)
            self.window = min(max(grown, self.run_limit / max(1, self.settings.callers)), WINDOW_ROOM * self.run_limit)
            self.turned_away = False
            self.out.append(api.SetFreeValue(round(self.window, 1)))
        # A list that follows health keeps callers off a server in trouble; it returns by turns to be probed.
        turn = self.now >= self.rest_ms and (self._trouble() or not self.healthy)
        if turn and self.settings.list_follows_health:
            self.healthy = not self.healthy
            self.rest_ms = self.now + max(kind.aim_ms for kind in self.settings.classes)
            self.out.append(api.SetHealth(self.healthy, from_store=True))
        # Open connections take a part of the cores: close idle ones early, but not when their callers will be
        # back soon, nor when new ones and reading flood the cores: then a full table is the cheapest refusal.
        idle_ms = self.idle_ms
        if self.run_queue > FLOOD * self.settings.cores or self.settings.callers * self.gap_ms < COMES_BACK_MS:
            idle_ms *= IDLE_RISES
        elif (gauges.connections or 0) > CONNECTIONS * self.settings.cores and gauges.busy < LADDER[0][1]:
            idle_ms *= IDLE_FALLS
        idle_ms = min(max(idle_ms, TICK_MS), self.settings.idle_ms)
        if idle_ms != self.idle_ms:
            self.idle_ms = idle_ms
            self.out.append(api.CloseIdle(idle_ms))

    def _changed(self, event: api.SettingsChanged) -> None:
        idle_ms, call_limit = self.idle_ms, self.call_limit
        self._settle(event.settings)
        self.idle_ms, self.call_limit = min(idle_ms, self.idle_ms), min(call_limit, self.call_limit)

    def learned_estimates(self) -> api.LearnedEstimates:
        return api.LearnedEstimates(self.run_limit, dict(self.run_ms))

    def _learned(self, event: api.LearnedEstimates) -> None:
        self.run_limit = event.run_limit
        self.run_ms |= {name: run_ms for name, run_ms in event.run_ms.items() if name in self.run_ms}

    def _leaving(self, event: api.DrainStarted) -> None:
        self.leaving_ms, self.stop_ms = self.now, self.now + event.stops_in_ms

    def _stoppable(self, work: Work) -> bool:
        return work.stage is Stage.RUNNING and self.settings.halt is not Halt.NONE

    def _adjust_limit(self) -> None:
        queue = self.run_queue / self.settings.cores
        if queue > QUEUE_WANTED[1]:
            self.run_limit -= LIMIT_STEP * self.settings.cores
        elif queue < QUEUE_WANTED[0] and self._count(Stage.RUNNING) >= self.run_limit - 1:
            self.run_limit += LIMIT_STEP * self.settings.cores
        self.run_limit = min(max(self.run_limit, 0.75 * self.settings.cores), max(1.0, CROWD * self._survived()))

    def _speed(self) -> float:
        """The share of its full speed that the server has at the least."""
        risen = (self.now - self.born_ms) / max(1.0, self.settings.cold_ms) if self.settings.cold else 1.0
        return max(LEAST_SPEED, 1 - (1 - self.settings.cold_from) * max(0.0, 1 - risen))

    def _survived(self) -> float:
        """The survivable crowd, smaller while the server is cold."""
        return self.settings.cores * (1 + (self.settings.fall_multiple - 1) * self._speed())

    def _crowd(self) -> float:
        """The part of it that is this process's."""
        return self.settings.concurrency_share * self._survived()

    def resource_usage(self) -> tuple[float, float, float]:
        """What its work takes now: a part of the crowd, memory in KB, time of calls in the window."""
        crowd = self._count(Stage.RUNNING, Stage.LINED, Stage.CALLING) / self._survived()
        return crowd, self._memory_kb(), self._call_room()[1]

    def _crowd_room(self) -> float:
        """How many more may join the cores: calls under way can all return at once, those in line go on only
        by our word. So at no moment, hence in no mean, are more on the cores than they survive."""
        return self._crowd() - self._count(Stage.RUNNING, Stage.CALLING)

    def _count(self, *stages: Stage) -> int:
        return sum(self.counts[stage.value] for stage in stages)

    def _book(self, work: Work, sign: int) -> None:
        """Keep what decisions ask of all work as sums: a walk over it for each costs a busy server much."""
        self.counts[work.stage.value] += sign
        light = work.stage is Stage.HELD or work.stage is Stage.FOLLOWING
        self.kb[light] += sign * work.arrival.held_kb
        if work.stage is Stage.RUNNING or work.stage is Stage.LINED:
            self.must_call += sign * work.must_call

    def _place(self, work: Work, stage: Stage) -> None:
        self._book(work, -1)
        work.stage = stage
        self._book(work, 1)

    def _drop(self, work: Work) -> None:
        self._book(work, -1)
        del self.work[work.id]
        if not self.work:
            self.kb = [0.0, 0.0]  # no rounding is carried on

    def _memory_kb(self) -> float:
        return self.kb[True] + self.kb[False] * self.settings.run_factor + len(self.keys) * self.settings.key_kb

    def _trouble(self) -> bool:
        """This server errs or stands still: turn away, and keep a trickle to see it recover."""
        still = self.still_ms > STALL * max(self.run_ms.values()) / self._speed()
        self.stuck |= still and self._count(Stage.RUNNING) * 2 >= self.settings.cores
        return self.stuck or self.failure_share > SICK

    def _progress(self) -> None:
        self.still_ms, self.stuck = 0.0, False

    # Arrivals.

    def _arrived(self, event: api.Arrived) -> None:
        kind = self.kinds[event.class_name]
        self.storm += STORM_LEARN * ((event.marked_repeat and self.settings.marks_repeats) - self.storm)
        self.gap_ms += STORM_LEARN * (self.now - self.arrived_ms - self.gap_ms)
        self.arrived_ms = self.now
        reached = self.now - event.age_ms
        due = self.now + event.patience_ms if event.patience_ms else reached + kind.deadline_ms
        aim = min(reached + min(kind.aim_ms, self.patience.of(event.caller)), due)
        value, must_call = self._value(kind, event.tenant), kind.calls and not kind.skip_worth
        fair = value >= self._value(kind, None)  # it is inside its tenant's share
        order = (0.0, -math.inf if fair and self.refused[kind.name] > STARVED else -value, aim)
        work = Work(event.request, event, kind, reached, aim, due, value, fair, must_call, order)
        self.work[work.id] = work
        self._book(work, 1)
        if event.repeat_of and event.repeat_of not in self.released:
            self._place(work, Stage.FOLLOWING)
            self.out.append(api.AnswerFromOriginal(work.id))
            if self._memory_kb() > MEMORY_HARD * self.settings.memory_kb:
                self._let_go(work)  # by a failure: its original may have run
            return
        level = max(self._memory_kb() / self.settings.memory_kb, self.gauges.memory or 0.0)
        self.full = level > (MEMORY_LOW if self.full else MEMORY_HIGH)
        late = reached > self.leaving_ms + self.settings.drain_grace_ms
        if self.full or late or self.now >= self.stop_ms - self.pace.next_ms:
            self._let_go(work)
            return
        keyed = kind.effect is Effect.KEYED
        if keyed or (kind.effect is Effect.SAFE and self.settings.fresh_ms > 0 and event.subject is not None):
            for_ms = kind.repeat_window_ms if keyed else self.settings.fresh_ms + kind.deadline_ms
            if (len(self.keys) + 1) * self.settings.key_kb <= KEYS_MOST * self.settings.memory_kb:
                self.keys[work.id] = self.now + for_ms
                self.out.append(api.RememberKey(work.id, for_ms))
            elif keyed:
                self._let_go(work)

    def _value(self, kind: api.RequestClass, tenant: str | None) -> float:
        worth = kind.worth
        if tenant in self.quota:
            rate, used, then = self.quota[tenant]
            used = max(0.0, used - rate * (self.now - then) / 1000)
            over = used > rate * QUOTA_BURST_S
            self.quota[tenant] = (rate, used if over else used + 1, self.now)
            worth *= self.settings.over_share_worth if over else 1.0
        # Classes of one worth count alike: a small difference in run time would starve one.
        peers = [self.run_ms[peer.name] for peer in self.settings.classes if peer.worth == kind.worth]
        return worth if self.settings.worth_by_work else worth * len(peers) / sum(peers)

    # The hold and the runs.

    def _fill(self) -> None:
        if not self.counts[Stage.HELD.value]:
            return
        held = [work for work in self.work.values() if work.stage is Stage.HELD]
        if self.rank is not None and len(held) > 1:
            for work in held:
                work.order = self.rank(work.id) // RANK_STEP_MS, work.order[1], work.order[2]
        held.sort(key=BY_VALUE)
        trouble, on_cores, memory, ahead = self._trouble(), self._count(Stage.RUNNING), self._memory_kb(), 0.0
        limit = min(self.run_limit, on_cores + math.floor(self._crowd_room()))
        lined = self.must_call
        below_ms = self.call_ms / min(1.0, self.call_limit)
        stop_ms, most_kb = self.stop_ms - 2 * TICK_MS, MEMORY_HARD * self.settings.memory_kb
        for work in held:
            run_ms = self.run_ms[work.kind.name]
            must_call = work.must_call
            grown = work.arrival.held_kb * (self.settings.run_factor - 1)
            fits = memory + grown <= most_kb
            ends = self.now + run_ms + must_call * (1 + lined) * below_ms
            if on_cores >= limit:
                ends += (ahead + run_ms / 2) / self.run_limit
            latest = work.reached_ms + AIM_SHARE * (work.aim_ms - work.reached_ms)
            if trouble or ends > latest or ends > stop_ms:
                probe = on_cores < 1 and fits and self.now >= self.probe_ms
                if not probe or self.now + TICK_MS > work.aim_ms or self.now + run_ms >= self.stop_ms:
                    self._let_go(work)
                    continue
                self.probe_ms = self.now + PROBE_EVERY * work.kind.aim_ms
            if on_cores < limit and fits:
                self._start(work)
                on_cores += 1
                lined += must_call
                memory += grown
            else:
                ahead += run_ms

    def _start(self, work: Work) -> None:
        """The ladder: the richest level whose threshold the busy share does not exceed, held to the end."""
        work.level = FULL
        if (self.gauges.run_queue or 0.0) > QUEUE_GATE * self.settings.cores:
            busy = self.gauges.busy or 0.0
            work.level = next(level for level, threshold in LADDER if busy <= threshold)
        self.refused[work.kind.name] *= 1 - STORM_LEARN * work.in_share
        self._place(work, Stage.RUNNING)
        self.out.append(api.Run(work.id))

    def _let_go(self, work: Work) -> None:
        """Give the final answer: a refusal where it never ran, else a failure; and stop what still runs."""
        if work.stage is Stage.HELD:
            # Advice keeps a caller's dearest work away too: for load it is short, shorter where there are few
            # other servers to go to, and cheap work turned away earns little of it.
            dearest = max(self._value(kind, None) for kind in self.settings.classes)
            own = self.full or self._trouble() or self.leaving_ms < math.inf  # others are likely better off
            part = 1.0 if own else min(1.0, work.value / dearest)
            most_ms = math.inf if own else STAY * self.settings.servers * work.kind.aim_ms
            stay = part * min(most_ms, self.settings.advice_max_ms) * self.settings.advice_allowed
            self.turned_away = True
            self.refused[work.kind.name] += STORM_LEARN * (1 - self.refused[work.kind.name]) * work.in_share
            self.storm += STORM_LEARN * (not self.settings.marks_repeats)
            # A further try was refused elsewhere too, and in a storm the next will be: that costs reading.
            storm = self.storm > STORM
            futile = part < 1 or (storm and self.settings.marks_repeats)  # unmarked, dear work may yet find room
            self.out.append(api.Reject(work.id, stay, futile and (work.arrival.marked_repeat or storm)))
            self._forget(work)
            return
        self.out.append(api.Fail(work.id))
        work.answered = True
        if work.stage is Stage.FOLLOWING:
            self._drop(work)
        elif self._stoppable(work):
            self.out.append(api.Stop(work.id))

    def _forget(self, work: Work) -> None:
        """Drop work that never ran; a repeat of it is new work from now on."""
        if work.id in self.keys:
            self.out.append(api.ReleaseKey(work.id))
            del self.keys[work.id]
            self.released.add(work.id)
        self._drop(work)

    def _run_ended(self, work: Work, event: api.RunEnded) -> None:
        self._drop(work)
        if work.stage is Stage.CALLING:
            work.call[1:] = self.now + self.settings.linger_ms, True
        if work.stage is Stage.FOLLOWING or event.outcome is Outcome.MOOT:
            return
        if event.outcome is Outcome.STOPPED:  # no progress: hung work that is stopped ends this way
            if not work.answered:
                self.out.append(api.Fail(work.id))
            return
        self._progress()
        if not work.answered:
            self.failure_share += SICK_LEARN * ((event.outcome is Outcome.ERROR) - self.failure_share)
        if event.outcome is Outcome.OK:
            run_ms = self.run_ms[work.kind.name]
            self.run_ms[work.kind.name] += LEARN * (event.took_ms - work.waited_ms - run_ms)

    def _gone(self, work: Work, _: api.CallerDisconnected) -> None:
        self.patience.gave_up(work.arrival.caller, self.now - work.reached_ms)
        if work.stage in (Stage.HELD, Stage.FOLLOWING):
            self._forget(work)
            return
        work.answered = True
        if work.kind.effect is not Effect.KEYED and self._stoppable(work):
            self.out.append(api.Stop(work.id))

    def _resume(self, work: Work) -> None:
        self._place(work, Stage.RUNNING)
        work.waited_ms += self.now

    def _call_needed(self, work: Work, _: api.CallNeeded) -> None:
        if not work.answered:
            self._progress()
            self._place(work, Stage.LINED)
            work.tries = work.spoilt = 0
            work.waited_ms -= self.now

    def _call_room(self) -> tuple[int, float, float]:
        """Calls in hand, their time charged in the told window, and how long one more may last.

        The bound: a call is charged its limit and linger from its start, what it took once over. What is past
        leaves the window, only what fits joins it: none holds over CALL_MOST of the share though all calls of
        all servers hang. A cold process may follow one whose calls still count: until they are past, it takes
        CALL_YOUNG. Both lives come to 0.95 of the share; the rest is for the told figure's rounding.
        """
        since = self.now - self.settings.call_window_ms
        # What is over is summed as it ends and leaves the window: a walk over all of it for each decision
        # would be most of what a busy server's decisions cost.
        over = [call for call in self.calls if call[1] <= (self.now if call[2] else since)]
        for call in sorted(over, key=itemgetter(1)):  # so that `past` is in the order of ends
            self.calls.remove(call)
            self.past.append((call[0], call[1]))
            self.past_ms += call[1] - call[0]
        while self.past and self.past[0][1] <= since:
            start, end = self.past.popleft()
            self.past_ms -= end - start
        self.past_ms *= bool(self.past)  # no rounding is carried on
        out = sum(since - start for start, _ in takewhile(lambda call: call[0] < since, self.past))
        young = self.settings.cold and self.born_ms > since - self.settings.linger_ms
        most = self.call_room_ms * (CALL_YOUNG if young else CALL_MOST)
        spent = self.past_ms - out
        spent += sum(call[1] - max(call[0], since) for call in self.calls if call[1] > since)
        in_hand = sum(call[1] > self.now for call in self.calls)
        return in_hand, spent, most - spent - self.settings.linger_ms

    def _feed_calls(self) -> None:
        if not self.counts[Stage.LINED.value]:
            return
        line = [work for work in self.work.values() if work.stage is Stage.LINED and not work.answered]
        line.sort(key=lambda work: (work.kind.skip_worth, -work.value, work.aim_ms))
        in_hand, spent, left_ms = self._call_room()
        slow = self.call_ms > SLOW_BELOW * self.best_call_ms
        pace_ms = max(0.0, self.call_limit * max(1.0, self.settings.call_window_ms) - self.call_ms)  # one fits
        crowd_room = self._crowd_room()
        for work in line:
            if crowd_room < 1:
                break  # what goes on now would join the cores past what they survive
            # Waiting for room pays while what lies below keeps its pace and the aim leaves time.
            waits = not slow and self.now + self.call_ms + self.run_ms[work.kind.name] / 2 < work.aim_ms
            ends = work.aim_ms if self.now < work.aim_ms else work.due_ms
            if work.kind.skip_worth and self.call_ms:  # times learned lag behind the first slow calls
                ends = min(ends, self.now + TOO_SLOW * self.call_ms)
            limit = min(max(ends - self.now, TICK_MS), left_ms)
            part = SKIPPABLE if work.kind.skip_worth and slow else 1.0
            room = in_hand + 1 <= max(1.0, self.call_limit) and spent <= pace_ms * part and left_ms >= TICK_MS
            poorer = work.calls >= work.level or work.tries > work.spoilt or (not room and not waits)
            if work.kind.skip_worth and poorer:
                crowd_room -= 1
                self._resume(work)  # poorer: by its level, or no room below
                self.out.append(api.SkipCall(work.id))
            elif room:
                self._place(work, Stage.CALLING)
                work.tries += 1
                work.call = [self.now, self.now + limit + self.settings.linger_ms, False]
                self.calls.append(work.call)
                in_hand, spent, left_ms = self._call_room()
                crowd_room -= 1
                self.out.append(api.Call(work.id, limit))

    def _call_ended(self, work: Work, event: api.CallEnded) -> None:
        self._progress()
        unsure = event.outcome in (Outcome.TIMED_OUT, Outcome.INTERRUPTED)
        work.call[1:] = self.now + self.settings.linger_ms * unsure, True
        if event.outcome in (Outcome.OK, Outcome.TIMED_OUT):
            self.call_ms += (CALL_LEARN if self.call_ms else 1.0) * (event.took_ms - self.call_ms)
            self.best_call_ms = min(self.call_ms, (self.best_call_ms or self.call_ms) * BEST_FADES)
        slow = event.outcome is not Outcome.OK or event.took_ms > SLOW_BELOW * self.best_call_ms
        grown = self.call_limit * CALL_SHRINKS if slow else self.call_limit + CALL_GROWS * self.call_share
        self.call_limit = min(max(CALL_LEAST * self.call_share, grown), CALL_MOST * self.call_share)
        if event.outcome is Outcome.OK:
            self._resume(work)
            work.calls += 1
            return
        self._place(work, Stage.LINED)
        if event.outcome is Outcome.INTERRUPTED and work.kind.effect is Effect.SAFE:
            work.spoilt = 1  # by what carried the call, which says nothing of what lies below
        again = work.kind.effect is Effect.SAFE or event.outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        if not work.kind.skip_worth and (not again or work.tries >= CALL_TRIES) and not work.answered:
            self._let_go(work)
