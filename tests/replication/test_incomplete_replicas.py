"""Incomplete replicas of a dead writer's ledger are taken over or dropped, and don't remain for ever.

A machine started with an empty disk and a new ledger, and was lost with its disk. The disks of both holders failed
meanwhile, so that neither replica was ever filled. Only a complete replica begins a takeover (`LogReplicas.tick`), and
there was none, so nobody took the ledger over or dropped it. 110 s after disks had failed for 5 s, two members still
had an empty replica, and operators saw a ledger that never became complete.

`copies status` showed "records: 0, sure: false, writer_dead: true" for both, and "usage.took_over" was not logged
for that life, in six of nine runs with failing disks.
"""

from __future__ import annotations

import pytest

from flintshift.replication import logs
from flintshift.replication.log_holders import HolderConfig, LogReplicas

LOG = "n1", b"life"
CONFIG = HolderConfig(takeover_delay_ms=1000.0)
PATIENCE_MS = CONFIG.takeover_delay_ms * CONFIG.patience_factor
AFTER_PATIENCE_MS = PATIENCE_MS + 5 * CONFIG.stagger_ms


class Holders:
    """The members n2 and n4, which hold replicas of the ledger of the dead n1. Their messages reach each other."""

    def __init__(self):
        self.alive = set()
        self.members = {
            name: LogReplicas(name, f"{name}#1", lambda member: (member, "n2", "n4"), self.alive.__contains__, CONFIG)
            for name in ("n2", "n4")
        }
        self.ended = []  # member, and the action that ended its replica
        self.now = 0.0

    def add_replica(self, name, last, complete, promised_to="n1#1"):
        self.members[name].restore(LOG, 5, promised_to, last, complete, False)
        self.members[name].table[LOG].writer = "n1#1"

    def perform(self, name, actions, reached=True):
        for action in actions:
            match action:
                case logs.SendToHolder(other, message) if reached and other in self.members:
                    for answer in self.members[other].handle_message(f"{name}#1", message):
                        if isinstance(answer, logs.Answer):
                            self.perform(name, self.members[name].handle_status(other, answer.message))
                case logs.SendToHolder():
                    pass
                case logs.TakenOver() | logs.AbandonLog():
                    self.ended.append((name, action))

    def run_until(self, end_ms, reached=True):
        while self.now < end_ms:
            self.now += 50.0
            for name, member in self.members.items():
                self.perform(name, member.tick(self.now), reached)


def test_replicas_that_were_never_filled_are_dropped_once_their_writer_is_dead():
    holders = Holders()
    holders.add_replica("n2", logs.NO_POSITION, False)
    holders.add_replica("n4", logs.NO_POSITION, False)
    holders.run_until(CONFIG.takeover_delay_ms)
    assert holders.ended == []  # the writer may be away for a short time only
    holders.run_until(CONFIG.takeover_delay_ms + 5 * CONFIG.stagger_ms)
    assert [(name, type(action)) for name, action in holders.ended] == [
        ("n2", logs.AbandonLog),
        ("n4", logs.AbandonLog),
    ]
    assert all(not member.table for member in holders.members.values())


def test_a_writer_that_comes_back_gets_a_replica_again():
    holders = Holders()
    holders.add_replica("n2", logs.NO_POSITION, False)
    holders.run_until(AFTER_PATIENCE_MS)
    actions = holders.members["n2"].handle_message("n1#2", logs.Join(LOG, 6, (5, 40)))
    assert actions[-1].message.verdict is logs.ReplicaVerdict.GRANTED


def test_an_empty_replica_whose_writer_now_writes_another_ledger_is_dropped_as_soon():
    holders = Holders()
    holders.alive.add("n1#2")
    holders.members["n2"].handle_message("n1#2", logs.Join(LOG, 6, (5, 40)))  # the snapshot failed at its disk
    holders.members["n2"].handle_message("n1#2", logs.Join(("n1", b"new"), 7, logs.NO_POSITION))
    holders.run_until(CONFIG.takeover_delay_ms + 5 * CONFIG.stagger_ms)
    ((name, action),) = holders.ended
    assert name == "n2" and isinstance(action, logs.AbandonLog) and action.log == LOG


def test_an_empty_replica_stays_while_its_promise_to_another_member_may_count():
    holders = Holders()
    holders.add_replica("n2", logs.NO_POSITION, False, promised_to="n4#1")
    holders.run_until(PATIENCE_MS, reached=False)
    assert LOG in holders.members["n2"].table and holders.ended == []


def test_the_longer_of_two_incomplete_replicas_goes_on_once_nobody_else_is_waited_for():
    holders = Holders()
    holders.add_replica("n2", (5, 40), False)
    holders.add_replica("n4", (5, 44), False)
    holders.run_until(PATIENCE_MS)
    assert holders.ended == []
    holders.run_until(AFTER_PATIENCE_MS * 3)
    assert [(name, type(action)) for name, action in holders.ended][:1] == [("n4", logs.TakenOver)]
    taken = holders.ended[0][1]
    assert taken.last == (5, 44) and taken.missing_holders == ("n2",)


def test_an_incomplete_replica_never_goes_on_beside_a_complete_one():
    holders = Holders()
    holders.add_replica("n2", (5, 40), False)
    holders.add_replica("n4", (5, 44), True)
    holders.run_until(AFTER_PATIENCE_MS * 3)
    assert {name for name, _ in holders.ended} <= {"n4"}


@pytest.mark.parametrize("last", [logs.NO_POSITION, (5, 40)])
def test_an_incomplete_replica_waits_for_a_holder_that_does_not_answer(last):
    holders = Holders()
    holders.add_replica("n2", last, False, promised_to="n4#1")
    holders.add_replica("n4", (5, 44), True)
    holders.members["n4"].tick = lambda now_ms: []
    holders.run_until(AFTER_PATIENCE_MS * 3, reached=False)
    assert holders.ended == [] and LOG in holders.members["n2"].table


def test_an_incomplete_replica_of_a_living_writer_stays():
    holders = Holders()
    holders.alive.add("n1#1")
    holders.add_replica("n2", logs.NO_POSITION, False)
    holders.run_until(AFTER_PATIENCE_MS)
    assert LOG in holders.members["n2"].table and holders.ended == []


@pytest.fixture
def holders_after_restart():
    """n1 is back with a new ledger. Of its former one n2 has a complete replica, and n4 a shorter, incomplete one.

    This happened in a run with failing disks: a takeover took the old ledger from the restarted n1 and then failed to
    get n1's vote. The fleet was complete only after ten times the takeover delay (22 s where 10 s are allowed), with
    "without: [n4], these hold no copy" though all holders had answered at once.
    """
    holders = Holders()
    holders.add_replica("n2", (5, 40), True)
    holders.add_replica("n4", (5, 30), False)
    holders.members["n1"] = LogReplicas("n1", "n1#2", lambda member: (member, "n2", "n4"), holders.alive.__contains__)
    holders.members["n1"].own_log = "n1", b"new"
    return holders


SHORT_TAKEOVER_MS = CONFIG.takeover_delay_ms + 5 * CONFIG.stagger_ms


def test_a_ledger_is_taken_over_soon_if_no_holder_has_more_records(holders_after_restart):
    holders_after_restart.run_until(SHORT_TAKEOVER_MS)
    ((name, taken),) = holders_after_restart.ended
    assert name == "n2" and taken.last == (5, 40)


def test_a_complete_replica_waits_for_a_longer_incomplete_one(holders_after_restart):
    """The incomplete replica lost the end of its log, so its records beyond the complete one may be the only ones."""
    holders_after_restart.add_replica("n4", (5, 44), False)
    holders_after_restart.run_until(PATIENCE_MS - CONFIG.retry_ms)
    assert holders_after_restart.ended == []
    holders_after_restart.run_until(AFTER_PATIENCE_MS * 3)
    assert holders_after_restart.ended != []


def test_a_takeover_under_too_low_an_epoch_is_retried_soon_with_a_higher_one(holders_after_restart):
    """The first attempt only learned of the epoch in use, and the next one came 8 s later."""
    holders_after_restart.members["n4"].restore(LOG, 8, "n1#2", (5, 30), False, False)
    holders_after_restart.run_until(SHORT_TAKEOVER_MS)
    ((name, taken),) = holders_after_restart.ended
    assert name == "n2" and taken.epoch == 9


def test_an_unreadable_replica_gives_no_answer_and_is_waited_for(holders_after_restart):
    holders_after_restart.members["n4"].reset_to_disk(LOG, 5, "n1#1", logs.NO_POSITION, False, False, readable=False)
    holders_after_restart.run_until(SHORT_TAKEOVER_MS)
    assert holders_after_restart.ended == []
    holders_after_restart.members["n4"].reset_to_disk(LOG, 5, "n1#1", (5, 41), True, False)  # it can be read again
    holders_after_restart.run_until(SHORT_TAKEOVER_MS + 6 * CONFIG.retry_ms)
    assert [(name, taken.last) for name, taken in holders_after_restart.ended][:1] == [("n4", (5, 41))]


def test_an_unreadable_replica_is_not_dropped_as_an_empty_one():
    holders = Holders()
    holders.add_replica("n2", logs.NO_POSITION, False)
    holders.members["n2"].reset_to_disk(LOG, 5, "n1#1", logs.NO_POSITION, False, False, readable=False)
    del holders.members["n4"]
    holders.run_until(AFTER_PATIENCE_MS, reached=False)
    assert holders.ended == [] and LOG in holders.members["n2"].table


def test_a_replica_that_stays_unreadable_is_neither_taken_over_nor_dropped(holders_after_restart):
    holders_after_restart.add_replica("n4", logs.NO_POSITION, False, promised_to="n2#0")
    holders_after_restart.members["n2"].reset_to_disk(LOG, 5, "n1#1", logs.NO_POSITION, False, False, readable=False)
    holders_after_restart.run_until(AFTER_PATIENCE_MS * 3)
    assert "n2" not in {name for name, _ in holders_after_restart.ended}
    assert LOG in holders_after_restart.members["n2"].table


def test_a_replica_that_stays_unreadable_is_not_waited_for_for_ever(holders_after_restart):
    holders_after_restart.members["n4"].reset_to_disk(LOG, 5, "n1#1", logs.NO_POSITION, False, False, readable=False)
    holders_after_restart.run_until(PATIENCE_MS)
    assert holders_after_restart.ended == []
    holders_after_restart.run_until(AFTER_PATIENCE_MS * 3)
    ((name, taken),) = holders_after_restart.ended
    assert name == "n2" and taken.missing_holders == ("n1", "n4")


def test_an_unreadable_replica_is_readable_after_a_snapshot_from_its_writer():
    holders = Holders()
    holders.alive.add("n1#1")
    member = holders.members["n2"]
    holders.add_replica("n2", (5, 40), True)
    member.reset_to_disk(LOG, 5, "n1#1", logs.NO_POSITION, False, False, readable=False)
    actions = member.handle_message("n1#1", logs.Join(LOG, 5, (5, 44)))
    assert actions[-1].message.verdict is logs.ReplicaVerdict.GRANTED and actions[-1].message.last == logs.NO_POSITION
    member.handle_message("n1#1", logs.SnapshotPart(LOG, 5, (5, 44), 0, False, b"whole"))
    replica = member.table[LOG]
    assert (replica.readable, replica.complete, replica.last) == (True, True, (5, 44))


def test_a_member_that_has_not_opened_its_ledger_is_waited_for(holders_after_restart):
    holders_after_restart.members["n1"].own_log = None
    holders_after_restart.run_until(SHORT_TAKEOVER_MS)
    assert holders_after_restart.ended == []
