"""The command line for operators: sub-commands that parse, call and print; no rule of their own."""
