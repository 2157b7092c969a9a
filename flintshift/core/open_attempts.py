"""The table of open attempts, and the only way in which each of them gets its answer."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from flintshift.core.attempts import NEVER_RAN, Answer, Attempt, Verdict
from flintshift.core.counters import Counters
from flintshift.core.ports import FairRanking, ServingStatus
from flintshift.interface import Outcome


class OpenAttempts:
    """Open attempts by id. An attempt stays here after its answer while its run goes on, as that run's end is still
    reported."""

    def __init__(self, counters: Counters, now_ms: Callable[[], float], serving_status: ServingStatus) -> None:
        self.counters, self.now_ms, self.serving_status = counters, now_ms, serving_status
        self.ranking: FairRanking | None = None
        self.by_id: dict[str, Attempt] = {}
        self.closing: list[Attempt] = []  # may be done; checked by the next sweep

    def __contains__(self, request: str) -> bool:
        return request in self.by_id

    def __iter__(self) -> Iterator[Attempt]:
        return iter(self.by_id.values())

    @property
    def unanswered(self) -> int:
        """The number of attempts whose answer is pending."""
        return sum(not attempt.settled for attempt in self.by_id.values())

    def get(self, request: str) -> Attempt | None:
        """The open attempt with this id, if there is one."""
        return self.by_id.get(request)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that is handed to the controller."""
        self.by_id[attempt.id] = attempt
        if self.ranking is not None:
            self.ranking.on_arrival(attempt)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt at once."""
        self.by_id.pop(attempt.id, None)

    def close(self, attempt: Attempt) -> None:
        """Remove the attempt in the next `sweep`, unless its run goes on."""
        self.closing.append(attempt)

    def sweep(self) -> None:
        """Remove closed attempts, after all decisions on them have been applied."""
        for attempt in self.closing:
            if attempt.settled and not attempt.running:
                self.remove(attempt)
                if self.ranking is not None:
                    self.ranking.on_withdrawal(attempt.id)
        self.closing.clear()

    # Answers.

    def settle(self, attempt: Attempt, answer: Answer) -> None:
        """Give an attempt its final answer, unless it has one or its caller disconnected."""
        if attempt.settle(answer, self.now_ms()) and attempt.answer is not None:
            self.counters.add(f"answered.{attempt.answer.verdict.value}")

    def settle_with_outcome(self, attempt: Attempt, outcome: Outcome, result: bytes) -> None:
        """Answer by the outcome of a run: the attempt's own, or that of the try which it repeats."""
        if outcome is Outcome.OK:
            self.settle(attempt, Answer(Verdict.SERVED, result))
        elif outcome in NEVER_RAN:
            self.settle(attempt, self.refusal())
        else:
            self.settle(attempt, Answer(Verdict.FAILED))

    def refusal(self) -> Answer:
        """A refusal without a decision of the controller, with the retry time that the settings give."""
        return Answer(Verdict.REFUSED, retry_after_ms=self.serving_status.default_retry_after_ms)

    def mark_disconnected(self, attempt: Attempt) -> None:
        """Record that the caller disconnected: no answer is pending any more."""
        attempt.caller_disconnected, attempt.settled_ms = True, self.now_ms()
        self.counters.add("departed")
