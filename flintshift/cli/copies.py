"""``flintshift copies``: what a member holds for others."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click

from flintshift.cli.status_client import load_status

ADVICE = "name the folder that `copies.folder` in a running member's file names, as the user that the member runs as"
FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print what is told as JSON.")


def shown(folder: Path) -> dict[str, Any]:
    from flintshift.replication.store import STATUS_SOCKET

    return load_status(folder / STATUS_SOCKET, "members", ADVICE)


def disk_told(found: dict[str, Any]) -> str:
    """How the member's disk stands, what that costs, and what to do."""
    if found["disk"] == "takes":
        return "takes what is written"
    since_s = found["disk_refuses_for_ms"] / 1000
    return (
        f"refuses for {since_s:.0f} s ({found['disk_cause']}): this member does not vote, the others serve without it; "
        "make room or see to the disk, it is tried again by itself"
    )


@click.group()
def copies() -> None:
    """What a member of a fleet holds for others.

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
    """Make the empty store of a fleet that begins, at FOLDER (copies.folder in the operators' file).

    Once in a fleet's life, on each of its machines, before the first start. A store that was not founded is
    taken for one that lost its disk: it votes only when the others have told it what they know, or one
    longest window has passed.
    """
    from flintshift.replication.store import boot_id, create_empty_store
    from flintshift.storage.files import DiskFiles

    try:
        create_empty_store(DiskFiles(), folder, time.time() * 1000, boot_id())
    except OSError as error:
        click.echo(f"flintshift: {error}", err=True)
        sys.exit(1)
    click.echo(f"{folder}: founded; this member votes from its first start on")


@copies.command()
@FOLDER
@AS_JSON
def status(folder: Path, as_json: bool) -> None:
    """How the copies stand at the running member whose copies.folder is FOLDER.

    \b
    votes         on every key; else how long until it does by itself, and who has filled it
    under-copied  keys of which another holder is out of reach now
    may have run  writes whose runner died without an outcome: they fail, and never run again
                  in their window. Look them up in the results ledger

    Exit code 3: the member does not vote, its disk refuses, or a write may have run.
    """
    found = shown(folder)
    if as_json:
        click.echo(json.dumps(found))
    else:
        votes = (
            "yes"
            if found["votes"]
            else (
                f"no, at the latest in {found['votes_in_ms'] / 1000:.0f} s; filled by "
                f"{', '.join(found['filled_by']) or 'nobody yet'}"
            )
        )
        stages = ", ".join(f"{count:,} {stage}" for stage, count in found["stages"].items())
        for name, text in (
            ("member", f"{found['member']} ({found['identity']}), store {found['store']}"),
            ("votes", votes),
            ("disk", disk_told(found)),
            ("keys", f"{found['keys']:,}: {stages}; {found['bytes'] / 1024:,.0f} KiB"),
            ("under-copied", f"{found['under_copied']:,}"),
            ("under way", f"{found['proposals']:,} proposals, {found['followed']:,} keys followed"),
            ("may have run", f"{len(found['may_have_run'])}"),
        ):
            click.echo(f"{name:<14}{text}")
        for one in found["may_have_run"]:
            click.echo(f"  {one['class']} {one['key']}, claimed by request {one['request']}")
    sys.exit(0 if found["votes"] and found["disk"] == "takes" and not found["may_have_run"] else 3)


@copies.command()
@FOLDER
@AS_JSON
def verify(folder: Path, as_json: bool) -> None:
    """Read the whole store at FOLDER, of a running member too, and check every record against its checksum.

    Exit code 3: something is not as it was written; the file and the place are named.
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
    """The other members of a fleet, as one of them sees them.

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
    """Who the others are and who lives, at the running member whose copies.folder is FOLDER."""
    found = shown(folder)
    if as_json:
        click.echo(json.dumps({key: found[key] for key in ("member", "identity", "epoch", "members")}))
    else:
        click.echo(f"{'member':<16}{'hall':<16}{'link':<8}processes")
        for one in found["members"]:
            lives = "; ".join(
                f"{process['identity']} {process['state']}, heard {process['silent_ms'] / 1000:.1f} s ago"
                for process in one["processes"]
            )
            click.echo(
                f"{one['member']:<16}{one['hall']:<16}{'up' if one['linked'] else 'down':<8}"
                f"{lives or one['cause'] or 'never heard of'}"
            )
    sys.exit(0 if all(one["linked"] for one in found["members"]) else 3)
