"""What the `flintshift` command begins with: the signals of a node are held before the command line is imported."""

from __future__ import annotations

import sys

from flintshift.lifecycle import signals


def main() -> None:
    if sys.argv[1:2] == ["run"]:
        signals.block_at_start()
    from flintshift.cli.main import main as command

    command(prog_name="flintshift")
