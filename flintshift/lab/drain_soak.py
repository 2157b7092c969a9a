"""Drains a real node under load and faults that are drawn from a seed.

`drain_under_faults` starts a node with stand-ins and callers, injects the faults, sends the notice to leave, kills the
node at the earliest time that the protocol allows, and has `drain_history` judge what the callers saw.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from flintshift.lab.callers import http_request, uwsgi_request
from flintshift.lab.drain_history import Attempt, End, Process, Verdict, judge
from flintshift.lab.single_node_cluster import SingleNodeCluster
from flintshift.lab.standins import Pool
from flintshift.lab.syscall_faults import NO_FAULTS, Call, Rates, SyscallFaults
from flintshift.lab.termination import Departure, Termination, now_ms
from flintshift.settings.embedded import CLUBS

DEADLINE_MS = 1500.0  # of each class of the embedded settings
KILL_AFTER_MS = DEADLINE_MS + 700.0  # after the notice: the earliest kill that the protocol allows
WINDOW_S = 8.0
CLASSES = ("race-results", "standings", "finish-times", "submit-time")
CLOCK_STEPS_S = (-3600.0, -30.0, -2.0, 2.0, 30.0, 3600.0)
RATE_CHOICES = (
    NO_FAULTS,
    Rates(accept=30),
    Rates(connect=100),
    Rates(short_io=300, interrupted=100),
    Rates(socket=100, accept=30, connect=50, short_io=200, interrupted=50),
)


FAILING_CALLS = (  # these may fail under load and in a drain; no failure of them breaks a caller's connection
    Call.SOCKET,
    Call.BIND,
    Call.LISTEN,
    Call.SETSOCKOPT,
    Call.GETSOCKNAME,
    Call.GETPEERNAME,
    Call.ACCEPT,
    Call.CONNECT,
    Call.EVENTFD,
)


@dataclass(frozen=True, slots=True)
class CallFault:
    """A system call that fails, with an errno that is drawn for each call."""

    call: Call
    rate: int  # of 1,000 calls


@dataclass(frozen=True, slots=True)
class Plan:
    """The load and the faults of one drain; drawn from a seed by `draw_plan`."""

    seed: int
    callers: int  # callers that keep a connection and pause between requests
    pause_s: float  # the longest pause of a caller between two requests
    openers: int  # callers that open a connection for each request
    resting: int  # callers that send one request, and keep the connection until the node closes it
    pieces: float  # share of requests that are written in two pieces
    uwsgi: bool
    rates: Rates
    reloads: int  # SIGHUPs right before the notice
    signals_in_drain: int  # signals of several kinds during the drain
    step_s: float  # adjustment of the wall clock; 0: none
    step_in_drain: bool  # else it happens under load, before the notice
    pool_cuts: int  # resets of the worker pool's link
    calls: tuple[CallFault, ...]  # system calls that fail from the load on


def draw_plan(seed: int) -> Plan:
    """Draw the plan of a seed."""
    rng = random.Random(seed)
    many_callers = rng.random() < 0.25
    return Plan(
        seed=seed,
        callers=rng.choice((20, 60, 120)) if not many_callers else 250,
        pause_s=rng.choice((0.01, 0.1, 0.6, 2.0)),
        openers=rng.choice((0, 5, 20)) if not many_callers else 60,
        resting=rng.choice((0, 10, 40)),
        pieces=rng.choice((0.0, 0.1, 0.4)),
        uwsgi=rng.random() < 0.4,
        rates=rng.choice(RATE_CHOICES),
        reloads=rng.choice((0, 0, 1, 20)),
        signals_in_drain=rng.choice((0, 0, 30)),
        step_s=rng.choice((0.0, 0.0, *CLOCK_STEPS_S)),
        step_in_drain=rng.random() < 0.5,
        pool_cuts=rng.choice((0, 0, 3)),
        calls=tuple(
            CallFault(call, rng.choice((5, 30, 100, 300)))
            for call in rng.sample(FAILING_CALLS, rng.choice((0, 0, 1, 3)))
        ),
    )


class LoopLag:
    """Measures the largest lag of the callers' event loop, by which they may have seen events late."""

    INTERVAL_S = 0.005

    def __init__(self) -> None:
        self.max_ms = 0.0

    async def watch(self) -> None:
        """Measure until the task is cancelled."""
        while True:
            expected_ms = now_ms() + self.INTERVAL_S * 1000
            await asyncio.sleep(self.INTERVAL_S)
            self.max_ms = max(self.max_ms, now_ms() - expected_ms)


class CheckedPool(Pool):
    """A worker pool that checks its commands against the requests that callers have sent.

    ``unknown_runs`` counts commands to run anything else."""

    def __init__(self) -> None:
        super().__init__(cores=4, took_ms={"race-results": 4.0, "submit-time": 8.0, "standings": 1.0})
        self.sent: dict[str, tuple[str, bytes]] = {}
        self.unknown_runs = 0

    async def on_received(self, entry: Any) -> None:
        if entry["t"] == "spawn":
            sent = (entry["route"], base64.b64decode(entry["b64"]))
            self.unknown_runs += self.sent.get(entry["rid"]) != sent


class Link(asyncio.Protocol):
    """One connection of a caller: the data that was received, and how and when the connection ended."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.end: End | None = None
        self.end_ms = 0.0
        self.changed = asyncio.Event()

    def connection_made(self, transport: Any) -> None:
        self.transport: asyncio.Transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.changed.set()

    def eof_received(self) -> bool:
        self._on_end(End.ENDED)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._on_end(End.RESET if error is not None else End.ENDED)

    def _on_end(self, end: End) -> None:
        if self.end is None:
            self.end, self.end_ms = end, now_ms()
        self.changed.set()

    async def read_answer(self) -> tuple[int, bytes, bool] | None:
        """Wait for an answer: its status, its body, and whether it closes the connection.

        None: the connection ended before the answer was complete."""
        while True:
            answer = self._parse_answer()
            if answer is not None or self.end is not None:
                return answer
            self.changed.clear()
            await self.changed.wait()

    def _parse_answer(self) -> tuple[int, bytes, bool] | None:
        head, separator, rest = bytes(self.data).partition(b"\r\n\r\n")
        if not separator:
            return None
        lines = head.lower().split(b"\r\n")
        size = next(int(line[15:]) for line in lines if line.startswith(b"content-length:"))
        if len(rest) < size:
            return None
        self.data = bytearray(rest[size:])
        return int(lines[0][9:12]), rest[:size], b"connection: close" in lines


class Callers:
    """The callers of one drain, and all attempts of their requests."""

    def __init__(self, plan: Plan, cluster: SingleNodeCluster, pool: CheckedPool) -> None:
        self.plan, self.cluster, self.pool = plan, cluster, pool
        self.attempts: list[Attempt] = []
        self.rng = random.Random(plan.seed + 1)
        self.clock_step_ms = 0.0  # adjustment of the wall clock, which the node and the callers share
        self.notice_sent = self.node_exited = False

    async def connect(self) -> Link | None:
        """Open a connection to the http front; None: that failed."""
        try:
            _, link = await asyncio.get_running_loop().create_connection(Link, "127.0.0.1", self.cluster.ports["http"])
        except OSError:
            return None
        return link

    def draw_attempt(self, front: str, key: str | None = None) -> tuple[Attempt, bytes]:
        """Draw an attempt and its bytes. ``key``: the attempt repeats the request of that key."""
        rid = f"{self.rng.getrandbits(64):016x}"
        class_name = "submit-time" if key is not None else self.rng.choice(CLASSES)
        if class_name == "submit-time":
            key, marked_repeat = key or f"key-{rid}", key is not None
            body = key.encode()
        else:
            marked_repeat, body = False, b"body of " + rid.encode()
        fields = {
            "X-Job-Id": rid,
            "X-Door-Time": str(int(time.time() * 1000 + self.clock_step_ms)),
            "X-Sender": "1",
            "X-Team": next(iter(CLUBS)),
            "X-Ram-Kb": "20.5",
            "X-Precedence": "0.5",
            **({"X-Unique": key} if key else {}),
            **({"X-Again": "1"} if marked_repeat else {}),
        }
        attempt = Attempt(rid, front, class_name, body, key, now_ms() + DEADLINE_MS)
        self.attempts.append(attempt)
        self.pool.sent[rid] = (class_name, body)
        return attempt, (http_request if front == "http" else uwsgi_request)(class_name, body, fields)

    async def send(self, link: Link, attempt: Attempt, data: bytes, in_pieces: bool) -> bool:
        """Send an attempt on a connection, and wait for its end; returns whether the connection stays open."""
        if in_pieces:
            split = self.rng.randrange(1, len(data))
            link.transport.write(data[:split])
            await asyncio.sleep(0.06 * self.rng.random())
            data = data[split:]
        if link.end is None:
            link.transport.write(data)
            attempt.written_ms = now_ms()
        answer = await link.read_answer()
        if answer is None:
            attempt.end, attempt.end_ms = link.end, link.end_ms
            return False
        attempt.end, attempt.end_ms = End.ANSWERED, now_ms()
        attempt.status, attempt.result, attempt.announced_close = answer
        return not attempt.announced_close

    async def send_requests(self, rests: bool = False, reconnects: bool = False) -> None:
        """Send requests until the node has exited.

        ``rests``: send one request, then keep the connection idle. ``reconnects``: open a new connection for each."""
        key: str | None = None
        while not self.node_exited:
            link = await self.connect()
            if link is None:
                if self.notice_sent:
                    return
                await asyncio.sleep(0.02)
                continue
            stays_open = True
            while stays_open and not self.node_exited and link.end is None:
                attempt, data = self.draw_attempt("http", key)
                stays_open = await self.send(link, attempt, data, self.rng.random() < self.plan.pieces)
                key = attempt.key if attempt.status == 200 and self.rng.random() < 0.5 else None
                while rests and stays_open and link.end is None:
                    link.changed.clear()
                    await link.changed.wait()
                await asyncio.sleep(self.plan.pause_s * self.rng.random())
                if reconnects:
                    break
            link.transport.close()

    async def send_uwsgi_requests(self) -> None:
        """Send requests to the uwsgi front until the node has exited."""
        while not self.node_exited:
            try:
                _, link = await asyncio.get_running_loop().create_connection(
                    Link, "127.0.0.1", self.cluster.ports["uwsgi"]
                )
            except OSError:
                if self.notice_sent:
                    return
                await asyncio.sleep(0.02)
                continue
            attempt, data = self.draw_attempt("uwsgi")
            await self.send(link, attempt, data, self.rng.random() < self.plan.pieces)
            link.transport.close()
            await asyncio.sleep(self.plan.pause_s * self.rng.random())


class DrainRun:
    """Runs one drain of one node by a plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.pool = CheckedPool()
        folder.mkdir(parents=True, exist_ok=True)
        self.faults = SyscallFaults(folder / "faults", seed=plan.seed)
        self.cluster = SingleNodeCluster(folder, uwsgi=plan.uwsgi, pool=self.pool, environment=self.faults.environment)
        self.callers = Callers(plan, self.cluster, self.pool)
        self.rng = random.Random(plan.seed + 2)
        self.notice_ms, self.lag = 0.0, LoopLag()

    async def run(self) -> Verdict:
        """Run the drain, and judge it."""
        plan, errors = self.plan, self.folder / "stderr"
        with errors.open("wb") as stderr:
            async with self.cluster:
                await self.cluster.kill()
                process = await self.cluster.start(stderr)
                tasks = [asyncio.create_task(self.lag.watch()), *self._start_callers()]
                await asyncio.sleep(0.6)
                self.faults.set_rates(plan.rates)
                for fault in plan.calls:
                    self.faults.fail_call(fault.call, fault.rate)
                await self._inject_faults()
                await self._send_notice(process)
                exit_code, departure = await self._wait_for_exit(process)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        process_end = Process(
            exit_code,
            departure.left_ms,
            self.faults.requests_after_end,
            self.pool.truncated_commands,
            last_counters(errors),
        )
        verdict = judge(
            self.callers.attempts,
            self.pool.spawned,
            self.pool.unknown_runs,
            process_end,
            self.notice_ms,
            self.lag.max_ms,
        )
        verdict.seen["callers_lag_ms"] = round(self.lag.max_ms)
        verdict.seen["left_ms"] = round(process_end.left_ms or -1)
        verdict.seen["ran_ms"], verdict.seen["waited_ms"] = round(departure.ran_ms), round(departure.waited_ms)
        verdict.seen["reads_after_end"] = self.faults.reads_after_end
        return verdict

    def _start_callers(self) -> list[asyncio.Task[None]]:
        plan, callers = self.plan, self.callers
        loops = [callers.send_requests() for _ in range(plan.callers)]
        loops += [callers.send_requests(reconnects=True) for _ in range(plan.openers)]
        loops += [callers.send_requests(rests=True) for _ in range(plan.resting)]
        loops += [callers.send_uwsgi_requests() for _ in range(5 if plan.uwsgi else 0)]
        return [asyncio.create_task(loop) for loop in loops]

    async def _inject_faults(self) -> None:
        """Inject the faults that happen under load, before the notice."""
        for _ in range(self.plan.pool_cuts):
            await asyncio.sleep(0.2 * self.rng.random())
            self.pool.abort_links()
        if self.plan.step_s and not self.plan.step_in_drain:
            self._adjust_clock()
        await asyncio.sleep(0.5 + 0.7 * self.rng.random())

    def _adjust_clock(self) -> None:
        self.faults.step_clock(self.plan.step_s)
        self.callers.clock_step_ms += self.plan.step_s * 1000

    async def _send_notice(self, process: asyncio.subprocess.Process) -> None:
        self.termination = Termination(process, KILL_AFTER_MS)
        await self.termination.prepare()
        for _ in range(self.plan.reloads):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.001)
        self.callers.notice_sent = True
        self.notice_ms = self.termination.send_notice()

    async def _wait_for_exit(self, process: asyncio.subprocess.Process) -> tuple[int, Departure]:
        """Wait until the process exits, or is killed `KILL_AFTER_MS` after the notice; returns the exit code and how it
        ended."""
        disturbances = asyncio.create_task(self._disturb(process))
        departure = await self.termination.wait_for_departure()
        exit_code = await process.wait()
        disturbances.cancel()
        await asyncio.sleep(0.1)  # for events that the callers have not seen yet
        self.callers.node_exited = True
        return exit_code, departure

    async def _disturb(self, process: asyncio.subprocess.Process) -> None:
        """Adjust the clock and send signals during the drain, as planned."""
        await asyncio.sleep(0.3 * self.rng.random())
        if self.plan.step_s and self.plan.step_in_drain:
            self._adjust_clock()
        with contextlib.suppress(ProcessLookupError):
            for _ in range(self.plan.signals_in_drain):
                # `process.send_signal` reaps a process that has ended; its exit code would be lost to the waiting task.
                os.kill(process.pid, self.rng.choice((signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM)))
                await asyncio.sleep(0.05 * self.rng.random())


def last_counters(errors: Path) -> dict[str, int]:
    """The last counters that a node wrote on standard error."""
    for line in reversed(errors.read_text(errors="replace").splitlines()):
        with contextlib.suppress(ValueError, KeyError, TypeError):
            return dict(json.loads(line)["counters"])
    return {}


async def drain_under_faults(seed: int, folder: Path) -> dict[str, Any]:
    """Run the drain of a seed; returns its plan and the verdict."""
    plan = draw_plan(seed)
    verdict = await DrainRun(plan, folder).run()
    return {
        "plan": asdict(plan),
        "broken": dict(verdict.broken),
        "seen": dict(verdict.seen),
        "examples": verdict.examples,
    }
