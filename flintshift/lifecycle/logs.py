"""Structured logging: one event per line on standard error, as JSON or as text.

Imported only if the log is on.
"""

from __future__ import annotations

import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO, cast

import structlog

from flintshift.core.ports import Log
from flintshift.settings.options import LogOptions
from flintshift.wire.standard_error import StandardError

LEVELS = ("debug", "info", "warning", "error")
MAX_KNOWN_EVENTS = 1000  # kinds of events whose repeats are counted


class RepeatFilter:
    """A structlog processor that passes an event at most once in ``interval_ms``, with the number of those dropped.

    Events are the same if their name and their ``request`` and ``name`` fields are. So events of different requests are
    no repeats of each other."""

    def __init__(self, interval_ms: float, now_ms: Callable[[], float]) -> None:
        self.interval_ms, self.now_ms = interval_ms, now_ms
        # For each event: when it was last written, and how many were dropped since.
        self.last_written: dict[tuple[str, ...], tuple[float, int]] = {}

    def __call__(self, logger: object, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        if not self.interval_ms:
            return event
        key = (str(event["event"]), str(event.get("request", "")), str(event.get("name", "")))
        now, (written_ms, dropped) = self.now_ms(), self.last_written.pop(key, (-self.interval_ms, 0))
        if now - written_ms < self.interval_ms:
            self.last_written[key] = written_ms, dropped + 1
            raise structlog.DropEvent
        if len(self.last_written) >= MAX_KNOWN_EVENTS:  # removes the one that occurred longest ago
            del self.last_written[next(iter(self.last_written))]
        self.last_written[key] = now, 0
        if dropped:
            event["left_out"] = dropped
        return event


def open_log(options: LogOptions, node: str, sink: Any = None) -> tuple[Log, bool]:
    """Return the log, and whether it takes events of single requests."""
    renderer = (
        structlog.processors.JSONRenderer()
        if options.format == "json"
        else structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "node", "event"])
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sink or cast(TextIO, StandardError())),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            RepeatFilter(options.repeat_interval_ms, lambda: time.monotonic() * 1000),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(options.level),
        node=node,
    )

    lost_lines = 0  # that could not be written

    def log(level: str, event: str, **fields: Any) -> None:
        nonlocal lost_lines
        try:
            getattr(logger, level)(event, **({**fields, "lines_lost": lost_lines} if lost_lines else fields))
            lost_lines = 0
        except (OSError, ValueError):  # a log on a full disk or a closed pipe must not end the node
            lost_lines += 1

    return log, options.level == "debug"
