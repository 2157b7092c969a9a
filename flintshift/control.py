"""The decisions of one server: which requests it runs, degrades, rejects and fails, and which calls it makes.

Each server decides on its own. The settings, events and actions are declared in flintshift/interface.py."""

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
from flintshift.tick_interval import TickInterval

# Degradation levels: how many skippable calls a run makes, and the highest busy share of the cores for that.
ALL_CALLS = 1 << 30
LEVELS = ((ALL_CALLS, 0.90), (1, 0.97), (0, math.inf))
DEGRADE_QUEUE = 1.5  # the lower levels apply while the run queue per core is longer than this
TICK_MS = 40.0  # between two readings of the gauges and checks of the due times
MEMORY_HIGH, MEMORY_LOW, MEMORY_MAX = 0.85, 0.75, 0.95  # watermarks; the share that no start may exceed
MAX_KEYS_SHARE = 0.6  # of the memory, for remembered keys
RUN_LIMIT_SHARE = 0.7  # of the survivable concurrency, as the highest run limit
RUN_QUEUE_BAND = (1.15, 1.5)  # per core: with a shorter queue the run limit rises, with a longer one it falls
RUN_LIMIT_STEP = 0.03  # per core and tick
RANK_STEP_MS = 50.0  # ranks within one step count as equal: there, the highest value goes first
MAX_AIM_SHARE = 0.8  # share of the aim that waiting and running may take
INITIAL_RUN_SHARE, RUN_WEIGHT = 0.15, 0.1  # first estimate of a run, as a share of the aim; sample weight
RUN_DECAY = 0.97  # per tick with free cores, of the run estimate of a class that has no run
UNHEALTHY, FAILURE_WEIGHT, PROBE_AIMS = 0.3, 0.2, 0.1  # failing share; sample weight; aims between probes
RETRY_STORM, STARVED, LOAD_WEIGHT = 0.1, 0.7, 0.03  # share of further tries; rejected share; sample weight
STALL_RUNS = 3.0  # run times without progress after which the server counts as stalled
MAX_CALL_SHARE, COLD_CALL_SHARE, MIN_CALL_SHARE = 0.65, 0.3, 0.2  # of the configured call share
SLOW_CALL_FACTOR, SKIPPABLE_LIMIT_FACTOR = 4.0, 16.0  # times the best call time; times the mean call time
CALL_RISE, CALL_DECAY = 0.02, 0.95  # per call; the rise as a share of the call share
MAX_CALL_TRIES, CALL_WEIGHT, BEST_CALL_RISE = 3, 0.3, 1.01  # sample weight; of the best time, per call
SKIPPABLE_SHARE = 0.5  # of the call limit, for skippable calls while calls are slow
OPEN_PER_CORE, OVERLOAD = 5.0, 3.0  # connections before idle ones close; run queue beyond that of all runs
IDLE_DECAY, IDLE_RISE, SOON_MS = 0.9, 1.2, 5000.0  # per tick; a return that is worth an open connection
MAX_WINDOW_RATIO, WINDOW_RISE, WINDOW_DECAY = 3.5, 1.05, 0.85  # of the run limit; factors per tick
RETRY_AFTER_SHARE = 0.03  # of the aim for each server: the longest retry delay where load is the cause
MIN_SPEED = 0.05  # of the full speed, assumed of a cold server: the settings may say 0
QUOTA_SLACK, QUOTA_BURST_S = 1.2, 2.0  # times an even spread over servers; a burst, in seconds of it


class Stage(Enum):  # of a request that was read and has not ended
    QUEUED = 1
    RUNNING = 2
    CALL_QUEUED = 3  # needs a call that has not been made yet
    CALLING = 4
    FOLLOWING = 5  # waits for the result of the request it repeats


@dataclass(slots=True, eq=False)
class Work:
    """A request that was read and has not ended; once it is answered, its run may go on."""

    id: str
    arrival: api.Arrived
    kind: api.RequestClass
    arrived_ms: float  # a time on the clock, as are the aim and the due time below
    aim_at_ms: float
    due_at_ms: float
    value: float  # worth per unit of work
    in_quota: bool  # of its tenant
    must_call: bool  # it may need calls, and can't skip them
    order: tuple[float, float, float]  # in the queue: by fair rank, then the highest value first, then by aim
    stage: Stage = Stage.QUEUED
    answered: bool = False
    max_calls: int = ALL_CALLS  # skippable ones, by its degradation level
    calls: int = 0  # that succeeded
    tries: int = 0  # of the call that it needs now
    lost_replies: int = 0  # those of the tries whose reply was lost: one such may be repeated
    last_call: list[float] = field(default_factory=list)  # as in Controller.calls
    call_wait_ms: float = 0.0  # spent on calls; during one, the clock at its start is subtracted


QUEUE_ORDER = attrgetter("order")


class Controller:
    """Decides for one server: handle() takes an event and returns the actions, in order."""

    def __init__(self, settings: api.Settings, seed: int, rank: api.FairRank | None = None) -> None:
        self.seed, self.rank = seed, rank  # no decision uses the seed yet
        # Times on the clock, but stall_ms is the time without progress; from relist_ms on, health may change.
        self.now = self.start_ms = self.next_probe_ms = self.stall_ms = self.relist_ms = self.arrival_ms = 0.0
        self.tick_interval, self.caller_patience = TickInterval(TICK_MS), CallerPatience()
        self.reported_healthy, self.stalled = True, False  # to health checks; there was no progress for long
        self.actions: list[api.Action] = []
        self.work: dict[str, Work] = {}
        self.stage_counts, self.request_kb = [0] * (len(Stage) + 1), [0.0, 0.0]  # KB: started, or not
        self.required_calls = 0  # running or queued for a call, with a call that can't be skipped
        self.gauges, self.run_queue = api.Gauges(0.0, 0.0), 0.0  # the last reading; smoothed
        self.caller_window = math.inf  # open requests that each caller may have here
        self.memory_full = self.shed_load = False  # above the watermark; a request was rejected this tick
        self.run_limit = 1.25 * settings.cores
        self.run_ms: dict[str, float] = {}  # estimate, by class
        self.rejected: dict[str, float] = {}  # share by class, lately; past STARVED a class goes first
        self.quotas: dict[str, tuple[float, float, float]] = {}  # by tenant: rate here, use, and when counted
        self.failure_share = self.retries = 0.0  # of failed runs; of further tries, or if unmarked of rejects
        self.call_ms = self.best_call_ms = self.gap_ms = 0.0  # of a call: mean, best; between arrivals
        self.calls: list[list[float]] = []  # start, end (the latest, if it is open), whether it has ended
        self.past_calls, self.past_calls_ms = deque[tuple[float, float]](), 0.0  # past their end; their sum
        self.keys: dict[str, float] = {}  # remembered request: when its entry expires
        self.released_keys: set[str] = set()  # of requests discarded unrun at this very time
        self.drain_ms = self.stop_ms = math.inf
        self.handlers: dict[type, Callable[..., None]] = {
            api.Started: self._on_start,
            api.Arrived: self._on_arrival,
            api.RunEnded: self._on_run_end,
            api.CallerDisconnected: self._on_caller_disconnect,
            api.CallNeeded: self._on_call_needed,
            api.CallEnded: self._on_call_end,
            api.DrainStarted: self._on_drain,
            api.Woken: self._on_tick,
            api.SettingsChanged: self._on_settings_change,
            api.LearnedEstimates: self._on_estimates,
        }
        self._apply_settings(settings)

    def _apply_settings(self, settings: api.Settings) -> None:
        """Use these settings from now on, and keep what was learned of the classes and tenants they name."""
        self.settings, self.kinds = settings, {kind.name: kind for kind in settings.classes}
        self.idle_ms = settings.idle_ms * min(1.0, OPEN_PER_CORE * settings.cores / max(1, settings.callers))
        known = {*self.kinds, *(work.kind.name for work in self.work.values())}
        self.run_ms = {name: run_ms for name, run_ms in self.run_ms.items() if name in known}
        for kind in settings.classes:
            self.run_ms.setdefault(kind.name, INITIAL_RUN_SHARE * kind.aim_ms)
        self.rejected = {name: self.rejected.get(name, 0.0) for name in known}
        self.call_share = settings.call_share or math.inf  # not configured: unbounded
        self.call_budget_ms = settings.call_share * settings.call_window_ms or math.inf
        self.call_limit = MAX_CALL_SHARE * self.call_share  # less while calls are slow, may be under 1
        even_share = QUOTA_SLACK / max(1, settings.servers)  # of a quota: this server's part of it
        previous, self.quotas = self.quotas, {}
        for name, rate in ((tenant.name, even_share * tenant.quota_per_s) for tenant in settings.tenants):
            self.quotas[name] = (rate, *previous.get(name, (0.0, 0.0, 0.0))[1:])

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if now_ms > self.now:
            self.released_keys.clear()
        self.now, self.actions = now_ms, []
        if isinstance(event, (api.RunEnded, api.CallerDisconnected, api.CallNeeded, api.CallEnded)):
            work = self.work.get(event.request)
            if work is not None:  # else it has ended
                self.handlers[type(event)](work, event)
        else:
            self.handlers[type(event)](event)
        if isinstance(event, (api.Started, api.Woken)):
            self.actions.append(api.WakeAt(now_ms + TICK_MS, "tick"))
        self._start_calls()
        self._start_runs()
        return self.actions

    def _on_start(self, event: api.Started) -> None:
        self.start_ms = self.arrival_ms = self.now
        if self.idle_ms < self.settings.idle_ms:  # more callers than connections that are worth keeping
            self.actions.append(api.CloseIdle(self.idle_ms))
        if self.settings.deep_checks:  # they load the cores and the services that requests call
            self.actions.append(api.SetHealth(healthy=True, from_store=True))

    def _on_tick(self, event: api.Woken) -> None:
        self.stall_ms += TICK_MS  # counted in ticks: a pause of the process itself is no sign of hung work
        self.tick_interval.record(self.now)
        self.gauges = gauges = event.gauges
        runs = self._count(Stage.RUNNING)  # replaces a gauge that the host does not have
        gauges.busy = min(1.0, runs / self.settings.cores) if gauges.busy is None else gauges.busy
        gauges.run_queue = runs if gauges.run_queue is None else gauges.run_queue
        self.run_queue += 0.3 * (gauges.run_queue - self.run_queue)
        for key in [key for key, expires_ms in self.keys.items() if expires_ms <= self.now]:
            del self.keys[key]
        self._adjust_run_limit()
        # A class rejected for slow runs has no new samples: while cores are free its estimate decays towards
        # the first one, until some requests are admitted and measured.
        if gauges.run_queue < self.settings.cores:
            started = {work.kind.name for work in self.work.values() if work.stage is not Stage.QUEUED}
            for kind in [kind for kind in self.settings.classes if kind.name not in started]:
                run_ms = self.run_ms[kind.name]
                self.run_ms[kind.name] = max(run_ms * RUN_DECAY, min(run_ms, INITIAL_RUN_SHARE * kind.aim_ms))
        queueing = self._count(Stage.QUEUED) > 0
        for work in [work for work in self.work.values() if not work.answered]:
            if self.now + self.tick_interval.next_ms >= min(work.due_at_ms, self.stop_ms):
                self._abandon(work)
            elif queueing and self.now > work.aim_at_ms and not work.kind.late_worth and self._can_stop(work):
                self._abandon(work)  # late for certain: its core goes to work that isn't, whatever the worth
        if self.settings.free_value is api.FreeValue.WINDOW:
            window = self.caller_window * (WINDOW_DECAY if self.shed_load else WINDOW_RISE)
            self.caller_window = min(
                max(window, self.run_limit / max(1, self.settings.callers)), MAX_WINDOW_RATIO * self.run_limit
            )
            self.shed_load = False
            self.actions.append(api.SetFreeValue(round(self.caller_window, 1)))
        # A list that follows health keeps callers off an unhealthy server; it is listed at times for probes.
        health_changes = self.now >= self.relist_ms and (self._unhealthy() or not self.reported_healthy)
        if health_changes and self.settings.list_follows_health:
            self.reported_healthy = not self.reported_healthy
            self.relist_ms = self.now + max(kind.aim_ms for kind in self.settings.classes)
            self.actions.append(api.SetHealth(self.reported_healthy, from_store=True))
        # Open connections use the cores: close idle ones early, unless their callers come back soon or
        # new ones and reading overload the cores: then a full table is the cheapest way to reject.
        idle_ms = self.idle_ms
        if self.run_queue > OVERLOAD * self.settings.cores or self.settings.callers * self.gap_ms < SOON_MS:
            idle_ms *= IDLE_RISE
        elif (gauges.connections or 0) > OPEN_PER_CORE * self.settings.cores and gauges.busy < LEVELS[0][1]:
            idle_ms *= IDLE_DECAY
        idle_ms = min(max(idle_ms, TICK_MS), self.settings.idle_ms)
        if idle_ms != self.idle_ms:
            self.idle_ms = idle_ms
            self.actions.append(api.CloseIdle(idle_ms))

    def _on_settings_change(self, event: api.SettingsChanged) -> None:
        idle_ms, call_limit = self.idle_ms, self.call_limit
        self._apply_settings(event.settings)
        self.idle_ms, self.call_limit = min(idle_ms, self.idle_ms), min(call_limit, self.call_limit)

    def learned_estimates(self) -> api.LearnedEstimates:
        """Return what a controller that replaces this one on the same machine can start with."""
        return api.LearnedEstimates(self.run_limit, dict(self.run_ms))

    def _on_estimates(self, event: api.LearnedEstimates) -> None:
        self.run_limit = event.run_limit
        self.run_ms |= {name: run_ms for name, run_ms in event.run_ms.items() if name in self.run_ms}

    def _on_drain(self, event: api.DrainStarted) -> None:
        self.drain_ms, self.stop_ms = self.now, self.now + event.stops_in_ms

    def _can_stop(self, work: Work) -> bool:
        return work.stage is Stage.RUNNING and self.settings.halt is not Halt.NONE

    def _adjust_run_limit(self) -> None:
        queue_per_core = self.run_queue / self.settings.cores
        if queue_per_core > RUN_QUEUE_BAND[1]:
            self.run_limit -= RUN_LIMIT_STEP * self.settings.cores
        elif queue_per_core < RUN_QUEUE_BAND[0] and self._count(Stage.RUNNING) >= self.run_limit - 1:
            self.run_limit += RUN_LIMIT_STEP * self.settings.cores
        self.run_limit = min(
            max(self.run_limit, 0.75 * self.settings.cores), max(1.0, RUN_LIMIT_SHARE * self._survivable())
        )

    def _min_speed(self) -> float:
        """Return the share of its full speed that the server has at least."""
        warmth = (self.now - self.start_ms) / max(1.0, self.settings.cold_ms) if self.settings.cold else 1.0
        return max(MIN_SPEED, 1 - (1 - self.settings.cold_from) * max(0.0, 1 - warmth))

    def _survivable(self) -> float:
        """Return how many concurrent runs the server survives; fewer while it is cold."""
        return self.settings.cores * (1 + (self.settings.fall_multiple - 1) * self._min_speed())

    def _max_concurrency(self) -> float:
        """Return this process's part of the survivable concurrency."""
        return self.settings.concurrency_share * self._survivable()

    def resource_usage(self) -> tuple[float, float, float]:
        """Return a share of the survivable concurrency, memory in KB, and call time charged in the window."""
        concurrency = self._count(Stage.RUNNING, Stage.CALL_QUEUED, Stage.CALLING) / self._survivable()
        return concurrency, self._memory_kb(), self._call_usage()[1]

    def _free_concurrency(self) -> float:
        """Return how many more runs the cores can take. Open calls count, as all may return at once; queued
        ones only go on by our actions. So runs never exceed what is survivable, nor does their mean."""
        return self._max_concurrency() - self._count(Stage.RUNNING, Stage.CALLING)

    def _count(self, *stages: Stage) -> int:
        return sum(self.stage_counts[stage.value] for stage in stages)

    def _update_sums(self, work: Work, sign: int) -> None:
        """Add (1) or subtract (-1) work in the sums that decisions use: a loop over all of it is slow."""
        self.stage_counts[work.stage.value] += sign
        not_started = work.stage is Stage.QUEUED or work.stage is Stage.FOLLOWING
        self.request_kb[not_started] += sign * work.arrival.held_kb
        if work.stage is Stage.RUNNING or work.stage is Stage.CALL_QUEUED:
            self.required_calls += sign * work.must_call

    def _set_stage(self, work: Work, stage: Stage) -> None:
        self._update_sums(work, -1)
        work.stage = stage
        self._update_sums(work, 1)

    def _remove(self, work: Work) -> None:
        self._update_sums(work, -1)
        del self.work[work.id]
        if not self.work:
            self.request_kb = [0.0, 0.0]  # drops rounding errors

    def _memory_kb(self) -> float:
        return (
            self.request_kb[True]
            + self.request_kb[False] * self.settings.run_factor
            + len(self.keys) * self.settings.key_kb
        )

    def _unhealthy(self) -> bool:
        """Return whether runs fail or stall: then all but a few probes are rejected, to notice a recovery."""
        no_progress = self.stall_ms > STALL_RUNS * max(self.run_ms.values()) / self._min_speed()
        self.stalled |= no_progress and self._count(Stage.RUNNING) * 2 >= self.settings.cores
        return self.stalled or self.failure_share > UNHEALTHY

    def _note_progress(self) -> None:
        self.stall_ms, self.stalled = 0.0, False

    def _on_arrival(self, event: api.Arrived) -> None:
        kind = self.kinds[event.class_name]
        self.retries += LOAD_WEIGHT * ((event.marked_repeat and self.settings.marks_repeats) - self.retries)
        self.gap_ms += LOAD_WEIGHT * (self.now - self.arrival_ms - self.gap_ms)
        self.arrival_ms = self.now
        arrived_ms = self.now - event.age_ms
        due_ms = self.now + event.patience_ms if event.patience_ms else arrived_ms + kind.deadline_ms
        aim_ms = min(arrived_ms + min(kind.aim_ms, self.caller_patience.timeout_ms(event.caller)), due_ms)
        value, must_call = self._value(kind, event.tenant), kind.calls and not kind.skip_worth
        in_quota = value >= self._value(kind, None)
        order = (0.0, -math.inf if in_quota and self.rejected[kind.name] > STARVED else -value, aim_ms)
        work = Work(event.request, event, kind, arrived_ms, aim_ms, due_ms, value, in_quota, must_call, order)
        self.work[work.id] = work
        self._update_sums(work, 1)
        if event.repeat_of and event.repeat_of not in self.released_keys:
            self._set_stage(work, Stage.FOLLOWING)
            self.actions.append(api.AnswerFromOriginal(work.id))
            if self._memory_kb() > MEMORY_MAX * self.settings.memory_kb:
                self._abandon(work)  # answered by a failure: its original may have run
            return
        memory_share = max(self._memory_kb() / self.settings.memory_kb, self.gauges.memory or 0.0)
        self.memory_full = memory_share > (MEMORY_LOW if self.memory_full else MEMORY_HIGH)
        late = arrived_ms > self.drain_ms + self.settings.drain_grace_ms
        if self.memory_full or late or self.now >= self.stop_ms - self.tick_interval.next_ms:
            self._abandon(work)
            return
        keyed = kind.effect is Effect.KEYED
        if keyed or (kind.effect is Effect.SAFE and self.settings.fresh_ms > 0 and event.subject is not None):
            retention_ms = kind.repeat_window_ms if keyed else self.settings.fresh_ms + kind.deadline_ms
            if (len(self.keys) + 1) * self.settings.key_kb <= MAX_KEYS_SHARE * self.settings.memory_kb:
                self.keys[work.id] = self.now + retention_ms
                self.actions.append(api.RememberKey(work.id, retention_ms))
            elif keyed:
                self._abandon(work)

    def _value(self, kind: api.RequestClass, tenant: str | None) -> float:
        """Return the worth of a request per unit of work, less past its tenant's quota, and count the use."""
        worth = kind.worth
        if tenant in self.quotas:
            rate, used, counted_ms = self.quotas[tenant]
            used = max(0.0, used - rate * (self.now - counted_ms) / 1000)
            over_quota = used > rate * QUOTA_BURST_S
            self.quotas[tenant] = (rate, used if over_quota else used + 1, self.now)
            worth *= self.settings.over_share_worth if over_quota else 1.0
        # Classes of one worth have the same value: a small difference in run time would starve one of them.
        run_times = [self.run_ms[other.name] for other in self.settings.classes if other.worth == kind.worth]
        return worth if self.settings.worth_by_work else worth * len(run_times) / sum(run_times)

    def _start_runs(self) -> None:
        """Start what the limits allow, by the order of the queue, and reject what would end too late."""
        if not self.stage_counts[Stage.QUEUED.value]:
            return
        queued = [work for work in self.work.values() if work.stage is Stage.QUEUED]
        if self.rank is not None and len(queued) > 1:
            for work in queued:
                work.order = self.rank(work.id) // RANK_STEP_MS, work.order[1], work.order[2]
        queued.sort(key=QUEUE_ORDER)
        unhealthy, runs, memory, ahead = self._unhealthy(), self._count(Stage.RUNNING), self._memory_kb(), 0.0
        run_limit = min(self.run_limit, runs + math.floor(self._free_concurrency()))
        required_calls = self.required_calls
        call_turn_ms = self.call_ms / min(1.0, self.call_limit)
        stop_ms, max_kb = self.stop_ms - 2 * TICK_MS, MEMORY_MAX * self.settings.memory_kb
        for work in queued:
            run_ms = self.run_ms[work.kind.name]
            must_call = work.must_call
            added_kb = work.arrival.held_kb * (self.settings.run_factor - 1)
            fits = memory + added_kb <= max_kb
            end_ms = self.now + run_ms + must_call * (1 + required_calls) * call_turn_ms
            if runs >= run_limit:
                end_ms += (ahead + run_ms / 2) / self.run_limit
            latest_ms = work.arrived_ms + MAX_AIM_SHARE * (work.aim_at_ms - work.arrived_ms)
            if unhealthy or end_ms > latest_ms or end_ms > stop_ms:
                probe = runs < 1 and fits and self.now >= self.next_probe_ms
                if not probe or self.now + TICK_MS > work.aim_at_ms or self.now + run_ms >= self.stop_ms:
                    self._abandon(work)
                    continue
                self.next_probe_ms = self.now + PROBE_AIMS * work.kind.aim_ms
            if runs < run_limit and fits:
                self._start_run(work)
                runs += 1
                required_calls += must_call
                memory += added_kb
            else:
                ahead += run_ms

    def _start_run(self, work: Work) -> None:
        """Start a run at the fullest degradation level that the busy share allows, and which it keeps."""
        work.max_calls = ALL_CALLS
        if (self.gauges.run_queue or 0.0) > DEGRADE_QUEUE * self.settings.cores:
            busy = self.gauges.busy or 0.0
            work.max_calls = next(calls for calls, max_busy in LEVELS if busy <= max_busy)
        self.rejected[work.kind.name] *= 1 - LOAD_WEIGHT * work.in_quota
        self._set_stage(work, Stage.RUNNING)
        self.actions.append(api.Run(work.id))

    def _abandon(self, work: Work) -> None:
        """Give the final answer: a reject if it never ran, else a failure; and stop its run if possible."""
        if work.stage is Stage.QUEUED:
            # A retry delay keeps a caller's most valuable work away too. So for load it is short: shorter
            # with few other servers to go to, and in proportion to the value of the rejected work.
            highest_value = max(self._value(kind, None) for kind in self.settings.classes)
            local = self.memory_full or self._unhealthy() or self.drain_ms < math.inf  # others may do better
            value_share = 1.0 if local else min(1.0, work.value / highest_value)
            max_ms = math.inf if local else RETRY_AFTER_SHARE * self.settings.servers * work.kind.aim_ms
            wait_ms = value_share * min(max_ms, self.settings.advice_max_ms) * self.settings.advice_allowed
            self.shed_load = True
            self.rejected[work.kind.name] += LOAD_WEIGHT * (1 - self.rejected[work.kind.name]) * work.in_quota
            self.retries += LOAD_WEIGHT * (not self.settings.marks_repeats)
            # A further try was rejected elsewhere, and in a retry storm the next will be: it costs reading.
            storm = self.retries > RETRY_STORM
            waste = value_share < 1 or (storm and self.settings.marks_repeats)  # unmarked work may find room
            self.actions.append(api.Reject(work.id, wait_ms, waste and (work.arrival.marked_repeat or storm)))
            self._discard(work)
            return
        self.actions.append(api.Fail(work.id))
        work.answered = True
        if work.stage is Stage.FOLLOWING:
            self._remove(work)
        elif self._can_stop(work):
            self.actions.append(api.Stop(work.id))

    def _discard(self, work: Work) -> None:
        """Remove work that never ran; a repeat of it is new work from now on."""
        if work.id in self.keys:
            self.actions.append(api.ReleaseKey(work.id))
            del self.keys[work.id]
            self.released_keys.add(work.id)
        self._remove(work)

    def _on_run_end(self, work: Work, event: api.RunEnded) -> None:
        self._remove(work)
        if work.stage is Stage.CALLING:
            work.last_call[1:] = self.now + self.settings.linger_ms, True
        if work.stage is Stage.FOLLOWING or event.outcome is Outcome.MOOT:
            return
        if event.outcome is Outcome.STOPPED:  # no progress: hung work that is stopped ends this way
            if not work.answered:
                self.actions.append(api.Fail(work.id))
            return
        self._note_progress()
        if not work.answered:
            self.failure_share += FAILURE_WEIGHT * ((event.outcome is Outcome.ERROR) - self.failure_share)
        if event.outcome is Outcome.OK:
            run_ms = self.run_ms[work.kind.name]
            self.run_ms[work.kind.name] += RUN_WEIGHT * (event.took_ms - work.call_wait_ms - run_ms)

    def _on_caller_disconnect(self, work: Work, _: api.CallerDisconnected) -> None:
        self.caller_patience.record(work.arrival.caller, self.now - work.arrived_ms)
        if work.stage in (Stage.QUEUED, Stage.FOLLOWING):
            self._discard(work)
            return
        work.answered = True
        if work.kind.effect is not Effect.KEYED and self._can_stop(work):
            self.actions.append(api.Stop(work.id))

    def _resume_run(self, work: Work) -> None:
        self._set_stage(work, Stage.RUNNING)
        work.call_wait_ms += self.now

    def _on_call_needed(self, work: Work, _: api.CallNeeded) -> None:
        if not work.answered:
            self._note_progress()
            self._set_stage(work, Stage.CALL_QUEUED)
            work.tries = work.lost_replies = 0
            work.call_wait_ms -= self.now

    def _call_usage(self) -> tuple[int, float, float]:
        """Return the calls in progress, their time charged in the window, and how long one more may last.

        A call is charged its limit and linger from its start, and once ended what it took. Charges leave the
        window and only what fits is added: none exceeds MAX_CALL_SHARE even if all calls of all servers hang.
        A cold process may follow one whose calls still count: until they are past, it uses COLD_CALL_SHARE.
        Both come to 0.95 of the share; the rest is for the rounding of the configured figure."""
        from_ms = self.now - self.settings.call_window_ms
        # Ended calls are kept as a sum: a loop over them at each decision would cost a busy server most.
        ended = [call for call in self.calls if call[1] <= (self.now if call[2] else from_ms)]
        for call in sorted(ended, key=itemgetter(1)):  # so that `past_calls` is in the order of ends
            self.calls.remove(call)
            self.past_calls.append((call[0], call[1]))
            self.past_calls_ms += call[1] - call[0]
        while self.past_calls and self.past_calls[0][1] <= from_ms:
            start, end = self.past_calls.popleft()
            self.past_calls_ms -= end - start
        self.past_calls_ms *= bool(self.past_calls)  # drops rounding errors
        before_ms = sum(from_ms - start for start, _ in takewhile(lambda c: c[0] < from_ms, self.past_calls))
        may_follow = self.settings.cold and self.start_ms > from_ms - self.settings.linger_ms
        max_ms = self.call_budget_ms * (COLD_CALL_SHARE if may_follow else MAX_CALL_SHARE)
        spent_ms = self.past_calls_ms - before_ms
        spent_ms += sum(call[1] - max(call[0], from_ms) for call in self.calls if call[1] > from_ms)
        pending = sum(call[1] > self.now for call in self.calls)
        return pending, spent_ms, max_ms - spent_ms - self.settings.linger_ms

    def _start_calls(self) -> None:
        """Make or skip queued calls: first those that can't be skipped, then by value and aim."""
        if not self.stage_counts[Stage.CALL_QUEUED.value]:
            return
        queue = [work for work in self.work.values() if work.stage is Stage.CALL_QUEUED and not work.answered]
        queue.sort(key=lambda work: (work.kind.skip_worth, -work.value, work.aim_at_ms))
        pending, spent, free_ms = self._call_usage()
        slow = self.call_ms > SLOW_CALL_FACTOR * self.best_call_ms
        max_ms = max(0.0, self.call_limit * max(1.0, self.settings.call_window_ms) - self.call_ms)  # one fits
        free_concurrency = self._free_concurrency()
        for work in queue:
            if free_concurrency < 1:
                break  # a run that resumed now would exceed what the cores survive
            # Waiting pays while calls keep their usual time and the aim leaves time.
            waits = not slow and self.now + self.call_ms + self.run_ms[work.kind.name] / 2 < work.aim_at_ms
            end_ms = work.aim_at_ms if self.now < work.aim_at_ms else work.due_at_ms
            if work.kind.skip_worth and self.call_ms:  # the mean lags behind the first slow calls
                end_ms = min(end_ms, self.now + SKIPPABLE_LIMIT_FACTOR * self.call_ms)
            limit_ms = min(max(end_ms - self.now, TICK_MS), free_ms)
            share = SKIPPABLE_SHARE if work.kind.skip_worth and slow else 1.0
            fits = pending + 1 <= max(1.0, self.call_limit) and spent <= max_ms * share and free_ms >= TICK_MS
            skip = work.calls >= work.max_calls or work.tries > work.lost_replies or (not fits and not waits)
            if work.kind.skip_worth and skip:
                free_concurrency -= 1
                self._resume_run(work)
                self.actions.append(api.SkipCall(work.id))
            elif fits:
                self._set_stage(work, Stage.CALLING)
                work.tries += 1
                work.last_call = [self.now, self.now + limit_ms + self.settings.linger_ms, False]
                self.calls.append(work.last_call)
                pending, spent, free_ms = self._call_usage()
                free_concurrency -= 1
                self.actions.append(api.Call(work.id, limit_ms))

    def _on_call_end(self, work: Work, event: api.CallEnded) -> None:
        self._note_progress()
        in_doubt = event.outcome in (Outcome.TIMED_OUT, Outcome.INTERRUPTED)
        work.last_call[1:] = self.now + self.settings.linger_ms * in_doubt, True
        if event.outcome in (Outcome.OK, Outcome.TIMED_OUT):
            self.call_ms += (CALL_WEIGHT if self.call_ms else 1.0) * (event.took_ms - self.call_ms)
            self.best_call_ms = min(self.call_ms, (self.best_call_ms or self.call_ms) * BEST_CALL_RISE)
        slow = event.outcome is not Outcome.OK or event.took_ms > SLOW_CALL_FACTOR * self.best_call_ms
        limit = self.call_limit * CALL_DECAY if slow else self.call_limit + CALL_RISE * self.call_share
        self.call_limit = min(max(MIN_CALL_SHARE * self.call_share, limit), MAX_CALL_SHARE * self.call_share)
        if event.outcome is Outcome.OK:
            self._resume_run(work)
            work.calls += 1
            return
        self._set_stage(work, Stage.CALL_QUEUED)
        if event.outcome is Outcome.INTERRUPTED and work.kind.effect is Effect.SAFE:
            work.lost_replies = 1  # the link failed, which tells nothing about the service that was called
        retry = work.kind.effect is Effect.SAFE or event.outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        if not work.kind.skip_worth and (not retry or work.tries >= MAX_CALL_TRIES) and not work.answered:
            self._abandon(work)
