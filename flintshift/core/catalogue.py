"""The catalogue: which classes and clubs are taken now, and those dropped lately, under one set of settings.

A configuration may add and drop classes while requests are open. What is added is taken from then on. What is dropped
may still come for a while, from callers that hear of it late, and is taken as before; after that it is refused, but a
repeat of what has run gets its result for the whole of its window. Then its name is unknown.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from flintshift.core.limits import Limits
from flintshift.interface import RequestClass, Settings


@dataclass(frozen=True, slots=True)
class DroppedClass:
    request_class: RequestClass
    dropped_at_ms: float
    known_until_ms: float


class Catalogue:
    def __init__(self, settings: Settings, limits: Limits) -> None:
        self.settings, self.limits = settings, limits
        self.active_classes = {kind.name: kind for kind in settings.classes}
        self.clubs = {tenant.name for tenant in settings.tenants}
        self.dropped_classes: dict[str, DroppedClass] = {}
        self.dropped_clubs: dict[str, float] = {}  # until when they are known

    def find_class(self, class_name: str) -> RequestClass | None:
        """The class, also one dropped whose repeats may still come."""
        kind = self.active_classes.get(class_name)
        if kind is None and class_name in self.dropped_classes:
            return self.dropped_classes[class_name].request_class
        return kind

    def accepts(self, class_name: str, now_ms: float) -> bool:
        """New work of this class is taken."""
        dropped_class = self.dropped_classes.get(class_name)
        return class_name in self.active_classes or (
            dropped_class is not None and now_ms < dropped_class.dropped_at_ms + self.limits.dropped_class_grace_ms
        )

    def knows_club(self, club: str | None) -> bool:
        return not self.clubs or club in self.clubs or club in self.dropped_clubs

    def change(self, settings: Settings, now_ms: float) -> str | None:
        """Take new settings as a whole; else why not. What says how the process began stays as it was."""
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
        lately = {club: until for club, until in self.dropped_clubs.items() if until > now_ms}
        lately |= dict.fromkeys(self.clubs, now_ms + self.limits.dropped_class_grace_ms)
        self.dropped_clubs = {club: until for club, until in lately.items() if club not in clubs}
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
        """Forget what was dropped long enough ago; True when something was."""
        before = len(self.dropped_classes)
        self.dropped_classes = self._known(now_ms)
        self.dropped_clubs = {club: until for club, until in self.dropped_clubs.items() if until > now_ms}
        return len(self.dropped_classes) < before

    def _known(self, now_ms: float) -> dict[str, DroppedClass]:
        return {
            name: dropped_class
            for name, dropped_class in self.dropped_classes.items()
            if dropped_class.known_until_ms > now_ms
        }

    @property
    def effective_settings(self) -> Settings:
        """What the decisions are made by: the settings, with the classes that may still be open or come."""
        return replace(
            self.settings,
            classes=[
                *self.settings.classes,
                *(dropped_class.request_class for dropped_class in self.dropped_classes.values()),
            ],
        )
