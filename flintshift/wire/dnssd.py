"""DNS-based service discovery (RFC 6763): browses for app servers, and publishes this node's own record by DNS UPDATE
(RFC 2136) while it serves."""

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

DNS_ERRORS = (dns.exception.DNSException, OSError, ValueError)


@dataclass(frozen=True)
class Server:
    """An app server as its DNS-SD records describe it."""

    priority: int
    address: tuple[str, int]
    classes: frozenset[str]  # the classes that it runs; empty: all


class Resolver:
    """Sends DNS queries and updates to one resolver over UDP."""

    def __init__(self, address: tuple[str, int], limits: Limits) -> None:
        self.address, self.limits = address, limits

    async def exchange(self, message: dns.message.Message) -> dns.message.Message:
        """Send a message and return the reply; a name that does not exist is no error.

        Raises:
            DNSException, OSError, ValueError: there is no valid reply, or it is an error.
        """
        reply = await self._exchange_with_retries(message)
        if reply.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            raise dns.exception.DNSException(dns.rcode.to_text(reply.rcode()))
        return reply

    async def _exchange_with_retries(self, message: dns.message.Message) -> dns.message.Message:
        """One exchange, retried after a local system error (no socket, for example): browsing for the app servers takes
        several exchanges, and all of them must succeed."""
        for _ in range(self.limits.max_dns_tries - 1):
            with contextlib.suppress(OSError):
                return await self._exchange_once(message)
            await anyio.sleep(self.limits.backoff_ms / 1000)
        return await self._exchange_once(message)

    async def _exchange_once(self, message: dns.message.Message) -> dns.message.Message:
        return await dns.asyncquery.udp(
            message, self.address[0], port=self.address[1], timeout=self.limits.dns_timeout_ms / 1000
        )

    async def find(self, name: dns.name.Name, kind: RdataType) -> list[Any]:
        """The records of one type of a name."""
        reply = await self.exchange(dns.message.make_query(name, kind))
        return [record for rrset in reply.answer if rrset.name == name and rrset.rdtype == kind for record in rrset]


class Browser:
    """Browses for the app servers that the resolver lists.

    The last servers are kept while the resolver does not reply, and for some further polls when it lists none without
    an error: a run on a server that no longer exists is refused there anyway."""

    def __init__(
        self, resolver: Resolver, service: str, domain: str, limits: Limits, counters: Counters, uniform: Uniform
    ) -> None:
        self.resolver, self.limits, self.counters, self.uniform = resolver, limits, counters, uniform
        self.service = dns.name.from_text(service, dns.name.from_text(domain))
        self.known = KnownServers[Server](limits.confirming_empty_browses)
        self.rotation = itertools.count()

    def servers(self, class_name: str) -> list[tuple[str, int]]:
        """Return the addresses for a run of this class, by priority, and in rotation among those of equal priority."""
        eligible = [server for server in self.known.servers if not server.classes or class_name in server.classes]
        offset = next(self.rotation) % len(eligible) if eligible else 0
        return [
            server.address
            for server in sorted(eligible[offset:] + eligible[:offset], key=lambda server: server.priority)
        ]

    async def run(self) -> None:
        """Poll the resolver until cancelled."""
        backoff = Backoff(self.limits.browse_retry_delay_ms, self.limits.browse_interval_ms, self.uniform)
        while True:
            try:
                if self.known.record_poll(await self._browse()):
                    self.counters.add("dns.empty")
            except DNS_ERRORS:
                self.counters.add("dns.failed")
            except Exception as error:  # any other error of the event loop fails this poll, not the node
                faults.record(self.counters, "dns", error)
            # Known servers are kept, so a resolver that fails is not polled more often. One that lists no servers is.
            if self.known.servers and not self.known.empty_unconfirmed:
                backoff.reset()
                wait_ms = self.limits.browse_interval_ms * self.uniform(0.95, 1.05)
            else:
                wait_ms = backoff.next_ms()
            await anyio.sleep(wait_ms / 1000)

    async def _browse(self) -> list[Server]:
        found = []
        for pointer in await self.resolver.find(self.service, PTR):
            instance = pointer.target
            texts = [
                text.decode("utf-8", "replace")
                for record in await self.resolver.find(instance, TXT)
                for text in record.strings
            ]
            classes = next((text[8:] for text in texts if text.lower().startswith("classes=")), "")
            for record in await self.resolver.find(instance, SRV):
                for kind in (A, AAAA):
                    for host in await self.resolver.find(record.target, kind):
                        if not ipaddress.ip_address(host.address).is_loopback:  # only servers on this machine are used
                            self.counters.add("dns.not_loopback")
                            continue
                        found.append(
                            Server(
                                record.priority,
                                (host.address, record.port),
                                frozenset(filter(None, classes.split(","))),
                            )
                        )
        return found


class Record:
    """This node's own DNS-SD record: published while it serves, withdrawn when it leaves."""

    def __init__(
        self,
        resolver: Resolver,
        service: str,
        domain: str,
        name: str,
        address: tuple[str, int],
        limits: Limits,
        counters: Counters,
        now_ms: Callable[[], float],
    ) -> None:
        self.resolver, self.limits, self.counters, self.now_ms = resolver, limits, counters, now_ms
        self.address = address
        self.zone = dns.name.from_text(domain)
        self.service = dns.name.from_text(service, self.zone)
        self.instance = dns.name.Name((name.encode(), *self.service.labels))
        self.host = dns.name.Name((name.encode(), *self.zone.labels))
        self.refresh_due_ms = 0.0
        self.withdrawn = False  # the last successful update withdrew the record

    async def report(self, serving: bool) -> bool:
        """Publish or withdraw the record if that is due. False if the update failed."""
        if (self.now_ms() < self.refresh_due_ms) if serving else self.withdrawn:
            return True
        try:
            await self.resolver.exchange(self._update(serving))
        except DNS_ERRORS:
            self.counters.add("dns.update_failed")
            return False
        except Exception as error:
            faults.record(self.counters, "dns", error)
            return False
        self.counters.add("dns.published" if serving else "dns.withdrawn")
        # A record is refreshed after half of its time to live, in milliseconds.
        self.refresh_due_ms = self.now_ms() + self.limits.record_ttl_s * 500.0 if serving else 0.0
        self.withdrawn = not serving
        return True

    def _update(self, serving: bool) -> dns.update.UpdateMessage:
        update, ttl = dns.update.UpdateMessage(self.zone), self.limits.record_ttl_s
        host, port = self.address
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
