"""What the node is told at its start: the platform's configuration and the second front's deploy file."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from flintshift import interface as api
from flintshift.benchlink import GAUGES, WireError, settings_from
from flintshift.core.limits import Limits
from flintshift.wire.link import address


class ConfigError(Exception):
    """The node can't start; the text says why, in one line."""


@dataclass(frozen=True)
class UwsgiConfig:
    listen: tuple[str, int]
    resolver: tuple[str, int]
    domain: str
    app_service: str
    node_service: str


@dataclass(frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    pool: tuple[str, int]
    naming: tuple[str, int]
    vault: tuple[str, int]
    seed: int
    settings: api.Settings
    gauge_names: list[str | None]
    limits: Limits
    uwsgi: UwsgiConfig | None


def flat(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as the path=value pairs of the simulator's wire, which the module's tables read."""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for key, inner in value.items():
            pairs |= flat(inner, f"{path}.{key}" if path else key)
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, item in enumerate(value):
                pairs |= flat(item, f"{path}.{index}")
            return pairs
        return {path: ",".join(map(plain, value))}
    return {path: plain(value)}


def plain(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def load(env: Mapping[str, str], uwsgi_file: Path) -> Config:
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG names no configuration file")
    try:
        told = json.loads(Path(path).read_text(encoding="utf-8"))
        pairs = flat(told["settings"])
        asked = told.get("limits", {})
        limits = Limits(memory_mb=int(asked.get("memory_mb", Limits().memory_mb)),
                        sockets=int(asked.get("sockets", Limits().sockets)), stop_ms=float(told["stop_ms"]))
        settings = settings_from(pairs)
        if not settings.classes:
            raise ConfigError("the settings name no classes")
        return Config(
            name=str(told["name"]), listen=address(told["listen"]), pool=address(told["pool"]),
            naming=address(told["naming"]), vault=address(told["vault"]), seed=int(str(told["seed"]), 16),
            settings=settings, limits=replace(limits, key_bytes=limits.memory_mb * (1 << 20) // 6),
            gauge_names=[GAUGES.get(name) for name in pairs.get("familyInfo.gauges", "").split(",")],
            uwsgi=load_uwsgi(uwsgi_file),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from error
    except (OSError, ValueError, TypeError, AttributeError, WireError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error


def load_uwsgi(path: Path) -> UwsgiConfig | None:
    """The deploy file of the uwsgi front; None where it is off."""
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
        if not told["enabled"]:
            return None
        found = UwsgiConfig(address(told["listen"]), address(told["resolver"]), str(told["domain"]),
                            str(told["app_service"]), str(told["node_service"]))
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from error
    except (OSError, ValueError, TypeError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error
    for host, _ in (found.listen, found.resolver):
        if not host.startswith("127.") and host != "::1":
            raise ConfigError(f"{path}: {host} is no loopback address")
    return found
