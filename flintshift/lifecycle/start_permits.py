"""Start permits at the node's side: the hearts of `startup/permits.py`, the members' links and the log. Imported only
where `startup.at-once`, peers and copies are on.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from flintshift.core.counters import Counters
from flintshift.core.ports import Log
from flintshift.startup.backoff import Uniform
from flintshift.startup.permits import (
    Action,
    Permit,
    PermitGranter,
    PermitRequest,
    PermitRequester,
    Proceed,
    SendPermitRequest,
)


class StartPermits:
    """This process wants one, and grants them to others. ``send`` speaks to a member, ``answer`` to a process that
    asked, ``go`` is called once the start may go on."""

    def __init__(
        self,
        name: str,
        identity: str,
        members: tuple[str, ...],
        at_once: int,
        uniform: Uniform,
        lives: Callable[[str], bool],
        reached: set[str],
        send: Callable[[str, PermitRequest], None],
        answer: Callable[[str, Permit], None],
        go: Callable[[], None],
        counters: Counters,
        log: Log,
    ) -> None:
        self.name, self.identity, self.reached = name, identity, reached
        self.send, self.answer, self.go, self.counters, self.log = send, answer, go, counters, log
        self.requester = PermitRequester(name, members, uniform)
        self.granter = PermitGranter(at_once, lives)

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000

    def may_proceed(self) -> bool:
        """Ask, if it has not been asked."""
        self._act(self.requester.request_permit(self._now(), self.reached))
        return self.requester.proceeded

    def tick(self) -> None:
        self._act(self.requester.tick(self._now(), self.reached))

    def finish(self) -> None:
        self._act(self.requester.finish())

    def on_request(self, identity: str, word: PermitRequest) -> None:
        told = self.granter.on_request(self._now(), identity, word)
        if told is not None:
            self.counters.add("startup.permits_granted" if told.granted else "startup.permits_refused")
            self.answer(identity, told)

    def on_permit(self, member: str, permit: Permit) -> None:
        self._act(self.requester.on_permit(self._now(), member, permit))

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendPermitRequest(to, word) if to == self.name:
                    told = self.granter.on_request(self._now(), self.identity, word)
                    if told is not None:
                        self.on_permit(self.name, told)
                case SendPermitRequest(to, word):
                    self.send(to, word)
                case Proceed(cause, after_ms):
                    self.log("info", "startup.goes_on", cause=cause, after_ms=round(after_ms))
                    self.go()

    def status(self) -> dict[str, Any]:
        return {"held": sorted(self.granter.granted_until_ms), "waiting": sorted(self.granter.waiting)}
