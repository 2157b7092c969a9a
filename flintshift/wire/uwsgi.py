"""The uwsgi packet: a head of four bytes, a block of variables, and a body by CONTENT_LENGTH."""

from __future__ import annotations

import struct
from collections.abc import Iterable

from flintshift.wire.fields import RequestError

HEAD = struct.Struct("<BHB")  # modifier1, size of the block, modifier2
LENGTH = struct.Struct("<H")


def pack(variables: Iterable[tuple[str, str]]) -> bytes:
    block = b"".join(
        LENGTH.pack(len(part)) + part for pair in variables for part in (text.encode("latin-1") for text in pair)
    )
    return HEAD.pack(0, len(block), 0) + block


def block_size(head: bytes, most: int) -> int:
    modifier1, size, modifier2 = HEAD.unpack(head)
    if modifier1 or modifier2:
        raise RequestError(400, "not a uwsgi request: its modifiers are not 0")
    if size > most:
        raise RequestError(413, "the block of variables is too large")
    return int(size)


def unpack(block: bytes) -> dict[str, str]:
    texts, place = [], 0
    while place < len(block):
        start = place + LENGTH.size
        if start > len(block):
            raise RequestError(400, "the block of variables is cut off")
        place = start + LENGTH.unpack_from(block, place)[0]
        if place > len(block):  # guards against a length that points past the block
            raise RequestError(400, "the block of variables is cut off")
        texts.append(block[start:place].decode("latin-1"))
    if len(texts) % 2:
        raise RequestError(400, "a variable has no value")
    names, values = texts[::2], texts[1::2]
    for name in names:
        if names.count(name) > 1 and name.startswith(("HTTP_X_", "CONTENT_LENGTH")):
            raise RequestError(400, f"{name} is impossible")  # which of the two holds?
    return dict(zip(names, values, strict=True))


def body_size(variables: dict[str, str], most: int) -> int:
    text = variables.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdecimal()):
        raise RequestError(400, "CONTENT_LENGTH is impossible")
    if len(text) > 9 or int(text) > most:
        raise RequestError(413, "the body is too large")
    return int(text)
