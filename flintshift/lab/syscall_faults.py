"""Injects failing system calls and wall clock adjustments into a process while it runs.

`syscall_faults.c` is compiled with the system's C compiler and preloaded into the process. The test and the process map
one shared file, through which faults are started, ended and counted at any time. Only a process that is started with
`SyscallFaults.environment` is affected.
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
# The layout of the shared file, `struct control` of the C source; offsets are bytes.
LAYOUT = struct.Struct("=qQ6I2I192x3I4x")
CLOCK = struct.Struct("=q")
CALL_FAULT = struct.Struct("=Ii")
CALL_FAULTS_OFFSET = 48
DISK_CALLS = struct.Struct("=I")
DISK_CALLS_OFFSET = 240
DISK_SPAN = struct.Struct("=II")
DISK_SPAN_OFFSET = 244
ENVIRONMENT_VARIABLE = "FLINTSHIFT_SYSCALL_FAULTS"


class Call(IntEnum):
    """A system call that can be made to fail on its own, in the order of `enum call` in the C source."""

    SOCKET = 0  # except Unix sockets
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
    EPOLL_CTL = 11  # only where it adds a descriptor
    PIPE = 12
    SHUTDOWN = 13
    RECEIVE = 14  # read and recv of sockets
    SEND = 15  # write and send of sockets
    OPEN = 16
    LOOKUP = 17  # of a host name; fails with EAI_AGAIN


@dataclass(frozen=True, slots=True)
class Rates:
    """How many of 1,000 calls fail, are cut short or are interrupted. The errors are transient ones, drawn from the
    lists in the C source."""

    socket: int = 0
    accept: int = 0
    connect: int = 0
    short_io: int = 0  # reads and writes of sockets that transfer only a part
    interrupted: int = 0  # EINTR from waits, reads and writes
    disk: int = 0  # writes and syncs of regular files: ENOSPC, EIO, or a write of half the data


NO_FAULTS = Rates()


class CompileError(Exception):
    """The library could not be compiled; the text is the compiler's output."""


def compiled_library(folder: Path | None = None) -> Path:
    """The path of the compiled library, which is built once for each version of its source.

    Raises:
        CompileError: there is no C compiler, or it rejects the source.
    """
    target_folder = folder or Path(tempfile.gettempdir())
    compiled = target_folder / f"flintshift-syscall-faults-{os.getuid()}-{SOURCE.stat().st_mtime_ns:x}.so"
    if compiled.exists():
        return compiled
    temporary = compiled.with_suffix(f".{os.getpid()}")
    command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(temporary), str(SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, text=True)
    except OSError as error:
        raise CompileError(f"no C compiler: {error}") from error
    except subprocess.CalledProcessError as error:
        raise CompileError(error.stderr) from error
    temporary.replace(compiled)
    return compiled


class SyscallFaults:
    """Controls the faults of one process through the file that it shares with that process."""

    def __init__(self, path: Path, rates: Rates = NO_FAULTS, seed: int = 1) -> None:
        self.path, self.seed = path, seed
        path.write_bytes(LAYOUT.pack(0, seed, *asdict(rates).values(), 0, 0, 0, 0, 0))
        with path.open("r+b") as file:
            self.shared = mmap.mmap(file.fileno(), LAYOUT.size)

    @property
    def environment(self) -> dict[str, str]:
        """The variables that the process needs at its start, beside those of its own environment."""
        return {"LD_PRELOAD": str(compiled_library()), ENVIRONMENT_VARIABLE: str(self.path)}

    def set_rates(self, rates: Rates) -> None:
        """Set the rates at which calls fail from now on."""
        struct.pack_into("=6I", self.shared, 16, *asdict(rates).values())

    def fail_call(self, call: Call, rate: int, error: int = 0) -> None:
        """Make ``rate`` of 1,000 of these calls fail from now on. ``error`` 0: an errno is drawn for each call from the
        C source's list."""
        CALL_FAULT.pack_into(self.shared, CALL_FAULTS_OFFSET + call * CALL_FAULT.size, rate, error)

    def fail_disk_calls(self, first: int, count: int = 1) -> None:
        """Make ``count`` of the coming writes and syncs of regular files fail, from number ``first`` (0: the next)."""
        DISK_SPAN.pack_into(self.shared, DISK_SPAN_OFFSET, self.disk_calls + first, count)

    @property
    def disk_calls(self) -> int:
        """How many writes and syncs of regular files the process has made so far."""
        return int(DISK_CALLS.unpack_from(self.shared, DISK_CALLS_OFFSET)[0])

    def step_clock(self, seconds: float) -> None:
        """Adjust the process's wall clock by ``seconds``: forward, or back if negative."""
        (step_ns,) = CLOCK.unpack_from(self.shared)
        CLOCK.pack_into(self.shared, 0, step_ns + round(seconds * 1e9))

    @property
    def reads_after_end(self) -> int:
        """How many reads returned bytes of a connection after the process had shut down its sending side."""
        return int(struct.unpack_from("=I", self.shared, 40)[0])

    @property
    def requests_after_end(self) -> int:
        """How many of `reads_after_end` returned bytes that begin with a request line."""
        return int(struct.unpack_from("=I", self.shared, 44)[0])
