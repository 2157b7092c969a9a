"""Fixtures: a controller with its clock and the settings of an example server, and the program among its stand-ins."""

from __future__ import annotations

import contextlib
import os
import signal
from pathlib import Path

import pytest
from standins import NodeHarness

from flintshift import interface as api
from flintshift.control import Controller
from flintshift.lab.ports import PORTS_PART_VARIABLE

if "PYTEST_XDIST_WORKER" in os.environ:  # test workers run in parallel: each starts processes on ports of its own
    os.environ[PORTS_PART_VARIABLE] = (
        f"{os.environ['PYTEST_XDIST_WORKER'][2:]}/{os.environ['PYTEST_XDIST_WORKER_COUNT']}"
    )

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red():
    """The lines of KNOWN-RED.txt, by the test or test file that each names."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.partition(": ")[0]: line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Run the tests that are known to fail, and report their failures as expected."""
    known = known_red()
    for item in items:
        for test, line in known.items():
            if item.nodeid == test or item.nodeid.startswith((f"{test}::", f"{test}[")):
                item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter):
    for line in known_red().values():
        terminalreporter.write_line(f"known red: {line}")


def child_processes():
    """The running child processes of this one: their commands by process id."""
    commands = {}
    for stat in Path("/proc").glob("[0-9]*/stat"):
        with contextlib.suppress(OSError):  # the process has ended meanwhile
            state, parent = stat.read_text().rpartition(")")[2].split()[:2]
            if int(parent) == os.getpid() and state != "Z":
                command = (stat.parent / "cmdline").read_bytes().decode(errors="replace")
                commands[int(stat.parent.name)] = command.replace("\0", " ").strip()
    return commands


@pytest.fixture(autouse=True)
def fail_on_leftover_processes():
    """Fail a test that leaves processes running: such a node would go on reporting to the stand-ins of other tests."""
    before = child_processes()
    yield
    leftover = {pid: command for pid, command in child_processes().items() if pid not in before}
    for pid in leftover:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    assert not leftover, f"left running by this test: {leftover}"


SAFE = api.RequestClass("look", 1000.0, 3000.0, 1.0, api.Effect.SAFE)
VALUABLE = api.RequestClass("buy", 1000.0, 3000.0, 5.0, api.Effect.UNSAFE, calls=True)
KEYED = api.RequestClass("pay", 1000.0, 3000.0, 3.0, api.Effect.KEYED, repeat_window_ms=8000.0, calls=True)
SKIPPABLE = api.RequestClass("list", 1000.0, 3000.0, 1.0, api.Effect.SAFE, calls=True, skip_worth=0.5)


class Server:
    """A controller with its clock; each step returns the controller's actions."""

    def __init__(self, **changes: object) -> None:
        defaults: dict = {
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
        self.control = Controller(api.Settings(**{**defaults, **changes}), seed=1)
        self.now = 1000.0
        self.request_count = 0
        self.start_actions = self.control.handle(self.now, api.Started())

    def step(self, event: api.Event, after_ms: float = 0.0) -> list[api.Action]:
        """Handle an event after this time."""
        self.now += after_ms
        return self.control.handle(self.now, event)

    def arrive(self, name: str = "look", **changes: object) -> tuple[str, list[api.Action]]:
        """A request of this class arrives; returns its id and the actions."""
        self.request_count += 1
        fields: dict = {"request": f"r{self.request_count}", "class_name": name, "held_kb": 10.0, **changes}
        return fields["request"], self.step(api.Arrived(**fields))

    def tick(self, after_ms: float = 40.0, **gauges: float) -> list[api.Action]:
        return self.step(api.Woken("tick", api.Gauges(**gauges)), after_ms)

    def end_run(self, request: str, outcome: api.Outcome = api.Outcome.OK, took_ms: float = 100.0) -> list[api.Action]:
        return self.step(api.RunEnded(request, outcome, took_ms))

    def request_call(self, request: str) -> list[api.Action]:
        return self.step(api.CallNeeded(request))

    def end_call(self, request: str, outcome: api.Outcome = api.Outcome.OK, took_ms: float = 50.0) -> list[api.Action]:
        return self.step(api.CallEnded(request, outcome, took_ms))

    def fill(self, name: str = "look") -> list[str]:
        """Requests arrive until one is not started at once; returns those that run."""
        running = []
        while True:
            request, actions = self.arrive(name)
            if api.Run(request) not in actions:
                return running
            running.append(request)


@pytest.fixture
def make_server():
    """The class `Server`, whose keywords change its settings."""
    return Server


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def harness(tmp_path):
    async with NodeHarness(tmp_path) as harness:
        yield harness
