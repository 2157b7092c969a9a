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
from flintshift.lab.drain_history import End, Process, Try, Verdict, judge
from flintshift.lab.rig import Rig
from flintshift.lab.standins import Pool
from flintshift.lab.syscall_faults import NO_FAULTS, Call, Rates, SyscallFaults
from flintshift.lab.termination import Departure, Termination, now_ms
from flintshift.settings.embedded import CLUBS

DEADLINE_MS = 1500.0  # of each class of the embedded settings
KILL_AFTER_MS = DEADLINE_MS + 700.0  # the earliest moment that the protocol names
WINDOW_S = 8.0
CLASSES = ("race-results", "standings", "finish-times", "submit-time")
STEPS_S = (-3600.0, -30.0, -2.0, 2.0, 30.0, 3600.0)
FAULTS = (
    NO_FAULTS,
    Rates(accept=30),
    Rates(connect=100),
    Rates(short_io=300, interrupted=100),
    Rates(socket=100, accept=30, connect=50, short_io=200, interrupted=50),
)


CALLS = (  # what may fail under load and in a drain, besides: not what breaks a caller's connection
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
    """One call that fails, with an error that is drawn anew each time."""

    call: Call
    rate: int  # of 1,000 calls


@dataclass(frozen=True, slots=True)
class Plan:
    """What is done to one node; drawn from a seed by `draw_plan`."""

    seed: int
    callers: int  # that keep a connection and ask again after a pause
    pause_s: float  # the longest
    openers: int  # that open a connection for each request
    resting: int  # that ask once, and keep the connection until the node ends it
    pieces: float  # the share of requests that are written in pieces
    uwsgi: bool
    rates: Rates
    reloads: int  # SIGHUP right before the notice
    signals_in_drain: int  # of several kinds, in the drain
    step_s: float  # of the wall clock; 0: none
    step_in_drain: bool  # else under load, before the notice
    pool_cuts: int  # resets of the worker pool's link
    calls: tuple[CallFault, ...]


def draw_plan(seed: int) -> Plan:
    draw = random.Random(seed)
    crowd = draw.random() < 0.25
    return Plan(
        seed=seed,
        callers=draw.choice((20, 60, 120)) if not crowd else 250,
        pause_s=draw.choice((0.01, 0.1, 0.6, 2.0)),
        openers=draw.choice((0, 5, 20)) if not crowd else 60,
        resting=draw.choice((0, 10, 40)),
        pieces=draw.choice((0.0, 0.1, 0.4)),
        uwsgi=draw.random() < 0.4,
        rates=draw.choice(FAULTS),
        reloads=draw.choice((0, 0, 1, 20)),
        signals_in_drain=draw.choice((0, 0, 30)),
        step_s=draw.choice((0.0, 0.0, *STEPS_S)),
        step_in_drain=draw.random() < 0.5,
        pool_cuts=draw.choice((0, 0, 3)),
        calls=tuple(
            CallFault(call, draw.choice((5, 30, 100, 300))) for call in draw.sample(CALLS, draw.choice((0, 0, 1, 3)))
        ),
    )


class LoopLag:
    """How late the callers' own event loop was at the most: so late they may have seen what came."""

    LOOK_S = 0.005

    def __init__(self) -> None:
        self.most_ms = 0.0

    async def watch(self) -> None:
        while True:
            due_ms = now_ms() + self.LOOK_S * 1000
            await asyncio.sleep(self.LOOK_S)
            self.most_ms = max(self.most_ms, now_ms() - due_ms)


class CheckedPool(Pool):
    """A worker pool that knows what callers have sent: ``strangers`` counts commands to run anything else."""

    def __init__(self) -> None:
        super().__init__(cores=4, took_ms={"race-results": 4.0, "submit-time": 8.0, "standings": 1.0})
        self.sent: dict[str, tuple[str, bytes]] = {}
        self.strangers = 0

    async def on_received(self, entry: Any) -> None:
        if entry["t"] == "spawn":
            sent = (entry["route"], base64.b64decode(entry["b64"]))
            self.strangers += self.sent.get(entry["rid"]) != sent


class Link(asyncio.Protocol):
    """One connection of a caller: what comes on it, and how and when it ends."""

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
        self._over(End.ENDED)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._over(End.RESET if error is not None else End.ENDED)

    def _over(self, end: End) -> None:
        if self.end is None:
            self.end, self.end_ms = end, now_ms()
        self.changed.set()

    async def answer(self) -> tuple[int, bytes, bool] | None:
        """Status, body, and whether it is the connection's last; None where the connection ends before it is whole."""
        while True:
            found = self._whole()
            if found is not None or self.end is not None:
                return found
            self.changed.clear()
            await self.changed.wait()

    def _whole(self) -> tuple[int, bytes, bool] | None:
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
    """All callers of one play, and what each try came to."""

    def __init__(self, plan: Plan, rig: Rig, pool: CheckedPool) -> None:
        self.plan, self.rig, self.pool = plan, rig, pool
        self.tries: list[Try] = []
        self.draw = random.Random(plan.seed + 1)
        self.step_ms = 0.0  # of the wall clock, which is the node's and the callers'
        self.noticed = self.gone = False

    async def connected(self) -> Link | None:
        try:
            _, link = await asyncio.get_running_loop().create_connection(Link, "127.0.0.1", self.rig.ports["http"])
        except OSError:
            return None
        return link

    def drawn_try(self, front: str, key: str | None = None) -> tuple[Try, bytes]:
        """A new try and its bytes; a further one of the same request where a key is given."""
        rid = f"{self.draw.getrandbits(64):016x}"
        class_name = "submit-time" if key is not None else self.draw.choice(CLASSES)
        if class_name == "submit-time":
            key, again = key or f"key-{rid}", key is not None
            body = key.encode()
        else:
            again, body = False, b"body of " + rid.encode()
        told = {
            "X-Job-Id": rid,
            "X-Door-Time": str(int(time.time() * 1000 + self.step_ms)),
            "X-Sender": "1",
            "X-Team": next(iter(CLUBS)),
            "X-Ram-Kb": "20.5",
            "X-Precedence": "0.5",
            **({"X-Unique": key} if key else {}),
            **({"X-Again": "1"} if again else {}),
        }
        one = Try(rid, front, class_name, body, key, now_ms() + DEADLINE_MS)
        self.tries.append(one)
        self.pool.sent[rid] = (class_name, body)
        return one, (http_request if front == "http" else uwsgi_request)(class_name, body, told)

    async def ask(self, link: Link, one: Try, data: bytes, in_pieces: bool) -> bool:
        """One try on a connection; True where the connection stays."""
        if in_pieces:
            at = self.draw.randrange(1, len(data))
            link.transport.write(data[:at])
            await asyncio.sleep(0.06 * self.draw.random())
            data = data[at:]
        if link.end is None:
            link.transport.write(data)
            one.whole_ms = now_ms()
        found = await link.answer()
        if found is None:
            one.end, one.end_ms = link.end, link.end_ms
            return False
        one.end, one.end_ms = End.ANSWERED, now_ms()
        one.status, one.result, one.said_close = found
        return not one.said_close

    async def keep_asking(self, rests: bool = False, opens: bool = False) -> None:
        """Ask again and again until the node is gone; ``rests``: once, and then only look on; ``opens``: each time on
        a new connection."""
        key: str | None = None
        while not self.gone:
            link = await self.connected()
            if link is None:
                if self.noticed:
                    return
                await asyncio.sleep(0.02)
                continue
            stays = True
            while stays and not self.gone and link.end is None:
                one, data = self.drawn_try("http", key)
                stays = await self.ask(link, one, data, self.draw.random() < self.plan.pieces)
                key = one.key if one.status == 200 and self.draw.random() < 0.5 else None
                while rests and stays and link.end is None:
                    link.changed.clear()
                    await link.changed.wait()
                await asyncio.sleep(self.plan.pause_s * self.draw.random())
                if opens:
                    break
            link.transport.close()

    async def ask_by_uwsgi(self) -> None:
        while not self.gone:
            try:
                _, link = await asyncio.get_running_loop().create_connection(Link, "127.0.0.1", self.rig.ports["uwsgi"])
            except OSError:
                if self.noticed:
                    return
                await asyncio.sleep(0.02)
                continue
            one, data = self.drawn_try("uwsgi")
            await self.ask(link, one, data, self.draw.random() < self.plan.pieces)
            link.transport.close()
            await asyncio.sleep(self.plan.pause_s * self.draw.random())


class DrainRun:
    """One drain of one node."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.pool = CheckedPool()
        folder.mkdir(parents=True, exist_ok=True)
        self.faults = SyscallFaults(folder / "faults", seed=plan.seed)
        self.rig = Rig(folder, uwsgi=plan.uwsgi, pool=self.pool, environment=self.faults.environment)
        self.callers = Callers(plan, self.rig, self.pool)
        self.draw = random.Random(plan.seed + 2)
        self.notice_ms, self.lag = 0.0, LoopLag()

    async def run(self) -> Verdict:
        plan, errors = self.plan, self.folder / "stderr"
        with errors.open("wb") as stderr:
            async with self.rig:
                await self.rig.kill()
                process = await self.rig.start(stderr)
                tasks = [asyncio.create_task(self.lag.watch()), *self._start_callers()]
                await asyncio.sleep(0.6)
                self.faults.set_rates(plan.rates)
                for fault in plan.calls:
                    self.faults.fail_call(fault.call, fault.rate)
                await self._hurt()
                await self._notice(process)
                exit_code, departure = await self._ended(process)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        ended = Process(
            exit_code,
            departure.left_ms,
            self.faults.requests_after_end,
            self.pool.truncated_commands,
            counters_of(errors),
        )
        verdict = judge(
            self.callers.tries, self.pool.spawned, self.pool.strangers, ended, self.notice_ms, self.lag.most_ms
        )
        verdict.seen["callers_lag_ms"] = round(self.lag.most_ms)
        verdict.seen["left_ms"] = round(ended.left_ms or -1)
        verdict.seen["ran_ms"], verdict.seen["waited_ms"] = round(departure.ran_ms), round(departure.waited_ms)
        verdict.seen["reads_after_end"] = self.faults.reads_after_end
        return verdict

    def _start_callers(self) -> list[asyncio.Task[None]]:
        plan, callers = self.plan, self.callers
        kinds = [callers.keep_asking() for _ in range(plan.callers)]
        kinds += [callers.keep_asking(opens=True) for _ in range(plan.openers)]
        kinds += [callers.keep_asking(rests=True) for _ in range(plan.resting)]
        kinds += [callers.ask_by_uwsgi() for _ in range(5 if plan.uwsgi else 0)]
        return [asyncio.create_task(one) for one in kinds]

    async def _hurt(self) -> None:
        """What is done under load, before the notice."""
        for _ in range(self.plan.pool_cuts):
            await asyncio.sleep(0.2 * self.draw.random())
            self.pool.abort_links()
        if self.plan.step_s and not self.plan.step_in_drain:
            self._step()
        await asyncio.sleep(0.5 + 0.7 * self.draw.random())

    def _step(self) -> None:
        self.faults.step_clock(self.plan.step_s)
        self.callers.step_ms += self.plan.step_s * 1000

    async def _notice(self, process: asyncio.subprocess.Process) -> None:
        self.termination = Termination(process, KILL_AFTER_MS)
        await self.termination.prepare()
        for _ in range(self.plan.reloads):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.001)
        self.callers.noticed = True
        self.notice_ms = self.termination.send_notice()

    async def _ended(self, process: asyncio.subprocess.Process) -> tuple[int, Departure]:
        """The exit code, and how it left; it is killed at the earliest moment that the protocol names."""
        disturbing = asyncio.create_task(self._disturb(process))
        departure = await self.termination.wait_for_departure()
        exit_code = await process.wait()
        disturbing.cancel()
        await asyncio.sleep(0.1)  # for what the callers have not seen yet
        self.callers.gone = True
        return exit_code, departure

    async def _disturb(self, process: asyncio.subprocess.Process) -> None:
        await asyncio.sleep(0.3 * self.draw.random())
        if self.plan.step_s and self.plan.step_in_drain:
            self._step()
        with contextlib.suppress(ProcessLookupError):
            for _ in range(self.plan.signals_in_drain):
                # Not by `send_signal`: it reaps a process that has ended, and its exit code is lost for whoever waits.
                os.kill(process.pid, self.draw.choice((signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM)))
                await asyncio.sleep(0.05 * self.draw.random())


def counters_of(errors: Path) -> dict[str, int]:
    """The last counters that a node wrote."""
    for line in reversed(errors.read_text(errors="replace").splitlines()):
        with contextlib.suppress(ValueError, KeyError, TypeError):
            return dict(json.loads(line)["counters"])
    return {}


async def drain_under_faults(seed: int, folder: Path) -> dict[str, Any]:
    """One drawn play: its plan and what was seen."""
    plan = draw_plan(seed)
    verdict = await DrainRun(plan, folder).run()
    return {
        "plan": asdict(plan),
        "broken": dict(verdict.broken),
        "seen": dict(verdict.seen),
        "examples": verdict.examples,
    }
