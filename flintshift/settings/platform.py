"""The platform's settings: the object that a node is told at its start, read by tables.

The same names and units stand in the simulator's first message and in the file that ``LB_CONFIG`` names, so
that both adapters read them here.  Settings that no table knows are skipped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import MISSING, fields
from math import isfinite
from typing import Any

from flintshift import interface as api


class FormError(Exception):
    """What was told does not follow the platform's form; the text says where."""


def number(text: str) -> float:
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return value


def count(text: str) -> int:
    """A whole number, however JSON wrote it: 6 or 6.0."""
    value = number(text)
    if value != int(value):
        raise ValueError(text)
    return int(value)


def flag(text: str) -> bool:
    return {"1": True, "0": False, "true": True, "false": False}[text]


def listed(text: str) -> list[str]:
    return text.split(",") if text else []


def present(convert: Callable[[str], Any]) -> Callable[[str], Any]:
    """For fields in which 0 or nothing stands for absent."""
    return lambda text: None if text in ("", "0", "0.0") else convert(text)


GAUGES = {"cpu_busy": "busy", "runnable": "run_queue", "mem_used": "memory", "sockets": "connections"}
FREE_VALUES = {
    "none": api.FreeValue.NONE,
    "threshold": api.FreeValue.THRESHOLD,
    "window": api.FreeValue.WINDOW,
    "share_of": api.FreeValue.CHANCE,
}
EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
HALTS = {"none": api.Halt.NONE, "abort": api.Halt.ABORT, "suspend": api.Halt.SUSPEND}

# Settings: the path on the wire, the field of the interface and its form.
SETTINGS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "familyInfo.nCores": ("cores", count),
    "familyInfo.ramKb": ("memory_kb", number),
    "familyInfo.runFactor": ("run_factor", number),
    "rules.fallMultiple": ("fall_multiple", number),
    "rules.drainGraceMs": ("drain_grace_ms", number),
    "rules.coldFrom": ("cold_from", number),
    "rules.coldMs": ("cold_ms", number),
    "familyInfo.cold": ("cold", flag),
    "groupSize": ("servers", count),
    "familyInfo.upstreams": ("callers", count),
    "familyInfo.callShare": ("call_share", number),
    "familyInfo.callsOverMs": ("call_window_ms", number),
    "familyInfo.lingerMs": ("linger_ms", number),
    "familyInfo.halt": ("halt", HALTS.__getitem__),
    "familyInfo.entryKb": ("key_kb", number),
    "familyInfo.freshMs": ("fresh_ms", number),
    "familyInfo.idleMs": ("idle_ms", number),
    "familyInfo.deepChecks": ("deep_checks", flag),
    "familyInfo.registryFollows": ("list_follows_health", flag),
    "familyInfo.say": ("free_value", FREE_VALUES.__getitem__),
    "clientHabits.marksRetry": ("marks_repeats", flag),
    "limits.retryAfter": ("advice_allowed", flag),
    "limits.maxRetryAfterMs": ("advice_max_ms", number),
    "overShareWorth": ("over_share_worth", number),
    "worthBy": ("worth_by_work", {"work": True, "request": False}.__getitem__),
}
CLASS_LIST = "classes"
CLASS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "name": ("name", str),
    "onTimeMs": ("aim_ms", number),
    "deadlineMs": ("deadline_ms", number),
    "worth": ("worth", number),
    "effect": ("effect", EFFECTS.__getitem__),
    "lateWorth": ("late_worth", number),
    "repeatWindowMs": ("repeat_window_ms", number),
}
# Lists with one value a class: the path, the field of the class and its form.
BY_CLASS = {
    "familyInfo.classSkipWorth": ("skip_worth", number),
    "familyInfo.callsByClass": ("calls", flag),
}
TENANT_LIST = "tenants"
TENANT: dict[str, tuple[str, Callable[[str], Any]]] = {
    "name": ("name", str),
    "quotaPerS": ("quota_per_s", number),
}


def build(kind: type, table: dict[str, tuple[str, Callable[[str], Any]]], pairs: dict[str, str], **given: Any) -> Any:
    """Make an interface object from the pairs a table knows; unknown pairs are skipped."""
    for key, (name, convert) in table.items():
        if key in pairs:
            try:
                given[name] = convert(pairs[key])
            except (KeyError, ValueError) as error:
                raise FormError(f"bad value for {key}: {pairs[key]!r}") from error
    for field in fields(kind):
        if field.name not in given and field.default is MISSING and field.default_factory is MISSING:
            names = {to: key for key, (to, _) in table.items()}
            raise FormError(f"missing {names.get(field.name, field.name)}")
    return kind(**given)


def build_list(
    kind: type, table: dict[str, tuple[str, Callable[[str], Any]]], pairs: dict[str, str], path: str
) -> list[Any]:
    try:
        count = int(pairs.get(f"{path}.count", "0"))
    except ValueError as error:
        raise FormError(f"bad value for {path}.count: {pairs[f'{path}.count']!r}") from error
    return [build(kind, {f"{path}.{index}.{key}": to for key, to in table.items()}, pairs) for index in range(count)]


def settings_from(pairs: dict[str, str]) -> api.Settings:
    classes = build_list(api.RequestClass, CLASS, pairs, CLASS_LIST)
    for path, (name, convert) in BY_CLASS.items():
        for request_class, text in zip(classes, listed(pairs.get(path, "")), strict=False):
            try:
                setattr(request_class, name, convert(text))
            except (KeyError, ValueError) as error:
                raise FormError(f"bad value for {path}: {pairs[path]!r}") from error
    return build(
        api.Settings, SETTINGS, pairs, classes=classes, tenants=build_list(api.Tenant, TENANT, pairs, TENANT_LIST)
    )


def flat(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as the path=value pairs of the simulator's wire, which the module's tables read."""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for key, inner in value.items():
            pairs |= flat(inner, f"{path}.{key}" if path else key)
        return pairs
    if value is None:  # not told
        return {}
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
