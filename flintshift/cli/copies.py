"""``flintshift copies`` and ``flintshift peers``: a member's replica store, and the links to the other members."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click

from flintshift.cli.status_client import load_status

ADVICE = "give the folder that is `copies.folder` in the running member's settings file, as the user the member runs as"
FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print the status as JSON.")


def load_replica_status(folder: Path) -> dict[str, Any]:
    """Return the status of the running member whose replica store is ``folder``; exit with 1 if it can't be read."""
    from flintshift.replication.store import STATUS_SOCKET

    return load_status(folder / STATUS_SOCKET, "members", ADVICE)


def describe_disk(report: dict[str, Any]) -> str:
    """Describe the state of the member's disk, its effect, and what an operator can do."""
    if report["disk"] == "takes":
        return "accepts writes"
    refused_s = report["disk_refuses_for_ms"] / 1000
    return (
        f"rejects writes for {refused_s:.0f} s ({report['disk_cause']}): this member does not vote, the others "
        "serve without it; free space or repair the disk, the member retries by itself"
    )


def describe_votes(report: dict[str, Any]) -> str:
    """Describe whether the member votes on every key; if not, until when."""
    if report["votes"]:
        return "yes"
    if report["votes_in_ms"] is None:
        return "no: another process of this member owns the store until it ends"
    filled_by = ", ".join(report["filled_by"]) or "nobody yet"
    return f"no, at the latest in {report['votes_in_ms'] / 1000:.0f} s; filled by {filled_by}"


@click.group()
def copies() -> None:
    """The replica store of a member of a fleet.

    \b
    Exit codes:
      0  done
      1  a folder or a socket does not allow it
      2  the command line can't be used
      3  done, and something was found
    """


@copies.command()
@FOLDER
def found(folder: Path) -> None:
    """Create the empty replica store of a new fleet at FOLDER (copies.folder in the operators' file).

    Run it once for a fleet, on each of its machines, before the first start. A member without such a store is
    treated as one that lost its disk: it votes only once the others have sent it what they know, or once one
    longest window has passed.
    """
    from flintshift.replication.store import boot_id, create_empty_store
    from flintshift.storage.files import DiskFiles

    try:
        create_empty_store(DiskFiles(), folder, time.time() * 1000, boot_id())
    except OSError as error:
        click.echo(f"flintshift: {error}", err=True)
        sys.exit(1)
    click.echo(f"{folder}: created; this member votes from its first start on")


@copies.command()
@FOLDER
@AS_JSON
def status(folder: Path, as_json: bool) -> None:
    """Show the state of the replicas at the running member whose copies.folder is FOLDER.

    \b
    votes         whether the member votes on every key; if not, how long until it does by
                  itself, and which members have filled it; in an upgrade, the process that
                  answers may not own the store yet
    under-copied  keys of which another replica holder is unreachable now
    may have run  writes whose runner died without an outcome: they fail, and never run again
                  in their window. Look them up in the results ledger

    Exit code 3: the member does not vote, its disk rejects writes, or a write may have run.
    """
    report = load_replica_status(folder)
    if as_json:
        click.echo(json.dumps(report))
    else:
        stages = ", ".join(f"{count:,} {stage}" for stage, count in report["stages"].items())
        for label, text in (
            ("member", f"{report['member']} ({report['identity']}), store {report['store']}"),
            ("votes", describe_votes(report)),
            ("disk", describe_disk(report)),
            ("keys", f"{report['keys']:,}: {stages}; {report['bytes'] / 1024:,.0f} KiB"),
            ("under-copied", f"{report['under_copied']:,}"),
            ("under way", f"{report['proposals']:,} proposals, {report['followed']:,} keys followed"),
            ("may have run", f"{len(report['may_have_run'])}"),
        ):
            click.echo(f"{label:<14}{text}")
        for write in report["may_have_run"]:
            click.echo(f"  {write['class']} {write['key']}, claimed by request {write['request']}")
    sys.exit(0 if report["votes"] and report["disk"] == "takes" and not report["may_have_run"] else 3)


@copies.command()
@FOLDER
@AS_JSON
def verify(folder: Path, as_json: bool) -> None:
    """Read the whole store at FOLDER and check every record against its checksum; the member may be running.

    Exit code 3: a record is damaged; the file and the offset are printed.
    """
    from flintshift.replication.store import examine_store
    from flintshift.storage.files import DiskFiles
    from flintshift.storage.snapshot import DamagedError
    from flintshift.wire.peer_codec import decode_entry

    try:
        state, records, keys = examine_store(DiskFiles(), folder, decode_entry)
    except OSError as error:
        click.echo(f"flintshift: {error}", err=True)
        sys.exit(1)
    except DamagedError as error:
        click.echo(json.dumps({"damage": str(error)}) if as_json else str(error), err=not as_json)
        sys.exit(3)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "member": state.member,
                    "store": state.incarnation,
                    "votes": state.votes,
                    "records": records,
                    "keys": keys,
                }
            )
        )
    else:
        click.echo(
            f"{folder}: whole: store {state.incarnation} of {state.member or 'nobody yet'}, {records:,} records "
            f"of {keys:,} keys; it {'votes' if state.votes else 'does not vote'}"
        )


@click.group()
def peers() -> None:
    """The other members of a fleet, as one member sees them.

    \b
    Exit codes:
      0  all are linked
      1  the member can't be reached
      2  the command line can't be used
      3  a member is missing
    """


@peers.command("status")
@FOLDER
@AS_JSON
def peers_status(folder: Path, as_json: bool) -> None:
    """Show the other members and their processes, as seen by the running member whose copies.folder is FOLDER."""
    report = load_replica_status(folder)
    if as_json:
        click.echo(json.dumps({key: report[key] for key in ("member", "identity", "epoch", "members")}))
    else:
        click.echo(f"{'member':<16}{'hall':<16}{'link':<8}processes")
        for member in report["members"]:
            processes = "; ".join(
                f"{process['identity']} {process['state']}, last message {process['silent_ms'] / 1000:.1f} s ago"
                for process in member["processes"]
            )
            click.echo(
                f"{member['member']:<16}{member['hall']:<16}{'up' if member['linked'] else 'down':<8}"
                f"{processes or member['cause'] or 'no message yet'}"
            )
    sys.exit(0 if all(member["linked"] for member in report["members"]) else 3)
