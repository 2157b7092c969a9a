"""Real members with faults at critical moments, such as between a claim and the spawn of its run.

Each test also checks the whole history of the fleet for violations.
"""

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
PLACEMENT = Placement(
    {"n1": "ruwi-hall", "n2": "ruwi-hall", "n3": "ruwi-hall", "n4": "seeb-hall", "n5": "seeb-hall"}, 3
)


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, took_ms=5.0) as fleet:
        await fleet.wait_until_linked()
        yield fleet
    if fleet.check_history().violations:
        print("\n".join(map(str, fleet.timeline())))
    assert fleet.check_history().violations == []


def key_not_held_by(*names: str) -> str:
    """Return a key that none of these members holds."""
    return next(
        key
        for key in (f"x{n}" for n in itertools.count())
        if not set(names) & set(PLACEMENT.holders((KEYED_CLASS, key)))
    )


async def repeat_at_members(fleet: Fleet, key: str, excluded: tuple[str, ...] = ()) -> list:
    """Repeat the key's request at all members but the excluded ones, and return the answers."""
    return [await fleet.send_request(name, key, is_repeat=True) for name in fleet.members if name not in excluded]


async def start_slow_run(fleet: Fleet, name: str, key: str, took_ms: float = 400.0):
    """Send a request to a member, and return the task of its caller once its run has started."""
    fleet.took_ms[KEYED_CLASS] = took_ms
    for member in fleet.members.values():
        member.pool.took_ms[KEYED_CLASS] = took_ms
    caller = asyncio.ensure_future(fleet.send_request(name, key))
    for _ in range(500):
        if fleet.members[name].pool.spawned:
            return caller
        await asyncio.sleep(0.01)
    raise AssertionError("the run never started")


async def test_the_runner_dies_after_spawn_and_the_key_fails_everywhere_and_runs_nowhere(fleet):
    key = key_not_held_by("n1")
    caller = await start_slow_run(fleet, "n1", key)
    await fleet.lose("n1")
    assert await caller is None
    answers = await repeat_at_members(fleet, key, excluded=("n1",))
    assert [answer.status for answer in answers] == [500] * 4
    takeovers = [entry for entry in fleet.timeline() if entry["event"] == "copies.took_over" and entry["key"] == key]
    assert takeovers and all(entry["outcome"] == "error" for entry in takeovers)


async def test_the_runner_dies_between_claim_and_spawn_and_the_key_runs_nowhere(fleet):
    key = key_not_held_by("n1")
    for name in fleet.members:
        if name != "n1":
            # The holders get its claim, but their answers are delayed.
            fleet.links["n1", name].backward = Fault(delay_ms=700.0)
    caller = asyncio.ensure_future(fleet.send_request("n1", key))
    await asyncio.sleep(0.3)
    await fleet.lose("n1")
    assert await caller is None
    answers = await repeat_at_members(fleet, key, excluded=("n1",))
    assert [answer.status for answer in answers] == [500] * 4  # no member can know that it didn't run
    assert fleet.check_history().runs == 0


@pytest.mark.parametrize("informed", [0, 1, 2])
async def test_the_runner_dies_with_its_outcome_at_one_holder_and_all_members_answer_the_same(fleet, informed):
    key = key_not_held_by("n1")
    holders = PLACEMENT.holders((KEYED_CLASS, key))
    caller = await start_slow_run(fleet, "n1", key, took_ms=300.0)
    for holder in holders:
        if holder != holders[informed]:
            fleet.links["n1", holder].forward = Fault(drops=True)
    await asyncio.sleep(0.5)  # the run has ended, and only a minority of the holders has its outcome
    await fleet.lose("n1")
    assert await caller is None
    answers = await repeat_at_members(fleet, key, excluded=("n1",))
    assert len({(answer.status, answer.body) for answer in answers}) == 1
    assert answers[0].status in (200, 500)
    fleet.heal()
    await fleet.start("n1")
    await fleet.wait_until_refilled("n1")
    assert (await fleet.send_request("n1", key, is_repeat=True)).body == answers[0].body
    assert fleet.check_history().runs == 1


async def test_the_runner_is_killed_and_comes_back_with_its_disk_and_the_key_stays_failed(fleet):
    caller = await start_slow_run(fleet, "n2", "k1")
    await fleet.kill("n2")
    assert await caller is None
    await fleet.start("n2")
    assert [answer.status for answer in await repeat_at_members(fleet, "k1")] == [500] * 5


async def test_two_simultaneous_tries_with_a_slow_link_run_once(fleet):
    fleet.links["n1", "n2"].forward = Fault(delay_ms=200.0)
    fleet.links["n4", "n5"].backward = Fault(delay_ms=200.0)
    for number in range(20):
        first, again = await asyncio.gather(
            fleet.send_request("n1", f"k{number}"), fleet.send_request("n4", f"k{number}", is_repeat=True)
        )
        assert (first.status, again.status) == (200, 200)
        assert first.body == again.body


@pytest.mark.parametrize("extra_pause_s", [0.0, 7.5])
async def test_a_member_paused_past_its_lease_resumes_and_its_run_is_fenced(fleet, extra_pause_s):
    key = key_not_held_by("n1")
    caller = await start_slow_run(fleet, "n1", key, took_ms=100.0)
    fleet.pause("n1")
    await asyncio.sleep(2.5)
    during = await repeat_at_members(fleet, key, excluded=("n1",))
    await asyncio.sleep(extra_pause_s)  # it is resumed after up to ten seconds, still as the runner in its own view
    fleet.resume("n1")
    late_answer = await caller
    assert [answer.status for answer in during] == [500] * 4
    # It ran, but the other members have answered that its outcome is unknown.
    assert late_answer is None or late_answer.status == 500
    assert (await fleet.send_request("n1", key, is_repeat=True)).status == 500


async def send_pairs(fleet: Fleet, names: tuple[str, str], stopped: asyncio.Event) -> list[tuple]:
    """Send writes to the two members in turn, and repeat each at the other one, until stopped. Returns the answers."""
    pairs = []
    while not stopped.is_set():
        key = f"p{fleet.new_request_id()}"
        first, second = names if len(pairs) % 2 else names[::-1]
        pairs.append((key, await fleet.send_request(first, key), await fleet.send_request(second, key, is_repeat=True)))
    return pairs


async def under_load(fleet: Fleet, names: tuple[str, str], fault) -> list[tuple]:
    """Send pairs to the two members while the fault lasts, and return the answers."""
    stopped = asyncio.Event()
    load = [asyncio.ensure_future(send_pairs(fleet, names, stopped)) for _ in range(4)]
    await fault
    stopped.set()
    return [pair for pairs in await asyncio.gather(*load) for pair in pairs]


async def test_a_one_way_cut_makes_no_second_majority_and_keeps_service(fleet):
    async def cut() -> None:
        fleet.links["n1", "n3"].forward = Fault(drops=True)  # n1's requests to n3 are lost, n3's to n1 arrive
        fleet.links["n2", "n4"].backward = Fault(drops=True)  # n2's requests to n4 arrive, n4's answers are lost
        await asyncio.sleep(4.0)

    pairs = await under_load(fleet, ("n1", "n3"), cut())
    served = [pair for pair in pairs if pair[1].status == pair[2].status == 200]
    assert len(pairs) > 50 and len(served) > 0.8 * len(pairs)
    assert all(first.body == again.body for _, first, again in served)
    fleet.heal()
    await fleet.wait_until_linked()
    for key, first, _ in served[-20:]:
        assert [answer.body for answer in await repeat_at_members(fleet, key)] == [first.body] * 5


async def test_a_member_whose_links_flap_breaks_no_guarantee_and_the_others_go_on_serving(fleet):
    async def flap() -> None:
        for _ in range(20):
            for link in fleet.links_between(["n1"], ["n2", "n3", "n4", "n5"]):
                link.reset()
            await asyncio.sleep(0.15)

    pairs = await under_load(fleet, ("n2", "n4"), flap())
    assert len(pairs) > 50 and sum(pair[1].status == pair[2].status == 200 for pair in pairs) > 0.8 * len(pairs)
    pairs = await under_load(fleet, ("n1", "n5"), flap())
    assert sum(pair[1].status == pair[2].status == 200 for pair in pairs) > 0
    await fleet.wait_until_linked()
    for key, first, again in pairs[-20:]:
        bodies = {first.body, again.body, *(answer.body for answer in await repeat_at_members(fleet, key))} - {b""}
        assert len(bodies) <= 1  # one result, or none if the outcome is unknown


async def test_without_a_majority_first_tries_are_rejected_at_once_and_repeats_fail(fleet):
    first = await fleet.send_request("n2", "k1")  # not at n1, which knows the outcomes of its own runs
    fleet.cut(["n1"], ["n2", "n3", "n4", "n5"])
    await asyncio.sleep(0.2)
    for number in range(6):  # the first of these detect that the links are silent
        await fleet.send_request("n1", f"w{number}")
    new, again, read = (
        await fleet.send_request("n1", key_not_held_by("n1") + "-new"),
        await fleet.send_request("n1", "k1", is_repeat=True),
        await fleet.send_request("n1", None),
    )
    assert (new.status, again.status, read.status) == (429, 500, 200)
    assert new.retry_after_ms
    fleet.heal()
    await asyncio.sleep(1.5)
    assert (await fleet.send_request("n1", "k1", is_repeat=True)).body == first.body


async def test_a_hall_is_cut_off_and_the_majority_goes_on_serving(fleet):
    firsts = [await fleet.send_request("n4", f"k{number}") for number in range(10)]
    fleet.cut(fleet.members_in_hall("ruwi-hall"), fleet.members_in_hall("seeb-hall"))
    await asyncio.gather(*(fleet.send_request(name, f"c{number}") for number, name in enumerate([*fleet.members] * 6)))
    fleet.heal()
    await asyncio.sleep(1.5)
    for number, first in enumerate(firsts):
        assert (await fleet.send_request("n2", f"k{number}", is_repeat=True)).body == first.body
    for number in range(30):
        await fleet.send_request("n1", f"c{number}", is_repeat=True)


@pytest.mark.parametrize("order", [("n1", "n2", "n3", "n4", "n5"), ("n5", "n3", "n1", "n2", "n4")])
async def test_all_are_killed_at_once_and_one_restarts_without_its_disk(fleet, order):
    firsts = {f"k{number}": await fleet.send_request(order[number % 5], f"k{number}") for number in range(15)}
    assert all(answer.status == 200 for answer in firsts.values())
    for name in fleet.members:
        await (fleet.lose if name == order[2] else fleet.kill)(name)
    for name in order:
        await fleet.start(name)
        for key, first in firsts.items():  # with one, two and more members up: its result, or that it may have run
            again = await fleet.send_request(name, key, is_repeat=True)
            assert again.status == 500 or again.body == first.body
    await fleet.wait_until_linked()
    await fleet.wait_until_refilled(order[2])
    for key, first in firsts.items():
        assert {(await fleet.send_request(name, key, is_repeat=True)).body for name in order} == {first.body}


async def test_a_second_holder_dies_while_the_first_is_refilled(fleet):
    firsts = {f"k{number}": await fleet.send_request("n4", f"k{number}") for number in range(20)}
    await fleet.lose("n1")
    for link in fleet.links_between(["n1"], ["n2", "n3", "n5"]):
        link.forward = link.backward = Fault(bytes_per_s=2000)
    await fleet.start("n1")
    await fleet.kill("n2")
    answers = [await fleet.send_request("n3", key, is_repeat=True) for key in firsts]
    assert all(answer.status in (200, 500) for answer in answers)
    await fleet.start("n2")
    fleet.heal()
    await fleet.wait_until_refilled("n1")
    for key, first in firsts.items():
        assert (await fleet.send_request("n1", key, is_repeat=True)).body == first.body


async def test_a_member_whose_clock_is_an_hour_off_keeps_its_replicas(tmp_path):
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


async def test_malformed_bytes_on_the_peer_port_change_nothing(fleet):
    port = fleet.members["n1"].ports["peer"]
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"\x05\0\0\0\xff\xff\xff\xff\xff", b"\xff\xff\xff\x7f", b"\0" * 64):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        await asyncio.sleep(0.05)
        writer.transport.abort()
    await asyncio.sleep(0.2)
    assert (await fleet.send_request("n1", "k1")).status == 200
    assert (await fleet.send_request("n2", "k1", is_repeat=True)).status == 200


async def test_a_member_is_upgraded_under_load_and_its_replicas_are_handed_over(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, control=True) as fleet:
        await fleet.wait_until_linked()
        keys, stopped = [], asyncio.Event()

        async def caller(number: int) -> None:
            while not stopped.is_set():
                keys.append(f"u{number}-{len(keys)}")
                await fleet.send_request("n1" if number % 2 else "n4", keys[-1])
                await fleet.send_request("n4" if number % 2 else "n1", keys[-1], is_repeat=True)

        load = [asyncio.ensure_future(caller(number)) for number in range(6)]
        await asyncio.sleep(0.5)
        assert await fleet.upgrade("n1", asyncio.sleep(0.7)) == 0
        await fleet.wait_until_logged("n1", "copies.opened")
        await asyncio.sleep(0.5)
        stopped.set()
        await asyncio.gather(*load)
        await fleet.lose("n2")  # now the replicas that the new process took over are needed
        for key in keys:
            await fleet.send_request("n5", key, is_repeat=True)
        result = fleet.check_history()
        assert result.violations == []
        assert result.answers["served"] > 200 and not result.answers["none"]
        assert result.answers["failed"] + result.answers["refused"] < len(keys) * 0.05


async def test_members_with_failing_disks_do_not_vote_and_no_guarantee_is_broken(tmp_path):
    async with Fleet(tmp_path, HALLS, copies=COPIES, disk_errors_enabled=True) as fleet:
        await fleet.wait_until_linked()
        key = next(
            key
            for key in (f"x{n}" for n in itertools.count())
            if {"n2", "n4"} <= set(PLACEMENT.holders((KEYED_CLASS, key)))
        )
        before = await fleet.send_request("n1", key)
        fleet.set_disk_failing("n2")
        with_one_failing = [await fleet.send_request("n3", f"a{number}") for number in range(20)]
        assert [answer.status for answer in with_one_failing].count(200) == 20  # two of three holders go on
        fleet.set_disk_failing("n4")
        with_two_failing = [await fleet.send_request("n1", f"b{number}") for number in range(20)]
        held_by_both = [
            answer.status
            for number, answer in enumerate(with_two_failing)
            if {"n2", "n4"} <= set(PLACEMENT.holders((KEYED_CLASS, f"b{number}")))
        ]
        assert (
            held_by_both
            and 200 not in held_by_both
            and {answer.status for answer in with_two_failing} <= {200, 429, 500}
        )
        for name in ("n2", "n4"):
            fleet.set_disk_failing(name, False)
            await fleet.wait_until_logged(name, "copies.disk_takes_again")
        assert (await fleet.send_request("n2", key, is_repeat=True)).body == before.body
        for number in range(20):
            await fleet.send_request("n4", f"a{number}", is_repeat=True)
            await fleet.send_request("n2", f"b{number}", is_repeat=True)
        assert fleet.check_history().violations == []


async def test_members_with_full_disks_do_not_vote_and_no_guarantee_is_broken(fleet):
    before = [await fleet.send_request("n1", f"k{number}") for number in range(6)]
    fleet.set_disk_full("n2")
    with_one_full = [await fleet.send_request("n3", f"a{number}") for number in range(20)]
    assert [answer.status for answer in with_one_full].count(200) == 20  # two of three holders go on
    fleet.set_disk_full("n4")
    fleet.set_disk_full("n5")
    with_three_full = [await fleet.send_request("n1", f"b{number}") for number in range(20)]
    assert {answer.status for answer in with_three_full} <= {200, 429, 500} and not all(
        answer.status == 200 for answer in with_three_full
    )
    for name in ("n2", "n4", "n5"):
        fleet.set_disk_full(name, False)
    await asyncio.sleep(2.0)
    for number, first in enumerate(before):
        assert (await fleet.send_request("n5", f"k{number}", is_repeat=True)).body == first.body
    for number in range(20):
        await fleet.send_request("n4", f"a{number}", is_repeat=True)
        await fleet.send_request("n2", f"b{number}", is_repeat=True)
