"""Bounds the memory of all responses that a process is receiving.

A bound for each response alone does not bound their sum: backends in trouble may send
many responses that do not end.
"""

from __future__ import annotations

import threading
from types import TracebackType

# Part of the memory of a process that responses being received may use.
MEMORY_RATIO = 0.2
DEFAULT_MEMORY_MB = 256.0  # Of a process whose settings name none.


class ReceiveBudget:
    """Memory that the responses being received share; thread-safe.

    While all together stay within the limit, each may take what it needs. Beyond it, a
    response that has more than an equal share gets no more, so that short responses
    are received beside ones that do not end.

    Args:
        limit_bytes: Memory of all responses.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._used_bytes = 0
        self._count = 0

    @property
    def used_bytes(self) -> int:
        """Returns the memory of the responses that are being received."""
        return self._used_bytes

    def begin(self) -> Reservation:
        """Returns the memory of a response that begins, a context manager."""
        return Reservation(self)

    def add(self, change: int) -> None:
        """Counts a response that begins (1) or has ended (-1)."""
        with self._lock:
            self._count += change

    def try_acquire(self, held_bytes: int, more_bytes: int) -> bool:
        """Acquires memory; returns whether the response may have it.

        Args:
            held_bytes: What the response has.
            more_bytes: What it needs besides.
        """
        with self._lock:
            is_within = self._used_bytes + more_bytes <= self._limit_bytes
            if not is_within and not self._may_exceed(held_bytes, more_bytes):
                return False
            self._used_bytes += more_bytes
            return True

    def _may_exceed(self, held_bytes: int, more_bytes: int) -> bool:
        """Returns whether one that needs so much may get it beyond the limit."""
        share_bytes = self._limit_bytes / max(1, self._count)
        return held_bytes + more_bytes <= share_bytes

    def release(self, released_bytes: int) -> None:
        """Gives memory back."""
        with self._lock:
            self._used_bytes -= released_bytes


class Reservation:
    """The memory of one response; used by one thread.

    Args:
        budget: What all responses share.
    """

    def __init__(self, budget: ReceiveBudget) -> None:
        self._budget = budget
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Returns the memory that it holds."""
        return self._held_bytes

    def __enter__(self) -> Reservation:
        self._budget.add(1)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
        self._budget.add(-1)

    def try_extend(self, more_bytes: int) -> bool:
        """Acquires memory for more of the response; returns whether it may have it.

        Less than nothing gives memory back.
        """
        if more_bytes <= 0:
            self._budget.release(-more_bytes)
            self._held_bytes += more_bytes
            return True
        is_acquired = self._budget.try_acquire(self._held_bytes, more_bytes)
        if is_acquired:
            self._held_bytes += more_bytes
        return is_acquired


def make_receive_budget(memory_mb: float) -> ReceiveBudget:
    """Returns the budget of a process that may use so much memory."""
    return ReceiveBudget(int(memory_mb * MEMORY_RATIO * (1 << 20)))
