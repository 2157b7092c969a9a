"""Adapter from the simulator's wire to the controller's interface: ``python -m flintshift.benchlink``.

Reads batches of events from standard input, hands each event to the controller of its server and writes one reply
per batch. It makes no decisions. The names on the wire are in tables, so that another dialect needs only other tables.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterable
from io import TextIOWrapper
from typing import Any, TextIO

from flintshift import interface as api
from flintshift.control import Controller
from flintshift.settings.platform import (
    GAUGE_FIELDS,
    SettingsFormatError,
    absent_if_zero,
    build_object,
    parse_flag,
    parse_number,
    parse_settings,
    split_list,
)


class WireError(SettingsFormatError):
    """The input does not follow the format of the wire."""


def parse_gauges(text: str) -> api.Gauges:
    """Return the gauges of a ``name:value,...`` list; unknown ones are skipped."""
    pairs = (part.split(":", 1) for part in split_list(text))
    return api.Gauges(**{GAUGE_FIELDS[name]: parse_number(value) for name, value in pairs if name in GAUGE_FIELDS})


OUTCOMES = {
    "done": api.Outcome.OK,
    "err": api.Outcome.ERROR,
    "busy": api.Outcome.REJECTED,
    "etimedout": api.Outcome.TIMED_OUT,
    "econnrefused": api.Outcome.UNREACHABLE,
    "econnreset": api.Outcome.INTERRUPTED,
    "ecanceled": api.Outcome.STOPPED,
    "skipped": api.Outcome.MOOT,
}

# By the name of an event: its type, and for each field on the wire the field of the interface and its converter.
REQUEST_FIELD = ("request", str)
EVENTS: dict[str, tuple[type, dict[str, tuple[str, Callable[[str], Any]]]]] = {
    "QUERY": (
        api.Arrived,
        {
            "opId": REQUEST_FIELD,
            "tierClass": ("class_name", str),
            "footprint": ("held_kb", parse_number),
            "ageMs": ("age_ms", parse_number),
            "src": ("caller", int),
            "team": ("tenant", absent_if_zero(str)),
            "dupOf": ("repeat_of", absent_if_zero(str)),
            "againByClient": ("marked_repeat", parse_flag),
            "expiresInMs": ("patience_ms", absent_if_zero(parse_number)),
            "resource": ("subject", int),
        },
    ),
    "DONE": (
        api.RunEnded,
        {
            "opId": REQUEST_FIELD,
            "how": ("outcome", OUTCOMES.__getitem__),
            "timeTakenMs": ("took_ms", parse_number),
        },
    ),
    "DROPPED": (api.CallerDisconnected, {"opId": REQUEST_FIELD}),
    "NEEDS": (api.CallNeeded, {"opId": REQUEST_FIELD}),
    "CALL_RESULT": (
        api.CallEnded,
        {
            "opId": REQUEST_FIELD,
            "how": ("outcome", OUTCOMES.__getitem__),
            "timeTakenMs": ("took_ms", parse_number),
        },
    ),
    "DRAIN": (api.DrainStarted, {"expiresInMs": ("stops_in_ms", parse_number)}),
    "DUE": (api.Woken, {"nonce": ("token", str), "telemetry": ("gauges", parse_gauges)}),
}
START_EVENT, CRASH_EVENT, SERVER_KEY, SEED_KEY, FAULT_REPLY = "ENLIST", "CRASH_NOW", "serverId", "nonce64", "EXCEPTION"
BATCH_START, CLOCK_KEY, BATCH_END, REPLY_END = "FRAME", "tMs", "EOF_BATCH", "END"

# By the type of an action: its name on the wire, and for each field of the interface the field on the wire.
ACTIONS: dict[type, tuple[str, dict[str, str]]] = {
    api.Run: ("EXECUTE", {"request": "opId"}),
    api.Stop: ("PREEMPT", {"request": "opId"}),
    api.Reject: ("BUSY", {"request": "opId", "retry_after_ms": "notBeforeForMs", "no_retry_elsewhere": "giveUp"}),
    api.Fail: ("FINISH_ERROR", {"request": "opId"}),
    api.Call: ("ASK_BELOW", {"request": "opId", "limit_ms": "tryForMs"}),
    api.SkipCall: ("FALL_BACK", {"request": "opId"}),
    api.RememberKey: ("REMEMBER", {"request": "opId", "retention_ms": "forTimeMs"}),
    api.ReleaseKey: ("RELEASE_KEY", {"request": "opId"}),
    api.AnswerFromOriginal: ("ANSWER_FROM", {"request": "opId"}),
    api.SetHealth: ("SET_HEALTH", {"healthy": "want", "from_store": "stored"}),
    api.SetFreeValue: ("SIGNAL", {"value": "x"}),
    api.CloseIdle: ("CLOSE_IDLE", {"idle_for_ms": "forTimeMs"}),
    api.WakeAt: ("SET_TIMER", {"at_ms": "atMs", "token": "nonce"}),
}


def parse_pairs(parts: Iterable[str]) -> dict[str, str]:
    """Return the values of ``name=value`` parts by name."""
    pairs = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise WireError(f"not a name=value pair: {part!r}")
        pairs[name] = value
    return pairs


def format_action(server: str, action: api.Action) -> str:
    """Return the line that sends an action to a server."""
    action_name, keys = ACTIONS[type(action)]
    parts = [action_name, f"{SERVER_KEY}={server}"]
    for field_name, key in keys.items():
        value = getattr(action, field_name)
        if isinstance(value, bool):
            value = int(value)
        elif isinstance(value, float):
            value = round(value, 3)
        parts.append(f"{key}={value}")
    return "\t".join(parts)


class Fleet:
    """The controllers of this process, by server; they share nothing."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.classes: dict[str, set[str]] = {}  # names of the classes with which each server was started

    def handle_line(self, now_ms: float, line: str) -> list[str]:
        """Handle the event of a line and return the lines of its actions."""
        event_name, *parts = line.split("\t")
        pairs = parse_pairs(parts)
        server = pairs.pop(SERVER_KEY, None)
        if not server:
            raise WireError(f"{event_name} names no instance ({SERVER_KEY})")
        if event_name == CRASH_EVENT:
            self.controllers.pop(server, None)
            return []
        event: api.Event
        if event_name == START_EVENT:
            try:
                seed = int(pairs.pop(SEED_KEY))
            except (KeyError, ValueError) as error:
                raise WireError(f"{START_EVENT} has no whole number as {SEED_KEY}") from error
            settings = parse_settings(pairs)
            self.classes[server] = {kind.name for kind in settings.classes}
            event = api.Started()
        elif event_name in EVENTS:
            event = build_object(*EVENTS[event_name], pairs)
            if server not in self.controllers:
                raise WireError(f"{event_name} for an instance that was never started: {server}")
            if isinstance(event, api.Arrived) and event.class_name not in self.classes[server]:
                raise WireError(f"unknown class {event.class_name!r}")
        else:
            raise WireError(f"unknown event {event_name!r}")
        try:
            if event_name == START_EVENT:
                self.controllers[server] = Controller(settings, seed)
            return [format_action(server, action) for action in self.controllers[server].handle(now_ms, event)]
        except Exception as error:  # reported on the wire, and with its traceback on standard error
            traceback.print_exc()
            text = " ".join(f"{type(error).__name__}: {error}".split())
            return [f"{FAULT_REPLY}\t{SERVER_KEY}={server}\ttext={text}"]


def parse_batch_time(line: str) -> float:
    """Return the time of a batch, which its first line gives."""
    line_name, *parts = line.split("\t")
    if line_name != BATCH_START:
        raise WireError(f"expected {BATCH_START}, found {line_name!r}")
    try:
        return parse_number(parse_pairs(parts)[CLOCK_KEY])
    except (KeyError, ValueError) as error:
        raise WireError(f"{BATCH_START} has no number as {CLOCK_KEY}") from error


def serve(input_stream: TextIO, output_stream: TextIO) -> None:
    """Answer batches until the input ends."""
    fleet = Fleet()
    now_ms: float | None = None
    reply_lines: list[str] = []
    for line_number, raw_line in enumerate(input_stream, 1):
        line = raw_line.rstrip("\r\n")
        try:
            if now_ms is None:
                if line:
                    now_ms = parse_batch_time(line)
            elif line == BATCH_END:
                output_stream.write("\n".join([*reply_lines, REPLY_END]) + "\n")
                output_stream.flush()
                now_ms, reply_lines = None, []
            else:
                reply_lines.extend(fleet.handle_line(now_ms, line))
        except SettingsFormatError as error:
            raise WireError(f"line {line_number}: {error}") from error
    if now_ms is not None:
        raise WireError("the input ends within a batch")


def main() -> int:
    """Serve on standard input and output; return the exit status."""
    for stream, error_handler in ((sys.stdin, "replace"), (sys.stdout, "strict")):
        if isinstance(stream, TextIOWrapper):
            stream.reconfigure(encoding="utf-8", errors=error_handler)
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"flintshift.benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
