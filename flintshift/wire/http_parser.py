"""Parses HTTP/1.1 with h11, and bounds the time that one message may take.

h11 bounds the bytes of a head but not the work on them: each field costs some microseconds, as does each chunk of a
body, and a line that is rejected for a character behind a long run of spaces costs the square of that run. So a head is
given to h11 only once it is complete and has passed the checks here, and a chunked body in small pieces.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

from flintshift.core.limits import Limits

BLANK_LINE = re.compile(rb"\n\r?\n")
CONTROL_CHARACTERS = (b"\0", b"\v", b"\f")  # that h11 rejects in a field
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED_PIECE_BYTES = 128  # of a chunked body, given to h11 at once
MAX_UNPARSED_CHUNKED_BYTES = 256  # a chunk's size line with its extensions, or the fields behind the last chunk
MAX_ERROR_TEXT = 200  # characters; h11 quotes the whole line that it rejects

HTTP_TOO_LARGE = 413
HTTP_TOO_MANY_FIELDS = 431
HTTP_BAD_REQUEST = 400


class MessageError(Exception):
    """A message can't be parsed, or exceeds a bound: the status and text of the response to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def has_control_character(data: bytes | bytearray) -> bool:
    """Whether fields contain a control character that h11 rejects, or a CR without LF; a CR at the end may get one."""
    bare_cr = data.count(b"\r") - data.count(b"\r\n") > data.endswith(b"\r")
    return bare_cr or any(character in data for character in CONTROL_CHARACTERS)


@dataclass(frozen=True, slots=True)
class MessageBounds:
    """The bounds of one message."""

    max_head_bytes: int
    max_fields: int  # lines between the first line and the blank line
    max_list_items: int  # separated by commas, in all fields
    max_chunks: int

    @classmethod
    def of_requests(cls, limits: Limits) -> MessageBounds:
        """The bounds of callers' requests."""
        return cls(limits.max_head_bytes, limits.max_head_fields, limits.max_head_list_items, limits.max_body_chunks)

    @classmethod
    def of_responses(cls, limits: Limits) -> MessageBounds:
        """The bounds of responses of services, whose results may come in any chunks."""
        return cls(limits.max_head_bytes, limits.max_head_fields, limits.max_head_list_items, limits.max_result_bytes)


class BoundedParser:
    """Parses the messages that arrive at one side of a connection. ``connection`` is h11's state of both sides."""

    def __init__(self, role: type[h11.CLIENT | h11.SERVER], bounds: MessageBounds) -> None:
        self.connection, self.bounds = h11.Connection(role, bounds.max_head_bytes), bounds
        self.head: bytearray | None = bytearray()  # what has arrived of a head; None once it was given to h11
        self.unfed = b""  # arrived behind the head, and not given to h11 yet
        self.chunked = False  # the body may be chunked: it is given to h11 in pieces
        self.chunk_count = 0

    @property
    def complete(self) -> bool:
        """Whether a whole message has been parsed."""
        return self.connection.their_state is h11.DONE

    @property
    def trailing_bytes(self) -> bytes:
        """What has arrived behind the message."""
        return self.connection.trailing_data[0] + self.unfed

    def receive(self, data: bytes) -> None:
        """Add bytes that have arrived; b"" if no more will. Call it only after ``next_event`` returned NEED_DATA.

        Raises:
            MessageError: the head can't be accepted.
        """
        if not data:
            if self.head:
                self.connection.receive_data(bytes(self.head))
            self.head = None
            self.connection.receive_data(b"")
        elif self.head is None:
            self.unfed = data
        else:
            self._receive_head(self.head, data)

    def _receive_head(self, head: bytearray, data: bytes) -> None:
        search_from = max(0, len(head) - 2)  # a blank line may begin in what arrived before
        head += data
        blank_line = BLANK_LINE.search(head, search_from)
        end = blank_line.end() if blank_line is not None else len(head)
        begins_wrongly = head[0] <= ord(" ")  # a blank line, or no HTTP at all: h11 tells by the first byte
        if blank_line is None and not begins_wrongly:
            self._check_head(head)
            return
        message = bytes(head[:end])
        self._check_head(message)
        self.unfed, self.head = bytes(head[end:]), None
        self.chunked = TRANSFER_ENCODING in message.lower()
        self.connection.receive_data(message)

    def _check_head(self, head: bytes | bytearray) -> None:
        if len(head) > self.bounds.max_head_bytes:
            raise MessageError(HTTP_BAD_REQUEST, "the head is too large")
        if head.count(b"\n") > self.bounds.max_fields + 2:  # the first line and the blank line
            raise MessageError(HTTP_TOO_MANY_FIELDS, "there are too many header fields")
        if head.count(b",") > self.bounds.max_list_items:
            raise MessageError(HTTP_TOO_MANY_FIELDS, "the lists in header fields are too long")
        if has_control_character(head):
            raise MessageError(HTTP_BAD_REQUEST, "a control character is in the head")

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of h11.

        Raises:
            MessageError: what has arrived can't be parsed, or exceeds a bound.
        """
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                status = HTTP_TOO_LARGE if error.error_status_hint == HTTP_TOO_LARGE else HTTP_BAD_REQUEST
                raise MessageError(status, str(error)[:MAX_ERROR_TEXT]) from error
            if event is h11.NEED_DATA and self.head is None:
                self._check_unparsed()
                if self.unfed:
                    self._feed()
                    continue
            self._note(event)
            return event

    def _feed(self) -> None:
        """Give h11 more of what has arrived."""
        size = CHUNKED_PIECE_BYTES if self.chunked else len(self.unfed)
        self.connection.receive_data(self.unfed[:size])
        self.unfed = self.unfed[size:]

    def _check_unparsed(self) -> None:
        if not self.chunked:
            return
        unparsed = self.connection.trailing_data[0]
        if len(unparsed) > MAX_UNPARSED_CHUNKED_BYTES:
            raise MessageError(HTTP_TOO_LARGE, "a chunk's size line or the trailer is too large")
        if has_control_character(unparsed):
            raise MessageError(HTTP_BAD_REQUEST, "a control character is in the framing of the body")

    def _note(self, event: object) -> None:
        """Follow the message's progress by an event."""
        if isinstance(event, h11.Data):
            self.chunk_count += event.chunk_start
            if self.chunk_count > self.bounds.max_chunks:
                raise MessageError(HTTP_TOO_LARGE, "the body has too many chunks")
        elif isinstance(event, h11.InformationalResponse):
            self.head = bytearray()
            data, self.unfed = self.unfed, b""
            if data:
                self._receive_head(self.head, data)
        elif isinstance(event, (h11.Request, h11.Response)) and self.unfed:
            self._feed()
