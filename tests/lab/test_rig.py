"""Rigs beside each other on one machine leave each other's ports alone."""

from __future__ import annotations

import subprocess
import sys

from flintshift.lab.rig import free_ports, port_range

CODE = """
from flintshift.lab import rig
rig.port_range = lambda: range({first}, {first} + 1)
try:
    print(rig.free_ports(1))
except OSError:
    print("taken")
"""


def test_a_port_of_a_member_that_is_down_goes_to_no_other_rig():
    (port,) = free_ports(1)  # nobody listens there
    told = subprocess.run([sys.executable, "-c", CODE.format(first=port)], capture_output=True, text=True, check=True)
    assert told.stdout.strip() == "taken"
    assert port in port_range()
