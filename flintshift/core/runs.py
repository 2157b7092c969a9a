"""Runs of attempts: the reports of the worker pool and the vault about them, and the controller's actions on them.

An attempt runs at most once. The outcome of a keyed attempt's run is stored in the key table before it is reported to
anyone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from flintshift import interface as api
from flintshift.core import attempts as at
from flintshift.core.attempts import NEVER_RAN, Answer, Attempt, Verdict
from flintshift.core.counters import Counters
from flintshift.core.keys import KeyEntry, KeyTable
from flintshift.core.open_attempts import OpenAttempts
from flintshift.core.ports import ServingStatus, UsageRecorder, VaultCalls, Workers
from flintshift.core.waiting_claims import WaitingClaims
from flintshift.interface import Effect, Outcome


class Runs:
    """Applies reports and actions to open attempts.

    Reports that result from an action go to ``pending``, where they are handled after it."""

    def __init__(
        self,
        attempts: OpenAttempts,
        keys: KeyTable,
        waiting_claims: WaitingClaims,
        pending: deque[at.Report],
        serving_status: ServingStatus,
        counters: Counters,
        now_ms: Callable[[], float],
    ) -> None:
        self.attempts, self.keys, self.waiting_claims = attempts, keys, waiting_claims
        self.pending, self.serving_status, self.counters, self.now_ms = pending, serving_status, counters, now_ms
        self.workers: Mapping[str, Workers] = {}
        self.vault_calls: VaultCalls
        self.usage_recorder: UsageRecorder | None = None
        self.handlers: dict[type, Callable[[Attempt, Any], api.Event | None]] = {
            at.CallRequested: self._on_call_requested,
            at.ReplyInDoubt: self._on_reply_in_doubt,
            at.CallFinished: self._on_call_finished,
            at.RunFinished: self._on_run_finished,
        }
        self.action_handlers: dict[type, Callable[[Attempt, Any], None]] = {
            api.Run: self._run,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.Call: self._call,
            api.SkipCall: self._skip_call,
            api.RememberKey: self._remember_key,
            api.ReleaseKey: self._release_key,
            api.AnswerFromOriginal: self._follow,
            api.Stop: self._stop,
        }

    def event_for(self, report: at.RunReport) -> api.Event | None:
        """Update the state by a report; returns the controller's event, if the report concerns the controller."""
        attempt = self.attempts.get(report.request)
        if attempt is None:  # the attempt is closed: late reports about it are ignored
            return None
        return self.handlers[type(report)](attempt, report)

    def apply(self, action: api.RequestAction) -> None:
        """Carry out what the controller has decided about an attempt."""
        attempt = self.attempts.get(action.request)
        if attempt is not None:  # else it is closed and the action is ignored, as in the simulator
            self.action_handlers[type(action)](attempt, action)

    def _workers(self, attempt: Attempt) -> Workers:
        return self.workers[attempt.workers]

    # Reports.

    @staticmethod
    def _on_call_requested(attempt: Attempt, report: at.CallRequested) -> api.Event:
        attempt.call_notice, attempt.call_payload = report.notice, report.call_payload
        return api.CallNeeded(attempt.id)

    def _on_reply_in_doubt(self, attempt: Attempt, report: at.ReplyInDoubt) -> None:
        """Have the run go on without the reply if the call may be skipped, as it would wait for a lost reply for ever.
        Otherwise nothing is done: a reply sent again might be taken for the reply to the run's next call."""
        self.counters.add("replies_unsure")
        skippable = attempt.request_class is not None and attempt.request_class.skip_worth
        if skippable and attempt.call_notice == report.notice and not attempt.settled:
            self._workers(attempt).continue_run(attempt.id, report.notice)
            attempt.call_skipped = True

    def _on_call_finished(self, attempt: Attempt, report: at.CallFinished) -> api.Event | None:
        if not attempt.call_pending:  # the call was cancelled meanwhile
            return None
        attempt.call_pending = False
        if report.outcome is Outcome.OK and not self._workers(attempt).supply(
            attempt.id, attempt.call_notice, report.reply
        ):
            self.counters.add("dropped.supply")
        return api.CallEnded(attempt.id, report.outcome, report.took_ms)

    def _on_run_finished(self, attempt: Attempt, report: at.RunFinished) -> api.Event:
        attempt.running = False
        attempt.run_ms += report.took_ms
        if self.attempts.ranking is not None:
            self.attempts.ranking.on_end(attempt.id, report.took_ms)
        if attempt.settled and self.usage_recorder is not None:
            self.usage_recorder.record_late_run(attempt, report.took_ms)
        if attempt.call_pending:
            attempt.call_pending = False
            self.vault_calls.cancel_call(attempt.id)
        entry = self.keys.owned_entry(attempt)
        if report.outcome in NEVER_RAN:
            attempt.ran = False
            self._free_key(attempt)
        elif entry is not None and attempt.ran:
            if self.waiting_claims.record_outcome(attempt, report.outcome, report.result):
                self.attempts.remove(attempt)
                return api.RunEnded(attempt.id, report.outcome, report.took_ms)
            self._finish_followers(entry, report.outcome, report.result)
            self.waiting_claims.on_run_ended(attempt)
        self.attempts.settle_with_outcome(attempt, report.outcome, report.result)
        self.attempts.remove(attempt)
        return api.RunEnded(attempt.id, report.outcome, report.took_ms)

    def on_outcome_recorded(self, report: at.OutcomeRecorded) -> None:
        """Answer an attempt whose outcome is recorded elsewhere too, or can't be in time for its caller."""
        outcome, result = report.outcome, report.result
        attempt = self.waiting_claims.on_outcome_recorded(report.request, outcome)
        if attempt is None:
            return
        if outcome is None:
            self.counters.add("claims.end_unkept")
            self.attempts.settle(attempt, Answer(Verdict.FAILED))
            return
        entry = self.keys.owned_entry(attempt)
        if entry is not None:
            self._finish_followers(entry, outcome, result)
        self.attempts.settle_with_outcome(attempt, outcome, result)

    def _finish_followers(self, entry: KeyEntry, outcome: Outcome, result: bytes) -> None:
        """Store the outcome of a key's run, and report it to the attempts that waited for it."""
        for follower in self.keys.record_outcome(entry, outcome, result):
            self.pending.append(at.RunFinished(follower, outcome, 0.0, result))

    # Actions.

    def _run(self, attempt: Attempt, _: api.Run) -> None:
        if attempt.ran or attempt.settled:  # guards against a second run and a run that no caller waits for
            return
        attempt.ran = attempt.running = True
        self.counters.add("run")
        if self.attempts.ranking is not None:
            self.attempts.ranking.on_start(attempt.id)
        if not self._workers(attempt).spawn(attempt):
            self.counters.add("dropped.spawn")
            self.pending.append(at.RunFinished(attempt.id, Outcome.REJECTED))

    def _refuse(self, attempt: Attempt, action: api.Reject) -> None:
        retry_after_ms = action.retry_after_ms
        if (
            self.attempts.ranking is not None
            and self.serving_status.default_retry_after_ms
            and not self.serving_status.draining
        ):
            retry_after_ms = self.attempts.ranking.retry_after_ms(
                attempt, retry_after_ms, self.serving_status.default_retry_after_ms
            )
        self.attempts.settle(attempt, Answer(Verdict.REFUSED, b"", retry_after_ms, action.no_retry_elsewhere))
        self.attempts.close(attempt)

    def _fail(self, attempt: Attempt, _: api.Fail) -> None:
        self.attempts.settle(attempt, Answer(Verdict.FAILED))
        if attempt.call_pending:
            attempt.call_pending = False
            self.vault_calls.cancel_call(attempt.id)
        self.attempts.close(attempt)

    def _call(self, attempt: Attempt, action: api.Call) -> None:
        attempt.call_pending = True
        attempt.call_count += 1
        self.counters.add("called")
        once = attempt.request_class is not None and attempt.request_class.effect is not Effect.SAFE
        if not self.vault_calls.start_call(attempt.id, action.limit_ms, attempt.call_payload, once):
            self.counters.add("dropped.call")
            self.pending.append(at.CallFinished(attempt.id, Outcome.REJECTED))

    def _skip_call(self, attempt: Attempt, _: api.SkipCall) -> None:
        self.counters.add("skipped")
        attempt.call_skipped = True
        if not self._workers(attempt).continue_run(attempt.id, attempt.call_notice):
            self.counters.add("dropped.pass")

    def _remember_key(self, attempt: Attempt, action: api.RememberKey) -> None:
        if attempt.request_key is None:  # reads are stored only if answers may be shared
            return
        self.keys.claim(attempt, self.now_ms() + action.retention_ms)
        self.waiting_claims.on_key_claimed(attempt)

    def _release_key(self, attempt: Attempt, _: api.ReleaseKey) -> None:
        self._free_key(attempt)

    def _stop(self, attempt: Attempt, _: api.Stop) -> None:
        self.counters.add("dropped.stop")  # the worker pool has no command to stop a run

    def _follow(self, attempt: Attempt, _: api.AnswerFromOriginal) -> None:
        """Answer with the outcome of the try that it repeats, now or once that try's run has ended."""
        entry = self.keys.find(attempt)
        self.counters.add("repeats")
        attempt.reuses_result = True
        if self.attempts.ranking is not None:
            self.attempts.ranking.on_withdrawal(attempt.id)
        if entry is None:
            self.pending.append(at.RunFinished(attempt.id, Outcome.ERROR))
        elif entry.outcome is not None:
            self.pending.append(at.RunFinished(attempt.id, entry.outcome, 0.0, entry.result))
        else:
            entry.followers.append(attempt.id)

    def _free_key(self, attempt: Attempt) -> None:
        """Free the key of an attempt that never ran; the attempts that waited for it never ran either."""
        if not attempt.ran and self.keys.owned_entry(attempt) is not None:
            for follower in self.keys.release(attempt):
                self.pending.append(at.RunFinished(follower, Outcome.REJECTED))
            self.waiting_claims.on_key_freed(attempt)
