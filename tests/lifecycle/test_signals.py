"""Signals at each bad instant of a process: none ends it but by a drain, and its exit code is that of one."""

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
from flintshift.lab.peers import Names, Pool, Vault
from flintshift.lab.ports import free_ports
from flintshift.lifecycle.signal_queue import SignalQueue

pytestmark = pytest.mark.anyio
STORM_S = 0.0005
READY_S = Limits().ready_timeout_ms / 1000


async def started(config, program=("flintshift",), environment=None, **more):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *program,
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config), **(environment or {})},
        stderr=asyncio.subprocess.PIPE,
        **more,
    )


@pytest.fixture
async def site(tmp_path):
    """Stand-ins, and a configuration file that names them and a free port to listen at."""
    peers = Pool(tells=True, ends=False), Vault(tells=True), Names(tells=True)
    for peer in peers:
        await peer.start()
    text = platform_file(free_ports(1)[0], *peers, SETTINGS)
    yield tmp_path / "config.json", text, peers
    for peer in peers:
        await peer.stop()


@pytest.mark.parametrize("more", [[], [signal.SIGHUP], [signal.SIGUSR1], [signal.SIGTERM]])
async def test_a_notice_to_leave_that_comes_before_the_listener_is_bound_ends_the_start_in_good_order(site, more):
    config, text, (_, _, names) = site
    os.mkfifo(config)
    process = await started(config)
    # Opening returns once the node has opened it to read: it has begun, and nothing is bound.
    pipe = await asyncio.to_thread(open, config, "w")
    for number in [signal.SIGTERM, *more]:
        process.send_signal(number)
    pipe.write(text)
    pipe.close()
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and b"Traceback" not in errors
    assert json.loads(errors.splitlines()[-1])["node"] == "n3" and not names.log.entries


HELD_IMPORT = """
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
async def test_a_signal_that_comes_while_the_program_is_imported_is_held(site, tmp_path, number, program, imported):
    config, text, (_, _, names) = site
    config.write_text(text)
    gate, folder = tmp_path / "gate", tmp_path / "before"
    os.mkfifo(gate)
    folder.mkdir()
    (folder / f"{imported}.py").write_text(HELD_IMPORT.format(name=imported))
    process = await started(config, program, {"GATE": str(gate), "PYTHONPATH": str(folder)})
    opened = await asyncio.to_thread(open, gate, "w")  # returns once the import stands at the gate
    process.send_signal(number)
    opened.close()
    if number is not signal.SIGTERM:
        await names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"))
        process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and b"Traceback" not in errors, errors


async def test_a_new_configuration_told_before_the_listener_is_bound_is_read_once_it_serves(site):
    config, text, (_, vault, names) = site
    os.mkfifo(config)
    process = await started(config)
    pipe = await asyncio.to_thread(open, config, "w")
    process.send_signal(signal.SIGHUP)
    whole = config.with_suffix(".new")
    whole.write_text(text.replace(str(vault.port), "1"))
    whole.replace(config)
    pipe.write(text)
    pipe.close()
    await names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0
    assert json.loads(errors.splitlines()[-1])["counters"]["reload.taken"] == 1


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT])
async def test_signals_without_end_from_the_notice_to_leave_on_change_nothing_of_the_exit(site, number):
    config, text, (pool, _, names) = site
    config.write_text(text)
    process = await started(config)
    await names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    at = json.loads(text)["listen"].split(":")
    reader, writer = await asyncio.open_connection(*at)
    fields = request_fields("race-results")
    writer.write(REQUEST_BYTES["http"]("race-results", b"", fields))
    await pool.log.until(lambda entry: entry["t"] == "spawn")
    process.send_signal(signal.SIGTERM)
    ended = asyncio.ensure_future(process.communicate())
    pool.finish(fields["X-Job-Id"])
    while not ended.done():  # through the drain, the end of the loop and the interpreter's
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)  # not by the process object, which would reap it and lose its exit code
        await asyncio.sleep(STORM_S)
    _, errors = await ended
    assert process.returncode == 0, errors
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()


async def test_a_pause_of_the_whole_process_over_the_notice_still_answers_what_was_read(site):
    config, text, (pool, _, names) = site
    config.write_text(text)
    process = await started(config)
    await names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"))
    reader, writer = await asyncio.open_connection(*json.loads(text)["listen"].split(":"))
    fields = request_fields("race-results")
    writer.write(REQUEST_BYTES["http"]("race-results", b"", fields))
    await pool.log.until(lambda entry: entry["t"] == "spawn")
    process.send_signal(signal.SIGSTOP)
    process.send_signal(signal.SIGTERM)
    pool.finish(fields["X-Job-Id"])
    began = time.monotonic()
    process.send_signal(signal.SIGCONT)
    assert (await asyncio.wait_for(reader.readline(), 5)).startswith(b"HTTP/1.1 200")
    await asyncio.wait_for(process.communicate(), 10)
    assert process.returncode == 0 and time.monotonic() - began < 3.0
    writer.close()


async def test_an_address_that_no_interface_has_is_named_at_once_with_what_to_do(site):
    config, text, _ = site
    told = json.loads(text)
    told["listen"] = "192.0.2.1:8080"  # for documentation alone: no machine has it
    config.write_text(json.dumps(told))
    advice = b"192.0.2.1:8080; no interface of this machine has that address: change `listen`"
    process = await started(config)
    assert advice in await asyncio.wait_for(process.stderr.readline(), 10)
    _, errors = await asyncio.wait_for(process.communicate(), READY_S + 5)  # an interface may come up late
    assert process.returncode == 1 and b"Traceback" not in errors
    assert b"cannot start" in errors and advice in errors


@pytest.mark.parametrize("told", ["freed", "never freed", "told to leave"])
async def test_an_address_in_use_is_waited_for_and_then_named_and_a_notice_to_leave_ends_the_wait(site, told):
    config, text, (_, _, names) = site
    config.write_text(text)
    host, port = json.loads(text)["listen"].split(":")
    with socket.create_server((host, int(port))):
        process = await started(config)
        errors = asyncio.ensure_future(process.communicate())
        await asyncio.sleep(1.0)  # it tries, and is not ended by the first refusal
        assert process.returncode is None and not names.log.entries
        if told == "told to leave":
            began = time.monotonic()
            process.terminate()
            await asyncio.wait_for(asyncio.shield(errors), 5)
            assert process.returncode == 0 and time.monotonic() - began < 1.0
        elif told == "never freed":
            _, said = await asyncio.wait_for(errors, READY_S + 5)
            assert process.returncode == 1 and f"{host}:{port}".encode() in said and b"Traceback" not in said
    if told == "freed":
        await names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"))
        process.terminate()
        await asyncio.wait_for(errors, 10)
        assert process.returncode == 0


async def test_the_notice_to_leave_is_taken_before_all_signals_that_came_first():
    """In one turn of the event loop, however many others wait: a busy node's turns are long, and the kill is near."""
    queue = SignalQueue()
    with queue.receiving():
        for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            os.kill(os.getpid(), number)
        while len(queue.pending) < 3:
            await asyncio.sleep(0)
        taken, turns = [], []
        asyncio.get_running_loop().call_soon(turns.append, 1)
        while queue.pending:
            taken.append(await queue.take())
        assert taken[0] is signal.SIGTERM and set(taken[1:]) == {signal.SIGHUP, signal.SIGUSR1} and len(taken) == 3
        assert not turns
        waiting = asyncio.create_task(queue.take())
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGUSR1)
        assert await asyncio.wait_for(waiting, 5) is signal.SIGUSR1


async def test_the_notice_to_leave_is_dated_at_its_arrival_however_late_the_loop_takes_it():
    queue = SignalQueue()
    with queue.receiving():
        assert queue.shutdown_notice_age_ms() == 0.0
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.2)  # the event loop is held
        os.kill(os.getpid(), signal.SIGTERM)
        assert await queue.take() is signal.SIGTERM
        assert 200.0 <= queue.shutdown_notice_age_ms() < 400.0  # of the first: the kill follows that one
