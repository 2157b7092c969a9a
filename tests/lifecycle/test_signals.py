"""Signals at unfavourable moments of a process: they end it only by a drain, with the exit code of a drain."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time

import pytest
from standins import REQUEST_BYTES, ROOT, SETTINGS, platform_file, request_fields

from flintshift.core.limits import Limits
from flintshift.lab.ports import free_ports
from flintshift.lab.standins import Names, Pool, Vault
from flintshift.lifecycle.signal_queue import SignalQueue

pytestmark = pytest.mark.anyio
SIGNAL_INTERVAL_S = 0.0005
READY_TIMEOUT_S = Limits().ready_timeout_ms / 1000


async def start_node(config, program=("flintshift",), environment=None, **options):
    """Start a node as a process of its own, with its standard error in a pipe."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *program,
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config), **(environment or {})},
        stderr=asyncio.subprocess.PIPE,
        **options,
    )


@pytest.fixture
async def site(tmp_path):
    """Start stand-ins; returns a path for the configuration file, its text with their ports, and the stand-ins."""
    peers = Pool(keep_journal=True, auto_finish=False), Vault(keep_journal=True), Names(keep_journal=True)
    for peer in peers:
        await peer.start()
    text = platform_file(free_ports(1)[0], *peers, SETTINGS)
    yield tmp_path / "config.json", text, peers
    for peer in peers:
        await peer.stop()


@pytest.mark.parametrize("later_signals", [[], [signal.SIGHUP], [signal.SIGUSR1], [signal.SIGTERM]])
async def test_a_shutdown_notice_before_the_listener_is_bound_ends_the_start_gracefully(site, later_signals):
    config, text, (_, _, names) = site
    os.mkfifo(config)
    process = await start_node(config)
    # Opening returns when the node has opened the pipe for reading: the start has begun, and nothing is bound.
    pipe = await asyncio.to_thread(open, config, "w")
    for number in [signal.SIGTERM, *later_signals]:
        process.send_signal(number)
    pipe.write(text)
    pipe.close()
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and b"Traceback" not in errors
    assert json.loads(errors.splitlines()[-1])["node"] == "n3" and not names.log.entries


BLOCKED_IMPORT = """
import os, sys
with open(os.environ["GATE"]) as gate:
    gate.read()
sys.path.remove(os.path.dirname(__file__))
del sys.modules[__name__]
import {name}
"""


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP])
@pytest.mark.parametrize(
    ("program", "imported"),
    [(("flintshift",), "anyio"), (("flintshift.cli", "run"), "anyio"), (("flintshift.cli", "run"), "click")],
)
async def test_a_signal_during_the_imports_of_the_program_is_received_later(site, tmp_path, number, program, imported):
    config, text, (_, _, names) = site
    config.write_text(text)
    gate, folder = tmp_path / "gate", tmp_path / "before"
    os.mkfifo(gate)
    folder.mkdir()
    (folder / f"{imported}.py").write_text(BLOCKED_IMPORT.format(name=imported))
    process = await start_node(config, program, {"GATE": str(gate), "PYTHONPATH": str(folder)})
    opened = await asyncio.to_thread(open, gate, "w")  # returns when the import waits at the gate
    process.send_signal(number)
    opened.close()
    if number is not signal.SIGTERM:
        await names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"))
        process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and b"Traceback" not in errors, errors


async def test_a_reload_signal_before_the_listener_is_bound_is_handled_once_the_node_serves(site):
    config, text, (_, vault, names) = site
    os.mkfifo(config)
    process = await start_node(config)
    pipe = await asyncio.to_thread(open, config, "w")
    process.send_signal(signal.SIGHUP)
    new_file = config.with_suffix(".new")
    new_file.write_text(text.replace(str(vault.port), "1"))
    new_file.replace(config)
    pipe.write(text)
    pipe.close()
    await names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0
    assert json.loads(errors.splitlines()[-1])["counters"]["reload.taken"] == 1


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT])
async def test_endless_signals_after_the_shutdown_notice_do_not_change_the_exit(site, number):
    config, text, (pool, _, names) = site
    config.write_text(text)
    process = await start_node(config)
    await names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    address = json.loads(text)["listen"].split(":")
    reader, writer = await asyncio.open_connection(*address)
    fields = request_fields("race-results")
    writer.write(REQUEST_BYTES["http"]("race-results", b"", fields))
    await pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    process.send_signal(signal.SIGTERM)
    exited = asyncio.ensure_future(process.communicate())
    pool.finish(fields["X-Job-Id"])
    while not exited.done():  # during the drain, the end of the event loop and that of the interpreter
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)  # the process object would reap the process and lose its exit code
        await asyncio.sleep(SIGNAL_INTERVAL_S)
    _, errors = await exited
    assert process.returncode == 0, errors
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()


async def test_a_process_that_is_stopped_at_the_shutdown_notice_still_answers_what_was_read(site):
    config, text, (pool, _, names) = site
    config.write_text(text)
    process = await start_node(config)
    await names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    reader, writer = await asyncio.open_connection(*json.loads(text)["listen"].split(":"))
    fields = request_fields("race-results")
    writer.write(REQUEST_BYTES["http"]("race-results", b"", fields))
    await pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    process.send_signal(signal.SIGSTOP)
    process.send_signal(signal.SIGTERM)
    pool.finish(fields["X-Job-Id"])
    began = time.monotonic()
    process.send_signal(signal.SIGCONT)
    assert (await asyncio.wait_for(reader.readline(), 5)).startswith(b"HTTP/1.1 200")
    await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and time.monotonic() - began < 3.0
    writer.close()


async def test_an_address_that_no_interface_has_is_reported_at_once_with_advice(site):
    config, text, _ = site
    document = json.loads(text)
    document["listen"] = "192.0.2.1:8080"  # reserved for documentation: no machine has it
    config.write_text(json.dumps(document))
    advice = b"192.0.2.1:8080; no interface of this machine has that address: change `listen`"
    process = await start_node(config)
    assert advice in await asyncio.wait_for(process.stderr.readline(), 10)
    _, errors = await asyncio.wait_for(process.communicate(), READY_TIMEOUT_S + 5)  # an interface may come up late
    assert process.returncode == 1 and b"Traceback" not in errors
    assert b"cannot start" in errors and advice in errors


@pytest.mark.parametrize("event", ["freed", "never freed", "shutdown notice"])
async def test_an_address_in_use_is_retried_and_then_reported_and_a_shutdown_notice_ends_the_wait(site, event):
    config, text, (_, _, names) = site
    config.write_text(text)
    host, port = json.loads(text)["listen"].split(":")
    with socket.create_server((host, int(port))):
        process = await start_node(config)
        errors = asyncio.ensure_future(process.communicate())
        await asyncio.sleep(1.0)  # the start is retried, and the first failure does not end it
        assert process.returncode is None and not names.log.entries
        if event == "shutdown notice":
            began = time.monotonic()
            process.terminate()
            await asyncio.wait_for(asyncio.shield(errors), 5)
            assert process.returncode == 0 and time.monotonic() - began < 1.0
        elif event == "never freed":
            _, stderr = await asyncio.wait_for(errors, READY_TIMEOUT_S + 5)
            assert process.returncode == 1 and f"{host}:{port}".encode() in stderr and b"Traceback" not in stderr
    if event == "freed":
        await names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"))
        process.terminate()
        await asyncio.wait_for(errors, 10)
        assert process.returncode == 0


async def test_the_shutdown_notice_is_taken_before_all_signals_that_arrived_first():
    """It takes one turn of the event loop, however many other signals are pending.

    A busy node's turns are long, and the kill is near."""
    queue = SignalQueue()
    with queue.receiving():
        for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            os.kill(os.getpid(), number)
        while len(queue.pending) < 3:
            await asyncio.sleep(0)
        taken, later_turns = [], []
        asyncio.get_running_loop().call_soon(later_turns.append, 1)
        while queue.pending:
            taken.append(await queue.take())
        assert taken[0] is signal.SIGTERM and set(taken[1:]) == {signal.SIGHUP, signal.SIGUSR1} and len(taken) == 3
        assert not later_turns
        waiting = asyncio.create_task(queue.take())
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGUSR1)
        assert await asyncio.wait_for(waiting, 5) is signal.SIGUSR1


async def test_the_age_of_the_shutdown_notice_counts_from_its_arrival_however_late_it_is_taken():
    queue = SignalQueue()
    with queue.receiving():
        assert queue.shutdown_notice_age_ms() == 0.0
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.2)  # blocks the event loop
        os.kill(os.getpid(), signal.SIGTERM)
        assert await queue.take() is signal.SIGTERM
        assert 200.0 <= queue.shutdown_notice_age_ms() < 400.0  # since the first notice: the kill follows that one
