"""Which servers are known of a list that is looked at again and again, without I/O.

A list that names nobody any longer, without an error, may have lost its entries: it is believed after some looks in a
row.
Until then the servers known before stand. A run that goes to one that is really gone is refused by its address.
"""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class KnownServers(Generic[T]):
    """``empty_looks``: in a row, after which a list that names nobody is believed."""

    def __init__(self, empty_looks: int) -> None:
        self.empty_looks = empty_looks
        self.servers: list[T] = []
        self.empty = 0  # looks in a row that found none, while some were known

    @property
    def empty_unconfirmed(self) -> bool:
        """The last look found nobody, and is not believed yet."""
        return self.empty > 0

    def record_poll(self, found: list[T]) -> bool:
        """A look without an error found these; True where it found nobody, and some were known."""
        vanished = bool(self.servers) and not found
        self.empty = self.empty + 1 if vanished else 0
        if found or self.empty >= self.empty_looks:
            self.servers, self.empty = found, 0
        return vanished
