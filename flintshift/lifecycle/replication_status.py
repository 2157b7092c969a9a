"""What operators are told of the copies of a member: its own store, its ledgers, the members that it reaches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from flintshift.peers import members as who

if TYPE_CHECKING:
    from flintshift.lifecycle.replication import ReplicationService


def replication_status(copying: ReplicationService) -> dict[str, Any]:
    """How the copies and the other members stand, as `flintshift copies status` shows it."""
    now, registers = copying.now_ms(), copying.store.registers
    processes: dict[str, list[dict[str, Any]]] = {}
    for identity, one in copying.members.processes.items():
        processes.setdefault(who.member_of(identity), []).append(
            {
                "identity": identity,
                "silent_ms": round(now - one.last_heard_ms),
                "state": "dead" if one.dead else "suspected" if one.accused else "alive",
            }
        )
    return {
        "member": copying.name,
        "identity": copying.identity,
        "epoch": copying.greeting.epoch,
        "holds": copying.store.folder is not None,
        "store": registers.store,
        "votes": registers.votes_on_all_keys,
        "disk": "takes" if copying.store.disk_failed_since_ms is None else "refuses",
        "disk_cause": copying.store.disk_error,
        "disk_refuses_for_ms": 0
        if copying.store.disk_failed_since_ms is None
        else round(now - copying.store.disk_failed_since_ms),
        "votes_in_ms": 0 if registers.votes_on_all_keys else max(0, round(registers.voting_from_ms - now)),
        "filled_by": sorted(registers.filled_by),
        "keys": len(registers.table),
        "bytes": registers.stored_bytes,
        "stages": registers.count_by_stage(),
        "under_copied": registers.count_under_replicated(copying.reached | {copying.name}),
        "use": copying.ledger_replication.status() if copying.ledger_replication is not None else [],
        "proposals": len(copying.proposals.active),
        "followed": len(copying.proposals.followed),
        "may_have_run": [
            {"class": key[0], "key": key[1], "request": owner} for key, owner in copying.taken_over_claims.items()
        ],
        "members": [
            {
                "member": member,
                "hall": copying.placement.halls[member],
                "linked": member in copying.reached,
                "cause": copying.link_errors.get(member, ""),
                "processes": processes.get(member, []),
            }
            for member in copying.placement.halls
            if member != copying.name
        ],
    }
