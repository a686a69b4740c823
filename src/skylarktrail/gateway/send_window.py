"""Time until which the lease calls of a granter's term may be sent."""

from __future__ import annotations

import math
from typing import NamedTuple


class _Window(NamedTuple):
    term: int
    end_ms: float


class SendWindow:
    """Whether lease calls of a term may be sent; thread-safe.

    Calls wait for a thread, at times longer than the authority of their granter lasts.
    The granter's actor sets the window, and each call reads it just before it is sent.
    """

    def __init__(self) -> None:
        self._window = _Window(0, -math.inf)

    def open(self, term: int, end_ms: float) -> None:
        """Allows calls of one term, and of no other, up to a time."""
        self._window = _Window(term, end_ms)

    def close(self) -> None:
        """Allows no calls."""
        self._window = _Window(0, -math.inf)

    def allows(self, term: int, now_ms: float) -> bool:
        """Returns whether a call of a term may be sent now."""
        window = self._window
        return term == window.term and now_ms <= window.end_ms
