"""Connects the state machines of `startup/permits.py` to the links of the members and to the log.

Imported only if `startup.at-once`, peers and replication are on.
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
    """Requests a start permit for this process, and grants permits to others.

    ``send`` sends to a member, ``answer`` to a process that sent a request; ``on_proceed`` is called once the start may
    proceed."""

    def __init__(
        self,
        name: str,
        identity: str,
        members: tuple[str, ...],
        max_concurrent_starts: int,
        uniform: Uniform,
        is_alive: Callable[[str], bool],
        reached: set[str],
        send: Callable[[str, PermitRequest], None],
        answer: Callable[[str, Permit], None],
        on_proceed: Callable[[], None],
        counters: Counters,
        log: Log,
    ) -> None:
        self.name, self.identity, self.reached = name, identity, reached
        self.send, self.answer, self.on_proceed, self.counters, self.log = send, answer, on_proceed, counters, log
        self.requester = PermitRequester(name, members, uniform)
        self.granter = PermitGranter(max_concurrent_starts, is_alive)

    @staticmethod
    def _now_ms() -> float:
        return time.monotonic() * 1000

    def may_proceed(self) -> bool:
        """Request a permit unless that has begun, and return whether the start may proceed."""
        self._perform(self.requester.request_permit(self._now_ms(), self.reached))
        return self.requester.proceeded

    def tick(self) -> None:
        """Request or renew the permit if that is due."""
        self._perform(self.requester.tick(self._now_ms(), self.reached))

    def finish(self) -> None:
        """Give the permit back: the start has ended."""
        self._perform(self.requester.finish())

    def on_request(self, identity: str, request: PermitRequest) -> None:
        """Answer the permit request of another process."""
        permit = self.granter.on_request(self._now_ms(), identity, request)
        if permit is not None:
            self.counters.add("startup.permits_granted" if permit.granted else "startup.permits_refused")
            self.answer(identity, permit)

    def on_permit(self, member: str, permit: Permit) -> None:
        """Handle the answer of another member to a permit request."""
        self._perform(self.requester.on_permit(self._now_ms(), member, permit))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendPermitRequest(to, request) if to == self.name:
                    permit = self.granter.on_request(self._now_ms(), self.identity, request)
                    if permit is not None:
                        self.on_permit(self.name, permit)
                case SendPermitRequest(to, request):
                    self.send(to, request)
                case Proceed(cause, after_ms):
                    self.log("info", "startup.goes_on", cause=cause, after_ms=round(after_ms))
                    self.on_proceed()

    def status(self) -> dict[str, Any]:
        """The processes that have or wait for a permit of this member, for operators."""
        return {"held": sorted(self.granter.granted_until_ms), "waiting": sorted(self.granter.waiting)}
