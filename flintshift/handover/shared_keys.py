"""The key table of one node in two processes, without I/O: what each message changes in it, and the replies.

Both tables have the entry of every run before it begins: a run's claim is agreed first, and the entries from before
the successor accepted clients are sent to it in order. So whichever process remains knows what must not run again.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from flintshift.core.attempts import Attempt
from flintshift.core.keys import KeyEntry, KeyTable, fingerprint
from flintshift.core.limits import Limits
from flintshift.handover.claims import AbandonAttempt, AdoptEntry, Agreement, ResumeAttempt, SendToPeer
from flintshift.handover.messages import Answered, Claimed, Freed, Key, Known, Message, Over
from flintshift.interface import Outcome


@dataclass(frozen=True, slots=True)
class FollowerEnded:
    """An attempt waited for the run of another one, which has ended with this outcome."""

    request: str
    outcome: Outcome
    result: bytes = b""


Step = SendToPeer | ResumeAttempt | AbandonAttempt | FollowerEnded


class SharedKeys:
    """Keeps the key tables of the two processes consistent. Each method returns the steps to take, in order."""

    def __init__(self, keys: KeyTable, limits: Limits) -> None:
        self.keys, self.limits = keys, limits
        self.agreement = Agreement(limits.max_open_claims)
        self.in_doubt_until_ms = self.peer_lost_ms = 0.0
        self.callers_mark_repeats = True  # whether callers mark further tries

    def in_doubt(self, now_ms: float, attempt: Attempt) -> bool:
        """Whether an attempt may have run in a process that crashed before it had sent all its entries. An attempt that
        arrived after the crash, and is not marked as a further try, can't have run there."""
        if now_ms >= self.in_doubt_until_ms:
            return False
        return (
            attempt.marked_repeat
            or not self.callers_mark_repeats
            or attempt.arrival_ms <= self.peer_lost_ms + self.limits.key_margin_ms
        )

    # Events in this process.

    def request_claim(self, now_ms: float, attempt: Attempt) -> list[Step]:
        """Ask the other process whether an attempt may run under its key."""
        request_class, limits = attempt.request_class, self.limits
        window = request_class.repeat_window_ms if request_class is not None else 0.0
        claim = Claimed(
            key_of(attempt),
            attempt.id,
            attempt.arrival_ms,
            now_ms + limits.claim_timeout_ms + window + limits.key_margin_ms,
            fingerprint(attempt),
        )
        # The attempt has a deadline too: its claim is abandoned a few ticks before.
        deadline_ms = min(now_ms + limits.claim_timeout_ms, attempt.deadline_at_ms - limits.claim_reserve_ms)
        return self._apply_adoptions(self.agreement.request_claim(claim, deadline_ms))

    def report_entry(self, attempt: Attempt) -> list[Step]:
        """Send the entry of a run that began without a claim."""
        entry = self.keys.owned_entry(attempt)
        return [] if entry is None else [SendToPeer(known_entry(key_of(attempt), entry))]

    def report_end(self, attempt: Attempt) -> list[Step]:
        """Send the outcome of a run."""
        entry = self.keys.owned_entry(attempt)
        if entry is None or entry.outcome is None:
            return []
        return [SendToPeer(Over(key_of(attempt), attempt.id, entry.live_until_ms, entry.outcome, entry.result))]

    def expire(self, now_ms: float) -> list[Step]:
        """Abandon the attempts whose claims were not answered in time."""
        return self._apply_adoptions(self.agreement.expire(now_ms))

    def owned_entries(self) -> Iterator[Known]:
        """All entries that this process owns. Changes during the iteration are sent separately."""
        for key in list(self.keys.entries):
            entry = self.keys.entries.get(key)
            if entry is not None and not entry.foreign:
                yield known_entry(key, entry)

    # Events of the other process.

    def on_message(self, now_ms: float, message: Message, senior: bool) -> list[Step]:
        """Handle a message about keys."""
        match message:
            case Claimed(key):
                entry = self.keys.entries.get(key)
                owned_and_live = entry is not None and not entry.foreign and message.arrival_ms <= entry.live_until_ms
                return self._apply_adoptions(
                    self.agreement.on_claim(
                        message, senior, known_entry(key, entry) if owned_and_live and entry else None
                    )
                )
            case Answered():
                return self._apply_adoptions(self.agreement.on_answer(message))
            case Known():
                return self._adopt(now_ms, message)
            case Over(key, owner, live_until_ms, outcome, result):
                entry = self.keys.foreign_entry(key, owner)
                if entry is None:
                    return []
                entry.live_until_ms = max(entry.live_until_ms, live_until_ms)
                return [
                    FollowerEnded(follower, outcome, result)
                    for follower in self.keys.record_outcome(entry, outcome, result)
                ]
            case Freed(key, owner):
                return [FollowerEnded(follower, Outcome.REJECTED) for follower in self.keys.release_foreign(key, owner)]
        return []

    def on_peer_exit(self, now_ms: float, partial: bool, window_ms: float, callers_mark_repeats: bool) -> list[Step]:
        """The other process has ended. ``partial``: it had not sent all entries, so keys are in doubt for a window."""
        if partial:
            self.in_doubt_until_ms = now_ms + window_ms + self.limits.max_repeat_delay_ms
            self.peer_lost_ms, self.callers_mark_repeats = now_ms, callers_mark_repeats
        steps: list[Step] = [FollowerEnded(follower, Outcome.ERROR) for follower in self.keys.fail_foreign_runs()]
        return steps + self._apply_adoptions(self.agreement.on_peer_exit())

    def _apply_adoptions(self, steps: list[SendToPeer | ResumeAttempt | AbandonAttempt | AdoptEntry]) -> list[Step]:
        """Adopt entries where a step says so, and return the other steps in the same order."""
        remaining_steps: list[Step] = []
        for step in steps:
            remaining_steps += self._adopt(math.inf, step.entry) if isinstance(step, AdoptEntry) else [step]
        return remaining_steps

    def _adopt(self, now_ms: float, message: Known) -> list[Step]:
        entry = KeyEntry(
            message.owner, message.live_until_ms, message.fingerprint, message.outcome, message.result, foreign=True
        )
        return [FollowerEnded(follower, Outcome.ERROR) for follower in self.keys.adopt(message.key, entry, now_ms)]


def key_of(attempt: Attempt) -> Key:
    """The key of an attempt in the key table."""
    return attempt.class_name, attempt.request_key or ""


def known_entry(key: Key, entry: KeyEntry) -> Known:
    """The message that sends an entry of the key table."""
    return Known(key, entry.owner, entry.live_until_ms, entry.digest, entry.outcome, entry.result)
