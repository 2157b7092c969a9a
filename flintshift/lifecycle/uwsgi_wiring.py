"""The wiring of the uwsgi front, its app servers and its DNS-SD records; imported only where it is on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits
from flintshift.core.ports import Workers
from flintshift.settings.options import UwsgiOptions
from flintshift.startup.backoff import Uniform
from flintshift.startup.registration import ListService
from flintshift.wire.dnssd import Browser, Record, Resolver
from flintshift.wire.fields import AttemptBuilder
from flintshift.wire.front import Front
from flintshift.wire.uwsgi_apps import AppServers
from flintshift.wire.uwsgi_front import UwsgiFront


@dataclass(frozen=True, slots=True)
class SecondFront:
    front: Front
    listed: ListService  # the node's own record
    apps: Workers  # where its requests run
    actors: tuple[Callable[[], Coroutine[Any, Any, None]], ...]


def second_front(
    name: str,
    desks: UwsgiOptions,
    fields: AttemptBuilder,
    decisions: Decisions,
    limits: Limits,
    counters: Counters,
    now_ms: Callable[[], float],
    verify: Callable[[], Awaitable[bool]],
    uniform: Uniform,
) -> SecondFront:
    resolver = Resolver(desks.resolver, limits)
    browser = Browser(resolver, desks.app_service, desks.domain, limits, counters, uniform)
    apps = AppServers(browser, limits, counters, decisions.report, now_ms)
    record = Record(resolver, desks.node_service, desks.domain, name, desks.listen, limits, counters, now_ms)
    front = UwsgiFront(fields, decisions, limits, counters, now_ms, limits.uwsgi_connections, verify)
    return SecondFront(front, record, apps, (browser.run, apps.run))
