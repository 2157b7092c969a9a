"""A process whose system calls fail now and then, and whose wall clock can be stepped while it runs.

`syscall_faults.c` is compiled with the system's C compiler and preloaded into the process; both sides share one file,
so that faults begin, end and are counted at any moment. Only the process that is started with `environment` is
touched.
"""

from __future__ import annotations

import mmap
import os
import struct
import subprocess
import tempfile
from dataclasses import asdict, dataclass
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("syscall_faults.c")
LAYOUT = struct.Struct("=qQ6I2I192x3I4x")
CLOCK = struct.Struct("=q")
CALL_FAULT = struct.Struct("=Ii")
CALL_FAULTS_AT = 48
DISK_CALLS = struct.Struct("=I")
DISK_CALLS_AT = 240
DISK_SPAN = struct.Struct("=II")
DISK_SPAN_AT = 244
VARIABLE = "FLINTSHIFT_SYSCALL_FAULTS"


class Call(IntEnum):
    """A system call that can be made to fail by itself, in the order of `enum call` in the C source."""

    SOCKET = 0  # not of Unix sockets
    BIND = 1
    LISTEN = 2
    SETSOCKOPT = 3
    GETSOCKNAME = 4
    GETPEERNAME = 5
    ACCEPT = 6
    CONNECT = 7
    SOCKETPAIR = 8
    EVENTFD = 9
    EPOLL_CREATE = 10
    EPOLL_CTL = 11  # of descriptors that are added
    PIPE = 12
    SHUTDOWN = 13
    RECEIVE = 14  # read and recv of sockets
    SEND = 15  # write and send of sockets
    OPEN = 16
    LOOKUP = 17  # of a host's name; each fails with EAI_AGAIN


@dataclass(frozen=True, slots=True)
class Rates:
    """Calls of 1,000 that fail, are cut short or interrupted. The errors are those that may pass, of the lists in the
    C source."""

    socket: int = 0
    accept: int = 0
    connect: int = 0
    short_io: int = 0  # reads and writes on sockets that take a part alone
    interrupted: int = 0  # EINTR from waits, reads and writes
    disk: int = 0  # writes and syncs of regular files: ENOSPC, EIO, or a write that takes half


NO_FAULTS = Rates()


class CompileError(Exception):
    """The library could not be compiled; the text is the compiler's."""


def library(folder: Path | None = None) -> Path:
    """The compiled library, made once for each version of its source.

    Raises:
        CompileError: there is no C compiler, or it refuses the source.
    """
    place = folder or Path(tempfile.gettempdir())
    made = place / f"flintshift-syscall-faults-{os.getuid()}-{SOURCE.stat().st_mtime_ns:x}.so"
    if made.exists():
        return made
    new = made.with_suffix(f".{os.getpid()}")
    command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(new), str(SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, text=True)
    except OSError as error:
        raise CompileError(f"no C compiler: {error}") from error
    except subprocess.CalledProcessError as error:
        raise CompileError(error.stderr) from error
    new.replace(made)
    return made


class SyscallFaults:
    """The file that one process shares with whoever plays its faults."""

    def __init__(self, path: Path, rates: Rates = NO_FAULTS, seed: int = 1) -> None:
        self.path, self.seed = path, seed
        path.write_bytes(LAYOUT.pack(0, seed, *asdict(rates).values(), 0, 0, 0, 0, 0))
        with path.open("r+b") as file:
            self.shared = mmap.mmap(file.fileno(), LAYOUT.size)

    @property
    def environment(self) -> dict[str, str]:
        """What a process is to be started with, beside its own."""
        return {"LD_PRELOAD": str(library()), VARIABLE: str(self.path)}

    def set_rates(self, rates: Rates) -> None:
        """Have calls fail at these rates from now on."""
        struct.pack_into("=6I", self.shared, 16, *asdict(rates).values())

    def fail_call(self, call: Call, rate: int, error: int = 0) -> None:
        """Have so many of 1,000 of these calls fail from now on; ``error`` 0: each with one that the C source lists."""
        CALL_FAULT.pack_into(self.shared, CALL_FAULTS_AT + call * CALL_FAULT.size, rate, error)

    def fail_disk_calls(self, first: int, count: int = 1) -> None:
        """Have these writes and syncs of regular files fail, counted from 0 now."""
        DISK_SPAN.pack_into(self.shared, DISK_SPAN_AT, self.disk_calls + first, count)

    @property
    def disk_calls(self) -> int:
        """Writes and syncs of regular files so far."""
        return int(DISK_CALLS.unpack_from(self.shared, DISK_CALLS_AT)[0])

    def step_clock(self, seconds: float) -> None:
        """Set the process's wall clock forward, or back, by so much from where it is now."""
        (step_ns,) = CLOCK.unpack_from(self.shared)
        CLOCK.pack_into(self.shared, 0, step_ns + round(seconds * 1e9))

    @property
    def reads_after_end(self) -> int:
        """Reads of bytes from connections whose end the process had sent."""
        return int(struct.unpack_from("=I", self.shared, 40)[0])

    @property
    def requests_after_end(self) -> int:
        """Of these, that began with a request line."""
        return int(struct.unpack_from("=I", self.shared, 44)[0])
