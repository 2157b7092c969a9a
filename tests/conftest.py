"""Fixtures: settings of an invented server and a controller with its clock, and the program among its stand-ins."""

from __future__ import annotations

import contextlib
import os
import signal
from pathlib import Path

import pytest
from standins import Rig

from flintshift import interface as api
from flintshift.control import Controller
from flintshift.lab.ports import PART

if "PYTEST_XDIST_WORKER" in os.environ:  # workers run beside each other: each starts processes at ports of its own
    os.environ[PART] = f"{os.environ['PYTEST_XDIST_WORKER'][2:]}/{os.environ['PYTEST_XDIST_WORKER_COUNT']}"

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red():
    """The lines of KNOWN-RED.txt, by the test or file of tests that each names."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.partition(": ")[0]: line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Tests that are known to fail run, and their failures are told apart from others."""
    known = known_red()
    for item in items:
        for test, line in known.items():
            if item.nodeid == test or item.nodeid.startswith((f"{test}::", f"{test}[")):
                item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter):
    for line in known_red().values():
        terminalreporter.write_line(f"known red: {line}")


def child_processes():
    """Those of this process that run, by number, with their command."""
    found = {}
    for stat in Path("/proc").glob("[0-9]*/stat"):
        with contextlib.suppress(OSError):  # it has ended meanwhile
            state, parent = stat.read_text().rpartition(")")[2].split()[:2]
            if int(parent) == os.getpid() and state != "Z":
                command = (stat.parent / "cmdline").read_bytes().decode(errors="replace")
                found[int(stat.parent.name)] = command.replace("\0", " ").strip()
    return found


@pytest.fixture(autouse=True)
def no_process_outlives_its_test():
    """A node that a test left behind would go on reporting, and meet the stand-ins of others."""
    before = child_processes()
    yield
    left = {pid: command for pid, command in child_processes().items() if pid not in before}
    for pid in left:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    assert not left, f"left running by this test: {left}"


SAFE = api.RequestClass("look", 1000.0, 3000.0, 1.0, api.Effect.SAFE)
VALUABLE = api.RequestClass("buy", 1000.0, 3000.0, 5.0, api.Effect.UNSAFE, calls=True)
KEYED = api.RequestClass("pay", 1000.0, 3000.0, 3.0, api.Effect.KEYED, repeat_window_ms=8000.0, calls=True)
SKIPPABLE = api.RequestClass("list", 1000.0, 3000.0, 1.0, api.Effect.SAFE, calls=True, skip_worth=0.5)


class Server:
    """A controller with its clock; each step returns the actions."""

    def __init__(self, **changes: object) -> None:
        base: dict = {
            "classes": [SAFE, VALUABLE, KEYED, SKIPPABLE],
            "cores": 2,
            "memory_kb": 10_000.0,
            "run_factor": 4.0,
            "fall_multiple": 5.0,
            "drain_grace_ms": 500.0,
            "tenants": [],
            "call_share": 4.0,
            "call_window_ms": 2000.0,
            "linger_ms": 200.0,
            "halt": api.Halt.ABORT,
            "key_kb": 10.0,
            "advice_allowed": True,
            "advice_max_ms": 1000.0,
        }
        self.control = Controller(api.Settings(**{**base, **changes}), seed=1)
        self.now = 1000.0
        self.count = 0
        self.start_actions = self.control.handle(self.now, api.Started())

    def step(self, event: api.Event, after_ms: float = 0.0) -> list[api.Action]:
        self.now += after_ms
        return self.control.handle(self.now, event)

    def arrive(self, name: str = "look", **changes: object) -> tuple[str, list[api.Action]]:
        self.count += 1
        given: dict = {"request": f"r{self.count}", "class_name": name, "held_kb": 10.0, **changes}
        return given["request"], self.step(api.Arrived(**given))

    def tick(self, after_ms: float = 40.0, **gauges: float) -> list[api.Action]:
        return self.step(api.Woken("tick", api.Gauges(**gauges)), after_ms)

    def end_run(self, request: str, outcome: api.Outcome = api.Outcome.OK, took_ms: float = 100.0) -> list[api.Action]:
        return self.step(api.RunEnded(request, outcome, took_ms))

    def request_call(self, request: str) -> list[api.Action]:
        return self.step(api.CallNeeded(request))

    def end_call(self, request: str, outcome: api.Outcome = api.Outcome.OK, took_ms: float = 50.0) -> list[api.Action]:
        return self.step(api.CallEnded(request, outcome, took_ms))

    def fill(self, name: str = "look") -> list[str]:
        """Arrivals until one is not started at once; returns those that run."""
        running = []
        while True:
            request, actions = self.arrive(name)
            if api.Run(request) not in actions:
                return running
            running.append(request)


@pytest.fixture
def make_server():
    return Server


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def rig(tmp_path):
    async with Rig(tmp_path) as rig:
        yield rig
