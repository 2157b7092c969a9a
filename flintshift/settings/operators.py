"""Reads the operators' file, which is YAML 1.2, and checks it against a typed model.

``read_operators_file(path)`` reads it; a ``FaultsError`` reports all its faults at once, with their lines. The fields
of the model are the keys of the file, with ``_`` in place of ``-``, and have the defaults and ranges, which
``docs/operate/settings.md`` documents for operators.
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
    """A fault of a file; ``line`` and ``column`` count from 1, and are 0 for a fault of the file as a whole."""

    file: str
    line: int
    column: int
    path: str  # of the key, such as usage.export.http.url
    text: str  # what is wrong and what was expected

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}:{self.column}" if self.line else self.file
        return f"{location}: {self.path}: {self.text}" if self.path else f"{location}: {self.text}"


class FaultsError(Exception):
    """The file can't be used; ``faults`` lists all its faults in the order of their lines."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(faults, key=lambda fault: (fault.line, fault.column))
        super().__init__("\n".join(map(str, self.faults)))


def value_range(minimum: float, maximum: float, format_value: Any) -> AfterValidator:
    """Return a validator for values from ``minimum`` to ``maximum``; ``format_value`` writes them in messages."""

    def check(value: float) -> float:
        if not minimum <= value <= maximum:
            raise ValueError(
                f"expected {format_value(minimum)} to {format_value(maximum)}, found {format_value(value)}"
            )
        return value

    return AfterValidator(check)


def duration_range(minimum: str, maximum: str) -> AfterValidator:
    """Return a validator for durations; the bounds have units."""
    return value_range(units.duration_ms(minimum), units.duration_ms(maximum), units.format_duration)


def size_range(minimum: str, maximum: str) -> AfterValidator:
    """Return a validator for sizes; the bounds have units."""
    return value_range(units.size_bytes(minimum), units.size_bytes(maximum), "{:,} B".format)


def require_whole_ms(value: float) -> float:
    """Reject a duration with a fraction of a millisecond."""
    if value != int(value):
        raise ValueError("expected a whole number of milliseconds")
    return value


def check_loopback_url(value: str) -> str:
    """Reject a URL that isn't http on this machine; return it without a slash at its end."""
    parts = urlsplit(value)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError("expected http://host:port/path")
    units.parse_loopback_address(f"{parts.hostname}:{parts.port or 80}")
    return value.rstrip("/")


Duration = Annotated[float, BeforeValidator(units.duration_ms)]
Size = Annotated[int, BeforeValidator(units.size_bytes)]
Address = Annotated[tuple[str, int], BeforeValidator(units.parse_loopback_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9_]([A-Za-z0-9_.-]{0,250}[A-Za-z0-9_.])?$")]


class Section(BaseModel):
    """A section of the file: unknown keys are faults, and values are not converted."""

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, alias_generator=lambda name: name.replace("_", "-")
    )


class UwsgiSection(Section):
    """The uwsgi front and its service discovery over DNS."""

    enabled: bool = False
    listen: Address = ("127.0.0.1", 3031)
    resolver: Address = ("127.0.0.1", 5353)
    domain: Name = "desks.example"
    app_service: Name = "_uwsgi._tcp"
    node_service: Name = "_results._tcp"


class LogSection(Section):
    """The log."""

    enabled: bool = False
    format: Literal["json", "text"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
    repeats: Annotated[Duration, duration_range("0ms", "1h")] = 10_000.0


class HttpSection(Section):
    """An HTTP sink of the usage export."""

    url: Annotated[str, AfterValidator(check_loopback_url)]
    timeout: Annotated[Duration, duration_range("10ms", "5min")] = 10_000.0


class ExportSection(Section):
    """The export of usage documents."""

    folder: Annotated[str, Field(min_length=1)] | None = None
    http: HttpSection | None = None
    backoff: Annotated[Duration, duration_range("1ms", "1h")] = 1000.0
    backoff_most: Annotated[Duration, duration_range("1ms", "1d")] = 300_000.0
    attempts_per_hour: Annotated[int, Field(ge=1, le=100_000)] = 600


class UsageSection(Section):
    """The usage ledger."""

    enabled: bool = False
    folder: Annotated[str, Field(min_length=1)] = "usage"
    period: Annotated[Duration, duration_range("1s", "31d"), AfterValidator(require_whole_ms)] = 3_600_000.0
    grace: Annotated[Duration, duration_range("0ms", "1d"), AfterValidator(require_whole_ms)] = 30_000.0
    durability: Literal["power-cut", "process-death", "none"] = "process-death"
    sync: Annotated[Duration, duration_range("0ms", "1min")] | None = None  # None: by durability, see DEFAULT_SYNC_MS
    on_disk_failure: Literal["serve", "refuse"] = "serve"
    segment: Annotated[Size, size_range("4KiB", "1GiB")] = 16 << 20
    retention: Annotated[Duration, duration_range("0ms", "3660d"), AfterValidator(require_whole_ms)] = 35 * 86_400_000.0
    export: ExportSection | None = None


class FairQueueingSection(Section):
    """The fair queues by club and caller."""

    enabled: bool = False
    socket: Annotated[str, Field(min_length=1)] | None = None


class MemberSection(Section):
    """One member of the fleet."""

    hall: Name
    address: Address


class PeersSection(Section):
    """The members of the fleet, this node included, and their heartbeats."""

    enabled: bool = False
    listen: Address = ("127.0.0.1", 7400)
    epoch: Annotated[int, Field(ge=1, le=1 << 31)] = 1
    members: dict[Name, MemberSection] = {}
    beat: Annotated[Duration, duration_range("20ms", "10s")] = 200.0
    lease: Annotated[Duration, duration_range("100ms", "1min")] = 1200.0


class ReplicationSection(Section):
    """The replication of keys and usage ledgers among members."""

    enabled: bool = False
    folder: Annotated[str, Field(min_length=1)] = "copies"
    copies: Annotated[int, Field(ge=1, le=7)] = 3
    durability: Literal["power-cut", "process-death"] = "process-death"
    keys: Annotated[int, Field(ge=100, le=10_000_000)] = 200_000
    memory: Annotated[Size, size_range("1MiB", "16GiB")] = 256 << 20
    segment: Annotated[Size, size_range("64KiB", "1GiB")] = 16 << 20
    take_over_use: Annotated[Duration, duration_range("1s", "7d")] = 60_000.0


class StartupSection(Section):
    """The start: its status socket, the detection of crash loops and the limit on concurrent starts."""

    enabled: bool = False
    socket: Annotated[str, Field(min_length=1)] | None = None
    folder: Annotated[str, Field(min_length=1)] | None = None
    at_once: Annotated[int, Field(ge=1, le=1000)] | None = None


DEFAULT_SYNC_MS = {"power-cut": 5.0, "process-death": 50.0, "none": 50.0}
MAX_ANSWER_SYNC_MS = 100.0  # where answers wait for the sync: they have deadlines


class OperatorsFile(Section):
    """The whole file."""

    uwsgi: UwsgiSection = UwsgiSection()
    log: LogSection = LogSection()
    usage: UsageSection = UsageSection()
    door: FairQueueingSection = FairQueueingSection()
    peers: PeersSection = PeersSection()
    copies: ReplicationSection = ReplicationSection()
    startup: StartupSection = StartupSection()


def read_operators_file(path: Path) -> OperatorSettings:
    """Return the settings of a file.

    Raises:
        FaultsError: the file can't be read, isn't YAML, or doesn't fit the model.
    """
    return parse_operators_file(str(path), _read_text(path), path.parent)


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
        raise FaultsError([Fault(str(path), 0, 0, "", f"can't be read: {reason}")]) from error


def parse_operators_file(name: str, text: str, base: Path) -> OperatorSettings:
    """Return the settings of a file's text.

    ``name`` is the file's name in faults; relative folders are below ``base``.
    """
    reader = YAML(typ="rt", pure=True)
    try:
        tree = reader.load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark is not None else (0, 0)
        problem = (error.problem or error.context or "no YAML").split("\n")[0]
        raise FaultsError([Fault(name, line, column, "", f"no YAML 1.2: {problem}")]) from error
    except (YAMLError, ValueError, RecursionError) as error:
        raise FaultsError([Fault(name, 0, 0, "", f"no YAML 1.2: {' '.join(str(error).split())}")]) from error
    if tree is None:
        tree = CommentedMap()
    if not isinstance(tree, CommentedMap):
        raise FaultsError([Fault(name, 1, 1, "", "expected keys with values, such as uwsgi:")])
    try:
        file = OperatorsFile.model_validate(_plain(tree))
    except ValidationError as error:
        raise FaultsError(
            [
                Fault(name, *_position(tree, detail["loc"]), _dotted_path(detail["loc"]), _describe(detail))
                for detail in error.errors()
            ]
        ) from error
    faults = [
        Fault(name, *_position(tree, tuple(path.split("."))), path, text) for path, text in _check_combinations(file)
    ]
    if faults:
        raise FaultsError(faults)
    return _options(file, base)


def _check_combinations(file: OperatorsFile) -> list[tuple[str, str]]:
    """Return the faults of values that don't fit each other: the path to be changed, and what is wrong."""
    faults = []
    export = file.usage.export
    if export is not None and export.folder is None and export.http is None:
        faults.append(("usage.export", "expected a folder, http, or both to export to"))
    if export is not None and export.backoff > export.backoff_most:
        faults.append(("usage.export.backoff", "expected no more than backoff-most"))
    if file.usage.durability == "power-cut" and (file.usage.sync or 0.0) > MAX_ANSWER_SYNC_MS:
        faults.append(
            (
                "usage.sync",
                f"expected at most {units.format_duration(MAX_ANSWER_SYNC_MS)} with durability power-cut, "
                "where answers wait for the sync",
            )
        )
    if file.usage.enabled and file.usage.grace > 31 * file.usage.period:
        faults.append(("usage.grace", "expected at most 31 periods"))
    peers, copies = file.peers, file.copies
    if peers.enabled and len(peers.members) < 2:
        faults.append(("peers.members", "expected at least two members, this one too"))
    addresses = [member.address for member in peers.members.values()]
    for name, member in peers.members.items():
        if addresses.count(member.address) > 1:
            faults.append(
                (f"peers.members.{name}.address", "expected an address of its own; another member has it too")
            )
    if peers.lease < 3 * peers.beat:
        faults.append(
            (
                "peers.lease",
                "expected at least three times peers.beat: one lost heartbeat must not make a member suspect",
            )
        )
    if copies.enabled and not peers.enabled:
        faults.append(("copies.enabled", "expected peers.enabled too: the members of peers hold the replicas"))
    if file.startup.enabled and file.startup.at_once is not None and not (copies.enabled and peers.enabled):
        faults.append(
            (
                "startup.at-once",
                "expected peers.enabled and copies.enabled too: members grant start permits over their links",
            )
        )
    if copies.enabled and peers.enabled and copies.copies > len(peers.members):
        faults.append(("copies.copies", f"expected at most the {len(peers.members)} members of peers"))
    return faults


def _plain(value: Any) -> Any:
    """Return the tree as plain types, without the positions: the model is strict about types."""
    if isinstance(value, CommentedMap):
        return {str(key): _plain(inner) for key, inner in value.items()}
    if isinstance(value, CommentedSeq):
        return [_plain(inner) for inner in value]
    for plain_type in (bool, int, float, str):
        if isinstance(value, plain_type):
            return plain_type(value)
    return value


def _position(tree: Any, path: tuple[int | str, ...]) -> tuple[int, int]:
    """Return line and column of the deepest key of the path that the file has; 1, 1 where it has none."""
    line, column = 1, 1
    for key in path:
        if isinstance(tree, CommentedMap) and key in tree:
            line, column = (mark + 1 for mark in tree.lc.key(key))
        elif isinstance(tree, CommentedSeq) and isinstance(key, int) and key < len(tree):
            line, column = (mark + 1 for mark in tree.lc.item(key))
        else:
            break
        tree = tree[key]
    return line, column


def _dotted_path(location: tuple[int | str, ...]) -> str:
    return ".".join(map(str, location))


def _describe(detail: Any) -> str:
    """Return the text of a fault for one of the model's validation errors."""
    match detail["type"]:
        case "extra_forbidden":
            return "unknown key"
        case "missing":
            return "this key is missing"
        case "literal_error":
            return f"expected {detail['ctx']['expected']}, found {detail['input']!r}"
        case "value_error":
            text = str(detail["ctx"]["error"])
            return text if "found" in text else f"{text}, found {detail['input']!r}"
        case "bool_type":
            return f"expected true or false, found {detail['input']!r}"
        case "model_type" | "model_attributes_type":
            return f"expected keys with values, found {detail['input']!r}"
        case _:
            text = detail["msg"].replace("Input should be", "expected")
            return f"{text}, found {detail['input']!r}"


def _options(file: OperatorsFile, base: Path) -> OperatorSettings:
    uwsgi, log, usage = file.uwsgi, file.log, file.usage
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
            DEFAULT_SYNC_MS[usage.durability] if usage.sync is None else usage.sync,
            usage.on_disk_failure,
            usage.segment,
            int(usage.retention),
            _export_options(usage.export, base),
        )
        if usage.enabled
        else None,
        door=FairQueueingOptions(base / file.door.socket if file.door.socket else None) if file.door.enabled else None,
        peers=_peers_options(file.peers),
        copies=_replication_options(file.copies, base),
        startup=_startup_options(file.startup, base),
    )


def _peers_options(section: PeersSection) -> PeersOptions | None:
    if not section.enabled:
        return None
    members = {name: (member.hall, member.address) for name, member in section.members.items()}
    return PeersOptions(section.listen, members, section.epoch, section.beat, section.lease)


def _replication_options(section: ReplicationSection, base: Path) -> ReplicationOptions | None:
    if not section.enabled:
        return None
    return ReplicationOptions(
        base / section.folder,
        section.copies,
        section.durability,
        section.keys,
        section.memory,
        section.segment,
        section.take_over_use,
    )


def _startup_options(section: StartupSection, base: Path) -> StartupOptions | None:
    if not section.enabled:
        return None
    return StartupOptions(
        base / section.socket if section.socket else None,
        base / section.folder if section.folder else None,
        section.at_once,
    )


def _export_options(section: ExportSection | None, base: Path) -> ExportOptions | None:
    if section is None:
        return None
    http = HttpSinkOptions(section.http.url, section.http.timeout) if section.http is not None else None
    return ExportOptions(
        base / section.folder if section.folder is not None else None,
        http,
        section.backoff,
        section.backoff_most,
        section.attempts_per_hour,
    )
