"""Runs the ``flintshift`` command as ``python -m flintshift.cli``."""

from flintshift.cli.entry import main

if __name__ == "__main__":
    main()
