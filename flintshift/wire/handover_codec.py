"""The codec of handover messages: a frame is a size and a MessagePack body, whose types are checked on decoding."""

from __future__ import annotations

import struct

import msgspec

from flintshift.handover.messages import Message

SIZE = struct.Struct("!I")
MAX_FRAME_BYTES = 65_536  # a result has at most 4 KiB
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class FrameError(Exception):
    """The received data is not a valid message."""


def encode_frame(message: Message) -> bytes:
    """Encode a message with its size in front."""
    body = _encode(message)
    return SIZE.pack(len(body)) + body


class FrameDecoder:
    """Decodes messages from a stream of bytes that arrives in pieces of any size."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that are complete.

        Raises:
            FrameError: the data is invalid, and nothing after it can be read.
        """
        self.buffer += data
        messages: list[Message] = []
        while len(self.buffer) >= SIZE.size:
            (size,) = SIZE.unpack_from(self.buffer)
            if size > MAX_FRAME_BYTES:
                raise FrameError(f"a message of {size} bytes")
            if len(self.buffer) < SIZE.size + size:
                break
            body = bytes(self.buffer[SIZE.size : SIZE.size + size])
            del self.buffer[: SIZE.size + size]
            try:
                messages.append(_decode(body))
            except msgspec.DecodeError as error:
                raise FrameError(str(error)) from error
        return messages
