"""Entry point of the `flintshift` command: holds a node's signals back before it imports the command line."""

from __future__ import annotations

import sys

from flintshift.lifecycle import signals


def main() -> None:
    if sys.argv[1:2] == ["run"]:
        signals.block_at_start()
    from flintshift.cli.main import main as run_command_line

    run_command_line(prog_name="flintshift")
