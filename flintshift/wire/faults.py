"""Errors that no list foresees, met on one link, report or request: counted and told, so that the others go on."""

from __future__ import annotations

import traceback

from flintshift.core.counters import Counters
from flintshift.wire import standard_error


def report(counters: Counters, part: str, error: Exception) -> None:
    """Count ``<part>.faults``, and say where it was met."""
    counters.add(f"{part}.faults")
    standard_error.write_line("".join(traceback.format_exception(error)))
