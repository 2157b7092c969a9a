"""The status of replication on a member for operators: its store, its ledgers and the links to other members."""

from __future__ import annotations

from typing import Any, Protocol

from flintshift.lifecycle.replica_store import ReplicaStore
from flintshift.peers import members as membership
from flintshift.replication.messages import Key
from flintshift.replication.placement import Placement
from flintshift.replication.proposals import Proposals
from flintshift.wire.peer_link import Handshake


class LedgersStatus(Protocol):
    """The replicated ledgers, as far as their status is shown."""

    def status(self) -> list[dict[str, Any]]:
        """The status of each ledger that is written or replicated here."""


class ReplicationParts(Protocol):
    """The parts of replication whose status is shown."""

    name: str
    identity: str
    store: ReplicaStore
    members: membership.Membership
    handshake: Handshake
    placement: Placement
    proposals: Proposals
    reached: set[str]
    link_errors: dict[str, str]
    taken_over_claims: dict[Key, str]

    @property
    def ledger_replication(self) -> LedgersStatus | None: ...
    def now_ms(self) -> float: ...


def replication_status(replication: ReplicationParts) -> dict[str, Any]:
    """The status document that `flintshift copies status` shows."""
    now, registers = replication.now_ms(), replication.store.registers
    votes_in_ms = registers.votes_in_ms(now)
    processes: dict[str, list[dict[str, Any]]] = {}
    for identity, process in replication.members.processes.items():
        processes.setdefault(membership.member_of(identity), []).append(
            {
                "identity": identity,
                "silent_ms": round(now - process.last_heard_ms),
                "state": "dead" if process.dead else "suspected" if process.accused else "alive",
            }
        )
    return {
        "member": replication.name,
        "identity": replication.identity,
        "epoch": replication.handshake.epoch,
        "holds": replication.store.folder is not None,
        "store": registers.store,
        "votes": registers.votes_on_all_keys,
        "disk": "takes" if replication.store.disk_failed_since_ms is None else "refuses",
        "disk_cause": replication.store.disk_error,
        "disk_refuses_for_ms": 0
        if replication.store.disk_failed_since_ms is None
        else round(now - replication.store.disk_failed_since_ms),
        "votes_in_ms": None if votes_in_ms is None else round(votes_in_ms),
        "filled_by": sorted(registers.filled_by),
        "keys": len(registers.table),
        "bytes": registers.stored_bytes,
        "stages": registers.count_by_stage(),
        "under_copied": registers.count_under_replicated(replication.reached | {replication.name}),
        "use": replication.ledger_replication.status() if replication.ledger_replication is not None else [],
        "proposals": len(replication.proposals.active),
        "followed": len(replication.proposals.followed),
        "may_have_run": [
            {"class": key[0], "key": key[1], "request": owner} for key, owner in replication.taken_over_claims.items()
        ],
        "members": [
            {
                "member": member,
                "hall": replication.placement.halls[member],
                "linked": member in replication.reached,
                "cause": replication.link_errors.get(member, ""),
                "processes": processes.get(member, []),
            }
            for member in replication.placement.halls
            if member != replication.name
        ],
    }
