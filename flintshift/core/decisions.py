"""The decision planner: sole owner of the controller, the requests and the keys.

The rules hold for the node as a whole, so there is one of it. It takes one report at a time and applies what
the controller answers in order, without waiting between.
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

LEAST_PATIENCE_MS = 1e-3


class Decisions:
    """Takes reports from the mailbox one at a time, asks the controller, and applies its actions in order.

    ``wake_at`` asks for a `Tick` at a time, and ``list_`` is called when what the node's lists are told changes."""

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
        self.share = FULL_SHARE  # of the node's limits, for this process
        settings = self._settings()
        self.controller = Controller(settings, seed)
        self.mailbox: Mailbox[at.Report] = Mailbox(limits.mailbox_size)
        self.serving_status = ServingStatus(default_retry_after_ms=settings.advice_max_ms * settings.advice_allowed)
        self.attempts = OpenAttempts(counters, now_ms, self.serving_status)
        self.keys = KeyTable(limits)
        self.waiting_claims = WaitingClaims()
        self.pending: deque[at.Report] = deque()  # what applying an action has brought about
        self.runs = Runs(
            self.attempts, self.keys, self.waiting_claims, self.pending, self.serving_status, counters, now_ms
        )
        self.last_purge_ms = 0.0
        self.handlers: dict[type, Callable[[Any], api.Event | None]] = {
            at.Submitted: self._submitted,
            at.Tick: self._ticked,
            at.WorkersUp: self._came_up,
            at.MessageReceived: self._told,
            at.LearnedStateReceived: self._taught,
            at.ClaimAnswered: self._agreed,
            at.OutcomeRecorded: self.runs.kept,
            at.CallerDisconnected: self._departed,
            at.CatalogueChanged: self._changed,
            at.ShutdownNotice: self._noticed,
        }

    # For the forwarders.

    def submit(self, attempt: Attempt) -> None:
        """Take a request that was read. A full mailbox refuses it here and now: it never ran. Guards a
        repeat, whose first try may have run, against a refusal: it has the spare room, or fails."""
        repeat = self._repeats(attempt)
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
        """Answer a request for which there is no place, here and now: it never ran. A repeat, whose first try may have
        run, fails."""
        self.counters.add("full.connections")
        self.attempts.settle(attempt, Answer(Verdict.FAILED) if self._repeats(attempt) else self.attempts.refusal())

    def change(self, settings: api.Settings) -> str | None:
        """Go on under new settings from this very turn on; else why not. What is open ends under those it came with."""
        fault = self.catalogue.change(settings, self.now_ms())
        if fault is None:
            self.handle(at.CatalogueChanged())
        return fault

    def set_limit_share(self, share: LimitShare) -> None:
        """Use no more of the node's limits than this from now on: another process has the rest."""
        if share != self.share:
            self.share = share
            self.pending.append(at.CatalogueChanged())

    def use_ranking(self, ranks: FairRanking) -> None:
        """Have what waits ranked by this port."""
        self.attempts.ranking, self.controller.rank = ranks, ranks.rank_ms

    def used_share(self) -> LimitShare:
        """The share of the node's limits that this process uses now."""
        return usage_share(self.catalogue.effective_settings, *self.controller.used())

    def _settings(self) -> api.Settings:
        settings = scale_settings(self.catalogue.effective_settings, self.share)
        # The grace counts from when the notice was given, not from when it was heard.
        return replace(settings, drain_grace_ms=max(0.0, settings.drain_grace_ms - self.limits.max_notice_delay_ms))

    def tick(self, tick: at.Tick) -> None:
        """Handle a tick in this very turn: due times must not wait behind all that has arrived."""
        self.handle(tick)

    async def report(self, report: at.Report) -> None:
        await self.mailbox.put(report)

    async def run(self) -> None:
        for turn in itertools.count(1):
            self.handle(await self.mailbox.take())
            if turn % self.limits.batch_size == 0:  # a full mailbox must not keep the forwarders from their turn
                await checkpoint()

    # One report at a time.

    def handle(self, report: at.Report) -> None:
        self.pending.append(report)
        while self.pending:
            event = self._event(self.pending.popleft())
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

    def _event(self, report: at.Report) -> api.Event | None:
        """Book a report and make of it the controller's event, if it concerns it."""
        if isinstance(report, at.RunReport):
            return self.runs.event(report)
        return self.handlers[type(report)](report)

    # Reports of the node.

    def _ticked(self, report: at.Tick) -> api.Event:
        self._purge()
        if self.waiting_claims.claims is not None:
            self.waiting_claims.claims.tick()
        if self.attempts.ranking is not None:
            self.attempts.ranking.tick()
        return api.Woken(report.token, report.gauges)

    def _came_up(self, _: at.WorkersUp) -> api.Event | None:
        if self.serving_status.workers_up:  # the link came back: the controller goes on
            return None
        self.serving_status.workers_up = True
        self.update_lists()
        return api.Started()

    def _told(self, report: at.MessageReceived) -> None:
        if self.waiting_claims.claims is not None:
            self.waiting_claims.claims.on_message(report.message)

    @staticmethod
    def _taught(report: at.LearnedStateReceived) -> api.Event:
        return report.learned

    def _changed(self, _: at.CatalogueChanged) -> api.Event:
        settings = self._settings()
        self.serving_status.default_retry_after_ms = settings.advice_max_ms * settings.advice_allowed
        return api.Changed(settings)

    def _noticed(self, report: at.ShutdownNotice) -> api.Event:
        self.serving_status.draining = True
        self.update_lists()
        return api.Leaving(report.stops_in_ms)

    # Reports of a request, wherever it stands.

    def _departed(self, report: at.CallerDisconnected) -> api.Event | None:
        attempt = report.attempt
        if attempt.settled:
            return None
        self.attempts.leave(attempt)
        if self.waiting_claims.on_caller_disconnected(attempt):
            return None
        self.attempts.close(attempt)
        return api.CallerGone(attempt.id)

    # Arrivals.

    def _submitted(self, report: at.Submitted) -> api.Event | None:
        self.counters.add("read")
        return self._taken(report.attempt, agreed=False)

    def _agreed(self, report: at.ClaimAnswered) -> None:
        """The others' word on a key has come, or can't come any more."""
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
            self.attempts.settle(attempt, Answer(Verdict.FAILED))  # it may have run: a refusal would be wrong
            return
        event = self._taken(attempt, granted)
        if event is not None:
            self._decide(event)
        if granted and self.keys.owned_entry(attempt) is None:
            self.waiting_claims.on_key_freed(attempt)  # it was turned away

    def _taken(self, attempt: Attempt, agreed: bool) -> api.Event | None:
        """Hand an attempt to the controller, unless it is settled without it. ``agreed``: the others were asked."""
        attempt.request_class = self.catalogue.find_class(attempt.class_name)
        entry = self.keys.find(attempt) if attempt.request_key is not None else None
        answer = self._unfit(attempt, entry)
        if answer is not None:
            self.attempts.settle(attempt, answer)
            return None
        if entry is None and attempt.request_key is not None and not agreed:
            claim_state = self.waiting_claims.request_claim(attempt)
            if claim_state is ClaimState.UNSURE:
                self.counters.add("claims.unsure")
                self.attempts.settle(attempt, Answer(Verdict.FAILED))
            if claim_state is not ClaimState.NOT_NEEDED:
                return None
        self.attempts.add(attempt)
        return self._arrived(attempt, entry)

    def _unfit(self, attempt: Attempt, entry: KeyEntry | None) -> Answer | None:
        """The answer to an attempt that can't be taken, whatever the load; ``entry`` is that of its key."""
        # An id is new with every try: answers could not be told apart. And the key of a request must never
        # get its result to another one.
        known = attempt.id in self.attempts or attempt.id in self.waiting_claims
        if known or (entry is not None and entry.digest != fingerprint(attempt)):
            return Answer(Verdict.CONFLICT)
        if attempt.request_class is None:  # dropped for good while it waited here
            self.counters.add("refused.class_dropped")
            return self.attempts.refusal()
        if entry is None and attempt.request_key is not None and self.keys.is_full():
            self.counters.add("refused.keys_full")
            return Answer(Verdict.FAILED) if self._may_have_run(attempt) else self.attempts.refusal()
        return None

    def _arrived(self, attempt: Attempt, entry: KeyEntry | None) -> api.Event:
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
            # Past its due time already, it is answered at once: no time left would stand for a caller that tells none.
            None if attempt.caller_timeout_ms is None else max(attempt.deadline_at_ms - now, LEAST_PATIENCE_MS),
            attempt.subject,
        )

    def _repeats(self, attempt: Attempt) -> bool:
        """An earlier try of it may have run, here or elsewhere."""
        return attempt.request_key is not None and (self._may_have_run(attempt) or self.keys.find(attempt) is not None)

    def _may_have_run(self, attempt: Attempt) -> bool:
        return self.waiting_claims.may_have_run(attempt, self.catalogue.settings.marks_repeats)

    def _purge(self) -> None:
        now = self.now_ms()
        if now < self.last_purge_ms + self.limits.purge_interval_ms:
            return
        self.last_purge_ms = now
        # A run whose end was lost with its link would hold its place for ever.
        for attempt in self.attempts:
            if attempt.running and attempt.settled and now > attempt.settled_ms + self.limits.lost_run_timeout_ms:
                self.counters.add("lost_runs")
                self.pending.append(at.RunFinished(attempt.id, Outcome.STOPPED))
        self.keys.purge(now, itertools.chain(self.attempts.by_id, self.waiting_claims.awaiting_record))
        if self.catalogue.purge(now):
            self.pending.append(at.CatalogueChanged())

    @property
    def open(self) -> int:
        """Requests read and not over, and reports of which some may bring about an answer."""
        return self.attempts.unanswered + self.waiting_claims.open + len(self.mailbox)

    @property
    def unanswered(self) -> int:
        """Requests read and not over."""
        submitted = sum(isinstance(report, at.Submitted) for report in self.mailbox.items)
        return self.attempts.unanswered + self.waiting_claims.open + submitted
