"""Notices callers that leave while an instance works for them."""

from __future__ import annotations

import threading
from contextlib import contextmanager
from typing import Callable, Iterator

from .exchange import Connection

POLL_INTERVAL_S = 0.1  # Work for a caller that has left ends well within half a second.


class DisconnectMonitor:
    """Ends the exchanges of callers that have left."""

    def __init__(self) -> None:
        self._watched: dict[int, tuple[Callable[[], bool], Connection]] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="disconnect-monitor", daemon=True
        )

    def start(self) -> None:
        """Begins to look."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._stopped.set()
        self._thread.join()

    @contextmanager
    def watch(
        self, is_disconnected: Callable[[], bool], connection: Connection
    ) -> Iterator[None]:
        """Cuts the connection if the caller leaves meanwhile."""
        with self._lock:
            self._watched[id(connection)] = (is_disconnected, connection)
        try:
            yield
        finally:
            with self._lock:
                self._watched.pop(id(connection), None)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            with self._lock:
                watched = list(self._watched.values())
            for is_disconnected, connection in watched:
                if is_disconnected():
                    connection.abort()
