#!/bin/sh
# Builds what the cases start, after the build of the deploy file. The stand-ins are Python modules of this repository:
# nothing is compiled, and this shows that each can be imported with the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=.:review exec .venv/bin/python -c "import common, flintshift.lab.standins"
