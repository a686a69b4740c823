"""Whether a lease call of a granter's term may be sent."""

from __future__ import annotations

import math
from typing import NamedTuple

# Calls wait longer only for an instance that hangs. Sent then, they would prolong the
# wait until its leases have expired.
MAX_QUEUE_MS = 500.0


class _Window(NamedTuple):
    term: int
    end_ms: float


class LeaseCallGate:
    """Whether lease calls of a term may be sent; all methods are thread-safe.

    Calls wait for a thread, at times longer than the authority of their granter lasts.
    The granter sets the window, and each call is checked just before it is sent. A new
    granter that asks for the end of earlier terms closes the gate for them at once,
    before this daemon confirms the end.
    """

    def __init__(self) -> None:
        self._window = _Window(0, -math.inf)
        self._superseding_term = 0

    def open(self, term: int, end_ms: float) -> None:
        """Allows calls of one term, and of no other, up to a time."""
        self._window = _Window(term, end_ms)

    def close(self) -> None:
        """Allows no calls."""
        self._window = _Window(0, -math.inf)

    def supersede(self, term: int) -> None:
        """Allows no calls of lower terms any more."""
        self._superseding_term = max(self._superseding_term, term)

    def is_superseded(self, term: int) -> bool:
        """Returns whether a later granter has asked for the end of a term."""
        return term < self._superseding_term

    def is_open(self, term: int, now_ms: float) -> bool:
        """Returns whether calls of a term may be sent now."""
        window = self._window
        is_current = term == window.term and not self.is_superseded(term)
        return is_current and now_ms <= window.end_ms

    def allows(self, term: int, queued_ms: float, now_ms: float) -> bool:
        """Returns whether a call that was queued at a time may be sent now."""
        return now_ms - queued_ms <= MAX_QUEUE_MS and self.is_open(term, now_ms)
