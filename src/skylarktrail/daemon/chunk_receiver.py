"""Receives a chunked body with bounds on what is kept besides the body itself.

The library's receiver keeps a chunk's line and the trailer however long they are, and
copies the rest of a read for each chunk, which is slow where chunks are small.
"""

from __future__ import annotations

from waitress.receiver import ChunkedReceiver
from waitress.utilities import BadRequest

MAX_LINE_BYTES = 4 << 10
MAX_TRAILER_BYTES = 16 << 10
SLICE_BYTES = 512


class BoundedChunkReceiver(ChunkedReceiver):
    """Refuses a chunk's line or a trailer that does not end."""

    @property
    def framing_bytes(self) -> int:
        """Returns what is kept besides the body."""
        return len(self.control_line) + len(self.trailer)

    @property
    def announced_bytes(self) -> int:
        """Returns the size of the body with the rest of the current chunk."""
        return len(self) + self.chunk_remainder

    def received(self, s: bytes) -> int:
        """Receives bytes of the body; returns how many of them belong to it."""
        consumed = 0
        while consumed < len(s) and not self.completed and not self.error:
            size = max(SLICE_BYTES, self.chunk_remainder)
            consumed += super().received(s[consumed : consumed + size])
            self._check_framing()
        return consumed

    def _check_framing(self) -> None:
        if len(self.control_line) > MAX_LINE_BYTES:
            self.error = BadRequest("The line of a chunk is too long.")
        elif len(self.trailer) > MAX_TRAILER_BYTES:
            self.error = BadRequest("The trailer is too long.")
