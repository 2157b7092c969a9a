"""Values with units, as the operators' file writes them: ``28s``, ``10ms``, ``64kB``, ``14%``, ``host:port``.

Each function takes the text as it stands and returns the value in its base unit; a ValueError says what was
expected.  Decimal units (kB = 1000) and binary ones (KiB = 1024) are told apart, as IEC 80000-13 names them.
"""

from __future__ import annotations

import ipaddress
import re

TIMES_MS = {"ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000}
SIZES = {"B": 1, "kB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
QUANTITY = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?) ?([A-Za-z%]+)")


def quantity(value: object, units: dict[str, int], example: str) -> float:
    """The quantity in base units.

    >>> quantity("1.5s", TIMES_MS, "28s")
    1500.0
    """
    wanted = f"a number with one of {', '.join(units)}, such as {example}"
    if not isinstance(value, str):
        raise ValueError(f"expected {wanted}; a number alone has no unit")
    found = QUANTITY.fullmatch(value.strip())
    if found is None or found[2] not in units:
        raise ValueError(f"expected {wanted}")
    return round(float(found[1]) * units[found[2]], 6)


def duration_ms(value: object) -> float:
    return quantity(value, TIMES_MS, "28s or 10ms")


def size_bytes(value: object) -> int:
    return int(quantity(value, SIZES, "64kB"))


def share(value: object) -> float:
    """
    >>> share("14%")
    0.14
    """
    found = quantity(value, {"%": 1}, "14%") / 100
    if found > 1:
        raise ValueError("expected at most 100%")
    return found


def parse_address(text: str) -> tuple[str, int]:
    """
    >>> parse_address("10.0.0.4:5050")
    ('10.0.0.4', 5050)
    """
    host, found, port = text.rpartition(":")
    if not found or not host or not port.isdecimal() or not port.isascii() or not 0 < int(port) < 65_536:
        raise ValueError(f"not host:port: {text!r}")
    return host.strip("[]"), int(port)


def parse_loopback_address(value: object) -> tuple[str, int]:
    """An address on this machine.

    >>> parse_loopback_address("127.0.0.1:3031")
    ('127.0.0.1', 3031)
    """
    wanted = "expected host:port with a loopback host, such as 127.0.0.1:3031"
    if not isinstance(value, str):
        raise ValueError(wanted)
    try:
        host, port = parse_address(value)
        known = ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(wanted) from None
    if not known.is_loopback:
        raise ValueError(f"{host} is no loopback address")
    return str(known), port


def format_duration(ms: float) -> str:
    """A duration in the largest unit that writes it without a fraction.

    >>> format_duration(90_000), format_duration(86_400_000), format_duration(0.5)
    ('90s', '1d', '0.5ms')
    """
    for unit, size in reversed(TIMES_MS.items()):
        if ms and ms % size == 0:
            return f"{int(ms // size)}{unit}"
    return f"{ms:g}ms"
