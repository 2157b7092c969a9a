"""A new version under load: two real processes, one address, one table of keys."""

from __future__ import annotations

import asyncio
import signal
import socket

import pytest
from handover.site import Site, ask, submit
from standins import BYTES

from benchmarks.upgrade import measure
from flintshift.wire.handover import handover_socket_path

pytestmark = pytest.mark.anyio


@pytest.fixture
async def site(tmp_path):
    async with Site(tmp_path) as site:
        yield site


def patient(site):
    """What is open while a process starts has time for that, on a machine that is busy too."""
    for kind in site.settings["classes"]:
        kind["deadlineMs"] = 8000.0


async def test_the_successor_takes_the_clients_and_the_older_leaves_with_nothing_cut(site):
    patient(site)
    # 500 ms of the grace go for a notice that is heard late: with the 300 of other tests nothing is run after it.
    site.settings["rules"] = {**site.settings["rules"], "drainGraceMs": 1500.0}
    old = await site.start()
    rested = [await site.connect() for _ in range(3)]
    old.pool.plan = {}
    open_ = await site.connect()
    rid = submit(open_, "k1")
    await old.pool.log.until(lambda entry: entry["t"] == "spawn")
    new = await site.start()
    assert (await old.call())[1] == "another process of this node takes the clients"
    fresh = await site.connect()
    assert (await ask(fresh, "k2")).status == 200 and len(new.pool.spawns()) == 1
    old.pool.plan = {"submit-time": 0}
    reply = await ask(rested[0], "k3")  # what is open with the older is answered by it, and told to come to the new one
    assert reply.status == 200 and reply.headers["connection"] == "close" and len(old.pool.spawns()) == 2
    old.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.1)  # the notice is heard
    assert (await ask(rested[1], "k4")).status == 200
    old.pool.finish(rid)
    assert (await open_.reply()).status == 200
    for caller in rested:
        caller.writer.close()
    assert await old.ended() == 0 and new.process.returncode is None
    assert ("/ns/hosts/n3", "no") not in site.names.log.entries  # nothing was withdrawn
    again = await site.connect()
    assert (await ask(again, "k5")).status == 200


async def test_a_write_is_run_once_whichever_process_its_tries_reach(site):
    patient(site)
    old = await site.start()
    rested = [await site.connect() for _ in range(6)]
    first = await site.connect()
    result = (await ask(first, "done-before")).body
    old.pool.plan = {}
    running = await site.connect()
    rid = submit(running, "runs-at-the-older")
    await old.pool.log.until(lambda entry: entry["rid"] == rid if "rid" in entry else False)
    new = await site.start()
    fresh = [await site.connect() for _ in range(6)]
    assert (await ask(fresh[0], "done-before", **{"X-Again": "1"})).body == result
    submit(fresh[1], "runs-at-the-older", **{"X-Again": "1"})  # it waits for the run of the other
    await new.until("repeats", 2)
    old.pool.finish(rid)
    assert (await fresh[1].reply()).body == (await running.reply()).body == f"result of {rid}\n".encode()
    new.pool.plan = {}
    rid = submit(fresh[2], "runs-at-the-new")
    await new.pool.log.until(lambda entry: entry.get("rid") == rid)
    submit(rested[0], "runs-at-the-new", **{"X-Again": "1"})
    await old.until("repeats")
    new.pool.finish(rid)
    assert (await fresh[2].reply()).body == (await rested[0].reply()).body == f"result of {rid}\n".encode()
    old.pool.plan = new.pool.plan = {"submit-time": 0}
    for number, (mine, theirs) in enumerate(zip(rested[1:], fresh[3:], strict=False)):  # in the same millisecond
        submit(mine, f"both-{number}")
        submit(theirs, f"both-{number}", **{"X-Again": "1"})
        replies = [await mine.reply(), await theirs.reply()]
        assert [reply.status for reply in replies] == [200, 200] and replies[0].body == replies[1].body
    assert (await ask(rested[4], "runs-at-the-new", body=b"another")).status == 409
    assert len(site.runs()) == len(set(site.runs())) == 6


@pytest.mark.parametrize("ended", [True, False])
async def test_what_the_older_ran_is_known_after_its_death(site, ended):
    old = await site.start()
    rested = await site.connect()
    new = await site.start()
    old.pool.plan = {"submit-time": 0} if ended else {}
    rid = submit(rested, "k1")
    if ended:
        body = (await rested.reply()).body
    else:
        await old.pool.log.until(lambda entry: entry.get("rid") == rid)
    old.kill()
    await old.ended()
    fresh = await site.connect()
    reply = await ask(fresh, "k1", **{"X-Again": "1"})
    assert (reply.status, reply.body) == ((200, body) if ended else (500, b""))  # never run again, never refused
    assert (await ask(fresh, "k2")).status == 200
    assert site.runs().count(rid) == 1 and len(new.pool.spawns()) == 1


@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize("ready", [True, False])
async def test_the_older_serves_on_when_the_new_one_dies_or_is_told_to_leave(site, ready, told):
    old = await site.start()
    rested = await site.connect()
    new = await site.start(ready=ready)
    if ready:
        new.pool.plan = {}
        fresh = await site.connect()
        rid = submit(fresh, "k1")
        await new.pool.log.until(lambda entry: entry.get("rid") == rid)
    else:
        await new.pool.stop()
        await old.until("upgrade.giving")
    if told:
        assert await new.leave() == 0
    else:
        new.kill()
        await new.ended()
    await old.until_ready()
    if ready:
        submit(rested, "k1", **{"X-Again": "1"})
        assert (await rested.reply()).status == 500
    for number in range(3):
        caller = await site.connect()
        submit(caller, f"then-{number}")
        assert (await caller.reply()).status == 200
    assert len(old.pool.spawns()) == 3
    await site.names.log.until(lambda entry: entry == ("/ns/hosts/n3", "yes"), 2)
    third = await site.start()  # and can be replaced once more
    assert await old.leave() == 0
    caller = await site.connect()
    assert (await ask(caller, "then-0", **{"X-Again": "1"})).status == 200 and not third.pool.spawns()


async def test_connections_that_wait_in_the_queue_at_the_handover_are_served(site):
    old = await site.start()
    old.process.send_signal(signal.SIGSTOP)  # nothing is accepted
    waiting = [await site.connect(spoken=False) for _ in range(50)]
    for number, caller in enumerate(waiting):
        submit(caller, f"k{number}")
    starting = asyncio.ensure_future(site.start())
    await asyncio.sleep(0.3)
    old.process.send_signal(signal.SIGCONT)
    new = await starting
    told = [(await caller.reply()).status for caller in waiting]  # all, and what is turned away for load at once
    assert set(told) <= {200, 429} and len(site.runs()) == told.count(200) > 10 and new.process.returncode is None


async def test_a_claim_that_is_not_answered_is_failed_not_run_and_not_refused(site):
    old = await site.start()
    new = await site.start()
    fresh = await site.connect()
    old.process.send_signal(signal.SIGSTOP)
    reply = await ask(fresh, "k1")
    assert reply.status == 500 and not site.runs()
    old.process.send_signal(signal.SIGCONT)
    for _ in range(50):  # the word that comes late frees the key
        submit(fresh, "k1", **{"X-Again": "1"})
        if (await fresh.reply()).status == 200:
            break
    assert len(site.runs()) == 1
    assert (await new.counters())["claims.unanswered"] >= 1


async def test_a_stale_path_stops_no_start_and_a_live_one_that_says_nothing_does(site, tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    path = handover_socket_path("n3", ("127.0.0.1", site.port))
    stale = socket.socket(socket.AF_UNIX)
    stale.bind(str(path))
    stale.close()
    first = await site.start()
    assert await first.leave() == 0
    mute = socket.socket(socket.AF_UNIX)
    path.unlink(missing_ok=True)
    mute.bind(str(path))
    mute.listen()
    second = await site.start(ready=False)
    assert await second.ended() == 1
    assert b"it lives, so its address can't be shared" in await second.process.stderr.read()
    mute.close()


async def test_a_folder_that_takes_no_path_costs_the_upgrade_and_not_the_service(site):
    node = await site.start(tmpdir="/proc")
    caller = await site.connect()
    assert (await ask(caller, "k1")).status == 200
    assert b"no successor can take over: /proc/flintshift-" in await node.process.stderr.readline()
    assert (await node.counters())["upgrade.no_path"] == 1


async def test_an_older_process_that_drains_before_its_successor_is_up_leaves_the_node_to_it(site):
    old = await site.start()
    caller = await site.connect()
    result = (await ask(caller, "k1")).body
    new = await site.start(ready=False)
    await new.pool.stop()
    await old.until("upgrade.giving")
    assert await old.leave() == 0
    waiting = await site.connect(spoken=False)  # in the queue of the socket that both held
    submit(waiting, "k2")
    await new.pool.start()
    assert (await waiting.reply()).status == 200
    assert (await ask(waiting, "k1", **{"X-Again": "1"})).body == result  # it has told all before it left
    assert len(old.pool.spawns()) == len(new.pool.spawns()) == 1


async def test_a_drained_node_stays_drained_over_an_upgrade(site):
    old = await site.start()
    assert (await old.call("POST", "/control/out-of-service"))[0] == 200
    new = await site.start(ready=False)
    await new.pool.log.until(lambda entry: entry["t"] == "bind")
    async with asyncio.timeout(10):
        while (await new.call())[1] != "the node is out of service":
            await asyncio.sleep(0.01)
    caller = await site.connect(spoken=False)
    caller.send(BYTES["http"]("", b"", {}, method="GET", path="/ping"))
    assert (await caller.reply()).status == 503
    assert (await old.call("POST", "/control/in-service"))[0] == 200  # at the older's door: it is passed on
    await new.until_ready()


async def test_twenty_upgrades_in_a_row_on_both_fronts_lose_nothing_at_the_door_and_run_nothing_twice():
    told = await measure(20, 12, uwsgi=True, steady_s=0.0)
    assert told["upgrades"] == 20 and told["lost_at_the_door"] == told["failed"] == told["second_runs"] == 0
    assert told["served"] > 400 and told["writes_served"] == told["results_of_writes"] <= told["writes_run"]


STEPS = ["the new one copies keys", "the new one takes the clients", "the older one was told to leave"]


@pytest.mark.parametrize("numbers", [(signal.SIGHUP,), (signal.SIGUSR1, signal.SIGHUP, signal.SIGHUP)])
@pytest.mark.parametrize("step", STEPS)
async def test_signals_to_both_at_each_step_change_nothing_of_an_open_write_nor_of_its_repeats(site, step, numbers):
    for kind in site.settings["classes"]:
        kind["deadlineMs"] = 20_000.0  # the write is open over the start of a process, however long that takes
    old = await site.start()
    rested = await site.connect()
    old.pool.plan = {}
    rid = submit(rested, "k1")
    await old.pool.log.until(lambda entry: entry.get("rid") == rid)
    new = await site.start(ready=step != STEPS[0])
    if step == STEPS[0]:
        await new.pool.stop()
        await old.until("upgrade.giving")
    if step == STEPS[2]:
        old.process.send_signal(signal.SIGTERM)
    for number in numbers:
        for one in (old, new):
            one.process.send_signal(number)
    if step == STEPS[0]:
        await new.pool.start()
        await new.until_ready()
    old.pool.finish(rid)
    reply = await rested.reply()
    assert reply.status == 200
    again = await ask(await site.connect(), "k1", **{"X-Again": "1"})
    assert (again.status, again.body) == (200, reply.body)
    rested.writer.close()
    assert (await old.leave() if step != STEPS[2] else await old.ended()) == 0
    assert (await ask(await site.connect(), "k1", **{"X-Again": "1"})).body == reply.body  # after its death too
    assert await new.leave() == 0 and site.runs().count(rid) == 1 and len(site.runs()) == 1
