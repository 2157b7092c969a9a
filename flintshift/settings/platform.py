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


class SettingsFormatError(Exception):
    """What was told does not follow the platform's form; the text says where."""


def parse_number(text: str) -> float:
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return value


def parse_count(text: str) -> int:
    """A whole parse_number, however JSON wrote it: 6 or 6.0."""
    value = parse_number(text)
    if value != int(value):
        raise ValueError(text)
    return int(value)


def parse_flag(text: str) -> bool:
    return {"1": True, "0": False, "true": True, "false": False}[text]


def split_list(text: str) -> list[str]:
    return text.split(",") if text else []


def absent_if_zero(convert: Callable[[str], Any]) -> Callable[[str], Any]:
    """For fields in which 0 or nothing stands for absent."""
    return lambda text: None if text in ("", "0", "0.0") else convert(text)


GAUGE_FIELDS = {"cpu_busy": "busy", "runnable": "run_queue", "mem_used": "memory", "sockets": "connections"}
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
    "familyInfo.nCores": ("cores", parse_count),
    "familyInfo.ramKb": ("memory_kb", parse_number),
    "familyInfo.runFactor": ("run_factor", parse_number),
    "rules.fallMultiple": ("fall_multiple", parse_number),
    "rules.drainGraceMs": ("drain_grace_ms", parse_number),
    "rules.coldFrom": ("cold_from", parse_number),
    "rules.coldMs": ("cold_ms", parse_number),
    "familyInfo.cold": ("cold", parse_flag),
    "groupSize": ("servers", parse_count),
    "familyInfo.upstreams": ("callers", parse_count),
    "familyInfo.callShare": ("call_share", parse_number),
    "familyInfo.callsOverMs": ("call_window_ms", parse_number),
    "familyInfo.lingerMs": ("linger_ms", parse_number),
    "familyInfo.halt": ("halt", HALTS.__getitem__),
    "familyInfo.entryKb": ("key_kb", parse_number),
    "familyInfo.freshMs": ("fresh_ms", parse_number),
    "familyInfo.idleMs": ("idle_ms", parse_number),
    "familyInfo.deepChecks": ("deep_checks", parse_flag),
    "familyInfo.registryFollows": ("list_follows_health", parse_flag),
    "familyInfo.say": ("free_value", FREE_VALUES.__getitem__),
    "clientHabits.marksRetry": ("marks_repeats", parse_flag),
    "limits.retryAfter": ("advice_allowed", parse_flag),
    "limits.maxRetryAfterMs": ("advice_max_ms", parse_number),
    "overShareWorth": ("over_share_worth", parse_number),
    "worthBy": ("worth_by_work", {"work": True, "request": False}.__getitem__),
}
CLASS_LIST = "classes"
CLASS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "name": ("name", str),
    "onTimeMs": ("aim_ms", parse_number),
    "deadlineMs": ("deadline_ms", parse_number),
    "worth": ("worth", parse_number),
    "effect": ("effect", EFFECTS.__getitem__),
    "lateWorth": ("late_worth", parse_number),
    "repeatWindowMs": ("repeat_window_ms", parse_number),
}
# Lists with one value a class: the path, the field of the class and its form.
BY_CLASS = {
    "familyInfo.classSkipWorth": ("skip_worth", parse_number),
    "familyInfo.callsByClass": ("calls", parse_flag),
}
TENANT_LIST = "tenants"
TENANT: dict[str, tuple[str, Callable[[str], Any]]] = {
    "name": ("name", str),
    "quotaPerS": ("quota_per_s", parse_number),
}


def build_object(
    kind: type, table: dict[str, tuple[str, Callable[[str], Any]]], pairs: dict[str, str], **given: Any
) -> Any:
    """Make an interface object from the pairs a table knows; unknown pairs are skipped."""
    for key, (name, convert) in table.items():
        if key in pairs:
            try:
                given[name] = convert(pairs[key])
            except (KeyError, ValueError) as error:
                raise SettingsFormatError(f"bad value for {key}: {pairs[key]!r}") from error
    for field in fields(kind):
        if field.name not in given and field.default is MISSING and field.default_factory is MISSING:
            names = {to: key for key, (to, _) in table.items()}
            raise SettingsFormatError(f"missing {names.get(field.name, field.name)}")
    return kind(**given)


def build_list(
    kind: type, table: dict[str, tuple[str, Callable[[str], Any]]], pairs: dict[str, str], path: str
) -> list[Any]:
    try:
        count = int(pairs.get(f"{path}.count", "0"))
    except ValueError as error:
        raise SettingsFormatError(f"bad value for {path}.count: {pairs[f'{path}.count']!r}") from error
    return [
        build_object(kind, {f"{path}.{index}.{key}": to for key, to in table.items()}, pairs) for index in range(count)
    ]


def parse_settings(pairs: dict[str, str]) -> api.Settings:
    classes = build_list(api.RequestClass, CLASS, pairs, CLASS_LIST)
    for path, (name, convert) in BY_CLASS.items():
        for request_class, text in zip(classes, split_list(pairs.get(path, "")), strict=False):
            try:
                setattr(request_class, name, convert(text))
            except (KeyError, ValueError) as error:
                raise SettingsFormatError(f"bad value for {path}: {pairs[path]!r}") from error
    return build_object(
        api.Settings, SETTINGS, pairs, classes=classes, tenants=build_list(api.Tenant, TENANT, pairs, TENANT_LIST)
    )


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as the path=value pairs of the simulator's wire, which the module's tables read."""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for key, inner in value.items():
            pairs |= flatten(inner, f"{path}.{key}" if path else key)
        return pairs
    if value is None:  # not told
        return {}
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{index}")
            return pairs
        return {path: ",".join(map(format_value, value))}
    return {path: format_value(value)}


def format_value(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
