"""The decision planner: sole owner of the controller, the requests and the keys.

The rules hold for the node as a whole, so there is one of it. It takes one report at a time and applies what
the controller answers in order, without waiting between.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from anyio.lowlevel import checkpoint

from flintshift import interface as api
from flintshift.control import Controller
from flintshift.core import attempts as at
from flintshift.core.attempts import NEVER_RAN, Answer, Attempt, Verdict
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.keys import Entry, KeyTable, fingerprint
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.core.ports import Below, Books, Claims, Posture, Ranks, Workers
from flintshift.interface import Effect, Outcome


@dataclass(frozen=True, slots=True)
class Part:
    """The parts of the node's limits that are this process's."""

    crowd: float = 1.0
    memory: float = 1.0
    calls: float = 1.0


WHOLE = Part()


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
        list_: Callable[[], None],
    ) -> None:
        self.catalogue, self.limits, self.counters = catalogue, limits, counters
        self.now_ms, self.wake_at, self.list = now_ms, wake_at, list_
        self.part = WHOLE
        settings = self._settings()
        self.controller = Controller(settings, seed)
        self.mailbox: Mailbox[at.Report] = Mailbox(limits.mailbox)
        self.posture = Posture(wait_ms=settings.advice_max_ms * settings.advice_allowed)
        self.workers: Mapping[str, Workers] = {}
        self.below: Below
        self.requests: dict[str, Attempt] = {}
        self.keys = KeyTable(limits)
        self.books: Books | None = None
        self.claims: Claims | None = None
        self.elsewhere = False  # a further try may be of a request that ran at another member of the fleet
        self.ranks: Ranks | None = None
        self.awaiting: dict[str, Attempt] = {}  # the others' word on their keys; one a connection at most
        self.keeping: dict[str, Attempt] = {}  # they ran, and are answered once their end is kept elsewhere too
        self.pending: deque[at.Report] = deque()  # what applying an action has brought about
        self.closing: list[Attempt] = []
        self.purged_ms = 0.0
        self.handlers: dict[type, Callable[[Any], api.Event | None]] = {
            at.Submitted: self._submitted,
            at.Tick: self._ticked,
            at.Up: self._came_up,
            at.Told: self._told,
            at.Taught: self._taught,
            at.Agreed: self._agreed,
            at.Kept: self._kept,
            at.Departed: self._departed,
            at.Changed: self._changed,
            at.Notice: self._noticed,
        }
        self.run_handlers: dict[type, Callable[[Attempt, Any], api.Event | None]] = {
            at.CallWanted: self._call_wanted,
            at.ReplyUnsure: self._reply_unsure,
            at.CallOver: self._call_over,
            at.RunOver: self._run_over,
        }
        self.action_handlers: dict[type, Callable[[Attempt, Any], None]] = {
            api.Run: self._run,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Call: self._call,
            api.SkipCall: self._skip_call,
            api.Keep: self._keep,
            api.Forget: self._forget,
            api.AnswerFromOriginal: self._follow,
            api.Stop: self._stop,
        }

    # For the forwarders.

    def submit(self, attempt: Attempt) -> None:
        """Take a request that was read. A full mailbox refuses it here and now: it never ran. Guards a
        repeat, whose first try may have run, against a refusal: it has the spare room, or fails."""
        repeat = attempt.unique is not None and (self._may_have_run(attempt) or self.keys.find(attempt) is not None)
        spare = 0 if repeat else self.limits.mailbox_spare
        if self.books is not None and self.books.refusing and not repeat:
            self.counters.add("refused.not_bookable")
            self._settle(attempt, self._refusal())
            return
        if not repeat and not self.catalogue.takes(attempt.class_name, self.now_ms()):
            self.counters.add("refused.class_dropped")
            self._settle(attempt, self._refusal())
            return
        if not self.posture.up or not self.mailbox.offer(at.Submitted(attempt), spare):
            self.counters.add("full.mailbox" if self.posture.up else "full.not_up")
            self._settle(attempt, Answer(Verdict.FAILED) if repeat else self._refusal())

    def change(self, settings: api.Settings) -> str | None:
        """Go on under new settings from this very turn on; else why not. What is open ends under those it came with."""
        fault = self.catalogue.change(settings, self.now_ms())
        if fault is None:
            self.handle(at.Changed())
        return fault

    def keep_to(self, part: Part) -> None:
        """Use no more of the node's limits than this from now on: another process has the rest."""
        if part != self.part:
            self.part = part
            self.pending.append(at.Changed())

    def rank_by(self, ranks: Ranks) -> None:
        self.ranks, self.controller.rank = ranks, ranks.rank_ms

    def used(self) -> Part:
        """The parts of the node's limits that this process uses now."""
        settings = self.catalogue.decided
        crowd, memory_kb, calls_ms = self.controller.used()
        calls = settings.call_share * settings.call_window_ms
        return Part(crowd, memory_kb / settings.memory_kb, calls_ms / calls if calls else 0.0)

    def _settings(self) -> api.Settings:
        # The grace counts from when the notice was given, not from when it was heard.
        settings, part = self.catalogue.decided, self.part
        if part != WHOLE:
            settings = replace(
                settings,
                crowd_share=part.crowd,
                memory_kb=settings.memory_kb * max(part.memory, 1e-3),
                call_share=settings.call_share * part.calls,
            )
        return replace(settings, drain_grace_ms=max(0.0, settings.drain_grace_ms - self.limits.notice_late_ms))

    async def report(self, report: at.Report) -> None:
        await self.mailbox.put(report)

    async def run(self) -> None:
        for turn in itertools.count(1):
            self.handle(await self.mailbox.take())
            if turn % self.limits.batch == 0:  # a full mailbox must not keep the forwarders from their turn
                await checkpoint()

    # One report at a time.

    def handle(self, report: at.Report) -> None:
        self.pending.append(report)
        while self.pending:
            event = self._event(self.pending.popleft())
            if event is not None:
                self._decide(event)
            # Only now, after all that was decided of them: out of the table go those that are over, unless
            # their run goes on and its end is still to be told.
            for attempt in self.closing:
                if attempt.over and not attempt.running:
                    self.requests.pop(attempt.id, None)
                    if self.ranks is not None:
                        self.ranks.left(attempt.id)
            self.closing.clear()

    def _decide(self, event: api.Event) -> None:
        for action in self.controller.handle(self.now_ms(), event):
            self._apply(action)

    def _event(self, report: at.Report) -> api.Event | None:
        """Book a report and make of it the controller's event, if it concerns it."""
        if not isinstance(report, at.RunReport):
            return self.handlers[type(report)](report)
        attempt = self.requests.get(report.request)
        if attempt is None:  # it is over: late reports of it change nothing
            return None
        return self.run_handlers[type(report)](attempt, report)

    # Reports of the node.

    def _ticked(self, report: at.Tick) -> api.Event:
        self._purge()
        if self.claims is not None:
            self.claims.tick()
        if self.ranks is not None:
            self.ranks.tick()
        return api.Woken(report.token, report.gauges)

    def _came_up(self, _: at.Up) -> api.Event | None:
        if self.posture.up:  # the link came back: the controller goes on
            return None
        self.posture.up = True
        self.list()
        return api.Started()

    def _told(self, report: at.Told) -> None:
        if self.claims is not None:
            self.claims.heard(report.word)

    @staticmethod
    def _taught(report: at.Taught) -> api.Event:
        return report.learned

    def _changed(self, _: at.Changed) -> api.Event:
        settings = self._settings()
        self.posture.wait_ms = settings.advice_max_ms * settings.advice_allowed
        return api.Changed(settings)

    def _noticed(self, report: at.Notice) -> api.Event:
        self.posture.leaving = True
        self.list()
        return api.Leaving(report.stops_in_ms)

    # Reports of a request, wherever it stands.

    def _departed(self, report: at.Departed) -> api.Event | None:
        kept = self.keeping.get(report.request)
        if kept is not None:
            if not kept.over:
                self._leave(kept)
            return None
        waiting = self.awaiting.pop(report.request, None)
        if waiting is not None:
            self._leave(waiting)
            if self.claims is not None:
                self.claims.departed(report.request)
            return None
        attempt = self.requests.get(report.request)
        if attempt is None or attempt.over:
            return None
        self._leave(attempt)
        self.closing.append(attempt)
        return api.CallerGone(attempt.id)

    def _leave(self, attempt: Attempt) -> None:
        """Its caller has gone: no answer is owed any longer."""
        attempt.gone, attempt.over_ms = True, self.now_ms()
        self.counters.add("departed")

    # Reports of a run.

    @staticmethod
    def _call_wanted(attempt: Attempt, report: at.CallWanted) -> api.Event:
        attempt.call_no, attempt.payload = report.no, report.payload
        return api.CallNeeded(attempt.id)

    def _reply_unsure(self, attempt: Attempt, report: at.ReplyUnsure) -> None:
        """Without the reply the run would stand there for ever: where the call may be left out, it goes on poorer if
        the reply was lost. Elsewhere the reply can't be repeated: it might meet the next call of the run."""
        self.counters.add("replies_unsure")
        skippable = attempt.kind is not None and attempt.kind.skip_worth
        if skippable and attempt.call_no == report.no and not attempt.over:
            self._workers(attempt).go_on(attempt.id, report.no)
            attempt.poorer = True

    def _call_over(self, attempt: Attempt, report: at.CallOver) -> api.Event | None:
        if not attempt.calling:  # given up meanwhile
            return None
        attempt.calling = False
        if report.outcome is Outcome.OK and not self._workers(attempt).supply(
            attempt.id, attempt.call_no, report.reply
        ):
            self.counters.add("dropped.supply")
        return api.CallEnded(attempt.id, report.outcome, report.took_ms)

    # Arrivals.

    def _submitted(self, report: at.Submitted) -> api.Event | None:
        self.counters.add("read")
        return self._taken(report.attempt, agreed=False)

    def _agreed(self, report: at.Agreed) -> None:
        """The others' word on a key has come, or can't come any more."""
        granted, never_ran = report.granted, report.never_ran
        attempt = self.awaiting.pop(report.request, None)
        if attempt is None:
            return
        if granted is None and never_ran:
            self.counters.add("refused.no_claim")
            self._settle(attempt, self._refusal())
            return
        if granted is None:
            self.counters.add("claims.unanswered")
            self._settle(attempt, Answer(Verdict.FAILED))  # it may have run: a refusal would be wrong
            return
        event = self._taken(attempt, granted)
        if event is not None:
            self._decide(event)
        if granted and self.claims is not None and self.keys.owned(attempt) is None:
            self.claims.freed(attempt)  # it was turned away

    def _taken(self, attempt: Attempt, agreed: bool) -> api.Event | None:
        now = self.now_ms()
        attempt.kind = self.catalogue.find(attempt.class_name)
        entry = self.keys.find(attempt) if attempt.unique is not None else None
        # An id is new with every try: answers could not be told apart. And the key of a request must never
        # get its result to another one.
        known = attempt.id in self.requests or attempt.id in self.awaiting or attempt.id in self.keeping
        if known or (entry is not None and entry.print != fingerprint(attempt)):
            self._settle(attempt, Answer(Verdict.CONFLICT))
            return None
        if attempt.kind is None:  # dropped for good while it waited here
            self.counters.add("refused.class_dropped")
            self._settle(attempt, self._refusal())
            return None
        if entry is None and attempt.unique is not None and self.keys.full():
            self.counters.add("refused.keys_full")
            self._settle(attempt, Answer(Verdict.FAILED) if self._may_have_run(attempt) else self._refusal())
            return None
        if entry is None and attempt.unique is not None and self.claims is not None and not agreed:
            if self.claims.unsure(attempt):
                self.counters.add("claims.unsure")
                self._settle(attempt, Answer(Verdict.FAILED))
                return None
            if self.claims.needed:
                self.awaiting[attempt.id] = attempt
                self.claims.ask(attempt)
                return None
        self.requests[attempt.id] = attempt
        if self.ranks is not None:
            self.ranks.arrived(attempt)
        return api.Arrived(
            attempt.id,
            attempt.class_name,
            attempt.held_kb,
            now - attempt.door_ms,
            attempt.caller,
            attempt.tenant,
            entry.owner if entry else None,
            attempt.again,
            None,
            attempt.subject,
        )

    def _run_over(self, attempt: Attempt, report: at.RunOver) -> api.Event:
        attempt.running = False
        attempt.run_ms += report.took_ms
        if self.ranks is not None:
            self.ranks.ended(attempt.id, report.took_ms)
        if attempt.over and self.books is not None:
            self.books.ran_on(attempt, report.took_ms)
        if attempt.calling:
            attempt.calling = False
            self.below.give_up(attempt.id)
        entry = self.keys.owned(attempt)
        if report.outcome in NEVER_RAN:
            attempt.ran = False
            self._free(attempt)
        elif entry is not None and attempt.ran:
            if self.claims is not None and self.claims.keeps(attempt, report.outcome, report.result):
                self.keeping[attempt.id] = attempt
                self.requests.pop(attempt.id, None)
                return api.RunEnded(attempt.id, report.outcome, report.took_ms)
            self._ended(entry, report.outcome, report.result)
            if self.claims is not None:
                self.claims.over(attempt)
        self._answer(attempt, report.outcome, report.result)
        self.requests.pop(attempt.id, None)
        return api.RunEnded(attempt.id, report.outcome, report.took_ms)

    def _kept(self, report: at.Kept) -> None:
        """How a run ended is kept elsewhere too, or can't be in time for its caller."""
        outcome, result = report.outcome, report.result
        attempt = self.keeping.get(report.request)
        if attempt is None:
            return
        if outcome is None:
            self.counters.add("claims.end_unkept")
            self._settle(attempt, Answer(Verdict.FAILED))
            return
        del self.keeping[report.request]
        entry = self.keys.owned(attempt)
        if entry is not None:
            self._ended(entry, outcome, result)
        self._answer(attempt, outcome, result)

    def _ended(self, entry: Entry, outcome: Outcome, result: bytes) -> None:
        for follower in self.keys.end(entry, outcome, result):
            self.pending.append(at.RunOver(follower, outcome, 0.0, result))

    def _answer(self, attempt: Attempt, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.OK:
            self._settle(attempt, Answer(Verdict.SERVED, result))
        elif outcome in NEVER_RAN:
            self._settle(attempt, self._refusal())
        else:
            self._settle(attempt, Answer(Verdict.FAILED))

    # Actions.

    def _apply(self, action: api.Action) -> None:
        match action:
            case api.WakeAt(at_ms, token):
                self.wake_at(at_ms, token)
            case api.SetHealth(good, from_store):
                self.posture.good, self.posture.from_store = good, from_store
            case api.SetFreeValue(value):
                self.posture.free_value = value
            case api.CloseIdle(idle_ms):
                self.posture.idle_ms = idle_ms
            case _:
                attempt = self.requests.get(action.request)
                if attempt is not None:  # else over already: as on the simulator's wire, this harms nothing
                    self.action_handlers[type(action)](attempt, action)

    def _run(self, attempt: Attempt, _: api.Run) -> None:
        if attempt.ran or attempt.over:  # guards against a second run and a run that nobody wants
            return
        attempt.ran = attempt.running = True
        self.counters.add("run")
        if self.ranks is not None:
            self.ranks.began(attempt.id)
        if not self._workers(attempt).spawn(attempt):
            self.counters.add("dropped.spawn")
            self.pending.append(at.RunOver(attempt.id, Outcome.REJECTED))

    def _refuse(self, attempt: Attempt, action: api.Refuse) -> None:
        stay_away_ms = action.stay_away_ms
        if self.ranks is not None and self.posture.wait_ms and not self.posture.leaving:
            stay_away_ms = self.ranks.come_back_ms(attempt, stay_away_ms, self.posture.wait_ms)
        self._settle(attempt, Answer(Verdict.REFUSED, b"", stay_away_ms, action.not_elsewhere))
        self.closing.append(attempt)

    def _fail(self, attempt: Attempt, _: api.Fail) -> None:
        self._settle(attempt, Answer(Verdict.FAILED))
        if attempt.calling:
            attempt.calling = False
            self.below.give_up(attempt.id)
        self.closing.append(attempt)

    def _call(self, attempt: Attempt, action: api.Call) -> None:
        attempt.calling = True
        attempt.calls += 1
        self.counters.add("called")
        once = attempt.kind is not None and attempt.kind.effect is not Effect.SAFE
        if not self.below.ask(attempt.id, action.limit_ms, attempt.payload, once):
            self.counters.add("dropped.call")
            self.pending.append(at.CallOver(attempt.id, Outcome.REJECTED))

    def _skip_call(self, attempt: Attempt, _: api.SkipCall) -> None:
        self.counters.add("skipped")
        attempt.poorer = True
        if not self._workers(attempt).go_on(attempt.id, attempt.call_no):
            self.counters.add("dropped.pass")

    def _keep(self, attempt: Attempt, action: api.Keep) -> None:
        if attempt.unique is None:  # reads are kept only where answers may be shared
            return
        self.keys.keep(attempt, self.now_ms() + action.for_ms)
        if self.claims is not None:
            self.claims.kept(attempt)

    def _forget(self, attempt: Attempt, _: api.Forget) -> None:
        self._free(attempt)

    def _stop(self, attempt: Attempt, _: api.Stop) -> None:
        self.counters.add("dropped.stop")  # the worker pool has no such command

    def _follow(self, attempt: Attempt, _: api.AnswerFromOriginal) -> None:
        """Answer with the end of the try that it repeats, now or once that has ended."""
        entry = self.keys.find(attempt)
        self.counters.add("repeats")
        attempt.kept = True
        if self.ranks is not None:
            self.ranks.left(attempt.id)
        if entry is None:
            self.pending.append(at.RunOver(attempt.id, Outcome.ERROR))
        elif entry.outcome is not None:
            self.pending.append(at.RunOver(attempt.id, entry.outcome, 0.0, entry.result))
        else:
            entry.followers.append(attempt.id)

    def _free(self, attempt: Attempt) -> None:
        """It never ran, so its key is free; those that waited for it never ran either."""
        if not attempt.ran and self.keys.owned(attempt) is not None:
            for follower in self.keys.forget(attempt):
                self.pending.append(at.RunOver(follower, Outcome.REJECTED))
            if self.claims is not None:
                self.claims.freed(attempt)

    def _settle(self, attempt: Attempt, answer: Answer) -> None:
        if attempt.settle(answer, self.now_ms()) and attempt.answer is not None:
            self.counters.add(f"answered.{attempt.answer.verdict.value}")

    def _may_have_run(self, attempt: Attempt) -> bool:
        return self.elsewhere and (attempt.again or not self.catalogue.settings.marks_repeats)

    def _refusal(self) -> Answer:
        return Answer(Verdict.REFUSED, wait_ms=self.posture.wait_ms)

    def _workers(self, attempt: Attempt) -> Workers:
        return self.workers[attempt.workers]

    def _purge(self) -> None:
        now = self.now_ms()
        if now < self.purged_ms + self.limits.purge_ms:
            return
        self.purged_ms = now
        # A run whose end was lost with its link would hold its place for ever.
        for attempt in list(self.requests.values()):
            if attempt.running and attempt.over and now > attempt.over_ms + self.limits.lost_run_ms:
                self.counters.add("lost_runs")
                self.pending.append(at.RunOver(attempt.id, Outcome.STOPPED))
        self.keys.purge(now, itertools.chain(self.requests, self.keeping))
        if self.catalogue.purge(now):
            self.pending.append(at.Changed())

    @property
    def open(self) -> int:
        """Requests read and not over."""
        return (
            sum(not attempt.over for attempt in (*self.requests.values(), *self.keeping.values()))
            + len(self.awaiting)
            + len(self.mailbox)
        )
