"""The socket on which operators read the status of a part of the node."""

from __future__ import annotations

import json
import math

import anyio
import pytest

from flintshift.cli.status_client import query_status
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.lifecycle.status_socket import StatusSocket

pytestmark = pytest.mark.anyio


async def test_a_status_that_cannot_be_built_is_recorded_and_the_socket_serves_on(tmp_path):
    """Guards against a node that ends by an exception in what it shows to operators."""
    statuses = iter((1 / 3, math.inf, "unknown", 2 / 3))

    def status():
        value = next(statuses)
        return {"wait_ms": round(value * 3) if value != math.inf else value}  # TypeError for the text

    path, counters, warnings = tmp_path / "status.sock", Counters(), []
    status_socket = StatusSocket(path, "copies", status, "the status", Limits(), counters, warnings.append)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(status_socket.run)
        with anyio.fail_after(5):
            while not path.exists():
                await anyio.sleep(0.01)
            answers = [await anyio.to_thread.run_sync(query_status, path) for _ in range(4)]
        tasks.cancel_scope.cancel()
    assert [json.loads(answer or b"null") for answer in answers] == [{"wait_ms": 1}, None, None, {"wait_ms": 2}]
    assert counters["copies.status.faults"] == 2 and warnings == []
