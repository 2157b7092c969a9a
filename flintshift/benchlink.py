"""The adapter from the simulator's wire to the controller's interface: ``python -m flintshift.benchlink``.

Reads batches of events on standard input, hands each to the controller of its server and writes one reply a
batch.  It holds the wire's words, as tables, and no decision.  Another dialect is another set of tables.
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
    GAUGES,
    FormError,
    build,
    flag,
    listed,
    number,
    present,
    settings_from,
)


class WireError(FormError):
    """The input does not follow the wire."""


def gauges(text: str) -> api.Gauges:
    pairs = (part.split(":", 1) for part in listed(text))
    return api.Gauges(**{GAUGES[name]: number(value) for name, value in pairs if name in GAUGES})


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

# An event's word: its type, and for each field of the wire the field of the interface and its form.
REQUEST = ("request", str)
EVENTS: dict[str, tuple[type, dict[str, tuple[str, Callable[[str], Any]]]]] = {
    "QUERY": (
        api.Arrived,
        {
            "opId": REQUEST,
            "tierClass": ("class_name", str),
            "footprint": ("held_kb", number),
            "ageMs": ("age_ms", number),
            "src": ("caller", int),
            "team": ("tenant", present(str)),
            "dupOf": ("repeat_of", present(str)),
            "againByClient": ("marked_repeat", flag),
            "expiresInMs": ("patience_ms", present(number)),
            "resource": ("subject", int),
        },
    ),
    "DONE": (
        api.RunEnded,
        {
            "opId": REQUEST,
            "how": ("outcome", OUTCOMES.__getitem__),
            "timeTakenMs": ("took_ms", number),
        },
    ),
    "DROPPED": (api.CallerDisconnected, {"opId": REQUEST}),
    "NEEDS": (api.CallNeeded, {"opId": REQUEST}),
    "CALL_RESULT": (
        api.CallEnded,
        {
            "opId": REQUEST,
            "how": ("outcome", OUTCOMES.__getitem__),
            "timeTakenMs": ("took_ms", number),
        },
    ),
    "DRAIN": (api.DrainStarted, {"expiresInMs": ("stops_in_ms", number)}),
    "DUE": (api.Woken, {"nonce": ("token", str), "telemetry": ("gauges", gauges)}),
}
START, DEATH, SERVER, SEED, FAULT = "ENLIST", "CRASH_NOW", "serverId", "nonce64", "EXCEPTION"
BATCH, CLOCK, BATCH_END, REPLY_END = "FRAME", "tMs", "EOF_BATCH", "END"

# An action's type: its word, and for each field of the interface the field of the wire.
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


def split(parts: Iterable[str]) -> dict[str, str]:
    pairs = {}
    for part in parts:
        name, found, value = part.partition("=")
        if not found or not name:
            raise WireError(f"not a name=value pair: {part!r}")
        pairs[name] = value
    return pairs


def render(server: str, action: api.Action) -> str:
    word, names = ACTIONS[type(action)]
    parts = [word, f"{SERVER}={server}"]
    for name, key in names.items():
        value = getattr(action, name)
        if isinstance(value, bool):
            value = int(value)
        elif isinstance(value, float):
            value = round(value, 3)
        parts.append(f"{key}={value}")
    return "\t".join(parts)


class Fleet:
    """The controllers of this process, each on its own."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.classes: dict[str, set[str]] = {}  # the class names each server was started with

    def event(self, now_ms: float, line: str) -> list[str]:
        word, *parts = line.split("\t")
        pairs = split(parts)
        server = pairs.pop(SERVER, None)
        if not server:
            raise WireError(f"{word} names no instance ({SERVER})")
        if word == DEATH:
            self.controllers.pop(server, None)
            return []
        event: api.Event
        if word == START:
            try:
                seed = int(pairs.pop(SEED))
            except (KeyError, ValueError) as error:
                raise WireError(f"{START} has no whole number as {SEED}") from error
            settings = settings_from(pairs)
            self.classes[server] = {kind.name for kind in settings.classes}
            event = api.Started()
        elif word in EVENTS:
            event = build(*EVENTS[word], pairs)
            if server not in self.controllers:
                raise WireError(f"{word} for an instance that was never started: {server}")
            if isinstance(event, api.Arrived) and event.class_name not in self.classes[server]:
                raise WireError(f"unknown class {event.class_name!r}")
        else:
            raise WireError(f"unknown event {word!r}")
        try:
            if word == START:
                self.controllers[server] = Controller(settings, seed)
            return [render(server, action) for action in self.controllers[server].handle(now_ms, event)]
        except Exception as error:  # a fault of the module is told on the wire, and in full on standard error
            traceback.print_exc()
            text = " ".join(f"{type(error).__name__}: {error}".split())
            return [f"{FAULT}\t{SERVER}={server}\ttext={text}"]


def batch_clock(line: str) -> float:
    word, *parts = line.split("\t")
    if word != BATCH:
        raise WireError(f"expected {BATCH}, found {word!r}")
    try:
        return number(split(parts)[CLOCK])
    except (KeyError, ValueError) as error:
        raise WireError(f"{BATCH} has no number as {CLOCK}") from error


def serve(source: TextIO, sink: TextIO) -> None:
    fleet = Fleet()
    now_ms: float | None = None
    reply: list[str] = []
    for count, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        try:
            if now_ms is None:
                if line:
                    now_ms = batch_clock(line)
            elif line == BATCH_END:
                sink.write("\n".join([*reply, REPLY_END]) + "\n")
                sink.flush()
                now_ms, reply = None, []
            else:
                reply.extend(fleet.event(now_ms, line))
        except FormError as error:
            raise WireError(f"line {count}: {error}") from error
    if now_ms is not None:
        raise WireError("the input ends within a batch")


def main() -> int:
    for stream, errors in ((sys.stdin, "replace"), (sys.stdout, "strict")):
        if isinstance(stream, TextIOWrapper):
            stream.reconfigure(encoding="utf-8", errors=errors)
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"flintshift.benchlink: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
