"""The fair queues in the program: wired where the operators' file says so, and not even imported elsewhere."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys

import pytest
from click.testing import CliRunner

from flintshift import interface as api
from flintshift.cli.main import main
from flintshift.core.attempts import Attempt, RunOver, Submitted, Up
from flintshift.core.catalogue import Catalogue
from flintshift.core.counters import Counters
from flintshift.core.decisions import Decisions
from flintshift.core.limits import Limits
from flintshift.lab.callers import fields_of, http_request, reply
from flintshift.lab.peers import Pool
from flintshift.lab.rig import Rig
from flintshift.lifecycle.fair_door import FairDoor
from flintshift.wire.unix import short

pytestmark = pytest.mark.anyio


async def ask(rig, number, club):
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.ports["http"])
    writer.write(http_request("standings", b"1", fields_of(f"{number:016x}", club, "standings", number)))
    status, *_ = await reply(reader)
    writer.close()
    return status


async def test_door_show_tells_how_the_clubs_stand_after_an_upgrade_too(tmp_path):
    path = tmp_path / ("deep" * 20) / "door.sock"  # longer than a socket's address may be
    path.parent.mkdir()
    with short(path) as name:
        socket.socket(socket.AF_UNIX, socket.SOCK_STREAM).bind(name)  # as a process that was killed left it

    def shown(*words):
        return CliRunner().invoke(main, ["door", "show", str(path), *words])
    assert shown().exit_code == 1 and "refused" in shown().output and "door.socket" in shown().output
    file = f"door: {{enabled: true, socket: {path.parent.name}/door.sock}}\n"
    async with Rig(tmp_path, file, pool=Pool(cores=2, took_ms={"standings": 10.0}), control=True) as rig:
        for number in range(1, 6):
            assert await ask(rig, number, "sur-pacers") == 200
        stay = [socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) for _ in range(3)]
        with short(path) as name:
            for one in stay:  # they never read
                one.connect(name)
        row, = json.loads((await asyncio.to_thread(shown, "--json")).output)["clubs"]
        assert (row["club"], row["served_ms"], row["waiting"], row["callers"]) == ("sur-pacers", 50.0, 0, 5)
        assert (await asyncio.to_thread(shown)).output.splitlines()[1].startswith("sur-pacers")
        assert await rig.relieve() == 0  # the successor finds the path taken, and gets it a second later
        async with asyncio.timeout(5):
            while (found := await asyncio.to_thread(shown, "--json")).exit_code:
                pass
        assert json.loads(found.output) == {"clubs": []}
        assert await rig.leave() == 0 and not path.exists()


@pytest.mark.parametrize(("make", "cause"), [
    (lambda path: path.write_text("a ledger"), "Address already in use"), (lambda path: path.mkdir(), "in use"),
    (lambda path: socket.create_server(str(path), family=socket.AF_UNIX), "another process listens there")])
async def test_a_path_that_cannot_be_had_is_told_is_not_removed_and_costs_no_service(tmp_path, make, cause):
    kept = make(tmp_path / "door.sock")
    async with Rig(tmp_path, "door: {enabled: true, socket: door.sock}\n") as rig:
        await rig.kill()
        process = await rig.start(asyncio.subprocess.PIPE)
        line = await asyncio.wait_for(process.stderr.readline(), 5)
        assert cause.encode() in line and b"tried again" in line and await ask(rig, 1, "sur-pacers") == 200
    assert (tmp_path / "door.sock").exists()
    del kept


async def test_a_surge_is_told_in_the_log_with_its_club_and_what_it_was_turned_away(tmp_path):
    pool = Pool(cores=2, took_ms={"standings": 40.0})
    async with Rig(tmp_path, "door: {enabled: true}\nlog: {enabled: true, repeats: 0ms}\n", pool=pool) as rig:
        rig.config.write_text(rig.config.read_text())
        await rig.kill()
        with (tmp_path / "stderr").open("wb") as stderr:
            await rig.start(stderr)
            began, number = [], 0
            async with asyncio.timeout(20):
                while not began:
                    number += 200
                    await asyncio.gather(*(ask(rig, number + one, "sur-pacers") for one in range(200)))
                    lines = (tmp_path / "stderr").read_text().splitlines()
                    began = [json.loads(line) for line in lines if "door.surge_began" in line]
            assert began[0]["club"] == "sur-pacers" and began[0]["level"] == "warning"
            assert began[0]["times_its_share"] > 1.2 and began[0]["turned_away"] > 0
            assert await rig.leave() == 0
    counted = json.loads((tmp_path / "stderr").read_text().splitlines()[-1])["counters"]
    assert counted["door.surges"] >= 1 and counted["door.promised"] + counted["door.not_promised"] > 0


async def test_a_node_with_the_door_on_serves_and_takes_new_weights(tmp_path):
    pool = Pool(cores=2, took_ms={"standings": 10.0})
    async with Rig(tmp_path, "door: {enabled: true}\nlog: {enabled: true}\n", pool=pool) as rig:
        answers = await asyncio.gather(*(ask(rig, number, "sur-pacers") for number in range(1, 9)))
        assert answers == [200] * 8
        told = json.loads(rig.config.read_text())
        told["settings"]["tenants"].append({"name": "new-club", "quotaPerS": 400.0})
        rig.config.write_text(json.dumps(told))
        rig.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(5):
            while await ask(rig, 20, "new-club") != 200:  # until it is taken, a club that is not known
                pass
        assert await rig.leave() == 0


def test_without_it_the_door_is_not_imported():
    text = ("import sys\nfrom flintshift.lifecycle.config import embedded\nfrom flintshift.lifecycle.node import Node\n"
            "import anyio\nasync def made(): assert Node(embedded(), embedded).fair is None\nanyio.run(made)\n"
            "print([name for name in sys.modules if 'door' in name and name.startswith('flintshift')])")
    assert subprocess.run([sys.executable, "-c", text], capture_output=True).stdout == b"[]\n"


class Site:
    """The decision planner with the door, a worker pool that keeps what it is given, and a clock of its own."""

    def __init__(self, fair):
        kind = api.RequestClass("look", 1000.0, 3000.0, 1.0, api.Effect.SAFE)
        self.settings = api.Settings([kind], 2, 1e6, 4.0, 5.0, 500.0, [api.Tenant("a", 10.0), api.Tenant("b", 10.0)])
        self.now, self.runs, self.answers, self.number = 1000.0, [], {}, 0
        self.decisions = Decisions(Catalogue(self.settings, Limits()), 1, Limits(), Counters(), lambda: self.now,
                                   lambda at_ms, token: None, lambda: None)
        self.decisions.workers = {"pool": self}
        self.decisions.posture.up = True
        self.fair = FairDoor(self.settings, Limits(), Counters(), lambda: self.now) if fair else None
        if self.fair is not None:
            self.decisions.rank_by(self.fair)
        self.decisions.handle(Up())

    def spawn(self, attempt):
        self.runs.append(attempt)
        return True

    def arrive(self, club, caller=1):
        self.number += 1
        rid = f"{self.number:016x}"
        attempt = Attempt(id=rid, class_name="look", body=b"", door_ms=self.now, caller=caller, tenant=club,
                          held_kb=1.0, tell=lambda answer: self.answers.setdefault(rid, answer))
        self.decisions.handle(Submitted(attempt))
        return attempt


def test_no_time_is_promised_sooner_than_the_decisions_say_that_there_is_room():
    site = Site(fair=True)
    site.decisions.posture.wait_ms = 1000.0
    site.decisions.controller.set.advice_allowed, site.decisions.controller.set.advice_max_ms = True, 1000.0
    site.decisions.controller.failing = 1.0  # each run fails: the decisions want callers elsewhere for the longest time
    waits = [site.answers[one.id].wait_ms for one in [site.arrive("a") for _ in range(6)] if one.id in site.answers]
    assert len(waits) >= 4 and set(waits) == {1000.0}
    site.decisions.controller.failing = 0.0
    waits = [site.answers[one.id].wait_ms for one in [site.arrive("a") for _ in range(60)] if one.id in site.answers]
    assert len(waits) >= 10 and min(waits) < 200.0


@pytest.mark.parametrize("fair", [True, False])
def test_a_club_that_floods_the_decisions_does_not_take_the_other_clubs_place(fair):
    site = Site(fair)
    for _ in range(40):
        site.arrive("a")
    other = [site.arrive("b") for _ in range(4)]
    begun = len(site.runs)
    for ended in range(begun + 8):
        site.now += 20.0
        site.decisions.handle(RunOver(site.runs[ended].id, api.Outcome.OK, 100.0))
    served = sum(one in site.runs[:begun + 8] for one in other)
    assert served == (3 if fair else 0)  # by turns; without it the oldest go first, which is the flood
    if fair:
        assert len(site.fair.shares.open) == site.decisions.open
