"""Rigs beside each other on one machine leave each other's ports alone."""

from __future__ import annotations

import subprocess
import sys

import anyio
import pytest

from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.lab.billing import Billing
from flintshift.lab.ports import free_ports, port_range
from flintshift.wire.names import NameService

CODE = """
from flintshift.lab import ports
ports.port_range = lambda: range({first}, {first} + 1)
try:
    print(ports.free_ports(1))
except OSError:
    print("taken")
"""


def test_a_port_of_a_member_that_is_down_goes_to_no_other_rig():
    (port,) = free_ports(1)  # nobody listens there
    told = subprocess.run([sys.executable, "-c", CODE.format(first=port)], capture_output=True, text=True, check=True)
    assert told.stdout.strip() == "taken"
    assert port in port_range()


@pytest.mark.anyio
async def test_a_billing_system_takes_no_report_of_a_node_that_knew_its_port_as_a_name_service(tmp_path):
    """A whole run of the tests met a document that could not be decoded: a node whose name service had gone went on
    reporting, and the system had given that port to a billing system."""
    billing = Billing(tmp_path)
    node = NameService(("127.0.0.1", await billing.start()), "n1", Limits(), Counters())
    with anyio.fail_after(5):
        await node.report(True)
    billing.stop()
    assert list(tmp_path.iterdir()) == [] and not billing.request_counts
