"""``python -m flintshift.cli`` is the ``flintshift`` command."""

from flintshift.cli.main import main

if __name__ == "__main__":
    main(prog_name="flintshift")
