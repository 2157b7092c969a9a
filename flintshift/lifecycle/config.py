"""The configuration of a node: the platform's configuration file and the operators' settings file."""

from __future__ import annotations

import json
import resource
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from flintshift import interface as api
from flintshift.core.limits import Limits
from flintshift.lifecycle.start_retry import RETRY_DELAY_S, StartRetry
from flintshift.settings.options import Address, OperatorSettings
from flintshift.settings.platform import GAUGE_FIELDS, SettingsFormatError, flatten, parse_settings
from flintshift.settings.platform_schema import first_fault
from flintshift.settings.units import parse_address
from flintshift.wire.failures import is_transient

FILE_SETTLE_S = 1.0  # a file that has not changed for this long is not being written


class ConfigError(Exception):
    """The node can't start with this configuration; the text says why."""


class UnreadableFileError(ConfigError):
    """The system could not read a file, for a reason that may be transient."""

    def __init__(self, path: str, failure: OSError) -> None:
        super().__init__(f"{path}: {failure}")
        self.failure = failure


class IncompleteFileError(ConfigError):
    """A file holds no complete document: it may still be being written."""


@dataclass(frozen=True)
class Config:
    """The configuration that a node runs by."""

    name: str
    listen: Address
    control: Address | None  # where operators call; None: there is no control endpoint
    pool: Address
    naming: Address
    vault: Address | None  # None: requests call no vault
    seed: int
    settings: api.Settings
    gauge_names: list[str | None]
    limits: Limits
    operators: OperatorSettings
    document: dict[str, Any]  # the platform's file as parsed from JSON


def load(env: Mapping[str, str], operators_file: Path | None = None) -> Config:
    """Load the configuration that LB_CONFIG names, and the operators' file if there is one.

    Raises:
        ConfigError: one of them can't be used; UnreadableFileError, IncompleteFileError: it may be usable in a moment.
    """
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG names no configuration file")
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        if is_transient(error):
            raise UnreadableFileError(path, error) from error
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error
    except (ValueError, RecursionError) as error:
        raise IncompleteFileError(f"{path}: {' '.join(str(error).split())}") from error
    config = config_from_document(document, path, load_operators(operators_file), env.get("LB_CONTROL"))
    return replace(config, limits=replace(config.limits, sockets=min(config.limits.sockets, descriptor_limit())))


def load_at_start(reread: Callable[[], Config], retry: StartRetry) -> Config:
    """Load the configuration at a start, with retries.

    A file that can't be read is read again for as long as the start may take. A file that is not complete is read again
    until it has not changed for ``FILE_SETTLE_S``.

    Raises:
        ConfigError: it can't be used.
        ShutdownRequestedError: a shutdown notice arrived meanwhile.
    """
    cause = ""
    while True:
        try:
            return reread()
        except UnreadableFileError as error:
            if not retry.should_retry(error.failure):
                raise
            retry.pause(RETRY_DELAY_S)
        except IncompleteFileError as error:
            if str(error) == cause:
                raise
            cause = str(error)
            retry.pause(FILE_SETTLE_S)


def descriptor_limit() -> int:
    """Return how many descriptors the system lets this process have; the configuration may state more."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def embedded_config(operators_file: Path | None = None) -> Config:
    """Return the embedded default, for a node on one machine with the stand-ins of ``lab/``."""
    from flintshift.settings.embedded import configuration

    return config_from_document(configuration(), "the embedded default", load_operators(operators_file))


def config_from_document(document: Any, path: str, operators: OperatorSettings, control: str | None = None) -> Config:
    """Convert a document in the platform's format, as parsed from JSON, to a configuration.

    ``path`` names the document in error messages; ``control`` is the address of the control endpoint if the document
    names none.

    Raises:
        ConfigError: the document is not valid.
    """
    try:
        problem = first_fault(document)
        if problem is not None:
            raise ConfigError(f"{path}: {problem}")
        pairs = flatten(document["settings"])
        stated_limits = document.get("limits", {})
        limits = Limits(
            memory_mb=int(stated_limits.get("memory_mb", Limits().memory_mb)),
            sockets=int(stated_limits.get("sockets", Limits().sockets)),
            stop_ms=float(document["stop_ms"]),
        )
        settings = parse_settings(pairs)
        control_address, vault = document.get("control") or control, document.get("vault")
        return Config(
            name=str(document["name"]),
            listen=parse_address(document["listen"]),
            control=parse_address(control_address) if control_address else None,
            pool=parse_address(document["pool"]),
            naming=parse_address(document["naming"]),
            vault=parse_address(vault) if vault else None,
            seed=int(str(document["seed"]), 16),
            settings=settings,
            limits=replace(limits, max_key_result_bytes=limits.memory_mb * (1 << 20) // 6),
            gauge_names=[GAUGE_FIELDS.get(name) for name in pairs.get("familyInfo.gauges", "").split(",")],
            operators=operators,
            document=document,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, SettingsFormatError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error


def load_operators(path: Path | None) -> OperatorSettings:
    """Load the operators' file. Without one, all parts are off and the YAML parser is not imported.

    Raises:
        ConfigError: it can't be used; UnreadableFileError: it may be usable in a moment.
    """
    if path is None:
        return OperatorSettings()
    from flintshift.settings.operators import FaultsError, read_operators_file

    try:
        return read_operators_file(path)
    except FaultsError as error:
        if isinstance(error.__cause__, OSError) and is_transient(error.__cause__):
            raise UnreadableFileError(str(path), error.__cause__) from error
        raise ConfigError(str(error)) from error
