"""How far apart looks at due times come. A part of the decisions, without I/O."""

from __future__ import annotations


class LookPace:
    """Looks are asked for every ``tick_ms``; on a busy machine they come late, and several in a row alike.

    >>> pace = LookPace(40.0)
    >>> pace.looked(1000.0); pace.looked(1040.0); pace.next_ms
    80.0
    >>> pace.looked(1340.0); pace.looked(1640.0); pace.next_ms
    340.0
    """

    def __init__(self, tick_ms: float) -> None:
        self.tick_ms = tick_ms
        self.looked_ms: float | None = None  # the last one
        self.spans_ms = (tick_ms, tick_ms)  # between the last three

    def looked(self, now_ms: float) -> None:
        """A look is taken now."""
        if self.looked_ms is not None:
            self.spans_ms = (self.spans_ms[1], max(self.tick_ms, now_ms - self.looked_ms))
        self.looked_ms = now_ms

    @property
    def next_ms(self) -> float:
        """How much later the next one may come: as late as the last two.

        One long span alone is a pause of the process."""
        return self.tick_ms + min(self.spans_ms)
