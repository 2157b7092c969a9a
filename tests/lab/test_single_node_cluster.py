"""Test clusters that run on one machine at the same time don't use each other's ports."""

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

ALLOCATION_CODE = """
from flintshift.lab import ports
ports.port_range = lambda: range({first}, {first} + 1)
try:
    print(ports.free_ports(1))
except OSError:
    print("taken")
"""


def test_a_port_of_a_member_that_is_down_is_not_given_to_another_process():
    (port,) = free_ports(1)  # nobody listens there
    process = subprocess.run(
        [sys.executable, "-c", ALLOCATION_CODE.format(first=port)], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "taken"
    assert port in port_range()


@pytest.mark.anyio
async def test_a_billing_stand_in_stores_no_report_for_a_name_service_that_used_its_port_before(tmp_path):
    """Guards against a node that goes on reporting to its name service after that has stopped.

    The system gave the port to a billing stand-in, which then stored a report as a document that couldn't be decoded.
    """
    billing = Billing(tmp_path)
    node = NameService(("127.0.0.1", await billing.start()), "n1", Limits(), Counters())
    with anyio.fail_after(5):
        await node.report(True)
    billing.stop()
    assert list(tmp_path.iterdir()) == [] and not billing.request_counts
