"""Bounds the memory of everything that callers make a process hold.

A limit for each body alone does not bound their sum: many callers may each send a body
of legal size and stop just short of its end, or read no response.
"""

from __future__ import annotations

from .receive_budget import MEMORY_RATIO, ReceiveBudget, Reservation

PROCESS_MB = 45.0  # Measured on a gateway without callers, with some margin.
# Fraction of the memory that the process and the responses of instances leave. The rest
# is for connections, buffers of the server and copies of data being moved.
CALLER_RATIO = 0.85
# Memory beyond the limit, relative to it, for requests below an equal share.
SMALL_REQUESTS_RATIO = 1 / 16
MIN_LIMIT_BYTES = 1 << 20


class CallerBudget(ReceiveBudget):
    """Memory that callers share; thread-safe.

    Beyond the limit only callers below an equal share get more, up to a second, hard
    limit. Small requests are thus served beside large ones that stall.

    Args:
        limit_bytes: Memory of all callers.
    """

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(limit_bytes)
        self._hard_limit_bytes = int(limit_bytes * (1 + SMALL_REQUESTS_RATIO))

    @property
    def excess_bytes(self) -> int:
        """Returns by how much the memory in use exceeds the limit; 0 if it does not."""
        return max(0, self.used_bytes - self._limit_bytes)

    def missing_bytes(self, more_bytes: int) -> int:
        """Returns how much has to be released so that more fits into the limit."""
        return max(0, self.used_bytes + more_bytes - self._limit_bytes)

    def _may_exceed(self, held_bytes: int, more_bytes: int) -> bool:
        is_within = self._used_bytes + more_bytes <= self._hard_limit_bytes
        return is_within and super()._may_exceed(held_bytes, more_bytes)


class CallerReservation:
    """The memory that one connection of a caller holds.

    It counts as a holder only while it holds something, as most connections are idle.

    Args:
        budget: What all callers share.
    """

    def __init__(self, budget: CallerBudget) -> None:
        self._budget = budget
        self._reservation: Reservation | None = None

    @property
    def held_bytes(self) -> int:
        """Returns what the connection holds."""
        return self._reservation.held_bytes if self._reservation else 0

    def try_resize(self, size_bytes: int) -> bool:
        """Sets what the connection holds; returns whether it may hold as much."""
        if size_bytes <= 0:
            self.release()
            return True
        if self._reservation is None:
            self._reservation = self._budget.begin()
            self._reservation.__enter__()
        return self._reservation.try_extend(size_bytes - self._reservation.held_bytes)

    def release(self) -> None:
        """Releases all memory of the connection."""
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            reservation.__exit__(None, None, None)


def make_caller_budget(memory_mb: float, limit_bytes: int = 0) -> CallerBudget:
    """Returns the budget of a process that may use so much memory.

    Args:
        memory_mb: Memory of the process.
        limit_bytes: Memory of all callers; 0 to derive it from that of the process.
    """
    free_mb = memory_mb * (1 - MEMORY_RATIO) - PROCESS_MB
    derived_bytes = int(free_mb * CALLER_RATIO * (1 << 20))
    return CallerBudget(limit_bytes or max(MIN_LIMIT_BYTES, derived_bytes))
