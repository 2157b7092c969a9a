"""Replicated logs with the production state machines: random scenarios, and rules that are broken on purpose.

A scenario has crashes, lost disks, cut links and processes that pause.
"""

from __future__ import annotations

import random

import pytest
from msgspec import structs

from flintshift.lab.replicated_logs_model import LogWorld
from flintshift.replication import logs
from flintshift.replication.log_holders import LogReplicas
from flintshift.replication.log_writer import LogWriter

HALLS = {"n1": "a", "n2": "a", "n3": "b", "n4": "b", "n5": "c"}


def run_random_scenario(seed: int, steps: int = 1200, **mutant) -> LogWorld:
    """A random scenario. One machine at a time lacks its disk or its end; pauses, cuts and crashes come at any time."""
    rng, world = random.Random(seed), LogWorld(HALLS, seed, **mutant)
    disk_lost_ms = -10_000.0
    for _ in range(steps):
        chance = rng.random()
        machine = world.machines[rng.choice(list(HALLS))]
        if chance < 0.25:
            world.write_record(machine.name)
        elif chance < 0.28 and machine.up:
            all_running = all(member.up and not member.paused for member in world.machines.values())
            disk_lost = all_running and not world.cut_links and world.now > disk_lost_ms + 3000.0 and rng.random() < 0.5
            if disk_lost:
                complete_replicas(world)
                disk_lost_ms = world.now
            world.crash(machine.name, disk_lost)
        elif chance < 0.31 and not machine.up:
            world.restart(machine.name)
        elif chance < 0.33:
            machine.paused = machine.up and not machine.paused
        elif chance < 0.35:
            other = rng.choice(list(HALLS))
            if world.cut_links:
                world.cut_links.clear()
            elif other != machine.name:
                world.cut_links |= {(machine.name, other)} | ({(other, machine.name)} if rng.random() < 0.5 else set())
        elif chance < 0.5:
            world.tick(rng.choice([10.0, 100.0, 400.0]))
        elif world.sent:
            index = rng.randrange(min(len(world.sent), 3))
            if rng.random() < 0.03:
                world.sent.pop(index)
            else:
                world.deliver(index, duplicate=rng.random() < 0.03)
        if world.violations:
            return world
    world.settle()
    return world


def complete_replicas(world: LogWorld) -> None:
    """Lets all replicas become complete again, so that the disk that is lost next is the only one."""
    for _ in range(40):
        while world.sent:
            world.deliver(0)
        world.tick(100.0)


@pytest.mark.parametrize("part", range(4))
def test_records_of_a_majority_are_in_the_ledger_that_goes_on(part):
    ended_count = record_count = 0
    for seed in range(part * 40, part * 40 + 40):
        world = run_random_scenario(seed)
        assert world.violations == [], f"seed {seed}"
        written_now = {machine.own_log for machine in world.machines.values()}
        complete = {
            log for machine in world.machines.values() for log, replica in machine.disk.items() if replica.complete
        }
        assert (world.replicated.keys() & complete) - written_now <= world.ended.keys(), f"seed {seed}: nobody goes on"
        ended_count += len(world.ended)
        record_count += sum(map(len, world.replicated.values()))
    assert ended_count > 30 and record_count > 2000  # the scenarios do something


class GrantsEpochToLaggingWriter(LogReplicas):
    def _handle_join(self, sender, join, replica):
        return super()._handle_join(sender, structs.replace(join, last=(1 << 30, 1 << 30)), replica)


class VotesWithIncompleteReplica(LogReplicas):
    @staticmethod
    def _incomplete_status(join, epoch, last):
        return logs.ReplicaStatus(join.log, logs.ReplicaVerdict.GRANTED, epoch, logs.NO_POSITION)

    def _rejection(self, sender, log, replica):
        rejection = super()._rejection(sender, log, replica)
        return (
            rejection
            if replica is not None
            else [
                logs.Answer(sender, self._incomplete_status(logs.Join(log, 0, logs.NO_POSITION), 0, logs.NO_POSITION))
            ]
        )


class AcceptsStaleEpochs(LogReplicas):
    def handle_message(self, sender, message):
        replica = self.table.get(message.log)
        if replica is not None and isinstance(message, logs.Append | logs.SnapshotPart):
            replica.promised, replica.promised_to = message.epoch, sender
        return super().handle_message(sender, message)


class ReportsUngrantedPosition(LogWriter):
    @property
    def elected_position(self):
        return self.last

    @elected_position.setter
    def elected_position(self, position):
        pass


@pytest.mark.parametrize(
    ("mutant", "first_seed"),
    [
        ({"holder": GrantsEpochToLaggingWriter}, 0),
        ({"holder": AcceptsStaleEpochs}, 0),
        # An incomplete replica is mostly dropped, or leaves the takeover to another: four of 6,000 scenarios detect it.
        ({"holder": VotesWithIncompleteReplica}, 1200),
        ({"writer": ReportsUngrantedPosition}, 0),
    ],
    ids=lambda argument: next(iter(argument.values())).__name__ if isinstance(argument, dict) else "",
)
def test_a_broken_rule_is_detected(mutant, first_seed):
    assert any(run_random_scenario(seed, **mutant).violations for seed in range(first_seed, first_seed + 300))


def test_an_epoch_that_was_granted_before_its_first_record_counts_with_that_record():
    """Otherwise the replicas would follow only after the next join, seconds later, and records written until then would
    have no replica."""
    log = ("n1", b"life")
    writer = LogWriter(log, 7, (7, 42), ("n4", "n5"), 1, 250.0, elected_position=(6, 41))
    writer.set_reachable("n5", True)
    raise_actions = writer.handle_status(
        0.0, "n5", logs.ReplicaStatus(log, logs.ReplicaVerdict.STALE_EPOCH, 8, (7, 42))
    )
    assert logs.EpochRaised(9, (6, 41)) in raise_actions
    assert writer.handle_status(1.0, "n5", logs.ReplicaStatus(log, logs.ReplicaVerdict.GRANTED, 9, (7, 42))) == []
    actions = writer.handle_written(2.0, 43, ((1, b""),), False)
    assert logs.Elected() in actions and logs.SnapshotNeeded("n5") in actions


def test_a_holder_that_was_unreachable_when_a_log_finished_is_informed_when_it_is_back():
    """Otherwise it would hold a replica that nobody fills for as long as the member that took the log over is alive."""
    log, other_log = ("n5", b"old"), ("n1", b"old")
    taker = LogReplicas("n2", "n2#1", lambda member: (member, "n2", "n4"), lambda identity: True)
    returned_holder = LogReplicas("n5", "n5#2", taker.holders, lambda identity: True)
    for taken_over in (log, other_log):
        taker.restore(taken_over, 7, "n2#1", (7, 40), True, finished=False)
    returned_holder.handle_message("n2#1", logs.Join(log, 7, (7, 41)))
    assert not returned_holder.table[log].complete
    taker.mark_finished(log, 7)  # while there is no link between them
    actions = taker.announce_finished("n5")
    assert actions == [logs.SendToHolder("n5", logs.LogFinished(log, 7))] and taker.announce_finished("n3") == []
    assert (
        returned_holder.handle_message("n2#1", actions[0].message) == [logs.MarkFinished(log, actions[0].message.epoch)]
        and returned_holder.table[log].finished
    )


def test_a_scenario_is_reproducible():
    first, second = run_random_scenario(5), run_random_scenario(5)
    assert (first.replicated, first.ended, first.now) == (second.replicated, second.ended, second.now)
