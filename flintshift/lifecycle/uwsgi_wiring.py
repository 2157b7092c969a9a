"""Creates and connects the uwsgi front, its app servers and its DNS-SD records; imported only if that front is on."""

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
class UwsgiParts:
    """The parts of the uwsgi side of a node."""

    front: Front
    list_service: ListService  # publishes the node's own record
    apps: Workers  # where requests of the uwsgi front run
    actors: tuple[Callable[[], Coroutine[Any, Any, None]], ...]


def create_uwsgi_parts(
    name: str,
    options: UwsgiOptions,
    attempt_builder: AttemptBuilder,
    decisions: Decisions,
    limits: Limits,
    counters: Counters,
    now_ms: Callable[[], float],
    verify: Callable[[], Awaitable[bool]],
    uniform: Uniform,
) -> UwsgiParts:
    """Create the parts of the uwsgi side of a node."""
    resolver = Resolver(options.resolver, limits)
    browser = Browser(resolver, options.app_service, options.domain, limits, counters, uniform)
    apps = AppServers(browser, limits, counters, decisions.report, now_ms)
    record = Record(resolver, options.node_service, options.domain, name, options.listen, limits, counters, now_ms)
    front = UwsgiFront(attempt_builder, decisions, limits, counters, now_ms, limits.uwsgi_connections, verify)
    return UwsgiParts(front, record, apps, (browser.run, apps.run))
