"""Structured logging: one event a line on standard error, as JSON or as text. Imported only where it is on."""

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
    """Lets an event through at most once in ``every_ms``; the next one tells how many were left out. Requests are
    no repeats of each other: what tells events apart is their name with the fields that are words."""

    def __init__(self, every_ms: float, now_ms: Callable[[], float]) -> None:
        self.every_ms, self.now_ms = every_ms, now_ms
        self.last_written: dict[tuple[str, ...], tuple[float, int]] = {}  # when it was last written, and how many since

    def __call__(self, logger: object, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        if not self.every_ms:
            return event
        key = (str(event["event"]), str(event.get("request", "")), str(event.get("name", "")))
        now, (last, left_out) = self.now_ms(), self.last_written.pop(key, (-self.every_ms, 0))
        if now - last < self.every_ms:
            self.last_written[key] = last, left_out + 1
            raise structlog.DropEvent
        if len(self.last_written) >= MAX_KNOWN_EVENTS:  # the one that was met longest ago goes
            del self.last_written[next(iter(self.last_written))]
        self.last_written[key] = now, 0
        if left_out:
            event["left_out"] = left_out
        return event


def open_log(options: LogOptions, node: str, sink: Any = None) -> tuple[Log, bool]:
    """The log, and whether it takes events of single requests."""
    show = (
        structlog.processors.JSONRenderer()
        if options.format == "json"
        else structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "node", "event"])
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sink or cast(TextIO, StandardError())),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            RepeatFilter(options.repeats_ms, lambda: time.monotonic() * 1000),
            show,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(options.level),
        node=node,
    )

    lost = 0  # lines that could not be written

    def log(level: str, event: str, **fields: Any) -> None:
        nonlocal lost
        try:
            getattr(logger, level)(event, **({**fields, "lines_lost": lost} if lost else fields))
            lost = 0
        except (OSError, ValueError):  # a log on a full disk or a closed pipe must not end the node
            lost += 1

    return log, options.level == "debug"
