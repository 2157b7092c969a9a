"""Parses values with units, as the operators' file has them: ``28s``, ``10ms``, ``64kB``, ``14%``, ``host:port``.

Each parser takes the text of a value and returns the value in its base unit; a ValueError says what was expected.
Decimal units (kB = 1000) and binary ones (KiB = 1024) differ, as in IEC 80000-13.
"""

from __future__ import annotations

import ipaddress
import re

DURATION_UNITS_MS = {"ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000}
SIZE_UNITS_BYTES = {"B": 1, "kB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
QUANTITY = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?) ?([A-Za-z%]+)")


def quantity(value: object, units: dict[str, int], example: str) -> float:
    """Return a quantity in base units.

    >>> quantity("1.5s", DURATION_UNITS_MS, "28s")
    1500.0
    """
    expected = f"a number with one of {', '.join(units)}, such as {example}"
    if not isinstance(value, str):
        raise ValueError(f"expected {expected}; a number alone has no unit")
    match = QUANTITY.fullmatch(value.strip())
    if match is None or match[2] not in units:
        raise ValueError(f"expected {expected}")
    return round(float(match[1]) * units[match[2]], 6)


def duration_ms(value: object) -> float:
    """Return a duration in milliseconds."""
    return quantity(value, DURATION_UNITS_MS, "28s or 10ms")


def size_bytes(value: object) -> int:
    """Return a size in bytes."""
    return int(quantity(value, SIZE_UNITS_BYTES, "64kB"))


def share(value: object) -> float:
    """Return a percentage as a share of 1.

    >>> share("14%")
    0.14
    """
    part = quantity(value, {"%": 1}, "14%") / 100
    if part > 1:
        raise ValueError("expected at most 100%")
    return part


def parse_address(text: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port.

    >>> parse_address("10.0.0.4:5050")
    ('10.0.0.4', 5050)
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not port.isascii() or not 0 < int(port) < 65_536:
        raise ValueError(f"not host:port: {text!r}")
    return host.strip("[]"), int(port)


def parse_loopback_address(value: object) -> tuple[str, int]:
    """Return the host and port of an address on this machine.

    >>> parse_loopback_address("127.0.0.1:3031")
    ('127.0.0.1', 3031)
    """
    expected = "expected host:port with a loopback host, such as 127.0.0.1:3031"
    if not isinstance(value, str):
        raise ValueError(expected)
    try:
        host, port = parse_address(value)
        ip_address = ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(expected) from None
    if not ip_address.is_loopback:
        raise ValueError(f"{host} is no loopback address")
    return str(ip_address), port


def format_duration(ms: float) -> str:
    """Return a duration in the largest unit in which it is a whole number.

    >>> format_duration(90_000), format_duration(86_400_000), format_duration(0.5)
    ('90s', '1d', '0.5ms')
    """
    for unit, unit_ms in reversed(DURATION_UNITS_MS.items()):
        if ms and ms % unit_ms == 0:
            return f"{int(ms // unit_ms)}{unit}"
    return f"{ms:g}ms"
