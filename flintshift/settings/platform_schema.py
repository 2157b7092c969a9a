"""Checks the platform's file against its schema before it is parsed, and reports its first fault with its path.

The tables of ``platform.py`` parse text, as on the simulator's wire. A file also has types, and a truncated file, or
one with a mistake, must be rejected as a whole.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import isfinite
from typing import Any

from flintshift.settings.units import parse_address

Check = Callable[[Any], str | None]


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 40 else f"{text[:37]}..."


def _finite(value: float) -> bool:
    """Return whether a number is finite; an integer of JSON may have more digits than fit a float."""
    try:
        return isfinite(value)
    except OverflowError:
        return False


def _number(minimum: float, above: bool = False, whole: bool = False) -> Check:
    bound = f"{'above' if above else 'of at least'} {minimum:g}"
    expected = f"a {'whole ' * whole}number {bound}"

    def check(value: Any) -> str | None:
        fits = isinstance(value, int | float) and not isinstance(value, bool) and _finite(value)
        fits = fits and (value > minimum if above else value >= minimum) and (not whole or value == int(value))
        return None if fits else f"{_abbreviate(value)} is not {expected}"

    return check


def _word(value: Any) -> str | None:
    fits = isinstance(value, str) and value and value.isprintable() and not set(value) & set(" /,?#")
    return None if fits else f"{_abbreviate(value)} is not a word without spaces and / , ? #"


def _flag(value: Any) -> str | None:
    return None if isinstance(value, bool) else f"{_abbreviate(value)} is not true or false"


def _table(value: Any) -> str | None:
    return None if isinstance(value, dict) else f"{_abbreviate(value)} is not an object"


def _text(value: Any) -> str | None:
    fits = isinstance(value, str) and value and value.isprintable()
    return None if fits else f"{_abbreviate(value)} is not a printable text"


def _address(value: Any) -> str | None:
    try:
        parse_address(value if isinstance(value, str) else "")
    except ValueError:
        return f"{_abbreviate(value)} is not host:port"
    return None


def _hex(value: Any) -> str | None:
    fits = isinstance(value, str) and 0 < len(value) <= 64 and not set(value.lower()) - set("0123456789abcdef")
    return None if fits else f"{_abbreviate(value)} is not a hexadecimal number"


POSITIVE, NOT_NEGATIVE, COUNT = _number(0, above=True), _number(0), _number(1, whole=True)

# Path, check and whether the path is required. A path is only checked where its parent is present.
FILE_SCHEMA: tuple[tuple[str, Check, bool], ...] = (
    ("name", _text, True),
    ("listen", _address, True),
    ("control", _address, False),
    ("pool", _address, True),
    ("naming", _address, True),
    ("vault", _address, False),
    ("seed", _hex, True),
    ("stop_ms", POSITIVE, True),
    ("limits", _table, False),
    ("limits.memory_mb", COUNT, False),
    ("limits.sockets", COUNT, False),
    ("limits.cores", POSITIVE, False),
    ("settings", _table, True),
    ("settings.familyInfo", _table, True),
    ("settings.familyInfo.nCores", COUNT, True),
    ("settings.familyInfo.ramKb", POSITIVE, True),
    ("settings.familyInfo.runFactor", POSITIVE, True),
    ("settings.familyInfo.callShare", NOT_NEGATIVE, False),
    ("settings.familyInfo.callsOverMs", NOT_NEGATIVE, False),
    ("settings.familyInfo.lingerMs", NOT_NEGATIVE, False),
    ("settings.familyInfo.entryKb", NOT_NEGATIVE, False),
    ("settings.familyInfo.freshMs", NOT_NEGATIVE, False),
    ("settings.familyInfo.idleMs", NOT_NEGATIVE, False),
    ("settings.familyInfo.upstreams", COUNT, False),
    ("settings.familyInfo.cold", _flag, False),
    ("settings.familyInfo.deepChecks", _flag, False),
    ("settings.familyInfo.registryFollows", _flag, False),
    ("settings.familyInfo.halt", _word, False),
    ("settings.familyInfo.say", _word, False),
    ("settings.rules", _table, True),
    ("settings.rules.fallMultiple", POSITIVE, True),
    ("settings.rules.drainGraceMs", NOT_NEGATIVE, True),
    ("settings.rules.coldFrom", NOT_NEGATIVE, False),
    ("settings.rules.coldMs", NOT_NEGATIVE, False),
    ("settings.limits", _table, False),
    ("settings.limits.maxRetryAfterMs", NOT_NEGATIVE, False),
    ("settings.limits.retryAfter", _flag, False),
    ("settings.clientHabits", _table, False),
    ("settings.clientHabits.marksRetry", _flag, False),
    ("settings.groupSize", COUNT, False),
    ("settings.overShareWorth", NOT_NEGATIVE, False),
)
CLASS_SCHEMA: tuple[tuple[str, Check, bool], ...] = (
    ("name", _word, True),
    ("onTimeMs", POSITIVE, True),
    ("deadlineMs", POSITIVE, True),
    ("worth", POSITIVE, True),
    ("effect", _word, True),
    ("lateWorth", NOT_NEGATIVE, False),
    ("repeatWindowMs", NOT_NEGATIVE, False),
)
TENANT_SCHEMA: tuple[tuple[str, Check, bool], ...] = (("name", _word, True), ("quotaPerS", NOT_NEGATIVE, True))
PER_CLASS_LISTS = ("settings.familyInfo.callsByClass", "settings.familyInfo.classSkipWorth")


def first_fault(document: Any) -> str | None:
    """Return the first fault of a file as ``PATH: what is wrong``, or None where it has none."""
    if (problem := _table(document)) is not None:
        return f"the file: {problem}"
    return next(_find_faults(document), None)


def missing_key(document: Any, previous: Any, path: str = "") -> str | None:
    """Return a message that names a key of the previous file that this one lacks, as it may be truncated.

    The entries of lists may come and go.
    """
    if isinstance(previous, dict) and isinstance(document, dict):
        for key, value in previous.items():
            inner = f"{path}.{key}" if path else key
            if key not in document:
                return f"{inner} is missing; the configuration in use has it"
            if (missing := missing_key(document[key], value, inner)) is not None:
                return missing
    return None


def _value_at(document: Any, path: str) -> tuple[bool, Any]:
    for key in path.split("."):
        if not isinstance(document, dict) or key not in document:
            return False, None
        document = document[key]
    return True, document


def _check_table(document: Any, table: tuple[tuple[str, Check, bool], ...], prefix: str) -> Iterator[str]:
    for path, check, required in table:
        parent = path.rpartition(".")[0]
        present, value = _value_at(document, path)
        if present and (required or value is not None):  # null means that the setting is absent
            problem = check(value)
            if problem is not None:
                yield f"{prefix}{path}: {problem}"
        elif required and (not parent or _value_at(document, parent)[0]):
            yield f"{prefix}{path} is missing"


def _find_faults(document: dict[str, Any]) -> Iterator[str]:
    yield from _check_table(document, FILE_SCHEMA, "")
    classes = document["settings"].get("classes")
    if not isinstance(classes, list) or not classes:
        yield "the settings name no classes" if classes in (None, []) else "settings.classes: not a list"
        return
    yield from _check_list(classes, CLASS_SCHEMA, "settings.classes")
    for number, request_class in enumerate(classes):
        if (
            request_class["effect"] == "keyed"
            and (problem := POSITIVE(request_class.get("repeatWindowMs"))) is not None
        ):
            yield f"settings.classes.{number}.repeatWindowMs: {problem}"
    for path in PER_CLASS_LISTS:
        present, values = _value_at(document, path)
        if present and (not isinstance(values, list) or len(values) != len(classes)):
            yield f"{path}: not one value for each of the {len(classes)} classes"
    if any(document["settings"]["familyInfo"].get("callsByClass") or ()) and document.get("vault") is None:
        yield "vault is missing, and requests of some classes call it"
    tenants = document["settings"].get("tenants") or []
    if not isinstance(tenants, list):
        yield "settings.tenants: not a list"
        return
    yield from _check_list(tenants, TENANT_SCHEMA, "settings.tenants")


def _check_list(items: list[Any], table: tuple[tuple[str, Check, bool], ...], path: str) -> Iterator[str]:
    names = set()
    for number, item in enumerate(items):
        if (problem := _table(item)) is not None:
            yield f"{path}.{number}: {problem}"
        yield from _check_table(item, table, f"{path}.{number}.")
        if item["name"] in names:
            yield f"{path}.{number}.name: {item['name']!r} occurs twice"
        names.add(item["name"])
