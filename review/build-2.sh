#!/bin/sh
# Builds what the scripts of this review start: the project's own stand-ins and the programs in review/. Run it after the
# `build` command of deploy/balancer.toml. Nothing is fetched; there is nothing for one kind of machine only.
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
"$python" -m compileall -q flintshift review/rig2.py review/fleet2.py review/6 review/7 review/8 review/9 review/10
"$python" -c "
import sys
sys.path.insert(0, 'review')
import rig2, fleet2
import flintshift.cli.main, flintshift.lab.billing, flintshift.lab.callers, flintshift.lab.standins
"
