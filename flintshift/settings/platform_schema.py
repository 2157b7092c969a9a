"""What the platform's file must look like before anything of it is read: the fault that it has first, by its path.

The tables of ``platform.py`` read text, as the simulator's wire brings it; a file also has types, and one that was cut
short, or written by a hand that slipped, must be turned down as a whole.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import isfinite
from typing import Any

from flintshift.settings.units import parse_address

Check = Callable[[Any], str | None]


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 40 else f"{text[:37]}..."


def _finite(value: float) -> bool:
    """Also of a whole number, which JSON may bring with more digits than a float can hold."""
    try:
        return isfinite(value)
    except OverflowError:
        return False


def _number(least: float, above: bool = False, whole: bool = False) -> Check:
    bound = f"{'above' if above else 'of at least'} {least:g}"
    expected = f"a {'whole ' * whole}number {bound}"

    def check(value: Any) -> str | None:
        fits = isinstance(value, int | float) and not isinstance(value, bool) and _finite(value)
        fits = fits and (value > least if above else value >= least) and (not whole or value == int(value))
        return None if fits else f"{_shown(value)} is not {expected}"

    return check


def _word(value: Any) -> str | None:
    fits = isinstance(value, str) and value and value.isprintable() and not set(value) & set(" /,?#")
    return None if fits else f"{_shown(value)} is not a word"


def _flag(value: Any) -> str | None:
    return None if isinstance(value, bool) else f"{_shown(value)} is not true or false"


def _table(value: Any) -> str | None:
    return None if isinstance(value, dict) else f"{_shown(value)} is not an object"


def _text(value: Any) -> str | None:
    fits = isinstance(value, str) and value and value.isprintable()
    return None if fits else f"{_shown(value)} is not a text"


def _address(value: Any) -> str | None:
    try:
        parse_address(value if isinstance(value, str) else "")
    except ValueError:
        return f"{_shown(value)} is not host:port"
    return None


def _hex(value: Any) -> str | None:
    fits = isinstance(value, str) and 0 < len(value) <= 64 and not set(value.lower()) - set("0123456789abcdef")
    return None if fits else f"{_shown(value)} is not a number in hex"


ABOVE_0, FROM_0, COUNT = _number(0, above=True), _number(0), _number(1, whole=True)

# Path, what it must be, and whether it must be there. A path is only looked at where the one above it stands.
TOP: tuple[tuple[str, Check, bool], ...] = (
    ("name", _text, True),
    ("listen", _address, True),
    ("control", _address, False),
    ("pool", _address, True),
    ("naming", _address, True),
    ("vault", _address, False),
    ("seed", _hex, True),
    ("stop_ms", ABOVE_0, True),
    ("limits", _table, False),
    ("limits.memory_mb", COUNT, False),
    ("limits.sockets", COUNT, False),
    ("limits.cores", ABOVE_0, False),
    ("settings", _table, True),
    ("settings.familyInfo", _table, True),
    ("settings.familyInfo.nCores", COUNT, True),
    ("settings.familyInfo.ramKb", ABOVE_0, True),
    ("settings.familyInfo.runFactor", ABOVE_0, True),
    ("settings.familyInfo.callShare", FROM_0, False),
    ("settings.familyInfo.callsOverMs", FROM_0, False),
    ("settings.familyInfo.lingerMs", FROM_0, False),
    ("settings.familyInfo.entryKb", FROM_0, False),
    ("settings.familyInfo.freshMs", FROM_0, False),
    ("settings.familyInfo.idleMs", FROM_0, False),
    ("settings.familyInfo.upstreams", COUNT, False),
    ("settings.familyInfo.cold", _flag, False),
    ("settings.familyInfo.deepChecks", _flag, False),
    ("settings.familyInfo.registryFollows", _flag, False),
    ("settings.familyInfo.halt", _word, False),
    ("settings.familyInfo.say", _word, False),
    ("settings.rules", _table, True),
    ("settings.rules.fallMultiple", ABOVE_0, True),
    ("settings.rules.drainGraceMs", FROM_0, True),
    ("settings.rules.coldFrom", FROM_0, False),
    ("settings.rules.coldMs", FROM_0, False),
    ("settings.limits", _table, False),
    ("settings.limits.maxRetryAfterMs", FROM_0, False),
    ("settings.limits.retryAfter", _flag, False),
    ("settings.clientHabits", _table, False),
    ("settings.clientHabits.marksRetry", _flag, False),
    ("settings.groupSize", COUNT, False),
    ("settings.overShareWorth", FROM_0, False),
)
CLASS: tuple[tuple[str, Check, bool], ...] = (
    ("name", _word, True),
    ("onTimeMs", ABOVE_0, True),
    ("deadlineMs", ABOVE_0, True),
    ("worth", ABOVE_0, True),
    ("effect", _word, True),
    ("lateWorth", FROM_0, False),
    ("repeatWindowMs", FROM_0, False),
)
TENANT: tuple[tuple[str, Check, bool], ...] = (("name", _word, True), ("quotaPerS", FROM_0, True))
BY_CLASS = ("settings.familyInfo.callsByClass", "settings.familyInfo.classSkipWorth")


def first_fault(told: Any) -> str | None:
    """The first fault of a file, as ``PATH: what is wrong``; None when it can be read."""
    if (wrong := _table(told)) is not None:
        return f"the file: {wrong}"
    return next(_faults(told), None)


def missing_key(told: Any, before: Any, path: str = "") -> str | None:
    """A key that stood in the file before and does not stand in this one: it may have been cut. The entries of lists
    come and go."""
    if isinstance(before, dict) and isinstance(told, dict):
        for key, value in before.items():
            inner = f"{path}.{key}" if path else key
            if key not in told:
                return f"{inner} is missing; the configuration in use has it"
            if (found := missing_key(told[key], value, inner)) is not None:
                return found
    return None


def _at(told: Any, path: str) -> tuple[bool, Any]:
    for key in path.split("."):
        if not isinstance(told, dict) or key not in told:
            return False, None
        told = told[key]
    return True, told


def _checked(told: Any, table: tuple[tuple[str, Check, bool], ...], before: str) -> Iterator[str]:
    for path, check, needed in table:
        above = path.rpartition(".")[0]
        there, value = _at(told, path)
        if there and (needed or value is not None):  # null stands for what is not told
            wrong = check(value)
            if wrong is not None:
                yield f"{before}{path}: {wrong}"
        elif needed and (not above or _at(told, above)[0]):
            yield f"{before}{path} is missing"


def _faults(told: dict[str, Any]) -> Iterator[str]:
    yield from _checked(told, TOP, "")
    classes = told["settings"].get("classes")
    if not isinstance(classes, list) or not classes:
        yield "the settings name no classes" if classes in (None, []) else "settings.classes: not a list"
        return
    yield from _listed(classes, CLASS, "settings.classes")
    for number, kind in enumerate(classes):
        if kind["effect"] == "keyed" and (wrong := ABOVE_0(kind.get("repeatWindowMs"))) is not None:
            yield f"settings.classes.{number}.repeatWindowMs: {wrong}"
    for path in BY_CLASS:
        there, values = _at(told, path)
        if there and (not isinstance(values, list) or len(values) != len(classes)):
            yield f"{path}: not one value for each of the {len(classes)} classes"
    if any(told["settings"]["familyInfo"].get("callsByClass") or ()) and told.get("vault") is None:
        yield "vault is missing, and requests call below"
    tenants = told["settings"].get("tenants") or []
    if not isinstance(tenants, list):
        yield "settings.tenants: not a list"
        return
    yield from _listed(tenants, TENANT, "settings.tenants")


def _listed(items: list[Any], table: tuple[tuple[str, Check, bool], ...], path: str) -> Iterator[str]:
    names = set()
    for number, item in enumerate(items):
        if (wrong := _table(item)) is not None:
            yield f"{path}.{number}: {wrong}"
        yield from _checked(item, table, f"{path}.{number}.")
        if item["name"] in names:
            yield f"{path}.{number}.name: {item['name']!r} stands there twice"
        names.add(item["name"])
