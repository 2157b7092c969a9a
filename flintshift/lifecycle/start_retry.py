"""Tries again, within the time that a start has, what fails for a reason that may pass."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from flintshift.core.limits import Limits
from flintshift.lifecycle import signals
from flintshift.wire.failures import is_transient
from flintshift.wire.standard_error import write_line

Result = TypeVar("Result")

WAIT_S = Limits().start_retry_delay_ms / 1000  # between two tries


class ToldToLeaveError(Exception):
    """The notice to leave came while a step of the start was tried again."""


class StartRetry:
    """One for all steps of a start: its time counts from the start of the process, not of the step. Seconds are of the
    monotonic clock."""

    def __init__(
        self,
        most_s: float = Limits().ready_timeout_ms / 1000,
        monotonic_s: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        told_to_leave: Callable[[], bool] = signals.told_to_leave,
        warn: Callable[[str], None] = write_line,
    ) -> None:
        self.monotonic_s, self.sleep, self.told_to_leave, self.warn = monotonic_s, sleep, told_to_leave, warn
        self.latest_s = monotonic_s() + most_s
        self.told: set[str] = set()  # causes; each is told once
        self.tries = 0  # that failed, of all steps

    def again(self, error: OSError) -> bool:
        """Whether what failed so is to be tried again after ``WAIT_S``; a cause that is new is told."""
        self.tries += 1
        left_s = self.latest_s - self.monotonic_s()
        if not is_transient(error) or left_s <= 0:
            return False
        cause = str(error)
        if cause not in self.told:
            self.told.add(cause)
            self.warn(f"flintshift: not started yet: {cause}; it is tried again, for {left_s:.0f} s")
        return True

    def run_with_retries(self, step: Callable[[], Result]) -> Result:
        """Do a step before the event loop runs, and again while it fails for a reason that may pass.

        Raises:
            OSError: as the step does, where that lasts or there is no time left.
            ToldToLeaveError: a notice to leave is held.
        """
        while True:
            try:
                return step()
            except OSError as error:
                if not self.again(error):
                    raise
            self.pause(WAIT_S)

    def pause(self, seconds: float) -> None:
        """Wait before the next try.

        Raises:
            ToldToLeaveError: a notice to leave is held.
        """
        if self.told_to_leave():
            raise ToldToLeaveError
        self.sleep(seconds)
