"""Bounds the time and the bytes of a whole response, not only of each read.

A server in trouble may send a response a byte at a time, interim responses without end
or a body that never ends. Each single read of these succeeds in time.
"""

from __future__ import annotations

import http.client
import io
import socket
import time
from typing import NamedTuple

# Slower than the slowest link of a VM, so that a long response may pass it.
MIN_BYTES_PER_S = 128 << 10
DEFAULT_TIMEOUT_S = 60.0  # Of calls that name none.


class ResponseBounds(NamedTuple):
    """Bounds of one response, from the end of its request on.

    A response has to be complete within the timeout of its call. Its bytes prolong that
    by the time that they take at the lowest rate.

    Attributes:
        max_bytes: Bytes of the response, its head and interim responses included.
        min_bytes_per_s: The lowest rate.
    """

    max_bytes: int
    min_bytes_per_s: float = MIN_BYTES_PER_S

    def max_duration_s(self, timeout_s: float) -> float:
        """Returns the longest time that any response of a call may take."""
        return timeout_s + self.max_bytes / self.min_bytes_per_s


class ResponseTooLongError(http.client.HTTPException):
    """A response has more bytes than its bounds allow."""


class BoundedReader(io.RawIOBase):
    """Reads a response from a socket within its bounds.

    Args:
        raw: Reads from the socket; is closed with this reader.
        sock: The socket, whose timeout is set before each read.
        bounds: Bounds of the response.
        timeout_s: Timeout of the call; None for `DEFAULT_TIMEOUT_S`.
    """

    def __init__(
        self,
        raw: io.RawIOBase,
        sock: socket.socket,
        bounds: ResponseBounds,
        timeout_s: float | None,
    ) -> None:
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._bounds = bounds
        self._timeout_s = DEFAULT_TIMEOUT_S if timeout_s is None else timeout_s
        self._started_s = time.monotonic()
        self._received_bytes = 0

    def readable(self) -> bool:
        """Returns True, as a buffered reader demands."""
        return True

    def fileno(self) -> int:
        """Returns the descriptor of the socket."""
        return self._raw.fileno()

    def readinto(self, buffer: memoryview) -> int | None:
        """Reads bytes into a buffer; returns how many, 0 at the end.

        Raises:
            TimeoutError: The response took too long, or brought nothing for long.
            ResponseTooLongError: The response has too many bytes.
        """
        self._sock.settimeout(self._next_timeout_s())
        count = self._raw.readinto(buffer)
        self._received_bytes += count or 0
        if self._received_bytes > self._bounds.max_bytes:
            raise ResponseTooLongError(f"more than {self._bounds.max_bytes} bytes")
        return count

    def close(self) -> None:
        """Closes the reader of the socket, too."""
        if not self.closed:
            self._raw.close()
        super().close()

    def _next_timeout_s(self) -> float:
        allowed_s = (
            self._timeout_s + self._received_bytes / self._bounds.min_bytes_per_s
        )
        left_s = self._started_s + allowed_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the response took too long")
        return min(left_s, self._timeout_s)
