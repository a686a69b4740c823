"""When a call that a process handles now may have arrived at the earliest."""

from __future__ import annotations

import threading
import time

from ..serving import now_ms

TICK_S = 0.02
MIN_STALL_MS = 200.0
# Calls that arrived while the process stood still are handled within this time.
BACKLOG_MS = 300.0


class ArrivalClock:
    """Notices that the process stood still, as when it was paused with SIGSTOP.

    The lease of a grant counts from its arrival, and calls arrive at the socket of a
    process that stands still.
    """

    def __init__(self) -> None:
        self._ticked_at_ms = now_ms()
        self._stall_begin_ms = 0.0
        self._stall_end_ms = float("-inf")
        self._lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def arrival_ms(self) -> float:
        """Returns the earliest time at which a call handled now may have arrived."""
        with self._lock:
            self._tick()
            is_backlog = now_ms() < self._stall_end_ms + BACKLOG_MS
            return self._stall_begin_ms if is_backlog else now_ms()

    def _run(self) -> None:
        while True:
            time.sleep(TICK_S)
            with self._lock:
                self._tick()

    def _tick(self) -> None:
        at_ms = now_ms()
        if at_ms - self._ticked_at_ms > MIN_STALL_MS:
            self._stall_begin_ms, self._stall_end_ms = self._ticked_at_ms, at_ms
        self._ticked_at_ms = at_ms
