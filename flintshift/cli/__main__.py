"""``python -m flintshift.cli`` is the ``flintshift`` command."""

from flintshift.cli.entry import main

if __name__ == "__main__":
    main()
