"""What the node is told at its start: the platform's configuration and the operators' file."""

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
from flintshift.lifecycle.start_retry import WAIT_S, StartRetry
from flintshift.settings.options import Address, Operators
from flintshift.settings.platform import GAUGES, FormError, flat, settings_from
from flintshift.settings.shape import fault
from flintshift.settings.units import address
from flintshift.wire.failures import is_transient

SETTLED_S = 1.0  # a file that has not changed for so long is not being written


class ConfigError(Exception):
    """The node can't start; the text says why."""


class UnreadableError(ConfigError):
    """The system did not let a file be read, for a reason that may pass."""

    def __init__(self, path: str, failure: OSError) -> None:
        super().__init__(f"{path}: {failure}")
        self.failure = failure


class TornError(ConfigError):
    """A file holds no whole document: it may be being written."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    control: Address | None  # where operators call; None: not at all
    pool: Address
    naming: Address
    vault: Address | None  # None: requests call nothing below
    seed: int
    settings: api.Settings
    gauge_names: list[str | None]
    limits: Limits
    operators: Operators
    told: dict[str, Any]  # the file, as JSON read it


def load(env: Mapping[str, str], operators_file: Path | None = None) -> Config:
    """The configuration that LB_CONFIG names, and the operators' file where there is one.

    Raises:
        ConfigError: one of them can't be used; UnreadableError, TornError: it may be in a moment.
    """
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG names no configuration file")
    try:
        told = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        if is_transient(error):
            raise UnreadableError(path, error) from error
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error
    except (ValueError, RecursionError) as error:
        raise TornError(f"{path}: {' '.join(str(error).split())}") from error
    config = config_from_document(told, path, operators(operators_file), env.get("LB_CONTROL"))
    return replace(config, limits=replace(config.limits, sockets=min(config.limits.sockets, open_files())))


def first_configuration(reread: Callable[[], Config], retry: StartRetry) -> Config:
    """The configuration at a start. One that can't be read is read again as long as the start may take, one that is not
    whole until it has stayed as it is for ``SETTLED_S``.

    Raises:
        ConfigError: it can't be used.
        ToldToLeaveError: a notice to leave came meanwhile.
    """
    cause = ""
    while True:
        try:
            return reread()
        except UnreadableError as error:
            if not retry.again(error.failure):
                raise
            retry.pause(WAIT_S)
        except TornError as error:
            if str(error) == cause:
                raise
            cause = str(error)
            retry.pause(SETTLED_S)


def open_files() -> int:
    """How many descriptors the system lets this process hold: what is told may be more."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def embedded_config(operators_file: Path | None = None) -> Config:
    """The embedded default, for a node on one machine among the stand-ins of ``lab/``."""
    from flintshift.settings.embedded import configuration

    return config_from_document(configuration(), "the embedded default", operators(operators_file))


def config_from_document(told: Any, path: str, operators: Operators, control: str | None = None) -> Config:
    """A configuration of the platform's form, as JSON read it; ``path`` is for the words of faults, and ``control``
    the address of the control door where the file names none."""
    try:
        wrong = fault(told)
        if wrong is not None:
            raise ConfigError(f"{path}: {wrong}")
        pairs = flat(told["settings"])
        asked = told.get("limits", {})
        limits = Limits(
            memory_mb=int(asked.get("memory_mb", Limits().memory_mb)),
            sockets=int(asked.get("sockets", Limits().sockets)),
            stop_ms=float(told["stop_ms"]),
        )
        settings = settings_from(pairs)
        door, vault = told.get("control") or control, told.get("vault")
        return Config(
            name=str(told["name"]),
            listen=address(told["listen"]),
            control=address(door) if door else None,
            pool=address(told["pool"]),
            naming=address(told["naming"]),
            vault=address(vault) if vault else None,
            seed=int(str(told["seed"]), 16),
            settings=settings,
            limits=replace(limits, max_key_result_bytes=limits.memory_mb * (1 << 20) // 6),
            gauge_names=[GAUGES.get(name) for name in pairs.get("familyInfo.gauges", "").split(",")],
            operators=operators,
            told=told,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, FormError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error


def operators(path: Path | None) -> Operators:
    """The operators' file; all parts are off where none is named, and no reader of YAML is imported."""
    if path is None:
        return Operators()
    from flintshift.settings.operators import FaultsError, read

    try:
        return read(path)
    except FaultsError as error:
        if isinstance(error.__cause__, OSError) and is_transient(error.__cause__):
            raise UnreadableError(str(path), error.__cause__) from error
        raise ConfigError(str(error)) from error
