"""The uwsgi packet: a head of four bytes, a block of variables, and a body whose length is CONTENT_LENGTH."""

from __future__ import annotations

import struct
from collections.abc import Iterable

from flintshift.wire.fields import RequestError

HEAD = struct.Struct("<BHB")  # modifier1, size of the block, modifier2
LENGTH = struct.Struct("<H")


def pack(variables: Iterable[tuple[str, str]]) -> bytes:
    """Encode the head and the block of variables of a packet."""
    block = b"".join(
        LENGTH.pack(len(part)) + part for pair in variables for part in (text.encode("latin-1") for text in pair)
    )
    return HEAD.pack(0, len(block), 0) + block


def block_size(head: bytes, max_bytes: int) -> int:
    """The size of the block of variables that follows this head.

    Raises:
        RequestError: the packet is of another kind, or the block is too large.
    """
    modifier1, size, modifier2 = HEAD.unpack(head)
    if modifier1 or modifier2:
        raise RequestError(400, "not a uwsgi request: its modifiers are not 0")
    if size > max_bytes:
        raise RequestError(413, "the block of variables is too large")
    return int(size)


def unpack(block: bytes, max_variables: int) -> dict[str, str]:
    """Decode a block of at most ``max_variables`` variables.

    Raises:
        RequestError: the block is malformed or has more variables, or one that decides on the request occurs twice.
    """
    texts, position = list[str](), 0
    while position < len(block):
        if len(texts) == 2 * max_variables:
            raise RequestError(431, "there are too many variables")
        start = position + LENGTH.size
        if start > len(block):
            raise RequestError(400, "the block of variables is cut off")
        position = start + LENGTH.unpack_from(block, position)[0]
        if position > len(block):  # guards against a length that points past the block
            raise RequestError(400, "the block of variables is cut off")
        texts.append(block[start:position].decode("latin-1"))
    if len(texts) % 2:
        raise RequestError(400, "a variable has no value")
    variables: dict[str, str] = {}
    for name, value in zip(texts[::2], texts[1::2], strict=True):
        if name in variables and name.startswith(("HTTP_X_", "CONTENT_LENGTH")):
            raise RequestError(400, f"{name} is impossible")  # ambiguous: it occurs more than once
        variables[name] = value
    return variables


def body_size(variables: dict[str, str], max_bytes: int) -> int:
    """The size of the body that follows these variables.

    Raises:
        RequestError: CONTENT_LENGTH is invalid, or the body is too large.
    """
    text = variables.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdecimal()):
        raise RequestError(400, "CONTENT_LENGTH is impossible")
    if len(text) > 9 or int(text) > max_bytes:
        raise RequestError(413, "the body is too large")
    return int(text)
