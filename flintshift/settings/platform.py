"""Parses the platform's settings, which a node receives at its start, by tables of their paths.

The simulator's first message and the file that ``LB_CONFIG`` names use the same names and units, so both adapters parse
them here. Settings that no table has are skipped.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import MISSING, fields
from math import isfinite
from typing import Any

from flintshift import interface as api


class SettingsFormatError(Exception):
    """The settings don't follow the platform's format; the text says where."""


def parse_number(text: str) -> float:
    """Return a finite number."""
    value = float(text)
    if not isfinite(value):
        raise ValueError(text)
    return value


def parse_count(text: str) -> int:
    """Return a whole number, which JSON may write as 6 or 6.0."""
    value = parse_number(text)
    if value != int(value):
        raise ValueError(text)
    return int(value)


def parse_flag(text: str) -> bool:
    """Return a truth value, which may be written as 1 or true, 0 or false."""
    return {"1": True, "0": False, "true": True, "false": False}[text]


def split_list(text: str) -> list[str]:
    """Return the items of a comma-separated list; an empty text has none."""
    return text.split(",") if text else []


def absent_if_zero(convert: Callable[[str], Any]) -> Callable[[str], Any]:
    """Wrap a parser for fields in which 0 or an empty text means absent."""
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

# By path on the wire: the field of ``interface.Settings`` and its parser.
SETTINGS_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
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
CLASS_LIST_PATH = "classes"
CLASS_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "name": ("name", str),
    "onTimeMs": ("aim_ms", parse_number),
    "deadlineMs": ("deadline_ms", parse_number),
    "worth": ("worth", parse_number),
    "effect": ("effect", EFFECTS.__getitem__),
    "lateWorth": ("late_worth", parse_number),
    "repeatWindowMs": ("repeat_window_ms", parse_number),
}
# Lists with one value per class. By path: the field of the class and its parser.
PER_CLASS_LISTS = {
    "familyInfo.classSkipWorth": ("skip_worth", parse_number),
    "familyInfo.callsByClass": ("calls", parse_flag),
}
TENANT_LIST_PATH = "tenants"
TENANT_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "name": ("name", str),
    "quotaPerS": ("quota_per_s", parse_number),
}


def build_object(
    object_type: type, table: dict[str, tuple[str, Callable[[str], Any]]], pairs: dict[str, str], **values: Any
) -> Any:
    """Create an interface object from the pairs that a table has; unknown pairs are skipped."""
    for key, (name, convert) in table.items():
        if key in pairs:
            try:
                values[name] = convert(pairs[key])
            except (KeyError, ValueError) as error:
                raise SettingsFormatError(f"bad value for {key}: {pairs[key]!r}") from error
    for field in fields(object_type):
        if field.name not in values and field.default is MISSING and field.default_factory is MISSING:
            keys = {field_name: key for key, (field_name, _) in table.items()}
            raise SettingsFormatError(f"missing {keys.get(field.name, field.name)}")
    return object_type(**values)


def build_list(
    object_type: type, table: dict[str, tuple[str, Callable[[str], Any]]], pairs: dict[str, str], path: str
) -> list[Any]:
    """Create the objects of a list, whose length is the pair ``path.count``."""
    try:
        count = int(pairs.get(f"{path}.count", "0"))
    except ValueError as error:
        raise SettingsFormatError(f"bad value for {path}.count: {pairs[f'{path}.count']!r}") from error
    return [
        build_object(object_type, {f"{path}.{index}.{key}": entry for key, entry in table.items()}, pairs)
        for index in range(count)
    ]


def parse_settings(pairs: dict[str, str]) -> api.Settings:
    """Create the settings of the interface from path=value pairs."""
    classes = build_list(api.RequestClass, CLASS_FIELDS, pairs, CLASS_LIST_PATH)
    for path, (name, convert) in PER_CLASS_LISTS.items():
        for request_class, text in zip(classes, split_list(pairs.get(path, "")), strict=False):
            try:
                setattr(request_class, name, convert(text))
            except (KeyError, ValueError) as error:
                raise SettingsFormatError(f"bad value for {path}: {pairs[path]!r}") from error
    return build_object(
        api.Settings,
        SETTINGS_FIELDS,
        pairs,
        classes=classes,
        tenants=build_list(api.Tenant, TENANT_FIELDS, pairs, TENANT_LIST_PATH),
    )


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Return nested settings as path=value pairs, the format of the simulator's wire, which the tables parse."""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for key, inner in value.items():
            pairs |= flatten(inner, f"{path}.{key}" if path else key)
        return pairs
    if value is None:  # null means that the setting is absent
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
    """Return a value as text; truth values in lower case."""
    return str(value).lower() if isinstance(value, bool) else str(value)
