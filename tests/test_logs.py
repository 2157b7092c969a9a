"""Structured logging: formats, levels, suppressed repeats and write errors."""

from __future__ import annotations

import io
import json

import pytest
import structlog

from flintshift.lifecycle.logs import MAX_KNOWN_EVENTS, RepeatFilter, open_log
from flintshift.settings.options import LogOptions


def test_json_lines_contain_the_bound_fields():
    sink = io.StringIO()
    log, logs_requests = open_log(LogOptions("json", "debug", 0.0), "n1", sink)
    log("debug", "request.answered", request="00aa", club="a")
    line = json.loads(sink.getvalue())
    assert logs_requests and line.pop("timestamp").endswith("Z")
    assert line == {"node": "n1", "level": "debug", "event": "request.answered", "request": "00aa", "club": "a"}


def test_text_is_one_line_and_lower_levels_are_dropped():
    sink = io.StringIO()
    log, logs_requests = open_log(LogOptions("text", "warning", 0.0), "n1", sink)
    log("info", "left.out")
    log("error", "kept", cause="two words\nand a line")
    assert not logs_requests and sink.getvalue().count("\n") == 1
    assert 'level=error node=n1 event=kept cause="two words' in sink.getvalue()


def test_repeats_are_suppressed_counted_and_bounded():
    now = [0.0]
    repeats = RepeatFilter(1000.0, lambda: now[0])
    assert repeats(None, "info", {"event": "a"}) == {"event": "a"}
    for _ in range(5):
        with pytest.raises(structlog.DropEvent):
            repeats(None, "info", {"event": "a"})
    assert repeats(None, "info", {"event": "b"}) == {"event": "b"}
    now[0] = 1000.0
    assert repeats(None, "info", {"event": "a"}) == {"event": "a", "left_out": 5}
    for number in range(3 * MAX_KNOWN_EVENTS):
        repeats(None, "info", {"event": f"e{number}"})
    assert len(repeats.last_written) <= MAX_KNOWN_EVENTS


def test_a_line_that_cannot_be_written_is_counted():
    class FullDisk(io.StringIO):
        is_full = True

        def write(self, text):
            if self.is_full:
                raise OSError(28, "No space left on device")
            return super().write(text)

    sink = FullDisk()
    log, _ = open_log(LogOptions("json", "info", 0.0), "n1", sink)
    log("info", "a")
    log("info", "b")
    sink.is_full = False
    log("info", "c")
    log("info", "d")
    lines = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert [(line["event"], line.get("lines_lost")) for line in lines] == [("c", 2), ("d", None)]
