"""Bounds the time in which a caller may send a request.

waitress closes a connection that is silent for two minutes. A caller that sends a byte
now and then would hold it, and what it has sent, for good. Callers that are silent are
ended by `connection_watch.py`.
"""

from __future__ import annotations

import time
from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser

from ..response_bounds import MIN_BYTES_PER_S
from .request_errors import RequestTooSlow

# Time for a request without a body. Each byte extends it by 1 / MIN_BYTES_PER_S.
REQUEST_TIMEOUT_S = 30.0
MIN_AGE_S = 1e-3  # Resolution of rates.
MAX_BLANK_BYTES = 64  # Between requests, where clients may send an empty line.


class TimedParser(HTTPRequestParser):
    """Refuses a request that is not complete in time when its next bytes arrive."""

    def __init__(self, adj: Any) -> None:
        super().__init__(adj)
        self._begun_s = time.monotonic()
        self._size_bytes = 0

    def received(self, data: bytes) -> int:
        """Parses bytes of the request; returns how many of them belong to it."""
        consumed = super().received(data)
        self._size_bytes += consumed
        if not self.completed and self.is_late():
            self.error = RequestTooSlow("The request was not complete in time.")
            self.completed = True
            return len(data)
        return consumed

    @property
    def age_s(self) -> float:
        """Returns the time since the first byte of the request."""
        return time.monotonic() - self._begun_s

    @property
    def rate_bytes_per_s(self) -> float:
        """Returns the mean rate at which the request arrives."""
        return self._size_bytes / max(self.age_s, MIN_AGE_S)

    def is_late(self) -> bool:
        """Returns whether the request should be complete by now."""
        allowed_s = REQUEST_TIMEOUT_S + self._size_bytes / MIN_BYTES_PER_S
        return time.monotonic() > self._begun_s + allowed_s


class TimedChannel(HTTPChannel):
    """A connection on which each request has to be complete in time."""

    parser_class = TimedParser
    _blank_bytes = 0

    def received(self, data: bytes) -> bool:
        """Handles bytes of requests; closes the connection after many blank lines."""
        is_blank = not self.has_begun_request() and not data.strip(b"\r\n")
        self._blank_bytes = self._blank_bytes + len(data) if is_blank else 0
        if self._blank_bytes > MAX_BLANK_BYTES:
            self.will_close = True
            return False
        return super().received(data)

    def has_begun_request(self) -> bool:
        """Returns whether a request is being received."""
        request = self.request
        if request is None:
            return False
        return request.headers_finished or bool(request.header_plus.strip(b"\r\n"))
