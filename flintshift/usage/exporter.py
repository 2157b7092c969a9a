"""The exporter: decides what is delivered to which sink, when it is tried again, and when it is given up on.

Without I/O; time and randomness are handed in. A sink gets documents in their order, one at a time. A delivery of
which nothing is known is tried again under the same name, which makes a second arrival harmless. The wait grows as
capped exponential backoff with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
2015), and a budget of attempts an hour holds for each sink: a token bucket, so a sink that is down for a day costs
no more than that. What a sink rejects for good is put aside with an alarm, and the next document goes on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from flintshift.usage.messages import (
    Acknowledge,
    Alarm,
    Deliver,
    Delivered,
    DocumentFound,
    ExportAction,
    ExportEvent,
    NotDelivered,
    Rejected,
    StopDelivery,
    Superseded,
    Tick,
    WakeAt,
)

HOUR_MS = 3_600_000.0


@dataclass(frozen=True, slots=True)
class DeliveryConfig:
    backoff_ms: float = 1000.0
    backoff_most_ms: float = 300_000.0
    attempts_per_hour: int = 600
    queue: int = 1000  # documents that wait for a sink; more are found again later
    alarm_after: int = 5  # attempts in a row that failed
    put_aside: int = 1000  # documents that the sink will never take; past this it is left alone


@dataclass(slots=True)
class Sink:
    waiting: deque[str] = field(default_factory=deque)
    known: set[str] = field(default_factory=set)  # waiting or being delivered
    put_aside: set[str] = field(default_factory=set)
    out: str | None = None  # being delivered
    failed: int = 0  # attempts in a row
    again_ms: float = 0.0
    tokens: float = 0.0
    counted_ms: float = 0.0
    stands: bool = False


class Exporter:
    """``draw`` returns a number from 0 to 1."""

    def __init__(self, sinks: list[str], pace: DeliveryConfig, draw: Callable[[], float], now_ms: float) -> None:
        self.pace, self.draw = pace, draw
        self.sinks = {name: Sink(tokens=float(pace.attempts_per_hour), counted_ms=now_ms) for name in sinks}

    def handle(self, now_ms: float, event: ExportEvent) -> list[ExportAction]:
        if isinstance(event, Tick):
            return [action for name in self.sinks for action in self._next(now_ms, name)]
        sink = self.sinks[event.sink]
        match event:
            case DocumentFound(name=name):
                fresh = name not in sink.known and name not in sink.put_aside
                if fresh and len(sink.known) < self.pace.queue:
                    sink.known.add(name)
                    sink.waiting.append(name)
            case Delivered(name=name):
                if sink.out != name:  # an answer from before: it was dealt with
                    return []
                self._over(sink)
                sink.known.discard(name)
                return [Acknowledge(event.sink, name), *self._next(now_ms, event.sink)]
            case NotDelivered(name=name, text=text, retry_after_ms=after_ms):
                if sink.out != name:
                    return []
                sink.out = None
                sink.waiting.appendleft(name)
                return self._failed(now_ms, event.sink, name, text, after_ms)
            case Rejected(name=name, text=text):
                if sink.out != name:
                    return []
                self._over(sink)
                sink.known.discard(name)
                sink.put_aside.add(name)  # not found again in this life
                if len(sink.put_aside) >= self.pace.put_aside:
                    sink.stands = True
                    return [
                        Alarm(
                            event.sink,
                            name,
                            f"{text}; {len(sink.put_aside):,} documents are put aside, and no "
                            "more are sent: look at the sink, then start the exporter again",
                        ),
                        StopDelivery(event.sink),
                    ]
                return [Alarm(event.sink, name, text), *self._next(now_ms, event.sink)]
            case Superseded(text=text):
                sink.stands, sink.out = True, None
                return [Alarm(event.sink, "", text), StopDelivery(event.sink)]
        return self._next(now_ms, event.sink)

    @property
    def done(self) -> bool:
        """Nothing that was found waits or is under way, but for what was put aside or is left alone."""
        return all(sink.out is None and (sink.stands or not sink.waiting) for sink in self.sinks.values())

    def _over(self, sink: Sink) -> None:
        sink.out, sink.failed, sink.again_ms = None, 0, 0.0

    def _failed(self, now_ms: float, of: str, name: str, text: str, after_ms: float) -> list[ExportAction]:
        sink = self.sinks[of]
        most = min(self.pace.backoff_most_ms, self.pace.backoff_ms * 2.0 ** min(sink.failed, 40))
        sink.failed += 1
        sink.again_ms = now_ms + max(min(after_ms, HOUR_MS), most * self.draw(), 1.0)
        actions: list[ExportAction] = [WakeAt(sink.again_ms)]
        if sink.failed % self.pace.alarm_after == 0:
            actions.append(Alarm(of, name, f"{sink.failed} attempts in a row failed: {text}"))
        return actions

    def _next(self, now_ms: float, of: str) -> list[ExportAction]:
        sink = self.sinks[of]
        if sink.stands or sink.out is not None or not sink.waiting:
            return []
        if now_ms < sink.again_ms:
            return [WakeAt(sink.again_ms)]
        rate = self.pace.attempts_per_hour / HOUR_MS
        gone_ms = max(0.0, now_ms - sink.counted_ms)  # a clock that was set back earns nothing
        sink.tokens = min(float(self.pace.attempts_per_hour), sink.tokens + gone_ms * rate)
        sink.counted_ms = now_ms
        if sink.failed and sink.tokens < 1.0:
            return [WakeAt(now_ms + max(1.0, (1.0 - sink.tokens) / rate))]  # a rounded rest is no busy loop
        if sink.failed:  # what goes well needs no budget: its number is that of the documents
            sink.tokens -= 1.0
        sink.out = sink.waiting.popleft()
        return [Deliver(of, sink.out, sink.failed + 1)]
