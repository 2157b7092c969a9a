"""Real members, hurt in the moment that hurts most: each case is a row, the judge of the sockets has the verdict."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from flintshift.lab.faults import Fault
from flintshift.lab.fleet import KEYED_CLASS, Fleet
from flintshift.replication.placement import Placement

pytestmark = pytest.mark.anyio

HALLS = {"ruwi-hall": 3, "seeb-hall": 2}
COPIES = "  copies: 3\n"
PLACED = Placement({"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "ruwi-hall", "n4": "seeb-hall", "n5": "seeb-hall"}, 3)


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, took_ms=5.0) as fleet:
        await fleet.wait_until_linked()
        yield fleet
    if fleet.check_history().violations:
        print("\n".join(map(str, fleet.timeline())))
    assert fleet.check_history().violations == []


def held_outside(*names: str) -> str:
    """A key that none of these members holds."""
    return next(
        key for key in (f"x{n}" for n in itertools.count()) if not set(names) & set(PLACED.holders((KEYED_CLASS, key)))
    )


async def repeats(fleet: Fleet, key: str, but: tuple[str, ...] = ()) -> list:
    return [await fleet.send_request(name, key, is_repeat=True) for name in fleet.members if name not in but]


async def slowly(fleet: Fleet, name: str, key: str, took_ms: float = 400.0):
    """A try that is running at that member when this returns."""
    fleet.took_ms[KEYED_CLASS] = took_ms
    for member in fleet.members.values():
        member.pool.took_ms[KEYED_CLASS] = took_ms
    asking = asyncio.ensure_future(fleet.send_request(name, key))
    for _ in range(500):
        if fleet.members[name].pool.spawned:
            return asking
        await asyncio.sleep(0.01)
    raise AssertionError("it never ran")


async def test_the_runner_dies_after_spawn_and_the_key_fails_everywhere_and_runs_nowhere(fleet):
    key = held_outside("n1")
    asking = await slowly(fleet, "n1", key)
    await fleet.lose("n1")
    assert await asking is None
    answers = await repeats(fleet, key, but=("n1",))
    assert [answer.status for answer in answers] == [500] * 4
    story = [one for one in fleet.timeline() if one["event"] == "copies.took_over" and one["key"] == key]
    assert story and all(one["outcome"] == "error" for one in story)


async def test_the_runner_dies_between_claim_and_spawn_and_the_key_runs_nowhere(fleet):
    key = held_outside("n1")
    for name in fleet.members:
        if name != "n1":
            fleet.links["n1", name].backward = Fault(delay_ms=700.0)  # the holders have its claim, and it does not know
    asking = asyncio.ensure_future(fleet.send_request("n1", key))
    await asyncio.sleep(0.3)
    await fleet.lose("n1")
    assert await asking is None
    answers = await repeats(fleet, key, but=("n1",))
    assert [answer.status for answer in answers] == [500] * 4  # it may have run, for all that anybody knows
    assert fleet.check_history().runs == 0


@pytest.mark.parametrize("kept", [0, 1, 2])
async def test_the_runner_dies_with_its_outcome_at_one_holder_and_all_tell_the_same(fleet, kept):
    key = held_outside("n1")
    holders = PLACED.holders((KEYED_CLASS, key))
    asking = await slowly(fleet, "n1", key, took_ms=300.0)
    for holder in holders:
        if holder != holders[kept]:
            fleet.links["n1", holder].forward = Fault(drops=True)
    await asyncio.sleep(0.5)  # it has ended, and a minority knows how
    await fleet.lose("n1")
    assert await asking is None
    answers = await repeats(fleet, key, but=("n1",))
    assert len({(answer.status, answer.body) for answer in answers}) == 1
    assert answers[0].status in (200, 500)
    fleet.heal()
    await fleet.start("n1")
    await fleet.wait_until_refilled("n1")
    assert (await fleet.send_request("n1", key, is_repeat=True)).body == answers[0].body
    assert fleet.check_history().runs == 1


async def test_the_runner_is_killed_and_comes_back_with_its_disk_and_the_key_stays_failed(fleet):
    asking = await slowly(fleet, "n2", "k1")
    await fleet.kill("n2")
    assert await asking is None
    await fleet.start("n2")
    assert [answer.status for answer in await repeats(fleet, "k1")] == [500] * 5


async def test_two_tries_in_one_moment_with_a_slow_link_run_once(fleet):
    fleet.links["n1", "n2"].forward = Fault(delay_ms=200.0)
    fleet.links["n4", "n5"].backward = Fault(delay_ms=200.0)
    for number in range(20):
        one, other = await asyncio.gather(
            fleet.send_request("n1", f"k{number}"), fleet.send_request("n4", f"k{number}", is_repeat=True)
        )
        assert (one.status, other.status) == (200, 200)
        assert one.body == other.body


@pytest.mark.parametrize("more_s", [0.0, 7.5])
async def test_a_member_paused_past_its_lease_wakes_and_its_run_is_fenced(fleet, more_s):
    key = held_outside("n1")
    asking = await slowly(fleet, "n1", key, took_ms=100.0)
    fleet.pause("n1")
    await asyncio.sleep(2.5)
    during = await repeats(fleet, key, but=("n1",))
    await asyncio.sleep(more_s)  # it wakes after ten seconds, and believes itself the runner
    fleet.resume("n1")
    woken = await asking
    assert [answer.status for answer in during] == [500] * 4
    assert woken is None or woken.status == 500  # it ran; but all have been told that nobody knows how it ended
    assert (await fleet.send_request("n1", key, is_repeat=True)).status == 500


async def pairs(fleet: Fleet, names: tuple[str, str], over: asyncio.Event) -> list[tuple]:
    """Writes at the two in turn, each asked for again at the other one, until it is over."""
    told = []
    while not over.is_set():
        key = f"p{fleet.new_request_id()}"
        one, other = names if len(told) % 2 else names[::-1]
        told.append((key, await fleet.send_request(one, key), await fleet.send_request(other, key, is_repeat=True)))
    return told


async def under_load(fleet: Fleet, names: tuple[str, str], hurting) -> list[tuple]:
    over = asyncio.Event()
    load = [asyncio.ensure_future(pairs(fleet, names, over)) for _ in range(4)]
    await hurting
    over.set()
    return [one for told in await asyncio.gather(*load) for one in told]


async def test_a_one_way_cut_makes_no_second_majority_and_keeps_service(fleet):
    async def cut() -> None:
        fleet.links["n1", "n3"].forward = Fault(drops=True)  # n3 hears nothing of what n1 asks; n1 hears n3's questions
        fleet.links["n2", "n4"].backward = Fault(drops=True)  # n4 hears n2's questions, and its answers are lost
        await asyncio.sleep(4.0)

    told = await under_load(fleet, ("n1", "n3"), cut())
    served = [one for one in told if one[1].status == one[2].status == 200]
    assert len(told) > 50 and len(served) > 0.8 * len(told)
    assert all(first.body == again.body for _, first, again in served)
    fleet.heal()
    await fleet.wait_until_linked()
    for key, first, _ in served[-20:]:
        assert [answer.body for answer in await repeats(fleet, key)] == [first.body] * 5


async def test_a_member_whose_links_flap_breaks_no_promise_and_takes_no_service_from_the_others(fleet):
    async def flap() -> None:
        for _ in range(20):
            for link in fleet.links_between(["n1"], ["n2", "n3", "n4", "n5"]):
                link.reset()
            await asyncio.sleep(0.15)

    told = await under_load(fleet, ("n2", "n4"), flap())
    assert len(told) > 50 and sum(one[1].status == one[2].status == 200 for one in told) > 0.8 * len(told)
    told = await under_load(fleet, ("n1", "n5"), flap())
    assert sum(one[1].status == one[2].status == 200 for one in told) > 0
    await fleet.wait_until_linked()
    for key, first, again in told[-20:]:
        bodies = {first.body, again.body, *(answer.body for answer in await repeats(fleet, key))} - {b""}
        assert len(bodies) <= 1  # one result, or none that anybody knows


async def test_no_majority_refuses_first_tries_at_once_and_fails_repeats(fleet):
    first = await fleet.send_request("n2", "k1")  # not at n1: what ran there it knows by itself
    fleet.cut(["n1"], ["n2", "n3", "n4", "n5"])
    await asyncio.sleep(0.2)
    for number in range(6):  # the links are found silent by the first of these
        await fleet.send_request("n1", f"w{number}")
    new, again, read = (
        await fleet.send_request("n1", held_outside("n1") + "-new"),
        await fleet.send_request("n1", "k1", is_repeat=True),
        await fleet.send_request("n1", None),
    )
    assert (new.status, again.status, read.status) == (429, 500, 200)
    assert new.retry_after_ms
    fleet.heal()
    await asyncio.sleep(1.5)
    assert (await fleet.send_request("n1", "k1", is_repeat=True)).body == first.body


async def test_a_hall_is_cut_off_and_the_greater_part_goes_on(fleet):
    before = [await fleet.send_request("n4", f"k{number}") for number in range(10)]
    fleet.cut(fleet.members_in_hall("ruwi-hall"), fleet.members_in_hall("seeb-hall"))
    await asyncio.gather(*(fleet.send_request(name, f"c{number}") for number, name in enumerate([*fleet.members] * 6)))
    fleet.heal()
    await asyncio.sleep(1.5)
    for number, first in enumerate(before):
        assert (await fleet.send_request("n2", f"k{number}", is_repeat=True)).body == first.body
    for number in range(30):
        await fleet.send_request("n1", f"c{number}", is_repeat=True)


@pytest.mark.parametrize("order", [("n1", "n2", "n3", "n4", "n5"), ("n5", "n3", "n1", "n2", "n4")])
async def test_all_are_killed_at_once_and_one_comes_back_without_its_disk(fleet, order):
    firsts = {f"k{number}": await fleet.send_request(order[number % 5], f"k{number}") for number in range(15)}
    assert all(answer.status == 200 for answer in firsts.values())
    for name in fleet.members:
        await (fleet.lose if name == order[2] else fleet.kill)(name)
    for name in order:
        await fleet.start(name)
        for key, first in firsts.items():  # with one, two and more of them up: its result, or that it may have run
            again = await fleet.send_request(name, key, is_repeat=True)
            assert again.status == 500 or again.body == first.body
    await fleet.wait_until_linked()
    await fleet.wait_until_refilled(order[2])
    for key, first in firsts.items():
        assert {(await fleet.send_request(name, key, is_repeat=True)).body for name in order} == {first.body}


async def test_a_second_holder_dies_while_the_first_is_filled(fleet):
    firsts = {f"k{number}": await fleet.send_request("n4", f"k{number}") for number in range(20)}
    await fleet.lose("n1")
    for link in fleet.links_between(["n1"], ["n2", "n3", "n5"]):
        link.forward = link.backward = Fault(bytes_per_s=2000)
    await fleet.start("n1")
    await fleet.kill("n2")
    asked = [await fleet.send_request("n3", key, is_repeat=True) for key in firsts]
    assert all(answer.status in (200, 500) for answer in asked)
    await fleet.start("n2")
    fleet.heal()
    await fleet.wait_until_refilled("n1")
    for key, first in firsts.items():
        assert (await fleet.send_request("n1", key, is_repeat=True)).body == first.body


async def test_a_clock_is_an_hour_off_and_holds_its_copies_all_the_same(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES) as fleet:
        await fleet.wait_until_linked()
        await fleet.kill("n3")
        fleet.members["n3"].clock_offset_ms = -3_600_000.0
        await fleet.start("n3")
        await fleet.wait_until_linked()
        keys = [f"k{number}" for number in range(20)]
        firsts = [await fleet.send_request("n1", key) for key in keys]
        await fleet.lose("n2")
        for key, first in zip(keys, firsts, strict=True):
            assert (await fleet.send_request("n5", key, is_repeat=True)).body == first.body
        assert fleet.check_history().violations == []


async def test_another_body_under_the_key_conflicts_at_every_member(fleet):
    await fleet.send_request("n1", "k1", body=b"12:01.5")
    answers = [await fleet.send_request(name, "k1", body=b"11:59.9", is_repeat=True) for name in fleet.members]
    assert [answer.status for answer in answers] == [409] * 5


async def test_junk_and_a_foreign_list_on_the_peer_port_change_nothing(fleet):
    port = fleet.members["n1"].ports["peer"]
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"\x05\0\0\0\xff\xff\xff\xff\xff", b"\xff\xff\xff\x7f", b"\0" * 64):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        await asyncio.sleep(0.05)
        writer.transport.abort()
    await asyncio.sleep(0.2)
    assert (await fleet.send_request("n1", "k1")).status == 200
    assert (await fleet.send_request("n2", "k1", is_repeat=True)).status == 200


async def test_a_member_is_upgraded_under_load_and_its_copies_go_with_it(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, control=True) as fleet:
        await fleet.wait_until_linked()
        keys, over = [], asyncio.Event()

        async def caller(number: int) -> None:
            while not over.is_set():
                keys.append(f"u{number}-{len(keys)}")
                await fleet.send_request("n1" if number % 2 else "n4", keys[-1])
                await fleet.send_request("n4" if number % 2 else "n1", keys[-1], is_repeat=True)

        load = [asyncio.ensure_future(caller(number)) for number in range(6)]
        await asyncio.sleep(0.5)
        assert await fleet.upgrade("n1", asyncio.sleep(0.7)) == 0
        await fleet.wait_until_logged("n1", "copies.opened")
        await asyncio.sleep(0.5)
        over.set()
        await asyncio.gather(*load)
        await fleet.lose("n2")  # what the new process took over counts now
        for key in keys:
            await fleet.send_request("n5", key, is_repeat=True)
        told = fleet.check_history()
        assert told.violations == []
        assert told.answers["served"] > 200 and not told.answers["none"]
        assert told.answers["failed"] + told.answers["refused"] < len(keys) * 0.05


async def test_disks_that_fail_take_votes_away_and_no_promise(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, disks_fail=True) as fleet:
        await fleet.wait_until_linked()
        key = next(
            key
            for key in (f"x{n}" for n in itertools.count())
            if {"n2", "n4"} <= set(PLACED.holders((KEYED_CLASS, key)))
        )
        before = await fleet.send_request("n1", key)
        fleet.set_disk_failing("n2")
        one = [await fleet.send_request("n3", f"a{number}") for number in range(20)]
        assert [answer.status for answer in one].count(200) == 20  # two of three holders go on
        fleet.set_disk_failing("n4")
        two = [await fleet.send_request("n1", f"b{number}") for number in range(20)]
        of_both = [
            answer.status
            for number, answer in enumerate(two)
            if {"n2", "n4"} <= set(PLACED.holders((KEYED_CLASS, f"b{number}")))
        ]
        assert of_both and 200 not in of_both and {answer.status for answer in two} <= {200, 429, 500}
        for name in ("n2", "n4"):
            fleet.set_disk_failing(name, False)
            await fleet.wait_until_logged(name, "copies.disk_takes_again")
        assert (await fleet.send_request("n2", key, is_repeat=True)).body == before.body
        for number in range(20):
            await fleet.send_request("n4", f"a{number}", is_repeat=True)
            await fleet.send_request("n2", f"b{number}", is_repeat=True)
        assert fleet.check_history().violations == []


async def test_full_disks_take_votes_away_and_no_promise(fleet):
    before = [await fleet.send_request("n1", f"k{number}") for number in range(6)]
    fleet.set_disk_full("n2")
    one = [await fleet.send_request("n3", f"a{number}") for number in range(20)]
    assert [answer.status for answer in one].count(200) == 20  # two of three holders go on
    fleet.set_disk_full("n4")
    fleet.set_disk_full("n5")
    three = [await fleet.send_request("n1", f"b{number}") for number in range(20)]
    assert {answer.status for answer in three} <= {200, 429, 500} and not all(one.status == 200 for one in three)
    for name in ("n2", "n4", "n5"):
        fleet.set_disk_full(name, False)
    await asyncio.sleep(2.0)
    for number, first in enumerate(before):
        assert (await fleet.send_request("n5", f"k{number}", is_repeat=True)).body == first.body
    for number in range(20):
        await fleet.send_request("n4", f"a{number}", is_repeat=True)
        await fleet.send_request("n2", f"b{number}", is_repeat=True)
