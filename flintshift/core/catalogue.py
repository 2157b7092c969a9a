"""The catalogue of request classes and clubs that are accepted now, and of those dropped recently, under one set of
settings.

A configuration may add and drop classes while requests are open. An added class is accepted from then on. A dropped
class is accepted for a while longer, as callers learn of the change late; after that it is refused, but a repeat of a
request that has run gets its result for the whole of its window. Then the name is unknown.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from flintshift.core.limits import Limits
from flintshift.interface import RequestClass, Settings


@dataclass(frozen=True, slots=True)
class DroppedClass:
    """A class that new settings left out while its requests may still be open or repeated."""

    request_class: RequestClass
    dropped_at_ms: float
    known_until_ms: float


class Catalogue:
    """The classes and clubs by name, with the settings that they come from."""

    def __init__(self, settings: Settings, limits: Limits) -> None:
        self.settings, self.limits = settings, limits
        self.active_classes = {kind.name: kind for kind in settings.classes}
        self.clubs = {tenant.name for tenant in settings.tenants}
        self.dropped_classes: dict[str, DroppedClass] = {}
        self.dropped_clubs: dict[str, float] = {}  # by name, the time until which each is known

    def find_class(self, class_name: str) -> RequestClass | None:
        """The class of this name, even if it was dropped and only its repeats may still arrive."""
        kind = self.active_classes.get(class_name)
        if kind is None and class_name in self.dropped_classes:
            return self.dropped_classes[class_name].request_class
        return kind

    def accepts(self, class_name: str, now_ms: float) -> bool:
        """Whether new requests of this class are accepted."""
        dropped = self.dropped_classes.get(class_name)
        return class_name in self.active_classes or (
            dropped is not None and now_ms < dropped.dropped_at_ms + self.limits.dropped_class_grace_ms
        )

    def knows_club(self, club: str | None) -> bool:
        """Whether requests may name this club; any may be named where the settings list none."""
        return not self.clubs or club in self.clubs or club in self.dropped_clubs

    def change(self, settings: Settings, now_ms: float) -> str | None:
        """Apply new settings as a whole, or return the reason why they can't be. The settings of the process's cold
        start stay as they were."""
        dropped = self._known(now_ms) | {
            name: DroppedClass(
                kind,
                now_ms,
                now_ms
                + self.limits.dropped_class_grace_ms
                + self.limits.max_repeat_delay_ms
                + max(kind.repeat_window_ms, kind.deadline_ms + self.limits.lost_run_timeout_ms),
            )
            for name, kind in self.active_classes.items()
        }
        for kind in settings.classes:
            dropped.pop(kind.name, None)
        if len(dropped) > self.limits.max_dropped_classes:
            return f"{len(dropped)} dropped classes in their windows; at most {self.limits.max_dropped_classes} may be"
        clubs = {tenant.name for tenant in settings.tenants}
        recently_dropped = {club: until_ms for club, until_ms in self.dropped_clubs.items() if until_ms > now_ms}
        recently_dropped |= dict.fromkeys(self.clubs, now_ms + self.limits.dropped_class_grace_ms)
        self.dropped_clubs = {club: until_ms for club, until_ms in recently_dropped.items() if club not in clubs}
        self.settings = replace(
            settings, cold=self.settings.cold, cold_from=self.settings.cold_from, cold_ms=self.settings.cold_ms
        )
        self.active_classes, self.clubs, self.dropped_classes = (
            {kind.name: kind for kind in settings.classes},
            clubs,
            dropped,
        )
        return None

    def purge(self, now_ms: float) -> bool:
        """Forget classes and clubs that were dropped long enough ago; return whether a class was among them."""
        count_before = len(self.dropped_classes)
        self.dropped_classes = self._known(now_ms)
        self.dropped_clubs = {club: until_ms for club, until_ms in self.dropped_clubs.items() if until_ms > now_ms}
        return len(self.dropped_classes) < count_before

    def _known(self, now_ms: float) -> dict[str, DroppedClass]:
        return {name: dropped for name, dropped in self.dropped_classes.items() if dropped.known_until_ms > now_ms}

    @property
    def effective_settings(self) -> Settings:
        """The settings that decisions are made by: with the dropped classes that may still be open or arrive."""
        return replace(
            self.settings,
            classes=[
                *self.settings.classes,
                *(dropped.request_class for dropped in self.dropped_classes.values()),
            ],
        )
