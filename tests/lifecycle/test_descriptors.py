"""Idle clients use up the descriptors while the name service is down: callers with requests are served, and no task
busy-waits."""

from __future__ import annotations

import asyncio
import json
import resource
import socket
import time
from pathlib import Path

import anyio
import pytest
from standins import REQUEST_BYTES, Caller, request_fields
from test_signals import site, start_node  # noqa: F401

from flintshift.core.limits import Limits
from flintshift.lifecycle.config import config_from_document, load, load_operators
from flintshift.lifecycle.node import Node
from flintshift.settings.embedded import configuration

pytestmark = pytest.mark.anyio
DESCRIPTORS = 96  # the system's limit for the node under test
REFUSED_STATUSES = (429, 503)
RESERVED_DESCRIPTORS = 6  # epoll, its wake-up pair, standard streams


def test_the_connection_limits_leave_the_reserved_descriptors_free():
    for sockets in (96, 128, 384, 512, 1024):
        limits = Limits(sockets=sockets)
        outgoing = limits.vault_connections + limits.control_connections
        http_alone = limits.http_connections * 9 // 8 + outgoing
        uwsgi = limits.uwsgi_connections * 9 // 8 + limits.app_connections
        http_and_uwsgi = limits.http_connections_beside_uwsgi * 9 // 8 + uwsgi + outgoing
        assert max(http_alone, http_and_uwsgi) + RESERVED_DESCRIPTORS <= sockets


def test_the_lower_of_the_configured_and_the_system_limit_applies(tmp_path, monkeypatch):
    path = tmp_path / "config.json"
    document = configuration()
    path.write_text(json.dumps(document))
    for soft, sockets in ((DESCRIPTORS, DESCRIPTORS), (4096, 1024), (resource.RLIM_INFINITY, 1024)):
        monkeypatch.setattr(resource, "getrlimit", lambda _, soft=soft: (soft, soft))
        assert load({"LB_CONFIG": str(path)}).limits.sockets == sockets


@pytest.mark.parametrize("uwsgi", [True, False])
def test_the_http_front_leaves_descriptors_to_the_uwsgi_front_where_that_is_on(tmp_path, uwsgi):
    path = tmp_path / "flintshift.yaml"
    path.write_text(f"uwsgi:\n  enabled: {str(uwsgi).lower()}\n")

    async def max_connections() -> int:
        config = config_from_document(configuration(), "FILE", load_operators(path))
        return Node(config, lambda: config).fronts[0][0].max_connections

    limits = Limits()
    assert anyio.run(max_connections) == (limits.http_connections_beside_uwsgi if uwsgi else limits.http_connections)


def processor_time_s(process) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


@pytest.mark.parametrize("sockets", [DESCRIPTORS, 1024], ids=["configured limit", "system limit only"])
async def test_a_node_whose_descriptors_idle_clients_use_up_still_serves_requests(site, sockets):  # noqa: F811
    config, text, (pool, vault, names) = site
    config.write_text(text.replace('"sockets": 1024', f'"sockets": {sockets}'))
    pool.plan = {"race-results": ("blocked", {"b64": ""})}
    descriptor_limits = DESCRIPTORS, DESCRIPTORS
    process = await start_node(config, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, descriptor_limits))
    await names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    await names.stop()
    host, port = json.loads(text)["listen"].split(":")
    idle = []
    for _ in range(3 * DESCRIPTORS):
        raw = socket.socket()
        raw.setblocking(False)
        raw.connect_ex((host, int(port)))
        idle.append(raw)
    await asyncio.sleep(1.0)  # they stay connected and send nothing
    before, since = processor_time_s(process), time.monotonic()
    pool.abort_links()  # the link must be opened again while they use the descriptors
    await pool.log.wait_for(lambda entry: entry["t"] == "bind", 2)
    for _ in range(5):  # callers with requests are accepted, and their calls reach the vault
        status = await request_until_accepted(host, port)
        assert status == 200
    assert vault.log.entries
    assert (processor_time_s(process) - before) / (time.monotonic() - since) < 0.7
    await names.start()
    count = len(names.log.entries)
    await names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"), count)
    assert process.returncode is None
    process.terminate()
    for raw in idle:
        raw.close()
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and b"Traceback" not in errors


async def request_until_accepted(host, port):
    """Send a request on new connections until it is not refused; return the status.

    A full connection table rejects new connections by an answer, never by a reset."""
    for _ in range(40):
        caller = Caller(*await asyncio.open_connection(host, port))
        caller.send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
        status = (await caller.reply()).status
        caller.writer.close()
        if status not in REFUSED_STATUSES:
            return status
        await asyncio.sleep(0.05)
    return None
