"""The operators' command line: its commands parse arguments, call the other packages and print results."""
