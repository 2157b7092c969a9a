"""The key table of one node in two processes, without I/O: what each word changes in it and what is said in return.

Both tables hold every run that began, before it began: a run's claim is agreed first, and what began before the
successor took clients is told to it in order. So whichever process is left knows what must not run again.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from flintshift.core.attempts import Attempt
from flintshift.core.keys import KeyEntry, KeyTable, fingerprint
from flintshift.core.limits import Limits
from flintshift.handover.claims import AbandonAttempt, Adopt, Agreement, ResumeAttempt, SendToPeer
from flintshift.handover.messages import Answered, Claimed, Freed, Key, Known, Message, Over
from flintshift.interface import Outcome


@dataclass(frozen=True, slots=True)
class FollowerEnded:
    """An attempt that waited for another's run: how that ended."""

    request: str
    outcome: Outcome
    result: bytes = b""


Step = SendToPeer | ResumeAttempt | AbandonAttempt | FollowerEnded


class SharedKeys:
    def __init__(self, keys: KeyTable, limits: Limits) -> None:
        self.keys, self.limits = keys, limits
        self.agreement = Agreement(limits.max_open_claims)
        self.in_doubt_until_ms = self.lost_ms = 0.0
        self.marked = True  # callers mark further tries

    def in_doubt(self, now_ms: float, attempt: Attempt) -> bool:
        """It may have run in a process that died before it had told all: nobody can be asked. What came after the
        death, and is not marked as a further try, can't have."""
        if now_ms >= self.in_doubt_until_ms:
            return False
        return (
            attempt.marked_repeat or not self.marked or attempt.arrival_ms <= self.lost_ms + self.limits.key_margin_ms
        )

    # What happens here.

    def request_claim(self, now_ms: float, attempt: Attempt) -> list[Step]:
        kind, limits = attempt.request_class, self.limits
        window = kind.repeat_window_ms if kind is not None else 0.0
        claim = Claimed(
            key_of(attempt),
            attempt.id,
            attempt.arrival_ms,
            now_ms + limits.claim_timeout_ms + window + limits.key_margin_ms,
            fingerprint(attempt),
        )
        # Its answer has a due time too: it is given up a few ticks before.
        until = min(now_ms + limits.claim_timeout_ms, attempt.deadline_at_ms - limits.claim_reserve_ms)
        return self._done(self.agreement.ask(claim, until))

    def report_entry(self, attempt: Attempt) -> list[Step]:
        """This process began a run that it needed not claim."""
        entry = self.keys.owned_entry(attempt)
        return [] if entry is None else [SendToPeer(known(key_of(attempt), entry))]

    def report_end(self, attempt: Attempt) -> list[Step]:
        entry = self.keys.owned_entry(attempt)
        if entry is None or entry.outcome is None:
            return []
        return [SendToPeer(Over(key_of(attempt), attempt.id, entry.live_until_ms, entry.outcome, entry.result))]

    def expire(self, now_ms: float) -> list[Step]:
        return self._done(self.agreement.expire(now_ms))

    def owned_entries(self) -> Iterator[Known]:
        """All that this process holds, in pieces; what changes meanwhile is told beside it."""
        for key in list(self.keys.entries):
            entry = self.keys.entries.get(key)
            if entry is not None and not entry.foreign:
                yield known(key, entry)

    # What the other says.

    def on_message(self, now_ms: float, word: Message, senior: bool) -> list[Step]:
        match word:
            case Claimed(key):
                entry = self.keys.entries.get(key)
                held = entry is not None and not entry.foreign and word.arrival_ms <= entry.live_until_ms
                return self._done(self.agreement.claimed(word, senior, known(key, entry) if held and entry else None))
            case Answered():
                return self._done(self.agreement.answered(word))
            case Known():
                return self._adopt(now_ms, word)
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

    def on_peer_exit(self, now_ms: float, partial: bool, window_ms: float, marked: bool) -> list[Step]:
        """The other has ended. ``partial``: it had not told all, so for a window keys may be unknown here."""
        if partial:
            self.in_doubt_until_ms = now_ms + window_ms + self.limits.max_repeat_delay_ms
            self.lost_ms, self.marked = now_ms, marked
        lost: list[Step] = [FollowerEnded(follower, Outcome.ERROR) for follower in self.keys.fail_foreign_runs()]
        return lost + self._done(self.agreement.alone())

    def _done(self, steps: list[SendToPeer | ResumeAttempt | AbandonAttempt | Adopt]) -> list[Step]:
        """Adopt what is to be adopted; the rest is the driver's to do, in the same order."""
        done: list[Step] = []
        for step in steps:
            done += self._adopt(math.inf, step.entry) if isinstance(step, Adopt) else [step]
        return done

    def _adopt(self, now_ms: float, word: Known) -> list[Step]:
        entry = KeyEntry(word.owner, word.live_until_ms, word.fingerprint, word.outcome, word.result, foreign=True)
        return [FollowerEnded(follower, Outcome.ERROR) for follower in self.keys.adopt(word.key, entry, now_ms)]


def key_of(attempt: Attempt) -> Key:
    return attempt.class_name, attempt.request_key or ""


def known(key: Key, entry: KeyEntry) -> Known:
    return Known(key, entry.owner, entry.live_until_ms, entry.digest, entry.outcome, entry.result)
