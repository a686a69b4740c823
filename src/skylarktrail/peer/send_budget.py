"""Bounds the memory of messages that wait to be sent to all peers together."""

from __future__ import annotations

import threading

MAX_WAITING_BYTES = 32 << 20
# Large messages use only half of it, so that small ones are sent when those pile up.
LARGE_MESSAGE_BYTES = 16 << 10
MAX_LARGE_RATIO = 0.5


class SendBudget:
    """Counts the bytes that wait to be sent; all methods are thread-safe.

    Args:
        max_bytes: Largest number of bytes that may wait.
    """

    def __init__(self, max_bytes: int = MAX_WAITING_BYTES) -> None:
        self._max_bytes = max_bytes
        self._waiting_bytes = 0
        self._lock = threading.Lock()

    def try_acquire(self, size_bytes: int) -> bool:
        """Adds a message; returns False if it does not fit."""
        is_large = size_bytes > LARGE_MESSAGE_BYTES
        limit_bytes = self._max_bytes * (MAX_LARGE_RATIO if is_large else 1)
        with self._lock:
            if self._waiting_bytes + size_bytes > limit_bytes:
                return False
            self._waiting_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Removes a message that was sent or dropped."""
        with self._lock:
            self._waiting_bytes -= size_bytes
