"""Parses callers' requests, and refuses those that are unsafe or too large."""

from __future__ import annotations

from waitress.parser import ParsingError
from waitress.utilities import BadRequest, Error, RequestEntityTooLarge

from .chunk_receiver import BoundedChunkReceiver
from .request_errors import FramingError
from .timed_parser import TimedParser

CONTENT_LENGTH = "CONTENT_LENGTH"
TRANSFER_ENCODING = "TRANSFER_ENCODING"
MIN_FRAMING_BYTES = 8 << 10
REQUEST_BYTES = 4 << 10  # Memory of the objects of a request without fields and body.


class CallerParser(TimedParser):
    """Refuses requests whose framing other HTTP parsers may read differently.

    Such requests allow request smuggling.
    """

    def received(self, data: bytes) -> int:
        """Parses bytes of the request; returns how many of them belong to it."""
        is_in_body = self.body_rcv is not None
        if self.chunked:
            self.body_bytes_received = -len(data)  # The limit is that of the body.
        consumed = super().received(data)
        self._check_chunks()
        is_generic_error = type(self.error) is BadRequest
        if is_generic_error and (is_in_body or self._has_bad_framing()):
            self.error = FramingError(self.error.body)
        if self.error:
            self.refuse(self.error)
            return len(data)  # What follows cannot be told from the body.
        return consumed

    @property
    def held_bytes(self) -> int:
        """Returns the memory that the request takes."""
        size_bytes = REQUEST_BYTES + len(self.header_plus) + self.header_bytes_received
        if self.body_rcv is not None:
            size_bytes += len(self.body_rcv)
        if self.chunked and self.body_rcv is not None:
            size_bytes += self.body_rcv.framing_bytes
        return size_bytes

    @property
    def has_small_chunks(self) -> bool:
        """Returns whether framing takes a large part of the body, and much time."""
        if not self.chunked or self.body_rcv is None:
            return False
        framing_bytes = self._size_bytes - self.header_bytes_received
        framing_bytes -= len(self.body_rcv)
        return framing_bytes > MIN_FRAMING_BYTES + len(self.body_rcv) // 4

    def refuse(self, error: Error) -> None:
        """Ends the request with an error; what was received of it is dropped."""
        self.error = error
        self.completed = True
        self.expect_continue = False  # Else the server asks for the body.
        self.header_plus = b""
        self.drop_body()

    def drop_body(self) -> None:
        """Frees the memory of the body."""
        receiver, self.body_rcv = self.body_rcv, None
        if receiver is not None:
            receiver.getbuf().close()

    def parse_header(self, header_plus: bytes) -> None:
        """Parses the request line and the header fields.

        Raises:
            ParsingError: They are malformed, or give the length of the body twice.
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError("Bad URI") from error
        if not self.request_uri.isprintable():  # No target may have control characters.
            raise ParsingError("Bad URI")
        if TRANSFER_ENCODING in self.headers:
            raise ParsingError("Transfer-Encoding needs HTTP/1.1")
        if self.chunked and CONTENT_LENGTH in self.headers:
            raise ParsingError("Content-Length and Transfer-Encoding")
        if self.chunked:
            self.body_rcv = BoundedChunkReceiver(self.body_rcv.getbuf())

    def _check_chunks(self) -> None:
        """Refuses a chunked body as soon as it is known to exceed the limit."""
        receiver = self.body_rcv
        if not self.chunked or receiver is None or self.error:
            return
        if receiver.announced_bytes >= self.adj.max_request_body_size:
            self.error = RequestEntityTooLarge("The body exceeds the limit.")

    def _has_bad_framing(self) -> bool:
        """Returns whether the header fields that frame the body are invalid."""
        length = self.headers.get(CONTENT_LENGTH, "0")
        is_length = length.isascii() and length.isdigit()
        return self.chunked or TRANSFER_ENCODING in self.headers or not is_length
