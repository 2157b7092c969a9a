"""Retries steps of a start that fail for a transient reason, within the time that a start has."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from flintshift.core.limits import Limits
from flintshift.lifecycle import signals
from flintshift.wire.failures import is_transient
from flintshift.wire.standard_error import write_line

Result = TypeVar("Result")

RETRY_DELAY_S = Limits().start_retry_delay_ms / 1000


class ShutdownRequestedError(Exception):
    """A shutdown notice arrived while a step of the start was retried."""


class StartRetry:
    """Decides which failures of a start are retried; one object serves all steps of the start.

    Its time counts from the start of the process, not of the step. Seconds are of the monotonic clock."""

    def __init__(
        self,
        max_s: float = Limits().ready_timeout_ms / 1000,
        monotonic_s: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        shutdown_pending: Callable[[], bool] = signals.shutdown_pending,
        warn: Callable[[str], None] = write_line,
    ) -> None:
        self.monotonic_s, self.sleep, self.shutdown_pending, self.warn = monotonic_s, sleep, shutdown_pending, warn
        self.deadline_s = monotonic_s() + max_s
        self.reported_causes: set[str] = set()  # each cause is reported once
        self.failed_tries = 0  # of all steps

    def should_retry(self, error: OSError) -> bool:
        """Return whether a step that failed with this error is to be retried after ``RETRY_DELAY_S``.

        A new cause is reported."""
        self.failed_tries += 1
        remaining_s = self.deadline_s - self.monotonic_s()
        if not is_transient(error) or remaining_s <= 0:
            return False
        cause = str(error)
        if cause not in self.reported_causes:
            self.reported_causes.add(cause)
            self.warn(f"flintshift: not started yet: {cause}; it is tried again, for {remaining_s:.0f} s")
        return True

    def run_with_retries(self, step: Callable[[], Result]) -> Result:
        """Run a step before the event loop runs, and again while it fails for a transient reason.

        Raises:
            OSError: the step's failure, if it is permanent or no time remains.
            ShutdownRequestedError: a shutdown notice is pending.
        """
        while True:
            try:
                return step()
            except OSError as error:
                if not self.should_retry(error):
                    raise
            self.pause(RETRY_DELAY_S)

    def pause(self, seconds: float) -> None:
        """Wait before the next try.

        Raises:
            ShutdownRequestedError: a shutdown notice is pending.
        """
        if self.shutdown_pending():
            raise ShutdownRequestedError
        self.sleep(seconds)
