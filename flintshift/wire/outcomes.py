"""The statuses with which peers end runs and calls, and the outcome that each stands for."""

from __future__ import annotations

from flintshift.interface import Outcome

OUTCOMES: dict[tuple[str, str], Outcome] = {
    ("run", "fine"): Outcome.OK,
    ("run", "fault"): Outcome.ERROR,
    ("run", "broken_off"): Outcome.STOPPED,
    ("run", "late"): Outcome.MOOT,
    ("run", "unknown"): Outcome.REJECTED,  # the command was not carried out
    ("call", "yes"): Outcome.OK,
    ("call", "notnow"): Outcome.REJECTED,
    ("call", "failed"): Outcome.ERROR,
    ("call", "overdue"): Outcome.TIMED_OUT,
    ("call", "pointless"): Outcome.MOOT,  # no run waits for it: the end of the run follows
    ("link", "refused"): Outcome.UNREACHABLE,  # proves that nothing ran
    ("link", "broken"): Outcome.INTERRUPTED,  # it may have run or not
    ("link", "silent"): Outcome.TIMED_OUT,
}
