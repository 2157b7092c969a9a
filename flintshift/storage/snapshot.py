"""Complete files that appear at once or not at all: written anew, synced, renamed or linked, then the folder synced."""

from __future__ import annotations

from pathlib import Path

from flintshift.storage import frames
from flintshift.storage.files import Files

UNFINISHED_SUFFIX = ".new"  # of a file that is being written; one left by a crash is removed at the next start


class DamagedError(Exception):
    """Stored data is not what was written; the text names the file and the place."""


def publish(files: Files, path: Path, data: bytes, durable: bool = True) -> None:
    """Write a complete file, which replaces an existing one."""
    unfinished = _write_unfinished(files, path, data, durable)
    files.rename(unfinished, path)
    if durable:
        files.sync_folder(path.parent)


def publish_once(files: Files, path: Path, data: bytes, writer: str) -> bool:
    """Write a complete file if there is none yet; returns False if there is one, which stays as it is.

    Of two writers that do this at once, each under its own name ``writer``, one succeeds."""
    unfinished = _write_unfinished(files, path, data, True, f".{writer}")
    try:
        files.link(unfinished, path)
    except FileExistsError:
        return False
    finally:
        files.remove(unfinished)
    files.sync_folder(path.parent)
    return True


def find_unfinished(names: list[str], name: str, below: int) -> list[str]:
    """Return the unfinished files of ``name``, among a folder's names, of writers with a number under ``below``."""
    candidates = [
        (candidate, candidate.removeprefix(f"{name}.").removesuffix(UNFINISHED_SUFFIX))
        for candidate in names
        if candidate.startswith(f"{name}.") and candidate.endswith(UNFINISHED_SUFFIX)
    ]
    return [candidate for candidate, writer in candidates if writer.isdecimal() and int(writer) < below]


def _write_unfinished(files: Files, path: Path, data: bytes, durable: bool, writer_suffix: str = "") -> Path:
    unfinished = path.with_name(f"{path.name}{writer_suffix}{UNFINISHED_SUFFIX}")
    if unfinished.name in files.names(path.parent):
        files.remove(unfinished)
    file = files.create(unfinished)
    try:
        file.append(data)
        if durable:
            file.sync()
    finally:
        file.close()
    return unfinished


def seal(kind: int, epoch: int, sequence: int, payload: bytes) -> bytes:
    """Encode a file's content with checksum, epoch and sequence, as one frame."""
    return frames.pack(sequence, epoch, kind, payload)


def unseal(path: Path, data: bytes, kind: int) -> frames.Record:
    """Decode the one frame of a file that was written with ``seal``.

    Raises:
        DamagedError: it is not one complete frame of that kind.
    """
    match list(frames.unpack(data)):
        case [frames.Record() as record] if record.kind == kind:
            return record
    raise DamagedError(f"{path}: is damaged: not one whole record of kind {kind}")


def remove_unfinished(files: Files, folder: Path) -> list[str]:
    """Remove files that a crash left unfinished; returns their names."""
    unfinished = [name for name in files.names(folder) if name.endswith(UNFINISHED_SUFFIX)]
    for name in unfinished:
        files.remove(folder / name)
    return unfinished
