"""The links to the vault: calls by line and length, one at a time on a connection, connections reused.

One call a connection, so that a reply that is spoilt, never comes or is replaced by a reset costs that call
alone; few calls are under way at once.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from flintshift.core.attempts import CallFinished, Report
from flintshift.core.counters import Counters
from flintshift.core.limits import Limits
from flintshift.core.mailbox import Mailbox
from flintshift.interface import Outcome
from flintshift.wire import faults
from flintshift.wire.link import CONNECTION_ERRORS, MalformedMessageError, connect
from flintshift.wire.outcomes import OUTCOMES


@dataclass(slots=True, eq=False)
class Ask:
    request: str
    asked_ms: float
    limit_ms: float
    payload: bytes
    once: bool  # it must not be made twice, nor fail for the sake of a connection
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True, eq=False)
class Line:
    """A connection to the vault, and for whom it was used last."""

    to: tuple[str, int]
    stream: SocketStream
    reader: BufferedByteReceiveStream
    request: str = ""
    used_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ended: ``by`` the vault's own word (`call`), or by what became of its connection (`link`)."""

    by: str
    word: str
    reply: bytes = b""

    @property
    def outcome(self) -> Outcome:
        return OUTCOMES[self.by, self.word]


REFUSED = CallEnd("link", "refused")  # proves that the call never ran
BROKEN_OFF = CallEnd("link", "broken")  # proves nothing
SILENT = CallEnd("link", "silent")


class VaultLink:
    def __init__(
        self,
        to: tuple[str, int] | None,
        limits: Limits,
        counters: Counters,
        report: Callable[[Report], Awaitable[None]],
        now_ms: Callable[[], float],
    ) -> None:
        self.to, self.limits, self.counters = to, limits, counters
        self.report, self.now_ms = report, now_ms
        self.outbox: Mailbox[Ask | str] = Mailbox(limits.outbox_size)
        self.out: dict[str, Ask] = {}  # calls under way
        self.wary_until_ms = 0.0  # a connection that was used before broke lately
        self.idle: list[Line] = []  # the one used last at the end

    def start_call(self, request: str, limit_ms: float, payload: bytes, once: bool) -> bool:
        return self.outbox.offer(Ask(request, self.now_ms(), limit_ms, payload, once))

    def cancel_call(self, request: str) -> None:
        if not self.outbox.offer(request):  # its reply will find nobody
            self.counters.add("vault.unask_dropped")

    def move(self, to: tuple[str, int] | None) -> None:
        """New calls go to another address, or nowhere; those under way stay where they are."""
        self.to = to

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep)
            while True:
                command = await self.outbox.take()
                if isinstance(command, Ask):
                    self._end(command.request)  # a second call for a request gives up the first
                    self.out[command.request] = command
                    tasks.start_soon(self._call, command)
                else:
                    self._end(command)

    def _end(self, request: str) -> None:
        ask = self.out.pop(request, None)
        if ask is not None:
            ask.scope.cancel()  # closes its connection, which gives up the call

    async def _call(self, ask: Ask) -> None:
        with ask.scope:
            try:
                end = await self._end_of(ask)
            except Exception as error:  # whatever else the event loop may raise costs this call, and not the node
                faults.record(self.counters, "vault", error)
                end = BROKEN_OFF
            if self.out.get(ask.request) is ask:
                del self.out[ask.request]
            self.counters.add(f"vault.{end.word}")
            await self.report(CallFinished(ask.request, end.outcome, self.now_ms() - ask.asked_ms, end.reply))

    async def _end_of(self, ask: Ask) -> CallEnd:
        """How the call ended. The vault may have forgotten a connection that was used before, which it resets
        at the next call, and nothing tells that from a reset in place of a reply. So what may be made twice
        is made again on a new connection, and what must not goes on new ones alone for a while after."""
        wary = ask.once and self.now_ms() < self.wary_until_ms
        line = None if wary else self._free_line(ask.request)
        if line is not None:
            end = await self._on(line, ask)
            if end is not BROKEN_OFF:
                return end
            self.wary_until_ms = self.now_ms() + self.limits.vault_new_links_ms
            if ask.once:
                return end
            self.counters.add("vault.made_again")
        to = self.to
        if to is None or len(self.out) > self.limits.vault_connections:  # the bound guards the descriptors
            return REFUSED
        try:
            line = await self._connect(to)
        except CONNECTION_ERRORS:
            return REFUSED
        return await self._on(line, ask)

    async def _on(self, line: Line, ask: Ask) -> CallEnd:
        left_ms = ask.asked_ms + ask.limit_ms - self.now_ms()
        try:
            with anyio.fail_after(max(0.0, left_ms + self.limits.call_grace_ms) / 1000):
                word, reply = await self._ask(line, ask, max(1, round(left_ms)))
        except TimeoutError:
            return SILENT  # nothing more is to be had of the connection
        except MalformedMessageError:
            self.counters.add("vault.junk")
            return BROKEN_OFF
        except CONNECTION_ERRORS:
            self.counters.add("vault.links_lost")
            return BROKEN_OFF
        else:
            # What follows a reply unasked (a second copy, say) must not be taken for the next one.
            if not line.reader.buffer and line.to == self.to:
                line.used_ms = self.now_ms()
                self.idle.append(line)
            return CallEnd("call", word, reply)
        finally:
            if line not in self.idle:
                with anyio.CancelScope(shield=True):
                    await line.stream.aclose()

    def _free_line(self, request: str) -> Line | None:
        """A connection that was in use a moment ago. Guards against one that the vault closes or forgets
        while it is idle, and against a second copy of this request's last reply."""
        since = self.now_ms() - self.limits.max_vault_idle_ms
        fit = [line for line in self.idle if line.used_ms >= since and line.to == self.to and line.request != request]
        if not fit:
            return None
        self.idle.remove(fit[-1])
        return fit[-1]

    async def _connect(self, to: tuple[str, int]) -> Line:
        stream = await connect(to, self.limits)
        self.counters.add("vault.links")
        return Line(to, stream, BufferedByteReceiveStream(stream))

    async def _ask(self, line: Line, ask: Ask, left_ms: int) -> tuple[str, bytes]:
        line.request = ask.request
        head = f"ask {ask.request} {left_ms} {len(ask.payload)}\r\n"
        await line.stream.send(head.encode() + ask.payload + b"\r\n")
        for _ in range(self.limits.max_unmatched_replies):
            if not line.reader.buffer:
                line.reader.feed_data(await line.stream.receive(self.limits.read_chunk_bytes))
            try:
                with anyio.fail_after(self.limits.vault_reply_timeout_ms / 1000):  # a reply comes whole, or is junk
                    request, word, reply = await self._reply(line.reader)
            except TimeoutError as error:
                raise MalformedMessageError("a reply without end") from error
            if request == ask.request:
                return word, reply
            self.counters.add("vault.strays")  # a reply to nothing that was asked here
        raise MalformedMessageError("strays without end")

    async def _reply(self, reader: BufferedByteReceiveStream) -> tuple[str, str, bytes]:
        parts = (await reader.receive_until(b"\r\n", self.limits.max_vault_line_bytes)).decode("latin-1").split(" ")
        word = parts[1] if len(parts) > 1 else ""
        if (
            word == "yes"
            and len(parts) == 3
            and parts[2].isascii()
            and parts[2].isdecimal()
            and len(parts[2]) < 9
            and int(parts[2]) <= self.limits.max_line_bytes
        ):
            reply = await reader.receive_exactly(int(parts[2]))
            if await reader.receive_exactly(2) != b"\r\n":
                raise MalformedMessageError("no line end after a reply")
            return parts[0], word, reply
        if word == "yes" or ("call", word) not in OUTCOMES or len(parts) != 2:
            raise MalformedMessageError(word)
        return parts[0], word, b""

    async def _sweep(self) -> None:
        """Close what has been idle: nothing is owed on it."""
        while True:
            await anyio.sleep(self.limits.max_vault_idle_ms / 1000)
            since = self.now_ms() - self.limits.max_vault_idle_ms
            past = [line for line in self.idle if line.used_ms < since or line.to != self.to]
            self.idle = [line for line in self.idle if line not in past]
            for line in past:
                await line.stream.aclose()
