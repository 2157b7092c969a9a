"""DNS-based service discovery (RFC 6763): app servers are browsed, and this node's own record is kept by
DNS UPDATE (RFC 2136) while it serves."""

from __future__ import annotations

import contextlib
import ipaddress
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import dns.asyncquery
import dns.exception
import dns.message
import dns.name
import dns.rcode
import dns.update
from dns.rdatatype import AAAA, PTR, SRV, TXT, A, RdataType

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.discovery.known_servers import KnownServers
from flintshift.startup.backoff import Backoff, Uniform
from flintshift.wire import faults

FAILED = (dns.exception.DNSException, OSError, ValueError)


@dataclass(frozen=True)
class Server:
    priority: int
    at: tuple[str, int]
    classes: frozenset[str]  # those it runs; empty: all


class Resolver:
    def __init__(self, at: tuple[str, int], limits: Limits) -> None:
        self.at, self.limits = at, limits

    async def exchange(self, message: dns.message.Message) -> dns.message.Message:
        reply = await self._asked(message)
        if reply.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            raise dns.exception.DNSException(dns.rcode.to_text(reply.rcode()))
        return reply

    async def _asked(self, message: dns.message.Message) -> dns.message.Message:
        """One exchange. What this machine's own system refuses for a moment, a socket, say, is tried again: one look at
        the app servers is several exchanges, and all of them must go well."""
        for _ in range(self.limits.max_dns_tries - 1):
            with contextlib.suppress(OSError):
                return await self._ask(message)
            await anyio.sleep(self.limits.backoff_ms / 1000)
        return await self._ask(message)

    async def _ask(self, message: dns.message.Message) -> dns.message.Message:
        return await dns.asyncquery.udp(message, self.at[0], port=self.at[1], timeout=self.limits.dns_timeout_ms / 1000)

    async def find(self, name: dns.name.Name, kind: RdataType) -> list[Any]:
        reply = await self.exchange(dns.message.make_query(name, kind))
        return [data for found in reply.answer if found.name == name and found.rdtype == kind for data in found]


class Browser:
    """Knows the app servers that the resolver names. The last good answer stands while it does not reply, and for some
    looks more where it names none any longer without an error: a run on a server that is gone is refused there."""

    def __init__(
        self, resolver: Resolver, service: str, domain: str, limits: Limits, counters: Counters, uniform: Uniform
    ) -> None:
        self.resolver, self.limits, self.counters, self.uniform = resolver, limits, counters, uniform
        self.service = dns.name.from_text(service, dns.name.from_text(domain))
        self.known = KnownServers[Server](limits.confirming_empty_browses)
        self.turn = itertools.count()

    def servers(self, class_name: str) -> list[tuple[str, int]]:
        """Where a run of this class may go: by priority, and in turns among equals."""
        fit = [server for server in self.known.servers if not server.classes or class_name in server.classes]
        turn = next(self.turn) % len(fit) if fit else 0
        return [server.at for server in sorted(fit[turn:] + fit[:turn], key=lambda server: server.priority)]

    async def run(self) -> None:
        waits = Backoff(self.limits.browse_retry_delay_ms, self.limits.browse_interval_ms, self.uniform)
        while True:
            try:
                if self.known.record_poll(await self._browse()):
                    self.counters.add("dns.empty")
            except FAILED:
                self.counters.add("dns.failed")
            except Exception as error:  # whatever else the event loop may raise costs this look, and not the node
                faults.record(self.counters, "dns", error)
            # What is known stands, so a resolver that fails is not asked more often for it; one that names nobody is.
            if self.known.servers and not self.known.empty_unconfirmed:
                waits.reset()
                wait_ms = self.limits.browse_interval_ms * self.uniform(0.95, 1.05)
            else:
                wait_ms = waits.next_ms()
            await anyio.sleep(wait_ms / 1000)

    async def _browse(self) -> list[Server]:
        found = []
        for pointer in await self.resolver.find(self.service, PTR):
            instance = pointer.target
            texts = [
                text.decode("utf-8", "replace")
                for data in await self.resolver.find(instance, TXT)
                for text in data.strings
            ]
            classes = next((text[8:] for text in texts if text.lower().startswith("classes=")), "")
            for data in await self.resolver.find(instance, SRV):
                for kind in (A, AAAA):
                    for host in await self.resolver.find(data.target, kind):
                        if not ipaddress.ip_address(host.address).is_loopback:  # none but this machine's
                            self.counters.add("dns.not_loopback")
                            continue
                        found.append(
                            Server(
                                data.priority, (host.address, data.port), frozenset(filter(None, classes.split(",")))
                            )
                        )
        return found


class Record:
    """This node's own record: put in while it serves, taken out when it leaves."""

    def __init__(
        self,
        resolver: Resolver,
        service: str,
        domain: str,
        name: str,
        at: tuple[str, int],
        limits: Limits,
        counters: Counters,
        now_ms: Callable[[], float],
    ) -> None:
        self.resolver, self.limits, self.counters, self.now_ms = resolver, limits, counters, now_ms
        self.at = at
        self.zone = dns.name.from_text(domain)
        self.service = dns.name.from_text(service, self.zone)
        self.instance = dns.name.Name((name.encode(), *self.service.labels))
        self.host = dns.name.Name((name.encode(), *self.zone.labels))
        self.fresh_until_ms = 0.0
        self.withdrawn = False  # as far as this node was told

    async def report(self, serving: bool) -> bool:
        if (self.now_ms() < self.fresh_until_ms) if serving else self.withdrawn:
            return True
        try:
            await self.resolver.exchange(self._update(serving))
        except FAILED:
            self.counters.add("dns.update_failed")
            return False
        except Exception as error:
            faults.record(self.counters, "dns", error)
            return False
        self.counters.add("dns.published" if serving else "dns.withdrawn")
        self.fresh_until_ms = self.now_ms() + self.limits.record_ttl_s * 500.0 if serving else 0.0
        self.withdrawn = not serving
        return True

    def _update(self, serving: bool) -> dns.update.UpdateMessage:
        update, ttl = dns.update.UpdateMessage(self.zone), self.limits.record_ttl_s
        host, port = self.at
        if serving:
            update.add(self.service, ttl, PTR, self.instance.to_text())
            update.replace(self.instance, ttl, SRV, f"0 0 {port} {self.host.to_text()}")
            update.replace(self.instance, ttl, TXT, '"txtvers=1" "proto=uwsgi"')
            update.replace(self.host, ttl, AAAA if ":" in host else A, host)
        else:
            update.delete(self.service, PTR, self.instance.to_text())
            update.delete(self.instance)
            update.delete(self.host)
        return update
