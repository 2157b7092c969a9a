"""Whole files that appear at once or not at all: written anew, synced, renamed or linked, folder synced."""

from __future__ import annotations

from pathlib import Path

from flintshift.storage import frames
from flintshift.storage.files import Files

UNFINISHED_SUFFIX = (
    ".new"  # the ending of a file that is being written; left by a death, it is removed at the next start
)


class DamagedError(Exception):
    """What was kept is not what was written; the text names the file and the place."""


def publish(files: Files, path: Path, data: bytes, durable: bool = True) -> None:
    """Put a whole file in place of what is there."""
    made = _written(files, path, data, durable)
    files.rename(made, path)
    if durable:
        files.sync_folder(path.parent)


def publish_once(files: Files, path: Path, data: bytes, by: str) -> bool:
    """Put a whole file where nothing is yet; False where something is, which stays as it is. Of two that do it at
    once, each under its own name ``by``, one wins."""
    made = _written(files, path, data, True, f".{by}")
    try:
        files.link(made, path)
    except FileExistsError:
        return False
    finally:
        files.remove(made)
    files.sync_folder(path.parent)
    return True


def find_unfinished(names: list[str], name: str, by: int) -> list[str]:
    """Of the names in a folder, what writers of a lower number ``by`` left of the file ``name``."""
    ends = [
        (one, one.removeprefix(f"{name}.").removesuffix(UNFINISHED_SUFFIX))
        for one in names
        if one.startswith(f"{name}.") and one.endswith(UNFINISHED_SUFFIX)
    ]
    return [one for one, writer in ends if writer.isdecimal() and int(writer) < by]


def _written(files: Files, path: Path, data: bytes, durable: bool, by: str = "") -> Path:
    made = path.with_name(f"{path.name}{by}{UNFINISHED_SUFFIX}")
    if made.name in files.names(path.parent):
        files.remove(made)
    file = files.create(made)
    try:
        file.append(data)
        if durable:
            file.sync()
    finally:
        file.close()
    return made


def seal(kind: int, epoch: int, sequence: int, payload: bytes) -> bytes:
    """A file's content with checksum, epoch and sequence: one frame."""
    return frames.pack(sequence, epoch, kind, payload)


def unseal(path: Path, data: bytes, kind: int) -> frames.Record:
    """The frame of a sealed file.

    Raises:
        DamagedError: it is not one whole frame of that kind.
    """
    match list(frames.unpack(data)):
        case [frames.Record() as record] if record.kind == kind:
            return record
    raise DamagedError(f"{path}: is damaged: not one whole record of kind {kind}")


def remove_unfinished(files: Files, folder: Path) -> list[str]:
    """Remove what a death left unfinished; returns the names."""
    left = [name for name in files.names(folder) if name.endswith(UNFINISHED_SUFFIX)]
    for name in left:
        files.remove(folder / name)
    return left
