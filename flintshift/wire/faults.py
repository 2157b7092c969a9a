"""Records unforeseen exceptions. Each is caught on the link, report or request where it was raised, so that all others
go on."""

from __future__ import annotations

import traceback

from flintshift.core.counters import Counters
from flintshift.wire import standard_error


def record(counters: Counters, part: str, error: Exception) -> None:
    """Count ``<part>.faults`` and write the traceback to standard error."""
    counters.add(f"{part}.faults")
    standard_error.write_line("".join(traceback.format_exception(error)))
