"""Upgrades under load: two real processes with one address and one table of keys."""

from __future__ import annotations

import asyncio
import signal
import socket
import time

import pytest
from handover.upgrade_harness import UpgradeHarness, ask, submit
from standins import REQUEST_BYTES

from benchmarks.upgrade import measure_upgrades
from flintshift.wire.handover import handover_socket_path

pytestmark = pytest.mark.anyio


@pytest.fixture
async def harness(tmp_path):
    async with UpgradeHarness(tmp_path) as harness:
        yield harness


def allow_slow_start(harness):
    """Extend the deadlines, so that open requests outlast the start of a process on a busy machine too."""
    for request_class in harness.settings["classes"]:
        request_class["deadlineMs"] = 8000.0


async def test_the_successor_accepts_the_clients_and_the_predecessor_ends_without_cutting_off_any(harness):
    allow_slow_start(harness)
    # 500 ms of the grace period allow for a signal that is handled late. With the 300 ms of other tests, no request
    # would be run after the signal.
    harness.settings["rules"] = {**harness.settings["rules"], "drainGraceMs": 1500.0}
    predecessor = await harness.start()
    idle = [await harness.connect() for _ in range(3)]
    predecessor.pool.plan = {}
    busy = await harness.connect()
    rid = submit(busy, "k1")
    await predecessor.pool.log.wait_for(lambda entry: entry["t"] == "spawn")
    successor = await harness.start()
    assert (await predecessor.call())[1] == "another process of this node takes the clients"
    new_connection = await harness.connect()
    assert (await ask(new_connection, "k2")).status == 200 and len(successor.pool.spawn_commands()) == 1
    predecessor.pool.plan = {"submit-time": 0}
    reply = await ask(idle[0], "k3")  # the predecessor answers on its open connections, and closes them
    assert (
        reply.status == 200 and reply.headers["connection"] == "close" and len(predecessor.pool.spawn_commands()) == 2
    )
    predecessor.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.1)  # the signal is handled
    assert (await ask(idle[1], "k4")).status == 200
    predecessor.pool.finish(rid)
    assert (await busy.reply()).status == 200
    for caller in idle:
        caller.writer.close()
    assert await predecessor.wait_exit() == 0 and successor.process.returncode is None
    assert ("/ns/hosts/n3", "no") not in harness.names.log.entries  # the node was never withdrawn
    again = await harness.connect()
    assert (await ask(again, "k5")).status == 200


async def test_a_write_runs_once_whichever_process_its_tries_reach(harness):
    allow_slow_start(harness)
    predecessor = await harness.start()
    idle = [await harness.connect() for _ in range(6)]
    first = await harness.connect()
    result = (await ask(first, "done-before")).body
    predecessor.pool.plan = {}
    running = await harness.connect()
    rid = submit(running, "runs-at-the-predecessor")
    await predecessor.pool.log.wait_for(lambda entry: entry["rid"] == rid if "rid" in entry else False)
    successor = await harness.start()
    new_connections = [await harness.connect() for _ in range(6)]
    assert (await ask(new_connections[0], "done-before", **{"X-Again": "1"})).body == result
    submit(new_connections[1], "runs-at-the-predecessor", **{"X-Again": "1"})  # it waits for that run
    await successor.until("repeats", 2)
    predecessor.pool.finish(rid)
    assert (await new_connections[1].reply()).body == (await running.reply()).body == f"result of {rid}\n".encode()
    successor.pool.plan = {}
    rid = submit(new_connections[2], "runs-at-the-successor")
    await successor.pool.log.wait_for(lambda entry: entry.get("rid") == rid)
    submit(idle[0], "runs-at-the-successor", **{"X-Again": "1"})
    await predecessor.until("repeats")
    successor.pool.finish(rid)
    assert (await new_connections[2].reply()).body == (await idle[0].reply()).body == f"result of {rid}\n".encode()
    predecessor.pool.plan = successor.pool.plan = {"submit-time": 0}
    # Both callers send in the same millisecond.
    for number, (old_caller, new_caller) in enumerate(zip(idle[1:], new_connections[3:], strict=False)):
        submit(old_caller, f"both-{number}")
        submit(new_caller, f"both-{number}", **{"X-Again": "1"})
        replies = [await old_caller.reply(), await new_caller.reply()]
        assert [reply.status for reply in replies] == [200, 200] and replies[0].body == replies[1].body
    assert (await ask(idle[4], "runs-at-the-successor", body=b"another")).status == 409
    assert len(harness.runs()) == len(set(harness.runs())) == 6


@pytest.mark.parametrize("finished", [True, False])
async def test_the_runs_of_the_predecessor_are_known_after_it_is_killed(harness, finished):
    predecessor = await harness.start()
    idle = await harness.connect()
    successor = await harness.start()
    predecessor.pool.plan = {"submit-time": 0} if finished else {}
    rid = submit(idle, "k1")
    if finished:
        body = (await idle.reply()).body
    else:
        await predecessor.pool.log.wait_for(lambda entry: entry.get("rid") == rid)
    predecessor.kill()
    await predecessor.wait_exit()
    new_connection = await harness.connect()
    reply = await ask(new_connection, "k1", **{"X-Again": "1"})
    assert (reply.status, reply.body) == ((200, body) if finished else (500, b""))  # never run again, never rejected
    assert (await ask(new_connection, "k2")).status == 200
    assert harness.runs().count(rid) == 1 and len(successor.pool.spawn_commands()) == 1


@pytest.mark.parametrize("terminated", [False, True])
@pytest.mark.parametrize("ready", [True, False])
async def test_the_predecessor_serves_on_when_the_successor_is_killed_or_terminated(harness, ready, terminated):
    predecessor = await harness.start()
    idle = await harness.connect()
    successor = await harness.start(ready=ready)
    if ready:
        successor.pool.plan = {}
        new_connection = await harness.connect()
        rid = submit(new_connection, "k1")
        await successor.pool.log.wait_for(lambda entry: entry.get("rid") == rid)
    else:
        await successor.pool.stop()
        await predecessor.until("upgrade.giving")
    if terminated:
        assert await successor.terminate() == 0
    else:
        successor.kill()
        await successor.wait_exit()
    await predecessor.until_ready()
    if ready:
        submit(idle, "k1", **{"X-Again": "1"})
        assert (await idle.reply()).status == 500
    for number in range(3):
        caller = await harness.connect()
        submit(caller, f"then-{number}")
        assert (await caller.reply()).status == 200
    assert len(predecessor.pool.spawn_commands()) == 3
    await harness.names.log.wait_for(lambda entry: entry == ("/ns/hosts/n3", "yes"), 2)
    third = await harness.start()  # it can be replaced again
    assert await predecessor.terminate() == 0
    caller = await harness.connect()
    assert (await ask(caller, "then-0", **{"X-Again": "1"})).status == 200 and not third.pool.spawn_commands()


async def test_connections_in_the_backlog_at_the_handover_are_served(harness):
    predecessor = await harness.start()
    predecessor.process.send_signal(signal.SIGSTOP)  # it accepts nothing
    waiting = [await harness.connect(send_ping=False) for _ in range(50)]
    for number, caller in enumerate(waiting):
        submit(caller, f"k{number}")
    starting = asyncio.ensure_future(harness.start())
    await asyncio.sleep(0.3)
    predecessor.process.send_signal(signal.SIGCONT)
    successor = await starting
    # All are answered; those rejected because of overload at once.
    statuses = [(await caller.reply()).status for caller in waiting]
    assert (
        set(statuses) <= {200, 429}
        and len(harness.runs()) == statuses.count(200) > 10
        and successor.process.returncode is None
    )


async def test_an_attempt_whose_claim_is_not_answered_fails_and_neither_runs_nor_is_rejected(harness):
    predecessor = await harness.start()
    successor = await harness.start()
    new_connection = await harness.connect()
    predecessor.process.send_signal(signal.SIGSTOP)
    reply = await ask(new_connection, "k1")
    assert reply.status == 500 and not harness.runs()
    predecessor.process.send_signal(signal.SIGCONT)
    for _ in range(50):  # the late answer frees the key
        submit(new_connection, "k1", **{"X-Again": "1"})
        if (await new_connection.reply()).status == 200:
            break
    assert len(harness.runs()) == 1
    assert (await successor.counters())["claims.unanswered"] >= 1


async def test_a_stale_socket_path_does_not_prevent_a_start_and_a_silent_process_does(harness, tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    path = handover_socket_path("n3", ("127.0.0.1", harness.port))
    stale = socket.socket(socket.AF_UNIX)
    stale.bind(str(path))
    stale.close()
    first = await harness.start()
    assert await first.terminate() == 0
    silent = socket.socket(socket.AF_UNIX)
    path.unlink(missing_ok=True)
    silent.bind(str(path))
    silent.listen()
    second = await harness.start(ready=False)
    assert await second.wait_exit() == 1
    assert b"it lives, so its address can't be shared" in await second.process.stderr.read()
    silent.close()


async def test_an_unusable_folder_prevents_upgrades_but_not_the_service(harness):
    process = await harness.start(tmpdir="/proc")
    caller = await harness.connect()
    assert (await ask(caller, "k1")).status == 200
    assert b"no successor can take over: /proc/flintshift-" in await process.process.stderr.readline()
    assert (await process.counters())["upgrade.no_path"] == 1


async def test_a_predecessor_that_drains_before_its_successor_is_up_hands_over_to_it(harness):
    predecessor = await harness.start()
    caller = await harness.connect()
    result = (await ask(caller, "k1")).body
    successor = await harness.start(ready=False)
    await successor.pool.stop()
    await predecessor.until("upgrade.giving")
    assert await predecessor.terminate() == 0
    waiting = await harness.connect(send_ping=False)  # in the backlog of the socket that both processes had open
    submit(waiting, "k2")
    await successor.pool.start()
    assert (await waiting.reply()).status == 200
    # The predecessor sent all entries before it ended.
    assert (await ask(waiting, "k1", **{"X-Again": "1"})).body == result
    assert len(predecessor.pool.spawn_commands()) == len(successor.pool.spawn_commands()) == 1


async def test_a_node_out_of_service_stays_so_after_an_upgrade(harness):
    predecessor = await harness.start()
    assert (await predecessor.call("POST", "/control/out-of-service"))[0] == 200
    successor = await harness.start(ready=False)
    await successor.pool.log.wait_for(lambda entry: entry["t"] == "bind")
    async with asyncio.timeout(10):
        while (await successor.call())[1] != "the node is out of service":
            await asyncio.sleep(0.01)
    caller = await harness.connect(send_ping=False)
    caller.send(REQUEST_BYTES["http"]("", b"", {}, method="GET", path="/ping"))
    assert (await caller.reply()).status == 503
    # The call at the predecessor's control address is passed on.
    assert (await predecessor.call("POST", "/control/in-service"))[0] == 200
    await successor.until_ready()


async def test_twenty_upgrades_in_a_row_on_both_fronts_lose_no_connection_and_run_nothing_twice():
    result = await measure_upgrades(20, 12, uwsgi=True, steady_s=0.0)
    assert result["upgrades"] == 20 and result["lost_at_the_door"] == result["failed"] == result["second_runs"] == 0
    assert result["served"] > 400 and result["writes_served"] == result["results_of_writes"] <= result["writes_run"]


STEPS = ["the successor copies keys", "the successor accepts clients", "the predecessor received SIGTERM"]


@pytest.mark.parametrize("signals", [(signal.SIGHUP,), (signal.SIGUSR1, signal.SIGHUP, signal.SIGHUP)])
@pytest.mark.parametrize("step", STEPS)
async def test_signals_to_both_processes_at_each_step_do_not_affect_an_open_write_and_its_repeats(
    harness, step, signals
):
    for request_class in harness.settings["classes"]:
        request_class["deadlineMs"] = 20_000.0  # the write must outlast the start of a process, however long that takes
    predecessor = await harness.start()
    idle = await harness.connect()
    predecessor.pool.plan = {}
    rid = submit(idle, "k1")
    await predecessor.pool.log.wait_for(lambda entry: entry.get("rid") == rid)
    successor = await harness.start(ready=step != STEPS[0])
    if step == STEPS[0]:
        await successor.pool.stop()
        await predecessor.until("upgrade.giving")
    if step == STEPS[2]:
        predecessor.process.send_signal(signal.SIGTERM)
    for number in signals:
        for process in (predecessor, successor):
            process.process.send_signal(number)
    if step == STEPS[0]:
        await successor.pool.start()
        await successor.until_ready()
    predecessor.pool.finish(rid)
    reply = await idle.reply()
    assert reply.status == 200
    again = await ask(await harness.connect(), "k1", **{"X-Again": "1"})
    assert (again.status, again.body) == (200, reply.body)
    idle.writer.close()
    assert (await predecessor.terminate() if step != STEPS[2] else await predecessor.wait_exit()) == 0
    # The result is known after the predecessor has ended too.
    assert (await ask(await harness.connect(), "k1", **{"X-Again": "1"})).body == reply.body
    assert await successor.terminate() == 0 and harness.runs().count(rid) == 1 and len(harness.runs()) == 1


async def accept_times_s(harness, until_s):
    """Open a connection now and then, and return how long each took until it was answered, and the statuses."""
    times_s, statuses = [], set()
    while time.monotonic() < until_s:
        began_s = time.monotonic()
        caller = await harness.connect(send_ping=False)
        submit(caller, None, class_name="race-results")
        statuses.add((await caller.reply()).status)
        times_s.append(time.monotonic() - began_s)
        caller.writer.close()
        await asyncio.sleep(0.02)
    return times_s, statuses


async def test_while_the_successor_leaves_the_predecessor_accepts_the_clients_again(harness):
    """Guards against a roll back in which nobody accepts new connections until the new process has ended."""
    predecessor = await harness.start()
    held = await harness.connect()  # keeps the predecessor
    predecessor.pool.plan["race-results"] = 0
    successor = await harness.start()
    successor.pool.plan = {"race-results": 0}  # a write does not end by itself
    open_write = await harness.connect()
    rid = submit(open_write, "k1")
    await successor.pool.log.wait_for(lambda entry: entry.get("rid") == rid)
    successor.process.send_signal(signal.SIGTERM)
    times_s, statuses = await accept_times_s(harness, time.monotonic() + 1.0)
    assert successor.process.returncode is None  # it still waits for the write
    assert max(times_s) < 0.3 and statuses == {200}
    successor.pool.finish(rid)
    result = await open_write.reply()
    assert result.status == 200 and await successor.wait_exit() == 0
    again = await harness.ask("k1", **{"X-Again": "1"})
    assert (again.status, again.body) == (200, result.body)
    assert (await predecessor.call())[0] == 200
    held.writer.close()
    assert await predecessor.terminate() == 0 and harness.runs().count(rid) == 1


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
async def test_both_processes_end_while_the_successor_leaves_and_an_open_write_is_answered_once(harness, end):
    predecessor = await harness.start()
    held = await harness.connect()
    successor = await harness.start()
    successor.pool.plan = {}
    open_write = await harness.connect()
    rid = submit(open_write, "k1")
    await successor.pool.log.wait_for(lambda entry: entry.get("rid") == rid)
    successor.process.send_signal(signal.SIGTERM)
    await predecessor.until("upgrade.resumed")
    predecessor.process.send_signal(end)
    successor.pool.finish(rid)
    assert (await open_write.reply()).status == 200
    assert await successor.wait_exit() == 0
    held.writer.close()
    await predecessor.wait_exit()
    assert harness.runs().count(rid) == 1
