"""The decision planner: the only owner of the controller, the requests and the keys.

The rules apply to the node as a whole, so there is one planner. It handles one report at a time and applies the
controller's actions in order, without waiting in between.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from anyio.lowlevel import checkpoint

from flintshift import interface as api
from flintshift.control import Controller
from flintshift.core import attempts as at
from flintshift.core.attempts import Answer, Attempt, Verdict
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.keys import KeyEntry, KeyTable, fingerprint
from flintshift.core.limit_share import FULL_SHARE, LimitShare, scale_settings, usage_share
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.core.open_attempts import OpenAttempts
from flintshift.core.ports import FairRanking, ServingStatus
from flintshift.core.runs import Runs
from flintshift.core.waiting_claims import ClaimState, WaitingClaims
from flintshift.interface import Outcome

MIN_PATIENCE_MS = 1e-3  # reported for an attempt past its deadline


class Decisions:
    """Takes reports from the mailbox one at a time, asks the controller, and applies its actions in order.

    ``wake_at`` asks for a `Tick` at a time; ``update_lists`` is called when what the node reports to the name service
    and to DNS may have changed."""

    def __init__(
        self,
        catalogue: Catalogue,
        seed: int,
        limits: Limits,
        counters: Counters,
        now_ms: Callable[[], float],
        wake_at: Callable[[float, str], None],
        update_lists: Callable[[], None],
    ) -> None:
        self.catalogue, self.limits, self.counters = catalogue, limits, counters
        self.now_ms, self.wake_at, self.update_lists = now_ms, wake_at, update_lists
        self.share = FULL_SHARE  # this process's share of the node's limits
        settings = self._scaled_settings()
        self.controller = Controller(settings, seed)
        self.mailbox: Mailbox[at.Report] = Mailbox(limits.mailbox_size)
        self.serving_status = ServingStatus(default_retry_after_ms=settings.advice_max_ms * settings.advice_allowed)
        self.attempts = OpenAttempts(counters, now_ms, self.serving_status)
        self.keys = KeyTable(limits)
        self.waiting_claims = WaitingClaims()
        self.pending: deque[at.Report] = deque()  # reports that result from an action, handled before the next one
        self.runs = Runs(
            self.attempts, self.keys, self.waiting_claims, self.pending, self.serving_status, counters, now_ms
        )
        self.last_purge_ms = 0.0
        self.handlers: dict[type, Callable[[Any], api.Event | None]] = {
            at.Submitted: self._on_submitted,
            at.Tick: self._on_tick,
            at.WorkersUp: self._on_workers_up,
            at.MessageReceived: self._on_message,
            at.LearnedStateReceived: self._on_learned_state,
            at.ClaimAnswered: self._on_claim_answered,
            at.OutcomeRecorded: self.runs.on_outcome_recorded,
            at.CallerDisconnected: self._on_caller_disconnected,
            at.CatalogueChanged: self._on_change,
            at.ShutdownNotice: self._on_shutdown_notice,
        }

    # Called by the fronts and the node.

    def submit(self, attempt: Attempt) -> None:
        """Accept an attempt that was read. If the mailbox is full, the attempt is refused at once, as it never ran. A
        repeat, whose first try may have run, must not be refused: it may use the reserved places, or it fails."""
        repeat = self._is_repeat(attempt)
        spare = 0 if repeat else self.limits.mailbox_reserve
        if self.runs.usage_recorder is not None and self.runs.usage_recorder.refusing and not repeat:
            self.counters.add("refused.not_bookable")
            self.attempts.settle(attempt, self.attempts.refusal())
            return
        if not repeat and not self.catalogue.accepts(attempt.class_name, self.now_ms()):
            self.counters.add("refused.class_dropped")
            self.attempts.settle(attempt, self.attempts.refusal())
            return
        if not self.serving_status.workers_up or not self.mailbox.offer(at.Submitted(attempt), spare):
            self.counters.add("full.mailbox" if self.serving_status.workers_up else "full.not_up")
            self.attempts.settle(attempt, Answer(Verdict.FAILED) if repeat else self.attempts.refusal())

    def reject(self, attempt: Attempt) -> None:
        """Answer an attempt at once that came when no connection was free: it never ran, so it is refused. A repeat,
        whose first try may have run, fails."""
        self.counters.add("full.connections")
        self.attempts.settle(attempt, Answer(Verdict.FAILED) if self._is_repeat(attempt) else self.attempts.refusal())

    def change(self, settings: api.Settings) -> str | None:
        """Apply new settings at once, or return the reason why they can't be. Open requests end under those that they
        arrived with."""
        rejection = self.catalogue.change(settings, self.now_ms())
        if rejection is None:
            self.handle(at.CatalogueChanged())
        return rejection

    def set_limit_share(self, share: LimitShare) -> None:
        """Use at most this share of the node's limits from now on; another process has the rest."""
        if share != self.share:
            self.share = share
            self.pending.append(at.CatalogueChanged())

    def use_ranking(self, ranking: FairRanking) -> None:
        """Have this port rank the requests that wait."""
        self.attempts.ranking, self.controller.rank = ranking, ranking.rank_ms

    def used_share(self) -> LimitShare:
        """The share of the node's limits that this process uses at present."""
        return usage_share(self.catalogue.effective_settings, *self.controller.resource_usage())

    def _scaled_settings(self) -> api.Settings:
        settings = scale_settings(self.catalogue.effective_settings, self.share)
        # The grace period begins when the notice is sent, not when this process receives it.
        return replace(settings, drain_grace_ms=max(0.0, settings.drain_grace_ms - self.limits.max_notice_delay_ms))

    def tick(self, tick: at.Tick) -> None:
        """Handle a tick at once: deadlines must not wait behind the arrivals in the mailbox."""
        self.handle(tick)

    async def report(self, report: at.Report) -> None:
        """Put a report into the mailbox, waiting while that is full."""
        await self.mailbox.put(report)

    async def run(self) -> None:
        """Handle the reports in the mailbox for ever."""
        for turn in itertools.count(1):
            self.handle(await self.mailbox.take())
            if turn % self.limits.batch_size == 0:  # a full mailbox must not keep the fronts from running
                await checkpoint()

    # One report at a time.

    def handle(self, report: at.Report) -> None:
        """Handle a report and all reports that result from it."""
        self.pending.append(report)
        while self.pending:
            event = self._event_for(self.pending.popleft())
            if event is not None:
                self._decide(event)
            self.attempts.sweep()

    def _decide(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now_ms(), event):
            self._apply(action)

    def _apply(self, action: api.Action) -> None:
        match action:
            case api.WakeAt(at_ms, token):
                self.wake_at(at_ms, token)
            case api.SetHealth(good, from_store):
                self.serving_status.healthy, self.serving_status.health_is_cached = good, from_store
            case api.SetFreeValue(value):
                self.serving_status.free_value = value
            case api.CloseIdle(idle_ms):
                self.serving_status.idle_timeout_ms = idle_ms
            case _:
                self.runs.apply(action)

    def _event_for(self, report: at.Report) -> api.Event | None:
        """Update the state by a report; returns the controller's event, if the report concerns the controller."""
        if isinstance(report, at.RunReport):
            return self.runs.event_for(report)
        return self.handlers[type(report)](report)

    # Reports about the node.

    def _on_tick(self, report: at.Tick) -> api.Event:
        self._purge_expired()
        if self.waiting_claims.claims is not None:
            self.waiting_claims.claims.tick()
        if self.attempts.ranking is not None:
            self.attempts.ranking.tick()
        return api.Woken(report.token, report.gauges)

    def _on_workers_up(self, _: at.WorkersUp) -> api.Event | None:
        if self.serving_status.workers_up:  # the link was restored: the controller has started before
            return None
        self.serving_status.workers_up = True
        self.update_lists()
        return api.Started()

    def _on_message(self, report: at.MessageReceived) -> None:
        if self.waiting_claims.claims is not None:
            self.waiting_claims.claims.on_message(report.message)

    @staticmethod
    def _on_learned_state(report: at.LearnedStateReceived) -> api.Event:
        return report.learned

    def _on_change(self, _: at.CatalogueChanged) -> api.Event:
        settings = self._scaled_settings()
        self.serving_status.default_retry_after_ms = settings.advice_max_ms * settings.advice_allowed
        return api.SettingsChanged(settings)

    def _on_shutdown_notice(self, report: at.ShutdownNotice) -> api.Event:
        self.serving_status.draining = True
        self.update_lists()
        return api.DrainStarted(report.stops_in_ms)

    # Reports about a request at any stage.

    def _on_caller_disconnected(self, report: at.CallerDisconnected) -> api.Event | None:
        attempt = report.attempt
        if attempt.settled:
            return None
        self.attempts.mark_disconnected(attempt)
        if self.waiting_claims.on_caller_disconnected(attempt):
            return None
        self.attempts.close(attempt)
        return api.CallerDisconnected(attempt.id)

    # Arrivals.

    def _on_submitted(self, report: at.Submitted) -> api.Event | None:
        self.counters.add("read")
        return self._pass_to_controller(report.attempt, claim_granted=False)

    def _on_claim_answered(self, report: at.ClaimAnswered) -> None:
        """Go on with an attempt whose claim was answered, or can't be answered any more."""
        granted, never_ran = report.granted, report.never_ran
        attempt = self.waiting_claims.on_claim_answered(report.request)
        if attempt is None:
            return
        if granted is None and never_ran:
            self.counters.add("refused.no_claim")
            self.attempts.settle(attempt, self.attempts.refusal())
            return
        if granted is None:
            self.counters.add("claims.unanswered")
            self.attempts.settle(attempt, Answer(Verdict.FAILED))  # it may have run, so it must not be refused
            return
        event = self._pass_to_controller(attempt, granted)
        if event is not None:
            self._decide(event)
        if granted and self.keys.owned_entry(attempt) is None:
            self.waiting_claims.on_key_freed(attempt)  # the controller refused it

    def _pass_to_controller(self, attempt: Attempt, claim_granted: bool) -> api.Event | None:
        """Hand an attempt to the controller, unless it is settled or must wait for a claim. ``claim_granted``: its
        claim was requested and granted."""
        attempt.request_class = self.catalogue.find_class(attempt.class_name)
        entry = self.keys.find(attempt) if attempt.request_key is not None else None
        answer = self._rejection(attempt, entry)
        if answer is not None:
            self.attempts.settle(attempt, answer)
            return None
        if entry is None and attempt.request_key is not None and not claim_granted:
            claim_state = self.waiting_claims.request_claim(attempt)
            if claim_state is ClaimState.UNSURE:
                self.counters.add("claims.unsure")
                self.attempts.settle(attempt, Answer(Verdict.FAILED))
            if claim_state is not ClaimState.NOT_NEEDED:
                return None
        self.attempts.add(attempt)
        return self._arrival_event(attempt, entry)

    def _rejection(self, attempt: Attempt, entry: KeyEntry | None) -> Answer | None:
        """The answer to an attempt that can't be accepted at any load; ``entry`` is the one of its key."""
        # Every try has a new id, as answers could not be told apart otherwise. And a request must never get the
        # result of another one by its key.
        id_is_open = attempt.id in self.attempts or attempt.id in self.waiting_claims
        if id_is_open or (entry is not None and entry.digest != fingerprint(attempt)):
            return Answer(Verdict.CONFLICT)
        if attempt.request_class is None:  # the class's grace period ended while the attempt waited
            self.counters.add("refused.class_dropped")
            return self.attempts.refusal()
        if entry is None and attempt.request_key is not None and self.keys.is_full():
            self.counters.add("refused.keys_full")
            return Answer(Verdict.FAILED) if self._may_have_run(attempt) else self.attempts.refusal()
        return None

    def _arrival_event(self, attempt: Attempt, entry: KeyEntry | None) -> api.Event:
        now = self.now_ms()
        return api.Arrived(
            attempt.id,
            attempt.class_name,
            attempt.memory_kb,
            now - attempt.arrival_ms,
            attempt.caller,
            attempt.tenant,
            entry.owner if entry else None,
            attempt.marked_repeat,
            # An attempt past its deadline is answered at once: 0 would stand for a caller without a timeout.
            None if attempt.caller_timeout_ms is None else max(attempt.deadline_at_ms - now, MIN_PATIENCE_MS),
            attempt.subject,
        )

    def _is_repeat(self, attempt: Attempt) -> bool:
        """Whether an earlier try of it may have run, here or elsewhere."""
        return attempt.request_key is not None and (self._may_have_run(attempt) or self.keys.find(attempt) is not None)

    def _may_have_run(self, attempt: Attempt) -> bool:
        """Whether an earlier try of it may have run elsewhere."""
        return self.waiting_claims.may_have_run(attempt, self.catalogue.settings.marks_repeats)

    def _purge_expired(self) -> None:
        now = self.now_ms()
        if now < self.last_purge_ms + self.limits.purge_interval_ms:
            return
        self.last_purge_ms = now
        # A run whose end was lost with its link would occupy its place for ever.
        for attempt in self.attempts:
            if attempt.running and attempt.settled and now > attempt.settled_ms + self.limits.lost_run_timeout_ms:
                self.counters.add("lost_runs")
                self.pending.append(at.RunFinished(attempt.id, Outcome.STOPPED))
        self.keys.purge(now, itertools.chain(self.attempts.by_id, self.waiting_claims.awaiting_record))
        if self.catalogue.purge(now):
            self.pending.append(at.CatalogueChanged())

    @property
    def open(self) -> int:
        """The number of open requests and of reports in the mailbox, any of which may lead to an answer."""
        return self.attempts.unanswered + self.waiting_claims.open + len(self.mailbox)

    @property
    def unanswered(self) -> int:
        """The number of requests that were read and not answered."""
        submitted = sum(isinstance(report, at.Submitted) for report in self.mailbox.items)
        return self.attempts.unanswered + self.waiting_claims.open + submitted
