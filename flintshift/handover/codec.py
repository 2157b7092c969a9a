"""Words as frames: the sizes of a head and of bytes that go on unchanged, the head in JSON, the bytes."""

from __future__ import annotations

import json
import struct
from dataclasses import fields
from typing import Any

from flintshift.handover import vocabulary as words
from flintshift.handover.vocabulary import Word

HEAD = struct.Struct("!II")
MOST = 65_536  # a frame
WORDS: dict[str, type[Any]] = {kind.__name__: kind for kind in (
    words.Hello, words.Welcome, words.Known, words.Copied, words.Ready, words.Yours, words.Claimed, words.Answered,
    words.Over, words.Freed, words.Load, words.Service)}


class FrameError(Exception):
    """What was read is no word."""


def packed(word: Word) -> bytes:
    head: list[Any] = [type(word).__name__]
    tail = b""
    for one in fields(word):
        value = getattr(word, one.name)
        if one.name == "result":
            tail = value
        else:
            head.append(value.hex() if isinstance(value, bytes) else value)
    text = json.dumps(head, separators=(",", ":")).encode()
    return HEAD.pack(len(text), len(tail)) + text + tail


class Unpacker:
    """Takes bytes in pieces of any size and gives the words that are whole."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Word]:
        """
        Raises:
            FrameError: this is none of ours; nothing after it can be read.
        """
        self.buffer += data
        found: list[Word] = []
        while len(self.buffer) >= HEAD.size:
            head, tail = HEAD.unpack_from(self.buffer)
            end = HEAD.size + head + tail
            if end > MOST:
                raise FrameError(f"a word of {end} bytes")
            if len(self.buffer) < end:
                break
            text = bytes(self.buffer[HEAD.size:HEAD.size + head])
            rest = bytes(self.buffer[HEAD.size + head:end])
            del self.buffer[:end]
            found.append(unpacked(text, rest))
        return found


def unpacked(text: bytes, tail: bytes) -> Word:
    try:
        name, *values = json.loads(text)
        kind = WORDS[name]
        given: dict[str, Any] = {}
        for one in fields(kind):
            if one.name == "result":
                given["result"] = tail
                continue
            value = values.pop(0)
            if one.name == "print":
                value = bytes.fromhex(value)
            elif one.name == "key":
                class_name, word = value
                value = str(class_name), str(word)
            given[one.name] = value
        if values:
            raise ValueError("more fields than the word has")
        made: Word = kind(**given)
    except (ValueError, KeyError, TypeError, IndexError, RecursionError) as error:
        raise FrameError(str(error)) from error
    return made
