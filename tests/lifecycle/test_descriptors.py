"""Idle clients fill the descriptors while the name service is down: who has work is served, and nothing spins."""

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
from test_signals import site, started  # noqa: F401

from flintshift.core.limits import Limits
from flintshift.lifecycle.config import config_from_document, load, load_operators
from flintshift.lifecycle.node import Node
from flintshift.settings.embedded import configuration

pytestmark = pytest.mark.anyio
DESCRIPTORS = 96
REFUSED = (429, 503)
RESERVED = 6  # epoll, its wake-up pair, standard streams


def test_the_parts_of_the_descriptors_leave_some_for_all_else():
    for sockets in (96, 128, 384, 512, 1024):
        limits = Limits(sockets=sockets)
        below = limits.vault_connections + limits.control_connections
        alone = limits.http_connections * 9 // 8 + below
        second = limits.uwsgi_connections * 9 // 8 + limits.app_connections
        beside = limits.http_connections_beside_uwsgi * 9 // 8 + second + below
        assert max(alone, beside) + RESERVED <= sockets


def test_the_lower_of_the_told_and_the_systems_limit_is_kept_to(tmp_path, monkeypatch):
    path = tmp_path / "config.json"
    told = configuration()
    path.write_text(json.dumps(told))
    for soft, sockets in ((DESCRIPTORS, DESCRIPTORS), (4096, 1024), (resource.RLIM_INFINITY, 1024)):
        monkeypatch.setattr(resource, "getrlimit", lambda _, soft=soft: (soft, soft))
        assert load({"LB_CONFIG": str(path)}).limits.sockets == sockets


@pytest.mark.parametrize("uwsgi", [True, False])
def test_the_http_front_leaves_descriptors_to_the_uwsgi_front_where_that_is_on(tmp_path, uwsgi):
    path = tmp_path / "flintshift.yaml"
    path.write_text(f"uwsgi:\n  enabled: {str(uwsgi).lower()}\n")

    async def most() -> int:
        config = config_from_document(configuration(), "FILE", load_operators(path))
        return Node(config, lambda: config).fronts[0][0].max_connections

    limits = Limits()
    assert anyio.run(most) == (limits.http_connections_beside_uwsgi if uwsgi else limits.http_connections)


def busy_s(process) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


@pytest.mark.parametrize("told", [DESCRIPTORS, 1024], ids=["told", "the system's limit alone"])
async def test_idle_clients_fill_the_descriptors_and_the_node_still_reaches_its_peers_and_takes_work(site, told):  # noqa: F811
    config, text, (pool, vault, names) = site
    config.write_text(text.replace('"sockets": 1024', f'"sockets": {told}'))
    pool.plan = {"race-results": ("blocked", {"b64": ""})}
    few = DESCRIPTORS, DESCRIPTORS
    process = await started(config, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, few))
    await names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    await names.stop()
    host, port = json.loads(text)["listen"].split(":")
    idle = []
    for _ in range(3 * DESCRIPTORS):
        raw = socket.socket()
        raw.setblocking(False)
        raw.connect_ex((host, int(port)))
        idle.append(raw)
    await asyncio.sleep(1.0)  # they stay and say nothing
    before, since = busy_s(process), time.monotonic()
    pool.cut()  # a link that has to be opened anew among them
    await pool.log.until(lambda entry: entry["t"] == "bind", 2)
    for _ in range(5):  # who has work is let in, and its call reaches the vault
        status = await asked(host, port)
        assert status == 200
    assert vault.log.entries
    assert (busy_s(process) - before) / (time.monotonic() - since) < 0.7
    await names.start()
    count = len(names.log.entries)
    await names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"), count)
    assert process.returncode is None
    process.terminate()
    for raw in idle:
        raw.close()
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and b"Traceback" not in errors


async def asked(host, port):
    """The answer to a request, on as many new connections as it takes: a full table turns newcomers away, by an answer
    that refuses, and never by a reset."""
    for _ in range(40):
        caller = Caller(*await asyncio.open_connection(host, port))
        caller.send(REQUEST_BYTES["http"]("race-results", b"", request_fields("race-results")))
        status = (await caller.reply()).status
        caller.writer.close()
        if status not in REFUSED:
            return status
        await asyncio.sleep(0.05)
    return None
