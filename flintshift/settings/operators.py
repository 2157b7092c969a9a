"""The operators' file: YAML 1.2, checked against a typed model; every fault at once, with its line.

Read it with ``read_operators_file(path)``; ``FaultsError`` carries what was wrong.  The model's fields are the file's keys
with ``-`` for ``_``, and hold defaults and ranges: ``docs/operate/settings.md`` tells them for people.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from flintshift.settings import units
from flintshift.settings.options import (
    ExportOptions,
    FairQueueingOptions,
    HttpSinkOptions,
    LogOptions,
    OperatorSettings,
    PeersOptions,
    ReplicationOptions,
    StartupOptions,
    UsageOptions,
    UwsgiOptions,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a file; ``line`` and ``column`` count from 1, 0 where the file as a whole is meant."""

    file: str
    line: int
    column: int
    path: str  # such as usage.export.http.url
    text: str  # what is wrong and what was expected

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}:{self.column}" if self.line else self.file
        return f"{where}: {self.path}: {self.text}" if self.path else f"{where}: {self.text}"


class FaultsError(Exception):
    """The file can't be used; ``faults`` holds all that is wrong with it, in the order of its lines."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(faults, key=lambda fault: (fault.line, fault.column))
        super().__init__("\n".join(map(str, self.faults)))


def within(least: float, most: float, show: Any) -> AfterValidator:
    def check(value: float) -> float:
        if not least <= value <= most:
            raise ValueError(f"expected {show(least)} to {show(most)}, found {show(value)}")
        return value

    return AfterValidator(check)


def times(least: str, most: str) -> AfterValidator:
    return within(units.duration_ms(least), units.duration_ms(most), units.format_duration)


def sizes(least: str, most: str) -> AfterValidator:
    return within(units.size_bytes(least), units.size_bytes(most), "{:,} B".format)


def whole_ms(value: float) -> float:
    if value != int(value):
        raise ValueError("expected a whole number of milliseconds")
    return value


def loopback_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError("expected http://host:port/path")
    units.parse_loopback_address(f"{parts.hostname}:{parts.port or 80}")
    return value.rstrip("/")


Duration = Annotated[float, BeforeValidator(units.duration_ms)]
Size = Annotated[int, BeforeValidator(units.size_bytes)]
Address = Annotated[tuple[str, int], BeforeValidator(units.parse_loopback_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9_]([A-Za-z0-9_.-]{0,250}[A-Za-z0-9_.])?$")]


class Part(BaseModel):
    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, alias_generator=lambda name: name.replace("_", "-")
    )


class UwsgiPart(Part):
    enabled: bool = False
    listen: Address = ("127.0.0.1", 3031)
    resolver: Address = ("127.0.0.1", 5353)
    domain: Name = "desks.example"
    app_service: Name = "_uwsgi._tcp"
    node_service: Name = "_results._tcp"


class LogPart(Part):
    enabled: bool = False
    format: Literal["json", "text"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
    repeats: Annotated[Duration, times("0ms", "1h")] = 10_000.0


class HttpPart(Part):
    url: Annotated[str, AfterValidator(loopback_url)]
    timeout: Annotated[Duration, times("10ms", "5min")] = 10_000.0


class ExportPart(Part):
    folder: Annotated[str, Field(min_length=1)] | None = None
    http: HttpPart | None = None
    backoff: Annotated[Duration, times("1ms", "1h")] = 1000.0
    backoff_most: Annotated[Duration, times("1ms", "1d")] = 300_000.0
    attempts_per_hour: Annotated[int, Field(ge=1, le=100_000)] = 600


class UsagePart(Part):
    enabled: bool = False
    folder: Annotated[str, Field(min_length=1)] = "usage"
    period: Annotated[Duration, times("1s", "31d"), AfterValidator(whole_ms)] = 3_600_000.0
    grace: Annotated[Duration, times("0ms", "1d"), AfterValidator(whole_ms)] = 30_000.0
    durability: Literal["power-cut", "process-death", "none"] = "process-death"
    sync: Annotated[Duration, times("0ms", "1min")] | None = None  # by durability: see SYNC_MS
    on_disk_failure: Literal["serve", "refuse"] = "serve"
    segment: Annotated[Size, sizes("4KiB", "1GiB")] = 16 << 20
    retention: Annotated[Duration, times("0ms", "3660d"), AfterValidator(whole_ms)] = 35 * 86_400_000.0
    export: ExportPart | None = None


class DoorPart(Part):
    enabled: bool = False
    socket: Annotated[str, Field(min_length=1)] | None = None


class MemberPart(Part):
    hall: Name
    address: Address


class PeersPart(Part):
    enabled: bool = False
    listen: Address = ("127.0.0.1", 7400)
    epoch: Annotated[int, Field(ge=1, le=1 << 31)] = 1
    members: dict[Name, MemberPart] = {}
    beat: Annotated[Duration, times("20ms", "10s")] = 200.0
    lease: Annotated[Duration, times("100ms", "1min")] = 1200.0


class CopiesPart(Part):
    enabled: bool = False
    folder: Annotated[str, Field(min_length=1)] = "copies"
    copies: Annotated[int, Field(ge=1, le=7)] = 3
    durability: Literal["power-cut", "process-death"] = "process-death"
    keys: Annotated[int, Field(ge=100, le=10_000_000)] = 200_000
    memory: Annotated[Size, sizes("1MiB", "16GiB")] = 256 << 20
    segment: Annotated[Size, sizes("64KiB", "1GiB")] = 16 << 20
    take_over_use: Annotated[Duration, times("1s", "7d")] = 60_000.0


class StartupPart(Part):
    enabled: bool = False
    socket: Annotated[str, Field(min_length=1)] | None = None
    folder: Annotated[str, Field(min_length=1)] | None = None
    at_once: Annotated[int, Field(ge=1, le=1000)] | None = None


SYNC_MS = {"power-cut": 5.0, "process-death": 50.0, "none": 50.0}
SYNC_HELD_MS = 100.0  # the most where answers wait for it: they have due times


class File(Part):
    uwsgi: UwsgiPart = UwsgiPart()
    log: LogPart = LogPart()
    usage: UsagePart = UsagePart()
    door: DoorPart = DoorPart()
    peers: PeersPart = PeersPart()
    copies: CopiesPart = CopiesPart()
    startup: StartupPart = StartupPart()


def read_operators_file(path: Path) -> OperatorSettings:
    """The file's settings.

    Raises:
        FaultsError: it can't be read, is no YAML, or does not fit the model.
    """
    return parse_operators_file(str(path), _text(path), path.parent)


def _text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        text = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
        raise FaultsError([Fault(str(path), 0, 0, "", f"can't be read: {text}")]) from error


def parse_operators_file(name: str, text: str, base: Path) -> OperatorSettings:
    """Settings from a text; relative folders in it are taken from ``base``."""
    reader = YAML(typ="rt", pure=True)
    try:
        tree = reader.load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark is not None else (0, 0)
        words = (error.problem or error.context or "no YAML").split("\n")[0]
        raise FaultsError([Fault(name, line, column, "", f"no YAML 1.2: {words}")]) from error
    except (YAMLError, ValueError, RecursionError) as error:
        raise FaultsError([Fault(name, 0, 0, "", f"no YAML 1.2: {' '.join(str(error).split())}")]) from error
    if tree is None:
        tree = CommentedMap()
    if not isinstance(tree, CommentedMap):
        raise FaultsError([Fault(name, 1, 1, "", "expected keys with values, such as uwsgi:")])
    try:
        told = File.model_validate(_plain(tree))
    except ValidationError as error:
        raise FaultsError(
            [Fault(name, *_place(tree, found["loc"]), _path(found["loc"]), _words(found)) for found in error.errors()]
        ) from error
    faults = [Fault(name, *_place(tree, tuple(path.split("."))), path, text) for path, text in _across(told)]
    if faults:
        raise FaultsError(faults)
    return _options(told, base)


def _across(told: File) -> list[tuple[str, str]]:
    """Faults that lie between values: the path that is to be changed, and what is wrong."""
    found = []
    export = told.usage.export
    if export is not None and export.folder is None and export.http is None:
        found.append(("usage.export", "expected a folder, http, or both to export to"))
    if export is not None and export.backoff > export.backoff_most:
        found.append(("usage.export.backoff", "expected no more than backoff-most"))
    if told.usage.durability == "power-cut" and (told.usage.sync or 0.0) > SYNC_HELD_MS:
        found.append(
            (
                "usage.sync",
                f"expected at most {units.format_duration(SYNC_HELD_MS)} with durability power-cut, "
                "where answers wait for it",
            )
        )
    if told.usage.enabled and told.usage.grace > 31 * told.usage.period:
        found.append(("usage.grace", "expected at most 31 periods"))
    peers, copies = told.peers, told.copies
    if peers.enabled and len(peers.members) < 2:
        found.append(("peers.members", "expected at least two members, this one too"))
    addresses = [one.address for one in peers.members.values()]
    for name, one in peers.members.items():
        if addresses.count(one.address) > 1:
            found.append((f"peers.members.{name}.address", "expected an address of its own; another member has it too"))
    if peers.lease < 3 * peers.beat:
        found.append(("peers.lease", "expected at least three times peers.beat: one lost beat must accuse nobody"))
    if copies.enabled and not peers.enabled:
        found.append(("copies.enabled", "expected peers.enabled too: copies are held by the members of peers"))
    if told.startup.enabled and told.startup.at_once is not None and not (copies.enabled and peers.enabled):
        found.append(
            (
                "startup.at-once",
                "expected peers.enabled and copies.enabled too: members grant each other permits over those links",
            )
        )
    if copies.enabled and peers.enabled and copies.copies > len(peers.members):
        found.append(("copies.copies", f"expected at most the {len(peers.members)} members of peers"))
    return found


def _plain(value: Any) -> Any:
    """The tree without its marks: the model is strict about types."""
    if isinstance(value, CommentedMap):
        return {str(key): _plain(inner) for key, inner in value.items()}
    if isinstance(value, CommentedSeq):
        return [_plain(inner) for inner in value]
    for kind in (bool, int, float, str):
        if isinstance(value, kind):
            return kind(value)
    return value


def _place(tree: Any, path: tuple[int | str, ...]) -> tuple[int, int]:
    """Line and column of the deepest key of the path that the file holds; 1, 1 where it holds none."""
    line, column = 1, 1
    for step in path:
        if isinstance(tree, CommentedMap) and step in tree:
            line, column = (mark + 1 for mark in tree.lc.key(step))
        elif isinstance(tree, CommentedSeq) and isinstance(step, int) and step < len(tree):
            line, column = (mark + 1 for mark in tree.lc.item(step))
        else:
            break
        tree = tree[step]
    return line, column


def _path(loc: tuple[int | str, ...]) -> str:
    return ".".join(map(str, loc))


def _words(found: Any) -> str:
    match found["type"]:
        case "extra_forbidden":
            return "unknown key"
        case "missing":
            return "this key is missing"
        case "literal_error":
            return f"expected {found['ctx']['expected']}, found {found['input']!r}"
        case "value_error":
            text = str(found["ctx"]["error"])
            return text if "found" in text else f"{text}, found {found['input']!r}"
        case "bool_type":
            return f"expected true or false, found {found['input']!r}"
        case "model_type" | "model_attributes_type":
            return f"expected keys with values, found {found['input']!r}"
        case _:
            text = found["msg"].replace("Input should be", "expected")
            return f"{text}, found {found['input']!r}"


def _options(told: File, base: Path) -> OperatorSettings:
    uwsgi, log, usage = told.uwsgi, told.log, told.usage
    return OperatorSettings(
        uwsgi=UwsgiOptions(uwsgi.listen, uwsgi.resolver, uwsgi.domain, uwsgi.app_service, uwsgi.node_service)
        if uwsgi.enabled
        else None,
        log=LogOptions(log.format, log.level, log.repeats) if log.enabled else None,
        usage=UsageOptions(
            base / usage.folder,
            int(usage.period),
            int(usage.grace),
            usage.durability,
            SYNC_MS[usage.durability] if usage.sync is None else usage.sync,
            usage.on_disk_failure,
            usage.segment,
            int(usage.retention),
            _export(usage.export, base),
        )
        if usage.enabled
        else None,
        door=FairQueueingOptions(base / told.door.socket if told.door.socket else None) if told.door.enabled else None,
        peers=_peers(told.peers),
        copies=_copies(told.copies, base),
        startup=_startup(told.startup, base),
    )


def _peers(told: PeersPart) -> PeersOptions | None:
    if not told.enabled:
        return None
    members = {name: (one.hall, one.address) for name, one in told.members.items()}
    return PeersOptions(told.listen, members, told.epoch, told.beat, told.lease)


def _copies(told: CopiesPart, base: Path) -> ReplicationOptions | None:
    if not told.enabled:
        return None
    return ReplicationOptions(
        base / told.folder, told.copies, told.durability, told.keys, told.memory, told.segment, told.take_over_use
    )


def _startup(told: StartupPart, base: Path) -> StartupOptions | None:
    if not told.enabled:
        return None
    return StartupOptions(
        base / told.socket if told.socket else None, base / told.folder if told.folder else None, told.at_once
    )


def _export(told: ExportPart | None, base: Path) -> ExportOptions | None:
    if told is None:
        return None
    http = HttpSinkOptions(told.http.url, told.http.timeout) if told.http is not None else None
    return ExportOptions(
        base / told.folder if told.folder is not None else None,
        http,
        told.backoff,
        told.backoff_most,
        told.attempts_per_hour,
    )
