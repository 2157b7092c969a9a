"""Entry point of the `flintshift` command.

For `flintshift run` it blocks the signals that a node handles before it imports the command line, since the default
action of a signal that arrives during the import would end the process.
"""

from __future__ import annotations

import sys

from flintshift.lifecycle import signals


def main() -> None:
    """Run the `flintshift` command."""
    if sys.argv[1:2] == ["run"]:
        signals.block_at_start()
    from flintshift.cli.main import main as run_command_line

    run_command_line(prog_name="flintshift")
