"""``flintshift copies``: what a member holds for others."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click


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
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def found(folder: Path) -> None:
    """Make the empty store of a fleet that begins, at FOLDER (copies.folder in the operators' file).

    Once in a fleet's life, on each of its machines, before the first start. A store that was not founded is
    taken for one that lost its disk: it votes only when the others have told it what they know, or one
    longest window has passed.
    """
    from flintshift.copies.store import boot_id, found_store
    from flintshift.storage.files import DiskFiles
    try:
        found_store(DiskFiles(), folder, time.time() * 1000, boot_id())
    except OSError as error:
        click.echo(f"flintshift: {error}", err=True)
        sys.exit(1)
    click.echo(f"{folder}: founded; this member votes from its first start on")
