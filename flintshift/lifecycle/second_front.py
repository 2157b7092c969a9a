"""The wiring of the uwsgi front, its app servers and its DNS-SD records; imported only where it is on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flintshift.core.listing import Listed
from flintshift.settings.options import UwsgiOptions
from flintshift.wire.dnssd import Browser, Record, Resolver
from flintshift.wire.fields import Fields
from flintshift.wire.uwsgi_apps import AppServers
from flintshift.wire.uwsgi_front import UwsgiFront

if TYPE_CHECKING:
    from flintshift.lifecycle.node import Node


def add_second_front(node: Node, desks: UwsgiOptions, fields: Fields, lists: list[Listed]) -> None:
    limits, counters, now_ms = node.limits, node.counters, node.now_ms
    resolver = Resolver(desks.resolver, limits)
    browser = Browser(resolver, desks.app_service, desks.domain, limits, counters)
    apps = AppServers(browser, limits, counters, node.decisions.report, now_ms)
    node.decisions.workers = {"pool": node.pool, "apps": apps}
    lists.append(Record(resolver, desks.node_service, desks.domain, node.config.name, desks.listen,
                        limits, counters, now_ms))
    node.fronts.append((
        UwsgiFront(fields, node.decisions, limits, counters, now_ms, limits.uwsgi_connections,
                   node.pool.verify), desks.listen))
    node.actors += [browser.run, apps.run]
