"""The link to the vault: calls by line and length, many on one connection, replies in any order."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from flintshift.core.attempts import CallOver, Report
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.wire.link import BROKEN, JunkError, connect
from flintshift.wire.words import OUTCOMES


@dataclass(slots=True)
class Ask:
    request: str
    asked_ms: float
    limit_ms: float
    payload: bytes


class VaultLink:
    def __init__(self, to: tuple[str, int], limits: Limits, counters: Counters,
                 report: Callable[[Report], Awaitable[None]], now_ms: Callable[[], float]) -> None:
        self.to, self.limits, self.counters = to, limits, counters
        self.report, self.now_ms = report, now_ms
        self.outbox: Mailbox[Ask | str] = Mailbox(limits.outbox)
        self.out: dict[str, Ask] = {}  # calls in the vault's hands

    def ask(self, request: str, limit_ms: float, payload: bytes) -> bool:
        return self.outbox.offer(Ask(request, self.now_ms(), limit_ms, payload))

    def give_up(self, request: str) -> None:
        if not self.outbox.offer(request):  # its reply will find nobody
            self.counters.add("vault.unask_dropped")

    async def _over(self, ask: Ask, by: str, word: str, reply: bytes = b"") -> None:
        self.counters.add(f"vault.{word}")
        await self.report(CallOver(ask.request, OUTCOMES[by, word], self.now_ms() - ask.asked_ms, reply))

    async def run(self) -> None:
        while True:
            command = await self.outbox.take()
            if isinstance(command, str):  # no link, so no call to give up
                continue
            try:
                stream = await connect(self.to, self.limits)
            except BROKEN:
                await self._over(command, "link", "refused")
                continue
            try:
                async with stream:
                    await self._serve(stream, command)
            except* JunkError:
                self.counters.add("vault.junk")
            except* BROKEN:
                self.counters.add("vault.links_lost")
            calls, self.out = self.out, {}
            for ask in calls.values():
                await self._over(ask, "link", "broken")

    async def _serve(self, stream: SocketStream, first: Ask) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read, stream)
            command: Ask | str | None = first
            used_ms = self.now_ms()
            while True:
                batch = b""
                while command is not None:
                    batch += self._line(command)
                    command = self.outbox.take_now()
                if batch:
                    used_ms = self.now_ms()
                    await stream.send(batch)
                grace, idle_ms = self.limits.call_grace_ms, used_ms + self.limits.vault_idle_ms
                ends = min((ask.asked_ms + ask.limit_ms + grace for ask in self.out.values()),
                           default=idle_ms)
                with anyio.move_on_after(max(0.0, ends - self.now_ms()) / 1000):
                    command = await self.outbox.take()
                if command is None and not self.out and self.now_ms() >= idle_ms:
                    # Closed before the vault does it: a call that crosses that close would prove nothing.
                    tasks.cancel_scope.cancel()
                    return
                for ask in [ask for ask in self.out.values()
                            if self.now_ms() >= ask.asked_ms + ask.limit_ms + grace]:
                    del self.out[ask.request]  # the vault said nothing in time
                    await stream.send(f"unask {ask.request}\r\n".encode())
                    await self._over(ask, "link", "silent")

    def _line(self, command: Ask | str) -> bytes:
        if isinstance(command, str):
            return f"unask {command}\r\n".encode() if self.out.pop(command, None) else b""
        self.out[command.request] = command
        left_ms = command.limit_ms - (self.now_ms() - command.asked_ms)
        head = f"ask {command.request} {max(1, round(left_ms))} {len(command.payload)}\r\n"
        return head.encode() + command.payload + b"\r\n"

    async def _read(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        while True:
            line = await reader.receive_until(b"\r\n", self.limits.line)
            parts = line.decode("latin-1").split(" ")
            word, reply = parts[1] if len(parts) > 1 else "", b""
            sized = len(parts) == 3 and parts[2].isdecimal() and int(parts[2]) < self.limits.line
            if word == "yes" and sized:
                reply = await reader.receive_exactly(int(parts[2]))
                if await reader.receive_exactly(2) != b"\r\n":
                    raise JunkError("no line end after a reply")
            elif word == "yes" or ("call", word) not in OUTCOMES or len(parts) != 2:
                raise JunkError(word)
            ask = self.out.pop(parts[0], None)
            if ask is not None:  # else it was given up
                await self._over(ask, "call", word, reply)
