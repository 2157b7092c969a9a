"""The exporter: decides which document is delivered to which sink and when, when it is retried, and when to stop.

A state machine without I/O; time and randomness are passed in. A sink gets documents in their order, one at a time. A
delivery whose result is unknown is retried under the same name, so that a second arrival is harmless. The delay is
capped exponential backoff with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
2015). Each sink also has a budget of attempts per hour, a token bucket, which bounds the cost of a sink that is down
for a day. A document that a sink rejects for good is put aside with an alarm, and the next document follows.
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
    """Retry delays and bounds of deliveries, for each sink."""

    backoff_ms: float = 1000.0
    max_backoff_ms: float = 300_000.0
    attempts_per_hour: int = 600
    max_queued: int = 1000  # documents that wait for a sink; the others are found again later
    alarm_after: int = 5  # consecutive failed attempts
    max_put_aside: int = 1000  # documents that the sink will never accept; past this, deliveries to it stop


@dataclass(slots=True)
class SinkState:
    """What the exporter knows of one sink."""

    queue: deque[str] = field(default_factory=deque)
    known: set[str] = field(default_factory=set)  # queued or in flight
    put_aside: set[str] = field(default_factory=set)
    in_flight: str | None = None  # the document that is being delivered
    failed_attempts: int = 0  # consecutive
    retry_at_ms: float = 0.0
    tokens: float = 0.0
    refilled_ms: float = 0.0
    stopped: bool = False


class Exporter:
    """The state machine of the exporter. ``draw`` returns a random number from 0 to 1."""

    def __init__(self, sinks: list[str], config: DeliveryConfig, draw: Callable[[], float], now_ms: float) -> None:
        self.config, self.draw = config, draw
        self.sinks = {name: SinkState(tokens=float(config.attempts_per_hour), refilled_ms=now_ms) for name in sinks}

    def handle(self, now_ms: float, event: ExportEvent) -> list[ExportAction]:
        """Decide what an event leads to."""
        if isinstance(event, Tick):
            return [action for name in self.sinks for action in self._deliver_next(now_ms, name)]
        sink = self.sinks[event.sink]
        match event:
            case DocumentFound(name=name):
                is_new = name not in sink.known and name not in sink.put_aside
                if is_new and len(sink.known) < self.config.max_queued:
                    sink.known.add(name)
                    sink.queue.append(name)
            case Delivered(name=name):
                if sink.in_flight != name:  # the result of an earlier attempt, which was handled
                    return []
                self._end_delivery(sink)
                sink.known.discard(name)
                return [Acknowledge(event.sink, name), *self._deliver_next(now_ms, event.sink)]
            case NotDelivered(name=name, text=text, retry_after_ms=retry_after_ms):
                if sink.in_flight != name:
                    return []
                sink.in_flight = None
                sink.queue.appendleft(name)
                return self._schedule_retry(now_ms, event.sink, name, text, retry_after_ms)
            case Rejected(name=name, text=text):
                if sink.in_flight != name:
                    return []
                self._end_delivery(sink)
                sink.known.discard(name)
                sink.put_aside.add(name)  # not delivered again by this exporter
                if len(sink.put_aside) >= self.config.max_put_aside:
                    sink.stopped = True
                    return [
                        Alarm(
                            event.sink,
                            name,
                            f"{text}; {len(sink.put_aside):,} documents are put aside, and no "
                            "more are sent: check the sink, then restart the exporter",
                        ),
                        StopDelivery(event.sink),
                    ]
                return [Alarm(event.sink, name, text), *self._deliver_next(now_ms, event.sink)]
            case Superseded(text=text):
                sink.stopped, sink.in_flight = True, None
                return [Alarm(event.sink, "", text), StopDelivery(event.sink)]
        return self._deliver_next(now_ms, event.sink)

    @property
    def done(self) -> bool:
        """No document is queued or in flight, apart from sinks to which deliveries have stopped."""
        return all(sink.in_flight is None and (sink.stopped or not sink.queue) for sink in self.sinks.values())

    def _end_delivery(self, sink: SinkState) -> None:
        sink.in_flight, sink.failed_attempts, sink.retry_at_ms = None, 0, 0.0

    def _schedule_retry(
        self, now_ms: float, sink_name: str, name: str, text: str, retry_after_ms: float
    ) -> list[ExportAction]:
        sink = self.sinks[sink_name]
        max_delay_ms = min(self.config.max_backoff_ms, self.config.backoff_ms * 2.0 ** min(sink.failed_attempts, 40))
        sink.failed_attempts += 1
        sink.retry_at_ms = now_ms + max(min(retry_after_ms, HOUR_MS), max_delay_ms * self.draw(), 1.0)
        actions: list[ExportAction] = [WakeAt(sink.retry_at_ms)]
        if sink.failed_attempts % self.config.alarm_after == 0:
            actions.append(Alarm(sink_name, name, f"{sink.failed_attempts} attempts in a row failed: {text}"))
        return actions

    def _deliver_next(self, now_ms: float, sink_name: str) -> list[ExportAction]:
        sink = self.sinks[sink_name]
        if sink.stopped or sink.in_flight is not None or not sink.queue:
            return []
        if now_ms < sink.retry_at_ms:
            return [WakeAt(sink.retry_at_ms)]
        tokens_per_ms = self.config.attempts_per_hour / HOUR_MS
        elapsed_ms = max(0.0, now_ms - sink.refilled_ms)  # a clock that was set back adds no tokens
        sink.tokens = min(float(self.config.attempts_per_hour), sink.tokens + elapsed_ms * tokens_per_ms)
        sink.refilled_ms = now_ms
        if sink.failed_attempts and sink.tokens < 1.0:
            # At least 1 ms, so that a rounding error makes no busy loop.
            return [WakeAt(now_ms + max(1.0, (1.0 - sink.tokens) / tokens_per_ms))]
        if sink.failed_attempts:  # first attempts need no budget: their number is that of the documents
            sink.tokens -= 1.0
        sink.in_flight = sink.queue.popleft()
        return [Deliver(sink_name, sink.in_flight, sink.failed_attempts + 1)]
