"""Words of the handover as frames: a size, then MessagePack. What is not of a word's types is refused as it is read."""

from __future__ import annotations

import struct

import msgspec

from flintshift.handover.messages import Message

SIZE = struct.Struct("!I")
MOST = 65_536  # bytes of a frame: a result has 4 KiB at most
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class FrameError(Exception):
    """What was read is no word."""


def packed(word: Message) -> bytes:
    body = _encode(word)
    return SIZE.pack(len(body)) + body


class Unpacker:
    """Takes bytes in pieces of any size and gives the words that are whole."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """
        Raises:
            FrameError: this is none of ours; nothing after it can be read.
        """
        self.buffer += data
        found: list[Message] = []
        while len(self.buffer) >= SIZE.size:
            (size,) = SIZE.unpack_from(self.buffer)
            if size > MOST:
                raise FrameError(f"a word of {size} bytes")
            if len(self.buffer) < SIZE.size + size:
                break
            body = bytes(self.buffer[SIZE.size : SIZE.size + size])
            del self.buffer[: SIZE.size + size]
            try:
                found.append(_decode(body))
            except msgspec.DecodeError as error:
                raise FrameError(str(error)) from error
        return found
