"""The servers known from a list that is polled repeatedly, without I/O.

A list that becomes empty without an error may have lost its entries: it is believed after some empty polls in a row.
Until then the servers known before are kept. A run that goes to one that no longer exists is refused by its address.
"""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class KnownServers(Generic[T]):
    """The servers that the list names.

    ``max_empty_polls``: the empty polls in a row after which an empty list is believed."""

    def __init__(self, max_empty_polls: int) -> None:
        self.max_empty_polls = max_empty_polls
        self.servers: list[T] = []
        self.empty_polls = 0  # in a row, while some servers were known

    @property
    def empty_unconfirmed(self) -> bool:
        """Whether the last poll found no servers, and that is not believed yet."""
        return self.empty_polls > 0

    def record_poll(self, found: list[T]) -> bool:
        """Record what a poll without an error found; returns whether it found no servers while some were known."""
        vanished = bool(self.servers) and not found
        self.empty_polls = self.empty_polls + 1 if vanished else 0
        if found or self.empty_polls >= self.max_empty_polls:
            self.servers, self.empty_polls = found, 0
        return vanished
